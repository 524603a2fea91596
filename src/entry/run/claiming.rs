//! Claims a call's key, and resolves the case that another attempt holds it.

use std::time::Duration;

use super::super::claim::{claim_for, claim_key};
use super::super::{CallerEffect, Outputs, Shared};
use super::proposal::Proposal;
use super::{Owned, Run, Stage};
use crate::control::claims::{Claim, ClaimKey, ClaimRecord, ClaimReply, Outcome};
use crate::control::state::{Applied, Command};
use crate::link::message::{ControlReply, ControlRequest};
use crate::model::{ExchangeId, Ran, RefusalReason, RequestId, Timestamp};
use crate::role::Output;

/// How long a claim, or the check of its owner, may take before the call is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long another call's open claim is left to its owner before its state is queried.
const OWNER_GRACE: Duration = Duration::from_millis(1_000);

/// A claim that is not committed yet.
#[derive(Debug)]
pub(super) struct Claiming {
    proposal: Proposal,
    since: Timestamp,
    key: ClaimKey,
    claim: Claim,
    /// The attempt that the claim is taken over from, if any.
    from: Option<RequestId>,
}

impl Claiming {
    pub(super) fn next_wake(&self) -> Timestamp {
        self.proposal.next_wake().min(self.since + CLAIM_TIMEOUT)
    }

    pub(super) fn closed(&mut self, shared: &mut Shared, now: Timestamp, exchange: ExchangeId) {
        if self.proposal.is(exchange) {
            self.proposal.closed(shared, now, exchange);
        }
    }

    pub(super) fn cancel(&mut self, shared: &mut Shared) -> Outputs {
        self.proposal.cancel(shared)
    }
}

/// A request to control whether the owner of a claim is alive.
#[derive(Debug)]
pub(super) struct OwnerCheck {
    proposal: Proposal,
    record: ClaimRecord,
}

impl OwnerCheck {
    pub(super) fn next_wake(&self) -> Timestamp {
        self.proposal.next_wake().min(self.proposal.since + CLAIM_TIMEOUT)
    }

    pub(super) fn closed(&mut self, shared: &mut Shared, now: Timestamp, exchange: ExchangeId) {
        if self.proposal.is(exchange) {
            self.proposal.closed(shared, now, exchange);
        }
    }

    pub(super) fn cancel(&mut self, shared: &mut Shared) -> Outputs {
        self.proposal.cancel(shared)
    }
}

impl Run {
    /// Proposes to claim the key for the current attempt, or to take it over from attempt `from`,
    /// which will never start.
    pub(super) fn propose_claim(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        key: ClaimKey,
        from: Option<RequestId>,
    ) -> Outputs {
        let request = self.request_id(shared);
        let claim = claim_for(now, &self.call, request, self.endpoint.as_ref());
        let command = match from {
            Some(from) => Command::TakeOver { key: key.clone(), from, claim: claim.clone() },
            None => Command::Claim { key: key.clone(), claim: claim.clone() },
        };
        let propose = ControlRequest::Propose(command);
        let (proposal, outputs) = Proposal::start(shared, now, self.id, propose);
        self.stage = Stage::Claiming(Claiming { proposal, since: now, key, claim, from });
        outputs
    }

    pub(super) fn wake_claiming(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        let Stage::Claiming(claiming) = &mut self.stage else { return Vec::new() };
        if now < claiming.since + CLAIM_TIMEOUT {
            return claiming.proposal.wake(shared, now);
        }
        let detail = "control did not commit the claim in time";
        self.refuse(shared, now, RefusalReason::NoQuorum, detail)
    }

    pub(super) fn wake_owner_check(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        let Stage::OwnerCheck(check) = &mut self.stage else { return Vec::new() };
        if now < check.proposal.since + CLAIM_TIMEOUT {
            return check.proposal.wake(shared, now);
        }
        self.in_progress(shared, now)
    }

    /// Abandons an uncommitted claim, and releases the key in case the claim is committed later.
    ///
    /// The attempt of the claim is never sent.
    pub(super) fn abandon_claim(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        let mut outputs = self.reset_exchanges(shared);
        let Stage::Claiming(claiming) = std::mem::replace(&mut self.stage, Stage::Done) else {
            return outputs;
        };
        let attempts = claiming.from.into_iter().chain([claiming.claim.request]);
        let release = |request| Command::Release { key: claiming.key.clone(), request };
        outputs.extend(self.record(shared, now, attempts.map(release).collect()));
        outputs
    }

    pub(super) fn control_reply(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        exchange: ExchangeId,
        reply: ControlReply,
    ) -> Outputs {
        match &mut self.stage {
            Stage::Claiming(claiming) if claiming.proposal.is(exchange) => match reply {
                ControlReply::NotLeader { leader } | ControlReply::Interrupted { leader } => {
                    claiming.proposal.redirect(shared, now, exchange, leader);
                    Vec::new()
                }
                ControlReply::Applied(Applied::Claim(reply)) => {
                    let mut outputs = claiming.proposal.answered(shared, exchange);
                    outputs.extend(self.claim_reply(shared, now, reply));
                    outputs
                }
                _ => {
                    let detail = "control did not take the claim";
                    self.refuse(shared, now, RefusalReason::NoQuorum, detail)
                }
            },
            Stage::OwnerCheck(check) if check.proposal.is(exchange) => match reply {
                ControlReply::NotLeader { leader } | ControlReply::Interrupted { leader } => {
                    check.proposal.redirect(shared, now, exchange, leader);
                    Vec::new()
                }
                ControlReply::Owner { alive: false } => {
                    let record = check.record.clone();
                    self.take_over(shared, now, &record)
                }
                _ => self.in_progress(shared, now),
            },
            Stage::Recording(_) => self.recorded(shared, now, exchange, reply),
            _ => Vec::new(),
        }
    }

    fn claim_reply(&mut self, shared: &mut Shared, now: Timestamp, reply: ClaimReply) -> Outputs {
        let Stage::Claiming(claiming) = std::mem::replace(&mut self.stage, Stage::Done) else {
            return Vec::new();
        };
        match reply {
            ClaimReply::Granted => {
                self.attempts.key_granted();
                self.claim = Some(Owned { key: claiming.key, request: claiming.claim.request });
                self.last_activity = now;
                match claiming.claim.target {
                    Some(_) => self.dispatch(shared, now),
                    None => self.reserve(shared, now),
                }
            }
            ClaimReply::Held(record) if record.claim.hash != claiming.claim.hash => {
                let detail = "the key was used with another request";
                self.refuse(shared, now, RefusalReason::KeyReused, detail)
            }
            ClaimReply::Held(record) => self.claim_held(shared, now, record),
            // The record no longer exists: it was released or has expired.
            ClaimReply::Lost | ClaimReply::Closed => {
                self.propose_claim(shared, now, claiming.key, None)
            }
        }
    }

    fn claim_held(&mut self, shared: &mut Shared, now: Timestamp, record: ClaimRecord) -> Outputs {
        match record.outcome {
            Some(outcome) => self.repeat_outcome(shared, now, outcome),
            None => self.resolve_open_claim(shared, now, record),
        }
    }

    /// Delivers the recorded outcome of an earlier attempt.
    fn repeat_outcome(&mut self, shared: &mut Shared, now: Timestamp, outcome: Outcome) -> Outputs {
        self.attempts.merge_other(if outcome == Outcome::Unknown { Ran::Maybe } else { Ran::Yes });
        match outcome {
            Outcome::Finished(answer) => {
                self.responder.take().map(|r| r.answered(answer)).into_iter().collect()
            }
            Outcome::Generated { text: Some(text), tokens, finish } => {
                let Some(responder) = self.responder.take() else { return Vec::new() };
                let call = self.id;
                vec![
                    Output::Effect(CallerEffect::Begin { call }),
                    Output::Effect(CallerEffect::Tokens { call, tokens: vec![text] }),
                    responder.generated(tokens, finish),
                ]
            }
            Outcome::FinishedLarge { .. } | Outcome::Generated { text: None, .. } => {
                let detail = "the request was answered; the answer was too large to keep";
                self.refuse(shared, now, RefusalReason::Answered, detail)
            }
            Outcome::Unknown => {
                let detail = "an earlier attempt may have run";
                self.refuse(shared, now, RefusalReason::EndpointFailed, detail)
            }
        }
    }

    /// Handles the claim of another attempt that has not ended.
    ///
    /// While the claim is recent, the call is refused as in progress. Afterwards the outcome of an
    /// attempt with a target is queried at the target's agent, and the claim of an attempt without
    /// one is taken over once it has expired or its owner is dead.
    fn resolve_open_claim(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        record: ClaimRecord,
    ) -> Outputs {
        let claim = &record.claim;
        match claim.target.clone() {
            _ if claim.made <= now && now - claim.made < OWNER_GRACE => {
                self.in_progress(shared, now)
            }
            Some(target) => {
                let request = claim.request;
                self.settle(shared, now, request, target, Some(record))
            }
            None if now >= claim.until => self.take_over(shared, now, &record),
            None => {
                let ask = ControlRequest::Owner(claim.request.owner);
                let (proposal, outputs) = Proposal::start(shared, now, self.id, ask);
                self.stage = Stage::OwnerCheck(OwnerCheck { proposal, record });
                outputs
            }
        }
    }

    pub(super) fn in_progress(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        self.attempts.merge_other(Ran::Maybe);
        let detail = "an earlier attempt is in progress";
        self.refuse(shared, now, RefusalReason::InProgress, detail)
    }

    /// Takes over the key from an attempt that will never start or whose owner is dead.
    pub(super) fn take_over(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        record: &ClaimRecord,
    ) -> Outputs {
        let Some(key) = claim_key(&self.call) else { return Vec::new() };
        let from = Some(record.claim.request);
        if record.claim.target.is_none() {
            return self.propose_claim(shared, now, key, from);
        }
        self.claim_service(shared, now, from)
    }
}
