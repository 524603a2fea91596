//! Engines keep no memory for requests that ended, were cancelled or lost their caller.
//!
//! Memory can leak when a cancel is lost, arrives before the work that it cancels, or is never sent
//! because an entry or an agent was killed.

mod common;
mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::{Fleet, open_stream, wait_for};
use dotterelpin::agent::ledger::Phase;
use dotterelpin::entry::CallerEffect;
use dotterelpin::entry::check::RawCall;
use dotterelpin::entry::place::Variant;
use dotterelpin::model::{BootId, CallId, EndpointKind};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use world::engine::{Engines, announcement};
use world::{Node, World, runner, variant};

const ENTRIES: usize = 2;
const ENDPOINTS: usize = 4;
/// The time after which no capacity may be held for a request that has ended.
const LEASE: Duration = Duration::from_millis(2_000);

#[derive(Debug, Clone)]
enum Op {
    Call {
        entry: usize,
        tokens: u32,
    },
    DisconnectCaller(usize),
    /// Perform the oldest pending delivery this many times.
    DeliverOldest(usize),
    Deliver(usize),
    Work(usize),
    EngineRequest(usize),
    DisconnectJob(usize),
    Crash {
        engine: usize,
        announce: bool,
    },
    Break(usize),
    Silence(usize),
    Kill(Node),
    Restart(Node),
    AdvanceTime(u64),
}

fn node() -> impl Strategy<Value = Node> {
    prop_oneof![(0..ENTRIES).prop_map(Node::Entry), (0..ENDPOINTS).prop_map(Node::Agent)]
}

fn op() -> impl Strategy<Value = Op> {
    let pick = || 0..16_usize;
    prop_oneof![
        5 => (0..ENTRIES, 4..200_u32).prop_map(|(entry, tokens)| Op::Call { entry, tokens }),
        2 => pick().prop_map(Op::DisconnectCaller),
        12 => (0..12_usize).prop_map(Op::DeliverOldest),
        12 => pick().prop_map(Op::Deliver),
        20 => pick().prop_map(Op::Work),
        8 => pick().prop_map(Op::EngineRequest),
        3 => pick().prop_map(Op::DisconnectJob),
        1 => (0..ENDPOINTS, any::<bool>())
            .prop_map(|(engine, announce)| Op::Crash { engine, announce }),
        1 => pick().prop_map(Op::Break),
        1 => pick().prop_map(Op::Silence),
        1 => node().prop_map(Op::Kill),
        2 => node().prop_map(Op::Restart),
        5 => prop_oneof![4 => Just(30), 2 => Just(300), 1 => Just(1_100)].prop_map(Op::AdvanceTime),
    ]
}

struct Test {
    world: World,
    engines: Engines,
    /// The calls that have no outcome yet.
    live: BTreeSet<(BootId, CallId)>,
}

impl Test {
    fn new(variant: Variant) -> Test {
        let kinds = [
            EndpointKind::Prefill,
            EndpointKind::Prefill,
            EndpointKind::Decode,
            EndpointKind::Decode,
        ];
        let announcements = kinds.into_iter().map(announcement).collect();
        let mut test = Test {
            world: World::new(variant, ENTRIES, announcements),
            engines: Engines::default(),
            live: BTreeSet::new(),
        };
        test.settle();
        test
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Call { entry, tokens } => {
                let raw = summary_call("rivers", tokens);
                self.live.extend(self.world.call(entry, raw));
            }
            Op::DisconnectCaller(pick) => {
                let open: Vec<_> = self.live.iter().copied().collect();
                if let Some(id) = open.get(pick % open.len().max(1)) {
                    self.live.remove(id);
                    self.world.disconnect_caller(id.0, id.1);
                }
            }
            Op::DeliverOldest(count) => {
                for _ in 0..count {
                    self.world.deliver(0);
                    self.collect();
                }
            }
            Op::Deliver(pick) => {
                self.world.deliver(pick);
            }
            Op::Work(pick) => self.engines.advance_job(&mut self.world, pick),
            Op::EngineRequest(pick) => self.engines.handle_request(&mut self.world, pick),
            Op::DisconnectJob(pick) => self.engines.disconnect(&mut self.world, pick),
            Op::Crash { engine, announce } => {
                self.engines.crash(&mut self.world, engine, announce);
            }
            Op::Break(pick) => self.world.break_stream(pick),
            Op::Silence(pick) => self.world.silence(pick),
            Op::Kill(node) => {
                self.world.kill(node);
                if let Node::Agent(agent) = node {
                    self.engines.agent_killed(agent);
                }
            }
            Op::Restart(node) => self.world.restart(node),
            Op::AdvanceTime(ms) => self.world.advance(Duration::from_millis(ms)),
        }
        self.collect();
    }

    fn collect(&mut self) {
        self.engines.collect_effects(&mut self.world);
        for (boot, effect) in std::mem::take(&mut self.world.caller_effects) {
            if let CallerEffect::Finish { call, .. } = effect {
                self.live.remove(&(boot, call));
            }
        }
        self.check_ledgers();
    }

    /// Checks that each agent's ledger contains the requests that its engine runs.
    fn check_ledgers(&self) {
        for agent in 0..ENDPOINTS {
            let Some(role) = self.world.agent(agent) else { continue };
            for request in self.engines.expected(agent, self.world.agent_boot(agent)) {
                assert!(
                    role.ledger().contains(request),
                    "engine {agent} runs {request}, which is not in its agent's ledger"
                );
            }
        }
    }

    /// Runs for a duration without faults: messages are delivered at once, and each job advances by
    /// one step in each `work_interval`.
    fn run_for(&mut self, duration: Duration, work_interval: Duration) {
        let until = self.world.now + duration;
        while self.world.now < until {
            for job in 0..self.engines.jobs.len() {
                self.engines.advance_job(&mut self.world, job);
                self.settle();
            }
            self.settle();
            self.world.advance(work_interval);
            self.settle();
        }
    }

    fn settle(&mut self) {
        self.collect();
        while self.world.deliver(0) || self.engines.pending_requests() > 0 {
            self.engines.handle_request(&mut self.world, 0);
            self.collect();
        }
    }

    /// Checks, after one lease without faults, that each engine runs exactly the requests of its
    /// agent's ledger, and that all of these are live.
    fn check(&mut self) {
        for agent in 0..ENDPOINTS {
            let ledger = self.world.agent(agent).unwrap().ledger();
            let held: BTreeSet<String> = ledger
                .phases()
                .filter(|(_, phase)| !matches!(phase, Phase::Reserved { .. }))
                .map(|(request, _)| request.to_string())
                .collect();
            let runs: BTreeSet<String> = self.engines.running(agent).into_iter().collect();
            assert_eq!(
                runs, held,
                "the requests that engine {agent} runs and its agent's ledger differ"
            );
            for (request, _) in ledger.phases() {
                let id = (request.owner, request.call);
                assert!(
                    self.live.contains(&id),
                    "agent {agent} holds capacity for {request}, which has ended"
                );
            }
        }
    }
}

fn summary_call(prompt: &str, tokens: u32) -> RawCall {
    let body = serde_json::json!({ "model": "cs-summary", "prompt": prompt, "max_tokens": tokens });
    RawCall {
        method: "POST".into(),
        path: "/v1/completions".into(),
        headers: BTreeMap::from([("authorization".into(), "Bearer secret".into())]),
        content: body.to_string().into_bytes(),
    }
}

#[test]
fn engines_hold_exactly_what_live_requests_need() {
    runner(2, 300)
        .run(&(variant(), vec(op(), 0..200)), |(variant, ops)| {
            let mut test = Test::new(variant);
            for op in &ops {
                test.apply(op);
            }
            test.world.heal();
            test.live.retain(|(owner, _)| test.world.is_owner_alive(*owner));
            test.run_for(LEASE, Duration::from_millis(100));
            test.check();
            test.run_for(Duration::from_secs(10), Duration::from_millis(20));
            assert!(test.live.is_empty(), "calls without an outcome: {:?}", test.live);
            test.run_for(LEASE, Duration::from_millis(100));
            test.check();
            Ok(())
        })
        .unwrap();
}

#[test]
fn import_that_starts_after_its_cancel_is_cancelled_again() {
    let mut test = Test::new(Variant::RoundRobin);
    let prefilled =
        [Op::Call { entry: 0, tokens: 200 }, Op::DeliverOldest(4), Op::Work(0), Op::Work(0)];
    // The decode's connection breaks before the engine starts it, and the engine confirms the
    // cancel, since the request does not run yet.
    let lost = [
        Op::DeliverOldest(4),
        Op::DisconnectJob(0),
        Op::EngineRequest(0),
        Op::EngineRequest(0),
        Op::Work(0),
    ];
    for op in prefilled.iter().chain(&lost) {
        test.apply(op);
    }
    let strays = (0..ENDPOINTS).filter(|e| !test.engines.running(*e).is_empty()).count();
    assert_eq!(strays, 1, "one import should have started after its cancel");
    let disconnected: Vec<_> = test.live.iter().copied().collect();
    disconnected.into_iter().for_each(|id| test.world.disconnect_caller(id.0, id.1));
    test.live.clear();
    test.run_for(LEASE, Duration::from_millis(100));
    test.check();
}

fn model_fleet(token_us: &str) -> Fleet {
    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry("brno-a").unwrap();
    fleet.engine("prefill", "brno-a", &["--prefill-rate", "2000"]).unwrap();
    fleet.engine("decode", "brno-b", &["--token-us", token_us]).unwrap();
    fleet.wait_ready().unwrap();
    fleet
}

/// Waits until no engine runs a request.
fn wait_until_idle(fleet: &Fleet) {
    let since = std::time::Instant::now();
    wait_for(Duration::from_secs(20), || {
        for endpoint in &fleet.endpoints {
            let running = endpoint.counts()?["running"].clone();
            eyre::ensure!(running.as_array().is_some_and(Vec::is_empty), "running: {running}");
        }
        Ok(())
    })
    .unwrap();
    println!("engines are idle after {:?}", since.elapsed());
}

#[test]
fn caller_that_disconnects_frees_engines() {
    let fleet = model_fleet("20000");
    let url = &fleet.entries[0].url;
    // The prefill of this prompt takes two seconds.
    let queued = open_stream(url, &"river ".repeat(2_666), 1_000).unwrap();
    wait_for(Duration::from_secs(5), || expect_running(&fleet, 0)).unwrap();
    drop(queued);
    wait_until_idle(&fleet);
    let mut streamed = open_stream(url, "rivers", 1_000).unwrap();
    streamed.next_event().unwrap();
    drop(streamed);
    wait_until_idle(&fleet);
}

fn expect_running(fleet: &Fleet, endpoint: usize) -> eyre::Result<()> {
    let running = fleet.endpoints[endpoint].counts()?["running"].clone();
    eyre::ensure!(running != serde_json::json!([]), "endpoint {endpoint} runs no request");
    Ok(())
}

#[test]
fn entry_that_is_killed_frees_engines() {
    let mut fleet = model_fleet("20000");
    let mut streamed = open_stream(&fleet.entries[0].url, "rivers", 1_000).unwrap();
    streamed.next_event().unwrap();
    fleet.entries[0].process.kill();
    wait_until_idle(&fleet);
}

#[test]
fn agent_that_is_killed_during_a_prefill_frees_its_engine() {
    let mut fleet = model_fleet("20000");
    // The prefill of this prompt takes ten seconds, in which the engine can't detect a broken
    // connection.
    let prompt = "river ".repeat(13_333);
    let _stream = open_stream(&fleet.entries[0].url, &prompt, 10).unwrap();
    wait_for(Duration::from_secs(5), || expect_running(&fleet, 0)).unwrap();
    fleet.endpoints[0].agent.restart().unwrap();
    wait_until_idle(&fleet);
}

#[test]
fn agent_that_is_killed_frees_its_engine() {
    let mut fleet = model_fleet("20000");
    let mut streamed = open_stream(&fleet.entries[0].url, "rivers", 1_000).unwrap();
    streamed.next_event().unwrap();
    fleet.endpoints[1].agent.restart().unwrap();
    wait_until_idle(&fleet);
}
