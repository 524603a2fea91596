//! Endpoints that start anew in place with another software version, before this is listed: under
//! their names and at their addresses, so that only what they say of themselves tells.

mod gateway_fixture;
mod stand_in;

use dotterelpin::model::{EndpointKind, EndpointState};
use dotterelpin::routes::{RawRoute, RawTable, Repeat};
use gateway_fixture::{MODEL, endpoint, route, table};
use stand_in::World;

/// The path of streams that may be taken up again.
const PATH: &str = "/remind/a";
/// How many events a stream has.
const LONG: u64 = 40;
/// How many streams a test runs at once.
const STREAMS: u64 = 12;

fn streams() -> RawTable {
    let mut all = table();
    let streams = all.routes.iter_mut().filter(|r| r.repeat == Repeat::ResumableStream);
    streams.for_each(|r| *r = RawRoute { ..route("/remind/", MODEL, r.repeat, 3) });
    all
}

fn world() -> World {
    let of = |(name, software): (&str, &str)| {
        let state = endpoint(name, EndpointKind::Decode, MODEL);
        EndpointState { software: software.into(), ..state }
    };
    let real = [("d1", "v1"), ("d2", "v1"), ("d3", "v2"), ("d4", "v2")];
    World::before(streams(), real.map(of).into())
}

/// Fails if streams of v1 that are taken up within half a second go to an endpoint of v1 that has
/// started anew with v2, which is not listed yet.
#[test]
fn stream_taken_up_goes_to_an_endpoint_that_started_with_another_version_unnoticed() {
    for (down, wait) in [(50, 100), (50, 400), (300, 400)] {
        let mut w = world();
        let callers: Vec<u64> = (0..STREAMS).map(|_| w.stream(PATH, MODEL, LONG)).collect();
        w.run(900);
        callers.iter().for_each(|c| w.leave(*c));
        w.upgrade("d1", "v2", down);
        w.run(wait);
        callers.iter().for_each(|c| _ = w.take_up(*c, PATH, MODEL, LONG));
        w.run(500);
        w.list_upgrade("d1");
        w.run(9_000);
        assert_eq!(w.mixed_streams(), Vec::<String>::new(), "down {down} ms, wait {wait} ms");
    }
}
