//! Dispatch decisions that the leader makes for all gateways, based on counts that are soft state.
//!
//! In the names of this module and of its messages, "room" is free capacity at a decode endpoint,
//! and "prompt" is a prefill at a prefill endpoint.

pub mod bucket;
pub mod credits;
pub mod prompts;
pub mod rooms;
pub mod shares;
pub mod speeds;
pub mod waiting;

use serde::{Deserialize, Serialize};

use crate::gateway::place::speed::{SpeedSample, percents};

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
}

/// Returns the speeds of candidates in percent of their usual speed.
pub(crate) fn candidate_percents(candidates: &[Candidate]) -> Vec<u32> {
    percents(&candidates.iter().map(|c| c.speed.map(|s| s.rate)).collect::<Vec<_>>())
}
