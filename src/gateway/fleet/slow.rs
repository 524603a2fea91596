//! The endpoints of a gateway that are slower than others of their service.

use std::collections::BTreeMap;

use super::{Endpoint, Fleet};
use crate::gateway::place::speed::{Estimate, percents};
use crate::model::{EndpointKind, Timestamp};

impl Fleet {
    /// Returns up to `max` endpoints whose speed is at most so many percent of the usual one of their
    /// service and kind, slowest first.
    pub fn slow(
        &self,
        now: Timestamp,
        percent: u32,
        max: usize,
    ) -> Vec<(u32, &Endpoint, Estimate)> {
        let mut alike: BTreeMap<(&str, EndpointKind), Vec<(&Endpoint, Estimate)>> = BTreeMap::new();
        for endpoint in self.endpoints.values() {
            if let Some(estimate) = endpoint.estimate(now) {
                let key = (&*endpoint.pool, endpoint.kind);
                alike.entry(key).or_default().push((endpoint, estimate));
            }
        }
        let mut slow = Vec::new();
        for known in alike.values() {
            let speeds = percents(&known.iter().map(|(_, e)| Some(e.rate)).collect::<Vec<_>>());
            let found = known.iter().zip(speeds).filter(|(_, speed)| *speed <= percent);
            slow.extend(found.map(|((endpoint, estimate), speed)| (speed, *endpoint, *estimate)));
        }
        slow.sort_by_key(|(speed, _, _)| *speed);
        slow.truncate(max);
        slow
    }
}
