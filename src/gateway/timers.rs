//! The timers of calls: deadlines, timeouts of attempts, and the silence that is tolerated.

use std::time::Duration;

use super::answer;
use super::call::{Attempt, Call, Stage};
use super::outcome::Failure;
use super::reason::EndReason;
use super::silence::{AfterSilence, Silence};
use super::{CallerId, Gateway};
use crate::h1::HttpEffect;
use crate::model::Timestamp;
use crate::report::observation::WasteCause;

/// The interval between clean-ups of idle connections and overdue side requests.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);
/// How long it may take to connect to an endpoint.
const DIAL_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a prefill may take, including its wait at the endpoint.
const PREFILL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long the first event of a resumable stream may take.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The maximum gap between two events of a resumable stream; a sound endpoint may pause for more
/// than a second.
const NEXT_EVENT_TIMEOUT: Duration = Duration::from_millis(1_800);
/// How long the silence of an attempt is tolerated at a time while no other attempt could follow.
pub(super) const SILENCE_RECHECK: Duration = Duration::from_millis(100);
/// How long an answer may take if the call can be repeated at another endpoint, in multiples of the
/// route's latency target.
const ANSWER_TARGETS: u32 = 2;

/// Returns the next deadline of a call, at which its timer fires.
pub fn next_timer(call: &Call) -> Timestamp {
    let attempt = match &call.stage {
        Stage::Waiting => None,
        Stage::Probe
        | Stage::Credit
        | Stage::Origin(_)
        | Stage::Room { .. }
        | Stage::Hold { .. }
        | Stage::Assign { .. } => Some(call.reply_deadline),
        Stage::Prefill { attempt, .. } => {
            let limit = attempt.since + time_limit(attempt, PREFILL_TIMEOUT);
            Some(limit.max(attempt.kept_until))
        }
        Stage::Run { attempt, .. } => run_limit(call, attempt).map(|at| at.max(attempt.kept_until)),
    };
    attempt.map_or(call.deadline, |at| at.min(call.deadline))
}

fn time_limit(attempt: &Attempt, timeout: Duration) -> Duration {
    if attempt.connected { timeout } else { DIAL_TIMEOUT.min(timeout) }
}

fn run_limit(call: &Call, attempt: &Attempt) -> Option<Timestamp> {
    if !attempt.connected {
        return Some(attempt.since + DIAL_TIMEOUT);
    }
    let route = call.route()?;
    if !route.repeat.is_repeatable() || call.sends >= route.attempts {
        return None;
    }
    if !route.repeat.is_stream() {
        return Some(attempt.since + route.target * ANSWER_TARGETS);
    }
    match call.delivered.last.filter(|at| *at >= attempt.since) {
        Some(last) => Some(last + NEXT_EVENT_TIMEOUT),
        None => Some(attempt.since + FIRST_EVENT_TIMEOUT),
    }
}

impl Gateway {
    /// Sets the timer of a call to its next deadline.
    pub(super) fn schedule(&mut self, caller: CallerId) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let at = next_timer(call);
        if call.timer != at {
            self.timers.remove(&(call.timer, caller));
            call.timer = at;
            self.timers.insert((at, caller));
        }
    }

    /// Removes what has expired of all calls and connections.
    pub(super) fn clean_up(&mut self, now: Timestamp) {
        self.next_cleanup = now + CLEANUP_INTERVAL;
        self.blocked.expire(now);
        self.forget_backoffs(now);
        self.log_slow(now);
        self.report_runs(now);
        for peer in self.fleet.close_stale(now) {
            self.effect(HttpEffect::HangUp { peer });
        }
        self.end_overdue_jobs(now);
    }

    /// Handles the timer of a call: ends the call at its deadline, or its open request or attempt
    /// when that times out.
    pub(super) fn on_timer(&mut self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        if call.deadline <= now {
            self.deadline_expired(now, caller);
            return;
        }
        if next_timer(call) > now {
            return;
        }
        if let Stage::Hold { peer, decode } = call.stage {
            self.give_up_hold(now, caller, peer, &decode);
            self.hold_lost(now, caller, false);
            return;
        }
        if let Stage::Room { .. } | Stage::Assign { .. } = call.stage {
            self.leader_timed_out(now, caller);
            return;
        }
        if let Stage::Probe = call.stage {
            self.probe_refused(now, caller);
            return;
        }
        if let Stage::Credit = call.stage {
            self.credit_timed_out(now, caller);
            return;
        }
        if let Stage::Origin(_) = call.stage {
            self.origin_timed_out(now, caller);
            return;
        }
        let silence = Silence::of(now, call);
        let Some(attempt) = call.attempt() else { return };
        let (peer, connected) = (attempt.peer, attempt.connected);
        // A call that has not run is better refused at once than kept at a silent prefill endpoint.
        let in_run = matches!(call.stage, Stage::Run { .. });
        if connected && in_run && !self.can_replace(now, caller) {
            self.forget_vacancy(now, caller);
            self.keep_silent(now, caller);
            return;
        }
        if connected && in_run && !self.has_vacancy(now, caller) {
            return;
        }
        self.run_given_up(now, caller);
        if !self.keep_prefill(now, caller) {
            self.hang_up(peer);
        }
        let failure = if connected { Failure::Silent } else { Failure::NotStarted };
        self.end_attempt(now, caller, failure, silence);
    }

    /// Tolerates the silence of an attempt that no other one could replace: its endpoint may go on.
    fn keep_silent(&mut self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let silence = Silence::of(now, call);
        let id = call.info.id.clone();
        let Some(attempt) = call.attempt() else { return };
        let first = attempt.kept_until == attempt.since;
        attempt.kept_until = now + SILENCE_RECHECK;
        let endpoint = self.fleet.get(attempt.endpoint).map_or("", |e| &e.name);
        if let Some(silence) = silence.filter(|_| first) {
            silence.log(&id, endpoint, AfterSilence::Kept);
        }
    }

    /// Ends a call that has reached its deadline.
    fn deadline_expired(&mut self, now: Timestamp, caller: CallerId) {
        let ran = self.stop_call(now, caller, WasteCause::Deadline);
        let refusal = if ran { answer::timed_out() } else { answer::out_of_time() };
        self.conclude(now, caller, refusal, EndReason::Deadline);
    }
}
