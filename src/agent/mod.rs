//! The agent role: the one way to an endpoint, and so the authority on what it holds.

pub mod engine;
pub mod ledger;
pub mod orders;
pub mod settle;

use std::net::SocketAddr;
use std::time::Duration;

use engine::{EngineEffect, EngineInput, Work};
use ledger::{Hold, Ledger, Phase};
use orders::Orders;
use settle::Settlements;

use crate::link::message::{
    AgentReply, AgentRequest, ControlReply, Export, Reply, Request, Settled,
};
use crate::model::{
    Announcement, Body, BootId, Class, EndpointKind, EndpointState, ExchangeId, InboundId, Load,
    Ran, Refusal, RefusalReason, RequestId, Timestamp,
};
use crate::registry::{Follower, FollowerSettings};
use crate::role::{Input, Output, Role};

/// How often an exchange with nothing to say is shown to stand.
const ALIVE_INTERVAL: Duration = Duration::from_millis(250);
/// When a refused entry may try this endpoint again.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Who an agent is.
#[derive(Debug, Clone)]
pub struct AgentSettings {
    /// How it follows control.
    pub follower: FollowerSettings,
    /// Where it takes exchanges.
    pub address: SocketAddr,
}

/// The agent role.
pub struct Agent {
    settings: AgentSettings,
    follower: Follower,
    endpoint: Option<Announcement>,
    ledger: Ledger,
    settlements: Settlements,
    orders: Orders,
    stopping: bool,
    last_exchange: u64,
    next_alive: Timestamp,
}

type Outputs = Vec<Output<EngineEffect>>;

impl Agent {
    /// Makes the role; it serves nothing until its endpoint announces itself.
    pub fn new(settings: AgentSettings) -> Agent {
        Agent {
            follower: Follower::new(settings.follower.clone()),
            orders: Orders::new(settings.follower.members.len()),
            settings,
            endpoint: None,
            ledger: Ledger::default(),
            settlements: Settlements::default(),
            stopping: false,
            last_exchange: 0,
            next_alive: Timestamp::default(),
        }
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
            kind: self.orders.kind().unwrap_or(endpoint.kind),
            pool: endpoint.pool.clone(),
            url: endpoint.url.clone(),
            capacity: endpoint.capacity,
            load: self.load(),
            draining: self.orders.is_draining() || self.stopping,
            fence: self.orders.report().fence,
        })
    }

    fn load(&self) -> Load {
        let (slots, pieces) = self.ledger.in_use();
        Load { slots, pieces, prompt_tokens: 0 }
    }

    fn reply(&self, inbound: InboundId, reply: AgentReply, last: bool) -> Output<EngineEffect> {
        Output::Reply { inbound, envelope: self.follower.envelope(Reply::Agent(reply)), last }
    }

    fn refuse(&self, inbound: InboundId, reason: RefusalReason, detail: &str) -> Outputs {
        log::info!("step=refuse reason={} detail={detail:?}", reason.as_str());
        let refusal = Refusal::not_run(reason, RETRY_AFTER, detail);
        vec![self.reply(inbound, AgentReply::Refused(refusal), true)]
    }

    fn request(&mut self, now: Timestamp, inbound: InboundId, request: AgentRequest) -> Outputs {
        match request {
            AgentRequest::Reserve { request, class: _, tokens, lease } => {
                self.reserve(now, inbound, request, tokens, lease)
            }
            AgentRequest::Prefill { request, class, prompt, prefix } => {
                self.prefill(now, inbound, request, class, prompt, prefix)
            }
            AgentRequest::Decode { export, from, until } => {
                self.decode(inbound, export, from, until)
            }
            AgentRequest::Call { request, boot, repeatable, body, .. } => {
                self.call(now, inbound, request, boot, repeatable, body)
            }
            AgentRequest::Settle { request, boot } => {
                let settled = self.settle(request, boot);
                vec![self.reply(inbound, AgentReply::Settled(settled), true)]
            }
        }
    }

    /// Returns why new work is refused, if it is.
    fn closed_to_work(&self) -> Option<(RefusalReason, &'static str)> {
        if self.orders.is_draining() || self.stopping {
            return Some((RefusalReason::Draining, "the endpoint is leaving"));
        }
        if !self.orders.is_current() {
            let detail = "the agent has started and no majority of control has told its orders";
            return Some((RefusalReason::NoConfig, detail));
        }
        if self.endpoint.is_none() {
            return Some((RefusalReason::NoEndpoint, "the endpoint has not announced itself"));
        }
        None
    }

    /// Holds room for an attempt, or says why not.
    fn hold(
        &mut self,
        request: RequestId,
        inbound: InboundId,
        tokens: u32,
        phase: Phase,
    ) -> Result<(), (RefusalReason, &'static str)> {
        if let Some(refusal) = self.closed_to_work() {
            return Err(refusal);
        }
        let Some(endpoint) = &self.endpoint else {
            return Err((RefusalReason::NoEndpoint, "the endpoint has not announced itself"));
        };
        let pieces = tokens.div_ceil(endpoint.capacity.piece_tokens.max(1)).max(1);
        if !self.ledger.hold(endpoint.capacity, Hold { request, inbound, pieces, phase }) {
            return Err((RefusalReason::Full, "the endpoint is full"));
        }
        Ok(())
    }

    fn reserve(
        &mut self,
        now: Timestamp,
        inbound: InboundId,
        request: RequestId,
        tokens: u32,
        lease: Duration,
    ) -> Outputs {
        match self.hold(request, inbound, tokens, Phase::Reserved { until: now + lease }) {
            Ok(()) => vec![self.reply(inbound, AgentReply::Reserved, false)],
            Err((reason, detail)) => self.refuse(inbound, reason, detail),
        }
    }

    fn prefill(
        &mut self,
        _now: Timestamp,
        inbound: InboundId,
        request: RequestId,
        class: Class,
        prompt: Box<str>,
        prefix: Vec<Box<str>>,
    ) -> Outputs {
        let tokens = crate::model::call::prompt_tokens(&prompt) + prefix.len() as u32;
        match self.hold(request, inbound, tokens, Phase::Running) {
            Ok(()) => {
                let work = Work::Prefill { class, prompt, prefix };
                vec![Output::Effect(EngineEffect::Start { request, work })]
            }
            Err((reason, detail)) => self.refuse(inbound, reason, detail),
        }
    }

    fn decode(&mut self, inbound: InboundId, export: Export, from: u32, until: u32) -> Outputs {
        match self.ledger.start(inbound) {
            Some(request) => {
                let work = Work::Decode { export, from, until };
                vec![Output::Effect(EngineEffect::Start { request, work })]
            }
            None => self.refuse(inbound, RefusalReason::Stale, "the reservation has lapsed"),
        }
    }

    fn call(
        &mut self,
        _now: Timestamp,
        inbound: InboundId,
        request: RequestId,
        boot: BootId,
        repeatable: bool,
        body: Body,
    ) -> Outputs {
        if boot != self.boot() {
            return self.refuse(inbound, RefusalReason::Stale, "the agent has restarted");
        }
        if self.settlements.is_closed(request) {
            return self.refuse(inbound, RefusalReason::Stale, "the attempt was settled before");
        }
        match self.hold(request, inbound, 1, Phase::Running) {
            Ok(()) => {
                let work = Work::Call { repeatable, body };
                vec![Output::Effect(EngineEffect::Start { request, work })]
            }
            Err((reason, detail)) => self.refuse(inbound, reason, detail),
        }
    }

    fn settle(&mut self, request: RequestId, boot: BootId) -> Settled {
        if boot != self.boot() {
            return Settled::Unknown;
        }
        if self.ledger.holds(request) {
            return Settled::Running;
        }
        self.settlements.settle(request)
    }

    /// Gives the endpoint the order that is due.
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
            && let Some(marked) = &beat.orders
        {
            self.orders.heard(&beat.member, marked);
        }
        self.next_order(now)
    }

    fn engine(&mut self, now: Timestamp, input: EngineInput) -> Outputs {
        match input {
            EngineInput::Announced(announcement) => {
                log::info!("step=announce url={} pool={}", announcement.url, announcement.pool);
                self.orders.announced(announcement.artifact.as_deref());
                self.endpoint = Some(announcement);
                self.next_order(now)
            }
            EngineInput::Exported { request, export } => {
                self.finish(request, AgentReply::Exported(export))
            }
            EngineInput::Part { request, offset, tokens } => {
                let Some(inbound) = self.ledger.inbound(request) else { return Vec::new() };
                vec![self.reply(inbound, AgentReply::Part { offset, tokens }, false)]
            }
            EngineInput::End { request, offset, finish } => {
                self.finish(request, AgentReply::End { offset, finish })
            }
            EngineInput::Answered { request, answer } => {
                self.settlements.close(request, Settled::Finished(answer.clone()));
                self.finish(request, AgentReply::Answer(answer))
            }
            EngineInput::Failed { request, ran, detail } => self.failed(request, ran, detail),
            EngineInput::Cancelled { request, confirmed } => {
                self.ledger.cancelled(now, request, confirmed);
                Vec::new()
            }
            EngineInput::Ordered { fence, result } => {
                self.orders.finished(now, fence, result);
                self.next_order(now)
            }
        }
    }

    fn finish(&mut self, request: RequestId, reply: AgentReply) -> Outputs {
        match self.ledger.release(request) {
            Some(inbound) => vec![self.reply(inbound, reply, true)],
            None => Vec::new(),
        }
    }

    fn failed(&mut self, request: RequestId, ran: Ran, detail: Box<str>) -> Outputs {
        let settled = if ran == Ran::No { Settled::NotStarted } else { Settled::Unknown };
        self.settlements.close(request, settled);
        let reason = RefusalReason::EndpointFailed;
        let refusal = Refusal { reason, ran, retry: RETRY_AFTER, detail };
        self.finish(request, AgentReply::Refused(refusal))
    }

    fn wake(&mut self, now: Timestamp) -> Outputs {
        let mut outputs = self.heartbeats(now);
        outputs.extend(self.next_order(now));
        for (request, inbound) in self.ledger.lapse(now) {
            log::info!("step=lapse request={request}");
            outputs.extend(self.refuse(inbound, RefusalReason::Stale, "the reservation lapsed"));
        }
        let overdue = self.ledger.overdue_cancels(now);
        outputs.extend(overdue.into_iter().map(|r| Output::Effect(EngineEffect::Cancel(r))));
        if now >= self.next_alive {
            self.next_alive = now + ALIVE_INTERVAL;
            let alive = self.ledger.running().into_iter();
            outputs.extend(alive.map(|i| self.reply(i, AgentReply::Alive, false)));
        }
        outputs
    }

    fn heartbeats(&mut self, now: Timestamp) -> Outputs {
        let state = self.state();
        let report = self.orders.report();
        let last = &mut self.last_exchange;
        self.follower.wake(now, state.as_ref(), Some(&report), &mut || {
            *last += 1;
            ExchangeId(*last)
        })
    }

    fn cancellable(&self) -> bool {
        self.endpoint.as_ref().is_some_and(|e| e.kind != EndpointKind::Service)
    }

    fn stopped(&self) -> bool {
        self.stopping && self.ledger.is_empty()
    }
}

impl Role for Agent {
    type Local = EngineInput;
    type Effect = EngineEffect;

    fn step(&mut self, now: Timestamp, input: Input<EngineInput>) -> Outputs {
        let mut outputs = match input {
            Input::Request { inbound, envelope } => {
                self.follower.observe(now, envelope.revised);
                match envelope.body {
                    Request::Agent(request) => self.request(now, inbound, request),
                    Request::Control(_) | Request::Replica(_) => Vec::new(),
                }
            }
            Input::Abandoned { inbound } => {
                let request = self.ledger.abandon(now, inbound, self.cancellable());
                request.map(|r| Output::Effect(EngineEffect::Cancel(r))).into_iter().collect()
            }
            Input::Reply { exchange, envelope } => {
                self.control_reply(now, exchange, &envelope.body)
            }
            Input::Closed { exchange, .. } => {
                self.follower.closed(exchange);
                Vec::new()
            }
            Input::Local(input) => self.engine(now, input),
            Input::Wake => self.wake(now),
            Input::Shutdown => {
                self.stopping = true;
                self.heartbeats(now)
            }
        };
        if self.stopped() {
            outputs.push(Output::Stopped);
        }
        outputs
    }

    fn next_wake(&self) -> Option<Timestamp> {
        let alive = (!self.ledger.is_empty()).then_some(self.next_alive);
        let order = self.endpoint.as_ref().and(self.orders.next_wake());
        [alive, order, self.follower.next_wake(), self.ledger.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}
