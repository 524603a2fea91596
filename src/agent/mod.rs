//! The agent role: the one way to an endpoint, and so the authority on what it holds.

pub mod engine;
pub mod ledger;
pub mod queue;
pub mod settle;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use engine::{EngineEffect, EngineInput, Work};
use ledger::{Hold, Ledger, Phase};
use queue::PrefillQueue;
use settle::Settlements;

use crate::link::message::{AgentReply, AgentRequest, Order, Reply, Request, Settled};
use crate::model::{
    Announcement, Body, BootId, Class, EndpointKind, EndpointState, ExchangeId, Fence, InboundId,
    Load, Ran, Refusal, RefusalReason, RequestId, Timestamp,
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
    prefills: PrefillQueue,
    /// When imports that have brought no token yet count as stalled.
    imports: BTreeMap<RequestId, Timestamp>,
    draining: bool,
    stopping: bool,
    fence: Fence,
    last_exchange: u64,
    next_alive: Timestamp,
}

type Outputs = Vec<Output<EngineEffect>>;

impl Agent {
    /// Makes the role; it serves nothing until its endpoint announces itself.
    pub fn new(settings: AgentSettings) -> Agent {
        Agent {
            follower: Follower::new(settings.follower.clone()),
            settings,
            endpoint: None,
            ledger: Ledger::default(),
            settlements: Settlements::default(),
            prefills: PrefillQueue::default(),
            imports: BTreeMap::new(),
            draining: false,
            stopping: false,
            fence: Fence(0),
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
            kind: endpoint.kind,
            pool: endpoint.pool.clone(),
            url: endpoint.url.clone(),
            capacity: endpoint.capacity,
            load: self.load(),
            draining: self.draining || self.stopping,
            fence: self.fence,
        })
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
        vec![self.tell_load(inbound), self.reply(inbound, AgentReply::Refused(refusal), true)]
    }

    /// Tells an entry the load, from which it learns what others have here.
    fn tell_load(&self, inbound: InboundId) -> Output<EngineEffect> {
        self.reply(inbound, AgentReply::Load(self.load()), false)
    }

    fn request(&mut self, now: Timestamp, inbound: InboundId, request: AgentRequest) -> Outputs {
        match request {
            AgentRequest::Reserve { request, class: _, tokens, lease } => {
                self.reserve(now, inbound, request, tokens, lease)
            }
            AgentRequest::Prefill { request, class, prompt, prefix, within } => {
                let work = Work::Prefill { class, prompt, prefix };
                self.prefill(now, inbound, request, class, work, within)
            }
            AgentRequest::Decode { export, from, until, within } => {
                let stalled = within.map(|span| now + span);
                self.decode(inbound, Work::Decode { export, from, until }, stalled)
            }
            AgentRequest::Call { request, boot, repeatable, body, .. } => {
                self.call(now, inbound, request, boot, repeatable, body)
            }
            AgentRequest::Settle { request, boot } => {
                let settled = self.settle(request, boot);
                vec![self.reply(inbound, AgentReply::Settled(settled), true)]
            }
            AgentRequest::Order { fence, order } => self.order(inbound, fence, order),
        }
    }

    /// Returns why new work is refused, if it is.
    fn closed_to_work(&self) -> Option<(RefusalReason, &'static str)> {
        if self.draining || self.stopping {
            return Some((RefusalReason::Draining, "the endpoint is leaving"));
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
            Ok(()) => {
                vec![self.tell_load(inbound), self.reply(inbound, AgentReply::Reserved, false)]
            }
            Err((reason, detail)) => self.refuse(inbound, reason, detail),
        }
    }

    fn prefill(
        &mut self,
        now: Timestamp,
        inbound: InboundId,
        request: RequestId,
        class: Class,
        work: Work,
        within: Option<Duration>,
    ) -> Outputs {
        let tokens = match &work {
            Work::Prefill { prompt, prefix, .. } => {
                crate::model::call::prompt_tokens(prompt) + prefix.len() as u32
            }
            Work::Decode { .. } | Work::Call { .. } => 0,
        };
        if let Err((reason, detail)) = self.hold(request, inbound, tokens, Phase::Running) {
            return self.refuse(inbound, reason, detail);
        }
        let Some(span) = within else {
            return vec![Output::Effect(EngineEffect::Start { request, work })];
        };
        if !self.prefills.push(now, request, now + span, class, tokens, work) {
            self.ledger.release(request);
            let detail = "the prefill can't be done in time";
            return self.refuse(inbound, RefusalReason::Full, detail);
        }
        self.start_prefills(now)
    }

    /// Refuses what can't be in time any more and hands the next prefills to the engine.
    fn start_prefills(&mut self, now: Timestamp) -> Outputs {
        let mut outputs = Vec::new();
        for request in self.prefills.expire(now) {
            if let Some(inbound) = self.ledger.release(request) {
                let detail = "the prefill can't be done in time any more";
                outputs.extend(self.refuse(inbound, RefusalReason::Full, detail));
            }
        }
        while let Some((request, work)) = self.prefills.pop(now) {
            outputs.push(Output::Effect(EngineEffect::Start { request, work }));
        }
        outputs
    }

    fn decode(&mut self, inbound: InboundId, work: Work, stalled: Option<Timestamp>) -> Outputs {
        match self.ledger.start(inbound) {
            Some(request) => {
                if let Some(at) = stalled {
                    self.imports.insert(request, at);
                }
                vec![Output::Effect(EngineEffect::Start { request, work })]
            }
            None => self.refuse(inbound, RefusalReason::Stale, "the reservation has lapsed"),
        }
    }

    /// Gives up imports that have stalled, so that the entry can use the export elsewhere.
    fn stop_stalled(&mut self, now: Timestamp) -> Outputs {
        let stalled: Vec<_> =
            self.imports.iter().filter(|(_, at)| **at <= now).map(|(r, _)| *r).collect();
        let mut outputs = Vec::new();
        for request in stalled {
            self.imports.remove(&request);
            let Some(inbound) = self.ledger.inbound(request) else { continue };
            log::info!("step=stalled-import request={request}");
            self.ledger.abandon(now, inbound, true);
            outputs.push(Output::Effect(EngineEffect::Cancel(request)));
            outputs.extend(self.refuse(
                inbound,
                RefusalReason::EndpointFailed,
                "the import stalled",
            ));
        }
        outputs
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

    fn order(&mut self, inbound: InboundId, fence: Fence, order: Order) -> Outputs {
        if fence <= self.fence {
            return self.refuse(inbound, RefusalReason::Stale, "the fencing number is old");
        }
        self.fence = fence;
        match order {
            Order::Drain => self.draining = true,
            Order::Undrain => self.draining = false,
            Order::Load { .. } | Order::Role { .. } => {
                return vec![Output::Effect(EngineEffect::Order { inbound, fence, order })];
            }
        }
        vec![self.reply(inbound, AgentReply::Ordered { fence }, true)]
    }

    fn engine(&mut self, now: Timestamp, input: EngineInput) -> Outputs {
        match input {
            EngineInput::Announced(announcement) => {
                log::info!("step=announce url={} pool={}", announcement.url, announcement.pool);
                self.endpoint = Some(announcement);
                Vec::new()
            }
            EngineInput::Exported { request, export } => {
                self.prefills.done(now, request);
                let mut outputs = self.finish(request, AgentReply::Exported(export));
                outputs.extend(self.start_prefills(now));
                outputs
            }
            EngineInput::Part { request, offset, tokens } => {
                self.imports.remove(&request);
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
            EngineInput::Failed { request, ran, detail } => {
                self.prefills.remove(request);
                let mut outputs = self.failed(request, ran, detail);
                outputs.extend(self.start_prefills(now));
                outputs
            }
            EngineInput::Cancelled { request, confirmed } => {
                self.ledger.cancelled(now, request, confirmed);
                if confirmed {
                    self.prefills.remove(request);
                }
                self.start_prefills(now)
            }
            EngineInput::Ordered { inbound, fence, result } => match result {
                Ok(()) => vec![self.reply(inbound, AgentReply::Ordered { fence }, true)],
                Err(detail) => self.refuse(inbound, RefusalReason::EndpointFailed, &detail),
            },
        }
    }

    fn finish(&mut self, request: RequestId, reply: AgentReply) -> Outputs {
        self.imports.remove(&request);
        match self.ledger.release(request) {
            Some(inbound) => vec![self.tell_load(inbound), self.reply(inbound, reply, true)],
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
        for (request, inbound) in self.ledger.lapse(now) {
            log::info!("step=lapse request={request}");
            outputs.extend(self.refuse(inbound, RefusalReason::Stale, "the reservation lapsed"));
        }
        outputs.extend(self.start_prefills(now));
        outputs.extend(self.stop_stalled(now));
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
        let last = &mut self.last_exchange;
        self.follower.wake(now, state.as_ref(), &mut || {
            *last += 1;
            ExchangeId(*last)
        })
    }

    /// Cancels work at the endpoint, or frees its room if the endpoint never saw it.
    fn cancel(&mut self, request: RequestId) -> Outputs {
        self.imports.remove(&request);
        if self.prefills.remove(request) {
            self.ledger.release(request);
            return Vec::new();
        }
        vec![Output::Effect(EngineEffect::Cancel(request))]
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
                request.map(|r| self.cancel(r)).unwrap_or_default()
            }
            Input::Reply { exchange, envelope } => {
                self.follower.reply(now, exchange, &envelope.body);
                Vec::new()
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
        let import = self.imports.values().min().copied();
        let prefill = self.prefills.next_wake();
        let wakes = [alive, import, prefill, self.follower.next_wake(), self.ledger.next_wake()];
        wakes.into_iter().flatten().min()
    }
}
