//! Gateways share with control which software version began which stream, so that a stream goes on
//! at its version wherever its caller takes it up again.

mod gateway_fixture;
mod stand_in;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use dotterelpin::control::origins::{Evidence, Origin};
use dotterelpin::link::message::{ControlReply, ControlRequest, Envelope, OriginBasis, Reply};
use dotterelpin::model::{EndpointKind, EndpointState, ExchangeId};
use dotterelpin::role::Input;
use gateway_fixture::{MODEL, endpoint, table};
use stand_in::World;

/// The path of streams that may be taken up again.
const PATH: &str = "/remind/a";
/// How many events a stream has.
const LONG: u64 = 40;
/// How many streams a test runs at once.
const STREAMS: u64 = 12;
/// Within what time control hears of a stream that has begun, in milliseconds.
const RECORD_MS: u64 = 50;
/// Within what time a call that can't go on is refused, in milliseconds.
const REFUSAL_MS: u64 = 500;
/// Longer than a stream lasts, in milliseconds.
const LASTING_MS: u64 = 31_000;

const PREFILL: EndpointKind = EndpointKind::Prefill;
const DECODE: EndpointKind = EndpointKind::Decode;

/// Returns an endpoint of the service of models with a software version.
fn engine(name: &str, kind: EndpointKind, software: &str) -> EndpointState {
    EndpointState { software: software.into(), ..endpoint(name, kind, MODEL) }
}

/// Returns a world of two versions; the names of version `v2` end with 3 and 4.
fn world() -> World {
    let all = [
        engine("f1", PREFILL, "v1"),
        engine("f3", PREFILL, "v2"),
        engine("d1", DECODE, "v1"),
        engine("d2", DECODE, "v1"),
        engine("d3", DECODE, "v2"),
        engine("d4", DECODE, "v2"),
    ];
    World::before(table(), all.into())
}

/// Returns a world with one version.
fn world_of_one_version() -> World {
    let all = [engine("f1", PREFILL, "v1"), engine("d1", DECODE, "v1"), engine("d2", DECODE, "v1")];
    World::before(table(), all.into())
}

/// Returns the address of a further member of control.
fn member(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_100 + number))
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

/// Takes the origins that were sent to control, by the member that got them.
fn recorded(w: &mut World) -> Vec<(SocketAddr, Vec<Origin>)> {
    let mut taken = Vec::new();
    for (exchange, request) in std::mem::take(&mut w.f.leader_requests) {
        if let ControlRequest::RecordOrigins(origins) = request {
            taken.push((w.f.members_of[&exchange], origins));
        } else {
            w.f.leader_requests.push((exchange, request));
        }
    }
    taken
}

/// An open request for an origin.
#[derive(Debug)]
struct Search {
    exchange: ExchangeId,
    call: Option<Box<str>>,
    service: Box<str>,
}

/// Takes the open requests for origins.
fn searches(w: &mut World) -> Vec<Search> {
    let mut taken = Vec::new();
    for (exchange, request) in std::mem::take(&mut w.f.leader_requests) {
        if let ControlRequest::FindOrigin { call, service } = request {
            taken.push(Search { exchange, call, service });
        } else {
            w.f.leader_requests.push((exchange, request));
        }
    }
    taken
}

fn answer(w: &mut World, exchange: ExchangeId, software: Option<&str>, only: Option<&str>) {
    answer_with(w, exchange, software, only, None);
}

fn answer_with(
    w: &mut World,
    exchange: ExchangeId,
    software: Option<&str>,
    only: Option<&str>,
    evidence: Option<Evidence>,
) {
    let (software, only) = (software.map(Into::into), only.map(Into::into));
    let known_for = Duration::from_secs(1);
    let basis = evidence.map(|_| OriginBasis { evidence, known_for });
    let body = Reply::Control(ControlReply::OriginFound { software, only, basis });
    let envelope = Envelope { revised: Default::default(), body };
    w.f.step(Input::Reply { exchange, envelope });
}

/// Answers all open requests for origins alike.
fn answer_all(w: &mut World, software: Option<&str>, only: Option<&str>) {
    for search in searches(w) {
        answer(w, search.exchange, software, only);
    }
}

/// Returns a world whose gateway has started anew since a stream of version `v1` began, and the
/// call that takes it up.
fn unknown_stream() -> (World, u64) {
    let mut w = world();
    for _ in 0..20 {
        let caller = begin(&mut w, 1)[0];
        w.leave(caller);
        if w.version_of(caller).as_deref() == Some("v1") {
            w.restart_gateway(8);
            w.f.more_members = vec![member(1), member(2)];
            w.run(1_000);
            w.f.leader_requests.clear();
            let again = w.take_up(caller, PATH, MODEL, LONG);
            return (w, again);
        }
    }
    panic!("expected one of 20 streams to begin at version v1")
}

fn assert_refused(w: &World, caller: u64) {
    assert_eq!(w.runs(caller).len(), 0, "expected no run, found {}", w.answer_of(caller));
    let answer = w.f.answers.get(&caller).filter(|a| a.complete);
    let Some(answer) = answer else {
        panic!("expected a refusal, found {}", w.answer_of(caller));
    };
    assert_eq!(answer.status, 503);
    assert!(answer.fields.has("Retry-After"), "expected a time to retry in {:?}", answer.fields);
    let text = String::from_utf8_lossy(&answer.content);
    assert!(text.starts_with("not run: ") && text.contains("version"), "the text is {text:?}");
}

/// Asserts that a stream went on to its end, without events of another version.
fn assert_goes_on(w: &mut World, caller: u64) {
    w.run(9_000);
    assert_eq!(w.mixed_streams(), [""; 0]);
    assert!(w.is_rest(caller, LONG), "expected the rest of it, found {}", w.answer_of(caller));
}

/// Fails if a control member doesn't hear of a stream soon after its first event.
#[test]
fn origin_of_a_stream_is_not_sent_to_all_members() {
    let mut w = world();
    w.f.more_members = vec![member(1), member(2)];
    w.run(1_000);
    recorded(&mut w);
    let caller = w.stream(PATH, MODEL, LONG);
    while w.new_events(caller) == 0 {
        w.run(10);
    }
    w.run(RECORD_MS);
    let software = w.version_of(caller).unwrap();
    let call = format!("call-{caller}").into();
    let expected = Origin { call, service: MODEL.into(), software };
    let mut by_member: BTreeMap<SocketAddr, Vec<Origin>> = BTreeMap::new();
    for (member, origins) in recorded(&mut w) {
        by_member.entry(member).or_default().extend(origins);
    }
    assert_eq!(by_member.len(), 3, "expected three members, found {by_member:?}");
    for (member, origins) in by_member {
        assert_eq!(origins, std::slice::from_ref(&expected), "at {member}");
    }
}

/// Fails if a stream that another gateway has begun goes to another version than control knows.
#[test]
fn stream_taken_up_at_another_gateway_goes_to_another_version() {
    let mut w = world();
    let callers = begin(&mut w, STREAMS);
    let known: BTreeMap<Box<str>, Box<str>> = recorded(&mut w)
        .into_iter()
        .flat_map(|(_, origins)| origins)
        .map(|o| (o.call, o.software))
        .collect();
    assert_eq!(known.len() as u64, STREAMS, "expected all origins at control, found {known:?}");
    w.restart_gateway(8);
    let again: Vec<u64> = callers.iter().map(|c| w.take_up(*c, PATH, MODEL, LONG)).collect();
    for Search { exchange, call, service } in searches(&mut w) {
        assert_eq!(&*service, MODEL);
        let software = call.and_then(|c| known.get(&c).cloned());
        answer(&mut w, exchange, software.as_deref(), None);
    }
    again.into_iter().for_each(|c| assert_goes_on(&mut w, c));
}

/// Fails if a stream that is taken up twice isn't asked for by the call that began it.
#[test]
fn stream_taken_up_twice_is_sought_by_another_call() {
    let (mut w, again) = unknown_stream();
    let first = searches(&mut w);
    assert_eq!(first.len(), 3, "expected a request to each member, found {first:?}");
    first.iter().for_each(|s| answer(&mut w, s.exchange, Some("v1"), None));
    w.run(900);
    assert!(w.new_events(again) > 0, "{}", w.answer_of(again));
    w.restart_gateway(9);
    w.take_up(again, PATH, MODEL, LONG);
    let second = searches(&mut w);
    assert!(!second.is_empty(), "expected a request to control");
    assert_eq!(second[0].call, first[0].call, "expected the call that brought the first event");
}

/// Fails if the first member that doesn't know a stream decides for all.
#[test]
fn stream_that_one_of_three_members_knows_is_refused() {
    let (mut w, again) = unknown_stream();
    let open = searches(&mut w);
    assert_eq!(open.len(), 3, "expected a request to each member, found {open:?}");
    answer(&mut w, open[0].exchange, None, None);
    w.run(20);
    answer(&mut w, open[1].exchange, Some("v1"), None);
    assert_goes_on(&mut w, again);
}

/// Fails if a stream waits for silent members although one has answered.
#[test]
fn known_stream_waits_for_silent_members() {
    let (mut w, again) = unknown_stream();
    let open = searches(&mut w);
    answer(&mut w, open[2].exchange, Some("v1"), None);
    w.run(300);
    assert!(w.new_events(again) > 0, "expected events after 300 ms: {}", w.answer_of(again));
    assert_goes_on(&mut w, again);
}

/// Fails if a version that a member has read from its disk counts before the others have answered, of
/// which one knows a correction.
#[test]
fn version_on_a_disk_goes_before_a_correction() {
    let restored = Some(Evidence::Restored);
    let (mut w, again) = unknown_stream();
    let open = searches(&mut w);
    answer_with(&mut w, open[0].exchange, Some("v2"), None, restored);
    w.run(20);
    assert_eq!(w.runs(again).len(), 0, "expected no run, found {}", w.answer_of(again));
    answer_with(&mut w, open[1].exchange, Some("v1"), None, Some(Evidence::Corrected));
    assert_goes_on(&mut w, again);

    for contradiction in [(None, Some(Evidence::Unknowable)), (Some("v1"), restored)] {
        let (mut w, again) = unknown_stream();
        let open = searches(&mut w);
        answer_with(&mut w, open[0].exchange, Some("v2"), None, restored);
        answer_with(&mut w, open[1].exchange, contradiction.0, None, contradiction.1);
        answer(&mut w, open[2].exchange, None, None);
        w.run(20);
        assert_refused(&w, again);
    }
}

/// Fails if a stream whose version is on the disks of members waits for longer than they have to answer,
/// or is refused.
#[test]
fn stream_that_only_disks_know_is_refused() {
    for silent in [0, 1] {
        let (mut w, again) = unknown_stream();
        let open = searches(&mut w);
        for search in open.iter().skip(silent) {
            answer_with(&mut w, search.exchange, Some("v1"), None, Some(Evidence::Restored));
        }
        w.run(700);
        assert!(w.new_events(again) > 0, "{silent} silent members: {}", w.answer_of(again));
        assert_goes_on(&mut w, again);
    }
}

/// Fails if a stream that no member knows goes on while two versions serve.
#[test]
fn stream_of_unknown_origin_goes_on_while_two_versions_serve() {
    let (mut w, again) = unknown_stream();
    answer_all(&mut w, None, None);
    w.run(20);
    assert_refused(&w, again);
}

/// Fails if a stream goes on at the only version of one member while another one knows two.
#[test]
fn stream_goes_on_although_members_disagree_on_the_only_version() {
    let (mut w, again) = unknown_stream();
    let open = searches(&mut w);
    answer(&mut w, open[0].exchange, None, Some("v1"));
    answer(&mut w, open[1].exchange, None, Some("v2"));
    answer(&mut w, open[2].exchange, None, None);
    w.run(REFUSAL_MS);
    assert_refused(&w, again);
}

/// Fails if a stream that control knows goes on at another version when its own is gone, or isn't
/// refused at once.
#[test]
fn stream_of_a_version_that_is_gone_is_not_refused() {
    let (mut w, again) = unknown_stream();
    answer_all(&mut w, Some("v0"), None);
    w.run(20);
    assert_refused(&w, again);
}

/// Fails if a stream of unknown origin is refused although the service has had one version for
/// longer than a stream lasts.
#[test]
fn stream_of_unknown_origin_is_refused_with_one_version() {
    let mut w = world_of_one_version();
    let caller = begin(&mut w, 1)[0];
    w.leave(caller);
    w.restart_gateway(8);
    let again = w.take_up(caller, PATH, MODEL, LONG);
    answer_all(&mut w, None, Some("v1"));
    assert_goes_on(&mut w, again);
}

/// Fails if a call that names no stream is refused although the service has had one version for
/// longer than a stream lasts.
#[test]
fn stream_without_a_named_origin_is_refused_with_one_version() {
    let mut w = world_of_one_version();
    w.run(LASTING_MS);
    let caller = w.resumption(PATH, MODEL, LONG, &[("Last-Event-Id", "7")], "9000");
    answer_all(&mut w, None, Some("v1"));
    w.run(9_000);
    assert_eq!(w.new_events(caller), LONG - 7, "{}", w.answer_of(caller));
}

/// Returns a world whose gateway has started anew right after a release from version `v1` to `v2`,
/// and the call that began a stream before.
fn released() -> (World, u64) {
    let mut w = world();
    let caller = begin(&mut w, 1)[0];
    w.leave(caller);
    ["f1", "d1", "d2"].iter().for_each(|name| w.remove(name));
    w.run(1_000);
    w.restart_gateway(8);
    w.run(1_000);
    (w, caller)
}

/// Fails if a stream of unknown origin goes on at the version that has just replaced another one,
/// since only that one is listed now.
#[test]
fn stream_of_unknown_origin_goes_on_after_a_release() {
    let (mut w, caller) = released();
    let again = w.take_up(caller, PATH, MODEL, LONG);
    answer_all(&mut w, None, None);
    w.run(REFUSAL_MS);
    assert_refused(&w, again);
}

/// Fails if a call that names no stream goes on at the version that has just replaced another one.
#[test]
fn stream_without_a_named_origin_goes_on_after_a_release() {
    let (mut w, _) = released();
    let again = w.resumption(PATH, MODEL, LONG, &[("Last-Event-Id", "7")], "9000");
    answer_all(&mut w, None, None);
    w.run(REFUSAL_MS);
    assert_refused(&w, again);
}

/// Fails if a call that doesn't go on after an event makes the gateway ask control.
#[test]
fn new_stream_is_sought_at_control() {
    let mut w = world();
    let extra = [("Resumes", "call-99")];
    let caller = w.resumption(PATH, MODEL, LONG, &extra, "14000");
    assert_matches!(searches(&mut w)[..], []);
    w.run(400);
    assert!(w.new_events(caller) > 0, "{}", w.answer_of(caller));
}
