//! The shutdown of a gateway: each call that it has read gets its end before the process is killed,
//! and none begins that can't end.

mod gateway_fixture;

use std::time::Duration;

use dotterelpin::h1::{CallerId, HttpInput};
use dotterelpin::link::message::{ControlReply, ControlRequest, Envelope, Reply};
use dotterelpin::model::EndpointKind;
use dotterelpin::role::{Input, Role};
use gateway_fixture::{Fixture, PLAIN, endpoint, table};

/// When a gateway with a grace period of 8 s ends its open calls, after the signal.
const REFUSE_MS: u64 = 7_500;
const EVENT: &[u8] = b"id: 1\ndata: a\n\n";

/// Runs a stream that ends some time after its arrival, so that the gateway knows how long streams
/// last.
fn complete_stream(f: &mut Fixture, caller: u64, path: &str, millis: u64) {
    f.model_call(caller, path, "300,10");
    let run = f.answer_prefill();
    f.head(&run, 200, &[]);
    for event in 0..millis / 500 {
        f.data(&run, format!("id: {event}\ndata: a\n\n").as_bytes());
        f.advance(500);
    }
    f.advance(millis % 500);
    f.end(&run);
    assert!(f.answers[&caller].complete);
}

/// Returns a gateway whose streams have lasted 1 s.
fn ready_with_short_streams() -> Fixture {
    let mut f = Fixture::ready();
    f.answers_reports = true;
    for caller in 100..110 {
        complete_stream(&mut f, caller, "/draft/a", 1_000);
        complete_stream(&mut f, caller + 100, "/remind/a", 1_000);
    }
    f
}

/// Fills the only decode endpoint that is left, and queues the stream of a caller.
fn queue_stream(f: &mut Fixture, caller: u64) {
    f.withdraw("d2");
    f.advance(600);
    f.model_call(caller + 1, "/draft/a", "20000,8000");
    f.answer_prefill();
    f.model_call(caller, "/draft/a", "20000,8000");
    assert!(!f.has_sent() && !f.answers.contains_key(&caller), "expected it to wait");
}

fn refused(f: &Fixture, caller: u64) -> bool {
    f.answers.get(&caller).is_some_and(|a| a.complete && a.status == 503)
}

/// Fails if a call that is read after the gateway has decided to end is sent to an endpoint.
#[test]
fn call_that_is_read_after_the_end_is_refused() {
    let mut f = Fixture::ready();
    f.shut_down();
    f.advance(2_700);
    assert!(f.stopped);
    f.call(1, "/look/a", &[]);
    f.model_call(2, "/remind/a", "300,10");
    assert!(!f.has_sent(), "expected nothing to be sent after the end");
    assert!(refused(&f, 1) && refused(&f, 2));
    f.advance(2_000);
    assert_eq!((f.stops, f.has_sent()), (1, false));
}

#[test]
fn connections_are_closed_once_before_the_one_end() {
    let mut f = Fixture::ready();
    let since = f.now;
    f.shut_down();
    f.advance(2_700);
    f.step(Input::Wake);
    f.call(1, "/look/a", &[]);
    f.step(Input::Shutdown { since: f.now });
    assert_eq!(f.stops, 1);
    assert_eq!(f.closed_all, [since + Duration::from_millis(7_750)]);
    assert_eq!(f.gateway.next_wake(), None);
}

/// Fails if a call that is open when the grace period ends gets no answer.
#[test]
fn calls_in_every_stage_are_answered_before_the_kill() {
    let mut f = ready_with_short_streams();
    f.model_call(1, "/draft/a", "300,10");
    let stream = f.answer_prefill();
    f.head(&stream, 200, &[]);
    f.data(&stream, EVENT);
    f.model_call(2, "/draft/a", "300,10");
    f.answer_prefill();
    f.advance(1);
    f.shut_down();
    f.advance(REFUSE_MS - 300);
    assert!(!f.stopped && !f.answers.contains_key(&2));
    f.advance(301);
    assert!(f.answers[&1].aborted, "expected the begun stream to be broken off");
    assert_eq!(f.answers[&2].status, 502, "it may have run");
    assert_eq!(f.stops, 1);
}

/// Fails if a gateway that is killed at the end of its grace period leaves a plain call unanswered.
#[test]
fn running_plain_call_is_answered_before_the_kill() {
    let mut slow = table();
    slow.routes[0].timeout_ms = 14_000.0;
    let mut f = Fixture::without_table(vec![slow]).made_ready();
    f.call(1, "/pay/a", &[]);
    f.take_sent();
    f.shut_down();
    f.advance(REFUSE_MS + 1);
    assert_eq!(f.answers[&1].status, 502, "it may have run");
    assert_eq!(f.stops, 1);
}

/// Fails if a waiting call that can't end any more is kept until its deadline, or gets no answer.
#[test]
fn queued_calls_that_can_not_end_are_refused_at_the_signal() {
    let mut f = Fixture::ready();
    queue_stream(&mut f, 91);
    f.shut_down();
    assert!(refused(&f, 91), "expected a refusal at once: streams may take 14 s");
}

/// Fails if a waiting call is kept although it can't end any more.
#[test]
fn queued_calls_are_refused_as_soon_as_they_can_not_end() {
    let mut f = Fixture::ready();
    f.answers_reports = true;
    for caller in 100..110 {
        complete_stream(&mut f, caller, "/draft/a", 7_400);
    }
    queue_stream(&mut f, 91);
    f.shut_down();
    assert!(!f.answers.contains_key(&91));
    f.advance(250);
    assert!(refused(&f, 91), "expected a refusal: 7.4 s are left no more");
}

/// Fails if a prefill is started for a stream that can't end any more.
#[test]
fn granted_reservation_is_dropped_if_the_stream_can_not_end() {
    let mut f = Fixture::ready();
    f.model_call(1, "/draft/a", "300,10");
    let hold = f.take_sent();
    f.shut_down();
    f.answer(&hold, 200, &[], "hold h1");
    assert!(refused(&f, 1));
    assert_eq!(&*f.take_sent().head.target, "/hold/h1", "expected the reservation to be dropped");
    assert!(!f.has_sent());
}

/// Fails if a stream runs after its prefill although it can't end any more.
#[test]
fn prefilled_stream_does_not_run_if_it_can_not_end() {
    let mut f = Fixture::ready();
    f.model_call(1, "/draft/a", "300,10");
    let hold = f.take_sent();
    f.answer(&hold, 200, &[], "hold h1");
    let prefill = f.take_sent();
    f.shut_down();
    f.answer(&prefill, 200, &[], "export e1");
    assert!(refused(&f, 1));
    let mut targets = [f.take_sent(), f.take_sent()].map(|s| s.head.target.to_string());
    targets.sort();
    assert_eq!(targets, ["/export/e1", "/hold/h1"], "expected engine memory to be freed");
    assert!(!f.has_sent());
}

/// Fails if a plain call is retried although the retry can't end in time.
#[test]
fn broken_plain_call_is_not_retried_if_it_can_not_end() {
    let mut slow = table();
    slow.routes[1].timeout_ms = 14_000.0;
    let mut f = Fixture::without_table(vec![slow]).made_ready();
    f.call(1, "/look/a", &[]);
    let sent = f.take_sent();
    f.shut_down();
    f.fail_connection(&sent, true);
    assert!(!f.has_sent(), "expected no retry");
    assert_eq!(f.answers[&1].status, 502, "it may have run");
}

/// Fails if a broken stream is continued although it can't end in time.
#[test]
fn broken_stream_is_continued_only_if_it_can_end() {
    for (millis, continues) in [(2_000, true), (6_000, false)] {
        let mut f = ready_with_short_streams();
        for caller in 300..320 {
            complete_stream(&mut f, caller, "/remind/a", 2_500);
        }
        f.model_call(1, "/remind/a", "300,10");
        let run = f.answer_prefill();
        f.shut_down();
        f.head(&run, 200, &[]);
        for event in 0..millis / 1_000 {
            f.data(&run, format!("id: {event}\ndata: a\n\n").as_bytes());
            f.advance(1_000);
        }
        f.fail_connection(&run, true);
        assert_eq!(f.has_sent(), continues, "broken {millis} ms after the signal");
        assert_eq!(f.answers[&1].aborted, !continues);
    }
}

/// Fails if a stream is accepted after a stall, since the gateway has not noticed the time yet.
#[test]
fn stream_after_a_late_signal_and_a_stall_is_refused() {
    let mut f = Fixture::ready();
    f.shut_down_late(1_500);
    f.stall(1_200);
    f.model_call(1, "/draft/a", "300,10");
    assert!(!f.has_sent() && refused(&f, 1));
}

/// Fails if the grace period is counted from when the signal was handled.
#[test]
fn late_signal_moves_the_end_of_open_calls_by_nothing() {
    let mut f = Fixture::ready();
    f.model_call(1, "/draft/a", "300,10");
    f.answer_prefill();
    f.shut_down_late(1_500);
    f.advance(REFUSE_MS - 1_500);
    assert_eq!((f.answers[&1].status, f.stops), (502, 1));
}

/// Fails if a signal that is handled at the end of the grace period leaves open calls unanswered.
#[test]
fn signal_that_is_handled_at_the_end_ends_open_calls_at_once() {
    let mut f = Fixture::ready();
    f.model_call(1, "/draft/a", "300,10");
    f.answer_prefill();
    f.shut_down_late(7_600);
    assert_eq!((f.answers[&1].status, f.stops), (502, 1));
}

/// Fails if a stream is taken after the signal, and cut off, that was only likely to end in time.
#[test]
fn stream_that_is_taken_after_the_signal_is_cut_off() {
    let mut f = ready_with_short_streams();
    f.model_call(1, "/draft/a", "300,10");
    f.answer_prefill();
    f.shut_down();
    f.model_call(2, "/draft/a", "300,10");
    assert!(!f.has_sent() && refused(&f, 2), "it may take 14 s");
    let mut f = Fixture::ready();
    f.shut_down();
    let patient = [("Model", "m"), ("Tokens", "300,10"), ("Patience-Ms", "7000")];
    f.call(3, "/draft/a", &patient);
    assert!(f.has_sent(), "expected it to be taken, its caller waits for 7 s: {:?}", f.answers);
    f.sent.clear();
    f.advance(600);
    f.call(4, "/draft/a", &patient);
    assert!(refused(&f, 4));
}

#[test]
fn slow_plain_calls_are_taken_until_the_shutdown_is_noticed() {
    let mut slow = table();
    slow.routes[1].timeout_ms = 14_000.0;
    let mut f = Fixture::without_table(vec![slow]).made_ready();
    f.shut_down();
    f.advance(2_500);
    f.call(1, "/look/a", &[]);
    assert!(f.has_sent());
    f.sent.clear();
    f.advance(200);
    f.call(2, "/look/a", &[]);
    assert!(!f.has_sent() && refused(&f, 2));
    f.advance(REFUSE_MS);
    assert_eq!((f.answers[&1].status, f.answers[&1].complete), (502, true));
}

#[test]
fn signal_before_the_first_table_ends_the_gateway() {
    let mut f = Fixture::without_table(vec![table()]);
    f.shut_down();
    assert!(!f.is_ready());
    f.advance(1_000);
    f.call(1, "/look/a", &[]);
    assert!(refused(&f, 1));
    f.advance(1_700);
    assert_eq!(f.stops, 1);
}

#[test]
fn second_signal_changes_nothing() {
    let mut f = Fixture::ready();
    f.shut_down();
    f.advance(2_000);
    f.shut_down();
    f.advance(700);
    assert_eq!(f.stops, 1);
}

#[test]
fn signal_during_a_reload_ends_the_gateway() {
    let mut f = Fixture::ready();
    f.call(1, "/look/a", &[]);
    let sent = f.take_sent();
    f.step(Input::Local(HttpInput::Reload));
    f.shut_down();
    f.step(Input::Local(HttpInput::Reload));
    f.answer(&sent, 200, &[], "ok");
    assert_eq!(f.answers[&1].status, 200);
    f.advance(2_700);
    assert_eq!(f.stops, 1);
}

#[test]
fn signal_one_second_after_the_start_answers_all_calls() {
    let mut f = Fixture::without_table(vec![table()]);
    f.publish(0, 1);
    f.announce(endpoint("p1", EndpointKind::Service, PLAIN));
    f.advance(1_000);
    f.shut_down();
    f.call(1, "/look/a", &[]);
    let sent = f.take_sent();
    f.answer(&sent, 200, &[], "ok");
    assert_eq!(f.answers[&1].status, 200);
    f.model_call(2, "/draft/a", "300,10");
    assert!(refused(&f, 2));
    f.step(Input::Local(HttpInput::CallerGone { caller: CallerId(2) }));
    f.advance(2_700);
    assert_eq!(f.stops, 1);
}

/// Fails if a silent stream is broken off in shutdown for another attempt that can't end in time.
#[test]
fn silent_stream_is_not_given_up_for_an_attempt_that_can_not_end() {
    let mut f = Fixture::ready();
    f.model_call(1, "/remind/a", "300,10");
    let run = f.answer_prefill();
    f.head(&run, 200, &[]);
    f.data(&run, EVENT);
    f.shut_down();
    f.advance(3_000);
    assert!(!f.hung_up.contains(&run.peer), "the stream was given up without another attempt");
    f.data(&run, b"id: 2\ndata: b\n\n");
    f.end(&run);
    assert!(f.answers[&1].complete);
}

/// Fails if a slow plain call is given up in shutdown for another attempt that can't end in time.
#[test]
fn slow_plain_call_is_not_given_up_for_an_attempt_that_can_not_end() {
    let mut slow = table();
    slow.routes[1].timeout_ms = 14_000.0;
    let mut f = Fixture::without_table(vec![slow]).made_ready();
    f.call(1, "/look/a", &[]);
    let sent = f.take_sent();
    f.shut_down();
    f.advance(1_000);
    assert!(!f.answers.contains_key(&1), "the call was given up without another attempt");
    f.answer(&sent, 200, &[], "ok");
    assert_eq!(f.answers[&1].status, 200);
}

#[test]
fn idle_connections_are_closed_once_after_the_notice() {
    let mut f = Fixture::ready();
    f.model_call(1, "/draft/a", "300,10");
    f.answer_prefill();
    f.shut_down();
    f.advance(2_500);
    assert_eq!(f.idle_closes, 0);
    f.advance(1_000);
    assert_eq!(f.idle_closes, 1);
}

/// Fails if control is asked about a stream that can't go on here in time.
#[test]
fn resumption_that_can_not_end_is_refused_before_control_is_asked() {
    let mut f = Fixture::ready();
    f.shut_down();
    f.call(1, "/remind/a", &[("Model", "m"), ("Tokens", "300,10"), ("Last-Event-Id", "3")]);
    assert!(refused(&f, 1) && f.leader_requests.is_empty());
}

/// Fails if the time that a prefill has taken is counted once more when its run begins.
#[test]
fn prefilled_stream_runs_while_the_rest_of_it_can_end() {
    let mut f = ready_with_short_streams();
    f.model_call(2, "/draft/a", "300,10");
    f.answer_prefill();
    f.model_call(1, "/draft/a", "300,10");
    f.shut_down_late(REFUSE_MS - 1_050);
    let hold = f.take_sent();
    f.answer(&hold, 200, &[], "hold h1");
    let prefill = f.take_sent();
    f.advance(400);
    f.answer(&prefill, 200, &[], "export e1");
    assert_eq!(f.take_sent().field("Hold"), Some("h1"), "expected its run");
}

/// Answers the last request to the leader, some milliseconds later.
fn reply_late(f: &mut Fixture, millis: u64, reply: ControlReply) {
    let asks = |r: &ControlRequest| {
        matches!(r, ControlRequest::AssignRoom(_) | ControlRequest::AssignPrompt(_))
    };
    let (exchange, _) = f.leader_requests.iter().rfind(|(_, r)| asks(r)).unwrap();
    let exchange = *exchange;
    let envelope = Envelope { revised: Default::default(), body: Reply::Control(reply) };
    f.stall(millis);
    f.step(Input::Reply { exchange, envelope });
}

/// Returns a stopping gateway that has asked the leader for capacity for a stream that can just end.
fn ask_leader_at_the_last_moment() -> Fixture {
    let mut f = ready_with_short_streams();
    f.leader = Some("127.0.0.1:9001".parse().unwrap());
    f.model_call(2, "/draft/a", "300,10");
    f.answer_prefill();
    f.advance(600);
    f.model_call(1, "/draft/a", "300,10");
    f.shut_down_late(REFUSE_MS - 1_010);
    assert!(!f.has_sent() && !f.answers.contains_key(&1), "expected a request to the leader");
    f
}

/// Fails if a reservation is requested after the leader's answer for a stream that can't end.
#[test]
fn capacity_that_is_assigned_too_late_is_not_used() {
    let mut f = ask_leader_at_the_last_moment();
    reply_late(&mut f, 15, ControlReply::RoomAssigned { endpoint: Some("d1".into()), ahead: 0 });
    assert!(refused(&f, 1) && !f.has_sent());
}

/// Fails if a prefill begins after the leader's answer for a stream that can't end.
#[test]
fn prefill_that_is_assigned_too_late_does_not_begin() {
    let mut f = ask_leader_at_the_last_moment();
    reply_late(&mut f, 1, ControlReply::RoomAssigned { endpoint: Some("d1".into()), ahead: 0 });
    let hold = f.take_sent();
    f.answer(&hold, 200, &[], "hold h7");
    reply_late(&mut f, 15, ControlReply::PromptAssigned { endpoint: Some("f1".into()), ahead: 0 });
    assert!(refused(&f, 1));
    assert_eq!(&*f.take_sent().head.target, "/hold/h7");
    assert!(!f.has_sent());
}
