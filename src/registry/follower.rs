//! The part of each process that tells control it is alive and takes what is new.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::control::config::{Config, Revised, SCHEMA};
use crate::control::orders::OrderReport;
use crate::link::message::{
    Beat, ControlReply, ControlRequest, Endpoints, Envelope, Heartbeat, ProcessState, Proof, Reply,
    Request,
};
use crate::model::{BootId, EndpointState, ExchangeId, Timestamp};
use crate::role::Output;

/// The time between heartbeats to one member.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a heartbeat may go unanswered before a fresh connection is dialled.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long a majority's answers prove that the configuration is the newest.
const CONFIRMATION_LEASE: Duration = Duration::from_millis(3_000);

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
}

/// What is known of one control member.
#[derive(Debug)]
struct Member {
    address: SocketAddr,
    open: Option<(ExchangeId, Timestamp)>,
    due: Timestamp,
    version: u64,
    /// The last proof, and when it was asked for.
    proof: Option<(Proof, Timestamp)>,
    endpoints: BTreeMap<Box<str>, EndpointState>,
    suspects: u64,
}

impl Member {
    fn take_endpoints(&mut self, endpoints: &Endpoints) {
        let (set, gone) = match endpoints {
            Endpoints::All(all) => {
                self.endpoints.clear();
                (all, &[][..])
            }
            Endpoints::Changed { set, gone } => (set, &**gone),
        };
        for name in gone {
            self.endpoints.remove(name);
        }
        for endpoint in set {
            self.endpoints.insert(endpoint.name.clone(), endpoint.clone());
        }
    }
}

/// Follows control: heartbeats out, configuration and endpoints in.
#[derive(Debug)]
pub struct Follower {
    settings: FollowerSettings,
    members: Vec<Member>,
    config: Config,
    revised: Revised,
}

impl Follower {
    /// Makes a follower that knows nothing yet.
    pub fn new(settings: FollowerSettings) -> Follower {
        let member = |address: &SocketAddr| Member {
            address: *address,
            open: None,
            due: Timestamp::default(),
            version: 0,
            proof: None,
            endpoints: BTreeMap::new(),
            suspects: 0,
        };
        let members = settings.members.iter().map(member).collect();
        let config = Config::default();
        let revised = config.revised();
        Follower { settings, members, config, revised }
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
        let fresh: Vec<&Proof> = self
            .members
            .iter()
            .filter_map(|m| m.proof.as_ref())
            .filter(|(_, at)| now - *at < CONFIRMATION_LEASE)
            .map(|(proof, _)| proof)
            .collect();
        // Who has a vote is known best by the member that has seen the most changes of members.
        let Some(newest) = fresh.iter().max_by_key(|p| p.epoch) else { return false };
        let agrees = |voter: &&SocketAddr| {
            let proof = fresh.iter().find(|p| p.member == **voter);
            proof.is_some_and(|p| p.highest <= self.revised.revision)
        };
        newest.voters.iter().filter(agrees).count() * 2 > newest.voters.len()
    }

    /// Notes the configuration that a peer has in force; one that is newer than the own makes
    /// the next heartbeats due at once.
    pub fn observe(&mut self, now: Timestamp, revised: Revised) {
        if revised.revision == self.revised.revision && revised.hash != self.revised.hash {
            log::error!("step=observe own={} other={revised} error=hashes differ", self.revised);
        }
        if revised.revision > self.revised.revision {
            self.hurry(now);
        }
    }

    /// Makes the next heartbeats due at once, because there is something to tell or to hear.
    pub fn hurry(&mut self, now: Timestamp) {
        for member in &mut self.members {
            member.due = member.due.min(now);
        }
    }

    /// Returns the live endpoints that any member knows, the newest start of each.
    pub fn endpoints(&self) -> BTreeMap<Box<str>, EndpointState> {
        let mut all: BTreeMap<Box<str>, EndpointState> = BTreeMap::new();
        for endpoint in self.members.iter().flat_map(|m| m.endpoints.values()) {
            let known = all.get(&endpoint.name);
            if known.is_none_or(|e| e.boot < endpoint.boot) {
                all.insert(endpoint.name.clone(), endpoint.clone());
            }
        }
        all
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
                version: member.version,
                report: report.cloned(),
                suspects: member.suspects,
                schema: SCHEMA,
            };
            let exchange = next();
            member.open = Some((exchange, now));
            member.due = now + HEARTBEAT_INTERVAL;
            let body = Request::Control(ControlRequest::Heartbeat(heartbeat));
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
        member.version = beat.version;
        member.proof = beat.proof.clone().map(|proof| (proof, sent));
        if let Some(endpoints) = &beat.endpoints {
            member.take_endpoints(endpoints);
        }
        self.take_config(now, beat);
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

    fn take_config(&mut self, now: Timestamp, beat: &Beat) {
        let Some(config) = &beat.config else { return };
        if config.revision <= self.revised.revision {
            return;
        }
        self.config = config.clone();
        self.revised = config.revised();
        log::info!("step=config revised={} member={}", self.revised, beat.member);
        for member in &mut self.members {
            member.due = now;
        }
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
