//! The shutdown of a process: which work its roles still take, and when they must have ended.
//!
//! Each role goes through the same phases. It accepts until the process is signalled. Then it
//! drains: it takes only work that ends in time, and others notice that it leaves. Once the grace
//! period is nearly over it refuses, and gives all that is still open its final answer. It ends
//! when nothing is open; what remains of the grace period is for the last bytes on the connections.

use std::time::Duration;

use crate::model::Timestamp;

/// The part of the grace period, at its end, in which no work is open any more: one in so many.
const REFUSE_SHARE: u32 = 16;
/// The part of the grace period, at its end, in which connections are closed already: one in so
/// many.
const CLOSE_SHARE: u32 = 32;
/// The part of the grace period, at its end, that is left to the exit of the process: one in so
/// many.
const EXIT_SHARE: u32 = 64;

/// How long the shutdown of a role takes.
#[derive(Debug, Clone, Copy)]
pub struct ShutdownTerms {
    /// How long others may need to notice the shutdown; the role does not end before.
    pub notice: Duration,
    /// How long after the signal the process is killed.
    pub grace: Duration,
}

/// A phase of a role's life; later ones are greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// All work is taken.
    Accept,
    /// Only new work that ends in time is taken.
    Drain,
    /// No work is taken, and open work gets its final answer.
    Refuse,
    /// Nothing is open, and requests that still come are refused.
    End,
}

/// The shutdown of one role.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::model::Timestamp;
/// use dotterelpin::shutdown::{Phase, Shutdown, ShutdownTerms};
///
/// let seconds = Duration::from_secs;
/// let start = Timestamp::default();
/// let mut shutdown = Shutdown::new(ShutdownTerms { notice: seconds(2), grace: seconds(8) });
/// assert!(shutdown.admits(start, seconds(14)));
/// shutdown.request(start);
/// assert_eq!(shutdown.advance(start, 1), Phase::Drain);
/// assert!(shutdown.admits(start, seconds(7)) && !shutdown.admits(start, seconds(8)));
/// assert_eq!(shutdown.advance(start + seconds(3), 1), Phase::Drain);
/// assert_eq!(shutdown.advance(start + seconds(3), 0), Phase::End);
/// ```
#[derive(Debug)]
pub struct Shutdown {
    terms: ShutdownTerms,
    /// When the process was signalled; `None` before.
    since: Option<Timestamp>,
    /// Whether others have had the time to notice it.
    noticed: bool,
    phase: Phase,
}

impl Shutdown {
    /// Creates the shutdown of a role that runs.
    pub fn new(terms: ShutdownTerms) -> Shutdown {
        Shutdown { terms, since: None, noticed: false, phase: Phase::Accept }
    }

    /// Records that the process was signalled at a time; a second signal changes nothing. Returns
    /// when the first one came.
    pub fn request(&mut self, since: Timestamp) -> Timestamp {
        self.phase = self.phase.max(Phase::Drain);
        *self.since.get_or_insert(since)
    }

    /// Returns when the process was signalled.
    pub fn since(&self) -> Option<Timestamp> {
        self.since
    }

    /// Returns whether the process was signalled.
    pub fn is_requested(&self) -> bool {
        self.since.is_some()
    }

    /// Returns the present phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether new work, or a new attempt at work in progress, is taken that may need so
    /// long.
    pub fn admits(&self, now: Timestamp, longest: Duration) -> bool {
        match self.phase {
            Phase::Accept => true,
            Phase::Drain => self.refuse_time().is_none_or(|at| now + longest <= at),
            Phase::Refuse | Phase::End => false,
        }
    }

    /// Enters the phase that is due and returns it; `open` is how much work is in progress. A role
    /// that enters [`Phase::Refuse`] ends that work in the same step.
    pub fn advance(&mut self, now: Timestamp, open: usize) -> Phase {
        let (Some(notice), Some(refuse)) = (self.notice_time(), self.refuse_time()) else {
            return self.phase;
        };
        self.noticed |= now >= notice.min(refuse);
        let due = match (self.noticed, open) {
            (true, 0) => Phase::End,
            _ if now >= refuse => Phase::Refuse,
            _ => Phase::Drain,
        };
        self.phase = self.phase.max(due);
        self.phase
    }

    /// Returns whether others have had the time to notice the shutdown, as of the last advance.
    pub fn is_noticed(&self) -> bool {
        self.noticed
    }

    /// Returns when others have noticed the shutdown, once it is requested.
    pub fn notice_time(&self) -> Option<Timestamp> {
        self.since.map(|since| since + self.terms.notice)
    }

    /// Returns when open work gets its final answer, once the shutdown is requested.
    pub fn refuse_time(&self) -> Option<Timestamp> {
        let grace = self.terms.grace;
        self.since.map(|since| since + (grace - grace / REFUSE_SHARE))
    }

    /// Returns when connections are closed whatever is unwritten on them, once the shutdown is
    /// requested.
    pub fn close_time(&self) -> Option<Timestamp> {
        let grace = self.terms.grace;
        self.since.map(|since| since + (grace - grace / CLOSE_SHARE))
    }

    /// Returns when the connections to other processes are closed and the process exits, once the
    /// shutdown is requested.
    pub fn exit_time(&self) -> Option<Timestamp> {
        let grace = self.terms.grace;
        self.since.map(|since| since + (grace - grace / EXIT_SHARE))
    }

    /// Returns when [`Shutdown::advance`] is due although nothing else happens.
    pub fn next_wake(&self) -> Option<Timestamp> {
        match self.phase {
            Phase::Drain if !self.noticed => self.notice_time().min(self.refuse_time()),
            Phase::Drain => self.refuse_time(),
            Phase::Accept | Phase::Refuse | Phase::End => None,
        }
    }
}
