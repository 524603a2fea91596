//! Whether endpoints work: outliers are ejected by their results and their silence, and come
//! back by probes.

use std::time::Duration;

use crate::model::Timestamp;

/// Failures in a row after which an endpoint is ejected.
const EJECTION_FAILURES: u32 = 3;
/// The time of a first ejection.
const INITIAL_EJECTION: Duration = Duration::from_millis(500);
/// The longest time of an ejection.
const MAX_EJECTION: Duration = Duration::from_millis(2_000);
/// How long a probe may go without a result before another one is sent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The most endpoints of a pool that are out at once, in percent.
pub const MAX_EJECTED_PERCENT: usize = 50;

/// What one piece of work says about its endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It gave a result.
    Worked,
    /// It failed.
    Failed,
    /// Nothing was heard of it.
    Silent,
}

/// Whether an endpoint is in.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum State {
    /// It takes work.
    #[default]
    Active,
    /// It takes none until a time.
    Ejected(Timestamp),
    /// One probe is on its way since a time.
    Probing(Timestamp),
}

/// The health of one endpoint.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::entry::health::{Health, Verdict};
/// use dotterelpin::model::Timestamp;
///
/// let now = Timestamp::from_micros(1);
/// let mut health = Health::default();
/// health.judge(now, Verdict::Silent);
/// assert!(!health.is_available(now));
/// let later = now + Duration::from_secs(1);
/// assert!(health.is_available(later));
/// health.began(later);
/// assert!(!health.is_available(later));
/// health.judge(later, Verdict::Worked);
/// assert!(health.is_available(later));
/// ```
#[derive(Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    state: State,
}

impl Health {
    /// Returns whether the endpoint may take work: it works, or it is time for a probe.
    pub fn is_available(&self, now: Timestamp) -> bool {
        match self.state {
            State::Active => true,
            State::Ejected(until) => until <= now,
            State::Probing(since) => since + PROBE_TIMEOUT <= now,
        }
    }

    /// Takes note of work that goes to the endpoint; the first one after an ejection is a probe.
    pub fn began(&mut self, now: Timestamp) {
        if self.state != State::Active && self.is_available(now) {
            self.state = State::Probing(now);
        }
    }

    /// Takes the result of a piece of work.
    pub fn judge(&mut self, now: Timestamp, verdict: Verdict) {
        if verdict == Verdict::Worked {
            *self = Health::default();
            return;
        }
        self.failures += 1;
        let outlier = verdict == Verdict::Silent || self.failures >= EJECTION_FAILURES;
        match self.state {
            State::Active if !outlier => {}
            State::Ejected(until) if until > now => {}
            _ => self.eject(now),
        }
    }

    fn eject(&mut self, now: Timestamp) {
        let duration = (INITIAL_EJECTION * 2u32.pow(self.ejections.min(3))).min(MAX_EJECTION);
        self.ejections += 1;
        self.state = State::Ejected(now + duration);
    }
}
