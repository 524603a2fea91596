//! In a burst, refused callers return with less time left than usual. Their calls are late, and
//! calls in time are started before them.

mod gateway_fixture;

use std::time::Duration;

use dotterelpin::gateway::admit::queue::{Queue, Rank, Waiting};
use dotterelpin::gateway::admit::turns::Share;
use dotterelpin::gateway::lateness::UsualTimeout;
use dotterelpin::h1::{CallerId, HttpInput};
use dotterelpin::model::Timestamp;
use dotterelpin::role::Input;
use gateway_fixture::Fixture;

const CALLER_TIMEOUT: Duration = Duration::from_secs(14);
const TARGET: Duration = Duration::from_millis(900);

fn rank(late: bool) -> Rank {
    Rank { account: 1, priority: 1, late }
}

/// Sends a call and answers its reservation and prefill, so that its decode starts.
fn start_decode(f: &mut Fixture, caller: u64, tokens: &str, timeout: &str) {
    f.call(caller, "/draft/a", &[("Model", "m"), ("Tokens", tokens), ("Patience-Ms", timeout)]);
    f.answer_prefill();
}

#[test]
fn calls_near_the_usual_timeout_are_in_time_and_shorter_ones_late() {
    let mut usual = UsualTimeout::default();
    let now = Timestamp::from_micros(1_000_000);
    assert!(!usual.is_late(now, CALLER_TIMEOUT, TARGET));
    for millis in [13_900, 12_500, 11_300] {
        assert!(!usual.is_late(now, Duration::from_millis(millis), TARGET), "{millis}");
    }
    for millis in [11_100, 9_000, 2_000] {
        assert!(usual.is_late(now, Duration::from_millis(millis), TARGET), "{millis}");
    }
    // If the callers of a route use a shorter timeout than before, it becomes the usual one.
    let later = now + Duration::from_secs(31);
    assert!(usual.is_late(later, Duration::from_secs(9), TARGET));
    let later = later + Duration::from_secs(31);
    assert!(!usual.is_late(later, Duration::from_secs(9), TARGET));
}

#[test]
fn queue_starts_calls_in_time_first_and_lets_late_ones_wait_longer() {
    let now = Timestamp::from_micros(1_000_000);
    let mut queue = Queue::default();
    for (key, late) in [(1, true), (2, false), (3, true), (4, false)] {
        let until = Queue::<u32>::wait_until(now, rank(late), TARGET, Duration::from_secs(9));
        queue.push(
            rank(late),
            Waiting { key, in_time: until, until, bound: false, share: Share::default() },
        );
    }
    assert_eq!(queue.ahead(rank(false), &Share::default()), 2);
    assert_eq!(queue.ahead(rank(true), &Share::default()), 4);
    let order: Vec<u32> = std::iter::from_fn(|| {
        let key = queue.first()?;
        queue.remove(key);
        Some(key)
    })
    .collect();
    assert_eq!(order, [2, 4, 1, 3]);
    let until = |late, left| Queue::<u32>::wait_until(now, rank(late), TARGET, left) - now;
    assert_eq!(until(false, CALLER_TIMEOUT), TARGET * 60 / 100);
    assert!(until(true, CALLER_TIMEOUT) > TARGET);
    assert!(
        until(true, Duration::from_secs(3)) < Duration::from_secs(1),
        "expected less than a third of its 3 s"
    );
}

#[test]
fn late_call_leaves_capacity_for_one_in_time_and_starts_when_more_is_free() {
    let mut f = Fixture::ready();
    for caller in 1..=8 {
        start_decode(&mut f, caller, "6000,200", "14000");
    }
    // Each of the two decode endpoints has 4,700 tokens of KV cache left below its fill limit.
    f.call(9, "/draft/a", &[("Model", "m"), ("Tokens", "3000,100"), ("Patience-Ms", "9000")]);
    assert!(!f.has_sent(), "expected no request: a late call must leave more capacity free");
    start_decode(&mut f, 10, "3000,100", "14000");
    f.advance(200);
    assert!(!f.has_sent());
    f.step(Input::Local(HttpInput::CallerGone { caller: CallerId(1) }));
    let targets = [f.take_sent(), f.take_sent()].map(|s| s.head.target);
    assert_eq!(targets.each_ref().map(|t| &**t), ["/export/e1", "/hold"]);
    assert!(!f.answers.contains_key(&9), "expected no answer to the late call while it waits");
}
