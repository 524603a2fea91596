//! A control member's view of the fleet, for operators.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::heartbeat::ProcessState;
use crate::control::config::{Change, Config};
use crate::control::dispatch::credits::AccountUse;
use crate::control::orders::rollout::Rollout;
use crate::control::orders::{Desired, OrderReport};
use crate::control::quarantine::{Cause, Entry};
use crate::model::EndpointState;

/// A member's view of the fleet, for operators.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the member that answers.
    pub member: Box<str>,
    /// The name of the member that leads, if it is known.
    pub leader: Option<Box<str>>,
    /// The configuration in force at the member.
    pub config: Config,
    /// The accepted changes, oldest first.
    pub history: Vec<Change>,
    /// Live processes with the age of their last heartbeat.
    pub processes: Vec<(ProcessState, Duration)>,
    /// Live endpoints.
    pub endpoints: Vec<EndpointState>,
    /// The state ordered for each live endpoint and the progress that its agent reports.
    pub orders: Vec<OrderStatus>,
    /// The rollouts of each pool, oldest first; the last one is in effect.
    pub rollouts: Vec<Rollout>,
    /// The causes in quarantine.
    pub quarantine: Vec<(Cause, Entry)>,
    /// The client accounts whose quotas are in use, if the member leads.
    pub accounts: Vec<AccountUse>,
}

/// The progress of the orders for one endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderStatus {
    /// The name of the endpoint.
    pub endpoint: Box<str>,
    /// The state that the committed orders ask for.
    pub desired: Desired,
    /// The progress that its agent reports.
    pub report: OrderReport,
}
