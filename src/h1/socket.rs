//! A non-blocking socket with a buffer of bytes to be written.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};

use mio::net::TcpStream;

/// The size of the buffer for one read, in bytes.
pub const READ_BYTES: usize = 16 << 10;

/// Parts up to this size in bytes are written together.
const SEGMENT_BYTES: usize = 16 << 10;

/// The most reads of one connection until the others have their turn.
pub const READS_PER_TURN: usize = 4;

/// A TCP stream with its write buffer.
#[derive(Debug)]
pub struct Socket {
    pub stream: TcpStream,
    /// Bytes to be written, in segments: one long buffer would be copied each time it grows.
    out: VecDeque<Vec<u8>>,
    /// The number of bytes of the first segment that are already written.
    written: usize,
    /// The number of bytes that are not yet written.
    pending: usize,
    /// The memory of the segments in bytes.
    capacity: usize,
    /// Whether any byte of the current request was written, for connections to endpoints.
    pub sent: bool,
    /// Whether a write has failed. The socket tells its error once, so that reads end from then on as
    /// if the other side had closed the connection in order.
    failed: bool,
}

/// The result of one read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SocketRead {
    Bytes(usize),
    Blocked,
    Closed,
}

impl Socket {
    pub fn new(stream: TcpStream) -> Socket {
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!("step=nodelay error=\"{error}\"");
        }
        Socket {
            stream,
            out: VecDeque::new(),
            written: 0,
            pending: 0,
            capacity: 0,
            sent: false,
            failed: false,
        }
    }

    /// Reads once into a buffer; an interrupted read is repeated.
    pub fn read(&mut self, buffer: &mut [u8]) -> io::Result<SocketRead> {
        loop {
            return match self.stream.read(buffer) {
                Ok(0) => Ok(SocketRead::Closed),
                Ok(count) => Ok(SocketRead::Bytes(count)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => Ok(SocketRead::Blocked),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) => Err(e),
            };
        }
    }

    /// Writes as much of the queued bytes as the socket accepts.
    pub fn flush(&mut self) -> io::Result<()> {
        let flushed = self.write_queued();
        self.failed |= flushed.is_err();
        flushed
    }

    /// Returns whether all that was queued was written, as far as this side can tell.
    pub fn is_written(&self) -> bool {
        self.pending == 0 && !self.failed
    }

    fn write_queued(&mut self) -> io::Result<()> {
        while let Some(first) = self.out.front() {
            match self.stream.write(first.get(self.written..).unwrap_or_default()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.written += count;
                    self.pending -= count;
                    self.sent = true;
                    self.drop_written();
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.clear();
        Ok(())
    }

    /// Drops the first segment if it is written.
    fn drop_written(&mut self) {
        if self.out.front().is_some_and(|first| first.len() == self.written) {
            self.written = 0;
            let first = self.out.pop_front();
            self.capacity -= first.map_or(0, |f| f.capacity());
        }
    }

    /// Queues bytes; small parts share a segment.
    pub fn queue(&mut self, bytes: Vec<u8>) {
        self.pending += bytes.len();
        if let Some(last) = self.out.back_mut().filter(|l| l.len() + bytes.len() <= SEGMENT_BYTES) {
            self.capacity -= last.capacity();
            last.extend_from_slice(&bytes);
            self.capacity += last.capacity();
        } else if !bytes.is_empty() {
            self.capacity += bytes.capacity();
            self.out.push_back(bytes);
        }
    }

    /// Returns the memory of the queued bytes.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Drops the bytes that are not yet written.
    pub fn clear(&mut self) {
        self.out = VecDeque::new();
        (self.written, self.pending, self.capacity) = (0, 0, 0);
    }

    /// Returns the number of bytes that are not yet written.
    pub fn pending(&self) -> usize {
        self.pending
    }
}
