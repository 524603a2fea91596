//! The gateway role: proxies calls to endpoints and streams their answers back to the callers.
//!
//! Unlike the entry, it does not interpret the contents of calls and answers, and it connects to
//! endpoints directly, without agents. All protocol details are behind [`protocol::CallProtocol`].

mod admit;
mod answer;
mod assign;
mod blocked;
pub mod budget;
mod call;
mod content;
mod crashes;
pub mod credit;
mod endpoint;
mod engine;
pub mod events;
mod fleet;
pub mod header_protocol;
mod late_exports;
pub mod lateness;
pub mod limit;
mod notices;
mod open_calls;
pub mod outbox;
mod outcome;
pub mod place;
mod plain;
pub mod protocol;
mod quarantine;
pub mod queue;
mod reason;
mod reports;
mod resume;
mod retry;
mod silence;
pub mod versions;
pub mod window;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use blocked::Blocked;
use budget::{Budget, BudgetTerms};
use call::{Call, Delivered, Stage};
use crashes::Crashes;
use credit::{Credit, Payment};
use fleet::{EndpointKey, Fleet, Job};
use late_exports::LateExports;
use lateness::UsualTimeout;
use open_calls::Listing;
use outbox::Outbox;
use protocol::{CallProtocol, SendInfo, TableFormat};
use queue::Queue;
use versions::Versions;

use crate::control::origins::{Origin, Origins};
use crate::h1::{CallerId, HttpEffect, HttpInput, PeerId, Purpose, Request};
use crate::link::message::{ControlReply, Reply};
use crate::model::{ExchangeId, Timestamp};
use crate::registry::{Follower, FollowerSettings};
use crate::report::observation::Observation;
use crate::role::{Input, Output, Role};
use crate::routes::{Route, RouteTable};

/// How long a gateway that is shutting down still accepts every call: the load balancer needs that
/// time to notice that the gateway is no longer ready.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(2_600);
/// How long before the end of its grace period a gateway must have finished its calls.
const GRACE_MARGIN: Duration = Duration::from_millis(500);
/// The interval between attempts to start waiting calls: endpoints that were full may have capacity
/// again.
const START_INTERVAL: Duration = Duration::from_millis(100);
/// The interval between clean-ups of idle connections and overdue side requests.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);

/// The settings of a gateway.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// How the gateway follows control.
    pub follower: FollowerSettings,
    /// The retry budget that all gateways share.
    pub budget: BudgetTerms,
    /// How long a shutdown may take, from the request to the end of the process.
    pub grace: Duration,
}

type Outputs = Vec<Output<HttpEffect>>;
/// A service, whether the call is late, and the software version that it must have.
type BackoffKey = (Box<str>, bool, Option<Box<str>>);

/// The gateway role.
pub struct Gateway {
    settings: GatewaySettings,
    protocol: Box<dyn CallProtocol>,
    tables: Arc<dyn TableFormat>,
    follower: Follower,
    exchanges: u64,
    table: Arc<RouteTable>,
    /// Whether control has confirmed, since the start, that the routing table is the newest one.
    confirmed: bool,
    fleet: Fleet,
    /// Prefills whose calls have ended.
    late_exports: LateExports,
    /// How many endpoints were listed, and how many of them were not draining, at the last change.
    listed: (usize, usize),
    calls: BTreeMap<CallerId, Call>,
    timers: BTreeSet<(Timestamp, CallerId)>,
    queues: BTreeMap<Box<str>, Queue<CallerId>>,
    budgets: BTreeMap<Box<str>, Budget>,
    /// The software versions of each service.
    versions: Versions,
    /// Which software versions began the streams that this gateway has delivered.
    origins: Origins,
    /// The services whose origins are sent to control.
    shared_services: BTreeSet<Box<str>>,
    /// Origins that were not sent to control yet.
    unsent_origins: Vec<Origin>,
    /// When `unsent_origins` are sent.
    next_record: Timestamp,
    /// Open requests to control members about a call's capacity, prefill endpoint or origin.
    leader_requests: BTreeMap<ExchangeId, CallerId>,
    /// Until when the leader is not asked for capacity.
    capacity_backoff: BTreeMap<BackoffKey, Timestamp>,
    /// Until when no request is sent to the leader, because it did not answer the last one.
    leader_backoff: Timestamp,
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
    next_report: Timestamp,
    /// When each service with engines received its last call.
    last_called: BTreeMap<Box<str>, Timestamp>,
    /// When the first input was handled.
    started: Option<Timestamp>,
    /// When the shutdown was requested.
    stopping: Option<Timestamp>,
    /// Whether idle connections of callers were closed for the shutdown; new calls are then refused
    /// unless they end in time.
    closed_idle: bool,
    /// Whether the calls that are open near the end of the grace period were logged.
    listed_open: bool,
    /// Whether capacity was freed since waiting calls were last tried.
    capacity_freed: bool,
    outputs: Outputs,
}

impl Gateway {
    /// Creates the role, which refuses calls until it has a routing table.
    pub fn new(settings: GatewaySettings, protocol: Box<dyn CallProtocol>) -> Gateway {
        let follower = Follower::new(settings.follower.clone());
        let rng = Pcg64Mcg::seed_from_u64(settings.follower.boot.0);
        Gateway {
            tables: protocol.tables(),
            protocol,
            follower,
            exchanges: 0,
            table: Arc::default(),
            confirmed: false,
            fleet: Fleet::new(&settings.follower.domain),
            late_exports: LateExports::default(),
            settings,
            listed: (0, 0),
            calls: BTreeMap::new(),
            timers: BTreeSet::new(),
            queues: BTreeMap::new(),
            budgets: BTreeMap::new(),
            versions: Versions::default(),
            origins: Origins::default(),
            shared_services: BTreeSet::new(),
            unsent_origins: Vec::new(),
            next_record: Timestamp::default(),
            leader_requests: BTreeMap::new(),
            capacity_backoff: BTreeMap::new(),
            leader_backoff: Timestamp::default(),
            crashes: Crashes::default(),
            blocked: Blocked::default(),
            outbox: Outbox::default(),
            usual_timeouts: BTreeMap::new(),
            rng,
            next_cleanup: Timestamp::default(),
            next_start: Timestamp::default(),
            next_report: Timestamp::default(),
            last_called: BTreeMap::new(),
            started: None,
            stopping: None,
            closed_idle: false,
            listed_open: false,
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
        self.stopping.is_none() && self.has_table() && !self.fleet.is_empty()
    }

    fn has_table(&self) -> bool {
        self.confirmed && self.table.version() > 0
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

    fn page(&mut self, caller: CallerId, request: &Request) {
        let ready = self.is_ready();
        let (status, text) = match self.protocol.is_readiness(&request.head) {
            true if ready => (200, "ready\n"),
            true => (503, "not ready\n"),
            false => (404, "no such page\n"),
        };
        let keep = !request.head.wants_close();
        let bytes = crate::h1::write::answer(status, &[], "text/plain", text.as_bytes(), keep);
        self.effect(HttpEffect::Reply { caller, bytes });
        self.effect(HttpEffect::Finish { caller, keep });
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

    /// Routes a new request and admits it as a call, or refuses it.
    fn request_received(&mut self, now: Timestamp, caller: CallerId, request: Request) {
        let info = match self.protocol.read_call(&request.head) {
            Ok(info) => info,
            Err(error) => {
                self.refuse_request(now, caller, &request, None, answer::bad_request(error.text()));
                return;
            }
        };
        if !self.has_table() {
            let refusal = answer::no_table();
            self.refuse_request(now, caller, &request, Some(&info.id), refusal);
            return;
        }
        let host = request.head.fields.text("host").unwrap_or_default();
        let Some(key) = self.table.find(host, request.head.path()) else {
            self.refuse_request(now, caller, &request, Some(&info.id), answer::no_route());
            return;
        };
        let draw = self.draw();
        let table = self.table.clone();
        let Some(route) = table.get(key) else { return };
        if self.closed_idle && !self.can_finish(now, route) {
            self.refuse_request(now, caller, &request, Some(&info.id), answer::shutting_down());
            return;
        }
        let service: Box<str> = route.service(draw).unwrap_or_default().into();
        let timeout = info.timeout.unwrap_or(route.timeout);
        let usual = self.usual_timeouts.entry(route.name.clone()).or_default();
        // The caller of an interrupted stream has waited already.
        let late = usual.is_late(now, timeout, route.target) && info.after.is_none();
        let call = Call {
            deadline: now + timeout.min(route.timeout),
            caller_deadline: now + timeout,
            delivered: Delivered { event: info.after, ..Delivered::default() },
            request,
            info,
            table: table.clone(),
            route: key,
            service: service.clone(),
            arrived: now,
            late,
            sends: 0,
            credit: Credit::default(),
            skips_prefill: false,
            probe: false,
            sent: false,
            first_run: false,
            exported: false,
            prefills: 0,
            tried: Vec::new(),
            software: None,
            hold: None,
            run: None,
            assigned: None,
            broke_at: None,
            may_have_run: false,
            failed: None,
            stage: Stage::Waiting,
            splitter: events::EventSplitter::default(),
            reply_deadline: Timestamp::MAX,
            timer: Timestamp::MAX,
        };
        self.calls.insert(caller, call);
        if self.refuse_blocked(now, caller) {
            return;
        }
        let terms = self.settings.budget;
        let started = self.started.unwrap_or(now);
        let budget = self.budgets.entry(service.clone());
        budget.or_insert_with(|| Budget::new(started)).called(now, &terms);
        if self.is_engine_call(caller) {
            self.last_called.insert(service, now);
        }
        if self.calls.get(&caller).is_some_and(Call::is_resumption) {
            self.admit_resumption(now, caller);
        } else {
            self.admit_call(now, caller);
        }
        self.schedule(caller);
    }

    /// Starts or queues a new call, or refuses it at once.
    fn admit_call(&mut self, now: Timestamp, caller: CallerId) {
        if let Some((refusal, why)) = self.closed_refusal(now, caller) {
            self.conclude(now, caller, refusal, why);
            return;
        }
        if self.is_engine_call(caller) {
            self.admit_engine_call(now, caller);
        } else {
            self.admit_plain_call(now, caller);
        }
    }

    /// Returns whether a new call would end before this gateway has to stop.
    fn can_finish(&self, now: Timestamp, route: &Route) -> bool {
        let Some(since) = self.stopping else { return true };
        // The duration of a stream is unknown.
        let latest = now + route.timeout + GRACE_MARGIN;
        !route.repeat.is_stream() && latest <= since + self.settings.grace
    }

    /// Sends a call to an endpoint over an idle connection, or over a new one if none can be
    /// reused. Sends nothing if the endpoint wants no new request or the call has no credit for another request.
    fn send(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        endpoint: EndpointKey,
        kind: protocol::SendKind,
    ) -> Option<PeerId> {
        let call = self.calls.get_mut(&caller)?;
        let reserved = call.hold.as_ref().is_some_and(|(at, _)| *at == endpoint);
        // A reservation has paid for the run that follows it.
        let paid = reserved && kind != protocol::SendKind::Prefill;
        let accepts = |e: &&fleet::Endpoint| match paid {
            true => e.notices.keeps_reservations(now),
            false => e.notices.accepts_requests(now),
        };
        let target = self.fleet.get(endpoint).filter(accepts)?;
        let address = target.address;
        let Some(payment) = call.credit.spend() else {
            log::error!("step=send id={} error=\"the request was not charged\"", call.info.id);
            return None;
        };
        if let Some(budget) = self.budgets.get_mut(&call.service)
            && payment == Payment::Charged
        {
            budget.sent(now, &self.settings.budget);
        }
        let info = SendInfo {
            remaining: call.remaining(now),
            endpoint: &target.name,
            after: call.delivered.event,
            hold: match &call.hold {
                Some((at, hold)) if *at == endpoint && kind != protocol::SendKind::Prefill => {
                    Some(&**hold)
                }
                _ => None,
            },
            kind,
        };
        let bytes = self.protocol.write_call(&call.request, &info);
        let once = !call.is_repeatable();
        let job = Job::Call(caller);
        let (peer, fresh) = match self.fleet.reuse(now, endpoint, job, once) {
            Some(peer) => (peer, false),
            None => (self.fleet.open(now, endpoint, job), true),
        };
        if fresh {
            self.effect(HttpEffect::Dial { peer, address });
        }
        self.effect(HttpEffect::Send { peer, bytes });
        if !paid && let Some(target) = self.fleet.get_mut(endpoint) {
            target.notices.limit.spend(now, 1);
        }
        self.count_send(caller);
        Some(peer)
    }

    /// Counts a request of a call that was sent to an endpoint.
    fn count_send(&mut self, caller: CallerId) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let service = call.service.clone();
        let order = call.record_send();
        self.outputs.push(Output::Observe(Observation::Send { service, order }));
    }

    /// Sets the timer of a call to its next deadline.
    fn schedule(&mut self, caller: CallerId) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let at = outcome::next_timer(call);
        if call.timer != at {
            self.timers.remove(&(call.timer, caller));
            call.timer = at;
            self.timers.insert((at, caller));
        }
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
        if now >= self.next_report {
            self.fetch_reports(now);
        }
    }

    fn clean_up(&mut self, now: Timestamp) {
        self.next_cleanup = now + CLEANUP_INTERVAL;
        self.blocked.expire(now);
        for peer in self.fleet.close_stale(now) {
            self.effect(HttpEffect::HangUp { peer });
        }
        self.end_overdue_jobs(now);
    }

    /// Sends the heartbeats to control that are due.
    fn follow(&mut self, now: Timestamp) {
        let exchanges = &mut self.exchanges;
        let mut next = || {
            *exchanges += 1;
            ExchangeId(*exchanges)
        };
        let outputs = self.follower.wake(now, None, None, &mut next);
        self.outputs.extend(outputs);
        self.apply_updates(now);
    }

    /// Applies the endpoint list and the routing table that the follower has received.
    fn apply_updates(&mut self, now: Timestamp) {
        if let Some(listed) = self.follower.changed_endpoints(now) {
            let open = listed.values().filter(|e| !e.draining).count();
            if (listed.len(), open) != self.listed {
                self.listed = (listed.len(), open);
                log::info!("step=endpoints listed={} open={open}", listed.len());
            }
            self.versions.listed(now, listed.values().map(|e| (&*e.pool, &*e.software)));
            self.update_shared(now);
            for peer in self.fleet.update(now, &listed) {
                self.effect(HttpEffect::HangUp { peer });
            }
        }
        if let Some(document) = self.follower.new_document() {
            match self.tables.read_table(&document.text) {
                Ok(table) => self.apply_table(table),
                Err(error) => {
                    log::error!("step=table version={} error=\"{error}\"", document.version);
                }
            }
        }
        if !self.confirmed && self.table.version() > 0 && self.follower.is_document_confirmed(now) {
            self.confirmed = true;
            log::info!("step=confirm version={}", self.table.version());
        }
    }

    fn apply_table(&mut self, table: RouteTable) {
        if table.version() <= self.table.version() {
            return;
        }
        log::info!("step=table version={} before={}", table.version(), self.table.version());
        self.effect(HttpEffect::Limit(*table.limits()));
        self.usual_timeouts.retain(|name, _| table.routes().any(|r| r.name == *name));
        self.table = Arc::new(table);
    }

    fn check_shutdown(&mut self, now: Timestamp) {
        let Some(since) = self.stopping else { return };
        let noticed = now >= since + SHUTDOWN_NOTICE;
        if noticed && !self.closed_idle {
            self.closed_idle = true;
            self.effect(HttpEffect::CloseIdle);
        }
        if now + GRACE_MARGIN >= since + self.settings.grace && !self.listed_open {
            self.listed_open = true;
            self.log_open_calls(now, since, Listing::GraceEnd);
        }
        let over = now >= since + self.settings.grace;
        let idle = self.calls.is_empty() && self.open_releases() == 0;
        if noticed && idle || over {
            log::info!("step=leave open_calls={}", self.calls.len());
            self.outputs.push(Output::Stopped);
        }
    }
}

impl Role for Gateway {
    type Local = HttpInput;
    type Effect = HttpEffect;

    fn step(&mut self, now: Timestamp, input: Input<HttpInput>) -> Outputs {
        self.started.get_or_insert(now);
        match input {
            Input::Local(input) => self.handle_local(now, input),
            Input::Reply { exchange, envelope } => match &envelope.body {
                Reply::Control(ControlReply::Beat(_)) => {
                    self.follower.reply(now, exchange, &envelope.body);
                    self.apply_updates(now);
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
            Input::Request { .. } | Input::Abandoned { .. } => {}
            Input::Wake => self.wake(now),
            Input::Shutdown { since } => {
                let grace_ms = self.settings.grace.as_millis();
                log::info!("step=shutdown open_calls={} grace_ms={grace_ms}", self.calls.len());
                let since = *self.stopping.get_or_insert(since);
                self.log_open_calls(now, since, Listing::Signal);
            }
        }
        if self.capacity_freed {
            self.start_queued(now);
        }
        self.check_shutdown(now);
        std::mem::take(&mut self.outputs)
    }

    fn next_wake(&self) -> Option<Timestamp> {
        let call = self.timers.first().map(|(at, _)| *at);
        let queue = self.queues.values().filter_map(Queue::next_expiry).min();
        let shutdown = self.stopping.map(|since| {
            let notice = since + SHUTDOWN_NOTICE;
            let end = since + self.settings.grace;
            match (self.closed_idle, self.listed_open) {
                (false, _) => notice,
                (true, false) => since + self.settings.grace.saturating_sub(GRACE_MARGIN),
                (true, true) => end,
            }
        });
        let waiting = self.queues.values().any(|q| !q.is_empty());
        let start = waiting.then_some(self.next_start);
        let record = (!self.unsent_origins.is_empty()).then_some(self.next_record);
        let cleanup = Some(self.next_cleanup.min(self.next_report));
        let crash = self.crashes.next_due();
        let evidence = self.outbox.next_wake();
        let control = self.follower.next_wake();
        let late = self.late_exports.next_due();
        [late, call, queue, start, record, crash, evidence, shutdown, cleanup, control]
            .into_iter()
            .flatten()
            .min()
    }
}
