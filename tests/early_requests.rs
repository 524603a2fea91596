//! All processes of a site come back together, and callers return before the gateways have their
//! routing tables: their requests are kept for the moment that this takes, and answered.

mod gateway_fixture;

use dotterelpin::h1::{CallerId, HttpInput};
use dotterelpin::model::EndpointKind;
use dotterelpin::role::Input;
use gateway_fixture::{Fixture, PLAIN, endpoint, table};

fn started() -> Fixture {
    let mut table = table();
    table.routes[..2].iter_mut().for_each(|route| route.timeout_ms = 2_500.0);
    let mut f = Fixture::without_table(vec![table]);
    f.advance(300);
    f
}

fn give_table(f: &mut Fixture) {
    f.publish(0, 1);
    f.announce(endpoint("p1", EndpointKind::Service, PLAIN));
    f.advance(600);
    assert!(f.is_ready());
}

#[test]
fn requests_of_the_first_second_are_sent_in_order_once_there_is_a_table() {
    let mut f = started();
    f.call(1, "/look/a", &[]);
    f.call(2, "/pay/b", &[]);
    f.call(3, "/nowhere/a", &[]);
    assert!(f.answers.is_empty(), "{:?}", f.answers);
    give_table(&mut f);
    for target in ["/look/a", "/pay/b"] {
        let sent = f.take_sent();
        assert_eq!(&*sent.head.target, target);
        f.answer(&sent, 200, &[], "done");
    }
    assert_eq!((f.answers[&1].status, f.answers[&2].status, f.answers[&3].status), (200, 200, 404));
    assert!(!f.has_sent(), "expected each request to be sent once");
}

/// Fails if a caller's time begins again when its request is routed.
#[test]
fn time_in_which_a_request_was_kept_counts() {
    let mut f = started();
    f.call(1, "/pay/a", &[("Patience-Ms", "2000")]);
    f.call(2, "/pay/b", &[("Patience-Ms", "100")]);
    give_table(&mut f);
    let sent = f.take_sent();
    let left: u64 = sent.field("Patience-Ms").unwrap().parse().unwrap();
    assert!((1_000..2_000).contains(&left), "expected the rest of 2,000 ms, found {left}");
    assert!(!f.has_sent(), "the time of the second caller is over");
    assert_eq!(f.answers[&2].status, 503, "expected a refusal: it has not run");
}

#[test]
fn requests_are_refused_when_the_wait_is_over_and_at_once_after_that() {
    let mut f = started();
    f.call(1, "/look/a", &[]);
    f.advance(710);
    f.call(2, "/look/a", &[]);
    assert_eq!(f.answers[&2].status, 503, "expected no wait a second after the start");
    f.advance(900);
    assert!(!f.answers.contains_key(&1));
    f.advance(100);
    assert_eq!(f.answers[&1].status, 503);
    assert!(f.answers[&1].fields.has("Retry-After"));
}

#[test]
fn request_of_a_caller_that_has_left_is_not_sent() {
    let mut f = started();
    f.call(1, "/look/a", &[]);
    f.step(Input::Local(HttpInput::CallerGone { caller: CallerId(1) }));
    give_table(&mut f);
    assert!(!f.answers.contains_key(&1) && !f.has_sent());
}

#[test]
fn kept_requests_are_bounded_and_refused_by_a_shutdown() {
    let mut f = started();
    (1..=300).for_each(|caller| f.call(caller, "/look/a", &[]));
    assert_eq!(f.answers.len(), 300 - 256, "expected the requests beyond the bound to be refused");
    f.shut_down();
    assert_eq!(f.answers.len(), 300);
    assert!(f.answers.values().all(|a| a.status == 503));
}
