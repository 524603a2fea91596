//! Simulates a group of control members with followers and operators under faults, in one thread
//! and on a simulated clock, and checks that nothing that was accepted is lost or reverted.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::control::config::{Change, Edit};
use dotterelpin::control::replica::ReplicaSettings;
use dotterelpin::control::state::{Applied, Command};
use dotterelpin::control::{Control, ControlSettings, DiskInput};
use dotterelpin::link::message::{ControlReply, ControlRequest, Envelope, Reply, Request};
use dotterelpin::model::{BootId, ExchangeId, Revision, Timestamp};
use dotterelpin::registry::{Follower, FollowerSettings};
use dotterelpin::role::{Input, LinkFailure, Output, Role};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::simulated::{Exchange, FakeDisk, Host, Network, Oracle, Packet};

const FOLLOWERS: usize = 2;
/// The sender index of exchanges that an operator opens.
const OPERATOR: usize = usize::MAX;
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

/// A control member and its repair.
#[derive(Default)]
struct Node {
    host: Host,
    /// Whether its disk was lost and the new member has no committed vote yet.
    repairing: bool,
}

/// The simulated group, its network and its clock.
pub struct World {
    now: Timestamp,
    rng: Pcg64Mcg,
    sync: usize,
    last_leader: usize,
    nodes: Vec<Node>,
    /// The followers, each with the id of its last exchange.
    followers: Vec<(Follower, u64)>,
    network: Network,
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
                address: None,
                members: members.clone(),
                routes: false,
                endpoints: false,
            };
            (Follower::new(settings), 0)
        };
        let mut world = World {
            now: Timestamp::from_micros(1_000_000),
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            sync: scenario.sync,
            last_leader: 0,
            nodes: Vec::new(),
            followers: (0..FOLLOWERS).map(follower).collect(),
            network: Network::new(scenario.noise),
            cuts: BTreeSet::new(),
            proposals: BTreeMap::new(),
            proposed: Vec::new(),
            last_id: 0,
            oracle: Oracle::default(),
            trace: Vec::new(),
        };
        for _ in 0..scenario.nodes {
            world.nodes.push(Node::default());
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
        if self.nodes[at].host.control.is_some() {
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
        self.nodes[at].host.start(settings).map_err(|e| self.problem(e))
    }

    fn kill(&mut self, at: usize) {
        self.nodes[at].host.crash(&mut self.rng);
    }

    fn leader(&self) -> Option<usize> {
        let leads = |n: &Node| n.host.control.as_ref().is_some_and(|c| c.replica().is_leader());
        (0..self.nodes.len())
            .filter(|at| leads(&self.nodes[*at]))
            .max_by_key(|at| self.nodes[*at].host.control.as_ref().map(|c| c.replica().term()))
    }

    /// Returns the index of the node `offset` places after the leader, or after the last leader if
    /// there is none now.
    fn node_at(&self, offset: usize) -> usize {
        (self.leader().unwrap_or(self.last_leader) + offset) % self.nodes.len()
    }

    fn inject(&mut self, fault: &Fault) -> Result<(), String> {
        match *fault {
            Fault::Change(at) => self.propose_change(self.node_at(at), self.oracle.newest()),
            Fault::Race(at) => {
                let base = self.oracle.newest();
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
                let base = self.oracle.newest();
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
                self.nodes[at].host.disk.full = full;
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
                self.network.mute(from, to);
            }
            Fault::Pause { at, millis } => {
                let at = self.node_at(at);
                self.nodes[at].host.paused_until = self.now + Duration::from_millis(millis);
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
        self.nodes[at].host.disk = FakeDisk::default();
        self.nodes[at].repairing = true;
        self.start(at)
    }

    /// Ends the repair of each member that has a vote in a committed list of members.
    fn update_repairs(&mut self) {
        for at in 0..self.nodes.len() {
            let Some(control) = &self.nodes[at].host.control else { continue };
            let id = control.replica().id();
            let controls = self.nodes.iter().filter_map(|n| n.host.control.as_ref());
            let settled =
                |c: &Control| c.replica().committed_members().is_some_and(|m| m.is_voter(id));
            if controls.into_iter().any(settled) {
                self.nodes[at].repairing = false;
            }
        }
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
        let connection = self.network.connection(from, to);
        let to_boot = self.nodes[to].host.boot;
        let exchange = Exchange { from, boot, id, to, to_boot, connection };
        if self.nodes[to].host.control.is_none() {
            self.send(Packet::Closed(exchange, LinkFailure::NotSent));
            return;
        }
        self.network.open(exchange);
        self.send(Packet::Request(exchange, envelope));
    }

    fn send(&mut self, packet: Packet) {
        self.network.send(self.now, &mut self.rng, packet);
    }

    /// Returns whether no cut or muted connection drops a packet.
    fn passes(&self, packet: &Packet) -> bool {
        let (exchange, is_reply) = packet.route();
        let Exchange { from, to, .. } = exchange;
        let cut = if is_reply { (to, from) } else { (from, to) };
        !self.cuts.contains(&cut) && !self.network.is_muted(&exchange)
    }

    /// Advances the clock by `duration` and handles everything that becomes due.
    fn advance(&mut self, duration: Duration) -> Result<(), String> {
        let until = self.now + duration;
        loop {
            let packet = self.network.next_due();
            let wakes = self.nodes.iter().filter_map(|n| n.host.next_due());
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
        while let Some(packet) = self.network.take_due(self.now) {
            self.deliver(packet)?;
        }
        for at in 0..self.nodes.len() {
            if self.nodes[at].host.paused_until > self.now {
                continue;
            }
            if self.nodes[at].host.sync_is_over(self.now) {
                if let Some(input) = self.nodes[at].host.end_sync(&mut self.rng) {
                    self.step(at, Input::Local(input))?;
                }
                self.schedule_sync(at);
            }
            if self.nodes[at].host.must_wake(self.now) {
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

    fn schedule_sync(&mut self, at: usize) {
        self.nodes[at].host.schedule_sync(self.now, &mut self.rng, self.sync);
    }

    fn deliver(&mut self, packet: Packet) -> Result<(), String> {
        if !self.passes(&packet) {
            return Ok(());
        }
        let target = self.nodes.get(packet.target()).map(|n| n.host.paused_until);
        if let Some(until) = target.filter(|until| *until > self.now) {
            self.network.put(until, packet);
            return Ok(());
        }
        match packet {
            Packet::Request(e, envelope) => match self.nodes[e.to].host.accept(e) {
                Some(inbound) => self.step(e.to, Input::Request { inbound, envelope }),
                None => Ok(()),
            },
            Packet::Reply(e, envelope) => self.deliver_reply(e, envelope),
            Packet::Closed(e, failure) => {
                let failure = Some(failure);
                if e.from < self.nodes.len() {
                    if self.nodes[e.from].host.boot != e.boot {
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
            let host = &self.nodes[e.from].host;
            let alive = host.control.is_some() && host.boot == e.boot;
            if !alive || self.network.opened(e.from, e.boot, e.id).is_none() {
                return Ok(());
            }
            return self.step(e.from, Input::Reply { exchange: e.id, envelope });
        }
        let index = e.from - self.nodes.len();
        let follower = &mut self.followers[index].0;
        follower.observe(self.now, envelope.revised);
        follower.reply(self.now, e.id, &envelope.body);
        let follower = &self.followers[index].0;
        let checked = self.oracle.check_follower(self.now, index, follower);
        checked.map_err(|e| self.problem(e))
    }

    /// Checks a reply to an operator against the replies so far.
    fn check_reply(&mut self, id: ExchangeId, reply: Reply) -> Result<(), String> {
        let Some(change) = self.proposals.get(&id) else { return Ok(()) };
        let Reply::Control(ControlReply::Applied(Applied::Changed(reply))) = reply else {
            return Ok(());
        };
        self.oracle.check_reply(change, &reply).map_err(|e| self.problem(e))
    }

    /// Passes an input to a member, executes its outputs and checks its state.
    fn step(&mut self, at: usize, input: Input<DiskInput>) -> Result<(), String> {
        let boot = self.nodes[at].host.boot;
        let Some(control) = &mut self.nodes[at].host.control else { return Ok(()) };
        for output in control.step(self.now, input) {
            match output {
                Output::Effect(effect) => self.nodes[at].host.disk.pending.push_back(effect),
                Output::Reply { inbound, envelope, .. } => {
                    if let Some(exchange) = self.nodes[at].host.exchange(inbound) {
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
                if let Some(exchange) = self.network.opened(from, boot, exchange) {
                    self.send(Packet::Request(exchange, envelope));
                }
            }
            Output::Reset { exchange } => {
                self.network.reset(from, boot, exchange);
            }
            Output::Redial { peer } => {
                let to = (0..self.nodes.len()).find(|n| address(*n) == peer);
                if let Some(to) = to {
                    self.network.redial(from, to);
                }
            }
            _ => {}
        }
    }

    fn check_node(&mut self, at: usize) -> Result<(), String> {
        let host = &mut self.nodes[at].host;
        let Some(control) = &host.control else { return Ok(()) };
        if control.replica().is_leader() {
            self.last_leader = at;
        }
        let checked = self.oracle.check_control(self.now, control, &mut host.checked);
        checked.map_err(|e| self.problem(e))
    }

    /// Ends all faults, except that muted connections stay muted until they are dialled again, and
    /// checks that, within [`SETTLE_TIMEOUT`], changes are accepted again and everything accepted is
    /// in force everywhere.
    fn settle(&mut self) -> Result<(), String> {
        self.cuts.clear();
        self.network.noise = 0;
        for at in 0..self.nodes.len() {
            self.nodes[at].host.disk.full = false;
            self.nodes[at].host.paused_until = self.now;
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
                let control = self.nodes[at].host.control.as_ref();
                let base = control.map(|c| c.state().config.revision).unwrap_or_default();
                self.propose_change(at, base);
                last = self.proposed.last().map(|c| c.id.clone());
            } else {
                last = self.proposed.last().map(|c| c.id.clone());
            }
        }
        let newest = self.oracle.newest();
        check!(
            self,
            last.is_some_and(|id| self.oracle.by_id.contains_key(&id)),
            "the last change was not accepted after the end of all faults"
        );
        for node in &self.nodes {
            let Some(control) = &node.host.control else { continue };
            let replica = control.replica();
            let known = replica.members();
            let (id, at) = (replica.id(), control.state().config.revision);
            check!(self, at >= newest, "{id:?} is at {at}, expected {newest} or newer; {known:?}");
            self.oracle.check_accepted(control, newest).map_err(|e| self.problem(e))?;
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
