//! The agent role: the one way to an endpoint, and so the authority on what it holds.

pub mod engine;
mod events;
pub mod ledger;
pub mod settle;
mod work;

use std::net::SocketAddr;
use std::time::Duration;

use engine::{EngineEffect, EngineInput};
use ledger::Ledger;
use settle::Settlements;
use work::ServiceCall;

use crate::link::message::{AgentReply, AgentRequest, Order, Reply, Request};
use crate::model::{
    Announcement, BootId, EndpointKind, EndpointState, ExchangeId, Fence, InboundId, Load, Refusal,
    RefusalReason, Timestamp,
};
use crate::registry::{Follower, FollowerSettings};
use crate::role::{Input, Output, Role};

/// How often an exchange with nothing to say is shown to stand.
const ALIVE_INTERVAL: Duration = Duration::from_millis(250);
/// How often the engine's own list is compared with the ledger.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long a shutdown waits for the engine to confirm cancels.
const CANCEL_LIMIT: Duration = Duration::from_millis(5_000);
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
    draining: bool,
    stopping: bool,
    fence: Fence,
    last_exchange: u64,
    next_alive: Timestamp,
    /// When the engine is asked next what it runs.
    next_list: Timestamp,
    /// When the shutdown stops to wait for cancels.
    stop_limit: Timestamp,
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
            draining: false,
            stopping: false,
            fence: Fence(0),
            last_exchange: 0,
            next_alive: Timestamp::default(),
            next_list: Timestamp::default(),
            stop_limit: Timestamp::MAX,
        }
    }

    /// Returns what is held at the endpoint.
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
                self.prefill(inbound, request, class, prompt, prefix)
            }
            AgentRequest::Decode { export, from, until } => {
                self.decode(inbound, export, from, until)
            }
            AgentRequest::Call { request, class: _, boot, repeatable, deadline, body } => {
                let call = ServiceCall { request, boot, repeatable, deadline, body };
                self.call(now, inbound, call)
            }
            AgentRequest::Settle { request, boot } => {
                let settled = self.settle(request, boot);
                vec![self.reply(inbound, AgentReply::Settled(settled), true)]
            }
            AgentRequest::Order { fence, order } => self.order(inbound, fence, order),
        }
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

    fn wake(&mut self, now: Timestamp) -> Outputs {
        let mut outputs = self.heartbeats(now);
        for (request, inbound) in self.ledger.lapse(now) {
            log::info!("step=lapse request={request}");
            outputs.extend(self.refuse(inbound, RefusalReason::Stale, "the reservation lapsed"));
        }
        let overdue = self.ledger.overdue_cancels(now);
        outputs.extend(overdue.into_iter().map(|r| Output::Effect(EngineEffect::Cancel(r))));
        if self.cancellable() && now >= self.next_list {
            self.next_list = now + LIST_INTERVAL;
            outputs.push(Output::Effect(EngineEffect::List));
        }
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

    fn cancellable(&self) -> bool {
        self.endpoint.as_ref().is_some_and(|e| e.kind != EndpointKind::Service)
    }

    /// Returns whether nothing is left that an entry waits for, or may ask for later.
    fn stopped(&self, now: Timestamp) -> bool {
        let given_up = now >= self.stop_limit && self.ledger.only_cancelling();
        self.stopping && (self.ledger.is_empty() || given_up)
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
                self.stop_limit = self.stop_limit.min(now + CANCEL_LIMIT);
                self.heartbeats(now)
            }
        };
        if self.stopped(now) {
            outputs.push(Output::Stopped);
        }
        outputs
    }

    fn next_wake(&self) -> Option<Timestamp> {
        let alive = (!self.ledger.is_empty()).then_some(self.next_alive);
        let list = self.cancellable().then_some(self.next_list);
        [alive, list, self.follower.next_wake(), self.ledger.next_wake()]
            .into_iter()
            .flatten()
            .min()
    }
}
