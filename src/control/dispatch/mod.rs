//! Dispatch decisions that the leader makes for all gateways, based on counts that are soft state.
//!
//! In the names of this module and of its messages, "room" is free capacity at a decode endpoint,
//! and "prompt" is a prefill at a prefill endpoint.

pub mod bucket;
pub mod credits;
pub mod grants;
pub mod prompts;
pub mod rooms;

use serde::{Deserialize, Serialize};

/// An endpoint that a call or a prompt may be assigned to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// The name of the endpoint.
    pub endpoint: Box<str>,
    /// Whether it is in the preferred failure domain.
    pub local: bool,
}
