//! Outcomes of attempts: failures, retries, and the final refusal of a call.

use super::answer;
use super::call::{Attempt, CompleteAnswer, FailedAttempt, Stage};
use super::fleet::{EndpointKey, Job};
use super::silence::{AfterSilence, Silence};
use super::waste::Spent;
use super::{CallerId, Gateway, PeerId};
use crate::control::dispatch::rooms::RunEnd;
use crate::entry::health::Verdict;
use crate::h1::HttpEffect;
use crate::model::Timestamp;
use crate::report::observation::WasteCause;

/// Why an attempt has failed.
#[derive(Debug)]
pub enum Failure {
    /// No byte of it reached the endpoint.
    NotStarted,
    /// The endpoint promises that it has not run the call.
    Refused {
        /// Whether the answer was 421: at its address is another instance, or one in another stage,
        /// than the intended one.
        misdirected: bool,
    },
    /// The endpoint may have run it, but sent no usable answer.
    Broken,
    /// The endpoint did not answer in time and may still run it.
    Silent,
    /// The endpoint answered with a server error.
    Answered(CompleteAnswer),
}

impl Failure {
    fn name(&self) -> &'static str {
        match self {
            Failure::NotStarted => "not-started",
            Failure::Refused { misdirected: true } => "misdirected",
            Failure::Refused { misdirected: false } => "refused",
            Failure::Broken => "broken",
            Failure::Silent => "silent",
            Failure::Answered(_) => "failed",
        }
    }

    fn verdict(&self) -> Option<Verdict> {
        match self {
            Failure::Refused { .. } => None,
            Failure::NotStarted | Failure::Silent => Some(Verdict::Silent),
            Failure::Broken | Failure::Answered(_) => Some(Verdict::Failed),
        }
    }
}

impl Gateway {
    /// Stops all work for a call that gets its final answer now; returns whether it may have run.
    pub(super) fn stop_call(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        cause: WasteCause,
    ) -> bool {
        let Some(call) = self.calls.get_mut(&caller) else { return false };
        call.may_have_run |= matches!(&call.stage, Stage::Run { .. });
        let ran = call.may_have_run;
        self.stop_work(now, caller, cause);
        ran
    }

    /// Closes a connection to an endpoint.
    pub(super) fn hang_up(&mut self, peer: PeerId) {
        if self.fleet.close(peer).is_some() {
            self.effect(HttpEffect::HangUp { peer });
        }
    }

    /// Stops all work for a call and releases its capacity, connections and reservations. What its
    /// engine has processed is counted as wasted for the given cause.
    pub(super) fn stop_work(&mut self, now: Timestamp, caller: CallerId, cause: WasteCause) {
        self.report_prefill_end(caller);
        self.run_given_up(now, caller);
        let kept = self.keep_prefill(now, caller);
        self.waste_stopped(caller, kept, cause);
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let service = call.service.clone();
        match std::mem::replace(&mut call.stage, Stage::Waiting) {
            Stage::Waiting => {
                if let Some(queue) = self.queues.get_mut(&service) {
                    queue.remove(caller);
                }
            }
            Stage::Hold { peer, decode } => {
                self.give_up_hold(now, caller, peer, &decode);
                self.release(now, decode.endpoint, decode.usage);
            }
            // What the leader grants after that is kept for the next call.
            Stage::Probe => {}
            Stage::Credit => self.forget_wait(caller),
            Stage::Origin(request) => self.abandon_requests(&request.open),
            Stage::Room { exchange } => self.abandon_request(exchange),
            Stage::Assign { exchange, decode } => {
                self.abandon_request(exchange);
                self.release(now, decode.endpoint, decode.usage);
            }
            Stage::Prefill { attempt, decode } => {
                self.release(now, decode.endpoint, decode.usage);
                self.release_attempt(now, &attempt);
                if !kept {
                    self.hang_up(attempt.peer);
                }
            }
            Stage::Run { attempt, handoff } => {
                self.release_attempt(now, &attempt);
                self.hang_up(attempt.peer);
                if let Some(unused) = handoff.filter(|_| attempt.head.is_none()) {
                    self.free_export(now, unused.source, &unused.export.handle);
                }
            }
        }
        self.release_hold(now, caller);
    }

    pub(super) fn release_attempt(&mut self, now: Timestamp, attempt: &Attempt) {
        self.release(now, attempt.endpoint, attempt.usage);
    }

    pub(super) fn release(
        &mut self,
        now: Timestamp,
        endpoint: EndpointKey,
        usage: super::fleet::Usage,
    ) {
        if let Some(endpoint) = self.fleet.get_mut(endpoint) {
            endpoint.remove_usage(now, usage);
        }
        self.capacity_freed = true;
    }

    pub(super) fn caller_gone(&mut self, now: Timestamp, caller: CallerId) {
        if self.early_gone(caller) {
            return;
        }
        self.stop_work(now, caller, WasteCause::CallerGone);
        let Some(call) = self.remove(now, caller) else { return };
        if !call.sent {
            self.give_back_credit(now, &call);
        }
        log::info!(
            "step=end id={} route={} outcome=caller-gone ms={} events={}{}",
            call.info.id,
            call.route().map_or("", |r| &r.name),
            (now - call.arrived).as_millis(),
            call.delivered.events,
            self.stopping_text(now),
        );
    }

    /// Handles the loss of a connection to an endpoint; `sent` is whether the request may have
    /// reached it.
    pub(super) fn lost(&mut self, now: Timestamp, peer: PeerId, sent: bool, error: &str) {
        let start = self.fleet.start_at(peer);
        let Some(conn) = self.fleet.close(peer) else { return };
        if let Some(start) = start.as_ref().filter(|_| !matches!(conn.job, Job::Call(_))) {
            self.crashes.lost_other(now, start);
        }
        match conn.job {
            Job::Idle => {}
            Job::Report | Job::Free => self.job_failed(now, conn.endpoint, conn.connected),
            Job::Late => self.late_lost(now, peer),
            Job::Hold(caller) => {
                if !sent {
                    self.hold_unreached(caller, conn.endpoint);
                }
                self.hold_lost(now, caller, conn.connected);
                self.schedule(caller);
            }
            Job::Call(caller) => {
                log::debug!("step=lost peer={} sent={sent} error=\"{error}\"", peer.0);
                if let Some(start) = start.filter(|_| sent) {
                    self.run_broke(now, caller, start);
                }
                let failure = if sent { Failure::Broken } else { Failure::NotStarted };
                self.attempt_failed(now, caller, failure);
                self.schedule(caller);
            }
        }
    }

    /// Drops the reservation that an endpoint has granted to a call, if any.
    pub(super) fn release_hold(&mut self, now: Timestamp, caller: CallerId) {
        let hold = self.calls.get_mut(&caller).and_then(|c| c.hold.take());
        if let Some((endpoint, hold)) = hold {
            self.send_hold_drop(now, endpoint, hold);
        }
    }

    /// Handles the failure of a call's present attempt, whose connection is already closed or idle:
    /// retries the call, or ends it with a refusal.
    pub(super) fn attempt_failed(&mut self, now: Timestamp, caller: CallerId, failure: Failure) {
        self.end_attempt(now, caller, failure, None);
    }

    /// Like [`Gateway::attempt_failed`]; `silence` is given if the attempt timed out.
    pub(super) fn end_attempt(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        failure: Failure,
        silence: Option<Silence>,
    ) {
        if !matches!(failure, Failure::Silent) {
            self.forget_vacancy(now, caller);
        }
        self.report_prefill_end(caller);
        self.report_run_end(caller, RunEnd::Over);
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let stage = std::mem::replace(&mut call.stage, Stage::Waiting);
        let (attempt, prefill, handoff) = match stage {
            Stage::Waiting
            | Stage::Probe
            | Stage::Credit
            | Stage::Origin(_)
            | Stage::Room { .. }
            | Stage::Hold { .. }
            | Stage::Assign { .. } => {
                return;
            }
            Stage::Prefill { attempt, decode } => (attempt, Some(decode), None),
            Stage::Run { attempt, handoff } => (attempt, None, handoff),
        };
        let in_prefill = prefill.is_some();
        match (&failure, in_prefill) {
            (Failure::NotStarted | Failure::Refused { misdirected: true }, false) => {
                // This attempt does not count. If it was to resume an interrupted run at the same
                // endpoint, that endpoint has ended, and the interrupted run does not count.
                call.broke_at.take_if(|at| *at == attempt.endpoint);
                call.sends = call.sends.saturating_sub(1);
            }
            (Failure::NotStarted | Failure::Refused { misdirected: true }, true)
            | (Failure::Refused { .. }, false) => {}
            (_, true) => call.sends += 1,
            (_, false) => call.may_have_run = true,
        }
        if matches!(failure, Failure::NotStarted) {
            // The request reached no endpoint; the next one takes its place.
            call.credit.add(1);
        }
        let broke_off = matches!(failure, Failure::Broken)
            && call.info.work.is_some()
            && !in_prefill
            && attempt.connected
            && call.broke_at.is_none();
        if broke_off {
            call.broke_at = Some(attempt.endpoint);
        } else {
            call.tried.push(attempt.endpoint);
        }
        let failed = FailedAttempt {
            endpoint: attempt.endpoint,
            in_prefill,
            not_run: matches!(failure, Failure::Refused { .. } | Failure::NotStarted),
            broke_off,
        };
        let (name, sends) = (failure.name(), call.sends);
        let id = call.info.id.clone();
        if let Some(decode) = prefill {
            self.release(now, decode.endpoint, decode.usage);
        }
        self.release_attempt(now, &attempt);
        let verdict = failure.verdict();
        let mut endpoint_name: Box<str> = "".into();
        if let Some(endpoint) = self.fleet.get_mut(attempt.endpoint) {
            endpoint_name = endpoint.name.clone();
            match (&failure, verdict) {
                (Failure::Refused { misdirected: true }, _) => {
                    endpoint.misdirected(now, attempt.since);
                }
                (_, Some(verdict)) => endpoint.health.judge(now, verdict),
                (_, None) => endpoint.refused(now),
            }
        }
        log::info!(
            "step=attempt id={id} endpoint={endpoint_name} stage={} outcome={name} sends={sends} ms={}",
            if in_prefill { "prefill" } else { "run" },
            (now - attempt.since).as_millis(),
        );
        self.release_hold(now, caller);
        if let Failure::Answered(failed) = &failure
            && let Some(call) = self.calls.get_mut(&caller)
        {
            call.failed = Some(failed.clone());
        }
        let unused = handoff.clone().filter(|_| failed.not_run || attempt.head.is_none());
        let retried = self.try_retry(now, caller, &failed, handoff.clone());
        let (endpoint, retried_now) = (attempt.endpoint, retried.is_ok());
        let handoff = handoff.as_ref();
        let spent = Spent { endpoint, in_prefill, retried: retried_now, handoff };
        self.waste_attempt(now, caller, &failure, &spent);
        if let Some(silence) = silence {
            let next = if retried.is_ok() { AfterSilence::Retry } else { AfterSilence::Ended };
            silence.log(&id, &endpoint_name, next);
        }
        // A retry after an attempt that has not run may use the export.
        let reused = failed.not_run && retried.is_ok();
        if let Some(unused) = unused.filter(|_| !reused) {
            self.free_export(now, unused.source, &unused.export.handle);
        }
        let Err(why) = retried else { return };
        let ran = self.calls.get(&caller).is_some_and(|c| c.may_have_run);
        let refusal = if ran { answer::failed() } else { self.capacity_refusal(now, caller) };
        let refusal = self.closed_refusal(now, caller).map_or(refusal, |(refusal, _)| refusal);
        self.conclude(now, caller, refusal, why);
    }
}
