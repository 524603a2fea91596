//! The shutdown of a control member: open proposals get a reply before it ends.

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
        if self.shutdown.advance(now, self.proposals.len()) == Phase::Refuse {
            self.log_proposals(now, since, "grace-end");
            outputs = self.interrupt();
        }
        if self.shutdown.advance(now, self.proposals.len()) == Phase::End {
            outputs.push(Output::Stopped);
        }
        outputs
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
