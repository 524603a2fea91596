//! The ledger of engine memory: every hold belongs to an exchange of an entry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::model::{Capacity, InboundId, RequestId, Timestamp};

/// How long a cancel may go unconfirmed before it is sent again.
const CANCEL_INTERVAL: Duration = Duration::from_millis(200);
/// How many answers without a request prove that its work never reaches the engine.
const MIN_ABSENCES: u32 = 2;

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
    /// Work that nobody waits for, until the endpoint holds nothing for it.
    Cancelling {
        /// When the cancel is sent again.
        retry_at: Timestamp,
        /// Whether the exchange with the endpoint has ended, so that nothing can start late.
        ended: bool,
        /// How often the endpoint said that it does not hold it.
        absences: u32,
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
pub struct Allocation {
    /// The attempt.
    pub request: RequestId,
    /// The exchange that it belongs to.
    pub inbound: InboundId,
    /// Pieces of engine memory.
    pub pieces: u32,
    /// What it is for.
    pub phase: Phase,
    /// Whether the work may run only once, so that its end is remembered.
    pub once: bool,
}

/// All holds at one endpoint.
#[derive(Debug, Default)]
pub struct Ledger {
    allocations: BTreeMap<RequestId, Allocation>,
    pieces: u32,
}

impl Ledger {
    /// Adds a hold if there is room; returns whether there was.
    pub fn allocate(&mut self, capacity: Capacity, allocation: Allocation) -> bool {
        let full = self.allocations.len() as u32 >= capacity.slots;
        let short = self.pieces + allocation.pieces > capacity.pieces;
        if full || short || self.allocations.contains_key(&allocation.request) {
            return false;
        }
        self.pieces += allocation.pieces;
        self.allocations.insert(allocation.request, allocation);
        true
    }

    /// Starts the reserved work of an exchange; `None` if its reservation is gone.
    pub fn start(&mut self, inbound: InboundId) -> Option<RequestId> {
        let allocation = self.allocations.values_mut().find(|a| a.inbound == inbound)?;
        if !matches!(allocation.phase, Phase::Reserved { .. }) {
            return None;
        }
        allocation.phase = Phase::Running;
        Some(allocation.request)
    }

    /// Returns the exchange of a request that somebody waits for.
    pub fn inbound(&self, request: RequestId) -> Option<InboundId> {
        let allocation = self.allocations.get(&request)?;
        allocation.phase.is_awaited().then_some(allocation.inbound)
    }

    /// Returns whether a request holds room.
    pub fn contains(&self, request: RequestId) -> bool {
        self.allocations.contains_key(&request)
    }

    /// Returns whether a request holds room for work that may run only once.
    pub fn runs_once(&self, request: RequestId) -> bool {
        self.allocations.get(&request).is_some_and(|a| a.once)
    }

    /// Returns the requests that hold room, with what for.
    pub fn phases(&self) -> impl Iterator<Item = (RequestId, Phase)> + '_ {
        self.allocations.values().map(|a| (a.request, a.phase))
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
        let allocation = self.allocations.values_mut().find(|a| a.inbound == inbound)?;
        let request = allocation.request;
        match allocation.phase {
            Phase::Reserved { .. } => {
                self.remove(request);
                None
            }
            Phase::Running if !cancellable => {
                allocation.phase = Phase::Detached;
                None
            }
            Phase::Detached | Phase::Cancelling { .. } => None,
            Phase::Running => {
                allocation.phase = cancelling(now, false);
                Some(request)
            }
        }
    }

    /// Takes the end of an exchange with the engine, which may go on with the work.
    ///
    /// Returns the exchange of the entry that waits for the work, if one does.
    pub fn interrupted(&mut self, now: Timestamp, request: RequestId) -> Option<InboundId> {
        let inbound = self.inbound(request);
        if let Some(allocation) = self.allocations.get_mut(&request) {
            allocation.phase = cancelling(now, true);
        }
        inbound
    }

    /// Takes the endpoint's answer to a cancel: whether it holds nothing for the request.
    pub fn cancelled(&mut self, now: Timestamp, request: RequestId, gone: bool) {
        let Some(allocation) = self.allocations.get_mut(&request) else { return };
        let Phase::Cancelling { retry_at, ended, absences } = &mut allocation.phase else { return };
        *retry_at = now + CANCEL_INTERVAL;
        *absences = if gone { *absences + 1 } else { 0 };
        if gone && (*ended || *absences >= MIN_ABSENCES) {
            self.remove(request);
        }
    }

    /// Takes the restart of the engine, which has lost its work; what was on its way may still
    /// come to the new start, so that each hold stays until the engine says it holds nothing.
    ///
    /// Returns the work that was awaited, with its exchange.
    pub fn restarted(&mut self, now: Timestamp) -> Vec<(RequestId, InboundId)> {
        let mut lost = Vec::new();
        for allocation in self.allocations.values_mut().filter(|a| a.phase == Phase::Running) {
            lost.push((allocation.request, allocation.inbound));
            allocation.phase = cancelling(now, false);
        }
        lost
    }

    /// Frees reservations whose lease has lapsed.
    pub fn expire(&mut self, now: Timestamp) -> Vec<(RequestId, InboundId)> {
        let expired: Vec<_> = self
            .allocations
            .values()
            .filter(|a| matches!(a.phase, Phase::Reserved { until } if until <= now))
            .map(|a| (a.request, a.inbound))
            .collect();
        for (request, _) in &expired {
            self.remove(*request);
        }
        expired
    }

    /// Returns the cancels that are due again.
    pub fn overdue_cancels(&mut self, now: Timestamp) -> Vec<RequestId> {
        let mut overdue = Vec::new();
        for allocation in self.allocations.values_mut() {
            if let Phase::Cancelling { retry_at, .. } = &mut allocation.phase
                && *retry_at <= now
            {
                *retry_at = now + CANCEL_INTERVAL;
                overdue.push(allocation.request);
            }
        }
        overdue
    }

    /// Returns the exchanges whose work runs or waits.
    pub fn running(&self) -> Vec<InboundId> {
        self.allocations.values().filter(|a| a.phase.is_awaited()).map(|a| a.inbound).collect()
    }

    /// Returns what an engine runs beside the work in the ledger.
    pub fn unknown_work(&self, listed: Vec<Box<str>>) -> Vec<Box<str>> {
        let started = |a: &&Allocation| !matches!(a.phase, Phase::Reserved { .. });
        let own: BTreeSet<String> =
            self.allocations.values().filter(started).map(|a| a.request.to_string()).collect();
        listed.into_iter().filter(|name| !own.contains(&**name)).collect()
    }

    /// Returns slots and pieces in use.
    pub fn in_use(&self) -> (u32, u32) {
        (self.allocations.len() as u32, self.pieces)
    }

    /// Returns whether nothing is held.
    pub fn is_empty(&self) -> bool {
        self.allocations.is_empty()
    }

    /// Returns whether all that is left is work that nobody waits for at an engine.
    pub fn only_cancelling(&self) -> bool {
        self.allocations.values().all(|a| matches!(a.phase, Phase::Cancelling { .. }))
    }

    /// Returns when a reservation lapses or a cancel is due.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let at = |a: &Allocation| match a.phase {
            Phase::Reserved { until } => Some(until),
            Phase::Running | Phase::Detached => None,
            Phase::Cancelling { retry_at, .. } => Some(retry_at),
        };
        self.allocations.values().filter_map(at).min()
    }

    fn remove(&mut self, request: RequestId) {
        if let Some(allocation) = self.allocations.remove(&request) {
            self.pieces -= allocation.pieces;
        }
    }
}

fn cancelling(now: Timestamp, ended: bool) -> Phase {
    Phase::Cancelling { retry_at: now + CANCEL_INTERVAL, ended, absences: 0 }
}
