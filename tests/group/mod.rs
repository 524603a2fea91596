//! Simulates a group of control members with followers and operators under faults, in one thread
//! and on a simulated clock, and checks that nothing that was accepted is lost or reverted.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::control::config::{Change, Edit};
use dotterelpin::control::replica::{Entry, LogIndex, MemberId, ReplicaSettings, Stored};
use dotterelpin::control::state::{Applied, ChangeReply, Command};
use dotterelpin::control::{Control, ControlSettings, DiskEffect, DiskInput, disk};
use dotterelpin::link::message::{ControlReply, ControlRequest, Envelope, Reply, Request};
use dotterelpin::model::{BootId, ExchangeId, InboundId, Revision, Timestamp};
use dotterelpin::registry::{Follower, FollowerSettings};
use dotterelpin::role::{Input, LinkFailure, Output, Role};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const FOLLOWERS: usize = 2;
/// The sender index of exchanges that an operator opens.
const OPERATOR: usize = usize::MAX;
/// A confirmed follower may lack only changes that were applied within this time.
const MAX_CONFIRMED_LAG: Duration = Duration::from_millis(3_000);
/// The time after the last fault within which the newest revision must come into force everywhere.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(8);

/// A proposal or a fault. Members are numbered relative to the leader, or to the last one if there
/// is none now: 0 is the leader itself.
#[derive(Debug, Clone)]
pub enum Fault {
    /// Proposes a change at a member.
    Change(usize),
    /// Proposes three changes on the same base, of which at most one may be accepted.
    Race(usize),
    /// Proposes an earlier change again, with the same id.
    Resend { old: u8, at: usize },
    /// Proposes many changes at once, each on the revision that the previous one should create.
    Burst(usize),
    /// Kills a member, which loses the bytes that are not synced.
    Kill(usize),
    /// Starts a member, if it is not running.
    Restart(usize),
    /// Kills all members at once and restarts all but one.
    PowerLoss { without: usize },
    /// Restarts a member with an empty disk.
    LoseDisk(usize),
    /// Fills the disk of a member, or frees space on it.
    Full { at: usize, full: bool },
    /// Drops all messages between two members in one direction.
    Cut { from: usize, to: usize },
    /// Drops all messages between one member and the others; processes still reach it.
    Isolate(usize),
    /// Drops all messages between members; processes still reach them.
    Split,
    /// Ends all cuts.
    Heal,
    /// Drops all messages of one connection, until it is dialled again.
    Mute { from: usize, to: usize },
    /// Suspends a member, which handles nothing until the time is over.
    Pause { at: usize, millis: u64 },
}

/// The parameters of one simulation.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// The number of control members.
    pub nodes: usize,
    pub seed: u64,
    /// The percentage of messages that are lost; half as many are duplicated, and half as many are
    /// delayed.
    pub noise: u32,
    /// The maximum random duration of a disk sync, in microseconds.
    pub sync: usize,
    /// The faults, each with the time in milliseconds that passes before it.
    pub steps: Vec<(u64, Fault)>,
}

/// A disk that keeps only synced bytes over a crash.
#[derive(Default)]
struct FakeDisk {
    journal: Vec<u8>,
    sequence: u64,
    snapshot: Option<Vec<u8>>,
    pending: VecDeque<DiskEffect>,
    full: bool,
}

impl FakeDisk {
    /// Syncs the next pending effect, merged with up to `max_appends - 1` appends that follow it.
    fn sync(&mut self, max_appends: usize) -> Option<DiskInput> {
        if self.full && !self.pending.is_empty() {
            return Some(DiskInput::Stalled("no space".into()));
        }
        match self.pending.pop_front()? {
            DiskEffect::Append { mut id, mut entries } => {
                for _ in 1..max_appends {
                    let Some(DiskEffect::Append { .. }) = self.pending.front() else { break };
                    let Some(DiskEffect::Append { id: next, entries: rest }) =
                        self.pending.pop_front()
                    else {
                        break;
                    };
                    id = next;
                    entries.extend(rest);
                }
                self.journal.extend(disk::encode(self.sequence, &entries).unwrap());
                self.sequence += 1;
                Some(DiskInput::Synced(id))
            }
            DiskEffect::Replace { id, snapshot, entries } => {
                self.snapshot = Some(disk::encode(0, &*snapshot).unwrap());
                self.journal = disk::encode(0, &entries).unwrap();
                self.sequence = 1;
                Some(DiskInput::Synced(id))
            }
        }
    }

    /// Drops all pending effects, except that the first one may have been written in part.
    fn crash(&mut self, rng: &mut Pcg64Mcg) {
        match self.pending.pop_front() {
            Some(DiskEffect::Append { entries, .. }) => {
                let mut torn = disk::encode(self.sequence, &entries).unwrap();
                torn.truncate(below(rng, torn.len()));
                if let Some(byte) = torn.last_mut().filter(|_| below(rng, 2) == 0) {
                    *byte ^= 1;
                }
                self.journal.extend(torn);
            }
            Some(DiskEffect::Replace { snapshot, .. }) if below(rng, 2) == 0 => {
                self.snapshot = Some(disk::encode(0, &*snapshot).unwrap());
            }
            _ => {}
        }
        self.pending.clear();
    }

    /// Replays the disk; an empty one gets `fresh` as its owner.
    fn load(&mut self, fresh: MemberId) -> Result<Stored, String> {
        let journal = disk::decode(&self.journal).map_err(|e| format!("{e:#}"))?;
        self.journal.truncate(journal.length);
        self.sequence = journal.sequence;
        let mut entries = journal.entries;
        if entries.is_empty() {
            entries.push(Entry::Owner(fresh));
            self.journal = disk::encode(0, &entries).unwrap();
            self.sequence = 1;
        }
        let snapshot = self.snapshot.as_ref().map(|b| disk::decode_snapshot(b).unwrap().into());
        Stored::replay(snapshot, entries).map_err(|e| format!("{e:#}"))
    }
}

/// A control member and its disk.
struct Node {
    /// The running member; None if it was killed.
    control: Option<Control>,
    disk: FakeDisk,
    /// The number of starts so far.
    boot: u64,
    /// The exchanges opened at this boot, by the id under which the member knows them.
    inbound: BTreeMap<InboundId, Exchange>,
    inbound_ids: BTreeMap<Exchange, InboundId>,
    paused_until: Timestamp,
    /// Whether its disk was lost and the new member has no committed vote yet.
    repairing: bool,
    /// When the running sync ends.
    sync_due: Option<Timestamp>,
    /// The last record that was compared with the oracle.
    checked: LogIndex,
}

/// An exchange, with the boots of both ends and the connection that carries it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Exchange {
    from: usize,
    boot: u64,
    id: ExchangeId,
    to: usize,
    to_boot: u64,
    connection: u64,
}

#[derive(Clone)]
enum Packet {
    Request(Exchange, Envelope<Request>),
    Reply(Exchange, Envelope<Reply>),
    Closed(Exchange, LinkFailure),
}

/// The simulated group, its network and its clock.
pub struct World {
    now: Timestamp,
    rng: Pcg64Mcg,
    noise: u32,
    sync: usize,
    last_leader: usize,
    nodes: Vec<Node>,
    /// The followers, each with the id of its last exchange.
    followers: Vec<(Follower, u64)>,
    /// The packets under way by the time of their delivery and a unique number.
    queue: BTreeMap<(Timestamp, u64), Packet>,
    packet_count: u64,
    open: BTreeMap<(usize, u64, ExchangeId), Exchange>,
    /// The number of redials from one node to another.
    connections: BTreeMap<(usize, usize), u64>,
    muted: BTreeSet<(usize, usize, u64)>,
    cuts: BTreeSet<(usize, usize)>,
    /// The changes that an operator proposed, by the exchange of each proposal.
    proposals: BTreeMap<ExchangeId, Change>,
    /// All changes in the order of their first proposal.
    proposed: Vec<Change>,
    /// The last unique number used for a boot, a change or an exchange of an operator.
    last_id: u64,
    oracle: Oracle,
    /// The faults so far, for the report of a failure.
    trace: Vec<String>,
}

/// What replies and states have shown so far, which later ones must not contradict.
#[derive(Default)]
struct Oracle {
    /// The id of the change that was accepted as each revision.
    accepted: BTreeMap<Revision, Box<str>>,
    /// The revision as which each change was accepted.
    by_id: BTreeMap<Box<str>, Revision>,
    /// The leader of each term.
    leaders: BTreeMap<u64, MemberId>,
    /// The term and command of each applied record.
    records: BTreeMap<LogIndex, (u64, Command)>,
    /// The hash of each revision, and when a member first applied it.
    contents: BTreeMap<Revision, (u64, Timestamp)>,
    /// The last revision of each follower.
    follower_revisions: Vec<Revision>,
}

/// Returns a random number below `bound`, or 0 if `bound` is 0.
fn below(rng: &mut Pcg64Mcg, bound: usize) -> usize {
    (rng.next_u64() % (bound.max(1) as u64)) as usize
}

fn address(node: usize) -> SocketAddr {
    ([10, 0, 0, 1 + node as u8], 7000).into()
}

macro_rules! check {
    ($world:expr, $holds:expr, $($text:tt)*) => {
        if !$holds {
            return Err($world.problem(format!($($text)*)));
        }
    };
}

impl World {
    /// Runs a scenario; returns an error with the trace of faults if a check fails.
    pub fn run(scenario: &Scenario) -> Result<(), String> {
        let mut world = World::new(scenario)?;
        world.advance(Duration::from_millis(3_000))?;
        for (gap, fault) in &scenario.steps {
            world.advance(Duration::from_millis(*gap))?;
            world.trace.push(format!("{:>9} {fault:?}", world.now.as_micros()));
            world.inject(fault)?;
        }
        world.settle()
    }

    fn new(scenario: &Scenario) -> Result<World, String> {
        let members: Vec<_> = (0..scenario.nodes).map(address).collect();
        let follower = |index: usize| {
            let settings = FollowerSettings {
                name: format!("entry-{index}").into(),
                role: "entry".into(),
                domain: "brno-a".into(),
                boot: BootId(index as u64),
                members: members.clone(),
                routes: false,
                endpoints: false,
            };
            (Follower::new(settings), 0)
        };
        let mut world = World {
            now: Timestamp::from_micros(1_000_000),
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            noise: scenario.noise,
            sync: scenario.sync,
            last_leader: 0,
            nodes: Vec::new(),
            followers: (0..FOLLOWERS).map(follower).collect(),
            queue: BTreeMap::new(),
            packet_count: 0,
            open: BTreeMap::new(),
            connections: BTreeMap::new(),
            muted: BTreeSet::new(),
            cuts: BTreeSet::new(),
            proposals: BTreeMap::new(),
            proposed: Vec::new(),
            last_id: 0,
            oracle: Oracle {
                follower_revisions: vec![Revision(0); FOLLOWERS],
                ..Oracle::default()
            },
            trace: Vec::new(),
        };
        for _ in 0..scenario.nodes {
            world.nodes.push(Node {
                control: None,
                disk: FakeDisk::default(),
                boot: 0,
                inbound: BTreeMap::new(),
                inbound_ids: BTreeMap::new(),
                paused_until: Timestamp::default(),
                repairing: false,
                sync_due: None,
                checked: LogIndex(0),
            });
        }
        for node in 0..scenario.nodes {
            world.start(node)?;
        }
        Ok(world)
    }

    /// Adds the time and the faults so far to the text of a failed check.
    fn problem(&self, text: String) -> String {
        format!("{text}\nat {}\n{}", self.now.as_micros(), self.trace.join("\n"))
    }

    fn start(&mut self, at: usize) -> Result<(), String> {
        if self.nodes[at].control.is_some() {
            return Ok(());
        }
        self.last_id += 1;
        let boot_id = self.last_id * 1_000 + at as u64;
        let members = (0..self.nodes.len()).map(address).collect();
        let mut replica = ReplicaSettings::new(address(at), members, self.rng.next_u64());
        (replica.compact_after, replica.kept) = (20, 10);
        let settings = ControlSettings {
            name: format!("control-{at}").into(),
            domain: "brno-a".into(),
            boot: BootId(boot_id),
            replica,
            grace: Duration::from_secs(8),
        };
        let stored = self.nodes[at].disk.load(MemberId(boot_id)).map_err(|e| self.problem(e))?;
        let control = Control::new(settings, stored).map_err(|e| self.problem(e.to_string()))?;
        let node = &mut self.nodes[at];
        node.control = Some(control);
        node.boot += 1;
        node.checked = LogIndex(0);
        Ok(())
    }

    fn kill(&mut self, at: usize) {
        let node = &mut self.nodes[at];
        if node.control.take().is_some() {
            node.disk.crash(&mut self.rng);
            node.inbound.clear();
            node.inbound_ids.clear();
            node.sync_due = None;
        }
    }

    fn leader(&self) -> Option<usize> {
        let leads = |n: &Node| n.control.as_ref().is_some_and(|c| c.replica().is_leader());
        (0..self.nodes.len())
            .filter(|at| leads(&self.nodes[*at]))
            .max_by_key(|at| self.nodes[*at].control.as_ref().map(|c| c.replica().term()))
    }

    /// Returns the index of the node `offset` places after the leader, or after the last leader if
    /// there is none now.
    fn node_at(&self, offset: usize) -> usize {
        (self.leader().unwrap_or(self.last_leader) + offset) % self.nodes.len()
    }

    fn inject(&mut self, fault: &Fault) -> Result<(), String> {
        match *fault {
            Fault::Change(at) => self.propose_change(self.node_at(at), self.newest()),
            Fault::Race(at) => {
                let base = self.newest();
                self.propose_change(self.node_at(0), base);
                self.propose_change(self.node_at(at), base);
                self.propose_change(self.node_at(0), base);
            }
            Fault::Resend { old, at } => {
                if let Some(change) = self.proposed.get(old as usize % self.proposed.len().max(1)) {
                    self.propose(self.node_at(at), change.clone());
                }
            }
            Fault::Burst(count) => {
                let base = self.newest();
                for offset in 0..count as u64 {
                    self.propose_change(self.node_at(0), Revision(base.0 + offset));
                }
            }
            Fault::Kill(at) => self.kill(self.node_at(at)),
            Fault::Restart(at) => self.start(self.node_at(at))?,
            Fault::PowerLoss { without } => {
                let without = self.node_at(without);
                for at in 0..self.nodes.len() {
                    self.kill(at);
                }
                for at in (0..self.nodes.len()).filter(|at| *at != without) {
                    self.start(at)?;
                }
            }
            Fault::LoseDisk(at) => self.lose_disk(self.node_at(at))?,
            Fault::Full { at, full } => {
                let at = self.node_at(at);
                self.nodes[at].disk.full = full;
            }
            Fault::Cut { from, to } => {
                self.cuts.insert((self.node_at(from), self.node_at(to)));
            }
            Fault::Isolate(at) => self.isolate(self.node_at(at)),
            Fault::Split => {
                for at in 0..self.nodes.len() {
                    self.isolate(at);
                }
            }
            Fault::Heal => self.cuts.clear(),
            Fault::Mute { from, to } => {
                let (from, to) = (self.node_at(from), self.node_at(to));
                let connection = self.connections.get(&(from, to)).copied().unwrap_or(0);
                self.muted.insert((from, to, connection));
            }
            Fault::Pause { at, millis } => {
                let at = self.node_at(at);
                self.nodes[at].paused_until = self.now + Duration::from_millis(millis);
            }
        }
        Ok(())
    }

    fn isolate(&mut self, at: usize) {
        for other in 0..self.nodes.len() {
            self.cuts.extend([(at, other), (other, at)]);
        }
    }

    /// Restarts a member with an empty disk, unless too many others are still being repaired: the
    /// group tolerates the loss of a minority of disks at a time.
    fn lose_disk(&mut self, at: usize) -> Result<(), String> {
        self.update_repairs();
        let repairing = self.nodes.iter().filter(|n| n.repairing).count();
        if self.nodes[at].repairing || repairing >= (self.nodes.len() - 1) / 2 {
            return Ok(());
        }
        self.kill(at);
        self.nodes[at].disk = FakeDisk::default();
        self.nodes[at].repairing = true;
        self.start(at)
    }

    /// Ends the repair of each member that has a vote in a committed list of members.
    fn update_repairs(&mut self) {
        for at in 0..self.nodes.len() {
            let Some(control) = &self.nodes[at].control else { continue };
            let id = control.replica().id();
            let controls = self.nodes.iter().filter_map(|n| n.control.as_ref());
            let settled =
                |c: &Control| c.replica().committed_members().is_some_and(|m| m.is_voter(id));
            if controls.into_iter().any(settled) {
                self.nodes[at].repairing = false;
            }
        }
    }

    /// Returns the newest revision for which an operator received an acceptance.
    fn newest(&self) -> Revision {
        self.oracle.accepted.keys().max().copied().unwrap_or_default()
    }

    /// Proposes a new change at a member.
    fn propose_change(&mut self, at: usize, base: Revision) {
        self.last_id += 1;
        let edit = Edit::Set {
            name: "call.deadline_ms".into(),
            value: (1_000 + self.last_id).to_string().into(),
        };
        let id = format!("change-{}", self.last_id);
        let change = Change { id: id.into(), base, author: "op".into(), edit };
        self.proposed.push(change.clone());
        self.propose(at, change);
    }

    fn propose(&mut self, at: usize, change: Change) {
        self.last_id += 1;
        let id = ExchangeId(self.last_id);
        self.proposals.insert(id, change.clone());
        let envelope = Envelope {
            revised: Default::default(),
            body: Request::Control(ControlRequest::Propose(Command::Change(change))),
        };
        self.open(OPERATOR, 0, id, address(at), envelope);
    }

    fn open(
        &mut self,
        from: usize,
        boot: u64,
        id: ExchangeId,
        peer: SocketAddr,
        envelope: Envelope<Request>,
    ) {
        let Some(to) = (0..self.nodes.len()).find(|n| address(*n) == peer) else { return };
        let connection = self.connections.get(&(from, to)).copied().unwrap_or(0);
        let to_boot = self.nodes[to].boot;
        let exchange = Exchange { from, boot, id, to, to_boot, connection };
        if self.nodes[to].control.is_none() {
            self.send(Packet::Closed(exchange, LinkFailure::NotSent));
            return;
        }
        self.open.insert((from, boot, id), exchange);
        self.send(Packet::Request(exchange, envelope));
    }

    /// Queues a packet for delivery; noise may lose, duplicate or delay it.
    fn send(&mut self, packet: Packet) {
        let copies = match self.rng.next_u32() % 100 {
            roll if roll < self.noise => 0,
            roll if roll < self.noise * 3 / 2 => 2,
            _ => 1,
        };
        for _ in 0..copies {
            let delayed = self.rng.next_u32() % 100 < self.noise / 2;
            let micros = if delayed { 400_000 } else { 3_000 };
            let due = self.now + Duration::from_micros(300 + below(&mut self.rng, micros) as u64);
            self.packet_count += 1;
            self.queue.insert((due, self.packet_count), packet.clone());
        }
    }

    /// Returns whether no cut or muted connection drops a packet of the exchange.
    fn passes(&self, exchange: &Exchange, is_reply: bool) -> bool {
        let Exchange { from, to, connection, .. } = *exchange;
        let cut = if is_reply { (to, from) } else { (from, to) };
        !self.cuts.contains(&cut) && !self.muted.contains(&(from, to, connection))
    }

    /// Advances the clock by `duration` and handles everything that becomes due.
    fn advance(&mut self, duration: Duration) -> Result<(), String> {
        let until = self.now + duration;
        loop {
            let packet = self.queue.keys().next().map(|(due, _)| *due);
            let wakes = self.nodes.iter().filter_map(|n| {
                let wake = n.control.as_ref()?.next_wake()?.max(n.paused_until);
                Some(n.sync_due.map_or(wake, |s| s.max(n.paused_until).min(wake)))
            });
            let follower = self.followers.iter().filter_map(|(f, _)| f.next_wake());
            let next = wakes.chain(follower).chain(packet).min().unwrap_or(until);
            if next > until {
                self.now = until;
                return Ok(());
            }
            self.now = self.now.max(next);
            self.handle_due()?;
        }
    }

    fn handle_due(&mut self) -> Result<(), String> {
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
            let packet = entry.remove();
            self.deliver(packet)?;
        }
        for at in 0..self.nodes.len() {
            if self.nodes[at].paused_until > self.now {
                continue;
            }
            if self.nodes[at].sync_due.is_some_and(|due| due <= self.now) {
                let max_appends = 1 + below(&mut self.rng, 4);
                self.nodes[at].sync_due = None;
                if let Some(input) = self.nodes[at].disk.sync(max_appends) {
                    self.step(at, Input::Local(input))?;
                }
                self.schedule_sync(at);
            }
            let wake = self.nodes[at].control.as_ref().and_then(|c| c.next_wake());
            if wake.is_some_and(|due| due <= self.now) {
                self.step(at, Input::Wake)?;
            }
        }
        for index in 0..self.followers.len() {
            let (follower, last_id) = &mut self.followers[index];
            if follower.next_wake().is_some_and(|due| due <= self.now) {
                let outputs = follower.wake::<()>(self.now, None, None, &mut || {
                    *last_id += 1;
                    ExchangeId(*last_id)
                });
                for output in outputs {
                    self.execute(self.nodes.len() + index, 0, output);
                }
            }
        }
        Ok(())
    }

    /// Starts a sync, if none is running and effects are pending.
    fn schedule_sync(&mut self, at: usize) {
        let idle = self.nodes[at].sync_due.is_none();
        if idle && !self.nodes[at].disk.pending.is_empty() {
            let max_micros = if self.nodes[at].disk.full { 1_000_000 } else { self.sync };
            let duration = Duration::from_micros(100 + below(&mut self.rng, max_micros) as u64);
            self.nodes[at].sync_due = Some(self.now + duration);
        }
    }

    fn deliver(&mut self, packet: Packet) -> Result<(), String> {
        let (exchange, is_reply) = match &packet {
            Packet::Request(e, _) => (*e, false),
            Packet::Reply(e, _) | Packet::Closed(e, _) => (*e, true),
        };
        if !self.passes(&exchange, is_reply) {
            return Ok(());
        }
        let target = if is_reply { exchange.from } else { exchange.to };
        if self.nodes.get(target).is_some_and(|n| n.paused_until > self.now) {
            self.packet_count += 1;
            self.queue.insert((self.nodes[target].paused_until, self.packet_count), packet);
            return Ok(());
        }
        match packet {
            Packet::Request(e, envelope) => {
                let node = &mut self.nodes[e.to];
                if node.control.is_none() || node.boot != e.to_boot {
                    return Ok(());
                }
                let fresh = InboundId(node.inbound_ids.len() as u64 + 1);
                let inbound = *node.inbound_ids.entry(e).or_insert(fresh);
                node.inbound.insert(inbound, e);
                self.step(e.to, Input::Request { inbound, envelope })
            }
            Packet::Reply(e, envelope) => self.deliver_reply(e, envelope),
            Packet::Closed(e, failure) => {
                let failure = Some(failure);
                if e.from < self.nodes.len() {
                    if self.nodes[e.from].boot != e.boot {
                        return Ok(());
                    }
                    return self.step(e.from, Input::Closed { exchange: e.id, failure });
                }
                if let Some((follower, _)) =
                    self.followers.get_mut(e.from.wrapping_sub(self.nodes.len()))
                {
                    follower.closed(e.id);
                }
                Ok(())
            }
        }
    }

    fn deliver_reply(&mut self, e: Exchange, envelope: Envelope<Reply>) -> Result<(), String> {
        if e.from == OPERATOR {
            return self.check_reply(e.id, envelope.body);
        }
        if e.from < self.nodes.len() {
            let alive = self.nodes[e.from].control.is_some() && self.nodes[e.from].boot == e.boot;
            if !alive || !self.open.contains_key(&(e.from, e.boot, e.id)) {
                return Ok(());
            }
            return self.step(e.from, Input::Reply { exchange: e.id, envelope });
        }
        let index = e.from - self.nodes.len();
        let follower = &mut self.followers[index].0;
        follower.observe(self.now, envelope.revised);
        follower.reply(self.now, e.id, &envelope.body);
        self.check_follower(index)
    }

    /// Checks a reply to an operator against the replies so far.
    fn check_reply(&mut self, id: ExchangeId, reply: Reply) -> Result<(), String> {
        let Some(change) = self.proposals.get(&id).cloned() else { return Ok(()) };
        let Reply::Control(ControlReply::Applied(Applied::Changed(reply))) = reply else {
            return Ok(());
        };
        match reply {
            ChangeReply::Accepted(revision) => {
                let first =
                    self.oracle.accepted.entry(revision).or_insert(change.id.clone()).clone();
                check!(
                    self,
                    first == change.id,
                    "{revision} was accepted for two changes: {first} and {}",
                    change.id
                );
                let known = *self.oracle.by_id.entry(change.id.clone()).or_insert(revision);
                check!(
                    self,
                    known == revision,
                    "change {} was accepted as {known} and as {revision}",
                    change.id
                );
                check!(
                    self,
                    revision.0 == change.base.0 + 1,
                    "{change:?} was accepted as {revision}, not on its base"
                );
            }
            ChangeReply::Conflict { .. } | ChangeReply::Refused(_) => {
                let won = self.oracle.by_id.contains_key(&change.id);
                check!(self, !won, "change {} was accepted before and is refused now", change.id);
            }
        }
        Ok(())
    }

    /// Passes an input to a member, executes its outputs and checks its state.
    fn step(&mut self, at: usize, input: Input<DiskInput>) -> Result<(), String> {
        let boot = self.nodes[at].boot;
        let Some(control) = &mut self.nodes[at].control else { return Ok(()) };
        for output in control.step(self.now, input) {
            match output {
                Output::Effect(effect) => self.nodes[at].disk.pending.push_back(effect),
                Output::Reply { inbound, envelope, .. } => {
                    if let Some(exchange) = self.nodes[at].inbound.get(&inbound).copied() {
                        self.send(Packet::Reply(exchange, envelope));
                    }
                }
                Output::Stopped => return Err(self.problem(format!("control member {at} stopped"))),
                other => self.execute(at, boot, other),
            }
        }
        self.schedule_sync(at);
        self.check_node(at)
    }

    /// Executes an output that concerns the network.
    fn execute<E>(&mut self, from: usize, boot: u64, output: Output<E>) {
        match output {
            Output::Open { exchange, peer, envelope } => {
                self.open(from, boot, exchange, peer, envelope);
            }
            Output::Send { exchange, envelope } => {
                if let Some(exchange) = self.open.get(&(from, boot, exchange)).copied() {
                    self.send(Packet::Request(exchange, envelope));
                }
            }
            Output::Reset { exchange } => {
                self.open.remove(&(from, boot, exchange));
            }
            Output::Redial { peer } => {
                let to = (0..self.nodes.len()).find(|n| address(*n) == peer);
                if let Some(to) = to {
                    *self.connections.entry((from, to)).or_default() += 1;
                }
            }
            _ => {}
        }
    }

    fn check_node(&mut self, at: usize) -> Result<(), String> {
        let Some(control) = &self.nodes[at].control else { return Ok(()) };
        let replica = control.replica();
        if replica.is_leader() {
            self.last_leader = at;
            let first = *self.oracle.leaders.entry(replica.term()).or_insert(replica.id());
            let term = replica.term();
            check!(
                self,
                first == replica.id(),
                "term {term} has a second leader besides {first:?}"
            );
        }
        let revised = control.state().config.revised();
        let seen = (revised.hash, self.now);
        let first = self.oracle.contents.entry(revised.revision).or_insert(seen).0;
        check!(self, first == revised.hash, "{} has two different contents", revised.revision);
        let applied = replica.applied();
        for index in self.nodes[at].checked.0 + 1..=applied.0 {
            let Some(record) = replica.record(LogIndex(index)) else { continue };
            let known = self.oracle.records.entry(LogIndex(index));
            let known = known.or_insert_with(|| (record.term, record.command.clone()));
            let same = known.0 == record.term && known.1 == record.command;
            check!(self, same, "record {index} at member {at} differs from that of another member");
        }
        self.nodes[at].checked = applied;
        Ok(())
    }

    fn check_follower(&mut self, index: usize) -> Result<(), String> {
        let follower = &self.followers[index].0;
        let revised = follower.revised();
        let before =
            std::mem::replace(&mut self.oracle.follower_revisions[index], revised.revision);
        check!(
            self,
            before <= revised.revision,
            "follower {index} went back from {before} to {revised}"
        );
        if let Some((hash, _)) = self.oracle.contents.get(&revised.revision) {
            check!(
                self,
                *hash == revised.hash,
                "follower {index} has other content than the members in {revised}"
            );
        }
        let follower = &self.followers[index].0;
        if follower.is_confirmed(self.now) {
            let newer = self.oracle.contents.range(Revision(revised.revision.0 + 1)..).next();
            if let Some((revision, (_, at))) = newer {
                let fresh = self.now - *at <= MAX_CONFIRMED_LAG;
                check!(
                    self,
                    fresh,
                    "follower {index} confirms {revised} too long after {revision} was applied"
                );
            }
        }
        Ok(())
    }

    /// Ends all faults, except that muted connections stay muted until they are dialled again, and
    /// checks that, within [`SETTLE_TIMEOUT`], changes are accepted again and everything accepted is
    /// in force everywhere.
    fn settle(&mut self) -> Result<(), String> {
        self.cuts.clear();
        self.noise = 0;
        for at in 0..self.nodes.len() {
            self.nodes[at].disk.full = false;
            self.nodes[at].paused_until = self.now;
            self.start(at)?;
        }
        let until = self.now + SETTLE_TIMEOUT;
        let mut last = None;
        while self.now < until {
            self.advance(Duration::from_millis(500))?;
            if last.is_none_or(|id| !self.oracle.by_id.contains_key(&id)) {
                // The reply to an accepted change may have been lost, so the base is taken from the
                // leader rather than from the replies.
                let at = self.leader().unwrap_or(0);
                let control = self.nodes[at].control.as_ref();
                let base = control.map(|c| c.state().config.revision).unwrap_or_default();
                self.propose_change(at, base);
                last = self.proposed.last().map(|c| c.id.clone());
            } else {
                last = self.proposed.last().map(|c| c.id.clone());
            }
        }
        let newest = self.newest();
        check!(
            self,
            last.is_some_and(|id| self.oracle.by_id.contains_key(&id)),
            "the last change was not accepted after the end of all faults"
        );
        for node in &self.nodes {
            let Some(control) = &node.control else { continue };
            let state = control.state();
            let replica = control.replica();
            let known = replica.members();
            let (id, at) = (replica.id(), state.config.revision);
            check!(self, at >= newest, "{id:?} is at {at}, expected {newest} or newer; {known:?}");
            for (revision, id) in &self.oracle.accepted {
                let found = state.changes.accepted(id);
                check!(
                    self,
                    found == Some(*revision),
                    "change {id} is recorded as {found:?}, not {revision}"
                );
            }
            let replica = control.replica();
            let voter = replica.members().is_voter(replica.id());
            check!(
                self,
                voter,
                "a member has no vote after the end of all faults: {:?}",
                replica.members()
            );
        }
        for (follower, _) in &self.followers {
            let revised = follower.revised();
            check!(
                self,
                revised.revision >= newest,
                "a follower has {revised}, expected {newest} or newer"
            );
            check!(
                self,
                follower.is_confirmed(self.now),
                "a follower is not confirmed after the end of all faults"
            );
        }
        Ok(())
    }
}
