//! Answers of endpoints: their heads and their ends.

use std::time::Duration;

use super::answer::{MISDIRECTED, NOT_RUN_STATUSES};
use super::call::{Call, CompleteAnswer, Stage};
use super::fleet::Job;
use super::outcome::Failure;
use super::protocol::AnswerInfo;
use super::{CallerId, Gateway, PeerId};
use crate::h1::AnswerHead;
use crate::model::Timestamp;

impl Gateway {
    /// Handles the head of an endpoint's answer.
    pub(super) fn answered(&mut self, now: Timestamp, peer: PeerId, head: AnswerHead) {
        let info = self.protocol.read_answer(&head);
        self.endpoint_heard(now, peer);
        if self.is_stray(peer, &info) {
            self.discard(now, peer, &head, &info);
            return;
        }
        self.apply_notices(now, peer, &info);
        let Some(conn) = self.fleet.conn(peer) else { return };
        if let Some(timeout) = idle_timeout(&head) {
            conn.idle_timeout = timeout;
        }
        match conn.job {
            Job::Call(caller) => {
                let Some(call) = self.calls.get_mut(&caller) else { return };
                if let Some(attempt) = call.attempt() {
                    attempt.head = Some((head, info));
                }
                self.schedule(caller);
            }
            Job::Hold(_) | Job::Report | Job::Free | Job::Late => conn.status = head.status,
            Job::Idle => {
                log::warn!(
                    "step=answer peer={} error=\"unexpected answer on an idle connection\"",
                    peer.0
                );
                self.hang_up(peer);
            }
        }
    }

    /// Returns whether an answer belongs to another request than the one that its connection carries:
    /// answers to calls name them, those to side requests name none.
    fn is_stray(&mut self, peer: PeerId, info: &AnswerInfo) -> bool {
        let Some(conn) = self.fleet.conn(peer) else { return false };
        let id = match conn.job {
            Job::Idle => return false,
            Job::Call(caller) => self.calls.get(&caller).map(|call| &*call.info.id),
            Job::Late => self.late_answers.call_id(peer),
            Job::Hold(_) | Job::Report | Job::Free => None,
        };
        info.id.as_deref() != id
    }

    /// Discards an answer that belongs to another request; all that it may say of its endpoint is that
    /// this leaves.
    fn discard(&mut self, now: Timestamp, peer: PeerId, head: &AnswerHead, info: &AnswerInfo) {
        if info.leaving {
            self.notice_leaving(now, peer);
        }
        let Some(conn) = self.fleet.conn(peer) else { return };
        log::warn!(
            "step=stray peer={} job={} status={} names={}",
            peer.0,
            conn.job.name(),
            head.status,
            info.id.as_deref().unwrap_or("-"),
        );
        conn.discard();
    }

    /// Handles the end of an endpoint's answer.
    pub(super) fn ended(&mut self, now: Timestamp, peer: PeerId, reusable: bool) {
        let Some(conn) = self.fleet.conn(peer) else { return };
        if std::mem::take(&mut conn.stray) {
            // The right answer may have come already, or the loss of the connection is reported next.
            return;
        }
        if std::mem::take(&mut conn.checks) && reusable && self.start_named(now, peer) {
            return;
        }
        let Some(conn) = self.fleet.conn(peer) else { return };
        let (job, endpoint, status) = (conn.job, conn.endpoint, conn.status);
        let content = std::mem::take(&mut conn.content);
        let start = self.fleet.start_at(peer);
        let closes = self.closes(job);
        if closes || !reusable || !self.fleet.park(now, peer, None) {
            self.hang_up(peer);
        }
        match job {
            Job::Idle => {}
            Job::Report | Job::Free => self.job_ended(now, job, endpoint, &content),
            Job::Late => self.late_ended(now, peer, status, &content),
            Job::Hold(caller) => {
                let hold = (status == 200).then(|| self.protocol.read_hold(&content)).flatten();
                self.hold_answered(now, caller, hold);
                self.schedule(caller);
            }
            Job::Call(caller) => {
                if let Some(start) = start.filter(|_| !reusable && self.is_cut_short(caller)) {
                    self.run_broke(now, caller, start);
                }
                self.call_answered(now, caller);
                self.schedule(caller);
            }
        }
    }

    /// Returns whether the endpoint closes the connection after the answer to a call.
    fn closes(&mut self, job: Job) -> bool {
        let Job::Call(caller) = job else { return false };
        let attempt = self.calls.get_mut(&caller).and_then(Call::attempt);
        let head = attempt.and_then(|a| a.head.as_ref());
        head.is_none_or(|(head, _)| head.fields.has_token("connection", "close"))
    }

    /// Returns whether a call's stream has ended before an event was complete, or before any event.
    fn is_cut_short(&mut self, caller: CallerId) -> bool {
        let Some(call) = self.calls.get_mut(&caller) else { return false };
        streams(call) && (call.splitter.has_partial() || !call.delivered.head)
    }

    /// Handles the complete answer to an attempt.
    fn call_answered(&mut self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        if streams(call) {
            self.stream_ended(now, caller);
            return;
        }
        let in_prefill = matches!(call.stage, Stage::Prefill { .. });
        let Some(attempt) = call.attempt() else { return };
        let Some((head, info)) = attempt.head.take() else { return };
        let content = std::mem::take(&mut attempt.content);
        let good = (200..300).contains(&head.status);
        let misdirected = head.status == MISDIRECTED;
        if info.not_run || misdirected {
            self.attempt_failed(now, caller, Failure::Refused { misdirected });
        } else if in_prefill {
            let export = good.then(|| self.protocol.read_export(&content)).flatten();
            match export {
                Some(export) => self.prefilled(now, caller, export),
                None => self.attempt_failed(now, caller, Failure::Broken),
            }
        } else if good && (!info.signed || info.encoded) {
            self.attempt_failed(now, caller, Failure::Broken);
        } else if head.status >= 500 || NOT_RUN_STATUSES.contains(&head.status) {
            let failed = CompleteAnswer { head, content };
            self.attempt_failed(now, caller, Failure::Answered(failed));
        } else {
            self.finish_complete(now, caller, CompleteAnswer { head, content });
        }
    }
}

/// Returns whether the answer that is being received is streamed to the caller event by event.
pub(super) fn streams(call: &mut Call) -> bool {
    let stream = call.is_stream() && matches!(call.stage, Stage::Run { .. });
    let head = call.attempt().and_then(|a| a.head.as_ref());
    let good = |info: &super::protocol::AnswerInfo| info.signed && !info.encoded && !info.not_run;
    stream && head.is_some_and(|(head, info)| head.status == 200 && good(info))
}

/// Returns the idle timeout in the endpoint's `Keep-Alive` field, if there is one.
fn idle_timeout(head: &AnswerHead) -> Option<Duration> {
    let text = head.fields.text("keep-alive")?;
    let value = text.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    value.trim().parse().ok().map(Duration::from_secs)
}
