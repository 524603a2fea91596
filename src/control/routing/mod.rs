//! The routing document and the endpoints that leave, as the log holds them.
//!
//! Operators send a routing document as a whole. Control keeps its text as it came, so that a read
//! gives back what was sent; processes that route by it read it once.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::replica::LogIndex;
use super::state::Command;
use crate::model::BootId;

/// Deregistration that are kept; those before them have long lapsed everywhere.
const MAX_DEREGISTRATIONS: usize = 4_096;

/// A routing document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Its version, given by the operator; the highest one is in force.
    pub version: u64,
    /// Its text.
    pub text: Box<[u8]>,
}

/// An endpoint that leaves: it gets no new work any more.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Deregistration {
    /// The endpoint.
    pub endpoint: Box<str>,
    /// Its start; a later start under the same name is another endpoint.
    pub boot: BootId,
}

/// What the log says of routing.
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

    /// Takes a document; one whose version is not higher changes nothing. Returns whether it is
    /// in force now.
    pub fn publish(&mut self, document: &Document) -> bool {
        if document.version <= self.version() {
            return false;
        }
        self.document = Some(document.clone());
        true
    }

    /// Takes a deregistration at a place of the log.
    pub fn deregister(&mut self, index: LogIndex, deregistration: &Deregistration) {
        self.deregistered.insert(index, deregistration.clone());
        if self.deregistered.len() > MAX_DEREGISTRATIONS {
            self.deregistered.pop_first();
        }
    }

    /// Returns whether this start of an endpoint has deregistered.
    pub fn is_deregistered(&self, endpoint: &str, boot: BootId) -> bool {
        let same = |d: &Deregistration| *d.endpoint == *endpoint && d.boot >= boot;
        self.deregistered.values().any(same)
    }

    /// Returns the deregistered after a place of the log.
    pub fn deregistered_after(
        &self,
        index: LogIndex,
    ) -> impl Iterator<Item = (LogIndex, &Deregistration)> {
        let next = LogIndex(index.0 + 1);
        self.deregistered.range(next..).map(|(index, deregistration)| (*index, deregistration))
    }
}

/// Returns a version that the document in force can't exceed with these commands of the log,
/// committed or not.
pub fn highest<'a>(from: u64, commands: impl Iterator<Item = &'a Command>) -> u64 {
    commands.fold(from, |version, command| match command {
        Command::Publish(document) => version.max(document.version),
        _ => version,
    })
}

/// What a gateway knows of routing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RoutingSeen {
    /// The version of its document.
    pub version: u64,
    /// The place in the log of the last deregistration that it heard of.
    pub deregistration: LogIndex,
}

/// What a gateway has not heard of routing.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RoutingUpdate {
    /// The document, if it is newer.
    pub document: Option<Document>,
    /// The deregistered since.
    pub deregistered: Vec<(LogIndex, Deregistration)>,
    /// How many gateways the member hears of.
    pub gateways: u32,
    /// The leader that the member follows, or itself.
    pub leader: Option<SocketAddr>,
}
