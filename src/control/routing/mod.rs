//! The replicated state of routing: the routing document and the deregistered endpoints.
//!
//! Operators replace the routing document as a unit. Control stores its bytes unchanged, so that a
//! read returns exactly what was sent. Only the API parses the document, to validate it, and the
//! processes that route by it, once for each version.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::replica::LogIndex;
use super::state::Command;
use crate::model::BootId;

mod text;

/// The maximum number of deregistrations that are kept; older ones have long expired in all
/// processes.
const MAX_DEREGISTRATIONS: usize = 4_096;

/// A routing document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The version, which the operator sets; the document with the highest one is in force.
    pub version: u64,
    /// The text, exactly as the operator sent it; shared, since log and state hold it, too.
    #[serde(with = "text")]
    pub text: Arc<[u8]>,
}

/// The deregistration of an endpoint, which receives no new work from then on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deregistration {
    /// The name of the endpoint.
    pub endpoint: Box<str>,
    /// The start that is deregistered; a later start under the same name counts as a new endpoint.
    pub boot: BootId,
}

/// The routing document and the last deregistrations.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Routing {
    document: Option<Document>,
    deregistered: BTreeMap<LogIndex, Deregistration>,
}

impl Routing {
    /// Returns the document in force.
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Returns the version of the document in force; 0 without one.
    pub fn version(&self) -> u64 {
        self.document.as_ref().map_or(0, |d| d.version)
    }

    /// Puts a document in force if its version is higher than the present one; returns whether it
    /// was.
    pub fn publish(&mut self, document: &Document) -> bool {
        if document.version <= self.version() {
            return false;
        }
        self.document = Some(document.clone());
        true
    }

    /// Records a deregistration with its index in the log.
    pub fn deregister(&mut self, index: LogIndex, deregistration: &Deregistration) {
        self.deregistered.insert(index, deregistration.clone());
        if self.deregistered.len() > MAX_DEREGISTRATIONS {
            self.deregistered.pop_first();
        }
    }

    /// Returns whether this start of an endpoint, or a later one, has been deregistered.
    pub fn is_deregistered(&self, endpoint: &str, boot: BootId) -> bool {
        let same = |d: &Deregistration| *d.endpoint == *endpoint && d.boot >= boot;
        self.deregistered.values().any(same)
    }

    /// Returns the deregistrations after an index of the log.
    pub fn deregistered_after(
        &self,
        index: LogIndex,
    ) -> impl Iterator<Item = (LogIndex, &Deregistration)> {
        let next = LogIndex(index.0 + 1);
        self.deregistered.range(next..).map(|(index, deregistration)| (*index, deregistration))
    }
}

/// Returns an upper bound for the version of the document in force after these commands of the log,
/// committed or not.
pub fn highest<'a>(from: u64, commands: impl Iterator<Item = &'a Command>) -> u64 {
    commands.fold(from, |version, command| match command {
        Command::Publish(document) => version.max(document.version),
        _ => version,
    })
}

/// The state of routing that a gateway has received.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RoutingSeen {
    /// The version of its routing document; 0 without one.
    pub version: u64,
    /// The index in the log of the last deregistration that it received.
    pub deregistration: LogIndex,
}

impl RoutingSeen {
    /// Returns the same state for a heartbeat that asks for no document, however new it is.
    pub fn without_document(self) -> RoutingSeen {
        RoutingSeen { version: u64::MAX, ..self }
    }
}

/// The changes of routing that a gateway has not received yet.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RoutingUpdate {
    /// The document in force, if it is newer than the gateway's.
    pub document: Option<Document>,
    /// The deregistrations since the gateway's last one, with their indices in the log.
    pub deregistered: Vec<(LogIndex, Deregistration)>,
    /// The number of live gateways in the registry of the member.
    pub gateways: u32,
    /// The leader's address, if the member knows it or is the leader itself.
    pub leader: Option<SocketAddr>,
}
