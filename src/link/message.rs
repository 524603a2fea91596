//! Messages between the system's own processes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::control::config::{Change, Config, Revised, SCHEMA};
use crate::control::dispatch::prompts::PromptRequest;
use crate::control::dispatch::rooms::{KnownRun, RoomRequest, RunEnd, RunId};
use crate::control::orders::rollout::Rollout;
use crate::control::orders::{Desired, OrderReport, OrderUpdate};
use crate::control::origins::Origin;
use crate::control::quarantine::{Cause, Entry, Evidence, QuarantineUpdate};
use crate::control::replica::ReplicaMessage;
use crate::control::routing::{RoutingSeen, RoutingUpdate};
use crate::control::state::{Applied, Command};
use crate::model::{
    Body, BootId, Class, EndpointState, Load, Refusal, RequestId, Revision, Timestamp,
};

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

/// A request from an entry to an agent; each exchange serves one attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AgentRequest {
    /// Reserve decode capacity for as long as the exchange is open and the lease lasts.
    Reserve {
        /// The id of the attempt.
        request: RequestId,
        /// The class of the call.
        class: Class,
        /// The tokens of the prompt plus the most tokens that the answer may have.
        tokens: u32,
        /// The software version of the endpoint that the request is meant for.
        software: Box<str>,
        /// How long the reservation lasts without a [`AgentRequest::Decode`].
        lease: Duration,
    },
    /// Run the prefill of a prompt and export its KV cache.
    Prefill {
        /// The id of the attempt.
        request: RequestId,
        /// The class of the call.
        class: Class,
        /// The software version of the endpoint that the request is meant for.
        software: Box<str>,
        /// The text of the prompt.
        prompt: Box<str>,
        /// Generated tokens that were already delivered to the caller.
        prefix: Vec<Box<str>>,
        /// The time left until the first token is due. Prefills are queued by this deadline and
        /// refused once they can no longer meet it; without it the prefill starts at once.
        within: Option<Duration>,
    },
    /// Import KV cache into the reserved capacity and generate tokens.
    Decode {
        /// The KV cache to import.
        export: Export,
        /// The offset of the first token to generate.
        from: u32,
        /// The offset after the last token to generate.
        until: u32,
        /// How long the import may take before it counts as stalled; without it there is no limit.
        within: Option<Duration>,
    },
    /// Send one HTTP request to a plain service.
    Call {
        /// The id of the attempt.
        request: RequestId,
        /// The class of the call.
        class: Class,
        /// The boot of the agent that the request is meant for.
        boot: BootId,
        /// Whether the request may run more than once.
        repeatable: bool,
        /// The time after which an answer is useless.
        deadline: Timestamp,
        /// The HTTP request.
        body: Body,
    },
    /// Reply with the outcome of an attempt; an attempt that has not started yet never starts.
    Settle {
        /// The id of the attempt.
        request: RequestId,
        /// The boot of the agent to which the attempt was sent.
        boot: BootId,
    },
}

/// An order to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Load a model, adapter or version.
    Load {
        /// The artifact to load, such as `model:cs-summary@7`.
        artifact: Box<str>,
    },
    /// Switch to the role of a prefill or a decode endpoint.
    Role {
        /// The new role.
        kind: crate::model::EndpointKind,
    },
    /// Stop accepting new work.
    Drain,
    /// Accept work again.
    Undrain,
}

/// KV cache that a prefill endpoint has exported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// The prefill endpoint's URL.
    pub url: Box<str>,
    /// The name of the export at that endpoint.
    pub name: Box<str>,
    /// The number of tokens in the prompt and the prefix.
    pub tokens: u32,
}

/// A reply from an agent to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AgentReply {
    /// The capacity is reserved.
    Reserved,
    /// What is in use at the endpoint now.
    Load(Load),
    /// The prefill is complete and its KV cache is exported.
    Exported(Export),
    /// Consecutive generated tokens.
    Part {
        /// The offset of the first token.
        offset: u32,
        /// The tokens.
        tokens: Vec<Box<str>>,
    },
    /// A keep-alive: the exchange is open but there is nothing to send.
    Alive,
    /// The engine reported the end of the generation.
    End {
        /// The offset after the last token.
        offset: u32,
        /// The finish reason that the engine gave.
        finish: Box<str>,
    },
    /// The answer of a plain service.
    Answer(Answer),
    /// The attempt was refused, or it failed.
    Refused(Refusal),
    /// The outcome of an attempt.
    Settled(Settled),
}

/// The answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the content.
    pub media: Box<str>,
    /// The body of the answer.
    pub content: Vec<u8>,
}

/// The outcome of an attempt as recorded by the agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settled {
    /// It finished with this answer.
    Finished(Answer),
    /// It finished with an answer that was too large to retain.
    FinishedLarge {
        /// The answer's HTTP status.
        status: u16,
    },
    /// It is still running.
    Running,
    /// It has not started and will not start.
    NotStarted,
    /// It may or may not have run.
    Unknown,
}

/// A request to a control member.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlRequest {
    /// Reports that the sender is alive, and requests updates.
    Heartbeat(Box<Heartbeat>),
    /// Registers an endpoint without an agent, which announced itself to the sender.
    Announce(Box<EndpointState>),
    /// Requests the address of the leader and, from the leader itself, the state that its decisions
    /// are based on.
    Lead,
    /// Requests an endpoint to run a call; only the leader chooses one.
    AssignRoom(Box<RoomRequest>),
    /// Reports that a run has ended or did not start.
    RunEnded {
        /// The id of the run.
        run: RunId,
        /// How it ended.
        end: RunEnd,
    },
    /// Reports runs that the leader may not count; the same may be sent again.
    CountRuns {
        /// Identifies the start of the gateway that owns the calls.
        owner: BootId,
        /// The runs.
        runs: Vec<KnownRun>,
    },
    /// Requests an endpoint to run a prefill; only the leader chooses one.
    AssignPrompt(PromptRequest),
    /// Reports that a prefill has ended.
    PromptEnded {
        /// The endpoint that ran it.
        endpoint: Box<str>,
        /// The number of tokens of the prompt.
        tokens: u32,
    },
    /// Requests that a command is appended to the log; only the leader does this.
    Propose(Command),
    /// Requests whether the member still receives heartbeats of the entry process with this boot.
    Owner(BootId),
    /// Requests the member's view of the fleet, for operators.
    Status,
    /// Records at the member what the sender has seen of crashes of endpoints; the same may be sent
    /// again.
    ReportEvidence(Vec<Evidence>),
    /// Requests permission to send one call with a cause that is being probed; only the leader gives it.
    RequestProbe(Cause),
    /// Records the origins of streams at the member; the first record of a call is kept, so the
    /// request may be sent again.
    RecordOrigins(Vec<Origin>),
    /// Requests the software version at which a stream may go on; every member answers from what it
    /// knows itself.
    FindOrigin {
        /// The id of the call that brought the stream's first event, if the caller names it.
        call: Option<Box<str>>,
        /// The name of the service.
        service: Box<str>,
    },
}

/// The state that a process reports to each control member at intervals.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The process that sends the heartbeat.
    pub process: ProcessState,
    /// The endpoint of the sender, if the sender is an agent whose endpoint has announced itself.
    pub endpoint: Option<EndpointState>,
    /// Whether the sender requests updates of endpoints.
    pub endpoints: bool,
    /// The version of the receiving member's endpoints that the sender has.
    pub seen: Seen,
    /// The buckets of endpoints that the sender requests in full.
    pub full_buckets: Vec<u8>,
    /// The progress of the endpoint's orders, if the sender is an agent.
    pub report: Option<OrderReport>,
    /// The version of the list of causes in quarantine that the sender has.
    pub quarantine: u64,
    /// The newest version of the set of settings that the sender understands.
    pub schema: u32,
    /// Whether the sender requests the full configuration because changes could not be applied.
    pub full_config: bool,
    /// The version of the routing state that the sender has, if it uses the routing document.
    pub routing: Option<RoutingSeen>,
}

impl Heartbeat {
    /// Returns the heartbeat that is recorded for an endpoint without an agent.
    pub fn of_endpoint(process: ProcessState, endpoint: EndpointState) -> Heartbeat {
        Heartbeat {
            process,
            endpoint: Some(endpoint),
            endpoints: false,
            seen: Seen::default(),
            full_buckets: Vec::new(),
            report: None,
            quarantine: 0,
            schema: SCHEMA,
            full_config: false,
            routing: None,
        }
    }
}

/// A process as it is listed for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessState {
    /// The name of the process.
    pub name: Box<str>,
    /// The name of its role, or `endpoint` for an endpoint without an agent.
    pub role: Box<str>,
    /// The failure domain that it runs in.
    pub domain: Box<str>,
    /// The boot that identifies this start of the process.
    pub boot: BootId,
    /// The revision of the configuration that it has in force.
    pub revised: Revised,
}

/// A reply from a control member.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ControlReply {
    /// The answer to a heartbeat.
    Beat(Beat),
    /// The endpoint is in the registry, or the end of a run or a prefill is recorded.
    Announced,
    /// The endpoint chosen to run a call.
    RoomAssigned {
        /// The endpoint, or None if none has capacity.
        endpoint: Option<Box<str>>,
    },
    /// The endpoint chosen to run a prefill.
    PromptAssigned {
        /// The endpoint, or None if all are busy.
        endpoint: Option<Box<str>>,
    },
    /// The answer to a request for the leader.
    Lead {
        /// The address of the leader, if it is known.
        leader: Option<SocketAddr>,
        /// The state that its decisions are based on; only the leader itself sends it.
        leadership: Option<Box<Leadership>>,
    },
    /// The command was applied.
    Applied(Applied),
    /// The member does not lead or is shutting down; it appended no command and chose no endpoint.
    NotLeader {
        /// The address of the leader, if it is known; the request is to be sent there next.
        leader: Option<SocketAddr>,
    },
    /// The answer to a request about the owner of a claim.
    Owner {
        /// Whether heartbeats of the owner are still received.
        alive: bool,
    },
    /// The member no longer leads; the command may or may not be in the log, so send it again.
    Interrupted {
        /// The address of the leader, if it is known; the command is to be sent there next.
        leader: Option<SocketAddr>,
    },
    /// The member's view of the fleet.
    Status(Box<Status>),
    /// The evidence is recorded at this member.
    EvidenceRecorded,
    /// The answer to a request for a probe.
    ProbeGranted {
        /// The cause.
        cause: Cause,
        /// Whether the sender may send one call with it.
        granted: bool,
    },
    /// The origins are recorded at this member.
    OriginsRecorded,
    /// The answer to a request for the origin of a stream.
    OriginFound {
        /// The software version that began the stream, if the member knows it.
        software: Option<Box<str>>,
        /// The software version of all endpoints of the service within
        /// [`ORIGIN_TTL`](crate::control::origins::ORIGIN_TTL), if there was only one and the member
        /// has led for as long, since only the leader hears of all endpoints.
        only: Option<Box<str>>,
    },
}

/// The state that the decisions of the log's leader are based on.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Leadership {
    /// The term of the leader, which no other leader shares.
    pub term: u64,
    /// How long it has led.
    pub age: Duration,
    /// Whether another leader may have led before it.
    pub succeeds: bool,
    /// The live endpoints that accept work.
    pub endpoints: Vec<EndpointState>,
}

/// The updates that a control member sends in answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Beat {
    /// The name of the member.
    pub member: Box<str>,
    /// The bounds that the member's log proves, if the member has a vote.
    pub proof: Option<Proof>,
    /// The update from the sender's configuration to the one in force, if that is newer.
    pub config: Option<Update>,
    /// The version of this member's endpoints that the receiver has after applying this message.
    pub seen: Seen,
    /// The changes of the endpoints since the receiver's version.
    pub endpoints: Option<Endpoints>,
    /// The orders for the endpoint that the heartbeat named, if any.
    pub orders: Option<OrderUpdate>,
    /// The causes in quarantine, if they changed since the version in the heartbeat.
    pub quarantine: Option<QuarantineUpdate>,
    /// The routing updates since the version in the heartbeat, if it named one.
    pub routing: Option<Box<RoutingUpdate>>,
}

/// An update to the configuration that is in force at a member.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Update {
    /// The full configuration.
    Whole(Config),
    /// The changes since the receiver's revision.
    Changes {
        /// The changes, oldest first.
        changes: Vec<Change>,
        /// The revision and content hash after all changes are applied.
        revised: Revised,
    },
}

/// An update of the endpoints that a member lists.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Endpoints {
    /// All endpoints that concern the receiver.
    All(Vec<EndpointState>),
    /// The endpoints that changed.
    Changed {
        /// The new and changed endpoints.
        set: Vec<EndpointState>,
        /// The names of the removed endpoints.
        gone: Vec<Box<str>>,
    },
    /// All endpoints of some buckets.
    Part {
        /// The numbers of the buckets.
        buckets: Vec<u8>,
        /// The endpoints in these buckets.
        set: Vec<EndpointState>,
    },
    /// A digest of each bucket, so that the receiver can request those that differ.
    Digests(Vec<u64>),
}

/// The version of a member's endpoints that a follower has.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Seen {
    /// The boot of the member.
    pub epoch: BootId,
    /// The version within that boot.
    pub version: u64,
    /// The digest of the endpoints that the follower has.
    pub digest: u64,
}

/// What the log of a member with a vote proves about the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Proof {
    /// The address at which the other members reach this member.
    pub member: SocketAddr,
    /// An upper bound of the configuration revisions in its log, committed or not.
    pub highest: Revision,
    /// An upper bound of the routing document versions in its log, committed or not.
    pub document: u64,
    /// The epoch of the members in its log, which counts membership changes.
    pub epoch: u64,
    /// The addresses of the members with a vote according to its log.
    pub voters: Vec<SocketAddr>,
}

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
