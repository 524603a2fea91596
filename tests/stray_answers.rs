//! A second copy of an answer, late, on a connection that is in use again, is taken for the answer to
//! another request.

#[path = "gateway_fixture/mod.rs"]
mod gateway_fixture;

use std::collections::BTreeMap;

use dotterelpin::h1::{AnswerHead, HttpInput};
use dotterelpin::role::Input;
use gateway_fixture::{Fixture, Sent, fields};

/// Sends a complete answer without the id of a call, which says that nothing has run.
fn answer_nameless(f: &mut Fixture, sent: &Sent, status: u16, content: &str) {
    let head = AnswerHead { status, fields: fields(&[("Not-Run", "1")]) };
    f.step(Input::Local(HttpInput::Answer { peer: sent.peer, head }));
    f.data(sent, content.as_bytes());
    f.end(sent);
}

/// Grants the reservation of a call and answers its prefill; returns its run.
fn run_of(f: &mut Fixture, caller: u64) -> Sent {
    f.model_call(caller, "/draft/a", "3000,100");
    f.answer_prefill()
}

/// Answers a run with a complete stream.
fn stream(f: &mut Fixture, run: &Sent) {
    f.answer(run, 200, &[], "id: 1\ndata: a\n\n");
}

// A copy of the refusal of a reservation comes in front of the answer to a run, which is begun again.
#[test]
fn nameless_refusal_is_taken_for_a_calls() {
    for status in [408, 421, 429, 500, 503] {
        let mut f = Fixture::ready();
        let run = run_of(&mut f, 1);
        answer_nameless(&mut f, &run, status, "");
        assert!(!f.has_sent(), "{status}: the run was sent again while it may go on");
        assert!(!f.answers.contains_key(&1), "{status}: {:?}", f.answers[&1]);
        stream(&mut f, &run);
        assert_eq!(f.answers[&1].status, 200, "{status}");
        assert!(f.answers[&1].complete);
    }
}

// The same for a call to a plain service: nothing without its id ends it.
#[test]
fn nameless_answer_ends_a_plain_call() {
    for status in [200, 400, 404, 408, 421, 429, 500, 503] {
        for path in ["/pay/a", "/look/a"] {
            let mut f = Fixture::ready();
            f.call(1, path, &[]);
            let sent = f.take_sent();
            answer_nameless(&mut f, &sent, status, "not yours");
            assert!(!f.has_sent() && !f.answers.contains_key(&1), "{path} {status}");
            f.answer(&sent, 200, &[], "own");
            assert_eq!(f.answers[&1].content, b"own", "{path} {status}");
        }
    }
}

// A nameless answer that the connection ends with leaves open whether the call has run.
#[test]
fn nameless_refusal_before_the_end_promises_that_nothing_ran() {
    let mut f = Fixture::ready();
    f.call(1, "/pay/a", &[]);
    let sent = f.take_sent();
    answer_nameless(&mut f, &sent, 503, "");
    f.fail_connection(&sent, true);
    assert!(!f.has_sent());
    assert_eq!(f.answers[&1].status, 502);
}

// The answer right behind a stray one, read together with it, is given up.
#[test]
fn stray_answer_hides_the_one_behind_it() {
    let mut f = Fixture::ready();
    f.call(1, "/pay/a", &[]);
    let sent = f.take_sent();
    f.head(&sent, 200, &[("Call-Id", "call-0")]);
    f.data(&sent, b"another");
    f.step(Input::Local(HttpInput::End { peer: sent.peer, reusable: false }));
    f.answer(&sent, 200, &[], "own");
    assert_eq!(f.answers[&1].content, b"own");
}

// After bytes that belong to no request, nobody knows what else comes on a connection.
#[test]
fn connection_with_a_stray_answer_is_used_again() {
    let mut f = Fixture::ready();
    f.call(1, "/pay/a", &[]);
    let sent = f.take_sent();
    f.answer(&sent, 200, &[("Call-Id", "call-0")], "another");
    f.answer(&sent, 200, &[], "own");
    assert!(f.hung_up.contains(&sent.peer));
    let mut f = Fixture::ready();
    f.call(1, "/pay/a", &[]);
    let sent = f.take_sent();
    f.answer(&sent, 200, &[], "own");
    assert!(!f.hung_up.contains(&sent.peer), "a connection without one is kept");
}

// A copy of the answer to a call comes in front of the answer to a side request.
#[test]
fn answer_to_a_call_is_taken_for_a_reservation() {
    let mut f = Fixture::ready();
    let mut runs = BTreeMap::new();
    for caller in 1..=4 {
        let run = run_of(&mut f, caller);
        stream(&mut f, &run);
        runs.insert(run.peer, caller);
    }
    let mut copies = 0;
    for caller in 5..=12 {
        f.model_call(caller, "/draft/a", "3000,100");
        let hold = f.take_sent();
        if let Some(earlier) = runs.remove(&hold.peer) {
            copies += 1;
            f.answer(&hold, 200, &[("Call-Id", &format!("call-{earlier}"))], "hold h9");
            assert!(!f.has_sent(), "the reservation of another answer was used");
        }
        f.answer(&hold, 200, &[], "hold h1");
        let prefill = f.take_sent();
        f.answer(&prefill, 200, &[], "export e1");
        let run = f.take_sent();
        assert_eq!(run.field("Hold"), Some("h1"));
        stream(&mut f, &run);
    }
    assert!(copies > 0, "no reservation was asked for on the connection of an earlier call");
}

// An endpoint echoes the missing id of side requests as an empty field.
#[test]
fn empty_id_makes_the_answer_to_a_reservation_stray() {
    let mut f = Fixture::ready();
    f.model_call(1, "/draft/a", "3000,100");
    let hold = f.take_sent();
    f.answer(&hold, 200, &[("Call-Id", "")], "hold h1");
    let prefill = f.take_sent();
    assert!(prefill.field("Stage").is_some(), "the reservation was not taken");
}
