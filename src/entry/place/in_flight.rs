//! Placement by least load, from own counts, which are never stale, and from agents' reports.

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::prefix::Prefixes;
use super::{EndpointKey, Fleet, Need, Placement, Policy, Tracked, Variant};
use crate::entry::health::MAX_EJECTED_PERCENT;
use crate::model::{EndpointKind, Timestamp};

/// The maximum size of a pool of which all endpoints are compared.
const SCAN_LIMIT: usize = 64;
/// Number of endpoints sampled in a larger pool.
const SAMPLE_SIZE: usize = 16;
/// Prompt tokens that need no prefill if the prefix is cached.
const PREFIX_TOKENS: f64 = 600.0;
/// Microseconds of transfer that cost as much as one request in the batch.
const TRANSFER_WEIGHT: f64 = 25_000.0;
/// The added cost of an attempt in the failure domain where the previous one failed.
const SAME_DOMAIN_COST: f64 = 1e6;
/// The added cost of another attempt at an endpoint that the call has tried.
const SAME_ENDPOINT_COST: f64 = 1e9;

/// Chooses the endpoint with the least estimated load.
#[derive(Debug)]
pub struct InFlight {
    variant: Variant,
    random: Pcg64Mcg,
    prefixes: Prefixes,
}

impl InFlight {
    /// Creates the placement; `variant` selects the load signals that it uses.
    pub fn new(variant: Variant, seed: u64) -> InFlight {
        let random = Pcg64Mcg::seed_from_u64(seed);
        InFlight { variant, random, prefixes: Prefixes::default() }
    }

    /// Returns the cost of an attempt at an endpoint; `None` if it has no capacity left.
    fn cost(
        &self,
        now: Timestamp,
        need: &Need<'_>,
        key: EndpointKey,
        endpoint: &Tracked,
    ) -> Option<f64> {
        let (load, capacity) = (endpoint.load(now), endpoint.state.capacity);
        let pieces = need.tokens.div_ceil(capacity.piece_tokens.max(1)).max(1);
        if load.slots >= capacity.slots || load.pieces + pieces > capacity.pieces {
            return None;
        }
        let cost = match need.kind {
            EndpointKind::Prefill => self.prefill_cost(now, need, key, endpoint),
            EndpointKind::Decode => {
                let slots = f64::from(load.slots) / f64::from(capacity.slots);
                let memory = f64::from(load.pieces) / f64::from(capacity.pieces);
                20.0 * slots.max(memory) + self.transfer_cost(now, endpoint)
            }
            EndpointKind::Service => f64::from(load.slots),
        };
        Some(cost)
    }

    fn prefill_cost(
        &self,
        now: Timestamp,
        need: &Need<'_>,
        key: EndpointKey,
        endpoint: &Tracked,
    ) -> f64 {
        let load = endpoint.load(now);
        let backlog = f64::from(load.prompt_tokens) + f64::from(load.slots);
        let likely = match need.prefix {
            Some(prefix) if self.variant >= Variant::Prefix => {
                self.prefixes.likelihood(now, prefix, key)
            }
            _ => 0.0,
        };
        backlog - likely * PREFIX_TOKENS
    }

    fn transfer_cost(&self, now: Timestamp, endpoint: &Tracked) -> f64 {
        if self.variant < Variant::Link {
            return 0.0;
        }
        let time = endpoint.transfer.get(now) as f64 / TRANSFER_WEIGHT;
        time * f64::from(1 + endpoint.transfers)
    }

    /// Returns the endpoints to compare: all of a small pool, a random sample of a large one.
    fn sample(&mut self, keys: &[EndpointKey]) -> Vec<EndpointKey> {
        if keys.len() <= SCAN_LIMIT {
            return keys.to_vec();
        }
        let pick = |_| keys[(self.random.next_u64() % keys.len() as u64) as usize];
        (0..SAMPLE_SIZE).map(pick).collect()
    }

    fn cheapest(
        &self,
        now: Timestamp,
        need: &Need<'_>,
        fleet: &Fleet,
        keys: &[EndpointKey],
    ) -> Option<EndpointKey> {
        let known: Vec<_> = keys.iter().filter_map(|k| Some((*k, fleet.get(*k)?))).collect();
        let ejects = self.policy().health;
        let ejected = known.iter().filter(|(_, e)| !e.health.is_available(now)).count();
        // Above the limit, ejected endpoints are used again so that the others are not overloaded.
        let skip_ejected = ejects && ejected * 100 <= known.len() * MAX_EJECTED_PERCENT;
        let cost = |(key, endpoint): &(EndpointKey, &Tracked)| {
            if endpoint.state.draining || (skip_ejected && !endpoint.health.is_available(now)) {
                return None;
            }
            let same_domain = need.avoid == Some(&*endpoint.state.domain);
            let domain = if same_domain { SAME_DOMAIN_COST } else { 0.0 };
            // In a small pool, the call may have tried every endpoint already.
            let tried = need.tried.contains(&endpoint.state.name);
            let endpoint_cost = if tried { SAME_ENDPOINT_COST } else { 0.0 };
            Some((self.cost(now, need, *key, endpoint)? + domain + endpoint_cost, *key))
        };
        let costs = known.iter().filter_map(cost);
        costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, key)| key)
    }
}

impl Placement for InFlight {
    fn choose(&mut self, now: Timestamp, need: &Need<'_>, fleet: &Fleet) -> Option<EndpointKey> {
        let keys = fleet.of_software(need);
        let sample = self.sample(&keys);
        self.cheapest(now, need, fleet, &sample)
    }

    fn policy(&self) -> Policy {
        self.variant.policy()
    }

    fn prefill_sent(&mut self, now: Timestamp, prefix: u64, endpoint: EndpointKey) {
        if self.variant >= Variant::Prefix {
            self.prefixes.record(now, prefix, endpoint);
        }
    }
}
