//! Heartbeats of one start of an endpoint that contradict each other: the first one with a number
//! holds, and one with a higher number replaces it, its software version included.

mod gateway_fixture;
mod stand_in;

use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::control::config::Revised;
use dotterelpin::model::{BootId, EndpointKind, EndpointState, Load, Timestamp};
use dotterelpin::registry::Registry;
use dotterelpin::routes::{RawRoute, RawTable, Repeat};
use gateway_fixture::{MODEL, endpoint, route, table};
use stand_in::World;

/// The path of streams that may be taken up again.
const PATH: &str = "/remind/a";
/// How many events a stream has.
const LONG: u64 = 40;
/// How many streams a test runs at once.
const STREAMS: u64 = 12;

fn now() -> Timestamp {
    Timestamp::from_micros(1_000_000)
}

fn state(sequence: u64, software: &str) -> EndpointState {
    let known = endpoint("d1", EndpointKind::Decode, MODEL);
    EndpointState { sequence, software: software.into(), ..known }
}

/// Returns the state that a registry holds after an endpoint has announced these, one after another.
fn held(states: Vec<EndpointState>) -> EndpointState {
    let mut registry = Registry::new(BootId(1));
    for state in states {
        registry.announce(now(), state, Revised::default());
    }
    registry.endpoints().remove(0)
}

/// Fails if a state replaces another one of the same start with the same number.
#[test]
fn second_state_with_a_number_replaces_the_first() {
    let first = state(4, "v1");
    let others = [
        state(4, ""),
        state(4, "v2"),
        EndpointState { pool: "other".into(), ..first.clone() },
        EndpointState { address: SocketAddr::from(([10, 0, 0, 9], 80)), ..first.clone() },
        EndpointState { kind: EndpointKind::Prefill, draining: true, ..first.clone() },
    ];
    for other in others {
        assert_eq!(held(vec![first.clone(), other.clone()]), first, "after {other:?}");
    }
}

/// Fails if the load of an endpoint, whose changes aren't numbered, is not replaced.
#[test]
fn new_load_with_the_same_number_is_ignored() {
    let busy = EndpointState { load: Load { slots: 3, ..Load::default() }, ..state(4, "v1") };
    assert_eq!(held(vec![state(4, "v1"), busy.clone()]), busy);
}

/// Fails if the next state of the same start, or the first one of the next start, is ignored.
#[test]
fn newer_state_is_ignored() {
    let next = state(5, "v1");
    assert_eq!(held(vec![state(4, ""), next.clone()]), next);
    let restarted = EndpointState { boot: BootId(2), ..state(1, "v2") };
    assert_eq!(held(vec![state(4, "v1"), restarted.clone()]), restarted);
}

fn streams() -> RawTable {
    let mut all = table();
    let streams = all.routes.iter_mut().filter(|r| r.repeat == Repeat::ResumableStream);
    streams.for_each(|r| *r = RawRoute { ..route("/remind/", MODEL, r.repeat, 3) });
    all
}

/// Returns a world of two versions, in which the first heartbeat that the gateway gets of each
/// endpoint names no version.
fn world() -> World {
    let of = |(name, software): (&str, &str)| {
        let state = endpoint(name, EndpointKind::Decode, MODEL);
        EndpointState { software: software.into(), ..state }
    };
    let real = [("d1", "v1"), ("d2", "v1"), ("d3", "v2"), ("d4", "v2")];
    let mut w = World::before(streams(), real.map(of).into());
    for (name, _) in real {
        w.heartbeat(name, |state| state.software = "".into());
    }
    w.restart_gateway(9);
    for (name, software) in real {
        w.heartbeat(name, |state| state.software = software.into());
    }
    w.run(11_000);
    w
}

/// Fails if streams of two versions are joined because the first heartbeat of each endpoint named
/// no version.
#[test]
fn version_of_a_later_heartbeat_is_ignored() {
    let mut w = world();
    let callers: Vec<u64> = (0..STREAMS).map(|_| w.stream(PATH, MODEL, LONG)).collect();
    w.run(900);
    let again: Vec<u64> = callers.iter().map(|c| w.take_up(*c, PATH, MODEL, LONG)).collect();
    w.run(9_000);
    assert_eq!(w.begun_streams(), callers.len());
    assert_eq!(w.mixed_streams(), Vec::<String>::new());
    let lost: Vec<String> =
        again.iter().filter(|c| !w.is_rest(**c, LONG)).map(|c| w.answer_of(*c)).collect();
    assert_eq!(lost, Vec::<String>::new());
}

/// Fails if a stream that runs while a later heartbeat names its version goes on at another one.
#[test]
fn stream_that_began_before_its_version_was_named_goes_to_another_one() {
    let mut w = world();
    for (name, software) in [("d1", "v1"), ("d2", "v1")] {
        w.heartbeat(name, |state| state.software = software.into());
    }
    let callers: Vec<u64> = (0..STREAMS).map(|_| w.stream(PATH, MODEL, LONG)).collect();
    w.run(900);
    for name in ["d1", "d2", "d3", "d4"] {
        w.heartbeat(name, |state| state.software = "v9".into());
    }
    w.run(Duration::from_secs(1).as_millis() as u64);
    callers.iter().for_each(|c| _ = w.take_up(*c, PATH, MODEL, LONG));
    w.run(9_000);
    assert_eq!(w.mixed_streams(), Vec::<String>::new());
}
