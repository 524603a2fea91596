//! Reads the requests of a caller as far as the memory allows it.

use super::{Caller, CallerRead, CallerState, MAX_FULL_UNREAD_ANSWERS, Partial, Room};
use crate::h1::Request;
use crate::h1::budget::{Level, Progress, TINY_BYTES, grow, reads_on};
use crate::h1::limits::AppliedLimits;
use crate::h1::reader::Part;
use crate::h1::socket::{READ_BYTES, READS_PER_TURN, SocketRead};
use crate::model::Timestamp;

/// The most bytes of pipelined requests that are buffered while one is answered.
const MAX_PIPELINED_BYTES: usize = 16 << 10;
/// The same while large bodies are not read on.
const MAX_FULL_PIPELINED_BYTES: usize = 2 << 10;
/// The next request of a connection is not read while so many bytes of answers are unread.
const MAX_UNREAD_ANSWERS: usize = 12 << 20;

impl Caller {
    /// Reads available bytes of the socket, as many as one connection may have read at a time.
    pub fn read(&mut self, now: Timestamp, limits: &AppliedLimits, room: Room) -> CallerRead {
        self.unread = false;
        self.take_limits(limits);
        let mut buffer = [0; READ_BYTES];
        for _ in 0..READS_PER_TURN {
            let most = self.readable(room).min(READ_BYTES);
            if most == 0 {
                self.unread = true;
                return self.pause(now);
            }
            let buffer = buffer.get_mut(..most).unwrap_or_default();
            match self.socket.read(buffer) {
                Ok(SocketRead::Bytes(count)) => {
                    let bytes = buffer.get(..count).unwrap_or_default();
                    if let CallerState::Lingering { until, left } = self.state {
                        let Some(left) = left.checked_sub(count) else { return CallerRead::Closed };
                        self.state = CallerState::Lingering { until, left };
                        continue;
                    }
                    self.reader.feed(bytes);
                    self.reading.receive(now, count);
                    // A short read emptied the socket; the poll reports when more bytes arrive.
                    let more = self.ended || count == most;
                    if self.state == CallerState::Answering {
                        continue;
                    }
                    match self.parse(now, limits, room) {
                        CallerRead::Wait if more => {}
                        read => {
                            // The end of the caller's side is read once its answer is written.
                            self.unread |= more && !self.ended;
                            return read;
                        }
                    }
                }
                Ok(SocketRead::Blocked) => {
                    self.reading.resume(now);
                    return self.parse(now, limits, room);
                }
                Ok(SocketRead::Closed) => return self.parse_last(now, limits, room),
                Err(_) => return CallerRead::Closed,
            }
        }
        self.unread = true;
        CallerRead::More
    }

    /// Returns how many bytes may be read.
    ///
    /// Load: large bodies, and pipelined requests whose answers are not read.
    fn readable(&self, room: Room) -> usize {
        let is_calm = room.level == Level::Calm;
        match self.state {
            CallerState::Lingering { .. } => READ_BYTES,
            CallerState::Answering => {
                let most = if is_calm { MAX_PIPELINED_BYTES } else { MAX_FULL_PIPELINED_BYTES };
                most.saturating_sub(self.reader.buffered())
            }
            CallerState::Idle(_) if self.is_unread(room) => 0,
            CallerState::Reading(_) if self.partial.is_some() => {
                let reads_on = room.first || reads_on(room.level, self.request_bytes(), room.held);
                if reads_on { READ_BYTES } else { 0 }
            }
            CallerState::Idle(_) | CallerState::Reading(_) if is_calm => READ_BYTES,
            CallerState::Idle(_) | CallerState::Reading(_) => TINY_BYTES,
        }
    }

    /// Returns whether too many bytes of answers are unread for a further request.
    fn is_unread(&self, room: Room) -> bool {
        let is_calm = room.level == Level::Calm;
        let most = if is_calm { MAX_UNREAD_ANSWERS } else { MAX_FULL_UNREAD_ANSWERS };
        self.socket.pending() > most
    }

    /// Notes that nothing more is read for now.
    fn pause(&mut self, now: Timestamp) -> CallerRead {
        if !matches!(self.state, CallerState::Reading(_)) {
            return CallerRead::Wait;
        }
        self.reading.pause(now);
        CallerRead::Paused
    }

    /// Continues reading: after an answer, since the next request may have been received already, or
    /// after the turn of the other connections.
    pub fn resume(&mut self, now: Timestamp, limits: &AppliedLimits, room: Room) -> CallerRead {
        self.take_limits(limits);
        match self.parse(now, limits, room) {
            CallerRead::Wait if self.unread => self.read(now, limits, room),
            read => read,
        }
    }

    /// Parses what a caller has sent before it closed its side: a request that is complete is served
    /// before the end is reported, since its caller may still read.
    fn parse_last(&mut self, now: Timestamp, limits: &AppliedLimits, room: Room) -> CallerRead {
        match self.parse(now, limits, room) {
            CallerRead::Request(request) => CallerRead::Request(request),
            // A refusal is written first.
            CallerRead::Wait if self.closing => CallerRead::Wait,
            _ => CallerRead::Closed,
        }
    }

    /// Parses the buffered bytes, up to the next complete request.
    fn parse(&mut self, now: Timestamp, limits: &AppliedLimits, room: Room) -> CallerRead {
        if matches!(self.state, CallerState::Answering | CallerState::Lingering { .. }) {
            return CallerRead::Wait;
        }
        let is_idle = matches!(self.state, CallerState::Idle(_));
        if is_idle && self.is_unread(room) {
            self.unread = true;
            return CallerRead::Wait;
        }
        loop {
            match self.reader.next_part() {
                Ok(None) => {
                    self.reader.shrink();
                    let idle = self.reader.is_idle() && self.partial.is_none();
                    if !idle && matches!(self.state, CallerState::Idle(_)) {
                        self.state = CallerState::Reading(now);
                        self.begin(now);
                    }
                    return CallerRead::Wait;
                }
                Ok(Some(Part::Request(head))) => {
                    if head.fields.has_token("expect", "100-continue") {
                        self.socket.queue(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec());
                    }
                    if matches!(self.state, CallerState::Idle(_)) {
                        self.begin(now);
                    }
                    self.state = CallerState::Reading(now);
                    self.reading.begin_body(now);
                    let memory = head.fields.memory();
                    self.partial = Some(Partial { head, memory, body: Vec::new() });
                }
                Ok(Some(Part::Data(data))) => {
                    let expected = self.reader.expected();
                    if let Some(partial) = &mut self.partial {
                        grow(&mut partial.body, &data, expected);
                    }
                }
                Ok(Some(Part::End { .. })) => {
                    let Some(Partial { head, memory, body }) = self.partial.take() else {
                        return CallerRead::Wait;
                    };
                    self.state = CallerState::Answering;
                    self.begin_answer(&head.method);
                    self.reader.shrink();
                    self.handed = memory + body.len();
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

    /// Begins to count the progress of a request whose first bytes were just received.
    fn begin(&mut self, now: Timestamp) {
        self.reading = Progress::new(now);
        self.reading.receive(now, self.reader.buffered());
    }

    /// Applies the present limits to the next request, unless one is being read.
    fn take_limits(&mut self, limits: &AppliedLimits) {
        if matches!(self.state, CallerState::Idle(_)) {
            self.reader.limit(limits.values.head_bytes, limits.values.body_bytes);
        }
    }
}
