//! Smoothed measurements that expire.

use std::time::Duration;

use crate::model::Timestamp;

/// A new measurement has the weight 1/`SMOOTHING` against the earlier ones.
const SMOOTHING: u64 = 8;
/// How long a measurement is valid. An estimate that stops work from being sent would otherwise
/// never be corrected by a new measurement.
const MAX_AGE: Duration = Duration::from_secs(2);

/// An exponentially smoothed measurement; zero while there is no recent sample.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::entry::place::Estimate;
/// use dotterelpin::model::Timestamp;
///
/// let now = Timestamp::from_micros(1);
/// let mut estimate = Estimate::default();
/// estimate.add(now, 80);
/// estimate.add(now, 160);
/// assert_eq!(estimate.get(now), 90);
/// assert_eq!(estimate.get(now + Duration::from_secs(10)), 0);
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct Estimate {
    value: u64,
    at: Timestamp,
}

impl Estimate {
    /// Adds a measurement.
    pub fn add(&mut self, now: Timestamp, measured: u64) {
        let old = self.get(now);
        self.value =
            if old == 0 { measured } else { (old * (SMOOTHING - 1) + measured) / SMOOTHING };
        self.at = now;
    }

    /// Returns the estimate; zero once the last measurement has expired.
    pub fn get(&self, now: Timestamp) -> u64 {
        if now - self.at < MAX_AGE { self.value } else { 0 }
    }
}
