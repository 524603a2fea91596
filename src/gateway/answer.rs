//! Answers to callers: refusals, complete answers and streams.

use std::time::Duration;

use super::call::{Call, CompleteAnswer, Stage};
use super::events::Event;
use super::outcome::Failure;
use super::protocol::RefusalInfo;
use super::reason::EndReason;
use super::{CallerId, Gateway};
use crate::control::dispatch::rooms::RunEnd;
use crate::entry::health::Verdict;
use crate::h1::{AnswerHead, HttpEffect, Request, write};
use crate::model::Timestamp;
use crate::report::observation::{GatewayEnd, Observation};
use crate::role::Output;

/// The retry time for callers that are refused because there is no routing table yet.
const TABLE_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// The retry time for callers that are refused because a newer routing table may allow their calls:
/// the time between two heartbeats to control.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The retry time for callers that are refused because the process is shutting down.
const SHUTDOWN_RETRY_AFTER: Duration = Duration::from_millis(200);
/// The retry time for callers whose service had no endpoint for them.
const CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The retry time for callers whose calls hold what has crashed endpoints.
const QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(60);
/// The same for what is only suspected: a probe shows soon whether it is sound.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// The retry time for requests that are larger than the quota of their client account: only a new
/// routing table can allow them.
const LARGE_RETRY_AFTER: Duration = Duration::from_secs(60);
/// Statuses that promise that a call has not run. An endpoint's answer with one of them is not
/// passed on; the caller gets the gateway's own refusal.
pub(super) const NOT_RUN_STATUSES: [u16; 4] = [408, MISDIRECTED, 429, 503];
/// The status of an endpoint that is another instance, or in another stage, than the intended one.
pub(super) const MISDIRECTED: u16 = 421;

/// The status of a request whose key no client account holds.
const UNKNOWN_KEY: u16 = 401;
/// The status of a request whose host and path no route of the table names.
const NO_ROUTE: u16 = 404;
/// The text of a refusal by a routing table that a newer one may have replaced.
const UNCONFIRMED: &str = "not run: no route by a routing table that may be out of date";

fn refusal(status: u16, text: &str, retry_after: Option<Duration>) -> RefusalInfo {
    RefusalInfo { status, text: text.into(), retry_after }
}

pub(super) fn bad_request(text: &str) -> RefusalInfo {
    refusal(400, text, None)
}

pub(super) fn no_table() -> RefusalInfo {
    refusal(503, "not run: no routing table yet", Some(TABLE_RETRY_AFTER))
}

pub(super) fn shutting_down() -> RefusalInfo {
    refusal(503, "not run: this process is shutting down", Some(SHUTDOWN_RETRY_AFTER))
}

pub(super) fn no_route() -> RefusalInfo {
    refusal(NO_ROUTE, "no route for this host and path", None)
}

pub(super) fn unconfirmed() -> RefusalInfo {
    refusal(503, UNCONFIRMED, Some(UNCONFIRMED_RETRY_AFTER))
}

pub(super) fn unknown_key() -> RefusalInfo {
    refusal(UNKNOWN_KEY, "no client account has this key", None)
}

pub(super) fn unconfirmed_key() -> RefusalInfo {
    let text = "not run: no client account has this key by a routing table that may be out of date";
    refusal(503, text, Some(UNCONFIRMED_RETRY_AFTER))
}

pub(super) fn no_endpoint() -> RefusalInfo {
    refusal(503, "not run: no endpoint takes it now", Some(CAPACITY_RETRY_AFTER))
}

pub(super) fn backing_off(retry_after: Duration) -> RefusalInfo {
    refusal(503, "not run: all endpoints have requested a backoff", Some(retry_after))
}

pub(super) fn no_version() -> RefusalInfo {
    let text = "not run: no endpoint of the software version that began the stream takes it now";
    refusal(503, text, Some(CAPACITY_RETRY_AFTER))
}

pub(super) fn unknown_origin() -> RefusalInfo {
    let text = "not run: it is not known which software version began the stream";
    refusal(503, text, Some(CAPACITY_RETRY_AFTER))
}

pub(super) fn quarantined() -> RefusalInfo {
    refusal(503, "not run: calls like this one crash endpoints", Some(QUARANTINE_RETRY_AFTER))
}

pub(super) fn suspected() -> RefusalInfo {
    let text = "not run: calls like this one may crash endpoints";
    refusal(503, text, Some(SUSPECT_RETRY_AFTER))
}

pub(super) fn busy(retry_after: Duration) -> RefusalInfo {
    refusal(503, "not run: all endpoints are busy", Some(retry_after))
}

pub(super) fn over_quota(retry_after: Duration) -> RefusalInfo {
    refusal(429, "not run: the quota of the client account is used up", Some(retry_after))
}

pub(super) fn over_burst() -> RefusalInfo {
    let text = "not run: the quota of the client account never allows a request as large as this";
    refusal(429, text, Some(LARGE_RETRY_AFTER))
}

pub(super) fn out_of_time() -> RefusalInfo {
    refusal(503, "not run: it could not start in time", Some(CAPACITY_RETRY_AFTER))
}

pub(super) fn timed_out() -> RefusalInfo {
    refusal(504, "it may have run: no answer came in time", None)
}

pub(super) fn failed() -> RefusalInfo {
    refusal(502, "it may have run: no whole answer came", None)
}

/// Contents above this size are handed on without a copy, since there may be many at once.
const LARGE_CONTENT_BYTES: usize = 16 << 10;

impl Gateway {
    /// Refuses a request that is not admitted as a call.
    pub(super) fn refuse_request(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        request: &Request,
        id: Option<&str>,
        info: RefusalInfo,
    ) {
        let keep = self.keeps_alive(request);
        log::info!(
            "step=end id={} outcome=refused status={} why=\"{}\" table={}{}{}",
            id.unwrap_or("-"),
            info.status,
            info.text,
            self.table.version(),
            self.confirmation_text(now, &info),
            self.stopping_text(now),
        );
        let bytes = self.protocol.write_refusal(id, &info, keep);
        self.effect(HttpEffect::Reply { caller, bytes });
        self.effect(HttpEffect::Finish { caller, keep });
    }

    /// Returns the age of the table's confirmation, in milliseconds, for the log line of a call that
    /// has no route; nothing for others.
    fn confirmation_text(&self, now: Timestamp, info: &RefusalInfo) -> String {
        if info.status != NO_ROUTE && *info.text != *UNCONFIRMED {
            return String::new();
        }
        let age = self.follower.confirmation_age(now).map(|age| age.as_millis().to_string());
        format!(" confirmed_ms={}", age.as_deref().unwrap_or("never"))
    }

    fn keeps_alive(&self, request: &Request) -> bool {
        !request.head.wants_close() && !self.shutdown.is_requested()
    }

    /// Ends a call that gets no complete answer: aborts a stream that has begun, else sends the
    /// last failure of an endpoint or the given refusal. A call that may have run is not refused as
    /// not run. `why` is logged.
    pub(super) fn conclude(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        info: RefusalInfo,
        why: EndReason,
    ) {
        self.release_hold(now, caller);
        let Some(mut call) = self.remove(now, caller) else { return };
        if call.delivered.head {
            self.effect(HttpEffect::Abort { caller });
            self.log_end(now, &call, "broken-off", 0, Some(why));
            return;
        }
        if let Some(failed) = call.failed.take()
            && !NOT_RUN_STATUSES.contains(&failed.head.status)
        {
            let status = failed.head.status;
            self.send_complete(caller, &call, failed);
            self.log_end(now, &call, "endpoint-failed", status, Some(why));
            return;
        }
        let untrue = call.may_have_run && NOT_RUN_STATUSES.contains(&info.status);
        let info = if untrue { failed() } else { info };
        if NOT_RUN_STATUSES.contains(&info.status) {
            self.give_back_credit(now, &call);
        }
        let keep = self.keeps_alive(&call.request);
        let bytes = self.protocol.write_refusal(Some(&call.info.id), &info, keep);
        self.effect(HttpEffect::Reply { caller, bytes });
        self.effect(HttpEffect::Finish { caller, keep });
        self.log_end(now, &call, &info.text, info.status, Some(why));
    }

    pub(super) fn capacity_refusal(&mut self, now: Timestamp, caller: CallerId) -> RefusalInfo {
        let draw = self.draw();
        let Some(call) = self.calls.get(&caller) else { return no_endpoint() };
        let left = call.caller_deadline - now;
        let queue = self.queues.get_mut(&call.service);
        queue.map_or_else(no_endpoint, |queue| busy(queue.retry_after(now, left, draw)))
    }

    pub(super) fn remove(&mut self, now: Timestamp, caller: CallerId) -> Option<Call> {
        self.report_run_end(caller, RunEnd::Over);
        self.forget_vacancy(now, caller);
        let call = self.calls.remove(&caller)?;
        self.timers.remove(&(call.timer, caller));
        if let Some(budget) = self.budgets.get_mut(&call.service) {
            budget.release(call.credit.unsent());
        }
        Some(call)
    }

    /// Returns the field that says, in logs, how long the gateway has been shutting down.
    pub(super) fn stopping_text(&self, now: Timestamp) -> String {
        let text = |since| format!(" stopping_ms={}", (now - since).as_millis());
        self.shutdown.since().map(text).unwrap_or_default()
    }

    /// Logs and counts the end of a call; `why` is given if there was no complete answer.
    fn log_end(
        &mut self,
        now: Timestamp,
        call: &Call,
        outcome: &str,
        status: u16,
        why: Option<EndReason>,
    ) {
        let total = now - call.arrived;
        let first = call.delivered.first.map(|at| at - call.arrived);
        let route = call.route().map_or("", |r| &r.name);
        log::info!(
            "step=end id={} route={route} service={} outcome=\"{outcome}\" status={status} ms={} \
             first_ms={} gap_ms={} events={} sends={} prefills={} table={}{}{}{}",
            call.info.id,
            call.service,
            total.as_millis(),
            first.map_or(-1, |f| f.as_millis() as i64),
            call.delivered.gap.as_millis(),
            call.delivered.events,
            call.sends,
            call.prefills,
            call.table.version(),
            why.map_or_else(String::new, |why| format!(" why=\"{}\"", why.text())),
            call.account().map_or_else(String::new, |a| format!(" account=\"{}\"", a.name)),
            self.stopping_text(now),
        );
        if let Some(why) = why {
            let (service, why, late) = (call.service.clone(), why.text(), call.late);
            self.outputs.push(Output::Observe(Observation::Unanswered { service, why, late }));
        }
        let end = GatewayEnd { route: route.into(), status, first, total };
        self.outputs.push(Output::Observe(Observation::Gateway(Box::new(end))));
    }

    /// Sends a complete answer of an endpoint to the caller.
    fn send_complete(&mut self, caller: CallerId, call: &Call, answer: CompleteAnswer) {
        let keep = self.keeps_alive(&call.request);
        let is_large = answer.content.len() > LARGE_CONTENT_BYTES;
        let copied = if is_large { 0 } else { answer.content.len() };
        let mut bytes = Vec::with_capacity(512 + copied);
        write::status_line(&mut bytes, answer.head.status);
        write::end_to_end(&mut bytes, &answer.head.fields, |_| false);
        if !keep {
            write::field(&mut bytes, "Connection", b"close");
        }
        write::number(&mut bytes, "Content-Length", answer.content.len() as u64);
        write::end_head(&mut bytes);
        if is_large {
            self.effect(HttpEffect::Reply { caller, bytes });
            self.effect(HttpEffect::Reply { caller, bytes: answer.content });
        } else {
            bytes.extend_from_slice(&answer.content);
            self.effect(HttpEffect::Reply { caller, bytes });
        }
        self.effect(HttpEffect::Finish { caller, keep });
    }

    /// Delivers events to the caller, each once and in order; skips those that it already has.
    pub(super) fn deliver_events(&mut self, now: Timestamp, caller: CallerId, events: Vec<Event>) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        if let Some(attempt) = call.attempt().filter(|_| !events.is_empty()) {
            attempt.first_event.get_or_insert(now);
        }
        self.learn_step_time(now, caller, events.len());
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let begins = call.software.is_none() && !events.is_empty();
        if begins {
            call.software = call.attempt().map(|a| a.software.clone());
        }
        let mut out = Vec::new();
        if !call.delivered.head
            && let Some((head, _)) = call.attempt().and_then(|a| a.head.as_ref())
        {
            write_stream_head(&mut out, head);
        }
        for event in events {
            let known = call.delivered.event;
            if event.id.is_some() && event.id <= known {
                continue;
            }
            call.delivered.event = event.id.or(known);
            call.delivered.events += 1;
            write::chunk(&mut out, &event.bytes);
            if let Some(last) = call.delivered.last {
                call.delivered.gap = call.delivered.gap.max(now - last);
            }
            call.delivered.first.get_or_insert(now);
            call.delivered.last = Some(now);
            call.delivered.head = true;
        }
        if call.delivered.head && !out.is_empty() {
            self.effect(HttpEffect::Reply { caller, bytes: out });
        }
        if begins {
            self.record_origin(now, caller);
        }
        self.note_survival(now, caller);
    }

    pub(super) fn finish_complete(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        answer: CompleteAnswer,
    ) {
        let Some(mut call) = self.remove(now, caller) else { return };
        if (200..300).contains(&answer.head.status) {
            self.learn_service_time(now, &mut call);
        }
        self.attempt_succeeded(now, &mut call);
        self.report_survival(now, &self.survivors(&call));
        call.delivered.first = Some(now);
        let status = answer.head.status;
        self.send_complete(caller, &call, answer);
        self.log_end(now, &call, "answered", status, None);
    }

    /// Releases the capacity of a call's last attempt and records its success.
    fn attempt_succeeded(&mut self, now: Timestamp, call: &mut Call) {
        let Stage::Run { attempt, .. } = std::mem::replace(&mut call.stage, Stage::Waiting) else {
            return;
        };
        self.release_attempt(now, &attempt);
        let target = call.route().map(|r| r.target).unwrap_or_default();
        if let Some(endpoint) = self.fleet.get_mut(attempt.endpoint) {
            endpoint.health.judge(now, Verdict::Worked);
            endpoint.accepted();
            endpoint.window.answered(now - attempt.since, target);
        }
    }

    pub(super) fn stream_ended(&mut self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get(&caller) else { return };
        if call.splitter.has_partial() || !call.delivered.head {
            self.attempt_failed(now, caller, Failure::Broken);
            return;
        }
        let Some(mut call) = self.remove(now, caller) else { return };
        self.attempt_succeeded(now, &mut call);
        self.report_survival(now, &self.survivors(&call));
        self.record_stream(now, &call);
        let keep = self.keeps_alive(&call.request);
        let mut bytes = Vec::new();
        let rest = call.splitter.take_rest();
        if !rest.is_empty() {
            write::chunk(&mut bytes, &rest);
        }
        write::last_chunk(&mut bytes);
        self.effect(HttpEffect::Reply { caller, bytes });
        self.effect(HttpEffect::Finish { caller, keep });
        self.log_end(now, &call, "answered", 200, None);
    }
}

fn write_stream_head(out: &mut Vec<u8>, head: &AnswerHead) {
    write::status_line(out, head.status);
    write::end_to_end(out, &head.fields, |_| false);
    write::field(out, "Transfer-Encoding", b"chunked");
    write::end_head(out);
}
