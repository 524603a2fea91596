//! The part of each process that sends heartbeats to control and applies the updates in replies.

mod confirmation;
mod member;
mod members;
mod origins;
mod sharing;
mod updates;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use member::Member;
use origins::SharedOrigins;
pub use sharing::HeardLoad;
use sharing::Sharing;

use super::contacts::Contacts;
use super::majority::Majority;
use super::routing_view::RoutingView;
use super::subset;
use super::view::{self, View};
use crate::control::config::{Config, Revised, SCHEMA, Setting};
use crate::control::orders::OrderReport;
use crate::control::quarantine::QuarantineUpdate;
use crate::control::routing::Document;
use crate::link::message::{
    ControlReply, ControlRequest, Envelope, Heartbeat, ProcessState, Reply, Request,
};
use crate::model::{BootId, EndpointState, ExchangeId, Timestamp};
use crate::role::Output;

/// The time between heartbeats to one member.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a member's list of endpoints is used after it was last in sync. If no majority of
/// the lists is that recent, all of them are used.
const TRUST_LEASE: Duration = Duration::from_millis(10_000);

/// The identity of a process, and the control members that it follows.
#[derive(Debug, Clone)]
pub struct FollowerSettings {
    /// The name of the process.
    pub name: Box<str>,
    /// The role under which it is listed.
    pub role: Box<str>,
    /// The failure domain in which it runs.
    pub domain: Box<str>,
    /// The boot, which identifies this start of the process.
    pub boot: BootId,
    /// The address at which members can call the process, if they can.
    pub address: Option<SocketAddr>,
    /// The addresses of the control members in the settings.
    pub members: Vec<SocketAddr>,
    /// Whether the process follows the list of endpoints.
    pub endpoints: bool,
    /// Whether the process routes by the routing document.
    pub routes: bool,
}

/// Sends heartbeats to control and keeps the configuration and endpoints that it receives.
#[derive(Debug)]
pub struct Follower {
    settings: FollowerSettings,
    members: Vec<Member>,
    /// The members that a notice has named.
    contacts: Contacts,
    config: Config,
    revised: Revised,
    /// Whether changes could not be applied, so that the full configuration is needed.
    needs_full: bool,
    /// Whether the configuration was confirmed since the start of the process.
    was_confirmed: bool,
    /// The last conflict that was logged: a peer's configuration of the same revision with another
    /// hash.
    conflicting: Option<Revised>,
    /// Whether any list has changed since the endpoints were picked.
    changed: bool,
    /// Whether each member's list of endpoints is in use.
    trusted: Vec<bool>,
    routing: RoutingView,
    /// The newest list of causes in quarantine that any member has sent.
    quarantine: QuarantineUpdate,
    /// Whether that list is new since it was last taken.
    new_quarantine: bool,
    majority: Majority,
    /// When the heartbeats were sent by whose replies a majority last confirmed the routing document.
    document_confirmed: Option<Timestamp>,
    sharing: Sharing,
    origins: SharedOrigins,
}

impl Follower {
    /// Creates a follower with the built-in configuration and no endpoints.
    pub fn new(settings: FollowerSettings) -> Follower {
        let members = settings.members.iter().map(|a| Member::new(*a)).collect();
        let config = Config::default();
        let revised = config.revised();
        Follower {
            settings,
            members,
            contacts: Contacts::default(),
            config,
            revised,
            needs_full: false,
            was_confirmed: false,
            conflicting: None,
            changed: false,
            trusted: Vec::new(),
            routing: RoutingView::default(),
            quarantine: QuarantineUpdate::default(),
            new_quarantine: false,
            majority: Majority::default(),
            document_confirmed: None,
            sharing: Sharing::default(),
            origins: SharedOrigins::default(),
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the revision and hash of the configuration in force.
    pub fn revised(&self) -> Revised {
        self.revised
    }

    /// Wraps a message in an envelope with the revision and hash of the configuration in force.
    pub fn envelope<T>(&self, body: T) -> Envelope<T> {
        Envelope { revised: self.revised, body }
    }

    /// Returns the endpoints that this process uses, if they may have changed since the last call.
    pub fn changed_endpoints(
        &mut self,
        now: Timestamp,
    ) -> Option<BTreeMap<Box<str>, EndpointState>> {
        let trusted = self.trusted(now);
        let changed = std::mem::take(&mut self.changed) || trusted != self.trusted;
        self.trusted = trusted;
        changed.then(|| {
            let size = self.config.default_value(Setting::Subset) as usize;
            let all = view::merge(self.trusted_views()).into_values();
            let all = all.filter(|e| !self.routing.is_deregistered(e));
            subset::pick(&self.settings.name, &self.settings.domain, size, all)
        })
    }

    /// Returns the newest known state of an endpoint, even if this process doesn't use it.
    pub fn endpoint(&self, name: &str) -> Option<&EndpointState> {
        let known = self.trusted_views().filter_map(|v| v.get(name));
        known.max_by_key(|e| view::version(e))
    }

    /// Returns for each member whether its list is used: only lists that were in sync within
    /// `TRUST_LEASE` if these are of most voters and of the leader, if it is known, else those of all
    /// voters, because unreachable control must not cause endpoints that still work to be removed.
    fn trusted(&self, now: Timestamp) -> Vec<bool> {
        let fresh = |m: &Member| m.synced.is_some_and(|at| now - at < TRUST_LEASE);
        let voters = self.voters();
        let votes = |m: &&Member| voters.contains(&m.address);
        let agreeing = self.members.iter().filter(votes).filter(|m| fresh(m)).count();
        // Endpoints may be known to the leader alone: the others' lists don't replace its own.
        let leader = self.members.iter().find(|m| Some(m.address) == self.leader());
        let majority = agreeing * 2 > voters.len() && leader.is_none_or(fresh);
        let used = |m: &Member| fresh(m) || !majority && voters.contains(&m.address);
        self.members.iter().map(used).collect()
    }

    fn trusted_views(&self) -> impl Iterator<Item = &View> {
        let members = self.members.iter().zip(&self.trusted);
        members.filter(|(_, trusted)| **trusted).map(|(m, _)| &m.view)
    }

    /// Sends the heartbeats that are due and resets those that have timed out.
    pub fn wake<E>(
        &mut self,
        now: Timestamp,
        endpoint: Option<&EndpointState>,
        report: Option<&OrderReport>,
        next: &mut dyn FnMut() -> ExchangeId,
    ) -> Vec<Output<E>> {
        self.note_majority(now);
        let mut outputs = Vec::new();
        let process = self.process();
        let routes = self.settings.routes;
        let members = self.members.len();
        let mut reports = self.reports_sent(now);
        for (index, member) in self.members.iter_mut().enumerate() {
            let redial = member.open.take_overdue(now);
            outputs.extend(redial.then_some(Output::Redial { peer: member.address }));
            let given_up = member.open.give_up(now).into_iter();
            outputs.extend(given_up.map(|exchange| Output::Reset { exchange }));
            if now < member.due || !member.open.is_idle() {
                continue;
            }
            let asks = member.open.may_ask();
            let routing = routes.then(|| match asks {
                true => self.routing.stated(now, index, members),
                false => self.routing.seen().without_document(),
            });
            let heartbeat = Heartbeat {
                process: process.clone(),
                endpoint: endpoint.cloned(),
                endpoints: self.settings.endpoints,
                seen: member.seen,
                full_buckets: member.full_buckets.clone(),
                report: report.cloned(),
                quarantine: self.quarantine.version,
                schema: SCHEMA,
                full_config: self.needs_full,
                routing,
                address: self.settings.address,
                reports: reports.remove(&member.address).map(Box::new),
                origins: self.origins.since(member.origins_since),
                corrections: self.origins.corrections_since(member.origins_since),
            };
            member.reports_sent = now;
            let exchange = next();
            member.open.sent(now, exchange, asks);
            member.due = now + HEARTBEAT_INTERVAL;
            let body = Request::Control(ControlRequest::Heartbeat(Box::new(heartbeat)));
            let envelope = Envelope { revised: self.revised, body };
            outputs.push(Output::Open { exchange, peer: member.address, envelope });
        }
        if !outputs.is_empty() {
            outputs.push(Output::Observe(self.majority.observe(now)));
        }
        outputs
    }

    /// Applies a reply to a heartbeat; returns whether the exchange was a heartbeat that no later one
    /// has overtaken, so that the reply tells something new.
    pub fn reply(&mut self, now: Timestamp, exchange: ExchangeId, reply: &Reply) -> bool {
        let Some(member) = self.find(exchange) else { return false };
        let Some(answered) = member.open.answered(exchange) else { return false };
        let sent = answered.sent;
        if answered.asks_again {
            member.due = member.due.min(now);
        }
        let Reply::Control(ControlReply::Beat(beat)) = reply else { return true };
        if member.answered.is_some_and(|newer| newer > sent) {
            self.apply_overtaken(beat);
            return false;
        }
        member.answered = Some(sent);
        member.origins_since = sent;
        member.note_boot(beat.seen.epoch);
        // Without a vote it proves nothing new, but what it proved before was true then.
        if let Some(proof) = &beat.proof {
            member.proof = Some((proof.clone(), sent));
        }
        let address = member.address;
        let changed = member.apply_endpoints(beat);
        if member.view.digest() == beat.seen.digest {
            member.synced = Some(sent);
        }
        if let Some(reports) = &beat.reports {
            self.receive_reports(address, sent, reports);
        }
        self.changed |= changed;
        self.changed |= beat.routing.as_ref().is_some_and(|update| self.routing.apply(now, update));
        if let Some(update) =
            beat.quarantine.as_ref().filter(|u| u.version > self.quarantine.version)
        {
            self.quarantine = update.clone();
            self.new_quarantine = true;
        }
        self.follow_voters();
        self.apply_config(now, beat);
        self.was_confirmed |= self.is_confirmed(now);
        self.note_majority(now);
        true
    }

    /// Records the end of a heartbeat's exchange; returns whether the exchange was a heartbeat.
    pub fn closed(&mut self, exchange: ExchangeId) -> bool {
        let Some(member) = self.find(exchange) else { return false };
        member.open.closed(exchange);
        true
    }

    /// Returns when the next heartbeat is due or times out.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let due = |m: &Member| m.open.next_wake().unwrap_or(m.due);
        self.members.iter().map(due).min()
    }

    /// Returns the routing document if a newer one was received since the last call.
    pub fn new_document(&mut self) -> Option<Document> {
        self.routing.new_document()
    }

    /// Records that the process routes by the document with a version.
    pub fn document_in_force(&mut self, version: u64) {
        self.routing.put_in_force(version);
    }

    /// Records that the process can't read the document with a version, so that it is asked for
    /// again; returns whether this is new.
    pub fn document_refused(&mut self, now: Timestamp, version: u64) -> bool {
        self.routing.refuse(now, version)
    }

    /// Returns the causes in quarantine if a newer list was received since the last call.
    pub fn new_quarantine(&mut self) -> Option<&QuarantineUpdate> {
        std::mem::take(&mut self.new_quarantine).then_some(&self.quarantine)
    }

    /// Returns the number of gateways among which limits of endpoints are divided, also while control
    /// is out of reach.
    pub fn sharers(&self, now: Timestamp) -> u32 {
        self.routing.sharers(now)
    }

    /// Returns the number of gateways among which limits of the fleet are divided; large if no member
    /// has reported it lately, so that only a small part is used.
    pub fn gateways(&self, now: Timestamp) -> u32 {
        self.routing.gateways(now)
    }

    /// Returns the last known leader of control.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.routing.leader()
    }

    fn find(&mut self, exchange: ExchangeId) -> Option<&mut Member> {
        self.members.iter_mut().find(|m| m.open.contains(exchange))
    }

    fn process(&self) -> ProcessState {
        ProcessState {
            name: self.settings.name.clone(),
            role: self.settings.role.clone(),
            domain: self.settings.domain.clone(),
            boot: self.settings.boot,
            revised: self.revised,
        }
    }
}
