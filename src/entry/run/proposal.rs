//! One request on its way to control, sent again until control answers.

use std::net::SocketAddr;
use std::time::Duration;

use super::super::{Outputs, Shared};
use crate::link::message::{ControlRequest, Request};
use crate::model::{CallId, ExchangeId, Timestamp};
use crate::role::Output;

/// How long a member may take to answer before the next one is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The time before a request goes to another member after one refused it.
const RESEND_INTERVAL: Duration = Duration::from_millis(25);

/// A request to control.
#[derive(Debug)]
pub(super) struct Proposal {
    call: CallId,
    request: ControlRequest,
    open: Option<(ExchangeId, SocketAddr)>,
    /// When it was sent for the first time.
    pub(super) since: Timestamp,
    resend_at: Timestamp,
}

impl Proposal {
    /// Sends a request.
    pub(super) fn start(
        shared: &mut Shared,
        now: Timestamp,
        call: CallId,
        request: ControlRequest,
    ) -> (Proposal, Outputs) {
        let mut proposal = Proposal { call, request, open: None, since: now, resend_at: now };
        let outputs = proposal.send(shared, now);
        (proposal, outputs)
    }

    /// Returns whether this is its exchange.
    pub(super) fn is(&self, exchange: ExchangeId) -> bool {
        self.open.is_some_and(|(e, _)| e == exchange)
    }

    /// Returns when it must be sent again.
    pub(super) fn next_wake(&self) -> Timestamp {
        self.resend_at
    }

    /// Sends it again if it is time.
    pub(super) fn wake(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        if now < self.resend_at {
            return Vec::new();
        }
        let mut outputs = Vec::new();
        if let Some((exchange, peer)) = self.open.take() {
            shared.proposer.advance_past(peer);
            outputs.extend([shared.reset(exchange), Output::Redial { peer }]);
        }
        outputs.extend(self.send(shared, now));
        outputs
    }

    /// Takes the loss of the exchange.
    pub(super) fn closed(&mut self, shared: &mut Shared, now: Timestamp) {
        if let Some((_, peer)) = self.open.take() {
            shared.proposer.advance_past(peer);
        }
        self.resend_at = now + RESEND_INTERVAL;
    }

    /// Takes the word of a member that does not lead.
    pub(super) fn redirect(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        leader: Option<SocketAddr>,
    ) {
        if let Some((exchange, peer)) = self.open.take() {
            shared.remove_exchange(exchange);
            shared.proposer.redirect(peer, leader);
        }
        self.resend_at = now + RESEND_INTERVAL;
    }

    /// Gives it up; control may still take what was sent.
    pub(super) fn cancel(&mut self, shared: &mut Shared) -> Outputs {
        self.open.take().map(|(exchange, _)| shared.reset(exchange)).into_iter().collect()
    }

    fn send(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        self.resend_at = now + ANSWER_TIMEOUT;
        let Some(peer) = shared.proposer.target() else { return Vec::new() };
        let (exchange, open) = shared.open(self.call, peer, Request::Control(self.request.clone()));
        self.open = Some((exchange, peer));
        vec![open]
    }
}
