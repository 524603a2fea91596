//! Orders at the endpoint: the agent keeps the highest number and carries out nothing older.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::control::orders::{Desired, OrderReport, OrderUpdate};
use crate::link::message::Proof;
use crate::model::{EndpointKind, Fence, Timestamp};

/// How often an order is tried before it counts as failed.
const MAX_TRIES: u32 = 3;
/// The time between two tries of an order.
const TRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// What the endpoint is told to become.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineOrder {
    /// The fencing number.
    pub fence: Fence,
    /// What to load.
    pub artifact: Option<Box<str>>,
    /// What to do.
    pub kind: Option<EndpointKind>,
}

/// The orders that one agent has taken.
#[derive(Debug, Default)]
pub struct Orders {
    /// Whether there is any control member to ask.
    has_control: bool,
    /// The highest number that each member told.
    marks: BTreeMap<SocketAddr, Fence>,
    /// The members with a vote, and how often the members had changed by then.
    voters: (u64, Vec<SocketAddr>),
    offered: Option<Desired>,
    desired: Desired,
    done: Fence,
    loaded: Option<Box<str>>,
    kind: Option<EndpointKind>,
    running: Option<EngineOrder>,
    tries: u32,
    next_try: Timestamp,
    failed: Option<(Fence, Box<str>)>,
}

impl Orders {
    /// Makes the orders of an agent that has just started; without control there is nobody to ask.
    pub fn new(has_control: bool) -> Orders {
        Orders { has_control, ..Orders::default() }
    }

    /// Takes what a member says; it must answer a heartbeat of this start of the agent.
    pub fn receive(&mut self, proof: &Proof, marked: &OrderUpdate) {
        self.marks.insert(proof.member, marked.mark);
        if self.voters.1.is_empty() || self.voters.0 < proof.epoch {
            self.voters = (proof.epoch, proof.voters.clone());
        }
        if let Some(desired) = &marked.desired
            && self.offered.as_ref().is_none_or(|o| o.fence < desired.fence)
        {
            self.offered = Some(desired.clone());
        }
        self.apply_offered();
    }

    /// Returns whether a majority has said which number stands, and it was taken.
    ///
    /// An agent that has restarted knows neither what it carried out nor whether it drains. A
    /// committed order is on a majority, so the highest number of any majority is no lower than
    /// any number that was carried out before.
    pub fn is_current(&self) -> bool {
        !self.has_control || self.majority_mark().is_some_and(|mark| mark <= self.desired.fence)
    }

    /// Returns whether the endpoint shall take no new work.
    pub fn is_draining(&self) -> bool {
        self.desired.draining
    }

    /// Returns what the endpoint does by its orders, if they say.
    pub fn kind(&self) -> Option<EndpointKind> {
        self.kind
    }

    /// Notes what the endpoint says that it has loaded.
    pub fn announced(&mut self, artifact: Option<&str>) {
        if artifact.is_some() && self.running.is_none() {
            self.loaded = artifact.map(Into::into);
        }
    }

    /// Forgets what the endpoint had loaded, because it has crashed.
    pub fn crashed(&mut self) {
        self.loaded = None;
        self.kind = None;
    }

    /// Returns the order to give to the endpoint now, if one is due.
    pub fn next(&mut self, now: Timestamp) -> Option<EngineOrder> {
        if self.running.is_some() || self.failed.is_some() || now < self.next_try {
            return None;
        }
        let order = self.missing()?;
        self.running = Some(order.clone());
        Some(order)
    }

    /// Takes the endpoint's answer to an order.
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

    /// Returns what control is told.
    pub fn report(&self) -> OrderReport {
        OrderReport { fence: self.done, artifact: self.loaded.clone(), failed: self.failed.clone() }
    }

    /// Returns when the next order is due.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let idle = self.running.is_none() && self.failed.is_none();
        (idle && self.missing().is_some()).then_some(self.next_try)
    }

    /// Returns the number that some majority has none above; a committed order is in the log of
    /// one member at least of that majority, and so is no higher.
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

    /// Counts the orders as carried out if nothing is missing.
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
