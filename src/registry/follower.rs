//! The part of each process that tells control it is alive and takes what is new.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::routing_view::RoutingView;
use super::subset;
use super::view::{self, View};
use crate::control::config::{Change, Config, Revised, SCHEMA, Setting};
use crate::control::orders::OrderReport;
use crate::control::routing::Document;
use crate::link::message::{
    Beat, ControlReply, ControlRequest, Envelope, Heartbeat, ProcessState, Proof, Reply, Request,
    Seen, Update,
};
use crate::model::{BootId, EndpointState, ExchangeId, Timestamp};
use crate::role::Output;

/// The time between heartbeats to one member.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a heartbeat may go unanswered before a fresh connection is dialled.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a majority's answers prove that the configuration is the newest.
const CONFIRMATION_LEASE: Duration = Duration::from_millis(3_000);
/// How long a member's list of endpoints counts after its last answer, if a majority answers.
const TRUST_LEASE: Duration = Duration::from_millis(10_000);

/// Who a process is, and which control members there are.
#[derive(Debug, Clone)]
pub struct FollowerSettings {
    /// The process's name.
    pub name: Box<str>,
    /// Its role.
    pub role: Box<str>,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Its start.
    pub boot: BootId,
    /// The control members' addresses.
    pub members: Vec<SocketAddr>,
    /// Whether the process wants to hear of endpoints.
    pub endpoints: bool,
    /// Whether the process routes by the routing document.
    pub routes: bool,
}

/// What is known of one control member.
#[derive(Debug)]
struct Member {
    address: SocketAddr,
    open: Option<(ExchangeId, Timestamp)>,
    due: Timestamp,
    seen: Seen,
    wants: Vec<u8>,
    /// When the last heartbeat was sent after whose answer the list was the member's own.
    synced: Option<Timestamp>,
    /// The last proof, and when it was asked for.
    proof: Option<(Proof, Timestamp)>,
    view: View,
    suspects: u64,
}

impl Member {
    fn new(address: SocketAddr) -> Member {
        Member {
            address,
            open: None,
            due: Timestamp::default(),
            seen: Seen::default(),
            wants: Vec::new(),
            synced: None,
            proof: None,
            view: View::default(),
            suspects: 0,
        }
    }

    /// Takes what the member tells of endpoints; returns whether anything changed.
    fn apply_endpoints(&mut self, beat: &Beat) -> bool {
        let Some(endpoints) = &beat.endpoints else {
            self.seen = Seen { digest: self.view.digest(), ..beat.seen };
            return false;
        };
        let before = self.view.digest();
        self.wants = self.view.apply(endpoints);
        if self.wants.is_empty() {
            self.seen = Seen { digest: self.view.digest(), ..beat.seen };
        }
        self.view.digest() != before
    }
}

/// Follows control: heartbeats out, configuration and endpoints in.
#[derive(Debug)]
pub struct Follower {
    settings: FollowerSettings,
    members: Vec<Member>,
    config: Config,
    revised: Revised,
    /// Whether changes did not fit, so that the whole configuration is needed.
    needs_full: bool,
    /// Whether the configuration was confirmed since the start of the process.
    was_confirmed: bool,
    /// Another content of the own revision that was logged.
    conflicting: Option<Revised>,
    /// Whether any list has changed since the endpoints were picked.
    changed: bool,
    trusted: Vec<bool>,
    routing: RoutingView,
}

impl Follower {
    /// Makes a follower that knows nothing yet.
    pub fn new(settings: FollowerSettings) -> Follower {
        let members = settings.members.iter().map(|a| Member::new(*a)).collect();
        let config = Config::default();
        let revised = config.revised();
        Follower {
            settings,
            members,
            config,
            revised,
            needs_full: false,
            was_confirmed: false,
            conflicting: None,
            changed: false,
            trusted: Vec::new(),
            routing: RoutingView::default(),
        }
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the number and hash of the configuration in force.
    pub fn revised(&self) -> Revised {
        self.revised
    }

    /// Wraps a message with the configuration in force.
    pub fn envelope<T>(&self, body: T) -> Envelope<T> {
        Envelope { revised: self.revised, body }
    }

    /// Returns whether a majority of members has confirmed lately that the configuration in
    /// force is the newest.
    pub fn is_confirmed(&self, now: Timestamp) -> bool {
        // A revision that no log reaches was accepted by a group whose logs are lost.
        let reached = self.fresh_proofs(now).any(|p| p.highest >= self.revised.revision);
        reached && self.majority_agrees(now, |proof| proof.highest <= self.revised.revision)
    }

    fn fresh_proofs(&self, now: Timestamp) -> impl Iterator<Item = &Proof> {
        let proofs = self.members.iter().filter_map(|m| m.proof.as_ref());
        proofs.filter(move |(_, at)| now - *at < CONFIRMATION_LEASE).map(|(proof, _)| proof)
    }

    /// Returns whether something holds for the logs of a majority of the members with a vote.
    fn majority_agrees(&self, now: Timestamp, holds: impl Fn(&Proof) -> bool) -> bool {
        let fresh: Vec<&Proof> = self.fresh_proofs(now).collect();
        // Who has a vote is known best by the member that has seen the most changes of members.
        let Some(newest) = fresh.iter().max_by_key(|p| p.epoch) else { return false };
        let agrees = |voter: &&SocketAddr| {
            let proof = fresh.iter().find(|p| p.member == **voter);
            proof.is_some_and(|p| holds(p))
        };
        newest.voters.iter().filter(agrees).count() * 2 > newest.voters.len()
    }

    /// Returns whether new calls may run: the configuration is confirmed, or it was once and says
    /// that a process without confirmation serves on.
    pub fn may_serve(&self, now: Timestamp) -> bool {
        let serve_unconfirmed = self.config.default_value(Setting::ServeUnconfirmed) == 1;
        self.is_confirmed(now) || self.was_confirmed && serve_unconfirmed
    }

    /// Notes the configuration that a peer has in force; one that is newer than the own makes
    /// the next heartbeats due at once.
    pub fn observe(&mut self, now: Timestamp, revised: Revised) {
        let differs = revised.revision == self.revised.revision && revised != self.revised;
        if differs && self.conflicting != Some(revised) {
            log::error!("step=observe own={} other={revised} error=hashes differ", self.revised);
            self.conflicting = Some(revised);
        }
        if revised.revision > self.revised.revision {
            self.expedite(now);
        }
    }

    /// Makes the next heartbeats due at once, because there is something to tell or to hear.
    pub fn expedite(&mut self, now: Timestamp) {
        for member in &mut self.members {
            member.due = member.due.min(now);
        }
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

    /// Returns an endpoint that a member knows, also one that this process doesn't use.
    pub fn endpoint(&self, name: &str) -> Option<&EndpointState> {
        let known = self.trusted_views().filter_map(|v| v.get(name));
        known.max_by_key(|e| view::version(e))
    }

    /// Returns which members' lists count: those that were in step lately if they are a majority,
    /// else all, since a cut-off control must make nobody forget endpoints that still answer.
    fn trusted(&self, now: Timestamp) -> Vec<bool> {
        let fresh = |m: &Member| m.synced.is_some_and(|at| now - at < TRUST_LEASE);
        let fresh: Vec<bool> = self.members.iter().map(fresh).collect();
        let majority = fresh.iter().filter(|f| **f).count() * 2 > fresh.len();
        if majority { fresh } else { vec![true; self.members.len()] }
    }

    fn trusted_views(&self) -> impl Iterator<Item = &View> {
        let members = self.members.iter().zip(&self.trusted);
        members.filter(|(_, trusted)| **trusted).map(|(m, _)| &m.view)
    }

    /// Sends the heartbeats that are due.
    pub fn wake<E>(
        &mut self,
        now: Timestamp,
        endpoint: Option<&EndpointState>,
        report: Option<&OrderReport>,
        next: &mut dyn FnMut() -> ExchangeId,
    ) -> Vec<Output<E>> {
        let mut outputs = Vec::new();
        let process = self.process();
        for member in &mut self.members {
            if let Some((exchange, sent)) = member.open {
                if now - sent < HEARTBEAT_TIMEOUT {
                    continue;
                }
                outputs.push(Output::Reset { exchange });
                outputs.push(Output::Redial { peer: member.address });
                member.open = None;
            }
            if now < member.due {
                continue;
            }
            let heartbeat = Heartbeat {
                process: process.clone(),
                endpoint: endpoint.cloned(),
                endpoints: self.settings.endpoints,
                seen: member.seen,
                wants: member.wants.clone(),
                report: report.cloned(),
                suspects: member.suspects,
                schema: SCHEMA,
                whole: self.needs_full,
                routing: self.settings.routes.then(|| self.routing.seen()),
            };
            let exchange = next();
            member.open = Some((exchange, now));
            member.due = now + HEARTBEAT_INTERVAL;
            let body = Request::Control(ControlRequest::Heartbeat(Box::new(heartbeat)));
            let envelope = Envelope { revised: self.revised, body };
            outputs.push(Output::Open { exchange, peer: member.address, envelope });
        }
        outputs
    }

    /// Takes a reply if it is to one of the heartbeats; returns whether it was.
    pub fn reply(&mut self, now: Timestamp, exchange: ExchangeId, reply: &Reply) -> bool {
        let Some(member) = self.find(exchange) else { return false };
        let Some((_, sent)) = member.open.take() else { return false };
        let Reply::Control(ControlReply::Beat(beat)) = reply else { return true };
        member.proof = beat.proof.clone().map(|proof| (proof, sent));
        let changed = member.apply_endpoints(beat);
        if member.view.digest() == beat.seen.digest {
            member.synced = Some(sent);
        }
        self.changed |= changed;
        self.changed |= beat.routing.as_ref().is_some_and(|update| self.routing.apply(now, update));
        self.follow_voters();
        self.apply_config(now, beat);
        self.was_confirmed |= self.is_confirmed(now);
        true
    }

    /// Takes the end of an exchange if it was one of the heartbeats; returns whether it was.
    pub fn closed(&mut self, exchange: ExchangeId) -> bool {
        let Some(member) = self.find(exchange) else { return false };
        member.open = None;
        true
    }

    /// Returns when the next heartbeat is due or overdue.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let due = |m: &Member| m.open.map_or(m.due, |(_, sent)| sent + HEARTBEAT_TIMEOUT);
        self.members.iter().map(due).min()
    }

    fn apply_config(&mut self, now: Timestamp, beat: &Beat) {
        let Some(config) = beat.config.as_ref().and_then(|u| self.updated(u)) else { return };
        self.needs_full = false;
        self.revised = config.revised();
        self.config = config;
        log::info!("step=config revised={} member={}", self.revised, beat.member);
        self.changed = true;
        self.expedite(now);
    }

    /// Returns the configuration that an update leads to, if it is a newer one.
    fn updated(&mut self, update: &Update) -> Option<Config> {
        match update {
            Update::Whole(config) => {
                (config.revision > self.revised.revision).then(|| config.clone())
            }
            Update::Changes { changes, revised } => {
                if revised.revision <= self.revised.revision {
                    return None;
                }
                let new = changes.iter().filter(|c| c.base >= self.revised.revision);
                let edit = |config: Config, change: &Change| config.edited(&change.edit);
                let config = new.into_iter().try_fold(self.config.clone(), edit);
                let fits = |config: &Config| config.revised() == *revised;
                let config = config.ok().filter(fits);
                if config.is_none() {
                    log::error!("step=config own={} error=no way to {revised}", self.revised);
                    self.needs_full = true;
                }
                config
            }
        }
    }

    /// Follows the members that have a vote by now, also those that the settings don't name.
    fn follow_voters(&mut self) {
        let proofs = self.members.iter().filter_map(|m| m.proof.as_ref());
        let Some((newest, _)) = proofs.max_by_key(|(p, _)| p.epoch) else { return };
        let voters = newest.voters.clone();
        let named = &self.settings.members;
        self.members.retain(|m| named.contains(&m.address) || voters.contains(&m.address));
        for voter in voters {
            if self.members.iter().all(|m| m.address != voter) {
                log::info!("step=follow member={voter}");
                self.members.push(Member::new(voter));
            }
        }
    }

    /// Returns the routing document if it is newer than at the last call.
    pub fn new_document(&mut self) -> Option<Document> {
        self.routing.new_document()
    }

    /// Returns whether a majority of members has confirmed lately that no newer routing document
    /// than the own one is in force.
    pub fn is_document_confirmed(&self, now: Timestamp) -> bool {
        self.majority_agrees(now, |proof| proof.document <= self.routing.seen().version)
    }

    /// Returns how many gateways share what is limited for the fleet.
    pub fn gateways(&self, now: Timestamp) -> u32 {
        self.routing.gateways(now)
    }

    /// Returns the leader of control, as far as it is known.
    pub fn leader(&self) -> Option<SocketAddr> {
        self.routing.leader()
    }

    fn find(&mut self, exchange: ExchangeId) -> Option<&mut Member> {
        self.members.iter_mut().find(|m| m.open.is_some_and(|(e, _)| e == exchange))
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
