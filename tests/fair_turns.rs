//! One client account sends many times its usual load while capacity is short.

use std::time::Duration;

use dotterelpin::gateway::admit::queue::{Queue, Rank, Waiting};
use dotterelpin::gateway::admit::turns::Share;
use dotterelpin::model::Timestamp;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const RANK: Rank = Rank { account: 1, priority: 1, late: false };
const TARGET: Duration = Duration::from_millis(900);
const ACCOUNTS: u64 = 10;
/// The calls of each account in ten seconds.
const USUAL: u64 = 40;
/// The interval of starts, which is a capacity of 50 calls a second for 40 that are usual.
const INTERVAL_MS: u64 = 20;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000_000 + millis * 1_000)
}

fn share(account: u64, weight: u32, tokens: u32) -> Share {
    Share { account: format!("account-{account}").into(), weight, tokens }
}

fn waiting(key: u64, millis: u64, share: Share) -> Waiting<u64> {
    let until = Queue::<u64>::wait_until(at(millis), RANK, TARGET, Duration::from_secs(14));
    Waiting { key, in_time: until, until, bound: false, share }
}

/// Replays a minute in which account 0 sends `factor` times its usual load; returns the share of
/// refused calls of the others. `known` is whether the accounts are known.
fn replay(seed: u64, factor: u64, known: bool) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut queue = Queue::default();
    let (mut sent, mut refused, mut key) = (0, 0, 0);
    for now in 0..60_000 {
        let expired: Vec<u64> = queue.remove_expired(at(now));
        refused += expired.into_iter().filter(|key| !key.is_multiple_of(ACCOUNTS)).count();
        for account in 0..ACCOUNTS {
            let rate = if account == 0 { USUAL * factor } else { USUAL };
            if rng.next_u64() % 10_000 >= rate {
                continue;
            }
            key += 1;
            let tokens = 1_000 + (rng.next_u64() % 4_000) as u32;
            let name = if known { account } else { 0 };
            let new = waiting(key * ACCOUNTS + account, now, share(name, 100_000, tokens));
            sent += usize::from(account != 0);
            if queue.is_worthwhile(at(now), RANK, &new) {
                queue.push(RANK, new);
            } else {
                refused += usize::from(account != 0);
            }
        }
        if now % INTERVAL_MS == 0
            && let Some(first) = queue.first()
        {
            let share = queue.remove(first).unwrap();
            queue.started(at(now), &share);
        }
    }
    refused as f64 / sent as f64
}

/// Fails if one account at twelve times its usual load raises the refusals of the others by more
/// than a twentieth.
#[test]
fn account_at_twelve_times_its_load_leaves_the_others_their_turns() {
    for seed in 0..4 {
        let [usual, unfair, fair] =
            [(1, true), (12, false), (12, true)].map(|(f, known)| replay(seed, f, known));
        println!("{seed}: usual {usual:.3} without turns {unfair:.3} with turns {fair:.3}");
        assert!(unfair > usual + 0.15, "the load is too small to tell: {unfair:.3}");
        assert!(fair <= usual + 0.05, "others refused: {fair:.3}, usually {usual:.3}");
    }
}

fn order(queue: &mut Queue<u64>, calls: usize) -> Vec<u64> {
    let next = |_| {
        let first = queue.first()?;
        let share = queue.remove(first)?;
        queue.started(at(10), &share);
        Some(first)
    };
    (0..calls).map_while(next).collect()
}

#[test]
fn accounts_take_turns_by_weight_and_one_account_keeps_the_order_of_arrival() {
    let mut queue = Queue::default();
    // A round of weight 32,000 is 1,000 tokens.
    for key in 1..=6 {
        queue.push(RANK, waiting(key, 0, share(1, 32_000, 1_000)));
    }
    for key in 11..=16 {
        queue.push(RANK, waiting(key, 0, share(2, 64_000, 1_000)));
    }
    assert_eq!(queue.ahead(RANK, &share(2, 64_000, 1_000)), 10, "4 of account 1, 6 of its own");
    assert_eq!(queue.ahead(RANK, &share(3, 64_000, 1_000)), 3, "the first round of both");
    let plan = queue.in_order();
    assert_eq!(order(&mut queue, 12), plan);
    assert_eq!(plan, [1, 11, 12, 2, 13, 14, 3, 15, 16, 4, 5, 6]);

    let mut queue = Queue::default();
    for key in 1..=4 {
        queue.push(RANK, waiting(key, 0, Share::default()));
    }
    queue.push_front(RANK, waiting(9, 0, Share::default()));
    assert_eq!(queue.in_order(), [9, 1, 2, 3, 4]);
    assert_eq!(queue.ahead(RANK, &Share::default()), 5);
}

/// Fails if a call that asks again and again for capacity uses up the turns of its account.
#[test]
fn call_that_is_queued_again_is_charged_once() {
    let mut queue = Queue::default();
    queue.push(RANK, waiting(1, 0, share(1, 32_000, 1_000)));
    queue.push(RANK, waiting(2, 0, share(2, 32_000, 1_000)));
    for _ in 0..10 {
        let taken = queue.remove(1).unwrap();
        queue.started(at(10), &taken);
        queue.requeue(RANK, waiting(1, 0, taken));
    }
    assert_eq!(queue.first(), Some(1));
}

/// Fails if an urgent call that asks often makes a gateway expect many starts, so that it queues
/// calls that will be refused.
#[test]
fn requests_of_an_urgent_call_do_not_count_as_starts() {
    let mut queue = Queue::default();
    let urgent = Rank { account: 0, priority: 0, late: false };
    for millis in 0..200 {
        let waiting = waiting(1, 0, Share::default());
        queue.started(at(10 * millis), &waiting.share);
        queue.requeue(urgent, waiting);
        queue.remove(1);
    }
    for key in 2..=5 {
        queue.push(RANK, waiting(key, 0, Share::default()));
    }
    assert_eq!(queue.estimate(at(2_000), RANK, &Share::default()), None);
}
