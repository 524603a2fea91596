//! A request that may not be repeated runs at most once, and "not run" is true.

mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterelpin::agent::engine::{EngineEffect, EngineInput, Work};
use dotterelpin::entry::check::RawCall;
use dotterelpin::entry::{CallerEffect, Terminal};
use dotterelpin::link::message::{AgentRequest, Answer, Request};
use dotterelpin::model::{
    Announcement, BootId, CallId, Capacity, EndpointKind, Ran, RefusalReason, RequestId,
};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use world::{Node, World, runner};

const ENTRIES: usize = 2;
const AGENTS: usize = 2;
const KEYS: u8 = 2;
const DEADLINE_MS: u64 = 20_000;
const HURRIED_MS: u64 = 900;

/// One step of the fuzz.
#[derive(Debug, Clone)]
enum Op {
    Call {
        entry: usize,
        key: u8,
        changed: bool,
        hurried: bool,
    },
    CallWithoutKey {
        entry: usize,
    },
    Deliver(usize),
    /// Deliver so many of the oldest messages.
    Flow(usize),
    Run(usize),
    Answer(usize),
    Fail {
        work: usize,
        refused: bool,
    },
    Gone(usize),
    Repeat(usize),
    Break(usize),
    Silence(usize),
    DropProposal(usize),
    Quorum(bool),
    Kill(Node),
    Restart(Node),
    Pass(u64),
}

fn node() -> impl Strategy<Value = Node> {
    prop_oneof![(0..ENTRIES).prop_map(Node::Entry), (0..AGENTS).prop_map(Node::Agent)]
}

fn op() -> impl Strategy<Value = Op> {
    let pick = || 0..16_usize;
    prop_oneof![
        6 => (0..ENTRIES, 0..KEYS, proptest::bool::weighted(0.1), any::<bool>()).prop_map(
            |(entry, key, changed, hurried)| Op::Call { entry, key, changed, hurried }),
        1 => (0..ENTRIES).prop_map(|entry| Op::CallWithoutKey { entry }),
        30 => pick().prop_map(Op::Deliver),
        12 => (0..12_usize).prop_map(Op::Flow),
        8 => pick().prop_map(Op::Run),
        8 => pick().prop_map(Op::Answer),
        2 => (pick(), any::<bool>()).prop_map(|(work, refused)| Op::Fail { work, refused }),
        1 => pick().prop_map(Op::Gone),
        1 => pick().prop_map(Op::Repeat),
        2 => pick().prop_map(Op::Break),
        1 => pick().prop_map(Op::Silence),
        1 => pick().prop_map(Op::DropProposal),
        1 => proptest::bool::weighted(0.7).prop_map(Op::Quorum),
        2 => node().prop_map(Op::Kill),
        3 => node().prop_map(Op::Restart),
        5 => prop_oneof![4 => Just(30), 2 => Just(300), 2 => Just(1_100), 1 => Just(2_500)].prop_map(Op::Pass),
    ]
}

/// A call at the fake service: not started, or running.
struct ServiceWork {
    agent: usize,
    boot: BootId,
    request: RequestId,
    content: String,
    started: bool,
}

/// The world with the fake service and the oracle.
struct Test {
    world: World,
    work: Vec<ServiceWork>,
    calls: BTreeMap<(BootId, CallId), String>,
    ended: BTreeMap<(BootId, CallId), Terminal>,
    /// How often each content ran.
    runs: BTreeMap<String, u32>,
    ran: BTreeSet<(BootId, CallId)>,
    gone: BTreeSet<(BootId, CallId)>,
    count: usize,
}

impl Test {
    fn new() -> Test {
        let announcement = Announcement {
            url: "http://127.0.0.1:9".into(),
            kind: EndpointKind::Service,
            pool: "classroom".into(),
            capacity: Capacity { slots: 4, pieces: 4, piece_tokens: 1 },
            fenced: false,
            artifact: None,
            boot: BootId(0),
        };
        Test {
            world: World::new(ENTRIES, vec![announcement; AGENTS]),
            work: Vec::new(),
            calls: BTreeMap::new(),
            ended: BTreeMap::new(),
            runs: BTreeMap::new(),
            ran: BTreeSet::new(),
            gone: BTreeSet::new(),
            count: 0,
        }
    }

    fn call(
        &mut self,
        entry: usize,
        key: Option<&str>,
        content: String,
        deadline: u64,
    ) -> Option<CallName> {
        let mut headers = BTreeMap::from([("authorization".into(), "Bearer secret".into())]);
        headers.extend(key.map(|k| ("idempotency-key".into(), k.into())));
        headers.insert("x-dotterelpin-deadline-ms".into(), deadline.to_string().into());
        let raw = RawCall {
            method: "POST".into(),
            path: "/services/classroom/tap".into(),
            headers,
            content: content.clone().into_bytes(),
        };
        let name = self.world.call(entry, raw)?;
        self.calls.insert(name, content);
        Some(name)
    }

    fn apply(&mut self, op: &Op) {
        match *op {
            Op::Call { entry, key, changed, hurried } => {
                let suffix = if changed { "-changed" } else { "" };
                let key = format!("key-{key}");
                let deadline = if hurried { HURRIED_MS } else { DEADLINE_MS };
                self.call(entry, Some(&key), format!("{key}{suffix}"), deadline);
            }
            Op::CallWithoutKey { entry } => {
                self.count += 1;
                self.call(entry, None, format!("unkeyed-{}", self.count), HURRIED_MS);
            }
            Op::Deliver(pick) => {
                self.world.deliver(pick);
            }
            Op::Flow(count) => (0..count).for_each(|_| {
                self.world.deliver(0);
            }),
            Op::Run(pick) => self.run(pick),
            Op::Answer(pick) => self.answer(pick),
            Op::Fail { work, refused } => self.fail(work, refused),
            Op::Gone(pick) => {
                let open = self.calls.keys().filter(|c| !self.ended.contains_key(c));
                let open: Vec<_> = open.copied().collect();
                if let Some(name) = open.get(pick % open.len().max(1)) {
                    self.gone.insert(*name);
                    self.world.gone(name.0, name.1);
                }
            }
            Op::Repeat(pick) => self.repeat(pick),
            Op::Break(pick) => self.world.break_stream(pick),
            Op::Silence(pick) => self.world.silence(pick),
            Op::DropProposal(pick) => self.world.drop_proposal(pick),
            Op::Quorum(quorum) => self.world.quorum = quorum,
            Op::Kill(node) => self.world.kill(node),
            Op::Restart(node) => self.world.restart(node),
            Op::Pass(ms) => self.world.advance(Duration::from_millis(ms)),
        }
        self.collect();
    }

    /// Takes what agents and entries have put out, and checks it.
    fn collect(&mut self) {
        for (agent, boot, effect) in std::mem::take(&mut self.world.effects) {
            if let EngineEffect::Start { request, work: Work::Call { body, .. } } = effect {
                let content = String::from_utf8(body.content).unwrap();
                self.work.push(ServiceWork { agent, boot, request, content, started: false });
            }
        }
        for (boot, effect) in std::mem::take(&mut self.world.told) {
            if let CallerEffect::Finish { call, outcome } = effect {
                self.check((boot, call), &outcome);
                let before = self.ended.insert((boot, call), outcome);
                assert!(before.is_none(), "call {call} has two terminal outcomes");
            }
        }
    }

    fn check(&self, name: CallName, outcome: &Terminal) {
        let content = &self.calls[&name];
        match outcome {
            Terminal::Answered(answer) => {
                let text = String::from_utf8_lossy(&answer.content);
                assert_eq!(text, whole_answer(content), "answer of another call, or in part");
            }
            Terminal::Generated { .. } => panic!("a service generates nothing"),
            Terminal::Refused(refusal) if refusal.ran == Ran::No => {
                assert!(!self.ran.contains(&name), "\"not run\", but it ran: {refusal}");
                let count = self.runs.get(content).copied().unwrap_or(0);
                assert_eq!(count, 0, "\"not run\", but its key ran: {refusal}");
            }
            Terminal::Refused(_) => {}
        }
    }

    fn run(&mut self, pick: usize) {
        let count = self.work.len().max(1);
        let Some(work) = self.work.get_mut(pick % count).filter(|w| !w.started) else { return };
        work.started = true;
        let name = (work.request.owner, work.request.call);
        let runs = self.runs.entry(work.content.clone()).or_default();
        *runs += 1;
        assert!(*runs <= 1, "{} ran twice", work.content);
        self.ran.insert(name);
        if let Some(Terminal::Refused(refusal)) = self.ended.get(&name) {
            assert_ne!(refusal.ran, Ran::No, "ran after \"not run\"");
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
            content: whole_answer(&content).into_bytes(),
        };
        self.world.engine(agent, boot, EngineInput::Answered { request, answer });
    }

    /// The service refuses the connection, or the connection breaks at any later time.
    fn fail(&mut self, pick: usize, refused: bool) {
        let index = pick % self.work.len().max(1);
        if self.work.get(index).is_none_or(|w| w.started && refused) {
            return;
        }
        let ServiceWork { agent, boot, request, .. } = self.work.remove(index);
        let ran = if refused { Ran::No } else { Ran::Maybe };
        let detail = "connection".into();
        self.world.engine(agent, boot, EngineInput::Failed { request, ran, detail });
    }

    /// A call that an agent has got comes to it again on another exchange.
    fn repeat(&mut self, pick: usize) {
        let calls = self
            .world
            .seen
            .iter()
            .filter(|(_, e)| matches!(&e.body, Request::Agent(AgentRequest::Call { .. })));
        let calls: Vec<_> = calls.cloned().collect();
        if let Some((agent, envelope)) = calls.get(pick % calls.len().max(1)) {
            self.world.repeat(*agent, envelope.clone());
        }
    }

    /// Ends all faults, then presses each key again until it has an outcome.
    fn finish(&mut self) {
        self.world.heal();
        self.settle_down();
        let open: Vec<_> = self.calls.keys().filter(|c| !self.ended.contains_key(c)).collect();
        let waits = |c: &CallName| self.world.is_owner_alive(c.0) && !self.gone.contains(c);
        assert!(!open.iter().any(|c| waits(c)), "no outcome: {open:?}");
        for key in 0..KEYS {
            let key = format!("key-{key}");
            let name = self.call(0, Some(&key), key.clone(), DEADLINE_MS).unwrap();
            self.settle_down();
            let outcome = &self.ended[&name];
            if let Terminal::Refused(refusal) = outcome {
                assert_ne!(refusal.reason, RefusalReason::InProgress, "the key is held for ever");
            }
        }
    }

    fn settle_down(&mut self) {
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

type CallName = (BootId, CallId);

fn whole_answer(content: &str) -> String {
    format!("{content}: done")
}

#[test]
fn no_request_runs_twice_and_not_run_is_true() {
    runner(1, 400)
        .run(&vec(op(), 0..240), |ops| {
            let mut test = Test::new();
            for op in &ops {
                test.apply(op);
            }
            test.finish();
            Ok(())
        })
        .unwrap();
}
