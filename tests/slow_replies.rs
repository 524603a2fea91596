//! Replies to heartbeats that take longer than a heartbeat is waited for, because they are large or
//! the link or the member is slow, still count.

use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::control::routing::{Document, RoutingUpdate};
use dotterelpin::link::message::{
    Beat, ControlReply, ControlRequest, Endpoints, Heartbeat, Proof, Reply, Request, Seen,
};
use dotterelpin::model::{BootId, ExchangeId, Revision, Timestamp};
use dotterelpin::registry::{Follower, FollowerSettings};
use dotterelpin::role::Output;

const MEMBERS: u8 = 3;
/// How long the link keeps a connection without a sign of its peer.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_500);
const STEP: Duration = Duration::from_millis(50);
/// The version of the routing document of all members.
const VERSION: u64 = 7;

fn address(member: u8) -> SocketAddr {
    ([10, 0, 0, member], 7000).into()
}

/// How long a reply takes, with the document or without.
struct Delays {
    document_ms: u64,
    other_ms: u64,
}

/// A heartbeat on its way to a member and back.
struct Open {
    exchange: ExchangeId,
    member: SocketAddr,
    sent: Timestamp,
    heartbeat: Heartbeat,
    answered: Timestamp,
}

impl Open {
    fn wants_document(&self) -> bool {
        self.heartbeat.routing.is_some_and(|seen| seen.version < VERSION)
    }
}

/// A gateway's follower, and members that reply late.
struct World {
    follower: Follower,
    now: Timestamp,
    open: Vec<Open>,
    last: u64,
    /// How many heartbeats have asked for the document.
    copies: u32,
    /// When new connections were requested.
    redials: Vec<(SocketAddr, Timestamp)>,
    /// The most heartbeats that were open to all members at once.
    most_open: usize,
}

impl World {
    fn new() -> World {
        let follower = Follower::new(FollowerSettings {
            name: "gateway-0".into(),
            role: "gateway".into(),
            domain: "brno-a".into(),
            boot: BootId(1),
            address: None,
            members: (0..MEMBERS).map(address).collect(),
            routes: true,
            endpoints: true,
        });
        let now = Timestamp::from_micros(1_000_000);
        let (open, redials) = (Vec::new(), Vec::new());
        World { follower, now, open, last: 0, copies: 0, redials, most_open: 0 }
    }

    /// Lets time pass; `is_lost` says which heartbeats are never answered.
    fn run(&mut self, millis: u64, delays: &Delays, is_lost: impl Fn(&Open) -> bool) {
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.answer_due();
            self.close_lost();
            self.wake(delays, &is_lost);
            self.now = self.now + STEP;
        }
    }

    fn wake(&mut self, delays: &Delays, is_lost: &impl Fn(&Open) -> bool) {
        let last = &mut self.last;
        let outputs = self.follower.wake::<()>(self.now, None, None, &mut || {
            *last += 1;
            ExchangeId(*last)
        });
        for output in outputs {
            match output {
                Output::Open { exchange, peer, envelope } => {
                    let Request::Control(ControlRequest::Heartbeat(heartbeat)) = envelope.body
                    else {
                        panic!("expected a heartbeat")
                    };
                    let (answered, sent) = (Timestamp::MAX, self.now);
                    let heartbeat = *heartbeat;
                    let mut open = Open { exchange, member: peer, sent, heartbeat, answered };
                    let wants = open.wants_document();
                    self.copies += u32::from(wants);
                    let delay = if wants { delays.document_ms } else { delays.other_ms };
                    if !is_lost(&open) {
                        open.answered = self.now + Duration::from_millis(delay);
                    }
                    self.open.push(open);
                    self.most_open = self.most_open.max(self.open.len());
                }
                Output::Reset { exchange } => self.open.retain(|o| o.exchange != exchange),
                Output::Redial { peer } => self.redials.push((peer, self.now)),
                _ => {}
            }
        }
    }

    fn answer_due(&mut self) {
        let due = |open: &Open| open.answered <= self.now;
        let (due, rest) = std::mem::take(&mut self.open).into_iter().partition(due);
        self.open = rest;
        let due: Vec<Open> = due;
        for open in due {
            self.answer(&open, VERSION, None);
        }
    }

    /// Ends the exchanges on connections that the link has closed, because they were silent.
    fn close_lost(&mut self) {
        let lost = |o: &Open| o.answered == Timestamp::MAX && self.now - o.sent >= IDLE_TIMEOUT;
        let (lost, rest) = std::mem::take(&mut self.open).into_iter().partition(lost);
        self.open = rest;
        let lost: Vec<Open> = lost;
        for open in lost {
            self.follower.closed(open.exchange);
        }
    }

    /// Answers a heartbeat as a member whose newest document has a version.
    fn answer(&mut self, open: &Open, version: u64, leader: Option<SocketAddr>) {
        let document = Document { version, text: b"table".as_slice().into() };
        let document = open.wants_document().then_some(document);
        let proof = Proof {
            member: open.member,
            highest: Revision(0),
            document: version,
            epoch: 1,
            voters: (0..MEMBERS).map(address).collect(),
        };
        let routing = RoutingUpdate { document, deregistered: Vec::new(), gateways: 1, leader };
        let beat = Beat {
            member: "control".into(),
            proof: Some(proof),
            config: None,
            seen: Seen::default(),
            endpoints: Some(Endpoints::All(Vec::new())),
            orders: None,
            quarantine: None,
            routing: Some(Box::new(routing)),
            reports: None,
        };
        let reply = Reply::Control(ControlReply::Beat(beat));
        self.follower.reply(self.now, open.exchange, &reply);
    }

    /// Returns the version of the document if one has arrived, which is then in force.
    fn take_document(&mut self) -> Option<u64> {
        let version = self.follower.new_document()?.version;
        self.follower.document_in_force(version);
        Some(version)
    }
}

/// A heartbeat was given up after 400 ms and its reply dropped, so that a gateway whose replies took
/// longer never got a table, nor a confirmation.
#[test]
fn table_arrives_though_each_reply_takes_longer_than_a_heartbeat_is_waited_for() {
    let mut w = World::new();
    let delays = Delays { document_ms: 600, other_ms: 600 };
    w.run(2_000, &delays, |_| false);
    assert_eq!(w.take_document(), Some(VERSION));
    w.run(3_000, &delays, |_| false);
    assert!(w.follower.document_confirmed_until(w.now).is_some());
    assert!(w.follower.is_confirmed(w.now));
}

/// A document of megabytes was begun anew with each heartbeat and never arrived.
#[test]
fn large_document_arrives_over_a_slow_link_in_few_copies() {
    let mut w = World::new();
    let delays = Delays { document_ms: 6_000, other_ms: 100 };
    w.run(6_500, &delays, |_| false);
    assert_eq!(w.take_document(), Some(VERSION));
    assert!(w.copies <= 2 * u32::from(MEMBERS), "{} copies", w.copies);
    assert!(w.most_open <= 4 * usize::from(MEMBERS), "{} heartbeats were open", w.most_open);
}

/// The time for a document was fixed, whatever the rate at which it arrives.
#[test]
fn time_for_a_document_grows_until_it_arrives() {
    let mut w = World::new();
    let delays = Delays { document_ms: 20_000, other_ms: 100 };
    w.run(60_000, &delays, |_| false);
    assert_eq!(w.take_document(), Some(VERSION));
}

/// The heartbeats with the document stay without a reply, as on connections that the network has
/// forgotten: it has to be asked for on new ones, without a wait for the old ones.
#[test]
fn document_is_asked_for_again_on_a_new_connection_when_the_old_one_is_silent() {
    let mut w = World::new();
    let delays = Delays { document_ms: 50, other_ms: 50 };
    w.run(500, &delays, |_| true);
    assert!(w.redials.len() == usize::from(MEMBERS), "{:?}", w.redials);
    w.run(250, &delays, |_| false);
    assert_eq!(w.take_document(), Some(VERSION));
}

/// Control out of reach for long: what is open, and how often new connections are dialled, is bounded.
#[test]
fn unanswered_heartbeats_are_bounded() {
    let mut w = World::new();
    let delays = Delays { document_ms: 50, other_ms: 50 };
    w.run(60_000, &delays, |_| true);
    assert!(w.most_open <= 5 * usize::from(MEMBERS), "{} heartbeats were open", w.most_open);
    w.run(1_000, &delays, |_| false);
    w.run(1_000, &delays, |_| false);
    assert_eq!(w.take_document(), Some(VERSION));
}

/// A reply that was overtaken is older than what is known: it must not take anything back.
#[test]
fn reply_that_was_overtaken_takes_nothing_back() {
    let mut w = World::new();
    let delays = Delays { document_ms: 50, other_ms: 50 };
    w.run(550, &delays, |_| true);
    let open = std::mem::take(&mut w.open);
    let (early, late): (Vec<Open>, Vec<Open>) =
        open.into_iter().partition(|o| o.exchange.0 <= u64::from(MEMBERS));
    assert!(early.len() == late.len() && !late.is_empty());
    for open in &late {
        w.answer(open, VERSION, Some(address(2)));
    }
    assert_eq!(w.take_document(), Some(VERSION));
    assert!(w.follower.document_confirmed_until(w.now).is_some());
    for open in &early {
        w.answer(open, VERSION - 1, Some(address(1)));
    }
    assert_eq!(w.take_document(), None);
    assert_eq!(w.follower.leader(), Some(address(2)));
    let until = w.follower.document_confirmed_until(w.now);
    assert!(until.is_some_and(|at| at >= w.now + Duration::from_millis(1_500)), "{until:?}");
}
