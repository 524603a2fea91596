//! The shutdown of an entry: all calls get a final answer before it ends.

use super::{CLEANUP_TIMEOUT, CallerEffect, Entry, Outputs, RETRY_AFTER, Terminal, claim, refused};
use crate::model::{CallId, Refusal, RefusalReason, Timestamp};
use crate::role::Output;
use crate::shutdown::Phase;

impl Entry {
    /// Records that the process was signalled.
    pub(super) fn request_shutdown(&mut self, now: Timestamp, since: Timestamp) {
        if !self.shutdown.is_requested() {
            self.shutdown.request(since);
            self.log_open(now, since, "signal");
        }
    }

    /// Enters the phase of the shutdown that is due.
    pub(super) fn advance_shutdown(&mut self, now: Timestamp) -> Outputs {
        let Some(since) = self.shutdown.since() else { return Vec::new() };
        if self.shutdown.phase() == Phase::End {
            return Vec::new();
        }
        let open = self.open_work(now);
        if self.shutdown.advance(now, open) != Phase::Refuse {
            return Vec::new();
        }
        self.log_open(now, since, "grace-end");
        let outputs = self.end_calls(now);
        self.shutdown.advance(now, 0);
        outputs
    }

    /// Returns when the shutdown is due although nothing else happens.
    pub(super) fn next_shutdown_wake(&self) -> Option<Timestamp> {
        let idle = self.idle_since.filter(|_| self.shutdown.phase() == Phase::Drain);
        let cleanup = idle.map(|since| since + CLEANUP_TIMEOUT);
        self.shutdown.next_wake().into_iter().chain(cleanup).min()
    }

    /// Returns how much keeps a shutdown from ending: calls, and for a time exchanges that no call
    /// needs any more.
    fn open_work(&mut self, now: Timestamp) -> usize {
        let calls = self.runs.len() + usize::from(!self.shared.admission.is_empty());
        if calls > 0 {
            return calls;
        }
        let idle_since = *self.idle_since.get_or_insert(now);
        if now < idle_since + CLEANUP_TIMEOUT { self.shared.owners.len() } else { 0 }
    }

    /// Refuses the calls that wait, and ends the runs.
    fn end_calls(&mut self, now: Timestamp) -> Outputs {
        let mut outputs = Vec::new();
        for call in self.shared.admission.waiting() {
            let Some(ticket) = self.shared.admission.remove(call) else { continue };
            self.limits.release(&ticket.call.tenant);
            let detail = "the entry shut down before the call was started";
            let refusal = Refusal::not_run(RefusalReason::Draining, RETRY_AFTER, detail);
            outputs.extend(refused(call, refusal, claim::claim_key(&ticket.call).is_some()));
        }
        for call in self.runs.keys().copied().collect::<Vec<CallId>>() {
            outputs.extend(self.with_run(call, |run, shared| run.shut_down(shared, now)));
        }
        outputs
    }

    fn log_open(&self, now: Timestamp, since: Timestamp, at: &str) {
        let queued = self.shared.admission.waiting();
        let queued = queued.into_iter().map(|c| (c, self.meter.arrival(c).unwrap_or(now), "queue"));
        let runs = self.runs.iter().map(|(c, s)| (*c, s.arrived, s.run.waits_for()));
        for (call, arrived, waits_for) in queued.chain(runs) {
            log::info!(
                "step=open-call id={call} at={at} came_ms={} after_signal_ms={} \
                 waits_for={waits_for}",
                (now - arrived).as_millis(),
                (arrived - since).as_millis(),
            );
        }
    }

    /// Logs the calls that the outputs of a step end, if this entry is shutting down.
    pub(super) fn log_ends(&self, now: Timestamp, outputs: &Outputs) {
        let Some(since) = self.shutdown.since() else { return };
        for output in outputs {
            let Output::Effect(CallerEffect::Finish { call, outcome }) = output else { continue };
            let outcome = match outcome {
                Terminal::Refused(refusal) => refusal.reason.as_str(),
                Terminal::Generated { .. } | Terminal::Answered(_) => "answered",
            };
            let after = (now - since).as_millis();
            log::info!("step=end id={call} outcome={outcome} shutdown_ms={after}");
        }
    }
}
