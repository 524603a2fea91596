//! Reservations of capacity at decode endpoints: their requests and what comes of them.

use std::time::Duration;

use super::call::{Reservation, Stage};
use super::fleet::{EndpointKey, Job, Usage};
use super::protocol::SideRequest;
use super::{CallerId, Gateway, PeerId};
use crate::control::dispatch::rooms::RunEnd;
use crate::entry::health::Verdict;
use crate::model::Timestamp;

/// How long an engine keeps a reservation, and protects the call after its start.
pub(super) const HOLD_TTL: Duration = Duration::from_millis(2_000);
/// How long a reservation request may take.
pub(super) const HOLD_TIMEOUT: Duration = Duration::from_millis(250);

impl Gateway {
    /// Requests a reservation for a call at a decode endpoint; returns whether the request was
    /// sent.
    pub(super) fn hold_at(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        endpoint: EndpointKey,
    ) -> bool {
        let Some((peer, decode)) = self.request_hold(now, caller, endpoint) else { return false };
        let Some(call) = self.calls.get_mut(&caller) else { return false };
        call.reply_deadline = now + HOLD_TIMEOUT;
        call.stage = Stage::Hold { peer, decode };
        true
    }

    /// Sends a reservation request for a call and counts the capacity; returns the connection that
    /// carries it, or `None` if the endpoint takes no request now.
    pub(super) fn request_hold(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        endpoint: EndpointKey,
    ) -> Option<(PeerId, Reservation)> {
        let shape = self.shape(caller)?;
        let work = self.calls.get(&caller)?.info.work.as_ref()?;
        let usage = Usage { slots: 1, tokens: work.mean_tokens() };
        let tokens = work.min_free_tokens().min(shape.tokens);
        let checks = self.needs_proof(caller, endpoint);
        let hold = SideRequest::Hold { tokens, ttl: HOLD_TTL };
        let request = if checks { SideRequest::Report } else { hold };
        let peer = self.send_side_request(now, endpoint, Job::Hold(caller), &request)?;
        if let Some(conn) = self.fleet.conn(peer) {
            conn.checks = checks;
        }
        if let Some(target) = self.fleet.get_mut(endpoint) {
            target.add_usage(now, usage);
        }
        Some((peer, Reservation { endpoint, usage }))
    }

    /// Handles the answer to a reservation request; `hold` is the name of the reservation if it was
    /// granted.
    pub(super) fn hold_answered(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        hold: Option<Box<str>>,
    ) {
        if self.spare_answered(now, caller, hold.as_deref()) {
            return;
        }
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let stage = std::mem::replace(&mut call.stage, Stage::Waiting);
        let Stage::Hold { decode, .. } = stage else { return };
        self.log_hold(now, caller, &decode, hold.is_some());
        let Some(hold) = hold else {
            self.report_run_end(caller, RunEnd::Refused);
            self.hold_refused(now, &decode);
            self.start_elsewhere(now, caller, decode.endpoint);
            return;
        };
        self.hold_granted(now, caller, decode, hold);
    }

    /// Logs the answer to a reservation request.
    pub(super) fn log_hold(
        &self,
        now: Timestamp,
        caller: CallerId,
        decode: &Reservation,
        granted: bool,
    ) {
        let Some(call) = self.calls.get(&caller) else { return };
        let Some(endpoint) = self.fleet.get(decode.endpoint) else { return };
        let used = endpoint.all_usage(now);
        log::info!(
            "step=hold id={} endpoint={} outcome={} late={} tokens={} output={} \
             used_tokens={} used_slots={} report_age_ms={} left_ms={}",
            call.info.id,
            endpoint.name,
            if granted { "granted" } else { "refused" },
            call.late,
            decode.usage.tokens,
            call.info.work.as_ref().map_or(0, |w| w.output),
            used.tokens,
            used.slots,
            endpoint.report_age(now),
            call.remaining(now).as_millis(),
        );
    }

    /// Releases the capacity counted for a reservation that its endpoint has refused.
    pub(super) fn hold_refused(&mut self, now: Timestamp, decode: &Reservation) {
        self.release(now, decode.endpoint, decode.usage);
        if let Some(endpoint) = self.fleet.get_mut(decode.endpoint) {
            endpoint.mark_full(now);
        }
    }

    /// Handles a reservation request that timed out or lost its connection.
    pub(super) fn hold_lost(&mut self, now: Timestamp, caller: CallerId, connected: bool) {
        if self.spare_lost(now, caller, connected) {
            return;
        }
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let Stage::Hold { decode, .. } = std::mem::replace(&mut call.stage, Stage::Waiting) else {
            return;
        };
        self.report_run_end(caller, RunEnd::Silent);
        self.hold_failed(now, &decode, connected);
        self.start_elsewhere(now, caller, decode.endpoint);
    }

    /// Records that no connection to an endpoint was made to reserve a place for a call. If its run was
    /// interrupted there, that endpoint has ended, and the run does not count.
    pub(super) fn hold_unreached(&mut self, caller: CallerId, endpoint: EndpointKey) {
        if self.is_resuming(caller, endpoint)
            && let Some(call) = self.calls.get_mut(&caller)
        {
            call.sends = call.sends.saturating_sub(1);
        }
    }

    /// Starts or queues a call again that got no reservation at an endpoint. One that was to resume its
    /// interrupted run there needs a plan, and credit, for another endpoint.
    fn start_elsewhere(&mut self, now: Timestamp, caller: CallerId, endpoint: EndpointKey) {
        if self.is_resuming(caller, endpoint) {
            self.resumption_failed(now, caller, endpoint);
        } else {
            self.start_or_requeue(now, caller);
        }
    }

    /// Releases the capacity counted for a reservation whose request got no answer.
    pub(super) fn hold_failed(&mut self, now: Timestamp, decode: &Reservation, connected: bool) {
        if let Some(endpoint) = self.fleet.get_mut(decode.endpoint) {
            let verdict = if connected { Verdict::Failed } else { Verdict::Silent };
            endpoint.health.judge(now, verdict);
        }
        self.hold_refused(now, decode);
    }
}
