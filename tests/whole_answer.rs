//! Every caller receives the complete answer to its own request, or a truthful error.
//!
//! Tokens can be lost, repeated or mixed up when an engine, an agent or a connection fails during
//! an answer and another endpoint continues it.

mod common;
mod world;

use std::collections::BTreeMap;
use std::time::Duration;

use common::{Fleet, open_stream};
use dotterelpin::entry::check::RawCall;
use dotterelpin::entry::place::Variant;
use dotterelpin::entry::{CallerEffect, Terminal};
use dotterelpin::model::{Announcement, BootId, CallId, EndpointKind, Ran, RefusalReason};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use world::engine::{Engines, STOP_TOKENS, announcement, token};
use world::{Node, World, runner, variant};

const ENTRIES: usize = 2;
const ENDPOINTS: usize = 5;
/// The software versions of a fleet in which two serve side by side.
const VERSIONS: [&str; 2] = ["v1", "v2"];
const PROMPTS: [&str; 4] = ["rivers", "castles", "birds stop", "coal"];

#[derive(Debug, Clone)]
enum Op {
    Call {
        entry: usize,
        prompt: usize,
        tokens: u32,
        keyed: bool,
    },
    DisconnectCaller(usize),
    /// Perform the oldest pending delivery this many times.
    DeliverOldest(usize),
    Deliver(usize),
    Work(usize),
    EngineRequest(usize),
    DisconnectJob(usize),
    /// Repeat an engine's part, send it with a gap, or send an early end mark.
    Distort(u8),
    Crash {
        engine: usize,
        announce: bool,
    },
    Break(usize),
    Silence(usize),
    Quorum(bool),
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
        4 => (0..ENTRIES, 0..PROMPTS.len(), 6..20_u32, any::<bool>()).prop_map(
            |(entry, prompt, tokens, keyed)| Op::Call { entry, prompt, tokens, keyed }),
        1 => pick().prop_map(Op::DisconnectCaller),
        20 => (0..12_usize).prop_map(Op::DeliverOldest),
        12 => pick().prop_map(Op::Deliver),
        40 => pick().prop_map(Op::Work),
        4 => pick().prop_map(Op::EngineRequest),
        1 => pick().prop_map(Op::DisconnectJob),
        2 => any::<u8>().prop_map(Op::Distort),
        1 => (0..ENDPOINTS, any::<bool>())
            .prop_map(|(engine, announce)| Op::Crash { engine, announce }),
        1 => pick().prop_map(Op::Break),
        1 => pick().prop_map(Op::Silence),
        1 => proptest::bool::weighted(0.7).prop_map(Op::Quorum),
        1 => node().prop_map(Op::Kill),
        2 => node().prop_map(Op::Restart),
        4 => prop_oneof![4 => Just(30), 2 => Just(300), 1 => Just(1_100)].prop_map(Op::AdvanceTime),
    ]
}

/// A caller with what it has received so far.
#[derive(Debug)]
struct Caller {
    prompt: &'static str,
    tokens: u32,
    key: Option<String>,
    /// The software versions of the endpoints.
    versions: &'static [&'static str],
    text: String,
    parts: u32,
    outcome: Option<Terminal>,
}

impl Caller {
    /// Returns the number of tokens and the text of the complete answer of a software version.
    fn expected(&self, software: &str) -> (u32, String) {
        let stops = self.prompt.ends_with("stop");
        let count = if stops { self.tokens.min(STOP_TOKENS) } else { self.tokens };
        (count, (0..count).map(|o| token(self.prompt, software, o)).collect())
    }

    /// Returns whether the text so far is the start of the answer of one software version.
    fn is_one_answer(&self) -> bool {
        self.versions.iter().any(|v| self.expected(v).1.starts_with(&self.text))
    }

    fn receive_tokens(&mut self, tokens: Vec<Box<str>>) {
        assert!(self.outcome.is_none(), "tokens after the outcome of {self:?}");
        self.text.push_str(&tokens.concat());
        self.parts += 1;
        assert!(self.is_one_answer(), "received tokens that the answer does not have: {self:?}");
    }

    fn receive_outcome(&mut self, outcome: Terminal) {
        assert!(self.outcome.is_none(), "two outcomes: {self:?}");
        match &outcome {
            Terminal::Generated { tokens, .. } => {
                let complete = (*tokens, self.text.clone());
                assert!(
                    self.versions.iter().any(|v| self.expected(v) == complete),
                    "incomplete, but ended like a complete answer: {self:?}"
                );
            }
            Terminal::Refused(refusal) => {
                let received_nothing = self.parts == 0;
                assert!(
                    received_nothing || refusal.ran != Ran::No,
                    "refused as \"not run\" after tokens: {self:?}"
                );
            }
            Terminal::Answered(_) => {
                panic!("a model call ended with the answer of a service: {self:?}")
            }
        }
        self.outcome = Some(outcome);
    }
}

struct Test {
    world: World,
    engines: Engines,
    callers: BTreeMap<(BootId, CallId), Caller>,
    versions: &'static [&'static str],
    disconnected: Vec<(BootId, CallId)>,
    /// The number of calls of each key that were answered by an engine, not from the key's record.
    generated: BTreeMap<String, u32>,
}

impl Test {
    fn new(variant: Variant) -> Test {
        let decode = std::iter::repeat_n(EndpointKind::Decode, ENDPOINTS - 2);
        let kinds = std::iter::repeat_n(EndpointKind::Prefill, 2).chain(decode);
        Test::with(variant, kinds.map(announcement).collect(), &[""])
    }

    /// Creates a fleet of endpoints of some software versions.
    fn of_versions(variant: Variant, endpoints: &[(EndpointKind, &str)]) -> Test {
        let announced = |(kind, software): &(EndpointKind, &str)| Announcement {
            software: (*software).into(),
            ..announcement(*kind)
        };
        Test::with(variant, endpoints.iter().map(announced).collect(), &VERSIONS)
    }

    fn with(
        variant: Variant,
        announcements: Vec<Announcement>,
        versions: &'static [&'static str],
    ) -> Test {
        Test {
            world: World::new(variant, ENTRIES, announcements),
            engines: Engines::default(),
            callers: BTreeMap::new(),
            versions,
            disconnected: Vec::new(),
            generated: BTreeMap::new(),
        }
    }

    fn call(&mut self, entry: usize, prompt: &'static str, tokens: u32, key: Option<String>) {
        let body =
            serde_json::json!({ "model": "cs-summary", "prompt": prompt, "max_tokens": tokens });
        let mut headers = BTreeMap::from([("authorization".into(), "Bearer secret".into())]);
        headers.extend(key.clone().map(|k| ("idempotency-key".into(), k.into())));
        let raw = RawCall {
            method: "POST".into(),
            path: "/v1/completions".into(),
            headers,
            content: body.to_string().into_bytes(),
        };
        let (versions, text) = (self.versions, String::new());
        let caller = Caller { prompt, tokens, key, versions, text, parts: 0, outcome: None };
        if let Some(id) = self.world.call(entry, raw) {
            self.callers.insert(id, caller);
        }
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Call { entry, prompt, tokens, keyed } => {
                let key = keyed.then(|| format!("{prompt}-{}", tokens % 2));
                self.call(entry, PROMPTS[prompt], 6 + tokens % 2 * 9, key);
            }
            Op::DisconnectCaller(pick) => {
                let open = self.callers.iter().filter(|(_, c)| c.outcome.is_none());
                let open: Vec<_> = open.map(|(id, _)| *id).collect();
                if let Some(id) = open.get(pick % open.len().max(1)) {
                    self.disconnected.push(*id);
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
            Op::Distort(how) => self.engines.distort(&mut self.world, how),
            Op::Crash { engine, announce } => {
                self.engines.crash(&mut self.world, engine, announce);
            }
            Op::Break(pick) => self.world.break_stream(pick),
            Op::Silence(pick) => self.world.silence(pick),
            Op::Quorum(quorum) => self.world.quorum = quorum,
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
            match effect {
                CallerEffect::Begin { .. } => {}
                CallerEffect::Tokens { call, tokens } => {
                    self.callers.get_mut(&(boot, call)).unwrap().receive_tokens(tokens);
                }
                CallerEffect::Finish { call, outcome } => {
                    let caller = self.callers.get_mut(&(boot, call)).unwrap();
                    let complete = matches!(outcome, Terminal::Generated { .. });
                    caller.receive_outcome(outcome);
                    // A recorded answer is delivered in one part.
                    if let Some(key) = caller.key.clone().filter(|_| complete && caller.parts > 1) {
                        let count = self.generated.entry(key).or_default();
                        *count += 1;
                        assert_eq!(
                            *count, 1,
                            "engines answered two calls with one key: {caller:?}"
                        );
                    }
                }
            }
        }
    }

    fn run_for(&mut self, duration: Duration) {
        let until = self.world.now + duration;
        while self.world.now < until {
            for job in 0..self.engines.jobs.len() {
                self.engines.advance_job(&mut self.world, job);
                self.settle();
            }
            self.settle();
            self.world.advance(Duration::from_millis(20));
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

    fn check_outcomes(&self) {
        for (id, caller) in &self.callers {
            let waits = self.world.is_owner_alive(id.0) && !self.disconnected.contains(id);
            assert!(
                !waits || caller.outcome.is_some(),
                "{id:?} has no outcome, but its entry is alive: {caller:?}"
            );
            let not_run = |o: &Terminal| matches!(o, Terminal::Refused(r) if r.ran == Ran::No);
            if caller.outcome.as_ref().is_some_and(not_run) {
                assert!(
                    !self.engines.ran.contains(id),
                    "{id:?} was refused as \"not run\", but it ran: {caller:?}"
                );
            }
        }
    }
}

#[test]
fn answers_are_complete_and_each_offset_is_delivered_once() {
    runner(3, 300)
        .run(&(variant(), vec(op(), 0..300)), |(variant, ops)| {
            let mut test = Test::new(variant);
            for op in &ops {
                test.apply(op);
            }
            test.world.heal();
            test.run_for(Duration::from_secs(12));
            test.check_outcomes();
            Ok(())
        })
        .unwrap();
}

/// Steps of 500 ms after which an endpoint that sends no heartbeats is no longer listed.
const UNLIST_STEPS: u32 = 10;
/// Two prefill and three decode endpoints of two software versions.
const MIXED: [(EndpointKind, &str); ENDPOINTS] = [
    (EndpointKind::Prefill, "v1"),
    (EndpointKind::Prefill, "v2"),
    (EndpointKind::Decode, "v1"),
    (EndpointKind::Decode, "v2"),
    (EndpointKind::Decode, "v1"),
];

/// What two software versions write, and their KV cache, does not fit together.
#[test]
fn answers_of_a_fleet_with_two_versions_are_of_one_version() {
    runner(4, 300)
        .run(&(variant(), vec(op(), 0..300)), |(variant, ops)| {
            let mut test = Test::of_versions(variant, &MIXED);
            for op in &ops {
                test.apply(op);
            }
            test.world.heal();
            test.run_for(Duration::from_secs(12));
            test.check_outcomes();
            Ok(())
        })
        .unwrap();
}

/// Runs the engines until a caller has received tokens; returns the decode endpoint that sent them.
fn receive_tokens(test: &mut Test) -> usize {
    test.settle();
    test.call(0, PROMPTS[0], 60, None);
    while test.callers.values().all(|c| c.parts < 3) {
        test.settle();
        test.engines.advance_job(&mut test.world, 0);
    }
    test.settle();
    test.engines.jobs[0].endpoint
}

/// Keeps a decode endpoint from control until it is no longer listed; its stream goes on meanwhile.
fn unlist(test: &mut Test, decode: usize) {
    test.world.isolated.insert(Node::Agent(decode));
    for _ in 0..UNLIST_STEPS {
        test.world.advance(Duration::from_millis(500));
        test.settle();
        test.engines.advance_job(&mut test.world, 0);
        test.settle();
    }
}

/// Kills the agent of a decode endpoint; no time passes.
fn kill_decode(test: &mut Test, decode: usize) {
    test.world.kill(Node::Agent(decode));
    test.engines.agent_killed(decode);
    test.engines.jobs.clear();
    test.settle();
}

/// A stream whose endpoint died goes on at the other endpoint of its version.
#[test]
fn stream_goes_on_at_its_version() {
    let decode = |software| (EndpointKind::Decode, software);
    for variant in Variant::ALL {
        let endpoints =
            [MIXED[0], MIXED[1], decode("v1"), decode("v2"), decode("v1"), decode("v2")];
        let mut test = Test::of_versions(variant, &endpoints);
        let decode = receive_tokens(&mut test);
        kill_decode(&mut test, decode);
        test.run_for(Duration::from_secs(5));
        let caller = test.callers.values().next().unwrap();
        let complete = matches!(caller.outcome, Some(Terminal::Generated { .. }));
        assert!(complete, "{variant}: {caller:?}");
    }
}

/// A stream of whose version no decode endpoint is left ends at once, and does not claim that it
/// has not run.
#[test]
fn stream_ends_at_once_if_no_endpoint_of_its_version_is_left() {
    for variant in Variant::ALL {
        let mut test = Test::of_versions(variant, &MIXED[..4]);
        let decode = receive_tokens(&mut test);
        unlist(&mut test, decode);
        let open = test.callers.values().all(|c| c.outcome.is_none());
        assert!(open, "{variant}: the stream has ended too early: {:?}", test.callers);
        kill_decode(&mut test, decode);
        let caller = test.callers.values().next().unwrap();
        let Some(Terminal::Refused(refusal)) = &caller.outcome else {
            panic!("{variant}: not refused at once: {caller:?}");
        };
        assert_eq!(refusal.ran, Ran::Maybe, "{variant}: {refusal}");
        assert_eq!(refusal.reason, RefusalReason::NoEndpoint, "{variant}: {refusal}");
    }
}

/// The same if the endpoint that died is still listed: the stream never goes on at the other
/// version.
#[test]
fn stream_ends_at_its_version_if_its_only_endpoint_does_not_come_back() {
    for variant in Variant::ALL {
        let mut test = Test::of_versions(variant, &MIXED[..4]);
        let decode = receive_tokens(&mut test);
        kill_decode(&mut test, decode);
        test.run_for(Duration::from_secs(5));
        let caller = test.callers.values().next().unwrap();
        let Some(Terminal::Refused(refusal)) = &caller.outcome else {
            panic!("{variant}: not refused: {caller:?}");
        };
        assert_eq!(refusal.ran, Ran::Maybe, "{variant}: {refusal}");
    }
}

/// An engine restarts at another version before its entry knows, and the call tries it again.
#[test]
fn stream_does_not_go_on_at_an_engine_that_restarted_at_another_version() {
    for variant in Variant::ALL {
        for endpoints in [&MIXED[..4], &[MIXED[0], MIXED[2]]] {
            let mut test = Test::of_versions(variant, endpoints);
            let decode = receive_tokens(&mut test);
            let other = if test.world.software(decode) == "v1" { "v2" } else { "v1" };
            test.engines.crash(&mut test.world, decode, false);
            test.world.upgrade(decode, other);
            test.run_for(Duration::from_secs(5));
            let caller = test.callers.values().next().unwrap();
            let Some(Terminal::Refused(refusal)) = &caller.outcome else {
                panic!("{variant}: not refused: {caller:?}");
            };
            assert_eq!(refusal.ran, Ran::Maybe, "{variant}: {refusal}");
        }
    }
}

/// Decode endpoints of a version without prefill endpoints get no calls, and all calls are
/// answered.
#[test]
fn calls_run_at_the_version_that_has_prefill_endpoints() {
    for variant in Variant::ALL {
        let mut test = Test::of_versions(variant, &MIXED[1..]);
        test.settle();
        for prompt in PROMPTS {
            test.call(0, prompt, 12, None);
            test.run_for(Duration::from_secs(2));
        }
        let open = |c: &&Caller| !matches!(c.outcome, Some(Terminal::Generated { .. }));
        let missing: Vec<_> = test.callers.values().filter(open).collect();
        assert!(missing.is_empty(), "{variant}: {missing:?}");
    }
}

/// Both entries generate an answer for one key, since the first is isolated from control but alive;
/// only one of the calls may get a complete answer.
#[test]
fn summary_with_one_key_is_answered_once() {
    let mut test = Test::new(Variant::RoundRobin);
    test.settle();
    let key = Some("night-1".to_string());
    test.call(0, PROMPTS[0], 100, key.clone());
    test.settle();
    test.world.isolated.insert(Node::Entry(0));
    for _ in 0..40 {
        test.engines.advance_job(&mut test.world, 0);
        test.settle();
        test.world.advance(Duration::from_millis(100));
    }
    test.call(1, PROMPTS[0], 100, key);
    test.run_for(Duration::from_secs(5));
    let outcomes: Vec<_> = test.callers.values().map(|c| c.outcome.clone().unwrap()).collect();
    let complete = outcomes.iter().filter(|o| matches!(o, Terminal::Generated { .. })).count();
    assert_eq!(complete, 1, "{outcomes:?}");
    assert_eq!(test.generated["night-1"], 1);
    assert!(
        test.callers.values().all(|c| c.parts > 1),
        "not both calls were answered by engines: {outcomes:?}"
    );
}

const TOKENS: u32 = 100;

fn model_fleet(decodes: usize) -> Fleet {
    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry("brno-a").unwrap();
    fleet.engine("prefill", "brno-a", &[]).unwrap();
    for _ in 0..decodes {
        fleet.engine("decode", "brno-b", &[]).unwrap();
    }
    fleet.wait_ready().unwrap();
    fleet
}

/// Returns the index of the decode endpoint that runs a request.
fn busy_decode(fleet: &Fleet) -> usize {
    let idle = serde_json::json!([]);
    let busy = |e: &usize| fleet.endpoints[*e].counts().is_ok_and(|c| c["running"] != idle);
    (1..fleet.endpoints.len()).find(busy).unwrap()
}

#[test]
fn stream_continues_at_another_endpoint_after_its_engine_or_agent_was_killed() {
    for agent in [false, true] {
        let mut fleet = model_fleet(2);
        let expected = fleet.stream(0, "rivers", TOKENS).unwrap();
        let mut stream = open_stream(&fleet.entries[0].url, "rivers", TOKENS).unwrap();
        let mut begin = String::new();
        for _ in 0..10 {
            begin.push_str(&text_of(&stream.next_event().unwrap().unwrap()));
        }
        let decode = busy_decode(&fleet);
        match agent {
            true => fleet.endpoints[decode].agent.kill(),
            false => fleet.endpoints[decode].stand_in.kill(),
        }
        let rest = stream.read_all().unwrap();
        assert!(rest.done, "{rest:?}");
        assert_eq!(begin + &rest.text, expected.text);
    }
}

fn text_of(event: &str) -> String {
    let event: serde_json::Value = serde_json::from_str(event).unwrap();
    event["choices"][0]["text"].as_str().unwrap_or_default().to_string()
}

#[test]
fn stream_moves_to_another_endpoint_when_its_transfer_stalls() {
    let fleet = model_fleet(2);
    let expected = fleet.stream(0, "rivers", TOKENS).unwrap();
    // The transfer takes far longer than the time after which an import counts as stalled.
    fleet.endpoints[1].fault(serde_json::json!({ "transfer_stall_ms": 20_000 })).unwrap();
    for _ in 0..2 {
        let streamed = fleet.stream(0, "rivers", TOKENS).unwrap();
        assert!(streamed.done, "{streamed:?}");
        assert_eq!(streamed.text, expected.text);
    }
}

#[test]
fn json_answer_that_fails_after_its_start_contains_the_error() {
    let mut fleet = model_fleet(1);
    let url = fleet.entries[0].url.clone();
    let body = r#"{"model":"cs-summary","prompt":"rivers","max_tokens":2000}"#;
    let path = "/v1/completions";
    let caller = std::thread::spawn(move || common::call(&url, "POST", path, &[], body).unwrap());
    let zero = serde_json::json!(0);
    common::wait_for(Duration::from_secs(10), || {
        let tokens = fleet.endpoints[1].counts()?["tokens"].clone();
        eyre::ensure!(tokens != zero, "no token yet");
        Ok(())
    })
    .unwrap();
    fleet.endpoints[1].stand_in.kill();
    let answer = caller.join().unwrap();
    let json: serde_json::Value = serde_json::from_str(answer.body.trim()).unwrap();
    assert_eq!(json["error"]["ran"], "maybe", "{answer:?}");
    assert!(json.get("choices").is_none(), "{answer:?}");
}

/// Prefills start but never end, so the lease of the decode reservation expires.
#[test]
fn call_whose_prefill_ran_is_not_reported_as_not_run() {
    let mut test = Test::new(Variant::RoundRobin);
    test.settle();
    test.call(0, PROMPTS[0], 60, None);
    for _ in 0..100 {
        test.settle();
        let waits = test.engines.jobs.iter().position(|j| !j.started);
        waits.into_iter().for_each(|job| test.engines.advance_job(&mut test.world, job));
        test.world.advance(Duration::from_millis(200));
    }
    test.settle();
    assert!(!test.engines.ran.is_empty());
    test.check_outcomes();
    let outcome = test.callers.values().next().unwrap().outcome.clone();
    assert!(matches!(outcome, Some(Terminal::Refused(_))), "{outcome:?}");
}
