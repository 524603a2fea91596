//! Measurements that are smoothed and age.

use std::time::Duration;

use crate::model::Timestamp;

/// The weight of a new measurement against those before, as one part in so many.
const SMOOTHING: u64 = 8;
/// How long a measurement is believed; decisions that it stops would keep it from being corrected.
const MAX_AGE: Duration = Duration::from_secs(2);

/// A smoothed measurement; zero as long as nothing is known.
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
    /// Takes a measurement.
    pub fn add(&mut self, now: Timestamp, measured: u64) {
        let old = self.get(now);
        self.value =
            if old == 0 { measured } else { (old * (SMOOTHING - 1) + measured) / SMOOTHING };
        self.at = now;
    }

    /// Returns the estimate; zero once its last measurement is old.
    pub fn get(&self, now: Timestamp) -> u64 {
        if now - self.at < MAX_AGE { self.value } else { 0 }
    }
}
