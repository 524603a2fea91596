//! Prompt tokens that engines process without use are counted by cause, and those are not processed
//! that can be of no use.

mod gateway_fixture;

use dotterelpin::h1::{CallerId, HttpInput};
use dotterelpin::report::observation::{Observation, WasteCause};
use dotterelpin::role::Input;
use gateway_fixture::{Fixture, Sent};

/// The header field in which an endpoint says that it leaves.
const LEAVES: (&str, &str) = ("Leaving", "1");

/// Returns what was counted since the last call.
fn wasted(f: &mut Fixture) -> Vec<(WasteCause, u32)> {
    let observed = std::mem::take(&mut f.observed);
    let wasted = observed.into_iter().filter_map(|o| match o {
        Observation::PromptWasted { cause, tokens } => Some((cause, tokens)),
        _ => None,
    });
    wasted.collect()
}

fn ready() -> Fixture {
    let mut f = Fixture::ready();
    f.answers_reports = true;
    f
}

/// Starts a call with a prompt of 3,000 tokens and returns its prefill, which takes some time.
fn prefill(f: &mut Fixture, path: &str) -> Sent {
    f.model_call(1, path, "3000,100");
    let hold = f.take_sent();
    f.answer(&hold, 200, &[], "hold h1");
    let prefill = f.take_sent();
    f.advance(100);
    prefill
}

fn run(f: &mut Fixture, path: &str) -> Sent {
    let prefill = prefill(f, path);
    f.answer(&prefill, 200, &[], "export e1");
    f.take_sent()
}

fn leave(f: &mut Fixture) {
    f.step(Input::Local(HttpInput::CallerGone { caller: CallerId(1) }));
}

// Guards against counts for calls that are answered.
#[test]
fn answered_call_wastes_nothing() {
    let mut f = ready();
    let run = run(&mut f, "/remind/a");
    f.answer(&run, 200, &[], "id: 1\ndata: a\n\n");
    assert!(f.answers[&1].complete);
    assert_eq!(wasted(&mut f), []);
}

#[test]
fn prompts_of_callers_that_have_left_are_counted() {
    let mut f = ready();
    prefill(&mut f, "/draft/a");
    leave(&mut f);
    assert_eq!(wasted(&mut f), [(WasteCause::CallerGone, 3_000)]);
    let mut f = ready();
    let run = run(&mut f, "/draft/a");
    f.head(&run, 200, &[]);
    f.data(&run, b"id: 1\ndata: a\n\n");
    leave(&mut f);
    assert_eq!(wasted(&mut f), [(WasteCause::CallerGone, 3_000)]);
}

// Guards against counts for prefills that were cancelled before they ran.
#[test]
fn prefill_that_is_cancelled_at_once_is_not_counted() {
    let mut f = ready();
    f.model_call(1, "/draft/a", "3000,100");
    let hold = f.take_sent();
    f.answer(&hold, 200, &[], "hold h1");
    let prefill = f.take_sent();
    leave(&mut f);
    assert!(f.hung_up.contains(&prefill.peer));
    assert_eq!(wasted(&mut f), []);
}

#[test]
fn prompt_of_a_run_that_crashes_is_counted() {
    let mut f = ready();
    let run = run(&mut f, "/draft/a");
    f.fail_connection(&run, true);
    assert_eq!(f.answers[&1].status, 502);
    assert_eq!(wasted(&mut f), [(WasteCause::Crash, 3_000)]);
}

#[test]
fn prompt_of_a_stream_that_goes_on_elsewhere_is_counted() {
    let mut f = ready();
    let run = run(&mut f, "/remind/a");
    f.head(&run, 200, &[LEAVES]);
    f.data(&run, b"id: 1\ndata: a\n\n");
    f.fail_connection(&run, true);
    let hold = f.take_sent();
    assert_ne!(hold.address, run.address);
    assert_eq!(wasted(&mut f), [(WasteCause::ResumedElsewhere, 3_000)]);
}

#[test]
fn prompt_of_an_export_that_nobody_takes_is_counted() {
    for (millis, cause) in [(10, WasteCause::NoDecodeCapacity), (600, WasteCause::ExpiredHandle)] {
        let mut f = ready();
        f.withdraw("d2");
        f.advance(600);
        let run = run(&mut f, "/draft/a");
        f.advance(millis);
        f.answer(&run, 503, &[("Not-Run", "1")], "");
        assert_eq!(wasted(&mut f), [(cause, 3_000)], "after {millis} ms");
    }
}

#[test]
fn prompt_of_a_call_at_its_deadline_is_counted() {
    let mut f = ready();
    let run = run(&mut f, "/draft/a");
    f.head(&run, 200, &[]);
    f.advance(14_000);
    assert_eq!(wasted(&mut f), [(WasteCause::Deadline, 3_000)]);
}

/// Completes streams that last so long, from their arrival.
fn complete_streams(f: &mut Fixture, path: &str, millis: u64) {
    for caller in 100..120 {
        f.model_call(caller, path, "300,10");
        let run = f.answer_prefill();
        f.head(&run, 200, &[]);
        for event in 0..millis / 500 {
            f.data(&run, format!("id: {event}\ndata: a\n\n").as_bytes());
            f.advance(500);
        }
        f.end(&run);
        assert!(f.answers[&caller].complete);
    }
}

/// Starts a stream with a caller timeout that breaks off after some time, with or without an event.
fn break_off(f: &mut Fixture, patience: &str, begun: bool, millis: u64) {
    let fields = [("Model", "m"), ("Tokens", "3000,100"), ("Patience-Ms", patience)];
    f.call(1, "/remind/a", &fields);
    let run = f.answer_prefill();
    if begun {
        f.head(&run, 200, &[LEAVES]);
        f.data(&run, b"id: 1\ndata: a\n\n");
    }
    f.advance(millis);
    f.fail_connection(&run, true);
}

/// Returns whether a further attempt was begun, beside the release of an export.
fn is_retried(f: &Fixture) -> bool {
    f.sent.iter().any(|s| &*s.head.method == "POST")
}

// Guards against a retry whose answer can't be complete at the deadline: engines process the
// prompt again for nothing.
#[test]
fn call_that_can_not_end_in_time_is_not_retried() {
    for begun in [false, true] {
        let mut f = ready();
        complete_streams(&mut f, "/remind/a", 2_000);
        break_off(&mut f, "2500", begun, 1_000);
        // A begun stream has a second of its two left, one that has not begun has all of them.
        assert_eq!(is_retried(&f), begun);
        if !begun {
            assert_eq!(f.answers[&1].status, 502);
        }
    }
}

// Guards against giving up a stream that can end in time.
#[test]
fn call_that_can_end_in_time_is_retried() {
    let mut f = ready();
    complete_streams(&mut f, "/remind/a", 2_000);
    break_off(&mut f, "5000", false, 1_000);
    assert!(is_retried(&f));
}

// Guards against a retry of a begun stream of which too much is missing.
#[test]
fn stream_that_broke_off_early_is_not_retried_late() {
    let mut f = ready();
    complete_streams(&mut f, "/remind/a", 4_000);
    break_off(&mut f, "3000", true, 500);
    assert!(!is_retried(&f));
    assert!(f.answers[&1].aborted);
}

/// Completes a call whose prefill of 3,000 tokens takes 300 ms: the gateway has seen no faster one.
fn learn_pace(f: &mut Fixture) {
    f.model_call(90, "/draft/a", "3000,100");
    let hold = f.take_sent();
    f.answer(&hold, 200, &[], "hold h1");
    let prefill = f.take_sent();
    f.advance(300);
    f.answer(&prefill, 200, &[], "export e1");
    let run = f.take_sent();
    f.answer(&run, 200, &[], "id: 1\ndata: a\n\n");
    assert!(f.answers[&90].complete);
}

// Guards against a prefill that goes on after its caller has left, although its answer can't be on
// its way.
#[test]
fn prefill_that_can_not_have_ended_is_cancelled_when_its_caller_leaves() {
    let mut f = ready();
    learn_pace(&mut f);
    let prefill = prefill(&mut f, "/draft/a");
    leave(&mut f);
    assert!(f.hung_up.contains(&prefill.peer));
    assert_eq!(wasted(&mut f), []);
}

// Guards against exports that stay behind: the answer may be on its way.
#[test]
fn prefill_that_may_have_ended_is_kept_until_its_answer() {
    let mut f = ready();
    learn_pace(&mut f);
    let prefill = prefill(&mut f, "/draft/a");
    f.advance(60);
    leave(&mut f);
    assert!(!f.hung_up.contains(&prefill.peer));
    f.answer(&prefill, 200, &[], "export e1");
    let freed = f.sent.iter().any(|s| &*s.head.target == "/export/e1");
    assert!(freed, "expected the export to be freed");
}

// Guards against a prefill that can't end before the call's deadline.
#[test]
fn prefill_that_can_not_end_in_time_is_not_begun() {
    for (patience, begun) in [("290", false), ("400", true)] {
        let mut f = ready();
        learn_pace(&mut f);
        let fields = [("Model", "m"), ("Tokens", "3000,100"), ("Patience-Ms", patience)];
        f.call(1, "/draft/a", &fields);
        let hold = f.take_sent();
        f.answer(&hold, 200, &[], "hold h2");
        let next = f.take_sent();
        assert_eq!(next.field("Stage").is_some(), begun, "{patience} ms");
        if !begun {
            assert_eq!(&*next.head.target, "/hold/h2", "expected the reservation to be dropped");
            assert_eq!(f.answers[&1].status, 503);
        }
    }
}

// Guards against a run that slows down all others at its decode endpoint and can't end in time.
#[test]
fn decode_endpoint_does_not_process_a_prompt_that_can_not_end_in_time() {
    for (patience, begun) in [("550", false), ("700", true)] {
        let mut f = ready();
        learn_pace(&mut f);
        f.withdraw("f1");
        f.withdraw("f2");
        f.advance(600);
        let fields = [("Model", "m"), ("Tokens", "3000,100"), ("Patience-Ms", patience)];
        f.call(1, "/draft/a", &fields);
        let hold = f.take_sent();
        f.answer(&hold, 200, &[], "hold h2");
        let next = f.take_sent();
        assert_eq!(next.field("Hold"), begun.then_some("h2"), "{patience} ms");
        if !begun {
            assert_eq!(&*next.head.target, "/hold/h2", "expected the reservation to be dropped");
            assert_eq!(f.answers[&1].status, 503);
        }
    }
}
