//! What a gateway follows of control: the endpoint list and the routing table.

use std::sync::Arc;

use super::Gateway;
use crate::h1::HttpEffect;
use crate::link::message::{Reply, Request};
use crate::model::{ExchangeId, InboundId, Timestamp};
use crate::role::Output;
use crate::routes::RouteTable;

impl Gateway {
    /// Sends the heartbeats to control that are due.
    pub(super) fn follow(&mut self, now: Timestamp) {
        let exchanges = &mut self.exchanges;
        let mut next = || {
            *exchanges += 1;
            ExchangeId(*exchanges)
        };
        let outputs = self.follower.wake(now, None, None, &mut next);
        self.outputs.extend(outputs);
        self.apply_updates(now);
    }

    /// Takes a notice of control, the only request that a gateway is sent over the link.
    pub(super) fn requested(&mut self, now: Timestamp, inbound: InboundId, request: &Request) {
        let Request::Notice(notice) = request else { return };
        self.follower.noticed(now, notice);
        let envelope = self.follower.envelope(Reply::Noticed);
        self.outputs.push(Output::Reply { inbound, envelope, last: true });
    }

    /// Applies the endpoint list and the routing table that the follower has received.
    pub(super) fn apply_updates(&mut self, now: Timestamp) {
        if let Some(listed) = self.follower.changed_endpoints(now) {
            let open = listed.values().filter(|e| !e.draining).count();
            if (listed.len(), open) != self.listed {
                self.listed = (listed.len(), open);
                log::info!("step=endpoints listed={} open={open}", listed.len());
            }
            self.versions.listed(now, listed.values().map(|e| (&*e.pool, &*e.software)));
            self.update_shared(now);
            let restarted = self.fleet.restarted(&listed);
            let gateways = self.follower.sharers(now);
            for peer in self.fleet.update(now, &listed, gateways) {
                self.effect(HttpEffect::HangUp { peer });
            }
            self.correct_versions(now, &restarted);
        }
        if let Some(document) = self.follower.new_document() {
            match self.tables.read_table(&document.text) {
                Ok(table) => {
                    self.apply_table(table);
                    self.follower.document_in_force(self.table.version());
                }
                Err(error) if self.follower.document_refused(now, document.version) => {
                    log::error!("step=table version={} error=\"{error}\"", document.version);
                }
                Err(_) => {}
            }
        }
        self.confirm_limits(now);
        if !self.was_confirmed && self.is_certain(now) {
            self.was_confirmed = true;
            log::info!("step=confirm version={}", self.table.version());
        }
    }

    /// Returns whether control confirms that the routing table is the newest one. Otherwise a newer
    /// one may allow what this one doesn't.
    pub(super) fn is_certain(&self, now: Timestamp) -> bool {
        self.certain_until(now).is_some()
    }

    fn certain_until(&self, now: Timestamp) -> Option<Timestamp> {
        let until = self.follower.document_confirmed_until(now);
        until.filter(|_| self.table.version() > 0)
    }

    /// Says until when the limits on callers' requests, which the table contains, are the newest.
    fn confirm_limits(&mut self, now: Timestamp) {
        let until = self.certain_until(now).unwrap_or_default();
        if self.limits_until != Some(until) {
            self.limits_until = Some(until);
            self.effect(HttpEffect::ConfirmLimits { until });
        }
    }

    pub(super) fn apply_table(&mut self, table: RouteTable) {
        if table.version() <= self.table.version() {
            return;
        }
        log::info!("step=table version={} before={}", table.version(), self.table.version());
        self.effect(HttpEffect::Limit(*table.limits()));
        self.usual_timeouts.retain(|name, _| table.routes().any(|r| r.name == *name));
        self.stream_times.retain(|name, _| table.routes().any(|r| r.name == *name));
        self.table = Arc::new(table);
        self.apply_quotas();
    }
}
