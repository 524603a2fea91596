//! Control bears the next loss after each series of replaced, wiped, stopped and killed machines.
//!
//! REPLACEMENT_SEEDS=FROM..TO runs these seeds instead of the usual ones, and reports all failures;
//! with REPLACEMENT_FOLLOWERS=1, with followers that are cut off, paused and restarted meanwhile.
//! FOUNDING_SEEDS=FROM..TO does so for power losses while a group is founded.

// This binary uses a part of the simulation.
#[allow(dead_code, unused_imports)]
mod replacements_world;
mod simulated;

use std::collections::BTreeMap;
use std::ops::Range;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use replacements_world::Step::{
    Cut, Kill, Mute, Planned, PowerLoss, Quiet, Restart, Unplanned, Wipe,
};
use replacements_world::Victim::{Any, Leader, Lost, Oldest};
use replacements_world::{Failure, Outsiders, SHAPES, Schedule, Shape, Step, run, run_with};
use simulated::below;

/// The number of seeds of each deployment, unless the environment sets another range.
const SEEDS: u64 = 50;
/// The number of deployments, over which the seeds are divided.
const SHAPE_COUNT: u64 = SHAPES.len() as u64;
/// The seeds of power losses while a group is founded, unless the environment sets another range.
const FOUNDING_SEEDS: Range<u64> = 0..60;
/// The number of threads that run the seeds of the environment.
const THREADS: usize = 3;

/// Runs the schedule of a seed, with followers to which random faults happen if the environment
/// asks for it.
fn run_seeded(schedule: &Schedule) -> Result<(), Failure> {
    match std::env::var_os("REPLACEMENT_FOLLOWERS") {
        Some(_) => run_with(schedule, Outsiders::random(schedule.seed)),
        None => run(schedule),
    }
}

/// Removes steps as long as the same check still fails.
fn shrink(mut schedule: Schedule, mut failure: Failure) -> (Schedule, Failure) {
    let mut at = 0;
    while at < schedule.steps.len() {
        let mut less = schedule.clone();
        less.steps.remove(at);
        match run_seeded(&less) {
            Err(same) if same.check == failure.check => (schedule, failure) = (less, same),
            _ => at += 1,
        }
    }
    (schedule, failure)
}

/// Runs seeds of the environment in threads, and prints the failures by their check.
fn run_range(range: Range<u64>) {
    let next = AtomicU64::new(range.start);
    let failed = Mutex::new(BTreeMap::<&str, Vec<u64>>::new());
    let work = || {
        loop {
            let seed = next.fetch_add(1, Ordering::Relaxed);
            if seed >= range.end {
                return;
            }
            let schedule = Schedule::new(seed);
            let Err(failure) = run_seeded(&schedule) else { continue };
            println!("seed {seed}: {}: {}", failure.check, failure.text);
            let first = {
                let mut failed = failed.lock().unwrap();
                let seeds = failed.entry(failure.check).or_default();
                seeds.push(seed);
                seeds.len() <= 2
            };
            if first {
                let (schedule, failure) = shrink(schedule, failure);
                println!("shrunk from seed {seed}: {schedule:?}\n{failure}\n");
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(work);
        }
    });
    let failed = failed.into_inner().unwrap();
    let count: usize = failed.values().map(Vec::len).sum();
    for (check, seeds) in &failed {
        println!("{check}: {} seeds, such as {:?}", seeds.len(), &seeds[..seeds.len().min(20)]);
    }
    assert_eq!(count, 0, "of {} seeds, {count} failed", range.end - range.start);
}

/// Runs the usual seeds of one deployment.
fn run_shape(shape: u64) {
    if std::env::var_os("REPLACEMENT_SEEDS").is_some() {
        return;
    }
    for seed in (0..SEEDS).map(|n| n * SHAPE_COUNT + shape) {
        let schedule = Schedule::new(seed);
        run(&schedule).unwrap_or_else(|failure| panic!("{failure}\n{schedule:?}"));
    }
}

#[test]
fn three_machines_bear_one_loss_after_the_other() {
    run_shape(0);
}

#[test]
fn five_machines_bear_two_losses_at_once() {
    run_shape(1);
}

#[test]
fn seven_machines_bear_three_losses_at_once() {
    run_shape(2);
}

#[test]
fn five_machines_bear_one_loss_after_the_other() {
    run_shape(3);
}

/// Within two seconds of the time from which a follower can reach sound members, it is confirmed.
#[test]
fn followers_cut_off_paused_and_restarted_meanwhile_find_control() {
    if std::env::var_os("REPLACEMENT_SEEDS").is_some() {
        return;
    }
    for seed in 0..SEEDS {
        let schedule = Schedule::new(seed);
        let outcome = run_with(&schedule, Outsiders::random(seed));
        outcome.unwrap_or_else(|failure| panic!("seed {seed}: {failure}\n{schedule:?}"));
    }
}

/// Runs steps of which at least one check failed once.
fn run_steps(shape: Shape, seed: u64, steps: &[(u64, Step)]) {
    let schedule = Schedule { shape, seed, steps: steps.to_vec() };
    run(&schedule).unwrap_or_else(|failure| panic!("{failure}"));
}

/// A follower's notices went to an earlier start of a member, which took the leadership.
#[test]
fn voters_that_leave_tell_a_leader_that_had_started_again() {
    let steps = [
        (2963, Unplanned { victim: Any(664), down: 549, reuse: false }),
        (0, Wipe { victim: Leader, down: 403 }),
        (0, Mute { from: 633, to: 794 }),
        (223, Wipe { victim: Oldest, down: 929 }),
        (0, Kill { victim: Any(375), down: 200 }),
        (0, Restart { victim: Oldest, down: 722 }),
        (0, Quiet),
        (61, Planned { victim: Leader, overlap: 933, reuse: true }),
        (41, Planned { victim: Leader, overlap: 906, reuse: false }),
        (0, Quiet),
    ];
    run_steps(Shape { machines: 5, losses: 2 }, 153, &steps);
}

/// Each new leader counted the silence of the gone voters anew, and was lost before they were out.
#[test]
fn leaders_lost_one_after_the_other_keep_no_gone_voters() {
    let steps = [
        (208, Cut { victim: Any(519), millis: 2189 }),
        (791, Cut { victim: Leader, millis: 3072 }),
        (65, Restart { victim: Oldest, down: 402 }),
        (1264, Wipe { victim: Leader, down: 660 }),
        (3, Planned { victim: Oldest, overlap: 1040, reuse: true }),
        (0, PowerLoss { down: 954 }),
        (0, Quiet),
        (80, Unplanned { victim: Leader, down: 842, reuse: false }),
        (63, Unplanned { victim: Any(658), down: 391, reuse: false }),
        (2394, Unplanned { victim: Oldest, down: 455, reuse: true }),
        (0, Unplanned { victim: Oldest, down: 312, reuse: true }),
        (678, Cut { victim: Leader, millis: 640 }),
        (0, Quiet),
    ];
    run_steps(Shape { machines: 7, losses: 3 }, 78, &steps);
}

/// A new machine was added to the votes of a lost one, and lost itself: two of four voters lived.
#[test]
fn new_machine_lost_before_the_vote_of_the_old_one_is_out_ends_no_group() {
    let shape = Shape { machines: 3, losses: 1 };
    let steps = [
        (83, Unplanned { victim: Any(106), down: 290, reuse: false }),
        (828, Wipe { victim: Lost(1), down: 537 }),
        (0, Quiet),
    ];
    run_steps(shape, 1160, &steps);
    let steps = [
        (0, Unplanned { victim: Oldest, down: 923, reuse: false }),
        (54, Unplanned { victim: Lost(0), down: 218, reuse: false }),
        (2352, Unplanned { victim: Any(404), down: 689, reuse: false }),
        (324, Wipe { victim: Oldest, down: 537 }),
        (0, Quiet),
    ];
    run_steps(shape, 1072, &steps);
}

/// A new machine was added to the votes of the one that it replaces, and both were lost.
#[test]
fn new_machine_lost_together_with_the_one_that_it_replaces_ends_no_group() {
    let steps = [
        (324, Planned { victim: Lost(1), overlap: 896, reuse: true }),
        (362, Unplanned { victim: Lost(1), down: 675, reuse: false }),
        (13, PowerLoss { down: 310 }),
        (0, Quiet),
    ];
    run_steps(Shape { machines: 3, losses: 1 }, 1296, &steps);
    kept_seed(1296);
}

/// The seeds of a wiped machine were itself and two that were blank, too, so they founded a group.
#[test]
fn wiped_and_new_machines_found_no_second_group() {
    let steps = [
        (490, Wipe { victim: Lost(3), down: 902 }),
        (0, Planned { victim: Any(648), overlap: 962, reuse: false }),
        (0, Wipe { victim: Oldest, down: 678 }),
        (2322, Kill { victim: Lost(1), down: 847 }),
        (0, Quiet),
    ];
    run_steps(Shape { machines: 5, losses: 1 }, 83, &steps);
}

/// Five machines were replaced as planned, and the gone ones became the majority of seven voters.
#[test]
fn planned_replacements_in_series_keep_a_majority_of_living_voters() {
    let planned = |victim| Planned { victim, overlap: 1_000, reuse: false };
    let steps = [Oldest, Leader, Oldest, Any(1), Oldest].map(|victim| (50, planned(victim)));
    let steps: Vec<_> = steps.into_iter().chain([(0, Quiet)]).collect();
    run_steps(Shape { machines: 5, losses: 2 }, 1, &steps);
    run_steps(Shape { machines: 5, losses: 1 }, 1, &steps);
}

/// Members that were started again counted other founders, so each one waited for another.
#[test]
fn members_with_other_addresses_than_at_their_first_start_found_the_group() {
    let losses = [(78, 645), (408, 946), (0, 483)];
    let losses = losses.map(|(gap, down)| (gap, PowerLoss { down }));
    let steps: Vec<_> = losses.into_iter().chain([(0, Quiet)]).collect();
    run_steps(Shape { machines: 5, losses: 1 }, 3143, &steps);
    kept_seed(3143);
}

/// A founder had its group on disk but not the record of the members, and was never in one.
#[test]
fn founder_that_loses_power_while_it_writes_the_group_is_a_member() {
    let losses = [(53, 886), (143, 487), (348, 243), (15, 769), (572, 966)];
    let losses = losses.map(|(gap, down)| (gap, PowerLoss { down }));
    let steps: Vec<_> = losses.into_iter().chain([(0, Quiet)]).collect();
    run_steps(Shape { machines: 5, losses: 2 }, 3117, &steps);
    kept_seed(3117);
}

/// Runs the whole schedule of a seed that failed once.
fn kept_seed(seed: u64) {
    let schedule = Schedule::new(seed);
    run(&schedule).unwrap_or_else(|failure| panic!("{failure}\n{schedule:?}"));
}

/// Returns a schedule in which power is lost again and again while the group is founded.
fn losses_while_founding(seed: u64) -> Schedule {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let count = 2 + below(&mut rng, 7);
    let loss = |rng: &mut Pcg64Mcg| {
        let max = [1, 100, 600][below(rng, 3)];
        let gap = below(rng, max) as u64;
        (gap, PowerLoss { down: 200 + below(rng, 800) as u64 })
    };
    let losses: Vec<_> = (0..count).map(|_| loss(&mut rng)).collect();
    let steps = losses.into_iter().chain([(0, Quiet)]).collect();
    Schedule { shape: SHAPES[below(&mut rng, SHAPES.len())], seed, steps }
}

#[test]
fn power_lost_again_and_again_while_the_group_is_founded_leaves_one_group() {
    let range = std::env::var("FOUNDING_SEEDS").ok();
    let seeds = range.map_or(FOUNDING_SEEDS, |text| range_of(&text));
    let failed = seeds.filter_map(|seed| Some((seed, run(&losses_while_founding(seed)).err()?)));
    let failed: Vec<_> = failed.map(|(seed, failure)| format!("{seed}: {failure}")).collect();
    assert!(failed.is_empty(), "{} failed: {}", failed.len(), failed.join("\n"));
}

fn range_of(text: &str) -> Range<u64> {
    let (from, to) = text.split_once("..").expect("expected FROM..TO");
    from.parse().unwrap()..to.parse().unwrap()
}

#[test]
fn seeds_of_the_environment() {
    let Ok(text) = std::env::var("REPLACEMENT_SEEDS") else { return };
    run_range(range_of(&text));
}
