//! A caller's connection, which serves one request at a time.

use super::closing::Open;
use super::head::{Request, RequestHead};
use super::limits::AppliedLimits;
use super::reader::{Part, ReadError, Reader};
use super::socket::{READ_BYTES, READS_PER_TURN, Socket, SocketRead};
use super::{LINGER_TIMEOUT, MAX_LINGER_BYTES, Purpose, write};
use crate::model::Timestamp;
use crate::routes::CallerLimits;

/// The most bytes of pipelined requests that are buffered while one is answered.
const MAX_PIPELINED_BYTES: usize = 64 << 10;

/// The state of a caller's connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerState {
    /// It has been waiting for a request since this time.
    Idle(Timestamp),
    /// It has been reading the head of a request, or after it the content, since this time.
    Reading(Timestamp),
    /// A request is being answered.
    Answering,
    /// The last answer is complete; the connection is kept open until `until` so that the caller
    /// can read it, and up to `left` more bytes are read and dropped.
    Lingering { until: Timestamp, left: usize },
}

impl CallerState {
    /// Returns the name of the state in logs.
    pub fn name(&self) -> &'static str {
        match self {
            CallerState::Idle(_) => "idle",
            CallerState::Reading(_) => "reading",
            CallerState::Answering => "answering",
            CallerState::Lingering { .. } => "lingering",
        }
    }
}

/// The result of reading from a caller's connection.
#[derive(Debug)]
pub enum CallerRead {
    /// No complete request is available yet.
    Wait,
    /// The same, but the socket may have more bytes.
    More,
    /// A complete request was received.
    Request(Request),
    /// The connection is closed or broken.
    Closed,
}

/// A caller's connection with its parser and the request that is being read.
#[derive(Debug)]
pub struct Caller {
    pub socket: Socket,
    pub purpose: Purpose,
    pub state: CallerState,
    reader: Reader,
    partial: Option<(RequestHead, Vec<u8>)>,
    /// Whether the caller has closed its side of the connection.
    pub ended: bool,
    /// Whether reading stopped before the socket was empty.
    unread: bool,
    /// Whether to shut down the writing side once everything is written.
    closing: bool,
    /// When bytes of an answer were last written, or its end was queued.
    progress: Timestamp,
}

impl Caller {
    pub fn new(now: Timestamp, socket: Socket, purpose: Purpose, limits: &CallerLimits) -> Caller {
        Caller {
            socket,
            purpose,
            state: CallerState::Idle(now),
            reader: Reader::requests(limits.head_bytes, limits.body_bytes),
            partial: None,
            ended: false,
            unread: false,
            closing: false,
            progress: now,
        }
    }

    /// Returns when the connection times out; None while a request is being answered.
    pub fn deadline(&self, limits: &CallerLimits) -> Option<Timestamp> {
        let unwritten = self.socket.pending() > 0;
        match self.state {
            CallerState::Idle(_) | CallerState::Lingering { .. } if unwritten => {
                Some(self.progress + limits.idle_timeout)
            }
            CallerState::Idle(since) => Some(since + limits.idle_timeout),
            CallerState::Reading(since) => Some(since + limits.head_timeout),
            CallerState::Answering => None,
            CallerState::Lingering { until, .. } => Some(until),
        }
    }

    /// Reads available bytes of the socket, as many as one connection may have read at a time.
    pub fn read(&mut self, now: Timestamp, limits: &AppliedLimits) -> CallerRead {
        self.unread = false;
        self.take_limits(limits);
        let mut buffer = [0; READ_BYTES];
        for _ in 0..READS_PER_TURN {
            if self.state == CallerState::Answering && self.reader.buffered() > MAX_PIPELINED_BYTES
            {
                self.unread = true;
                return CallerRead::Wait;
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
                    let more = self.ended || count == buffer.len();
                    if !more && self.state != CallerState::Answering {
                        // A short read emptied the socket; the poll reports when more bytes arrive.
                        return self.parse(now, limits);
                    }
                }
                Ok(SocketRead::Blocked) => return self.parse(now, limits),
                Ok(SocketRead::Closed) => return self.parse_last(now, limits),
                Err(_) => return CallerRead::Closed,
            }
        }
        self.unread = true;
        match self.parse(now, limits) {
            CallerRead::Wait => CallerRead::More,
            read => read,
        }
    }

    /// Returns the number of bytes that are kept for the caller in memory: of its request and of
    /// answers that it has not read.
    pub fn held(&self) -> usize {
        let body = self.partial.as_ref().map_or(0, |(_, body)| body.len());
        body + self.reader.buffered() + self.socket.pending()
    }

    /// Refuses the request that is being read, because too many bytes are kept for all callers.
    pub fn refuse_large(&mut self, now: Timestamp) {
        self.answer_and_close(now, 503, &[], "not run: too many large requests at once");
    }

    /// Refuses the request that is being read, because the role has stopped.
    pub fn refuse_stopped(&mut self, now: Timestamp) {
        self.answer_and_close(now, 503, &[], "not run: this process shuts down");
    }

    /// Returns what is open on the connection.
    pub fn open(&self) -> Open {
        let idle = matches!(self.state, CallerState::Idle(_));
        let unread = self.unread || idle && self.reader.buffered() > 0;
        Open { state: self.state, unread, unwritten: self.socket.pending() }
    }

    /// Parses what a caller has sent before it closed its side: a request that is complete is served
    /// before the end is reported, since its caller may still read.
    fn parse_last(&mut self, now: Timestamp, limits: &AppliedLimits) -> CallerRead {
        match self.parse(now, limits) {
            CallerRead::Request(request) => CallerRead::Request(request),
            // A refusal is written first.
            CallerRead::Wait if self.closing => CallerRead::Wait,
            CallerRead::Wait | CallerRead::More | CallerRead::Closed => CallerRead::Closed,
        }
    }

    /// Parses the buffered bytes, up to the next complete request.
    fn parse(&mut self, now: Timestamp, limits: &AppliedLimits) -> CallerRead {
        if matches!(self.state, CallerState::Answering | CallerState::Lingering { .. }) {
            return CallerRead::Wait;
        }
        loop {
            match self.reader.next_part() {
                Ok(None) => {
                    let idle = self.reader.is_idle() && self.partial.is_none();
                    if !idle && matches!(self.state, CallerState::Idle(_)) {
                        self.state = CallerState::Reading(now);
                    }
                    return CallerRead::Wait;
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
                    let Some((head, body)) = self.partial.take() else { return CallerRead::Wait };
                    self.state = CallerState::Answering;
                    self.reader.shrink();
                    return CallerRead::Request(Request { head: head.into(), body: body.into() });
                }
                Ok(Some(Part::Answer(_))) => return CallerRead::Closed,
                Err(error) => {
                    self.refuse(now, error, limits);
                    return CallerRead::Wait;
                }
            }
        }
    }

    /// Answers a request that can't be parsed, and stops reading requests.
    fn refuse(&mut self, now: Timestamp, error: ReadError, limits: &AppliedLimits) {
        let refusal = limits.refusal(now, &error);
        log::warn!("step=read outcome=refused status={} error=\"{error}\"", refusal.status);
        self.answer_and_close(now, refusal.status, &refusal.fields, &refusal.text);
    }

    fn answer_and_close(
        &mut self,
        now: Timestamp,
        status: u16,
        fields: &[(&str, String)],
        text: &str,
    ) {
        let body = format!("{text}\n");
        let bytes = write::answer(status, fields, "text/plain", body.as_bytes(), false);
        self.socket.out.extend_from_slice(&bytes);
        self.partial = None;
        self.finish(now, false);
    }

    /// Handles the end of an answer; without `keep` the connection is closed.
    pub fn finish(&mut self, now: Timestamp, keep: bool) {
        self.progress = now;
        if keep {
            self.state = CallerState::Idle(now);
        } else {
            self.closing = true;
            self.state =
                CallerState::Lingering { until: now + LINGER_TIMEOUT, left: MAX_LINGER_BYTES };
        }
    }

    /// Continues reading: after an answer, since the next request may have been received already, or
    /// after the turn of the other connections.
    pub fn resume(&mut self, now: Timestamp, limits: &AppliedLimits) -> CallerRead {
        self.take_limits(limits);
        if self.unread {
            return self.read(now, limits);
        }
        self.parse(now, limits)
    }

    /// Applies the present limits to the next request, unless one is being read.
    fn take_limits(&mut self, limits: &AppliedLimits) {
        if matches!(self.state, CallerState::Idle(_)) {
            self.reader.limit(limits.values.head_bytes, limits.values.body_bytes);
        }
    }

    /// Handles a timeout; returns whether the connection is to be dropped at once.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        match self.state {
            CallerState::Reading(_) => {
                self.answer_and_close(now, 408, &[], "the request did not come in time");
                false
            }
            CallerState::Answering => false,
            CallerState::Idle(_) | CallerState::Lingering { .. } => true,
        }
    }

    /// Writes the buffered bytes; returns whether the connection is broken.
    pub fn flush(&mut self, now: Timestamp) -> bool {
        let before = self.socket.pending();
        if self.socket.flush().is_err() {
            return true;
        }
        if self.socket.pending() < before {
            self.progress = now;
        }
        if self.closing && self.socket.pending() == 0 {
            self.closing = false;
            if let CallerState::Lingering { until, .. } = &mut self.state {
                *until = now + LINGER_TIMEOUT;
            }
            return self.socket.stream.shutdown(std::net::Shutdown::Write).is_err();
        }
        false
    }
}
