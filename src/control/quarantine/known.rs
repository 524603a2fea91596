//! Causes whose runs have gone on lately.

use std::collections::BTreeMap;
use std::time::Duration;

use super::cause::Cause;
use crate::model::Timestamp;

/// How long a run that went on counts as lately.
const KNOWN_TTL: Duration = Duration::from_secs(60);
/// The maximum number of causes that are kept; the newest half stays.
const MAX_KNOWN: usize = 4_096;

/// The causes whose runs have gone on lately, and when.
///
/// ```
/// use dotterelpin::control::quarantine::{Cause, Fingerprint, Known};
/// use dotterelpin::model::Timestamp;
///
/// let cause = Cause::Content(Fingerprint::of("portal", b"apples"));
/// let second = |n: u64| Timestamp::from_micros(n * 1_000_000);
/// let mut known = Known::default();
/// known.learn(second(1), &[cause]);
/// assert!(known.contains(second(50), cause));
/// assert!(!known.contains(second(70), cause));
/// ```
#[derive(Debug, Default)]
pub struct Known {
    seen: BTreeMap<Cause, Timestamp>,
}

impl Known {
    /// Records that runs with these causes go on, or have gone on at an earlier time.
    pub fn learn(&mut self, now: Timestamp, causes: &[Cause]) {
        for cause in causes {
            let at = self.seen.entry(*cause).or_insert(now);
            *at = now.max(*at);
        }
        let mut horizon = KNOWN_TTL;
        while self.seen.len() > MAX_KNOWN {
            self.seen.retain(|_, at| now - *at < horizon);
            horizon /= 2;
        }
    }

    /// Returns whether a run with a cause has gone on lately.
    pub fn contains(&self, now: Timestamp, cause: Cause) -> bool {
        self.seen.get(&cause).is_some_and(|at| now - *at < KNOWN_TTL)
    }

    /// Returns whether a run with a cause has gone on after a time, as far as is known.
    pub fn has_gone_on(&self, cause: Cause, after: Timestamp) -> bool {
        self.seen.get(&cause).is_some_and(|at| *at > after)
    }

    /// Returns whether any part of a prompt was seen.
    pub fn has_parts(&self) -> bool {
        self.seen.keys().next().is_some_and(|cause| matches!(cause, Cause::Part(_)))
    }
}
