//! Runs the real entries and agents against simulated engines, callers and control.
//!
//! All of it happens in virtual time, counted in microseconds, from one queue of timed events.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;

use dotterelpin::agent::engine::{EngineEffect, EngineInput};
use dotterelpin::agent::{Agent, AgentSettings};
use dotterelpin::control::claims::ClaimReply;
use dotterelpin::control::config::{Config, Exception, Scope};
use dotterelpin::control::orders::OrderUpdate;
use dotterelpin::control::state::{Applied, Command};
use dotterelpin::entry::check::{RawCall, Tenants, credential_hash};
use dotterelpin::entry::{CallerEffect, CallerInput, Entry, EntrySettings, Terminal};
use dotterelpin::link::message::{
    Beat, ControlReply, ControlRequest, Endpoints, Envelope, Proof, Reply, Request, Seen, Update,
};
use dotterelpin::model::{
    Announcement, BootId, CallId, Capacity, Class, EndpointKind, EndpointState, ExchangeId, Fence,
    InboundId, Revision, Timestamp,
};
use dotterelpin::registry::FollowerSettings;
use dotterelpin::role::{Input, Output, Role};

use super::engine::{
    Emitted, Engine, Link, PIECE_TOKENS, PIECES, PrefillCounts, SLOTS, Tick, prompt, stall,
};
use super::load::{ARRIVAL_START, ARRIVAL_WINDOW, CallSpec, Draw, Offer, User, offers};

/// One-way latency in microseconds.
const LATENCY: u64 = 1_000;
/// How long control takes to commit a claim, in microseconds.
const COMMIT_TIME: u64 = 3_000;
/// Entries that place calls independently of each other.
const ENTRIES: usize = 2;
/// How long after the signal an entry or agent is killed.
const GRACE: std::time::Duration = std::time::Duration::from_secs(65);
/// Requests that a plain service runs at once.
const SERVICE_SLOTS: u32 = 50;
/// How long a crashed engine takes to restart, in microseconds.
const RESTART_DELAY: u64 = 3_000_000;
/// Maximum retries of a refused batch call by its caller.
const MAX_RETRIES: u32 = 20;
/// Latency target of a service call, in microseconds.
const SERVICE_TARGET: u64 = 100_000;

/// The fault that is injected during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Every five seconds, a random engine crashes and restarts.
    Kill,
    /// Every five seconds, the link of a random decode engine stalls for four seconds.
    Stall,
    /// Control receives the states of endpoints a second late.
    Lag,
    /// The first failure domain is lost for eight seconds.
    Domain,
}

impl Fault {
    pub const ALL: [Fault; 5] = [Fault::None, Fault::Kill, Fault::Stall, Fault::Lag, Fault::Domain];

    pub fn as_str(self) -> &'static str {
        match self {
            Fault::None => "none",
            Fault::Kill => "kill-5s",
            Fault::Stall => "stalled-link",
            Fault::Lag => "lag-1s",
            Fault::Domain => "domain-lost",
        }
    }
}

/// An event in the queue; the first `usize` is the index of a call, an entry or a node.
enum Event {
    Arrive(usize),
    Entry(usize, Input<CallerInput>),
    Agent(usize, u32, Input<EngineInput>),
    Tick(usize, u32, Tick),
    WakeEntry(usize),
    WakeAgent(usize, u32),
    Report(usize, Box<EndpointState>),
    Fault(u64),
    Retry(usize),
    Restart(usize),
    DomainRestored,
}

/// An event with its time; `serial` keeps events of the same time in the order of insertion.
struct Due {
    at: u64,
    serial: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.at, self.serial) == (other.at, other.serial)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.at, self.serial).cmp(&(other.at, other.serial))
    }
}

/// An agent with its engine.
struct Node {
    /// `None` while the VM is lost.
    agent: Option<Agent>,
    /// Number of starts and losses of the VM; events of an earlier generation are dropped.
    generation: u32,
    engine: Engine,
    /// Time of the earliest scheduled wake of the agent; `u64::MAX` if none.
    wake_at: u64,
    /// The last endpoint state that control has received, and when.
    reported: Option<(EndpointState, u64)>,
}

/// The course of one call; times are in microseconds.
#[derive(Debug, Clone)]
pub struct CallRecord {
    pub offer: Offer,
    entry: usize,
    arrival: u64,
    retries: u32,
    /// When the first and the last tokens were delivered.
    first: Option<u64>,
    last: u64,
    tokens: u32,
    /// When the call ended, and whether it was answered.
    pub outcome: Option<(u64, bool)>,
    /// Whether it was refused before the first token.
    refused: bool,
}

/// The figures of one run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Figures {
    /// Percent of model calls that were answered within their targets and deadline.
    pub goodput: f64,
    /// The same calls per second.
    pub rate: f64,
    /// Prefills in excess of answered calls, per 100 started.
    pub wasted: f64,
    /// Prefills whose export led to no token, per 100 started.
    pub unused: f64,
    /// Percent of model calls that were refused before the first token.
    pub refused: f64,
    /// 95th percentile of the time to the first token in milliseconds, over interactive calls; over
    /// all model calls of `tabulka`, which has only batch calls.
    pub ttft: f64,
    /// 95th percentile of the mean time between tokens in milliseconds, over the same calls.
    pub token: f64,
    /// Percent of service calls that were answered within their target.
    pub service: f64,
    /// Percent of prefills whose prefix was cached.
    pub cached: f64,
    /// Percent of model calls that delivered a token but failed or missed a target or deadline.
    pub late: f64,
}

/// The state of one run.
pub struct World {
    now: u64,
    /// Serial number of the last event that was queued.
    serial: u64,
    queue: BinaryHeap<Reverse<Due>>,
    user: User,
    fault: Fault,
    /// Each entry with the time of its earliest scheduled wake.
    entries: Vec<(Entry, u64)>,
    nodes: Vec<Node>,
    links: Vec<Link>,
    config: Config,
    calls: Vec<CallRecord>,
    /// Entry, exchange and node of each open exchange with an agent.
    inbounds: BTreeMap<InboundId, (usize, ExchangeId, usize)>,
    exchanges: BTreeMap<(usize, ExchangeId), InboundId>,
    last_inbound: u64,
    /// Calls that were refused under [`Fault::Domain`]; offered again when the domain is restored.
    deferred: Vec<usize>,
    draw: Draw,
}

fn micros(at: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000 + at)
}

fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port as u16))
}

fn config(user: &User) -> Config {
    let mut config = Config { revision: Revision(1), ..Config::default() };
    for (class, targets) in Class::ALL.into_iter().zip(user.targets) {
        for (name, value) in [("call.first_token_ms", targets.0), ("call.token_ms", targets.1)] {
            let exception = Exception {
                value: value.to_string().into(),
                author: "bench".into(),
                reason: "the mix's own target".into(),
            };
            config.exceptions.insert((Scope::Class(class), name.into()), exception);
        }
    }
    config
}

impl World {
    /// Creates a run; `make` creates an entry with the placement variant under test.
    pub fn new(
        user: User,
        load: f64,
        fault: Fault,
        seed: u64,
        make: &dyn Fn(EntrySettings, Tenants) -> Entry,
    ) -> World {
        let tenants: String = (0..user.tenants)
            .map(|t| format!("t{t} {}\n", credential_hash(&format!("c{t}"))))
            .collect();
        let tenants: Tenants = tenants.parse().expect("tenants");
        let entry = |i: usize| {
            let domain = user.domains[i % user.domains.len()];
            let follower = follower(&format!("entry-{i}"), "entry", domain, i as u64 + 1);
            (make(EntrySettings { follower, grace: GRACE }, tenants.clone()), u64::MAX)
        };
        let kinds = [
            (EndpointKind::Prefill, user.prefill),
            (EndpointKind::Decode, user.decode),
            (EndpointKind::Service, user.services),
        ];
        let kinds = kinds.into_iter().flat_map(|(k, n)| std::iter::repeat_n(k, n));
        let node = |(i, kind)| Node {
            agent: None,
            generation: 0,
            engine: Engine::new(i, kind),
            wake_at: u64::MAX,
            reported: None,
        };
        let nodes: Vec<Node> = kinds.enumerate().map(node).collect();
        let mut world = World {
            now: 0,
            serial: 0,
            queue: BinaryHeap::new(),
            user,
            fault,
            entries: (0..ENTRIES).map(entry).collect(),
            links: vec![Link::default(); nodes.len()],
            nodes,
            config: config(&user),
            calls: Vec::new(),
            inbounds: BTreeMap::new(),
            exchanges: BTreeMap::new(),
            last_inbound: 0,
            deferred: Vec::new(),
            draw: Draw::new(seed ^ 0x5eed),
        };
        for node in 0..world.nodes.len() {
            world.boot(node);
        }
        for entry in 0..ENTRIES {
            world.push(0, Event::WakeEntry(entry));
        }
        for (index, offer) in offers(&user, load, seed).into_iter().enumerate() {
            world.push(offer.at, Event::Arrive(index));
            world.offer(offer);
        }
        if fault != Fault::None && fault != Fault::Lag {
            world.push(ARRIVAL_START + 4_000_000, Event::Fault(0));
        }
        world
    }

    fn offer(&mut self, offer: Offer) {
        let entry = self.draw.below(ENTRIES);
        let arrival = offer.at;
        let empty = CallRecord {
            offer,
            entry,
            arrival,
            retries: 0,
            first: None,
            last: 0,
            tokens: 0,
            outcome: None,
            refused: false,
        };
        self.calls.push(empty);
    }

    fn push(&mut self, at: u64, event: Event) {
        self.serial += 1;
        let at = at.max(self.now);
        self.queue.push(Reverse(Due { at, serial: self.serial, event }));
    }

    fn domain(&self, node: usize) -> &'static str {
        self.user.domains[node % self.user.domains.len()]
    }

    fn boot(&mut self, node: usize) {
        let domain = self.domain(node);
        let n = &mut self.nodes[node];
        n.generation += 1;
        n.engine.alive = true;
        let boot = 1_000 + node as u64 * 1_000 + u64::from(n.generation);
        let follower = follower(&format!("agent-{node}"), "agent", domain, boot);
        n.agent = Some(Agent::new(AgentSettings {
            follower,
            address: address(1_000 + node),
            grace: GRACE,
        }));
        n.wake_at = u64::MAX;
        self.announce(node);
    }

    fn announce(&mut self, node: usize) {
        let n = &self.nodes[node];
        let (slots, pieces) = match n.engine.kind {
            EndpointKind::Service => (SERVICE_SLOTS, SERVICE_SLOTS),
            _ => (SLOTS, PIECES),
        };
        let pool = if n.engine.kind == EndpointKind::Service { "portal" } else { "model" };
        let announcement = Announcement {
            url: n.engine.url.clone(),
            kind: n.engine.kind,
            pool: pool.into(),
            capacity: Capacity { slots, pieces, piece_tokens: PIECE_TOKENS },
            fenced: true,
            artifact: None,
            boot: BootId(u64::from(n.engine.epoch)),
            software: "".into(),
        };
        self.step_agent(node, Input::Local(EngineInput::Announced(announcement)));
    }

    /// Runs until all calls have ended and returns the figures.
    pub fn run(mut self) -> Figures {
        while let Some(Reverse(due)) = self.queue.pop() {
            self.now = due.at;
            if self.now > ARRIVAL_START + ARRIVAL_WINDOW
                && self.calls.iter().all(|c| c.outcome.is_some())
            {
                break;
            }
            assert!(
                self.now < ARRIVAL_START + 10 * ARRIVAL_WINDOW,
                "expected all calls to end within 10 arrival windows, some are open at {} us",
                self.now
            );
            self.handle(due.event);
        }
        self.figures()
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(call) => self.arrive(call),
            Event::Entry(entry, input) => {
                if let Input::Reply { exchange, .. } | Input::Closed { exchange, .. } = &input
                    && !self.exchanges.contains_key(&(entry, *exchange))
                {
                    return;
                }
                self.step_entry(entry, input);
            }
            Event::Agent(node, generation, input) if self.nodes[node].generation == generation => {
                self.step_agent(node, input);
            }
            Event::Tick(node, epoch, tick) if self.nodes[node].engine.epoch == epoch => {
                let emitted = self.nodes[node].engine.tick(self.now, tick);
                self.schedule(node, emitted);
            }
            Event::WakeEntry(entry) if self.entries[entry].1 <= self.now || self.now == 0 => {
                self.entries[entry].1 = u64::MAX;
                self.step_entry(entry, Input::Wake);
            }
            Event::WakeAgent(node, generation)
                if self.nodes[node].generation == generation
                    && self.nodes[node].wake_at <= self.now =>
            {
                self.nodes[node].wake_at = u64::MAX;
                self.step_agent(node, Input::Wake);
            }
            Event::Report(node, mut state) => {
                // A new sequence number makes entries apply every report, even if only the load
                // has changed.
                state.sequence = self.serial;
                self.nodes[node].reported = Some((*state, self.now));
            }
            Event::Fault(round) => self.inject_fault(round),
            Event::Retry(call) => self.arrive(call),
            Event::Restart(node) => {
                self.nodes[node].engine.alive = true;
                if self.nodes[node].agent.is_some() {
                    self.announce(node);
                }
            }
            Event::DomainRestored => self.restore_domain(),
            _ => {}
        }
    }

    fn arrive(&mut self, call: usize) {
        let record = &mut self.calls[call];
        let offer = record.offer.clone();
        let mut raw = RawCall::default();
        let mut header = |name: &str, value: String| raw.headers.insert(name.into(), value.into());
        header("authorization", format!("Bearer c{}", offer.tenant));
        let remaining_ms = offer.deadline.saturating_sub(self.now) / 1_000;
        header("x-dotterelpin-deadline-ms", remaining_ms.max(1).to_string());
        match offer.spec {
            CallSpec::Model { kind, tokens, output, prefix } => {
                let kind = &self.user.kinds[kind];
                header("x-dotterelpin-class", kind.class.to_string());
                raw.method = "POST".into();
                raw.path = "/v1/completions".into();
                let text = prompt(prefix, kind.prefixes.1, output, tokens);
                let limit = (kind.output.1 * 1.25) as u32;
                raw.content = format!(
                    r#"{{"model":"model","prompt":"{text}","max_tokens":{limit},"stream":true}}"#
                )
                .into_bytes();
            }
            CallSpec::Service { repeatable } => {
                raw.method = if repeatable { "GET" } else { "POST" }.into();
                raw.path = "/services/portal/item".into();
                if !repeatable {
                    header("idempotency-key", format!("key-{call}"));
                }
            }
        }
        let id = CallId((call as u64) << 8 | u64::from(record.retries));
        let entry = record.entry;
        self.step_entry(entry, Input::Local(CallerInput::Arrived { call: id, raw }));
    }

    fn step_entry(&mut self, entry: usize, input: Input<CallerInput>) {
        let outputs = self.entries[entry].0.step(micros(self.now), input);
        for output in outputs {
            self.entry_output(entry, output);
        }
        let (role, wake_at) = &mut self.entries[entry];
        if let Some(at) = role.next_wake() {
            let at = at.as_micros().saturating_sub(1_000_000_000).max(self.now);
            if at < *wake_at {
                *wake_at = at;
                self.push(at, Event::WakeEntry(entry));
            }
        }
    }

    fn entry_output(&mut self, entry: usize, output: Output<CallerEffect>) {
        match output {
            Output::Open { exchange, peer, envelope } => match envelope.body {
                Request::Control(request) => {
                    let (reply, delay) = self.control(request, usize::MAX);
                    self.control_reply(self.now + 2 * LATENCY + delay, entry, exchange, reply);
                }
                Request::Agent(_) => {
                    let node = usize::from(peer.port()) - 1_000;
                    self.last_inbound += 1;
                    let inbound = InboundId(self.last_inbound);
                    self.inbounds.insert(inbound, (entry, exchange, node));
                    self.exchanges.insert((entry, exchange), inbound);
                    self.send(node, Input::Request { inbound, envelope });
                }
                Request::Replica(_) | Request::Notice(_) => {}
            },
            Output::Send { exchange, envelope } => {
                let Some(&inbound) = self.exchanges.get(&(entry, exchange)) else { return };
                let Some(&(_, _, node)) = self.inbounds.get(&inbound) else { return };
                self.send(node, Input::Request { inbound, envelope });
            }
            Output::Reset { exchange } => {
                let Some(inbound) = self.exchanges.remove(&(entry, exchange)) else { return };
                if let Some((_, _, node)) = self.inbounds.remove(&inbound) {
                    self.send(node, Input::Abandoned { inbound });
                }
            }
            Output::Effect(effect) => self.caller_effect(effect),
            Output::Reply { .. } | Output::Redial { .. } | Output::Observe(_) | Output::Stopped => {
            }
        }
    }

    fn send(&mut self, node: usize, input: Input<EngineInput>) {
        let generation = self.nodes[node].generation;
        self.push(self.now + LATENCY, Event::Agent(node, generation, input));
    }

    fn control_reply(&mut self, at: u64, entry: usize, exchange: ExchangeId, reply: ControlReply) {
        let revised = self.config.revised();
        let envelope = Envelope { revised, body: Reply::Control(reply) };
        // Replies are dropped unless their exchange is in the table; control has no inbound, so the
        // entry holds a placeholder.
        self.exchanges.insert((entry, exchange), InboundId(0));
        self.push(at, Event::Entry(entry, Input::Reply { exchange, envelope }));
        self.push(at, Event::Entry(entry, Input::Closed { exchange, failure: None }));
    }

    /// Returns the reply of a control member that is always available, and its extra delay in
    /// microseconds.
    fn control(&mut self, request: ControlRequest, node: usize) -> (ControlReply, u64) {
        match request {
            ControlRequest::Heartbeat(heartbeat) => {
                if let Some(state) = heartbeat.endpoint {
                    let lag = if self.fault == Fault::Lag { 1_000_000 } else { 0 };
                    self.push(self.now + lag, Event::Report(node, Box::new(state)));
                }
                let config = heartbeat.process.revised.revision < self.config.revision;
                let live = |n: &Node| {
                    let (state, at) = n.reported.as_ref()?;
                    (self.now - at < 3_000_000).then(|| state.clone())
                };
                let endpoints = heartbeat
                    .endpoints
                    .then(|| Endpoints::All(self.nodes.iter().filter_map(live).collect()));
                let beat = Beat {
                    member: "control".into(),
                    proof: Some(Proof {
                        member: address(1),
                        highest: self.config.revision,
                        document: 0,
                        epoch: 0,
                        voters: vec![address(1)],
                    }),
                    config: config.then(|| Update::Whole(self.config.clone())),
                    seen: Seen::default(),
                    endpoints,
                    orders: Some(OrderUpdate { mark: Fence(0), desired: None }),
                    quarantine: None,
                    routing: None,
                    reports: None,
                };
                (ControlReply::Beat(beat), 0)
            }
            ControlRequest::Propose(command) => {
                let applied = match command {
                    Command::Claim { .. } | Command::TakeOver { .. } => {
                        Applied::Claim(ClaimReply::Granted)
                    }
                    _ => Applied::Claim(ClaimReply::Closed),
                };
                (ControlReply::Applied(applied), COMMIT_TIME)
            }
            _ => unreachable!("expected a heartbeat or a proposal for control"),
        }
    }

    fn step_agent(&mut self, node: usize, input: Input<EngineInput>) {
        let Some(agent) = &mut self.nodes[node].agent else { return };
        let outputs = agent.step(micros(self.now), input);
        for output in outputs {
            self.agent_output(node, output);
        }
        let n = &mut self.nodes[node];
        if let Some(at) = n.agent.as_ref().and_then(Role::next_wake) {
            let at = at.as_micros().saturating_sub(1_000_000_000).max(self.now);
            if at < n.wake_at {
                n.wake_at = at;
                let generation = n.generation;
                self.push(at, Event::WakeAgent(node, generation));
            }
        }
    }

    fn agent_output(&mut self, node: usize, output: Output<EngineEffect>) {
        match output {
            Output::Open { exchange, envelope, .. } => {
                let Request::Control(request) = envelope.body else { return };
                let (reply, _) = self.control(request, node);
                let revised = self.config.revised();
                let envelope = Envelope { revised, body: Reply::Control(reply) };
                let generation = self.nodes[node].generation;
                let input = Input::Reply { exchange, envelope };
                self.push(self.now + 2 * LATENCY, Event::Agent(node, generation, input));
            }
            Output::Reply { inbound, envelope, last } => {
                let Some(&(entry, exchange, _)) = self.inbounds.get(&inbound) else { return };
                let at = self.now + LATENCY;
                self.push(at, Event::Entry(entry, Input::Reply { exchange, envelope }));
                if last {
                    self.inbounds.remove(&inbound);
                    let closed = Input::Closed { exchange, failure: None };
                    self.push(at, Event::Entry(entry, closed));
                }
            }
            Output::Effect(EngineEffect::Start { request, work }) => {
                let emitted =
                    self.nodes[node].engine.start(self.now, request, work, &mut self.links);
                self.schedule(node, emitted);
            }
            Output::Effect(EngineEffect::Cancel(request)) => {
                let emitted = self.nodes[node].engine.cancel(self.now, request);
                self.schedule(node, emitted);
            }
            _ => {}
        }
    }

    /// Queues the agent inputs and timer events of an engine.
    fn schedule(&mut self, node: usize, emitted: Emitted) {
        let (generation, epoch) = (self.nodes[node].generation, self.nodes[node].engine.epoch);
        for input in emitted.inputs {
            self.push(self.now + 100, Event::Agent(node, generation, Input::Local(input)));
        }
        for (at, tick) in emitted.ticks {
            self.push(at, Event::Tick(node, epoch, tick));
        }
    }

    fn caller_effect(&mut self, effect: CallerEffect) {
        let now = self.now;
        match effect {
            CallerEffect::Begin { .. } => {}
            CallerEffect::Tokens { call, tokens } => {
                let record = &mut self.calls[(call.0 >> 8) as usize];
                record.first.get_or_insert(now);
                record.last = now;
                record.tokens += tokens.len() as u32;
            }
            CallerEffect::Finish { call, outcome } => {
                let index = (call.0 >> 8) as usize;
                let Terminal::Refused(refusal) = outcome else {
                    self.calls[index].outcome = Some((now, true));
                    return;
                };
                self.handle_refusal(index, refusal.retry.as_micros() as u64);
            }
        }
    }

    /// Schedules the caller's retry of a refused batch call, or records the refusal as the outcome.
    fn handle_refusal(&mut self, index: usize, wait: u64) {
        let now = self.now;
        let record = &mut self.calls[index];
        let batch = matches!(record.offer.spec, CallSpec::Model { kind, .. }
            if self.user.kinds[kind].class == Class::Batch);
        let retry = batch
            && record.first.is_none()
            && record.retries < MAX_RETRIES
            && now + wait < record.offer.deadline;
        if retry {
            record.retries += 1;
            record.entry = self.draw.below(ENTRIES);
            self.push(now + wait.max(1_000), Event::Retry(index));
            return;
        }
        record.outcome = Some((now, false));
        record.refused = record.first.is_none();
        if self.fault == Fault::Domain {
            self.deferred.push(index);
        }
    }

    fn inject_fault(&mut self, round: u64) {
        if self.now > ARRIVAL_START + ARRIVAL_WINDOW {
            return;
        }
        let models = self.user.prefill + self.user.decode;
        match self.fault {
            Fault::Kill => {
                let node = self.draw.below(models);
                for input in self.nodes[node].engine.crash() {
                    self.step_agent(node, Input::Local(input));
                }
                self.push(self.now + RESTART_DELAY, Event::Restart(node));
                self.push(self.now + 5_000_000, Event::Fault(round + 1));
            }
            Fault::Stall => {
                let node = self.user.prefill + self.draw.below(self.user.decode);
                stall(&mut self.links[node], self.now + 4_000_000);
                self.push(self.now + 5_000_000, Event::Fault(round + 1));
            }
            Fault::Domain => {
                for node in (0..self.nodes.len()).filter(|n| n % self.user.domains.len() == 0) {
                    self.nodes[node].engine.crash();
                    self.nodes[node].agent = None;
                    self.nodes[node].generation += 1;
                }
                self.push(self.now + 8_000_000, Event::DomainRestored);
            }
            Fault::None | Fault::Lag => {}
        }
    }

    /// Restarts the VMs of the lost failure domain and offers the calls refused meanwhile again.
    fn restore_domain(&mut self) {
        for node in (0..self.nodes.len()).filter(|n| n % self.user.domains.len() == 0) {
            self.boot(node);
        }
        for index in std::mem::take(&mut self.deferred) {
            let mut offer = self.calls[index].offer.clone();
            offer.deadline = self.now + offer.deadline.saturating_sub(offer.at);
            offer.at = self.now;
            self.push(self.now, Event::Arrive(self.calls.len()));
            self.offer(offer);
        }
    }

    fn figures(&self) -> Figures {
        let mut figures = Figures::default();
        let (mut offered, mut good, mut refused, mut completed, mut late) = (0, 0, 0, 0u64, 0);
        let (mut services, mut served) = (0, 0);
        let (mut ttfts, mut tokens) = (Vec::new(), Vec::new());
        for call in &self.calls {
            let (end, answered) = call.outcome.unwrap_or((u64::MAX, false));
            let CallSpec::Model { kind, .. } = call.offer.spec else {
                services += 1;
                served += u64::from(answered && end - call.offer.at <= SERVICE_TARGET);
                continue;
            };
            let class = self.user.kinds[kind].class;
            let (first_target, token_target) = self.user.targets[class as usize];
            offered += 1;
            completed += u64::from(answered);
            refused += u64::from(call.refused);
            let Some(first) = call.first else { continue };
            let ttft = (first - call.arrival) as f64 / 1e3;
            let token = (call.last - first) as f64 / 1e3 / f64::from((call.tokens - 1).max(1));
            if class == Class::Interactive || self.user.name == "tabulka" {
                ttfts.push(ttft);
                tokens.push(token);
            }
            let in_time = end <= call.offer.deadline;
            let met = ttft <= first_target as f64 && token <= token_target as f64 && in_time;
            good += u64::from(answered && met);
            late += u64::from(!(answered && met));
        }
        let mut counts = PrefillCounts::default();
        for node in &self.nodes {
            counts.started += node.engine.counts.started;
            counts.cached += node.engine.counts.cached;
            counts.used += node.engine.counts.used;
        }
        let share = |a: u64, b: u64| 100.0 * a as f64 / (b as f64).max(1.0);
        figures.goodput = share(good, offered);
        figures.rate = good as f64 / (ARRIVAL_WINDOW as f64 / 1e6);
        figures.wasted = share(counts.started.saturating_sub(completed), counts.started);
        figures.unused = share(counts.started.saturating_sub(counts.used), counts.started);
        figures.refused = share(refused, offered);
        figures.late = share(late, offered);
        figures.cached = share(counts.cached, counts.started);
        figures.service = share(served, services);
        figures.ttft = percentile(&mut ttfts, 0.95);
        figures.token = percentile(&mut tokens, 0.95);
        figures
    }
}

fn follower(name: &str, role: &str, domain: &str, boot: u64) -> FollowerSettings {
    FollowerSettings {
        name: name.into(),
        role: role.into(),
        domain: domain.into(),
        boot: BootId(boot),
        address: None,
        members: vec![address(1)],
        routes: false,
        endpoints: role == "entry",
    }
}

/// Sorts the figures and returns the one at a share from 0 to 1; 0.0 if there are none.
pub fn percentile(figures: &mut [f64], share: f64) -> f64 {
    figures.sort_by(f64::total_cmp);
    let index = (figures.len() as f64 * share) as usize;
    figures.get(index.min(figures.len().saturating_sub(1))).copied().unwrap_or(0.0)
}
