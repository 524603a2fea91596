//! How long the streams of a route last: a gateway that shuts down begins only those that are
//! expected to end in time.

use std::collections::VecDeque;
use std::time::Duration;

/// How many streams are remembered.
const MAX_STREAMS: usize = 128;
/// The percentage of streams that end within the time that is estimated.
const ESTIMATE_PERCENT: usize = 90;

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
        let longer = self.recent.iter().filter(|total| **total > lasted);
        let mut longer: Vec<Duration> = longer.copied().collect();
        longer.sort_unstable();
        let count = (longer.len() * ESTIMATE_PERCENT).div_ceil(100);
        let total = longer.get(count.checked_sub(1)?)?;
        Some(total.saturating_sub(lasted))
    }
}
