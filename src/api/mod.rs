//! The API role: handles operators' and endpoints' HTTP calls in a control process.
//!
//! Changes that must be durable are proposed to the leader and answered only once they are
//! committed. Heartbeats of endpoints are not: they go to the registries of the same process and of
//! the leader. The first heartbeat of a draining endpoint is preceded by a commit of its
//! deregistration.

mod controller;
mod inputs;
pub mod protocol;
mod shutting_down;
pub mod stages;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use controller::Order;
use protocol::{ApiCall, ApiProtocol, ApiReply};
use stages::{StageTerms, Stages};

use crate::control::config::Revised;
use crate::control::routing::Deregistration;
use crate::control::state::{Applied, Command};
use crate::h1::{CallerId, HttpEffect, PeerId, Request};
use crate::link;
use crate::link::message::{ControlReply, ControlRequest, Envelope};
use crate::model::{BootId, EndpointState, ExchangeId, Timestamp};
use crate::role::Output;
use crate::shutdown::{Shutdown, ShutdownTerms};

/// How long a control member may take to answer before the request is sent to another one.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(350);
/// The total time after which a caller is answered that control is unavailable.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);
/// The delay before a request is retried that no member could handle.
const RETRY_DELAY: Duration = Duration::from_millis(40);
/// The retry time for callers when there is no leader.
const RETRY_AFTER: Duration = Duration::from_millis(300);
/// How long an API that shuts down takes requests at least.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(500);

type Outputs = Vec<Output<HttpEffect>>;

/// The settings of an API.
#[derive(Debug, Clone)]
pub struct ApiSettings {
    /// The address of the control member in this process.
    pub own: SocketAddr,
    /// The addresses of all control members in the settings.
    pub members: Vec<SocketAddr>,
    /// The name of this process, under which it sends orders.
    pub name: Box<str>,
    /// How many engines of a pool are prefill endpoints.
    pub stages: StageTerms,
    /// How long after the signal the process is killed.
    pub grace: Duration,
}

/// The request to control that a caller waits for.
#[derive(Debug)]
enum Work {
    /// A command that must be committed to the log.
    Commit(Command),
    /// A heartbeat that the registry of this process must acknowledge.
    Announce(Box<EndpointState>),
}

/// A call that waits for a reply of control.
#[derive(Debug)]
struct Pending {
    work: Work,
    /// The heartbeat that goes to the registry once the command is committed.
    follow_up: Option<Box<EndpointState>>,
    close: bool,
    since: Timestamp,
    /// The open exchange, its member, and when it was opened.
    open: Option<(ExchangeId, SocketAddr, Timestamp)>,
    /// The exchanges of earlier sends of a command, which are left open: a commit may outlast
    /// [`MEMBER_TIMEOUT`], and its reply comes on the exchange that proposed it.
    earlier: BTreeSet<ExchangeId>,
    /// When the request is sent again, if no exchange is open.
    next: Timestamp,
    tries: usize,
}

impl Pending {
    /// Returns all exchanges on which a reply may still come.
    fn exchanges(&self) -> BTreeSet<ExchangeId> {
        let open = self.open.map(|(exchange, _, _)| exchange);
        self.earlier.iter().copied().chain(open).collect()
    }
}

/// The API role.
pub struct Api {
    settings: ApiSettings,
    protocol: Box<dyn ApiProtocol>,
    leader: Option<SocketAddr>,
    exchanges: u64,
    pending: BTreeMap<CallerId, Pending>,
    by_exchange: BTreeMap<ExchangeId, CallerId>,
    /// Boots of endpoints whose deregistration is committed, so that further heartbeats while they
    /// drain need no commit.
    deregistered: BTreeSet<(Box<str>, BootId)>,
    stages: Stages,
    /// The orders whose answers have not been received, by connection.
    orders: BTreeMap<PeerId, Order>,
    last_peer: u64,
    /// The open request for the present leader.
    leader_request: Option<ExchangeId>,
    next_leader_request: Timestamp,
    /// The last term in which an engine rejected an order because it had seen a newer fence.
    superseded: u64,
    shutdown: Shutdown,
    outputs: Outputs,
}

impl Api {
    /// Creates the role.
    pub fn new(settings: ApiSettings, protocol: Box<dyn ApiProtocol>) -> Api {
        let terms = ShutdownTerms { notice: SHUTDOWN_NOTICE, grace: settings.grace };
        Api {
            settings,
            protocol,
            leader: None,
            exchanges: 0,
            pending: BTreeMap::new(),
            by_exchange: BTreeMap::new(),
            deregistered: BTreeSet::new(),
            stages: Stages::default(),
            orders: BTreeMap::new(),
            last_peer: 0,
            leader_request: None,
            next_leader_request: Timestamp::default(),
            superseded: 0,
            shutdown: Shutdown::new(terms),
            outputs: Vec::new(),
        }
    }

    fn request_received(&mut self, now: Timestamp, caller: CallerId, request: &Request) {
        let close = request.head.wants_close();
        if !self.shutdown.admits(now, CALL_TIMEOUT) {
            log::info!("step=refuse call={} outcome=unavailable proposed=false", caller.0);
            self.reply(caller, &ApiReply::Unavailable(RETRY_AFTER), true);
            return;
        }
        let call = match self.protocol.read(request) {
            Ok(call) => call,
            Err(reply) => {
                self.reply(caller, &reply, close);
                return;
            }
        };
        let (work, follow_up) = match call {
            ApiCall::Publish(document) => {
                log::info!("step=offer version={} bytes={}", document.version, document.text.len());
                (Work::Commit(Command::Publish(document)), None)
            }
            ApiCall::Read => (Work::Commit(Command::ReadDocument), None),
            ApiCall::Announce(endpoint) if endpoint.draining => {
                let boot = endpoint.boot;
                if self.deregistered.contains(&(endpoint.name.clone(), boot)) {
                    (Work::Announce(endpoint), None)
                } else {
                    let name = endpoint.name.clone();
                    let deregistration = Deregistration { endpoint: name, boot };
                    (Work::Commit(Command::Deregister(deregistration)), Some(endpoint))
                }
            }
            ApiCall::Announce(endpoint) => (Work::Announce(endpoint), None),
            ApiCall::Deregister { endpoint, boot } => {
                let boot = boot.unwrap_or_else(|| boot_at(now));
                (Work::Commit(Command::Deregister(Deregistration { endpoint, boot })), None)
            }
        };
        let (open, earlier) = (None, BTreeSet::new());
        let pending =
            Pending { work, follow_up, close, since: now, open, earlier, next: now, tries: 0 };
        self.pending.insert(caller, pending);
        self.send_request(now, caller);
    }

    /// Sends the request of a caller: a command to the leader, or to the members in turn while the
    /// leader is unknown; a heartbeat to the member of this process and to the leader, or to all
    /// members while the leader is unknown.
    fn send_request(&mut self, now: Timestamp, caller: CallerId) {
        let (own, leader) = (self.settings.own, self.leader);
        let Some(pending) = self.pending.get_mut(&caller) else { return };
        let (peer, request) = match &pending.work {
            Work::Announce(endpoint) => {
                let request = ControlRequest::Announce(endpoint.clone());
                // The leader plans with the endpoints whose heartbeats it receives; while it is
                // unknown, any member may become the leader.
                let others = match leader {
                    Some(leader) => vec![leader],
                    None => self.settings.members.clone(),
                };
                for peer in others.into_iter().filter(|peer| *peer != own) {
                    self.exchanges += 1;
                    let exchange = ExchangeId(self.exchanges);
                    let body = link::Request::Control(request.clone());
                    let envelope = Envelope { revised: Revised::default(), body };
                    self.outputs.push(Output::Open { exchange, peer, envelope });
                }
                (own, request)
            }
            Work::Commit(command) => {
                // The members in the settings may all be gone; the own one finds the leader.
                let others = self.settings.members.iter().copied().filter(|m| *m != own);
                let members: Vec<_> = std::iter::once(own).chain(others).collect();
                let next = members[pending.tries.saturating_sub(1) % members.len()];
                let first = leader.unwrap_or(own);
                let peer = if pending.tries == 0 { first } else { leader.unwrap_or(next) };
                (peer, ControlRequest::Propose(command.clone()))
            }
        };
        pending.tries += 1;
        self.exchanges += 1;
        let exchange = ExchangeId(self.exchanges);
        pending.open = Some((exchange, peer, now));
        self.by_exchange.insert(exchange, caller);
        let body = link::Request::Control(request);
        let envelope = Envelope { revised: Revised::default(), body };
        self.outputs.push(Output::Open { exchange, peer, envelope });
    }

    /// Handles a member's reply to a caller's request, or to the request for the leader.
    fn reply_received(&mut self, now: Timestamp, exchange: ExchangeId, reply: ControlReply) {
        if let ControlReply::Lead { leader, leadership } = reply {
            self.leader_request = None;
            self.leader = leader;
            self.send_due_orders(now, leadership);
            return;
        }
        let Some(caller) = self.by_exchange.remove(&exchange) else { return };
        let earlier = self.take_earlier(caller, exchange);
        match reply {
            ControlReply::Announced => self.finish(caller, &ApiReply::Done),
            ControlReply::Applied(applied) => self.applied(now, caller, applied, earlier),
            // A newer send is open or scheduled.
            ControlReply::NotLeader { .. } | ControlReply::Interrupted { .. } if earlier => {}
            ControlReply::NotLeader { leader } | ControlReply::Interrupted { leader } => {
                self.leader = leader;
                self.retry(now, caller, leader.is_none());
            }
            ControlReply::Beat(_)
            | ControlReply::Owner { .. }
            | ControlReply::Lead { .. }
            | ControlReply::PromptAssigned { .. }
            | ControlReply::RoomAssigned { .. }
            | ControlReply::CreditsGranted(_)
            | ControlReply::EvidenceRecorded
            | ControlReply::ProbeGranted { .. }
            | ControlReply::OriginsRecorded
            | ControlReply::OriginFound { .. }
            | ControlReply::Status(_) => {
                log::error!("step=api error=\"unexpected kind of reply from a control member\"");
                self.retry(now, caller, true);
            }
        }
    }

    fn applied(&mut self, now: Timestamp, caller: CallerId, applied: Applied, earlier: bool) {
        let Some(pending) = self.pending.get_mut(&caller) else { return };
        let open = pending.open.take();
        let mut others = std::mem::take(&mut pending.earlier);
        match open {
            Some((exchange, _, _)) if earlier => _ = others.insert(exchange),
            Some((_, peer, _)) => self.leader = Some(peer),
            None => {}
        }
        if let Work::Commit(Command::Deregister(deregistration)) = &pending.work {
            let key = (deregistration.endpoint.clone(), deregistration.boot);
            self.deregistered.insert(key);
        }
        if let Some(endpoint) = pending.follow_up.take() {
            pending.work = Work::Announce(endpoint);
            self.abandon(others);
            self.send_request(now, caller);
            return;
        }
        self.abandon(others);
        let reply = match applied {
            Applied::Document(Some(document)) => ApiReply::Document(document),
            Applied::Document(None) => ApiReply::NoDocument,
            Applied::Changed(_) | Applied::Claim(_) | Applied::Ordered(_) => {
                ApiReply::Unavailable(RETRY_AFTER)
            }
            Applied::Done | Applied::Published(_) => ApiReply::Done,
        };
        self.finish(caller, &reply);
    }

    /// Retries a caller's request, at once or after `RETRY_DELAY`.
    fn retry(&mut self, now: Timestamp, caller: CallerId, delay: bool) {
        let Some(pending) = self.pending.get_mut(&caller) else { return };
        pending.open = None;
        pending.next = if delay { now + RETRY_DELAY } else { now };
        self.on_timer(now, caller);
    }

    /// Handles the timer of a caller: ends its call at `CALL_TIMEOUT`, sends the request to another
    /// member after `MEMBER_TIMEOUT`, or sends it again if that is due.
    fn on_timer(&mut self, now: Timestamp, caller: CallerId) {
        let Some(pending) = self.pending.get_mut(&caller) else { return };
        if now >= pending.since + CALL_TIMEOUT {
            log::warn!("step=api outcome=unavailable tries={}", pending.tries);
            self.finish(caller, &ApiReply::Unavailable(RETRY_AFTER));
            return;
        }
        match pending.open {
            Some((exchange, peer, since)) if now >= since + MEMBER_TIMEOUT => {
                pending.open = None;
                if matches!(pending.work, Work::Commit(_)) {
                    pending.earlier.insert(exchange);
                } else {
                    self.by_exchange.remove(&exchange);
                    self.outputs.push(Output::Reset { exchange });
                }
                self.outputs.push(Output::Redial { peer });
                self.leader = self.leader.filter(|l| *l != peer);
                self.send_request(now, caller);
            }
            None if now >= pending.next => self.send_request(now, caller),
            _ => {}
        }
    }

    fn finish(&mut self, caller: CallerId, reply: &ApiReply) {
        let Some(pending) = self.pending.remove(&caller) else { return };
        self.log_end(caller, reply);
        self.abandon(pending.exchanges());
        self.reply(caller, reply, pending.close);
    }

    /// Resets the exchanges that are still open.
    fn abandon(&mut self, exchanges: BTreeSet<ExchangeId>) {
        for exchange in exchanges {
            if self.by_exchange.remove(&exchange).is_some() {
                self.outputs.push(Output::Reset { exchange });
            }
        }
    }

    /// Removes an exchange from those of earlier sends of a call; returns whether it was one.
    fn take_earlier(&mut self, caller: CallerId, exchange: ExchangeId) -> bool {
        let pending = self.pending.get_mut(&caller);
        pending.is_some_and(|p| p.earlier.remove(&exchange))
    }

    fn reply(&mut self, caller: CallerId, reply: &ApiReply, close: bool) {
        if let ApiReply::Invalid(why) = reply {
            log::warn!("step=api outcome=invalid why=\"{why}\"");
        }
        let keep = !close && !self.shutdown.is_requested();
        let bytes = self.protocol.write(reply, keep);
        self.outputs.push(Output::Effect(HttpEffect::Reply { caller, bytes }));
        self.outputs.push(Output::Effect(HttpEffect::Finish { caller, keep }));
    }

    fn due(pending: &Pending) -> Timestamp {
        let next = pending.open.map_or(pending.next, |(_, _, since)| since + MEMBER_TIMEOUT);
        next.min(pending.since + CALL_TIMEOUT)
    }
}

/// Returns the highest boot that an endpoint started by `now` can have: the time in milliseconds.
fn boot_at(now: Timestamp) -> BootId {
    BootId(now.as_micros() / 1_000)
}
