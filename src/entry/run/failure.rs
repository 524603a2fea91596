//! Handles failed attempts, disconnected callers and refusals.

use super::super::{Outputs, Shared};
use super::{RETRY_AFTER, Run, Stage};
use crate::control::config::Setting;
use crate::model::{EndpointState, ExchangeId, Ran, RefusalReason, Timestamp};
use crate::role::{LinkFailure, Output};

impl Run {
    /// Returns whether the attempt may run at an endpoint other than that of the given exchange.
    pub(super) fn runs_elsewhere(&self, exchange: ExchangeId) -> Ran {
        match &self.stage {
            Stage::Prefilling { prefill, .. } if *prefill != exchange => Ran::Maybe,
            _ => Ran::No,
        }
    }

    /// Returns the endpoint of one of the attempt's exchanges.
    pub(super) fn endpoint_of(&self, exchange: ExchangeId) -> Option<&EndpointState> {
        match &self.stage {
            Stage::Prefilling { prefill, .. } | Stage::Exporting { prefill }
                if *prefill == exchange =>
            {
                self.source.as_ref()
            }
            _ => self.endpoint.as_ref(),
        }
    }

    /// Adds the endpoint of an exchange to those that this call has tried.
    pub(super) fn exclude_endpoint(&mut self, exchange: ExchangeId) {
        let name = self.endpoint_of(exchange).map(|e| e.name.clone());
        self.tried.extend(name);
    }

    /// Handles the end of one of the run's exchanges.
    pub(crate) fn closed(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        exchange: ExchangeId,
        failure: Option<LinkFailure>,
    ) -> Outputs {
        let ran = if failure == Some(LinkFailure::NotSent) { Ran::No } else { Ran::Maybe };
        match &mut self.stage {
            Stage::Claiming(claiming) => claiming.closed(shared, now, exchange),
            Stage::OwnerCheck(check) => check.closed(shared, now, exchange),
            Stage::Recording(recording) => recording.closed(shared, now, exchange),
            Stage::Settling(settling) => settling.closed(now, exchange),
            Stage::Serving { exchange: open } if *open == exchange => {
                return self.lost_service(shared, now, ran);
            }
            Stage::Reserving { decode } if *decode == exchange => {
                return self.lost(shared, now, exchange, Ran::No);
            }
            Stage::Decoding { decode } if *decode == exchange => {
                return self.lost(shared, now, exchange, Ran::Maybe);
            }
            Stage::Exporting { prefill } if *prefill == exchange => {
                return self.lost(shared, now, exchange, Ran::Maybe);
            }
            Stage::Prefilling { decode, prefill } if [*decode, *prefill].contains(&exchange) => {
                return self.lost(shared, now, exchange, Ran::Maybe);
            }
            _ => {}
        }
        Vec::new()
    }

    pub(super) fn lost(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        exchange: ExchangeId,
        ran: Ran,
    ) -> Outputs {
        self.exclude_endpoint(exchange);
        self.attempt_failed(shared, now, ran, RefusalReason::EndpointFailed, "the agent was lost")
    }

    /// Handles the caller's disconnection.
    pub(crate) fn caller_disconnected(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        if self.responder.take().is_none() {
            return Vec::new();
        }
        log::info!("step=caller-gone call={}", self.id);
        match &self.stage {
            Stage::Recording(_) | Stage::Done => Vec::new(),
            Stage::Claiming(_) => self.abandon_claim(shared, now),
            // A claimed attempt continues; its outcome is recorded for a later call with the key.
            Stage::Serving { .. } | Stage::Settling(_) if self.claim.is_some() => Vec::new(),
            _ => self.close(shared, now),
        }
    }

    /// Handles the silence of the awaited exchange, and dials the endpoint again since the
    /// connection may be broken.
    pub(super) fn silent(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        let Some(exchange) = self.awaited() else { return Vec::new() };
        let peer = self.endpoint_of(exchange).map(|e| e.address);
        let mut outputs: Outputs = peer.map(|peer| Output::Redial { peer }).into_iter().collect();
        let ran = if matches!(self.stage, Stage::Reserving { .. }) { Ran::No } else { Ran::Maybe };
        outputs.extend(match self.stage {
            Stage::Serving { .. } => self.lost_service(shared, now, ran),
            _ => self.lost(shared, now, exchange, ran),
        });
        outputs
    }

    /// Ends the attempt, then schedules another one if the call and the budget allow it, or refuses
    /// the call.
    pub(super) fn attempt_failed(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        ran: Ran,
        reason: RefusalReason,
        detail: &str,
    ) -> Outputs {
        self.attempts.ended(ran);
        let mut outputs = self.reset_exchanges(shared);
        let allowed = self.call.repeatable || self.attempts.own_ran() == Ran::No;
        let attempt = self.attempts.last();
        if self.lacks_version(shared, now) {
            let detail = "no endpoint of the software version that began the answer is left";
            outputs.extend(self.refuse(shared, now, RefusalReason::NoEndpoint, detail));
            return outputs;
        }
        let allowed = self.responder.is_some() && allowed && attempt < self.max_attempts(shared);
        // A refusal by an endpoint costs nothing, so only failures use the budget.
        let free = reason != RefusalReason::EndpointFailed;
        if allowed && (free || !shared.policy.budget) {
            log::info!("step=retry call={} detail={detail:?}", self.id);
            outputs.extend(self.next_attempt(shared, now));
        } else if allowed && shared.retries.spend(self.call.class) {
            log::info!("step=retry call={} detail={detail:?}", self.id);
            let until = now + shared.retries.backoff(attempt);
            self.stage = Stage::Waiting { until };
        } else {
            outputs.extend(self.refuse(shared, now, reason, detail));
        }
        outputs
    }

    pub(super) fn max_attempts(&self, shared: &Shared) -> u32 {
        let setting = Setting::Attempts;
        let call = &self.call;
        shared.follower.config().value(setting, &call.tenant, &call.pool, call.class) as u32
    }

    pub(super) fn reset_exchanges(&mut self, shared: &mut Shared) -> Outputs {
        let open = match &mut self.stage {
            Stage::Claiming(claiming) => return claiming.cancel(shared),
            Stage::OwnerCheck(check) => return check.cancel(shared),
            Stage::Settling(settling) => settling.take_exchange().into_iter().collect(),
            Stage::Serving { exchange } => vec![*exchange],
            Stage::Reserving { decode } | Stage::Decoding { decode } => vec![*decode],
            Stage::Prefilling { decode, prefill } => vec![*decode, *prefill],
            Stage::Exporting { prefill } => vec![*prefill],
            Stage::Waiting { .. } | Stage::Recording(_) | Stage::Done => Vec::new(),
        };
        open.into_iter().map(|e| shared.reset(e)).collect()
    }

    /// Refuses the call at once, then closes its exchanges and claim.
    pub(super) fn refuse(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        reason: RefusalReason,
        detail: &str,
    ) -> Outputs {
        if self.awaits_other_outcome() {
            self.attempts.merge_other(Ran::Maybe);
        }
        let mut outputs = self.send_refusal(reason, detail);
        outputs.extend(if matches!(self.stage, Stage::Claiming(_)) {
            self.abandon_claim(shared, now)
        } else {
            self.close(shared, now)
        });
        outputs
    }

    /// Answers the caller, because the process is about to end, and closes the exchanges and the
    /// claim.
    ///
    /// The commands of a run that records its outcome stay on their way.
    pub(crate) fn shut_down(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        let reason = RefusalReason::Draining;
        if matches!(self.stage, Stage::Recording(_)) {
            return self
                .send_refusal(reason, "the entry shut down before the answer was committed");
        }
        self.refuse(shared, now, reason, "the entry shut down before the call had ended")
    }

    /// Returns what the run waits for, as it is logged.
    pub(crate) fn waits_for(&self) -> &'static str {
        match &self.stage {
            Stage::Claiming(_) => "claim",
            Stage::OwnerCheck(_) => "owner",
            Stage::Settling(_) => "settle",
            Stage::Serving { .. } | Stage::Decoding { .. } => "run",
            Stage::Reserving { .. } => "reservation",
            Stage::Waiting { .. } => "retry",
            Stage::Exporting { .. } | Stage::Prefilling { .. } => "prefill",
            Stage::Recording(_) => "commit",
            Stage::Done => "-",
        }
    }

    /// Returns whether the outcome of another call's attempt with this key is not known yet.
    pub(super) fn awaits_other_outcome(&self) -> bool {
        match &self.stage {
            Stage::OwnerCheck(_) => true,
            Stage::Settling(settling) => settling.is_about_other(),
            _ => false,
        }
    }

    pub(super) fn send_refusal(&mut self, reason: RefusalReason, detail: &str) -> Outputs {
        let Some(responder) = self.responder.take() else { return Vec::new() };
        vec![responder.refused(&self.attempts, reason, RETRY_AFTER, detail)]
    }
}
