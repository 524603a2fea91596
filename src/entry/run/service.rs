//! Calls to plain services; a call that has a key and may not be repeated claims the key first.

use super::super::claim::claim_key;
use super::super::place::Software;
use super::super::{Outputs, Shared};
use super::{Run, Stage};
use crate::control::claims::{Outcome, Target};
use crate::link::message::{AgentRequest, Answer, Request};
use crate::model::{CallKind, EndpointKind, Ran, RefusalReason, RequestId, Timestamp};

impl Run {
    pub(super) fn attempt_service(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        if claim_key(&self.call).is_some() {
            let from = self.claim.take().map(|owned| owned.request);
            return self.claim_service(shared, now, from);
        }
        if !self.place_service(shared, now) {
            return self.no_service(shared, now);
        }
        self.dispatch(shared, now)
    }

    /// Chooses an endpoint and claims the key for an attempt there, taking it over from attempt
    /// `from` if there is one.
    pub(super) fn claim_service(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        from: Option<RequestId>,
    ) -> Outputs {
        let Some(key) = claim_key(&self.call) else { return Vec::new() };
        if self.place_service(shared, now) {
            return self.propose_claim(shared, now, key, from);
        }
        // Keeps the claim of the attempt that never started, so that it is released.
        if let Some(request) = from {
            self.claim = Some(super::Owned { key, request });
        }
        self.no_service(shared, now)
    }

    fn place_service(&mut self, shared: &mut Shared, now: Timestamp) -> bool {
        let placed = self.place(shared, now, EndpointKind::Service, Software::Any);
        let Some(endpoint) = placed else { return false };
        self.endpoint = Some(endpoint);
        true
    }

    fn no_service(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        self.refuse(shared, now, RefusalReason::NoEndpoint, "no endpoint serves this pool")
    }

    pub(super) fn dispatch(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        let Some(endpoint) = self.endpoint.clone() else { return Vec::new() };
        let CallKind::Service(body) = self.call.kind.clone() else { return Vec::new() };
        let start = AgentRequest::Call {
            request: self.request_id(shared),
            class: self.call.class,
            boot: endpoint.boot,
            repeatable: self.call.repeatable,
            deadline: self.call.deadline,
            body,
        };
        self.attempts.dispatched();
        self.last_activity = now;
        let (exchange, open) = shared.open(self.id, endpoint.address, Request::Agent(start));
        self.stage = Stage::Serving { exchange };
        vec![open]
    }

    /// Handles the loss of the exchange with the agent that serves the call.
    pub(super) fn lost_service(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        ran: Ran,
    ) -> Outputs {
        let Stage::Serving { exchange } = self.stage else { return Vec::new() };
        if self.call.repeatable || ran == Ran::No {
            return self.lost(shared, now, exchange, ran);
        }
        let mut outputs = self.reset_exchanges(shared);
        let request = self.request_id(shared);
        let Some(endpoint) = &self.endpoint else { return outputs };
        let target = Target { endpoint: endpoint.name.clone(), boot: endpoint.boot };
        outputs.extend(self.settle(shared, now, request, target, None));
        outputs
    }

    pub(super) fn answered(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        answer: Answer,
    ) -> Outputs {
        self.attempts.ended(Ran::Yes);
        let request = self.request_id(shared);
        self.send_answer(shared, now, request, answer)
    }

    /// Delivers an answer, then records it if the call needs a claim.
    pub(super) fn send_answer(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        request: RequestId,
        answer: Answer,
    ) -> Outputs {
        let outcome = Outcome::finished(answer.clone());
        let mut outputs: Outputs =
            self.responder.take().map(|r| r.answered(answer)).into_iter().collect();
        outputs.extend(self.record_outcome(shared, now, request, outcome));
        outputs
    }
}
