//! A control member with an empty disk catches up over a slow link, without messages that are sent
//! again or connections that are dialled anew while it still receives.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::control::replica::{
    Action, LogIndex, Member, MemberId, Members, Record, Replica, ReplicaInput, ReplicaMessage,
    ReplicaSettings, Stored, WriteId,
};
use dotterelpin::control::routing::Document;
use dotterelpin::control::state::Command;
use dotterelpin::model::{InboundId, Timestamp};

/// The duration of a sync.
const SYNC: Duration = Duration::from_millis(5);
/// The time that a message needs beside that for its bytes.
const LATENCY: Duration = Duration::from_millis(1);
/// The bytes per second of a fast link.
const FAST: u64 = 200 << 20;
/// The group that the first members belong to.
const GROUP: u64 = 9;
/// The member whose disk was lost.
const LATE: usize = 2;

fn address(node: usize) -> SocketAddr {
    ([10, 0, 0, 1 + node as u8], 7000).into()
}

enum Event {
    Request { from: usize, message: ReplicaMessage },
    Reply { from: usize, message: ReplicaMessage },
    Synced(WriteId),
}

/// A group of three replicas, of which the last one starts with an empty disk behind a link with a
/// bounded rate.
struct World {
    now: Timestamp,
    nodes: Vec<Replica>,
    /// The events by their time and number, each for a node, with the number of the connection.
    events: BTreeMap<(Timestamp, u64), (usize, u64, Event)>,
    count: u64,
    /// When each direction of each link, and each disk, is free again.
    free: BTreeMap<(usize, usize), Timestamp>,
    /// The number of times that the late member was dialled.
    dials: u64,
    /// The bytes per second of the late member's link.
    rate: u64,
    /// The bytes sent to the late member.
    sent: u64,
    /// The size of the snapshots that members make when their log is due for it.
    state: usize,
    published: u64,
}

fn settings(node: usize) -> ReplicaSettings {
    ReplicaSettings::new(address(node), (0..3).map(address).collect(), node as u64)
}

impl World {
    /// Creates a group whose first two members have voted for each other's log, and whose third
    /// member has lost its disk.
    fn new(rate: u64, state: usize, change: impl Fn(&mut ReplicaSettings)) -> World {
        let voter = |n: usize| (MemberId(n as u64), Member { address: address(n), voter: true });
        let all = Members { epoch: 3, all: (0..3).map(voter).collect() };
        let first = Record { index: LogIndex(1), term: 1, command: Command::Members(all) };
        let nodes = (0..3).map(|n| {
            let known = Stored {
                group: Some(GROUP),
                term: 1,
                records: vec![first.clone()],
                ..Stored::new(MemberId(n as u64))
            };
            let stored = if n == LATE { Stored::new(MemberId(77)) } else { known };
            let mut settings = settings(n);
            change(&mut settings);
            Replica::new(settings, stored)
        });
        World {
            now: Timestamp::from_micros(1_000_000),
            nodes: nodes.collect(),
            events: BTreeMap::new(),
            count: 0,
            free: BTreeMap::new(),
            dials: 0,
            rate,
            sent: 0,
            state,
            published: 0,
        }
    }

    /// Schedules an event for the time when a link or a disk is through with it.
    fn schedule(&mut self, queue: (usize, usize), takes: Duration, to: usize, event: Event) {
        let free = self.free.entry(queue).or_insert(self.now);
        *free = (*free).max(self.now) + takes;
        self.count += 1;
        self.events.insert((*free, self.count), (to, self.dials, event));
    }

    fn send(&mut self, from: usize, to: usize, message: ReplicaMessage, is_reply: bool) {
        let bytes = postcard::to_stdvec(&message).unwrap().len() as u64;
        let slow = from == LATE || to == LATE;
        let rate = if slow { self.rate } else { FAST };
        self.sent += if to == LATE { bytes } else { 0 };
        let takes = LATENCY + Duration::from_micros(bytes * 1_000_000 / rate);
        let event = if is_reply {
            Event::Reply { from, message }
        } else {
            Event::Request { from, message }
        };
        self.schedule((from, to), takes, to, event);
    }

    fn step(&mut self, node: usize, input: ReplicaInput) {
        let actions = self.nodes[node].step(self.now, input);
        self.execute(node, actions);
    }

    fn execute(&mut self, node: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Request { to, message } => {
                    if let Some(to) = (0..3).find(|n| address(*n) == to) {
                        self.send(node, to, message, false);
                    }
                }
                Action::Reply { via, message } => {
                    self.send(node, via.0 as usize, message, true);
                }
                Action::Write { id, .. } | Action::Replace { id, .. } => {
                    self.schedule((node, node), SYNC, node, Event::Synced(id));
                }
                Action::Redial { peer } if peer == address(LATE) => self.redial(node),
                _ => {}
            }
        }
        if self.nodes[node].wants_snapshot() {
            self.compact(node);
        }
    }

    fn compact(&mut self, node: usize) {
        let actions = self.nodes[node].compact(vec![7; self.state]);
        self.execute(node, actions);
    }

    /// Drops what is under way to and from the late member.
    fn redial(&mut self, from: usize) {
        self.dials += 1;
        self.free.remove(&(from, LATE));
        self.free.remove(&(LATE, from));
    }

    fn handle(&mut self, node: usize, dial: u64, event: Event) {
        match event {
            Event::Request { from, message } => {
                if node != LATE || dial == self.dials {
                    self.step(node, ReplicaInput::Request { via: InboundId(from as u64), message });
                }
            }
            Event::Reply { from, message } => {
                if from != LATE || dial == self.dials {
                    self.step(node, ReplicaInput::Reply { peer: address(from), message });
                }
            }
            Event::Synced(id) => self.step(node, ReplicaInput::Synced(id)),
        }
    }

    /// Runs the nodes for a time; the late member only if it is awake.
    fn advance(&mut self, time: Duration, awake: bool) {
        let until = self.now + time;
        while self.now < until {
            let running = if awake { 3 } else { LATE };
            let wakes = self.nodes[..running].iter().map(Replica::next_wake);
            let event = self.events.keys().next().map(|(at, _)| *at);
            let next = wakes.chain(event).min().unwrap_or(until).max(self.now);
            if next >= until {
                self.now = until;
                return;
            }
            self.now = next;
            if event.is_some_and(|at| at <= next) {
                if let Some((_, (node, dial, event))) = self.events.pop_first()
                    && node < running
                {
                    self.handle(node, dial, event);
                }
                continue;
            }
            for node in 0..running {
                if self.nodes[node].next_wake() <= self.now {
                    self.step(node, ReplicaInput::Wake);
                }
            }
        }
    }

    fn leader(&self) -> Option<usize> {
        (0..LATE).find(|n| self.nodes[*n].is_leader())
    }

    fn publish(&mut self, bytes: usize) {
        let leader = self.leader().expect("the group has a leader");
        self.published += 1;
        let document = Document { version: self.published, text: vec![b'r'; bytes].into() };
        let (_, actions) =
            self.nodes[leader].propose(self.now, Command::Publish(document)).unwrap();
        self.execute(leader, actions);
    }

    fn late_votes(&self) -> bool {
        let late = &self.nodes[LATE];
        late.members().is_voter(late.id())
    }

    /// Waits until the late member has a vote, which needs all records; returns the time.
    fn catch_up(&mut self, limit: Duration) -> Option<Duration> {
        let since = self.now;
        while self.now - since < limit {
            self.advance(Duration::from_millis(10), true);
            if self.late_votes() {
                return Some(self.now - since);
            }
        }
        None
    }
}

#[test]
fn a_member_with_an_empty_disk_catches_up_over_a_slow_link_without_resends() {
    let rate = 3 << 20;
    for (bytes, count) in [(350_000, 10), (1_000_000, 3), (20_000, 180)] {
        let mut world = World::new(rate, 400_000, |_| ());
        world.advance(Duration::from_secs(3), false);
        for _ in 0..count {
            world.publish(bytes);
            world.advance(Duration::from_millis(30), false);
        }
        let (sent, dials) = (world.sent, world.dials);
        let total = (bytes * count) as u64;
        let took = world.catch_up(Duration::from_secs(20));
        let (sent, dials) = (world.sent - sent, world.dials - dials);
        let context = format!(
            "{count} records of {bytes} bytes: vote after {took:?}, {sent} bytes, {dials} dials"
        );
        assert_eq!(dials, 0, "{context}");
        assert!(sent < total + total / 10, "{context}");
        let limit = Duration::from_secs(2) + Duration::from_micros(total * 1_000_000 / rate);
        assert!(took.is_some_and(|t| t <= limit), "{context}, expected {limit:?} at most");
    }
}

/// A transfer that begins anew with each newer snapshot never ends.
#[test]
fn a_transfer_of_a_snapshot_goes_on_while_newer_ones_are_made() {
    let state = 1 << 20;
    let mut world = World::new(2 << 20, state, |s| s.kept = 64);
    world.advance(Duration::from_secs(3), false);
    for _ in 0..200 {
        world.publish(100);
        world.advance(Duration::from_millis(5), false);
    }
    let leader = world.leader().unwrap();
    world.compact(leader);
    let sent = world.sent;
    for _ in 0..40 {
        world.publish(100);
        world.advance(Duration::from_millis(100), true);
        world.compact(leader);
    }
    let sent = world.sent - sent;
    assert!(world.late_votes(), "no vote after 4 s and {sent} bytes for a state of {state}");
    assert!(sent < 2 * state as u64, "{sent} bytes sent for a state of {state}");
}

/// A connection that carries nothing any more is dialled anew, however large the records are.
#[test]
fn a_mute_connection_is_dialled_anew_while_large_records_are_sent() {
    let mut world = World::new(FAST, 400_000, |_| ());
    world.advance(Duration::from_secs(3), false);
    assert!(world.catch_up(Duration::from_secs(5)).is_some());
    let leader = world.leader().unwrap();
    let dials = world.dials;
    for _ in 0..4 {
        world.publish(350_000);
    }
    // The late member handles nothing, as if it were frozen.
    world.advance(Duration::from_millis(1_500), false);
    assert!(world.dials > dials, "not dialled for 1.5 s");
    assert_eq!(world.leader(), Some(leader));
}
