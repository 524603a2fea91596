//! The ledger of engine memory: each allocation belongs to an exchange of an entry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::model::{Capacity, InboundId, RequestId, Timestamp};

/// How long a cancel may stay unconfirmed before it is sent again.
const CANCEL_INTERVAL: Duration = Duration::from_millis(200);
/// How many consecutive replies to cancels must report that the engine doesn't have a request, as
/// proof that its work can no longer reach the engine.
const MIN_ABSENCES: u32 = 2;

/// The state of an allocation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Capacity is reserved for work that has not started.
    Reserved {
        /// When the reservation expires.
        until: Timestamp,
    },
    /// An entry waits for the work, which is at the endpoint or in the queue of prefills.
    Running,
    /// No entry waits for the work any more, and it can't be cancelled.
    Detached,
    /// No entry waits for the work any more, and the endpoint has not confirmed its cancel yet.
    Cancelling {
        /// When the cancel is sent again.
        retry_at: Timestamp,
        /// Whether the exchange with the endpoint has ended, so that the work can't start any more.
        ended: bool,
        /// How many consecutive replies of the endpoint reported that it doesn't have the work.
        absences: u32,
    },
}

impl Phase {
    /// Returns whether an entry waits for the work or still may start it.
    fn is_awaited(self) -> bool {
        matches!(self, Phase::Reserved { .. } | Phase::Running)
    }
}

/// Capacity allocated to one attempt.
#[derive(Debug, Clone, Copy)]
pub struct Allocation {
    /// The attempt that uses the capacity.
    pub request: RequestId,
    /// The exchange on which the entry asked for it.
    pub inbound: InboundId,
    /// Pieces of engine memory.
    pub pieces: u32,
    /// What the capacity is used for at present.
    pub phase: Phase,
    /// Whether the work may run only once, so that its outcome is recorded.
    pub once: bool,
    /// When the capacity was allocated.
    pub since: Timestamp,
}

/// All allocations at one endpoint.
#[derive(Debug, Default)]
pub struct Ledger {
    allocations: BTreeMap<RequestId, Allocation>,
    pieces: u32,
}

impl Ledger {
    /// Adds an allocation; returns false if the capacity doesn't suffice or the request has one
    /// already.
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

    /// Marks the reserved work of an exchange as running; `None` if it has no reservation.
    pub fn start(&mut self, inbound: InboundId) -> Option<RequestId> {
        let allocation = self.allocations.values_mut().find(|a| a.inbound == inbound)?;
        if !matches!(allocation.phase, Phase::Reserved { .. }) {
            return None;
        }
        allocation.phase = Phase::Running;
        Some(allocation.request)
    }

    /// Returns the exchange of a request if an entry waits for it.
    pub fn inbound(&self, request: RequestId) -> Option<InboundId> {
        let allocation = self.allocations.get(&request)?;
        allocation.phase.is_awaited().then_some(allocation.inbound)
    }

    /// Returns whether capacity is allocated to a request.
    pub fn contains(&self, request: RequestId) -> bool {
        self.allocations.contains_key(&request)
    }

    /// Returns whether capacity is allocated to a request that may run only once.
    pub fn runs_once(&self, request: RequestId) -> bool {
        self.allocations.get(&request).is_some_and(|a| a.once)
    }

    /// Returns the requests with allocated capacity and their phases.
    pub fn phases(&self) -> impl Iterator<Item = (RequestId, Phase)> + '_ {
        self.allocations.values().map(|a| (a.request, a.phase))
    }

    /// Frees the capacity of work that has ended; returns the exchange if an entry waits for it.
    pub fn release(&mut self, request: RequestId) -> Option<InboundId> {
        let inbound = self.inbound(request);
        self.remove(request);
        inbound
    }

    /// Records that the entry abandoned an exchange; returns the request to cancel at the endpoint.
    ///
    /// Work of a plain service can't be cancelled and keeps its capacity until it ends.
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

    /// Records that the exchange with the engine failed; the engine may still run the work, so that
    /// a cancel must be confirmed.
    ///
    /// Returns the exchange if an entry waits for the work.
    pub fn interrupted(&mut self, now: Timestamp, request: RequestId) -> Option<InboundId> {
        let inbound = self.inbound(request);
        if let Some(allocation) = self.allocations.get_mut(&request) {
            allocation.phase = cancelling(now, true);
        }
        inbound
    }

    /// Records the endpoint's reply to a cancel; `gone` if it has no work of the request.
    pub fn cancelled(&mut self, now: Timestamp, request: RequestId, gone: bool) {
        let Some(allocation) = self.allocations.get_mut(&request) else { return };
        let Phase::Cancelling { retry_at, ended, absences } = &mut allocation.phase else { return };
        *retry_at = now + CANCEL_INTERVAL;
        *absences = if gone { *absences + 1 } else { 0 };
        if gone && (*ended || *absences >= MIN_ABSENCES) {
            self.remove(request);
        }
    }

    /// Records a restart of the engine, which has lost its work. Requests in flight may still reach
    /// the new process, so that each allocation stays until the engine reports that it has no work
    /// for it.
    ///
    /// Returns the running requests with their exchanges.
    pub fn restarted(&mut self, now: Timestamp) -> Vec<(RequestId, InboundId)> {
        let mut lost = Vec::new();
        for allocation in self.allocations.values_mut().filter(|a| a.phase == Phase::Running) {
            lost.push((allocation.request, allocation.inbound));
            allocation.phase = cancelling(now, false);
        }
        lost
    }

    /// Frees the reservations whose leases have expired and returns them with their exchanges.
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

    /// Returns the requests whose cancels are to be sent again.
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

    /// Returns the exchanges whose work is reserved or running.
    pub fn awaited(&self) -> Vec<InboundId> {
        self.allocations.values().filter(|a| a.phase.is_awaited()).map(|a| a.inbound).collect()
    }

    /// Returns the listed work of an engine that is not in the ledger.
    pub fn unknown_work(&self, listed: Vec<Box<str>>) -> Vec<Box<str>> {
        let started = |a: &&Allocation| !matches!(a.phase, Phase::Reserved { .. });
        let own: BTreeSet<String> =
            self.allocations.values().filter(started).map(|a| a.request.to_string()).collect();
        listed.into_iter().filter(|name| !own.contains(&**name)).collect()
    }

    /// Returns the numbers of slots and pieces in use.
    pub fn in_use(&self) -> (u32, u32) {
        (self.allocations.len() as u32, self.pieces)
    }

    /// Returns whether no capacity is allocated.
    pub fn is_empty(&self) -> bool {
        self.allocations.is_empty()
    }

    /// Returns all allocations.
    pub fn allocations(&self) -> impl Iterator<Item = &Allocation> + '_ {
        self.allocations.values()
    }

    /// Returns how many allocations wait for the confirmation of a cancel.
    pub fn cancelling(&self) -> usize {
        self.allocations.values().filter(|a| matches!(a.phase, Phase::Cancelling { .. })).count()
    }

    /// Returns whether each remaining allocation waits for the confirmation of a cancel.
    pub fn only_cancelling(&self) -> bool {
        self.allocations.values().all(|a| matches!(a.phase, Phase::Cancelling { .. }))
    }

    /// Returns when the next reservation expires or the next cancel is due.
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
