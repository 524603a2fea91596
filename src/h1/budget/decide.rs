//! The decisions of the budget: functions of counts and times, without any state.

use std::time::Duration;

use crate::h1::CallerId;
use crate::model::Timestamp;

/// Bytes that one caller may always have read of its request. Heartbeats, probes and usual calls
/// are smaller, so they are served while large bodies are held up.
pub const SMALL_BYTES: usize = 16 << 10;
/// The same above the higher threshold, where every request that a role gets adds to the bytes held.
pub const TINY_BYTES: usize = 4 << 10;
/// Answers of endpoints with more bytes than this are given up first.
const LARGE_ANSWER_BYTES: usize = 256 << 10;
/// A request without new bytes for this time counts as stalled.
pub const STALL_TIME: Duration = Duration::from_millis(500);
/// The part of the memory at which large bodies are no longer read on: one in so many.
const PAUSE_SHARE: usize = 10;
/// The part of the memory at which unfinished requests are refused: one in so many. A process
/// needs about a fifth for itself, and the allocator up to half as much again as is counted.
const REFUSE_SHARE: usize = 5;
/// The part of the higher threshold that an eviction frees: one in so many.
const FREED_SHARE: usize = 8;

/// How much of the memory for callers is in use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Level {
    /// All requests are read.
    Calm,
    /// Large bodies are not read on.
    Full,
    /// Unfinished requests are refused.
    Over,
}

/// The numbers of bytes at which the [`Level`] changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Thresholds {
    /// From here on large bodies are not read on.
    pub pause: usize,
    /// From here on unfinished requests are refused.
    pub refuse: usize,
}

impl Thresholds {
    /// Returns the thresholds of a process on a VM with so much memory.
    ///
    /// ```
    /// use dotterelpin::h1::budget::Thresholds;
    ///
    /// assert_eq!(Thresholds::new(100 << 20).refuse, 20 << 20);
    /// ```
    pub fn new(memory: usize) -> Thresholds {
        Thresholds { pause: memory / PAUSE_SHARE, refuse: memory / REFUSE_SHARE }
    }

    /// Returns the level at which so many bytes are held.
    pub fn level(&self, held: usize) -> Level {
        match held {
            _ if held >= self.refuse => Level::Over,
            _ if held >= self.pause => Level::Full,
            _ => Level::Calm,
        }
    }

    /// Returns how many bytes an eviction frees, so that not every read causes another one.
    pub fn excess(&self, held: usize) -> usize {
        match held.checked_sub(self.refuse) {
            Some(over) => over + self.refuse / FREED_SHARE,
            None => 0,
        }
    }
}

/// Returns whether the body of a request is read on.
///
/// Load: many callers that send large bodies at once, of which most stop before the end. A request
/// that holds half of all bytes is always read on, since the others don't add up to a crowd: a
/// single legal request is served whatever the thresholds are.
///
/// ```
/// use dotterelpin::h1::budget::{Level, reads_on};
///
/// assert!(reads_on(Level::Calm, 1 << 20, 8 << 20));
/// assert!(!reads_on(Level::Full, 1 << 20, 8 << 20));
/// assert!(reads_on(Level::Full, 4 << 20, 8 << 20), "expected half of all bytes to be enough");
/// assert!(reads_on(Level::Over, 1 << 10, 8 << 20), "expected small requests to be read");
/// ```
pub fn reads_on(level: Level, own: usize, held: usize) -> bool {
    level == Level::Calm || own <= SMALL_BYTES || own.saturating_mul(2) >= held
}

/// Returns whether a complete request is handed to the role.
///
/// Load: a crowd of complete requests that wait for a slow service. Above the higher threshold only
/// small ones are handed on, and one that holds half of all bytes.
///
/// ```
/// use dotterelpin::h1::budget::{Level, is_handed};
///
/// assert!(is_handed(Level::Over, 1 << 10, 8 << 20));
/// assert!(!is_handed(Level::Over, 1 << 20, 8 << 20));
/// ```
pub fn is_handed(level: Level, own: usize, held: usize) -> bool {
    level < Level::Over || own <= TINY_BYTES || own.saturating_mul(2) >= held
}

/// Returns whether the content of an endpoint's answer is kept until it is complete.
///
/// Load: callers that all ask for the largest answers. Large ones are given up above the lower
/// threshold already, since the answer is copied when it is sent on.
///
/// ```
/// use dotterelpin::h1::budget::{Level, keeps_answer};
///
/// assert!(keeps_answer(Level::Full, 100 << 10, 8 << 20));
/// assert!(!keeps_answer(Level::Full, 1 << 20, 8 << 20));
/// assert!(!keeps_answer(Level::Over, 100 << 10, 8 << 20));
/// ```
pub fn keeps_answer(level: Level, own: usize, held: usize) -> bool {
    let most = match level {
        Level::Calm => return true,
        Level::Full => LARGE_ANSWER_BYTES,
        Level::Over => SMALL_BYTES,
    };
    own <= most || own.saturating_mul(2) >= held
}

/// An unfinished request, or an answer that its caller doesn't read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The connection.
    pub id: CallerId,
    /// The bytes that are held for it.
    pub held: usize,
    /// How long no byte has come or gone while that was possible.
    pub stalled: Duration,
    /// The bytes a second of its request so far.
    pub rate: u64,
}

/// Returns the connections whose requests are refused to free so many bytes.
///
/// Load: bodies that stop a byte before their end, and slow senders. Requests that have stalled are
/// refused first, the longest stalled ones before others, then those with the lowest rate.
///
/// ```
/// use dotterelpin::h1::CallerId;
/// use dotterelpin::h1::budget::{Candidate, victims};
///
/// let candidate = |id, stalled_ms, rate| Candidate {
///     id: CallerId(id),
///     held: 1_000,
///     stalled: std::time::Duration::from_millis(stalled_ms),
///     rate,
/// };
/// let candidates = vec![candidate(1, 0, 9_000), candidate(2, 0, 20), candidate(3, 800, 9_000)];
/// assert_eq!(victims(candidates, 1_500), [CallerId(3), CallerId(2)]);
/// ```
pub fn victims(mut candidates: Vec<Candidate>, excess: usize) -> Vec<CallerId> {
    let key = |c: &Candidate| {
        let stalled = if c.stalled >= STALL_TIME { c.stalled } else { Duration::ZERO };
        (std::cmp::Reverse(stalled), c.rate, c.id)
    };
    candidates.sort_unstable_by_key(key);
    let mut freed = 0;
    let is_needed = |candidate: &Candidate| {
        let needed = freed < excess;
        freed += candidate.held;
        needed
    };
    candidates.into_iter().take_while(is_needed).map(|c| c.id).collect()
}

/// How long a request that was read on out of turn keeps that right without a new byte.
const TURN_TIME: Duration = STALL_TIME;

/// Returns whether the right to be read on above the lower threshold goes to another request.
///
/// Load: several legal large bodies at once, none of which would otherwise be read to its end.
///
/// ```
/// use dotterelpin::h1::budget::is_turn_over;
/// use dotterelpin::model::Timestamp;
///
/// let at = |ms: u64| Timestamp::from_micros(ms * 1_000);
/// assert!(!is_turn_over(at(1_400), at(1_000)));
/// assert!(is_turn_over(at(1_600), at(1_000)));
/// ```
pub fn is_turn_over(now: Timestamp, touched: Timestamp) -> bool {
    now >= touched + TURN_TIME
}

/// The numbers of connections that a process may have open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Places {
    /// Of callers, operators and endpoints.
    pub calls: usize,
    /// Of readers of the pages.
    pub pages: usize,
    /// Of all of them, and to endpoints.
    pub all: usize,
}

impl Places {
    /// Returns the numbers for a process that may have so many descriptors open. An eighth is kept
    /// for files, the link and listeners, and an eighth is for the pages alone.
    ///
    /// Load: crowds that keep connections open at any address.
    ///
    /// ```
    /// use dotterelpin::h1::budget::Places;
    ///
    /// let places = Places::new(4_096);
    /// assert_eq!((places.calls, places.pages, places.all), (2_560, 512, 3_584));
    /// ```
    pub fn new(max_fds: usize) -> Places {
        let eighth = (max_fds / 8).max(1);
        Places { calls: 5 * eighth, pages: eighth, all: 7 * eighth }
    }
}
