//! Orders and rollouts of two operators, while control members lag, crash and change leaders,
//! replies are delayed or lost, and agents restart. Some engines check the fences of orders, some
//! don't.
//!
//! DOTTERELPIN_FUZZ_CASES sets the number of cases of the fuzz test.

mod common;

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use common::{Fleet, open_stream, wait_for};
use dotterelpin::agent::orders::{EngineOrder, Orders};
use dotterelpin::control::orders::plan::plan;
use dotterelpin::control::orders::rollout::RolloutCommand;
use dotterelpin::control::orders::{OrderCommand, OrderReport, OrderUpdate, Target, concerns};
use dotterelpin::control::replica::LogIndex;
use dotterelpin::control::state::{Command, State};
use dotterelpin::link::message::{Order, Proof};
use dotterelpin::model::{
    BootId, Capacity, EndpointKind, EndpointState, Fence, Load, Revision, Timestamp,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const SEED: [u8; 32] = *b"orders, fences and the rollouts.";
/// The number of cases, unless the environment sets another.
const CASES: u32 = 1_000;
const MEMBERS: usize = 3;
const ENDPOINTS: usize = 4;
/// The number of endpoints that a rollout must leave in service.
const FLOOR: usize = 2;

#[derive(Debug, Clone)]
enum Step {
    /// An operator orders one endpoint to load an artifact; the same order may be sent again.
    Load {
        id: u8,
        endpoint: usize,
        artifact: u8,
    },
    /// An operator declares a rollout; the same one may be sent again.
    Rollout {
        id: u8,
        artifact: u8,
    },
    /// A member receives the rest of the log.
    Replicate(usize),
    /// A member applies the committed records that it has.
    Apply(usize),
    /// A member restarts with its log but without applied state and heartbeats.
    CrashControl(usize),
    /// A member becomes the leader, if it has the full log.
    Lead(usize),
    /// The leader plans the next steps of the rollouts.
    Plan,
    /// An agent sends a heartbeat to a member, whose reply is then under way.
    Heartbeat {
        endpoint: usize,
        member: usize,
    },
    /// One of the replies under way arrives, the oldest or a later one.
    Answer(usize),
    /// One of the replies under way is lost.
    LoseAnswer(usize),
    RestartAgent(usize),
    /// The engine carries out the first order that it has received, or fails to.
    Engine {
        endpoint: usize,
        fails: bool,
    },
    /// The number of used slots changes; it rises only while the agent accepts work.
    Work {
        endpoint: usize,
        slots: u32,
    },
    /// Time passes, in milliseconds.
    Wait(u16),
}

fn step() -> impl Strategy<Value = Step> {
    let endpoint = || 0..ENDPOINTS;
    prop_oneof![
        1 => (any::<u8>(), endpoint(), 0..4u8)
            .prop_map(|(id, endpoint, artifact)| Step::Load { id: id % 16, endpoint, artifact }),
        2 => (any::<u8>(), 0..4u8)
            .prop_map(|(id, artifact)| Step::Rollout { id: id % 16, artifact: artifact + 4 }),
        6 => (0..MEMBERS).prop_map(Step::Replicate),
        6 => (0..MEMBERS).prop_map(Step::Apply),
        1 => (0..MEMBERS).prop_map(Step::CrashControl),
        1 => (0..MEMBERS).prop_map(Step::Lead),
        8 => Just(Step::Plan),
        12 => (endpoint(), 0..MEMBERS)
            .prop_map(|(endpoint, member)| Step::Heartbeat { endpoint, member }),
        10 => (0..6usize).prop_map(Step::Answer),
        2 => (0..6usize).prop_map(Step::LoseAnswer),
        1 => endpoint().prop_map(Step::RestartAgent),
        6 => (endpoint(), prop::bool::weighted(0.05))
            .prop_map(|(endpoint, fails)| Step::Engine { endpoint, fails }),
        2 => (endpoint(), 0..3u32).prop_map(|(endpoint, slots)| Step::Work { endpoint, slots }),
        2 => (1..2_000u16).prop_map(Step::Wait),
    ]
}

struct Engine {
    /// Whether it refuses orders whose fence is not above its own.
    fenced: bool,
    /// The fence of the last order that it carried out.
    fence: Fence,
    artifact: Option<Box<str>>,
    /// The orders under way, each with the boot of the agent that sent it.
    inbox: VecDeque<(u64, EngineOrder)>,
}

struct Endpoint {
    /// The orders of its agent.
    orders: Orders,
    /// The boot of its agent.
    boot: u64,
    /// The number of used slots.
    slots: u32,
    engine: Engine,
}

struct Member {
    state: State,
    /// The number of records in its log.
    log_len: usize,
    /// The number of records that it has applied.
    applied: usize,
    /// The last heartbeat of each endpoint since the member's start.
    heartbeats: Vec<Option<(EndpointState, OrderReport)>>,
}

/// A member's reply to the heartbeat of an agent.
struct Answer {
    endpoint: usize,
    boot: u64,
    proof: Proof,
    update: OrderUpdate,
}

struct World {
    now: Timestamp,
    /// The log of the leader, of which each member has a prefix.
    log: Vec<Command>,
    members: Vec<Member>,
    leader: usize,
    endpoints: Vec<Endpoint>,
    /// The replies under way.
    answers: Vec<Answer>,
    /// The maximum number of endpoints that a rollout loads at once.
    parallel: usize,
    boots: u64,
}

fn name(endpoint: usize) -> Box<str> {
    format!("decode-{endpoint}").into()
}

fn artifact(number: u8) -> Box<str> {
    format!("model:cs-summary@{number}").into()
}

fn address(member: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 7000 + member as u16))
}

fn fresh_member() -> Member {
    Member { state: State::default(), log_len: 0, applied: 0, heartbeats: vec![None; ENDPOINTS] }
}

impl World {
    fn new(fenced: [bool; ENDPOINTS], parallel: usize) -> World {
        let endpoint = |fenced| Endpoint {
            orders: Orders::new(true),
            boot: 0,
            slots: 0,
            engine: Engine { fenced, fence: Fence(0), artifact: None, inbox: VecDeque::new() },
        };
        World {
            now: Timestamp::from_micros(1_000_000),
            log: Vec::new(),
            members: (0..MEMBERS).map(|_| fresh_member()).collect(),
            leader: 0,
            endpoints: fenced.into_iter().map(endpoint).collect(),
            answers: Vec::new(),
            parallel,
            boots: 0,
        }
    }

    fn propose(&mut self, command: Command) {
        // Only the leader appends, and it has the full log.
        self.log.push(command);
        self.members[self.leader].log_len = self.log.len();
    }

    /// Returns the number of records that are on a majority of the members.
    fn committed(&self) -> usize {
        let mut lengths: Vec<usize> = self.members.iter().map(|m| m.log_len).collect();
        lengths.sort_unstable();
        lengths[MEMBERS / 2]
    }

    fn apply(&mut self, member: usize) {
        let end = self.members[member].log_len.min(self.committed());
        let member = &mut self.members[member];
        while member.applied < end {
            member.applied += 1;
            let index = LogIndex(member.applied as u64);
            member.state.apply(index, &self.log[member.applied - 1]);
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), String> {
        match *step {
            Step::Load { id, endpoint, artifact: number } => {
                self.propose(Command::Order(OrderCommand {
                    id: format!("load-{id}").into(),
                    author: "operator-1".into(),
                    at: self.now,
                    target: Target::Endpoint(name(endpoint)),
                    order: Order::Load { artifact: artifact(number) },
                }));
            }
            Step::Rollout { id, artifact: number } => self.rollout(&format!("r-{id}"), number),
            Step::Replicate(member) => self.members[member].log_len = self.log.len(),
            Step::Apply(member) => self.apply(member),
            Step::CrashControl(member) => {
                let log_len = self.members[member].log_len;
                self.members[member] = Member { log_len, ..fresh_member() };
            }
            Step::Lead(member) if self.members[member].log_len == self.log.len() => {
                self.leader = member;
            }
            Step::Lead(_) => {}
            Step::Plan => self.plan(),
            Step::Heartbeat { endpoint, member } => self.heartbeat(endpoint, member),
            Step::Answer(at) => self.answer(at),
            Step::LoseAnswer(at) => {
                if at < self.answers.len() {
                    self.answers.remove(at);
                }
            }
            Step::RestartAgent(endpoint) => {
                self.boots += 1;
                let restarted = &mut self.endpoints[endpoint];
                restarted.orders = Orders::new(true);
                restarted.boot = self.boots;
                restarted.slots = 0;
            }
            Step::Engine { endpoint, fails } => self.engine(endpoint, fails)?,
            Step::Work { endpoint, slots } => {
                let endpoint = &mut self.endpoints[endpoint];
                let accepts = endpoint.orders.is_current() && !endpoint.orders.is_draining();
                if accepts || slots < endpoint.slots {
                    endpoint.slots = slots;
                }
            }
            Step::Wait(span) => self.now = self.now + Duration::from_millis(u64::from(span)),
        }
        self.check()
    }

    fn rollout(&mut self, id: &str, number: u8) {
        self.propose(Command::Rollout(RolloutCommand {
            id: id.into(),
            author: "operator-2".into(),
            at: self.now,
            pool: "cs-summary".into(),
            artifact: artifact(number),
            floor: FLOOR as u32,
            parallel: self.parallel as u32,
        }));
    }

    fn plan(&mut self) {
        let leader = &self.members[self.leader];
        let unapplied = &self.log[leader.applied..];
        if leader.log_len < self.log.len()
            || unapplied.iter().any(|c| matches!(c, Command::Step(_)))
        {
            return;
        }
        let live = leader.heartbeats.iter().flatten().map(|(state, report)| (state, report));
        for step in plan(&leader.state.orders, live, self.now) {
            self.propose(Command::Step(step));
        }
    }

    fn heartbeat(&mut self, at: usize, member: usize) {
        let endpoint = &self.endpoints[at];
        let report = endpoint.orders.report();
        let state = EndpointState {
            name: name(at),
            address: address(9),
            domain: "brno-a".into(),
            boot: BootId(endpoint.boot),
            sequence: 1,
            kind: EndpointKind::Decode,
            pool: "cs-summary".into(),
            url: "http://10.0.1.1:8000".into(),
            capacity: Capacity { slots: 20, pieces: 60, piece_tokens: 2000 },
            load: Load { slots: endpoint.slots, ..Load::default() },
            draining: endpoint.orders.is_draining(),
            fence: report.fence,
            software: "".into(),
        };
        let boot = endpoint.boot;
        let receiver = &mut self.members[member];
        let desired = receiver.state.orders.desired(&state.name, &state.pool);
        // A control member derives the mark from the applied state and the unapplied part of its
        // log.
        let unapplied = self.log[..receiver.log_len].iter().enumerate().skip(receiver.applied);
        let unapplied =
            unapplied.filter(|(_, c)| concerns(c, &state)).map(|(i, _)| Fence(i as u64 + 1));
        let mark = unapplied.max().max(Some(desired.fence));
        let is_current = report.fence >= desired.fence;
        let update = OrderUpdate {
            mark: mark.unwrap_or_default(),
            desired: (!is_current).then_some(desired),
        };
        let voters = (0..MEMBERS).map(address).collect();
        let proof =
            Proof { member: address(member), highest: Revision(0), document: 0, epoch: 0, voters };
        receiver.heartbeats[at] = Some((state, report));
        self.answers.push(Answer { endpoint: at, boot, proof, update });
    }

    fn answer(&mut self, at: usize) {
        if at >= self.answers.len() {
            return;
        }
        let Answer { endpoint, boot, proof, update } = self.answers.remove(at);
        if self.endpoints[endpoint].boot == boot {
            self.endpoints[endpoint].orders.receive(&proof, &update);
        }
        self.send_orders();
    }

    fn send_orders(&mut self) {
        for endpoint in &mut self.endpoints {
            if let Some(order) = endpoint.orders.next(self.now) {
                endpoint.engine.inbox.push_back((endpoint.boot, order));
            }
        }
    }

    fn engine(&mut self, at: usize, fails: bool) -> Result<(), String> {
        let now = self.now;
        let Endpoint { orders, boot, engine, .. } = &mut self.endpoints[at];
        let Some((sender, order)) = engine.inbox.pop_front() else { return Ok(()) };
        let refuses = engine.fenced && order.fence <= engine.fence;
        if !fails && !refuses {
            if order.fence < engine.fence {
                return Err(format!(
                    "endpoint {at} carried out order {} after order {}",
                    order.fence, engine.fence
                ));
            }
            engine.fence = order.fence;
            engine.artifact = order.artifact.clone().or(engine.artifact.take());
        }
        if sender == *boot {
            let result = if fails { Err("no space".into()) } else { Ok(()) };
            orders.finished(now, order.fence, result);
        }
        self.send_orders();
        Ok(())
    }

    /// Checks that rollouts keep the floor and the maximum number of parallel loads.
    fn check(&mut self) -> Result<(), String> {
        let out = self.endpoints.iter().filter(|e| e.orders.is_draining()).count();
        if ENDPOINTS - out < FLOOR {
            return Err(format!(
                "{out} of {ENDPOINTS} endpoints are draining, with a floor of {FLOOR}"
            ));
        }
        // Rollouts load the artifacts from 4 on, and the orders of operators those below.
        let loads = |e: &&Endpoint| {
            let wanted = e.engine.inbox.iter().filter_map(|(_, o)| o.artifact.as_ref());
            wanted.into_iter().any(|a| **a >= *artifact(4) && Some(a) != e.engine.artifact.as_ref())
        };
        let loading = self.endpoints.iter().filter(loads).count();
        if loading > self.parallel {
            return Err(format!("{loading} endpoints load at once, more than the rollout allows"));
        }
        Ok(())
    }

    /// Ends all faults and checks that all endpoints load the declared artifact and accept work.
    fn settle(&mut self) -> Result<(), String> {
        self.rollout("last", 9);
        for _ in 0..60 {
            self.now = self.now + Duration::from_millis(1_100);
            for member in 0..MEMBERS {
                self.step(&Step::Replicate(member))?;
                self.step(&Step::Apply(member))?;
            }
            for endpoint in 0..ENDPOINTS {
                self.step(&Step::Work { endpoint, slots: 0 })?;
                for member in 0..MEMBERS {
                    self.step(&Step::Heartbeat { endpoint, member })?;
                }
            }
            while !self.answers.is_empty() {
                self.step(&Step::Answer(0))?;
            }
            for endpoint in 0..ENDPOINTS {
                while !self.endpoints[endpoint].engine.inbox.is_empty() {
                    self.step(&Step::Engine { endpoint, fails: false })?;
                }
            }
            self.step(&Step::Plan)?;
        }
        for (at, endpoint) in self.endpoints.iter().enumerate() {
            let orders = &endpoint.orders;
            if endpoint.engine.artifact.as_deref() != Some(&*artifact(9)) {
                let has = &endpoint.engine.artifact;
                return Err(format!(
                    "endpoint {at} ends with artifact {has:?}: {:?}",
                    orders.report()
                ));
            }
            if orders.is_draining() || !orders.is_current() {
                return Err(format!("endpoint {at} accepts no work in the end"));
            }
        }
        Ok(())
    }
}

#[test]
fn fences_never_decrease_and_rollouts_keep_their_bounds() {
    let cases = std::env::var("DOTTERELPIN_FUZZ_CASES").ok().and_then(|c| c.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let steps = prop::collection::vec(step(), 1..500);
    let input = (any::<[bool; ENDPOINTS]>(), 1..=2usize, steps);
    let result = TestRunner::new_with_rng(config, rng).run(&input, |(fenced, parallel, steps)| {
        let mut world = World::new(fenced, parallel);
        let run = steps.iter().try_for_each(|s| world.step(s)).and_then(|()| world.settle());
        run.map_err(TestCaseError::fail)
    });
    result.unwrap();
}

/// Returns the fences of the orders that an engine accepted, and the artifact that it has loaded.
fn engine_orders(fleet: &Fleet, endpoint: usize) -> (Vec<u64>, Option<String>) {
    let counts = fleet.endpoints[endpoint].counts().unwrap();
    let orders = counts["orders"].as_array().cloned().unwrap_or_default();
    let numbers = orders.iter().filter_map(|o| o[0].as_u64()).collect();
    (numbers, counts["artifact"].as_str().map(Into::into))
}

/// Waits until all endpoints have loaded the artifact and accept work.
fn wait_for_artifact(fleet: &Fleet, artifact: &str) {
    wait_for(Duration::from_secs(60), || {
        let status: serde_json::Value =
            serde_json::from_str(&fleet.tool_text(&["--json", "status"])?)?;
        let endpoints = status["endpoints"].as_array().cloned().unwrap_or_default();
        eyre::ensure!(
            endpoints.len() == fleet.endpoints.len(),
            "not all endpoints are listed: {status}"
        );
        for (at, endpoint) in endpoints.iter().enumerate() {
            let (_, has) = engine_orders(fleet, at);
            eyre::ensure!(
                has.as_deref() == Some(artifact),
                "endpoint {at} has artifact {has:?}, not {artifact}"
            );
            eyre::ensure!(endpoint["draining"] == false, "{endpoint} is still draining");
        }
        Ok(())
    })
    .unwrap();
}

#[test]
fn rollout_continues_after_control_agent_and_engine_restarts_and_refuses_no_call() {
    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry("brno-a").unwrap();
    for (kind, domain) in [("prefill", "brno-a"), ("prefill", "brno-b")] {
        fleet.engine(kind, domain, &["--fenced", "--load-ms", "300"]).unwrap();
    }
    for (kind, domain) in [("decode", "brno-a"), ("decode", "brno-b")] {
        fleet.engine(kind, domain, &["--load-ms", "300"]).unwrap();
    }
    fleet.wait_ready().unwrap();
    let url = fleet.entries[0].url.clone();
    let (stop, stopped) = std::sync::mpsc::channel::<()>();
    let load = std::thread::spawn(move || {
        let mut results = Vec::new();
        while stopped.try_recv().is_err() {
            results.push(open_stream(&url, "Lesson plan: clouds.", 20).and_then(|s| s.read_all()));
            std::thread::sleep(Duration::from_millis(20));
        }
        results
    });
    let rollout = |artifact: &str, id: &str| {
        let args = ["rollout", "cs-summary", artifact, "--floor", "1", "--author", "t", "--id", id];
        fleet.tool_text(&args).unwrap()
    };
    let first = rollout("model:cs-summary@1", "first");
    assert_eq!(
        first,
        rollout("model:cs-summary@1", "first"),
        "the same rollout sent again got another number"
    );
    wait_for_artifact(&fleet, "model:cs-summary@1");
    rollout("model:cs-summary@2", "second");
    std::thread::sleep(Duration::from_millis(700));
    fleet.controls[0].restart().unwrap();
    wait_for_artifact(&fleet, "model:cs-summary@2");
    let _ = stop.send(());
    for (number, result) in load.join().unwrap().into_iter().enumerate() {
        let streamed = result.unwrap();
        assert!(
            streamed.done && streamed.error.is_none(),
            "call {number} failed during the rollouts: {streamed:?}"
        );
    }
    for endpoint in 0..fleet.endpoints.len() {
        let (numbers, _) = engine_orders(&fleet, endpoint);
        assert!(
            numbers.is_sorted(),
            "endpoint {endpoint} accepted orders with fences {numbers:?}, expected ascending ones"
        );
    }
    fleet.endpoints[2].agent.restart().unwrap();
    fleet.endpoints[3].stand_in.restart().unwrap();
    wait_for_artifact(&fleet, "model:cs-summary@2");
    fleet.tool_text(&["drain", "decode-3", "--author", "t"]).unwrap();
    fleet.endpoints[2].agent.restart().unwrap();
    fleet.tool_text(&["rollout", "cs-summary", "model:cs-summary@1", "--author", "t"]).unwrap();
    wait_for(Duration::from_secs(30), || {
        let (_, has) = engine_orders(&fleet, 2);
        eyre::ensure!(
            has.as_deref() == Some("model:cs-summary@1"),
            "endpoint 2 has artifact {has:?}"
        );
        Ok(())
    })
    .unwrap();
    std::thread::sleep(Duration::from_secs(2));
    let status = fleet.tool_text(&["--json", "status"]).unwrap();
    let status: serde_json::Value = serde_json::from_str(&status).unwrap();
    let drained = status["endpoints"].as_array().unwrap().iter().find(|e| e["name"] == "decode-3");
    assert_eq!(
        drained.unwrap()["draining"],
        true,
        "a rollout undrained the endpoint that an operator had drained"
    );
}

/// An agent that has not reported its last order may still be carrying out an earlier drain, so its
/// endpoint doesn't count towards the floor.
#[test]
fn rollout_counts_only_endpoints_that_have_reported_their_last_order() {
    use Step::{Apply, Heartbeat, Load, Plan, Replicate, Rollout};
    let heartbeat = |endpoint, member| Heartbeat { endpoint, member };
    let steps = [
        Rollout { id: 0, artifact: 4 },
        heartbeat(3, 0),
        heartbeat(0, 0),
        Replicate(1),
        heartbeat(1, 0),
        Apply(0),
        Plan,
        Replicate(1),
        Apply(0),
        heartbeat(2, 0),
        Plan,
        Load { id: 0, endpoint: 1, artifact: 0 },
        Replicate(1),
        Apply(1),
        Plan,
        heartbeat(1, 1),
        Apply(0),
        Plan,
        Replicate(1),
        Apply(0),
        Plan,
        Replicate(1),
        Load { id: 1, endpoint: 0, artifact: 0 },
        Apply(1),
        heartbeat(2, 1),
    ];
    let mut world = World::new([false; ENDPOINTS], 2);
    steps.iter().try_for_each(|s| world.step(s)).and_then(|()| world.settle()).unwrap();
}
