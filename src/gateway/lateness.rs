//! Which calls can't be answered within their target any more when they come.
//!
//! Answers a burst whose refused callers come back: a caller that was asked to stay away for
//! seconds has missed its target already. If it takes the room of one that has not, that one is
//! refused, comes back late, too, and the burst makes late answers of calls that came in time.

use std::time::Duration;

use crate::model::Timestamp;

/// The span over which the usual patience of a route's callers is observed.
const OBSERVED_WINDOW: Duration = Duration::from_secs(30);
/// The part of the usual patience that callers differ by from one another, in percent.
const TIMEOUT_SPREAD_PERCENT: u32 = 20;

/// How long the callers of one route wait when they come for the first time.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::gateway::lateness::UsualTimeout;
/// use dotterelpin::model::Timestamp;
///
/// let (now, target) = (Timestamp::from_micros(1), Duration::from_millis(900));
/// let mut usual = UsualTimeout::default();
/// assert!(!usual.is_late(now, Duration::from_secs(14), target));
/// assert!(!usual.is_late(now, Duration::from_secs(12), target));
/// // It came back after some seconds.
/// assert!(usual.is_late(now, Duration::from_secs(9), target));
/// ```
#[derive(Debug, Default)]
pub struct UsualTimeout {
    /// The longest patience in the present span and in the one before.
    longest: [Duration; 2],
    since: Timestamp,
}

impl UsualTimeout {
    /// Observes a call whose caller waits for `left`, and returns whether more than its target has
    /// passed since its caller first sent it.
    pub fn is_late(&mut self, now: Timestamp, left: Duration, target: Duration) -> bool {
        if now - self.since >= OBSERVED_WINDOW {
            self.longest = [Duration::ZERO, self.longest[0]];
            self.since = now;
        }
        self.longest[0] = self.longest[0].max(left);
        let usual = self.longest[0].max(self.longest[1]);
        let spread = usual * TIMEOUT_SPREAD_PERCENT / 100;
        usual - left > target.max(spread)
    }
}
