//! The routing state that a process receives from control members.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::reread::Reread;
use crate::control::replica::LogIndex;
use crate::control::routing::{Document, RoutingSeen, RoutingUpdate};
use crate::model::{BootId, EndpointState, Timestamp};

/// How long the largest count of gateways is used; a member that has restarted counts
/// from zero.
const COUNT_TTL: Duration = Duration::from_millis(30_000);
/// The count of gateways before any member has reported one; so large that a gateway without
/// a count uses only a small part of the shared limits.
const UNKNOWN_COUNT: u32 = 1_000;

/// The routing document, deregistered endpoints and the count of gateways.
#[derive(Debug, Default)]
pub struct RoutingView {
    /// The versions that were received.
    seen: RoutingSeen,
    /// The version of the document by which the process routes.
    in_force: u64,
    /// The further requests for the last document, if it couldn't be read.
    reread: Option<Reread>,
    document: Option<Document>,
    /// The latest deregistered boot of each endpoint.
    deregistered: BTreeMap<Box<str>, BootId>,
    /// The leader that a member last reported.
    leader: Option<SocketAddr>,
    /// Counts of gateways that members reported, by time of receipt.
    counts: BTreeMap<Timestamp, u32>,
    /// The largest recent count when one was received last.
    last_count: Option<u32>,
}

impl RoutingView {
    /// Returns the versions that were received.
    pub fn seen(&self) -> RoutingSeen {
        self.seen
    }

    /// Returns the versions that the heartbeat to a member states, by its index among all of them:
    /// those that were received, or that of the document in force to get a newer one again that
    /// couldn't be read.
    pub fn stated(&mut self, now: Timestamp, member: usize, members: usize) -> RoutingSeen {
        let asks = self.reread.as_mut().is_some_and(|r| r.asks(now, member, members));
        let version = if asks { self.in_force } else { self.seen.version };
        RoutingSeen { version, ..self.seen }
    }

    /// Returns the version of the document by which the process routes; 0 without one.
    pub fn in_force(&self) -> u64 {
        self.in_force
    }

    /// Records that the process routes by the document with a version.
    pub fn put_in_force(&mut self, version: u64) {
        self.in_force = version;
        self.reread = None;
    }

    /// Records that the document with a version can't be read, so that it is asked for again;
    /// returns whether this is new.
    pub fn refuse(&mut self, now: Timestamp, version: u64) -> bool {
        let known = self.reread.as_ref().is_some_and(|r| r.version() == version);
        if !known {
            self.reread = Some(Reread::new(now, version));
        }
        !known
    }

    /// Returns whether a document is to be read: it is newer than all others, or it couldn't be read
    /// before.
    fn wants(&self, document: &Document) -> bool {
        let again = self.reread.as_ref().is_some_and(|r| r.version() == document.version);
        again || document.version > self.seen.version
    }

    /// Applies a member's update; returns whether it contains any deregistration.
    pub fn apply(&mut self, now: Timestamp, update: &RoutingUpdate) -> bool {
        if let Some(document) = &update.document {
            self.receive(document);
        }
        self.record_count(now, update.gateways);
        self.leader = update.leader.or(self.leader);
        for (index, deregistration) in &update.deregistered {
            self.seen.deregistration = LogIndex(self.seen.deregistration.0.max(index.0));
            let boot = self.deregistered.entry(deregistration.endpoint.clone()).or_default();
            *boot = (*boot).max(deregistration.boot);
        }
        !update.deregistered.is_empty()
    }

    /// Keeps a document if it is to be read.
    pub fn receive(&mut self, document: &Document) {
        if self.wants(document) {
            self.seen.version = document.version;
            self.document = Some(document.clone());
        }
    }

    /// Returns the document if a newer one was received since the last call.
    pub fn new_document(&mut self) -> Option<Document> {
        self.document.take()
    }

    /// Returns the last known leader of control.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.leader
    }

    /// Returns whether this boot of an endpoint, or a later one, has deregistered.
    pub fn is_deregistered(&self, endpoint: &EndpointState) -> bool {
        self.deregistered.get(&endpoint.name).is_some_and(|boot| endpoint.boot <= *boot)
    }

    /// Returns the largest count of gateways received within `COUNT_TTL`, or `UNKNOWN_COUNT`.
    pub fn gateways(&self, now: Timestamp) -> u32 {
        self.recent_count(now).unwrap_or(UNKNOWN_COUNT)
    }

    /// Returns the same, or the last known count if there is no recent one: whoever shares with this
    /// gateway is not known to have become more.
    pub fn sharers(&self, now: Timestamp) -> u32 {
        self.recent_count(now).or(self.last_count).unwrap_or(UNKNOWN_COUNT)
    }

    fn recent_count(&self, now: Timestamp) -> Option<u32> {
        let recent = self.counts.iter().filter(|(at, _)| now - **at < COUNT_TTL);
        recent.map(|(_, count)| *count).max().filter(|c| *c > 0)
    }

    /// Records a count and removes expired counts and those that it makes redundant.
    fn record_count(&mut self, now: Timestamp, count: u32) {
        self.counts.retain(|at, old| now - *at < COUNT_TTL && *old > count);
        self.counts.insert(now, count);
        self.last_count = self.recent_count(now).or(self.last_count);
    }
}
