//! The plan that moves engines between the prefill and the decode stage.

use std::time::Duration;

use dotterelpin::api::stages::{STARTUP_WINDOW, STEADY_WINDOW, StageOrder, StageTerms, Stages};
use dotterelpin::model::{BootId, Capacity, EndpointKind, EndpointState, Fence, Load, Timestamp};

const TERMS: StageTerms = StageTerms { share: 15, spare: 2 };

fn engine(number: usize, kind: EndpointKind) -> EndpointState {
    EndpointState {
        name: format!("e{number:02}").into(),
        address: format!("127.0.0.1:{}", 9_000 + number).parse().unwrap(),
        domain: ["a", "b", "c"][number % 3].into(),
        boot: BootId(1),
        sequence: 1,
        kind,
        pool: "drafts".into(),
        url: "".into(),
        capacity: Capacity { slots: 12, pieces: 0, piece_tokens: 0 },
        load: Load::default(),
        draining: false,
        fence: Fence(0),
        software: "".into(),
    }
}

fn pool(prefills: usize, all: usize) -> Vec<EndpointState> {
    let kind = |n| if n < prefills { EndpointKind::Prefill } else { EndpointKind::Decode };
    (0..all).map(|n| engine(n, kind(n))).collect()
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000) + Duration::from_millis(millis)
}

/// Plans every 500 ms with the window of a starting fleet and returns all orders.
fn plan_steps(
    stages: &mut Stages,
    from: u64,
    until: u64,
    pool: &[EndpointState],
) -> Vec<StageOrder> {
    (from..until)
        .step_by(500)
        .flat_map(|t| stages.plan(at(t), pool, TERMS, STARTUP_WINDOW))
        .collect()
}

#[test]
fn engines_beyond_the_share_move_to_decode_from_each_domain_in_turn() {
    let mut stages = Stages::default();
    let pool = pool(7, 18);
    let orders = plan_steps(&mut stages, 0, 10_000, &pool);
    // 15 % of 18 engines are 3, and 2 are spare.
    assert_eq!(orders.len(), 2, "{orders:?}");
    assert!(orders.iter().all(|o| o.kind == EndpointKind::Decode));
    let domain =
        |o: &StageOrder| pool.iter().find(|e| e.name == o.endpoint).unwrap().domain.clone();
    assert_ne!(domain(&orders[0]), domain(&orders[1]));
}

#[test]
fn pending_order_is_not_sent_again_and_a_lost_one_is() {
    let mut stages = Stages::default();
    let pool = pool(6, 18);
    assert_eq!(plan_steps(&mut stages, 0, 15_000, &pool).len(), 1);
    assert_eq!(plan_steps(&mut stages, 15_000, 20_000, &pool).len(), 1);
}

#[test]
fn short_crashes_move_no_engine_and_lost_engines_are_replaced() {
    let mut stages = Stages::default();
    let mut plan = |from: u64, until: u64, pool: &[EndpointState]| -> Vec<StageOrder> {
        let times = (from..until).step_by(500);
        times.flat_map(|t| stages.plan(at(t), pool, TERMS, STEADY_WINDOW)).collect()
    };
    let full = pool(5, 18);
    assert!(plan(0, 20_000, &full).is_empty());
    // Three prefill endpoints crash; their leases expire, and they register again seconds later.
    assert!(plan(20_000, 26_000, &full[3..]).is_empty());
    assert!(plan(26_000, 40_000, &full).is_empty());
    // Replacements are registered together with the old endpoints for a while.
    let more: Vec<_> =
        full.iter().cloned().chain((18..21).map(|n| engine(n, EndpointKind::Prefill))).collect();
    assert!(plan(40_000, 46_000, &more).is_empty());
    assert!(plan(46_000, 60_000, &full).is_empty());
    // Four prefill endpoints do not come back.
    let orders = plan(60_000, 70_000, &full[4..]);
    assert!(!orders.is_empty() && orders.iter().all(|o| o.kind == EndpointKind::Prefill));
}

#[test]
fn pool_without_prefill_endpoints_gets_some() {
    let mut stages = Stages::default();
    let orders = plan_steps(&mut stages, 0, 5_000, &pool(0, 18));
    assert!(!orders.is_empty() && orders.iter().all(|o| o.kind == EndpointKind::Prefill));
    let mut stages = Stages::default();
    assert!(
        plan_steps(&mut stages, 0, 5_000, &pool(0, 1)).is_empty(),
        "expected no order for the only engine of a pool"
    );
}

#[test]
fn large_pool_keeps_few_spare_engines_and_a_small_one_none() {
    let prefills = |all: usize| {
        let mut stages = Stages::default();
        let mut pool = pool(all / 2, all);
        for step in 0..40 {
            for order in stages.plan(at(step * 2_000), &pool, TERMS, STARTUP_WINDOW) {
                let engine = pool.iter_mut().find(|e| e.name == order.endpoint).unwrap();
                engine.kind = order.kind;
            }
        }
        pool.iter().filter(|e| e.kind == EndpointKind::Prefill).count()
    };
    assert_eq!([2, 6, 10, 18, 50].map(prefills), [1, 1, 3, 5, 10]);
}

#[test]
fn refused_order_is_sent_again() {
    let mut stages = Stages::default();
    let pool = pool(6, 18);
    let orders = plan_steps(&mut stages, 0, 3_000, &pool);
    stages.refused(&orders[0].endpoint);
    assert_eq!(plan_steps(&mut stages, 3_000, 4_000, &pool).len(), 1);
}
