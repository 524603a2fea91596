//! The gateway role: proxies calls to endpoints and streams their answers back to the callers.
//!
//! Unlike the entry, it does not interpret the contents of calls and answers, and it connects to
//! endpoints directly, without agents. All protocol details are behind [`protocol::CallProtocol`].

pub mod admit;
mod answer;
mod assign;
mod blocked;
pub mod budget;
mod call;
mod causes;
mod content;
mod crashes;
pub mod credit;
mod early;
mod endpoint;
mod endpoint_answer;
mod engine;
pub mod events;
mod fleet;
pub mod header_protocol;
mod late_answers;
pub mod lateness;
pub mod limit;
mod notices;
mod open_calls;
pub mod origins;
pub mod outbox;
mod outcome;
mod pages;
pub mod place;
mod plain;
pub mod protocol;
mod quarantine;
mod reason;
mod receive;
mod recount;
pub mod reports;
mod reserve;
mod retry;
mod send;
mod silence;
mod stopping;
pub mod stream_times;
mod timers;
mod updates;
mod vacancy;
mod waste;
pub mod window;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use admit::charge::Charging;
use admit::queue::Queue;
use blocked::Blocked;
use budget::{Budget, BudgetTerms};
use call::Call;
use crashes::Crashes;
use early::EarlyRequests;
use fleet::{Fleet, Job};
use late_answers::LateAnswers;
use lateness::UsualTimeout;
use origins::Unproven;
use origins::versions::Versions;
use outbox::Outbox;
use place::locality::{DomainTerms, Spill};
use protocol::{CallProtocol, TableFormat};
use recount::Recount;
use reports::EngineReports;
use stream_times::StreamTimes;

use crate::control::origins::{Origin, Origins};
use crate::h1::{CallerId, HttpEffect, HttpInput, PeerId, Purpose};
use crate::link::message::{ControlReply, Reply};
use crate::model::{ExchangeId, Rank, Timestamp};
use crate::registry::{Follower, FollowerSettings};
use crate::role::{Input, Output, Role};
use crate::routes::RouteTable;
use crate::shutdown::{Phase, Shutdown};

/// The interval between attempts to start waiting calls: endpoints that were full may have capacity
/// again.
const START_INTERVAL: Duration = Duration::from_millis(100);

/// The settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// How the gateway follows control.
    pub follower: FollowerSettings,
    /// The retry budget that all gateways share.
    pub budget: BudgetTerms,
    /// What it costs to leave the failure domain.
    pub domains: DomainTerms,
    /// How long a shutdown may take, from the request to the end of the process.
    pub grace: Duration,
}

type Outputs = Vec<Output<HttpEffect>>;
/// A service, the rank of the call, and the software version that it must have.
type BackoffKey = (Box<str>, Rank, Option<Box<str>>);

/// The gateway role.
pub struct Gateway {
    settings: GatewaySettings,
    protocol: Box<dyn CallProtocol>,
    tables: Arc<dyn TableFormat>,
    follower: Follower,
    exchanges: u64,
    table: Arc<RouteTable>,
    /// Whether control has confirmed, since the start, that a routing table is the newest one; calls
    /// are served by it from then on.
    was_confirmed: bool,
    /// Until when the limits on callers' requests are confirmed, as the last effect said; `None`
    /// before the first one.
    limits_until: Option<Timestamp>,
    fleet: Fleet,
    /// Prefills whose calls have ended.
    late_answers: LateAnswers,
    /// How many endpoints were listed, and how many of them were not draining, at the last change.
    listed: (usize, usize),
    calls: BTreeMap<CallerId, Call>,
    memory: Arc<crate::h1::budget::Budget>,
    /// Requests that wait for the first routing table.
    early: EarlyRequests,
    timers: BTreeSet<(Timestamp, CallerId)>,
    queues: BTreeMap<Box<str>, Queue<CallerId>>,
    budgets: BTreeMap<Box<str>, Budget>,
    /// The share of the calls of each plain service that leaves the failure domain.
    spills: BTreeMap<Box<str>, Spill>,
    /// The software versions of each service.
    versions: Versions,
    /// Which software versions began the streams that this gateway has delivered.
    origins: Origins,
    /// Streams that began lately at starts of endpoints that are not proven.
    unproven: Vec<Unproven>,
    /// The services whose origins are sent to control.
    shared_services: BTreeSet<Box<str>>,
    /// Origins that were not sent to control yet.
    unsent_origins: Vec<Origin>,
    /// When `unsent_origins` are sent.
    next_record: Timestamp,
    /// Open requests to control members about a call's capacity, prefill endpoint or origin.
    leader_requests: BTreeMap<ExchangeId, CallerId>,
    /// Which leader knows the runs of this gateway.
    recount: Recount,
    /// Until when the leader is not asked for capacity, by what it had none for at the last request.
    capacity_backoff: BTreeMap<BackoffKey, Timestamp>,
    /// Until when no request is sent to the leader, because it did not answer the last one.
    leader_backoff: Timestamp,
    /// The credit of client accounts with a quota.
    charging: Charging,
    /// Endpoints that may have crashed a moment ago.
    crashes: Crashes,
    /// What is refused because it crashes endpoints.
    blocked: Blocked,
    /// Evidence about crashes for control.
    outbox: Outbox,
    /// The usual caller timeout of each route.
    usual_timeouts: BTreeMap<Box<str>, UsualTimeout>,
    rng: Pcg64Mcg,
    next_cleanup: Timestamp,
    /// When waiting calls are tried again if no capacity is freed before.
    next_start: Timestamp,
    reports: EngineReports,
    next_slow_log: Timestamp,
    /// When the first input was handled.
    started: Option<Timestamp>,
    /// How long the streams of each route have lasted.
    stream_times: BTreeMap<Box<str>, StreamTimes>,
    shutdown: Shutdown,
    /// Whether capacity was freed since waiting calls were last tried.
    capacity_freed: bool,
    outputs: Outputs,
}

impl Gateway {
    /// Creates the role, which refuses calls until it has a routing table.
    pub fn new(settings: GatewaySettings, protocol: Box<dyn CallProtocol>) -> Gateway {
        let follower = Follower::new(settings.follower.clone());
        let reports = EngineReports::new(&settings.follower.name);
        let shutdown = Shutdown::new(stopping::terms(settings.grace));
        let boot = settings.follower.boot;
        let rng = Pcg64Mcg::seed_from_u64(boot.0);
        Gateway {
            tables: protocol.tables(),
            protocol,
            follower,
            exchanges: 0,
            table: Arc::default(),
            was_confirmed: false,
            limits_until: None,
            fleet: Fleet::new(&settings.follower.domain),
            late_answers: LateAnswers::default(),
            settings,
            listed: (0, 0),
            calls: BTreeMap::new(),
            memory: Arc::default(),
            early: EarlyRequests::default(),
            timers: BTreeSet::new(),
            queues: BTreeMap::new(),
            budgets: BTreeMap::new(),
            spills: BTreeMap::new(),
            versions: Versions::default(),
            origins: Origins::default(),
            unproven: Vec::new(),
            shared_services: BTreeSet::new(),
            unsent_origins: Vec::new(),
            next_record: Timestamp::default(),
            leader_requests: BTreeMap::new(),
            recount: Recount::default(),
            capacity_backoff: BTreeMap::new(),
            leader_backoff: Timestamp::default(),
            charging: Charging::new(boot),
            crashes: Crashes::default(),
            blocked: Blocked::default(),
            outbox: Outbox::default(),
            usual_timeouts: BTreeMap::new(),
            rng,
            next_cleanup: Timestamp::default(),
            next_start: Timestamp::default(),
            reports,
            next_slow_log: Timestamp::default(),
            started: None,
            stream_times: BTreeMap::new(),
            shutdown,
            capacity_freed: false,
            outputs: Vec::new(),
        }
    }

    fn effect(&mut self, effect: HttpEffect) {
        self.outputs.push(Output::Effect(effect));
    }

    fn draw(&mut self) -> u64 {
        self.rng.next_u64()
    }

    /// Returns how long this gateway has been running.
    fn uptime(&self, now: Timestamp) -> Duration {
        self.started.map_or(Duration::ZERO, |since| now - since)
    }

    /// Returns whether the readiness page reports this gateway as ready for calls.
    fn is_ready(&self) -> bool {
        !self.shutdown.is_requested() && self.has_table() && !self.fleet.is_empty()
    }

    fn has_table(&self) -> bool {
        self.was_confirmed && self.table.version() > 0
    }

    fn handle_local(&mut self, now: Timestamp, input: HttpInput) {
        match input {
            HttpInput::Request { caller, purpose: Purpose::Calls, request } => {
                self.request_received(now, caller, request);
            }
            HttpInput::Request { caller, purpose: Purpose::Pages, request } => {
                self.page(caller, &request);
            }
            HttpInput::CallerGone { caller } => self.caller_gone(now, caller),
            HttpInput::Connected { peer } => self.connected(peer),
            HttpInput::Answer { peer, head } => self.answered(now, peer, head),
            HttpInput::Data { peer, bytes } => self.data(now, peer, bytes),
            HttpInput::End { peer, reusable } => self.ended(now, peer, reusable),
            HttpInput::Lost { peer, sent, error } => self.lost(now, peer, sent, &error),
            HttpInput::Reload => log::info!("step=reload"),
        }
    }

    fn connected(&mut self, peer: PeerId) {
        let Some(conn) = self.fleet.conn(peer) else { return };
        conn.connected = true;
        let Job::Call(caller) = conn.job else { return };
        if let Some(attempt) = self.calls.get_mut(&caller).and_then(Call::attempt) {
            attempt.connected = true;
        }
        self.schedule(caller);
    }

    fn wake(&mut self, now: Timestamp) {
        self.follow(now);
        while let Some((at, caller)) = self.timers.first().copied()
            && at <= now
        {
            self.timers.pop_first();
            if let Some(call) = self.calls.get_mut(&caller) {
                call.timer = Timestamp::MAX;
            }
            self.on_timer(now, caller);
            self.schedule(caller);
        }
        self.advance_quotas(now);
        self.send_origins(now);
        self.report_crashes(now);
        self.send_evidence(now);
        self.judge_alone(now);
        self.close_late(now);
        self.expire_queues(now);
        self.start_queued(now);
        if now >= self.next_cleanup {
            self.clean_up(now);
        }
        if now >= self.reports.next {
            self.fetch_reports(now);
        }
    }
}

impl Role for Gateway {
    type Local = HttpInput;
    type Effect = HttpEffect;

    fn step(&mut self, now: Timestamp, input: Input<HttpInput>) -> Outputs {
        if self.shutdown.phase() == Phase::End {
            self.step_after_end(now, input);
            return std::mem::take(&mut self.outputs);
        }
        self.started.get_or_insert(now);
        match input {
            Input::Local(input) => self.handle_local(now, input),
            Input::Reply { exchange, envelope } => match &envelope.body {
                Reply::Control(ControlReply::Beat(_)) => {
                    self.follower.reply(now, exchange, &envelope.body);
                    self.apply_updates(now);
                    self.apply_reports(now);
                    self.apply_quarantine(now);
                    self.capacity_freed = true;
                }
                Reply::Control(reply) => self.control_replied(now, exchange, reply),
                _ => {}
            },
            Input::Closed { exchange, .. } => {
                self.follower.closed(exchange);
                self.control_closed(now, exchange);
            }
            Input::Members { addresses } => {
                self.follower.name_members(addresses);
                self.apply_updates(now);
            }
            Input::Request { inbound, envelope } => self.requested(now, inbound, &envelope.body),
            Input::Abandoned { .. } => {}
            Input::Wake => self.wake(now),
            Input::Shutdown { since } => self.shutdown_requested(now, since),
        }
        self.admit_early(now);
        self.request_credit(now);
        if self.capacity_freed {
            self.start_queued(now);
        }
        self.advance_shutdown(now);
        std::mem::take(&mut self.outputs)
    }

    fn next_wake(&self) -> Option<Timestamp> {
        if self.shutdown.phase() == Phase::End {
            return None;
        }
        let call = self.timers.first().map(|(at, _)| *at);
        let queue = self.queues.values().filter_map(Queue::next_expiry).min();
        let shutdown = self.shutdown.next_wake();
        let waiting = self.queues.values().any(|q| !q.is_empty());
        let start = waiting.then_some(self.next_start);
        let record = (!self.unsent_origins.is_empty()).then_some(self.next_record);
        let cleanup = Some(self.next_cleanup.min(self.reports.next));
        let (crash, evidence) = (self.crashes.next_due(), self.outbox.next_wake());
        let control = self.follower.next_wake();
        let late = self.late_answers.next_due();
        let early = self.early.next_expiry();
        let credit = self.charging.quotas.next_wake();
        [
            credit, early, late, call, queue, start, record, crash, evidence, shutdown, cleanup,
            control,
        ]
        .into_iter()
        .flatten()
        .min()
    }
}
