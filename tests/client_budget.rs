//! The decisions on what callers may take up, without a network.

use std::sync::Arc;
use std::time::Duration;

use dotterelpin::h1::CallerId;
use dotterelpin::h1::budget::{
    Budget, Candidate, Charge, Holder, Level, Progress, Thresholds, is_handed, reads_on, victims,
};
use dotterelpin::model::Timestamp;
use dotterelpin::routes::CallerLimits;

const LIMITS: CallerLimits = CallerLimits {
    head_bytes: 1_000,
    body_bytes: 1_000_000,
    head_timeout: Duration::from_secs(3),
    idle_timeout: Duration::from_secs(15),
};
const MB: usize = 1 << 20;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000 + millis * 1_000)
}

fn candidate(id: u64, held: usize, stalled_ms: u64, rate: u64) -> Candidate {
    Candidate { id: CallerId(id), held, stalled: Duration::from_millis(stalled_ms), rate }
}

/// Guards against a body that is kept for as long as a byte comes now and then.
#[test]
fn body_that_trickles_outlives_its_window() {
    let mut progress = Progress::new(at(0));
    (0..30).for_each(|turn| progress.receive(at(turn * 100), 10));
    assert_eq!(progress.deadline(&LIMITS), at(3_000));
    assert!(!progress.next_window(at(3_000)));
}

/// Guards against a steady body on a slow line that is refused because it is large.
#[test]
fn steady_body_gets_no_further_window() {
    let mut progress = Progress::new(at(0));
    progress.receive(at(2_900), 40_000);
    assert!(progress.next_window(at(3_000)));
    assert_eq!(progress.deadline(&LIMITS), at(6_000));
    assert!(!progress.next_window(at(6_000)), "nothing has come in the second window");
}

/// Guards against callers that are refused as too slow while the process did not read.
#[test]
fn time_without_reading_counts() {
    let mut progress = Progress::new(at(0));
    progress.receive(at(100), 20_000);
    progress.pause(at(200));
    assert_eq!(progress.deadline(&LIMITS), at(15_200));
    assert_eq!(progress.stalled(at(9_000)), Duration::from_millis(100));
    progress.receive(at(9_000), 1);
    assert_eq!(progress.deadline(&LIMITS), at(12_000));
}

/// Guards against thresholds that refuse a single legal request on the smallest machine.
#[test]
fn largest_request_alone_is_refused() {
    for memory in [16 * MB, 48 * MB, 88 * MB] {
        let thresholds = Thresholds::new(memory);
        for own in (0..=4 * MB).step_by(16 << 10) {
            let (held, level) = (own + 64, thresholds.level(own + 64));
            assert!(reads_on(level, own, held) && is_handed(level, own, held), "{own} of {memory}");
        }
    }
}

/// Guards against counts that drift, after which a process would refuse everything.
#[test]
fn dropped_charges_remain_counted() {
    let budget = Arc::new(Budget::new(8 * MB, 80));
    let mut charges: Vec<Charge> = (0..40).map(|_| Charge::new(&budget, Holder::Calls)).collect();
    for (number, charge) in charges.iter_mut().enumerate() {
        charge.set(number * 1_000);
        charge.set(100_000);
    }
    assert_eq!((budget.held(), budget.accepted(), budget.level()), (4_000_000, 40, Level::Over));
    charges.truncate(1);
    assert_eq!((budget.held(), budget.accepted(), budget.level()), (100_000, 1, Level::Calm));
    drop(charges);
    assert_eq!((budget.held(), budget.accepted()), (0, 0));
}

/// Guards against refusals of callers that send steadily while others have stopped.
#[test]
fn steady_senders_are_refused_before_stalled_ones() {
    let stalled = (0..20).map(|id| candidate(id, 250_000, 600 + id, 1_000_000));
    let steady = (20..30).map(|id| candidate(id, 250_000, 10, 50_000));
    let chosen = victims(steady.chain(stalled).collect(), 5 * 250_000);
    let expected: Vec<CallerId> = (15..20).rev().map(CallerId).collect();
    assert_eq!(chosen, expected, "expected the longest stalled ones first");
}

/// Guards against an eviction that frees too little, or more than it needs.
#[test]
fn eviction_frees_too_much_or_too_little() {
    let candidates: Vec<Candidate> = (0..50).map(|id| candidate(id, 1_000, 0, id)).collect();
    assert_eq!(victims(candidates.clone(), 4_500).len(), 5);
    assert_eq!(victims(candidates.clone(), 0).len(), 0);
    assert_eq!(victims(candidates, usize::MAX).len(), 50);
}
