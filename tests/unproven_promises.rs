//! An endpoint that has run a call answers with a status that promises that it has not.

#[path = "gateway_fixture/mod.rs"]
mod gateway_fixture;

use gateway_fixture::Fixture;

/// Statuses that promise a caller that its call has not run and will not.
const PROMISES: [u16; 4] = [408, 421, 429, 503];

// Only an endpoint that says so has not run a call that may run once.
#[test]
fn unproven_promise_is_passed_on() {
    for status in [408, 429, 503] {
        let mut f = Fixture::ready();
        f.call(1, "/pay/a", &[]);
        let sent = f.take_sent();
        f.answer(&sent, status, &[], "ran and failed");
        assert!(!f.has_sent(), "{status}: it was sent again");
        let answered = f.answers[&1].status;
        assert!(!PROMISES.contains(&answered), "{status}: answered {answered}");
        assert!(!f.answers[&1].fields.has("Signature"));
    }
}

// The same for a stream that may not be resumed.
#[test]
fn unproven_promise_about_a_stream_is_passed_on() {
    for status in [408, 429, 503] {
        let mut f = Fixture::ready();
        f.model_call(1, "/draft/a", "3000,100");
        let run = f.answer_prefill();
        f.answer(&run, status, &[], "ran and failed");
        let again = f.sent.iter().any(|s| s.field("Call-Id").is_some());
        assert!(!again, "{status}: it was sent again");
        let answered = f.answers[&1].status;
        assert!(!PROMISES.contains(&answered), "{status}: answered {answered}");
    }
}

// A look-up may run elsewhere; what its last endpoint answers is no promise either.
#[test]
fn unproven_promise_ends_a_call_that_may_be_repeated() {
    for status in [408, 429, 503] {
        let mut f = Fixture::ready();
        for caller in 0..10 {
            f.call(caller, "/look/a", &[]);
            let sent = f.take_sent();
            f.answer(&sent, 200, &[], "ok");
        }
        f.call(11, "/look/a", &[]);
        let first = f.take_sent();
        f.answer(&first, status, &[], "busy");
        let second = f.take_sent();
        assert_ne!(first.address, second.address);
        f.answer(&second, status, &[], "busy");
        let answered = f.answers[&11].status;
        assert!(!PROMISES.contains(&answered), "{status}: answered {answered}");
    }
}
