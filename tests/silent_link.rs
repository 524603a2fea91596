//! Connections that stop carrying datagrams for good, while new ones to the same peer work.
//!
//! Also covers the sharing of dials, exchanges that fail, and keys that a peer refuses.

mod common;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use common::relay::Relay;
use common::{Fleet, free_udp, open_stream, wait_for};
use dotterelpin::control::config::Revised;
use dotterelpin::link::message::{
    AgentReply, AgentRequest, Answer, Envelope, Reply, Request, Settled,
};
use dotterelpin::link::tls::{Identity, make_keys};
use dotterelpin::link::{Link, LinkAction, LinkEvent, LinkHandle, Sink};
use dotterelpin::model::{BootId, CallId, ExchangeId, RequestId};
use dotterelpin::role::LinkFailure;

const TIMEOUT: Duration = Duration::from_secs(10);
/// Longer than the age from which a redial replaces a connection (`MIN_REDIAL_AGE`).
const ABOVE_REDIAL_AGE: Duration = Duration::from_millis(400);
/// Shorter than the age from which a redial replaces a connection (`MIN_REDIAL_AGE`).
const BELOW_REDIAL_AGE: Duration = Duration::from_millis(250);

struct Events {
    sender: Sender<LinkEvent>,
    /// Whether the sink reports a full queue, as if its role had fallen behind.
    overloaded: Arc<AtomicBool>,
}

impl Sink for Events {
    fn deliver(&self, event: LinkEvent) {
        let _ = self.sender.send(event);
    }

    fn depth(&self) -> usize {
        if self.overloaded.load(Ordering::SeqCst) { usize::MAX } else { 0 }
    }
}

/// A link with one registered role, whose events are kept in a channel.
struct End {
    handle: LinkHandle,
    owner: u64,
    events: Receiver<LinkEvent>,
    address: SocketAddr,
    overloaded: Arc<AtomicBool>,
    last: u64,
}

impl End {
    fn start(identity: Identity) -> End {
        let link = Link::bind(free_udp().unwrap(), identity).unwrap();
        let (handle, address) = (link.handle(), link.local_addr().unwrap());
        let (sender, events) = channel();
        let overloaded = Arc::new(AtomicBool::new(false));
        let sink: Arc<dyn Sink> = Arc::new(Events { sender, overloaded: overloaded.clone() });
        let owner = handle.register(sink.clone());
        link.start(Arc::new(move |_| Some(sink.clone()))).unwrap();
        End { handle, owner, events, address, overloaded, last: 0 }
    }

    fn open(&mut self, peer: SocketAddr) -> ExchangeId {
        self.last += 1;
        let exchange = ExchangeId(self.last);
        let request = RequestId { owner: BootId(1), call: CallId(self.last), attempt: 1 };
        let body = Request::Agent(AgentRequest::Settle { request, boot: BootId(1) });
        let envelope = Envelope { revised: Revised::default(), body };
        self.handle.act(LinkAction::Open { owner: self.owner, exchange, peer, envelope });
        exchange
    }

    /// Answers `count` requests; panics if the next one does not arrive within [`TIMEOUT`].
    fn answer(&self, count: usize) {
        for _ in 0..count {
            let inbound = wait_for(TIMEOUT, || match self.events.try_recv()? {
                LinkEvent::Request { inbound, .. } => Ok(inbound),
                other => eyre::bail!("expected a request, got {other:?}"),
            });
            let body = Reply::Agent(AgentReply::Settled(Settled::Unknown));
            let envelope = Envelope { revised: Revised::default(), body };
            let inbound = inbound.unwrap();
            self.handle.act(LinkAction::Reply { inbound, envelope, last: true });
        }
    }

    /// Receives the replies to `count` exchanges and their ends; panics if one of them fails.
    fn expect_replies(&self, count: usize) {
        let (mut replies, mut ends) = (0, 0);
        while replies < count || ends < count {
            match self.events.recv_timeout(TIMEOUT).expect("a reply or an end is missing") {
                LinkEvent::Reply { .. } => replies += 1,
                LinkEvent::Closed { failure: None, .. } => ends += 1,
                other => panic!("expected a reply or an end, got {other:?}"),
            }
        }
    }
}

fn make_folder(name: &str) -> PathBuf {
    let unique =
        format!("dotterelpin-{name}-{}-{}", std::process::id(), free_udp().unwrap().port());
    std::env::temp_dir().join(unique)
}

/// Starts two links with the keys of one fleet; returns them with the folder of the keys.
fn two_ends() -> (End, End, PathBuf) {
    let folder = make_folder("link");
    make_keys(&folder).unwrap();
    let end = || End::start(Identity::load(&folder).unwrap());
    (end(), end(), folder.clone())
}

#[test]
fn waiting_exchanges_share_one_dial_and_concurrent_redials_one_connection() {
    let (mut client, server, folder) = two_ends();
    let relay = Relay::start(server.address).unwrap();
    for _ in 0..50 {
        client.open(relay.address);
    }
    server.answer(50);
    client.expect_replies(50);
    assert_eq!(relay.flows(), 1, "expected 50 exchanges to share one dial");

    std::thread::sleep(ABOVE_REDIAL_AGE);
    for _ in 0..50 {
        client.handle.act(LinkAction::Redial { peer: relay.address });
        client.open(relay.address);
    }
    server.answer(50);
    client.expect_replies(50);
    assert_eq!(relay.flows(), 2, "expected 50 concurrent redials to open one new connection");
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn one_connection_carries_a_thousand_open_exchanges() {
    let (mut client, server, folder) = two_ends();
    for _ in 0..1_000 {
        client.open(server.address);
    }
    let requests: Vec<_> = (0..1_000)
        .map(|_| match server.events.recv_timeout(TIMEOUT).expect("a request is missing") {
            LinkEvent::Request { inbound, .. } => inbound,
            other => panic!("expected a request, got {other:?}"),
        })
        .collect();
    for inbound in requests {
        let body = Reply::Agent(AgentReply::Settled(Settled::Unknown));
        let envelope = Envelope { revised: Revised::default(), body };
        server.handle.act(LinkAction::Reply { inbound, envelope, last: true });
    }
    client.expect_replies(1_000);
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn redial_keeps_a_connection_below_the_redial_age() {
    let (mut client, server, folder) = two_ends();
    // On a slow machine a round may outlast the redial age, so only fast rounds are checked.
    let fast = (0..50).any(|_| {
        let relay = Relay::start(server.address).unwrap();
        let start = Instant::now();
        client.open(relay.address);
        server.answer(1);
        client.expect_replies(1);
        client.handle.act(LinkAction::Redial { peer: relay.address });
        client.open(relay.address);
        server.answer(1);
        client.expect_replies(1);
        let is_fast = start.elapsed() < BELOW_REDIAL_AGE;
        assert!(!is_fast || relay.flows() == 1, "a connection below the redial age was replaced");
        is_fast
    });
    assert!(fast, "none of 50 rounds took less than {BELOW_REDIAL_AGE:?}");
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn redial_replaces_a_silent_connection_at_once() {
    let (mut client, server, folder) = two_ends();
    let relay = Relay::start(server.address).unwrap();
    client.open(relay.address);
    server.answer(1);
    client.expect_replies(1);
    std::thread::sleep(ABOVE_REDIAL_AGE);
    assert_eq!(relay.silence(), 1);
    let lost = client.open(relay.address);
    std::thread::sleep(ABOVE_REDIAL_AGE);
    client.handle.act(LinkAction::Redial { peer: relay.address });
    client.open(relay.address);
    server.answer(1);
    // The reply on the new connection arrives before the silent connection times out.
    let reply = client.events.recv_timeout(TIMEOUT);
    assert_matches!(reply, Ok(LinkEvent::Reply { exchange, .. }) if exchange != lost);
    assert_matches!(
        client.events.recv_timeout(TIMEOUT),
        Ok(LinkEvent::Closed { failure: None, .. })
    );
    assert_matches!(
        client.events.recv_timeout(TIMEOUT),
        Ok(LinkEvent::Closed { exchange, failure: Some(LinkFailure::Broken) }) if exchange == lost
    );
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn exchange_with_a_peer_that_reads_nothing_is_abandoned() {
    let (mut client, server, folder) = two_ends();
    client.overloaded.store(true, Ordering::SeqCst);
    client.open(server.address);
    let request = server.events.recv_timeout(TIMEOUT);
    let Ok(LinkEvent::Request { inbound, .. }) = request else { panic!("no request: {request:?}") };
    for _ in 0..3_000 {
        let content = vec![0; 4_096];
        let answer = Answer { status: 200, media: "text/plain".into(), content };
        let body = Reply::Agent(AgentReply::Answer(answer));
        let envelope = Envelope { revised: Revised::default(), body };
        server.handle.act(LinkAction::Reply { inbound, envelope, last: false });
    }
    let event = server.events.recv_timeout(TIMEOUT);
    assert_matches!(event, Ok(LinkEvent::Abandoned { inbound: i }) if i == inbound);
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn failed_dial_fails_all_waiting_exchanges_together() {
    let (mut client, _, folder) = two_ends();
    let dead = free_udp().unwrap();
    for _ in 0..20 {
        client.open(dead);
    }
    let start = Instant::now();
    for _ in 0..20 {
        let event = client.events.recv_timeout(TIMEOUT);
        assert_matches!(event, Ok(LinkEvent::Closed { failure: Some(LinkFailure::NotSent), .. }));
    }
    // All exchanges share one dial, rather than each waiting for a dial of its own.
    assert!(start.elapsed() < TIMEOUT, "20 exchanges took {:?} to fail", start.elapsed());
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn foreign_key_and_operator_are_refused() {
    let (_, server, folder) = two_ends();
    let mut operator = End::start(Identity::load_operator(&folder).unwrap());
    operator.open(server.address);
    assert_matches!(
        operator.events.recv_timeout(TIMEOUT),
        Ok(LinkEvent::Closed { failure: Some(LinkFailure::Forbidden), .. })
    );
    let foreign_folder = make_folder("foreign");
    make_keys(&foreign_folder).unwrap();
    let mut foreign_end = End::start(Identity::load(&foreign_folder).unwrap());
    foreign_end.open(server.address);
    assert_matches!(
        foreign_end.events.recv_timeout(TIMEOUT),
        Ok(LinkEvent::Closed { failure: Some(LinkFailure::NotSent), .. })
    );
    assert_matches!(server.events.try_recv(), Err(_), "a refused request reached the role");
    std::fs::remove_dir_all(folder).unwrap();
    std::fs::remove_dir_all(foreign_folder).unwrap();
}

#[test]
fn stream_and_tap_recover_from_silent_connections() {
    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry("brno-a").unwrap();
    fleet.relayed = true;
    fleet.engine("prefill", "brno-a", &[]).unwrap();
    fleet.engine("decode", "brno-b", &["--token-us", "20000"]).unwrap();
    let service = fleet.service("brno-a", &[]).unwrap();
    fleet.wait_ready().unwrap();
    let expected = fleet.stream(0, "Lesson plan: rivers.", 60).unwrap().text;

    let path = "/services/classroom/tap";
    let tap = |name: &str| {
        let key = [("idempotency-key", name)];
        fleet.call(0, "POST", path, &key, name).unwrap()
    };
    // A claim that control does not commit within two seconds, e.g. while the disk of its only
    // member completes no sync, is refused with `no-quorum`; a resend must be answered.
    let settled = wait_for(TIMEOUT, || {
        let answer = tap("tap-0");
        let refused = match answer.status {
            503 => answer.body.contains("no-quorum"),
            409 => answer.body.contains("in-progress"),
            _ => false,
        };
        let safe_to_resend = refused && answer.ran.as_deref() == Some("maybe");
        assert!(answer.status == 200 || safe_to_resend, "tap-0 is not to be resent: {answer:?}");
        eyre::ensure!(answer.status == 200, "tap-0 has no answer: {answer:?}");
        Ok(answer)
    });
    assert_eq!(settled.unwrap().body, r#"{"run":1}"#);
    let counts = fleet.endpoints[service].counts().unwrap();
    assert_eq!(counts["tap-0"], 1, "tap-0 did not run exactly once: {counts}");

    let mut stream = open_stream(&fleet.entries[0].url, "Lesson plan: rivers.", 60).unwrap();
    let first = stream.next_event().unwrap().unwrap();
    let silenced: usize = fleet.relays.iter().map(Relay::silence).sum();
    assert!(silenced >= 3, "expected at least 3 silenced flows, got {silenced}");
    let rest = stream.read_all().unwrap();
    let first: serde_json::Value = serde_json::from_str(&first).unwrap();
    let text = format!("{}{}", first["choices"][0]["text"].as_str().unwrap(), rest.text);
    if rest.done {
        assert_eq!(text, expected, "expected each offset once and none missing");
    } else {
        assert!(rest.error.is_some(), "neither complete nor ended by an error: {rest:?}");
        assert!(expected.starts_with(&text), "expected each offset once, got {text:?}");
    }

    let answer = tap("tap-1");
    wait_for(TIMEOUT, || {
        let again = tap("tap-1");
        eyre::ensure!(!matches!(again.status, 409 | 503), "tap-1 has not settled: {again:?}");
        Ok(())
    })
    .unwrap();
    let counts = fleet.endpoints[service].counts().unwrap();
    let runs = counts["tap-1"].as_u64().unwrap_or(0);
    assert!(runs <= 1, "tap-1 ran more than once: {counts}");
    assert!(
        answer.status != 200 || runs == 1,
        "tap-1 was answered but did not run: {answer:?}, {counts}"
    );

    // A call on a silent connection may end with an error event, but later calls succeed.
    wait_for(TIMEOUT, || {
        let after = fleet.stream(0, "Lesson plan: rivers.", 10)?;
        eyre::ensure!(
            after.done || after.error.is_some(),
            "neither complete nor ended by an error: {after:?}"
        );
        eyre::ensure!(after.done, "the call still fails: {after:?}");
        Ok(())
    })
    .unwrap();
}
