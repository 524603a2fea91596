//! How long the streams of a route last: a gateway that shuts down begins only those that are
//! expected to end in time, and none is retried that is not.

use std::collections::VecDeque;
use std::time::Duration;

/// How many streams are remembered.
const MAX_STREAMS: usize = 128;
/// The percentage of streams that end within the time that is estimated.
const ESTIMATE_PERCENT: usize = 90;
/// The percentage of streams that end within the time that a stream takes at least.
const LEAST_PERCENT: usize = 10;
/// From how many remembered streams on that time is estimated.
const MIN_STREAMS: usize = 20;

/// The durations of the last complete streams of a route.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::gateway::stream_times::StreamTimes;
///
/// let seconds = Duration::from_secs;
/// let mut times = StreamTimes::default();
/// assert_eq!(times.rest(Duration::ZERO), None);
/// (1..=10).for_each(|n| times.ended(seconds(n)));
/// assert_eq!(times.rest(Duration::ZERO), Some(seconds(9)));
/// assert_eq!(times.rest(seconds(8)), Some(seconds(2)));
/// assert_eq!(times.rest(seconds(10)), None);
/// ```
#[derive(Debug, Default)]
pub struct StreamTimes {
    recent: VecDeque<Duration>,
}

impl StreamTimes {
    /// Records that a complete stream has lasted so long from its arrival to its end.
    pub fn ended(&mut self, lasted: Duration) {
        self.recent.push_back(lasted);
        if self.recent.len() > MAX_STREAMS {
            self.recent.pop_front();
        }
    }

    /// Returns how much longer a stream is expected to last that has `lasted` so long; `None` if no
    /// remembered one has lasted longer.
    pub fn rest(&self, lasted: Duration) -> Option<Duration> {
        self.rest_of(ESTIMATE_PERCENT, lasted, 1)
    }

    /// Returns how much longer a stream that has `lasted` so long takes at least, as far as that can
    /// be said: nine of ten that had lasted as long took longer.
    ///
    /// ```
    /// use std::time::Duration;
    /// use dotterelpin::gateway::stream_times::StreamTimes;
    ///
    /// let seconds = Duration::from_secs;
    /// let mut times = StreamTimes::default();
    /// (1..=19).for_each(|n| times.ended(seconds(n)));
    /// assert_eq!(times.least_rest(Duration::ZERO), None);
    /// times.ended(seconds(20));
    /// assert_eq!(times.least_rest(Duration::ZERO), Some(seconds(2)));
    /// ```
    pub fn least_rest(&self, lasted: Duration) -> Option<Duration> {
        self.rest_of(LEAST_PERCENT, lasted, MIN_STREAMS)
    }

    /// Returns the rest after which so many percent of the streams that lasted longer have ended;
    /// `None` if there are fewer than `min` of them.
    fn rest_of(&self, percent: usize, lasted: Duration, min: usize) -> Option<Duration> {
        let longer = self.recent.iter().filter(|total| **total > lasted);
        let mut longer: Vec<Duration> = longer.copied().collect();
        if longer.len() < min {
            return None;
        }
        longer.sort_unstable();
        let count = (longer.len() * percent).div_ceil(100);
        let total = longer.get(count.checked_sub(1)?)?;
        Some(total.saturating_sub(lasted))
    }
}
