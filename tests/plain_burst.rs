//! A burst beyond the capacity of a plain service: calls wait at the gateway, and those that can
//! still meet their latency target are sent first.

mod gateway_fixture;

use std::collections::VecDeque;
use std::time::Duration;

use dotterelpin::gateway::admit::queue::{Queue, Rank, Waiting};
use dotterelpin::gateway::admit::turns::Share;
use dotterelpin::gateway::window::Window;
use dotterelpin::model::Timestamp;
use gateway_fixture::{Fixture, Sent};

const TARGET: Duration = Duration::from_millis(150);

#[test]
fn window_shrinks_at_a_slow_endpoint_and_grows_at_a_quick_one() {
    let mut window = Window::new(6);
    let size = |w: &Window| (0..100).find(|open| !w.has_capacity(*open)).unwrap();
    assert_eq!(size(&window), 6);
    for _ in 0..30 {
        window.answered(Duration::from_millis(120), TARGET);
    }
    assert_eq!(
        size(&window),
        1,
        "expected a window of 1: an open call is needed to measure the latency"
    );
    for _ in 0..30 {
        window.answered(Duration::from_millis(40), TARGET);
    }
    assert!(size(&window) >= 4, "expected a window of at least 4, found {}", size(&window));
    for _ in 0..10_000 {
        window.answered(Duration::from_millis(40), TARGET);
    }
    assert_eq!(size(&window), 24);
    window.refused();
    assert_eq!(size(&window), 14);
}

#[test]
fn call_that_has_missed_its_target_waits_behind_one_that_has_not() {
    let now = Timestamp::from_micros(1_000_000);
    let at = |millis| now + Duration::from_millis(millis);
    let rank = Rank { account: 2, priority: 2, late: false };
    let mut queue = Queue::default();
    queue.push(
        rank,
        Waiting { key: 1, in_time: at(50), until: at(600), bound: false, share: Share::default() },
    );
    queue.push(
        rank,
        Waiting { key: 2, in_time: at(90), until: at(600), bound: false, share: Share::default() },
    );
    queue.demote(at(60));
    assert_eq!(queue.first(), Some(2));
    queue.demote(at(100));
    assert_eq!(queue.first(), Some(1), "expected the call that was queued first: both are late");
    assert_eq!(queue.len(), 2);
    assert_eq!(queue.remove_expired(at(600)), [1, 2]);
}

/// Sends a call every `interval` milliseconds for a second to two endpoints, which run six calls at
/// once for 30 ms each; returns the latencies of the answers and the number of refused calls.
fn burst(interval: u64) -> (Vec<Duration>, usize) {
    let mut f = Fixture::ready();
    let mut busy: Vec<(Timestamp, Sent)> = Vec::new();
    let mut waiting: VecDeque<Sent> = VecDeque::new();
    let mut arrivals = Vec::new();
    let mut latencies = Vec::new();
    for millis in 0..2_000u64 {
        if millis < 1_000 && millis % interval == 0 {
            let caller = arrivals.len() as u64;
            arrivals.push(f.now);
            f.call(caller, "/pay/a", &[("Patience-Ms", "600")]);
        }
        f.advance(1);
        while f.has_sent() {
            waiting.push_back(f.take_sent());
        }
        let (done, rest) = busy.into_iter().partition(|(until, _)| *until <= f.now);
        busy = rest;
        for (_, sent) in done {
            f.answer(&sent, 200, &[], "paid");
            let caller: usize = sent.field("Call-Id").unwrap()[5..].parse().unwrap();
            latencies.push(f.now - arrivals[caller]);
        }
        waiting.retain(|sent| {
            let free = busy.iter().filter(|(_, s)| s.address == sent.address).count() < 6;
            if free {
                busy.push((f.now + Duration::from_millis(30), sent.clone()));
            }
            !free
        });
    }
    let refused = f.answers.values().filter(|g| g.status == 503).count();
    assert!(f.answers.values().all(|g| matches!(g.status, 200 | 503)));
    (latencies, refused)
}

#[test]
fn calls_within_capacity_are_answered_in_time() {
    let (latencies, refused) = burst(4);
    assert_eq!((latencies.len(), refused), (250, 0));
    assert!(latencies.iter().all(|t| *t <= Duration::from_millis(100)));
}

#[test]
fn calls_beyond_capacity_do_not_make_all_others_late() {
    // 1,000 calls in a second; the endpoints answer 400.
    let (latencies, refused) = burst(1);
    assert_eq!(latencies.len() + refused, 1_000);
    let in_time = latencies.iter().filter(|t| **t <= Duration::from_millis(100)).count();
    assert!(
        in_time >= 250,
        "expected at least 250 in time, found {in_time} of {}",
        latencies.len()
    );
    assert!(latencies.len() >= 400, "expected at least 400 answers, found {}", latencies.len());
}

/// All endpoints come back one after the other, and a hundred gateways send their callers' calls to
/// the first of them: each may have a part of its slots only.
#[test]
fn endpoint_that_was_just_listed_gets_one_call_of_each_of_many_gateways() {
    let mut f = Fixture::without_table(vec![gateway_fixture::table()]);
    f.gateways = 100;
    let mut f = f.made_ready();
    (1..=6).for_each(|caller| f.call(caller, "/pay/a", &[("Patience-Ms", "600")]));
    let first = f.take_sent();
    f.take_sent();
    assert!(!f.has_sent(), "expected one open call at each of the two endpoints");
    f.answer(&first, 200, &[], "paid");
    assert_eq!(f.take_sent().address, first.address, "expected the next call at the free endpoint");
}
