//! When refused callers are told to come back.
//!
//! Made for a burst of twice the capacity for some seconds, whose refused callers retry once. A
//! caller that comes back as soon as the queue is expected to move meets the same burst and has no
//! further retry, so the time is about as late as callers respect. Callers that come back together
//! would be a burst themselves: each is told a moment that is free of other promises, at the rate
//! at which late calls are expected to start.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::control::dispatch::shares::LATE_PERCENT;
use crate::model::Timestamp;

/// The maximum retry time that a refused caller is given.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(5_000);
/// The retry time in percent of the caller's remaining time; callers respect at most a third of
/// that time.
const RETRY_AFTER_PERCENT: u32 = 32;
/// The percentage of the retry time over which the retries of callers that were refused together
/// are spread.
const RETRY_SPREAD_PERCENT: u32 = 30;
/// How many moments are compared for one promise.
const MOMENTS: u32 = 8;
/// The maximum number of promises that are remembered.
const MAX_PROMISES: usize = 1_024;

/// The moments at which refused callers of one service were told to come back.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::gateway::admit::returns::Returns;
/// use dotterelpin::model::Timestamp;
///
/// let (now, left) = (Timestamp::from_micros(1), Duration::from_secs(10));
/// let mut returns = Returns::default();
/// // Four calls start a second, and late ones among them about each 0.6 s.
/// let first = returns.promise(now, left, 4.0, 0);
/// let second = returns.promise(now, left, 4.0, 0);
/// assert_eq!(first, Duration::from_millis(3_200));
/// assert!(second < first && second >= first * 7 / 10);
/// ```
#[derive(Debug, Default)]
pub struct Returns {
    promised: BTreeSet<Timestamp>,
}

impl Returns {
    /// Returns after which time a refused caller with so much time `left` should retry, and counts
    /// its return; `rate` is the number of starts a second.
    pub fn promise(&mut self, now: Timestamp, left: Duration, rate: f64, draw: u64) -> Duration {
        self.promised = self.promised.split_off(&now);
        let latest = latest_return(left);
        let step = latest * RETRY_SPREAD_PERCENT / 100 / MOMENTS;
        let early = draw.checked_rem(step.as_millis() as u64 + 1).unwrap_or_default();
        let late_rate = rate * LATE_PERCENT as f64 / 100.0;
        let gap = Duration::try_from_secs_f64(1.0 / late_rate).unwrap_or(MAX_RETRY_AFTER);
        let moments = (0..MOMENTS).map(|at| latest.saturating_sub(step * at));
        let moments = moments.map(|at| at.saturating_sub(Duration::from_millis(early)));
        // The first of the moments that are equally free is the latest one.
        let free = |after: &Duration| std::cmp::Reverse(self.distance(now + *after).min(gap));
        let after = moments.min_by_key(free).unwrap_or(latest);
        if self.promised.len() < MAX_PROMISES {
            self.promised.insert(now + after);
        }
        after
    }

    /// Returns the time between a moment and the promise next to it.
    fn distance(&self, moment: Timestamp) -> Duration {
        let before = self.promised.range(..=moment).next_back().map(|at| moment - *at);
        let after = self.promised.range(moment..).next().map(|at| *at - moment);
        before.into_iter().chain(after).min().unwrap_or(Duration::MAX)
    }
}

/// Returns the longest retry time that a caller with so much time `left` respects.
fn latest_return(left: Duration) -> Duration {
    (left * RETRY_AFTER_PERCENT / 100).min(MAX_RETRY_AFTER)
}

/// Returns a retry time near the longest one that a caller with so much time `left` respects, spread
/// by `draw`.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::gateway::admit::returns::spread_return;
///
/// assert_eq!(spread_return(Duration::from_secs(10), 0), Duration::from_millis(3_200));
/// assert_eq!(spread_return(Duration::from_secs(10), 960), Duration::from_millis(2_240));
/// ```
pub fn spread_return(left: Duration, draw: u64) -> Duration {
    let latest = latest_return(left);
    let spread = latest * RETRY_SPREAD_PERCENT / 100;
    let early = draw.checked_rem(spread.as_millis() as u64 + 1).unwrap_or_default();
    latest.saturating_sub(Duration::from_millis(early))
}
