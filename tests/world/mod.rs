//! A simulation of a fleet for fuzz tests: real entries and agents in one thread, a fake control
//! member, and queues of messages whose delivery the test controls.

#![allow(dead_code, missing_docs)]

pub mod engine;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::agent::engine::{EngineEffect, EngineInput};
use dotterelpin::agent::{Agent, AgentSettings};
use dotterelpin::control::config::{Change, Edit};
use dotterelpin::control::orders::OrderUpdate;
use dotterelpin::control::replica::LogIndex;
use dotterelpin::control::state::{Command, State};
use dotterelpin::entry::check::{RawCall, Tenants, credential_hash};
use dotterelpin::entry::place::Variant;
use dotterelpin::entry::{CallerEffect, CallerInput, Entry, EntrySettings};
use dotterelpin::link::message::{
    Beat, ControlReply, ControlRequest, Endpoints, Envelope, Heartbeat, Proof, Reply, Request,
    Seen, Update,
};
use dotterelpin::model::{
    Announcement, BootId, CallId, EndpointKind, EndpointState, ExchangeId, Fence, InboundId,
    Timestamp,
};
use dotterelpin::registry::{FollowerSettings, HEARTBEAT_LEASE};
use dotterelpin::role::{Input, LinkFailure, Output, Role};
use proptest::prelude::{Just, Strategy, prop_oneof};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CONTROL_PORT: u16 = 1;
const AGENT_PORT: u16 = 1_000;
/// How long after the signal a role that stops is killed.
pub const GRACE: Duration = Duration::from_secs(8);
/// The maximum number of timer wakes at one point in time; a role that needs more is in a loop.
const MAX_WAKES: usize = 1_000;

/// Creates a runner with a fixed seed; `DOTTERELPIN_FUZZ_CASES` overrides the number of cases.
pub fn runner(seed: u8, cases: u32) -> TestRunner {
    let requested = std::env::var("DOTTERELPIN_FUZZ_CASES").ok().and_then(|c| c.parse().ok());
    let config = Config {
        cases: requested.unwrap_or(cases),
        failure_persistence: None,
        max_shrink_iters: 20_000,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]))
}

/// Returns a strategy for placement variants: the simplest one and the two with the most rules.
pub fn variant() -> impl Strategy<Value = Variant> {
    prop_oneof![Just(Variant::RoundRobin), Just(Variant::PrefillFirst), Just(Variant::Prefix)]
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Node {
    Entry(usize),
    Agent(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Target {
    Control,
    Agent(usize),
}

/// The stream of one exchange; as with QUIC, each direction delivers in order and without
/// duplicates.
#[derive(Debug)]
pub struct Stream {
    opener: (Node, BootId),
    exchange: ExchangeId,
    target: Target,
    inbound: InboundId,
    /// The boot of the peer process that received the first request.
    accepted: Option<BootId>,
    requests: VecDeque<Envelope<Request>>,
    reset: bool,
    replies: VecDeque<(Envelope<Reply>, bool)>,
    /// The end of the stream, with the failure if it broke; set before the opener receives it.
    closed: Option<Option<LinkFailure>>,
    /// Whether the opener has cancelled it; replies sent before may still be delivered.
    cancelled: bool,
    opener_done: bool,
    peer_done: bool,
    /// Whether nothing more is delivered on it, though neither side sees it end.
    silent: bool,
}

impl Stream {
    /// Ends the stream with a failure, unless the opener has cancelled it.
    fn fail(&mut self, failure: LinkFailure) {
        if !self.cancelled {
            self.closed.get_or_insert(Some(failure));
        }
    }
}

/// A pending step that [`World::deliver`] can perform.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// Delivers the next request of a stream, or its reset, to the peer.
    ToPeer(usize),
    /// Delivers the next reply of a stream, or its end, to the opener.
    ToOpener(usize),
    /// Commits and applies a proposal.
    Commit(usize),
}

pub struct World {
    variant: Variant,
    pub now: Timestamp,
    pub state: State,
    pub quorum: bool,
    /// Roles whose heartbeats do not reach control.
    pub isolated: BTreeSet<Node>,
    entries: Vec<(BootId, Option<Entry>)>,
    agents: Vec<(BootId, Option<Agent>)>,
    announcements: Vec<Announcement>,
    endpoints: BTreeMap<Box<str>, (EndpointState, Timestamp)>,
    last_heartbeats: BTreeMap<BootId, Timestamp>,
    streams: Vec<Stream>,
    proposals: Vec<(InboundId, Command)>,
    heartbeats: VecDeque<(Node, ExchangeId, Heartbeat)>,
    last_id: u64,
    log_index: u64,
    /// The effects that agents request of their engines, for the test to carry out.
    pub engine_effects: VecDeque<(usize, BootId, EngineEffect)>,
    /// The effects that entries send to callers, for the test to check.
    pub caller_effects: Vec<(BootId, CallerEffect)>,
    /// The first request that an agent received on each exchange, with the agent's index.
    pub first_requests: Vec<(usize, Envelope<Request>)>,
    /// When each role was first signalled to shut down.
    pub signalled: BTreeMap<BootId, Timestamp>,
    /// When each role that was told to shut down stopped by itself.
    pub stopped: BTreeMap<BootId, Timestamp>,
}

impl World {
    pub fn new(variant: Variant, entries: usize, announcements: Vec<Announcement>) -> World {
        let mut world = World {
            variant,
            now: Timestamp::from_micros(1_000_000_000),
            state: State::default(),
            quorum: true,
            isolated: BTreeSet::new(),
            entries: (0..entries).map(|_| (BootId(0), None)).collect(),
            agents: announcements.iter().map(|_| (BootId(0), None)).collect(),
            announcements,
            endpoints: BTreeMap::new(),
            last_heartbeats: BTreeMap::new(),
            streams: Vec::new(),
            proposals: Vec::new(),
            heartbeats: VecDeque::new(),
            last_id: 0,
            log_index: 0,
            engine_effects: VecDeque::new(),
            caller_effects: Vec::new(),
            first_requests: Vec::new(),
            signalled: BTreeMap::new(),
            stopped: BTreeMap::new(),
        };
        world.restart_all();
        world.advance(Duration::from_millis(1_200));
        world
    }

    pub fn restart_all(&mut self) {
        for agent in 0..self.agents.len() {
            self.restart(Node::Agent(agent));
        }
        for entry in 0..self.entries.len() {
            self.restart(Node::Entry(entry));
        }
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn boot(&self, node: Node) -> BootId {
        match node {
            Node::Entry(i) => self.entries[i].0,
            Node::Agent(i) => self.agents[i].0,
        }
    }

    pub fn is_alive(&self, node: Node) -> bool {
        match node {
            Node::Entry(i) => self.entries[i].1.is_some(),
            Node::Agent(i) => self.agents[i].1.is_some(),
        }
    }

    pub fn agent(&self, agent: usize) -> Option<&Agent> {
        self.agents[agent].1.as_ref()
    }

    pub fn agent_boot(&self, agent: usize) -> BootId {
        self.agents[agent].0
    }

    pub fn kind(&self, agent: usize) -> EndpointKind {
        self.announcements[agent].kind
    }

    /// Returns the software version of an agent's endpoint.
    pub fn software(&self, agent: usize) -> &str {
        &self.announcements[agent].software
    }

    pub fn kill(&mut self, node: Node) {
        if !self.is_alive(node) {
            return;
        }
        let boot = self.boot(node);
        match node {
            Node::Entry(i) => self.entries[i].1 = None,
            Node::Agent(i) => self.agents[i].1 = None,
        }
        for stream in &mut self.streams {
            if stream.opener == (node, boot) {
                stream.opener_done = true;
                stream.reset = true;
            }
            if node == Node::Agent(agent_of(stream.target)) && stream.accepted == Some(boot) {
                stream.peer_done = true;
                stream.fail(LinkFailure::Broken);
            }
        }
    }

    /// Signals a role to shut down, as if the signal had come at a time.
    pub fn shut_down(&mut self, node: Node, since: Timestamp) {
        if self.is_alive(node) {
            self.signalled.entry(self.boot(node)).or_insert(since);
        }
        match node {
            Node::Entry(i) => self.step_entry(i, Input::Shutdown { since }),
            Node::Agent(i) => self.step_agent(i, Input::Shutdown { since }),
        }
    }

    /// Checks that each role that was signalled has ended by itself before it is killed.
    pub fn check_stops(&self) {
        for (boot, since) in &self.signalled {
            let killed = *since + GRACE;
            let end = self.stopped.get(boot).copied();
            let ran = self.entries.iter().any(|(b, e)| b == boot && e.is_some())
                || self.agents.iter().any(|(b, a)| b == boot && a.is_some());
            assert!(!ran || self.now < killed, "{boot} still runs {:?}", self.now - *since);
            assert!(end.is_none_or(|at| at < killed), "{boot} ended after it was killed");
        }
    }

    /// Sets a default of the configuration, which processes receive with their next heartbeats.
    pub fn configure(&mut self, setting: &str, value: &str) {
        let edit = Edit::Set { name: setting.into(), value: value.into() };
        let base = self.state.config.revision;
        let change = Change { id: setting.into(), base, author: "test".into(), edit };
        self.log_index += 1;
        self.state.apply(LogIndex(self.log_index), &Command::Change(change));
    }

    /// Starts a role with a new boot, unless it is alive.
    pub fn restart(&mut self, node: Node) {
        if self.is_alive(node) {
            return;
        }
        let boot = BootId(self.next_id());
        let (name, role) = match node {
            Node::Entry(i) => (format!("entry-{i}"), "entry"),
            Node::Agent(i) => (format!("agent-{i}"), "agent"),
        };
        let follower = FollowerSettings {
            name: name.into(),
            role: role.into(),
            domain: "brno-a".into(),
            boot,
            address: None,
            members: vec![address(CONTROL_PORT)],
            routes: false,
            endpoints: role == "entry",
        };
        match node {
            Node::Entry(i) => {
                let tenants: Tenants =
                    format!("tabulka {}", credential_hash("secret")).parse().unwrap();
                let entry = Entry::new(
                    EntrySettings { follower, grace: GRACE },
                    tenants,
                    self.variant.placement(boot.0),
                );
                self.entries[i] = (boot, Some(entry));
            }
            Node::Agent(i) => {
                let address = address(AGENT_PORT + i as u16);
                self.agents[i] =
                    (boot, Some(Agent::new(AgentSettings { follower, address, grace: GRACE })));
                let announcement = self.announcements[i].clone();
                self.engine_input(i, boot, EngineInput::Announced(announcement));
            }
        }
        self.wake_due();
    }

    /// Announces a restart of an endpoint to its agent.
    pub fn announce_restart(&mut self, agent: usize) {
        self.announcements[agent].boot = BootId(self.next_id());
        let announcement = self.announcements[agent].clone();
        self.engine_input(agent, self.agents[agent].0, EngineInput::Announced(announcement));
    }

    /// Announces a restart of an endpoint at another software version to its agent.
    pub fn upgrade(&mut self, agent: usize, software: &str) {
        self.announcements[agent].software = software.into();
        self.announce_restart(agent);
    }

    /// Delivers a caller's request to an entry; returns `None` if the entry is not alive.
    pub fn call(&mut self, entry: usize, raw: RawCall) -> Option<(BootId, CallId)> {
        if !self.is_alive(Node::Entry(entry)) {
            return None;
        }
        let call = CallId(self.next_id());
        let boot = self.entries[entry].0;
        self.step_entry(entry, Input::Local(CallerInput::Arrived { call, raw }));
        Some((boot, call))
    }

    /// Disconnects a caller, if the entry that owns its call is alive.
    pub fn disconnect_caller(&mut self, owner: BootId, call: CallId) {
        if let Some(entry) = self.entries.iter().position(|(b, e)| *b == owner && e.is_some()) {
            self.step_entry(entry, Input::Local(CallerInput::Disconnected { call }));
        }
    }

    /// Delivers an input of the engine to an agent, if the agent with this boot is alive.
    pub fn engine_input(&mut self, agent: usize, boot: BootId, input: EngineInput) {
        if self.agents[agent].0 == boot {
            self.step_agent(agent, Input::Local(input));
        }
    }

    pub fn is_owner_alive(&self, owner: BootId) -> bool {
        self.entries.iter().any(|(b, e)| *b == owner && e.is_some())
    }

    /// Delivers a request to an agent on a new exchange that has no opener.
    pub fn inject_request(&mut self, agent: usize, envelope: Envelope<Request>) {
        let inbound = InboundId(self.next_id());
        self.step_agent(agent, Input::Request { inbound, envelope });
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        for (index, stream) in self.streams.iter().enumerate().filter(|(_, s)| !s.silent) {
            let abandon_pending = stream.reset && stream.accepted.is_some() && !stream.peer_done;
            if !stream.requests.is_empty() || abandon_pending {
                steps.push(Step::ToPeer(index));
            }
            let reply_pending = !stream.replies.is_empty() || stream.closed.is_some();
            if reply_pending && !stream.opener_done {
                steps.push(Step::ToOpener(index));
            }
        }
        if self.quorum {
            steps.extend((0..self.proposals.len()).map(Step::Commit));
        }
        steps
    }

    /// Performs the pending step selected by `pick`; returns false if nothing is pending.
    pub fn deliver(&mut self, pick: usize) -> bool {
        let steps = self.steps();
        let Some(step) = steps.get(pick % steps.len().max(1)).copied() else { return false };
        match step {
            Step::ToPeer(index) => self.deliver_request(index),
            Step::ToOpener(index) => self.deliver_reply(index),
            Step::Commit(index) => self.commit(index),
        }
        let done = |s: &Stream| {
            let requests_done = s.requests.is_empty() || s.closed.is_some();
            s.opener_done && (s.peer_done || (s.accepted.is_none() && requests_done))
        };
        self.streams.retain(|s| !done(s));
        true
    }

    /// Breaks a stream; messages that have not been delivered yet are lost.
    pub fn break_stream(&mut self, pick: usize) {
        let count = self.streams.len().max(1);
        let Some(stream) = self.streams.get_mut(pick % count) else { return };
        let undelivered = stream.accepted.is_none() && stream.target != Target::Control;
        stream.requests.clear();
        stream.reset = true;
        stream.replies.clear();
        let failure = if undelivered { LinkFailure::NotSent } else { LinkFailure::Broken };
        stream.fail(failure);
    }

    /// Stops delivery on a stream without ending it, as when its connection's state is lost on the
    /// way; it stays silent until [`World::heal`].
    pub fn silence(&mut self, pick: usize) {
        let count = self.streams.len().max(1);
        if let Some(stream) = self.streams.get_mut(pick % count) {
            stream.silent = true;
        }
    }

    /// Drops a proposal that has not been committed, and breaks its exchange.
    pub fn drop_proposal(&mut self, pick: usize) {
        if !self.proposals.is_empty() {
            let (inbound, _) = self.proposals.remove(pick % self.proposals.len());
            self.end_control(inbound, None);
        }
    }

    /// Ends the faults: restores the quorum, breaks silent streams and starts all roles that are
    /// not alive.
    pub fn heal(&mut self) {
        self.quorum = true;
        for index in 0..self.streams.len() {
            if self.streams[index].silent {
                self.break_stream(index);
                self.streams[index].silent = false;
            }
        }
        self.restart_all();
    }

    fn deliver_request(&mut self, index: usize) {
        let stream = &mut self.streams[index];
        let Some(envelope) = stream.requests.pop_front() else {
            stream.peer_done = true;
            let (inbound, accepted) = (stream.inbound, stream.accepted);
            if let Target::Agent(agent) = stream.target
                && accepted == Some(self.agents[agent].0)
            {
                self.step_agent(agent, Input::Abandoned { inbound });
            }
            return;
        };
        match stream.target {
            Target::Control => {
                stream.accepted = Some(BootId(0));
                let inbound = stream.inbound;
                self.handle_control(inbound, envelope);
            }
            Target::Agent(agent) => {
                let boot = self.agents[agent].0;
                let inbound = stream.inbound;
                if self.agents[agent].1.is_none() || stream.accepted.is_some_and(|b| b != boot) {
                    let sent = stream.accepted.is_some();
                    let failure = if sent { LinkFailure::Broken } else { LinkFailure::NotSent };
                    stream.requests.clear();
                    stream.peer_done = true;
                    stream.fail(failure);
                    return;
                }
                if stream.accepted.is_none() {
                    self.first_requests.push((agent, envelope.clone()));
                }
                stream.accepted = Some(boot);
                self.step_agent(agent, Input::Request { inbound, envelope });
            }
        }
    }

    fn deliver_reply(&mut self, index: usize) {
        let stream = &mut self.streams[index];
        let exchange = stream.exchange;
        let (node, boot) = stream.opener;
        let input = match stream.replies.pop_front() {
            Some((envelope, last)) => {
                if last {
                    stream.closed = Some(None);
                }
                stream.opener_done = stream.cancelled && stream.replies.is_empty() && !last;
                Input::Reply { exchange, envelope }
            }
            None => {
                stream.opener_done = true;
                stream.reset = true;
                let failure = stream.closed.take().flatten();
                stream.closed = Some(None);
                Input::Closed { exchange, failure }
            }
        };
        if let Node::Entry(entry) = node
            && self.entries[entry].0 == boot
        {
            self.step_entry(entry, input);
        }
    }

    fn handle_control(&mut self, inbound: InboundId, envelope: Envelope<Request>) {
        match envelope.body {
            Request::Control(ControlRequest::Propose(command)) => {
                self.proposals.push((inbound, command.stamped(self.now)));
            }
            Request::Control(ControlRequest::Owner(boot)) => {
                let last = self.last_heartbeats.get(&boot);
                let alive = last.is_some_and(|at| self.now - *at < HEARTBEAT_LEASE);
                self.end_control(inbound, Some(ControlReply::Owner { alive }));
            }
            _ => {}
        }
    }

    fn commit(&mut self, index: usize) {
        let (inbound, command) = self.proposals.remove(index);
        self.log_index += 1;
        let applied = self.state.apply(LogIndex(self.log_index), &command);
        self.end_control(inbound, Some(ControlReply::Applied(applied)));
    }

    /// Ends an exchange with control by a reply, or breaks it if there is none.
    fn end_control(&mut self, inbound: InboundId, reply: Option<ControlReply>) {
        let revised = self.state.config.revised();
        let Some(stream) = self.streams.iter_mut().find(|s| s.inbound == inbound) else { return };
        stream.peer_done = true;
        match reply {
            Some(reply) => {
                let envelope = Envelope { revised, body: Reply::Control(reply) };
                stream.replies.push_back((envelope, true));
            }
            None => stream.fail(LinkFailure::Broken),
        }
    }

    fn step_entry(&mut self, entry: usize, input: Input<CallerInput>) {
        let (boot, role) = &mut self.entries[entry];
        let Some(role) = role else { return };
        let boot = *boot;
        for output in role.step(self.now, input) {
            if let Some(effect) = self.handle_output((Node::Entry(entry), boot), output) {
                self.caller_effects.push((boot, effect));
            }
        }
        self.end_stopped(Node::Entry(entry));
        self.answer_heartbeats();
    }

    fn step_agent(&mut self, agent: usize, input: Input<EngineInput>) {
        let (boot, role) = &mut self.agents[agent];
        let Some(role) = role else { return };
        let boot = *boot;
        for output in role.step(self.now, input) {
            if let Some(effect) = self.handle_output((Node::Agent(agent), boot), output) {
                self.engine_effects.push_back((agent, boot, effect));
            }
        }
        self.end_stopped(Node::Agent(agent));
        self.answer_heartbeats();
    }

    /// Ends the process of a role that has stopped; what it has sent is still delivered.
    fn end_stopped(&mut self, node: Node) {
        if self.stopped.contains_key(&self.boot(node)) {
            self.kill(node);
        }
    }

    fn handle_output<E>(&mut self, from: (Node, BootId), output: Output<E>) -> Option<E> {
        match output {
            Output::Effect(effect) => return Some(effect),
            Output::Open { exchange, peer, envelope } => self.open(from, exchange, peer, envelope),
            Output::Send { exchange, envelope } => {
                if let Some(stream) = self.find_stream(from, exchange).filter(|s| !s.reset) {
                    stream.requests.push_back(envelope);
                }
            }
            Output::Reset { exchange } => {
                if let Some(stream) = self.find_stream(from, exchange) {
                    stream.reset = true;
                    stream.cancelled = true;
                    stream.opener_done |= stream.replies.is_empty() && stream.closed.is_none();
                }
            }
            Output::Reply { inbound, envelope, last } => {
                let stream = self.streams.iter_mut().find(|s| s.inbound == inbound);
                if let Some(stream) = stream.filter(|s| !s.peer_done) {
                    stream.peer_done |= last;
                    if stream.closed.is_none() && !stream.cancelled {
                        stream.replies.push_back((envelope, last));
                    }
                }
            }
            Output::Stopped => {
                self.stopped.insert(from.1, self.now);
            }
            Output::Redial { .. } | Output::Observe(_) => {}
        }
        None
    }

    fn find_stream(&mut self, from: (Node, BootId), exchange: ExchangeId) -> Option<&mut Stream> {
        self.streams.iter_mut().find(|s| s.opener == from && s.exchange == exchange)
    }

    fn open(
        &mut self,
        opener: (Node, BootId),
        exchange: ExchangeId,
        peer: SocketAddr,
        envelope: Envelope<Request>,
    ) {
        if let Request::Control(ControlRequest::Heartbeat(heartbeat)) = envelope.body {
            self.heartbeats.push_back((opener.0, exchange, *heartbeat));
            return;
        }
        let target = match peer.port() {
            CONTROL_PORT => Target::Control,
            port => Target::Agent(usize::from(port - AGENT_PORT)),
        };
        let inbound = InboundId(self.next_id());
        self.streams.push(Stream {
            opener,
            exchange,
            target,
            inbound,
            accepted: None,
            requests: VecDeque::from([envelope]),
            reset: false,
            replies: VecDeque::new(),
            closed: None,
            cancelled: false,
            opener_done: false,
            peer_done: false,
            silent: false,
        });
    }

    /// Answers all heartbeats at once, since the delivery of heartbeats is not under test.
    fn answer_heartbeats(&mut self) {
        while let Some((node, exchange, heartbeat)) = self.heartbeats.pop_front() {
            if self.isolated.contains(&node) {
                continue;
            }
            self.last_heartbeats.insert(heartbeat.process.boot, self.now);
            if let Some(endpoint) = heartbeat.endpoint {
                self.endpoints.insert(endpoint.name.clone(), (endpoint, self.now));
            }
            let now = self.now;
            self.endpoints.retain(|_, (_, at)| now - *at < HEARTBEAT_LEASE);
            let newer = heartbeat.process.revised.revision < self.state.config.revision;
            let beat = Beat {
                member: "control-0".into(),
                proof: Some(Proof {
                    member: address(CONTROL_PORT),
                    highest: self.state.config.revision,
                    document: 0,
                    epoch: 0,
                    voters: vec![address(CONTROL_PORT)],
                }),
                config: newer.then(|| Update::Whole(self.state.config.clone())),
                seen: Seen::default(),
                endpoints: Some(Endpoints::All(
                    self.endpoints.values().map(|(e, _)| e.clone()).collect(),
                )),
                orders: Some(OrderUpdate { mark: Fence(0), desired: None }),
                quarantine: None,
                routing: None,
                reports: None,
            };
            let body = Reply::Control(ControlReply::Beat(beat));
            let envelope = Envelope { revised: self.state.config.revised(), body };
            match node {
                Node::Entry(i) => self.step_entry(i, Input::Reply { exchange, envelope }),
                Node::Agent(i) => self.step_agent(i, Input::Reply { exchange, envelope }),
            }
        }
    }

    /// Advances the time, and wakes roles when their timers are due.
    pub fn advance(&mut self, duration: Duration) {
        let until = self.now + duration;
        loop {
            self.wake_due();
            let Some(next) = self.next_wake().filter(|at| *at <= until) else { break };
            self.now = next;
        }
        self.now = until;
    }

    fn next_wake(&self) -> Option<Timestamp> {
        let entries = self.entries.iter().filter_map(|(_, e)| e.as_ref()?.next_wake());
        let agents = self.agents.iter().filter_map(|(_, a)| a.as_ref()?.next_wake());
        entries.chain(agents).min()
    }

    fn wake_due(&mut self) {
        for _ in 0..MAX_WAKES {
            let due = |at: Option<Timestamp>| at.is_some_and(|at| at <= self.now);
            let entry =
                self.entries.iter().position(|(_, e)| due(e.as_ref().and_then(Role::next_wake)));
            let agent =
                self.agents.iter().position(|(_, a)| due(a.as_ref().and_then(Role::next_wake)));
            match (entry, agent) {
                (Some(entry), _) => self.step_entry(entry, Input::Wake),
                (None, Some(agent)) => self.step_agent(agent, Input::Wake),
                (None, None) => return,
            }
        }
        panic!("a role's timer is still due after {MAX_WAKES} wakes at the same time");
    }
}

fn agent_of(target: Target) -> usize {
    match target {
        Target::Control => usize::MAX,
        Target::Agent(agent) => agent,
    }
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}
