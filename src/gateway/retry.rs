//! Retries: how a call goes on after a failed attempt, and what that costs.
//!
//! Whether another attempt can follow is decided before an attempt is given up for its silence: the
//! endpoint may be sound and go on, so a silent attempt is worth more than none.

use std::time::Duration;

use super::answer;
use super::call::{Call, FailedAttempt, Handoff, Stage};
use super::events::EventSplitter;
use super::fleet::EndpointKey;
use super::reason::EndReason;
use super::vacancy::Vacancy;
use super::{CallerId, Gateway};
use crate::model::Timestamp;
use crate::report::observation::{ChargeOutcome, Observation};
use crate::role::Output;

/// The minimum time before its deadline at which a call is still retried.
const MIN_RETRY_TIME: Duration = Duration::from_millis(30);
/// The percentage of its retention period within which an export is still handed to another decode
/// endpoint.
const HANDOFF_PERCENT: u32 = 60;

/// How a call goes on after a failed attempt.
#[derive(Debug)]
enum Retry {
    /// Another endpoint of its plain service runs it.
    Plain,
    /// Another decode endpoint runs it from the export of its prefill.
    HandOff(Handoff),
    /// The same endpoint resumes it; the prompt is in its KV cache.
    Resume,
    /// It gets a new prefill and a decode endpoint.
    Prefill,
    /// A decode endpoint runs it completely.
    Whole,
}

impl Retry {
    /// Returns how many requests to endpoints it needs credit for. The run after a call's first
    /// answered prefill is credited with the answer.
    fn requests(&self, exported: bool) -> u32 {
        match self {
            Retry::Prefill if exported => 2,
            Retry::Plain | Retry::HandOff(_) | Retry::Resume | Retry::Prefill | Retry::Whole => 1,
        }
    }
}

impl Gateway {
    /// Retries a call after a failed attempt, if its route, its time and the retry budget allow
    /// that. Returns why the call ends if it is not retried.
    pub(super) fn try_retry(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        failed: &FailedAttempt,
        handoff: Option<Handoff>,
    ) -> Result<(), EndReason> {
        let sends = self.calls.get(&caller).map_or(0, |c| c.sends);
        let planned = self.plan_retry(now, caller, failed, handoff, sends)?;
        let retry = self.charge_retry(now, caller, planned).ok_or(EndReason::BudgetSpent)?;
        if let Some(call) = self.calls.get_mut(&caller) {
            call.splitter = EventSplitter::default();
            call.memory = None;
        }
        if !self.start_retry(now, caller, failed, retry) {
            return Err(EndReason::NoCapacity);
        }
        Ok(())
    }

    /// Retries a call elsewhere whose endpoint does not resume its interrupted run, or ends it.
    pub(super) fn resumption_failed(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        endpoint: EndpointKey,
    ) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        call.broke_at = None;
        call.tried.push(endpoint);
        let failed = FailedAttempt { endpoint, in_prefill: false, not_run: true, broke_off: false };
        if let Err(why) = self.try_retry(now, caller, &failed, None) {
            self.conclude(now, caller, answer::failed(), why);
        }
    }

    /// Returns whether another attempt could follow the present one of a call now.
    pub(super) fn can_replace(&mut self, now: Timestamp, caller: CallerId) -> bool {
        let Some(call) = self.calls.get(&caller) else { return false };
        let (endpoint, in_prefill) = match &call.stage {
            Stage::Prefill { attempt, .. } => (attempt.endpoint, true),
            Stage::Run { attempt, .. } => (attempt.endpoint, false),
            Stage::Waiting
            | Stage::Probe
            | Stage::Credit
            | Stage::Origin(_)
            | Stage::Room { .. }
            | Stage::Hold { .. }
            | Stage::Assign { .. } => {
                return false;
            }
        };
        let sends = call.sends + u32::from(in_prefill);
        let failed = FailedAttempt { endpoint, in_prefill, not_run: false, broke_off: false };
        let Ok(planned) = self.plan_retry(now, caller, &failed, None, sends) else { return false };
        self.has_place(now, caller, endpoint) && self.is_affordable(now, caller, &planned)
    }

    /// Returns whether an endpoint other than the present one has capacity for a call. During a
    /// prefill that is also the one at which the call has reserved its place.
    fn has_place(&mut self, now: Timestamp, caller: CallerId, present: EndpointKey) -> bool {
        let Some(call) = self.calls.get_mut(&caller) else { return false };
        if matches!(call.vacancy, Vacancy::Reserving { .. } | Vacancy::Reserved { .. }) {
            return true;
        }
        if let Stage::Prefill { decode, .. } = &call.stage
            && self.fleet.get(decode.endpoint).is_some_and(|e| e.is_open(now))
        {
            return true;
        }
        call.tried.push(present);
        let found = match self.is_engine_call(caller) {
            true => self.pick_decode(now, caller, None),
            false => self.pick_other(now, caller),
        };
        if let Some(call) = self.calls.get_mut(&caller) {
            call.tried.pop();
        }
        found.is_some()
    }

    /// Returns whether the retry budget covers a retry, or a complete run in its place.
    fn is_affordable(&mut self, now: Timestamp, caller: CallerId, retry: &Retry) -> bool {
        let Some(call) = self.calls.get(&caller) else { return false };
        let cheapest = retry.requests(call.exported).min(Retry::Whole.requests(call.exported));
        let missing = call.credit.missing(cheapest);
        let gateways = self.follower.gateways(now);
        let Some(budget) = self.budgets.get(&call.service) else { return false };
        missing == 0 || budget.balance(now, &self.settings.budget, gateways).covers(missing)
    }

    /// Returns how a call of so many counted attempts goes on, or why it must not.
    fn plan_retry(
        &self,
        now: Timestamp,
        caller: CallerId,
        failed: &FailedAttempt,
        handoff: Option<Handoff>,
        sends: u32,
    ) -> Result<Retry, EndReason> {
        let call = self.calls.get(&caller).ok_or(EndReason::NotRepeatable)?;
        if self.blocked_cause(now, caller).is_some() {
            return Err(EndReason::Quarantined);
        }
        let route = call.route().ok_or(EndReason::NotRepeatable)?;
        if call.may_have_run && !route.repeat.is_repeatable() {
            return Err(EndReason::NotRepeatable);
        }
        if sends >= route.attempts {
            return Err(EndReason::AttemptsSpent);
        }
        if call.remaining(now) < MIN_RETRY_TIME || !self.may_end_in_time(now, call) {
            return Err(EndReason::NoTime);
        }
        if let Some((_, why)) = self.closed_refusal(now, caller) {
            return Err(why);
        }
        let Some(shape) = self.shape(caller).filter(|_| self.is_engine_call(caller)) else {
            return Ok(Retry::Plain);
        };
        let fresh = shape.retention * HANDOFF_PERCENT / 100;
        let alive = handoff.filter(|h| failed.not_run && now - h.made < fresh);
        if let Some(handoff) = alive {
            return Ok(Retry::HandOff(handoff));
        }
        let accepts = self.fleet.get(failed.endpoint).is_some_and(|e| e.takes_work(now));
        if failed.broke_off && accepts {
            return Ok(Retry::Resume);
        }
        let has_attempts = failed.in_prefill || sends + 2 <= route.attempts;
        Ok(if has_attempts { Retry::Prefill } else { Retry::Whole })
    }

    /// Charges a retry to the budget. Returns what the budget covers: the retry, or a complete run
    /// in place of one with a new prefill, or `None`.
    fn charge_retry(&mut self, now: Timestamp, caller: CallerId, retry: Retry) -> Option<Retry> {
        let exported = self.calls.get(&caller)?.exported;
        if self.charge_requests(now, caller, retry.requests(exported)) {
            return Some(retry);
        }
        let cheaper = matches!(retry, Retry::Prefill) && exported;
        let whole = cheaper && self.charge_requests(now, caller, Retry::Whole.requests(exported));
        whole.then_some(Retry::Whole)
    }

    /// Charges the requests that a call has no credit for, and reports that with the numbers that
    /// decided. Returns `false` if the budget does not cover them.
    fn charge_requests(&mut self, now: Timestamp, caller: CallerId, requests: u32) -> bool {
        let gateways = self.follower.gateways(now);
        let terms = self.settings.budget;
        let up = self.uptime(now);
        let Some(call) = self.calls.get_mut(&caller) else { return false };
        let service = call.service.clone();
        let missing = call.credit.missing(requests);
        let cost = if missing == 0 { requests } else { missing };
        // The budget exists since the arrival of the call.
        let Some(budget) = self.budgets.get_mut(&service) else { return false };
        let before = budget.balance(now, &terms, gateways);
        let outcome = if missing == 0 {
            ChargeOutcome::Free
        } else if budget.reserve(now, &terms, gateways, cost) {
            call.credit.charge(cost);
            ChargeOutcome::Charged
        } else {
            ChargeOutcome::Spent
        };
        log::info!(
            "step=budget id={} service={service} outcome={} cost={cost} calls={} retries={} \
             allowed={:.1} gateways={} up_ms={}",
            call.info.id,
            outcome.as_str(),
            before.calls,
            before.retries,
            before.allowed,
            before.gateways,
            up.as_millis(),
        );
        self.outputs.push(Output::Observe(Observation::Charge { service, outcome, cost }));
        outcome != ChargeOutcome::Spent
    }

    /// Starts a retry that is charged; returns `false` if there is no endpoint for it.
    fn start_retry(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        failed: &FailedAttempt,
        retry: Retry,
    ) -> bool {
        match retry {
            Retry::Plain => self.retry_plain(now, caller),
            Retry::HandOff(handoff) => {
                if self.hand_off(now, caller, handoff.clone()) {
                    return true;
                }
                let waits = self.wait_for_run(now, caller);
                if waits {
                    self.free_export(now, handoff.source, &handoff.export.handle);
                }
                waits
            }
            Retry::Resume => self.resume_at(now, caller, failed.endpoint),
            Retry::Prefill => {
                let call = self.calls.get(&caller);
                // Other versions don't count; endpoints of its own one may all have left.
                let gone = call
                    .is_some_and(|c| c.software.is_some() && !self.fleet.has_decode(c.choice()));
                if !gone {
                    self.start_or_requeue(now, caller);
                }
                !gone
            }
            Retry::Whole => self.wait_for_run(now, caller),
        }
    }

    /// Starts or queues a call that runs at its decode endpoint without a prefill elsewhere; returns
    /// `false` if no decode endpoint is left for it.
    pub(super) fn wait_for_run(&mut self, now: Timestamp, caller: CallerId) -> bool {
        let Some(call) = self.calls.get_mut(&caller) else { return false };
        if !self.fleet.has_decode(call.choice()) {
            return false;
        }
        call.skips_prefill = true;
        self.start_or_requeue(now, caller);
        true
    }
}

/// Returns whether an attempt of a call has failed, so that it waits for another one.
pub(super) fn is_retried(call: &Call) -> bool {
    call.broke_at.is_some() || !call.tried.is_empty()
}
