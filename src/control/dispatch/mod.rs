//! Dispatch decisions that the leader makes for all gateways, based on counts that are soft state.
//!
//! In the names of this module and of its messages, "room" is free capacity at a decode endpoint,
//! and "prompt" is a prefill at a prefill endpoint.

pub mod bucket;
pub mod credits;
pub mod grants;
pub mod pairs;
pub mod prompts;
pub mod rooms;
pub mod shares;
pub mod speeds;
pub mod waiting;

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::gateway::place::locality::Times;
use crate::gateway::place::speed::{SpeedSample, WorkRate};

/// An endpoint that a call or a prompt may be assigned to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The name of the endpoint.
    pub endpoint: Box<str>,
    /// Whether it is in the preferred failure domain.
    pub local: bool,
    /// What the gateway has learned of its speed since it last named it; at the leader, the estimate
    /// from the samples of all gateways.
    pub speed: Option<SpeedSample>,
    /// What a crossing to it costs if it is in another domain, in microseconds; `None` while no price
    /// is set.
    pub crossing: Option<u32>,
    /// How long a prompt is expected to take in its domain before it can run there, in microseconds;
    /// set by the leader.
    #[serde(skip)]
    pub wait: u32,
}

impl Candidate {
    /// Creates a candidate of which only its name and whether it is preferred are known.
    ///
    /// ```
    /// use dotterelpin::control::dispatch::Candidate;
    ///
    /// assert_eq!(Candidate::new("f1", true).speed, None);
    /// ```
    pub fn new(endpoint: &str, local: bool) -> Candidate {
        Candidate { endpoint: endpoint.into(), local, speed: None, crossing: None, wait: 0 }
    }

    /// Returns the expected time until an amount of work is finished at it.
    fn cost(&self, index: usize, times: &Times, work: u64) -> u64 {
        let micros = |time: u32| Duration::from_micros(time.into());
        let (crossing, wait) = (self.crossing.map(micros), micros(self.wait));
        times.named_cost(index, work, self.local, crossing, wait)
    }
}

/// Returns the learned rates of candidates.
fn rates(candidates: &[Candidate]) -> Vec<Option<WorkRate>> {
    candidates.iter().map(|c| c.speed.map(|s| s.rate)).collect()
}
