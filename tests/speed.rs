//! Endpoints of unequal speed: a quarter of the engines runs at 0.55 of the usual speed and the others
//! at 1.2, and in periods of 0.6 s 15 % of them are 2.5 times slower. Equal loads take unequal times
//! there, so placement by load alone lets work wait at the slow ones.

mod gateway_fixture;

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use dotterelpin::control::dispatch::Candidate;
use dotterelpin::control::dispatch::prompts::{PromptRequest, Prompts};
use dotterelpin::control::dispatch::rooms::{RoomRequest, Rooms, RunId};
use dotterelpin::control::dispatch::speeds::Speeds;
use dotterelpin::control::dispatch::waiting::WaitingCall;
use dotterelpin::gateway::place::locality::DomainTerms;
use dotterelpin::gateway::place::speed::{Speed, SpeedSample, WorkRate, percents};
use dotterelpin::gateway::place::{DecodeLoad, PrefillLoad, place_decode, place_prefill};
use dotterelpin::link::message::{ControlReply, ControlRequest, Envelope, Reply};
use dotterelpin::model::{BootId, ExchangeId, Timestamp};
use dotterelpin::role::Input;
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
            place_prefill(prefills.iter().copied(), DomainTerms::default(), tokens, 12_000, draw),
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
        let placed =
            place_decode(decodes.iter().copied(), DomainTerms::default(), 100, draw).unwrap();
        let other = (0..50).map(|d| {
            place_decode(decodes.iter().copied(), DomainTerms::default(), 100, d).unwrap()
        });
        let best = decodes.iter().min_by_key(|l| (load(l), l.key)).unwrap().key;
        assert!(other.into_iter().any(|key| key == best), "{decodes:?}, {placed}");
    }
    assert_eq!(percents(&[None, None]), [100, 100]);
}

/// An endpoint that nobody knows must neither be flooded nor starve, also at low load.
#[test]
fn endpoint_without_an_estimate_gets_its_equal_part() {
    let load = |key, backlog, rate: Option<u32>| PrefillLoad {
        key,
        local: true,
        slots_used: 0,
        slots: 12,
        backlog,
        rate: rate.map(WorkRate),
    };
    let usual = Some(30_000);
    let count = |backlog| {
        let loads = [
            load(1, backlog, usual),
            load(2, 0, usual),
            load(3, 0, None),
            load(4, 0, Some(14_000)),
        ];
        let place = |draw| {
            place_prefill(loads.into_iter(), DomainTerms::default(), 3_000, 12_000, draw).unwrap()
        };
        let mut counts = [0; 4];
        (0..60).for_each(|draw| counts[place(draw) - 1] += 1);
        counts
    };
    assert_eq!(count(0), [20, 20, 20, 0], "expected an equal part of idle endpoints");
    assert_eq!(count(3_000), [0, 30, 30, 0], "expected the unknown one before a busy or slow one");
}

/// One wrong gateway, by four times either way, must not decide for all.
#[test]
fn wrong_samples_of_one_gateway_of_four_change_no_estimate() {
    for factor in [(1, 4), (4, 1)] {
        let mut speeds = Speeds::default();
        for n in 0..400u64 {
            let rate = if n % 4 == 1 { 30_000 * factor.0 / factor.1 } else { 30_000 };
            let speed = Some(SpeedSample { rate: WorkRate(rate), age: 10 });
            let mut named = vec![Candidate { speed, ..Candidate::new("f1", true) }];
            speeds.merge(at(n * 40), &mut named);
            let known = named[0].speed.map(|s| s.rate.0);
            assert!(n < 3 || known == Some(30_000), "sample {n}: {known:?}");
        }
    }
}

/// The leader must stay small however many names gateways send, and forget what nobody repeats.
#[test]
fn speeds_at_the_leader_are_bounded_and_expire() {
    let mut speeds = Speeds::default();
    let speed = Some(SpeedSample { rate: WorkRate(30_000), age: 10 });
    let named = |n: u64, speed| vec![Candidate { speed, ..Candidate::new(&format!("f{n}"), true) }];
    for n in 0..5_000 {
        (0..2).for_each(|_| speeds.merge(at(0), &mut named(n, speed)));
    }
    let known = |speeds: &mut Speeds, n, millis| {
        let mut named = named(n, None);
        speeds.merge(at(millis), &mut named);
        named[0].speed.is_some()
    };
    let count = (0..5_000).filter(|n| known(&mut speeds, *n, 10)).count();
    assert_eq!(count, 4_096);
    assert!(!known(&mut speeds, 1, 40_000));
}

const ENGINES: usize = 20;
const GATEWAYS: usize = 31;
/// Prompt tokens that an engine of the usual speed prefills in a millisecond.
const RATE: f64 = 33.0;

/// The speeds of engines as described on top of this file.
struct Engines {
    rng: Pcg64Mcg,
    slow_until: Vec<u64>,
}

impl Engines {
    fn new() -> Engines {
        Engines { rng: Pcg64Mcg::seed_from_u64(11), slow_until: vec![0; ENGINES] }
    }

    /// Begins slow periods so that 15 % of the engines are in one on average.
    fn speeds(&mut self, milli: u64) -> Vec<f64> {
        let Engines { rng, slow_until } = self;
        let speed = |(n, until): (usize, &mut u64)| {
            if *until <= milli && rng.next_u64() % 3_400 == 0 {
                *until = milli + 600;
            }
            let base = if n % 4 == 0 { 0.55 } else { 1.2 };
            if *until > milli { base / 2.5 } else { base }
        };
        slow_until.iter_mut().enumerate().map(speed).collect()
    }
}

struct Prefill {
    gateway: usize,
    tokens: u32,
    ahead: u32,
    left: f64,
    since: u64,
}

/// Replays prompts of 31 gateways at a share of the capacity of unequal engines, each of which
/// divides its rate evenly among its prompts; returns the mean and the 99th percentile of the prefill
/// times in milliseconds.
fn replay(learns: bool, load: f64) -> (f64, f64) {
    let mut rng = Pcg64Mcg::seed_from_u64(9);
    let mut engines = Engines::new();
    let (mut prompts, mut speeds) = (Prompts::default(), Speeds::default());
    let mut gateways: Vec<Vec<Speed>> = vec![vec![Speed::default(); ENGINES]; GATEWAYS];
    let mut running: Vec<Vec<Prefill>> = (0..ENGINES).map(|_| Vec::new()).collect();
    let (mut times, mut next) = (Vec::new(), 0.0);
    let capacity = RATE * ENGINES as f64 * (0.25 * 0.55 + 0.75 * 1.2) * 0.91;
    for milli in 0..20_000u64 {
        let now = at(milli);
        while next <= milli as f64 {
            let tokens = 500 + (rng.next_u64() % 5_000) as u32;
            let gateway = rng.next_u64() as usize % GATEWAYS;
            let candidate = |n: usize| Candidate {
                speed: gateways[gateway][n].take_news(now).filter(|_| learns),
                ..Candidate::new(&format!("f{n}"), true)
            };
            let mut request =
                PromptRequest { tokens, candidates: (0..ENGINES).map(candidate).collect() };
            speeds.merge(now, &mut request.candidates);
            let unit = (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
            next += -(1.0 - unit).ln() * 3_000.0 / (capacity * load);
            let Some(name) = prompts.assign(now, &request) else {
                times.push(1_000.0);
                continue;
            };
            let ahead = prompts.ahead(&name, tokens);
            let left = f64::from(tokens);
            let at: usize = name[1..].parse().unwrap();
            running[at].push(Prefill { gateway, tokens, ahead, left, since: milli });
        }
        for (n, (all, speed)) in running.iter_mut().zip(engines.speeds(milli)).enumerate() {
            let share = RATE * speed / all.len().max(1) as f64;
            all.iter_mut().for_each(|p| p.left -= share);
            for p in all.iter().filter(|p| p.left <= 0.0) {
                prompts.ended(&format!("f{n}"), p.tokens);
                times.push((milli - p.since) as f64);
                let took = Duration::from_millis((milli - p.since).max(1));
                if let Some(rate) = WorkRate::of(u64::from(p.tokens + p.ahead), took) {
                    gateways[p.gateway][n].record(now, rate);
                }
            }
            all.retain(|p| p.left > 0.0);
        }
    }
    times.sort_by(f64::total_cmp);
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    (mean, times[times.len() * 99 / 100])
}

/// Prompts wait at slow engines while quick ones are idle. Beyond 0.8 of the capacity no engine is
/// idle, and the backlogs alone show which ones are slow: the mean stays about as it was there, but
/// the longest prefills become shorter.
#[test]
fn prompts_are_prefilled_sooner_at_engines_of_learned_unequal_speed() {
    for (load, bound) in [(0.4, 0.85), (0.7, 1.0), (0.85, 1.1)] {
        let (unlearned, learned) = (replay(false, load), replay(true, load));
        println!("load {load}: unlearned {unlearned:.0?}, learned {learned:.0?} ms");
        assert!(
            learned.0 < bound * unlearned.0 && learned.1 < unlearned.1,
            "load {load}: expected less than {unlearned:?} times {bound}, found {learned:?}"
        );
    }
}

/// Runs at decode endpoints: the step time under load decides, so slow endpoints get fewer runs.
#[test]
fn runs_are_assigned_by_the_expected_step_time() {
    let rates = [550, 1_200, 1_200, 1_200];
    let candidates = |known: bool| {
        let candidate = |(n, rate): (usize, &u32)| {
            let speed = known.then_some(SpeedSample { rate: WorkRate(*rate), age: 1 });
            Candidate { speed, ..Candidate::new(&format!("d{n}"), true) }
        };
        rates.iter().enumerate().map(candidate).collect::<Vec<_>>()
    };
    let counts = |known| {
        let mut rooms = Rooms::default();
        let mut counts = [0u32; 4];
        for run in 0..12 {
            let request = RoomRequest {
                run: RunId(run),
                owner: BootId(1),
                tokens: 3_000,
                spare: 0,
                memory: 30_000,
                slots: 12,
                candidates: candidates(known),
                call: WaitingCall::default(),
            };
            counts[rooms.assign(at(0), &request).unwrap()[1..].parse::<usize>().unwrap()] += 1;
        }
        counts
    };
    assert_eq!(counts(false), [3, 3, 3, 3]);
    assert_eq!(counts(true), [0, 4, 4, 4]);
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

fn reply(f: &mut Fixture, exchange: ExchangeId, reply: ControlReply) {
    let envelope = Envelope { revised: Default::default(), body: Reply::Control(reply) };
    f.step(Input::Reply { exchange, envelope });
}

/// Runs a call up to its stream; returns what its request for a prefill endpoint says of `f1`.
fn run_call(f: &mut Fixture, caller: u64, ahead: u32) -> Option<SpeedSample> {
    f.model_call(caller, "/draft/a", "3000,100");
    let capacity = f.leader_requests.pop().unwrap().0;
    reply(f, capacity, ControlReply::RoomAssigned { endpoint: Some("d1".into()), ahead: 0 });
    let hold = f.take_sent();
    f.answer(&hold, 200, &[], "hold h1");
    let (exchange, request) = f.leader_requests.pop().unwrap();
    let prompt = assert_matches!(request, ControlRequest::AssignPrompt(prompt) => prompt);
    reply(f, exchange, ControlReply::PromptAssigned { endpoint: Some("f1".into()), ahead });
    let prefill = f.take_sent();
    f.advance(100);
    f.answer(&prefill, 200, &[], "export e1");
    let run = f.take_sent();
    f.head(&run, 200, &[]);
    for n in 1..=9 {
        f.data(&run, format!("id: {n}\ndata: a\n\n").as_bytes());
        f.advance(20);
    }
    f.end(&run);
    f.leader_requests.clear();
    prompt.candidates.iter().find(|c| &*c.endpoint == "f1").unwrap().speed
}

/// A gateway that named a sample twice would outvote the others at the leader.
#[test]
fn gateway_names_each_sample_of_an_endpoint_to_the_leader_once() {
    let mut f = Fixture::ready();
    f.leader = Some(SocketAddr::from(([127, 0, 0, 1], 9_001)));
    f.advance(1_000);
    assert_eq!(run_call(&mut f, 1, 0), None);
    let first = run_call(&mut f, 2, 3_000).unwrap();
    assert_eq!(first.rate, WorkRate(30_000), "expected 3,000 tokens in 100 ms");
    // The prefill waited for another prompt, so the endpoint has done twice the work in the time.
    let second = run_call(&mut f, 3, 0).unwrap();
    assert_eq!(second.rate, WorkRate(60_000));
    f.model_call(9, "/draft/a", "3000,100");
    let (_, request) = f.leader_requests.pop().unwrap();
    let room = assert_matches!(request, ControlRequest::AssignRoom(room) => room);
    let d1 = room.candidates.iter().find(|c| &*c.endpoint == "d1").unwrap();
    let rate = d1.speed.unwrap().rate.0;
    // One run uses 3,050 of 30,000 tokens, so the step of an idle endpoint is shorter than 20 ms.
    assert!((50_000..60_000).contains(&rate), "expected 20 ms a step, found {rate}");
}
