//! How many engines of a pool read prompts and how many run answers.
//!
//! Answers a burst that fills the memory of the decode endpoints while prefill endpoints stand
//! idle: engines are moved until the share of prefill endpoints is what the work needs.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::model::{BootId, EndpointKind, EndpointState, Timestamp};

/// How long a leader after another one waits before it gives orders: until those of the earlier
/// one count no more and have shown their effect.
pub const TAKEOVER_DELAY: Duration = Duration::from_millis(8_000);
/// How long a pool must have stayed as it is while the fleet starts: longer than endpoints take to
/// register.
pub const STARTUP_WINDOW: Duration = Duration::from_millis(1_600);
/// How long a pool must have stayed as it is later: endpoints that crash are back within seconds,
/// and an engine that is moved is away as long.
pub const STEADY_WINDOW: Duration = Duration::from_millis(8_000);
/// How long an order without effect is waited for; it may be carried out late.
const ORDER_TTL: Duration = Duration::from_millis(15_000);
/// Engines of a pool for each spare one.
const SPARE_POOL_SIZE: usize = 9;
/// The part of a pool to which orders are under way at once, in percent.
const MAX_PENDING_PERCENT: usize = 25;

/// An order to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StageOrder {
    /// The endpoint.
    pub endpoint: Box<str>,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// What it shall do.
    pub kind: EndpointKind,
}

/// An order that was given and has not shown its effect.
#[derive(Debug, Clone, Copy)]
struct Pending {
    kind: EndpointKind,
    boot: BootId,
    since: Timestamp,
}

/// The orders that are under way.
#[derive(Debug, Default)]
pub struct Stages {
    pending: BTreeMap<Box<str>, Pending>,
    /// How many engines each pool has, how many of them read prompts, and since when.
    shapes: BTreeMap<Box<str>, (usize, usize, Timestamp)>,
}

impl Stages {
    /// Returns the orders to give now, so that as many of each pool's engines as the terms say, one
    /// at least, read prompts.
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

    /// Forgets an order that its endpoint has refused.
    pub fn refused(&mut self, endpoint: &str) {
        self.pending.remove(endpoint);
    }

    /// Forgets the orders that are carried out, or whose endpoints have started again.
    fn remove_settled(&mut self, now: Timestamp, endpoints: &[EndpointState]) {
        self.pending.retain(|name, order| {
            let state = endpoints.iter().find(|e| e.name == *name);
            let open = state.is_none_or(|e| e.boot == order.boot && e.kind != order.kind);
            open && now - order.since < ORDER_TTL
        });
    }

    /// Returns whether a pool has stayed as it is for a while.
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
        // One reader too few costs less than an engine that is moved to and fro.
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
        // Engines of the failure domain that has most of their kind go first.
        let mut domains: BTreeMap<&str, usize> = BTreeMap::new();
        movable.iter().for_each(|e| *domains.entry(&e.domain).or_default() += 1);
        let mut orders = Vec::new();
        while orders.len() < count.min(allowed) {
            let most = domains.iter().max_by_key(|(_, n)| **n).map(|(domain, _)| *domain);
            let found = movable.iter().position(|e| Some(&*e.domain) == most);
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

/// How many engines of a pool shall read prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StageTerms {
    /// The share of a pool that the work needs, in percent; 0 leaves engines as they are.
    pub share: u32,
    /// Engines beside it, which bear that others crash.
    pub spare: u32,
}

impl StageTerms {
    /// Returns how many engines of a pool shall read prompts.
    fn prefill_count(&self, pool: usize) -> usize {
        let needed = (pool * self.share as usize + 50) / 100;
        // A small pool has no engine to spare.
        let spare = (self.spare as usize).min(pool / SPARE_POOL_SIZE);
        (needed + spare).clamp(1, pool.saturating_sub(1).max(1))
    }
}
