//! The progress of a request that is being read, and when it is too slow.

use std::time::Duration;

use crate::model::Timestamp;
use crate::routes::CallerLimits;

/// The bytes of a body that have to come in each window of [`CallerLimits::head_timeout`]; smaller
/// bodies come whole within one.
const MIN_WINDOW_BYTES: usize = 16 << 10;
/// The shortest time over which a rate is taken.
const MIN_RATE_TIME: Duration = Duration::from_millis(100);

/// The progress of one request.
#[derive(Debug, Clone, Copy)]
pub struct Progress {
    started: Timestamp,
    /// When bytes were last received.
    touched: Timestamp,
    /// The bytes received so far.
    received: usize,
    /// The begin of the present window of the body.
    window: Timestamp,
    /// The bytes received in the window.
    in_window: usize,
    /// Since when the request is not read on for lack of memory.
    paused: Option<Timestamp>,
}

impl Progress {
    /// Returns the progress of a request that begins.
    pub fn new(now: Timestamp) -> Progress {
        Progress {
            started: now,
            touched: now,
            received: 0,
            window: now,
            in_window: 0,
            paused: None,
        }
    }

    /// Counts received bytes.
    pub fn receive(&mut self, now: Timestamp, bytes: usize) {
        self.resume(now);
        self.touched = now;
        self.received += bytes;
        self.in_window += bytes;
    }

    /// Begins the first window of the body, once the head is read.
    pub fn begin_body(&mut self, now: Timestamp) {
        self.window = now;
        self.in_window = 0;
    }

    /// Notes that the request is not read on.
    pub fn pause(&mut self, now: Timestamp) {
        self.paused.get_or_insert(now);
    }

    /// Notes that the request is read on; the time in which it was not read doesn't count.
    pub fn resume(&mut self, now: Timestamp) {
        if let Some(since) = self.paused.take() {
            self.started = self.started + (now - since);
            self.touched = now;
            self.window = now;
        }
    }

    /// Returns whether the request is not read on for lack of memory.
    pub fn is_paused(&self) -> bool {
        self.paused.is_some()
    }

    /// Returns when bytes were last received.
    pub fn touched(&self) -> Timestamp {
        self.touched
    }

    /// Returns when a body is checked next.
    ///
    /// Load: bodies that stop, or come in so slowly that they would be held for minutes.
    pub fn deadline(&self, limits: &CallerLimits) -> Timestamp {
        match self.paused {
            Some(since) => since + limits.idle_timeout,
            None => self.window + limits.head_timeout,
        }
    }

    /// Begins the next window if enough of the body has come in the last one; returns whether it has.
    pub fn next_window(&mut self, now: Timestamp) -> bool {
        if self.paused.is_some() || self.in_window < MIN_WINDOW_BYTES {
            return false;
        }
        self.window = now;
        self.in_window = 0;
        true
    }

    /// Returns how long no byte has come while the request was read.
    pub fn stalled(&self, now: Timestamp) -> Duration {
        self.paused.unwrap_or(now) - self.touched
    }

    /// Returns the bytes a second that have come while the request was read.
    pub fn rate(&self, now: Timestamp) -> u64 {
        let time = (self.paused.unwrap_or(now) - self.started).max(MIN_RATE_TIME);
        self.received as u64 * 1_000 / time.as_millis() as u64
    }
}
