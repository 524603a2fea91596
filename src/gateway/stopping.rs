//! The shutdown of a gateway: which calls, and which further attempts at them, it still begins, and
//! the end of those that are open when its grace period is nearly over.

use std::time::Duration;

use super::call::{Call, Stage};
use super::open_calls::Listing;
use super::reason::EndReason;
use super::{CallerId, Gateway, answer};
use crate::h1::{HttpEffect, HttpInput, Purpose, Request};
use crate::model::Timestamp;
use crate::report::observation::WasteCause;
use crate::role::{Input, Output};
use crate::routes::Route;
use crate::shutdown::{Phase, ShutdownTerms};

/// How long the load balancer may need to notice that a gateway is no longer ready.
const SHUTDOWN_NOTICE: Duration = Duration::from_millis(2_600);

/// Returns how long the shutdown of a gateway with a grace period takes.
pub(super) fn terms(grace: Duration) -> ShutdownTerms {
    ShutdownTerms { notice: SHUTDOWN_NOTICE, grace }
}

impl Gateway {
    /// Handles the signal to shut down, and refuses the queued calls that can't end in time.
    pub(super) fn shutdown_requested(&mut self, now: Timestamp, since: Timestamp) {
        if self.shutdown.is_requested() {
            log::info!("step=shutdown open_calls={} again=true", self.calls.len());
            return;
        }
        let since = self.shutdown.request(since);
        let grace_ms = self.settings.grace.as_millis();
        log::info!("step=shutdown open_calls={} grace_ms={grace_ms}", self.calls.len());
        self.log_open_calls(now, since, Listing::Signal);
        self.refuse_queued(now);
    }

    /// Returns whether a new call surely gets a whole answer from this gateway. A plain call does
    /// also if it is ended with the others that are open; it is taken as long as callers are still
    /// sent here.
    pub(super) fn admits_new(&self, now: Timestamp, route: &Route, timeout: Duration) -> bool {
        let limit = timeout.min(route.timeout);
        let plain = !route.repeat.is_stream() && !self.is_noticed_at(now);
        let longest = if plain { Duration::ZERO } else { limit };
        self.shutdown.admits(now, longest)
    }

    /// Returns whether others have had the time to notice the shutdown.
    fn is_noticed_at(&self, now: Timestamp) -> bool {
        self.shutdown.notice_time().is_some_and(|at| now >= at)
    }

    /// Returns whether the next attempt at a call that was taken is expected to end before this
    /// gateway does.
    pub(super) fn can_end(&self, now: Timestamp, caller: CallerId) -> bool {
        if !self.shutdown.is_requested() {
            return true;
        }
        let Some(call) = self.calls.get(&caller) else { return false };
        let Some(route) = call.route() else { return false };
        if !call.sent && !call.is_stream() && !self.is_noticed_at(now) {
            return self.shutdown.admits(now, Duration::ZERO);
        }
        let longest = self.longest(route, progress(now, call), call.remaining(now));
        self.shutdown.admits(now, longest)
    }

    /// Returns how long a call of a route may take that has made progress for some time, at most
    /// `limit`. Most streams end long before their route times out.
    fn longest(&self, route: &Route, progress: Duration, limit: Duration) -> Duration {
        if !route.repeat.is_stream() {
            return limit;
        }
        let times = self.stream_times.get(&route.name);
        times.and_then(|t| t.rest(progress)).map_or(limit, |rest| rest.min(limit))
    }

    /// Returns whether a further attempt at a stream may end before the call's deadline, by how long
    /// the last streams of its route took. Otherwise it would only use an engine.
    pub(super) fn may_end_in_time(&self, now: Timestamp, call: &Call) -> bool {
        let times = call.route().and_then(|route| self.stream_times.get(&route.name));
        let lasted = match call.delivered.first {
            // What the caller has of the stream is not written again.
            Some(_) => now - call.arrived,
            None => Duration::ZERO,
        };
        let least = times.filter(|_| call.is_stream()).and_then(|t| t.least_rest(lasted));
        least.is_none_or(|least| least <= call.remaining(now))
    }

    /// Remembers how long a complete stream has lasted; one that resumes another is only a part.
    pub(super) fn record_stream(&mut self, now: Timestamp, call: &Call) {
        let Some(route) = call.route().filter(|_| !call.is_resumption()) else { return };
        let times = self.stream_times.entry(route.name.clone());
        times.or_default().ended(now - call.arrived);
    }

    /// Refuses the queued calls, and those that wait for credit, that can't end before this gateway does.
    pub(super) fn refuse_queued(&mut self, now: Timestamp) {
        if !self.shutdown.is_requested() {
            return;
        }
        let queued =
            self.calls.iter().filter(|(_, c)| matches!(c.stage, Stage::Waiting | Stage::Credit));
        let queued: Vec<CallerId> = queued.map(|(caller, _)| *caller).collect();
        for caller in queued {
            if !self.can_end(now, caller) {
                self.stop_work(now, caller, WasteCause::ShuttingDown);
                self.conclude(now, caller, answer::shutting_down(), EndReason::ShuttingDown);
            }
        }
    }

    /// Enters the phase of the shutdown that is due.
    pub(super) fn advance_shutdown(&mut self, now: Timestamp) {
        let before = self.shutdown.is_noticed();
        let open = self.calls.len() + self.open_releases();
        let mut phase = self.shutdown.advance(now, open);
        if self.shutdown.is_noticed() && !before {
            self.effect(HttpEffect::CloseIdle);
        }
        if phase == Phase::Refuse {
            self.end_calls(now);
            self.close_all_late(now);
            phase = self.shutdown.advance(now, self.calls.len());
        }
        if phase == Phase::End {
            self.leave();
        }
    }

    /// Gives each open call its final answer.
    fn end_calls(&mut self, now: Timestamp) {
        if let Some(since) = self.shutdown.since() {
            self.log_open_calls(now, since, Listing::GraceEnd);
        }
        let open: Vec<CallerId> = self.calls.keys().copied().collect();
        for caller in open {
            let ran = self.stop_call(now, caller, WasteCause::ShuttingDown);
            let refusal = if ran { answer::failed() } else { answer::shutting_down() };
            self.conclude(now, caller, refusal, EndReason::ShuttingDown);
        }
    }

    /// Reports the end of the role.
    fn leave(&mut self) {
        log::info!("step=leave open_calls={}", self.calls.len());
        if let Some(until) = self.shutdown.close_time() {
            self.effect(HttpEffect::CloseAll { until });
        }
        self.outputs.push(Output::Stopped);
    }

    /// Handles what still comes after the end of the role: requests are refused.
    pub(super) fn step_after_end(&mut self, now: Timestamp, input: Input<HttpInput>) {
        match input {
            Input::Local(HttpInput::Request { caller, purpose: Purpose::Calls, request }) => {
                self.refuse_after_end(now, caller, &request);
            }
            Input::Local(HttpInput::Request { caller, purpose: Purpose::Pages, request }) => {
                self.page(caller, &request);
            }
            _ => {}
        }
    }

    fn refuse_after_end(&mut self, now: Timestamp, caller: CallerId, request: &Request) {
        let info = self.protocol.read_call(&request.head).ok();
        let id = info.as_ref().map(|i| &*i.id);
        self.refuse_request(now, caller, request, id, answer::shutting_down());
    }
}

/// Returns how long a call has made progress that its next attempt does not repeat.
fn progress(now: Timestamp, call: &Call) -> Duration {
    match &call.stage {
        _ if call.delivered.first.is_some() => now - call.arrived,
        Stage::Prefill { attempt, .. } => now - attempt.since,
        _ => Duration::ZERO,
    }
}
