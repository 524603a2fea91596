//! Requests to control members, and their replies.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::heartbeat::{Beat, Heartbeat, if_sent};
use super::status::Status;
use crate::control::dispatch::credits::{CreditsReply, CreditsRequest};
use crate::control::dispatch::prompts::PromptRequest;
use crate::control::dispatch::rooms::{KnownRun, RoomRequest, RunEnd, RunId};
use crate::control::origins::{self, Origin};
use crate::control::quarantine::{Cause, Evidence};
use crate::control::state::{Applied, Command};
use crate::model::{BootId, EndpointState};

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
    /// Requests credit for client accounts with a quota; only the leader grants it.
    Credits(Box<CreditsRequest>),
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
        /// How many calls before this one need the capacity that it would take; 0 if there is none.
        ahead: u32,
    },
    /// The endpoint chosen to run a prefill.
    PromptAssigned {
        /// The endpoint, or None if all are busy.
        endpoint: Option<Box<str>>,
        /// Tokens of other prompts that it has to prefill, too.
        ahead: u32,
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
        /// What the answer rests on; members of earlier releases don't say.
        #[serde(deserialize_with = "if_sent")]
        basis: Option<OriginBasis>,
    },
    /// The credit granted for client accounts.
    CreditsGranted(CreditsReply),
}

/// What a member's answer about the origin of a stream rests on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginBasis {
    /// What the member's record of the origin rests on, if it has one.
    pub evidence: Option<origins::Evidence>,
    /// For how long its process has recorded origins.
    pub known_for: Duration,
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
