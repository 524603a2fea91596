//! The grace period of entries and agents in simulated time: whatever is open when it ends gets a
//! truthful answer, engine memory is freed, and the process ends by itself before it is killed.

mod world;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterelpin::agent::engine::{EngineEffect, EngineInput, Work};
use dotterelpin::agent::{Agent, AgentSettings};
use dotterelpin::entry::check::RawCall;
use dotterelpin::entry::place::Variant;
use dotterelpin::entry::{CallerEffect, Terminal};
use dotterelpin::link::message::{AgentReply, AgentRequest, Envelope, Export, Reply, Request};
use dotterelpin::model::{
    BootId, CallId, Class, EndpointKind, InboundId, Ran, Refusal, RefusalReason, RequestId,
    Timestamp,
};
use dotterelpin::registry::FollowerSettings;
use dotterelpin::role::{Input, Output, Role};
use world::engine::announcement;
use world::{GRACE, Node, World};

const ENTRY: Node = Node::Entry(0);
const PREFILL: Node = Node::Agent(0);
const DECODE: Node = Node::Agent(1);
/// The step of simulated time.
const STEP: Duration = Duration::from_millis(20);
/// How often an engine sends a token.
const TOKEN_INTERVAL: Duration = Duration::from_millis(100);
/// By when all open calls have their answers.
const ANSWERED: Duration = Duration::from_millis(7_500);
/// What is left of the grace period for connections at its end.
const CLOSE_TIME: Duration = Duration::from_millis(250);

type Owned = (BootId, CallId);

/// How the engines behave.
#[derive(Debug, Clone, Copy)]
struct Conduct {
    /// Whether cancels are confirmed.
    confirms: bool,
}

/// A world with a prefill and a decode engine that send a token each [`TOKEN_INTERVAL`].
struct Fleet {
    world: World,
    conduct: Conduct,
    /// The decode streams, with the agent, the next offset and when it is due.
    streams: BTreeMap<RequestId, (usize, BootId, u32, Timestamp)>,
    cancelled: BTreeSet<RequestId>,
    outcomes: BTreeMap<Owned, (Timestamp, Terminal)>,
}

impl Fleet {
    fn new(conduct: Conduct) -> Fleet {
        let engines = [EndpointKind::Prefill, EndpointKind::Decode].map(announcement).to_vec();
        let mut world = World::new(Variant::Prefix, 1, engines);
        // Calls may wait for longer than the grace period.
        world.configure("call.first_token_ms", "60000");
        world.advance(Duration::from_secs(2));
        Fleet {
            world,
            conduct,
            streams: BTreeMap::new(),
            cancelled: BTreeSet::new(),
            outcomes: BTreeMap::new(),
        }
    }

    fn call(&mut self, tokens: u32) -> Owned {
        let body =
            serde_json::json!({ "model": "cs-summary", "prompt": "p", "max_tokens": tokens });
        let raw = RawCall {
            method: "POST".into(),
            path: "/v1/completions".into(),
            headers: BTreeMap::from([("authorization".into(), "Bearer secret".into())]),
            content: body.to_string().into_bytes(),
        };
        self.world.call(0, raw).expect("the entry is alive")
    }

    /// Delivers all messages and lets the engines work for a time.
    fn play(&mut self, time: Duration) {
        let until = self.world.now + time;
        while self.world.now < until {
            self.settle();
            self.world.advance(STEP);
            self.send_tokens();
            self.settle();
        }
    }

    fn settle(&mut self) {
        loop {
            while self.world.deliver(0) {}
            self.collect_outcomes();
            let Some((agent, boot, effect)) = self.world.engine_effects.pop_front() else { return };
            self.execute(agent, boot, effect);
        }
    }

    fn execute(&mut self, agent: usize, boot: BootId, effect: EngineEffect) {
        match effect {
            EngineEffect::Start { request, work: Work::Prefill { .. } } => {
                let name = request.to_string().into();
                let export = Export { url: "".into(), name, tokens: 1 };
                self.world.engine_input(agent, boot, EngineInput::Exported { request, export });
            }
            EngineEffect::Start { request, .. } => {
                self.streams.insert(request, (agent, boot, 0, self.world.now));
            }
            EngineEffect::Cancel(request) => {
                self.cancelled.insert(request);
                if self.conduct.confirms {
                    self.streams.remove(&request);
                    let input = EngineInput::Cancelled { request, gone: true };
                    self.world.engine_input(agent, boot, input);
                }
            }
            EngineEffect::CancelUnknown(_) | EngineEffect::List | EngineEffect::Order(_) => {}
        }
    }

    fn send_tokens(&mut self) {
        let now = self.world.now;
        let mut due = Vec::new();
        for (request, (agent, boot, offset, at)) in &mut self.streams {
            if *at <= now {
                due.push((*agent, *boot, *request, *offset));
                *offset += 1;
                *at = now + TOKEN_INTERVAL;
            }
        }
        for (agent, boot, request, offset) in due {
            let part = EngineInput::Part { request, offset, tokens: vec!["t ".into()] };
            self.world.engine_input(agent, boot, part);
        }
    }

    fn collect_outcomes(&mut self) {
        for (boot, effect) in std::mem::take(&mut self.world.caller_effects) {
            if let CallerEffect::Finish { call, outcome } = effect {
                let before = self.outcomes.insert((boot, call), (self.world.now, outcome));
                assert!(before.is_none(), "{call} has two outcomes");
            }
        }
    }

    /// Signals a role at the present time and plays the grace period.
    ///
    /// Returns the time of the signal, and when the process ended.
    fn stop(&mut self, node: Node) -> (Timestamp, Option<Timestamp>) {
        let (since, before) = (self.world.now, self.world.stopped.len());
        self.world.shut_down(node, since);
        self.play(GRACE);
        assert!(self.world.stopped.len() <= before + 1, "another role has stopped");
        (since, self.world.stopped.values().max().copied().filter(|at| *at >= since))
    }

    fn refusal(&self, call: Owned) -> (Timestamp, Refusal) {
        match self.outcomes.get(&call) {
            Some((at, Terminal::Refused(refusal))) => (*at, refusal.clone()),
            other => panic!("expected a refusal, not {other:?}"),
        }
    }
}

const SOUND: Conduct = Conduct { confirms: true };

/// Fails if an entry waits for a run that outlasts its grace period until it is killed: its caller
/// gets no answer, and the engine keeps memory for it.
#[test]
fn run_that_outlasts_the_grace_period_of_its_entry_gets_no_answer() {
    let mut fleet = Fleet::new(SOUND);
    let call = fleet.call(500);
    fleet.play(Duration::from_secs(1));
    let (since, stopped) = fleet.stop(ENTRY);
    let (at, refusal) = fleet.refusal(call);
    assert_eq!((refusal.reason, refusal.ran), (RefusalReason::Draining, Ran::Maybe));
    assert!(at >= since + ANSWERED && at <= since + ANSWERED + STEP, "at {:?}", at - since);
    assert!(stopped.is_some_and(|at| at <= since + (GRACE - CLOSE_TIME)), "stopped at {stopped:?}");
    assert!(fleet.world.agent(1).unwrap().ledger().is_empty(), "the engine keeps memory");
    assert_eq!(fleet.cancelled.len(), 1);
}

/// Fails if a call that waits for capacity when its entry's grace period ends gets no answer.
#[test]
fn queued_call_gets_no_answer_at_the_end_of_the_grace_period() {
    let mut fleet = Fleet::new(SOUND);
    let running: Vec<Owned> = (0..4).map(|_| fleet.call(500)).collect();
    fleet.play(Duration::from_secs(1));
    let queued = fleet.call(500);
    fleet.play(Duration::from_millis(100));
    assert_eq!(fleet.streams.len(), 4, "expected a full decode engine and a queued call");
    let (since, stopped) = fleet.stop(ENTRY);
    let (at, refusal) = fleet.refusal(queued);
    assert_eq!((refusal.reason, refusal.ran), (RefusalReason::Draining, Ran::No));
    assert!(at <= since + ANSWERED + STEP, "answered {:?} after the signal", at - since);
    assert!(running.iter().all(|call| fleet.refusal(*call).1.ran == Ran::Maybe));
    assert!(stopped.is_some(), "the entry has not stopped");
}

/// Fails if an agent waits for work that outlasts its grace period until it is killed: entries see a
/// broken exchange, and the engine goes on.
#[test]
fn work_that_outlasts_the_grace_period_of_its_agent_stays_at_the_engine() {
    let mut fleet = Fleet::new(SOUND);
    let call = fleet.call(500);
    fleet.play(Duration::from_secs(1));
    let (since, stopped) = fleet.stop(DECODE);
    assert!(stopped.is_some_and(|at| at <= since + (GRACE - CLOSE_TIME)), "stopped at {stopped:?}");
    assert_eq!(fleet.cancelled.len(), 1, "the engine was not told to cancel");
    fleet.play(Duration::from_secs(1));
    assert_eq!(fleet.refusal(call).1.ran, Ran::Maybe);
}

/// Fails if an agent ends before the engine has confirmed its cancels although time is left, or if
/// it waits for them until it is killed.
#[test]
fn agent_ends_without_the_confirmation_of_a_cancel_that_it_had_time_for() {
    let mut fleet = Fleet::new(Conduct { confirms: false });
    fleet.call(500);
    fleet.play(Duration::from_secs(1));
    let (since, stopped) = fleet.stop(DECODE);
    let stopped = stopped.expect("the agent has not stopped by itself") - since;
    assert_eq!(stopped, GRACE - CLOSE_TIME, "stopped at another time");
}

/// Fails if a prefill that waits for the engine when its agent's grace period ends gets no reply, or
/// one that says it may have run.
#[test]
fn queued_prefill_gets_no_reply_at_the_end_of_the_grace_period() {
    let follower = FollowerSettings {
        name: "prefill-1".into(),
        role: "agent".into(),
        domain: "brno-a".into(),
        boot: BootId(7),
        address: None,
        members: Vec::new(),
        routes: false,
        endpoints: false,
    };
    let address = "127.0.0.1:7000".parse().unwrap();
    let mut agent = Agent::new(AgentSettings { follower, address, grace: GRACE });
    let since = Timestamp::from_micros(60_000_000);
    agent.step(since, Input::Local(EngineInput::Announced(announcement(EndpointKind::Prefill))));
    for inbound in 1..=3 {
        let body = Request::Agent(AgentRequest::Prefill {
            request: RequestId { owner: BootId(2), call: CallId(inbound), attempt: 1 },
            class: Class::Interactive,
            software: "".into(),
            prompt: "p".into(),
            prefix: Vec::new(),
            within: Some(Duration::from_secs(60)),
        });
        let envelope = Envelope { revised: Default::default(), body };
        agent.step(since, Input::Request { inbound: InboundId(inbound), envelope });
    }
    agent.step(since, Input::Shutdown { since });
    let mut now = since;
    let mut replies = Vec::new();
    let mut cancels = 0;
    while replies.is_empty() && now < since + GRACE {
        now = agent.next_wake().unwrap_or(now).max(now + Duration::from_millis(1));
        for output in agent.step(now, Input::Wake) {
            match output {
                Output::Reply { inbound, envelope, last: true } => {
                    let Reply::Agent(AgentReply::Refused(refusal)) = envelope.body else {
                        panic!()
                    };
                    replies.push((inbound.0, refusal.ran));
                }
                Output::Effect(EngineEffect::Cancel(_)) => cancels += 1,
                _ => {}
            }
        }
    }
    assert_eq!(replies, [(1, Ran::Maybe), (2, Ran::Maybe), (3, Ran::No)]);
    assert_eq!((now, cancels), (since + ANSWERED, 2));
}

/// Fails if a role counts its grace period from when it handles the signal, or anew from a second
/// one.
#[test]
fn grace_period_begins_anew_when_the_signal_is_handled_late_or_twice() {
    for node in [ENTRY, DECODE] {
        let mut fleet = Fleet::new(SOUND);
        fleet.call(500);
        fleet.play(Duration::from_secs(3));
        let since = Timestamp::from_micros(fleet.world.now.as_micros() - 2_000_000);
        fleet.world.shut_down(node, since);
        fleet.play(Duration::from_secs(2));
        fleet.world.shut_down(node, fleet.world.now);
        fleet.play(Duration::from_secs(4));
        let stopped = fleet.world.stopped.values().next().copied();
        assert!(stopped.is_some_and(|at| at <= since + GRACE), "{node:?} stopped at {stopped:?}");
    }
}

/// Fails if a role that is signalled before its configuration is confirmed, or just after its
/// start, does not end.
#[test]
fn role_without_a_confirmed_configuration_ignores_the_signal() {
    for node in [ENTRY, DECODE] {
        let mut fleet = Fleet::new(SOUND);
        fleet.world.isolated = BTreeSet::from([ENTRY, PREFILL, DECODE]);
        fleet.world.kill(node);
        fleet.world.restart(node);
        fleet.play(Duration::from_secs(1));
        let (since, stopped) = fleet.stop(node);
        let stopped = stopped.expect("the role has not stopped") - since;
        assert!(stopped <= Duration::from_secs(2), "an idle role took {stopped:?}");
    }
}
