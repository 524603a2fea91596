//! A network that delays packets and, with noise, loses or duplicates them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterelpin::link::message::{Envelope, Reply, Request};
use dotterelpin::model::{ExchangeId, Timestamp};
use dotterelpin::role::LinkFailure;
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

use super::below;

/// An exchange, with the boots of both ends and the connection that carries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Exchange {
    pub from: usize,
    pub boot: u64,
    pub id: ExchangeId,
    pub to: usize,
    pub to_boot: u64,
    pub connection: u64,
}

/// A packet on its way.
#[derive(Clone)]
pub enum Packet {
    Request(Exchange, Envelope<Request>),
    Reply(Exchange, Envelope<Reply>),
    Closed(Exchange, LinkFailure),
}

impl Packet {
    /// Returns the exchange and whether the packet goes back to the one that opened it.
    pub fn route(&self) -> (Exchange, bool) {
        match self {
            Packet::Request(e, _) => (*e, false),
            Packet::Reply(e, _) | Packet::Closed(e, _) => (*e, true),
        }
    }

    /// Returns the receiver's index.
    pub fn target(&self) -> usize {
        let (exchange, is_reply) = self.route();
        if is_reply { exchange.from } else { exchange.to }
    }
}

/// The packets under way, the open exchanges and the connections.
#[derive(Default)]
pub struct Network {
    /// The percentage of packets that are lost; half as many are duplicated, and half as many are
    /// delayed.
    pub noise: u32,
    /// The packets under way by the time of their delivery and a unique number.
    queue: BTreeMap<(Timestamp, u64), Packet>,
    count: u64,
    open: BTreeMap<(usize, u64, ExchangeId), Exchange>,
    /// The number of redials from one node to another.
    connections: BTreeMap<(usize, usize), u64>,
    muted: BTreeSet<(usize, usize, u64)>,
}

impl Network {
    /// Creates a network that loses this percentage of packets.
    pub fn new(noise: u32) -> Network {
        Network { noise, ..Network::default() }
    }

    /// Queues a packet for delivery; noise may lose, duplicate or delay it.
    pub fn send(&mut self, now: Timestamp, rng: &mut Pcg64Mcg, packet: Packet) {
        let copies = match rng.next_u32() % 100 {
            roll if roll < self.noise => 0,
            roll if roll < self.noise * 3 / 2 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delayed = rng.next_u32() % 100 < self.noise / 2;
            let micros = if delayed { 400_000 } else { 3_000 };
            let due = now + Duration::from_micros(300 + below(rng, micros) as u64);
            self.put(due, packet.clone());
        }
    }

    /// Queues a packet for delivery at a given time.
    pub fn put(&mut self, due: Timestamp, packet: Packet) {
        self.count += 1;
        self.queue.insert((due, self.count), packet);
    }

    /// Returns when the next packet is delivered.
    pub fn next_due(&self) -> Option<Timestamp> {
        self.queue.keys().next().map(|(due, _)| *due)
    }

    /// Takes the next packet whose delivery is due.
    pub fn take_due(&mut self, now: Timestamp) -> Option<Packet> {
        self.queue.first_entry().filter(|e| e.key().0 <= now).map(|e| e.remove())
    }

    /// Returns the number of redials from one node to another.
    pub fn connection(&self, from: usize, to: usize) -> u64 {
        self.connections.get(&(from, to)).copied().unwrap_or(0)
    }

    /// Counts a redial from one node to another.
    pub fn redial(&mut self, from: usize, to: usize) {
        *self.connections.entry((from, to)).or_default() += 1;
    }

    /// Drops all packets of the present connection, until it is dialled again.
    pub fn mute(&mut self, from: usize, to: usize) {
        self.muted.insert((from, to, self.connection(from, to)));
    }

    /// Returns whether the connection of an exchange was muted.
    pub fn is_muted(&self, exchange: &Exchange) -> bool {
        self.muted.contains(&(exchange.from, exchange.to, exchange.connection))
    }

    /// Records an exchange as open.
    pub fn open(&mut self, exchange: Exchange) {
        self.open.insert((exchange.from, exchange.boot, exchange.id), exchange);
    }

    /// Returns an open exchange.
    pub fn opened(&self, from: usize, boot: u64, id: ExchangeId) -> Option<Exchange> {
        self.open.get(&(from, boot, id)).copied()
    }

    /// Removes an open exchange.
    pub fn reset(&mut self, from: usize, boot: u64, id: ExchangeId) {
        self.open.remove(&(from, boot, id));
    }
}
