//! Requests that arrive before the gateway has a routing table.
//!
//! When all processes of a site come back together, callers return in the half second in which
//! control elects a leader and gateways confirm their tables. A caller that is refused then has
//! spent its retry. So a gateway that has just started keeps requests until it can route them.

use std::collections::VecDeque;
use std::time::Duration;

use super::protocol::CallInfo;
use super::{CallerId, Gateway, answer};
use crate::h1::Request;
use crate::model::Timestamp;

/// How long after its start a gateway keeps the requests that arrive; after that, control seems to be
/// out of reach.
const ARRIVAL_WINDOW: Duration = Duration::from_millis(1_000);
/// How long after its start a gateway routes the requests that it has kept.
const TABLE_WAIT: Duration = Duration::from_millis(2_000);
/// The maximum number of requests that are kept.
const MAX_REQUESTS: usize = 256;
/// The maximum size of their contents, in bytes.
const MAX_BYTES: usize = 4 << 20;

/// A request that waits for the routing table.
#[derive(Debug)]
struct EarlyRequest {
    caller: CallerId,
    arrived: Timestamp,
    /// When it is refused.
    until: Timestamp,
    request: Request,
}

/// The requests that wait for the routing table, in the order of their arrival.
#[derive(Debug, Default)]
pub struct EarlyRequests {
    requests: VecDeque<EarlyRequest>,
    bytes: usize,
}

impl EarlyRequests {
    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Returns when the next one is refused.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.requests.iter().map(|early| early.until).min()
    }

    fn has_room_for(&self, request: &Request) -> bool {
        self.requests.len() < MAX_REQUESTS && self.bytes + request.body.len() <= MAX_BYTES
    }

    fn push(&mut self, early: EarlyRequest) {
        self.bytes += early.request.body.len();
        self.requests.push_back(early);
    }

    fn remove(&mut self, caller: CallerId) -> Option<EarlyRequest> {
        let at = self.requests.iter().position(|early| early.caller == caller)?;
        let early = self.requests.remove(at)?;
        self.bytes -= early.request.body.len();
        Some(early)
    }

    /// Removes and returns the requests that `is_due` selects.
    fn take(&mut self, is_due: impl Fn(&EarlyRequest) -> bool) -> Vec<EarlyRequest> {
        let callers = self.requests.iter().filter(|early| is_due(early)).map(|early| early.caller);
        let callers: Vec<CallerId> = callers.collect();
        callers.into_iter().filter_map(|caller| self.remove(caller)).collect()
    }
}

impl Gateway {
    /// Keeps a request until it can be routed, or refuses it.
    pub(super) fn keep_early(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        request: Request,
        info: &CallInfo,
    ) {
        let started = self.started.unwrap_or(now);
        let wait_end = started + TABLE_WAIT;
        let refused = self.shutdown.is_requested() || now >= started + ARRIVAL_WINDOW;
        if refused || !self.early.has_room_for(&request) {
            self.route_request(now, now, caller, request);
            return;
        }
        log::info!("step=early id={} outcome=kept waiting={}", info.id, self.early.len() + 1);
        let until = info.timeout.map_or(wait_end, |timeout| wait_end.min(now + timeout));
        self.early.push(EarlyRequest { caller, arrived: now, until, request });
    }

    /// Returns whether the gateway knows where to send requests.
    pub(super) fn can_route(&self) -> bool {
        self.has_table() && !self.fleet.is_empty()
    }

    /// Routes the kept requests once that is possible, and refuses those whose wait is over.
    pub(super) fn admit_early(&mut self, now: Timestamp) {
        if self.early.len() == 0 {
            return;
        }
        for early in self.early.take(|early| early.until <= now) {
            let info = self.protocol.read_call(&early.request.head).ok();
            let id = info.as_ref().map(|info| &*info.id);
            self.refuse_request(now, early.caller, &early.request, id, answer::no_table());
        }
        if !self.can_route() && !self.shutdown.is_requested() {
            return;
        }
        for early in self.early.take(|_| true) {
            self.route_request(now, early.arrived, early.caller, early.request);
        }
    }

    /// Forgets the kept request of a caller that has disconnected; returns whether there was one.
    pub(super) fn early_gone(&mut self, caller: CallerId) -> bool {
        let Some(early) = self.early.remove(caller) else { return false };
        let id = self.protocol.read_call(&early.request.head).map(|info| info.id);
        log::info!("step=end id={} outcome=caller-gone", id.as_deref().unwrap_or("-"));
        true
    }
}
