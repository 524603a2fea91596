//! Endpoint health: endpoints that fail repeatedly or do not answer are ejected, and are readmitted
//! after a successful probe.

use std::time::Duration;

use crate::model::Timestamp;

/// An endpoint is ejected after this many consecutive failures.
const EJECTION_FAILURES: u32 = 3;
/// The duration of the first ejection; it doubles with each consecutive one.
const INITIAL_EJECTION: Duration = Duration::from_millis(500);
/// The maximum duration of an ejection.
const MAX_EJECTION: Duration = Duration::from_millis(2_000);
/// How long a probe may remain without a result before another one is sent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The maximum share of a pool's endpoints that is ejected at once, in percent.
pub const MAX_EJECTED_PERCENT: usize = 50;

/// The result of a piece of work as a sign of its endpoint's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The work had a result.
    Worked,
    /// The work failed.
    Failed,
    /// The endpoint did not answer in time.
    Silent,
}

/// Whether an endpoint is available.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum State {
    /// It accepts work.
    #[default]
    Active,
    /// It gets no work until the given time.
    Ejected(Timestamp),
    /// A probe has been in flight since the given time.
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
    /// Returns whether work may be sent to the endpoint: it is not ejected, or a probe is due.
    pub fn is_available(&self, now: Timestamp) -> bool {
        match self.state {
            State::Active => true,
            State::Ejected(until) => until <= now,
            State::Probing(since) => since + PROBE_TIMEOUT <= now,
        }
    }

    /// Records that work is sent to the endpoint; the first one after an ejection is a probe.
    pub fn began(&mut self, now: Timestamp) {
        if self.state != State::Active && self.is_available(now) {
            self.state = State::Probing(now);
        }
    }

    /// Records the result of a piece of work, and ejects the endpoint if necessary.
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
