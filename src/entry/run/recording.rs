//! Commands that close a claim, which are resent until they are committed or time out.

use std::time::Duration;

use super::super::{Outputs, Shared};
use super::proposal::Proposal;
use super::{Owned, Run, Stage};
use crate::control::claims::{ClaimReply, Outcome};
use crate::control::state::{Applied, Command};
use crate::link::message::{ControlReply, ControlRequest};
use crate::model::{CallKind, ExchangeId, Ran, RefusalReason, RequestId, Timestamp};

/// How long a command is resent. After that, the claim stays open until the caller sends its
/// request again.
const RECORD_TIMEOUT: Duration = Duration::from_millis(3_000);

/// Commands to control of which the first one is not committed yet.
#[derive(Debug)]
pub(super) struct Recording {
    proposal: Proposal,
    /// Commands to be sent after the current one.
    later: Vec<Command>,
    /// Why generation ended, for an answer that is delivered once it is recorded.
    finish: Option<Box<str>>,
}

impl Recording {
    pub(super) fn next_wake(&self) -> Timestamp {
        self.proposal.next_wake().min(self.proposal.since + RECORD_TIMEOUT)
    }

    pub(super) fn closed(&mut self, shared: &mut Shared, now: Timestamp, exchange: ExchangeId) {
        if self.proposal.is(exchange) {
            self.proposal.closed(shared, now, exchange);
        }
    }
}

impl Run {
    /// Cancels the exchanges of a call whose outcome is delivered or whose caller has
    /// disconnected, and releases its claim if possible.
    ///
    /// The key is released if the call is known not to have run, or may be repeated. Any other
    /// claim stays open, to be settled when the caller sends the request again.
    pub(super) fn close(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        let mut outputs = self.reset_exchanges(shared);
        self.stage = Stage::Done;
        let Some(Owned { key, request }) = self.claim.take() else { return outputs };
        if self.call.repeatable || self.attempts.own_ran() == Ran::No {
            let release = Command::Release { key, request };
            outputs.extend(self.record(shared, now, vec![release]));
        }
        outputs
    }

    /// Sends commands to control, each after the previous one is answered.
    pub(super) fn record(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        mut commands: Vec<Command>,
    ) -> Outputs {
        self.stage = Stage::Done;
        if commands.is_empty() {
            return Vec::new();
        }
        let later = commands.split_off(1);
        let propose = ControlRequest::Propose(commands.remove(0));
        let (proposal, outputs) = Proposal::start(shared, now, self.id, propose);
        self.stage = Stage::Recording(Recording { proposal, later, finish: None });
        outputs
    }

    /// Records the outcome of a claimed attempt.
    pub(super) fn record_outcome(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        request: RequestId,
        outcome: Outcome,
    ) -> Outputs {
        self.claim = None;
        let Some(key) = super::claim_key(&self.call) else {
            self.stage = Stage::Done;
            return Vec::new();
        };
        self.record(shared, now, vec![Command::Finish { key, request, outcome }])
    }

    /// Records the answer of a model. Its end is delivered only once the record is committed, which
    /// ensures that no other call with the key delivers an answer.
    pub(super) fn record_generated(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        request: RequestId,
        finish: Box<str>,
    ) -> Outputs {
        let outcome = Outcome::generated(&self.delivered, finish.clone());
        let outputs = self.record_outcome(shared, now, request, outcome);
        if let Stage::Recording(recording) = &mut self.stage {
            recording.finish = Some(finish);
        }
        outputs
    }

    pub(super) fn wake_recording(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        let Stage::Recording(recording) = &mut self.stage else { return Vec::new() };
        if now < recording.proposal.since + RECORD_TIMEOUT {
            return recording.proposal.wake(shared, now);
        }
        log::warn!(
            "step=record call={} error=\"control did not commit within {RECORD_TIMEOUT:?}\"",
            self.id
        );
        let mut outputs = recording.proposal.cancel(shared);
        self.stage = Stage::Done;
        outputs.extend(
            self.send_refusal(RefusalReason::NoQuorum, "control did not commit the answer in time"),
        );
        outputs
    }

    pub(super) fn recorded(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        exchange: ExchangeId,
        reply: ControlReply,
    ) -> Outputs {
        let Stage::Recording(recording) = &mut self.stage else { return Vec::new() };
        if !recording.proposal.is(exchange) {
            return Vec::new();
        }
        if let ControlReply::NotLeader { leader } | ControlReply::Interrupted { leader } = reply {
            recording.proposal.redirect(shared, now, exchange, leader);
            return Vec::new();
        }
        let mut outputs = recording.proposal.answered(shared, exchange);
        let later = std::mem::take(&mut recording.later);
        let finish = recording.finish.take();
        let closed = ControlReply::Applied(Applied::Claim(ClaimReply::Closed));
        outputs.extend(self.send_recorded(finish, reply == closed));
        outputs.extend(self.record(shared, now, later));
        outputs
    }

    fn send_recorded(&mut self, finish: Option<Box<str>>, closed: bool) -> Outputs {
        let Some(finish) = finish else { return Vec::new() };
        if !closed {
            let detail = "another call with this key was answered";
            return self.send_refusal(RefusalReason::Stale, detail);
        }
        debug_assert!(matches!(self.call.kind, CallKind::Model { .. }));
        let count = self.delivered.len() as u32;
        self.responder.take().map(|r| r.generated(count, finish)).into_iter().collect()
    }
}
