//! The requests of entries to an endpoint: reservations, prefills, decode streams and calls.

use std::time::Duration;

use super::engine::{EngineEffect, Work};
use super::ledger::{Allocation, Phase};
use super::{Agent, Outputs, RETRY_AFTER};
use crate::link::message::{AgentReply, Settled};
use crate::model::call::prompt_tokens;
use crate::model::{
    Body, BootId, Class, InboundId, Ran, Refusal, RefusalReason, RequestId, Timestamp,
};
use crate::role::Output;

/// An entry's request for one exchange with a plain service.
#[derive(Debug)]
pub(super) struct ServiceCall {
    pub(super) request: RequestId,
    pub(super) boot: BootId,
    pub(super) repeatable: bool,
    pub(super) deadline: Timestamp,
    pub(super) body: Body,
}

/// An entry's request for a prefill.
#[derive(Debug)]
pub(super) struct Prefill {
    pub(super) request: RequestId,
    pub(super) class: Class,
    /// When it must be complete; `None` sends it to the engine at once, past the queue.
    pub(super) due: Option<Timestamp>,
    pub(super) work: Work,
}

/// The reason and detail text of a refusal.
type Reason = (RefusalReason, &'static str);

impl Agent {
    /// Returns why new work is refused at present, or `None` if it is accepted.
    fn work_refusal(&self) -> Option<Reason> {
        if self.is_draining() {
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

    /// Allocates capacity to an attempt, or returns why that is refused.
    fn allocate(&mut self, allocation: Allocation) -> Result<(), Reason> {
        if let Some(refusal) = self.work_refusal() {
            return Err(refusal);
        }
        let Some(endpoint) = &self.endpoint else {
            return Err((RefusalReason::NoEndpoint, "the endpoint has not announced itself"));
        };
        if !self.ledger.allocate(endpoint.capacity, allocation) {
            return Err((RefusalReason::Full, "the endpoint is full"));
        }
        Ok(())
    }

    /// Returns how many pieces of engine memory a number of tokens needs.
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
        match self.allocate(Allocation { request, inbound, pieces, phase, once: false, since: now })
        {
            Ok(()) => {
                vec![self.load_reply(inbound), self.reply(inbound, AgentReply::Reserved, false)]
            }
            Err((reason, detail)) => self.refuse(inbound, reason, detail),
        }
    }

    pub(super) fn prefill(
        &mut self,
        now: Timestamp,
        inbound: InboundId,
        prefill: Prefill,
    ) -> Outputs {
        let Prefill { request, class, due, work } = prefill;
        let tokens = match &work {
            Work::Prefill { prompt, prefix, .. } => prompt_tokens(prompt) + prefix.len() as u32,
            Work::Decode { .. } | Work::Call { .. } => 0,
        };
        let pieces = self.pieces(tokens);
        let allocation =
            Allocation { request, inbound, pieces, phase: Phase::Running, once: false, since: now };
        if let Err((reason, detail)) = self.allocate(allocation) {
            return self.refuse(inbound, reason, detail);
        }
        let Some(due) = due else {
            return vec![Output::Effect(EngineEffect::Start { request, work })];
        };
        if !self.prefills.push(now, request, due, class, tokens, work) {
            self.ledger.release(request);
            let detail = "the prefill can't be done in time";
            return self.refuse(inbound, RefusalReason::Full, detail);
        }
        self.start_prefills(now)
    }

    /// Refuses the prefills that can't meet their deadlines any more and starts the next ones.
    pub(super) fn start_prefills(&mut self, now: Timestamp) -> Outputs {
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

    pub(super) fn decode(
        &mut self,
        inbound: InboundId,
        work: Work,
        import_deadline: Option<Timestamp>,
    ) -> Outputs {
        match self.ledger.start(inbound) {
            Some(request) => {
                if let Some(at) = import_deadline {
                    self.imports.insert(request, at);
                }
                vec![Output::Effect(EngineEffect::Start { request, work })]
            }
            None => self.refuse(inbound, RefusalReason::Stale, "the reservation has lapsed"),
        }
    }

    /// Cancels imports that have stalled, so that the entry can use the export at another endpoint.
    pub(super) fn stop_stalled(&mut self, now: Timestamp) -> Outputs {
        let stalled: Vec<_> =
            self.imports.iter().filter(|(_, at)| **at <= now).map(|(r, _)| *r).collect();
        let mut outputs = Vec::new();
        for request in stalled {
            self.imports.remove(&request);
            let Some(inbound) = self.ledger.inbound(request) else { continue };
            log::info!("step=stalled-import request={request}");
            self.ledger.abandon(now, inbound, true);
            outputs.push(Output::Effect(EngineEffect::Cancel(request)));
            let reason = RefusalReason::EndpointFailed;
            let refusal = Refusal::may_have_run(reason, RETRY_AFTER, "the import stalled");
            outputs.push(self.reply(inbound, AgentReply::Refused(refusal), true));
        }
        outputs
    }

    /// Cancels work at the endpoint, or frees its capacity if it was never sent there.
    pub(super) fn cancel(&mut self, request: RequestId) -> Outputs {
        self.imports.remove(&request);
        if self.prefills.remove(request) {
            self.ledger.release(request);
            return Vec::new();
        }
        vec![Output::Effect(EngineEffect::Cancel(request))]
    }

    pub(super) fn call(
        &mut self,
        now: Timestamp,
        inbound: InboundId,
        call: ServiceCall,
    ) -> Outputs {
        let request = call.request;
        if self.ledger.contains(request) || self.settlements.may_have_run(request) {
            return self.refuse_repeated(inbound);
        }
        if let Err((reason, detail)) = self.start_call(now, inbound, &call) {
            if !call.repeatable {
                self.settlements.record(request, Settled::NotStarted);
            }
            return self.refuse(inbound, reason, detail);
        }
        let ServiceCall { deadline, body, .. } = call;
        let work = Work::Call { deadline, body };
        vec![Output::Effect(EngineEffect::Start { request, work })]
    }

    /// Allocates capacity to a call, or returns why it never starts.
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
        let phase = Phase::Running;
        self.allocate(Allocation { request, inbound, pieces: 1, phase, once, since: now })
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
        if self.ledger.contains(request) {
            return Settled::Running;
        }
        self.settlements.settle(request)
    }
}
