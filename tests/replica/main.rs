//! Nothing that was accepted is lost or reverts: control members under faults of all kinds.
//!
//! DOTTERELPIN_FUZZ_CASES sets how many cases each test runs.

mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};

use world::{Fault, Scenario, World};

const CASES: u32 = 60;
const SEED: [u8; 32] = *b"control members, fixed test seed";

fn fault(nodes: usize) -> impl Strategy<Value = Fault> {
    let node = 0..nodes;
    prop_oneof![
        8 => (any::<bool>(), node.clone()).prop_map(|(any, at)| Fault::Change { any, at }),
        3 => node.clone().prop_map(|at| Fault::Race { at }),
        3 => (any::<u8>(), node.clone()).prop_map(|(old, at)| Fault::Resend { old, at }),
        1 => (1..200usize).prop_map(|count| Fault::Burst { count }),
        3 => node.clone().prop_map(Fault::Kill),
        1 => Just(Fault::KillLeader),
        4 => node.clone().prop_map(Fault::Restart),
        2 => node.clone().prop_map(Fault::LoseDisk),
        1 => (node.clone(), any::<bool>()).prop_map(|(at, full)| Fault::Full { at, full }),
        2 => (node.clone(), node.clone()).prop_map(|(from, to)| Fault::Cut { from, to }),
        2 => node.clone().prop_map(Fault::Isolate),
        2 => Just(Fault::Heal),
        1 => (node.clone(), node.clone()).prop_map(|(from, to)| Fault::Mute { from, to }),
        1 => (node, 100..10_000u64).prop_map(|(at, millis)| Fault::Pause { at, millis }),
    ]
}

fn scenario(nodes: usize) -> impl Strategy<Value = Scenario> {
    let steps = prop::collection::vec((0..1_500u64, fault(nodes)), 1..24);
    (any::<u64>(), 0..15u32, steps).prop_map(move |(seed, noise, steps)| Scenario {
        nodes,
        seed,
        noise,
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
