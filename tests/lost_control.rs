//! A process that can reach the members of control finds them, even if all that it knew were
//! replaced at new addresses while it was cut off, paused or down.

// This binary uses a part of the simulation.
#[allow(dead_code, unused_imports)]
mod replacements_world;
mod simulated;

use replacements_world::Step::{self, Outsider, Quiet, Unplanned};
use replacements_world::Victim::Oldest;
use replacements_world::{Fate, Outsiders, Schedule, Shape, run_with};

const SHAPE: Shape = Shape { machines: 3, losses: 1 };

/// Runs these steps, with all three first members replaced in between.
fn run_around_replacements(outsiders: usize, before: &[(u64, Step)], after: &[(u64, Step)]) {
    let replace = (500, Unplanned { victim: Oldest, down: 300, reuse: false });
    let replaced = [replace, replace, replace, (0, Quiet)];
    let steps = [&[(0, Quiet)], before, &replaced, after, &[(2_500, Quiet)]].concat();
    let schedule = Schedule { shape: SHAPE, seed: 3, steps };
    run_with(&schedule, Outsiders::scripted(outsiders)).unwrap_or_else(|f| panic!("{f}"));
}

#[test]
fn follower_that_was_cut_off_while_all_members_were_replaced_finds_them() {
    run_around_replacements(2, &[(0, Outsider(0, Fate::Cut))], &[(0, Outsider(0, Fate::Join))]);
}

#[test]
fn followers_that_were_all_cut_off_while_all_members_were_replaced_find_them() {
    let fates = |fate| [0, 1, 2, 3].map(|at| (0, Outsider(at, fate)));
    run_around_replacements(4, &fates(Fate::Cut), &fates(Fate::Join));
}

#[test]
fn follower_that_was_paused_while_all_members_were_replaced_finds_them() {
    run_around_replacements(1, &[(0, Outsider(0, Fate::Pause(40_000)))], &[(45_000, Quiet)]);
}

#[test]
fn follower_that_starts_again_with_settings_of_which_all_members_are_gone_finds_others() {
    run_around_replacements(1, &[(0, Outsider(0, Fate::Kill))], &[(0, Outsider(0, Fate::Start))]);
}

#[test]
fn one_of_three_hundred_followers_that_were_cut_off_is_found_among_those_that_are_gone() {
    for one in [0, 299] {
        let fate = |at| if at == one { Fate::Cut } else { Fate::Pause(120_000) };
        let fates: Vec<_> = (0..300).map(|at| (0, Outsider(at, fate(at)))).collect();
        run_around_replacements(300, &fates, &[(0, Outsider(one, Fate::Join))]);
    }
}
