//! The ledger of engine memory: every hold belongs to an exchange of an entry.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::model::{Capacity, InboundId, RequestId, Timestamp};

/// How long a cancel may go unconfirmed before it is sent again.
const CANCEL_INTERVAL: Duration = Duration::from_millis(200);

/// What a hold is for at the moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Room for work that has not started.
    Reserved {
        /// When the reservation lapses.
        until: Timestamp,
    },
    /// Work at the endpoint.
    Running,
    /// Work that nobody waits for and that can't be cancelled.
    Detached,
    /// Work that nobody waits for, until the endpoint confirms its end.
    Cancelling {
        /// When the cancel is sent again.
        again: Timestamp,
    },
}

impl Phase {
    /// Returns whether an entry waits for the work.
    fn is_awaited(self) -> bool {
        matches!(self, Phase::Reserved { .. } | Phase::Running)
    }
}

/// Room at the endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Hold {
    /// The attempt.
    pub request: RequestId,
    /// The exchange that it belongs to.
    pub inbound: InboundId,
    /// Pieces of engine memory.
    pub pieces: u32,
    /// What it is for.
    pub phase: Phase,
}

/// All holds at one endpoint.
#[derive(Debug, Default)]
pub struct Ledger {
    holds: BTreeMap<RequestId, Hold>,
    pieces: u32,
}

impl Ledger {
    /// Adds a hold if there is room; returns whether there was.
    pub fn hold(&mut self, capacity: Capacity, hold: Hold) -> bool {
        let full = self.holds.len() as u32 >= capacity.slots;
        let short = self.pieces + hold.pieces > capacity.pieces;
        if full || short || self.holds.contains_key(&hold.request) {
            return false;
        }
        self.pieces += hold.pieces;
        self.holds.insert(hold.request, hold);
        true
    }

    /// Starts the reserved work of an exchange; `None` if its reservation is gone.
    pub fn start(&mut self, inbound: InboundId) -> Option<RequestId> {
        let hold = self.holds.values_mut().find(|h| h.inbound == inbound)?;
        if !matches!(hold.phase, Phase::Reserved { .. }) {
            return None;
        }
        hold.phase = Phase::Running;
        Some(hold.request)
    }

    /// Returns the exchange of a request that somebody waits for.
    pub fn inbound(&self, request: RequestId) -> Option<InboundId> {
        let hold = self.holds.get(&request)?;
        hold.phase.is_awaited().then_some(hold.inbound)
    }

    /// Returns whether a request holds room.
    pub fn holds(&self, request: RequestId) -> bool {
        self.holds.contains_key(&request)
    }

    /// Frees the room of work that has ended; returns the exchange if somebody waits for it.
    pub fn release(&mut self, request: RequestId) -> Option<InboundId> {
        let inbound = self.inbound(request);
        self.remove(request);
        inbound
    }

    /// Takes the end of an exchange; returns the request to cancel at the endpoint.
    ///
    /// Work of a plain service can't be cancelled and keeps its room until it ends.
    pub fn abandon(
        &mut self,
        now: Timestamp,
        inbound: InboundId,
        cancellable: bool,
    ) -> Option<RequestId> {
        let hold = self.holds.values_mut().find(|h| h.inbound == inbound)?;
        let request = hold.request;
        match hold.phase {
            Phase::Reserved { .. } => {
                self.remove(request);
                None
            }
            Phase::Running if !cancellable => {
                hold.phase = Phase::Detached;
                None
            }
            Phase::Detached => None,
            Phase::Running | Phase::Cancelling { .. } => {
                hold.phase = Phase::Cancelling { again: now + CANCEL_INTERVAL };
                Some(request)
            }
        }
    }

    /// Takes the endpoint's answer to a cancel.
    pub fn cancelled(&mut self, now: Timestamp, request: RequestId, confirmed: bool) {
        if confirmed {
            self.remove(request);
        } else if let Some(hold) = self.holds.get_mut(&request) {
            hold.phase = Phase::Cancelling { again: now + CANCEL_INTERVAL };
        }
    }

    /// Frees reservations whose lease has lapsed.
    pub fn lapse(&mut self, now: Timestamp) -> Vec<(RequestId, InboundId)> {
        let lapsed: Vec<_> = self
            .holds
            .values()
            .filter(|h| matches!(h.phase, Phase::Reserved { until } if until <= now))
            .map(|h| (h.request, h.inbound))
            .collect();
        for (request, _) in &lapsed {
            self.remove(*request);
        }
        lapsed
    }

    /// Returns the cancels that are due again.
    pub fn overdue_cancels(&mut self, now: Timestamp) -> Vec<RequestId> {
        let mut overdue = Vec::new();
        for hold in self.holds.values_mut() {
            if let Phase::Cancelling { again } = &mut hold.phase
                && *again <= now
            {
                *again = now + CANCEL_INTERVAL;
                overdue.push(hold.request);
            }
        }
        overdue
    }

    /// Returns the exchanges whose work runs or waits.
    pub fn running(&self) -> Vec<InboundId> {
        self.holds.values().filter(|h| h.phase.is_awaited()).map(|h| h.inbound).collect()
    }

    /// Returns slots and pieces in use.
    pub fn in_use(&self) -> (u32, u32) {
        (self.holds.len() as u32, self.pieces)
    }

    /// Returns whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.holds.is_empty()
    }

    /// Returns when a reservation lapses or a cancel is due.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let at = |h: &Hold| match h.phase {
            Phase::Reserved { until } => Some(until),
            Phase::Running | Phase::Detached => None,
            Phase::Cancelling { again } => Some(again),
        };
        self.holds.values().filter_map(at).min()
    }

    fn remove(&mut self, request: RequestId) {
        if let Some(hold) = self.holds.remove(&request) {
            self.pieces -= hold.pieces;
        }
    }
}
