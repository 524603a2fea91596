//! Heartbeats of processes, and the updates that control members send in answer.

use std::net::SocketAddr;

use serde::{Deserialize, Deserializer, Serialize};

use super::reports::{ReportsHeard, ReportsSent};
use crate::control::config::{Change, Config, Revised, SCHEMA};
use crate::control::orders::{OrderReport, OrderUpdate};
use crate::control::origins::{Correction, Origin};
use crate::control::quarantine::QuarantineUpdate;
use crate::control::routing::{RoutingSeen, RoutingUpdate};
use crate::model::{BootId, EndpointState, Revision};

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
    /// The address at which the sender can be called, if it can; processes of earlier releases send
    /// none.
    #[serde(deserialize_with = "if_sent")]
    pub address: Option<SocketAddr>,
    /// The reports of engines that the sender has fetched or requests, if it uses reports.
    #[serde(deserialize_with = "if_sent")]
    pub reports: Option<Box<ReportsSent>>,
    /// The origins of streams that the receiving member may not have yet, if there are any.
    #[serde(deserialize_with = "if_sent")]
    pub origins: Option<Vec<Origin>>,
    /// The corrections of such origins that the receiving member may not have yet, if there are any.
    #[serde(deserialize_with = "if_sent")]
    pub corrections: Option<Vec<Correction>>,
}

/// Reads a field at the end of a message, which processes of earlier releases don't send.
pub(super) fn if_sent<'de, D: Deserializer<'de>, T: Deserialize<'de>>(
    raw: D,
) -> Result<Option<T>, D::Error> {
    Ok(Option::deserialize(raw).unwrap_or_default())
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
            address: None,
            reports: None,
            origins: None,
            corrections: None,
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
    /// The reports of engines that the heartbeat requested.
    #[serde(deserialize_with = "if_sent")]
    pub reports: Option<Box<ReportsHeard>>,
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
