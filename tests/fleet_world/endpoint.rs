//! The endpoints of a simulated fleet.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::h1::{AnswerHead, HttpInput, Part, PeerId, Reader, RequestHead};
use dotterelpin::link::message::ControlRequest;
use dotterelpin::model::{BootId, EndpointKind, EndpointState, Timestamp};
use dotterelpin::role::Input;

use super::{ANNOUNCE_INTERVAL, DELAY, World};
use crate::gateway_fixture::{endpoint, fields};

/// How long a prefill takes.
const PREFILL_TIME: Duration = Duration::from_millis(30);
/// How long an answer to a plain call takes.
const PLAIN_TIME: Duration = Duration::from_millis(15);

/// How long endpoints take.
#[derive(Debug, Clone, Copy)]
pub struct Timing {
    /// The time to the first event of a stream, and between two events.
    pub event: Duration,
    /// How long a faulty run works before its endpoint crashes.
    pub crash: Duration,
    /// How long an endpoint is down after a crash.
    pub down: Duration,
}

impl Default for Timing {
    fn default() -> Timing {
        Timing {
            event: Duration::from_millis(50),
            crash: Duration::from_millis(40),
            down: Duration::from_millis(2_500),
        }
    }
}

/// What a request of a call asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A reservation, a report or a release.
    Side,
    /// A prefill.
    Prefill,
    /// A run of a stream.
    Run,
    /// A plain call.
    Plain,
}

/// A request that reached an endpoint.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// When it arrived.
    pub at: Timestamp,
    /// The gateway that sent it.
    pub gateway: usize,
    /// The number of the call; 0 for a side request.
    pub call: u64,
    /// What it asks for.
    pub kind: Kind,
    /// The index of the endpoint.
    pub endpoint: usize,
    /// The parts of the call's prompt.
    pub parts: String,
    /// The path and the query.
    pub target: String,
    /// The body.
    pub body: Vec<u8>,
}

/// An endpoint.
#[derive(Debug)]
pub struct Endpoint {
    /// What it announces.
    pub state: EndpointState,
    /// Until when it is down.
    pub down_until: Timestamp,
    /// The limit that it names in its answers, in requests per second.
    pub limit: Option<Box<str>>,
    base: Box<str>,
    next_announce: Timestamp,
}

impl Endpoint {
    /// Creates an endpoint that runs.
    pub fn new(name: &str, kind: EndpointKind, service: &str) -> Endpoint {
        Endpoint {
            state: endpoint(name, kind, service),
            down_until: Timestamp::default(),
            limit: None,
            base: name.into(),
            next_announce: Timestamp::default(),
        }
    }
}

/// A connection to an endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Connection {
    pub endpoint: usize,
    boot: BootId,
}

/// A request that an endpoint works on.
#[derive(Debug)]
pub struct Work {
    pub gateway: usize,
    pub peer: PeerId,
    endpoint: usize,
    head: RequestHead,
    body: Vec<u8>,
    kind: Kind,
    /// When the endpoint acts on it next.
    at: Timestamp,
    event: u64,
    crashes: bool,
    /// When a faulty run crashes its endpoint.
    crash_at: Timestamp,
}

impl Work {
    fn call(&self) -> u64 {
        let id = self.head.fields.text("Call-Id").unwrap_or_default();
        id.trim_start_matches("call-").parse().unwrap_or_default()
    }

    fn events(&self) -> u64 {
        let tokens = self.head.fields.text("Tokens").unwrap_or_default();
        tokens.split(',').nth(1).and_then(|n| n.parse().ok()).unwrap_or(1)
    }
}

impl World {
    fn endpoint_at(&self, address: SocketAddr) -> Option<usize> {
        self.endpoints.iter().position(|e| e.state.address == address)
    }

    /// Connects a gateway to an address, at once, or refuses that.
    pub(super) fn dial(&mut self, gateway: usize, peer: PeerId, address: SocketAddr) {
        let up = |at: &usize| self.endpoints[*at].down_until <= self.now;
        let Some(endpoint) = self.endpoint_at(address).filter(up) else {
            let error = "refused".into();
            let lost = HttpInput::Lost { peer, sent: false, error };
            self.later(gateway, lost);
            return;
        };
        let boot = self.endpoints[endpoint].state.boot;
        self.connections.insert((gateway, peer), Connection { endpoint, boot });
        self.step_gateway(gateway, Input::Local(HttpInput::Connected { peer }));
    }

    /// Delivers an input of a connection to a gateway with the next step of the endpoints.
    fn later(&mut self, gateway: usize, input: HttpInput) {
        self.inputs.push((self.now + DELAY, gateway, self.gateways[gateway].boot, input));
    }

    pub(super) fn receive(&mut self, gateway: usize, peer: PeerId, bytes: &[u8]) {
        let Some(connection) = self.connections.get(&(gateway, peer)).copied() else { return };
        let mut reader = Reader::requests(1 << 16, 1 << 24);
        reader.feed(bytes);
        let Ok(Some(Part::Request(head))) = reader.next_part() else { panic!("no request head") };
        let mut body = Vec::new();
        while let Ok(Some(Part::Data(data))) = reader.next_part() {
            body.extend(data);
        }
        let text = |name: &str| head.fields.text(name).unwrap_or_default().to_string();
        let kind = match (&*head.target, &*text("Stage"), &*text("Model")) {
            ("/hold" | "/report", _, _) => Kind::Side,
            (target, _, _) if target.starts_with("/export/") => Kind::Side,
            (target, _, _) if target.starts_with("/hold/") => Kind::Side,
            (_, "prefill", _) => Kind::Prefill,
            (_, _, "") => Kind::Plain,
            _ => Kind::Run,
        };
        let parts = text("Parts");
        let shared: Vec<&str> = parts.split(',').map(|p| p.split(':').next().unwrap()).collect();
        let faulty = shared.iter().rev().skip(1).any(|p| self.faulty_parts.contains(*p))
            || self.faulty_bodies.contains(&body)
            || self.faulty_targets.contains(&*head.target)
            || self.faulty_targets.contains(head.path());
        let crashes = faulty && matches!(kind, Kind::Run | Kind::Plain);
        let delay = match kind {
            Kind::Plain if crashes => self.timing.crash,
            Kind::Side => Duration::from_millis(2),
            Kind::Prefill => PREFILL_TIME,
            Kind::Run if crashes => self.timing.crash.min(self.timing.event),
            Kind::Run => self.timing.event,
            Kind::Plain => PLAIN_TIME,
        };
        let (endpoint, at) = (connection.endpoint, self.now + DELAY + delay);
        let crash_at = self.now + DELAY + self.timing.crash;
        let event = 0;
        let work = Work { gateway, peer, endpoint, head, body, kind, at, event, crashes, crash_at };
        self.arrivals.push(Arrival {
            at: self.now,
            gateway,
            call: work.call(),
            kind,
            endpoint,
            parts,
            target: work.head.target.to_string(),
            body: work.body.clone(),
        });
        self.work.push(work);
    }

    /// Ends the work whose connection a gateway has closed; faulty runs may go on.
    pub(super) fn hung_up(&mut self, gateway: usize, peer: PeerId) {
        let finishes = self.finishes;
        let ends = |w: &Work| (w.gateway, w.peer) == (gateway, peer) && !(finishes && w.crashes);
        self.work.retain(|w| !ends(w));
    }

    /// Lets all endpoints act.
    pub(super) fn act(&mut self) {
        self.announce_all();
        self.deliver_inputs();
        while let Some(index) = self.work.iter().position(|w| w.at <= self.now) {
            let work = self.work.remove(index);
            if work.crashes && self.now >= work.crash_at {
                let others = self.work.iter().filter(|w| w.endpoint == work.endpoint && w.crashes);
                let calls = others.map(Work::call).chain([work.call()]).collect();
                self.crash_with(work.endpoint, calls);
            } else {
                self.answer_work(work);
            }
        }
    }

    fn deliver_inputs(&mut self) {
        let (due, rest) =
            std::mem::take(&mut self.inputs).into_iter().partition(|(at, gateway, _, _)| {
                *at <= self.now && self.gateways[*gateway].frozen_until <= self.now
            });
        self.inputs = rest;
        let due: Vec<(Timestamp, usize, u64, HttpInput)> = due;
        for (_, gateway, boot, input) in due {
            if self.gateways[gateway].boot == boot {
                self.step_gateway(gateway, Input::Local(input));
            }
        }
    }

    fn announce_all(&mut self) {
        for at in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[at];
            if endpoint.down_until > self.now || endpoint.next_announce > self.now {
                continue;
            }
            endpoint.next_announce = self.now + ANNOUNCE_INTERVAL;
            endpoint.state.sequence += 1;
            let state = Box::new(endpoint.state.clone());
            for member in self.heard_by(at) {
                self.request_outside(member, ControlRequest::Announce(state.clone()));
            }
        }
    }

    /// Returns the members that hear an endpoint: all, or, where each announces itself to one, that one
    /// and the leader that it knows.
    fn heard_by(&self, at: usize) -> BTreeSet<usize> {
        let all = 0..self.members.len();
        if !self.one_member {
            return all.collect();
        }
        let up = |member: &usize| {
            let node = &self.members[*member];
            node.role.is_some() && node.frozen_until <= self.now
        };
        let Some(home) = all.map(|n| (at + n) % self.members.len()).find(up) else {
            return BTreeSet::new();
        };
        let leader = self.members[home].role.as_ref().and_then(|m| m.replica().leader());
        let leader = leader.and_then(|leader| {
            (0..self.members.len()).find(|n| super::member_address(*n) == leader)
        });
        [home].into_iter().chain(leader).collect()
    }

    fn answer_work(&mut self, work: Work) {
        let peer = work.peer;
        if work.kind == Kind::Run {
            self.write_event(work);
            return;
        }
        self.last_handle += 1;
        let content = match (&*work.head.target, work.kind) {
            ("/hold", _) => format!("hold h{}", self.last_handle),
            (_, Kind::Prefill) => format!("export e{}", self.last_handle),
            _ => "ok".to_string(),
        };
        self.write_head(&work, 200);
        let bytes = content.into_bytes();
        self.later(work.gateway, HttpInput::Data { peer, bytes });
        self.later(work.gateway, HttpInput::End { peer, reusable: true });
    }

    fn write_head(&mut self, work: &Work, status: u16) {
        let id = work.head.fields.text("Call-Id").unwrap_or_default().to_string();
        let mut list = vec![("Signature", "s")];
        if !id.is_empty() {
            list.push(("Call-Id", &id));
        }
        let limit = self.endpoints[work.endpoint].limit.clone();
        if let Some(limit) = &limit {
            list.push(("Limit", limit));
        }
        let head = AnswerHead { status, fields: fields(&list) };
        self.later(work.gateway, HttpInput::Answer { peer: work.peer, head });
    }

    fn write_event(&mut self, mut work: Work) {
        if work.event == 0 {
            self.write_head(&work, 200);
            let after = work.head.fields.text("Last-Event-Id").and_then(|n| n.parse().ok());
            work.event = after.unwrap_or(0);
        }
        work.event += 1;
        let (gateway, peer) = (work.gateway, work.peer);
        let software = &self.endpoints[work.endpoint].state.software;
        let said = if software.is_empty() { "x" } else { software };
        let bytes = format!("id: {}\ndata: {said}\n\n", work.event).into_bytes();
        self.later(gateway, HttpInput::Data { peer, bytes });
        if work.event >= work.events() {
            self.later(gateway, HttpInput::End { peer, reusable: true });
            return;
        }
        work.at = self.now + self.timing.event;
        if work.crashes {
            work.at = work.at.min(work.crash_at);
        }
        self.work.push(work);
    }

    /// Crashes an endpoint for a reason of its own.
    pub fn crash(&mut self, endpoint: usize) {
        self.crash_with(endpoint, Vec::new());
    }

    /// Crashes an endpoint because of the runs of these calls: all its connections end, and it comes
    /// back under another name.
    fn crash_with(&mut self, at: usize, calls: Vec<u64>) {
        if self.endpoints[at].down_until > self.now {
            return;
        }
        self.crashes.push((self.now, calls));
        self.last_boot += 1;
        let endpoint = &mut self.endpoints[at];
        endpoint.down_until = self.now + self.timing.down;
        endpoint.next_announce = endpoint.down_until;
        endpoint.state.boot = BootId(self.last_boot);
        endpoint.state.name = format!("{}-{}", endpoint.base, self.last_boot).into();
        self.work.retain(|w| w.endpoint != at);
        self.close_connections(at);
    }

    fn close_connections(&mut self, endpoint: usize) {
        let of = |c: &Connection| c.endpoint == endpoint;
        let open: Vec<(usize, PeerId)> =
            self.connections.iter().filter(|(_, c)| of(c)).map(|(key, _)| *key).collect();
        for (gateway, peer) in open {
            self.connections.remove(&(gateway, peer));
            let error = "reset".into();
            self.later(gateway, HttpInput::Lost { peer, sent: true, error });
        }
    }

    /// Breaks the connections of some runs, at endpoints that go on.
    pub fn reset_connections(&mut self, gateway: usize) {
        let open: Vec<(usize, PeerId)> =
            self.work.iter().filter(|w| w.gateway == gateway).map(|w| (gateway, w.peer)).collect();
        for (gateway, peer) in open {
            self.work.retain(|w| (w.gateway, w.peer) != (gateway, peer));
            self.connections.remove(&(gateway, peer));
            let error = "reset".into();
            self.later(gateway, HttpInput::Lost { peer, sent: true, error });
        }
    }
}
