//! Calls that hold what has crashed endpoints: they are refused at once, before they cost anything.

use super::answer;
use super::assign::ANSWER_TIMEOUT;
use super::blocked::ProbeRequest;
use super::call::{Call, Stage};
use super::causes::{causes, part_causes};
use super::reason::EndReason;
use super::{CallerId, Gateway};
use crate::control::quarantine::{Cause, Crash, Evidence, SURVIVAL_TIME};
use crate::link::message::ControlRequest;
use crate::model::{ExchangeId, Timestamp};
use crate::report::observation::{Observation, WasteCause};
use crate::role::Output;

/// The maximum size of a content that is known to go on before an endpoint has crashed under it.
const MAX_KNOWN_BYTES: usize = 4_096;

impl Gateway {
    /// Applies control's list of causes in quarantine, and ends the calls that it concerns.
    pub(super) fn apply_quarantine(&mut self, now: Timestamp) {
        let Some(update) = self.follower.new_quarantine() else { return };
        let (version, causes) = (update.version, update.stages.len());
        log::info!("step=quarantine version={version} causes={causes}");
        self.blocked.list(update);
        self.end_blocked(now);
    }

    /// Ends the calls that hold what is blocked: those that have not begun to run, and those whose
    /// run has sent nothing yet. A run with a suspect goes on; it shows whether that is faulty.
    fn end_blocked(&mut self, now: Timestamp) {
        let begun = |call: &Call| match &call.stage {
            Stage::Run { attempt, .. } => attempt.first_event.is_some(),
            _ => false,
        };
        let waiting = self.calls.iter().filter(|(_, call)| !begun(call) && !call.probe);
        let callers: Vec<CallerId> = waiting.map(|(caller, _)| *caller).collect();
        for caller in callers {
            let Some(cause) = self.blocked_cause(now, caller) else { continue };
            let Some(call) = self.calls.get_mut(&caller) else { continue };
            let runs = matches!(call.stage, Stage::Run { .. });
            if runs && self.blocked.is_suspected(cause) {
                continue;
            }
            call.may_have_run |= runs;
            self.stop_work(now, caller, WasteCause::Quarantined);
            self.end_as_blocked(now, caller, cause);
        }
    }

    /// Returns what a call holds that is blocked.
    pub(super) fn blocked_cause(&self, now: Timestamp, caller: CallerId) -> Option<Cause> {
        if self.blocked.is_empty() {
            return None;
        }
        let call = self.calls.get(&caller)?;
        let alone = !self.follower.hears_majority(now);
        let held = if self.blocked.has_contents() { causes(call) } else { part_causes(call) };
        self.blocked.find(now, &held, alone)
    }

    /// Refuses a new call that holds what is blocked, or lets it wait for the leader's answer whether
    /// it may run as a probe; returns `false` if it may be admitted now.
    pub(super) fn hold_blocked(&mut self, now: Timestamp, caller: CallerId) -> bool {
        let Some(cause) = self.blocked_cause(now, caller) else { return false };
        if self.blocked.use_permit(now, cause) {
            self.mark_probe(caller, cause);
            return false;
        }
        if self.blocked.wants_probe(now, cause)
            && let Some(leader) = self.follower.leader()
        {
            let exchange = self.send_to_control(leader, ControlRequest::RequestProbe(cause));
            self.blocked.probe_requested(exchange, ProbeRequest { cause, caller });
            if let Some(call) = self.calls.get_mut(&caller) {
                call.stage = Stage::Probe;
                call.reply_deadline = now + ANSWER_TIMEOUT;
            }
            self.schedule(caller);
            return true;
        }
        self.end_as_blocked(now, caller, cause);
        true
    }

    fn mark_probe(&mut self, caller: CallerId, cause: Cause) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        call.probe = true;
        log::info!("step=probe id={} cause={cause} outcome=sent", call.info.id);
    }

    /// Refuses a call that the leader does not allow as a probe, or not in time.
    pub(super) fn probe_refused(&mut self, now: Timestamp, caller: CallerId) {
        match self.blocked_cause(now, caller) {
            Some(cause) => self.end_as_blocked(now, caller, cause),
            // It was cleared meanwhile.
            None => self.admit_held(now, caller),
        }
    }

    fn admit_held(&mut self, now: Timestamp, caller: CallerId) {
        if let Some(call) = self.calls.get_mut(&caller) {
            call.stage = Stage::Waiting;
        }
        self.admit_counted(now, caller);
    }

    fn end_as_blocked(&mut self, now: Timestamp, caller: CallerId, cause: Cause) {
        let Some(call) = self.calls.get(&caller) else { return };
        let service = call.service.clone();
        log::info!("step=blocked id={} cause={cause}", call.info.id);
        self.outputs.push(Output::Observe(Observation::Quarantined { service }));
        let refusal = match self.blocked.is_suspected(cause) {
            true => answer::suspected(),
            false => answer::quarantined(),
        };
        self.conclude(now, caller, refusal, EndReason::Quarantined);
    }

    /// Handles the leader's answer to a request for a probe; returns whether the exchange was one.
    pub(super) fn probe_answered(
        &mut self,
        now: Timestamp,
        exchange: ExchangeId,
        granted: bool,
    ) -> bool {
        let Some(request) = self.blocked.take_request(exchange) else { return false };
        let ProbeRequest { cause, caller } = request;
        let waits = self.calls.get(&caller).is_some_and(|c| matches!(c.stage, Stage::Probe));
        match (waits, granted) {
            (true, true) => {
                self.mark_probe(caller, cause);
                self.admit_held(now, caller);
            }
            (true, false) => self.probe_refused(now, caller),
            (false, true) => self.blocked.permit(now, cause),
            (false, false) => {}
        }
        true
    }

    /// Records a crash of an endpoint, tells control, and judges by it while control is out of reach.
    pub(super) fn crash_seen(&mut self, now: Timestamp, crash: Crash) {
        let crash = self.blocked.crashed(now, crash);
        self.outbox.push(now, Evidence::Crashed(crash));
        self.send_evidence(now);
    }

    /// Judges by what this gateway has seen itself while control is out of reach.
    pub(super) fn judge_alone(&mut self, now: Timestamp) {
        let alone = !self.follower.hears_majority(now);
        if alone && self.blocked.judge(now) {
            self.end_blocked(now);
        }
    }

    /// Records that a call's run goes on, once for each attempt: its causes don't crash endpoints.
    pub(super) fn note_survival(&mut self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let Some(attempt) = call.attempt() else { return };
        let since = attempt.first_event.filter(|_| !attempt.survived);
        if since.is_none_or(|at| now - at < SURVIVAL_TIME) {
            return;
        }
        attempt.survived = true;
        let Some(call) = self.calls.get(&caller) else { return };
        let causes = self.survivors(call);
        self.report_survival(now, &causes);
    }

    /// Returns the causes of a call whose run has gone on; a large content only where that matters,
    /// since to read all of it takes time.
    pub(super) fn survivors(&self, call: &Call) -> Vec<Cause> {
        let is_small = call.request.body.len() <= MAX_KNOWN_BYTES;
        if is_small || self.blocked.has_suspects() { causes(call) } else { part_causes(call) }
    }

    /// Records that calls with these causes don't crash endpoints.
    pub(super) fn report_survival(&mut self, now: Timestamp, causes: &[Cause]) {
        let reported = self.blocked.survived(now, causes);
        if !reported.is_empty() {
            self.outbox.push(now, Evidence::Survived(reported));
            self.send_evidence(now);
        }
    }

    /// Sends evidence to the control members that lack some.
    pub(super) fn send_evidence(&mut self, now: Timestamp) {
        for exchange in self.outbox.take_overdue(now) {
            self.outputs.push(Output::Reset { exchange });
        }
        let exchanges = &mut self.exchanges;
        let mut next = || {
            *exchanges += 1;
            ExchangeId(*exchanges)
        };
        let due = self.outbox.take_due(now, self.follower.members(), &mut next);
        for sending in due {
            let request = ControlRequest::ReportEvidence(sending.evidence);
            self.open_to_control(sending.exchange, sending.member, request);
        }
    }
}
