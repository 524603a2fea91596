//! A name that an endpoint hands out and that is no token changes the requests that carry it.

#[path = "gateway_fixture/mod.rs"]
mod gateway_fixture;

use dotterelpin::gateway::protocol::CallProtocol;
use gateway_fixture::{Fixture, Sent, protocol};

/// Names with which a request can't carry what it is meant to.
const MALFORMED: [&str; 9] =
    ["e1\r\n\r\n", "e1\n", "e1\r\nHold: h2", "e1 e2", "a/b", "e\0", "", "\u{e9}", "e1, e2"];

/// Returns the reservation request of a call.
fn hold_of(f: &mut Fixture, caller: u64) -> Sent {
    f.model_call(caller, "/draft/a", "3000,100");
    let hold = f.take_sent();
    assert_eq!(&*hold.head.target, "/hold");
    hold
}

// The fixture reads each request with the reader of endpoints, and fails if that finds no head.
#[test]
fn malformed_handle_ends_the_head_of_a_request() {
    for name in MALFORMED {
        let mut f = Fixture::ready();
        let hold = hold_of(&mut f, 1);
        f.answer(&hold, 200, &[], "hold h1");
        let prefill = f.take_sent();
        f.answer(&prefill, 200, &[], &format!("export {name}"));
        for sent in std::mem::take(&mut f.sent) {
            assert_eq!(sent.field("Source"), None, "{name:?} is handed on");
            assert!(!sent.head.target.starts_with("/export/"), "{}", sent.head.target);
        }
        f.advance(15_000);
        assert_ne!(f.answers[&1].status, 0, "{name:?}");
    }
}

#[test]
fn malformed_reservation_ends_the_head_of_a_request() {
    for name in MALFORMED {
        let mut f = Fixture::ready();
        let hold = hold_of(&mut f, 1);
        f.answer(&hold, 200, &[], &format!("hold {name}"));
        for sent in std::mem::take(&mut f.sent) {
            assert_eq!(sent.field("Hold"), None, "{name:?} is handed on");
            assert!(sent.field("Stage").is_none(), "the call goes on with {name:?}");
        }
        f.advance(15_000);
        assert_ne!(f.answers[&1].status, 0, "{name:?}");
    }
}

// An answer that comes after its call has ended names nothing that can be released either.
#[test]
fn malformed_handle_of_a_call_that_has_ended_is_released() {
    for name in MALFORMED {
        let mut f = Fixture::ready();
        let hold = hold_of(&mut f, 1);
        f.advance(260);
        f.answer(&hold, 200, &[], &format!("hold {name}"));
        let dropped = f.sent.iter().any(|s| s.head.target.starts_with("/hold/"));
        assert!(!dropped, "{name:?}");
    }
}

#[test]
fn sound_names_are_refused() {
    let protocol = protocol(vec![]);
    for name in ["3fa09c41b7d5", "h-1_2.3~4", "A"] {
        assert!(protocol.read_hold(format!("hold {name}").as_bytes()).is_some(), "{name}");
        assert!(protocol.read_export(format!("export {name}").as_bytes()).is_some(), "{name}");
    }
    let long = "e".repeat(100_000);
    assert_eq!(protocol.read_hold(format!("hold {long}").as_bytes()), None);
    assert_eq!(protocol.read_export(format!("export {long}").as_bytes()), None);
}
