//! Connections that go silent for good while new ones work.

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

const PATIENCE: Duration = Duration::from_secs(10);
/// Longer than a connection must have stood before a fresh one may take its place.
const OLD_ENOUGH: Duration = Duration::from_millis(400);
/// Shorter than a connection must have stood before a fresh one may take its place.
const FRESH: Duration = Duration::from_millis(250);

struct Events {
    sender: Sender<LinkEvent>,
    /// Whether the role is too far behind to take more.
    behind: Arc<AtomicBool>,
}

impl Sink for Events {
    fn deliver(&self, event: LinkEvent) {
        let _ = self.sender.send(event);
    }

    fn depth(&self) -> usize {
        if self.behind.load(Ordering::SeqCst) { usize::MAX } else { 0 }
    }
}

/// A link with one role that keeps its events.
struct End {
    handle: LinkHandle,
    owner: u64,
    events: Receiver<LinkEvent>,
    address: SocketAddr,
    behind: Arc<AtomicBool>,
    last: u64,
}

impl End {
    fn start(identity: Identity) -> End {
        let link = Link::bind(free_udp().unwrap(), identity).unwrap();
        let (handle, address) = (link.handle(), link.local_addr().unwrap());
        let (sender, events) = channel();
        let behind = Arc::new(AtomicBool::new(false));
        let sink: Arc<dyn Sink> = Arc::new(Events { sender, behind: behind.clone() });
        let owner = handle.register(sink.clone());
        link.start(Arc::new(move |_| Some(sink.clone()))).unwrap();
        End { handle, owner, events, address, behind, last: 0 }
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

    /// Answers the requests that come within a time, and returns how many there were.
    fn answer(&self, count: usize) {
        for _ in 0..count {
            let inbound = wait_for(PATIENCE, || match self.events.try_recv()? {
                LinkEvent::Request { inbound, .. } => Ok(inbound),
                other => eyre::bail!("{other:?}"),
            });
            let body = Reply::Agent(AgentReply::Settled(Settled::Unknown));
            let envelope = Envelope { revised: Revised::default(), body };
            let inbound = inbound.unwrap();
            self.handle.act(LinkAction::Reply { inbound, envelope, last: true });
        }
    }

    /// Takes the replies to exchanges that end as they should.
    fn expect_replies(&self, count: usize) {
        let (mut replies, mut ends) = (0, 0);
        while replies < count || ends < count {
            match self.events.recv_timeout(PATIENCE).expect("a reply and its end") {
                LinkEvent::Reply { .. } => replies += 1,
                LinkEvent::Closed { failure: None, .. } => ends += 1,
                other => panic!("{other:?}"),
            }
        }
    }
}

fn make_folder(name: &str) -> PathBuf {
    let unique =
        format!("dotterelpin-{name}-{}-{}", std::process::id(), free_udp().unwrap().port());
    std::env::temp_dir().join(unique)
}

/// Two links of one fleet.
fn two_ends() -> (End, End, PathBuf) {
    let folder = make_folder("link");
    make_keys(&folder).unwrap();
    let end = || End::start(Identity::load(&folder).unwrap());
    (end(), end(), folder.clone())
}

#[test]
fn exchanges_that_wait_share_one_dial_and_redials_make_no_storm() {
    let (mut near, far, folder) = two_ends();
    let relay = Relay::start(far.address).unwrap();
    for _ in 0..50 {
        near.open(relay.address);
    }
    far.answer(50);
    near.expect_replies(50);
    assert_eq!(relay.flows(), 1, "50 exchanges share one dial");

    std::thread::sleep(OLD_ENOUGH);
    for _ in 0..50 {
        near.handle.act(LinkAction::Redial { peer: relay.address });
        near.open(relay.address);
    }
    far.answer(50);
    near.expect_replies(50);
    assert_eq!(relay.flows(), 2, "50 redials at once make one fresh connection");
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn hundreds_of_exchanges_stand_at_once_on_one_connection() {
    let (mut near, far, folder) = two_ends();
    for _ in 0..1_000 {
        near.open(far.address);
    }
    let requests: Vec<_> = (0..1_000)
        .map(|_| match far.events.recv_timeout(PATIENCE).expect("a request") {
            LinkEvent::Request { inbound, .. } => inbound,
            other => panic!("{other:?}"),
        })
        .collect();
    for inbound in requests {
        let body = Reply::Agent(AgentReply::Settled(Settled::Unknown));
        let envelope = Envelope { revised: Revised::default(), body };
        far.handle.act(LinkAction::Reply { inbound, envelope, last: true });
    }
    near.expect_replies(1_000);
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn redial_keeps_a_connection_that_is_fresh_itself() {
    let (mut near, far, folder) = two_ends();
    // Whether the connection still is fresh depends on the machine, so slow rounds don't count.
    let fast = (0..50).any(|_| {
        let relay = Relay::start(far.address).unwrap();
        let start = Instant::now();
        near.open(relay.address);
        far.answer(1);
        near.expect_replies(1);
        near.handle.act(LinkAction::Redial { peer: relay.address });
        near.open(relay.address);
        far.answer(1);
        near.expect_replies(1);
        let is_fast = start.elapsed() < FRESH;
        assert!(!is_fast || relay.flows() == 1, "a fresh connection was replaced");
        is_fast
    });
    assert!(fast, "no round was fast enough to count");
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn redial_leaves_a_silent_connection_behind_at_once() {
    let (mut near, far, folder) = two_ends();
    let relay = Relay::start(far.address).unwrap();
    near.open(relay.address);
    far.answer(1);
    near.expect_replies(1);
    std::thread::sleep(OLD_ENOUGH);
    assert_eq!(relay.silence(), 1);
    let lost = near.open(relay.address);
    std::thread::sleep(OLD_ENOUGH);
    near.handle.act(LinkAction::Redial { peer: relay.address });
    near.open(relay.address);
    far.answer(1);
    // The reply on the fresh connection comes before the silent one is given up.
    let reply = near.events.recv_timeout(PATIENCE);
    assert_matches!(reply, Ok(LinkEvent::Reply { exchange, .. }) if exchange != lost);
    assert_matches!(
        near.events.recv_timeout(PATIENCE),
        Ok(LinkEvent::Closed { failure: None, .. })
    );
    assert_matches!(
        near.events.recv_timeout(PATIENCE),
        Ok(LinkEvent::Closed { exchange, failure: Some(LinkFailure::Broken) }) if exchange == lost
    );
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn peer_that_reads_nothing_loses_its_exchange() {
    let (mut near, far, folder) = two_ends();
    near.behind.store(true, Ordering::SeqCst);
    near.open(far.address);
    let request = far.events.recv_timeout(PATIENCE);
    let Ok(LinkEvent::Request { inbound, .. }) = request else { panic!("{request:?}") };
    for _ in 0..3_000 {
        let content = vec![0; 4_096];
        let answer = Answer { status: 200, media: "text/plain".into(), content };
        let body = Reply::Agent(AgentReply::Answer(answer));
        let envelope = Envelope { revised: Revised::default(), body };
        far.handle.act(LinkAction::Reply { inbound, envelope, last: false });
    }
    let event = far.events.recv_timeout(PATIENCE);
    assert_matches!(event, Ok(LinkEvent::Abandoned { inbound: i }) if i == inbound);
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn dial_of_a_dead_peer_fails_for_all_that_wait() {
    let (mut near, _, folder) = two_ends();
    let dead = free_udp().unwrap();
    for _ in 0..20 {
        near.open(dead);
    }
    let start = Instant::now();
    for _ in 0..20 {
        let event = near.events.recv_timeout(PATIENCE);
        assert_matches!(event, Ok(LinkEvent::Closed { failure: Some(LinkFailure::NotSent), .. }));
    }
    // One dial for all, rather than one after the other.
    assert!(start.elapsed() < PATIENCE, "{:?}", start.elapsed());
    std::fs::remove_dir_all(folder).unwrap();
}

#[test]
fn stranger_and_operator_are_refused_where_they_have_no_place() {
    let (_, far, folder) = two_ends();
    let mut operator = End::start(Identity::load_operator(&folder).unwrap());
    operator.open(far.address);
    assert_matches!(
        operator.events.recv_timeout(PATIENCE),
        Ok(LinkEvent::Closed { failure: Some(LinkFailure::Forbidden), .. })
    );
    let foreign = make_folder("foreign");
    make_keys(&foreign).unwrap();
    let mut stranger = End::start(Identity::load(&foreign).unwrap());
    stranger.open(far.address);
    assert_matches!(
        stranger.events.recv_timeout(PATIENCE),
        Ok(LinkEvent::Closed { failure: Some(LinkFailure::NotSent), .. })
    );
    assert_matches!(far.events.try_recv(), Err(_), "nothing reached the role");
    std::fs::remove_dir_all(folder).unwrap();
    std::fs::remove_dir_all(foreign).unwrap();
}

#[test]
fn stream_and_tap_get_past_silent_connections() {
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
    assert_eq!(tap("tap-0").status, 200);

    let mut stream = open_stream(&fleet.entries[0].url, "Lesson plan: rivers.", 60).unwrap();
    let first = stream.next_event().unwrap().unwrap();
    let silenced: usize = fleet.relays.iter().map(Relay::silence).sum();
    assert!(silenced >= 3, "{silenced} flows were silenced");
    let rest = stream.read_all().unwrap();
    let first: serde_json::Value = serde_json::from_str(&first).unwrap();
    let text = format!("{}{}", first["choices"][0]["text"].as_str().unwrap(), rest.text);
    if rest.done {
        assert_eq!(text, expected, "each offset once, whole");
    } else {
        assert!(rest.error.is_some(), "neither whole nor an error: {rest:?}");
        assert!(expected.starts_with(&text), "each offset once: {text:?}");
    }

    let answer = tap("tap-1");
    wait_for(PATIENCE, || {
        let again = tap("tap-1");
        eyre::ensure!(!matches!(again.status, 409 | 503), "{again:?}");
        Ok(())
    })
    .unwrap();
    let counts = fleet.endpoints[service].counts().unwrap();
    let runs = counts["tap-1"].as_u64().unwrap_or(0);
    assert!(runs <= 1, "{counts}");
    assert!(answer.status != 200 || runs == 1, "{answer:?}, {counts}");

    // A call that meets a silent connection may end in a truthful error; later ones work.
    wait_for(PATIENCE, || {
        let after = fleet.stream(0, "Lesson plan: rivers.", 10)?;
        eyre::ensure!(after.done || after.error.is_some(), "short and no error: {after:?}");
        eyre::ensure!(after.done, "{after:?}");
        Ok(())
    })
    .unwrap();
}
