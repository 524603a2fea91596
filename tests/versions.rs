//! A stream goes on only at the software version that began it, within one answer and when its
//! caller takes it up again with another call. KV cache isn't moved between versions.

mod gateway_fixture;
mod stand_in;

use std::collections::BTreeSet;
use std::net::SocketAddr;

use assert_matches::assert_matches;
use dotterelpin::h1::{CallerId, HttpInput};
use dotterelpin::link::message::{ControlReply, ControlRequest, Envelope, Reply};
use dotterelpin::model::{EndpointKind, EndpointState, ExchangeId};
use dotterelpin::role::Input;
use dotterelpin::routes::{RawRoute, RawTable, Repeat};
use gateway_fixture::{Fixture, MODEL, PLAIN, Sent, endpoint, route, table};
use stand_in::{Silence, World};

/// The path of streams that may be taken up again.
const PATH: &str = "/remind/a";
/// How many events a stream has.
const LONG: u64 = 40;
/// The number of attempts of a route unless a test needs another one.
const ATTEMPTS: u64 = 3;
/// How many streams a test runs at once.
const STREAMS: u64 = 12;
/// How many streams go on within their answers at once: the retry budget covers that.
const RETRIED: u64 = 3;
/// The starts of the gateway with which a test repeats, as they choose endpoints differently.
const BOOTS: std::ops::Range<u64> = 8..14;
/// Within what time a call that can't go on is refused, in milliseconds.
const REFUSAL_MS: u64 = 500;

const PREFILL: EndpointKind = EndpointKind::Prefill;
const DECODE: EndpointKind = EndpointKind::Decode;

/// Returns a world with two plain endpoints of each of two versions, which stream, too.
fn plain_world() -> World {
    let mut all = table_with(ATTEMPTS);
    all.routes.push(route("/news/", PLAIN, Repeat::ResumableStream, ATTEMPTS));
    let of = |(name, software): (&str, &str)| {
        let state = endpoint(name, EndpointKind::Service, PLAIN);
        EndpointState { software: software.into(), ..state }
    };
    let plain = [("p1", "v1"), ("p2", "v1"), ("p3", "v2"), ("p4", "v2")].map(of);
    World::before(all, plain.into())
}

/// Starts streams of the plain service, which all have events when this returns.
fn begin_plain(w: &mut World, count: u64) -> Vec<u64> {
    let callers: Vec<u64> = (0..count).map(|_| w.stream("/news/a", PLAIN, LONG)).collect();
    w.run(900);
    let begun = callers.iter().filter(|c| w.new_events(**c) > 0).count();
    assert_eq!(begun, callers.len(), "the first: {}", w.answer_of(callers[0]));
    callers
}

/// Fails if a stream of a plain service that is taken up again goes to another version.
#[test]
fn plain_stream_taken_up_goes_to_another_version() {
    in_worlds(plain_world, |w| {
        let callers = begin_plain(w, STREAMS);
        let again: Vec<u64> =
            callers.iter().map(|c| w.take_up(*c, "/news/a", PLAIN, LONG)).collect();
        w.run(9_000);
        again
    });
}

/// Fails if a broken stream of a plain service goes on at another version.
#[test]
fn broken_plain_stream_goes_on_at_another_version() {
    in_worlds(plain_world, |w| {
        let callers = begin_plain(w, RETRIED);
        callers.iter().for_each(|c| assert!(w.break_run(*c).is_some(), "call {c} runs"));
        w.run(9_000);
        callers
    });
}

/// Returns an endpoint of the service of models with a software version.
fn engine(name: &str, kind: EndpointKind, software: &str) -> EndpointState {
    EndpointState { software: software.into(), ..endpoint(name, kind, MODEL) }
}

/// Returns the usual table with another number of attempts at streams.
fn table_with(attempts: u64) -> RawTable {
    let mut all = table();
    let streams = all.routes.iter_mut().filter(|r| r.repeat == Repeat::ResumableStream);
    streams.for_each(|r| *r = RawRoute { ..route("/remind/", MODEL, r.repeat, attempts) });
    all
}

/// Returns a prefill and two decode endpoints of each of two versions; the names of version `v2`
/// end with 3 and 4.
fn engines() -> Vec<EndpointState> {
    let of = |(name, kind, software)| engine(name, kind, software);
    let all = [
        ("f1", PREFILL, "v1"),
        ("f3", PREFILL, "v2"),
        ("d1", DECODE, "v1"),
        ("d2", DECODE, "v1"),
        ("d3", DECODE, "v2"),
        ("d4", DECODE, "v2"),
    ];
    all.map(of).into()
}

/// Returns a world of two versions.
fn world() -> World {
    World::before(table_with(ATTEMPTS), engines())
}

/// Returns a world of two versions without prefill endpoints.
fn world_without_prefill() -> World {
    let decode = engines().into_iter().filter(|e| e.kind == DECODE).collect();
    World::before(table_with(ATTEMPTS), decode)
}

/// What a test has seen in several worlds.
#[derive(Debug, Default)]
struct Seen {
    streams: usize,
    mixed: Vec<String>,
    /// The calls that should have brought the rest of their streams, and how those went that didn't.
    rests: usize,
    lost: Vec<String>,
}

impl Seen {
    /// Adds the streams of a world, in which some calls should have brought the rest of theirs.
    fn add(&mut self, w: &World, callers: &[u64]) {
        self.streams += w.begun_streams();
        self.mixed.extend(w.mixed_streams());
        self.rests += callers.len();
        let lost = callers.iter().filter(|c| !w.is_rest(**c, LONG));
        self.lost.extend(lost.map(|c| w.answer_of(*c)));
    }

    /// Asserts that no stream is mixed and none was lost.
    fn assert_sound(&self) {
        assert!(
            self.mixed.is_empty(),
            "expected streams of one version each, found {} of {} mixed, the first {:?}",
            self.mixed.len(),
            self.streams,
            self.mixed[0],
        );
        assert!(
            self.lost.is_empty(),
            "expected {} streams to go on to their end, but {} did not, the first with {:?}",
            self.rests,
            self.lost.len(),
            self.lost[0],
        );
    }
}

/// Runs a test in worlds whose gateways choose endpoints differently. It returns the calls that
/// should bring the rest of their streams.
fn in_worlds(make: fn() -> World, test: impl Fn(&mut World) -> Vec<u64>) {
    let mut seen = Seen::default();
    for boot in BOOTS {
        let mut w = make();
        w.restart_gateway(boot);
        // The retry budget of a gateway that has just started is smaller.
        w.run(11_000);
        let callers = test(&mut w);
        seen.add(&w, &callers);
    }
    seen.assert_sound();
}

/// Starts streams, which all have events when this returns.
fn begin(w: &mut World, count: u64) -> Vec<u64> {
    let callers: Vec<u64> = (0..count).map(|_| w.stream(PATH, MODEL, LONG)).collect();
    w.run(900);
    for caller in &callers {
        assert!(w.new_events(*caller) > 0, "call {caller} has events: {}", w.answer_of(*caller));
    }
    callers
}

/// Starts one stream at version `v1`, or `v2`, and returns its caller.
fn begin_at(w: &mut World, software: &str) -> u64 {
    for _ in 0..20 {
        let caller = begin(w, 1)[0];
        if w.version_of(caller).as_deref() == Some(software) {
            return caller;
        }
        w.leave(caller);
    }
    panic!("expected one of 20 streams to begin at version {software}")
}

/// Takes streams up again and lets them run to their end.
fn take_up_all(w: &mut World, callers: &[u64]) -> Vec<u64> {
    let again: Vec<u64> = callers.iter().map(|c| w.take_up(*c, PATH, MODEL, LONG)).collect();
    w.run(9_000);
    again
}

/// Asserts that no stream holds events of several versions, and that the calls brought the rest of
/// their streams.
fn assert_sound(w: &World, callers: &[u64]) {
    let mut seen = Seen::default();
    seen.add(w, callers);
    seen.assert_sound();
}

/// Asserts that a call was refused as not run, for lack of its version, with a time to retry.
fn assert_refused(w: &World, caller: u64) {
    let runs = w.runs(caller).len();
    assert_eq!(runs, 0, "expected a refusal without a run, found {}", w.answer_of(caller));
    let Some(answer) = w.f.answers.get(&caller).filter(|a| a.complete) else {
        panic!("expected a refusal within {REFUSAL_MS} ms, found {}", w.answer_of(caller))
    };
    assert_eq!(answer.status, 503);
    assert!(answer.fields.has("Retry-After"), "expected a time to retry in {:?}", answer.fields);
    let text = String::from_utf8_lossy(&answer.content);
    assert!(text.starts_with("not run: ") && text.contains("version"), "the text is {text:?}");
}

/// Fails if a stream that its caller takes up again at the same gateway goes to another version.
#[test]
fn stream_taken_up_at_the_same_gateway_goes_to_another_version() {
    in_worlds(world, |w| {
        let callers = begin(w, STREAMS);
        take_up_all(w, &callers)
    });
}

/// Fails if a stream that is taken up twice goes to another version: the second call names the one
/// that brought the first event, not the one before it.
#[test]
fn stream_taken_up_twice_goes_to_another_version() {
    in_worlds(world, |w| {
        let mut callers = begin(w, STREAMS);
        for _ in 0..2 {
            callers = callers.iter().map(|c| w.take_up(*c, PATH, MODEL, LONG)).collect();
            w.run(900);
        }
        w.run(9_000);
        callers
    });
}

/// Fails if a stream whose first call moved on to another endpoint within its answer goes to
/// another version when its caller takes it up again.
#[test]
fn stream_taken_up_after_it_went_on_elsewhere_goes_to_another_version() {
    in_worlds(world, |w| {
        let callers = begin(w, RETRIED);
        for _ in 0..2 {
            callers.iter().for_each(|c| assert!(w.break_run(*c).is_some(), "call {c} runs"));
            w.run(600);
        }
        take_up_all(w, &callers)
    });
}

/// Fails if a stream without prefill endpoints goes to another version when it is taken up again.
#[test]
fn stream_taken_up_without_prefill_endpoints_goes_to_another_version() {
    in_worlds(world_without_prefill, |w| {
        let callers = begin(w, STREAMS);
        take_up_all(w, &callers)
    });
}

/// Fails if a stream is taken up at another version because its own has no prefill endpoint left:
/// a decode endpoint can run it completely.
#[test]
fn stream_taken_up_without_a_prefill_endpoint_of_its_version_goes_to_another_one() {
    in_worlds(world, |w| {
        let callers = begin(w, STREAMS);
        w.remove("f1");
        w.run(1_500);
        take_up_all(w, &callers)
    });
}

/// Fails if a stream that a start of the gateway doesn't know goes on at any of two versions, or
/// waits for long. Control doesn't answer here.
#[test]
fn stream_of_unknown_origin_goes_to_another_version() {
    let mut w = world();
    let callers = begin(&mut w, STREAMS);
    w.restart_gateway(8);
    let again: Vec<u64> = callers.iter().map(|c| w.take_up(*c, PATH, MODEL, LONG)).collect();
    w.run(REFUSAL_MS);
    assert_sound(&w, &[]);
    again.iter().for_each(|c| assert_refused(&w, *c));
}

/// Fails if a call that goes on after an event, but names no call that began its stream, goes to
/// any of two versions.
#[test]
fn stream_without_a_named_origin_goes_to_any_of_two_versions() {
    let mut w = world();
    let extra = [("Last-Event-Id", "7")];
    let caller = w.resumption(PATH, MODEL, LONG, &extra, "9000");
    w.run(REFUSAL_MS);
    assert_refused(&w, caller);
}

/// Fails if the fields of a call that takes a stream up again aren't passed on.
#[test]
fn resumption_is_passed_on_without_its_fields() {
    let mut w = World::before(table_with(ATTEMPTS), vec![engine("d1", DECODE, "v1")]);
    let caller = begin(&mut w, 1)[0];
    let had = w.had_events(caller).to_string();
    w.leave(caller);
    let extra = [("Resumes", "call-1"), ("Last-Event-Id", &*had)];
    w.f.answers_reports = true;
    w.f.call(90, PATH, &[&[("Model", "m"), ("Tokens", "300,40")][..], &extra].concat());
    let hold = w.f.take_sent();
    w.f.answer(&hold, 200, &[], "hold h90");
    let run = w.f.take_sent();
    assert_eq!(run.field("Resumes"), Some("call-1"));
    assert_eq!(run.field("Last-Event-Id"), Some(&*had));
}

/// Fails if a broken stream goes on at another version within its answer.
#[test]
fn broken_stream_goes_on_at_another_version() {
    in_worlds(world, |w| {
        let callers = begin(w, RETRIED);
        for _ in 0..2 {
            callers.iter().for_each(|c| assert!(w.break_run(*c).is_some(), "call {c} runs"));
            w.run(600);
        }
        w.run(9_000);
        callers
    });
}

/// Fails if a stream whose endpoint is silent goes on at another version within its answer.
#[test]
fn silent_stream_goes_on_at_another_version() {
    for kind in [Silence::Mute, Silence::Dark] {
        in_worlds(world, |w| {
            let callers = begin(w, RETRIED);
            w.silence("d1", kind, 6_000);
            w.silence("d3", kind, 6_000);
            w.run(14_000);
            callers
        });
    }
}

/// Fails if a stream whose endpoint is gone goes on at another version within its answer.
#[test]
fn stream_of_an_endpoint_that_is_gone_goes_on_at_another_version() {
    in_worlds(world, |w| {
        let callers = begin(w, RETRIED);
        w.remove("d1");
        w.remove("d3");
        w.run(9_000);
        callers
    });
}

/// Fails if a stream whose endpoint refuses to resume it goes on at another version.
#[test]
fn stream_whose_resumption_is_refused_goes_on_at_another_version() {
    in_worlds(world, |w| {
        let callers = begin(w, RETRIED);
        w.fill("d1", true);
        w.fill("d3", true);
        callers.iter().for_each(|c| assert!(w.break_run(*c).is_some(), "call {c} runs"));
        w.run(9_000);
        callers
    });
}

/// Fails if a stream that waits for capacity of its version goes on at another one that has some.
#[test]
fn stream_that_waits_for_its_version_goes_on_at_another_one() {
    let mut w = world();
    let caller = begin_at(&mut w, "v1");
    w.fill("d1", true);
    w.fill("d2", true);
    assert!(w.break_run(caller).is_some());
    w.run(800);
    w.fill("d1", false);
    w.fill("d2", false);
    w.run(9_000);
    assert_sound(&w, &[caller]);
}

/// Asserts that all runs fetched KV cache from their own version.
fn assert_own_exports(w: &World) {
    let fetched = w.arrivals.iter().filter(|a| a.source.is_some()).count();
    assert!(fetched > 0, "expected runs that fetch KV cache");
    let mixed = w.mixed_exports();
    let first = mixed.first().map(|a| (&a.call, &a.source, &a.software));
    assert!(
        mixed.is_empty(),
        "expected KV cache within a version, but {} of {fetched} runs fetch it from another one, \
         the first is {first:?}",
        mixed.len(),
    );
}

/// Starts streams, 200 ms apart, and calls `disturb` before each.
fn stream_often(w: &mut World, count: u64, mut disturb: impl FnMut(&mut World, u64)) {
    for number in 0..count {
        disturb(w, number);
        w.stream(PATH, MODEL, 10);
        w.run(200);
    }
    w.run(2_000);
}

/// Fails if a prefill's KV cache is fetched by a decode endpoint of another version.
#[test]
fn export_moves_to_another_version() {
    let mut w = world();
    stream_often(&mut w, 40, |_, _| {});
    assert_own_exports(&w);
}

/// Fails if KV cache is handed to another version because its decode endpoint refuses the run.
#[test]
fn export_moves_to_another_version_after_a_refusal() {
    let mut w = world();
    stream_often(&mut w, 60, |w, number| {
        let refusing = ["d1", "d3"][number as usize / 2 % 2];
        ["d1", "d3"].iter().for_each(|name| w.refuse_runs(name, *name == refusing));
    });
    let refused = w.arrivals.iter().filter(|a| a.source.is_some() && a.rejected.is_some()).count();
    assert!(refused > 0, "expected refused runs that were to fetch KV cache");
    assert_own_exports(&w);
}

/// Fails if a prefill that is sent again goes to another version than its decode endpoint's.
#[test]
fn export_moves_to_another_version_after_a_prefill_is_sent_again() {
    let mut w = world();
    stream_often(&mut w, 60, |w, number| match number % 10 {
        3 => w.crash("f1", 900),
        8 => w.crash("f3", 900),
        _ => {}
    });
    assert_own_exports(&w);
}

/// Fails if a stream that is taken up again has its prompt read by another version.
#[test]
fn export_moves_to_another_version_when_a_stream_is_taken_up() {
    let mut w = world();
    let callers = begin(&mut w, STREAMS);
    take_up_all(&mut w, &callers);
    assert_own_exports(&w);
}

/// Fails if a stream goes on at its endpoint after that has started anew under its name with
/// another version, which is listed by then.
#[test]
fn stream_goes_on_at_an_endpoint_that_was_listed_with_another_version() {
    let mut w = world_without_prefill();
    let caller = begin_at(&mut w, "v1");
    w.leave(caller);
    ["d1", "d2"].iter().for_each(|name| w.upgrade(name, "v2", 50));
    ["d1", "d2"].iter().for_each(|name| w.list_upgrade(name));
    w.run(1_500);
    let again = w.take_up(caller, PATH, MODEL, LONG);
    w.run(REFUSAL_MS);
    assert_sound(&w, &[]);
    assert_refused(&w, again);
}

/// Fails if a broken stream goes on at its endpoint, which has started anew under its name with
/// another version before this is listed.
#[test]
fn broken_stream_goes_on_at_its_endpoint_that_started_with_another_version() {
    for count in [1, RETRIED] {
        for make in [world, world_without_prefill] {
            in_worlds(make, |w| upgrade_unnoticed(w, count));
        }
    }
}

/// Starts an endpoint anew with another version under its name while streams run there; this is
/// listed a second later.
fn upgrade_unnoticed(w: &mut World, count: u64) -> Vec<u64> {
    let callers = begin(w, count);
    let name = w.runs_at(callers[0]).expect("the first stream runs");
    w.upgrade(&name, "v3", 0);
    w.run(1_000);
    w.list_upgrade(&name);
    w.run(9_000);
    Vec::new()
}

/// Fails if a stream goes on at the address of its endpoint, where another one with another version
/// has started under another name.
#[test]
fn stream_goes_on_at_an_address_that_another_version_has_taken() {
    in_worlds(world_without_prefill, |w| {
        let callers = begin(w, RETRIED);
        for (old, new, software) in [("d1", "d1b", "v2"), ("d3", "d3b", "v1")] {
            w.replace(old, new);
            w.upgrade(new, software, 50);
        }
        w.run(500);
        w.list_replacement("d1", "d1b");
        w.list_replacement("d3", "d3b");
        w.run(1_000);
        take_up_all(w, &callers)
    });
}

/// Fails if a stream that is taken up again when no endpoint of its version is left goes to another
/// version, or isn't refused clearly at once.
#[test]
fn stream_taken_up_with_no_endpoint_of_its_version_left_is_not_refused() {
    let mut w = world();
    let caller = begin_at(&mut w, "v1");
    w.leave(caller);
    ["d1", "d2", "f1"].iter().for_each(|name| w.remove(name));
    w.run(1_500);
    let again = w.take_up(caller, PATH, MODEL, LONG);
    w.run(REFUSAL_MS);
    assert_sound(&w, &[]);
    assert_refused(&w, again);
}

/// Fails if a stream that is taken up again when all endpoints of its version are draining goes to
/// another version, or isn't refused clearly at once.
#[test]
fn stream_taken_up_with_its_version_draining_is_not_refused() {
    let mut w = world();
    let caller = begin_at(&mut w, "v1");
    w.leave(caller);
    for name in ["d1", "d2", "f1"] {
        w.heartbeat(name, |e| e.draining = true);
    }
    w.run(1_500);
    let again = w.take_up(caller, PATH, MODEL, LONG);
    w.run(REFUSAL_MS);
    assert_sound(&w, &[]);
    assert_refused(&w, again);
}

/// Fails if a stream that breaks when no other endpoint of its version is left goes on at another
/// version, or isn't ended at once.
#[test]
fn broken_stream_with_no_endpoint_of_its_version_left_is_not_ended() {
    let mut w = world();
    let caller = begin_at(&mut w, "v1");
    ["d1", "d2"].iter().for_each(|name| w.remove(name));
    w.run(REFUSAL_MS);
    assert_sound(&w, &[]);
    assert!(w.f.answers[&caller].aborted, "expected an end, found {}", w.answer_of(caller));
}

/// Fails if new calls are refused because a version has no endpoint left.
#[test]
fn new_stream_is_refused_when_one_version_is_gone() {
    let mut w = world();
    ["d1", "d2", "f1"].iter().for_each(|name| w.remove(name));
    w.run(1_500);
    let callers = begin(&mut w, STREAMS);
    w.run(9_000);
    assert_sound(&w, &callers);
    assert_own_exports(&w);
}

/// Fails if a stream that is taken up again waits behind newer calls, or other streams that are
/// taken up, of versions without capacity.
#[test]
fn resumed_stream_waits_behind_streams_of_other_versions() {
    let mut w = world();
    let first = begin_at(&mut w, "v1");
    let second = begin_at(&mut w, "v2");
    for name in ["d3", "d4"] {
        w.fill(name, true);
    }
    let blocked = w.take_up(second, PATH, MODEL, LONG);
    w.run(100);
    let again = w.take_up(first, PATH, MODEL, LONG);
    w.run(350);
    assert_sound(&w, &[]);
    assert_eq!(w.new_events(blocked), 0, "expected {blocked} to wait: {}", w.answer_of(blocked));
    assert!(w.new_events(again) > 0, "expected it to start: {}", w.answer_of(again));
}

/// Fails if new calls wait behind a stream that is taken up again and whose version has no capacity,
/// while another version has some.
#[test]
fn new_calls_wait_behind_a_resumed_stream_of_another_version() {
    let mut w = world();
    let first = begin_at(&mut w, "v1");
    for name in ["d1", "d2"] {
        w.fill(name, true);
    }
    let blocked = w.take_up(first, PATH, MODEL, LONG);
    w.run(100);
    let new: Vec<u64> = (0..6).map(|_| w.stream(PATH, MODEL, LONG)).collect();
    w.run(350);
    assert_sound(&w, &[]);
    assert_eq!(w.new_events(blocked), 0, "expected {blocked} to wait: {}", w.answer_of(blocked));
    let idle = new.into_iter().filter(|c| w.new_events(*c) == 0);
    let idle: Vec<String> = idle.map(|c| format!("call {c}: {}", w.answer_of(c))).collect();
    assert!(idle.is_empty(), "expected new calls to start at v2, found {idle:?}");
}

/// Fails if a stream that is taken up again is not started before newer calls that wait, once its
/// version has capacity.
#[test]
fn resumed_stream_is_started_after_newer_calls() {
    let mut w = world();
    let first = begin_at(&mut w, "v1");
    w.leave(first);
    let running: Vec<u64> = (0..4).flat_map(|_| busy(&mut w)).collect();
    let again = w.take_up(first, PATH, MODEL, LONG);
    w.run(50);
    let new: Vec<u64> = (0..3).map(|_| w.stream(PATH, MODEL, LONG)).collect();
    w.run(50);
    let ends = running.into_iter().find(|c| w.runs_at(*c).as_deref() == Some("d1")).unwrap();
    w.leave(ends);
    w.run(350);
    assert_sound(&w, &[]);
    let started: Vec<u64> = new.into_iter().filter(|c| !w.runs(*c).is_empty()).collect();
    assert!(
        w.new_events(again) > 0 && started.is_empty(),
        "expected the free slot for the stream that waits longest, but it has {} and newer calls \
         {started:?} run",
        w.answer_of(again),
    );
}

/// Starts streams that fill a quarter of the slots of all engines.
fn busy(w: &mut World) -> Vec<u64> {
    let callers = (0..12).map(|_| w.stream(PATH, MODEL, LONG)).collect();
    w.run(200);
    callers
}

/// Returns a gateway that is offered the endpoints and asks a leader for capacity.
fn with_leader() -> Fixture {
    let mut f = Fixture::without_table(vec![table_with(ATTEMPTS)]);
    f.publish(0, 1);
    engines().into_iter().chain(more_prefill()).for_each(|e| f.announce(e));
    f.advance(11_000);
    assert!(f.is_ready());
    f.leader = Some(SocketAddr::from(([127, 0, 0, 1], 9_001)));
    f.advance(1_000);
    f
}

/// Returns another prefill endpoint of each version: the leader is asked to choose from two.
fn more_prefill() -> [EndpointState; 2] {
    [engine("f2", PREFILL, "v1"), engine("f4", PREFILL, "v2")]
}

fn reply(f: &mut Fixture, exchange: ExchangeId, reply: ControlReply) {
    let envelope = Envelope { revised: Default::default(), body: Reply::Control(reply) };
    f.step(Input::Reply { exchange, envelope });
}

/// Takes the request of a call for a decode endpoint, assigns one, and grants its reservation.
/// Returns the names of the endpoints from which the leader was to choose.
fn assign_room(f: &mut Fixture, endpoint: &str) -> BTreeSet<Box<str>> {
    let (exchange, request) = take_request(f, |r| matches!(r, ControlRequest::AssignRoom(_)));
    let room = assert_matches!(request, ControlRequest::AssignRoom(room) => room);
    reply(f, exchange, ControlReply::RoomAssigned { endpoint: Some(endpoint.into()), ahead: 0 });
    if f.has_sent() {
        let hold = f.take_sent();
        f.answer(&hold, 200, &[], "hold h1");
    }
    room.candidates.into_iter().map(|c| c.endpoint).collect()
}

/// Takes the request to control that fits, and leaves the others.
fn take_request(
    f: &mut Fixture,
    fits: impl Fn(&ControlRequest) -> bool,
) -> (ExchangeId, ControlRequest) {
    let at = f.leader_requests.iter().position(|(_, r)| fits(r));
    f.leader_requests.remove(at.expect("expected a request to the leader"))
}

/// Takes the request of a call for a prefill endpoint, assigns one and answers the prefill. Returns
/// the names of the endpoints from which the leader was to choose.
fn assign_prompt(f: &mut Fixture, endpoint: &str) -> BTreeSet<Box<str>> {
    let (exchange, request) = take_request(f, |r| matches!(r, ControlRequest::AssignPrompt(_)));
    let prompt = assert_matches!(request, ControlRequest::AssignPrompt(prompt) => prompt);
    reply(f, exchange, ControlReply::PromptAssigned { endpoint: Some(endpoint.into()), ahead: 0 });
    let prefill = f.take_sent();
    f.answer(&prefill, 200, &[], "export e1");
    prompt.candidates.into_iter().map(|c| c.endpoint).collect()
}

fn names<const N: usize>(names: [&str; N]) -> BTreeSet<Box<str>> {
    names.into_iter().map(Into::into).collect()
}

/// Returns a gateway at which a stream of version `v2` has just been taken up again.
fn resumed_with_leader() -> Fixture {
    let mut f = with_leader();
    f.model_call(1, PATH, "300,40");
    assign_room(&mut f, "d3");
    assign_prompt(&mut f, "f3");
    let run = f.take_sent();
    f.head(&run, 200, &[]);
    f.data(&run, b"id: 1\ndata: 1\n\n");
    f.step(Input::Local(HttpInput::CallerGone { caller: CallerId(1) }));
    f.leader_requests.clear();
    f.sent.clear();
    let fields = [("Model", "m"), ("Tokens", "300,40"), ("Last-Event-Id", "1")];
    f.call(2, PATH, &[&fields[..], &[("Resumes", "call-1")]].concat());
    f
}

/// Fails if the leader may choose a prefill endpoint of another version than the decode endpoint's.
#[test]
fn leader_is_offered_prefill_endpoints_of_another_version() {
    let mut f = with_leader();
    f.model_call(1, PATH, "300,40");
    let rooms = assign_room(&mut f, "d3");
    assert_eq!(rooms, names(["d1", "d2", "d3", "d4"]), "a new stream may begin at any version");
    assert_eq!(assign_prompt(&mut f, "f3"), names(["f3", "f4"]));
}

/// Fails if the leader may choose a decode endpoint of another version for a stream that is taken up
/// again.
#[test]
fn leader_is_offered_decode_endpoints_of_another_version() {
    let mut f = resumed_with_leader();
    assert_eq!(assign_room(&mut f, "d4"), names(["d3", "d4"]));
}

/// Fails if a stream that is taken up again runs where the leader says, at another version.
#[test]
fn leader_assigns_a_resumed_stream_to_another_version() {
    let mut f = resumed_with_leader();
    let (exchange, _) = take_request(&mut f, |r| matches!(r, ControlRequest::AssignRoom(_)));
    reply(&mut f, exchange, ControlReply::RoomAssigned { endpoint: Some("d1".into()), ahead: 0 });
    let d1 = endpoint("d1", DECODE, MODEL).address;
    let there: Vec<&Sent> = f.sent.iter().filter(|s| s.address == d1).collect();
    assert!(there.is_empty(), "expected nothing at d1, which is of another version: {there:?}");
}

/// The counts of calls under load.
#[derive(Debug, Default)]
struct Shares {
    new: Vec<u64>,
    again: Vec<u64>,
}

impl Shares {
    /// Returns the parts of the new and of the resumed calls that brought an event.
    fn parts(&self, w: &World) -> (f64, f64) {
        let part = |calls: &[u64]| {
            let begun = calls.iter().filter(|c| w.new_events(**c) > 0).count();
            begun as f64 / calls.len() as f64
        };
        (part(&self.new), part(&self.again))
    }
}

/// Runs new streams beyond the capacity of all engines; the caller of each fifth one leaves after
/// 1.5 s and takes it up again half a second later.
fn overload(w: &mut World) -> Shares {
    let mut shares = Shares::default();
    let mut left: Vec<(u64, u64)> = Vec::new();
    for step in 0..500 {
        let caller = w.stream(PATH, MODEL, LONG);
        // The first seconds fill the engines.
        if step > 100 {
            shares.new.push(caller);
        }
        w.run(40);
        if step > 100 && step % 5 == 0 && step < 450 {
            let earlier = caller - 38;
            left.push((step + 12, earlier));
        }
        let due: Vec<u64> = left.iter().filter(|(at, _)| *at == step).map(|(_, c)| *c).collect();
        for caller in due {
            if w.new_events(caller) > 0 && !w.f.answers[&caller].complete {
                shares.again.push(w.take_up(caller, PATH, MODEL, LONG));
            }
        }
        for (_, caller) in left.iter().filter(|(at, _)| *at == step + 12) {
            w.leave(*caller);
        }
    }
    w.run(9_000);
    shares
}

/// Fails if fewer of the streams that are taken up again go on than new ones begin, under load
/// beyond capacity and with two endpoints of each version.
#[test]
fn resumed_streams_go_on_less_often_than_new_ones_begin() {
    let mut w = world();
    let shares = overload(&mut w);
    let (new, again) = shares.parts(&w);
    let counts = (shares.new.len(), shares.again.len());
    assert!(counts.1 >= 12, "expected 12 resumed streams, found {counts:?}");
    assert!(new < 0.9, "expected load beyond capacity, but {new:.2} of the new streams began");
    assert!(
        again >= new,
        "expected resumed streams to go on as often as new ones begin, found {again:.2} and \
         {new:.2} of {counts:?}, the first resumed one with {}",
        w.answer_of(shares.again[0]),
    );
    assert_sound(&w, &[]);
}
