//! A set of endpoints with digests, by which a member and a follower find their differences.

use std::collections::BTreeMap;

use sha2::{Digest, Sha256};

use crate::link::message::Endpoints;
use crate::model::{EndpointState, Load};

/// The number of buckets into which a set is divided for the comparison of digests.
pub const BUCKETS: usize = 64;

/// A set of endpoints by name, with a digest of each bucket.
#[derive(Debug, Clone)]
pub struct View {
    endpoints: BTreeMap<Box<str>, (EndpointState, u64)>,
    digests: [u64; BUCKETS],
}

impl Default for View {
    fn default() -> Self {
        View { endpoints: BTreeMap::new(), digests: [0; BUCKETS] }
    }
}

impl View {
    /// Returns the endpoints in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = &EndpointState> {
        self.endpoints.values().map(|(e, _)| e)
    }

    /// Returns the state of the endpoint with a name.
    pub fn get(&self, name: &str) -> Option<&EndpointState> {
        self.endpoints.get(name).map(|(e, _)| e)
    }

    /// Returns a digest of the complete set, without the loads of its endpoints.
    pub fn digest(&self) -> u64 {
        self.digests.iter().enumerate().fold(0, |all, (i, d)| all ^ d.rotate_left(i as u32))
    }

    /// Returns the digest of each bucket.
    pub fn digests(&self) -> &[u64; BUCKETS] {
        &self.digests
    }

    /// Adds or replaces an endpoint; returns whether anything but its load has changed.
    pub fn set(&mut self, endpoint: &EndpointState) -> bool {
        let bucket = bucket(&endpoint.name);
        let digest = digest(endpoint);
        let before = self.endpoints.insert(endpoint.name.clone(), (endpoint.clone(), digest));
        let before = before.map_or(0, |(_, d)| d);
        self.digests[bucket] ^= before ^ digest;
        before != digest
    }

    /// Removes an endpoint; returns whether the set contained it.
    pub fn remove(&mut self, name: &str) -> bool {
        let Some((_, digest)) = self.endpoints.remove(name) else { return false };
        self.digests[bucket(name)] ^= digest;
        true
    }

    /// Returns the endpoints of the given buckets.
    pub fn part(&self, buckets: &[u8]) -> Vec<EndpointState> {
        let within = |e: &&EndpointState| buckets.contains(&(bucket(&e.name) as u8));
        self.iter().filter(within).cloned().collect()
    }

    /// Returns the buckets whose digests differ from the given ones.
    pub fn differing(&self, digests: &[u64]) -> Vec<u8> {
        let pairs = self.digests.iter().zip(digests).enumerate();
        pairs.filter(|(_, (own, other))| own != other).map(|(i, _)| i as u8).collect()
    }

    /// Applies a member's update; returns the buckets to request from it.
    pub fn apply(&mut self, endpoints: &Endpoints) -> Vec<u8> {
        match endpoints {
            Endpoints::All(all) => {
                *self = View::default();
                self.set_all(all);
            }
            Endpoints::Changed { set, gone } => {
                for name in gone {
                    self.remove(name);
                }
                self.set_all(set);
            }
            Endpoints::Part { buckets, set } => {
                for endpoint in self.part(buckets) {
                    self.remove(&endpoint.name);
                }
                self.set_all(set);
            }
            Endpoints::Digests(digests) => return self.differing(digests),
        }
        Vec::new()
    }

    fn set_all(&mut self, endpoints: &[EndpointState]) {
        for endpoint in endpoints {
            self.set(endpoint);
        }
    }
}

/// Returns the endpoints of all views by name, each in its newest state.
pub fn merge<'a>(views: impl Iterator<Item = &'a View>) -> BTreeMap<&'a str, &'a EndpointState> {
    let mut all: BTreeMap<&str, &EndpointState> = BTreeMap::new();
    for endpoint in views.flat_map(View::iter) {
        let known = all.get(&*endpoint.name);
        if known.is_none_or(|e| version(e) < version(endpoint)) {
            all.insert(&endpoint.name, endpoint);
        }
    }
    all
}

/// Returns the boot and sequence number of a state; the newer of two states has the greater pair.
pub fn version(endpoint: &EndpointState) -> (crate::model::BootId, u64) {
    (endpoint.boot, endpoint.sequence)
}

fn digest(endpoint: &EndpointState) -> u64 {
    let steady = EndpointState { load: Load::default(), ..endpoint.clone() };
    hash(&postcard::to_stdvec(&steady).unwrap_or_default())
}

fn bucket(name: &str) -> usize {
    hash(name.as_bytes()) as usize % BUCKETS
}

/// Returns a 64-bit hash that is the same in every process.
pub(crate) fn hash(bytes: &[u8]) -> u64 {
    let digest = Sha256::digest(bytes);
    u64::from_le_bytes(digest.first_chunk::<8>().copied().unwrap_or_default())
}
