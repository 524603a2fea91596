//! The machines of a deployment: their addresses, who is lost, and the operator's list of them.

use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::model::Timestamp;
use rand_pcg::Pcg64Mcg;

use crate::simulated::{Host, below};

/// How long a machine still counts as lost after it is back, or after a new one has started.
pub const CATCH_UP: Duration = Duration::from_secs(4);
/// How long the operator's list lags behind the machines.
const SEED_LAG: Duration = Duration::from_secs(3);
/// How long the address of a removed machine is not given to another.
const REUSE_AFTER: Duration = Duration::from_secs(2);
/// The number of addresses that a process is told.
const SEEDS: usize = 3;

/// A machine; one with an empty disk at an old address is the same, one at a new address is not.
pub struct Machine {
    pub host: Host,
    pub address: SocketAddr,
    /// Which of the machines that count it is, or was.
    pub slot: usize,
    /// Whether it was removed for good.
    pub gone: bool,
    /// Whether it is cut off from all others.
    pub cut: bool,
    /// The half that it is in while there is a split.
    pub half: bool,
    /// Whether dials of it get no answer while it is down.
    pub silent: bool,
    /// How long it is down after the process has ended, or `None` if it is removed then.
    pub returns: Option<Duration>,
    /// The addresses that it was told at its last start.
    pub seeds: Vec<SocketAddr>,
}

/// One of the machines that count.
pub struct Slot {
    /// The machine that is in use.
    pub machine: usize,
    /// Until when it counts as lost; the maximum while it is down.
    pub lost_until: Timestamp,
}

/// All machines so far, and those in use.
#[derive(Default)]
pub struct Machines {
    pub all: Vec<Machine>,
    pub slots: Vec<Slot>,
    /// The operator's list at the time of each of its changes.
    lists: Vec<(Timestamp, Vec<SocketAddr>)>,
    /// The addresses of removed machines and when they may be used again.
    free: Vec<(SocketAddr, Timestamp)>,
    addresses: u8,
}

impl Machines {
    /// Adds a machine, which is not started yet.
    pub fn add(&mut self, now: Timestamp, slot: usize, reuse: bool, silent: bool) -> usize {
        let free = self.free.iter().position(|(_, at)| reuse && *at <= now);
        let address = match free {
            Some(at) => self.free.remove(at).0,
            None => {
                self.addresses += 1;
                // New machines may have lower and higher addresses than old ones.
                ([10, 0, 0, self.addresses.wrapping_mul(37)], 7000).into()
            }
        };
        self.all.push(Machine {
            host: Host::default(),
            address,
            slot,
            gone: false,
            cut: false,
            half: false,
            silent,
            returns: None,
            seeds: Vec::new(),
        });
        self.all.len() - 1
    }

    /// Removes a machine for good.
    pub fn remove(&mut self, now: Timestamp, at: usize) {
        if !self.all[at].gone {
            self.all[at].gone = true;
            self.free.push((self.all[at].address, now + REUSE_AFTER));
        }
    }

    /// Returns the machine that has an address now.
    pub fn find(&self, address: SocketAddr) -> Option<usize> {
        self.all.iter().rposition(|m| m.address == address && !m.gone)
    }

    /// Records the machines in use in the operator's list.
    pub fn list(&mut self, now: Timestamp) {
        let list = self.slots.iter().map(|s| self.all[s.machine].address).collect();
        self.lists.push((now, list));
    }

    /// Returns the addresses that a process is told at its start: some may be of lost machines, but
    /// not all of them, since no other machine can be found then.
    pub fn seeds(&self, now: Timestamp, own: usize, rng: &mut Pcg64Mcg) -> Vec<SocketAddr> {
        let listed = self.lists.iter().rev().find(|(at, _)| *at + SEED_LAG <= now);
        let Some((_, listed)) = listed else {
            return self.lists[0].1.iter().take(SEEDS).copied().collect();
        };
        let mut list = listed.clone();
        while list.len() > SEEDS {
            let at = below(rng, list.len());
            list.remove(at);
        }
        let useful = |a: &SocketAddr| self.find(*a).is_some_and(|m| m != own && self.runs(m));
        let living = listed.iter().find(|a| useful(a));
        if let Some(living) = living.filter(|_| !list.iter().any(useful)) {
            list[0] = *living;
        }
        list
    }

    /// Returns the slots that are lost at a time.
    pub fn lost(&self, now: Timestamp) -> Vec<usize> {
        (0..self.slots.len()).filter(|s| self.slots[*s].lost_until > now).collect()
    }

    /// Returns whether a process runs on the machine.
    pub fn runs(&self, at: usize) -> bool {
        self.all[at].host.control.is_some()
    }

    /// Returns whether packets pass between two machines.
    pub fn connected(&self, from: usize, to: usize) -> bool {
        let (from, to) = (&self.all[from], &self.all[to]);
        !from.cut && !to.cut && from.half == to.half
    }

    /// Returns the machines in use that run.
    pub fn living(&self) -> impl Iterator<Item = usize> {
        self.slots.iter().map(|s| s.machine).filter(|m| self.runs(*m))
    }

    /// Returns the running machine that leads in the highest term.
    pub fn leader(&self) -> Option<usize> {
        let replica = |at: &usize| self.all[*at].host.control.as_ref().map(|c| c.replica());
        let leads = |at: &usize| replica(at).is_some_and(|r| r.is_leader());
        (0..self.all.len()).filter(leads).max_by_key(|at| replica(at).map(|r| r.term()))
    }
}
