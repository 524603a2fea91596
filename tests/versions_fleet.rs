//! Streams that are taken up again at other gateways while processes are killed, frozen and cut off,
//! and endpoints of a second software version start.
//!
//! DOTTERELPIN_FUZZ_CASES sets the number of cases of the fuzz test.

mod fleet_world;
mod gateway_fixture;
mod resumed_streams;

use std::collections::BTreeMap;

use fleet_world::{Node, World};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use resumed_streams::{GATEWAYS, Stream, engine, events, mixed, release, world};

/// How long a case of the fuzz test lasts, in milliseconds.
const CASE_MS: u64 = 15_000;
/// The number of cases, unless the environment sets another.
const CASES: u64 = 6;

/// Takes up streams of a second version at a gateway that has not heard of that version yet.
fn take_up_at_one_that_lags(disturb: impl Fn(&mut World)) {
    let mut w = world();
    disturb(&mut w);
    release(&mut w);
    w.run(700);
    let mut all: Vec<Stream> = (0..24).map(|_| Stream::begin(&mut w, 0, 0)).collect();
    w.run(600);
    let of_new = all.iter().filter(|s| s.versions(&w).contains("v2")).count();
    assert!(of_new > 4, "expected more than 4 streams of the new version, found {of_new}");
    all.iter_mut().for_each(|stream| _ = stream.take_up(&mut w, 1));
    w.run(5_000);
    assert_eq!(mixed(&w, &all), Vec::<String>::new());
}

/// Fails if a gateway that has just been cut off from control takes the version that it knows for
/// the only one.
#[test]
fn gateway_that_is_cut_off_joins_streams_of_a_version_that_it_does_not_know() {
    take_up_at_one_that_lags(|w| w.cut_off(Node::Gateway(1), true));
}

/// Fails if a gateway that was frozen for a while takes the version that it knows for the only one.
#[test]
fn gateway_that_was_frozen_joins_streams_of_a_version_that_it_does_not_know() {
    take_up_at_one_that_lags(|w| w.freeze(Node::Gateway(1), 1_299));
}

/// How long a gateway that loses power is dark, in milliseconds.
const DARK_MS: u64 = 3_500;
/// How many streams a gateway carries when it goes dark.
const CARRIED: usize = 12;

/// Lets a gateway carry streams, disturbs the fleet, and takes them up elsewhere once the gateway has
/// been dark for a while. Returns how many of them go on, and how many new ones begin meanwhile.
fn take_up_from_dark(w: &mut World, disturb: impl Fn(&mut World, u64)) -> (usize, usize) {
    let mut all: Vec<Stream> = Vec::new();
    for _ in 0..CARRIED {
        all.push(Stream::begin(w, 0, 0));
        w.run(10);
    }
    // Longer than from one heartbeat to the next.
    for clock in (0..700 + DARK_MS).step_by(5) {
        if clock == 700 {
            w.freeze(Node::Gateway(0), DARK_MS);
        }
        disturb(w, clock);
        w.run(5);
    }
    w.kill_gateway(0);
    let begun: Vec<usize> = all.iter().map(|s| s.events(w).len()).collect();
    all.iter_mut().for_each(|stream| _ = stream.take_up(w, 1));
    let new: Vec<Stream> = (0..CARRIED).map(|_| Stream::begin(w, 1, 0)).collect();
    w.run(5_000);
    assert_eq!(mixed(w, &all), Vec::<String>::new());
    let goes_on = all.iter().zip(&begun).filter(|(s, begun)| s.events(w).len() > **begun);
    (goes_on.count(), new.iter().filter(|s| !s.events(w).is_empty()).count())
}

/// Returns a fleet whose streams outlast the time for which a gateway is dark.
fn world_of_long_streams(one_member: bool) -> World {
    let mut w = world();
    w.timing.event = std::time::Duration::from_millis(200);
    w.one_member = one_member;
    w
}

/// Guards against streams that nobody can take up since only their gateway, which is dark, knows the
/// version that began them: a release begins before, at or after the loss of its power.
#[test]
fn streams_of_a_dark_gateway_go_on_when_a_release_begins() {
    let offsets = (400..1_200).step_by(50).chain([1_700, 3_200, 4_000]);
    for (offset, one_member) in offsets.flat_map(|o| [(o, false), (o, true)]) {
        let mut w = world_of_long_streams(one_member);
        let (on, new) = take_up_from_dark(&mut w, |w, clock| {
            if clock == offset {
                release(w);
            }
        });
        let told = format!("release at {offset} ms, to one member: {one_member}");
        assert!(on >= new && new > 0, "{told}: {on} streams go on, {new} begin");
    }
}

/// Stops the endpoints with these names: they take no new requests and announce themselves no more.
fn stop(w: &mut World, names: &[&str]) {
    let until = w.now + std::time::Duration::from_secs(1_000);
    let named = w.endpoints.iter_mut().filter(|e| names.contains(&&*e.state.name));
    named.for_each(|e| e.down_until = until);
}

/// Guards against streams of a dark gateway that are lost, or joined from two versions, since another
/// process fails or the versions change once more while it is dark.
#[test]
fn streams_of_a_dark_gateway_go_on_whatever_fails_or_is_released_beside_it() {
    type Event = (&'static str, u64, fn(&mut World));
    let beside: [&[Event]; 8] = [
        &[("leader is killed", 900, |w| w.kill_member(w.leader().unwrap()))],
        &[
            ("member 0 is killed", 900, |w| w.kill_member(0)),
            ("member 0 starts", 1_900, |w| w.start_member(0)),
        ],
        &[
            ("member 1 is killed", 1_100, |w| w.kill_member(1)),
            ("member 1 starts", 1_600, |w| w.start_member(1)),
            ("member 2 is killed", 3_000, |w| w.kill_member(2)),
            ("member 2 starts", 3_200, |w| w.start_member(2)),
        ],
        &[("leader is frozen", 950, |w| w.freeze(Node::Member(w.leader().unwrap()), 1_500))],
        &[("the new version leaves", 2_000, |w| stop(w, &["d4", "d5"]))],
        &[
            ("the new version leaves", 1_500, |w| stop(w, &["d4", "d5"])),
            ("it comes back", 3_500, |w| w.endpoints.push(engine("d6", "v2", 60))),
        ],
        &[("a third version starts", 2_000, |w| w.endpoints.push(engine("d6", "v3", 60)))],
        &[("most of the old version leaves", 3_900, |w| stop(w, &["d1", "d2"]))],
    ];
    for (events, one_member) in beside.iter().flat_map(|e| [(e, false), (e, true)]) {
        let mut w = world_of_long_streams(one_member);
        let (on, new) = take_up_from_dark(&mut w, |w, clock| {
            if clock == 1_000 {
                release(w);
            }
            events.iter().filter(|(_, at, _)| *at == clock).for_each(|(_, _, act)| act(w));
        });
        let told: Vec<&str> = events.iter().map(|(what, _, _)| *what).collect();
        let told = format!("{told:?}, to one member: {one_member}");
        assert!(on >= new && new > 0, "{told}: {on} streams go on, {new} begin");
    }
}

/// Guards against streams that only two gateways knew, of which one after the other is dark.
#[test]
fn streams_go_on_when_all_gateways_are_dark_in_turn() {
    let mut w = world_of_long_streams(true);
    let mut all: Vec<Stream> = (0..CARRIED).map(|_| Stream::begin(&mut w, 0, 0)).collect();
    for at in 0..GATEWAYS {
        w.run(700);
        w.freeze(Node::Gateway(at), 900);
        if at == 0 {
            release(&mut w);
        }
        w.run(900);
        w.kill_gateway(at);
        let had: Vec<usize> = all.iter().map(|s| s.events(&w).len()).collect();
        let next = (at + 1) % GATEWAYS;
        all.iter_mut().for_each(|stream| _ = stream.take_up(&mut w, next));
        w.run(400);
        w.start_gateway(at);
        let on = all.iter().zip(&had).filter(|(s, had)| s.events(&w).len() > **had).count();
        assert_eq!(on, CARRIED, "streams that go on after gateway {at} was dark");
        assert_eq!(mixed(&w, &all), Vec::<String>::new());
    }
}

/// What a case of the fuzz test has seen: streams with events, those taken up, and the mixed ones.
fn play(seed: u64) -> (usize, usize, Vec<String>) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut draw = move |below: u64| u64::from(random.next_u32()) % below;
    let mut w = world();
    w.one_member = draw(3) > 0;
    let released = 1_000 + draw(5_000);
    let mut all: Vec<Stream> = Vec::new();
    let mut down: BTreeMap<Node, u64> = BTreeMap::new();
    for clock in (0..CASE_MS).step_by(50) {
        w.run(50);
        if clock >= released && w.endpoints.len() == 3 {
            release(&mut w);
        }
        for node in down.extract_if(.., |_, until| *until <= clock).map(|(node, _)| node) {
            match node {
                Node::Gateway(at) => w.start_gateway(at),
                Node::Member(at) => w.start_member(at),
                Node::Outside => {}
            }
        }
        let (at, until) = (draw(3) as usize, clock + 100 + draw(3_000));
        let member_down = down.keys().any(|node| matches!(node, Node::Member(_)));
        match draw(60) {
            0 | 1 if !down.contains_key(&Node::Gateway(at)) => {
                w.kill_gateway(at);
                down.insert(Node::Gateway(at), until);
            }
            2 if !member_down => {
                w.kill_member(at);
                down.insert(Node::Member(at), until);
            }
            3 => w.freeze(Node::Gateway(at), until - clock),
            4 => w.freeze(Node::Member(at), until - clock),
            5 => w.cut_off(Node::Gateway(at), true),
            6 => (0..GATEWAYS).for_each(|at| w.cut_off(Node::Gateway(at), false)),
            7 => w.reset_connections(at),
            8 => w.crash(at),
            _ => {}
        }
        let at = draw(3) as usize;
        if !down.contains_key(&Node::Gateway(at)) {
            all.push(Stream::begin(&mut w, at, clock + 200 + draw(1_200)));
        }
        for stream in all.iter_mut().filter(|s| s.next <= clock && s.calls.len() < 4) {
            let at = draw(3) as usize;
            let up = !down.contains_key(&Node::Gateway(at));
            let again = !up || stream.take_up(&mut w, at);
            stream.next = if again { clock + 200 + draw(1_200) } else { u64::MAX };
        }
    }
    let begun = all.iter().filter(|s| !s.events(&w).is_empty()).count();
    let resumed = |s: &&Stream| s.calls[1..].iter().any(|call| !events(&w, *call).is_empty());
    (begun, all.iter().filter(resumed).count(), mixed(&w, &all))
}

/// Fails if a stream holds events of two versions after any of these faults.
#[test]
fn streams_hold_events_of_two_versions_when_processes_fail() {
    let cases = std::env::var("DOTTERELPIN_FUZZ_CASES").ok().and_then(|n| n.parse().ok());
    for seed in 1..=cases.unwrap_or(CASES) {
        let (begun, resumed, mixed) = play(seed);
        println!("seed {seed}: {begun} streams, {resumed} resumed, {} mixed", mixed.len());
        assert!(begun > 40 && resumed > 10, "seed {seed}: {begun} streams, {resumed} resumed");
        assert_eq!(mixed, Vec::<String>::new(), "seed {seed}");
    }
}
