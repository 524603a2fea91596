//! A caller's connection, which serves one request at a time.

mod reading;

use super::budget::{Candidate, Charge, Level, Progress};
use super::closing::Open;
use super::head::{Request, RequestHead};
use super::limits::AppliedLimits;
use super::reader::{ReadError, Reader};
use super::socket::Socket;
use super::{CallerId, LINGER_TIMEOUT, MAX_LINGER_BYTES, Purpose, write};
use crate::model::Timestamp;
use crate::routes::CallerLimits;

/// The same while large bodies are not read on.
const MAX_FULL_UNREAD_ANSWERS: usize = 16 << 10;
/// What a connection without any request takes up, in bytes.
const CONNECTION_BYTES: usize = 1 << 10;

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

/// The memory that is left for reading.
#[derive(Debug, Clone, Copy)]
pub struct Room {
    /// How much of the memory is in use.
    pub level: Level,
    /// The bytes that are held for all callers of the process.
    pub held: usize,
    /// Whether this caller is the first of those that are not read on.
    pub first: bool,
}

/// The result of reading from a caller's connection.
#[derive(Debug)]
pub enum CallerRead {
    /// No complete request is available yet.
    Wait,
    /// The same, but the socket may have more bytes.
    More,
    /// The request is not read on for lack of memory.
    Paused,
    /// A complete request was received.
    Request(Request),
    /// The connection is closed or broken.
    Closed,
}

/// A request whose head has been read.
#[derive(Debug)]
struct Partial {
    head: RequestHead,
    /// The memory of the head in bytes.
    memory: usize,
    body: Vec<u8>,
}

/// A caller's connection with its parser and the request that is being read.
#[derive(Debug)]
pub struct Caller {
    pub socket: Socket,
    pub purpose: Purpose,
    pub state: CallerState,
    reader: Reader,
    partial: Option<Partial>,
    /// The progress of the request that is being read.
    reading: Progress,
    /// The memory of the request that the role has, in bytes.
    handed: usize,
    /// Whether the answer to the present request has no content, since its method is HEAD.
    bodiless: bool,
    /// Whether the head of that answer is queued.
    head_queued: bool,
    charge: Charge,
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
    pub fn new(
        now: Timestamp,
        socket: Socket,
        purpose: Purpose,
        limits: &CallerLimits,
        mut charge: Charge,
    ) -> Caller {
        charge.set(CONNECTION_BYTES);
        Caller {
            socket,
            purpose,
            state: CallerState::Idle(now),
            reader: Reader::requests(limits.head_bytes, limits.body_bytes),
            partial: None,
            reading: Progress::new(now),
            handed: 0,
            bodiless: false,
            head_queued: false,
            charge,
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
            CallerState::Reading(_) if self.partial.is_some() => {
                Some(self.reading.deadline(limits))
            }
            CallerState::Reading(since) => Some(since + limits.head_timeout),
            // The caller has stopped to read its answer.
            CallerState::Answering if unwritten => Some(self.progress + limits.idle_timeout),
            CallerState::Answering => None,
            CallerState::Lingering { until, .. } => Some(until),
        }
    }

    /// Returns the memory of the request that is being read.
    fn request_bytes(&self) -> usize {
        let partial = self.partial.as_ref().map_or(0, |p| p.memory + p.body.capacity());
        partial + self.reader.capacity()
    }

    /// Counts the memory that is held for the caller: its request, also while the role has it, and
    /// the answers that it has not read.
    pub fn charge(&mut self) {
        let bytes = self.request_bytes() + self.handed + self.socket.capacity();
        self.charge.set(CONNECTION_BYTES + bytes);
    }

    /// Returns the request or the answers that may be given up to free memory: an unfinished request,
    /// or answers that are not read although they are complete.
    pub fn candidate(&self, now: Timestamp, id: CallerId) -> Option<Candidate> {
        let held = self.charge.bytes();
        let (stalled, rate) = match self.state {
            CallerState::Reading(_) => (self.reading.stalled(now), self.reading.rate(now)),
            CallerState::Idle(_) | CallerState::Lingering { .. } if self.socket.pending() > 0 => {
                (now - self.progress, 0)
            }
            _ => return None,
        };
        (held > CONNECTION_BYTES).then_some(Candidate { id, held, stalled, rate })
    }

    /// Returns the memory of the request that the role has.
    pub fn handed(&self) -> usize {
        self.handed
    }

    /// Returns whether the request is not read on for lack of memory.
    pub fn is_paused(&self) -> bool {
        matches!(self.state, CallerState::Reading(_)) && self.reading.is_paused()
    }

    /// Returns when bytes of the request were last received.
    pub fn touched(&self) -> Timestamp {
        self.reading.touched()
    }

    /// Returns whether reading stopped for unread answers that have been read meanwhile.
    pub fn can_resume(&self) -> bool {
        let is_idle = matches!(self.state, CallerState::Idle(_));
        self.unread && is_idle && self.socket.pending() <= MAX_FULL_UNREAD_ANSWERS
    }

    /// Notes the method of a request, by which its answer has a content or none.
    fn begin_answer(&mut self, method: &str) {
        self.bodiless = method == "HEAD";
        self.head_queued = false;
    }

    /// Queues a part of an answer; of one without content, its head alone.
    pub fn reply(&mut self, now: Timestamp, mut bytes: Vec<u8>) {
        if self.socket.pending() == 0 {
            self.progress = now;
        }
        if self.bodiless {
            self.drop_content(&mut bytes);
        }
        self.socket.queue(bytes);
    }

    /// Removes from a part of an answer what is behind its head.
    fn drop_content(&mut self, bytes: &mut Vec<u8>) {
        if self.head_queued {
            bytes.clear();
        } else if let Some(length) = write::head_length(bytes) {
            bytes.truncate(length);
            self.head_queued = true;
        }
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
        let method = self.partial.take().map(|p| p.head.method);
        self.begin_answer(method.as_deref().unwrap_or_default());
        self.reply(now, bytes);
        self.reader.discard();
        self.finish(now, false);
    }

    /// Handles the end of an answer; without `keep` the connection is closed.
    pub fn finish(&mut self, now: Timestamp, keep: bool) {
        self.progress = now;
        self.handed = 0;
        if keep {
            self.state = CallerState::Idle(now);
        } else {
            self.closing = true;
            self.state =
                CallerState::Lingering { until: now + LINGER_TIMEOUT, left: MAX_LINGER_BYTES };
        }
    }

    /// Handles a timeout; returns whether the connection is to be dropped at once.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        match self.state {
            CallerState::Reading(_) if self.partial.is_some() && self.reading.next_window(now) => {
                false
            }
            CallerState::Reading(_) if self.reading.is_paused() => {
                self.refuse_large(now);
                false
            }
            CallerState::Reading(_) => {
                self.answer_and_close(now, 408, &[], "the request did not come in time");
                false
            }
            CallerState::Answering | CallerState::Idle(_) | CallerState::Lingering { .. } => true,
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
