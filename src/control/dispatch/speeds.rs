//! Collects at the leader what gateways have learned of the speed of endpoints.
//!
//! This matters while each gateway has few answers of each endpoint: 31 gateways and 50 engines see
//! a slow period of 0.6 s in one answer each, if at all. The samples of all are put together. They
//! are soft state: a new leader starts with none, and places work as if all were equally fast.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Candidate;
use crate::gateway::place::speed::{Speed, SpeedSample, WorkRate};
use crate::model::Timestamp;

/// The maximum number of endpoints with a known speed; further ones count as unknown.
const MAX_ENDPOINTS: usize = 4_096;
/// How long an endpoint is kept without a sample.
const IDLE_TTL: Duration = Duration::from_secs(30);
/// How often endpoints without samples are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// The speeds of endpoints of one kind.
///
/// ```
/// use dotterelpin::control::dispatch::Candidate;
/// use dotterelpin::control::dispatch::speeds::Speeds;
/// use dotterelpin::gateway::place::speed::{SpeedSample, WorkRate};
/// use dotterelpin::model::Timestamp;
///
/// let now = Timestamp::from_micros(1_000_000);
/// let named = |speed| vec![Candidate { speed, ..Candidate::new("f1", true) }];
/// let sample = Some(SpeedSample { rate: WorkRate(30_000), age: 5 });
/// let mut speeds = Speeds::default();
/// (0..2).for_each(|_| speeds.merge(now, &mut named(sample)));
/// let mut unknown = named(None);
/// speeds.merge(now, &mut unknown);
/// assert_eq!(unknown[0].speed.unwrap().rate, WorkRate(30_000));
/// ```
#[derive(Debug, Default)]
pub struct Speeds {
    known: BTreeMap<Box<str>, (Timestamp, Speed)>,
    next_sweep: Timestamp,
}

impl Speeds {
    /// Learns the samples that a request names, and replaces each with the estimate from the samples
    /// of all gateways.
    pub fn merge(&mut self, now: Timestamp, candidates: &mut [Candidate]) {
        self.sweep(now);
        for candidate in candidates {
            if let Some(sample) = candidate.speed {
                self.learn(now, &candidate.endpoint, sample);
            }
            let known = self.known.get(&candidate.endpoint);
            let estimate = known.and_then(|(_, speed)| speed.estimate(now));
            candidate.speed = estimate.map(|e| SpeedSample {
                rate: e.rate,
                age: u16::try_from(e.age.as_millis()).unwrap_or(u16::MAX),
            });
        }
    }

    /// Returns the estimated rate of an endpoint.
    pub fn rate(&self, now: Timestamp, endpoint: &str) -> Option<WorkRate> {
        let (_, speed) = self.known.get(endpoint)?;
        speed.estimate(now).map(|estimate| estimate.rate)
    }

    fn learn(&mut self, now: Timestamp, endpoint: &str, sample: SpeedSample) {
        let age = Duration::from_millis(sample.age.into()).as_micros() as u64;
        let at = Timestamp::from_micros(now.as_micros().saturating_sub(age));
        if let Some((last, speed)) = self.known.get_mut(endpoint) {
            *last = now;
            speed.record(at, sample.rate);
        } else if self.known.len() < MAX_ENDPOINTS {
            let mut speed = Speed::default();
            speed.record(at, sample.rate);
            self.known.insert(endpoint.into(), (now, speed));
        }
    }

    fn sweep(&mut self, now: Timestamp) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.known.retain(|_, (last, _)| now - *last < IDLE_TTL);
    }
}
