//! Learns how fast an endpoint works from the answers of its own calls.
//!
//! This matters where equal loads take unequal times: a quarter of the engines runs at 0.55 of the
//! usual speed and the others at 1.2, and for periods of about 0.6 s some are 2.5 times slower. Two
//! medians are kept: one of the last answers, which follows such a period, and one over half a
//! minute, which holds when the period is over.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::model::Timestamp;

/// How many of the last samples show the present speed. Their median changes with the third sample
/// of a slow period, and one or two outliers don't change it.
const RECENT_SAMPLES: usize = 5;
/// The minimum number of recent samples that outweigh the usual speed.
const MIN_RECENT: usize = 3;
/// How long a sample shows the present speed: the slow periods of engines last about 0.6 s.
const RECENT_TTL: Duration = Duration::from_millis(1_000);
/// How many samples show the usual speed.
const USUAL_SAMPLES: usize = 15;
/// How often a sample of the usual speed is kept, so that one slow period with many answers is a
/// minority of them.
const USUAL_INTERVAL: Duration = Duration::from_millis(500);
/// How long a sample shows the usual speed.
const USUAL_TTL: Duration = Duration::from_secs(30);
/// The minimum number of samples of an estimate: one alone may be an outlier.
const MIN_SAMPLES: usize = 2;
/// How far an endpoint counts as slower or faster than usual, in percent. A report that is wrong by
/// four times moves a placement no further.
const PERCENTS: [u32; 9] = [33, 41, 51, 64, 80, 100, 125, 156, 195];
/// The speed of an endpoint without an estimate: it gets as much work as those of the usual speed, and
/// is learned from that. If it counted as slower, one that comes back would get no call at low load.
pub const USUAL_PERCENT: u32 = 100;

/// Work for each second: prompt tokens, thousandths of a decode step, or thousandths of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct WorkRate(pub u32);

impl WorkRate {
    /// Returns the rate at which an amount of work took a time; `None` without work or time.
    ///
    /// ```
    /// use std::time::Duration;
    /// use dotterelpin::gateway::place::speed::WorkRate;
    ///
    /// let rate = WorkRate::of(3_000, Duration::from_millis(100));
    /// assert_eq!(rate, Some(WorkRate(30_000)));
    /// assert_eq!(WorkRate::of(3_000, Duration::ZERO), None);
    /// ```
    pub fn of(work: u64, took: Duration) -> Option<WorkRate> {
        let micros = u64::try_from(took.as_micros()).ok()?;
        let rate = work.saturating_mul(1_000_000).checked_div(micros)?;
        (rate > 0).then(|| WorkRate(u32::try_from(rate).unwrap_or(u32::MAX)))
    }
}

/// A measured rate that a gateway names to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedSample {
    /// The rate.
    pub rate: WorkRate,
    /// Its age in milliseconds when it was sent.
    pub age: u16,
}

/// The estimated speed of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Estimate {
    /// The median rate.
    pub rate: WorkRate,
    /// The time since the last sample.
    pub age: Duration,
    /// The median distance of the samples from `rate`, in percent of it.
    pub spread: u32,
}

/// The speed of one endpoint, learned from samples.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::gateway::place::speed::{Speed, WorkRate};
/// use dotterelpin::model::Timestamp;
///
/// let now = Timestamp::from_micros(1_000_000);
/// let mut speed = Speed::default();
/// assert_eq!(speed.estimate(now), None);
/// [30, 3, 31, 30].iter().for_each(|rate| speed.record(now, WorkRate(rate * 1_000)));
/// assert_eq!(speed.estimate(now).unwrap().rate, WorkRate(30_000));
/// assert_eq!(speed.estimate(now + Duration::from_secs(60)), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct Speed {
    /// The last samples, oldest first.
    recent: VecDeque<(Timestamp, WorkRate)>,
    /// Samples at intervals, oldest first.
    usual: VecDeque<(Timestamp, WorkRate)>,
    /// When the last sample was named to the leader.
    named: Timestamp,
}

impl Speed {
    /// Records a rate that was measured at a time.
    pub fn record(&mut self, at: Timestamp, rate: WorkRate) {
        push(&mut self.recent, RECENT_SAMPLES, at, rate);
        if self.usual.back().is_none_or(|(last, _)| at - *last >= USUAL_INTERVAL) {
            push(&mut self.usual, USUAL_SAMPLES, at, rate);
        }
    }

    /// Returns the estimated speed, or `None` with fewer than two samples in the last half minute.
    pub fn estimate(&self, now: Timestamp) -> Option<Estimate> {
        let (last, _) = self.recent.back()?;
        let recent = within(&self.recent, now, RECENT_TTL);
        if recent.len() >= MIN_RECENT {
            return estimate(recent, now - *last);
        }
        let usual = within(&self.usual, now, USUAL_TTL);
        if usual.len() >= MIN_SAMPLES {
            return estimate(usual, now - *last);
        }
        estimate(within(&self.recent, now, USUAL_TTL), now - *last)
    }

    /// Returns the last sample if the leader wasn't told of it yet; it then counts as told.
    pub fn take_news(&mut self, now: Timestamp) -> Option<SpeedSample> {
        let (at, _) = *self.recent.back().filter(|(at, _)| *at > self.named)?;
        let age = u16::try_from((now - at).as_millis()).ok()?;
        self.named = at;
        // The median of the recent samples, since a sample alone may be an outlier.
        let mut recent = within(&self.recent, at, RECENT_TTL);
        Some(SpeedSample { rate: median(&mut recent)?, age })
    }
}

fn push(kept: &mut VecDeque<(Timestamp, WorkRate)>, max: usize, at: Timestamp, rate: WorkRate) {
    if kept.len() >= max {
        kept.pop_front();
    }
    kept.push_back((at, rate));
}

fn within(kept: &VecDeque<(Timestamp, WorkRate)>, now: Timestamp, ttl: Duration) -> Vec<WorkRate> {
    kept.iter().filter(|(at, _)| now - *at <= ttl).map(|(_, rate)| *rate).collect()
}

/// Returns the upper median: of two samples the faster one counts, since most outliers are slow.
fn median(rates: &mut [WorkRate]) -> Option<WorkRate> {
    rates.sort_unstable();
    rates.get(rates.len() / 2).copied()
}

fn estimate(mut rates: Vec<WorkRate>, age: Duration) -> Option<Estimate> {
    if rates.len() < MIN_SAMPLES {
        return None;
    }
    let rate = median(&mut rates)?;
    let mut distances: Vec<WorkRate> =
        rates.iter().map(|r| WorkRate(r.0.abs_diff(rate.0))).collect();
    let distance = u64::from(median(&mut distances)?.0);
    let spread = (distance * 100 / u64::from(rate.0.max(1))) as u32;
    Some(Estimate { rate, age, spread })
}

/// Returns the usual rate of endpoints, or `None` if fewer than two rates are known.
pub fn usual_rate(rates: &[Option<WorkRate>]) -> Option<WorkRate> {
    let mut known: Vec<WorkRate> = rates.iter().filter_map(|r| *r).collect();
    if known.len() < MIN_SAMPLES { None } else { median(&mut known) }
}

/// Returns the speed of each endpoint of a choice, in percent of their usual speed, which is the
/// upper median of those that are known. Speeds are rounded to steps of a quarter: endpoints of
/// nearly the same speed stay tied, so that gateways with the same knowledge don't all choose the
/// same one. Fewer than two known speeds can't be compared; all count as usual then.
///
/// ```
/// use dotterelpin::gateway::place::speed::{WorkRate, percents};
///
/// let rate = |rate| Some(WorkRate(rate));
/// assert_eq!(percents(&[rate(1_200), None]), [100, 100]);
/// assert_eq!(percents(&[rate(1_200), rate(550), None, rate(1_210)]), [100, 41, 100, 100]);
/// assert_eq!(percents(&[rate(1_000), rate(1_000_000), rate(1_000)]), [100, 195, 100]);
/// ```
pub fn percents(rates: &[Option<WorkRate>]) -> Vec<u32> {
    let Some(usual) = usual_rate(rates) else { return vec![USUAL_PERCENT; rates.len()] };
    let percent = |rate: &Option<WorkRate>| {
        let Some(rate) = rate else { return USUAL_PERCENT };
        let exact = u64::from(rate.0) * 100 / u64::from(usual.0.max(1));
        let distance = |step: &&u32| u64::from(**step).abs_diff(exact);
        PERCENTS.iter().min_by_key(distance).copied().unwrap_or(USUAL_PERCENT)
    };
    rates.iter().map(percent).collect()
}
