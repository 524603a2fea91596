//! The real entries and agents over the fakes, driven by a queue of due events.

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

use super::engine::{Engine, Link, PIECE_TOKENS, PIECES, SLOTS, Said, Spent, Tick, prompt, stall};
use super::load::{Ask, BEGIN, Draw, Offer, SPAN, User, offers};

/// One-way latency in microseconds.
const LATENCY: u64 = 1_000;
/// The time of a claim's commit in microseconds.
const COMMIT: u64 = 3_000;
/// Entries that decide side by side.
const ENTRIES: usize = 2;
/// Requests that a plain service holds.
const SERVICE_SLOTS: u32 = 50;
/// When a crashed engine is back, in microseconds.
const RESTART: u64 = 3_000_000;
/// The most times that a refused batch call comes back.
const RETURNS: u32 = 20;
/// How long a plain service's answer may take, in microseconds.
const SERVICE_TARGET: u64 = 100_000;

/// What goes wrong during a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    Kill,
    Stall,
    Lag,
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

enum Event {
    Arrive(usize),
    Entry(usize, Input<CallerInput>),
    Agent(usize, u32, Input<EngineInput>),
    Tick(usize, u32, Tick),
    WakeEntry(usize),
    WakeAgent(usize, u32),
    Report(usize, Box<EndpointState>),
    Fault(u64),
    Return(usize),
    Restart(usize),
    DomainBack,
}

struct Due {
    at: u64,
    turn: u64,
    event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.at, self.turn) == (other.at, other.turn)
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
        (self.at, self.turn).cmp(&(other.at, other.turn))
    }
}

/// An agent with its engine; `None` while its VM is lost.
struct Node {
    agent: Option<Agent>,
    life: u32,
    engine: Engine,
    woken: u64,
    seen: Option<(EndpointState, u64)>,
}

/// What became of one call.
#[derive(Debug, Clone)]
pub struct Result {
    pub offer: Offer,
    entry: usize,
    asked: u64,
    returns: u32,
    first: Option<u64>,
    last: u64,
    tokens: u32,
    pub outcome: Option<(u64, bool)>,
    refused: bool,
}

/// The figures of one run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Figures {
    pub goodput: f64,
    pub rate: f64,
    pub wasted: f64,
    pub unused: f64,
    pub refused: f64,
    pub ttft: f64,
    pub token: f64,
    pub service: f64,
    pub cached: f64,
    pub late: f64,
}

/// One run.
pub struct World {
    now: u64,
    turn: u64,
    queue: BinaryHeap<Reverse<Due>>,
    user: User,
    fault: Fault,
    entries: Vec<(Entry, u64)>,
    nodes: Vec<Node>,
    links: Vec<Link>,
    config: Config,
    calls: Vec<Result>,
    inbounds: BTreeMap<InboundId, (usize, ExchangeId, usize)>,
    exchanges: BTreeMap<(usize, ExchangeId), InboundId>,
    last_inbound: u64,
    returning: Vec<usize>,
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
    /// Builds a run; `make` builds an entry with the variant under test.
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
            (make(EntrySettings { follower }, tenants.clone()), u64::MAX)
        };
        let kinds = [
            (EndpointKind::Prefill, user.prefill),
            (EndpointKind::Decode, user.decode),
            (EndpointKind::Service, user.services),
        ];
        let kinds = kinds.into_iter().flat_map(|(k, n)| std::iter::repeat_n(k, n));
        let node = |(i, kind)| Node {
            agent: None,
            life: 0,
            engine: Engine::new(i, kind),
            woken: u64::MAX,
            seen: None,
        };
        let nodes: Vec<Node> = kinds.enumerate().map(node).collect();
        let mut world = World {
            now: 0,
            turn: 0,
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
            returning: Vec::new(),
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
            world.push(BEGIN + 4_000_000, Event::Fault(0));
        }
        world
    }

    fn offer(&mut self, offer: Offer) {
        let entry = self.draw.below(ENTRIES);
        let asked = offer.at;
        let empty = Result {
            offer,
            entry,
            asked,
            returns: 0,
            first: None,
            last: 0,
            tokens: 0,
            outcome: None,
            refused: false,
        };
        self.calls.push(empty);
    }

    fn push(&mut self, at: u64, event: Event) {
        self.turn += 1;
        let at = at.max(self.now);
        self.queue.push(Reverse(Due { at, turn: self.turn, event }));
    }

    fn domain(&self, node: usize) -> &'static str {
        self.user.domains[node % self.user.domains.len()]
    }

    fn boot(&mut self, node: usize) {
        let domain = self.domain(node);
        let n = &mut self.nodes[node];
        n.life += 1;
        n.engine.alive = true;
        let boot = 1_000 + node as u64 * 1_000 + u64::from(n.life);
        let follower = follower(&format!("agent-{node}"), "agent", domain, boot);
        n.agent = Some(Agent::new(AgentSettings { follower, address: address(1_000 + node) }));
        n.woken = u64::MAX;
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
        };
        self.step_agent(node, Input::Local(EngineInput::Announced(announcement)));
    }

    /// Runs to the end of the last call and returns the figures.
    pub fn run(mut self) -> Figures {
        while let Some(Reverse(due)) = self.queue.pop() {
            self.now = due.at;
            if self.now > BEGIN + SPAN && self.calls.iter().all(|c| c.outcome.is_some()) {
                break;
            }
            assert!(self.now < BEGIN + 10 * SPAN, "a call never ends");
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
            Event::Agent(node, life, input) if self.nodes[node].life == life => {
                self.step_agent(node, input);
            }
            Event::Tick(node, epoch, tick) if self.nodes[node].engine.epoch == epoch => {
                let said = self.nodes[node].engine.tick(self.now, tick);
                self.said(node, said);
            }
            Event::WakeEntry(entry) if self.entries[entry].1 <= self.now || self.now == 0 => {
                self.entries[entry].1 = u64::MAX;
                self.step_entry(entry, Input::Wake);
            }
            Event::WakeAgent(node, life)
                if self.nodes[node].life == life && self.nodes[node].woken <= self.now =>
            {
                self.nodes[node].woken = u64::MAX;
                self.step_agent(node, Input::Wake);
            }
            Event::Report(node, mut state) => {
                // Every report reaches the entries here, also one that changes nothing but load.
                state.sequence = self.turn;
                self.nodes[node].seen = Some((*state, self.now));
            }
            Event::Fault(turn) => self.fault(turn),
            Event::Return(call) => self.arrive(call),
            Event::Restart(node) => {
                self.nodes[node].engine.alive = true;
                if self.nodes[node].agent.is_some() {
                    self.announce(node);
                }
            }
            Event::DomainBack => self.domain_back(),
            _ => {}
        }
    }

    fn arrive(&mut self, call: usize) {
        let result = &mut self.calls[call];
        let offer = result.offer.clone();
        let mut raw = RawCall::default();
        let mut header = |name: &str, value: String| raw.headers.insert(name.into(), value.into());
        header("authorization", format!("Bearer c{}", offer.tenant));
        let left = offer.deadline.saturating_sub(self.now) / 1_000;
        header("x-dotterelpin-deadline-ms", left.max(1).to_string());
        match offer.ask {
            Ask::Model { kind, tokens, output, prefix } => {
                let kind = &self.user.kinds[kind];
                header("x-dotterelpin-class", kind.class.to_string());
                raw.method = "POST".into();
                raw.path = "/v1/completions".into();
                let text = prompt(prefix, kind.prefixes.1, output, tokens);
                let most = (kind.output.1 * 1.25) as u32;
                raw.content = format!(
                    r#"{{"model":"model","prompt":"{text}","max_tokens":{most},"stream":true}}"#
                )
                .into_bytes();
            }
            Ask::Service { repeatable } => {
                raw.method = if repeatable { "GET" } else { "POST" }.into();
                raw.path = "/services/portal/item".into();
                if !repeatable {
                    header("idempotency-key", format!("key-{call}"));
                }
            }
        }
        let id = CallId((call as u64) << 8 | u64::from(result.returns));
        let entry = result.entry;
        self.step_entry(entry, Input::Local(CallerInput::Arrived { call: id, raw }));
    }

    fn step_entry(&mut self, entry: usize, input: Input<CallerInput>) {
        let outputs = self.entries[entry].0.step(micros(self.now), input);
        for output in outputs {
            self.entry_output(entry, output);
        }
        let (role, woken) = &mut self.entries[entry];
        if let Some(at) = role.next_wake() {
            let at = at.as_micros().saturating_sub(1_000_000_000).max(self.now);
            if at < *woken {
                *woken = at;
                self.push(at, Event::WakeEntry(entry));
            }
        }
    }

    fn entry_output(&mut self, entry: usize, output: Output<CallerEffect>) {
        match output {
            Output::Open { exchange, peer, envelope } => match envelope.body {
                Request::Control(request) => {
                    let (reply, span) = self.control(request, usize::MAX);
                    self.control_reply(self.now + 2 * LATENCY + span, entry, exchange, reply);
                }
                Request::Agent(_) => {
                    let node = usize::from(peer.port()) - 1_000;
                    self.last_inbound += 1;
                    let inbound = InboundId(self.last_inbound);
                    self.inbounds.insert(inbound, (entry, exchange, node));
                    self.exchanges.insert((entry, exchange), inbound);
                    self.send(node, Input::Request { inbound, envelope });
                }
                Request::Replica(_) => {}
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
            Output::Effect(effect) => self.caller(effect),
            Output::Reply { .. } | Output::Redial { .. } | Output::Observe(_) | Output::Stopped => {
            }
        }
    }

    fn send(&mut self, node: usize, input: Input<EngineInput>) {
        let life = self.nodes[node].life;
        self.push(self.now + LATENCY, Event::Agent(node, life, input));
    }

    fn control_reply(&mut self, at: u64, entry: usize, exchange: ExchangeId, reply: ControlReply) {
        let revised = self.config.revised();
        let envelope = Envelope { revised, body: Reply::Control(reply) };
        // Control's replies pass by the table of exchanges with agents.
        self.exchanges.insert((entry, exchange), InboundId(0));
        self.push(at, Event::Entry(entry, Input::Reply { exchange, envelope }));
        self.push(at, Event::Entry(entry, Input::Closed { exchange, failure: None }));
    }

    /// Answers as a control member that is never lost.
    fn control(&mut self, request: ControlRequest, node: usize) -> (ControlReply, u64) {
        match request {
            ControlRequest::Heartbeat(heartbeat) => {
                if let Some(state) = heartbeat.endpoint {
                    let lag = if self.fault == Fault::Lag { 1_000_000 } else { 0 };
                    self.push(self.now + lag, Event::Report(node, Box::new(state)));
                }
                let config = heartbeat.process.revised.revision < self.config.revision;
                let live = |n: &Node| {
                    let (state, at) = n.seen.as_ref()?;
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
                    suspects: None,
                    routing: None,
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
                (ControlReply::Applied(applied), COMMIT)
            }
            _ => unreachable!("nobody asks"),
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
            if at < n.woken {
                n.woken = at;
                let life = n.life;
                self.push(at, Event::WakeAgent(node, life));
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
                let life = self.nodes[node].life;
                let input = Input::Reply { exchange, envelope };
                self.push(self.now + 2 * LATENCY, Event::Agent(node, life, input));
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
                let said = self.nodes[node].engine.start(self.now, request, work, &mut self.links);
                self.said(node, said);
            }
            Output::Effect(EngineEffect::Cancel(request)) => {
                let said = self.nodes[node].engine.cancel(self.now, request);
                self.said(node, said);
            }
            _ => {}
        }
    }

    fn said(&mut self, node: usize, said: Said) {
        let (life, epoch) = (self.nodes[node].life, self.nodes[node].engine.epoch);
        for input in said.inputs {
            self.push(self.now + 100, Event::Agent(node, life, Input::Local(input)));
        }
        for (at, tick) in said.ticks {
            self.push(at, Event::Tick(node, epoch, tick));
        }
    }

    fn caller(&mut self, effect: CallerEffect) {
        let now = self.now;
        match effect {
            CallerEffect::Begin { .. } => {}
            CallerEffect::Tokens { call, tokens } => {
                let result = &mut self.calls[(call.0 >> 8) as usize];
                result.first.get_or_insert(now);
                result.last = now;
                result.tokens += tokens.len() as u32;
            }
            CallerEffect::Finish { call, outcome } => {
                let index = (call.0 >> 8) as usize;
                let Terminal::Refused(refusal) = outcome else {
                    self.calls[index].outcome = Some((now, true));
                    return;
                };
                self.refused(index, refusal.retry.as_micros() as u64);
            }
        }
    }

    fn refused(&mut self, index: usize, wait: u64) {
        let now = self.now;
        let result = &mut self.calls[index];
        let batch = matches!(result.offer.ask, Ask::Model { kind, .. }
            if self.user.kinds[kind].class == Class::Batch);
        let comes_back = batch
            && result.first.is_none()
            && result.returns < RETURNS
            && now + wait < result.offer.deadline;
        if comes_back {
            result.returns += 1;
            result.entry = self.draw.below(ENTRIES);
            self.push(now + wait.max(1_000), Event::Return(index));
            return;
        }
        result.outcome = Some((now, false));
        result.refused = result.first.is_none();
        if self.fault == Fault::Domain {
            self.returning.push(index);
        }
    }

    fn fault(&mut self, turn: u64) {
        if self.now > BEGIN + SPAN {
            return;
        }
        let models = self.user.prefill + self.user.decode;
        match self.fault {
            Fault::Kill => {
                let node = self.draw.below(models);
                for input in self.nodes[node].engine.crash() {
                    self.step_agent(node, Input::Local(input));
                }
                self.push(self.now + RESTART, Event::Restart(node));
                self.push(self.now + 5_000_000, Event::Fault(turn + 1));
            }
            Fault::Stall => {
                let node = self.user.prefill + self.draw.below(self.user.decode);
                stall(&mut self.links[node], self.now + 4_000_000);
                self.push(self.now + 5_000_000, Event::Fault(turn + 1));
            }
            Fault::Domain => {
                for node in (0..self.nodes.len()).filter(|n| n % self.user.domains.len() == 0) {
                    self.nodes[node].engine.crash();
                    self.nodes[node].agent = None;
                    self.nodes[node].life += 1;
                }
                self.push(self.now + 8_000_000, Event::DomainBack);
            }
            Fault::None | Fault::Lag => {}
        }
    }

    /// Brings a lost domain back, and with it all callers that it turned away.
    fn domain_back(&mut self) {
        for node in (0..self.nodes.len()).filter(|n| n % self.user.domains.len() == 0) {
            self.boot(node);
        }
        for index in std::mem::take(&mut self.returning) {
            let mut offer = self.calls[index].offer.clone();
            offer.deadline = self.now + offer.deadline.saturating_sub(offer.at);
            offer.at = self.now;
            self.push(self.now, Event::Arrive(self.calls.len()));
            self.offer(offer);
        }
    }

    fn figures(&self) -> Figures {
        let mut figures = Figures::default();
        let (mut offered, mut good, mut refused, mut done, mut late) = (0, 0, 0, 0u64, 0);
        let (mut services, mut served) = (0, 0);
        let (mut ttfts, mut tokens) = (Vec::new(), Vec::new());
        for call in &self.calls {
            let (end, answered) = call.outcome.unwrap_or((u64::MAX, false));
            let Ask::Model { kind, .. } = call.offer.ask else {
                services += 1;
                served += u64::from(answered && end - call.offer.at <= SERVICE_TARGET);
                continue;
            };
            let class = self.user.kinds[kind].class;
            let (first_target, token_target) = self.user.targets[class as usize];
            offered += 1;
            done += u64::from(answered);
            refused += u64::from(call.refused);
            let Some(first) = call.first else { continue };
            let ttft = (first - call.asked) as f64 / 1e3;
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
        let mut spent = Spent::default();
        for node in &self.nodes {
            spent.started += node.engine.spent.started;
            spent.cached += node.engine.spent.cached;
            spent.used += node.engine.spent.used;
        }
        let share = |a: u64, b: u64| 100.0 * a as f64 / (b as f64).max(1.0);
        figures.goodput = share(good, offered);
        figures.rate = good as f64 / (SPAN as f64 / 1e6);
        figures.wasted = share(spent.started.saturating_sub(done), spent.started);
        figures.unused = share(spent.started.saturating_sub(spent.used), spent.started);
        figures.refused = share(refused, offered);
        figures.late = share(late, offered);
        figures.cached = share(spent.cached, spent.started);
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
        members: vec![address(1)],
        routes: false,
        endpoints: role == "entry",
    }
}

/// Returns a percentile of figures.
pub fn percentile(figures: &mut [f64], share: f64) -> f64 {
    figures.sort_by(f64::total_cmp);
    let index = (figures.len() as f64 * share) as usize;
    figures.get(index.min(figures.len().saturating_sub(1))).copied().unwrap_or(0.0)
}
