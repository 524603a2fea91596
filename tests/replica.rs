//! Nothing that was accepted is lost or reverts: control members under faults of all kinds.
//!
//! DOTTERELPIN_FUZZ_CASES sets how many cases each fuzz test runs.

mod group;

use std::net::SocketAddr;

use dotterelpin::control::replica::{
    Action, LogIndex, Member, MemberId, Members, Position, Record, Replica, ReplicaBody,
    ReplicaInput, ReplicaMessage, ReplicaSettings, Stored, WriteId,
};
use dotterelpin::control::state::Command;
use dotterelpin::model::Timestamp;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

use group::{Fault, Scenario, World};

const CASES: u32 = 150;
const SEED: [u8; 32] = *b"control members, fixed test seed";

fn fault(nodes: usize) -> impl Strategy<Value = Fault> {
    let at = || 0..nodes;
    prop_oneof![
        8 => prop_oneof![3 => Just(0), 1 => at()].prop_map(Fault::Change),
        3 => at().prop_map(Fault::Race),
        3 => (any::<u8>(), at()).prop_map(|(old, at)| Fault::Resend { old, at }),
        1 => (1..200usize).prop_map(Fault::Burst),
        4 => at().prop_map(Fault::Kill),
        4 => at().prop_map(Fault::Restart),
        2 => at().prop_map(|without| Fault::PowerLoss { without }),
        3 => at().prop_map(Fault::LoseDisk),
        1 => (at(), any::<bool>()).prop_map(|(at, full)| Fault::Full { at, full }),
        2 => (at(), at()).prop_map(|(from, to)| Fault::Cut { from, to }),
        2 => at().prop_map(Fault::Isolate),
        2 => Just(Fault::Split),
        3 => Just(Fault::Heal),
        1 => (at(), at()).prop_map(|(from, to)| Fault::Mute { from, to }),
        1 => (at(), 100..10_000u64).prop_map(|(at, millis)| Fault::Pause { at, millis }),
    ]
}

fn scenario(nodes: usize) -> impl Strategy<Value = Scenario> {
    let gap = prop_oneof![4 => 0..40u64, 3 => 40..1_500u64, 1 => 1_500..5_000u64];
    let steps = prop::collection::vec((gap, fault(nodes)), 1..24);
    let sync = prop_oneof![Just(1_000usize), Just(8_000), Just(60_000)];
    (any::<u64>(), 0..15u32, sync, steps).prop_map(move |(seed, noise, sync, steps)| Scenario {
        nodes,
        seed,
        noise,
        sync,
        steps,
    })
}

fn fuzz(nodes: usize) {
    let cases = std::env::var("DOTTERELPIN_FUZZ_CASES").ok().and_then(|c| c.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let run = |scenario: Scenario| World::run(&scenario).map_err(TestCaseError::fail);
    match TestRunner::new_with_rng(config, rng).run(&scenario(nodes), run) {
        Ok(()) => {}
        Err(TestError::Fail(reason, scenario)) => panic!("{reason}\n{scenario:?}"),
        Err(error) => panic!("{error}"),
    }
}

#[test]
fn three_members_lose_nothing() {
    fuzz(3);
}

#[test]
fn five_members_lose_nothing() {
    fuzz(5);
}

/// Runs one course of events with several gaps between a change and what follows it.
fn at_many_gaps(nodes: usize, steps: impl Fn(u64) -> Vec<(u64, Fault)>) {
    for seed in 0..2 {
        for gap in (0..40).step_by(2) {
            for sync in [1_000, 20_000] {
                let steps = steps(gap);
                let scenario = Scenario { nodes, seed, noise: 0, sync, steps };
                World::run(&scenario).unwrap_or_else(|p| panic!("{p}\n{scenario:?}"));
            }
        }
    }
}

#[test]
fn change_survives_a_power_loss_at_any_moment() {
    for without in 0..3 {
        at_many_gaps(3, |gap| vec![(0, Fault::Change(0)), (gap, Fault::PowerLoss { without })]);
    }
}

#[test]
fn change_in_the_log_of_one_of_two_members_is_not_disproved() {
    at_many_gaps(3, |gap| {
        let cut = vec![(gap, Fault::Split), (0, Fault::Kill(0)), (5_000, Fault::Heal)];
        [(0, Fault::Change(0))].into_iter().chain(cut).collect()
    });
}

#[test]
fn member_with_a_lost_disk_proves_nothing() {
    at_many_gaps(3, |gap| {
        let lost = vec![(gap, Fault::LoseDisk(2)), (0, Fault::Split), (0, Fault::Kill(0))];
        let begin = [(0, Fault::Isolate(1)), (0, Fault::Change(0))];
        begin.into_iter().chain(lost).chain([(5_000, Fault::Heal)]).collect()
    });
}

#[test]
fn second_disk_may_be_lost_right_after_a_repair() {
    at_many_gaps(3, |gap| {
        vec![
            (0, Fault::Change(0)),
            (100, Fault::LoseDisk(1)),
            (10, Fault::Change(0)),
            (1_000 + gap * 50, Fault::LoseDisk(2)),
            (10, Fault::Change(0)),
            (1_000 + gap * 50, Fault::LoseDisk(0)),
        ]
    });
}

#[test]
fn courses_that_failed_once_pass() {
    let run = |scenario: &Scenario| World::run(scenario).unwrap();
    // A blank member's hello stayed on a dead exchange.
    let steps = vec![
        (0, Fault::Kill(0)),
        (388, Fault::LoseDisk(1)),
        (96, Fault::Change(0)),
        (359, Fault::Kill(0)),
    ];
    run(&Scenario { nodes: 3, seed: 0, noise: 0, sync: 8_000, steps });
    // The old and the new number at one address cut each other's exchange off.
    let steps = vec![
        (844, Fault::Change(0)),
        (1_500, Fault::Burst(25)),
        (771, Fault::LoseDisk(1)),
        (280, Fault::LoseDisk(2)),
        (346, Fault::Kill(0)),
    ];
    for seed in 0..40 {
        run(&Scenario { nodes: 5, seed, noise: 13, sync: 8_000, steps: steps.clone() });
    }
}

fn address(member: u64) -> SocketAddr {
    ([10, 0, 0, member as u8], 7000).into()
}

fn from_member(member: u64, term: u64, body: ReplicaBody) -> ReplicaInput {
    let (from, to) = (MemberId(member), MemberId(1));
    let address = address(member);
    let message = ReplicaMessage { cluster: Some(9), from, address, to, term, body };
    ReplicaInput::Reply { peer: address, message }
}

/// A record of an older term on a majority may still be replaced, until one of the own term
/// behind it is on a majority, too.
#[test]
fn records_of_older_terms_are_committed_by_one_of_the_own_term() {
    let voters = (1..=3).map(|id| (MemberId(id), Member { address: address(id), voter: true }));
    let members = Members { epoch: 3, all: voters.collect() };
    let record = |index, term, command| Record { index: LogIndex(index), term, command };
    let records = vec![record(1, 1, Command::Members(members)), record(2, 2, Command::Noop)];
    let stored = Stored { cluster: Some(9), term: 2, records, ..Stored::new(MemberId(1)) };
    let settings = ReplicaSettings::new(address(1), (1..=3).map(address).collect(), 1);
    let mut replica = Replica::new(settings, stored);
    let mut applied = Vec::new();
    let mut step = |replica: &mut Replica, seconds: u64, input| {
        let actions = replica.step(Timestamp::from_micros(seconds * 1_000_000), input);
        for action in &actions {
            if let Action::Apply(record) = action {
                applied.push(record.index.0);
            }
        }
        let commit = applied.last().copied();
        (actions, commit)
    };
    step(&mut replica, 1, ReplicaInput::Wake);
    step(&mut replica, 2, ReplicaInput::Wake);
    let granted = ReplicaBody::PreVoted { next: 3, granted: true };
    step(&mut replica, 2, from_member(2, 2, granted));
    step(&mut replica, 2, ReplicaInput::Synced(WriteId(1)));
    step(&mut replica, 2, from_member(2, 3, ReplicaBody::Voted { granted: true }));
    assert!(replica.is_leader());
    step(&mut replica, 2, ReplicaInput::Synced(WriteId(2)));
    let appended = |end| {
        let sent = Timestamp::from_micros(2_000_000);
        ReplicaBody::Appended { matched: true, end: LogIndex(end), sent }
    };
    let (_, commit) = step(&mut replica, 2, from_member(2, 3, appended(2)));
    assert_eq!(commit, None, "record 2 of term 2 is on a majority only");
    let (_, commit) = step(&mut replica, 2, from_member(2, 3, appended(3)));
    assert_eq!(commit, Some(3));
    assert_eq!(replica.last(), Position { term: 3, index: LogIndex(3) });
}
