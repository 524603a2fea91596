//! How the endpoints of a gateway follow the list of control.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::{Endpoint, EndpointKey, Fleet, Job, Notices, PeerId};
use crate::model::{BootId, EndpointState, Timestamp};

/// The maximum number of endpoints that are no longer listed of which is kept what they have said.
const MAX_UNLISTED: usize = 256;

impl Fleet {
    /// Applies a new list of endpoints and returns the idle connections of removed endpoints, which
    /// the caller closes.
    ///
    /// An endpoint that is no longer listed gets no new work; calls that run there continue. So many
    /// `gateways` share the slots of endpoints.
    pub fn update(
        &mut self,
        now: Timestamp,
        listed: &BTreeMap<Box<str>, EndpointState>,
        gateways: u32,
    ) -> Vec<PeerId> {
        for state in listed.values() {
            match self.names.get(&state.name) {
                Some(key) => {
                    let Some(known) = self.endpoints.get_mut(*key) else { continue };
                    let restarted = known.listed.0 != state.boot;
                    if restarted || known.address != state.address || known.pool != state.pool {
                        // The endpoint was restarted, or replaced by another under its name.
                        let (notices, usage) = (known.notices, known.usage);
                        *known = Endpoint::new(now, state, &self.domain, gateways);
                        known.usage = usage;
                        if !restarted {
                            known.adopt(notices);
                        }
                        continue;
                    }
                    known.relist(now, state);
                }
                None => {
                    let mut endpoint = Endpoint::new(now, state, &self.domain, gateways);
                    endpoint.adopt(self.earlier_notices(state));
                    let key = self.endpoints.insert(endpoint);
                    self.names.insert(state.name.clone(), key);
                }
            }
        }
        for (name, key) in &self.names {
            if !listed.contains_key(name)
                && let Some(endpoint) = self.endpoints.get_mut(*key)
            {
                endpoint.accepts_work = false;
            }
        }
        self.close_superseded();
        let unused = self.remove_unlisted(listed);
        self.rebuild_pools();
        unused
    }

    /// Returns the endpoints of which a list names another start, at the same address.
    pub fn restarted(&self, listed: &BTreeMap<Box<str>, EndpointState>) -> BTreeSet<EndpointKey> {
        let restarted = |state: &EndpointState| {
            let key = *self.names.get(&state.name)?;
            let known = self.endpoints.get(key)?;
            let is_newer = known.listed.0 != state.boot && known.address == state.address;
            is_newer.then_some(key)
        };
        listed.values().filter_map(restarted).collect()
    }

    /// Returns what the start of a listed endpoint said before it was not listed for a time.
    fn earlier_notices(&self, state: &EndpointState) -> Notices {
        let same = |(name, boot, _): &&(Box<str>, BootId, Notices)| {
            *name == state.name && *boot == state.boot
        };
        self.unlisted.iter().rev().find(same).map(|(_, _, notices)| *notices).unwrap_or_default()
    }

    /// Keeps what an endpoint has said that is no longer listed.
    fn keep_notices(&mut self, endpoint: &Endpoint) {
        if endpoint.notices == Notices::default() {
            return;
        }
        let (boot, _) = endpoint.listed;
        self.unlisted.push_back((endpoint.name.clone(), boot, endpoint.notices));
        if self.unlisted.len() > MAX_UNLISTED {
            self.unlisted.pop_front();
        }
    }

    /// Closes endpoints at whose address a later start is listed, under their name or another.
    fn close_superseded(&mut self) {
        let mut newest: BTreeMap<SocketAddr, BootId> = BTreeMap::new();
        for endpoint in self.endpoints.values() {
            let boot = newest.entry(endpoint.address).or_default();
            *boot = (*boot).max(endpoint.listed.0);
        }
        for endpoint in self.endpoints.values_mut() {
            let last = newest.get(&endpoint.address);
            endpoint.accepts_work &= last.is_none_or(|boot| *boot <= endpoint.listed.0);
        }
    }

    /// Removes endpoints that are not listed and have no connection in use; returns their idle
    /// connections.
    fn remove_unlisted(&mut self, listed: &BTreeMap<Box<str>, EndpointState>) -> Vec<PeerId> {
        let busy: Vec<EndpointKey> =
            self.conns.values().filter(|c| c.job != Job::Idle).map(|c| c.endpoint).collect();
        let unlisted =
            |name: &str, key: &EndpointKey| !listed.contains_key(name) && !busy.contains(key);
        let keys: Vec<EndpointKey> =
            self.names.iter().filter(|(n, k)| unlisted(n, k)).map(|(_, k)| *k).collect();
        self.names.retain(|_, key| !keys.contains(key));
        let mut unused = Vec::new();
        for key in keys {
            if let Some(endpoint) = self.endpoints.remove(key) {
                self.keep_notices(&endpoint);
                unused.extend(endpoint.idle);
            }
        }
        unused.iter().for_each(|peer| {
            self.conns.remove(peer);
        });
        unused
    }

    fn rebuild_pools(&mut self) {
        self.pools.clear();
        for (key, endpoint) in &self.endpoints {
            self.pools.entry(endpoint.pool.clone()).or_default().push(key);
        }
    }
}
