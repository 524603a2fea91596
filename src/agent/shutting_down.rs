//! The shutdown of an agent: entries get a final reply to all work, and the engine its cancels.

use std::collections::BTreeSet;

use super::engine::EngineEffect;
use super::ledger::{Allocation, Phase as WorkPhase};
use super::{Agent, CANCEL_TIMEOUT, Outputs, RETRY_AFTER};
use crate::link::message::AgentReply;
use crate::model::{Refusal, RefusalReason, RequestId, Timestamp};
use crate::role::Output;
use crate::shutdown::Phase;

impl Agent {
    /// Records that the process was signalled, and reports the draining state at once.
    pub(super) fn request_shutdown(&mut self, now: Timestamp, since: Timestamp) -> Outputs {
        if !self.shutdown.is_requested() {
            self.shutdown.request(since);
            self.log_open(now, since, "signal");
        }
        self.follower.expedite(now);
        self.heartbeats(now)
    }

    /// Enters the phase of the shutdown that is due.
    pub(super) fn advance_shutdown(&mut self, now: Timestamp) -> Outputs {
        let Some(since) = self.shutdown.since() else { return Vec::new() };
        let before = self.shutdown.phase();
        if before == Phase::End {
            return Vec::new();
        }
        let open = self.open_work(now);
        let mut outputs = Vec::new();
        if self.shutdown.advance(now, open) == Phase::Refuse && before < Phase::Refuse {
            self.log_open(now, since, "grace-end");
            outputs = self.end_work(now);
        }
        let open = self.open_work(now);
        if self.shutdown.advance(now, open) == Phase::End {
            outputs.push(Output::Stopped);
        }
        outputs
    }

    /// Returns when the shutdown is due although nothing else happens.
    pub(super) fn next_shutdown_wake(&self) -> Option<Timestamp> {
        let cancels = self.cancels_since.filter(|_| self.shutdown.phase() < Phase::End);
        let cancels = cancels.map(|since| since + CANCEL_TIMEOUT);
        let cancels = cancels.filter(|at| self.shutdown.notice_time().is_some_and(|n| *at > n));
        let close = self.shutdown.close_time();
        let close = close.filter(|_| self.shutdown.phase() == Phase::Refuse);
        [self.shutdown.next_wake(), cancels, close].into_iter().flatten().min()
    }

    /// Returns how many allocations keep a shutdown from ending: those whose work an entry waits
    /// for or whose outcome it may query later, and cancels that the engine may still confirm in
    /// time.
    fn open_work(&mut self, now: Timestamp) -> usize {
        let refuses = self.shutdown.phase() >= Phase::Refuse;
        if refuses || self.ledger.only_cancelling() {
            self.cancels_since.get_or_insert(now);
        }
        let Some(since) = self.cancels_since else { return self.ledger.allocations().count() };
        let closes = self.shutdown.close_time().is_some_and(|at| now >= at);
        if closes || now >= since + CANCEL_TIMEOUT { 0 } else { self.ledger.cancelling() }
    }

    /// Gives all work a final reply, and cancels what the engine has.
    fn end_work(&mut self, now: Timestamp) -> Outputs {
        let open: Vec<Allocation> = self.ledger.allocations().copied().collect();
        let mut outputs = Vec::new();
        for Allocation { request, inbound, phase, .. } in open {
            let detail = "the agent is shutting down";
            match phase {
                WorkPhase::Reserved { .. } => {
                    self.ledger.release(request);
                    outputs.extend(self.refuse(inbound, RefusalReason::Draining, detail));
                }
                WorkPhase::Running if self.prefills.is_waiting(request) => {
                    self.prefills.remove(request);
                    self.ledger.release(request);
                    outputs.extend(self.refuse(inbound, RefusalReason::Draining, detail));
                }
                WorkPhase::Running => {
                    let cancellable = self.cancellable();
                    self.ledger.abandon(now, inbound, cancellable);
                    self.imports.remove(&request);
                    let reason = RefusalReason::Draining;
                    let refusal = Refusal::may_have_run(reason, RETRY_AFTER, detail);
                    outputs.push(self.reply(inbound, AgentReply::Refused(refusal), true));
                    if cancellable {
                        outputs.push(Output::Effect(EngineEffect::Cancel(request)));
                    }
                }
                WorkPhase::Detached | WorkPhase::Cancelling { .. } => {}
            }
        }
        outputs
    }

    fn log_open(&self, now: Timestamp, since: Timestamp, at: &str) {
        for allocation in self.ledger.allocations() {
            log::info!(
                "step=open-work request={} at={at} came_ms={} after_signal_ms={} waits_for={}",
                allocation.request,
                (now - allocation.since).as_millis(),
                (allocation.since - since).as_millis(),
                self.waits_for(allocation),
            );
        }
    }

    fn waits_for(&self, allocation: &Allocation) -> &'static str {
        match allocation.phase {
            WorkPhase::Reserved { .. } => "prefill",
            WorkPhase::Running if self.prefills.is_waiting(allocation.request) => "queue",
            WorkPhase::Running => "run",
            WorkPhase::Detached => "end",
            WorkPhase::Cancelling { .. } => "cancel",
        }
    }

    /// Returns the requests with allocated capacity, if this agent is shutting down.
    pub(super) fn open_requests(&self) -> BTreeSet<RequestId> {
        if !self.shutdown.is_requested() {
            return BTreeSet::new();
        }
        self.ledger.allocations().map(|a| a.request).collect()
    }

    /// Logs which of the requests no longer have allocated capacity, and which remain at the end.
    pub(super) fn log_ends(&self, now: Timestamp, open: BTreeSet<RequestId>) {
        let Some(since) = self.shutdown.since() else { return };
        let after = (now - since).as_millis();
        for request in open.into_iter().filter(|r| !self.ledger.contains(*r)) {
            log::info!("step=end-work request={request} shutdown_ms={after} outcome=freed");
        }
        if self.shutdown.phase() == Phase::End {
            for allocation in self.ledger.allocations() {
                let waits_for = self.waits_for(allocation);
                log::warn!(
                    "step=end-work request={} shutdown_ms={after} outcome=left \
                     waits_for={waits_for}",
                    allocation.request,
                );
            }
        }
    }
}
