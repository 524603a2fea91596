//! Simulates a group of control members whose machines are replaced, wiped, stopped, killed and cut
//! in series, and checks that the group always bears the next loss.

mod checks;
mod followers;
mod machines;
mod operators;
mod schedule;
mod steps;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::control::DiskInput;
use dotterelpin::control::replica::MemberId;
use dotterelpin::link::message::{Envelope, Reply, Request};
use dotterelpin::model::{BootId, ExchangeId, Timestamp};
use dotterelpin::registry::{Follower, FollowerSettings};
use dotterelpin::role::{Input, LinkFailure, Output, Role};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::simulated::{Exchange, Network, Oracle, Packet, below};
pub use followers::{Fate, Outsiders};
use machines::Machines;
use operators::Operators;
pub use schedule::{SHAPES, Schedule, Shape, Step, Victim};
use steps::Event;

/// How long after SIGTERM a process is killed.
const GRACE: Duration = Duration::from_secs(8);
/// The index of an operator in exchanges.
const OPERATOR: usize = usize::MAX;
/// The index of the first follower in exchanges.
const FIRST_FOLLOWER: usize = 1_000_000;
/// The number of followers that run.
const FOLLOWERS: usize = 3;
/// The maximum random durations of a disk sync, in microseconds.
const SYNCS: [usize; 3] = [1_000, 8_000, 40_000];
/// The time between two checks whether a step is allowed yet.
const STEP_POLL: Duration = Duration::from_millis(20);
/// How long a step may wait until it is allowed.
const STEP_TIMEOUT: Duration = Duration::from_secs(60);

/// Why a simulation failed.
#[derive(Debug)]
pub struct Failure {
    /// The check that failed.
    pub check: &'static str,
    /// What it found.
    pub text: String,
    /// The steps, starts and changes of the group until then.
    pub trace: Vec<String>,
}

impl std::fmt::Display for Failure {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}\n{}", self.check, self.text, self.trace.join("\n"))
    }
}

/// A process that follows control.
struct Process {
    follower: Follower,
    last_exchange: u64,
    /// Its index in exchanges.
    index: usize,
}

/// The simulated group, its network and its clock.
pub struct World {
    shape: Shape,
    now: Timestamp,
    rng: Pcg64Mcg,
    sync: usize,
    compact_after: usize,
    machines: Machines,
    processes: Vec<Process>,
    process_count: usize,
    outsiders: Outsiders,
    network: Network,
    operators: Operators,
    oracle: Oracle,
    events: BTreeMap<(Timestamp, u64), Event>,
    event_count: u64,
    /// The last unique number used for a boot, a change or an exchange of an operator.
    last_id: u64,
    is_split: bool,
    split_since: Timestamp,
    /// Whether more machines are down than may be lost.
    is_beyond: bool,
    /// Until when service may be suspended, because more was lost than allowed.
    recovers_until: Timestamp,
    /// When more was last lost or split than allowed.
    impaired: Timestamp,
    /// The last leader, its term and the epoch of its committed members.
    led: (usize, u64, u64),
    trace: Vec<String>,
    /// The first failed check.
    failure: Option<(&'static str, String)>,
}

/// Runs a schedule.
pub fn run(schedule: &Schedule) -> Result<(), Failure> {
    run_with(schedule, Outsiders::none())
}

/// Runs a schedule with outsiders.
pub fn run_with(schedule: &Schedule, outsiders: Outsiders) -> Result<(), Failure> {
    let mut world = World { outsiders, ..World::new(schedule) };
    world.run(&schedule.steps).map_err(|text| {
        let (check, text) = world.failure.take().unwrap_or(("safety", text));
        Failure { check, text, trace: std::mem::take(&mut world.trace) }
    })
}

impl World {
    fn new(schedule: &Schedule) -> World {
        let mut rng = Pcg64Mcg::seed_from_u64(schedule.seed);
        let sync = SYNCS[below(&mut rng, SYNCS.len())];
        let compact_after = 20 + below(&mut rng, 100);
        let noise = [0, 0, 4][below(&mut rng, 3)];
        World {
            shape: schedule.shape,
            now: Timestamp::from_micros(1_000_000),
            rng,
            sync,
            compact_after,
            machines: Machines::default(),
            processes: Vec::new(),
            process_count: 0,
            outsiders: Outsiders::none(),
            network: Network::new(noise),
            operators: Operators::default(),
            oracle: Oracle::default(),
            events: BTreeMap::new(),
            event_count: 0,
            last_id: 0,
            is_split: false,
            split_since: Timestamp::default(),
            is_beyond: true,
            recovers_until: Timestamp::default(),
            impaired: Timestamp::default(),
            led: (usize::MAX, 0, 0),
            trace: Vec::new(),
            failure: None,
        }
    }

    fn run(&mut self, steps: &[(u64, Step)]) -> Result<(), String> {
        self.found();
        self.follow();
        self.admit_outsiders();
        for (gap, step) in steps {
            self.advance(Duration::from_millis(*gap))?;
            let until = self.now + STEP_TIMEOUT;
            while !self.is_allowed(*step) {
                self.advance(STEP_POLL)?;
                if self.now > until {
                    return Err(self.problem("schedule", format!("{step:?} is never allowed")));
                }
            }
            self.note(format!("{step:?}"));
            self.carry_out(*step)?;
        }
        Ok(())
    }

    /// Adds a line with the present time to the trace.
    fn note(&mut self, text: impl std::fmt::Display) {
        self.trace.push(format!("{:>8.3} {text}", self.now.as_micros() as f64 / 1e6));
    }

    /// Records that a check failed.
    fn problem(&mut self, check: &'static str, text: String) -> String {
        self.note(format!("FAILED {check}: {text}"));
        self.failure.get_or_insert((check, text.clone()));
        text
    }

    /// Starts one more follower; the oldest one but the first ends if there are too many.
    fn follow(&mut self) {
        let index = FIRST_FOLLOWER + self.process_count;
        self.process_count += 1;
        let members = self.machines.seeds(self.now, usize::MAX, &mut self.rng);
        let settings = FollowerSettings {
            name: format!("entry-{index}").into(),
            role: "entry".into(),
            domain: "brno-a".into(),
            boot: BootId(index as u64),
            address: None,
            members,
            routes: false,
            endpoints: false,
        };
        if self.processes.len() == FOLLOWERS {
            self.processes.remove(1);
        }
        let follower = Follower::new(settings);
        self.processes.push(Process { follower, last_exchange: 0, index });
    }

    /// Advances the clock by `duration` and handles everything that becomes due.
    fn advance(&mut self, duration: Duration) -> Result<(), String> {
        let until = self.now + duration;
        loop {
            let hosts = self.machines.all.iter().filter_map(|m| m.host.next_due());
            let followers = self.processes.iter().filter_map(|p| p.follower.next_wake());
            let event = self.events.keys().next().map(|(due, _)| *due);
            let network = self.network.next_due();
            let others = [network, event, self.operators.next_due(), self.outsiders.next_due()];
            let next = hosts.chain(followers).chain(others.into_iter().flatten()).min();
            let next = next.unwrap_or(until);
            if next > until {
                self.now = until;
                return Ok(());
            }
            self.now = self.now.max(next);
            self.handle_due()?;
        }
    }

    fn handle_due(&mut self) -> Result<(), String> {
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= self.now) {
            let event = entry.remove();
            self.happen(event)?;
        }
        while let Some(packet) = self.network.take_due(self.now) {
            self.deliver(packet)?;
        }
        for at in 0..self.machines.all.len() {
            if self.machines.all[at].host.paused_until > self.now {
                continue;
            }
            if self.machines.all[at].host.sync_is_over(self.now) {
                if let Some(input) = self.machines.all[at].host.end_sync(&mut self.rng) {
                    self.step(at, Input::Local(input))?;
                }
                let host = &mut self.machines.all[at].host;
                host.schedule_sync(self.now, &mut self.rng, self.sync);
            }
            if self.machines.all[at].host.must_wake(self.now) {
                self.step(at, Input::Wake)?;
            }
        }
        for at in 0..self.processes.len() {
            self.wake_process(at);
        }
        self.wake_outsiders();
        self.operate()?;
        self.check_outsiders()?;
        self.check_progress()
    }

    fn wake_process(&mut self, at: usize) {
        let Process { follower, last_exchange, index } = &mut self.processes[at];
        if follower.next_wake().is_some_and(|due| due <= self.now) {
            let index = *index;
            let outputs = follower.wake::<()>(self.now, None, None, &mut || {
                *last_exchange += 1;
                ExchangeId(*last_exchange)
            });
            for output in outputs {
                self.execute(index, 0, output);
            }
        }
    }

    fn passes(&self, exchange: &Exchange) -> bool {
        let Exchange { from, to, .. } = *exchange;
        if let Some(at) = self.outsiders.number(from).or_else(|| self.outsiders.number(to)) {
            let machine = if from < self.machines.all.len() { from } else { to };
            return self.outsiders.is_connected(at) && !self.machines.all[machine].cut;
        }
        if self.network.is_muted(exchange) {
            false
        } else if from < self.machines.all.len() {
            self.machines.connected(from, to)
        } else {
            !self.machines.all[to].cut
        }
    }

    fn deliver(&mut self, packet: Packet) -> Result<(), String> {
        let (exchange, _) = packet.route();
        if !self.passes(&exchange) {
            return Ok(());
        }
        if let Some(at) = self.outsiders.number(packet.target()) {
            return self.deliver_to_outsider(at, packet);
        }
        let paused = self.machines.all.get(packet.target()).map(|m| m.host.paused_until);
        if let Some(until) = paused.filter(|until| *until > self.now) {
            self.network.put(until, packet);
            return Ok(());
        }
        match packet {
            Packet::Request(e, envelope) => match self.machines.all[e.to].host.accept(e) {
                Some(inbound) => self.step(e.to, Input::Request { inbound, envelope }),
                None => Ok(()),
            },
            Packet::Reply(e, envelope) => self.deliver_reply(e, envelope),
            Packet::Closed(e, failure) => {
                if e.from == OPERATOR {
                    self.operators.retry(e.id, self.now);
                } else if let Some(process) = self.process(e.from) {
                    process.follower.closed(e.id);
                } else if self.machines.all.get(e.from).is_some_and(|m| m.host.boot == e.boot) {
                    let failure = Some(failure);
                    return self.step(e.from, Input::Closed { exchange: e.id, failure });
                }
                Ok(())
            }
        }
    }

    fn process(&mut self, index: usize) -> Option<&mut Process> {
        self.processes.iter_mut().find(|p| p.index == index)
    }

    fn deliver_reply(&mut self, e: Exchange, envelope: Envelope<Reply>) -> Result<(), String> {
        if e.from == OPERATOR {
            return self.operator_reply(e.id, envelope.body);
        }
        if let Some(machine) = self.machines.all.get(e.from) {
            let alive = machine.host.control.is_some() && machine.host.boot == e.boot;
            if !alive || self.network.opened(e.from, e.boot, e.id).is_none() {
                return Ok(());
            }
            return self.step(e.from, Input::Reply { exchange: e.id, envelope });
        }
        let now = self.now;
        let process = self.processes.iter_mut().find(|p| p.index == e.from);
        let Some(process) = process else { return Ok(()) };
        process.follower.observe(now, envelope.revised);
        process.follower.reply(now, e.id, &envelope.body);
        let checked = self.oracle.check_follower(now, e.from, &process.follower);
        checked.map_err(|text| self.problem("safety", text))
    }

    /// Passes an input to a member, executes its outputs and checks its state.
    fn step(&mut self, at: usize, input: Input<DiskInput>) -> Result<(), String> {
        let host = &mut self.machines.all[at].host;
        let boot = host.boot;
        let Some(control) = &mut host.control else { return Ok(()) };
        let mut stopped = false;
        for output in control.step(self.now, input) {
            match output {
                Output::Effect(effect) => {
                    self.machines.all[at].host.disk.pending.push_back(effect);
                }
                Output::Reply { inbound, envelope, .. } => {
                    if let Some(exchange) = self.machines.all[at].host.exchange(inbound) {
                        self.send(Packet::Reply(exchange, envelope));
                    }
                }
                Output::Stopped => stopped = true,
                other => self.execute(at, boot, other),
            }
        }
        self.machines.all[at].host.schedule_sync(self.now, &mut self.rng, self.sync);
        self.check_member(at)?;
        if stopped {
            self.end(at);
        }
        Ok(())
    }

    fn send(&mut self, packet: Packet) {
        let (Exchange { from, to, .. }, _) = packet.route();
        let outside = [from, to].into_iter().any(|i| self.outsiders.number(i).is_some());
        let rng = if outside { self.outsiders.rng() } else { &mut self.rng };
        self.network.send(self.now, rng, packet);
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
            Output::Reset { exchange } => self.network.reset(from, boot, exchange),
            Output::Redial { peer } => {
                if let Some(to) = self.machines.find(peer).or_else(|| self.outsiders.find(peer)) {
                    self.network.redial(from, to);
                }
            }
            _ => {}
        }
    }

    fn open(
        &mut self,
        from: usize,
        boot: u64,
        id: ExchangeId,
        peer: SocketAddr,
        envelope: Envelope<Request>,
    ) {
        if let Some(to) = self.outsiders.find(peer) {
            let to_boot = self.outsiders.number(to).map_or(0, |at| self.outsiders.starts(at));
            let connection = self.network.connection(from, to);
            let exchange = Exchange { from, boot, id, to, to_boot, connection };
            return self.open_to_outsider(exchange, envelope);
        }
        // A dial of an address that no machine has gets no answer.
        let Some(to) = self.machines.find(peer) else { return };
        let connection = self.network.connection(from, to);
        let to_boot = self.machines.all[to].host.boot;
        let exchange = Exchange { from, boot, id, to, to_boot, connection };
        if self.machines.runs(to) {
            self.network.open(exchange);
            self.send(Packet::Request(exchange, envelope));
        } else if !self.machines.all[to].silent {
            self.send(Packet::Closed(exchange, LinkFailure::NotSent));
        }
    }

    /// Returns the name of a member: its machine, and the number that its disk was created with.
    fn name_of(id: MemberId) -> String {
        format!("m{}.{}", id.0 % 1_000, id.0 / 1_000)
    }
}
