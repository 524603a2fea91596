//! The work that entries ask of an endpoint: room, prefills, streams and calls.

use std::time::Duration;

use super::engine::{EngineEffect, Work};
use super::ledger::{Hold, Phase};
use super::{Agent, Outputs, RETRY_AFTER};
use crate::link::message::{AgentReply, Export, Settled};
use crate::model::call::prompt_tokens;
use crate::model::{
    Body, BootId, Class, InboundId, Ran, Refusal, RefusalReason, RequestId, Timestamp,
};
use crate::role::Output;

/// An exchange with a plain service, as an entry asks for it.
#[derive(Debug)]
pub(super) struct ServiceCall {
    pub(super) request: RequestId,
    pub(super) boot: BootId,
    pub(super) repeatable: bool,
    pub(super) deadline: Timestamp,
    pub(super) body: Body,
}

/// Why work is refused.
type Reason = (RefusalReason, &'static str);

impl Agent {
    /// Returns why new work is refused, if it is.
    fn closed_to_work(&self) -> Option<Reason> {
        if self.is_leaving() {
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
    fn hold(&mut self, hold: Hold) -> Result<(), Reason> {
        if let Some(refusal) = self.closed_to_work() {
            return Err(refusal);
        }
        let Some(endpoint) = &self.endpoint else {
            return Err((RefusalReason::NoEndpoint, "the endpoint has not announced itself"));
        };
        if !self.ledger.hold(endpoint.capacity, hold) {
            return Err((RefusalReason::Full, "the endpoint is full"));
        }
        Ok(())
    }

    /// Returns how many pieces of engine memory so many tokens take.
    fn pieces(&self, tokens: u32) -> u32 {
        let size = self.endpoint.as_ref().map_or(1, |e| e.capacity.piece_tokens.max(1));
        tokens.div_ceil(size).max(1)
    }

    pub(super) fn reserve(
        &mut self,
        now: Timestamp,
        inbound: InboundId,
        request: RequestId,
        tokens: u32,
        lease: Duration,
    ) -> Outputs {
        let pieces = self.pieces(tokens);
        let phase = Phase::Reserved { until: now + lease };
        match self.hold(Hold { request, inbound, pieces, phase, once: false }) {
            Ok(()) => vec![self.reply(inbound, AgentReply::Reserved, false)],
            Err((reason, detail)) => self.refuse(inbound, reason, detail),
        }
    }

    pub(super) fn prefill(
        &mut self,
        inbound: InboundId,
        request: RequestId,
        class: Class,
        prompt: Box<str>,
        prefix: Vec<Box<str>>,
    ) -> Outputs {
        let pieces = self.pieces(prompt_tokens(&prompt) + prefix.len() as u32);
        let hold = Hold { request, inbound, pieces, phase: Phase::Running, once: false };
        match self.hold(hold) {
            Ok(()) => {
                let work = Work::Prefill { class, prompt, prefix };
                vec![Output::Effect(EngineEffect::Start { request, work })]
            }
            Err((reason, detail)) => self.refuse(inbound, reason, detail),
        }
    }

    pub(super) fn decode(
        &mut self,
        inbound: InboundId,
        export: Export,
        from: u32,
        until: u32,
    ) -> Outputs {
        match self.ledger.start(inbound) {
            Some(request) => {
                let work = Work::Decode { export, from, until };
                vec![Output::Effect(EngineEffect::Start { request, work })]
            }
            None => self.refuse(inbound, RefusalReason::Stale, "the reservation has lapsed"),
        }
    }

    pub(super) fn call(
        &mut self,
        now: Timestamp,
        inbound: InboundId,
        call: ServiceCall,
    ) -> Outputs {
        let request = call.request;
        if self.ledger.holds(request) || self.settlements.may_have_run(request) {
            return self.refuse_repeated(inbound);
        }
        if let Err((reason, detail)) = self.start_call(now, inbound, &call) {
            if !call.repeatable {
                self.settlements.close(request, Settled::NotStarted);
            }
            return self.refuse(inbound, reason, detail);
        }
        let ServiceCall { deadline, body, .. } = call;
        let work = Work::Call { deadline, body };
        vec![Output::Effect(EngineEffect::Start { request, work })]
    }

    /// Holds room for a call, or says why it never starts.
    fn start_call(
        &mut self,
        now: Timestamp,
        inbound: InboundId,
        call: &ServiceCall,
    ) -> Result<(), Reason> {
        if call.boot != self.boot() {
            return Err((RefusalReason::Stale, "the agent has restarted"));
        }
        if self.settlements.get(call.request).is_some() {
            return Err((RefusalReason::Stale, "the attempt was settled before"));
        }
        if now >= call.deadline {
            return Err((RefusalReason::Deadline, "the deadline has passed"));
        }
        let (request, once) = (call.request, !call.repeatable);
        self.hold(Hold { request, inbound, pieces: 1, phase: Phase::Running, once })
    }

    fn refuse_repeated(&self, inbound: InboundId) -> Outputs {
        let detail = "the attempt came here before";
        let refusal = Refusal::may_have_run(RefusalReason::Stale, RETRY_AFTER, detail);
        debug_assert_eq!(refusal.ran, Ran::Maybe);
        vec![self.reply(inbound, AgentReply::Refused(refusal), true)]
    }

    pub(super) fn settle(&mut self, request: RequestId, boot: BootId) -> Settled {
        if boot != self.boot() {
            return Settled::Unknown;
        }
        if self.ledger.holds(request) {
            return Settled::Running;
        }
        self.settlements.settle(request)
    }
}
