//! What gateways tell control members of the origins of streams.

use std::time::Duration;

use crate::control::origins::{ORIGIN_TTL, Origin};
use crate::gateway::{CallerId, Gateway};
use crate::link::message::ControlRequest;
use crate::model::Timestamp;

/// How long the origins of streams are collected before they are sent to control.
const RECORD_INTERVAL: Duration = Duration::from_millis(50);

impl Gateway {
    /// Records which software version began the stream of a call, when its first event is delivered.
    pub(in crate::gateway) fn record_origin(&mut self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get(&caller) else { return };
        let Some(software) = call.software.clone().filter(|_| call.is_repeatable()) else { return };
        let (id, service) = (call.info.id.clone(), call.service.clone());
        let origin = Origin { call: id, service, software };
        self.origins.record(now, vec![origin.clone()]);
        self.follower.share_origin(now, origin.clone());
        self.note_unproven(now, caller, origin.clone());
        if !self.shared_services.contains(&origin.service) {
            return;
        }
        if self.unsent_origins.is_empty() {
            self.next_record = now + RECORD_INTERVAL;
        }
        self.unsent_origins.push(origin);
    }

    /// Determines the services whose origins are sent to control: those that have had several
    /// versions lately. With one version a stream may go on anywhere, so nothing has to be known.
    pub(in crate::gateway) fn update_shared(&mut self, now: Timestamp) {
        let mixed = self.versions.mixed(now, ORIGIN_TTL);
        let known = self.origins.all(now);
        let new = |origin: &Origin| {
            mixed.contains(&origin.service) && !self.shared_services.contains(&origin.service)
        };
        self.unsent_origins.extend(known.into_iter().filter(new));
        self.shared_services = mixed;
    }

    /// Sends the collected origins to all control members, and all of them to members that have
    /// started anew.
    pub(in crate::gateway) fn send_origins(&mut self, now: Timestamp) {
        for member in self.follower.take_restarted() {
            self.outbox.restarted(member);
            self.recount.restarted(member);
            let mut known = self.origins.all(now);
            known.retain(|origin| self.shared_services.contains(&origin.service));
            if !known.is_empty() {
                self.send_to_control(member, ControlRequest::RecordOrigins(known));
            }
        }
        if self.unsent_origins.is_empty() || now < self.next_record {
            return;
        }
        let origins = std::mem::take(&mut self.unsent_origins);
        let members: Vec<_> = self.follower.members().collect();
        for member in members {
            self.send_to_control(member, ControlRequest::RecordOrigins(origins.clone()));
        }
    }
}
