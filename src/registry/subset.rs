//! Which endpoints of each pool an entry uses, so that neither side has too many connections.

use std::collections::BTreeMap;

use super::view::hash;
use crate::model::EndpointState;

/// The share of a subset that comes from the entry's own failure domain, in percent; the rest
/// serves as the way out when that domain fails, and for domains without entries.
const NEAR_PERCENT: usize = 75;

/// Picks the endpoints that an entry uses: so many of each pool and kind, by rendezvous hashing,
/// its own failure domain first. Endpoints that take no work are picked beside these.
pub fn pick<'a>(
    entry: &str,
    domain: &str,
    size: usize,
    endpoints: impl Iterator<Item = &'a EndpointState>,
) -> BTreeMap<Box<str>, EndpointState> {
    let mut groups: BTreeMap<(&str, &str), Vec<&EndpointState>> = BTreeMap::new();
    let mut picked = Vec::new();
    for endpoint in endpoints {
        if endpoint.draining {
            picked.push(endpoint);
        } else {
            let group = (&*endpoint.pool, endpoint.kind.as_str());
            groups.entry(group).or_default().push(endpoint);
        }
    }
    for group in groups.into_values() {
        picked.extend(pick_group(entry, domain, size, group));
    }
    picked.into_iter().map(|e| (e.name.clone(), e.clone())).collect()
}

fn pick_group<'a>(
    entry: &str,
    domain: &str,
    size: usize,
    group: Vec<&'a EndpointState>,
) -> Vec<&'a EndpointState> {
    if group.len() <= size {
        return group;
    }
    let mut ranked: Vec<_> = group.into_iter().map(|e| (score(entry, &e.name), e)).collect();
    ranked.sort_unstable_by_key(|(score, e)| (*score, &e.name));
    let (near, far): (Vec<_>, Vec<_>) = ranked.into_iter().partition(|(_, e)| *e.domain == *domain);
    let few_far = size.saturating_sub(far.len());
    let near_size = near.len().min(few_far.max(size * NEAR_PERCENT / 100));
    let near = near.into_iter().take(near_size);
    near.chain(far.into_iter().take(size - near_size)).map(|(_, e)| e).collect()
}

fn score(entry: &str, endpoint: &str) -> u64 {
    hash(format!("{entry}/{endpoint}").as_bytes())
}
