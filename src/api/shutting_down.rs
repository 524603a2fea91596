//! The shutdown of an API: open calls get their answers, and orders are written, before it ends.

use super::protocol::ApiReply;
use super::{Api, RETRY_AFTER, Work};
use crate::h1::{CallerId, HttpEffect, PeerId};
use crate::model::Timestamp;
use crate::role::Output;
use crate::shutdown::Phase;

impl Api {
    /// Records that the process was signalled.
    pub(super) fn request_shutdown(&mut self, now: Timestamp, since: Timestamp) {
        if !self.shutdown.is_requested() {
            self.shutdown.request(since);
            self.log_open(now, since, "signal");
        }
    }

    /// Enters the phase of the shutdown that is due.
    pub(super) fn advance_shutdown(&mut self, now: Timestamp) {
        let Some(since) = self.shutdown.since() else { return };
        if self.shutdown.phase() == Phase::End {
            return;
        }
        if self.shutdown.advance(now, self.open_work()) == Phase::Refuse {
            self.log_open(now, since, "grace-end");
            self.answer_all(now);
        }
        if self.shutdown.advance(now, self.open_work()) == Phase::End {
            let until = self.shutdown.close_time().unwrap_or(now);
            self.outputs.push(Output::Effect(HttpEffect::CloseAll { until }));
            self.outputs.push(Output::Stopped);
        }
    }

    fn open_work(&self) -> usize {
        self.pending.len() + self.orders.len()
    }

    /// Answers all open calls that control is unavailable, since their commands may still be
    /// committed, and gives up the orders without an answer.
    fn answer_all(&mut self, now: Timestamp) {
        for caller in self.pending.keys().copied().collect::<Vec<CallerId>>() {
            self.finish(caller, &ApiReply::Unavailable(RETRY_AFTER));
        }
        for peer in self.orders.keys().copied().collect::<Vec<PeerId>>() {
            self.give_up_order(now, peer);
        }
    }

    fn log_open(&self, now: Timestamp, since: Timestamp, at: &str) {
        for (caller, pending) in &self.pending {
            let waits_for = match pending.work {
                Work::Commit(_) => "commit",
                Work::Announce(_) => "registry",
            };
            log::info!(
                "step=open-call id={} at={at} came_ms={} after_signal_ms={} \
                 waits_for={waits_for} tries={}",
                caller.0,
                (now - pending.since).as_millis(),
                (pending.since - since).as_millis(),
                pending.tries,
            );
        }
        for order in self.orders.values() {
            log::info!(
                "step=open-order endpoint={} at={at} came_ms={} after_signal_ms={} \
                 waits_for=answer",
                order.order.endpoint,
                (now - order.since).as_millis(),
                (order.since - since).as_millis(),
            );
        }
    }

    /// Logs how a call ended, if this API is shutting down.
    pub(super) fn log_end(&self, caller: CallerId, reply: &ApiReply) {
        if self.shutdown.is_requested() {
            let outcome = match reply {
                ApiReply::Unavailable(_) => "unavailable",
                _ => "answered",
            };
            log::info!("step=end id={} outcome={outcome}", caller.0);
        }
    }
}
