//! A connection to an endpoint.

use super::budget::Charge;
use super::reader::{Part, ReadError, Reader};
use super::socket::{READ_BYTES, READS_PER_TURN, Socket, SocketRead};
use super::{HttpInput, MAX_ANSWER_HEAD_BYTES, PeerId, settled_at};
use crate::model::Timestamp;

/// A connection to an endpoint, which carries one request at a time.
#[derive(Debug)]
pub struct Peer {
    pub socket: Socket,
    id: PeerId,
    reader: Reader,
    connected: bool,
    /// Whether the answer to a request is not complete yet.
    busy: bool,
    /// The size of the request in bytes.
    request_bytes: usize,
    /// When the last byte of the request was written.
    written: Timestamp,
    /// Until when the end of the connection may turn out to be a reset, if it is to complete an answer.
    settles: Option<Timestamp>,
    charge: Charge,
}

impl Peer {
    pub fn new(id: PeerId, socket: Socket, charge: Charge) -> Peer {
        let reader = Reader::answers(MAX_ANSWER_HEAD_BYTES);
        Peer {
            socket,
            id,
            reader,
            connected: false,
            busy: false,
            request_bytes: 0,
            written: Timestamp::default(),
            settles: None,
            charge,
        }
    }

    /// Queues a request.
    pub fn send(&mut self, bytes: Vec<u8>) {
        self.reader.expect_bodiless(bytes.starts_with(b"HEAD "));
        self.busy = true;
        self.socket.sent = false;
        self.request_bytes = bytes.len();
        self.socket.queue(bytes);
        self.charge();
    }

    /// Writes as much of the request as the socket accepts.
    pub fn flush(&mut self, now: Timestamp) -> std::io::Result<()> {
        if self.socket.pending() > 0 {
            self.socket.flush()?;
            self.written = now;
        }
        Ok(())
    }

    /// Counts the memory that is held for the connection.
    pub fn charge(&mut self) {
        self.charge.set(self.reader.capacity() + self.socket.capacity());
    }

    /// Returns whether the connection is established.
    pub fn is_connected(&self) -> bool {
        self.connected
    }

    /// Checks the connection attempt; returns whether the connection has just been established.
    pub fn check_connected(&mut self) -> std::io::Result<bool> {
        if self.connected {
            return Ok(false);
        }
        if let Some(error) = self.socket.stream.take_error()? {
            return Err(error);
        }
        self.connected = self.socket.stream.peer_addr().is_ok();
        Ok(self.connected)
    }

    /// Reads available bytes, as many as one connection may have read at a time, and adds the
    /// resulting inputs for the role. Returns whether the socket may have more.
    pub fn read(&mut self, now: Timestamp, inputs: &mut Vec<HttpInput>) -> bool {
        let mut buffer = [0; READ_BYTES];
        for _ in 0..READS_PER_TURN {
            match self.socket.read(&mut buffer) {
                Ok(SocketRead::Bytes(count)) => {
                    self.reader.feed(buffer.get(..count).unwrap_or_default());
                    if let Err(error) = self.parse(inputs) {
                        inputs.push(self.lost(&error.to_string()));
                        return false;
                    }
                }
                Ok(SocketRead::Blocked) => return false,
                Ok(SocketRead::Closed) => {
                    self.closed(now, inputs);
                    return false;
                }
                Err(error) => {
                    inputs.push(self.lost(&error.to_string()));
                    return false;
                }
            }
        }
        true
    }

    fn parse(&mut self, inputs: &mut Vec<HttpInput>) -> Result<(), ReadError> {
        let peer = self.id;
        while let Some(part) = self.reader.next_part()? {
            match part {
                Part::Answer(head) => inputs.push(HttpInput::Answer { peer, head }),
                Part::Data(more) => match inputs.last_mut() {
                    Some(HttpInput::Data { bytes, .. }) => bytes.extend(more),
                    _ => inputs.push(HttpInput::Data { peer, bytes: more }),
                },
                Part::End { closes } => self.complete(closes, inputs),
                Part::Request(_) => return Err(ReadError::Malformed("not an answer")),
            }
        }
        Ok(())
    }

    fn complete(&mut self, closes: bool, inputs: &mut Vec<HttpInput>) {
        self.busy = false;
        // A connection with bytes after the answer or a partly written request can't be reused.
        let reusable = !closes && self.reader.buffered() == 0 && self.socket.pending() == 0;
        inputs.push(HttpInput::End { peer: self.id, reusable });
    }

    /// Handles the end of the connection. It completes an answer without a length only if the endpoint
    /// has got the whole request: otherwise it has broken off.
    fn closed(&mut self, now: Timestamp, inputs: &mut Vec<HttpInput>) {
        if self.settles.is_some() {
            return;
        }
        if self.reader.ends_with_connection() && self.socket.is_written() {
            self.settles = Some(settled_at(self.request_bytes, self.written));
            self.settle(now, inputs);
        } else {
            self.ended(inputs);
        }
    }

    /// Returns until when the end of the connection may turn out to be a reset.
    pub fn settles(&self) -> Option<Timestamp> {
        self.settles
    }

    /// Adds the inputs for the role once it is known whether the connection was reset. After its end,
    /// reads don't report that any more.
    pub fn settle(&mut self, now: Timestamp, inputs: &mut Vec<HttpInput>) {
        let Some(until) = self.settles else { return };
        if let Ok(Some(error)) | Err(error) = self.socket.stream.take_error() {
            inputs.push(self.lost(&error.to_string()));
        } else if now >= until {
            self.ended(inputs);
        }
    }

    fn ended(&mut self, inputs: &mut Vec<HttpInput>) {
        match self.reader.end() {
            Ok(Some(Part::End { .. })) if !self.socket.is_written() => {
                inputs.push(self.lost("closed by the endpoint before it had read the request"));
            }
            Ok(Some(Part::End { .. })) => {
                self.complete(true, inputs);
                // Unless this was the answer, its reader waits for another one.
                inputs.push(self.lost("closed by the endpoint after an answer"));
            }
            Ok(_) if self.busy => {
                inputs.push(self.lost("closed by the endpoint before the answer"))
            }
            Ok(_) => inputs.push(self.lost("closed by the endpoint while idle")),
            Err(error) => inputs.push(self.lost(&error.to_string())),
        }
    }

    /// Returns the input that reports the loss of the connection to the role.
    pub fn lost(&self, error: &str) -> HttpInput {
        HttpInput::Lost { peer: self.id, sent: self.socket.sent, error: error.into() }
    }
}
