//! Gateways whose reports show equal loads spread their calls; differences in load are used for the
//! placement.

use std::collections::BTreeMap;

use dotterelpin::gateway::place::locality::DomainTerms;
use dotterelpin::gateway::place::{DecodeLoad, PrefillLoad, place_decode, place_prefill};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn prefill(key: usize, local: bool, backlog: u32) -> PrefillLoad<usize> {
    PrefillLoad { key, local, slots_used: 0, slots: 12, backlog, rate: None }
}

fn decode(key: usize, tokens_used: u32) -> DecodeLoad<usize> {
    DecodeLoad {
        key,
        local: true,
        slots_used: 1,
        slots: 12,
        tokens_used,
        tokens: 30_000,
        rate: None,
    }
}

#[test]
fn prompts_of_many_gateways_spread_over_equal_endpoints() {
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let mut counts: BTreeMap<usize, u32> = BTreeMap::new();
    for _gateway in 0..1_000 {
        let loads = (0..10).map(|key| prefill(key, key < 5, 0));
        let key =
            place_prefill(loads, DomainTerms::default(), 1_000, 12_000, rng.next_u64()).unwrap();
        *counts.entry(key).or_default() += 1;
    }
    assert_eq!(counts.len(), 5, "expected only the five local endpoints: {counts:?}");
    assert!(
        counts.values().all(|n| (120..280).contains(n)),
        "expected 120 to 279 each: {counts:?}"
    );
}

#[test]
fn prompts_prefer_a_slightly_larger_local_backlog_and_go_nowhere_if_all_are_too_large() {
    let loads = [prefill(0, true, 9_000), prefill(1, true, 3_000), prefill(2, false, 0)];
    assert_eq!(
        place_prefill(loads.iter().copied(), DomainTerms::default(), 1_000, 12_000, 5),
        Some(1)
    );
    let loads = [prefill(0, true, 9_000), prefill(1, true, 8_000), prefill(2, false, 0)];
    assert_eq!(
        place_prefill(loads.iter().copied(), DomainTerms::default(), 1_000, 12_000, 5),
        Some(2)
    );
    let loads = [prefill(0, true, 13_000), prefill(1, true, 14_000)];
    assert_eq!(
        place_prefill(loads.iter().copied(), DomainTerms::default(), 1_000, 12_000, 5),
        None
    );
}

#[test]
fn calls_of_many_gateways_with_the_same_report_spread_toward_free_capacity() {
    let mut rng = Pcg64Mcg::seed_from_u64(2);
    let mut counts = [0; 10];
    for _gateway in 0..1_000 {
        let loads = (0..10).map(|key| decode(key, key as u32 * 3_000));
        counts[place_decode(loads, DomainTerms::default(), 3_000, rng.next_u64()).unwrap()] += 1;
    }
    assert!(counts[0] < 500, "expected less than half of the calls at one endpoint: {counts:?}");
    assert!(
        counts[0] > counts[4] && counts[4] > counts[8],
        "expected fewer calls at busier endpoints: {counts:?}"
    );
    assert_eq!(counts[9], 0, "expected no calls at the full endpoint: {counts:?}");
}
