//! Calls to models across failure domains: prompts, KV cache and runs go to one domain as a pair, and
//! operators see what crosses.

mod gateway_fixture;
mod recorded_lines;

use dotterelpin::control::dispatch::Candidate;
use dotterelpin::control::dispatch::pairs::Pairs;
use dotterelpin::control::dispatch::prompts::{PromptRequest, Prompts};
use dotterelpin::control::dispatch::rooms::{RoomRequest, Rooms, RunId};
use dotterelpin::control::dispatch::speeds::Speeds;
use dotterelpin::control::dispatch::waiting::WaitingCall;
use dotterelpin::gateway::place::speed::{SpeedSample, WorkRate};
use dotterelpin::model::{BootId, EndpointKind, EndpointState, Timestamp};
use dotterelpin::report::observation::Observation;
use gateway_fixture::{Fixture, MODEL, endpoint};

fn now() -> Timestamp {
    Timestamp::from_micros(100_000_000)
}

/// Returns two prefill and two decode endpoints in each of the domains `a` and `b`.
fn endpoints() -> Vec<EndpointState> {
    let of = |name: &str, kind, domain: &str| {
        let domain = domain.into();
        EndpointState { domain, ..endpoint(name, kind, MODEL) }
    };
    ["a", "b"]
        .iter()
        .flat_map(|domain| {
            [1, 2].into_iter().flat_map(move |n| {
                let (f, d) = (format!("f{domain}{n}"), format!("d{domain}{n}"));
                [of(&f, EndpointKind::Prefill, domain), of(&d, EndpointKind::Decode, domain)]
            })
        })
        .collect()
}

fn candidates(stage: &str) -> Vec<Candidate> {
    let name = |n: &str| Candidate::new(&format!("{stage}{n}"), n.starts_with('a'));
    ["a1", "a2", "b1", "b2"].iter().map(|n| name(n)).collect()
}

/// Returns where a run is assigned while the prefill endpoints of domain `a` have so many tokens.
fn assigned(backlog: u32, learned: bool) -> Box<str> {
    let (mut prompts, mut speeds) = (Prompts::default(), Speeds::default());
    let mut pairs = Pairs::default();
    for _ in 0..2 {
        let mut named = candidates("f");
        let sample = SpeedSample { rate: WorkRate(33_000), age: 1 };
        named.iter_mut().for_each(|c| c.speed = learned.then_some(sample));
        speeds.merge(now(), &mut named);
    }
    for name in ["fa1", "fa2"] {
        let only = vec![Candidate::new(name, true)];
        prompts.assign(now(), &PromptRequest { tokens: backlog, candidates: only });
    }
    pairs.refresh(now(), endpoints);
    let mut candidates = candidates("d");
    pairs.set_waits(now(), &mut candidates, &prompts, &speeds);
    let (tokens, memory, slots) = (3_000, 30_000, 12);
    let (run, owner) = (RunId(1), BootId(1));
    let call = WaitingCall::default();
    let request = RoomRequest { run, owner, tokens, spare: 0, memory, slots, candidates, call };
    Rooms::default().assign(now(), &request).unwrap()
}

/// A run beside idle decode endpoints, whose prompt then waits or is prefilled in another domain, from
/// which its KV cache has to be transferred.
#[test]
fn run_goes_where_its_prompt_is_prefilled_soon() {
    assert_eq!(&*assigned(1_000, true), "da1", "expected no crossing for 30 ms");
    assert_eq!(&*assigned(12_000, true), "db1", "expected the domain with idle prefill endpoints");
    assert_eq!(&*assigned(12_000, false), "da1", "expected today's choice without speeds");
}

/// A price that operators set must reach the leader, which decides.
#[test]
fn named_crossing_replaces_the_fixed_penalty() {
    let assign = |crossing, backlog| {
        let mut prompts = Prompts::default();
        let near = Candidate::new("near", true);
        let far = Candidate { crossing, ..Candidate::new("far", false) };
        let busy = PromptRequest { tokens: backlog, candidates: vec![near.clone()] };
        prompts.assign(now(), &busy);
        let request = PromptRequest { tokens: 1_000, candidates: vec![near, far] };
        prompts.assign(now(), &request).unwrap()
    };
    assert_eq!(&*assign(None, 3_000), "far", "expected 3,000 tokens to outweigh 2,000");
    assert_eq!(&*assign(Some(200_000), 3_000), "near", "expected 200 ms to outweigh 91 ms");
    assert_eq!(&*assign(Some(5_000), 500), "far", "expected 15 ms to outweigh 5 ms");
}

/// Operators compare these counts with the traffic between domains.
#[test]
fn sends_are_counted_by_failure_domain() {
    let mut f = Fixture::ready();
    let other = endpoint("p3", EndpointKind::Service, gateway_fixture::PLAIN);
    f.announce(EndpointState { domain: "b".into(), ..other });
    f.advance(1_000);
    f.observed.clear();
    for caller in 0..9 {
        f.call(caller, "/look/a", &[("Patience-Ms", "600")]);
    }
    let count = |own: bool| {
        let crossing =
            |o: &&Observation| matches!(o, Observation::Crossing { local, .. } if *local == own);
        f.observed.iter().filter(crossing).count()
    };
    assert_eq!((count(true), count(false)), (7, 2), "expected one call less outside");
}

/// Without the line, nobody sees why an endpoint gets less work than others. It must not flood the log.
#[test]
fn slow_endpoints_are_logged_once_in_ten_seconds() {
    recorded_lines::record();
    let mut f = Fixture::ready();
    for n in 0..1_500u64 {
        f.call(n, "/look/a", &[("Patience-Ms", "600")]);
        let sent = f.take_sent();
        let slow = sent.field("Endpoint") == Some("p1");
        f.advance(if slow { 60 } else { 20 });
        f.answer(&sent, 200, &[], "found");
    }
    let lines = recorded_lines::lines("slow");
    assert!((2..=5).contains(&lines.len()), "expected a line in 10 s: {lines:?}");
    for line in lines {
        assert_eq!(recorded_lines::value(&line, "endpoint"), "p1");
        assert!(recorded_lines::number(&line, "percent") <= 41, "{line}");
    }
}
