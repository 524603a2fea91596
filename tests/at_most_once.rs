//! A request that may not be repeated runs at most once, and a refusal as "not run" is truthful.
//!
//! A second run can come about when a caller retries at another entry, an exchange breaks or a
//! process is killed while the outcome of the first run is not known.

mod common;
mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::{Answer as HttpAnswer, Fleet, call, wait_for};
use dotterelpin::agent::engine::{EngineEffect, EngineInput, Work};
use dotterelpin::agent::settle::Settlements;
use dotterelpin::control::claims::{Claim, ClaimKey, ClaimReply, Claims, MAX_KEPT_BYTES};
use dotterelpin::control::config::Revised;
use dotterelpin::entry::check::RawCall;
use dotterelpin::entry::place::Variant;
use dotterelpin::entry::{CallerEffect, Terminal};
use dotterelpin::link::message::{AgentRequest, Answer, Envelope, Request, Settled};
use dotterelpin::model::{
    Announcement, BootId, CallId, Capacity, EndpointKind, Ran, RefusalReason, RequestId, Timestamp,
};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use world::{Node, World, runner, variant};

const ENTRIES: usize = 2;
const AGENTS: usize = 2;
const KEYS: u8 = 2;
const DEADLINE_MS: u64 = 20_000;
const SHORT_DEADLINE_MS: u64 = 900;

/// One step of the fuzz test.
#[derive(Debug, Clone)]
enum Op {
    Call {
        entry: usize,
        key: u8,
        changed: bool,
        short: bool,
    },
    CallWithoutKey {
        entry: usize,
    },
    Deliver(usize),
    /// Perform the oldest pending delivery this many times.
    DeliverOldest(usize),
    Run(usize),
    Answer(usize),
    Fail {
        work: usize,
        refused: bool,
    },
    DisconnectCaller(usize),
    Repeat(usize),
    Break(usize),
    Silence(usize),
    DropProposal(usize),
    Quorum(bool),
    Kill(Node),
    Restart(Node),
    AdvanceTime(u64),
    /// Signals a role that was to be told so many milliseconds before.
    Stop {
        node: Node,
        late: u64,
    },
}

fn node() -> impl Strategy<Value = Node> {
    prop_oneof![(0..ENTRIES).prop_map(Node::Entry), (0..AGENTS).prop_map(Node::Agent)]
}

fn op() -> impl Strategy<Value = Op> {
    let pick = || 0..16_usize;
    prop_oneof![
        6 => (0..ENTRIES, 0..KEYS, proptest::bool::weighted(0.1), any::<bool>()).prop_map(
            |(entry, key, changed, short)| Op::Call { entry, key, changed, short }),
        1 => (0..ENTRIES).prop_map(|entry| Op::CallWithoutKey { entry }),
        30 => pick().prop_map(Op::Deliver),
        12 => (0..12_usize).prop_map(Op::DeliverOldest),
        8 => pick().prop_map(Op::Run),
        8 => pick().prop_map(Op::Answer),
        2 => (pick(), any::<bool>()).prop_map(|(work, refused)| Op::Fail { work, refused }),
        1 => pick().prop_map(Op::DisconnectCaller),
        1 => pick().prop_map(Op::Repeat),
        2 => pick().prop_map(Op::Break),
        1 => pick().prop_map(Op::Silence),
        1 => pick().prop_map(Op::DropProposal),
        1 => proptest::bool::weighted(0.7).prop_map(Op::Quorum),
        2 => node().prop_map(Op::Kill),
        3 => node().prop_map(Op::Restart),
        5 => prop_oneof![4 => Just(30), 2 => Just(300), 2 => Just(1_100), 1 => Just(2_500)]
            .prop_map(Op::AdvanceTime),
    ]
}

/// A call at the fake service, started or not.
struct ServiceWork {
    agent: usize,
    boot: BootId,
    request: RequestId,
    content: String,
    started: bool,
}

/// The world with the fake service and the record of runs and outcomes.
struct Test {
    world: World,
    work: Vec<ServiceWork>,
    calls: BTreeMap<(BootId, CallId), String>,
    ended: BTreeMap<(BootId, CallId), Terminal>,
    /// The number of runs of each content.
    runs: BTreeMap<String, u32>,
    ran: BTreeSet<(BootId, CallId)>,
    disconnected: BTreeSet<(BootId, CallId)>,
    count: usize,
}

impl Test {
    fn new(variant: Variant) -> Test {
        let announcement = Announcement {
            url: "http://127.0.0.1:9".into(),
            kind: EndpointKind::Service,
            pool: "classroom".into(),
            capacity: Capacity { slots: 4, pieces: 4, piece_tokens: 1 },
            fenced: false,
            artifact: None,
            boot: BootId(0),
            software: "".into(),
        };
        Test {
            world: World::new(variant, ENTRIES, vec![announcement; AGENTS]),
            work: Vec::new(),
            calls: BTreeMap::new(),
            ended: BTreeMap::new(),
            runs: BTreeMap::new(),
            ran: BTreeSet::new(),
            disconnected: BTreeSet::new(),
            count: 0,
        }
    }

    fn call(
        &mut self,
        entry: usize,
        key: Option<&str>,
        content: String,
        deadline: u64,
    ) -> Option<OwnedCallId> {
        let mut headers = BTreeMap::from([("authorization".into(), "Bearer secret".into())]);
        headers.extend(key.map(|k| ("idempotency-key".into(), k.into())));
        headers.insert("x-dotterelpin-deadline-ms".into(), deadline.to_string().into());
        let raw = RawCall {
            method: "POST".into(),
            path: "/services/classroom/tap".into(),
            headers,
            content: content.clone().into_bytes(),
        };
        let id = self.world.call(entry, raw)?;
        self.calls.insert(id, content);
        Some(id)
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Call { entry, key, changed, short } => {
                let suffix = if changed { "-changed" } else { "" };
                let key = format!("key-{key}");
                let deadline = if short { SHORT_DEADLINE_MS } else { DEADLINE_MS };
                self.call(entry, Some(&key), format!("{key}{suffix}"), deadline);
            }
            Op::CallWithoutKey { entry } => {
                self.count += 1;
                self.call(entry, None, format!("unkeyed-{}", self.count), SHORT_DEADLINE_MS);
            }
            Op::Deliver(pick) => {
                self.world.deliver(pick);
            }
            Op::DeliverOldest(count) => (0..count).for_each(|_| {
                self.world.deliver(0);
            }),
            Op::Run(pick) => self.run(pick),
            Op::Answer(pick) => self.answer(pick),
            Op::Fail { work, refused } => self.fail(work, refused),
            Op::DisconnectCaller(pick) => {
                let open = self.calls.keys().filter(|c| !self.ended.contains_key(c));
                let open: Vec<_> = open.copied().collect();
                if let Some(id) = open.get(pick % open.len().max(1)) {
                    self.disconnected.insert(*id);
                    self.world.disconnect_caller(id.0, id.1);
                }
            }
            Op::Repeat(pick) => self.repeat(pick),
            Op::Break(pick) => self.world.break_stream(pick),
            Op::Silence(pick) => self.world.silence(pick),
            Op::DropProposal(pick) => self.world.drop_proposal(pick),
            Op::Quorum(quorum) => self.world.quorum = quorum,
            Op::Kill(node) => self.world.kill(node),
            Op::Restart(node) => self.world.restart(node),
            Op::Stop { node, late } => {
                let since = self.world.now.as_micros() - late * 1_000;
                self.world.shut_down(node, Timestamp::from_micros(since));
            }
            Op::AdvanceTime(ms) => self.world.advance(Duration::from_millis(ms)),
        }
        self.collect();
    }

    /// Collects the effects of agents and entries, and checks the outcomes of calls.
    fn collect(&mut self) {
        for (agent, boot, effect) in std::mem::take(&mut self.world.engine_effects) {
            if let EngineEffect::Start { request, work: Work::Call { body, .. } } = effect {
                let content = String::from_utf8(body.content).unwrap();
                self.work.push(ServiceWork { agent, boot, request, content, started: false });
            }
        }
        for (boot, effect) in std::mem::take(&mut self.world.caller_effects) {
            if let CallerEffect::Finish { call, outcome } = effect {
                self.check_outcome((boot, call), &outcome);
                let before = self.ended.insert((boot, call), outcome);
                assert!(before.is_none(), "call {call} has two terminal outcomes");
            }
        }
    }

    fn check_outcome(&self, id: OwnedCallId, outcome: &Terminal) {
        let content = &self.calls[&id];
        match outcome {
            Terminal::Answered(answer) => {
                let text = String::from_utf8_lossy(&answer.content);
                assert_eq!(
                    text,
                    expected_answer(content),
                    "answer of another call, or incomplete, for {id:?}"
                );
            }
            Terminal::Generated { .. } => panic!("a service call ended with generated tokens"),
            Terminal::Refused(refusal) if refusal.ran == Ran::No => {
                assert!(
                    !self.ran.contains(&id),
                    "{id:?} was refused as \"not run\", but it ran: {refusal}"
                );
                let count = self.runs.get(content).copied().unwrap_or(0);
                assert_eq!(
                    count, 0,
                    "{id:?} was refused as \"not run\", but its key ran: {refusal}"
                );
            }
            Terminal::Refused(refusal) => {
                let count = self.runs.get(content).copied().unwrap_or(0);
                assert!(
                    refusal.ran != Ran::Yes || count == 1,
                    "{id:?} was refused as run, but ran {count} times: {refusal}"
                );
            }
        }
    }

    fn run(&mut self, pick: usize) {
        let count = self.work.len().max(1);
        let Some(work) = self.work.get_mut(pick % count).filter(|w| !w.started) else { return };
        work.started = true;
        let id = (work.request.owner, work.request.call);
        let runs = self.runs.entry(work.content.clone()).or_default();
        *runs += 1;
        assert!(*runs <= 1, "{} ran twice", work.content);
        self.ran.insert(id);
        if let Some(Terminal::Refused(refusal)) = self.ended.get(&id) {
            assert_ne!(refusal.ran, Ran::No, "{id:?} ran after it was refused as \"not run\"");
        }
    }

    fn answer(&mut self, pick: usize) {
        let index = pick % self.work.len().max(1);
        if self.work.get(index).is_none_or(|w| !w.started) {
            return;
        }
        let ServiceWork { agent, boot, request, content, .. } = self.work.remove(index);
        let answer = Answer {
            status: 200,
            media: "text/plain".into(),
            content: expected_answer(&content).into_bytes(),
        };
        self.world.engine_input(agent, boot, EngineInput::Answered { request, answer });
    }

    /// Fails a call: the service refuses the connection, or the connection breaks later.
    fn fail(&mut self, pick: usize, refused: bool) {
        let index = pick % self.work.len().max(1);
        if self.work.get(index).is_none_or(|w| w.started && refused) {
            return;
        }
        let ServiceWork { agent, boot, request, .. } = self.work.remove(index);
        let ran = if refused { Ran::No } else { Ran::Maybe };
        let detail = "connection".into();
        self.world.engine_input(agent, boot, EngineInput::Failed { request, ran, detail });
    }

    /// Delivers a call that an agent has received to it again, on another exchange.
    fn repeat(&mut self, pick: usize) {
        let calls = self
            .world
            .first_requests
            .iter()
            .filter(|(_, e)| matches!(&e.body, Request::Agent(AgentRequest::Call { .. })));
        let calls: Vec<_> = calls.cloned().collect();
        if let Some((agent, envelope)) = calls.get(pick % calls.len().max(1)) {
            self.world.inject_request(*agent, envelope.clone());
        }
    }

    /// Ends all faults, then calls once more with each key and checks that no key is still held.
    fn finish(&mut self) {
        self.world.heal();
        self.run_to_end();
        let open: Vec<_> = self.calls.keys().filter(|c| !self.ended.contains_key(c)).collect();
        let waits =
            |c: &OwnedCallId| self.world.is_owner_alive(c.0) && !self.disconnected.contains(c);
        assert!(
            !open.iter().any(|c| waits(c)),
            "calls without an outcome, of which at least one has a live entry and caller: {open:?}"
        );
        for key in 0..KEYS {
            let key = format!("key-{key}");
            let id = self.call(0, Some(&key), key.clone(), DEADLINE_MS).unwrap();
            self.run_to_end();
            let outcome = &self.ended[&id];
            if let Terminal::Refused(refusal) = outcome {
                assert_ne!(
                    refusal.reason,
                    RefusalReason::InProgress,
                    "{key} is still held: {refusal}"
                );
            }
        }
    }

    /// Delivers every message and answers every call during 25 simulated seconds.
    fn run_to_end(&mut self) {
        for _ in 0..250 {
            while self.world.deliver(0) {
                self.collect();
            }
            while !self.work.is_empty() {
                self.run(0);
                self.answer(0);
                self.collect();
            }
            self.world.advance(Duration::from_millis(100));
            self.collect();
        }
    }
}

/// A call, with the boot of the entry that owns it.
type OwnedCallId = (BootId, CallId);

/// Returns the answer to a content; that to the second key is too large to be kept with its claim.
fn expected_answer(content: &str) -> String {
    let size = if content.starts_with("key-1") { MAX_KEPT_BYTES } else { 0 };
    format!("{content}: done{:size$}", "")
}

#[test]
fn requests_run_at_most_once_and_not_run_is_truthful() {
    runner(1, 400)
        .run(&(variant(), vec(op(), 0..240)), |(variant, ops)| {
            let mut test = Test::new(variant);
            for op in &ops {
                test.apply(op);
            }
            test.finish();
            Ok(())
        })
        .unwrap();
}

/// Steps among which roles stop.
fn op_with_stops() -> impl Strategy<Value = Op> {
    let late = prop_oneof![2 => Just(0), 1 => Just(2_000), 1 => Just(7_000)];
    prop_oneof![
        40 => op(),
        1 => (node(), late).prop_map(|(node, late)| Op::Stop { node, late }),
        2 => prop_oneof![Just(3_000), Just(7_000)].prop_map(Op::AdvanceTime),
    ]
}

/// Fails if a call of a role that stops ends without an outcome, runs twice, or is refused as not
/// run although it ran; or if the role does not end by itself.
#[test]
fn call_at_a_role_that_stops_gets_no_outcome_or_an_untrue_one() {
    runner(24, 400)
        .run(&(variant(), vec(op_with_stops(), 0..300)), |(variant, ops)| {
            let mut test = Test::new(variant);
            for op in &ops {
                test.apply(op);
            }
            test.run_to_end();
            test.world.check_stops();
            let lost = |c: &OwnedCallId| {
                let stopped = test.world.stopped.contains_key(&c.0);
                stopped && !test.ended.contains_key(c) && !test.disconnected.contains(c)
            };
            let lost: Vec<_> = test.calls.keys().filter(|c| lost(c)).collect();
            assert!(lost.is_empty(), "calls without an outcome at entries that ended: {lost:?}");
            test.finish();
            Ok(())
        })
        .unwrap();
}

#[test]
fn claims_are_retained_by_the_timestamps_of_the_commands() {
    let retention = Duration::from_secs(60);
    let key = |name: &str| ClaimKey { tenant: "tabulka".into(), key: name.into() };
    let claim = |call: u64, second: u64| Claim {
        request: RequestId { owner: BootId(1), call: CallId(call), attempt: 1 },
        hash: call,
        target: None,
        until: Timestamp::MAX,
        made: Timestamp::from_micros(second * 1_000_000),
    };
    let mut claims = Claims::default();
    assert_eq!(claims.claim(&key("tap-1"), &claim(1, 100)), ClaimReply::Granted);
    claims.expire(Timestamp::from_micros(160_000_000), retention);
    assert!(matches!(claims.claim(&key("tap-1"), &claim(2, 160)), ClaimReply::Held(_)));
    claims.expire(Timestamp::from_micros(160_000_001), retention);
    assert!(claims.is_empty());
}

#[test]
fn end_that_was_evicted_is_reported_as_unknown() {
    let request = |call| RequestId { owner: BootId(1), call: CallId(call), attempt: 1 };
    let mut settlements = Settlements::default();
    for call in 1..=10_000 {
        settlements.record(request(call), Settled::FinishedLarge { status: 200 });
    }
    assert_eq!(settlements.settle(request(1)), Settled::Unknown);
    assert!(settlements.may_have_run(request(1)));
    assert_eq!(settlements.settle(request(10_000)), Settled::FinishedLarge { status: 200 });
    assert_eq!(settlements.settle(request(10_001)), Settled::NotStarted);
}

/// An agent may receive the request to settle an attempt before the call itself, which must not be
/// started then.
#[test]
fn attempt_that_was_settled_as_not_started_never_starts() {
    let mut test = Test::new(Variant::RoundRobin);
    let (owner, call) =
        test.call(0, Some("key-0"), "key-0".into(), DEADLINE_MS).expect("the entry accepts calls");
    let request = RequestId { owner, call, attempt: 1 };
    for agent in 0..AGENTS {
        let boot = test.world.agent_boot(agent);
        let body = Request::Agent(AgentRequest::Settle { request, boot });
        test.world.inject_request(agent, Envelope { revised: Revised::default(), body });
    }
    while test.world.deliver(0) {
        test.collect();
    }
    assert!(
        test.work.iter().all(|w| w.request != request),
        "{request} started after it was settled as not started"
    );
    test.finish();
}

/// Starts a fleet with a service slow enough that processes can be killed during a call; returns
/// the service's index too.
fn slow_service() -> (Fleet, usize) {
    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry("brno-a").unwrap();
    fleet.entry("brno-b").unwrap();
    let service = fleet.service("brno-a", &["--work-ms", "1500"]).unwrap();
    fleet.wait_ready().unwrap();
    (fleet, service)
}

/// Sends a tap to the first entry from a thread, and returns once the service has started it.
fn tap_until_started(fleet: &Fleet, service: usize) -> std::thread::JoinHandle<Option<HttpAnswer>> {
    let url = fleet.entries[0].url.clone();
    let caller = std::thread::spawn(move || tap(&url));
    wait_for(Duration::from_secs(10), || {
        let counts = fleet.endpoints[service].counts()?;
        eyre::ensure!(counts["pupil-7"] == 1, "counts: {counts}");
        Ok(())
    })
    .unwrap();
    caller
}

fn tap(url: &str) -> Option<HttpAnswer> {
    let key = [("idempotency-key", "tap-1")];
    call(url, "POST", "/services/classroom/tap", &key, "pupil-7").ok()
}

/// Sends the tap to the second entry until its key is no longer in progress.
fn tap_again(fleet: &Fleet) -> HttpAnswer {
    wait_for(Duration::from_secs(20), || {
        let answer = tap(&fleet.entries[1].url).ok_or_else(|| eyre::eyre!("no answer"))?;
        eyre::ensure!(answer.status != 409 && answer.status != 503, "{answer:?}");
        Ok(answer)
    })
    .unwrap()
}

/// A commit may take longer than an entry waits for a member before it sends the claim again, if it
/// takes less than the entry waits for the claim as a whole.
#[test]
fn claim_is_granted_although_each_commit_outlasts_a_resend() {
    for commit_ms in [400, 600, 900, 1_500] {
        let mut test = Test::new(Variant::RoundRobin);
        let id = test.call(0, Some("key-0"), "key-0".into(), DEADLINE_MS).unwrap();
        // Without a quorum `deliver` passes on messages only, so that commits are made here.
        test.world.quorum = false;
        for elapsed_ms in (100..=1_900).step_by(100) {
            while test.world.deliver(0) {}
            test.world.advance(Duration::from_millis(100));
            while test.world.deliver(0) {}
            if elapsed_ms % commit_ms == 0 {
                test.world.quorum = true;
                test.world.deliver(0);
                test.world.quorum = false;
                while test.world.deliver(0) {}
            }
            test.collect();
        }
        let work = test.work.iter().filter(|w| w.content == "key-0").count();
        assert_eq!(work, 1, "{commit_ms} ms: the call did not reach its endpoint once");
        assert!(!test.ended.contains_key(&id), "{commit_ms} ms: the call has ended");
    }
}

#[test]
fn tap_is_answered_after_its_entry_was_killed() {
    let (mut fleet, service) = slow_service();
    let caller = tap_until_started(&fleet, service);
    fleet.entries[0].process.kill();
    assert!(
        caller.join().unwrap().is_none(),
        "the first caller received an answer from a killed entry"
    );
    let answer = tap_again(&fleet);
    assert_eq!((answer.status, answer.ran.as_deref()), (200, Some("yes")), "{answer:?}");
    assert!(answer.body.contains("\"run\":1"), "{answer:?}");
    assert_eq!(fleet.endpoints[service].counts().unwrap()["pupil-7"], 1);
}

#[test]
fn tap_whose_agent_was_killed_is_not_run_again() {
    let (mut fleet, service) = slow_service();
    let caller = tap_until_started(&fleet, service);
    fleet.endpoints[service].agent.restart().unwrap();
    let first = caller.join().unwrap().unwrap();
    assert_eq!(first.ran.as_deref(), Some("maybe"), "{first:?}");
    let again = tap_again(&fleet);
    assert_eq!(again.ran.as_deref(), Some("maybe"), "{again:?}");
    assert_eq!(fleet.endpoints[service].counts().unwrap()["pupil-7"], 1);
}
