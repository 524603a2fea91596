//! A call may end before the answer to its prefill names the handle of the KV cache, or before the
//! answer to its reservation request names the reservation. The endpoint keeps no memory for it all
//! the same.

mod gateway_fixture;

use std::time::Duration;

use dotterelpin::h1::{CallerId, HttpInput};
use dotterelpin::role::Input;
use gateway_fixture::{Fixture, Sent, table};

/// How long an endpoint keeps an export, in the usual table.
const RETENTION_MS: u64 = 500;
/// How long a prefill takes.
const PREFILL_MS: u64 = 20;
/// How long an endpoint keeps a reservation.
const HOLD_MS: u64 = 2_000;
/// How soon an endpoint must not work any more for a caller that has left.
const GONE_MS: u64 = 500;

/// Starts a model call and returns its prefill, which the endpoint has read some time ago.
fn start_prefill(f: &mut Fixture, caller: u64, patience: &str) -> Sent {
    let extra = [("Model", "m"), ("Tokens", "3000,100"), ("Patience-Ms", patience)];
    f.call(caller, "/draft/a", &extra);
    let hold = f.take_sent();
    f.answer(&hold, 200, &[], "hold h1");
    let prefill = f.take_sent();
    assert_eq!(prefill.field("Stage"), Some("prefill"));
    f.advance(PREFILL_MS);
    prefill
}

fn leave(f: &mut Fixture, caller: u64) {
    f.step(Input::Local(HttpInput::CallerGone { caller: CallerId(caller) }));
}

/// Returns the targets of the requests that free something, with their addresses.
fn freed(f: &mut Fixture) -> Vec<(String, String)> {
    let sent = std::mem::take(&mut f.sent);
    let freed = sent.iter().filter(|s| &*s.head.method == "DELETE");
    freed.map(|s| (s.address.to_string(), s.head.target.to_string())).collect()
}

/// Expects that the late answer to a prefill makes the gateway free the export that it names.
fn expect_freed(f: &mut Fixture, prefill: &Sent) {
    f.answer(prefill, 200, &[], "export e1");
    let export = (prefill.address.to_string(), "/export/e1".to_string());
    let freed = freed(f);
    assert!(freed.contains(&export), "expected the export to be freed, found {freed:?}");
}

/// Returns whether a request for a report is open at the endpoint of a request, and its answer.
fn report(f: &Fixture, at: &Sent) -> Option<Sent> {
    let report = |s: &&Sent| &*s.head.target == "/report" && s.address == at.address;
    f.sent.iter().rfind(report).cloned()
}

#[test]
fn export_of_a_prefill_that_timed_out_is_freed_when_its_answer_comes() {
    let mut f = Fixture::ready_without_budget();
    let prefill = start_prefill(&mut f, 1, "14000");
    f.advance(1_600);
    assert_eq!(f.answers.get(&1).map(|a| a.status), Some(503));
    expect_freed(&mut f, &prefill);
}

#[test]
fn export_of_a_caller_that_has_left_is_freed_when_its_answer_comes() {
    let mut f = Fixture::ready();
    let prefill = start_prefill(&mut f, 1, "14000");
    leave(&mut f, 1);
    f.advance(RETENTION_MS - 10);
    expect_freed(&mut f, &prefill);
}

#[test]
fn export_of_a_call_at_its_deadline_is_freed_when_its_answer_comes() {
    let mut f = Fixture::ready();
    let prefill = start_prefill(&mut f, 1, "300");
    f.advance(310);
    assert!(f.answers.contains_key(&1));
    expect_freed(&mut f, &prefill);
}

#[test]
fn export_is_freed_when_the_call_ends_within_the_answer_to_its_prefill() {
    let mut f = Fixture::ready();
    let prefill = start_prefill(&mut f, 1, "14000");
    f.head(&prefill, 200, &[]);
    f.data(&prefill, b"export ");
    leave(&mut f, 1);
    f.data(&prefill, b"e1");
    f.end(&prefill);
    let freed = freed(&mut f);
    assert!(freed.iter().any(|(_, target)| target == "/export/e1"), "{freed:?}");
}

#[test]
fn prefill_of_a_caller_that_has_left_is_cancelled_at_a_sound_endpoint() {
    let mut f = Fixture::ready();
    let prefill = start_prefill(&mut f, 1, "14000");
    leave(&mut f, 1);
    let report = report(&f, &prefill).expect("expected the endpoint to be asked for a report");
    f.answer(&report, 200, &[], "busy");
    f.advance(GONE_MS / 2);
    assert!(f.hung_up.contains(&prefill.peer), "expected the prefill to be cancelled");
}

#[test]
fn prefill_at_a_silent_endpoint_is_closed_once_an_export_would_have_expired() {
    let mut f = Fixture::ready();
    let prefill = start_prefill(&mut f, 1, "14000");
    leave(&mut f, 1);
    f.advance(RETENTION_MS - 10);
    assert!(!f.hung_up.contains(&prefill.peer));
    f.advance(20);
    assert!(f.hung_up.contains(&prefill.peer));
}

#[test]
fn late_answer_to_another_call_frees_nothing() {
    let mut f = Fixture::ready();
    let prefill = start_prefill(&mut f, 1, "14000");
    leave(&mut f, 1);
    f.answer(&prefill, 200, &[("Call-Id", "call-9")], "export e9");
    let freed = freed(&mut f);
    assert!(freed.iter().all(|(_, target)| !target.starts_with("/export")), "{freed:?}");
    expect_freed(&mut f, &prefill);
}

#[test]
fn stopping_gateway_frees_the_export_of_a_call_that_has_ended() {
    let mut all = table();
    let engines = all.services.iter_mut().filter_map(|s| s.engine.as_mut());
    engines.for_each(|e| e.retention = Duration::from_secs(60));
    let mut f = Fixture::without_table(vec![all]).made_ready();
    f.shut_down();
    let prefill = start_prefill(&mut f, 1, "1500");
    f.advance(4_000);
    assert!(!f.stopped, "expected the gateway to wait for the late answer");
    expect_freed(&mut f, &prefill);
    assert!(!f.stopped, "expected the gateway to wait until the export is freed");
    f.advance(1_500);
    assert!(f.stopped);
}

#[test]
fn gateway_does_not_wait_for_a_late_answer_beyond_its_grace_period() {
    let mut f = Fixture::ready();
    start_prefill(&mut f, 1, "14000");
    f.shut_down();
    f.advance(1_000);
    leave(&mut f, 1);
    f.now = f.now + Duration::from_secs(7);
    f.step(Input::Wake);
    assert!(f.stopped);
}

/// Starts a model call and returns its reservation request, which the endpoint has read some time
/// ago.
fn request_hold(f: &mut Fixture, caller: u64, patience: &str) -> Sent {
    let extra = [("Model", "m"), ("Tokens", "3000,100"), ("Patience-Ms", patience)];
    f.call(caller, "/draft/a", &extra);
    f.advance(PREFILL_MS);
    let hold = f.take_sent();
    assert_eq!(&*hold.head.target, "/hold");
    hold
}

/// Starts a stream that falls silent, and returns its run and the reservation request for its next
/// attempt.
fn request_spare(f: &mut Fixture) -> (Sent, Sent) {
    f.leader = Some("127.0.0.1:9001".parse().unwrap());
    f.advance(1_000);
    f.model_call(1, "/remind/a", "3000,100");
    f.advance(30);
    let run = f.answer_prefill();
    f.head(&run, 200, &[]);
    f.data(&run, b"id: 1\ndata: a\n\n");
    f.advance(1_850);
    let hold = f.take_sent();
    assert_eq!(&*hold.head.target, "/hold");
    (run, hold)
}

/// Expects that the late answer to a reservation request makes the gateway drop the reservation
/// that it names, once.
fn expect_dropped(f: &mut Fixture, hold: &Sent) {
    freed(f);
    f.answer(hold, 200, &[], "hold h9");
    let dropped = (hold.address.to_string(), "/hold/h9".to_string());
    assert_eq!(freed(f), [dropped], "expected the reservation to be dropped");
}

#[test]
fn reservation_of_a_caller_that_has_left_is_dropped_when_its_answer_comes() {
    let mut f = Fixture::ready();
    let hold = request_hold(&mut f, 1, "14000");
    leave(&mut f, 1);
    f.advance(HOLD_MS - 10);
    expect_dropped(&mut f, &hold);
}

#[test]
fn reservation_is_dropped_when_the_caller_leaves_within_the_answer_that_names_it() {
    let mut f = Fixture::ready();
    let hold = request_hold(&mut f, 1, "14000");
    f.head(&hold, 200, &[]);
    f.data(&hold, b"hold ");
    leave(&mut f, 1);
    freed(&mut f);
    f.data(&hold, b"h9");
    f.end(&hold);
    assert_eq!(freed(&mut f), [(hold.address.to_string(), "/hold/h9".to_string())]);
}

#[test]
fn reservation_of_a_call_at_its_deadline_is_dropped_when_its_answer_comes() {
    let mut f = Fixture::ready();
    let hold = request_hold(&mut f, 1, "200");
    f.advance(210);
    assert!(f.answers.contains_key(&1));
    expect_dropped(&mut f, &hold);
}

#[test]
fn reservation_whose_request_timed_out_is_dropped_when_its_answer_comes() {
    let mut f = Fixture::ready();
    let hold = request_hold(&mut f, 1, "14000");
    f.advance(300);
    let second = f.take_sent();
    assert_eq!(&*second.head.target, "/hold");
    expect_dropped(&mut f, &hold);
    f.answer(&second, 200, &[], "hold h2");
    assert_eq!(f.take_sent().field("Stage"), Some("prefill"));
}

#[test]
fn reservation_for_another_attempt_is_dropped_when_its_stream_ends_before_its_answer() {
    let mut f = Fixture::ready();
    f.answers_reports = true;
    let (run, hold) = request_spare(&mut f);
    f.data(&run, b"id: 2\ndata: b\n\n");
    f.end(&run);
    assert!(f.answers[&1].complete);
    expect_dropped(&mut f, &hold);
}

#[test]
fn reservation_for_another_attempt_is_dropped_when_its_caller_leaves_before_its_answer() {
    let mut f = Fixture::ready();
    f.answers_reports = true;
    let (_, hold) = request_spare(&mut f);
    leave(&mut f, 1);
    expect_dropped(&mut f, &hold);
}

#[test]
fn reservation_for_another_attempt_is_dropped_when_its_request_timed_out() {
    let mut f = Fixture::ready();
    f.answers_reports = true;
    let (run, hold) = request_spare(&mut f);
    f.advance(300);
    f.data(&run, b"id: 2\ndata: b\n\n");
    expect_dropped(&mut f, &hold);
    f.end(&run);
    assert!(f.answers[&1].complete);
}

#[test]
fn reservation_request_at_a_silent_endpoint_is_closed_once_a_reservation_would_have_expired() {
    let mut f = Fixture::ready();
    let hold = request_hold(&mut f, 1, "14000");
    leave(&mut f, 1);
    f.advance(HOLD_MS - 10);
    assert!(!f.hung_up.contains(&hold.peer));
    f.advance(20);
    assert!(f.hung_up.contains(&hold.peer));
}

#[test]
fn late_refusal_of_a_reservation_drops_nothing() {
    let mut f = Fixture::ready();
    let hold = request_hold(&mut f, 1, "14000");
    leave(&mut f, 1);
    f.answer(&hold, 503, &[], "");
    assert_eq!(freed(&mut f), []);
    assert!(!f.hung_up.contains(&hold.peer));
}

/// Returns a gateway with one decode endpoint.
fn with_one_decode() -> Fixture {
    let mut f = Fixture::ready();
    f.withdraw("d2");
    f.advance(1_000);
    f
}

#[test]
fn nothing_is_sent_to_an_endpoint_that_backs_off_when_it_grants_a_reservation_late() {
    let mut f = with_one_decode();
    let hold = request_hold(&mut f, 1, "14000");
    let other = request_hold(&mut f, 2, "14000");
    leave(&mut f, 1);
    f.answer(&other, 503, &[("Retry-After", "5")], "");
    f.answer(&hold, 200, &[], "hold h9");
    assert!(!f.has_sent());
}

#[test]
fn reservation_of_an_endpoint_that_falls_silent_after_another_answer_is_dropped() {
    let mut f = with_one_decode();
    let hold = request_hold(&mut f, 1, "14000");
    let other = request_hold(&mut f, 2, "14000");
    leave(&mut f, 1);
    f.answer(&other, 503, &[], "");
    f.advance(1_300);
    expect_dropped(&mut f, &hold);
}

#[test]
fn late_reservation_is_dropped_beyond_the_limit_that_its_endpoint_names() {
    let mut f = with_one_decode();
    let hold = request_hold(&mut f, 1, "14000");
    leave(&mut f, 1);
    f.answer(&hold, 200, &[("Limit", "0.1")], "hold h9");
    assert_eq!(&*f.take_sent().head.target, "/hold/h9");
}

#[test]
fn capacity_that_may_be_reserved_for_a_caller_that_has_left_is_given_to_nobody() {
    let mut f = with_one_decode();
    f.model_call(1, "/draft/a", "20000,100");
    f.advance(PREFILL_MS);
    let hold = f.take_sent();
    leave(&mut f, 1);
    f.model_call(2, "/draft/a", "20000,100");
    f.advance(PREFILL_MS);
    assert!(!f.has_sent(), "expected the call to wait for the capacity");
    f.answer(&hold, 503, &[], "");
    f.advance(100);
    assert_eq!(&*f.take_sent().head.target, "/hold");
}

#[test]
fn stopping_gateway_drops_the_reservation_of_a_call_that_has_ended() {
    let mut f = Fixture::ready();
    f.shut_down();
    f.advance(2_500);
    let hold = request_hold(&mut f, 1, "1500");
    leave(&mut f, 1);
    f.advance(1_000);
    assert!(!f.stopped, "expected the gateway to wait for the late answer");
    expect_dropped(&mut f, &hold);
    assert!(!f.stopped, "expected the gateway to wait until the reservation is dropped");
    f.advance(1_500);
    assert!(f.stopped);
}
