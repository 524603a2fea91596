//! The KV cache of the decode endpoints is full for many seconds: the leader assigns capacity,
//! since it knows the runs of all gateways.

mod gateway_fixture;

use std::net::SocketAddr;
use std::time::Duration;

use assert_matches::assert_matches;
use dotterelpin::control::dispatch::Candidate;
use dotterelpin::control::dispatch::rooms::{RoomRequest, Rooms, RunEnd, RunId};
use dotterelpin::h1::{CallerId, HttpInput};
use dotterelpin::link::message::{ControlReply, ControlRequest, Envelope, Reply};
use dotterelpin::model::{BootId, EndpointKind, ExchangeId, Timestamp};
use dotterelpin::role::Input;
use gateway_fixture::{Fixture, MODEL, Sent, endpoint};

const KV_TOKENS: u32 = 30_000;

fn now() -> Timestamp {
    Timestamp::from_micros(1_000_000)
}

fn request(run: u64, tokens: u32, spare: u32) -> RoomRequest {
    let candidate = |at| Candidate::new(&format!("d{at}"), at < 2);
    let candidates = (0..3).map(candidate).collect();
    let (run, owner) = (RunId(run), BootId(run % 2));
    RoomRequest {
        run,
        owner,
        tokens,
        spare,
        memory: KV_TOKENS,
        slots: 12,
        candidates,
        call: Default::default(),
    }
}

#[test]
fn calls_of_all_gateways_fill_the_endpoints_evenly_up_to_their_capacity() {
    let mut rooms = Rooms::default();
    let mut counts = [0; 3];
    for run in 0.. {
        let Some(endpoint) = rooms.assign(now(), &request(run, 4_000, 0)) else { break };
        counts[endpoint[1..].parse::<usize>().unwrap()] += 1;
    }
    assert_eq!(counts, [7, 7, 7], "expected 28,000 of 30,000 tokens in use at each endpoint");
    rooms.ended(now(), RunId(3), RunEnd::Over);
    assert_eq!(
        rooms.assign(now(), &request(100, 4_000, 4_500)),
        None,
        "expected no endpoint: a late call must leave more capacity free"
    );
    assert!(rooms.assign(now(), &request(101, 4_000, 0)).is_some());
    assert_eq!(rooms.assign(now(), &request(102, 4_000, 0)), None);
}

#[test]
fn slots_are_limited_too_and_an_idle_endpoint_accepts_a_call_beyond_the_fill_limit() {
    let mut rooms = Rooms::default();
    let count = (0..).take_while(|r| rooms.assign(now(), &request(*r, 10, 0)).is_some()).count();
    assert_eq!(count, 36);
    let mut rooms = Rooms::default();
    assert!(
        rooms.assign(now(), &request(1, 29_900, 0)).is_some(),
        "expected an endpoint for a call beyond the normal fill limit"
    );
    assert_eq!(Rooms::default().assign(now(), &request(1, 30_100, 0)), None);
}

#[test]
fn endpoint_that_refused_or_was_silent_is_skipped_for_its_cooldown() {
    let mut rooms = Rooms::default();
    for (run, end, cooldown) in [(1, RunEnd::Refused, 100), (2, RunEnd::Silent, 1_000)] {
        let first = rooms.assign(now(), &request(run, 4_000, 0)).unwrap();
        rooms.ended(now(), RunId(run), end);
        let others = (10..13).map(|r| rooms.assign(now(), &request(run * 100 + r, 1, 0)).unwrap());
        assert!(others.into_iter().all(|e| e != first), "{end:?}");
        let later = now() + Duration::from_millis(cooldown);
        let run = 1_000 + run;
        assert_eq!(rooms.assign(later, &request(run, 4_000, 0)), Some(first));
        rooms = Rooms::default();
    }
}

#[test]
fn run_without_a_reported_end_expires() {
    let mut rooms = Rooms::default();
    (0..3).for_each(|run| assert!(rooms.assign(now(), &request(run, 28_000, 0)).is_some()));
    let at = |millis| now() + Duration::from_millis(millis);
    assert_eq!(rooms.assign(at(9_000), &request(9, 28_000, 0)), None);
    assert!(rooms.assign(at(10_000), &request(9, 28_000, 0)).is_some());
}

/// A gateway may abandon its request to a slow leader and report the end of the run before the
/// leader processes the request.
#[test]
fn end_that_overtakes_its_request_leaves_no_run_behind() {
    let mut rooms = Rooms::default();
    rooms.ended(now(), RunId(7), RunEnd::Over);
    assert_eq!(rooms.assign(now(), &request(7, 28_000, 0)), None);
    let count = (10..).take_while(|r| rooms.assign(now(), &request(*r, 28_000, 0)).is_some());
    assert_eq!(count.count(), 3);
}

/// A gateway that is killed does not report the ends of its runs.
#[test]
fn runs_of_a_stopped_gateway_use_no_capacity() {
    let mut rooms = Rooms::default();
    (0..3).for_each(|run| assert!(rooms.assign(now(), &request(run, 28_000, 0)).is_some()));
    rooms.retain_owners(now(), |_| true);
    assert_eq!(rooms.assign(now(), &request(9, 28_000, 0)), None);
    let later = now() + Duration::from_secs(1);
    rooms.retain_owners(later, |owner| owner == BootId(1));
    let count = (10..).take_while(|r| rooms.assign(later, &request(*r, 28_000, 0)).is_some());
    assert_eq!(count.count(), 2, "expected the capacity of runs 0 and 2 to be free");
}

/// Returns a gateway that knows a leader.
fn with_leader() -> Fixture {
    let mut f = Fixture::ready();
    f.leader = Some(SocketAddr::from(([127, 0, 0, 1], 9_001)));
    f.advance(1_000);
    f
}

fn take_request(f: &mut Fixture) -> (ExchangeId, RunId) {
    let (exchange, request) = f.leader_requests.pop().expect("expected a request to the leader");
    let room = assert_matches!(request, ControlRequest::AssignRoom(room) => room);
    (exchange, room.run)
}

fn assign(f: &mut Fixture, exchange: ExchangeId, endpoint: Option<&str>) {
    let reply = ControlReply::RoomAssigned { endpoint: endpoint.map(Into::into), ahead: 0 };
    let envelope = Envelope { revised: Default::default(), body: Reply::Control(reply) };
    f.step(Input::Reply { exchange, envelope });
}

#[test]
fn call_reserves_where_the_leader_assigned_it_and_reports_the_result() {
    for (endpoint, status, end) in
        [("d1", 503, RunEnd::Refused), ("d2", 503, RunEnd::Refused), ("d2", 0, RunEnd::Silent)]
    {
        let mut f = with_leader();
        f.model_call(1, "/draft/a", "3000,100");
        assert!(!f.has_sent());
        let (exchange, run) = take_request(&mut f);
        assign(&mut f, exchange, Some(endpoint));
        let hold = f.take_sent();
        assert_eq!(&*hold.head.target, "/hold");
        match status {
            0 => f.advance(260),
            _ => f.answer(&hold, status, &[], ""),
        }
        let ended =
            f.leader_requests.iter().any(|(_, r)| *r == ControlRequest::RunEnded { run, end });
        assert!(ended, "expected a report of {end:?}, found {:?}", f.leader_requests);
        let repeated =
            f.leader_requests.iter().any(|(_, r)| matches!(r, ControlRequest::AssignRoom(_)));
        assert!(repeated, "expected a new request for capacity at another endpoint");
    }
}

#[test]
fn call_waits_while_there_is_no_capacity_and_is_refused_in_time() {
    let mut f = with_leader();
    f.model_call(1, "/draft/a", "3000,100");
    let (mut requests, mut waited) = (0, 0);
    while !f.answers.contains_key(&1) {
        while let Some((exchange, _)) = f.leader_requests.pop() {
            assign(&mut f, exchange, None);
            requests += 1;
        }
        assert!(!f.has_sent(), "expected no reservation request without an assigned endpoint");
        f.advance(10);
        waited += 10;
    }
    assert!(
        (500..=600).contains(&waited),
        "expected a wait of 500 to 600 ms at a target of 900 ms, found {waited} ms"
    );
    assert!(
        (4..=14).contains(&requests),
        "expected 4 to 14 requests to the leader, found {requests}"
    );
    let answer = &f.answers[&1];
    assert_eq!(answer.status, 503);
    assert!(answer.fields.has("Retry-After"));
}

#[test]
fn silent_leader_blocks_no_call() {
    let mut f = with_leader();
    f.model_call(1, "/draft/a", "3000,100");
    let (_, run) = take_request(&mut f);
    f.advance(30);
    assert_eq!(&*f.take_sent().head.target, "/hold");
    let ended = ControlRequest::RunEnded { run, end: RunEnd::Over };
    assert!(
        f.leader_requests.iter().any(|(_, r)| *r == ended),
        "expected a report of the end: the leader may still assign capacity"
    );
}

#[test]
fn end_of_a_call_is_reported_once() {
    let mut f = with_leader();
    f.model_call(1, "/draft/a", "3000,100");
    let (exchange, run) = take_request(&mut f);
    assign(&mut f, exchange, Some("d1"));
    f.step(Input::Local(HttpInput::CallerGone { caller: CallerId(1) }));
    let ended = ControlRequest::RunEnded { run, end: RunEnd::Over };
    assert_eq!(f.leader_requests.iter().filter(|(_, r)| *r == ended).count(), 1);
    f.advance(5_000);
    assert_eq!(f.leader_requests.iter().filter(|(_, r)| *r == ended).count(), 1);
}

/// Returns a gateway with a leader, and a stream that it runs and that has had one event.
fn running_stream() -> (Fixture, Sent) {
    let mut f = Fixture::ready();
    f.model_call(1, "/remind/a", "3000,100");
    let run = f.answer_prefill();
    f.head(&run, 200, &[]);
    f.leader = Some(SocketAddr::from(([127, 0, 0, 1], 9_001)));
    f.answers_reports = true;
    f.advance(1_000);
    f.data(&run, b"id: 1\ndata: a\n\n");
    (f, run)
}

/// Fails if a silent stream is given up for capacity that the leader does not have.
#[test]
fn silent_stream_is_cut_off_although_the_leader_has_no_capacity() {
    let (mut f, run) = running_stream();
    for _ in 0..400 {
        f.advance(10);
        while let Some((exchange, request)) = f.leader_requests.pop() {
            if matches!(request, ControlRequest::AssignRoom(_)) {
                assign(&mut f, exchange, None);
            }
        }
        assert!(!f.hung_up.contains(&run.peer), "the attempt was given up without another");
    }
    f.data(&run, b"id: 2\ndata: b\n\n");
    f.end(&run);
    assert!(f.answers[&1].complete);
}

#[test]
fn silent_stream_goes_on_elsewhere_once_it_has_a_reservation_there() {
    let (mut f, run) = running_stream();
    f.advance(1_810);
    assert!(!f.hung_up.contains(&run.peer), "expected the attempt to go on until the answer");
    let (exchange, asked) = take_request(&mut f);
    assign(&mut f, exchange, Some("d2"));
    let (hold, d2) = (f.take_sent(), endpoint("d2", EndpointKind::Decode, MODEL));
    assert_eq!((&*hold.head.target, hold.address), ("/hold", d2.address));
    f.advance(10);
    assert!(!f.hung_up.contains(&run.peer), "expected the attempt to go on until the answer");
    f.answer(&hold, 200, &[], "hold h2");
    f.advance(1);
    assert!(f.hung_up.contains(&run.peer));
    let second = f.take_sent();
    assert_eq!((second.address, second.field("Hold")), (d2.address, Some("h2")));
    assert_eq!(second.field("Last-Event-Id"), Some("1"));
    // The leader was told of the first attempt's run, which it had not assigned, and of its end.
    let [(_, ControlRequest::CountRuns { runs, .. }), (_, first_end)] = &f.leader_requests[..]
    else {
        panic!("expected the first run and its end alone: {:?}", f.leader_requests);
    };
    let [first] = &runs[..] else { panic!("expected one run: {runs:?}") };
    assert_eq!((&*first.endpoint, first.tokens), ("d1", 3_050));
    assert_ne!(first.run, asked, "the leader counts the second run already");
    assert_eq!(*first_end, ControlRequest::RunEnded { run: first.run, end: RunEnd::Over });
    f.leader_requests.clear();
    f.step(Input::Local(HttpInput::CallerGone { caller: CallerId(1) }));
    let ended = ControlRequest::RunEnded { run: asked, end: RunEnd::Over };
    assert_eq!(f.leader_requests.iter().filter(|(_, r)| *r == ended).count(), 1);
}

/// Fails if a silent stream is given up for capacity that its endpoint then refuses.
#[test]
fn silent_stream_is_cut_off_although_its_next_endpoint_refuses_the_reservation() {
    for answers in [true, false] {
        let (mut f, run) = running_stream();
        f.advance(1_810);
        let (exchange, asked) = take_request(&mut f);
        assign(&mut f, exchange, Some("d2"));
        let hold = f.take_sent();
        if answers {
            f.answer(&hold, 503, &[], "");
        } else {
            f.advance(260);
        }
        let end = if answers { RunEnd::Refused } else { RunEnd::Silent };
        let ended = ControlRequest::RunEnded { run: asked, end };
        assert!(f.leader_requests.iter().any(|(_, r)| *r == ended), "{:?}", f.leader_requests);
        f.advance(90);
        assert!(!f.hung_up.contains(&run.peer), "the attempt was given up without another");
        f.data(&run, b"id: 2\ndata: b\n\n");
        f.end(&run);
        assert!(f.answers[&1].complete);
    }
}

/// Fails if memory reserved for another attempt is held once the stream has gone on, or has lost
/// its caller.
#[test]
fn reservation_for_another_attempt_is_left_behind_by_its_stream() {
    for gone in [true, false] {
        let (mut f, run) = running_stream();
        f.advance(1_810);
        let (exchange, asked) = take_request(&mut f);
        assign(&mut f, exchange, Some("d2"));
        let hold = f.take_sent();
        if gone {
            f.step(Input::Local(HttpInput::CallerGone { caller: CallerId(1) }));
            assert!(f.hung_up.contains(&hold.peer), "expected the request to be withdrawn");
        } else {
            f.data(&run, b"id: 2\ndata: b\n\n");
            f.answer(&hold, 200, &[], "hold h2");
            assert_eq!(&*f.take_sent().head.target, "/hold/h2");
        }
        let ended = ControlRequest::RunEnded { run: asked, end: RunEnd::Over };
        assert!(f.leader_requests.iter().any(|(_, r)| *r == ended), "{:?}", f.leader_requests);
    }
}

#[test]
fn answer_of_the_leader_does_not_end_a_stream_that_has_gone_on() {
    let (mut f, run) = running_stream();
    f.advance(1_810);
    let (exchange, _) = take_request(&mut f);
    f.data(&run, b"id: 2\ndata: b\n\n");
    assign(&mut f, exchange, Some("d2"));
    f.advance(1_000);
    assert!(!f.hung_up.contains(&run.peer));
    f.end(&run);
    assert!(f.answers[&1].complete);
}

#[test]
fn silent_leader_holds_up_no_other_attempt_at_a_silent_stream() {
    let (mut f, run) = running_stream();
    f.advance(1_900);
    let hold = f.take_sent();
    assert_eq!(&*hold.head.target, "/hold");
    assert!(!f.hung_up.contains(&run.peer), "expected the attempt to go on until the answer");
    f.answer(&hold, 200, &[], "hold h2");
    f.advance(1);
    assert!(f.hung_up.contains(&run.peer));
    assert_eq!(f.take_sent().field("Hold"), Some("h2"));
}

/// Fails if a silent stream is given up, while the leader is silent too, for a place that is taken.
#[test]
fn silent_stream_is_cut_off_beside_a_silent_leader() {
    let (mut f, run) = running_stream();
    for _ in 0..10 {
        f.advance(200);
        while f.has_sent() {
            let hold = f.take_sent();
            f.answer(&hold, 503, &[], "");
        }
        assert!(!f.hung_up.contains(&run.peer), "the attempt was given up without another");
    }
    f.data(&run, b"id: 2\ndata: b\n\n");
    f.end(&run);
    assert!(f.answers[&1].complete);
}

/// Fails if capacity that the leader had before the last event ends a stream that is silent again.
#[test]
fn silent_stream_is_cut_off_for_capacity_that_was_found_long_ago() {
    let (mut f, run) = running_stream();
    f.advance(1_810);
    let (exchange, _) = take_request(&mut f);
    assign(&mut f, exchange, Some("d2"));
    f.data(&run, b"id: 2\ndata: b\n\n");
    f.advance(1_810);
    assert!(!f.hung_up.contains(&run.peer), "the leader was not asked again");
    take_last_room(&mut f);
}

/// Fails if a question that was left open before the last event counts as a leader that is silent.
#[test]
fn silent_stream_is_cut_off_for_a_question_that_was_open_long_ago() {
    let (mut f, run) = running_stream();
    f.advance(1_810);
    let (asked, _) = take_request(&mut f);
    f.data(&run, b"id: 2\ndata: b\n\n");
    f.advance(1_810);
    assert!(!f.hung_up.contains(&run.peer), "the leader was not asked again");
    assert_ne!(take_last_room(&mut f).0, asked);
}

/// Fails if a silent stream is given up for capacity that the leader gives to another call.
#[test]
fn silent_stream_is_cut_off_since_the_capacity_found_for_it_goes_to_another_call() {
    let (mut f, run) = running_stream();
    f.advance(1_810);
    let (exchange, _) = take_request(&mut f);
    assign(&mut f, exchange, Some("d2"));
    let hold = f.take_sent();
    assert_eq!(&*hold.head.target, "/hold");
    f.answer(&hold, 200, &[], "hold h2");
    f.advance(1);
    assert!(f.hung_up.contains(&run.peer));
    let asked = f.leader_requests.iter().any(|(_, r)| matches!(r, ControlRequest::AssignRoom(_)));
    assert!(!asked, "the leader may have given the capacity to another call meanwhile");
    assert_eq!(f.take_sent().field("Hold"), Some("h2"));
}

/// Takes the last request for capacity, whatever was sent to the leader after it.
fn take_last_room(f: &mut Fixture) -> (ExchangeId, RunId) {
    let is_room = |(_, r): &(_, ControlRequest)| matches!(r, ControlRequest::AssignRoom(_));
    let at = f.leader_requests.iter().rposition(is_room).expect("expected a request for capacity");
    let (exchange, request) = f.leader_requests.remove(at);
    let room = assert_matches!(request, ControlRequest::AssignRoom(room) => room);
    (exchange, room.run)
}
