//! Reports of engines are fetched once for all gateways, which get them by way of control.

mod gateway_fixture;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::control::reports::Reports;
use dotterelpin::control::routing::RoutingUpdate;
use dotterelpin::gateway::reports::polls::{Others, Polls, Wanted};
use dotterelpin::link::Request;
use dotterelpin::link::message::{
    AgedLoad, Beat, ControlReply, ControlRequest, EngineLoad, EngineTag, FetchedReport, Heartbeat,
    Reply, ReportsWanted, Seen,
};
use dotterelpin::model::{BootId, EndpointKind, ExchangeId, Timestamp};
use dotterelpin::registry::{Follower, FollowerSettings};
use dotterelpin::role::Output;
use gateway_fixture::{Fixture, MODEL, Sent};

const MEMBERS: usize = 5;
const ENGINES: usize = 56;
const TICK: Duration = Duration::from_millis(5);
/// The oldest picture today, with one request a second, and the interval of heartbeats.
const OLDEST: Duration = Duration::from_millis(1_500);
/// The delays of the model: a poll, two messages and their replies, each rounded up to ticks.
const DELAYS: Duration = Duration::from_millis(50);

fn member(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1 + index as u8], 7_000))
}

/// A gateway with its picture of each engine.
struct Node {
    follower: Follower,
    polls: Polls<usize>,
    next: Timestamp,
    exchanges: u64,
    /// When each engine made the last report that this gateway knows.
    pictures: BTreeMap<usize, Timestamp>,
    /// Answers of engines that are under way.
    answers: Vec<(Timestamp, usize)>,
    /// Replies of members that are under way.
    replies: Vec<(Timestamp, ExchangeId, Reply)>,
    frozen: bool,
    /// Whether it reaches engines, but no member.
    is_cut: bool,
}

impl Node {
    /// Takes a picture of an engine if it is new, and returns the age that the known one had.
    fn see(&mut self, now: Timestamp, engine: usize, at: Timestamp) -> Duration {
        let known = self.pictures.entry(engine).or_insert(at);
        let age = now - *known;
        *known = (*known).max(at);
        age
    }
}

/// Gateways, control members and engines.
struct World {
    now: Timestamp,
    nodes: Vec<Node>,
    members: Vec<(Reports, bool)>,
    tags: Vec<EngineTag>,
    engines: BTreeMap<EngineTag, usize>,
    leader: usize,
    /// The number of polls of each engine.
    polls: Vec<usize>,
    /// The longest time between two polls of an engine, by any gateways.
    gap: Duration,
    last_polls: Vec<Timestamp>,
    oldest: Duration,
    /// Bytes of reports in heartbeats and in their replies.
    bytes: (usize, usize),
}

impl World {
    fn new(gateways: usize) -> World {
        let now = Timestamp::from_micros(1_000_000_000);
        let tag = |engine| EngineTag::of(&format!("engine-{engine}"), BootId(1));
        let tags: Vec<EngineTag> = (0..ENGINES).map(tag).collect();
        let members = (0..MEMBERS).map(|_| (Reports::default(), true));
        World {
            now,
            nodes: (0..gateways).map(|at| node(now, at)).collect(),
            members: members.collect(),
            engines: tags.iter().enumerate().map(|(engine, tag)| (*tag, engine)).collect(),
            tags,
            leader: 0,
            polls: vec![0; ENGINES],
            gap: Duration::ZERO,
            last_polls: vec![now; ENGINES],
            oldest: Duration::ZERO,
            bytes: (0, 0),
        }
    }

    /// Lets the polls settle, and begins to count.
    fn settled(gateways: usize) -> World {
        let mut world = World::new(gateways);
        world.run(10);
        world.count_anew();
        world
    }

    fn count_anew(&mut self) {
        self.polls = vec![0; ENGINES];
        (self.gap, self.oldest, self.bytes) = (Duration::ZERO, Duration::ZERO, (0, 0));
    }

    fn run(&mut self, seconds: u64) {
        self.run_millis(seconds * 1_000);
    }

    fn run_millis(&mut self, millis: u64) {
        let until = self.now + Duration::from_millis(millis);
        while self.now < until {
            self.now = self.now + TICK;
            for at in 0..self.nodes.len() {
                if !self.nodes[at].frozen && self.now >= started(at) {
                    self.step(at);
                }
            }
        }
        let running = self.nodes.iter().filter(|n| !n.frozen);
        let ages = running.flat_map(|n| n.pictures.values()).map(|at| self.now - *at);
        self.oldest = self.oldest.max(ages.max().unwrap_or_default());
    }

    fn step(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let answers: Vec<_> = node.answers.extract_if(.., |(due, _)| *due <= now).collect();
        for (_, engine) in answers {
            self.oldest = self.oldest.max(node.see(now, engine, now));
            let load = load(now, engine);
            if let Some(weight) = node.polls.answered(engine) {
                node.follower.share_report(now, self.tags[engine], weight, load);
            }
        }
        let due: Vec<_> = node.replies.extract_if(.., |(due, ..)| *due <= now).collect();
        for (_, exchange, reply) in due {
            node.follower.reply(now, exchange, &reply);
        }
        for heard in node.follower.take_reports() {
            let engine = self.engines[&heard.tag];
            self.oldest = self.oldest.max(node.see(now, engine, heard.at));
            node.polls.heard(now, engine, heard.at);
        }
        if now >= node.next {
            self.poll(at);
        }
        self.send_heartbeats(at);
    }

    fn poll(&mut self, at: usize) {
        let (now, gateways) = (self.now, self.nodes.len() as u32);
        let node = &mut self.nodes[at];
        let wanted = self.tags.iter().enumerate();
        let wanted: Vec<_> =
            wanted.map(|(key, tag)| Wanted { key, tag: *tag, called: true }).collect();
        let grown = node.polls.want(now, &wanted);
        node.follower.want_reports(node.polls.prefixes(), grown);
        let others = Others { in_reach: node.follower.hears_reports(now), gateways };
        for engine in node.polls.due(now, others) {
            node.answers.push((now + TICK, engine));
            self.polls[engine] += 1;
            self.gap = self.gap.max(now - self.last_polls[engine]);
            self.last_polls[engine] = now;
        }
        node.next = node.polls.next_due(now, others);
    }

    fn send_heartbeats(&mut self, at: usize) {
        let now = self.now;
        let node = &mut self.nodes[at];
        let exchanges = &mut node.exchanges;
        let mut next = || {
            *exchanges += 1;
            ExchangeId(*exchanges)
        };
        let outputs: Vec<Output<()>> = node.follower.wake(now, None, None, &mut next);
        for output in outputs {
            let Output::Open { exchange, peer, envelope } = output else { continue };
            let Request::Control(ControlRequest::Heartbeat(heartbeat)) = envelope.body else {
                panic!("expected a heartbeat")
            };
            if let Some(reply) = self.answer(peer, *heartbeat, at) {
                self.nodes[at].replies.push((now + TICK, exchange, reply));
            }
        }
    }

    fn answer(&mut self, peer: SocketAddr, heartbeat: Heartbeat, at: usize) -> Option<Reply> {
        let index = (0..MEMBERS).find(|i| member(*i) == peer).unwrap();
        let (leader, gateways) = (member(self.leader), self.nodes.len() as u32);
        let (reports, alive) = &mut self.members[index];
        if !*alive || self.nodes[at].is_cut {
            return None;
        }
        let boot = heartbeat.process.boot;
        self.bytes.0 += size(&heartbeat.reports);
        let sent = heartbeat.reports.map(|r| *r).unwrap_or_default();
        reports.record(self.now, boot, &sent.fetched);
        let heard = sent.wanted.map(|w| Box::new(reports.heard(self.now, boot, &w)));
        self.bytes.1 += size(&heard);
        Some(Reply::Control(ControlReply::Beat(Beat {
            member: "control".into(),
            proof: None,
            config: None,
            seen: Seen { epoch: BootId(1), ..Seen::default() },
            endpoints: None,
            orders: None,
            quarantine: None,
            routing: Some(Box::new(RoutingUpdate {
                document: None,
                deregistered: Vec::new(),
                gateways,
                leader: Some(leader),
            })),
            reports: heard,
        })))
    }

    fn total(&self) -> usize {
        self.polls.iter().sum()
    }

    /// Returns the gateway that polls most engines.
    fn busiest(&self) -> usize {
        (0..self.nodes.len()).max_by_key(|at| self.nodes[*at].polls.polled()).unwrap()
    }
}

fn size<T: serde::Serialize>(message: &T) -> usize {
    postcard::to_stdvec(message).unwrap().len()
}

/// Returns when a gateway starts: their heartbeats are out of step.
fn started(at: usize) -> Timestamp {
    Timestamp::from_micros(1_000_000_000 + at as u64 * 37_000 % 500_000)
}

/// Returns a load that changes often.
fn load(now: Timestamp, engine: usize) -> EngineLoad {
    let tick = (now.as_micros() / 300_000) as usize;
    EngineLoad {
        kind: None,
        running: ((tick * 7 + engine) % 12) as u32,
        waiting: 0,
        used: ((tick * 977 + engine * 131) % 30_000) as u32,
    }
}

fn node(now: Timestamp, at: usize) -> Node {
    let follower = FollowerSettings {
        name: format!("gateway-{at}").into(),
        role: "gateway".into(),
        domain: "a".into(),
        boot: BootId(10 + at as u64),
        address: None,
        members: (0..MEMBERS).map(member).collect(),
        endpoints: false,
        routes: true,
    };
    Node {
        polls: Polls::new(&follower.name),
        follower: Follower::new(follower),
        next: now,
        exchanges: 0,
        pictures: BTreeMap::new(),
        answers: Vec::new(),
        replies: Vec::new(),
        frozen: false,
        is_cut: false,
    }
}

/// Checks a minute of normal operation against one request of each gateway to each engine a second.
fn check_minute(gateways: usize, percent: usize) {
    let mut world = World::settled(gateways);
    world.run(60);
    let before = gateways * ENGINES * 60;
    let (sent, heard) = world.bytes;
    let bytes = |total: usize| total / 60 / gateways;
    println!(
        "gateways={gateways} polls={} before={before} oldest={:?} sent={} heard={} bytes/s each",
        world.total(),
        world.oldest,
        bytes(sent),
        bytes(heard),
    );
    assert!(world.total() * 100 <= before * percent, "{} polls of {before}", world.total());
    assert!(world.oldest <= OLDEST + DELAYS, "{:?}", world.oldest);
    assert!(world.gap < Duration::from_millis(700), "{:?}", world.gap);
    assert!(bytes(heard) < 4_000, "a gateway receives {} bytes a second", bytes(heard));
}

// Guards against requests that grow with the number of gateways, and against old pictures.
#[test]
fn four_gateways_poll_half_as_often() {
    check_minute(4, 55);
}

#[test]
fn thirty_one_gateways_poll_at_most_a_third_as_often() {
    check_minute(31, 33);
}

#[test]
fn three_hundred_gateways_poll_as_often_as_thirty_one() {
    check_minute(300, 1);
}

// Guards against engines without reports once the gateway that polls them is gone.
#[test]
fn others_take_over_within_two_seconds_when_a_poller_freezes() {
    for gateways in [4, 31, 300] {
        let mut world = World::settled(gateways);
        let busiest = world.busiest();
        let polled = world.nodes[busiest].polls.polled();
        world.nodes[busiest].frozen = true;
        world.run(4);
        println!(
            "gateways={gateways} engines={polled} gap={:?} oldest={:?} polls={}",
            world.gap,
            world.oldest,
            world.total()
        );
        assert!(polled > 0);
        assert!(world.gap <= Duration::from_millis(2_000), "{:?}", world.gap);
        assert!(world.oldest <= Duration::from_millis(3_500), "{:?}", world.oldest);
        // Those that notice at the same time each poll once or twice.
        let usual = ENGINES * 8;
        assert!(world.total() < usual + polled * gateways, "{} polls", world.total());
        world.nodes[busiest].frozen = false;
        world.run(3);
        world.count_anew();
        world.run(10);
        assert!(world.total() < ENGINES * 22, "{} polls in 10 s", world.total());
        assert!(world.oldest <= OLDEST + DELAYS, "{:?}", world.oldest);
    }
}

// Guards against a gateway that reaches engines, but not control, and keeps them from others.
#[test]
fn gateway_without_control_polls_as_before_and_others_go_on() {
    let mut world = World::settled(31);
    let cut = world.busiest();
    world.nodes[cut].is_cut = true;
    world.run(4);
    assert!(world.gap <= Duration::from_millis(2_000), "{:?}", world.gap);
    world.count_anew();
    world.run(10);
    let own = ENGINES * 10;
    let others = ENGINES * 22;
    assert!((own..own + others).contains(&world.total()), "{} polls", world.total());
    assert!(world.oldest <= OLDEST + DELAYS, "{:?}", world.oldest);
}

// Guards against requests of all gateways to all engines while the leader changes.
#[test]
fn loss_of_the_leader_interrupts_nothing() {
    let mut world = World::settled(31);
    world.members[0].1 = false;
    world.run(2);
    world.leader = 3;
    world.run(5);
    println!("polls={} oldest={:?}", world.total(), world.oldest);
    assert!(world.oldest <= Duration::from_millis(3_000), "{:?}", world.oldest);
    world.count_anew();
    world.run(10);
    assert!(world.total() < ENGINES * 22, "{} polls in 10 s", world.total());
    assert!(world.oldest <= OLDEST + DELAYS, "{:?}", world.oldest);
}

#[test]
fn without_any_member_each_gateway_polls_each_engine_once_a_second() {
    let mut world = World::settled(4);
    world.members.iter_mut().for_each(|(_, alive)| *alive = false);
    world.run(4);
    world.count_anew();
    world.run(10);
    let before = 4 * ENGINES * 10;
    assert!((before * 95 / 100..=before * 105 / 100).contains(&world.total()));
    assert!(world.oldest <= Duration::from_millis(1_000) + DELAYS, "{:?}", world.oldest);
}

// Guards against a reply that is delayed and makes an old report look new.
#[test]
fn report_in_a_delayed_reply_counts_as_old() {
    let mut world = World::settled(4);
    let late = world.nodes.iter().position(|n| n.polls.polled() < ENGINES).unwrap();
    world.nodes[late].frozen = true;
    let sent = world.now;
    world.run(8);
    world.nodes[late].frozen = false;
    world.run_millis(TICK.as_millis() as u64);
    let newest = world.nodes[late].pictures.values().max().copied().unwrap();
    assert!(newest <= sent, "{:?} after the freeze", newest - sent);
}

// Guards against a member whose memory grows without bound or keeps reports for good.
#[test]
fn member_keeps_a_bounded_number_of_reports_for_a_short_time() {
    let mut reports = Reports::default();
    let now = Timestamp::from_micros(1_000_000_000);
    let fetched = |tag| FetchedReport {
        weight: 1,
        report: AgedLoad { tag: EngineTag(tag), age: 0, load: EngineLoad::default() },
    };
    for tag in 0..20_000 {
        reports.record(now, BootId(1), &[fetched(tag)]);
    }
    assert_eq!(reports.len(), 8_192);
    reports.record(now + Duration::from_secs(4), BootId(1), &[fetched(1)]);
    assert_eq!(reports.len(), 1);
}

/// Returns the addresses of the report requests that were sent, and forgets all requests.
fn polled(f: &mut Fixture) -> BTreeSet<SocketAddr> {
    let sent: Vec<Sent> = std::mem::take(&mut f.sent);
    sent.iter().filter(|s| &*s.head.target == "/report").map(|s| s.address).collect()
}

fn address(name: &str) -> SocketAddr {
    gateway_fixture::endpoint(name, EndpointKind::Decode, MODEL).address
}

/// Records reports of another gateway at control.
fn report_elsewhere(f: &mut Fixture, names: &[&str], weight: u16) {
    for name in names {
        let tag = EngineTag::of(name, BootId(1));
        let report = AgedLoad { tag, age: 10, load: EngineLoad::default() };
        f.reports.record(f.now, BootId(99), &[FetchedReport { weight, report }]);
    }
}

// Guards against a gateway that polls although another one does, and against one that doesn't take
// over.
#[test]
fn gateway_polls_engines_only_while_it_hears_no_reports_of_them() {
    let mut f = Fixture::ready();
    let engines: BTreeMap<&str, SocketAddr> =
        ["f1", "f2", "d1", "d2"].map(|name| (name, address(name))).into();
    f.model_call(1, "/remind/a", "1000,100");
    for _ in 0..5 {
        report_elsewhere(&mut f, &["f1", "f2", "d1"], u16::MAX);
        f.advance(250);
    }
    assert_eq!(polled(&mut f), BTreeSet::from([engines["d2"]]));
    f.model_call(2, "/remind/a", "1000,100");
    f.advance(2_000);
    assert_eq!(polled(&mut f), engines.values().copied().collect());
}

// Guards against a gateway that goes on beside another one whose reports control prefers.
#[test]
fn gateway_stops_polling_an_engine_once_it_hears_another_one() {
    let mut f = Fixture::ready();
    f.model_call(1, "/remind/a", "1000,100");
    f.advance(1_500);
    assert!(polled(&mut f).contains(&address("d1")));
    for _ in 0..2 {
        report_elsewhere(&mut f, &["d1"], u16::MAX);
        f.advance(500);
    }
    f.sent.clear();
    report_elsewhere(&mut f, &["d1"], u16::MAX);
    f.advance(900);
    let polled = polled(&mut f);
    assert!(!polled.is_empty() && !polled.contains(&address("d1")), "{polled:?}");
}

// Guards against requests to endpoints that have asked for none.
#[test]
fn endpoint_that_backs_off_is_not_polled() {
    let mut f = Fixture::ready();
    f.model_call(1, "/remind/a", "1000,100");
    let run = f.answer_prefill();
    f.answer(&run, 503, &[("Retry-After", "5")], "");
    f.sent.clear();
    f.advance(3_500);
    let polled = polled(&mut f);
    assert!(!polled.is_empty() && !polled.contains(&run.address), "{polled:?}");
}

// Guards against replies that grow with the engines of the whole fleet.
#[test]
fn gateway_hears_only_of_the_engines_that_it_uses() {
    let now = Timestamp::from_micros(1_000_000_000);
    let mut reports = Reports::default();
    let tags: Vec<EngineTag> =
        (0..3_000).map(|e| EngineTag::of(&format!("engine-{e}"), BootId(1))).collect();
    for (engine, tag) in tags.iter().enumerate() {
        let report = AgedLoad { tag: *tag, age: 200, load: load(now, engine) };
        reports.record(now, BootId(1), &[FetchedReport { weight: 1, report }]);
    }
    let prefixes: Vec<u16> = tags.iter().take(64).map(|t| t.prefix()).collect();
    let mut wanted = ReportsWanted { seen: 0, prefixes };
    let heard = reports.heard(now, BootId(2), &wanted);
    assert!((64..=72).contains(&heard.changed.len()), "{}", heard.changed.len());
    assert!(size(&heard) < 1_400, "{} bytes", size(&heard));
    wanted.prefixes = (0..=u16::MAX).collect();
    let all = reports.heard(now, BootId(2), &wanted);
    assert!(all.changed.len() <= 1_024, "{}", all.changed.len());
}
