//! Endpoints that act by themselves before a gateway role, in simulated time, and count what
//! reaches them: they fall silent and go on, crash, restart under another name or software version,
//! and fill up.

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
    /// The software version that ran at the endpoint.
    pub software: Box<str>,
    /// The software version that ran where its KV cache is to be fetched; `None` if it fetches none.
    pub source: Option<Box<str>>,
    /// The status with which the endpoint turned it away; `None` if it accepted it.
    pub rejected: Option<u16>,
}

#[derive(Debug)]
struct StandIn {
    name: Box<str>,
    service: Box<str>,
    software: Box<str>,
    /// Its start, which its reports name.
    boot: BootId,
    silent_until: Timestamp,
    down_until: Timestamp,
    full: bool,
    refuses_runs: bool,
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
    /// The stream of each call that takes one up again, named by the call that began it.
    origins: BTreeMap<u64, u64>,
    /// How many events a caller had before each call that takes a stream up again.
    had: BTreeMap<u64, u64>,
    /// The software versions whose events callers received, by stream.
    versions: BTreeMap<u64, BTreeSet<Box<str>>>,
}

impl World {
    /// Creates a gateway that is ready, before the given endpoints.
    pub fn new(table: RawTable, endpoints: &[(&str, EndpointKind, &str)]) -> World {
        let of = |(name, kind, pool): &(&str, EndpointKind, &str)| endpoint(name, *kind, pool);
        World::before(table, endpoints.iter().map(of).collect())
    }

    /// Creates a gateway that is ready, before endpoints in the given states.
    pub fn before(table: RawTable, listed: Vec<EndpointState>) -> World {
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
            origins: BTreeMap::new(),
            had: BTreeMap::new(),
            versions: BTreeMap::new(),
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
        let mut answers = std::mem::take(&mut self.f.answers);
        answers.values_mut().filter(|a| !a.complete).for_each(|a| a.aborted = true);
        self.f = Fixture::started(self.tables.clone(), budget_terms(), BootId(boot), self.f.now);
        self.f.answers = answers;
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

    /// Takes a stream up again after its last event, as its caller: ends the call that runs, if any,
    /// and sends a new one, which names the call that brought the first event of the stream.
    pub fn take_up(&mut self, caller: u64, path: &str, service: &str, events: u64) -> u64 {
        let origin = self.origin(caller);
        let (had, patience) = (self.had_events(caller), "9000");
        self.leave(caller);
        let (resumes, had_text) = (format!("call-{origin}"), had.to_string());
        let extra = [("Resumes", &*resumes), ("Last-Event-Id", &*had_text)];
        let next = self.resumption(path, service, events, &extra, patience);
        self.origins.insert(next, origin);
        self.had.insert(next, had);
        next
    }

    /// Sends a call to a model with these fields added.
    pub fn resumption(
        &mut self,
        path: &str,
        service: &str,
        events: u64,
        extra: &[(&str, &str)],
        patience: &str,
    ) -> u64 {
        let tokens = format!("300,{events}");
        let own = [("Model", "m"), ("Tokens", &*tokens), ("Patience-Ms", patience)];
        let fields = [&own[..], extra].concat();
        self.counted(service, |f, caller| f.call(caller, path, &fields))
    }

    /// Ends a call as its caller, which closes its connection.
    pub fn leave(&mut self, caller: u64) {
        let over = self.f.answers.get(&caller).is_some_and(|a| a.complete || a.aborted);
        if !over {
            self.f.step(Input::Local(HttpInput::CallerGone { caller: CallerId(caller) }));
            self.receive();
        }
    }

    /// Returns the call that brought the first event of a call's stream.
    pub fn origin(&self, caller: u64) -> u64 {
        self.origins.get(&caller).copied().unwrap_or(caller)
    }

    /// Returns how many events of its stream a caller has.
    pub fn had_events(&self, caller: u64) -> u64 {
        self.had.get(&caller).copied().unwrap_or(0) + self.new_events(caller)
    }

    /// Returns how many events a call has brought.
    pub fn new_events(&self, caller: u64) -> u64 {
        let content = self.f.answers.get(&caller).map_or(&[][..], |a| &a.content);
        String::from_utf8_lossy(content).matches("id: ").count() as u64
    }

    /// Returns whether a call got the rest of its stream of so many events, each once and in order.
    pub fn is_rest(&self, caller: u64, events: u64) -> bool {
        let had = self.had.get(&caller).copied().unwrap_or(0);
        let expected: String = (had + 1..=events).map(event_text).collect();
        let answer = self.f.answers.get(&caller);
        answer.is_some_and(|a| a.complete && a.status == 200 && a.content == expected.as_bytes())
    }

    /// Describes the streams that hold events of several software versions.
    pub fn mixed_streams(&self) -> Vec<String> {
        let mixed = self.versions.iter().filter(|(_, versions)| versions.len() > 1);
        mixed.map(|(stream, versions)| format!("stream {stream}: {versions:?}")).collect()
    }

    /// Returns how many streams have events.
    pub fn begun_streams(&self) -> usize {
        self.versions.len()
    }

    /// Returns the software version that began the stream of a call.
    pub fn version_of(&self, caller: u64) -> Option<Box<str>> {
        self.versions.get(&self.origin(caller))?.first().cloned()
    }

    /// Returns the runs whose KV cache came from another software version.
    pub fn mixed_exports(&self) -> Vec<&Arrival> {
        let of_other = |a: &&Arrival| a.source.as_ref().is_some_and(|s| *s != a.software);
        self.arrivals.iter().filter(of_other).collect()
    }

    fn counted(&mut self, service: &str, call: impl FnOnce(&mut Fixture, u64)) -> u64 {
        self.next_call += 1;
        self.calls.push((self.f.now, service.into()));
        call(&mut self.f, self.next_call);
        self.receive();
        self.next_call
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

    /// Makes an endpoint turn away runs although it grants reservations, or accept them again.
    pub fn refuse_runs(&mut self, name: &str, refuses: bool) {
        self.stand_in(name).refuses_runs = refuses;
    }

    /// Starts an endpoint anew under its name and at its address with another software version.
    /// This is not listed yet.
    pub fn upgrade(&mut self, name: &str, software: &str, millis: u64) {
        let stand_in = self.stand_in(name);
        stand_in.software = software.into();
        stand_in.boot = BootId(stand_in.boot.0 + 1);
        self.crash(name, millis);
    }

    /// Lists a newer start of an endpoint with its present software version.
    pub fn list_upgrade(&mut self, name: &str) {
        let software = self.stand_in(name).software.clone();
        let state = self.listed.iter_mut().find(|e| &*e.name == name).unwrap();
        state.boot = BootId(state.boot.0 + 1);
        state.sequence = 1;
        state.software = software;
        let state = state.clone();
        self.f.announce(state);
    }

    /// Ends an endpoint for good and takes it from the list.
    pub fn remove(&mut self, name: &str) {
        self.crash(name, 3_600_000);
        self.f.deregister(name);
        self.f.withdraw(name);
        self.listed.retain(|e| &*e.name != name);
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
        let stand_in = self.stand_in(name);
        stand_in.name = by.into();
        stand_in.boot = BootId(stand_in.boot.0 + 1);
    }

    /// Lists an endpoint that replaced another one, instead of it.
    pub fn list_replacement(&mut self, old: &str, new: &str) {
        let at = self.listed.iter().position(|e| &*e.name == old).unwrap();
        self.f.deregister(old);
        let software = self.stand_in(new).software.clone();
        let state = &mut self.listed[at];
        state.name = new.into();
        state.software = software;
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
        let source = sent.field("Source").and_then(|s| s.split_once('/')?.0.parse().ok());
        let source: Option<SocketAddr> = source;
        if let Some(kind) = kind(&sent) {
            self.arrivals.push(Arrival {
                at: now,
                call: sent.field("Call-Id").unwrap_or_default().into(),
                service: stand_in.service.clone(),
                target: sent.field("Endpoint").unwrap_or(&stand_in.name).into(),
                kind,
                software: stand_in.software.clone(),
                source: source.map(|at| self.stand_ins[&at].software.clone()),
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
        self.send_event(&sent, work.event);
        work.at = self.f.now + EVENT_TIME;
        let closed = self.f.hung_up.contains(&sent.peer);
        (!closed).then_some(work)
    }

    /// Sends an event, and notes its software version if it reached a caller.
    fn send_event(&mut self, sent: &Sent, event: u64) {
        let id = sent.field("Call-Id").and_then(|id| id.strip_prefix("call-")?.parse().ok());
        let caller = id.unwrap_or_default();
        let before = self.new_events(caller);
        self.f.data(sent, event_text(event).as_bytes());
        if self.new_events(caller) > before {
            let software = self.stand_ins[&sent.address].software.clone();
            self.versions.entry(self.origin(caller)).or_default().insert(software);
        }
    }

    fn content(&mut self, sent: &Sent) -> String {
        self.next_handle += 1;
        match kind(sent) {
            Some(Kind::Hold) => format!("hold h{}", self.next_handle),
            Some(Kind::Prefill) => format!("export e{}", self.next_handle),
            None if &*sent.head.target == "/report" => {
                format!("born {}", self.stand_ins[&sent.address].boot.0)
            }
            Some(Kind::Run) | None => "ok".into(),
        }
    }
}

impl StandIn {
    fn of(state: &EndpointState) -> StandIn {
        StandIn {
            name: state.name.clone(),
            service: state.pool.clone(),
            software: state.software.clone(),
            boot: state.boot,
            silent_until: Timestamp::default(),
            down_until: Timestamp::default(),
            full: false,
            refuses_runs: false,
        }
    }

    fn rejection(&self, sent: &Sent) -> Option<u16> {
        let other = sent.field("Endpoint").is_some_and(|name| *name != *self.name);
        match kind(sent)? {
            _ if other => Some(421),
            _ if self.full => Some(503),
            Kind::Run if self.refuses_runs => Some(503),
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
