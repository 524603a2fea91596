//! Requests of calls as they are sent to endpoints.

use super::credit::Payment;
use super::fleet::{self, EndpointKey, Job};
use super::protocol::{self, SendInfo};
use super::{CallerId, Gateway, PeerId};
use crate::h1::HttpEffect;
use crate::model::Timestamp;
use crate::report::observation::Observation;
use crate::role::Output;

impl Gateway {
    /// Sends a call to an endpoint over an idle connection, or over a new one if none can be
    /// reused. Sends nothing if the endpoint wants no new request or the call has no credit for
    /// another request.
    pub(super) fn send(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        endpoint: EndpointKey,
        kind: protocol::SendKind,
    ) -> Option<PeerId> {
        let call = self.calls.get_mut(&caller)?;
        let reserved = call.hold.as_ref().is_some_and(|(at, _)| *at == endpoint);
        // A reservation has paid for the run that follows it.
        let paid = reserved && kind != protocol::SendKind::Prefill;
        let accepts = |e: &&fleet::Endpoint| match paid {
            true => e.notices.keeps_reservations(now),
            false => e.notices.accepts_requests(now),
        };
        let target = self.fleet.get(endpoint).filter(accepts)?;
        let address = target.address;
        let proven = kind != protocol::SendKind::Prefill && self.needs_proof(caller, endpoint);
        if proven && self.fleet.proven(now, endpoint).is_none() {
            return None;
        }
        let call = self.calls.get_mut(&caller)?;
        let Some(payment) = call.credit.spend() else {
            log::error!("step=send id={} error=\"the request was not charged\"", call.info.id);
            return None;
        };
        if let Some(budget) = self.budgets.get_mut(&call.service)
            && payment == Payment::Charged
        {
            budget.sent(now, &self.settings.budget);
        }
        let info = SendInfo {
            remaining: call.remaining(now),
            endpoint: &target.name,
            after: call.delivered.event,
            hold: match &call.hold {
                Some((at, hold)) if *at == endpoint && kind != protocol::SendKind::Prefill => {
                    Some(&**hold)
                }
                _ => None,
            },
            account: call.account().map(|account| &*account.name),
            kind,
        };
        let bytes = self.protocol.write_call(&call.request, &info);
        let once = !call.is_repeatable();
        let job = Job::Call(caller);
        let reused = match proven {
            true => self.fleet.reuse_proven(now, endpoint, job),
            false => self.fleet.reuse(now, endpoint, job, once),
        };
        let (peer, fresh) = match reused {
            Some(peer) => (peer, false),
            None => (self.fleet.open(now, endpoint, job), true),
        };
        if fresh {
            self.effect(HttpEffect::Dial { peer, address });
        }
        self.effect(HttpEffect::Send { peer, bytes });
        if !paid && let Some(target) = self.fleet.get_mut(endpoint) {
            target.notices.limit.spend(now, 1);
        }
        self.count_send(caller);
        self.count_crossing(caller, endpoint);
        Some(peer)
    }

    /// Counts whether a request of a call was sent to an endpoint of this failure domain.
    fn count_crossing(&mut self, caller: CallerId, endpoint: EndpointKey) {
        let Some(call) = self.calls.get(&caller) else { return };
        let Some(local) = self.fleet.get(endpoint).map(|e| e.local) else { return };
        let service = call.service.clone();
        self.outputs.push(Output::Observe(Observation::Crossing { service, local }));
    }

    /// Counts a request of a call that was sent to an endpoint.
    pub(super) fn count_send(&mut self, caller: CallerId) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let service = call.service.clone();
        let order = call.record_send();
        self.outputs.push(Output::Observe(Observation::Send { service, order }));
    }
}
