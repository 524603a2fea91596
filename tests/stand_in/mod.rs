//! Endpoints that act by themselves before a gateway role, in simulated time, and count what
//! reaches them: they fall silent and go on, crash, restart under another name, and fill up.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::h1::{CallerId, HttpInput, PeerId};
use dotterelpin::model::{BootId, EndpointKind, EndpointState, Timestamp};
use dotterelpin::role::Input;
use dotterelpin::routes::RawTable;

use crate::gateway_fixture::{Fixture, GATEWAYS, Sent, budget_terms, endpoint};

/// The step of the simulated time, in milliseconds.
const STEP_MS: u64 = 10;
/// How long an endpoint takes for a reservation, a report or a release.
const SIDE_TIME: Duration = Duration::from_millis(5);
/// How long a prefill takes.
const PREFILL_TIME: Duration = Duration::from_millis(30);
/// How long a plain call takes.
const PLAIN_TIME: Duration = Duration::from_millis(20);
/// The time to the first event of a stream, and between two events.
const EVENT_TIME: Duration = Duration::from_millis(100);

/// How an endpoint is silent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Silence {
    /// It accepts connections and requests, but sends nothing until it goes on.
    Mute,
    /// No packet gets through either way: new connections stay pending until it goes on.
    Dark,
}

/// What reached an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request for a reservation.
    Hold,
    /// A prefill.
    Prefill,
    /// A run, of a stream or a plain call.
    Run,
}

/// A request that reached an endpoint.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it was sent.
    pub at: Timestamp,
    /// The id of the call; empty for a reservation.
    pub call: Box<str>,
    /// The service of the endpoint.
    pub service: Box<str>,
    /// The name under which the gateway sent it, or else the name of the endpoint.
    pub target: Box<str>,
    /// What it asks for.
    pub kind: Kind,
    /// The status with which the endpoint turned it away; `None` if it accepted it.
    pub rejected: Option<u16>,
}

#[derive(Debug)]
struct StandIn {
    name: Box<str>,
    service: Box<str>,
    silent_until: Timestamp,
    down_until: Timestamp,
    full: bool,
}

#[derive(Debug)]
struct Work {
    sent: Sent,
    /// When the endpoint acts on it next.
    at: Timestamp,
    /// The number of the last event that was sent.
    event: u64,
    /// Whether the head of a stream was sent.
    head: bool,
    rejected: Option<u16>,
}

/// A gateway and the endpoints before it.
pub struct World {
    /// The gateway, its callers and control.
    pub f: Fixture,
    /// All that reached endpoints, oldest first, across starts of the gateway.
    pub arrivals: Vec<Arrival>,
    tables: Vec<RawTable>,
    listed: Vec<EndpointState>,
    stand_ins: BTreeMap<SocketAddr, StandIn>,
    work: Vec<Work>,
    peers: BTreeMap<PeerId, SocketAddr>,
    /// Connections that are dead at the endpoint's side, without the gateway knowing.
    half_open: BTreeSet<PeerId>,
    /// How many requests were lost on half-open connections.
    pub lost: usize,
    /// Requests on connections that are still pending.
    unsent: Vec<Sent>,
    calls: Vec<(Timestamp, Box<str>)>,
    next_call: u64,
    next_handle: u64,
}

impl World {
    /// Creates a gateway that is ready, before the given endpoints.
    pub fn new(table: RawTable, endpoints: &[(&str, EndpointKind, &str)]) -> World {
        let listed: Vec<EndpointState> =
            endpoints.iter().map(|(name, kind, pool)| endpoint(name, *kind, pool)).collect();
        let stand_ins = listed.iter().map(|e| (e.address, StandIn::of(e))).collect();
        let tables = vec![table];
        let mut world = World {
            f: Fixture::without_table(tables.clone()),
            arrivals: Vec::new(),
            tables,
            listed,
            stand_ins,
            work: Vec::new(),
            peers: BTreeMap::new(),
            half_open: BTreeSet::new(),
            lost: 0,
            unsent: Vec::new(),
            calls: Vec::new(),
            next_call: 0,
            next_handle: 0,
        };
        world.start_gateway();
        // The budget of a gateway that has just started may be smaller.
        world.run(budget_terms().window.as_millis() as u64 + 1_000);
        world
    }

    fn start_gateway(&mut self) {
        self.f.publish(0, 1);
        for state in self.listed.clone() {
            self.f.announce(state);
        }
        self.run(200);
        assert!(self.f.is_ready(), "expected the gateway to be ready after 200 ms");
    }

    /// Ends the gateway at once and starts it anew; its connections are lost.
    pub fn restart_gateway(&mut self, boot: u64) {
        self.f = Fixture::started(self.tables.clone(), budget_terms(), BootId(boot), self.f.now);
        self.work.clear();
        self.peers.clear();
        self.half_open.clear();
        self.unsent.clear();
        self.start_gateway();
    }

    /// Sends a plain call and returns its caller.
    pub fn plain_call(&mut self, path: &str, service: &str) -> u64 {
        self.counted(service, |f, caller| f.call(caller, path, &[]))
    }

    /// Sends a call to a model whose answer has so many events, and returns its caller.
    pub fn stream(&mut self, path: &str, service: &str, events: u64) -> u64 {
        let tokens = format!("300,{events}");
        self.counted(service, |f, caller| f.model_call(caller, path, &tokens))
    }

    fn counted(&mut self, service: &str, call: impl FnOnce(&mut Fixture, u64)) -> u64 {
        self.next_call += 1;
        self.calls.push((self.f.now, service.into()));
        call(&mut self.f, self.next_call);
        self.receive();
        self.next_call
    }

    /// Closes the connection of a caller.
    pub fn leave(&mut self, caller: u64) {
        let caller = CallerId(caller);
        self.f.step(Input::Local(HttpInput::CallerGone { caller }));
        self.receive();
    }

    /// Lets the simulated time pass.
    pub fn run(&mut self, millis: u64) {
        for _ in 0..millis / STEP_MS {
            self.f.advance(STEP_MS);
            self.end_silence();
            self.receive();
            self.act();
        }
    }

    /// Makes an endpoint silent for so long, after which it goes on as if nothing had been.
    pub fn silence(&mut self, name: &str, silence: Silence, millis: u64) {
        let until = self.f.now + Duration::from_millis(millis);
        let address = self.address(name);
        if silence == Silence::Dark {
            self.f.unreachable.insert(address);
        }
        self.stand_in(name).silent_until = until;
    }

    /// Makes an endpoint turn away all new work, or accept it again.
    pub fn fill(&mut self, name: &str, full: bool) {
        self.stand_in(name).full = full;
    }

    /// Resets all connections of an endpoint, which accepts none for so long.
    pub fn crash(&mut self, name: &str, millis: u64) {
        let address = self.address(name);
        self.stand_in(name).down_until = self.f.now + Duration::from_millis(millis);
        let peers: Vec<PeerId> =
            self.peers.iter().filter(|(_, a)| **a == address).map(|(p, _)| *p).collect();
        self.work.retain(|w| w.sent.address != address);
        for peer in peers {
            self.reset(peer, true);
        }
        self.receive();
    }

    /// Replaces an endpoint by another at its address, while the old name stays listed.
    pub fn replace(&mut self, name: &str, by: &str) {
        self.crash(name, 50);
        self.stand_in(name).name = by.into();
    }

    /// Lists an endpoint that replaced another one, instead of it.
    pub fn list_replacement(&mut self, old: &str, new: &str) {
        let at = self.listed.iter().position(|e| &*e.name == old).unwrap();
        self.f.deregister(old);
        let state = &mut self.listed[at];
        state.name = new.into();
        state.boot = BootId(state.boot.0 + 1);
        self.f.announce(self.listed[at].clone());
    }

    /// Lists a newer heartbeat of an endpoint, changed as given.
    pub fn heartbeat(&mut self, name: &str, change: impl FnOnce(&mut EndpointState)) {
        let state = self.listed.iter_mut().find(|e| &*e.name == name).unwrap();
        state.sequence += 1;
        change(state);
        let state = state.clone();
        self.f.announce(state);
    }

    /// Leaves the idle connections to an endpoint half-open: nothing sent on them arrives, and no
    /// answer comes.
    pub fn half_open(&mut self, name: &str) {
        let address = self.address(name);
        let used: BTreeSet<PeerId> = self.work.iter().map(|w| w.sent.peer).collect();
        let idle = self.peers.iter().filter(|(p, a)| **a == address && !used.contains(p));
        self.half_open.extend(idle.map(|(p, _)| *p));
    }

    /// Resets the connection on which a call runs; returns the name of the endpoint, or `None` if
    /// the call isn't running.
    pub fn break_run(&mut self, caller: u64) -> Option<Box<str>> {
        let id = format!("call-{caller}");
        let at = self.work.iter().position(|w| w.is_run() && w.sent.field("Call-Id") == Some(&id));
        let work = self.work.remove(at?);
        self.reset(work.sent.peer, true);
        self.receive();
        Some(self.stand_ins[&work.sent.address].name.clone())
    }

    /// Returns the endpoint at which a call runs now.
    pub fn runs_at(&self, caller: u64) -> Option<Box<str>> {
        let id = format!("call-{caller}");
        let work = self.work.iter().find(|w| w.is_run() && w.sent.field("Call-Id") == Some(&id))?;
        Some(self.stand_ins[&work.sent.address].name.clone())
    }

    /// Returns whether a call got its whole answer of so many events, each once and in order.
    pub fn is_whole(&self, caller: u64, events: u64) -> bool {
        let expected: String = (1..=events).map(event_text).collect();
        let whole = |a: &crate::gateway_fixture::CallerAnswer| {
            a.complete && a.status == 200 && a.content == expected.as_bytes()
        };
        self.f.answers.get(&caller).is_some_and(whole)
    }

    /// Describes the answer of a caller, for failed assertions.
    pub fn answer_of(&self, caller: u64) -> String {
        let Some(answer) = self.f.answers.get(&caller) else { return "no answer yet".into() };
        format!(
            "status {}, {} events, complete {}, aborted {}",
            answer.status,
            String::from_utf8_lossy(&answer.content).matches("id: ").count(),
            answer.complete,
            answer.aborted,
        )
    }

    /// Returns the arrivals of a call that were accepted to run.
    pub fn runs(&self, caller: u64) -> Vec<&Arrival> {
        let id = format!("call-{caller}");
        let of_call = |a: &&Arrival| *a.call == *id && a.kind == Kind::Run;
        self.arrivals.iter().filter(of_call).filter(|a| a.rejected.is_none()).collect()
    }

    /// Returns the arrivals beyond the first of their call. The first accepted prefill of a call
    /// isn't one of its arrivals.
    pub fn extra_arrivals(&self, service: &str) -> Vec<&Arrival> {
        let mut prefilled = BTreeSet::new();
        let mut arrived = BTreeSet::new();
        let mut extra = Vec::new();
        for a in self.arrivals.iter().filter(|a| *a.service == *service && a.kind != Kind::Hold) {
            let accepted = a.kind == Kind::Prefill && a.rejected.is_none();
            if accepted && prefilled.insert(&a.call) {
                continue;
            }
            if !arrived.insert(&a.call) {
                extra.push(a);
            }
        }
        extra
    }

    /// Asserts that in every window of the budget's length, the arrivals beyond the first of their
    /// call are within the ratio of the calls plus one gateway's part of the fixed number. Calls
    /// are counted in that window, the one before it or the one half a window before it, whichever
    /// has most.
    pub fn assert_within_budget(&self, service: &str) {
        let extra = self.extra_arrivals(service);
        let fixed = budget_terms().extra / f64::from(GATEWAYS);
        let over = extra.iter().map(|last| {
            let window = extra.iter().filter(|a| in_window(a.at, last.at));
            let window: Vec<&Arrival> = window.copied().collect();
            let allowed = self.calls_around(service, last.at) as f64 * budget_terms().ratio + fixed;
            (window.len() as f64 - allowed, window, allowed)
        });
        let Some((by, window, allowed)) = over.max_by(|a, b| a.0.total_cmp(&b.0)) else { return };
        assert!(
            by <= 0.0,
            "service {service}: {} arrivals beyond the first of their call in {:?}, allowed \
             {allowed:.1}: {}",
            window.len(),
            budget_terms().window,
            summary(&window),
        );
    }

    fn calls_around(&self, service: &str, end: Timestamp) -> usize {
        let window = budget_terms().window;
        let ends = [end, before(end, window / 2), before(end, window)];
        let calls = |end: Timestamp| {
            self.calls.iter().filter(|(at, s)| **s == *service && in_window(*at, end)).count()
        };
        ends.into_iter().map(calls).max().unwrap_or(0)
    }

    fn address(&self, name: &str) -> SocketAddr {
        let found = self.stand_ins.iter().find(|(_, s)| &*s.name == name);
        *found.unwrap_or_else(|| panic!("expected an endpoint {name}")).0
    }

    fn stand_in(&mut self, name: &str) -> &mut StandIn {
        let address = self.address(name);
        self.stand_ins.get_mut(&address).unwrap()
    }

    fn reset(&mut self, peer: PeerId, sent: bool) {
        self.peers.remove(&peer);
        let error = "reset".into();
        self.f.step(Input::Local(HttpInput::Lost { peer, sent, error }));
    }

    /// Establishes the pending connections to endpoints that have gone on.
    fn end_silence(&mut self) {
        let now = self.f.now;
        let over = |a: &SocketAddr| self.stand_ins[a].silent_until <= now;
        let back: Vec<SocketAddr> =
            self.f.unreachable.iter().filter(|a| over(a)).copied().collect();
        for address in back {
            self.f.unreachable.remove(&address);
            let here = |s: &Sent| s.address == address;
            let (sent, rest): (Vec<Sent>, Vec<Sent>) =
                std::mem::take(&mut self.unsent).into_iter().partition(here);
            self.unsent = rest;
            for sent in sent {
                if !self.f.pending.contains(&sent.peer) {
                    continue;
                }
                self.f.pending.retain(|p| *p != sent.peer);
                self.f.step(Input::Local(HttpInput::Connected { peer: sent.peer }));
                self.arrive(sent);
            }
        }
    }

    /// Takes the requests that the gateway has sent, and ends work whose connection it has closed.
    fn receive(&mut self) {
        loop {
            let closed = std::mem::take(&mut self.f.hung_up);
            for sent in std::mem::take(&mut self.f.sent) {
                if self.f.pending.contains(&sent.peer) {
                    self.unsent.push(sent);
                } else if self.half_open.contains(&sent.peer) {
                    self.lost += 1;
                } else {
                    self.arrive(sent);
                }
            }
            self.work.retain(|w| !closed.contains(&w.sent.peer));
            self.peers.retain(|p, _| !closed.contains(p));
            if self.f.sent.is_empty() && self.f.hung_up.is_empty() {
                return;
            }
        }
    }

    fn arrive(&mut self, sent: Sent) {
        let now = self.f.now;
        let stand_in = &self.stand_ins[&sent.address];
        if stand_in.down_until > now {
            self.reset(sent.peer, false);
            return;
        }
        self.peers.insert(sent.peer, sent.address);
        let rejected = stand_in.rejection(&sent);
        if let Some(kind) = kind(&sent) {
            self.arrivals.push(Arrival {
                at: now,
                call: sent.field("Call-Id").unwrap_or_default().into(),
                service: stand_in.service.clone(),
                target: sent.field("Endpoint").unwrap_or(&stand_in.name).into(),
                kind,
                rejected,
            });
        }
        let time = match kind(&sent) {
            _ if rejected.is_some() => SIDE_TIME,
            None | Some(Kind::Hold) => SIDE_TIME,
            Some(Kind::Prefill) => PREFILL_TIME,
            Some(Kind::Run) if events(&sent).is_none() => PLAIN_TIME,
            Some(Kind::Run) => EVENT_TIME,
        };
        let event = sent.field("Last-Event-Id").and_then(|e| e.parse().ok()).unwrap_or(0);
        self.work.push(Work { sent, at: now + time, event, head: false, rejected });
    }

    /// Lets each endpoint that isn't silent act on its work that is due.
    fn act(&mut self) {
        let now = self.f.now;
        let mut at = 0;
        while at < self.work.len() {
            let work = &self.work[at];
            let silent = self.stand_ins[&work.sent.address].silent_until > now;
            if silent || work.at > now {
                at += 1;
                continue;
            }
            let work = self.work.remove(at);
            if let Some(work) = self.act_on(work) {
                self.work.insert(at, work);
                at += 1;
            }
            self.receive();
        }
    }

    /// Sends what is due of an answer; returns the work if more of it follows.
    fn act_on(&mut self, mut work: Work) -> Option<Work> {
        let sent = work.sent.clone();
        if let Some(status) = work.rejected {
            self.f.answer(&sent, status, &[("Not-Run", "1")], "not run");
            return None;
        }
        let Some(events) = events(&sent).filter(|_| kind(&sent) == Some(Kind::Run)) else {
            let content = self.content(&sent);
            self.f.answer(&sent, 200, &[], &content);
            return None;
        };
        if !std::mem::replace(&mut work.head, true) {
            self.f.head(&sent, 200, &[]);
        }
        work.event += 1;
        if work.event > events {
            self.f.end(&sent);
            return None;
        }
        self.f.data(&sent, event_text(work.event).as_bytes());
        work.at = self.f.now + EVENT_TIME;
        let closed = self.f.hung_up.contains(&sent.peer);
        (!closed).then_some(work)
    }

    fn content(&mut self, sent: &Sent) -> String {
        self.next_handle += 1;
        match kind(sent) {
            Some(Kind::Hold) => format!("hold h{}", self.next_handle),
            Some(Kind::Prefill) => format!("export e{}", self.next_handle),
            Some(Kind::Run) | None => "ok".into(),
        }
    }
}

impl StandIn {
    fn of(state: &EndpointState) -> StandIn {
        StandIn {
            name: state.name.clone(),
            service: state.pool.clone(),
            silent_until: Timestamp::default(),
            down_until: Timestamp::default(),
            full: false,
        }
    }

    fn rejection(&self, sent: &Sent) -> Option<u16> {
        let other = sent.field("Endpoint").is_some_and(|name| *name != *self.name);
        match kind(sent)? {
            _ if other => Some(421),
            _ if self.full => Some(503),
            _ => None,
        }
    }
}

impl Work {
    fn is_run(&self) -> bool {
        kind(&self.sent) == Some(Kind::Run)
    }
}

/// Returns what a request asks for, or `None` for reports and releases.
fn kind(sent: &Sent) -> Option<Kind> {
    match (&*sent.head.method, &*sent.head.target) {
        ("POST", "/hold") => Some(Kind::Hold),
        ("GET" | "DELETE", _) => None,
        _ if sent.field("Stage").is_some() => Some(Kind::Prefill),
        _ => Some(Kind::Run),
    }
}

/// Returns how many events the answer of a call to a model has.
fn events(sent: &Sent) -> Option<u64> {
    sent.field("Tokens")?.split(',').nth(1)?.parse().ok()
}

/// Counts arrivals by what they asked for and by whether they were accepted.
fn summary(arrivals: &[&Arrival]) -> String {
    let count = |kind, accepted: bool| {
        let counted = |a: &&&Arrival| a.kind == kind && a.rejected.is_none() == accepted;
        arrivals.iter().filter(counted).count()
    };
    format!(
        "{} prefills, {} runs, {} rejected prefills, {} rejected runs",
        count(Kind::Prefill, true),
        count(Kind::Run, true),
        count(Kind::Prefill, false),
        count(Kind::Run, false),
    )
}

fn event_text(number: u64) -> String {
    format!("id: {number}\ndata: {number}\n\n")
}

fn before(at: Timestamp, span: Duration) -> Timestamp {
    Timestamp::from_micros(at.as_micros().saturating_sub(span.as_micros() as u64))
}

/// Returns whether a time is in the window that ends with `end`.
fn in_window(at: Timestamp, end: Timestamp) -> bool {
    at <= end && at > before(end, budget_terms().window)
}
