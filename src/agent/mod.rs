//! The agent role: the only path to an endpoint, and so the authority on the work and memory that
//! are allocated there.

pub mod engine;
mod events;
pub mod ledger;
pub mod orders;
pub mod queue;
pub mod settle;
mod shutting_down;
mod work;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use engine::{EngineEffect, EngineInput, Work};
use ledger::Ledger;
use orders::Orders;
use queue::PrefillQueue;
use settle::Settlements;
use work::{Prefill, ServiceCall};

use crate::link::message::{AgentReply, AgentRequest, ControlReply, Reply, Request};
use crate::model::{
    Announcement, BootId, EndpointKind, EndpointState, ExchangeId, InboundId, Load, Refusal,
    RefusalReason, RequestId, Timestamp,
};
use crate::registry::{Follower, FollowerSettings};
use crate::report::observation::Observation;
use crate::role::{Input, Output, Role};
use crate::shutdown::{Shutdown, ShutdownTerms};

/// The interval of keep-alive replies on exchanges whose work waits or runs.
const ALIVE_INTERVAL: Duration = Duration::from_millis(250);
/// How long an agent that shuts down refuses new work before it stops, so that entries receive its
/// draining state before.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(1_500);
/// The interval at which the engine's list of running work is compared with the ledger.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// The longest time that a shutdown waits for the engine to confirm cancels.
const CANCEL_TIMEOUT: Duration = Duration::from_millis(5_000);
/// The delay after which a refused entry may try this endpoint again.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The identity and address of an agent.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// The identity of the process and the control members that it follows.
    pub follower: FollowerSettings,
    /// The address at which it accepts exchanges.
    pub address: SocketAddr,
    /// How long after the signal the process is killed.
    pub grace: Duration,
}

/// The state machine of the agent role.
pub struct Agent {
    settings: AgentSettings,
    follower: Follower,
    endpoint: Option<Announcement>,
    ledger: Ledger,
    settlements: Settlements,
    prefills: PrefillQueue,
    /// The times at which imports without a first token count as stalled.
    imports: BTreeMap<RequestId, Timestamp>,
    orders: Orders,
    shutdown: Shutdown,
    /// The state of the endpoint that was last reported, without its load.
    reported: Option<EndpointState>,
    sequence: u64,
    last_exchange: u64,
    next_alive: Timestamp,
    /// When the engine is next asked for the list of its running work.
    next_list: Timestamp,
    /// Since when a shutdown waits for nothing but confirmations of cancels.
    cancels_since: Option<Timestamp>,
}

type Outputs = Vec<Output<EngineEffect>>;

impl Agent {
    /// Creates the role; it refuses all work until its endpoint announces itself.
    pub fn new(settings: AgentSettings) -> Agent {
        let terms = ShutdownTerms { notice: SHUTDOWN_NOTICE, grace: settings.grace };
        let shutdown = Shutdown::new(terms);
        Agent {
            follower: Follower::new(settings.follower.clone()),
            orders: Orders::new(!settings.follower.members.is_empty()),
            settings,
            endpoint: None,
            ledger: Ledger::default(),
            settlements: Settlements::default(),
            prefills: PrefillQueue::default(),
            imports: BTreeMap::new(),
            shutdown,
            reported: None,
            sequence: 0,
            last_exchange: 0,
            next_alive: Timestamp::default(),
            next_list: Timestamp::default(),
            cancels_since: None,
        }
    }

    /// Returns the ledger of the memory allocated at the endpoint.
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    fn boot(&self) -> BootId {
        self.settings.follower.boot
    }

    fn state(&self) -> Option<EndpointState> {
        let endpoint = self.endpoint.as_ref()?;
        Some(EndpointState {
            name: self.settings.follower.name.clone(),
            address: self.settings.address,
            domain: self.settings.follower.domain.clone(),
            boot: self.boot(),
            sequence: self.sequence,
            kind: self.orders.kind().unwrap_or(endpoint.kind),
            pool: endpoint.pool.clone(),
            url: endpoint.url.clone(),
            capacity: endpoint.capacity,
            load: self.load(),
            draining: self.is_draining(),
            fence: self.orders.report().fence,
            software: endpoint.software.clone(),
        })
    }

    /// Returns the endpoint's state, with a higher sequence number if anything but the load has
    /// changed.
    fn numbered_state(&mut self) -> Option<EndpointState> {
        let state = self.state()?;
        let steady = EndpointState { load: Load::default(), ..state };
        if self.reported.as_ref() != Some(&steady) {
            self.sequence += 1;
            self.reported = Some(EndpointState { sequence: self.sequence, ..steady });
        }
        self.state()
    }

    fn load(&self) -> Load {
        let (slots, pieces) = self.ledger.in_use();
        Load {
            slots,
            pieces,
            prompt_tokens: self.prefills.tokens(),
            prefill_rate: self.prefills.rate(),
        }
    }

    fn reply(&self, inbound: InboundId, reply: AgentReply, last: bool) -> Output<EngineEffect> {
        Output::Reply { inbound, envelope: self.follower.envelope(Reply::Agent(reply)), last }
    }

    fn refuse(&self, inbound: InboundId, reason: RefusalReason, detail: &str) -> Outputs {
        log::info!("step=refuse reason={} detail={detail:?}", reason.as_str());
        let refusal = Refusal::not_run(reason, RETRY_AFTER, detail);
        vec![self.load_reply(inbound), self.reply(inbound, AgentReply::Refused(refusal), true)]
    }

    /// Returns a reply with the load, which shows an entry how much others use of this endpoint.
    fn load_reply(&self, inbound: InboundId) -> Output<EngineEffect> {
        self.reply(inbound, AgentReply::Load(self.load()), false)
    }

    fn request(&mut self, now: Timestamp, inbound: InboundId, request: AgentRequest) -> Outputs {
        match request {
            AgentRequest::Reserve { ref software, .. }
            | AgentRequest::Prefill { ref software, .. }
                if self.has_other_software(software) =>
            {
                let detail = "the endpoint has another software version";
                self.refuse(inbound, RefusalReason::Stale, detail)
            }
            AgentRequest::Reserve { request, tokens, lease, .. } => {
                self.reserve(now, inbound, request, tokens, lease)
            }
            AgentRequest::Prefill { request, class, prompt, prefix, within, .. } => {
                let work = Work::Prefill { class, prompt, prefix };
                let due = within.map(|span| now + span);
                self.prefill(now, inbound, Prefill { request, class, due, work })
            }
            AgentRequest::Decode { export, from, until, within } => {
                let import_deadline = within.map(|span| now + span);
                self.decode(inbound, Work::Decode { export, from, until }, import_deadline)
            }
            AgentRequest::Call { request, class: _, boot, repeatable, deadline, body } => {
                let call = ServiceCall { request, boot, repeatable, deadline, body };
                self.call(now, inbound, call)
            }
            AgentRequest::Settle { request, boot } => {
                let settled = self.settle(request, boot);
                vec![self.reply(inbound, AgentReply::Settled(settled), true)]
            }
        }
    }

    /// Returns whether the endpoint has another software version than a request is meant for.
    fn has_other_software(&self, software: &str) -> bool {
        self.endpoint.as_ref().is_some_and(|e| *e.software != *software)
    }

    /// Sends the endpoint the order that is due.
    fn next_order(&mut self, now: Timestamp) -> Outputs {
        if self.endpoint.is_none() {
            return Vec::new();
        }
        let order = self.orders.next(now);
        order.map(|o| Output::Effect(EngineEffect::Order(o))).into_iter().collect()
    }

    fn control_reply(&mut self, now: Timestamp, exchange: ExchangeId, reply: &Reply) -> Outputs {
        if !self.follower.reply(now, exchange, reply) {
            return Vec::new();
        }
        if let Reply::Control(ControlReply::Beat(beat)) = reply
            && let (Some(proof), Some(update)) = (&beat.proof, &beat.orders)
        {
            self.orders.receive(proof, update);
        }
        self.next_order(now)
    }

    fn wake(&mut self, now: Timestamp) -> Outputs {
        let mut outputs = self.heartbeats(now);
        outputs.extend(self.next_order(now));
        for (request, inbound) in self.ledger.expire(now) {
            log::info!("step=lapse request={request}");
            outputs.push(Output::Observe(Observation::LeaseLapsed));
            outputs.extend(self.refuse(inbound, RefusalReason::Stale, "the reservation lapsed"));
        }
        outputs.extend(self.start_prefills(now));
        outputs.extend(self.stop_stalled(now));
        let overdue = self.ledger.overdue_cancels(now);
        outputs.extend(overdue.into_iter().map(|r| Output::Effect(EngineEffect::Cancel(r))));
        if self.cancellable() && now >= self.next_list {
            self.next_list = now + LIST_INTERVAL;
            outputs.push(Output::Effect(EngineEffect::List));
        }
        if now >= self.next_alive {
            self.next_alive = now + ALIVE_INTERVAL;
            let alive = self.ledger.awaited().into_iter();
            outputs.extend(alive.map(|i| self.reply(i, AgentReply::Alive, false)));
        }
        outputs
    }

    fn heartbeats(&mut self, now: Timestamp) -> Outputs {
        let state = self.numbered_state();
        let last = &mut self.last_exchange;
        let report = self.orders.report();
        self.follower.wake(now, state.as_ref(), Some(&report), &mut || {
            *last += 1;
            ExchangeId(*last)
        })
    }

    fn cancellable(&self) -> bool {
        self.endpoint.as_ref().is_some_and(|e| e.kind != EndpointKind::Service)
    }

    fn is_draining(&self) -> bool {
        self.orders.is_draining() || self.shutdown.is_requested()
    }
}

impl Role for Agent {
    type Local = EngineInput;
    type Effect = EngineEffect;

    fn step(&mut self, now: Timestamp, input: Input<EngineInput>) -> Outputs {
        let open = self.open_requests();
        let mut outputs = match input {
            Input::Request { inbound, envelope } => {
                self.follower.observe(now, envelope.revised);
                match envelope.body {
                    Request::Agent(request) => self.request(now, inbound, request),
                    Request::Notice(notice) => {
                        self.follower.noticed(now, &notice);
                        let envelope = self.follower.envelope(Reply::Noticed);
                        vec![Output::Reply { inbound, envelope, last: true }]
                    }
                    Request::Control(_) | Request::Replica(_) => Vec::new(),
                }
            }
            Input::Abandoned { inbound } => {
                let request = self.ledger.abandon(now, inbound, self.cancellable());
                request.map(|r| self.cancel(r)).unwrap_or_default()
            }
            Input::Reply { exchange, envelope } => {
                self.control_reply(now, exchange, &envelope.body)
            }
            Input::Closed { exchange, .. } => {
                self.follower.closed(exchange);
                Vec::new()
            }
            Input::Members { addresses } => {
                self.follower.name_members(addresses);
                Vec::new()
            }
            Input::Local(input) => self.engine(now, input),
            Input::Wake => self.wake(now),
            Input::Shutdown { since } => self.request_shutdown(now, since),
        };
        outputs.extend(self.advance_shutdown(now));
        self.log_ends(now, open);
        outputs
    }

    fn next_wake(&self) -> Option<Timestamp> {
        let empty = self.ledger.is_empty();
        let alive = (!empty).then_some(self.next_alive);
        let list = self.cancellable().then_some(self.next_list);
        let order = self.endpoint.as_ref().and(self.orders.next_wake());
        let import = self.imports.values().min().copied();
        let work = [import, self.prefills.next_wake(), self.ledger.next_wake()];
        let rest = [alive, list, order, self.next_shutdown_wake(), self.follower.next_wake()];
        work.into_iter().chain(rest).flatten().min()
    }
}
