//! Membership: live processes and endpoints by their heartbeats, and the follower of each process.

mod follower;

use std::collections::BTreeMap;
use std::time::Duration;

pub use follower::{Follower, FollowerSettings};

use crate::control::orders::OrderReport;
use crate::link::message::ProcessState;
use crate::model::{BootId, EndpointState, Load, Timestamp};

/// How long a process is known after its last heartbeat.
pub const HEARTBEAT_LEASE: Duration = Duration::from_millis(3_000);

/// The soft state of a control member: who is alive.
#[derive(Debug, Default)]
pub struct Registry {
    processes: BTreeMap<(Box<str>, Box<str>), (ProcessState, Timestamp)>,
    schemas: BTreeMap<(Box<str>, Box<str>), u32>,
    endpoints: BTreeMap<Box<str>, (EndpointState, Timestamp)>,
    reports: BTreeMap<Box<str>, OrderReport>,
    version: u64,
}

impl Registry {
    /// Takes a heartbeat.
    pub fn heartbeat(
        &mut self,
        now: Timestamp,
        process: ProcessState,
        endpoint: Option<EndpointState>,
        report: Option<OrderReport>,
    ) {
        let key = (process.name.clone(), process.role.clone());
        self.processes.insert(key, (process, now));
        let Some(endpoint) = endpoint else { return };
        self.reports.insert(endpoint.name.clone(), report.unwrap_or_default());
        let before = self.endpoints.get(&endpoint.name).map(|(e, _)| without_load(e));
        if before != Some(without_load(&endpoint)) {
            self.version += 1;
        }
        self.endpoints.insert(endpoint.name.clone(), (endpoint, now));
    }

    /// Notes the newest set of settings that a process understands.
    pub fn schema(&mut self, process: &ProcessState, schema: u32) {
        self.schemas.insert((process.name.clone(), process.role.clone()), schema);
    }

    /// Returns the names of live processes that don't understand a set of settings.
    pub fn older_than(&self, schema: u32) -> Vec<String> {
        let old = self.schemas.iter().filter(|(_, known)| **known < schema);
        old.map(|((name, role), _)| format!("{name} ({role})")).collect()
    }

    /// Forgets what has not been heard of for the length of the lease.
    pub fn expire(&mut self, now: Timestamp) {
        self.processes.retain(|_, (_, seen)| now - *seen < HEARTBEAT_LEASE);
        self.schemas.retain(|key, _| self.processes.contains_key(key));
        let count = self.endpoints.len();
        self.endpoints.retain(|_, (_, seen)| now - *seen < HEARTBEAT_LEASE);
        self.reports.retain(|name, _| self.endpoints.contains_key(name));
        if self.endpoints.len() != count {
            self.version += 1;
        }
    }

    /// Returns when the next entry lapses.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.processes.values().map(|(_, seen)| *seen + HEARTBEAT_LEASE).min()
    }

    /// Returns a number that changes with every change of the endpoints.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns whether a start of a process is alive.
    pub fn is_alive(&self, now: Timestamp, boot: BootId) -> bool {
        let fresh = |seen: Timestamp| now - seen < HEARTBEAT_LEASE;
        self.processes.values().any(|(p, seen)| p.boot == boot && fresh(*seen))
    }

    /// Returns the live endpoints.
    pub fn endpoints(&self) -> Vec<EndpointState> {
        self.endpoints.values().map(|(e, _)| e.clone()).collect()
    }

    /// Returns the live endpoints with what their agents report about orders.
    pub fn reports(&self) -> impl Iterator<Item = (&EndpointState, &OrderReport)> {
        self.endpoints.values().filter_map(|(e, _)| Some((e, self.reports.get(&e.name)?)))
    }

    /// Returns the live processes with the age of their last heartbeats.
    pub fn processes(&self, now: Timestamp) -> Vec<(ProcessState, Duration)> {
        self.processes.values().map(|(p, seen)| (p.clone(), now - *seen)).collect()
    }
}

fn without_load(endpoint: &EndpointState) -> EndpointState {
    EndpointState { load: Load::default(), ..endpoint.clone() }
}
