//! What a process that routes by the routing document has heard of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::control::replica::LogIndex;
use crate::control::routing::{Document, RoutingSeen, RoutingUpdate};
use crate::model::{BootId, EndpointState, Timestamp};

/// How long the largest count of gateways is believed: members that restart count from zero.
const COUNT_TTL: Duration = Duration::from_millis(30_000);
/// The count of gateways before any member has told one; so large that a gateway that knows
/// nothing takes a small part of what all share.
const UNKNOWN_COUNT: u32 = 1_000;

/// The routing document, deregistered endpoints and the count of gateways.
#[derive(Debug, Default)]
pub struct RoutingView {
    seen: RoutingSeen,
    document: Option<Document>,
    /// The last deregistered start of each endpoint.
    deregistered: BTreeMap<Box<str>, BootId>,
    /// The leader that a member last told of.
    leader: Option<SocketAddr>,
    /// Counts of gateways that members told, by their times.
    counts: BTreeMap<Timestamp, u32>,
}

impl RoutingView {
    /// Returns what is known, for heartbeats.
    pub fn seen(&self) -> RoutingSeen {
        self.seen
    }

    /// Takes what a member tells; returns whether any endpoint has deregistered.
    pub fn apply(&mut self, now: Timestamp, update: &RoutingUpdate) -> bool {
        if let Some(document) = &update.document
            && document.version > self.seen.version
        {
            self.seen.version = document.version;
            self.document = Some(document.clone());
        }
        self.count(now, update.gateways);
        self.leader = update.leader.or(self.leader);
        for (index, deregistration) in &update.deregistered {
            self.seen.deregistration = LogIndex(self.seen.deregistration.0.max(index.0));
            let boot = self.deregistered.entry(deregistration.endpoint.clone()).or_default();
            *boot = (*boot).max(deregistration.boot);
        }
        !update.deregistered.is_empty()
    }

    /// Returns the document if it is newer than at the last call.
    pub fn new_document(&mut self) -> Option<Document> {
        self.document.take()
    }

    /// Returns the leader of control, as far as it is known.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.leader
    }

    /// Returns whether this start of an endpoint has deregistered.
    pub fn is_deregistered(&self, endpoint: &EndpointState) -> bool {
        self.deregistered.get(&endpoint.name).is_some_and(|boot| endpoint.boot <= *boot)
    }

    /// Returns the largest count of gateways of the last while.
    pub fn gateways(&self, now: Timestamp) -> u32 {
        let recent = self.counts.iter().filter(|(at, _)| now - **at < COUNT_TTL);
        recent.map(|(_, count)| *count).max().filter(|c| *c > 0).unwrap_or(UNKNOWN_COUNT)
    }

    /// Keeps a count and forgets those that say nothing beside it.
    fn count(&mut self, now: Timestamp, count: u32) {
        self.counts.retain(|at, old| now - *at < COUNT_TTL && *old > count);
        self.counts.insert(now, count);
    }
}
