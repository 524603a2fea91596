//! Endpoints of unequal speed: a quarter of the engines runs at 0.55 of the usual speed and the others
//! at 1.2, and in periods of 0.6 s 15 % of them are 2.5 times slower. Equal loads take unequal times
//! there, so placement by load alone lets work wait at the slow ones.

mod gateway_fixture;

use std::time::Duration;

use dotterelpin::gateway::place::speed::{Speed, WorkRate, percents};
use dotterelpin::gateway::place::{DecodeLoad, PrefillLoad, place_decode, place_prefill};
use dotterelpin::model::Timestamp;
use gateway_fixture::Fixture;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(100_000_000 + millis * 1_000)
}

fn estimated(speed: &Speed, millis: u64) -> Option<u32> {
    speed.estimate(at(millis)).map(|e| e.rate.0)
}

/// A single answer that waited for something else must not look like a slow endpoint.
#[test]
fn single_outliers_do_not_change_an_estimate() {
    let mut speed = Speed::default();
    assert_eq!(estimated(&speed, 0), None, "expected no estimate without samples");
    for n in 0..60 {
        let rate = if n % 5 == 0 { 3_000 } else { 30_000 + n as u32 % 3 };
        speed.record(at(n * 100), WorkRate(rate));
        let found = estimated(&speed, n * 100);
        let expected = found.is_none_or(|rate| rate >= 30_000);
        assert!(expected, "expected no change by sample {n}, found {found:?}");
    }
    let spread = speed.estimate(at(6_000)).unwrap().spread;
    assert!(spread <= 1, "expected a spread of at most 1 %, found {spread} %");
}

/// An estimate that follows a slow period late, or keeps it, sends work to the wrong endpoints twice.
#[test]
fn slow_period_is_seen_within_three_answers_and_forgotten_as_fast() {
    let mut speed = Speed::default();
    (0..30).for_each(|n| speed.record(at(n * 100), WorkRate(30_000)));
    (30..33).for_each(|n| speed.record(at(n * 100), WorkRate(12_000)));
    assert_eq!(estimated(&speed, 3_200), Some(12_000));
    let mut again = speed.clone();
    (33..36).for_each(|n| again.record(at(n * 100), WorkRate(30_000)));
    assert_eq!(estimated(&again, 3_500), Some(30_000));
    assert_eq!(
        estimated(&speed, 4_300),
        Some(30_000),
        "expected the usual speed a second after the last slow answer"
    );
    assert_eq!(estimated(&speed, 60_000), None, "expected the estimate to expire");
}

/// The order of placement before speeds were learned: the least load, with the penalties for another
/// failure domain.
#[test]
fn placement_without_learned_speeds_is_by_load_alone() {
    let mut rng = Pcg64Mcg::seed_from_u64(5);
    let mut below = |bound: u64| (rng.next_u64() % bound) as u32;
    for _ in 0..2_000 {
        let prefills: Vec<PrefillLoad<usize>> = (0..5)
            .map(|key| PrefillLoad {
                key,
                local: below(2) == 0,
                slots_used: 0,
                slots: 12,
                backlog: below(4) * 2_000,
                rate: None,
            })
            .collect();
        let cost = |l: &PrefillLoad<usize>| l.backlog + if l.local { 0 } else { 4_000 };
        let least = prefills.iter().map(cost).min().unwrap();
        let tied: Vec<usize> =
            prefills.iter().filter(|l| cost(l) == least).map(|l| l.key).collect();
        let (draw, tokens) = (u64::from(below(1_000)), below(9_000));
        let expected = tied[draw as usize % tied.len()];
        assert_eq!(
            place_prefill(prefills.iter().copied(), tokens, 12_000, draw),
            Some(expected),
            "{prefills:?}"
        );
        let decodes: Vec<DecodeLoad<usize>> = (0..2)
            .map(|key| DecodeLoad {
                key,
                local: below(2) == 0,
                slots_used: below(11),
                slots: 12,
                tokens_used: below(20_000),
                tokens: 30_000,
                rate: None,
            })
            .collect();
        let load = |l: &DecodeLoad<usize>| {
            let load = (l.tokens_used * 1_000 / l.tokens).max(l.slots_used * 1_000 / l.slots);
            load + if l.local { 0 } else { 60 }
        };
        let placed = place_decode(decodes.iter().copied(), 100, draw).unwrap();
        let other = (0..50).map(|d| place_decode(decodes.iter().copied(), 100, d).unwrap());
        let best = decodes.iter().min_by_key(|l| (load(l), l.key)).unwrap().key;
        assert!(other.into_iter().any(|key| key == best), "{decodes:?}, {placed}");
    }
    assert_eq!(percents(&[None, None]), [100, 100]);
}

/// An endpoint that nobody knows must neither be flooded nor starve.
#[test]
fn endpoint_without_an_estimate_gets_work_after_those_of_the_usual_speed() {
    let load = |key, backlog, rate: Option<u32>| PrefillLoad {
        key,
        local: true,
        slots_used: 0,
        slots: 12,
        backlog,
        rate: rate.map(WorkRate),
    };
    let usual = Some(30_000);
    let place = |backlog| {
        let loads = [
            load(1, backlog, usual),
            load(2, backlog, usual),
            load(3, 0, None),
            load(4, 0, Some(14_000)),
        ];
        place_prefill(loads.into_iter(), 3_000, 12_000, 1).unwrap()
    };
    assert!(matches!(place(0), 1 | 2));
    assert_eq!(place(3_000), 3, "expected the unknown one before a slow one");
}

/// Two endpoints of a plain service, one of which takes 2.2 times as long: the slow one must get
/// fewer calls, and still some.
#[test]
fn plain_calls_go_to_the_endpoint_that_answers_first() {
    let mut f = Fixture::ready();
    let mut open: Vec<(Timestamp, gateway_fixture::Sent)> = Vec::new();
    let mut counts = std::collections::BTreeMap::<String, u32>::new();
    for milli in 0..3_000u64 {
        if milli % 10 == 0 {
            f.call(milli, "/look/a", &[("Patience-Ms", "600")]);
        }
        f.advance(1);
        while f.has_sent() {
            let sent = f.take_sent();
            let name = sent.field("Endpoint").unwrap().to_string();
            let takes = if name == "p1" { 45 } else { 20 };
            if milli >= 500 {
                *counts.entry(name).or_default() += 1;
            }
            open.push((f.now + Duration::from_millis(takes), sent));
        }
        let (done, rest) = open.into_iter().partition(|(until, _)| *until <= f.now);
        open = rest;
        done.iter().for_each(|(_, sent)| f.answer(sent, 200, &[], "found"));
    }
    println!("{counts:?}");
    let [slow, quick] = [counts["p1"], counts["p2"]];
    assert!(quick > slow * 3 / 2 && slow > 10, "expected most at p2: {counts:?}");
}
