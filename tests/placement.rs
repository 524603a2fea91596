//! Placement counts the load in flight, skips at most half of a pool as ejected, and retries within
//! a budget.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use dotterelpin::control::config::Revised;
use dotterelpin::entry::health::Verdict;
use dotterelpin::entry::place::{Fleet, InFlight, Need, Placement, Software, Variant};
use dotterelpin::entry::retry::{INITIAL_SAVED, MAX_SAVED, RetryBudgets};
use dotterelpin::link::message::{AgentReply, AgentRequest, Envelope, Export, Reply, Request};
use dotterelpin::model::{
    BootId, CallId, Capacity, Class, EndpointKind, EndpointState, ExchangeId, Fence, Load, Ran,
    Refusal, RefusalReason, RequestId, Timestamp,
};
use dotterelpin::role::{LinkFailure, Output};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// The number of endpoints of each kind.
const PER_KIND: usize = 6;
const DOMAINS: [&str; 3] = ["brno-a", "brno-b", "zlin-c"];

fn runner() -> TestRunner {
    let cases = std::env::var("DOTTERELPIN_FUZZ_CASES").ok().and_then(|c| c.parse().ok());
    let config =
        Config { cases: cases.unwrap_or(400), failure_persistence: None, ..Config::default() };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]))
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000 + millis * 1_000)
}

fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port as u16))
}

fn endpoint(index: usize, boot: u64) -> EndpointState {
    EndpointState {
        name: format!("e{index}").into(),
        address: address(index),
        domain: DOMAINS[index % 3].into(),
        boot: BootId(boot),
        kind: if index < PER_KIND { EndpointKind::Prefill } else { EndpointKind::Decode },
        pool: "model".into(),
        url: format!("http://e{index}").into(),
        capacity: Capacity { slots: 20, pieces: 80, piece_tokens: 2_000 },
        load: Load::default(),
        draining: false,
        sequence: 0,
        fence: Fence(0),
        software: "".into(),
    }
}

fn announced(up: impl Fn(usize) -> bool, boot: u64) -> BTreeMap<Box<str>, EndpointState> {
    let all = (0..2 * PER_KIND).filter(|i| up(*i)).map(|i| endpoint(i, boot));
    all.map(|e| (e.name.clone(), e)).collect()
}

fn need(kind: EndpointKind) -> Need<'static> {
    let (avoid, prefix, software) = (None, None, Software::Any);
    Need { kind, pool: "model", tried: &[], tokens: 1_000, avoid, prefix, software }
}

fn envelope<T>(body: T) -> Envelope<T> {
    Envelope { revised: Revised::default(), body }
}

fn open(exchange: u64, call: u64, target: usize) -> Output<()> {
    let request = RequestId { owner: BootId(1), call: CallId(call), attempt: 1 };
    let class = Class::Interactive;
    let body = if target < PER_KIND {
        AgentRequest::Prefill {
            request,
            class,
            software: "".into(),
            prompt: "p".into(),
            prefix: vec![],
            within: None,
        }
    } else {
        AgentRequest::Reserve {
            request,
            class,
            software: "".into(),
            tokens: 900,
            lease: Duration::from_secs(1),
        }
    };
    let (peer, exchange) = (address(target), ExchangeId(exchange));
    Output::Open { exchange, peer, envelope: envelope(Request::Agent(body)) }
}

/// An event of an exchange, or a change of the set of endpoints.
#[derive(Debug, Clone)]
enum Event {
    Open { call: u64, target: usize },
    Import(usize),
    Reset(usize),
    Close(usize, bool),
    Reply(usize, usize),
    RemoveDomain(usize),
    RestoreAll,
}

fn event() -> impl Strategy<Value = Event> {
    let pick = any::<usize>();
    prop_oneof![
        4 => (0..12u64, 0..2 * PER_KIND).prop_map(|(call, target)| Event::Open { call, target }),
        2 => pick.prop_map(Event::Import),
        2 => pick.prop_map(Event::Reset),
        2 => (pick, any::<bool>()).prop_map(|(e, failed)| Event::Close(e, failed)),
        4 => (pick, 0..5usize).prop_map(|(e, kind)| Event::Reply(e, kind)),
        1 => (0..3usize).prop_map(Event::RemoveDomain),
        1 => Just(Event::RestoreAll),
    ]
}

fn reply(kind: usize) -> Reply {
    let export = Export { url: "u".into(), name: "n".into(), tokens: 1 };
    let refusal = Refusal {
        reason: RefusalReason::EndpointFailed,
        ran: Ran::No,
        retry: Duration::ZERO,
        detail: "d".into(),
    };
    Reply::Agent(match kind {
        0 => AgentReply::Exported(export),
        1 => AgentReply::Refused(refusal),
        2 => AgentReply::End { offset: 1, finish: "stop".into() },
        3 => AgentReply::Load(Load { slots: 9, pieces: 9, prompt_tokens: 9, prefill_rate: 9 }),
        _ => AgentReply::Part { offset: 0, tokens: vec!["t".into()] },
    })
}

/// Messages may be lost, repeated or delayed, and endpoints may be removed and restored: once every
/// exchange is closed, no load is counted any more.
#[test]
fn counts_return_to_zero_when_exchanges_close() {
    let steps = prop::collection::vec(event(), 1..60);
    let run = |events: Vec<Event>| {
        let mut fleet = Fleet::new(true);
        fleet.update(&announced(|_| true, 1));
        let mut boot = 1;
        let mut opened = 0;
        let pick = |opened: u64, e: usize| ExchangeId(e as u64 % opened.max(1) + 1);
        for (step, event) in events.into_iter().enumerate() {
            let now = at(step as u64 * 10);
            match event {
                Event::Open { call, target } => {
                    opened += 1;
                    fleet.record_output(now, &open(opened, call, target));
                }
                Event::Import(e) => {
                    let export = Export { url: "u".into(), name: "n".into(), tokens: 1 };
                    let body = AgentRequest::Decode { export, from: 0, until: 9, within: None };
                    let envelope = envelope(Request::Agent(body));
                    fleet.record_output(
                        now,
                        &Output::<()>::Send { exchange: pick(opened, e), envelope },
                    );
                }
                Event::Reset(e) => {
                    fleet.record_output(now, &Output::<()>::Reset { exchange: pick(opened, e) });
                }
                Event::Close(e, failed) => {
                    let failure = failed.then_some(LinkFailure::Broken);
                    fleet.record_close(now, pick(opened, e), failure);
                }
                Event::Reply(e, kind) => fleet.record_reply(now, pick(opened, e), &reply(kind)),
                Event::RemoveDomain(domain) => fleet.update(&announced(|i| i % 3 != domain, boot)),
                Event::RestoreAll => {
                    boot += 1;
                    fleet.update(&announced(|_| true, boot));
                }
            }
        }
        let end = at(100_000);
        for exchange in 1..=opened {
            fleet.record_close(end, ExchangeId(exchange), None);
        }
        prop_assert_eq!(fleet.starting("model"), 0);
        for kind in [EndpointKind::Prefill, EndpointKind::Decode] {
            for key in fleet.keys(kind, "model") {
                let endpoint = fleet.get(*key).unwrap();
                prop_assert_eq!((endpoint.own, endpoint.transfers), (Load::default(), 0));
                prop_assert_eq!(endpoint.load(end).slots, 0);
            }
        }
        Ok(())
    };
    runner().run(&steps, run).unwrap();
}

/// An ejected endpoint gets no work while at most half of the pool is ejected; above that, all
/// endpoints are used again.
#[test]
fn ejection_never_empties_a_pool() {
    let silent = prop::collection::vec(any::<bool>(), PER_KIND);
    let run = |silent: Vec<bool>| {
        let mut fleet = Fleet::new(true);
        fleet.update(&announced(|_| true, 1));
        for (index, _) in silent.iter().enumerate().filter(|(_, b)| **b) {
            fleet.record_output(at(0), &open(index as u64, 1, index));
            // A reset after one second without a reply counts as silence.
            fleet.record_output(
                at(1_000),
                &Output::<()>::Reset { exchange: ExchangeId(index as u64) },
            );
        }
        let mut placement = InFlight::new(Variant::Health, 1);
        let chosen = placement.choose(at(1_001), &need(EndpointKind::Prefill), &fleet);
        prop_assert!(chosen.is_some());
        let endpoint = fleet.get(chosen.unwrap()).unwrap();
        let ejected = silent.iter().filter(|b| **b).count();
        if ejected * 2 <= PER_KIND {
            prop_assert!(
                endpoint.health.is_available(at(1_001)),
                "{} was chosen although it is ejected",
                endpoint.state.name
            );
        }
        Ok(())
    };
    runner().run(&silent, run).unwrap();
}

/// After an ejection, one probe is sent, and no other work until its result is known.
#[test]
fn ejected_endpoint_gets_one_probe_at_a_time() {
    let mut health = dotterelpin::entry::health::Health::default();
    health.judge(at(0), Verdict::Silent);
    assert!(!health.is_available(at(100)));
    assert!(health.is_available(at(500)));
    health.began(at(500));
    assert!(!health.is_available(at(600)));
    health.judge(at(700), Verdict::Failed);
    assert!(!health.is_available(at(1_600)), "a failed probe ejects for longer");
    assert!(health.is_available(at(1_700)));
}

/// A call that failed in one failure domain prefers endpoints in another one, even if they are
/// busier.
#[test]
fn failed_call_prefers_another_failure_domain() {
    let mut fleet = Fleet::new(true);
    fleet.update(&announced(|_| true, 1));
    fleet.record_output(at(0), &open(1, 5, PER_KIND));
    fleet.record_close(at(1), ExchangeId(1), Some(LinkFailure::Broken));
    assert_eq!(fleet.failed_domain(CallId(5)), Some(DOMAINS[0]));
    // The endpoints in the other failure domains are made busier.
    for (exchange, target) in (2..).zip((PER_KIND..2 * PER_KIND).filter(|i| i % 3 != 0)) {
        fleet.record_output(at(1), &open(exchange, exchange, target));
    }
    let need = Need { avoid: fleet.failed_domain(CallId(5)), ..need(EndpointKind::Decode) };
    let chosen = InFlight::new(Variant::Health, 1).choose(at(2), &need, &fleet).unwrap();
    assert_ne!(&*fleet.get(chosen).unwrap().state.domain, DOMAINS[0]);
    fleet.finished(CallId(5));
    assert_eq!(fleet.failed_domain(CallId(5)), None);
}

/// Announces one endpoint of each kind at version v2 among many at v1.
fn two_versions(count: usize) -> BTreeMap<Box<str>, EndpointState> {
    let state = |index: usize| {
        let last = index == count - 1 || index == 2 * count - 1;
        EndpointState {
            name: format!("e{index}").into(),
            kind: if index < count { EndpointKind::Prefill } else { EndpointKind::Decode },
            software: if last { "v2" } else { "v1" }.into(),
            ..endpoint(index, 1)
        }
    };
    (0..2 * count).map(state).map(|e| (e.name.clone(), e)).collect()
}

/// A version of which one endpoint of many is left is found, also in a pool that is sampled.
#[test]
fn placement_finds_the_endpoint_of_a_version() {
    for (variant, count) in Variant::ALL.into_iter().flat_map(|v| [(v, 4), (v, 200)]) {
        let mut fleet = Fleet::new(true);
        fleet.update(&two_versions(count));
        let mut placement = variant.placement(1);
        for kind in [EndpointKind::Prefill, EndpointKind::Decode] {
            let need = Need { software: Software::Only("v2"), ..need(kind) };
            let chosen = placement.choose(at(0), &need, &fleet);
            let software = chosen.and_then(|k| fleet.get(k)).map(|e| &*e.state.software);
            assert_eq!(software, Some("v2"), "{variant} of {count}");
            let need = Need { software: Software::Only("v3"), ..need };
            assert_eq!(placement.choose(at(0), &need, &fleet), None, "{variant} of {count}");
        }
    }
}

/// Decode endpoints of versions that cannot prefill are passed over, unless none can.
#[test]
fn placement_takes_versions_with_both_kinds() {
    for variant in Variant::ALL {
        let mut endpoints = two_versions(4);
        let need = need(EndpointKind::Decode);
        let need = Need { software: Software::With(EndpointKind::Prefill), ..need };
        let choose = |endpoints: &BTreeMap<_, _>| {
            let mut fleet = Fleet::new(true);
            fleet.update(endpoints);
            let chosen = variant.placement(1).choose(at(0), &need, &fleet);
            chosen.and_then(|k| fleet.get(k)).map(|e| e.state.software.clone())
        };
        // The prefill endpoints of v1 drain.
        for name in ["e0", "e1", "e2"] {
            endpoints.get_mut(name).unwrap().draining = true;
        }
        assert_eq!(choose(&endpoints), Some("v2".into()), "{variant}");
        endpoints.get_mut("e3").unwrap().draining = true;
        assert!(choose(&endpoints).is_some(), "{variant}");
    }
}

/// Without versions, the limits change no choice.
#[test]
fn placement_is_the_same_with_one_version() {
    for (variant, count) in Variant::ALL.into_iter().flat_map(|v| [(v, 4), (v, 200)]) {
        let mut endpoints = two_versions(count);
        endpoints.values_mut().for_each(|e| e.software = "".into());
        let mut fleet = Fleet::new(true);
        fleet.update(&endpoints);
        let limits = [Software::Any, Software::With(EndpointKind::Prefill), Software::Only("")];
        let choices = limits.map(|software| {
            let mut placement = variant.placement(1);
            let need = Need { software, ..need(EndpointKind::Decode) };
            (0..20).map(|_| placement.choose(at(0), &need, &fleet)).collect::<Vec<_>>()
        });
        assert_eq!(choices[0], choices[1], "{variant} of {count}");
        assert_eq!(choices[0], choices[2], "{variant} of {count}");
    }
}

/// Retries stay within the initial budget plus a percentage of calls, in whatever order calls and
/// retries come.
#[test]
fn retries_stay_within_their_budget() {
    let steps = prop::collection::vec((any::<bool>(), 0..=100u64), 0..2_000);
    let run = |steps: Vec<(bool, u64)>| {
        let mut budgets = RetryBudgets::new(1);
        let (mut earned, mut retries, mut consecutive) = (0, 0, 0);
        for (call, percent) in steps {
            if call {
                budgets.earn(Class::Batch, percent);
                earned += percent;
                consecutive = 0;
            } else {
                let granted = u64::from(budgets.spend(Class::Batch));
                retries += granted;
                consecutive += granted;
            }
            prop_assert!(retries <= INITIAL_SAVED + earned / 100);
            prop_assert!(consecutive <= MAX_SAVED.max(INITIAL_SAVED));
        }
        for attempt in 1..20 {
            let wait = budgets.backoff(attempt);
            prop_assert!(wait > Duration::ZERO && wait <= Duration::from_millis(750));
        }
        Ok(())
    };
    runner().run(&steps, run).unwrap();
}
