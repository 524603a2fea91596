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
            let gateways = self.follower.gateways(now);
            for peer in self.fleet.update(now, &listed, gateways) {
                self.effect(HttpEffect::HangUp { peer });
            }
        }
        if let Some(document) = self.follower.new_document() {
            match self.tables.read_table(&document.text) {
                Ok(table) => self.apply_table(table),
                Err(error) => {
                    log::error!("step=table version={} error=\"{error}\"", document.version);
                }
            }
        }
        if !self.confirmed && self.table.version() > 0 && self.follower.is_document_confirmed(now) {
            self.confirmed = true;
            log::info!("step=confirm version={}", self.table.version());
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
    }
}
