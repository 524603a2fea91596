//! Decisions that the leader makes for all gateways together, by counts that are soft state.

pub mod prompts;
pub mod rooms;

use serde::{Deserialize, Serialize};

/// An endpoint that may get a piece of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Candidate {
    /// Its name.
    pub endpoint: Box<str>,
    /// Whether it is in the failure domain that the work is best done in.
    pub local: bool,
}
