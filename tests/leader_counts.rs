//! Decode memory stays full for many seconds while the leader does not know all runs: it has just
//! been elected, or gateways have chosen endpoints themselves. Calls must not be sent from one full
//! endpoint to the next, and the leader must learn what it doesn't count.

mod gateway_fixture;

use std::collections::BTreeMap;
use std::net::SocketAddr;

use dotterelpin::control::dispatch::Candidate;
use dotterelpin::control::dispatch::rooms::{KnownRun, RoomRequest, Rooms, RunEnd, RunId};
use dotterelpin::link::message::{ControlReply, ControlRequest, Envelope, Reply};
use dotterelpin::model::{BootId, ExchangeId, Timestamp};
use dotterelpin::role::{Input, LinkFailure};
use gateway_fixture::{Fixture, Sent};

/// The load pattern: engines of which each is full, and calls that arrive as fast as runs end.
const ENGINES: u64 = 110;
const KV_TOKENS: u32 = 26_500;
const SLOTS: u32 = 12;
const RUN_TOKENS: u32 = 4_300;
const RUN_MS: u64 = 3_500;
const CALLS_PER_SECOND: u64 = 180;
/// How long a gateway waits before it asks again: after a refusal, and if there is no capacity.
const REFUSED_MS: u64 = 5;
const NO_CAPACITY_MS: u64 = 100;

/// Engines with the runs that they really have, by the time at which each ends.
struct Engines {
    runs: BTreeMap<Box<str>, Vec<(u64, Option<RunId>)>>,
}

impl Engines {
    /// Returns engines full of runs that the leader has not assigned.
    fn full() -> Engines {
        let most = u64::from(KV_TOKENS / RUN_TOKENS);
        let runs = |at: u64| -> Vec<(u64, Option<RunId>)> {
            (0..most).map(|n| (RUN_MS * (n + 1) / most - at % 50, None)).collect()
        };
        Engines { runs: (0..ENGINES).map(|at| (name(at), runs(at))).collect() }
    }

    /// Starts a run if there is memory for it.
    fn start(&mut self, millis: u64, endpoint: &str, run: RunId) -> bool {
        let runs = self.runs.get_mut(endpoint).unwrap();
        let fits = (runs.len() as u32 + 1) * RUN_TOKENS <= KV_TOKENS;
        if fits {
            runs.push((millis + RUN_MS, Some(run)));
        }
        fits
    }

    /// Removes the runs that have ended, and returns those that the leader counts.
    fn end(&mut self, millis: u64) -> Vec<RunId> {
        let mut ended = Vec::new();
        for runs in self.runs.values_mut() {
            ended.extend(runs.iter().filter(|(at, _)| *at <= millis).filter_map(|(_, run)| *run));
            runs.retain(|(at, _)| *at > millis);
        }
        ended
    }
}

fn name(at: u64) -> Box<str> {
    format!("engine-{at:03}").into()
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(1_000_000 + millis * 1_000)
}

fn room_request(run: u64) -> RoomRequest {
    let candidate = |at| Candidate::new(&name(at), at % 5 == run % 5);
    RoomRequest {
        run: RunId(run),
        owner: BootId(1),
        tokens: RUN_TOKENS,
        spare: 0,
        memory: KV_TOKENS,
        slots: SLOTS,
        candidates: (0..ENGINES).map(candidate).collect(),
        call: Default::default(),
    }
}

/// Sends calls for some seconds to full engines whose runs the leader does not know; returns how
/// many reservations the engines granted and refused.
fn replay(seconds: u64) -> (u64, u64) {
    let mut engines = Engines::full();
    let mut rooms = Rooms::default();
    let mut waiting: Vec<u64> = Vec::new();
    let (mut runs, mut arrived, mut granted, mut refused) = (0, 0, 0, 0);
    for millis in 0..seconds * 1_000 {
        for run in engines.end(millis) {
            rooms.ended(at(millis), run, RunEnd::Over);
        }
        while arrived < millis * CALLS_PER_SECOND / 1_000 {
            arrived += 1;
            waiting.push(millis);
        }
        let due: Vec<u64> = waiting.iter().copied().filter(|next| *next <= millis).collect();
        waiting.retain(|next| *next > millis);
        for _ in due {
            runs += 1;
            let Some(endpoint) = rooms.assign(at(millis), &room_request(runs)) else {
                waiting.push(millis + NO_CAPACITY_MS);
                continue;
            };
            if engines.start(millis, &endpoint, RunId(runs)) {
                granted += 1;
            } else {
                refused += 1;
                rooms.ended(at(millis), RunId(runs), RunEnd::Refused);
                waiting.push(millis + REFUSED_MS);
            }
        }
    }
    (granted, refused)
}

#[test]
fn new_leader_learns_from_refusals_which_endpoints_are_full() {
    let (granted, refused) = replay(7);
    assert!(granted >= 1_000, "expected the engines to stay in use, found {granted} runs");
    assert!(
        refused <= granted / 2,
        "expected at most one refusal for two runs, found {refused} for {granted}"
    );
}

/// Fails if calls are kept from an endpoint for long after its unknown runs have ended.
#[test]
fn endpoint_that_was_full_is_used_again_once_it_has_capacity() {
    let mut rooms = Rooms::default();
    let alone = |run| RoomRequest {
        candidates: room_request(0).candidates[..1].to_vec(),
        ..room_request(run)
    };
    for run in 1..=2 {
        let now = at(run * 200);
        assert_eq!(rooms.assign(now, &alone(run)), Some(name(0)));
        rooms.ended(now, RunId(run), RunEnd::Refused);
    }
    assert_eq!(rooms.assign(at(520), &alone(3)), None, "expected the endpoint to count as full");
    let accepted = (521..).find(|millis| rooms.assign(at(*millis), &alone(4)).is_some());
    let waited = accepted.unwrap() - 400;
    assert!(waited <= 700, "expected a call after the time of one run of six, found {waited} ms");
}

/// Fails if the end of a run that the leader counts does not make room at an endpoint that was full.
#[test]
fn end_of_a_counted_run_makes_room_at_once() {
    let mut rooms = Rooms::default();
    let alone = |run| RoomRequest {
        candidates: room_request(0).candidates[..1].to_vec(),
        ..room_request(run)
    };
    (1..=4).for_each(|run| assert!(rooms.assign(at(0), &alone(run)).is_some()));
    for run in 5..=6 {
        let now = at((run - 4) * 200);
        assert!(rooms.assign(now, &alone(run)).is_some());
        rooms.ended(now, RunId(run), RunEnd::Refused);
    }
    assert_eq!(rooms.assign(at(520), &alone(8)), None);
    rooms.ended(at(520), RunId(1), RunEnd::Over);
    assert_eq!(rooms.assign(at(520), &alone(9)), Some(name(0)));
}

#[test]
fn reported_runs_are_counted_once_and_not_after_their_end() {
    let mut rooms = Rooms::default();
    let known = |run| KnownRun { run: RunId(run), endpoint: name(0), tokens: RUN_TOKENS };
    let all: Vec<KnownRun> = (1..=4).map(known).collect();
    rooms.ended(at(0), RunId(4), RunEnd::Over);
    rooms.count(at(0), BootId(1), &all);
    rooms.count(at(1), BootId(1), &all[..2]);
    assert_eq!(rooms.used(at(1), &name(0)), u64::from(3 * RUN_TOKENS));
    rooms.retain_owners(at(1_000), |owner| owner != BootId(1));
    assert_eq!(rooms.used(at(1_000), &name(0)), 0);
}

fn leader(at: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9_000 + at))
}

/// Takes the open requests to the leader and returns the reports of runs.
fn take_reports(f: &mut Fixture) -> Vec<(ExchangeId, Vec<KnownRun>)> {
    let reports = std::mem::take(&mut f.leader_requests).into_iter();
    let runs = |(exchange, request)| match request {
        ControlRequest::CountRuns { runs, .. } => Some((exchange, runs)),
        _ => None,
    };
    reports.filter_map(runs).collect()
}

/// Returns a gateway without a leader that has a stream running, which it has placed itself.
fn with_own_run() -> (Fixture, Sent) {
    let mut f = Fixture::ready();
    f.model_call(1, "/remind/a", "3000,100");
    let run = f.answer_prefill();
    f.head(&run, 200, &[]);
    f.data(&run, b"id: 1\ndata: a\n\n");
    assert!(take_reports(&mut f).is_empty(), "there is no leader yet");
    (f, run)
}

#[test]
fn run_that_a_gateway_placed_itself_is_reported_with_its_end() {
    let (mut f, run) = with_own_run();
    f.leader = Some(leader(1));
    f.advance(1_100);
    let reports = take_reports(&mut f);
    let [(_, runs)] = &reports[..] else { panic!("expected one report, found {reports:?}") };
    let [known] = &runs[..] else { panic!("expected one run, found {runs:?}") };
    assert_eq!((&*known.endpoint, known.tokens), ("d1", 3_050));
    f.end(&run);
    let ended = ControlRequest::RunEnded { run: known.run, end: RunEnd::Over };
    assert_eq!(f.leader_requests.iter().filter(|(_, r)| *r == ended).count(), 1);
    f.leader_requests.clear();
    f.advance(3_000);
    assert!(take_reports(&mut f).is_empty(), "nothing runs any more");
}

#[test]
fn new_leader_is_told_of_all_runs_under_their_numbers() {
    let (mut f, run) = with_own_run();
    f.leader = Some(leader(1));
    f.advance(1_100);
    let first = take_reports(&mut f).remove(0).1;
    f.leader = Some(leader(2));
    f.data(&run, b"id: 2\ndata: b\n\n");
    f.advance(1_100);
    let (exchange, second) = take_reports(&mut f).remove(0);
    assert_eq!((f.members_of[&exchange], second), (leader(2), first));
}

/// A leader that restarts, and leads again at its address, has lost its counts.
#[test]
fn restarted_leader_is_told_of_all_runs_again() {
    let (mut f, run) = with_own_run();
    f.leader = Some(gateway_fixture::member());
    f.advance(1_100);
    let first = take_reports(&mut f).remove(0).1;
    f.data(&run, b"id: 2\ndata: b\n\n");
    f.advance(1_100);
    assert!(take_reports(&mut f).is_empty(), "it knows all runs");
    f.data(&run, b"id: 3\ndata: c\n\n");
    f.epoch = BootId(5);
    f.advance(1_100);
    assert_eq!(take_reports(&mut f).remove(0).1, first);
}

/// Fails if a report that is lost, or that reaches a member that does not lead, is not repeated.
#[test]
fn report_that_was_not_accepted_is_sent_again() {
    for lost in [true, false] {
        let (mut f, _run) = with_own_run();
        f.leader = Some(leader(1));
        f.advance(1_100);
        let (exchange, runs) = take_reports(&mut f).remove(0);
        if lost {
            f.step(Input::Closed { exchange, failure: Some(LinkFailure::Broken) });
        } else {
            let reply = ControlReply::NotLeader { leader: None };
            let envelope = Envelope { revised: Default::default(), body: Reply::Control(reply) };
            f.step(Input::Reply { exchange, envelope });
        }
        f.advance(600);
        assert_eq!(take_reports(&mut f).remove(0).1, runs, "lost: {lost}");
    }
}

/// Many calls wait at one gateway while all endpoints are full: one request to the leader stands for
/// all of them, since it gets the same answer.
#[test]
fn gateway_asks_for_one_waiting_call_at_a_time_while_capacity_is_short() {
    let mut f = Fixture::ready();
    f.leader = Some(leader(1));
    f.advance(1_000);
    let mut asked = 0;
    for caller in 1..=8 {
        f.model_call(caller, "/draft/a", "3000,100");
    }
    for _ in 0..40 {
        f.advance(10);
        let rooms = std::mem::take(&mut f.leader_requests);
        let rooms: Vec<_> =
            rooms.into_iter().filter(|(_, r)| matches!(r, ControlRequest::AssignRoom(_))).collect();
        asked += rooms.len();
        for (exchange, _) in rooms {
            let reply = ControlReply::RoomAssigned { endpoint: None, ahead: 0 };
            let envelope = Envelope { revised: Default::default(), body: Reply::Control(reply) };
            f.step(Input::Reply { exchange, envelope });
        }
    }
    assert!(asked <= 8 + 12, "expected at most one request each 40 ms after the first 8: {asked}");
}
