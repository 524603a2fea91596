//! Messages between the system's own processes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::control::config::{Change, Config, Revised, SCHEMA};
use crate::control::dispatch::prompts::PromptTicket;
use crate::control::dispatch::rooms::{RoomTicket, RunEnd, RunId};
use crate::control::orders::rollout::Rollout;
use crate::control::orders::{Desired, OrderReport, OrderUpdate};
use crate::control::quarantine::{Fingerprint, Suspect};
use crate::control::replica::ReplicaMessage;
use crate::control::routing::{RoutingSeen, RoutingUpdate};
use crate::control::state::{Applied, Command};
use crate::model::{
    Body, BootId, Class, EndpointState, Load, Refusal, RequestId, Revision, Timestamp,
};

/// A message with the configuration that its sender has in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The configuration in force at the sender.
    pub revised: Revised,
    /// The message.
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
}

/// What an entry asks of an agent; each exchange serves one attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AgentRequest {
    /// Reserve decode room, held as long as the exchange stands and the lease lasts.
    Reserve {
        /// The attempt.
        request: RequestId,
        /// The class of the call.
        class: Class,
        /// Tokens of the prompt and the longest answer.
        tokens: u32,
        /// How long the room is held without a [`AgentRequest::Decode`].
        lease: Duration,
    },
    /// Turn a prompt into exported KV cache.
    Prefill {
        /// The attempt.
        request: RequestId,
        /// The class of the call.
        class: Class,
        /// The prompt.
        prompt: Box<str>,
        /// Tokens that the caller already has.
        prefix: Vec<Box<str>>,
        /// When the first token is due from now; the prefill queues by it and is refused once it
        /// can't be in time. Without it the prefill starts at once.
        within: Option<Duration>,
    },
    /// Import KV cache into the reserved room and generate.
    Decode {
        /// Where the KV cache is.
        export: Export,
        /// The offset of the first token to generate.
        from: u32,
        /// The offset after the last token to generate.
        until: u32,
        /// How long the import may take before it counts as stalled.
        within: Option<Duration>,
    },
    /// Run one exchange with a plain service.
    Call {
        /// The attempt.
        request: RequestId,
        /// The class of the call.
        class: Class,
        /// The start of the agent that the sender means.
        boot: BootId,
        /// Whether it may run more than once.
        repeatable: bool,
        /// When the answer is of no more use.
        deadline: Timestamp,
        /// The HTTP request.
        body: Body,
    },
    /// Say what became of an attempt and never start it if it has not started.
    Settle {
        /// The attempt.
        request: RequestId,
        /// The start of the agent that the attempt went to.
        boot: BootId,
    },
}

/// An order to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Load a model, adapter or version.
    Load {
        /// What to load, such as `model:cs-summary@7`.
        artifact: Box<str>,
    },
    /// Take the role of a prefill or a decode endpoint.
    Role {
        /// The new role.
        kind: crate::model::EndpointKind,
    },
    /// Take no new work.
    Drain,
    /// Take work again.
    Undrain,
}

/// KV cache that a prefill endpoint has exported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// The prefill endpoint's URL.
    pub url: Box<str>,
    /// The export's name at that endpoint.
    pub name: Box<str>,
    /// Tokens of the prompt and the prefix.
    pub tokens: u32,
}

/// What an agent answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AgentReply {
    /// The room is held.
    Reserved,
    /// What is in use at the endpoint now.
    Load(Load),
    /// The KV cache is exported.
    Exported(Export),
    /// Generated tokens in order.
    Part {
        /// The offset of the first token.
        offset: u32,
        /// The tokens.
        tokens: Vec<Box<str>>,
    },
    /// The exchange stands, though there is nothing to say.
    Alive,
    /// The engine's own end mark.
    End {
        /// The offset after the last token.
        offset: u32,
        /// Why generation ended.
        finish: Box<str>,
    },
    /// The answer of a plain service.
    Answer(Answer),
    /// The attempt was refused or failed.
    Refused(Refusal),
    /// What became of an attempt.
    Settled(Settled),
}

/// The answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The media type.
    pub media: Box<str>,
    /// The content.
    pub content: Vec<u8>,
}

/// What became of an attempt, by the agent's memory.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settled {
    /// It ran to this answer.
    Finished(Answer),
    /// It ran to an answer that was too large to keep.
    FinishedLarge {
        /// The answer's HTTP status.
        status: u16,
    },
    /// It runs now.
    Running,
    /// It has not started and never will.
    NotStarted,
    /// It may have run.
    Unknown,
}

/// What a process asks of a control member.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// The sender is alive; it wants what is new.
    Heartbeat(Box<Heartbeat>),
    /// An endpoint without an agent has told this process of itself.
    Announce(Box<EndpointState>),
    /// Say whether the member leads, and what the leader decides by.
    Lead,
    /// Choose the endpoint that runs a call; only the leader does.
    AssignRoom(Box<RoomTicket>),
    /// A run is over, or came not about.
    RunEnded {
        /// The run.
        run: RunId,
        /// How it ended.
        end: RunEnd,
    },
    /// Choose the endpoint that reads a prompt; only the leader does.
    AssignPrompt(PromptTicket),
    /// A prompt is read no more.
    PromptEnded {
        /// The endpoint that read it.
        endpoint: Box<str>,
        /// Its tokens.
        tokens: u32,
    },
    /// Put a command into the log.
    Propose(Command),
    /// Say whether the entry process of this start is alive.
    Owner(BootId),
    /// Tell what the member knows, for operators.
    Status,
}

/// What a process tells each control member at intervals.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The process.
    pub process: ProcessState,
    /// The endpoint, from an agent that has one.
    pub endpoint: Option<EndpointState>,
    /// Whether the sender wants to hear of endpoints.
    pub endpoints: bool,
    /// What the sender has seen of this member's endpoints.
    pub seen: Seen,
    /// Buckets of endpoints that the sender wants whole.
    pub full_buckets: Vec<u8>,
    /// How far the endpoint's orders are, from an agent.
    pub report: Option<OrderReport>,
    /// The version of the contents under suspicion that the sender has from this member.
    pub suspects: u64,
    /// The newest set of settings that the sender understands.
    pub schema: u32,
    /// Whether the sender wants the configuration whole, since changes did not fit.
    pub full_config: bool,
    /// What the sender knows of routing, if it routes by the document.
    pub routing: Option<RoutingSeen>,
}

impl Heartbeat {
    /// Returns the heartbeat of an endpoint that has no agent.
    pub fn of_endpoint(process: ProcessState, endpoint: EndpointState) -> Heartbeat {
        Heartbeat {
            process,
            endpoint: Some(endpoint),
            endpoints: false,
            seen: Seen::default(),
            full_buckets: Vec::new(),
            report: None,
            suspects: 0,
            schema: SCHEMA,
            full_config: false,
            routing: None,
        }
    }
}

/// A process as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessState {
    /// Its name.
    pub name: Box<str>,
    /// Its role.
    pub role: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Its start.
    pub boot: BootId,
    /// Its configuration in force.
    pub revised: Revised,
}

/// What a control member answers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// To a heartbeat.
    Beat(Beat),
    /// The endpoint is in the registry, or the end of a prompt is noted.
    Announced,
    /// Who runs a call.
    RoomAssigned {
        /// The endpoint, if any has room.
        endpoint: Option<Box<str>>,
    },
    /// Who reads a prompt.
    PromptAssigned {
        /// The endpoint, if any may.
        endpoint: Option<Box<str>>,
    },
    /// Who leads.
    Lead {
        /// The leader, if it is known.
        leader: Option<SocketAddr>,
        /// What it decides by, from the leader itself.
        leadership: Option<Box<Leadership>>,
    },
    /// The command was applied.
    Applied(Applied),
    /// The command was not put into the log here.
    NotLeader {
        /// Where to try next.
        leader: Option<SocketAddr>,
    },
    /// To a question about an owner.
    Owner {
        /// Whether its heartbeats still come.
        alive: bool,
    },
    /// The member leads no more; whether the command is in the log is not known, so send it again.
    Interrupted {
        /// Where to try next.
        leader: Option<SocketAddr>,
    },
    /// What the member knows.
    Status(Box<Status>),
}

/// What a leader of the log decides by.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Leadership {
    /// Its term, which no other leader has.
    pub term: u64,
    /// How long it has led.
    pub age: Duration,
    /// Whether another leader may have led before it.
    pub succeeds: bool,
    /// The live endpoints that take work.
    pub endpoints: Vec<EndpointState>,
}

/// What a control member tells a process.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// The member's name.
    pub member: Box<str>,
    /// What the member's log proves, if the member has a vote.
    pub proof: Option<Proof>,
    /// What makes the sender's configuration the one in force, if that is newer.
    pub config: Option<Update>,
    /// What the receiver has seen of this member's endpoints once it has taken this.
    pub seen: Seen,
    /// What changed among the endpoints since.
    pub endpoints: Option<Endpoints>,
    /// The orders of the sender's endpoint, if it named one.
    pub orders: Option<OrderUpdate>,
    /// The contents under suspicion, if they changed since the sender's version.
    pub suspects: Option<Suspects>,
    /// What the sender has not heard of routing, if it asked.
    pub routing: Option<Box<RoutingUpdate>>,
}

/// What makes a configuration the one in force at a member.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The configuration itself.
    Whole(Config),
    /// The changes since the receiver's revision.
    Changes {
        /// The changes in their order.
        changes: Vec<Change>,
        /// What they come to.
        revised: Revised,
    },
}

/// What a member tells of endpoints.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Endpoints {
    /// All that concern the receiver.
    All(Vec<EndpointState>),
    /// Those that changed.
    Changed {
        /// New or changed ones.
        set: Vec<EndpointState>,
        /// The names of those that are gone.
        gone: Vec<Box<str>>,
    },
    /// All of some buckets.
    Part {
        /// The buckets.
        buckets: Vec<u8>,
        /// Their endpoints.
        set: Vec<EndpointState>,
    },
    /// Digests of the buckets, so that the receiver can ask for those that differ.
    Digests(Vec<u64>),
}

/// How much of a member's endpoints a follower has seen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Seen {
    /// The start of the member.
    pub epoch: BootId,
    /// The version at that start.
    pub version: u64,
    /// The digest of what the follower holds.
    pub digest: u64,
}

/// Contents under suspicion, with their version at one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspects {
    /// The version.
    pub version: u64,
    /// The contents.
    pub list: Vec<(Fingerprint, Suspect)>,
}

/// What the log of a member with a vote proves about the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// The member, by the address that the others know it by.
    pub member: SocketAddr,
    /// A revision that no change in its log exceeds, committed or not.
    pub highest: Revision,
    /// A version that no routing document in its log exceeds, committed or not.
    pub document: u64,
    /// How often the members have changed, by its log.
    pub epoch: u64,
    /// The addresses of the members with a vote, by its log.
    pub voters: Vec<SocketAddr>,
}

/// What operators see.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The member that answers.
    pub member: Box<str>,
    /// The member that leads, if it is known.
    pub leader: Option<Box<str>>,
    /// The configuration in force at the member.
    pub config: Config,
    /// The accepted changes, oldest first.
    pub history: Vec<Change>,
    /// Live processes with the age of their last heartbeat.
    pub processes: Vec<(ProcessState, Duration)>,
    /// Live endpoints.
    pub endpoints: Vec<EndpointState>,
    /// What each live endpoint shall be by its orders, and what its agent reports.
    pub orders: Vec<OrderStatus>,
    /// The rollouts of each pool, oldest first; the last one stands.
    pub rollouts: Vec<Rollout>,
    /// Contents under suspicion; those with a time are refused until then.
    pub suspects: Vec<(Fingerprint, Suspect)>,
}

/// How far the orders of one endpoint are.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderStatus {
    /// The endpoint.
    pub endpoint: Box<str>,
    /// What it shall be.
    pub desired: Desired,
    /// What its agent reports.
    pub report: OrderReport,
}
