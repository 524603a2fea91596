//! Admission is bounded, fair to tenants, ordered by when calls must start at the latest, and
//! refuses a call as soon as it can't be in time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use assert_matches::assert_matches;
use dotterelpin::control::config::{Config as Settings, Setting};
use dotterelpin::entry::admit::{Admission, Decision, Limits, MAX_QUEUED, Queue, Ticket};
use dotterelpin::entry::place::Fleet;
use dotterelpin::model::{Call, CallId, CallKind, Class, Ran, RefusalReason, Timestamp};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// The maximum difference between the tokens served to two tenants: two quanta of the queue and one
/// call of the maximum size.
const MAX_TOKEN_GAP: u64 = 2 * 32_768 + 1_000;

fn runner() -> TestRunner {
    let cases = std::env::var("DOTTERELPIN_FUZZ_CASES").ok().and_then(|c| c.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(200), failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]))
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000 + millis * 1_000)
}

fn call(tenant: &str, class: Class, deadline: Timestamp) -> Call {
    let kind = CallKind::Model { prompt: "a prompt".into(), max_tokens: 100, stream: true };
    Call {
        tenant: tenant.into(),
        pool: "model".into(),
        class,
        deadline,
        key: None,
        repeatable: true,
        kind,
    }
}

fn ticket(id: u64, tenant: &str, class: Class, last: u64, tokens: u32) -> Ticket {
    let (due, last) = (at(last + 10), at(last));
    Ticket { id: CallId(id), call: call(tenant, class, due), due, last, tokens }
}

#[derive(Debug, Clone)]
enum Event {
    Push { tenant: u8, batch: bool, last: u64, tokens: u32 },
    Serve,
    Remove(usize),
    Expire,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        5 => (0..4u8, any::<bool>(), 0..20_000u64, 1..1_000u32)
            .prop_map(|(tenant, batch, last, tokens)| Event::Push { tenant, batch, last, tokens }),
        3 => Just(Event::Serve),
        1 => any::<usize>().prop_map(Event::Remove),
        1 => Just(Event::Expire),
    ]
}

/// Each call is removed once; the next call is the one of its tenant and class that must start
/// first; expired calls are removed; interactive calls precede batch calls that are not urgent.
#[test]
fn queue_matches_a_reference_list() {
    let run = |events: Vec<Event>| {
        let mut queue = Queue::default();
        let mut list: BTreeMap<u64, (String, Class, u64)> = BTreeMap::new();
        for (step, event) in events.into_iter().enumerate() {
            let (id, millis) = (step as u64, step as u64 * 20);
            match event {
                Event::Push { tenant, batch, last, tokens } => {
                    let class = if batch { Class::Batch } else { Class::Interactive };
                    let (tenant, last) = (format!("t{tenant}"), millis + last);
                    prop_assert!(queue.push(ticket(id, &tenant, class, last, tokens)).is_none());
                    list.insert(id, (tenant, class, last));
                }
                Event::Serve => {
                    let next = queue.peek(at(millis)).map(|t| t.id);
                    prop_assert_eq!(next.is_some(), !list.is_empty());
                    let Some(next) = next else { continue };
                    let (tenant, class, last) = list.remove(&next.0).unwrap();
                    let mut same = list.values().filter(|c| (&c.0, c.1) == (&tenant, class));
                    prop_assert!(
                        same.all(|c| c.2 >= last),
                        "call {next} precedes one that must start earlier"
                    );
                    let waits = list.values().any(|c| c.1 == Class::Interactive);
                    prop_assert!(class == Class::Interactive || !waits || last <= millis + 2_000);
                    prop_assert!(queue.serve(next).is_some());
                }
                Event::Remove(index) => {
                    let Some(id) = list.keys().nth(index % list.len().max(1)).copied() else {
                        continue;
                    };
                    list.remove(&id);
                    prop_assert!(queue.remove(CallId(id)).is_some());
                    prop_assert!(queue.remove(CallId(id)).is_none());
                }
                Event::Expire => {
                    let overdue: BTreeSet<u64> =
                        list.iter().filter(|(_, c)| c.2 <= millis).map(|(id, _)| *id).collect();
                    list.retain(|id, _| !overdue.contains(id));
                    let expired = std::iter::from_fn(|| queue.expire_one(at(millis)));
                    prop_assert_eq!(expired.map(|t| t.id.0).collect::<BTreeSet<_>>(), overdue);
                }
            }
            prop_assert_eq!(queue.len(), list.len());
            prop_assert_eq!(queue.next_wake(), list.values().map(|c| at(c.2)).min());
        }
        Ok(())
    };
    runner().run(&prop::collection::vec(event(), 1..200), run).unwrap();
}

/// While all tenants have waiting calls, they are served about the same number of tokens, however
/// many calls one of them sends.
#[test]
fn tenants_are_served_equal_tokens() {
    let sizes = prop::collection::vec((0..3usize, 1..1_000u32, 0..5_000u64), 900);
    let run = |sizes: Vec<(usize, u32, u64)>| {
        let mut queue = Queue::default();
        let mut left = [0; 3];
        for (id, (pick, tokens, last)) in sizes.into_iter().enumerate() {
            // The first tenant sends most of the calls, and the most urgent ones.
            let tenant = if id % 4 == 0 { pick } else { 0 };
            left[tenant] += 1;
            let last = if tenant == 0 { last } else { last + 60_000 };
            queue.push(ticket(id as u64, &format!("t{tenant}"), Class::Batch, last, tokens));
        }
        let mut served = [0u64; 3];
        while left.iter().all(|l| *l > 0) {
            let id = queue.peek(at(0)).unwrap().id;
            let ticket = queue.serve(id).unwrap();
            let tenant: usize = ticket.call.tenant[1..].parse().unwrap();
            served[tenant] += u64::from(ticket.tokens);
            left[tenant] -= 1;
            let gap = served.iter().max().unwrap() - served.iter().min().unwrap();
            prop_assert!(gap <= MAX_TOKEN_GAP, "tokens served to each tenant: {served:?}");
        }
        Ok(())
    };
    runner().run(&sizes, run).unwrap();
}

/// A full queue drops a batch call for an interactive one, and refuses other calls at once.
#[test]
fn queue_is_bounded() {
    let mut queue = Queue::default();
    for id in 0..MAX_QUEUED as u64 {
        assert!(queue.push(ticket(id, "t0", Class::Batch, 10_000 + id, 10)).is_none());
    }
    let refused = queue.push(ticket(90_000, "t1", Class::Batch, 90_000, 10)).unwrap();
    assert_eq!(refused.id, CallId(90_000));
    let dropped = queue.push(ticket(90_001, "t1", Class::Interactive, 500, 10)).unwrap();
    assert_eq!(dropped.call.class, Class::Batch);
    assert_eq!(queue.len(), MAX_QUEUED);
    assert_eq!(queue.peek(at(0)).unwrap().id, CallId(90_001));
}

/// A call that can't meet its target is refused as soon as that is known, as "not run".
#[test]
fn calls_that_cannot_be_in_time_are_refused_as_soon_as_that_is_known() {
    let (config, fleet) = (Settings::default(), Fleet::new(false));
    let mut admission = Admission::default();
    let too_late = call("t0", Class::Interactive, at(1));
    let decision = admission.offer(at(0), CallId(1), too_late, &config, &fleet);
    assert_matches!(decision, Some(Decision::Refuse(_, r)) if r.reason == RefusalReason::Deadline
        && r.ran == Ran::No && r.retry > Duration::ZERO);
    let target = config.default_value(Setting::FirstTokenTarget);
    let waits = call("t0", Class::Interactive, at(60_000));
    assert!(admission.offer(at(0), CallId(2), waits, &config, &fleet).is_none());
    let wake = admission.next_wake().unwrap();
    assert!(wake < at(target), "the call expires at {wake:?}, not before its target");
    let before = Timestamp::from_micros(wake.as_micros() - 1);
    assert!(admission.next(before, &fleet).is_none());
    let decision = admission.next(wake, &fleet);
    assert_matches!(decision, Some(Decision::Refuse(t, r)) if t.id == CallId(2)
        && r.reason == RefusalReason::Deadline && r.ran == Ran::No);
    assert!(admission.is_empty() && admission.next_wake().is_none());
    assert_eq!(admission.due(CallId(2)), None);
}

/// A tenant at its limit is refused until one of its calls ends; other tenants are not affected.
#[test]
fn open_calls_of_a_tenant_are_limited() {
    let mut config = Settings::default();
    config.defaults.insert(Setting::TenantCalls.as_str().into(), "2".into());
    let mut limits = Limits::default();
    let call = |tenant| call(tenant, Class::Interactive, at(1));
    assert!(limits.acquire(&call("t0"), &config).is_ok());
    assert!(limits.acquire(&call("t0"), &config).is_ok());
    assert_matches!(limits.acquire(&call("t0"), &config), Err(r) if r.reason == RefusalReason::Limit);
    assert!(limits.acquire(&call("t1"), &config).is_ok());
    limits.release("t0");
    assert!(limits.acquire(&call("t0"), &config).is_ok());
}
