//! A non-blocking socket with a buffer of bytes to be written.

use std::io::{self, ErrorKind, Read, Write};

use mio::net::TcpStream;

/// The size of the buffer for one read, in bytes.
pub const READ_BYTES: usize = 16 << 10;

/// The most reads of one connection until the others have their turn.
pub const READS_PER_TURN: usize = 4;

/// A TCP stream with its write buffer.
#[derive(Debug)]
pub struct Socket {
    pub stream: TcpStream,
    pub out: Vec<u8>,
    /// The number of bytes of `out` that are already written.
    written: usize,
    /// Whether any byte of the current request was written, for connections to endpoints.
    pub sent: bool,
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
        Socket { stream, out: Vec::new(), written: 0, sent: false }
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

    /// Writes as much of the buffer as the socket accepts.
    pub fn flush(&mut self) -> io::Result<()> {
        while self.pending() > 0 {
            match self.stream.write(&self.out[self.written..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.written += count;
                    self.sent = true;
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        self.clear();
        Ok(())
    }

    /// Queues bytes; they are not copied if nothing else is queued.
    pub fn queue(&mut self, bytes: Vec<u8>) {
        if self.out.is_empty() {
            self.out = bytes;
            return;
        }
        // The written part is dropped once it is half of the buffer, or a peer that always leaves
        // something unread would make the buffer grow for as long as an answer goes on.
        if self.written * 2 >= self.out.len() {
            self.out.drain(..self.written);
            self.written = 0;
        }
        self.out.extend_from_slice(&bytes);
    }

    /// Returns the memory of the buffer in bytes.
    pub fn capacity(&self) -> usize {
        self.out.capacity()
    }

    /// Drops the bytes that are not yet written.
    pub fn clear(&mut self) {
        self.out = Vec::new();
        self.written = 0;
    }

    /// Returns the number of bytes that are not yet written.
    pub fn pending(&self) -> usize {
        self.out.len() - self.written
    }
}
