//! Places the run of a call where its prompt can be prefilled soon, too.
//!
//! This matters while the prefill endpoints of one domain are busy or gone: a run there would get its
//! KV cache from another domain, or late. The decode endpoint is chosen first, so the expected time of
//! a prefill in its domain counts for it. Without learned speeds nothing counts, as before.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Candidate;
use super::prompts::Prompts;
use super::speeds::Speeds;
use crate::gateway::place::locality::{DomainTerms, Times, Work};
use crate::gateway::place::speed::{WorkRate, usual_rate};
use crate::model::{EndpointKind, EndpointState, Timestamp};

/// How often the list of endpoints is read anew; it changes with heartbeats, twice a second.
const REFRESH_INTERVAL: Duration = Duration::from_millis(500);

/// A prefill endpoint and its domain.
type Prefill = (Box<str>, Box<str>);

/// The domains of endpoints, as of the last refresh.
#[derive(Debug, Default)]
pub struct Pairs {
    /// The service and the domain of each decode endpoint.
    decodes: BTreeMap<Box<str>, (Box<str>, Box<str>)>,
    /// The prefill endpoints of each service, with their domains.
    prefills: BTreeMap<Box<str>, Vec<Prefill>>,
    next_refresh: Timestamp,
}

impl Pairs {
    /// Reads the list of endpoints if the last one is old.
    pub fn refresh(&mut self, now: Timestamp, list: impl FnOnce() -> Vec<EndpointState>) {
        if now < self.next_refresh {
            return;
        }
        *self = Pairs { next_refresh: now + REFRESH_INTERVAL, ..Pairs::default() };
        for endpoint in list() {
            match endpoint.kind {
                EndpointKind::Decode => {
                    self.decodes.insert(endpoint.name, (endpoint.pool, endpoint.domain));
                }
                EndpointKind::Prefill if !endpoint.draining => {
                    let prefills = self.prefills.entry(endpoint.pool).or_default();
                    prefills.push((endpoint.name, endpoint.domain));
                }
                _ => {}
            }
        }
    }

    /// Sets the wait of each candidate for a run: the least expected time of the prompts ahead at the
    /// prefill endpoints of its domain; without any there, at those of others, with the crossing.
    pub fn set_waits(
        &self,
        now: Timestamp,
        candidates: &mut [Candidate],
        prompts: &Prompts,
        speeds: &Speeds,
    ) {
        let service = |c: &Candidate| self.decodes.get(&c.endpoint).map(|(service, _)| service);
        let Some(prefills) = candidates.iter().find_map(service).and_then(|s| self.prefills.get(s))
        else {
            return;
        };
        let rate = |(name, _): &Prefill| speeds.rate(now, name);
        let rates: Vec<Option<WorkRate>> = prefills.iter().map(rate).collect();
        if usual_rate(&rates).is_none() {
            return;
        }
        let times = Times::new(Work::CountedPrompt, DomainTerms::default(), &rates);
        let costs: Vec<(u64, u64, &str)> = prefills
            .iter()
            .enumerate()
            .map(|(at, (name, domain))| {
                let backlog = prompts.backlog(name);
                (times.cost(at, backlog, true), times.cost(at, backlog, false), &**domain)
            })
            .collect();
        for candidate in candidates {
            let Some((_, own)) = self.decodes.get(&candidate.endpoint) else { continue };
            let near = costs.iter().filter(|(_, _, domain)| **domain == **own);
            let near = near.map(|(near, _, _)| *near).min();
            let far = || costs.iter().map(|(_, far, _)| *far).min().unwrap_or_default();
            let least = near.unwrap_or_else(far);
            candidate.wait = u32::try_from(least / 1_000).unwrap_or(u32::MAX);
        }
    }
}
