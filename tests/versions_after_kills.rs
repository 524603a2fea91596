//! Streams that are taken up again after all control members and the gateways that carried them were
//! lost at once, while endpoints of two software versions serve.
//!
//! DOTTERELPIN_FUZZ_CASES sets the number of cases of the fuzz test.

mod fleet_world;
mod gateway_fixture;
mod resumed_streams;

use fleet_world::{Node, World};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use resumed_streams::{GATEWAYS, MEMBERS, Stream, engine, mixed, release, world};

/// How many streams the gateways that are lost carry.
const CARRIED: usize = 12;
/// How long lost processes are down, in milliseconds.
const DOWN_MS: u64 = 800;
/// How long after the restart streams are taken up again, in milliseconds.
const PAUSE_MS: u64 = 4_500;
/// How long it takes until a member has written and synced the origin of a stream, in milliseconds.
const SAVE_MS: u64 = 160;
/// The number of cases of the fuzz test, unless the environment sets another.
const CASES: u64 = 6;

/// How a control member is lost.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Loss {
    Kill,
    /// What it has not synced is lost, too.
    Power,
}

/// What is lost, and when, in milliseconds from the first loss on.
#[derive(Debug, Clone)]
struct Disruption {
    loss: Loss,
    members: [u64; MEMBERS],
    /// The gateways that are lost, of which the first carries the streams.
    gateways: Vec<u64>,
}

impl Disruption {
    fn at_once(loss: Loss) -> Disruption {
        Disruption { loss, members: [0; MEMBERS], gateways: vec![0, 0] }
    }
}

/// Returns a fleet with two versions whose streams outlast a disruption.
fn world_of_two_versions() -> World {
    let mut w = world();
    w.timing.event = std::time::Duration::from_millis(300);
    release(&mut w);
    w.run(3_000);
    w
}

fn carry(w: &mut World) -> Vec<Stream> {
    let mut all = Vec::new();
    for _ in 0..CARRIED {
        all.push(Stream::begin(w, 0, 0));
        w.run(10);
    }
    w.run(600);
    all
}

/// Plays a disruption until all that was lost is back.
fn disrupt(w: &mut World, disruption: &Disruption) {
    let end = disruption.members.iter().chain(&disruption.gateways).max().unwrap() + DOWN_MS + 1;
    for clock in 0..end {
        for (at, lost) in disruption.members.iter().enumerate() {
            match (clock == *lost, disruption.loss) {
                (true, Loss::Kill) => w.kill_member(at),
                (true, Loss::Power) => w.lose_power(at),
                _ => {}
            }
            if clock == lost + DOWN_MS {
                w.start_member(at);
            }
        }
        for (at, lost) in disruption.gateways.iter().enumerate() {
            if clock == *lost {
                w.kill_gateway(at);
            }
            if clock == lost + DOWN_MS {
                w.start_gateway(at);
            }
        }
        w.run(1);
    }
}

/// Takes streams up at the last gateway; returns how many go on, and how many new ones begin.
fn take_up(w: &mut World, all: &mut [Stream]) -> (usize, usize) {
    let begun: Vec<usize> = all.iter().map(|s| s.events(w).len()).collect();
    all.iter_mut().for_each(|stream| _ = stream.take_up(w, GATEWAYS - 1));
    let new: Vec<Stream> = (0..CARRIED).map(|_| Stream::begin(w, GATEWAYS - 1, 0)).collect();
    w.run(6_000);
    assert_eq!(mixed(w, all), Vec::<String>::new());
    let goes_on = all.iter().zip(&begun).filter(|(s, begun)| s.events(w).len() > **begun);
    (goes_on.count(), new.iter().filter(|s| !s.events(w).is_empty()).count())
}

/// Guards against streams of two versions that nobody can take up, since only processes that were
/// killed at once knew which version began them.
#[test]
fn streams_go_on_after_all_members_and_their_gateways_are_killed() {
    let orders: [([u64; MEMBERS], [u64; 2]); 5] = [
        ([0; MEMBERS], [0, 0]),
        ([300; MEMBERS], [0, 0]),
        ([0; MEMBERS], [300, 300]),
        ([0, 200, 400], [600, 600]),
        ([0, 200, 400], [0, 100]),
    ];
    for ((members, gateways), loss) in
        orders.into_iter().flat_map(|order| [(order, Loss::Kill), (order, Loss::Power)])
    {
        let mut w = world_of_two_versions();
        let mut all = carry(&mut w);
        let disruption = Disruption { loss, members, gateways: gateways.into() };
        disrupt(&mut w, &disruption);
        w.run(PAUSE_MS);
        let (on, new) = take_up(&mut w, &mut all);
        assert!(on >= new && new > 0, "{disruption:?}: {on} streams go on, {new} begin");
    }
}

/// Guards against streams that go on after one kill of all that know them, but not after another.
#[test]
fn streams_go_on_after_the_members_are_killed_twice() {
    let mut w = world_of_two_versions();
    let mut all = carry(&mut w);
    disrupt(&mut w, &Disruption::at_once(Loss::Kill));
    w.run(700);
    disrupt(&mut w, &Disruption { gateways: Vec::new(), ..Disruption::at_once(Loss::Kill) });
    w.run(PAUSE_MS);
    let (on, new) = take_up(&mut w, &mut all);
    assert!(on >= new && new > 0, "{on} streams go on, {new} begin");
}

/// Guards against streams that are lost with all gateways and members, or with the disk of a member.
#[test]
fn streams_go_on_after_all_processes_are_killed_and_a_disk_is_lost() {
    for lost_disk in 0..MEMBERS {
        let mut w = world_of_two_versions();
        let mut all = carry(&mut w);
        w.lose_origins(lost_disk);
        let gateways = vec![0; GATEWAYS];
        disrupt(&mut w, &Disruption { gateways, ..Disruption::at_once(Loss::Kill) });
        w.run(PAUSE_MS);
        let (on, new) = take_up(&mut w, &mut all);
        assert!(on >= new && new > 0, "{on} streams go on, {new} begin");
    }
}

/// Guards against streams that are lost or joined since the versions change right before or after a
/// kill of all that know them.
#[test]
fn streams_go_on_whichever_version_comes_or_leaves_beside_the_kill() {
    /// What changes in a fleet, how many milliseconds before the kill, and how.
    type Change = (&'static str, fn() -> World, &'static [u64], fn(&mut World));
    let changes: [Change; 3] = [
        ("the second version is listed", world, &[1_900, 1_250, 900, 600, 300, 100], release),
        ("a third version is listed", world_of_two_versions, &[1_900, 300, 100], |w| {
            w.endpoints.push(engine("d6", "v3", 60));
        }),
        ("an endpoint of the old version leaves", world_of_two_versions, &[100], |w| {
            w.endpoints[0].down_until = w.now + std::time::Duration::from_secs(1_000);
        }),
    ];
    for (what, fleet, times, change) in changes {
        for (before, one_member) in times.iter().flat_map(|t| [(*t, false), (*t, true)]) {
            let mut w = fleet();
            w.one_member = one_member;
            w.timing.event = std::time::Duration::from_millis(300);
            let mut all = carry(&mut w);
            change(&mut w);
            w.run(before);
            disrupt(&mut w, &Disruption::at_once(Loss::Kill));
            w.run(PAUSE_MS);
            let (on, new) = take_up(&mut w, &mut all);
            let told = format!("{what} {before} ms before, to one member: {one_member}");
            assert!(on >= new && new > 0, "{told}: {on} streams go on, {new} begin");
        }
    }
}

/// Guards against streams that are joined or lost since a gateway that was dark during the kill comes
/// back with what it knew.
#[test]
fn streams_go_on_when_a_dark_gateway_comes_back_after_the_kill() {
    let mut w = world_of_two_versions();
    let mut all = carry(&mut w);
    w.freeze(Node::Gateway(1), 2_500);
    disrupt(&mut w, &Disruption { gateways: vec![0], ..Disruption::at_once(Loss::Kill) });
    w.run(PAUSE_MS);
    let (on, new) = take_up(&mut w, &mut all);
    assert!(on >= new && new > 0, "{on} streams go on, {new} begin");
}

/// Guards against writes of origins that nobody needs.
#[test]
fn members_write_origins_while_a_service_has_one_version() {
    let mut w = world();
    carry(&mut w);
    w.run(1_000);
    assert_eq!((0..MEMBERS).map(|at| w.saved_origins(at)).sum::<usize>(), 0);
}

/// Returns the streams that were refused since nobody knows which version began them.
fn unknown<'a>(w: &World, all: &'a [Stream]) -> Vec<&'a Stream> {
    let is_unknown = |s: &&Stream| {
        let answer = s.calls.last().and_then(|call| w.answers.get(call));
        let content = answer.map_or(&[][..], |a| &a.content);
        String::from_utf8_lossy(content).contains("which software version")
    };
    all.iter().filter(is_unknown).collect()
}

/// Guards against streams that are joined or unknown after members and gateways were lost in any order
/// within half a second: all that began before the first loss were known to a disk.
#[test]
fn streams_are_known_after_losses_in_any_order() {
    let cases = std::env::var("DOTTERELPIN_FUZZ_CASES").ok().and_then(|n| n.parse().ok());
    for seed in 1..=cases.unwrap_or(CASES) {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut draw = move |below: u64| u64::from(random.next_u32()) % below;
        let loss = if draw(2) == 0 { Loss::Kill } else { Loss::Power };
        let members = std::array::from_fn(|_| draw(500));
        let gateways = (0..=draw(GATEWAYS as u64)).map(|_| draw(500)).collect();
        let disruption = Disruption { loss, members, gateways };
        let mut w = world();
        w.timing.event = std::time::Duration::from_millis(300);
        w.one_member = draw(2) == 0;
        release(&mut w);
        w.run(2_500 + draw(2_000));
        let mut all = Vec::new();
        for _ in 0..3 * CARRIED {
            all.push(Stream::begin(&mut w, draw(GATEWAYS as u64) as usize, 0));
            w.run(draw(30));
        }
        w.run(draw(400));
        all.retain(|stream| !stream.events(&w).is_empty());
        w.run(SAVE_MS);
        disrupt(&mut w, &disruption);
        w.run(2_000 + draw(4_000));
        let (on, new) = take_up(&mut w, &mut all);
        println!("seed {seed}: {on} of {} go on, {new} of {CARRIED} begin", all.len());
        assert!(!all.is_empty() && new > 0, "seed {seed}: {} streams, {new} begin", all.len());
        let unknown: Vec<_> = unknown(&w, &all).iter().map(|s| s.calls.clone()).collect();
        assert!(unknown.is_empty(), "seed {seed}: {unknown:?} are unknown after {disruption:?}");
    }
}
