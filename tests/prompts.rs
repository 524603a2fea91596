//! Prompts of many gateways at busy prefill endpoints: the leader assigns each by what the
//! endpoints are prefilling for all gateways.

mod gateway_fixture;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use dotterelpin::control::dispatch::Candidate;
use dotterelpin::control::dispatch::prompts::{PromptRequest, Prompts};
use dotterelpin::h1::{CallerId, HttpInput};
use dotterelpin::link::message::{ControlReply, ControlRequest, Envelope, Reply};
use dotterelpin::model::{ExchangeId, Timestamp};
use dotterelpin::role::Input;
use gateway_fixture::{Fixture, Sent};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ENDPOINTS: usize = 9;
/// Prompt tokens that an endpoint prefills in a millisecond.
const RATE: f64 = 33.0;

fn request(tokens: u32) -> PromptRequest {
    let candidate = |at| Candidate::new(&format!("f{at}"), true);
    PromptRequest { tokens, candidates: (0..ENDPOINTS).map(candidate).collect() }
}

/// Replays prompts at 70 % of the prefill capacity of the endpoints, each of which divides its rate
/// evenly among its prompts; returns the mean prefill time in milliseconds.
fn replay(
    mut choose: impl FnMut(Timestamp, &PromptRequest) -> usize,
    ended: impl Fn(usize, u32),
) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    let mut running: Vec<Vec<(u32, f64, u64)>> = vec![Vec::new(); ENDPOINTS];
    let (mut total, mut count, mut next) = (0.0, 0.0, 0.0);
    for milli in 0..20_000u64 {
        let now = Timestamp::from_micros((milli + 1) * 1_000);
        while next <= milli as f64 {
            let tokens = 500 + (rng.next_u64() % 5_000) as u32;
            let at = choose(now, &request(tokens));
            running[at].push((tokens, f64::from(tokens), milli));
            let unit = (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
            next += -(1.0 - unit).ln() * 3_000.0 / (RATE * ENDPOINTS as f64 * 0.7);
        }
        for (at, all) in running.iter_mut().enumerate() {
            let share = RATE / all.len().max(1) as f64;
            all.iter_mut().for_each(|(_, left, _)| *left -= share);
            all.iter().filter(|(_, left, _)| *left <= 0.0).for_each(|(tokens, _, since)| {
                ended(at, *tokens);
                total += (milli - since) as f64;
                count += 1.0;
            });
            all.retain(|(_, left, _)| *left > 0.0);
        }
    }
    total / count
}

#[test]
fn prompts_assigned_by_the_leader_are_prefilled_sooner_than_by_chance() {
    let mut rng = Pcg64Mcg::seed_from_u64(3);
    let chance = replay(|_, _| rng.next_u64() as usize % ENDPOINTS, |_, _| {});
    let prompts = std::cell::RefCell::new(Prompts::default());
    let choose = |now, request: &PromptRequest| {
        let name = prompts.borrow_mut().assign(now, request).unwrap();
        name[1..].parse().unwrap()
    };
    let assigned =
        replay(choose, |at, tokens| prompts.borrow_mut().ended(&format!("f{at}"), tokens));
    assert!(
        assigned < 0.6 * chance,
        "expected less than 60 % of {chance:.0} ms by chance, found {assigned:.0} ms"
    );
}

#[test]
fn prompt_without_a_reported_end_expires() {
    let mut prompts = Prompts::default();
    let now = Timestamp::from_micros(1_000_000);
    let mut counts: BTreeMap<Box<str>, u32> = BTreeMap::new();
    for _ in 0..ENDPOINTS {
        *counts.entry(prompts.assign(now, &request(3_000)).unwrap()).or_default() += 1;
    }
    assert_eq!(counts.len(), ENDPOINTS, "{counts:?}");
    let two = PromptRequest { candidates: request(1).candidates[..2].to_vec(), tokens: 9_000 };
    let busy = prompts.assign(now, &two).unwrap();
    let other = prompts.assign(now, &two).unwrap();
    assert_ne!(busy, other);
    prompts.ended(&other, 9_000);
    assert_eq!(prompts.assign(now, &two), Some(other));
    let later = now + Duration::from_secs(3);
    let assigned: Vec<_> = (0..2).filter_map(|_| prompts.assign(later, &two)).collect();
    assert_ne!(
        assigned[0], assigned[1],
        "expected both endpoints: the prompts of 3 s ago have expired"
    );
    assert_eq!(prompts.assign(now, &PromptRequest { tokens: 1, candidates: vec![] }), None);
}

/// Returns a gateway that knows a leader and has a granted reservation for its only call, and the
/// open exchange that requests a prefill endpoint from the leader.
fn request_prompt() -> (Fixture, ExchangeId) {
    let mut f = Fixture::ready();
    f.leader = Some(SocketAddr::from(([127, 0, 0, 1], 9_001)));
    f.advance(1_000);
    f.model_call(1, "/draft/a", "3000,100");
    let capacity = f.leader_requests.pop().unwrap().0;
    reply(&mut f, capacity, ControlReply::RoomAssigned { endpoint: Some("d1".into()), ahead: 0 });
    let hold = f.take_sent();
    f.answer(&hold, 200, &[], "hold h1");
    assert!(!f.has_sent(), "expected no prefill before the reply of the leader");
    let (exchange, request) = f.leader_requests.pop().unwrap();
    let prompt = assert_matches!(request, ControlRequest::AssignPrompt(prompt) => prompt);
    assert_eq!(prompt.tokens, 3_000);
    assert_eq!(prompt.candidates.len(), 2);
    (f, exchange)
}

fn reply(f: &mut Fixture, exchange: ExchangeId, reply: ControlReply) {
    let envelope = Envelope { revised: Default::default(), body: Reply::Control(reply) };
    f.step(Input::Reply { exchange, envelope });
}

fn prefill_at(f: &mut Fixture, name: Option<&str>) -> Sent {
    let sent = f.take_sent();
    assert_eq!(sent.field("Stage"), Some("prefill"));
    if name.is_some() {
        assert_eq!(sent.field("Endpoint"), name);
    }
    sent
}

#[test]
fn prompt_is_sent_where_the_leader_assigned_it_and_its_end_is_reported() {
    for endpoint in ["f1", "f2"] {
        let (mut f, exchange) = request_prompt();
        reply(
            &mut f,
            exchange,
            ControlReply::PromptAssigned { endpoint: Some(endpoint.into()), ahead: 0 },
        );
        let prefill = prefill_at(&mut f, Some(endpoint));
        assert!(f.leader_requests.is_empty());
        f.answer(&prefill, 200, &[], "export e1");
        let (_, ended) = f.leader_requests.pop().unwrap();
        assert_eq!(ended, ControlRequest::PromptEnded { endpoint: endpoint.into(), tokens: 3_000 });
        assert_eq!(f.take_sent().field("Hold"), Some("h1"));
    }
}

/// Hundreds of callers resume their streams at one moment: more prompts than the prefill endpoints
/// can take. An endpoint with a full queue refuses, and each refusal costs a part of the retry budget.
#[test]
fn prompts_beyond_what_the_endpoints_prefill_in_time_are_not_assigned() {
    let mut prompts = Prompts::default();
    let now = Timestamp::from_micros(1_000_000);
    let mut backlogs: BTreeMap<Box<str>, u32> = BTreeMap::new();
    let assigned = (0..500).filter_map(|_| prompts.assign(now, &request(4_000)));
    assigned.for_each(|endpoint| *backlogs.entry(endpoint).or_default() += 4_000);
    assert_eq!(backlogs.len(), ENDPOINTS);
    let longest = f64::from(*backlogs.values().max().unwrap()) / RATE;
    assert!(longest <= 900.0, "expected at most 900 ms of prompts, found {longest:.0} ms");
    prompts.ended("f3", 4_000);
    assert_eq!(prompts.assign(now, &request(4_000)).as_deref(), Some("f3"));
    assert_eq!(prompts.assign(now, &request(4_000)), None);
}

#[test]
fn call_runs_whole_where_it_has_a_reservation_if_all_prefill_endpoints_are_busy() {
    let (mut f, exchange) = request_prompt();
    reply(&mut f, exchange, ControlReply::PromptAssigned { endpoint: None, ahead: 0 });
    let run = f.take_sent();
    assert_eq!((run.field("Stage"), run.field("Hold")), (None, Some("h1")));
    f.head(&run, 200, &[]);
    f.data(&run, b"id: 1\ndata: a\n\n");
    f.end(&run);
    assert!(f.answers[&1].complete && f.leader_requests.len() == 1, "one end of the run");
}

#[test]
fn gateway_chooses_by_itself_when_the_leader_assigns_no_usable_endpoint() {
    let (mut f, _) = request_prompt();
    f.advance(30);
    prefill_at(&mut f, None);
    // After a timeout, the leader gets no further requests for a while.
    f.model_call(2, "/draft/a", "3000,100");
    let hold = f.take_sent();
    f.answer(&hold, 200, &[], "hold h2");
    prefill_at(&mut f, None);

    let (mut f, exchange) = request_prompt();
    reply(&mut f, exchange, ControlReply::NotLeader { leader: None });
    prefill_at(&mut f, None);

    let (mut f, exchange) = request_prompt();
    f.step(Input::Closed { exchange, failure: None });
    prefill_at(&mut f, None);

    let (mut f, exchange) = request_prompt();
    reply(
        &mut f,
        exchange,
        ControlReply::PromptAssigned { endpoint: Some("gone".into()), ahead: 0 },
    );
    prefill_at(&mut f, None);
}

#[test]
fn caller_disconnect_during_the_leader_request_drops_the_reservation() {
    let (mut f, exchange) = request_prompt();
    f.step(Input::Local(HttpInput::CallerGone { caller: CallerId(1) }));
    assert_eq!(&*f.take_sent().head.target, "/hold/h1");
    reply(&mut f, exchange, ControlReply::PromptAssigned { endpoint: Some("f1".into()), ahead: 0 });
    f.advance(2_000);
    assert!(!f.has_sent());
    assert!(!f.answers.contains_key(&1));
}
