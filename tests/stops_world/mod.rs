//! Callers, endpoints and the leader around one gateway that is signalled to stop, drawn from a
//! seed; the oracle of what callers may see is beside it.

mod endpoints;
mod oracle;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterelpin::control::dispatch::Candidate;
use dotterelpin::h1::{CallerId, HttpInput, PeerId};
use dotterelpin::link::message::{ControlReply, ControlRequest, Envelope, Reply};
use dotterelpin::model::{BootId, Timestamp};
use dotterelpin::role::Input;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::gateway_fixture::{Fixture, Sent, budget_terms, table};

/// The time between two actions of the world, in milliseconds.
const TICK_MS: u64 = 20;
/// When a gateway with a grace period of 8 s ends its open calls, after the signal.
const REFUSE: Duration = Duration::from_millis(7_500);
/// How long after the signal callers may still be sent to the gateway.
const NOTICE: Duration = Duration::from_millis(2_600);
/// How long an engine keeps a reservation.
const HOLD_TTL: Duration = Duration::from_secs(2);
/// How long an engine keeps an export.
const RETENTION: Duration = Duration::from_millis(500);
const PATHS: [&str; 5] = ["/pay/a", "/look/a", "/slow/a", "/draft/a", "/remind/a"];

/// A call as its caller sees it.
#[derive(Debug)]
struct Caller {
    path: &'static str,
    arrived: Timestamp,
    /// When it stops waiting, in milliseconds after that.
    patience: u64,
    /// The number of the last event that the caller had before.
    after: u64,
    /// The number of the last event of the whole stream.
    total: u64,
    /// How many attempts have run or may still do so.
    ran: u32,
    /// When its last prefill was sent.
    prefill: Option<Timestamp>,
}

impl Caller {
    fn is_stream(&self) -> bool {
        matches!(self.path, "/draft/a" | "/remind/a")
    }

    fn is_once(&self) -> bool {
        matches!(self.path, "/pay/a" | "/slow/a" | "/draft/a")
    }
}

/// What an endpoint does next with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Act {
    /// It grants the reservation, or answers the prefill or the plain call.
    Answer,
    /// It answers with a server error.
    Fail,
    /// It answers that it has not run it.
    Refuse,
    /// The connection breaks; the request may have reached it.
    Break,
    /// The connection breaks before the request was sent.
    Miss,
    /// It sends the event with a number.
    Event(u64),
    /// It ends the stream.
    End,
    Nothing,
}

/// A request at an endpoint.
#[derive(Debug)]
struct Job {
    sent: Sent,
    caller: Option<u64>,
    act: Act,
    due: Timestamp,
    done: bool,
}

/// Engine memory that the gateway has to free.
#[derive(Debug)]
struct Memory {
    until: Timestamp,
    freed: bool,
}

/// The world of one seed.
pub struct World {
    seed: u64,
    rng: Pcg64Mcg,
    f: Fixture,
    callers: BTreeMap<u64, Caller>,
    /// The callers that wait for the end of their answers.
    open: BTreeSet<u64>,
    /// The connections to endpoints that the gateway closed.
    closed: BTreeSet<PeerId>,
    jobs: Vec<Job>,
    memory: BTreeMap<String, Memory>,
    /// How long the complete streams of each path have lasted.
    lasted: BTreeMap<&'static str, Vec<Duration>>,
    signalled: Option<Timestamp>,
    /// Until when the role has been stalled.
    stalled: Timestamp,
    names: u64,
    problems: Vec<String>,
}

impl World {
    /// Creates the world of a seed.
    pub fn new(seed: u64) -> World {
        let mut raw = table();
        raw.routes.insert(2, {
            let mut slow = raw.routes[0].clone();
            slow.name = "slow".into();
            slow.prefix = "/slow/".into();
            slow.timeout_ms = 4_000.0;
            slow
        });
        raw.routes[1].attempts = 3;
        raw.routes[4].attempts = 4;
        let start = Timestamp::from_micros(1_000_000_000);
        let mut f = Fixture::started(vec![raw], budget_terms(), BootId(seed + 1), start);
        f.answers_reports = true;
        if !seed.is_multiple_of(10) {
            f = f.made_ready();
        }
        World {
            seed,
            rng: Pcg64Mcg::seed_from_u64(seed),
            f,
            callers: BTreeMap::new(),
            open: BTreeSet::new(),
            closed: BTreeSet::new(),
            jobs: Vec::new(),
            memory: BTreeMap::new(),
            lasted: BTreeMap::new(),
            signalled: None,
            stalled: start,
            names: 0,
            problems: Vec::new(),
        }
    }

    /// Plays a stop and returns what the oracle found.
    pub fn play(mut self) -> Vec<String> {
        if self.seed.is_multiple_of(3) {
            self.f.leader = Some("127.0.0.1:9001".parse().unwrap());
        }
        let before = self.draw(200) + 10;
        let rate = 10 + self.draw(50);
        for tick in 0..before {
            if self.seed.is_multiple_of(10) && tick == before / 2 {
                self.f.publish(0, 1);
            }
            self.tick(rate);
        }
        self.signal();
        let second = self.draw(600);
        for tick in 0..600 {
            if self.f.stopped {
                break;
            }
            if tick == second {
                let since = self.f.now;
                self.act(|f| f.step(Input::Shutdown { since }));
            }
            if self.draw(150) == 0 {
                let millis = self.draw(1_500);
                self.f.stall(millis);
                self.stalled = self.f.now;
            }
            self.tick(rate);
        }
        self.check_end();
        self.after_end();
        self.problems
    }

    fn draw(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    fn signal(&mut self) {
        self.signalled = Some(self.f.now);
        let late = if self.draw(4) == 0 { self.draw(9_000) } else { 0 };
        if late > 0 {
            self.stalled = self.f.now + Duration::from_millis(late);
        }
        self.act(|f| f.shut_down_late(late));
        if self.f.is_ready() {
            self.problem("ready after the signal".into());
        }
    }

    /// Lets the gateway handle something, and takes up what it sends.
    fn act(&mut self, action: impl FnOnce(&mut Fixture)) {
        action(&mut self.f);
        self.closed.extend(self.f.hung_up.drain(..));
        self.take_sent();
        self.judge_answers();
    }

    fn tick(&mut self, rate: u64) {
        if !self.f.stopped {
            self.act(|f| f.advance(TICK_MS));
        }
        while self.draw(100) < rate {
            self.new_call();
        }
        if self.draw(200) == 0 {
            self.lose_caller();
        }
        self.answer_leader();
        self.run_jobs();
    }

    fn new_call(&mut self) {
        let key = self.callers.len() as u64 + 1;
        let path = PATHS[self.draw(PATHS.len() as u64) as usize];
        let total = 4 + self.draw(14);
        let resumed = path == "/remind/a" && self.draw(6) == 0;
        let after = if resumed { 3 } else { 0 };
        let arrived = self.f.now;
        let tokens = format!("{},{}", 200 + self.draw(6_000), 20 + self.draw(400));
        let patience = if self.draw(5) == 0 { 3_000 } else { 14_000 };
        let millis = patience.to_string();
        let caller = Caller { path, arrived, patience, after, total, ran: 0, prefill: None };
        let stream = caller.is_stream();
        self.callers.insert(key, caller);
        self.open.insert(key);
        let mut extra = vec![("Patience-Ms", &*millis)];
        if stream {
            extra.extend([("Model", "m"), ("Tokens", &*tokens)]);
        }
        if resumed {
            extra.push(("Last-Event-Id", "3"));
        }
        self.act(|f| f.call(key, path, &extra));
    }

    fn lose_caller(&mut self) {
        if self.open.is_empty() {
            return;
        }
        let index = self.draw(self.open.len() as u64) as usize;
        let key = *self.open.iter().nth(index).unwrap();
        self.open.remove(&key);
        self.act(|f| f.step(Input::Local(HttpInput::CallerGone { caller: CallerId(key) })));
    }

    /// Answers what the gateway has asked the leader, or leaves it without an answer.
    fn answer_leader(&mut self) {
        for (exchange, request) in std::mem::take(&mut self.f.leader_requests) {
            if self.draw(12) == 0 {
                continue;
            }
            let mut pick = |c: &[Candidate]| {
                let at = self.rng.next_u64() as usize % (c.len() + 1);
                c.get(at).map(|c| c.endpoint.clone())
            };
            let reply = match request {
                ControlRequest::AssignRoom(r) => {
                    ControlReply::RoomAssigned { endpoint: pick(&r.candidates), ahead: 0 }
                }
                ControlRequest::AssignPrompt(r) => {
                    ControlReply::PromptAssigned { endpoint: pick(&r.candidates), ahead: 0 }
                }
                ControlRequest::FindOrigin { .. } => {
                    ControlReply::OriginFound { software: None, only: Some("".into()), basis: None }
                }
                _ => continue,
            };
            let envelope = Envelope { revised: Default::default(), body: Reply::Control(reply) };
            self.act(|f| f.step(Input::Reply { exchange, envelope }));
        }
    }

    /// Takes up the requests that the gateway has sent.
    fn take_sent(&mut self) {
        for sent in std::mem::take(&mut self.f.sent) {
            self.check_send(&sent);
            let caller = sent.field("Call-Id").map(|id| id["call-".len()..].parse().unwrap());
            let target = sent.head.target.to_string();
            if &*sent.head.method == "DELETE" {
                self.free(target.rsplit('/').next().unwrap());
            }
            if let Some(hold) = sent.field("Hold") {
                self.free(hold);
            }
            if let Some(source) = sent.field("Source") {
                let handle = source.rsplit('/').next().unwrap().to_string();
                self.free(&handle);
            }
            let in_prefill = sent.field("Stage") == Some("prefill");
            if let Some(caller) = caller.and_then(|key| self.callers.get_mut(&key)) {
                match in_prefill {
                    true => caller.prefill = Some(sent.at),
                    false => caller.ran += 1,
                }
                if caller.is_once() && caller.ran > 1 {
                    self.problem(format!("{sent:?} may run twice"));
                }
            }
            let (act, delay) = self.first_act(&sent, caller, in_prefill);
            let due = sent.at + Duration::from_millis(delay);
            self.jobs.push(Job { sent, caller, act, due, done: false });
        }
    }

    fn free(&mut self, name: &str) {
        if let Some(memory) = self.memory.get_mut(name) {
            memory.freed = true;
        }
    }

    fn keep(&mut self, prefix: &str, kept: Duration) -> String {
        self.names += 1;
        let name = format!("{prefix}{}", self.names);
        self.memory.insert(name.clone(), Memory { until: self.f.now + kept, freed: false });
        name
    }

    fn problem(&mut self, text: String) {
        let since = self.signalled.map_or(-1, |at| (self.f.now - at).as_millis() as i64);
        self.problems.push(format!("seed {} at {since} ms: {text}", self.seed));
    }
}
