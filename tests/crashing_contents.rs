//! Several contents that crash each endpoint which runs them, and come again and again at all gateways.

mod fleet_world;
mod gateway_fixture;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dotterelpin::control::quarantine::{
    BrokenRun, Cause, Crash, Evidence, Fingerprint, Stage, Start,
};
use dotterelpin::link::message::ControlRequest;
use dotterelpin::model::{BootId, EndpointKind, Timestamp};
use dotterelpin::report::observation::Observation;
use dotterelpin::routes::{RawRoute, RawService, RawTable, Repeat};
use fleet_world::{Answer, Arrival, Endpoint, Kind, Node, Timing, World};
use gateway_fixture::{Fixture, PLAIN, route, table};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The crash after which the limit of further requests begins to count.
const CRASHES: usize = 3;
/// How long after that crash requests are not limited yet.
const SETTLING: Duration = Duration::from_millis(3_000);
/// How many requests may reach endpoints later.
const MAX_LATE: usize = 3;
/// The path of look-ups that many callers send.
const COMMON: &str = "/look/common";
/// The number of seeds of the fuzz without `DOTTERELPIN_FUZZ_SEEDS`.
const SEEDS: u64 = 8;

/// A load with faulty contents, which are sent in bursts.
#[derive(Debug, Clone, Copy)]
struct Load {
    gateways: u64,
    /// The endpoints of each service.
    endpoints: u64,
    /// Among how many services the look-ups are split.
    services: usize,
    /// How many contents are faulty.
    contents: u64,
    /// The time between two bursts, in milliseconds.
    gap: u64,
    /// How long a burst lasts, in milliseconds.
    burst: u64,
    /// How often each content is sent in a burst.
    sends: u64,
    /// The attempts of the route.
    attempts: u64,
    /// The time between two crashes for other reasons, in milliseconds; 0 for none.
    others: u64,
}

const LOAD: Load = Load {
    gateways: 5,
    endpoints: 4,
    services: 1,
    contents: 1,
    gap: 3_700,
    burst: 400,
    sends: 4,
    attempts: 2,
    others: 0,
};

const LOAD_WITHOUT_FAULTY: Load = Load { contents: 0, ..LOAD };

/// A fleet under a load.
struct Play {
    w: World,
    rng: Pcg64Mcg,
    load: Load,
    /// The sound calls, each with the time at which it was sent.
    sound: Vec<(u64, Timestamp)>,
    /// When each faulty content is sent.
    due: Vec<(Timestamp, String)>,
    next_burst: Timestamp,
    next_other: Timestamp,
}

const SERVICES: [&str; 3] = [PLAIN, "portal-2", "portal-3"];

/// Returns a table whose look-ups have so many attempts, and are split among so many services.
fn routes(attempts: u64, services: usize) -> RawTable {
    let mut table = table();
    let names = &SERVICES[..services];
    table.routes[1] = RawRoute {
        timeout_ms: 600.0,
        target_ms: 100.0,
        split: names.iter().map(|name| ((*name).into(), 1.0)).collect(),
        ..route("/look/", PLAIN, Repeat::Idempotent, attempts)
    };
    let more = names.iter().skip(1);
    let more = more.map(|name| RawService { name: (*name).into(), ..RawService::example() });
    table.services.extend(more);
    table
}

fn faulty(content: u64) -> String {
    format!("/look/faulty-{content}")
}

/// Returns whether a request has a target, or its path if that has no query.
fn is_of(arrival: &Arrival, target: &str) -> bool {
    let path = arrival.target.split('?').next();
    arrival.kind == Kind::Plain && (arrival.target == target || path == Some(target))
}

fn is_refused(answer: &Answer) -> bool {
    answer.content.starts_with(b"not run: calls like this")
}

impl Play {
    fn new(seed: u64, load: Load) -> Play {
        let names = SERVICES[..load.services].iter().flat_map(|service| {
            (0..load.endpoints).map(move |n| (format!("{service}-{n}"), *service))
        });
        let of =
            |(name, service): (String, &str)| Endpoint::new(&name, EndpointKind::Service, service);
        let endpoints = names.map(of).collect();
        let table = routes(load.attempts, load.services);
        let mut w = World::new(load.gateways as usize, 3, table, endpoints);
        w.timing = Timing {
            crash: Duration::from_millis(45),
            down: Duration::from_millis(3_000),
            ..Timing::default()
        };
        w.faulty_targets.extend((0..load.contents).map(faulty));
        let next = w.now + Duration::from_millis(1_000);
        let rng = Pcg64Mcg::seed_from_u64(seed);
        let (sound, due) = (Vec::new(), Vec::new());
        Play { w, rng, load, sound, due, next_burst: next, next_other: next }
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.rng.next_u64() % bound
    }

    fn gateway(&mut self) -> usize {
        self.below(self.load.gateways) as usize
    }

    /// Sends payments and look-ups, 36 and 14 a second, and as many look-ups of one common path.
    fn send_sound(&mut self) {
        let number = self.sound.len();
        if self.below(1_000) < 36 {
            let gateway = self.gateway();
            let call = self.w.post(gateway, &format!("/pay/{number}"), b"12 EUR");
            self.sound.push((call, self.w.now));
        }
        for path in [format!("/look/{number}"), COMMON.to_string()] {
            if self.below(1_000) < 14 {
                let gateway = self.gateway();
                let call = self.w.plain(gateway, &path);
                self.sound.push((call, self.w.now));
            }
        }
    }

    fn send_faulty(&mut self) {
        let now = self.w.now;
        if self.load.contents > 0 && now >= self.next_burst {
            self.next_burst = now + Duration::from_millis(self.load.gap);
            for content in 0..self.load.contents {
                for _ in 0..self.load.sends {
                    let at = now + Duration::from_millis(self.below(self.load.burst));
                    self.due.push((at, faulty(content)));
                }
            }
        }
        let due: Vec<String> =
            self.due.extract_if(.., |(at, _)| *at <= now).map(|(_, path)| path).collect();
        for path in due {
            let gateway = self.gateway();
            self.w.plain(gateway, &path);
        }
    }

    fn crash_others(&mut self) {
        if self.load.others > 0 && self.w.now >= self.next_other {
            self.next_other = self.w.now + Duration::from_millis(self.load.others);
            let endpoint = self.below(self.w.endpoints.len() as u64) as usize;
            self.w.crash(endpoint);
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.send_sound();
            self.send_faulty();
            self.crash_others();
            self.w.run(1);
        }
    }

    /// Returns when endpoints crashed under a faulty target.
    fn crashes(&self, target: &str) -> Vec<Timestamp> {
        let of = |a: &&Arrival| is_of(a, target);
        let calls: BTreeSet<u64> = self.w.arrivals.iter().filter(of).map(|a| a.call).collect();
        let under = |all: &[u64]| all.iter().any(|call| calls.contains(call));
        self.w.crashes.iter().filter(|(_, all)| under(all)).map(|(at, _)| *at).collect()
    }

    /// Returns how many requests with each faulty content reached endpoints too late.
    fn late(&self) -> BTreeMap<&str, usize> {
        let late = |target: &String| {
            let settled = *self.crashes(target).get(CRASHES - 1)? + SETTLING;
            let is_late = |a: &&Arrival| is_of(a, target) && a.at > settled;
            Some(self.w.arrivals.iter().filter(is_late).count())
        };
        self.w.faulty_targets.iter().filter_map(|t| Some((&**t, late(t)?))).collect()
    }

    fn is_suspected(&self) -> bool {
        let leader = self.w.leader().unwrap();
        let entries = self.w.member(leader).unwrap().state().quarantine.entries();
        entries.values().any(|entry| entry.stage == Stage::Suspected)
    }

    fn assert_stopped(&self) {
        let late = self.late();
        assert!(
            late.values().all(|count| *count <= MAX_LATE),
            "{late:?} reached endpoints too late"
        );
    }

    /// Returns how many sound calls that were sent from a time on were refused as faulty ones, and
    /// how many of these calls there are.
    fn refused(&self, from: Timestamp) -> (usize, usize) {
        let sent = self.sound.iter().filter(|(_, at)| *at >= from);
        let sent: Vec<&Answer> = sent.filter_map(|(call, _)| self.w.answers.get(call)).collect();
        (sent.iter().filter(|a| is_refused(a)).count(), sent.len())
    }
}

#[test]
fn contents_that_crash_the_same_endpoints_are_stopped_one_after_the_other() {
    for (contents, attempts, gap, sends) in
        [(1, 2, 1_000, 4), (2, 4, 1_000, 1), (3, 2, 3_700, 4), (5, 4, 3_700, 1), (8, 2, 3_700, 4)]
    {
        let load = Load { contents, attempts, gap, sends, ..LOAD };
        let mut play = Play::new(1, load);
        play.run(30_000);
        play.assert_stopped();
    }
}

#[test]
fn content_that_crashes_endpoints_of_one_service_goes_on_at_the_next_one() {
    for attempts in [1, 2] {
        let load = Load { services: 3, attempts, gap: 2_000, sends: 2, ..LOAD };
        let mut play = Play::new(1, load);
        play.run(40_000);
        play.assert_stopped();
    }
}

#[test]
fn leader_that_had_the_evidence_before_its_election_never_judges_by_it() {
    let mut play = Play::new(1, LOAD_WITHOUT_FAULTY);
    play.w.faulty_targets.insert(faulty(0));
    play.run(3_000);
    (0..2).for_each(|member| play.w.cut_off(Node::Member(member), true));
    play.run(2_000);
    for gateway in 0..4 {
        play.w.plain(gateway, &faulty(0));
    }
    play.run(6_000);
    (0..2).for_each(|member| play.w.cut_off(Node::Member(member), false));
    play.run(5_000);
    for gateway in 0..5 {
        (0..2).for_each(|_| {
            play.w.plain(gateway, &faulty(0));
        });
    }
    play.run(2_000);
    play.assert_stopped();
}

#[test]
fn late_report_of_an_earlier_crash_convicts_the_probe_of_a_suspect() {
    let mut play = Play::new(1, LOAD_WITHOUT_FAULTY);
    let leader = play.w.leader().unwrap();
    let cause = Cause::Content(Fingerprint::of(PLAIN, b"sound"));
    let crash = |boot: u64| {
        let start = Start { endpoint: "gone".into(), boot: BootId(boot) };
        let run = BrokenRun { causes: vec![cause], wrote: Duration::ZERO };
        let crash = Crash { start, runs: vec![run], known: vec![] };
        ControlRequest::ReportEvidence(vec![Evidence::Crashed(crash)])
    };
    let stage =
        |play: &Play| play.w.member(leader).unwrap().state().quarantine.entries()[&cause].stage;
    play.w.request_outside(leader, crash(1));
    play.w.request_outside(leader, crash(2));
    play.w.run(500);
    assert_eq!(stage(&play), Stage::Suspected);
    play.w.request_outside(leader, ControlRequest::RequestProbe(cause));
    play.w.run(300);
    play.w.request_outside(leader, crash(2));
    play.w.run(500);
    assert_eq!(stage(&play), Stage::Suspected, "another gateway reports the second crash late");
    play.w.request_outside(leader, crash(3));
    play.w.run(500);
    assert!(matches!(stage(&play), Stage::Refused { .. }), "the probe has crashed its endpoint");
}

#[test]
fn path_that_crashes_endpoints_goes_on_with_other_queries() {
    let mut play = Play::new(1, LOAD_WITHOUT_FAULTY);
    play.w.faulty_targets.insert(faulty(0));
    for page in 0..30 {
        let gateway = play.gateway();
        play.w.plain(gateway, &format!("{}?page={page}", faulty(0)));
        play.run(1_000);
    }
    play.assert_stopped();
}

#[test]
fn sound_queries_of_a_path_are_refused_with_the_one_that_crashes_endpoints() {
    let mut play = Play::new(1, LOAD_WITHOUT_FAULTY);
    play.w.faulty_targets.insert("/look/all?q=faulty".into());
    for round in 0..200 {
        let gateway = play.gateway();
        if round % 4 == 0 {
            play.w.plain(gateway, "/look/all?q=faulty");
        }
        let call = play.w.plain(gateway, &format!("/look/all?q={round}"));
        play.sound.push((call, play.w.now));
        play.run(100);
    }
    play.assert_stopped();
    let since = play.w.now;
    for round in 0..40 {
        let gateway = play.gateway();
        let call = play.w.plain(gateway, &format!("/look/all?q=sound-{round}"));
        play.sound.push((call, play.w.now));
        play.run(100);
    }
    let (refused, sound) = play.refused(since);
    assert!(refused == 0, "{refused} of {sound} sound calls are refused");
}

#[test]
fn common_content_is_refused_after_all_endpoints_crashed_for_another_reason() {
    let mut play = Play::new(1, LOAD_WITHOUT_FAULTY);
    play.run(3_000);
    for gateway in 0..5 {
        (0..4).for_each(|_| {
            play.w.plain(gateway, COMMON);
        });
    }
    play.w.run(6);
    (0..4).for_each(|endpoint| play.w.crash(endpoint));
    play.run(6_000);
    let since = play.w.now;
    play.run(4_000);
    let (refused, sound) = play.refused(since);
    assert!(refused == 0, "{refused} of {sound} sound calls are refused");
}

#[test]
fn sound_call_with_a_suspect_is_refused_although_it_may_run_as_a_probe() {
    let mut play = Play::new(1, Load { endpoints: 1, ..LOAD_WITHOUT_FAULTY });
    play.run(3_000);
    let paths = ["/look/one", "/look/other"];
    for _ in 0..2 {
        for path in paths {
            play.w.plain(0, path);
        }
        play.w.run(6);
        play.w.crash(0);
        play.w.run(5_000);
    }
    assert!(play.is_suspected(), "both were in two crashes");
    let calls = paths.map(|path| play.w.plain(1, path));
    play.w.run(100);
    let mut statuses = calls.map(|call| play.w.answers[&call].status);
    statuses.sort();
    assert_eq!(statuses, [200, 503], "one probe runs at a time");
    play.w.run(1_000);
    let calls = paths.map(|path| play.w.plain(1, path));
    play.w.run(1_000);
    assert_eq!(calls.map(|call| play.w.answers[&call].status), [200, 200]);
    assert!(!play.is_suspected(), "the probes have cleared both");
}

#[test]
fn content_whose_callers_leave_before_its_endpoint_crashes_is_never_suspected() {
    let mut play = Play::new(1, LOAD_WITHOUT_FAULTY);
    play.w.faulty_targets.insert(faulty(0));
    play.w.finishes = true;
    for round in 0..15 {
        for gateway in 0..2 {
            let call = play.w.plain((round + gateway) % 5, &faulty(0));
            play.run(20);
            play.w.leave(call);
        }
        play.run(2_000);
    }
    play.assert_stopped();
}

#[test]
fn crash_is_not_reported_if_an_answer_was_still_on_its_way() {
    let mut f = Fixture::ready();
    (1..=4).for_each(|caller| f.call(caller, "/look/1", &[]));
    let broken = f.take_sent();
    let rest = std::mem::take(&mut f.sent);
    let late = rest.iter().find(|sent| sent.address == broken.address).unwrap();
    f.fail_connection(&broken, true);
    f.stall(60);
    f.answer(late, 200, &[], "ok");
    f.fail_connection(late, true);
    f.advance(300);
    let crashes = f.observed.iter().filter(|o| matches!(o, Observation::Crash { .. }));
    assert_eq!(crashes.count(), 1);
}

/// Plays a random load with faulty contents; returns what went wrong.
fn fuzz(seed: u64) -> Vec<String> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut below = |bound: u64| rng.next_u64() % bound;
    let others = below(3);
    let load = Load {
        gateways: 2 + below(10),
        endpoints: 3 + below(8),
        services: 1,
        contents: 1 + below(8),
        gap: 500 + below(6_000),
        burst: 1 + below(1_000),
        sends: 1 + below(5),
        attempts: 1 + below(4),
        others: others * (300 + below(1_000)),
    };
    let mut play = Play::new(seed, load);
    play.w.timing.crash = Duration::from_millis(5 + below(100));
    play.w.timing.down = Duration::from_millis(1_000 + below(4_000));
    play.run(25_000);
    play.load.others = 0;
    play.run(12_000);
    let since = play.w.now;
    play.run(3_000);
    let mut problems = Vec::new();
    for (path, late) in play.late().into_iter().filter(|(_, late)| *late > MAX_LATE) {
        problems.push(format!("seed {seed}: {late} requests for {path} too late; {load:?}"));
    }
    let (refused, sound) = play.refused(since);
    if refused > 0 {
        problems.push(format!("seed {seed}: {refused} of {sound} sound calls refused; {load:?}"));
    }
    problems
}

#[test]
fn fuzz_of_loads_stops_each_faulty_content_in_time_and_no_sound_one() {
    let seeds = std::env::var("DOTTERELPIN_FUZZ_SEEDS").ok().and_then(|n| n.parse().ok());
    let problems: Vec<String> = (0..seeds.unwrap_or(SEEDS)).flat_map(fuzz).collect();
    assert!(problems.is_empty(), "{} problems:\n{}", problems.len(), problems.join("\n"));
}
