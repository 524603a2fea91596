//! Calls to plain services, which run at one endpoint without prefill and decode stages.

use super::admit::queue::Waiting;
use super::admit::share;
use super::answer;
use super::call::{Attempt, Call, Stage};
use super::fleet::{EndpointKey, Usage};
use super::protocol::SendKind;
use super::reason::EndReason;
use super::{CallerId, Gateway};
use crate::model::Timestamp;

/// The percentage of its remaining time that a call may wait for an endpoint with capacity.
const PLAIN_WAIT_PERCENT: u32 = 50;
/// The percentage of its target that a call may wait and still be answered in time; the rest is for
/// the endpoint.
const IN_TIME_PERCENT: u32 = 35;
/// The capacity that one call uses at an endpoint of a plain service.
const ONE_CALL: Usage = Usage { slots: 1, tokens: 0 };

impl Gateway {
    /// Starts or queues a new call, or refuses it at once if it is not expected to start in time.
    pub(super) fn admit_plain_call(&mut self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get(&caller) else { return };
        let rank = call.rank();
        let service = call.service.clone();
        if self.fleet.pool(&service).all(|(_, e)| !e.accepts_work) {
            self.conclude(now, caller, answer::no_endpoint(), EndReason::NoEndpoint);
            return;
        }
        let waiting = waiting(now, caller, call);
        self.admit(now, rank, waiting);
    }

    /// Sends a call whose attempt failed to another endpoint, or queues it until one has capacity;
    /// returns `false` if there is no other endpoint.
    pub(super) fn retry_plain(&mut self, now: Timestamp, caller: CallerId) -> bool {
        if self.send_plain(now, caller) {
            return true;
        }
        let Some(call) = self.calls.get(&caller) else { return false };
        let mut others = self.fleet.pool(&call.service).filter(|(k, _)| !call.tried.contains(k));
        if !others.any(|(_, e)| e.takes_work(now)) {
            return false;
        }
        let waiting = waiting(now, caller, call);
        let (rank, service) = (call.rank(), call.service.clone());
        self.queues.entry(service).or_default().requeue(rank, waiting);
        true
    }

    /// Returns an endpoint with capacity at which a call was not tried yet.
    pub(super) fn pick_other(&mut self, now: Timestamp, caller: CallerId) -> Option<EndpointKey> {
        let draw = self.draw();
        let call = self.calls.get(&caller)?;
        let (terms, choice) = (self.settings.domains, call.choice());
        // A retry may go anywhere: the endpoints that remain are compared by the crossing.
        let spill = self.spills.get_mut(choice.service).filter(|_| choice.tried.is_empty());
        let leaves = spill.and_then(|spill| spill.leaves(now, terms, draw));
        self.fleet.pick_plain(now, choice, terms, leaves, draw)
    }

    /// Sends a call to an endpoint at which it was not tried yet; returns whether it was sent.
    pub(super) fn send_plain(&mut self, now: Timestamp, caller: CallerId) -> bool {
        let Some(endpoint) = self.pick_other(now, caller) else { return false };
        let Some(call) = self.calls.get(&caller) else { return false };
        if let Some(target) = self.fleet.get(endpoint) {
            log::info!(
                "step=send id={} endpoint={} running={} sends={} left_ms={}",
                call.info.id,
                target.name,
                target.usage.slots,
                call.sends + 1,
                call.remaining(now).as_millis(),
            );
        }
        let Some(peer) = self.send(now, caller, endpoint, SendKind::Whole) else { return false };
        let connected = self.fleet.conn(peer).is_some_and(|c| c.connected);
        let Some(target) = self.fleet.get_mut(endpoint) else { return false };
        target.add_usage(now, ONE_CALL);
        let software = target.software.clone();
        let Some(call) = self.calls.get_mut(&caller) else { return false };
        call.sends += 1;
        let attempt = Attempt::new(peer, endpoint, ONE_CALL, now, connected, software);
        call.stage = Stage::Run { attempt, handoff: None };
        true
    }
}

/// Returns the queue entry of a call, with its wait counted from now.
fn waiting(now: Timestamp, key: CallerId, call: &Call) -> Waiting<CallerId> {
    let target = call.route().map(|r| r.target).unwrap_or_default();
    let until = now + call.remaining(now) * PLAIN_WAIT_PERCENT / 100;
    let in_time = call.arrived + target * IN_TIME_PERCENT / 100;
    let bound = call.software.is_some() || !call.tried.is_empty();
    Waiting { key, in_time: in_time.min(until), until, bound, share: share(call) }
}
