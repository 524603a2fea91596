//! Sends stage orders to engines, according to [`Stages::plan`](super::stages::Stages::plan), while
//! the control member of this process is the leader.

use std::time::Duration;

use super::Api;
use super::stages::{STARTUP_WINDOW, STEADY_WINDOW, StageOrder, TAKEOVER_DELAY};
use crate::control::config::Revised;
use crate::h1::{HttpEffect, HttpInput, PeerId};
use crate::link;
use crate::link::message::{ControlRequest, Envelope, Leadership};
use crate::model::{ExchangeId, Timestamp};
use crate::role::Output;

/// The interval between two requests for the present leader.
const LEADER_INTERVAL: Duration = Duration::from_millis(500);
/// How long after its first leader was elected a fleet counts as starting.
const STARTUP_DURATION: Duration = Duration::from_millis(8_000);
/// How long the API waits for an engine's answer to an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The status with which an engine rejects an order because it has seen a newer fence.
const SUPERSEDED: u16 = 412;

/// An order whose answer has not been received yet.
#[derive(Debug)]
pub(super) struct Order {
    pub(super) order: StageOrder,
    term: u64,
    pub(super) since: Timestamp,
    status: u16,
}

impl Api {
    /// Requests the present leader from the control member of this process, if that is due.
    pub(super) fn request_leader(&mut self, now: Timestamp) {
        if now < self.next_leader_request {
            return;
        }
        self.next_leader_request = now + LEADER_INTERVAL;
        self.exchanges += 1;
        let exchange = ExchangeId(self.exchanges);
        self.leader_request = Some(exchange);
        let body = link::Request::Control(ControlRequest::Lead);
        let envelope = Envelope { revised: Revised::default(), body };
        self.outputs.push(Output::Open { exchange, peer: self.settings.own, envelope });
    }

    /// Sends the orders that are due, if the control member of this process leads and no earlier
    /// leader's orders can still take effect.
    pub(super) fn send_due_orders(&mut self, now: Timestamp, leadership: Option<Box<Leadership>>) {
        let Some(lead) = leadership else { return };
        let idle = self.settings.stages.share == 0 || self.shutdown.is_requested();
        if idle || lead.succeeds && lead.age < TAKEOVER_DELAY || self.superseded >= lead.term {
            return;
        }
        let starts = !lead.succeeds && lead.age < STARTUP_DURATION;
        let window = if starts { STARTUP_WINDOW } else { STEADY_WINDOW };
        for order in self.stages.plan(now, &lead.endpoints, self.settings.stages, window) {
            self.send_order(now, lead.term, order);
        }
    }

    fn send_order(&mut self, now: Timestamp, term: u64, order: StageOrder) {
        log::info!(
            "step=order endpoint={} stage={} fence={term} outcome=sent",
            order.endpoint,
            order.kind.as_str(),
        );
        self.last_peer += 1;
        let peer = PeerId(self.last_peer);
        let bytes = self.protocol.write_order(&order, &self.settings.name, term);
        let dial = HttpEffect::Dial { peer, address: order.address };
        self.outputs.push(Output::Effect(dial));
        self.outputs.push(Output::Effect(HttpEffect::Send { peer, bytes }));
        self.orders.insert(peer, Order { order, term, since: now, status: 0 });
    }

    /// Handles input from a connection that carries an order.
    pub(super) fn order_input(&mut self, now: Timestamp, input: HttpInput) {
        match input {
            HttpInput::Answer { peer, head } => {
                if let Some(order) = self.orders.get_mut(&peer) {
                    order.status = head.status;
                }
            }
            HttpInput::End { peer, .. } => {
                self.outputs.push(Output::Effect(HttpEffect::HangUp { peer }));
                self.order_ended(now, peer);
            }
            HttpInput::Lost { peer, .. } => self.order_ended(now, peer),
            HttpInput::Request { .. }
            | HttpInput::CallerGone { .. }
            | HttpInput::Connected { .. }
            | HttpInput::Data { .. } => {}
            HttpInput::Reload => log::info!("step=reload"),
        }
    }

    /// Handles the answer to an order, or its loss: an order without an answer may still be
    /// executed.
    fn order_ended(&mut self, now: Timestamp, peer: PeerId) {
        let Some(ended) = self.orders.remove(&peer) else { return };
        log::info!(
            "step=order endpoint={} stage={} fence={} status={} ms={}",
            ended.order.endpoint,
            ended.order.kind.as_str(),
            ended.term,
            ended.status,
            (now - ended.since).as_millis(),
        );
        match ended.status {
            0 | 200 | 202 => {}
            SUPERSEDED => self.superseded = ended.term,
            _ => self.stages.refused(&ended.order.endpoint),
        }
    }

    /// Closes the connections of orders whose answers have timed out.
    pub(super) fn expire_orders(&mut self, now: Timestamp) {
        let late = |o: &Order| now - o.since > ORDER_TIMEOUT;
        let peers: Vec<PeerId> =
            self.orders.iter().filter(|(_, o)| late(o)).map(|(peer, _)| *peer).collect();
        peers.into_iter().for_each(|peer| self.give_up_order(now, peer));
    }

    /// Closes the connection of an order, whose answer is awaited no longer.
    pub(super) fn give_up_order(&mut self, now: Timestamp, peer: PeerId) {
        self.outputs.push(Output::Effect(HttpEffect::HangUp { peer }));
        self.order_ended(now, peer);
    }
}
