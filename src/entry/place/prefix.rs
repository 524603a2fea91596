//! Estimates which endpoints have a prompt's prefix cached.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::EndpointKey;
use crate::model::Timestamp;

/// The maximum number of prefixes that are kept.
const MAX_PREFIXES: usize = 4_096;
/// The maximum number of endpoints that are kept for a prefix.
const MAX_ENDPOINTS: usize = 4;
/// The time in which the likelihood of a cached prefix halves.
const HALF_LIFE: Duration = Duration::from_secs(5);

/// The endpoints that recently prefilled each prefix.
#[derive(Debug, Default)]
pub(super) struct Prefixes {
    places: BTreeMap<u64, Vec<(EndpointKey, Timestamp)>>,
    order: VecDeque<u64>,
}

impl Prefixes {
    /// Records a prefill; the oldest prefix is evicted when there are too many.
    pub(super) fn record(&mut self, now: Timestamp, prefix: u64, endpoint: EndpointKey) {
        if !self.places.contains_key(&prefix) {
            self.order.push_back(prefix);
            if self.order.len() > MAX_PREFIXES
                && let Some(oldest) = self.order.pop_front()
            {
                self.places.remove(&oldest);
            }
        }
        let places = self.places.entry(prefix).or_default();
        places.retain(|(e, _)| *e != endpoint);
        places.insert(0, (endpoint, now));
        places.truncate(MAX_ENDPOINTS);
    }

    /// Returns the likelihood, from 0 to 1, that an endpoint has the prefix cached.
    pub(super) fn likelihood(&self, now: Timestamp, prefix: u64, endpoint: EndpointKey) -> f64 {
        let places = self.places.get(&prefix).into_iter().flatten();
        let seen = places.filter(|(e, _)| *e == endpoint).map(|(_, at)| *at).max();
        seen.map_or(0.0, |at| 0.5f64.powf((now - at).as_secs_f64() / HALF_LIFE.as_secs_f64()))
    }
}
