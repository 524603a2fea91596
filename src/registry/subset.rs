//! The choice of endpoints that an entry uses, which bounds the connections on both sides.

use std::collections::BTreeMap;

use super::view::hash;
use crate::model::EndpointState;

/// The share of a subset from the entry's own failure domain, in percent. The rest is the fallback
/// when that domain fails, and gives work to endpoints in domains without entries.
const LOCAL_PERCENT: usize = 75;

/// Picks the endpoints that an entry uses: up to `size` of each pool and kind, by rendezvous
/// hashing and mostly from its own failure domain. Draining endpoints are picked in addition.
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
    let (local, remote): (Vec<_>, Vec<_>) =
        ranked.into_iter().partition(|(_, e)| *e.domain == *domain);
    let missing_remote = size.saturating_sub(remote.len());
    let local_size = local.len().min(missing_remote.max(size * LOCAL_PERCENT / 100));
    let local = local.into_iter().take(local_size);
    local.chain(remote.into_iter().take(size - local_size)).map(|(_, e)| e).collect()
}

fn score(entry: &str, endpoint: &str) -> u64 {
    hash(format!("{entry}/{endpoint}").as_bytes())
}
