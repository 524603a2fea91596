//! The addresses of the processes that follow control, and the notices that members send to those
//! that they don't hear.
//!
//! A process that is cut off while all members that it knows are replaced can't find the new ones.
//! So the leader records the addresses of processes in the log, and each member with a vote tells a
//! silent process who votes. A notice proves nothing: the process asks the members that it names.

mod notices;
mod recorded;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use notices::Notices;
pub use recorded::{AddressChanges, MAX_PROCESSES, ProcessName, RecordedProcesses};

use super::state::Command;
use super::{Control, Outputs};
use crate::model::Timestamp;

/// How often a member compares the record with what it has heard, and sends the notices that are
/// due.
const REVIEW_INTERVAL: Duration = Duration::from_millis(200);
/// The minimum time between two proposals of changes to the record.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);
/// How long a leader hears nothing of a process until it is removed from the record.
const FORGET_AFTER: Duration = Duration::from_secs(600);
/// The maximum number of changes in one proposal.
const MAX_CHANGES: usize = 256;

/// What a member knows of the recorded processes; not stored on disk.
#[derive(Debug, Default)]
pub(super) struct Processes {
    /// When each process was last heard, or first found in the record.
    heard: BTreeMap<ProcessName, Timestamp>,
    /// The live processes and their addresses at the last review.
    live: BTreeMap<ProcessName, Option<SocketAddr>>,
    next_review: Timestamp,
    next_record: Timestamp,
    notices: Notices,
}

impl Control {
    /// Compares the record with the live processes, and sends the notices that are due.
    pub(super) fn review_processes(&mut self, now: Timestamp) -> Outputs {
        if now < self.processes.next_review {
            return Vec::new();
        }
        self.processes.next_review = now + REVIEW_INTERVAL;
        self.hear_processes(now);
        let mut outputs = self.record_processes(now);
        outputs.extend(self.send_notices(now));
        outputs
    }

    /// Returns when the next review is due, if there is anything to review.
    pub(super) fn next_process_review(&self) -> Option<Timestamp> {
        let idle = self.state.processes.is_empty() && !self.registry.has_addresses();
        (!idle).then_some(self.processes.next_review)
    }

    /// Notes when each process was last heard.
    fn hear_processes(&mut self, now: Timestamp) {
        let processes = &mut self.processes;
        processes.live.clear();
        for (state, address, at) in self.registry.addresses() {
            let process = ProcessName { name: state.name.clone(), role: state.role.clone() };
            processes.heard.insert(process.clone(), at);
            processes.live.insert(process, address);
        }
        for (process, _) in self.state.processes.iter() {
            if !processes.heard.contains_key(process) {
                processes.heard.insert(process.clone(), now);
            }
        }
        let (live, recorded) = (&processes.live, &self.state.processes);
        processes.heard.retain(|p, _| live.contains_key(p) || recorded.address(p).is_some());
    }

    /// Proposes what has changed since the record was made, as the leader.
    fn record_processes(&mut self, now: Timestamp) -> Outputs {
        let stopping = self.failed || self.shutdown.is_requested();
        let Some((_, since)) = self.replica.leads_since().filter(|_| !stopping) else {
            return Vec::new();
        };
        let pending = |command: &Command| matches!(command, Command::RecordProcesses { .. });
        let waits = self.replica.unapplied().any(|r| pending(&r.command));
        if now < self.processes.next_record || waits {
            return Vec::new();
        }
        let changes = self.address_changes(now, since);
        if changes.is_empty() {
            return Vec::new();
        }
        self.processes.next_record = now + RECORD_INTERVAL;
        self.propose_own(now, Command::RecordProcesses { changes })
    }

    /// Returns the changes that the record needs. A leader since a time has heard of no process
    /// before.
    fn address_changes(&self, now: Timestamp, since: Timestamp) -> AddressChanges {
        let live = &self.processes.live;
        let recorded = &self.state.processes;
        let free = MAX_PROCESSES.saturating_sub(recorded.len());
        let new = |p: &ProcessName| recorded.address(p).is_none();
        let differs = |(p, a): &(&ProcessName, &Option<SocketAddr>)| recorded.address(p) != **a;
        let moved = live.iter().filter(differs).filter(|(p, _)| !new(p));
        let added = live.iter().filter(differs).filter(|(p, _)| new(p)).take(free);
        let current = moved.chain(added).map(|(process, address)| (process.clone(), *address));
        let used: BTreeMap<SocketAddr, &str> =
            live.iter().filter_map(|(p, a)| Some(((*a)?, &*p.name))).collect();
        // Another process has taken its place; the roles of one process share its name.
        let taken =
            |p: &ProcessName, a: SocketAddr| used.get(&a).is_some_and(|name| **name != *p.name);
        let is_old = |p: &ProcessName| {
            let heard = self.processes.heard.get(p).copied().unwrap_or(now);
            now - heard.max(since) >= FORGET_AFTER
        };
        let silent = recorded.iter().filter(|(p, _)| !live.contains_key(*p));
        let gone = silent.filter(|(p, a)| is_old(p) || taken(p, **a));
        let gone = gone.map(|(process, _)| (process.clone(), None));
        gone.chain(current).take(MAX_CHANGES).collect()
    }
}
