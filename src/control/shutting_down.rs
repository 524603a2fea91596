//! The shutdown of a control member: open proposals get a reply, and its vote is taken if the group
//! has a spare one, before it ends.

use super::replica::LogIndex;
use super::{Control, Outputs};
use crate::model::Timestamp;
use crate::role::Output;
use crate::shutdown::Phase;

impl Control {
    /// Records that the process was signalled.
    pub(super) fn request_shutdown(&mut self, now: Timestamp, since: Timestamp) {
        if !self.shutdown.is_requested() {
            self.shutdown.request(since);
            self.log_proposals(now, since, "signal");
        }
    }

    /// Enters the phase of the shutdown that is due.
    ///
    /// A proposal that is still open then may be committed later, so its reply says that its
    /// outcome is unknown.
    pub(super) fn advance_shutdown(&mut self, now: Timestamp) -> Outputs {
        let Some(since) = self.shutdown.since() else { return Vec::new() };
        if self.shutdown.phase() == Phase::End {
            return Vec::new();
        }
        let mut outputs = Vec::new();
        if self.proposals.is_empty() {
            outputs.extend(self.leave(now));
        }
        if self.shutdown.advance(now, self.open_work(now)) == Phase::Refuse {
            self.log_proposals(now, since, "grace-end");
            outputs.extend(self.interrupt());
            outputs.extend(self.leave(now));
        }
        if self.shutdown.advance(now, self.open_work(now)) == Phase::End {
            outputs.push(Output::Stopped);
        }
        outputs
    }

    /// Lets the replica hand over and give notice that it leaves.
    fn leave(&mut self, now: Timestamp) -> Outputs {
        if self.failed {
            return Vec::new();
        }
        let actions = self.replica.leave(now);
        self.execute(actions)
    }

    /// Returns how much must end before this member does: its proposals, and its vote if the group
    /// is about to take it.
    fn open_work(&self, now: Timestamp) -> usize {
        let ends = self.shutdown.phase() >= Phase::Refuse;
        let votes = !ends && !self.failed && !self.replica.has_left(now);
        self.proposals.len() + usize::from(votes)
    }

    fn log_proposals(&self, now: Timestamp, since: Timestamp, at: &str) {
        for (index, proposal) in &self.proposals {
            log::info!(
                "step=open-proposal index={} at={at} came_ms={} after_signal_ms={} \
                 waits_for=commit",
                index.0,
                (now - proposal.since).as_millis(),
                (proposal.since - since).as_millis(),
            );
        }
    }

    /// Logs how a proposal ended, if this member is shutting down.
    pub(super) fn log_end(&self, index: LogIndex, outcome: &str) {
        if self.shutdown.is_requested() {
            log::info!("step=end-proposal index={} outcome={outcome}", index.0);
        }
    }
}
