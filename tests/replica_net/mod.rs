//! Replicas that reach each other through a network in memory, on a simulated clock. All messages
//! arrive, and all writes are synced at once, unless a machine is down.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::control::replica::{
    Action, Entry, MemberId, Replica, ReplicaInput, ReplicaMessage, ReplicaSettings, Stored,
};
use dotterelpin::model::{InboundId, Timestamp};

/// The time that each message needs.
const DELAY: Duration = Duration::from_millis(1);

/// Returns the address of a machine.
pub fn address(machine: u64) -> SocketAddr {
    ([10, 0, 0, machine as u8], 7000).into()
}

enum Packet {
    Request { from: u64, message: ReplicaMessage },
    Reply { from: u64, message: ReplicaMessage },
}

/// The machines, of which each has the number of its address.
pub struct Net {
    pub now: Timestamp,
    /// The replicas that run.
    pub nodes: BTreeMap<u64, Replica>,
    /// The journal of each machine, which outlasts its process.
    pub disks: BTreeMap<u64, Vec<Entry>>,
    queue: VecDeque<(Timestamp, u64, Packet)>,
    last_via: u64,
    /// The machine that waits for the reply of each exchange.
    vias: BTreeMap<InboundId, u64>,
    last_id: u64,
}

impl Net {
    /// Creates a network without machines.
    pub fn empty() -> Net {
        let now = Timestamp::from_micros(1_000_000);
        let (nodes, disks, queue) = (BTreeMap::new(), BTreeMap::new(), VecDeque::new());
        Net { now, nodes, disks, queue, last_via: 0, vias: BTreeMap::new(), last_id: 0 }
    }

    /// Starts machines with empty disks that are each other's seeds, and waits for their group.
    pub fn founded(machines: impl IntoIterator<Item = u64>) -> Net {
        let machines: Vec<u64> = machines.into_iter().collect();
        let mut net = Net::empty();
        for machine in &machines {
            net.start_with(*machine, &machines, true);
        }
        net.run(3_000);
        assert_eq!(net.voters(), machines.iter().copied().collect());
        net
    }

    /// Starts the process of a machine, from its disk if it has one.
    pub fn start(&mut self, machine: u64, seeds: &[u64]) {
        self.start_with(machine, seeds, false);
    }

    /// Starts the process of a machine, which may be one of the first.
    pub fn start_with(&mut self, machine: u64, seeds: &[u64], founds: bool) {
        self.last_id += 1;
        let fresh = MemberId(self.last_id * 1_000 + machine);
        let entries = self.disks.entry(machine).or_insert_with(|| vec![Entry::Owner(fresh)]);
        let stored = Stored::replay(None, entries.clone()).unwrap();
        let seeds = seeds.iter().map(|s| address(*s)).collect();
        let mut settings = ReplicaSettings::new(address(machine), seeds, machine * 7 + 1);
        (settings.losses, settings.founds) = (1, founds);
        self.nodes.insert(machine, Replica::new(settings, stored));
        self.step(machine, ReplicaInput::Wake);
    }

    /// Ends the process of a machine, which keeps its disk.
    pub fn stop(&mut self, machine: u64) {
        self.nodes.remove(&machine);
    }

    /// Kills a machine and starts it with an empty disk.
    pub fn wipe(&mut self, machine: u64, seeds: &[u64]) {
        self.stop(machine);
        self.disks.remove(&machine);
        self.start(machine, seeds);
    }

    /// Returns whether the leader counts the vote of the replica that runs on a machine.
    pub fn votes(&self, machine: u64) -> bool {
        let leader = self.leader().and_then(|l| self.nodes.get(&l));
        leader.is_some_and(|l| l.members().is_voter(self.nodes[&machine].id()))
    }

    /// Shuts the process of a machine down; returns for how many milliseconds it lasts.
    pub fn leave(&mut self, machine: u64) -> u64 {
        let now = self.now;
        let Some(node) = self.nodes.get_mut(&machine) else { return 0 };
        let actions = node.leave(now);
        self.execute(machine, actions);
        let mut millis = 0;
        while !self.nodes[&machine].has_left(self.now) {
            self.run(10);
            millis += 10;
        }
        self.stop(machine);
        millis
    }

    pub fn leader(&self) -> Option<u64> {
        let leaders = self.nodes.iter().filter(|(_, r)| r.is_leader());
        leaders.max_by_key(|(_, r)| r.term()).map(|(machine, _)| *machine)
    }

    /// Returns the machines with a vote, according to the leader.
    pub fn voters(&self) -> BTreeSet<u64> {
        let Some(replica) = self.leader().and_then(|l| self.nodes.get(&l)) else {
            return BTreeSet::new();
        };
        let last = |a: SocketAddr| a.to_string().split(['.', ':']).nth(3).unwrap().parse().unwrap();
        replica.members().voters().map(|(_, a)| last(a)).collect()
    }

    pub fn run(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        loop {
            let wakes = self.nodes.values().map(Replica::next_wake);
            let due = self.queue.front().map(|(due, _, _)| *due);
            let next = wakes.chain(due).min().unwrap_or(until);
            if next > until {
                self.now = until;
                return;
            }
            self.now = self.now.max(next);
            while self.queue.front().is_some_and(|(due, _, _)| *due <= self.now) {
                let Some((_, to, packet)) = self.queue.pop_front() else { break };
                self.deliver(to, packet);
            }
            let machines: Vec<u64> = self.nodes.keys().copied().collect();
            for machine in machines {
                if self.nodes.get(&machine).is_some_and(|n| n.next_wake() <= self.now) {
                    self.step(machine, ReplicaInput::Wake);
                }
            }
        }
    }

    fn deliver(&mut self, to: u64, packet: Packet) {
        match packet {
            Packet::Request { from, message } => {
                self.last_via += 1;
                let via = InboundId(self.last_via);
                self.vias.insert(via, from);
                self.step(to, ReplicaInput::Request { via, message });
            }
            Packet::Reply { from, message } => {
                self.step(to, ReplicaInput::Reply { peer: address(from), message });
            }
        }
    }

    fn step(&mut self, machine: u64, input: ReplicaInput) {
        let Some(node) = self.nodes.get_mut(&machine) else { return };
        let actions = node.step(self.now, input);
        self.execute(machine, actions);
    }

    /// Executes what the replica of a machine has returned.
    pub fn execute(&mut self, machine: u64, actions: Vec<Action>) {
        let due = self.now + DELAY;
        let mut written = None;
        for action in actions {
            match action {
                Action::Request { to, message } => {
                    let to = (1..=255).find(|m| address(*m) == to).unwrap();
                    self.queue.push_back((due, to, Packet::Request { from: machine, message }));
                }
                Action::Reply { via, message } => {
                    let to = self.vias[&via];
                    self.queue.push_back((due, to, Packet::Reply { from: machine, message }));
                }
                Action::Write { id, entries } => {
                    self.disks.entry(machine).or_default().extend(entries);
                    written = Some(id);
                }
                _ => {}
            }
        }
        if let Some(id) = written {
            self.step(machine, ReplicaInput::Synced(id));
        }
    }
}
