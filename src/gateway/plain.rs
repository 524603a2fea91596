//! Calls to plain services.

use super::answer;
use super::call::{Attempt, Stage};
use super::fleet::Usage;
use super::protocol::SendKind;
use super::{CallerId, Gateway};
use crate::model::Timestamp;

/// What one call holds at the endpoint of a plain service.
const ONE_CALL: Usage = Usage { slots: 1, tokens: 0 };

impl Gateway {
    /// Starts a call that waits for no room, or refuses it at once.
    pub(super) fn start_plain(&mut self, now: Timestamp, caller: CallerId) {
        if !self.send_plain(now, caller) {
            self.conclude(now, caller, answer::no_endpoint());
        }
    }

    /// Sends a call to an endpoint that it was not sent to yet; returns whether there is one.
    pub(super) fn send_plain(&mut self, now: Timestamp, caller: CallerId) -> bool {
        let draw = self.draw();
        let Some(call) = self.calls.get(&caller) else { return false };
        let picked = self.fleet.pick_plain(now, &call.service, &call.tried, draw);
        let Some(endpoint) = picked else { return false };
        if let Some(target) = self.fleet.get(endpoint) {
            log::info!(
                "step=send id={} endpoint={} running={} sends={} left_ms={}",
                call.info.id,
                target.name,
                target.usage.slots,
                call.sends + 1,
                call.left(now).as_millis(),
            );
        }
        let Some(peer) = self.send(now, caller, endpoint, SendKind::Whole) else { return false };
        let connected = self.fleet.conn(peer).is_some_and(|c| c.connected);
        if let Some(target) = self.fleet.get_mut(endpoint) {
            target.began(now, ONE_CALL);
        }
        let Some(call) = self.calls.get_mut(&caller) else { return false };
        call.sends += 1;
        let attempt = Attempt::new(peer, endpoint, ONE_CALL, now, connected);
        call.stage = Stage::Run { attempt, handoff: None };
        true
    }
}
