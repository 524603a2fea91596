//! A caller's connection: requests in, answers out, one at a time.

use super::head::{Request, RequestHead};
use super::reader::{Part, ReadError, Reader};
use super::socket::{READ_BYTES, Socket, SocketRead};
use super::{LINGER_TIMEOUT, MAX_LINGER_BYTES, Purpose, write};
use crate::model::Timestamp;
use crate::routes::CallerLimits;

/// Bytes of later requests that may wait while one is answered.
const MAX_PIPELINED_BYTES: usize = 64 << 10;

/// What a connection does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerState {
    /// It waits for a request since a time.
    Idle(Timestamp),
    /// It reads a request since a time.
    Reading(Timestamp),
    /// A request waits for its answer.
    Answering,
    /// The last answer is written; the caller may still read it until a time.
    Lingering { until: Timestamp, left: usize },
}

/// What reading came to.
#[derive(Debug)]
pub enum CallerRead {
    /// Nothing to do yet.
    Incomplete,
    /// A whole request came.
    Request(Request),
    /// The connection has ended.
    Closed,
}

/// A caller's connection.
#[derive(Debug)]
pub struct Caller {
    pub socket: Socket,
    pub purpose: Purpose,
    pub state: CallerState,
    reader: Reader,
    partial: Option<(RequestHead, Vec<u8>)>,
    /// Whether the socket may hold bytes that were left there.
    unread: bool,
    /// Whether to close once everything is written.
    closing: bool,
}

impl Caller {
    pub fn new(now: Timestamp, socket: Socket, purpose: Purpose, limits: &CallerLimits) -> Caller {
        Caller {
            socket,
            purpose,
            state: CallerState::Idle(now),
            reader: Reader::requests(limits.head_bytes, limits.body_bytes),
            partial: None,
            unread: false,
            closing: false,
        }
    }

    /// Returns when the connection is closed if nothing happens before.
    pub fn deadline(&self, limits: &CallerLimits) -> Option<Timestamp> {
        match self.state {
            CallerState::Idle(since) => Some(since + limits.idle_timeout),
            CallerState::Reading(since) => Some(since + limits.head_timeout),
            CallerState::Answering => None,
            CallerState::Lingering { until, .. } => Some(until),
        }
    }

    /// Reads what the socket has.
    pub fn read(&mut self, now: Timestamp, limits: &CallerLimits) -> CallerRead {
        let mut buffer = [0; READ_BYTES];
        loop {
            if self.state == CallerState::Answering && self.reader.buffered() > MAX_PIPELINED_BYTES
            {
                self.unread = true;
                return CallerRead::Incomplete;
            }
            match self.socket.read(&mut buffer) {
                Ok(SocketRead::Bytes(count)) => {
                    let bytes = buffer.get(..count).unwrap_or_default();
                    if let CallerState::Lingering { until, left } = self.state {
                        let Some(left) = left.checked_sub(count) else { return CallerRead::Closed };
                        self.state = CallerState::Lingering { until, left };
                        continue;
                    }
                    self.reader.feed(bytes);
                    if count < buffer.len() && self.state != CallerState::Answering {
                        // The next bytes are reported by the poll.
                        return self.parse(now, limits);
                    }
                }
                Ok(SocketRead::Blocked) => return self.parse(now, limits),
                Ok(SocketRead::Closed) | Err(_) => return CallerRead::Closed,
            }
        }
    }

    /// Parses what was read.
    fn parse(&mut self, now: Timestamp, limits: &CallerLimits) -> CallerRead {
        if matches!(self.state, CallerState::Answering | CallerState::Lingering { .. }) {
            return CallerRead::Incomplete;
        }
        loop {
            match self.reader.next_part() {
                Ok(None) => {
                    let idle = self.reader.is_idle() && self.partial.is_none();
                    if !idle && matches!(self.state, CallerState::Idle(_)) {
                        self.state = CallerState::Reading(now);
                    }
                    return CallerRead::Incomplete;
                }
                Ok(Some(Part::Request(head))) => {
                    if head.fields.has_token("expect", "100-continue") {
                        self.socket.out.extend_from_slice(b"HTTP/1.1 100 Continue\r\n\r\n");
                    }
                    self.state = CallerState::Reading(now);
                    self.partial = Some((head, Vec::new()));
                }
                Ok(Some(Part::Data(data))) => {
                    if let Some((_, body)) = &mut self.partial {
                        body.extend_from_slice(&data);
                    }
                }
                Ok(Some(Part::End { .. })) => {
                    let Some((head, body)) = self.partial.take() else {
                        return CallerRead::Incomplete;
                    };
                    self.state = CallerState::Answering;
                    self.reader.shrink();
                    return CallerRead::Request(Request { head: head.into(), body: body.into() });
                }
                Ok(Some(Part::Answer(_))) => return CallerRead::Closed,
                Err(error) => {
                    self.refuse(now, error, limits);
                    return CallerRead::Incomplete;
                }
            }
        }
    }

    /// Answers a request that can't be read, and reads no further.
    fn refuse(&mut self, now: Timestamp, error: ReadError, limits: &CallerLimits) {
        log::warn!("step=read outcome=refused error=\"{error}\"");
        let (status, text) = match error {
            ReadError::HeadTooLong => {
                (431, format!("{error}: at most {} bytes", limits.head_bytes))
            }
            ReadError::BodyTooLong => {
                (413, format!("{error}: at most {} bytes", limits.body_bytes))
            }
            _ => (400, error.to_string()),
        };
        self.answer_and_close(now, status, &text);
    }

    fn answer_and_close(&mut self, now: Timestamp, status: u16, text: &str) {
        let body = format!("{text}\n");
        let bytes = write::answer(status, &[], "text/plain", body.as_bytes(), false);
        self.socket.out.extend_from_slice(&bytes);
        self.partial = None;
        self.finish(now, false);
    }

    /// Takes the end of an answer.
    pub fn finish(&mut self, now: Timestamp, keep: bool) {
        if keep {
            self.state = CallerState::Idle(now);
        } else {
            self.closing = true;
            self.state =
                CallerState::Lingering { until: now + LINGER_TIMEOUT, left: MAX_LINGER_BYTES };
        }
    }

    /// Reads on after an answer: the next request may be there already.
    pub fn resume(&mut self, now: Timestamp, limits: &CallerLimits) -> CallerRead {
        self.reader.limit(limits.head_bytes, limits.body_bytes);
        if std::mem::take(&mut self.unread) {
            return self.read(now, limits);
        }
        self.parse(now, limits)
    }

    /// Takes a time-out; returns whether the connection is to be dropped at once.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        match self.state {
            CallerState::Reading(_) => {
                self.answer_and_close(now, 408, "the request did not come in time");
                false
            }
            CallerState::Answering => false,
            CallerState::Idle(_) | CallerState::Lingering { .. } => true,
        }
    }

    /// Writes what waits; returns whether the connection is broken.
    pub fn flush(&mut self) -> bool {
        if self.socket.flush().is_err() {
            return true;
        }
        if self.closing && self.socket.pending() == 0 {
            self.closing = false;
            return self.socket.stream.shutdown(std::net::Shutdown::Write).is_err();
        }
        false
    }
}
