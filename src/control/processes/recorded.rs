//! The addresses of processes that the replicated log keeps.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The maximum number of processes whose addresses are kept.
pub const MAX_PROCESSES: usize = 4_096;

/// A process in one of its roles.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ProcessName {
    /// The name of the process.
    pub name: Box<str>,
    /// The role under which it is listed.
    pub role: Box<str>,
}

/// The new address of each process that has changed; `None` removes the process.
pub type AddressChanges = BTreeMap<ProcessName, Option<SocketAddr>>;

/// The addresses at which the processes that follow control can be called.
///
/// ```
/// use dotterelpin::control::processes::{ProcessName, RecordedProcesses};
///
/// let process = ProcessName { name: "gateway-0".into(), role: "gateway".into() };
/// let address = "127.0.0.1:7000".parse().unwrap();
/// let mut recorded = RecordedProcesses::default();
/// recorded.apply(&[(process.clone(), Some(address))].into());
/// assert_eq!(recorded.address(&process), Some(address));
/// recorded.apply(&[(process.clone(), None)].into());
/// assert!(recorded.is_empty());
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct RecordedProcesses {
    addresses: BTreeMap<ProcessName, SocketAddr>,
}

impl RecordedProcesses {
    /// Applies changes; a new process over [`MAX_PROCESSES`] is not recorded.
    pub fn apply(&mut self, changes: &AddressChanges) {
        for (process, address) in changes {
            let Some(address) = address else {
                self.addresses.remove(process);
                continue;
            };
            if self.addresses.len() < MAX_PROCESSES || self.addresses.contains_key(process) {
                self.addresses.insert(process.clone(), *address);
            }
        }
    }

    /// Returns the address of a process, if it is recorded.
    pub fn address(&self, process: &ProcessName) -> Option<SocketAddr> {
        self.addresses.get(process).copied()
    }

    /// Returns the processes and their addresses.
    pub fn iter(&self) -> impl Iterator<Item = (&ProcessName, &SocketAddr)> {
        self.addresses.iter()
    }

    /// Returns the number of processes.
    pub fn len(&self) -> usize {
        self.addresses.len()
    }

    /// Returns whether no process is recorded.
    pub fn is_empty(&self) -> bool {
        self.addresses.is_empty()
    }
}
