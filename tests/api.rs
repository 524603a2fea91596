//! The API acknowledges a change only once the leader has committed it, also after a change of
//! leader or a failed exchange.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dotterelpin::api::protocol::{ApiCall, ApiProtocol, ApiReply};
use dotterelpin::api::stages::{StageOrder, StageTerms};
use dotterelpin::api::{Api, ApiSettings};
use dotterelpin::control::config::Revised;
use dotterelpin::control::routing::Document;
use dotterelpin::control::state::{Applied, Command};
use dotterelpin::h1::{
    AnswerHead, CallerId, Fields, HttpEffect, HttpInput, PeerId, Purpose, Request, RequestHead,
};
use dotterelpin::link::Request as LinkRequest;
use dotterelpin::link::message::{ControlReply, ControlRequest, Envelope, Leadership, Reply};
use dotterelpin::model::{
    BootId, Capacity, EndpointKind, EndpointState, ExchangeId, Fence, Load, Timestamp,
};
use dotterelpin::role::{Input, LinkFailure, Output, Role};

/// How long after the signal the process is killed.
const GRACE: Duration = Duration::from_secs(8);

/// A protocol that reads calls from request targets and writes replies as debug text.
struct Plain;

impl ApiProtocol for Plain {
    fn read(&self, request: &Request) -> Result<ApiCall, ApiReply> {
        let words: Vec<&str> = request.head.target.split('/').skip(1).collect();
        match words.as_slice() {
            ["publish", version] => {
                let version = version.parse().unwrap();
                Ok(ApiCall::Publish(Document { version, text: b"text"[..].into() }))
            }
            ["read"] => Ok(ApiCall::Read),
            ["beat", state] => Ok(ApiCall::Announce(Box::new(endpoint(*state == "draining")))),
            ["leave"] => Ok(ApiCall::Deregister { endpoint: "e1".into(), boot: Some(BootId(5)) }),
            _ => Err(ApiReply::Unknown),
        }
    }

    fn write_order(&self, order: &StageOrder, holder: &str, fence: u64) -> Vec<u8> {
        format!("{} {holder} {fence}", order.endpoint).into_bytes()
    }

    fn write(&self, reply: &ApiReply, _keep: bool) -> Vec<u8> {
        format!("{reply:?}").into_bytes()
    }
}

fn endpoint(draining: bool) -> EndpointState {
    EndpointState {
        name: "e1".into(),
        address: "127.0.0.1:9001".parse().unwrap(),
        domain: "a".into(),
        boot: BootId(5),
        sequence: 1,
        kind: EndpointKind::Prefill,
        pool: "drafts".into(),
        url: "".into(),
        capacity: Capacity { slots: 12, pieces: 0, piece_tokens: 0 },
        load: Load::default(),
        draining,
        fence: Fence(0),
        software: "".into(),
    }
}

fn member(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + number))
}

struct Fixture {
    now: Timestamp,
    api: Api,
    open: Vec<(ExchangeId, SocketAddr, ControlRequest)>,
    replies: Vec<(u64, String)>,
    orders: Vec<(PeerId, String)>,
    hang_ups: Vec<PeerId>,
    /// When all connections are to be closed, each time that this was asked for.
    closes: Vec<Timestamp>,
    /// When the role stopped, each time that it said so.
    stops: Vec<Timestamp>,
}

impl Fixture {
    fn new() -> Fixture {
        Fixture::with_members(0..3)
    }

    fn with_members(members: std::ops::Range<u16>) -> Fixture {
        let settings = ApiSettings {
            own: member(0),
            members: members.map(member).collect(),
            name: "control-0".into(),
            stages: StageTerms { share: 27, spare: 0 },
            grace: GRACE,
        };
        Fixture {
            now: Timestamp::from_micros(1_000_000_000),
            api: Api::new(settings, Box::new(Plain)),
            open: Vec::new(),
            replies: Vec::new(),
            orders: Vec::new(),
            hang_ups: Vec::new(),
            closes: Vec::new(),
            stops: Vec::new(),
        }
    }

    fn step(&mut self, input: Input<HttpInput>) {
        for output in self.api.step(self.now, input) {
            match output {
                Output::Open { exchange, peer, envelope } => {
                    let LinkRequest::Control(request) = envelope.body else { panic!() };
                    self.open.push((exchange, peer, request));
                }
                Output::Reset { exchange } => self.open.retain(|(e, ..)| *e != exchange),
                Output::Effect(HttpEffect::Reply { caller, bytes }) => {
                    self.replies.push((caller.0, String::from_utf8(bytes).unwrap()));
                }
                Output::Effect(HttpEffect::Send { peer, bytes }) => {
                    self.orders.push((peer, String::from_utf8(bytes).unwrap()));
                }
                Output::Effect(HttpEffect::HangUp { peer }) => self.hang_ups.push(peer),
                Output::Effect(HttpEffect::CloseAll { until }) => {
                    assert!(self.stops.is_empty(), "connections are closed after the end");
                    self.closes.push(until);
                }
                Output::Stopped => self.stops.push(self.now),
                _ => {}
            }
        }
    }

    fn call(&mut self, caller: u64, target: &str) {
        let head = RequestHead {
            method: "POST".into(),
            target: target.into(),
            http10: false,
            fields: Fields::default(),
        };
        let request = Request { head: Arc::new(head), body: b""[..].into() };
        let (caller, purpose) = (CallerId(caller), Purpose::Calls);
        self.step(Input::Local(HttpInput::Request { caller, purpose, request }));
    }

    fn advance(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while let Some(at) = self.api.next_wake().filter(|at| *at <= until && self.now <= until) {
            self.now = self.now.max(at);
            self.step(Input::Wake);
            self.now = self.now + Duration::from_millis(1);
        }
        self.now = self.now.max(until);
    }

    /// Removes and returns the oldest open exchange whose request is not `Lead`.
    fn take_request(&mut self) -> (ExchangeId, SocketAddr, ControlRequest) {
        let is_other = |r: &ControlRequest| !matches!(r, ControlRequest::Lead);
        let at = self
            .open
            .iter()
            .position(|(_, _, r)| is_other(r))
            .expect("expected an open request other than Lead");
        self.open.remove(at)
    }

    fn reply(&mut self, exchange: ExchangeId, reply: ControlReply) {
        let envelope = Envelope { revised: Revised::default(), body: Reply::Control(reply) };
        self.step(Input::Reply { exchange, envelope });
    }

    /// Answers the open `Lead` request, if any: this member leads.
    fn reply_lead(&mut self, age: u64, succeeds: bool, term: u64, endpoints: Vec<EndpointState>) {
        let is_lead = |r: &ControlRequest| matches!(r, ControlRequest::Lead);
        let Some(at) = self.open.iter().position(|(_, _, r)| is_lead(r)) else { return };
        let (exchange, ..) = self.open.remove(at);
        let age = Duration::from_millis(age);
        let leadership = Some(Box::new(Leadership { term, age, succeeds, endpoints }));
        self.reply(exchange, ControlReply::Lead { leader: Some(member(0)), leadership });
    }
}

#[test]
fn document_is_acknowledged_only_once_the_leader_has_committed_it() {
    let mut f = Fixture::new();
    f.call(1, "/publish/7");
    let (exchange, peer, request) = f.take_request();
    assert_eq!(peer, member(0));
    assert!(matches!(request, ControlRequest::Propose(Command::Publish(d)) if d.version == 7));
    f.reply(exchange, ControlReply::NotLeader { leader: Some(member(2)) });
    let (exchange, peer, _) = f.take_request();
    assert_eq!(peer, member(2));
    assert!(f.replies.is_empty());
    f.reply(exchange, ControlReply::Applied(Applied::Published(7)));
    assert_eq!(f.replies, [(1, "Done".to_string())]);
    f.call(2, "/publish/8");
    assert_eq!(f.take_request().1, member(2), "expected the request at the leader named before");
}

#[test]
fn silent_leader_is_abandoned_and_the_call_answered_as_unavailable_in_time() {
    let mut f = Fixture::new();
    f.call(1, "/publish/7");
    let (_, first, _) = f.take_request();
    f.advance(360);
    let (_, second, _) = f.take_request();
    assert_eq!((first, second), (member(0), member(0)));
    f.advance(360);
    let (_, third, _) = f.take_request();
    assert_ne!(third, second);
    f.advance(250);
    assert_eq!(f.replies.len(), 1);
    assert!(f.replies[0].1.starts_with("Unavailable"), "{:?}", f.replies);
}

/// The settings of a machine that was added later name members that are gone by now, each of which
/// took the time that the member of its own process needs to tell who leads.
#[test]
fn call_is_sent_to_the_own_member_before_those_of_the_settings() {
    let mut f = Fixture::with_members(5..8);
    f.step(Input::Wake);
    let at = f.open.iter().position(|(_, _, r)| matches!(r, ControlRequest::Lead));
    let (exchange, ..) = f.open.remove(at.expect("a request for the leader"));
    f.reply(exchange, ControlReply::Lead { leader: Some(member(1)), leadership: None });
    f.call(1, "/publish/7");
    assert_eq!(f.take_request().1, member(1));
    f.advance(360);
    assert_eq!(f.take_request().1, member(0));
}

/// Fails if the reply to a command that took longer to commit than a member may take to answer is
/// not accepted, since the command was sent again meanwhile.
#[test]
fn reply_of_a_slow_commit_is_accepted_after_the_command_was_sent_again() {
    let mut f = Fixture::new();
    f.call(1, "/publish/7");
    let (first, ..) = f.take_request();
    f.advance(400);
    f.reply(first, ControlReply::Applied(Applied::Done));
    assert_eq!(f.replies, [(1, "Done".to_string())]);
}

#[test]
fn broken_exchange_is_retried() {
    let mut f = Fixture::new();
    f.call(1, "/read");
    let (exchange, ..) = f.take_request();
    f.step(Input::Closed { exchange, failure: Some(LinkFailure::Broken) });
    f.advance(50);
    let (exchange, ..) = f.take_request();
    let document = Document { version: 3, text: b"three"[..].into() };
    f.reply(exchange, ControlReply::Applied(Applied::Document(Some(document))));
    assert!(f.replies[0].1.contains("version: 3"), "{:?}", f.replies);
}

#[test]
fn heartbeat_is_sent_to_the_leader_too_and_to_all_while_none_is_known() {
    let mut f = Fixture::new();
    f.call(1, "/beat/ready");
    let peers: Vec<SocketAddr> = f.open.iter().map(|(_, peer, _)| *peer).collect();
    assert_eq!(peers.len(), 3, "{peers:?}");
    f.open.clear();
    f.advance(600);
    let at = f.open.iter().position(|(_, _, r)| matches!(r, ControlRequest::Lead)).unwrap();
    let (exchange, ..) = f.open.remove(at);
    f.reply(exchange, ControlReply::Lead { leader: Some(member(2)), leadership: None });
    f.open.clear();
    f.call(2, "/beat/ready");
    let peers: BTreeSet<SocketAddr> = f.open.iter().map(|(_, peer, _)| *peer).collect();
    assert_eq!(peers, BTreeSet::from([member(0), member(2)]));
}

#[test]
fn draining_endpoint_is_acknowledged_after_its_deregistration_is_committed() {
    let mut f = Fixture::new();
    f.call(1, "/beat/draining");
    let (exchange, _, request) = f.take_request();
    assert!(
        matches!(request, ControlRequest::Propose(Command::Deregister(d)) if d.boot == BootId(5))
    );
    f.reply(exchange, ControlReply::Applied(Applied::Done));
    assert!(f.replies.is_empty());
    while f.replies.is_empty() {
        let (exchange, _, request) = f.take_request();
        assert!(matches!(request, ControlRequest::Announce(_)));
        f.reply(exchange, ControlReply::Announced);
    }
    // A repeated heartbeat of the same boot needs no commit.
    f.open.clear();
    f.call(2, "/beat/draining");
    assert!(matches!(f.take_request().2, ControlRequest::Announce(_)));
    f.open.clear();
    f.call(3, "/leave");
    assert!(matches!(f.take_request().2, ControlRequest::Propose(Command::Deregister(_))));
}

#[test]
fn leader_sends_stage_orders_with_its_term_after_the_takeover_delay() {
    let engines = |prefills: usize| -> Vec<EndpointState> {
        (0..6)
            .map(|n| EndpointState {
                name: format!("e{n}").into(),
                kind: if n < prefills { EndpointKind::Prefill } else { EndpointKind::Decode },
                ..endpoint(false)
            })
            .collect()
    };
    let mut f = Fixture::new();
    for age in (0..7_900).step_by(500) {
        f.advance(500);
        f.reply_lead(age, true, 4, engines(4));
    }
    assert!(
        f.orders.is_empty(),
        "expected no orders while those of the previous leader may be valid"
    );
    for age in (8_000..18_000).step_by(500) {
        f.advance(500);
        f.reply_lead(age, true, 4, engines(4));
    }
    let (peer, order) = f.orders.remove(0);
    assert!(order.ends_with("control-0 4"), "{order}");
    // 412: the engine has accepted an order of a newer leader, so this term sends no more orders.
    let head = AnswerHead { status: 412, fields: Fields::default() };
    f.step(Input::Local(HttpInput::Answer { peer, head }));
    f.step(Input::Local(HttpInput::End { peer, reusable: true }));
    f.orders.clear();
    for age in (18_000..50_000).step_by(500) {
        f.advance(500);
        f.reply_lead(age, true, 4, engines(4));
    }
    assert!(f.orders.is_empty());
}

#[test]
fn first_leader_sends_stage_orders_without_delay() {
    let engines: Vec<EndpointState> =
        (0..6).map(|n| EndpointState { name: format!("e{n}").into(), ..endpoint(false) }).collect();
    let mut f = Fixture::new();
    for age in (0..3_000).step_by(500) {
        f.advance(500);
        f.reply_lead(age, false, 2, engines.clone());
    }
    assert!(!f.orders.is_empty());
}

/// Fails if a commit that is open at the end of the grace period is waited for until the process is
/// killed, or is answered as refused although it may be committed.
#[test]
fn open_commit_at_the_end_of_the_grace_period_gets_no_answer() {
    let mut f = Fixture::new();
    let since = f.now;
    f.step(Input::Shutdown { since });
    for call in 0..12 {
        f.call(call, "/publish/7");
        f.advance(600);
    }
    f.advance(300);
    assert_eq!(f.replies.len(), 12, "{:?}", f.replies);
    assert!(f.replies.iter().all(|(_, r)| r.starts_with("Unavailable")), "{:?}", f.replies);
    f.advance(200);
    assert_eq!(f.stops.len(), 1, "the API has not stopped");
    assert!(f.stops[0] <= since + Duration::from_millis(7_510), "stopped at {:?}", f.stops);
    assert_eq!(f.closes, [since + Duration::from_millis(7_750)]);
}

/// Fails if an API that was told late of the signal waits for a commit beyond its grace period.
#[test]
fn commit_outlasts_the_grace_period_when_the_signal_is_handled_late() {
    let mut f = Fixture::new();
    f.call(1, "/publish/7");
    f.advance(100);
    let since = Timestamp::from_micros(f.now.as_micros() - 7_200_000);
    f.step(Input::Shutdown { since });
    assert!(f.replies.is_empty());
    f.advance(310);
    assert!(f.replies.len() == 1 && f.replies[0].1.starts_with("Unavailable"), "{:?}", f.replies);
    assert_eq!(f.stops.len(), 1);
}

/// Fails if a request that comes when the API has ended, or too late to be committed, is proposed.
#[test]
fn request_after_the_end_of_an_api_is_proposed() {
    let mut f = Fixture::new();
    f.step(Input::Shutdown { since: f.now });
    f.advance(600);
    assert_eq!((f.stops.len(), f.closes.len()), (1, 1));
    f.open.clear();
    f.call(1, "/publish/7");
    f.call(2, "/beat/ready");
    f.advance(600);
    assert!(f.open.is_empty(), "{:?}", f.open);
    assert_eq!(f.replies.len(), 2, "{:?}", f.replies);
    assert!(f.replies.iter().all(|(_, r)| r.starts_with("Unavailable")), "{:?}", f.replies);
    assert_eq!((f.stops.len(), f.closes.len()), (1, 1), "the end was reported twice");
}

/// Fails if a request whose commit can't be awaited within the grace period is proposed.
#[test]
fn request_that_comes_too_late_to_be_committed_is_proposed() {
    let mut f = Fixture::new();
    f.call(1, "/publish/6");
    let since = Timestamp::from_micros(f.now.as_micros() - 6_700_000);
    f.step(Input::Shutdown { since });
    f.open.clear();
    f.call(2, "/publish/7");
    assert!(f.open.is_empty(), "{:?}", f.open);
    assert!(f.replies.len() == 1 && f.replies[0].1.starts_with("Unavailable"), "{:?}", f.replies);
}

/// Fails if an API ends while it writes an order to an engine or waits for its answer, although time
/// is left; or if it waits beyond its grace period.
#[test]
fn order_is_cut_off_when_its_api_ends() {
    for (answered, late) in [(true, false), (false, false), (false, true)] {
        let engines = |n| EndpointState { name: format!("e{n}").into(), ..endpoint(false) };
        let mut f = Fixture::new();
        for age in (0..3_000).step_by(500) {
            f.advance(500);
            f.reply_lead(age, false, 2, (0..6).map(engines).collect());
            if !f.orders.is_empty() {
                break;
            }
        }
        let orders = f.orders.len();
        assert_ne!(orders, 0);
        let spent = Duration::from_millis(if late { 7_400 } else { 0 });
        let since =
            Timestamp::from_micros((f.now - Timestamp::default() - spent).as_micros() as u64);
        f.step(Input::Shutdown { since });
        if !late {
            f.advance(1_000);
            assert!(f.stops.is_empty(), "stopped while an order has no answer");
        }
        if answered {
            for peer in f.orders.iter().map(|(peer, _)| *peer).collect::<Vec<_>>() {
                f.step(Input::Local(HttpInput::End { peer, reusable: true }));
            }
            assert_eq!(f.stops.len(), 1);
        }
        f.advance(if late { 150 } else { 1_200 });
        assert_eq!(f.stops.len(), 1, "answered: {answered}, late: {late}");
        assert_eq!(f.hang_ups.len(), orders, "answered: {answered}, late: {late}");
    }
}

/// The members in the settings had all been replaced, and the platform named the new ones.
#[test]
fn announcement_goes_to_no_member_that_only_new_settings_name() {
    let mut f = Fixture::new();
    f.step(Input::Members { addresses: vec![member(0), member(5), member(6)] });
    f.call(1, "/beat/up");
    let sent = f.open.iter().filter(|(_, _, r)| matches!(r, ControlRequest::Announce(_)));
    let peers: BTreeSet<SocketAddr> = sent.map(|(_, peer, _)| *peer).collect();
    assert_eq!(peers, [0, 5, 6].map(member).into());
}
