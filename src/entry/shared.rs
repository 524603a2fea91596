//! State that the runs of an entry share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::admit::Admission;
use super::claim::Proposer;
use super::place::{Fleet, Need, Placement, Policy};
use super::retry::RetryBudgets;
use super::{CallerEffect, EntrySettings};
use crate::link::message::Request;
use crate::model::{BootId, CallId, EndpointState, ExchangeId, Timestamp};
use crate::registry::Follower;
use crate::role::Output;

/// Shared state of the runs: endpoints, placement, claims and exchange IDs.
pub(crate) struct Shared {
    pub(crate) follower: Follower,
    pub(crate) endpoints: BTreeMap<Box<str>, EndpointState>,
    pub(crate) fleet: Fleet,
    pub(crate) placement: Box<dyn Placement + Send>,
    pub(crate) policy: Policy,
    pub(crate) admission: Admission,
    pub(crate) retries: RetryBudgets,
    pub(crate) proposer: Proposer,
    boot: BootId,
    pub(super) last_exchange: u64,
    /// The call that each open exchange serves.
    pub(super) owners: BTreeMap<ExchangeId, CallId>,
}

impl Shared {
    /// Creates the shared state, with no known endpoints.
    pub(crate) fn new(settings: EntrySettings, placement: Box<dyn Placement + Send>) -> Shared {
        let policy = placement.policy();
        Shared {
            fleet: Fleet::new(policy.health),
            policy,
            admission: Admission::default(),
            retries: RetryBudgets::new(settings.follower.boot.0),
            proposer: Proposer::new(settings.follower.members.clone()),
            boot: settings.follower.boot,
            follower: Follower::new(settings.follower),
            endpoints: BTreeMap::new(),
            placement,
            last_exchange: 0,
            owners: BTreeMap::new(),
        }
    }

    fn next_exchange(&mut self) -> ExchangeId {
        self.last_exchange += 1;
        ExchangeId(self.last_exchange)
    }

    /// Opens an exchange that serves a call.
    pub(crate) fn open(
        &mut self,
        call: CallId,
        peer: SocketAddr,
        request: Request,
    ) -> (ExchangeId, Output<CallerEffect>) {
        let exchange = self.next_exchange();
        self.owners.insert(exchange, call);
        let envelope = self.follower.envelope(request);
        (exchange, Output::Open { exchange, peer, envelope })
    }

    /// Cancels an exchange.
    pub(crate) fn reset(&mut self, exchange: ExchangeId) -> Output<CallerEffect> {
        self.owners.remove(&exchange);
        Output::Reset { exchange }
    }

    /// Removes an exchange that its peer has ended.
    pub(crate) fn remove_exchange(&mut self, exchange: ExchangeId) {
        self.owners.remove(&exchange);
    }

    /// Chooses the endpoint of an attempt; returns `None` if no endpoint is suitable.
    pub(crate) fn place(&mut self, now: Timestamp, need: &Need<'_>) -> Option<EndpointState> {
        let key = self.placement.choose(now, need, &self.fleet)?;
        if let Some(prefix) = need.prefix {
            self.placement.prefill_sent(now, prefix, key);
        }
        self.fleet.get(key).map(|e| e.state.clone())
    }

    /// Returns how long the prefill of a call may take; `None` if the call wasn't queued.
    pub(crate) fn prefill_within(
        &self,
        now: Timestamp,
        call: CallId,
        pool: &str,
    ) -> Option<Duration> {
        let due = self.admission.due(call)?;
        Some((due - now).saturating_sub(self.fleet.import_time(now, pool)))
    }

    pub(crate) fn boot(&self) -> BootId {
        self.boot
    }
}
