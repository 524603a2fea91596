//! Messages between the system's own processes.

mod agent;
mod control;
mod heartbeat;
mod notice;
mod reports;
mod status;

use serde::{Deserialize, Serialize};

pub use agent::{AgentReply, AgentRequest, Answer, Export, Order, Settled};
pub use control::{ControlReply, ControlRequest, Leadership, OriginBasis};
pub use heartbeat::{Beat, Endpoints, Heartbeat, ProcessState, Proof, Seen, Update};
pub use notice::{ControlNotice, MAX_VOTERS, WrongVoters};
pub use reports::{
    AgedLoad, EngineLoad, EngineTag, FetchedReport, MAX_WANTED, ReportsHeard, ReportsSent,
    ReportsWanted, age_millis,
};
pub use status::{OrderStatus, Status};

use crate::control::config::Revised;
use crate::control::replica::ReplicaMessage;

/// A message together with the sender's configuration revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The revision and content hash of the configuration in force at the sender.
    pub revised: Revised,
    /// The request or reply.
    pub body: T,
}

/// A request on an exchange.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// To the agent of an endpoint.
    Agent(AgentRequest),
    /// To a control member.
    Control(ControlRequest),
    /// Between control members.
    Replica(ReplicaMessage),
    /// From a control member to a process that it doesn't hear.
    Notice(ControlNotice),
}

/// A reply on an exchange.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// From the agent of an endpoint.
    Agent(AgentReply),
    /// From a control member.
    Control(ControlReply),
    /// Between control members.
    Replica(ReplicaMessage),
    /// The answer to a notice.
    Noticed,
}
