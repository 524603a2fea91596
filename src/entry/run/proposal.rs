//! A request to control, which is resent until control answers.

use std::net::SocketAddr;
use std::time::Duration;

use super::super::{Outputs, Shared};
use crate::link::message::{ControlRequest, Request};
use crate::model::{CallId, ExchangeId, Timestamp};
use crate::role::Output;

/// How long a member may take to answer before the request is sent to the next one.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before a request is resent after a member refused it or its connection was lost.
const RESEND_INTERVAL: Duration = Duration::from_millis(25);

/// A request to control and its exchanges.
#[derive(Debug)]
pub(super) struct Proposal {
    call: CallId,
    request: ControlRequest,
    /// The exchange of the newest send.
    open: Option<(ExchangeId, SocketAddr)>,
    /// The exchanges of earlier sends of a command, which are left open: a commit may outlast
    /// [`ANSWER_TIMEOUT`], and its reply comes on the exchange that proposed it.
    earlier: Vec<ExchangeId>,
    /// When the request was sent for the first time.
    pub(super) since: Timestamp,
    resend_at: Timestamp,
}

impl Proposal {
    /// Sends a request for the first time.
    pub(super) fn start(
        shared: &mut Shared,
        now: Timestamp,
        call: CallId,
        request: ControlRequest,
    ) -> (Proposal, Outputs) {
        let (open, earlier) = (None, Vec::new());
        let mut proposal = Proposal { call, request, open, earlier, since: now, resend_at: now };
        let outputs = proposal.send(shared, now);
        (proposal, outputs)
    }

    /// Returns whether the request is open on this exchange.
    pub(super) fn is(&self, exchange: ExchangeId) -> bool {
        self.open.is_some_and(|(e, _)| e == exchange) || self.earlier.contains(&exchange)
    }

    /// Returns when the request is resent if there is no answer.
    pub(super) fn next_wake(&self) -> Timestamp {
        self.resend_at
    }

    /// Resends the request if it is due.
    pub(super) fn wake(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        if now < self.resend_at {
            return Vec::new();
        }
        let mut outputs = Vec::new();
        if let Some((exchange, peer)) = self.open.take() {
            shared.proposer.advance_past(peer);
            if matches!(self.request, ControlRequest::Propose(_)) {
                self.earlier.push(exchange);
            } else {
                outputs.push(shared.reset(exchange));
            }
            outputs.push(Output::Redial { peer });
        }
        outputs.extend(self.send(shared, now));
        outputs
    }

    /// Handles the loss of an exchange.
    pub(super) fn closed(&mut self, shared: &mut Shared, now: Timestamp, exchange: ExchangeId) {
        if self.take_earlier(exchange) {
            return;
        }
        if let Some((_, peer)) = self.open.take() {
            shared.proposer.advance_past(peer);
        }
        self.resend_at = now + RESEND_INTERVAL;
    }

    /// Handles the answer of a member that is not the leader, and schedules the resend.
    ///
    /// Such an answer to an earlier send changes nothing, since a newer send is open or scheduled.
    pub(super) fn redirect(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        exchange: ExchangeId,
        leader: Option<SocketAddr>,
    ) {
        if self.take_earlier(exchange) {
            shared.remove_exchange(exchange);
            return;
        }
        if let Some((exchange, peer)) = self.open.take() {
            shared.remove_exchange(exchange);
            shared.proposer.redirect(peer, leader);
        }
        self.resend_at = now + RESEND_INTERVAL;
    }

    /// Cancels the request; control may still apply it if it was sent.
    pub(super) fn cancel(&mut self, shared: &mut Shared) -> Outputs {
        let open = self.open.take().map(|(exchange, _)| exchange);
        let all = self.earlier.drain(..).chain(open);
        all.map(|exchange| shared.reset(exchange)).collect()
    }

    /// Handles the answer on one exchange: cancels the others.
    pub(super) fn answered(&mut self, shared: &mut Shared, exchange: ExchangeId) -> Outputs {
        if !self.take_earlier(exchange) {
            self.open = None;
        }
        self.cancel(shared)
    }

    /// Removes an exchange from those of earlier sends; returns whether it was one of them.
    fn take_earlier(&mut self, exchange: ExchangeId) -> bool {
        let position = self.earlier.iter().position(|e| *e == exchange);
        position.map(|at| self.earlier.swap_remove(at)).is_some()
    }

    fn send(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        self.resend_at = now + ANSWER_TIMEOUT;
        let Some(peer) = shared.proposer.target() else { return Vec::new() };
        let (exchange, open) = shared.open(self.call, peer, Request::Control(self.request.clone()));
        self.open = Some((exchange, peer));
        vec![open]
    }
}
