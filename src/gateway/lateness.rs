//! Detects calls whose latency target had already passed on arrival.
//!
//! In a burst, callers that were refused and told to wait for seconds have missed their target when
//! they retry. If such a retry uses the capacity of a call that can still meet its target, that
//! call is refused and becomes late as well, so the burst delays calls that arrived in time.

use std::time::Duration;

use crate::model::Timestamp;

/// The window over which the usual caller timeout of a route is observed.
const OBSERVED_WINDOW: Duration = Duration::from_secs(30);
/// The percentage by which the timeouts of first-time callers may differ.
const TIMEOUT_SPREAD_PERCENT: u32 = 20;

/// The caller timeout that is usual for the first request of a call, on one route.
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
/// // A retry after some seconds.
/// assert!(usual.is_late(now, Duration::from_secs(9), target));
/// ```
#[derive(Debug, Default)]
pub struct UsualTimeout {
    /// The longest caller timeout in the present window and in the previous one.
    longest: [Duration; 2],
    since: Timestamp,
}

impl UsualTimeout {
    /// Records a call whose caller waits for `left`, and returns whether more than its target has
    /// probably passed since the caller first sent it: `left` is that much shorter than usual.
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
