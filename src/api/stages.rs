//! Plans how many engines of a pool are prefill endpoints and how many are decode endpoints.
//!
//! In a burst, the KV cache of the decode endpoints can be full while prefill endpoints are idle.
//! So engines are moved between the two stages until the share of prefill endpoints fits the work.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::model::{BootId, EndpointKind, EndpointState, Timestamp};

/// How long a leader that succeeds another one waits before it sends orders: until the orders of
/// its predecessor are no longer valid and their effects are visible.
pub const TAKEOVER_DELAY: Duration = Duration::from_millis(8_000);
/// How long a pool must have been unchanged before it gets orders while the fleet starts: longer
/// than endpoints take to register.
pub const STARTUP_WINDOW: Duration = Duration::from_millis(1_600);
/// How long a pool must have been unchanged before it gets orders later: endpoints that crash are
/// back within seconds, and an engine that changes its stage is unavailable as long.
pub const STEADY_WINDOW: Duration = Duration::from_millis(8_000);
/// How long an order may take until it shows its effect; engines may execute it late.
const ORDER_TTL: Duration = Duration::from_millis(15_000);
/// How many engines a pool must have for each spare prefill endpoint.
const SPARE_POOL_SIZE: usize = 9;
/// The maximum percentage of a pool with pending orders.
const MAX_PENDING_PERCENT: usize = 25;

/// An order to an engine to change its stage.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageOrder {
    /// The name of the endpoint.
    pub endpoint: Box<str>,
    /// The address at which it accepts orders.
    pub address: SocketAddr,
    /// The stage that it is ordered to take.
    pub kind: EndpointKind,
}

/// An order that was sent and has not shown its effect yet.
#[derive(Debug, Clone, Copy)]
struct Pending {
    kind: EndpointKind,
    boot: BootId,
    since: Timestamp,
}

/// The planner of stage orders, with the orders that are pending.
#[derive(Debug, Default)]
pub struct Stages {
    pending: BTreeMap<Box<str>, Pending>,
    /// For each pool: the number of engines, the number of prefill endpoints, and since when both
    /// are unchanged.
    shapes: BTreeMap<Box<str>, (usize, usize, Timestamp)>,
}

impl Stages {
    /// Returns the orders to send now, so that the number of prefill endpoints in each pool becomes
    /// what `terms` require, but at least one. Pools that have changed within `window` get no
    /// orders.
    ///
    /// ```
    /// use dotterelpin::api::stages::{STEADY_WINDOW, StageTerms, Stages};
    /// use dotterelpin::model::Timestamp;
    ///
    /// let terms = StageTerms { share: 14, spare: 2 };
    /// let now = Timestamp::from_micros(1);
    /// assert!(Stages::default().plan(now, &[], terms, STEADY_WINDOW).is_empty());
    /// ```
    pub fn plan(
        &mut self,
        now: Timestamp,
        endpoints: &[EndpointState],
        terms: StageTerms,
        window: Duration,
    ) -> Vec<StageOrder> {
        self.remove_settled(now, endpoints);
        let mut pools: BTreeMap<&str, Vec<&EndpointState>> = BTreeMap::new();
        for endpoint in endpoints.iter().filter(|e| e.kind != EndpointKind::Service) {
            pools.entry(&endpoint.pool).or_default().push(endpoint);
        }
        pools.retain(|name, pool| self.is_steady(now, name, pool, window));
        let orders: Vec<StageOrder> =
            pools.values().flat_map(|pool| self.plan_pool(pool, terms)).collect();
        for order in &orders {
            let boot = endpoints.iter().find(|e| e.name == order.endpoint).map(|e| e.boot);
            let boot = boot.unwrap_or_default();
            self.pending
                .insert(order.endpoint.clone(), Pending { kind: order.kind, boot, since: now });
        }
        orders
    }

    /// Removes a pending order that its endpoint has refused.
    pub fn refused(&mut self, endpoint: &str) {
        self.pending.remove(endpoint);
    }

    /// Removes pending orders that were executed, that have expired, or whose endpoints have
    /// restarted.
    fn remove_settled(&mut self, now: Timestamp, endpoints: &[EndpointState]) {
        self.pending.retain(|name, order| {
            let state = endpoints.iter().find(|e| e.name == *name);
            let open = state.is_none_or(|e| e.boot == order.boot && e.kind != order.kind);
            open && now - order.since < ORDER_TTL
        });
    }

    /// Returns whether the numbers of a pool have been unchanged for `window`.
    fn is_steady(
        &mut self,
        now: Timestamp,
        name: &str,
        pool: &[&EndpointState],
        window: Duration,
    ) -> bool {
        let prefills = pool.iter().filter(|e| e.kind == EndpointKind::Prefill).count();
        let shape = (pool.len(), prefills);
        let known = self.shapes.entry(name.into()).or_insert((shape.0, shape.1, now));
        if (known.0, known.1) != shape {
            *known = (shape.0, shape.1, now);
        }
        now - known.2 >= window
    }

    fn kind(&self, endpoint: &EndpointState) -> EndpointKind {
        self.pending.get(&endpoint.name).map_or(endpoint.kind, |order| order.kind)
    }

    fn plan_pool(&self, pool: &[&EndpointState], terms: StageTerms) -> Vec<StageOrder> {
        let wanted = terms.prefill_count(pool.len());
        let is_prefill = |e: &&&EndpointState| self.kind(e) == EndpointKind::Prefill;
        let prefills = pool.iter().filter(is_prefill).count();
        let open = pool.iter().filter(|e| self.pending.contains_key(&e.name)).count();
        let max_pending = (pool.len() * MAX_PENDING_PERCENT / 100).max(1);
        let allowed = max_pending.saturating_sub(open);
        // One prefill endpoint too few costs less than moving an engine back and forth.
        let (kind, count) = if prefills > wanted {
            (EndpointKind::Decode, prefills - wanted)
        } else if prefills + 1 < wanted || prefills == 0 && pool.len() > 1 {
            (EndpointKind::Prefill, wanted - prefills)
        } else {
            return Vec::new();
        };
        let mut movable: Vec<&EndpointState> = pool
            .iter()
            .copied()
            .filter(|e| !self.pending.contains_key(&e.name) && e.kind != kind)
            .collect();
        // Engines of the failure domain with the most movable engines are moved first.
        let mut domains: BTreeMap<&str, usize> = BTreeMap::new();
        movable.iter().for_each(|e| *domains.entry(&e.domain).or_default() += 1);
        let mut orders = Vec::new();
        while orders.len() < count.min(allowed) {
            let largest = domains.iter().max_by_key(|(_, n)| **n).map(|(domain, _)| *domain);
            let found = movable.iter().position(|e| Some(&*e.domain) == largest);
            let Some(endpoint) = found.map(|at| movable.remove(at)) else { break };
            if let Some(left) = domains.get_mut(&*endpoint.domain) {
                *left -= 1;
            }
            let (name, address) = (endpoint.name.clone(), endpoint.address);
            orders.push(StageOrder { endpoint: name, address, kind });
        }
        orders
    }
}

/// How many engines of a pool are to be prefill endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StageTerms {
    /// The percentage of a pool that the work requires; 0 leaves all engines as they are.
    pub share: u32,
    /// Additional prefill endpoints, as a reserve for crashes.
    pub spare: u32,
}

impl StageTerms {
    /// Returns how many engines of a pool with `pool` engines are to be prefill endpoints.
    fn prefill_count(&self, pool: usize) -> usize {
        let needed = (pool * self.share as usize + 50) / 100;
        // A small pool gets no spare prefill endpoint.
        let spare = (self.spare as usize).min(pool / SPARE_POOL_SIZE);
        (needed + spare).clamp(1, pool.saturating_sub(1).max(1))
    }
}
