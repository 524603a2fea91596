//! Proof that a connection leads to the start of an engine that is listed, before a stream of one
//! software version goes on there.
//!
//! An engine may start again in place, under its name, with another version, and be listed with the
//! former one for a while. Its report names its start. A connection leads to the same start for as
//! long as it is open, so the report, the reservation and the run go over one connection.

use crate::gateway::fleet::{EndpointKey, Job};
use crate::gateway::protocol::SideRequest;
use crate::gateway::reserve::HOLD_TTL;
use crate::gateway::{CallerId, Gateway, PeerId};
use crate::h1::HttpEffect;
use crate::model::{BootId, Timestamp};

impl Gateway {
    /// Returns whether a call may run at an engine only over a connection that is known to lead to
    /// its listed start: its stream has begun, in this call or in the one that it takes up. The list
    /// may name one version only because the gateway stood still or could not reach control.
    pub(in crate::gateway) fn needs_proof(&self, caller: CallerId, endpoint: EndpointKey) -> bool {
        let bound = |c: &crate::gateway::call::Call| c.software.is_some();
        let known = |e: &crate::gateway::fleet::Endpoint| e.listed.0 != BootId::default();
        self.is_engine_call(caller)
            && self.calls.get(&caller).is_some_and(bound)
            && self.fleet.get(endpoint).is_some_and(known)
    }

    /// Handles a report that was requested before a reservation: requests the reservation over the
    /// same connection, unless the engine has started again. Returns whether that was sent. An
    /// engine that does not name its start is taken for the listed one.
    pub(in crate::gateway) fn start_named(&mut self, now: Timestamp, peer: PeerId) -> bool {
        let Some(conn) = self.fleet.conn(peer) else { return false };
        let Job::Hold(caller) = conn.job else { return false };
        let endpoint = conn.endpoint;
        let content = std::mem::take(&mut conn.content);
        let named = self.protocol.read_report(&content).and_then(|r| r.boot);
        let Some(target) = self.fleet.get(endpoint) else { return false };
        let (listed, address) = (target.listed.0, target.address);
        if let Some(boot) = named.filter(|boot| *boot != listed) {
            log::info!("step=proof endpoint={} listed={} named={}", target.name, listed.0, boot.0);
            return false;
        }
        let shape = self.shape(caller);
        let work = self.calls.get(&caller).and_then(|c| c.info.work.as_ref());
        let (Some(shape), Some(work)) = (shape, work) else { return false };
        let tokens = work.min_free_tokens().min(shape.tokens);
        let request = SideRequest::Hold { tokens, ttl: HOLD_TTL };
        let bytes = self.protocol.write_side(address, &request);
        if let Some(conn) = self.fleet.conn(peer) {
            (conn.proven, conn.since, conn.status) = (Some(listed), now, 0);
        }
        self.effect(HttpEffect::Send { peer, bytes });
        if let Some(target) = self.fleet.get_mut(endpoint) {
            target.notices.limit.spend(now, 1);
        }
        true
    }
}
