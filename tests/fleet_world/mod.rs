//! Several gateways, a group of control members and endpoints on one simulated clock, in one thread.
//!
//! The roles are the real ones. Endpoints crash when they begin to write an answer on a faulty part
//! or content, come back under another name, and may name a limit. Processes are killed, frozen,
//! started and cut off.

#![allow(dead_code, unused_imports)]

mod endpoint;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use dotterelpin::control::origins::{OriginLog, OriginRecord};
use dotterelpin::control::replica::{Entry, MemberId, ReplicaSettings, Snapshot, Stored};
use dotterelpin::control::routing::Document;
use dotterelpin::control::state::Command;
use dotterelpin::control::{Control, ControlSettings, DiskEffect, DiskInput};
use dotterelpin::gateway::budget::BudgetTerms;
use dotterelpin::gateway::{Gateway, GatewaySettings};
use dotterelpin::h1::{CallerId, HttpEffect, HttpInput, Part, PeerId, Purpose, Reader};
use dotterelpin::link::message::{ControlRequest, Envelope, Reply, Request};
use dotterelpin::model::{BootId, ExchangeId, InboundId, Timestamp};
use dotterelpin::registry::FollowerSettings;
use dotterelpin::role::{Input, LinkFailure, Output, Role};
use dotterelpin::routes::RawTable;

use crate::gateway_fixture::{HOST, protocol, request};
pub use endpoint::{Arrival, Endpoint, Kind, Timing};
use endpoint::{Connection, Work};

/// The step of the simulated time.
const STEP: Duration = Duration::from_millis(1);
/// The delay of each message and packet.
const DELAY: Duration = Duration::from_millis(1);
/// How long a sync of a member's disk takes.
const SYNC_TIME: Duration = Duration::from_millis(2);
/// How often a member syncs the origins that it has written.
const ORIGIN_SYNC_INTERVAL: Duration = Duration::from_millis(100);
/// How often an endpoint announces itself.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(1_200);

/// A process of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    /// A gateway.
    Gateway(usize),
    /// A control member.
    Member(usize),
    /// What announces endpoints and publishes routing tables.
    Outside,
}

/// What a caller has received.
#[derive(Debug, Default)]
pub struct Answer {
    /// The status; 0 until the head arrives.
    pub status: u16,
    /// The content without its framing.
    pub content: Vec<u8>,
    /// Whether the answer is complete.
    pub complete: bool,
    /// Whether the connection was closed before the answer was complete.
    pub aborted: bool,
    /// When the answer ended.
    pub ended: Option<Timestamp>,
}

impl Answer {
    /// Returns whether the answer is complete or will never be.
    pub fn is_over(&self) -> bool {
        self.complete || self.aborted
    }
}

struct GatewayNode {
    role: Option<Gateway>,
    boot: u64,
    readers: BTreeMap<u64, Reader>,
    frozen_until: Timestamp,
}

struct MemberNode {
    role: Option<Control>,
    boot: u64,
    entries: Vec<Entry>,
    snapshot: Option<Arc<Snapshot>>,
    origins: Arc<Mutex<SavedOrigins>>,
    inbound: BTreeMap<InboundId, (Node, u64, ExchangeId)>,
    last_inbound: u64,
    frozen_until: Timestamp,
}

/// The origins on a member's disk, oldest first.
#[derive(Default)]
struct SavedOrigins {
    records: Vec<OriginRecord>,
    /// How many of them a loss of power leaves.
    synced: usize,
}

/// Writes origins to the disk of a member, where a kill leaves them.
struct OriginDisk(Arc<Mutex<SavedOrigins>>);

impl OriginLog for OriginDisk {
    fn append(&mut self, records: Vec<OriginRecord>) {
        self.0.lock().unwrap().records.extend(records);
    }
}

/// A message or packet on its way; numbers after a node are its boot.
#[derive(Clone)]
enum Packet {
    Request { from: Node, from_boot: u64, exchange: ExchangeId, to: usize, body: Envelope<Request> },
    Reply { from: usize, to: Node, to_boot: u64, exchange: ExchangeId, body: Envelope<Reply> },
    Closed { to: Node, to_boot: u64, exchange: ExchangeId },
    Reset { from: Node, from_boot: u64, exchange: ExchangeId, to: usize },
    Synced { member: usize, boot: u64, input: u64 },
}

/// The fleet.
pub struct World {
    /// The simulated time.
    pub now: Timestamp,
    /// All endpoints.
    pub endpoints: Vec<Endpoint>,
    /// All requests of calls that reached an endpoint, oldest first.
    pub arrivals: Vec<Arrival>,
    /// What each caller received.
    pub answers: BTreeMap<u64, Answer>,
    /// Parts of prompts that crash each endpoint that begins to write an answer on them.
    pub faulty_parts: BTreeSet<String>,
    /// Bodies that crash each endpoint that begins to answer them.
    pub faulty_bodies: BTreeSet<Vec<u8>>,
    /// Targets of plain calls that crash each endpoint that runs them; without a query, all that have
    /// the path.
    pub faulty_targets: BTreeSet<String>,
    /// When endpoints crashed, each with the calls whose runs there were faulty.
    pub crashes: Vec<(Timestamp, Vec<u64>)>,
    /// How long endpoints take.
    pub timing: Timing,
    /// Whether endpoints go on with faulty runs whose connection is closed.
    pub finishes: bool,
    /// Whether each endpoint announces itself to one member, instead of all.
    pub one_member: bool,
    table: RawTable,
    budget: BudgetTerms,
    gateways: Vec<GatewayNode>,
    members: Vec<MemberNode>,
    queue: BTreeMap<(Timestamp, u64), Packet>,
    packets: u64,
    next_origin_sync: Timestamp,
    /// The member at the other end of each exchange, by who opened it and in which boot.
    exchanges: BTreeMap<(Node, u64, ExchangeId), usize>,
    cuts: BTreeSet<(Node, Node)>,
    connections: BTreeMap<(usize, PeerId), Connection>,
    /// Inputs of connections on their way to a gateway, with its boot.
    inputs: Vec<(Timestamp, usize, u64, HttpInput)>,
    work: Vec<Work>,
    /// The gateway of each call.
    homes: BTreeMap<u64, usize>,
    last_call: u64,
    last_handle: u64,
    last_boot: u64,
}

/// Returns the address of a control member.
fn member_address(member: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1 + member as u8], 7_000))
}

impl World {
    /// Creates a fleet whose gateways are ready and have run for longer than the window of their
    /// retry budget.
    pub fn new(
        gateways: usize,
        members: usize,
        table: RawTable,
        endpoints: Vec<Endpoint>,
    ) -> World {
        let mut world = World {
            now: Timestamp::from_micros(1_000_000_000),
            endpoints,
            arrivals: Vec::new(),
            answers: BTreeMap::new(),
            faulty_parts: BTreeSet::new(),
            faulty_bodies: BTreeSet::new(),
            faulty_targets: BTreeSet::new(),
            crashes: Vec::new(),
            timing: Timing::default(),
            finishes: false,
            one_member: false,
            table,
            budget: BudgetTerms { ratio: 0.2, extra: 58.0, window: Duration::from_secs(10) },
            gateways: Vec::new(),
            members: Vec::new(),
            queue: BTreeMap::new(),
            packets: 0,
            next_origin_sync: Timestamp::default(),
            exchanges: BTreeMap::new(),
            cuts: BTreeSet::new(),
            connections: BTreeMap::new(),
            inputs: Vec::new(),
            work: Vec::new(),
            homes: BTreeMap::new(),
            last_call: 0,
            last_handle: 0,
            last_boot: 100,
        };
        for _ in 0..members {
            let fresh = || (None, BTreeMap::new());
            let (snapshot, inbound) = fresh();
            let frozen_until = Timestamp::default();
            let (role, boot, entries, last_inbound) = (None, 0, Vec::new(), 0);
            let origins = Arc::default();
            world.members.push(MemberNode {
                role,
                boot,
                entries,
                snapshot,
                origins,
                inbound,
                last_inbound,
                frozen_until,
            });
        }
        (0..members).for_each(|member| world.start_member(member));
        world.run(2_000);
        world.publish(1);
        (0..gateways).for_each(|_| world.add_gateway());
        world.run(11_000);
        let ready = (0..gateways).filter(|at| world.is_ready(*at)).count();
        assert_eq!(ready, gateways, "gateways that are ready after 11 s");
        world
    }

    /// Publishes the routing table under a version.
    fn publish(&mut self, version: u64) {
        let document = Document { version, text: (*b"0").into() };
        let body = ControlRequest::Propose(Command::Publish(document));
        for member in 0..self.members.len() {
            self.request_outside(member, body.clone());
        }
        self.run(500);
    }

    /// Sends a request to a member as a process that reads no reply.
    pub fn request_outside(&mut self, member: usize, body: ControlRequest) {
        let body = Envelope { revised: Default::default(), body: Request::Control(body) };
        let exchange = ExchangeId(self.packets);
        let from = Node::Outside;
        self.push(Packet::Request { from, from_boot: 0, exchange, to: member, body });
    }

    /// Sends a command to all members, of which the leader appends it.
    pub fn propose(&mut self, command: &Command) {
        for member in 0..self.members.len() {
            self.request_outside(member, ControlRequest::Propose(command.clone()));
        }
    }

    fn push(&mut self, packet: Packet) {
        self.push_after(DELAY, packet);
    }

    fn push_after(&mut self, delay: Duration, packet: Packet) {
        self.packets += 1;
        self.queue.insert((self.now + delay, self.packets), packet);
    }

    /// Adds a gateway that starts now.
    pub fn add_gateway(&mut self) {
        let frozen_until = Timestamp::default();
        let node = GatewayNode { role: None, boot: 0, readers: BTreeMap::new(), frozen_until };
        self.gateways.push(node);
        self.start_gateway(self.gateways.len() - 1);
    }

    /// Starts a gateway anew; what it had open is lost.
    pub fn start_gateway(&mut self, at: usize) {
        self.kill_gateway(at);
        self.last_boot += 1;
        let follower = FollowerSettings {
            name: format!("gateway-{at}").into(),
            role: "gateway".into(),
            domain: "a".into(),
            boot: BootId(self.last_boot),
            address: None,
            members: (0..self.members.len()).map(member_address).collect(),
            endpoints: true,
            routes: true,
        };
        let budget = self.budget;
        let settings = GatewaySettings {
            follower,
            budget,
            domains: Default::default(),
            grace: Duration::from_secs(8),
        };
        let role = Gateway::new(settings, Box::new(protocol(vec![self.table.clone()])));
        let node = &mut self.gateways[at];
        (node.role, node.boot) = (Some(role), self.last_boot);
    }

    /// Kills a gateway, whose connections are lost.
    pub fn kill_gateway(&mut self, at: usize) {
        self.gateways[at].role = None;
        self.gateways[at].readers.clear();
        self.connections.retain(|(gateway, _), _| *gateway != at);
        self.work.retain(|w| w.gateway != at);
        for (call, _) in self.homes.iter().filter(|(_, home)| **home == at) {
            let answer = self.answers.entry(*call).or_default();
            answer.aborted |= !answer.complete;
        }
    }

    /// Freezes a process for so long.
    pub fn freeze(&mut self, node: Node, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        match node {
            Node::Gateway(at) => self.gateways[at].frozen_until = until,
            Node::Member(at) => self.members[at].frozen_until = until,
            Node::Outside => {}
        }
    }

    /// Drops all messages between a gateway or member and all control members, or ends that.
    pub fn cut_off(&mut self, node: Node, cut: bool) {
        for member in (0..self.members.len()).map(Node::Member) {
            for pair in [(node, member), (member, node)] {
                if cut {
                    self.cuts.insert(pair)
                } else {
                    self.cuts.remove(&pair)
                };
            }
        }
    }

    /// Starts a member from its disk.
    pub fn start_member(&mut self, at: usize) {
        self.last_boot += 1;
        let boot = self.last_boot;
        let members = (0..self.members.len()).map(member_address).collect();
        let mut replica = ReplicaSettings::new(member_address(at), members, boot);
        (replica.compact_after, replica.kept) = (20, 10);
        let settings = ControlSettings {
            name: format!("control-{at}").into(),
            domain: "a".into(),
            boot: BootId(boot),
            replica,
            grace: Duration::from_secs(8),
        };
        let node = &mut self.members[at];
        if node.entries.is_empty() && node.snapshot.is_none() {
            node.entries.push(Entry::Owner(MemberId(boot)));
        }
        let stored = Stored::replay(node.snapshot.clone(), node.entries.clone()).unwrap();
        let restored = node.origins.lock().unwrap().records.clone();
        let log = Box::new(OriginDisk(node.origins.clone()));
        let role = Control::new(settings, stored).unwrap();
        node.role = Some(role.with_origin_log(self.now, restored, log));
        node.boot = boot;
        node.inbound.clear();
    }

    /// Kills a member, which keeps what it has synced.
    pub fn kill_member(&mut self, at: usize) {
        self.members[at].role = None;
        self.exchanges.retain(|(from, _, _), _| *from != Node::Member(at));
        let open: Vec<(Node, u64, ExchangeId)> =
            self.exchanges.iter().filter(|(_, to)| **to == at).map(|(key, _)| *key).collect();
        for (to, to_boot, exchange) in open {
            self.exchanges.remove(&(to, to_boot, exchange));
            self.push(Packet::Closed { to, to_boot, exchange });
        }
    }

    /// Lets a member lose power: it keeps only the origins that it has synced.
    pub fn lose_power(&mut self, at: usize) {
        self.kill_member(at);
        let mut saved = self.members[at].origins.lock().unwrap();
        let synced = saved.synced;
        saved.records.truncate(synced);
    }

    /// Removes the origins from the disk of a member.
    pub fn lose_origins(&mut self, at: usize) {
        *self.members[at].origins.lock().unwrap() = SavedOrigins::default();
    }

    /// Returns how many records of origins a member has written to its disk.
    pub fn saved_origins(&self, at: usize) -> usize {
        self.members[at].origins.lock().unwrap().records.len()
    }

    /// Returns the state of a running member.
    pub fn member(&self, at: usize) -> Option<&Control> {
        self.members[at].role.as_ref()
    }

    /// Returns the member that leads.
    pub fn leader(&self) -> Option<usize> {
        let term = |m: &Control| m.replica().is_leader().then(|| m.replica().term());
        let members = self.members.iter().enumerate();
        let led = members.filter_map(|(at, m)| Some((term(m.role.as_ref()?)?, at)));
        led.max().map(|(_, at)| at)
    }

    /// Returns whether a gateway takes calls.
    pub fn is_ready(&mut self, at: usize) -> bool {
        let caller = self.next_call(at);
        let request = request("GET", "/ready", &[], b"");
        let purpose = Purpose::Pages;
        let input = HttpInput::Request { caller: CallerId(caller), purpose, request };
        self.step_gateway(at, Input::Local(input));
        self.answers.remove(&caller).is_some_and(|a| a.status == 200)
    }

    /// Lets the caller of a call leave.
    pub fn leave(&mut self, call: u64) {
        let Some(gateway) = self.homes.get(&call).copied() else { return };
        let caller = CallerId(call);
        self.step_gateway(gateway, Input::Local(HttpInput::CallerGone { caller }));
    }

    fn next_call(&mut self, gateway: usize) -> u64 {
        self.last_call += 1;
        self.homes.insert(self.last_call, gateway);
        self.last_call
    }

    /// Sends a call to a model at a gateway, with the parts of its prompt and as many events as
    /// asked for, and returns its number.
    pub fn stream(&mut self, gateway: usize, path: &str, parts: &str, events: u64) -> u64 {
        let body = format!("body of {parts} {}", self.last_call);
        self.stream_of(gateway, path, parts, events, body.as_bytes())
    }

    /// Like [`World::stream`], with a body.
    pub fn stream_of(
        &mut self,
        gateway: usize,
        path: &str,
        parts: &str,
        events: u64,
        body: &[u8],
    ) -> u64 {
        let tokens = format!("300,{events}");
        let fields = [("Model", "m"), ("Tokens", &*tokens), ("Parts", parts)];
        self.call(gateway, "POST", path, &fields, body)
    }

    /// Takes a stream up again, after so many events, as the caller of the call that began it.
    pub fn take_up(
        &mut self,
        gateway: usize,
        path: &str,
        origin: u64,
        had: u64,
        events: u64,
    ) -> u64 {
        let (tokens, resumes) = (format!("300,{events}"), format!("call-{origin}"));
        let had = had.to_string();
        let fields = [
            ("Model", "m"),
            ("Tokens", &*tokens),
            ("Resumes", &*resumes),
            ("Last-Event-Id", &*had),
        ];
        self.call(gateway, "POST", path, &fields, b"")
    }

    /// Sends a call to a plain service at a gateway and returns its number.
    pub fn plain(&mut self, gateway: usize, path: &str) -> u64 {
        self.call(gateway, "GET", path, &[], b"")
    }

    /// Sends a call with a body to a plain service at a gateway and returns its number.
    pub fn post(&mut self, gateway: usize, path: &str, body: &[u8]) -> u64 {
        self.call(gateway, "POST", path, &[], body)
    }

    fn call(
        &mut self,
        gateway: usize,
        method: &str,
        path: &str,
        extra: &[(&str, &str)],
        body: &[u8],
    ) -> u64 {
        let call = self.next_call(gateway);
        let id = format!("call-{call}");
        let mut fields = vec![("Host", HOST), ("Call-Id", &id), ("Patience-Ms", "14000")];
        fields.extend(extra);
        let request = request(method, path, &fields, body);
        let (caller, purpose) = (CallerId(call), Purpose::Calls);
        self.answers.insert(call, Answer::default());
        let input = HttpInput::Request { caller, purpose, request };
        self.step_gateway(gateway, Input::Local(input));
        call
    }

    /// Lets the simulated time pass.
    pub fn run(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while self.now < until {
            self.now = self.now + STEP;
            self.sync_origins();
            self.deliver();
            self.act();
            self.wake();
        }
    }

    fn sync_origins(&mut self) {
        if self.now < self.next_origin_sync {
            return;
        }
        self.next_origin_sync = self.now + ORIGIN_SYNC_INTERVAL;
        for member in &self.members {
            let mut saved = member.origins.lock().unwrap();
            saved.synced = saved.records.len();
        }
    }

    fn wake(&mut self) {
        let now = self.now;
        for at in 0..self.gateways.len() {
            let node = &self.gateways[at];
            let due = node.role.as_ref().and_then(Role::next_wake).is_some_and(|t| t <= now);
            if due && node.frozen_until <= now {
                self.step_gateway(at, Input::Wake);
            }
        }
        for at in 0..self.members.len() {
            let node = &self.members[at];
            let due = node.role.as_ref().and_then(Role::next_wake).is_some_and(|t| t <= now);
            if due && node.frozen_until <= now {
                self.step_member(at, Input::Wake);
            }
        }
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry()
            && entry.key().0 <= self.now
        {
            let packet = entry.remove();
            self.deliver_packet(packet);
        }
    }

    fn deliver_packet(&mut self, packet: Packet) {
        let frozen = match &packet {
            Packet::Request { to, .. } | Packet::Reset { to, .. } => self.members[*to].frozen_until,
            Packet::Reply { to: Node::Gateway(at), .. } => self.gateways[*at].frozen_until,
            Packet::Reply { to: Node::Member(at), .. } => self.members[*at].frozen_until,
            Packet::Reply { .. } | Packet::Closed { .. } | Packet::Synced { .. } => {
                Timestamp::default()
            }
        };
        if frozen > self.now {
            self.push_after(frozen - self.now, packet);
            return;
        }
        match packet {
            Packet::Request { from, from_boot, exchange, to, body } => {
                if self.cuts.contains(&(from, Node::Member(to))) {
                    return;
                }
                if self.members[to].role.is_none() {
                    self.push(Packet::Closed { to: from, to_boot: from_boot, exchange });
                    return;
                }
                let node = &mut self.members[to];
                let key = (from, from_boot, exchange);
                let open = node.inbound.iter().find(|(_, k)| **k == key).map(|(id, _)| *id);
                let inbound = open.unwrap_or_else(|| {
                    node.last_inbound += 1;
                    InboundId(node.last_inbound)
                });
                node.inbound.insert(inbound, key);
                self.step_member(to, Input::Request { inbound, envelope: body });
            }
            Packet::Reply { from, to, to_boot, exchange, body } => {
                if self.cuts.contains(&(Node::Member(from), to)) {
                    return;
                }
                match to {
                    Node::Gateway(at) if self.gateways[at].boot == to_boot => {
                        self.step_gateway(at, Input::Reply { exchange, envelope: body });
                    }
                    Node::Member(at) if self.members[at].boot == to_boot => {
                        self.step_member(at, Input::Reply { exchange, envelope: body });
                    }
                    _ => {}
                }
            }
            Packet::Closed { to, to_boot, exchange } => self.close(to, to_boot, exchange),
            Packet::Reset { from, from_boot, exchange, to } => {
                let key = (from, from_boot, exchange);
                let open = self.members[to].inbound.iter().find(|(_, k)| **k == key);
                let Some(inbound) = open.map(|(id, _)| *id) else { return };
                self.members[to].inbound.remove(&inbound);
                self.step_member(to, Input::Abandoned { inbound });
            }
            Packet::Synced { member, boot, input } => {
                if self.members[member].boot == boot {
                    let write = dotterelpin::control::replica::WriteId(input);
                    self.step_member(member, Input::Local(DiskInput::Synced(write)));
                }
            }
        }
    }

    /// Reports the end of an exchange to the process that opened it.
    fn close(&mut self, to: Node, to_boot: u64, exchange: ExchangeId) {
        let failure = Some(LinkFailure::Broken);
        match to {
            Node::Gateway(at) if self.gateways[at].boot == to_boot => {
                self.step_gateway(at, Input::Closed { exchange, failure });
            }
            Node::Member(at) if self.members[at].boot == to_boot => {
                self.step_member(at, Input::Closed { exchange, failure });
            }
            _ => {}
        }
    }

    fn step_member(&mut self, at: usize, input: Input<DiskInput>) {
        let boot = self.members[at].boot;
        let Some(role) = &mut self.members[at].role else { return };
        let outputs = role.step(self.now, input);
        for output in outputs {
            match output {
                Output::Open { exchange, peer, envelope } => {
                    self.open(Node::Member(at), boot, exchange, peer, envelope);
                }
                Output::Send { exchange, envelope: body } => {
                    let from = Node::Member(at);
                    let to = self.exchanges.get(&(from, boot, exchange)).copied();
                    let Some(to) = to else { continue };
                    self.push(Packet::Request { from, from_boot: boot, exchange, to, body });
                }
                Output::Reset { exchange } => self.reset(Node::Member(at), boot, exchange),
                Output::Reply { inbound, envelope, last } => {
                    let known = self.members[at].inbound.get(&inbound).copied();
                    let Some((to, to_boot, exchange)) = known else { continue };
                    if last {
                        self.members[at].inbound.remove(&inbound);
                        self.exchanges.remove(&(to, to_boot, exchange));
                    }
                    self.push(Packet::Reply { from: at, to, to_boot, exchange, body: envelope });
                }
                Output::Effect(effect) => self.write(at, boot, effect),
                _ => {}
            }
        }
    }

    /// Writes to a member's disk; the bytes count as synced at once, their report comes later.
    fn write(&mut self, at: usize, boot: u64, effect: DiskEffect) {
        let node = &mut self.members[at];
        let id = match effect {
            DiskEffect::Append { id, entries } => {
                node.entries.extend(entries);
                id
            }
            DiskEffect::Replace { id, snapshot, entries } => {
                (node.snapshot, node.entries) = (Some(snapshot), entries);
                id
            }
        };
        self.push_after(SYNC_TIME, Packet::Synced { member: at, boot, input: id.0 });
    }

    fn open(
        &mut self,
        from: Node,
        from_boot: u64,
        exchange: ExchangeId,
        peer: SocketAddr,
        body: Envelope<Request>,
    ) {
        let to = (0..self.members.len()).find(|m| member_address(*m) == peer);
        if let Some(to) = to {
            self.exchanges.insert((from, from_boot, exchange), to);
            self.push(Packet::Request { from, from_boot, exchange, to, body });
        }
    }

    fn reset(&mut self, from: Node, from_boot: u64, exchange: ExchangeId) {
        if let Some(to) = self.exchanges.remove(&(from, from_boot, exchange)) {
            self.push(Packet::Reset { from, from_boot, exchange, to });
        }
    }

    fn step_gateway(&mut self, at: usize, input: Input<HttpInput>) {
        let boot = self.gateways[at].boot;
        let Some(role) = &mut self.gateways[at].role else { return };
        for output in role.step(self.now, input) {
            match output {
                Output::Open { exchange, peer, envelope } => {
                    self.open(Node::Gateway(at), boot, exchange, peer, envelope);
                }
                Output::Reset { exchange } => self.reset(Node::Gateway(at), boot, exchange),
                Output::Effect(effect) => self.apply(at, effect),
                _ => {}
            }
        }
    }

    fn apply(&mut self, at: usize, effect: HttpEffect) {
        match effect {
            HttpEffect::Dial { peer, address } => self.dial(at, peer, address),
            HttpEffect::Send { peer, bytes } => self.receive(at, peer, &bytes),
            HttpEffect::HangUp { peer } => {
                self.connections.remove(&(at, peer));
                self.hung_up(at, peer);
            }
            HttpEffect::Reply { caller, bytes } => self.caller_received(at, caller.0, &bytes),
            HttpEffect::Finish { caller, .. } => {
                self.gateways[at].readers.remove(&caller.0);
            }
            HttpEffect::Abort { caller } => {
                let answer = self.answers.entry(caller.0).or_default();
                answer.aborted = true;
                answer.ended = Some(self.now);
                self.gateways[at].readers.remove(&caller.0);
            }
            HttpEffect::Limit(_)
            | HttpEffect::ConfirmLimits { .. }
            | HttpEffect::CloseIdle
            | HttpEffect::CloseAll { .. } => {}
        }
    }

    fn caller_received(&mut self, at: usize, caller: u64, bytes: &[u8]) {
        let readers = &mut self.gateways[at].readers;
        let reader = readers.entry(caller).or_insert_with(|| Reader::answers(1 << 16));
        let answer = self.answers.entry(caller).or_default();
        assert!(!answer.is_over(), "caller {caller} was answered twice");
        reader.feed(bytes);
        while let Some(part) = reader.next_part().unwrap() {
            match part {
                Part::Answer(head) => answer.status = head.status,
                Part::Data(data) => answer.content.extend(data),
                Part::End { .. } => {
                    answer.complete = true;
                    answer.ended = Some(self.now);
                }
                Part::Request(_) => panic!("caller {caller} received a request"),
            }
        }
    }
}
