//! Prompt tokens that engines process without use are counted by cause.

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
