//! Calls to plain services, with a claim before those that may not be repeated.

use super::super::claim::claim_for;
use super::super::{Outputs, Shared, Terminal};
use super::{Run, Stage};
use crate::control::claims::{Claim, ClaimKey, ClaimReply, Outcome};
use crate::control::state::{Applied, Command};
use crate::link::message::{AgentRequest, Answer, ControlReply, ControlRequest, Request};
use crate::model::{Body, CallKind, EndpointKind, Ran, RefusalReason, Timestamp};

impl Run {
    pub(super) fn attempt_service(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        body: Body,
    ) -> Outputs {
        let Some(endpoint) = self.place(shared, now, EndpointKind::Service) else {
            return self.refuse(shared, RefusalReason::NoEndpoint, "no endpoint serves this pool");
        };
        self.tried.push(endpoint.name.clone());
        self.endpoint = Some(endpoint.clone());
        let request = self.request_id(shared);
        match claim_for(now, &self.call, &body, request, &endpoint) {
            Some((key, claim)) => self.propose_claim(shared, now, key, claim),
            None => self.dispatch(shared, body),
        }
    }

    pub(super) fn propose_claim(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        key: ClaimKey,
        claim: Claim,
    ) -> Outputs {
        let Some(peer) = shared.proposer.target() else {
            return self.refuse(shared, RefusalReason::NoQuorum, "no control member is known");
        };
        let from = self.claimed.as_ref().map(|(_, request)| *request);
        let command = match from {
            Some(from) => Command::TakeOver { key: key.clone(), from, claim: claim.clone() },
            None => Command::Claim { key: key.clone(), claim: claim.clone() },
        };
        let propose = Request::Control(ControlRequest::Propose(command));
        let (exchange, open) = shared.open(self.id, peer, propose);
        let since = match &self.stage {
            Stage::Claiming { since, .. } => *since,
            _ => now,
        };
        self.stage = Stage::Claiming { exchange, since, key, claim };
        vec![open]
    }

    pub(super) fn dispatch(&mut self, shared: &mut Shared, body: Body) -> Outputs {
        let Some(endpoint) = self.endpoint.clone() else { return Vec::new() };
        let start = AgentRequest::Call {
            request: self.request_id(shared),
            class: self.call.class,
            boot: endpoint.boot,
            repeatable: self.call.repeatable,
            deadline: self.call.deadline,
            body,
        };
        let (exchange, open) = shared.open(self.id, endpoint.address, Request::Agent(start));
        self.stage = Stage::Serving { exchange };
        vec![open]
    }

    pub(super) fn control_reply(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        reply: ControlReply,
    ) -> Outputs {
        let Stage::Claiming { key, claim, .. } = &self.stage else { return Vec::new() };
        let (key, claim) = (key.clone(), claim.clone());
        match reply {
            ControlReply::Applied(Applied::Claim(ClaimReply::Granted)) => {
                self.claimed = Some((key, claim.request));
                let CallKind::Service(body) = self.call.kind.clone() else { return Vec::new() };
                self.dispatch(shared, body)
            }
            ControlReply::Applied(Applied::Claim(ClaimReply::Held(record))) => {
                if record.claim.hash != claim.hash {
                    let detail = "the key was used with another request";
                    return self.refuse(shared, RefusalReason::KeyReused, detail);
                }
                match record.outcome {
                    Some(Outcome::Finished(answer)) => {
                        self.ran = Ran::Yes;
                        self.finish(Terminal::Answered(answer))
                    }
                    Some(Outcome::Unknown) => {
                        self.ran = Ran::Maybe;
                        let detail = "an earlier attempt may have run";
                        self.refuse(shared, RefusalReason::EndpointFailed, detail)
                    }
                    None => {
                        self.ran = Ran::Maybe;
                        let detail = "an earlier attempt is in progress";
                        self.refuse(shared, RefusalReason::InProgress, detail)
                    }
                }
            }
            ControlReply::NotLeader { leader } => {
                shared.proposer.miss(leader);
                self.propose_claim(shared, now, key, claim)
            }
            _ => self.refuse(shared, RefusalReason::NoQuorum, "the claim was not granted"),
        }
    }

    pub(super) fn answered(&mut self, shared: &mut Shared, answer: Answer) -> Outputs {
        self.ran = Ran::Yes;
        let mut outputs = self.record(shared, Outcome::Finished(answer.clone()));
        outputs.extend(self.finish(Terminal::Answered(answer)));
        outputs
    }

    /// Records the outcome of a claimed attempt.
    pub(super) fn record(&mut self, shared: &mut Shared, outcome: Outcome) -> Outputs {
        let Some((key, request)) = self.claimed.take() else { return Vec::new() };
        self.close_claim(shared, Command::Finish { key, request, outcome })
    }

    pub(super) fn close_claim(&mut self, shared: &mut Shared, command: Command) -> Outputs {
        let Some(peer) = shared.proposer.target() else { return Vec::new() };
        let propose = Request::Control(ControlRequest::Propose(command));
        vec![shared.open(self.id, peer, propose).1]
    }

    /// Frees the key of a call that did not run, or records that it may have run.
    pub(super) fn close_refused(&mut self, shared: &mut Shared) -> Outputs {
        if self.ran != Ran::No {
            return self.record(shared, Outcome::Unknown);
        }
        let Some((key, request)) = self.claimed.take() else { return Vec::new() };
        self.close_claim(shared, Command::Release { key, request })
    }
}
