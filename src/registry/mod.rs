//! Membership: the registry of live processes and endpoints at a control member, and the follower
//! with which each process reports to it.

mod changes;
mod contacts;
pub mod document_proof;
mod follower;
pub mod majority;
mod open_heartbeats;
mod reread;
mod routing_view;
pub mod subset;
pub mod view;

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

pub use changes::Changes;
pub use follower::{Follower, FollowerSettings, HeardLoad};

use crate::control::config::Revised;
use crate::control::orders::OrderReport;
use crate::control::quarantine::Start;
use crate::link::message::{Endpoints, Heartbeat, ProcessState, Seen};
use crate::model::{BootId, EndpointState, Timestamp};
use view::View;

/// The role under which endpoints without agents are listed.
const ENDPOINT_ROLE: &str = "endpoint";
/// How long a process counts as alive after its last heartbeat.
pub const HEARTBEAT_LEASE: Duration = Duration::from_millis(3_000);

new_key_type! {
    /// The key of a live process.
    struct ProcessKey;
}

/// What is known of a live process.
#[derive(Debug)]
struct Record {
    state: ProcessState,
    /// The address at which it can be called, if it can.
    address: Option<SocketAddr>,
    last_heartbeat: Timestamp,
    report: OrderReport,
    /// The newest schema of settings that it supports.
    schema: u32,
}

/// The live processes and endpoints that a control member knows; not stored on disk.
#[derive(Debug)]
pub struct Registry {
    epoch: BootId,
    started: Option<Timestamp>,
    records: SlotMap<ProcessKey, Record>,
    names: BTreeMap<(Box<str>, Box<str>), ProcessKey>,
    boots: BTreeSet<(BootId, ProcessKey)>,
    /// Processes by the expiry of their leases.
    leases: BTreeSet<(Timestamp, ProcessKey)>,
    view: View,
    agents: BTreeMap<Box<str>, ProcessKey>,
    changes: Changes,
}

impl Registry {
    /// Returns the numbers of live processes and endpoints.
    pub fn counts(&self) -> (usize, usize) {
        (self.names.len(), self.agents.len())
    }

    /// Creates the empty registry of a control member that has just started.
    pub fn new(epoch: BootId) -> Registry {
        Registry {
            epoch,
            started: None,
            records: SlotMap::with_key(),
            names: BTreeMap::new(),
            boots: BTreeSet::new(),
            leases: BTreeSet::new(),
            view: View::default(),
            agents: BTreeMap::new(),
            changes: Changes::default(),
        }
    }

    /// Applies a heartbeat; one of an earlier boot of the process is ignored, and so is an
    /// endpoint state that is older than the known one. Of two states with the same number, the
    /// first one holds, except for its load, whose changes are not numbered.
    pub fn heartbeat(&mut self, now: Timestamp, heartbeat: Heartbeat) {
        self.started.get_or_insert(now);
        let state = heartbeat.process;
        let name = (state.name.clone(), state.role.clone());
        let boot = state.boot;
        let key = match self.names.get(&name) {
            Some(key) if self.records.get(*key).is_some_and(|r| r.state.boot > boot) => return,
            Some(key) => *key,
            None => {
                let key = self.records.insert(Record {
                    state: state.clone(),
                    address: None,
                    last_heartbeat: now,
                    report: OrderReport::default(),
                    schema: 0,
                });
                self.names.insert(name, key);
                key
            }
        };
        let Some(record) = self.records.get_mut(key) else { return };
        self.leases.remove(&(record.last_heartbeat + HEARTBEAT_LEASE, key));
        self.leases.insert((now + HEARTBEAT_LEASE, key));
        self.boots.remove(&(record.state.boot, key));
        self.boots.insert((boot, key));
        record.last_heartbeat = now;
        record.schema = heartbeat.schema;
        record.address = heartbeat.address;
        record.state = state;
        let Some(mut endpoint) = heartbeat.endpoint else { return };
        if let Some(known) = self.view.get(&endpoint.name) {
            match view::version(known).cmp(&view::version(&endpoint)) {
                Ordering::Greater => return,
                Ordering::Equal => {
                    endpoint = EndpointState { load: endpoint.load, ..known.clone() }
                }
                Ordering::Less => {}
            }
        }
        record.report = heartbeat.report.unwrap_or_default();
        self.agents.insert(endpoint.name.clone(), key);
        if self.view.set(&endpoint) {
            self.changes.record(&endpoint.name);
        }
    }

    /// Applies the state that an endpoint without an agent reports; the endpoint is listed as a
    /// process of its own.
    pub fn announce(&mut self, now: Timestamp, endpoint: EndpointState, revised: Revised) {
        let process = ProcessState {
            name: endpoint.name.clone(),
            role: ENDPOINT_ROLE.into(),
            domain: endpoint.domain.clone(),
            boot: endpoint.boot,
            revised,
        };
        self.heartbeat(now, Heartbeat::of_endpoint(process, endpoint));
    }

    /// Returns the number of live processes with a role.
    pub fn count_role(&self, role: &str) -> u32 {
        self.names.keys().filter(|(_, r)| **r == *role).count() as u32
    }

    /// Returns the names and roles of live processes that don't support a schema of settings.
    pub fn older_than(&self, schema: u32) -> Vec<String> {
        let old = self.records.values().filter(|r| r.schema < schema);
        old.map(|r| format!("{} ({})", r.state.name, r.state.role)).collect()
    }

    /// Removes the processes, and their endpoints, whose leases have expired.
    pub fn expire(&mut self, now: Timestamp) {
        while let Some((at, key)) = self.leases.first().copied()
            && at <= now
        {
            self.leases.pop_first();
            let Some(record) = self.records.remove(key) else { continue };
            let ProcessState { name, role, boot, .. } = record.state;
            self.boots.remove(&(boot, key));
            self.names.remove(&(name.clone(), role));
            if self.agents.get(&name) == Some(&key) {
                self.agents.remove(&name);
                if self.view.remove(&name) {
                    self.changes.record(&name);
                }
            }
        }
    }

    /// Returns when the next lease expires.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.leases.first().map(|(at, _)| *at)
    }

    /// Returns whether the process with this boot is alive.
    pub fn is_alive(&self, now: Timestamp, boot: BootId) -> bool {
        // The null key sorts after all other keys.
        let last = (boot, ProcessKey::default());
        let same = self.boots.range(..=last).rev().take_while(|(b, _)| *b == boot);
        let alive = |key: ProcessKey| {
            self.records.get(key).is_some_and(|r| now - r.last_heartbeat < HEARTBEAT_LEASE)
        };
        same.into_iter().any(|(_, key)| alive(*key))
    }

    /// Returns whether the process with this boot is alive as far as this member can know: one that
    /// has just started has not received heartbeats of all processes yet, so for the length of a
    /// lease it counts no process as dead.
    pub fn may_be_alive(&self, now: Timestamp, boot: BootId) -> bool {
        !self.is_warm(now) || self.is_alive(now, boot)
    }

    /// Returns whether this member has received heartbeats for the length of a lease.
    fn is_warm(&self, now: Timestamp) -> bool {
        self.started.is_some_and(|at| now >= at + HEARTBEAT_LEASE)
    }

    /// Returns the state that a follower has seen once it has applied the reply to its heartbeat.
    pub fn seen(&self) -> Seen {
        Seen { epoch: self.epoch, version: self.changes.version(), digest: self.view.digest() }
    }

    /// Returns the update of endpoints that a follower needs, or `None` if it needs none.
    ///
    /// A member that has just started has not received heartbeats for all endpoints yet. For the
    /// length of a lease it therefore causes no follower to remove endpoints.
    pub fn endpoint_update(
        &self,
        now: Timestamp,
        seen: Seen,
        full_buckets: &[u8],
    ) -> Option<Endpoints> {
        if seen.digest == self.view.digest() {
            return None;
        }
        let warm = self.is_warm(now);
        let fresh = seen == Seen::default();
        let own = seen.epoch == self.epoch;
        if !warm && !own && !fresh {
            return None;
        }
        let behind = own && seen.version < self.changes.version();
        if let Some(names) = self.changes.since(seen.version).filter(|_| behind) {
            return Some(self.changed(&names, warm));
        }
        if !warm {
            return Some(Endpoints::Changed { set: self.endpoints(), gone: Vec::new() });
        }
        if fresh {
            return Some(Endpoints::All(self.endpoints()));
        }
        if full_buckets.is_empty() {
            return Some(Endpoints::Digests(self.view.digests().to_vec()));
        }
        Some(Endpoints::Part { buckets: full_buckets.into(), set: self.view.part(full_buckets) })
    }

    fn changed(&self, names: &BTreeSet<&str>, warm: bool) -> Endpoints {
        let set = names.iter().filter_map(|n| self.view.get(n).cloned()).collect();
        let gone = names.iter().filter(|n| warm && self.view.get(n).is_none());
        Endpoints::Changed { set, gone: gone.map(|n| (*n).into()).collect() }
    }

    /// Returns the states of all live endpoints.
    pub fn endpoints(&self) -> Vec<EndpointState> {
        self.view.iter().cloned().collect()
    }

    /// Returns the sequence number of the last state that a start of an endpoint has announced, if it
    /// is listed.
    pub fn sequence(&self, start: &Start) -> Option<u64> {
        let state = self.view.get(&start.endpoint).filter(|e| e.boot == start.boot);
        state.map(|e| e.sequence)
    }

    /// Returns the live endpoints with the reports of their agents on orders.
    pub fn reports(&self) -> impl Iterator<Item = (&EndpointState, &OrderReport)> {
        self.view.iter().filter_map(|e| {
            let record = self.records.get(*self.agents.get(&e.name)?)?;
            Some((e, &record.report))
        })
    }

    /// Returns whether any live process can be called.
    pub fn has_addresses(&self) -> bool {
        self.records.values().any(|r| r.address.is_some())
    }

    /// Returns the live processes with the addresses at which they can be called, and the times of
    /// their last heartbeats.
    pub fn addresses(
        &self,
    ) -> impl Iterator<Item = (&ProcessState, Option<SocketAddr>, Timestamp)> {
        self.records.values().map(|r| (&r.state, r.address, r.last_heartbeat))
    }

    /// Returns the live processes with the ages of their last heartbeats.
    pub fn processes(&self, now: Timestamp) -> Vec<(ProcessState, Duration)> {
        self.records.values().map(|r| (r.state.clone(), now - r.last_heartbeat)).collect()
    }
}
