//! Orders for the endpoint: the agent keeps the highest fencing number and carries out no older
//! order.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::control::orders::{Desired, OrderReport, OrderUpdate};
use crate::link::message::Proof;
use crate::model::{EndpointKind, Fence, Timestamp};

/// The number of tries after which an order counts as failed.
const MAX_TRIES: u32 = 3;
/// The delay between two tries of an order.
const TRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// What the endpoint still has to do to reach the ordered state, as it is sent to the endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// The fencing number of the order.
    pub fence: Fence,
    /// The artifact to load, if the order names one.
    pub artifact: Option<Box<str>>,
    /// The kind of work to switch to, if the order names one.
    pub kind: Option<EndpointKind>,
}

/// The orders that one agent has received, and their progress at the endpoint.
#[derive(Debug, Default)]
pub struct Orders {
    /// Whether there are control members; without them the agent has no orders to wait for.
    has_control: bool,
    /// The highest fencing number that each member reported.
    marks: BTreeMap<SocketAddr, Fence>,
    /// The epoch of the latest known membership, and its voters.
    voters: (u64, Vec<SocketAddr>),
    /// The newest state that any member sent; after a start it is applied only once it is as new as
    /// the marks of a majority.
    offered: Option<Desired>,
    /// The applied state, which the endpoint is to reach.
    desired: Desired,
    /// The fencing number of the last state that the endpoint reached.
    done: Fence,
    loaded: Option<Box<str>>,
    kind: Option<EndpointKind>,
    running: Option<EngineOrder>,
    tries: u32,
    next_try: Timestamp,
    failed: Option<(Fence, Box<str>)>,
}

impl Orders {
    /// Creates the orders of an agent that has just started.
    pub fn new(has_control: bool) -> Orders {
        Orders { has_control, ..Orders::default() }
    }

    /// Applies a member's reply, which must answer a heartbeat of this boot of the agent.
    pub fn receive(&mut self, proof: &Proof, update: &OrderUpdate) {
        self.marks.insert(proof.member, update.mark);
        if self.voters.1.is_empty() || self.voters.0 < proof.epoch {
            self.voters = (proof.epoch, proof.voters.clone());
        }
        if let Some(desired) = &update.desired
            && self.offered.as_ref().is_none_or(|o| o.fence < desired.fence)
        {
            self.offered = Some(desired.clone());
        }
        self.apply_offered();
    }

    /// Returns whether the agent has applied orders at least as new as those that a majority of
    /// control members reported.
    ///
    /// An agent that has restarted knows neither which orders it carried out nor whether it is
    /// draining. A committed order is on a majority, so the highest number of any majority is no
    /// lower than any number that was carried out before.
    pub fn is_current(&self) -> bool {
        !self.has_control || self.majority_mark().is_some_and(|mark| mark <= self.desired.fence)
    }

    /// Returns whether the endpoint is ordered to accept no new work.
    pub fn is_draining(&self) -> bool {
        self.desired.draining
    }

    /// Returns the kind to which the endpoint was switched by an order, if it was.
    pub fn kind(&self) -> Option<EndpointKind> {
        self.kind
    }

    /// Records the artifact that the endpoint announces, unless an order is being carried out.
    pub fn announced(&mut self, artifact: Option<&str>) {
        if artifact.is_some() && self.running.is_none() {
            self.loaded = artifact.map(Into::into);
        }
    }

    /// Clears the loaded artifact and the kind after a crash of the endpoint.
    pub fn crashed(&mut self) {
        self.loaded = None;
        self.kind = None;
    }

    /// Returns the order to send to the endpoint now, if one is due.
    pub fn next(&mut self, now: Timestamp) -> Option<EngineOrder> {
        if self.running.is_some() || self.failed.is_some() || now < self.next_try {
            return None;
        }
        let order = self.missing()?;
        self.running = Some(order.clone());
        Some(order)
    }

    /// Records the endpoint's reply to an order; a failed order is tried `MAX_TRIES` times in all.
    pub fn finished(&mut self, now: Timestamp, fence: Fence, result: Result<(), Box<str>>) {
        let Some(order) = self.running.take_if(|o| o.fence == fence) else { return };
        match result {
            Ok(()) => {
                self.loaded = order.artifact.or(self.loaded.take());
                self.kind = order.kind.or(self.kind);
                self.tries = 0;
                self.mark_done();
            }
            Err(detail) => {
                log::warn!("step=order fence={fence} error={detail:?}");
                self.tries += 1;
                self.next_try = now + TRY_INTERVAL;
                if self.tries >= MAX_TRIES && fence == self.desired.fence {
                    self.failed = Some((fence, detail));
                }
            }
        }
    }

    /// Returns the report of carried out and failed orders for control.
    pub fn report(&self) -> OrderReport {
        OrderReport { fence: self.done, artifact: self.loaded.clone(), failed: self.failed.clone() }
    }

    /// Returns when the next order is due.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let idle = self.running.is_none() && self.failed.is_none();
        (idle && self.missing().is_some()).then_some(self.next_try)
    }

    /// Returns the lowest number that is the highest of some majority's marks, or `None` if no
    /// majority has reported. A committed order is in the log of at least one member of that
    /// majority, and so has no higher number.
    fn majority_mark(&self) -> Option<Fence> {
        let voters = &self.voters.1;
        let mut marks: Vec<Fence> =
            voters.iter().filter_map(|v| self.marks.get(v).copied()).collect();
        marks.sort_unstable();
        marks.get(voters.len() / 2).copied()
    }

    fn apply_offered(&mut self) {
        let Some(offered) = &self.offered else { return };
        if offered.fence <= self.desired.fence {
            return;
        }
        let fresh = self.desired.fence == Fence(0);
        if fresh && self.majority_mark().is_none_or(|mark| offered.fence < mark) {
            return;
        }
        log::info!("step=order fence={} draining={}", offered.fence, offered.draining);
        self.desired = offered.clone();
        self.failed = None;
        self.tries = 0;
        self.next_try = Timestamp::default();
        self.mark_done();
    }

    /// Marks the desired state as reached if no order is missing for it.
    fn mark_done(&mut self) {
        if self.missing().is_none() {
            self.done = self.desired.fence;
        }
    }

    fn missing(&self) -> Option<EngineOrder> {
        let desired = &self.desired;
        let needs_load = desired.artifact.is_some() && desired.artifact != self.loaded;
        let needs_switch = desired.kind.is_some() && desired.kind != self.kind;
        (needs_load || needs_switch).then(|| EngineOrder {
            fence: desired.fence,
            artifact: desired.artifact.clone(),
            kind: desired.kind,
        })
    }
}
