//! A gateway that can't confirm that its routing table is the newest refuses nothing with certainty
//! that a newer table could allow, and still serves what its table allows.

mod gateway_fixture;

use dotterelpin::routes::{RawTable, Repeat};
use gateway_fixture::{Fixture, PLAIN, route, table};

/// The time, in milliseconds, after which an acknowledged table is in force for new requests.
const APPLY_MS: u64 = 2_000;

fn second_table() -> RawTable {
    let mut table = table();
    table.version = 2;
    table.routes.push(route("/added/", PLAIN, Repeat::Idempotent, 2));
    table
}

fn status(f: &mut Fixture, caller: u64, path: &str) -> u16 {
    f.call(caller, path, &[]);
    f.answers[&caller].status
}

/// A gateway that had lost control answered 404 for minutes for a route that was added since.
#[test]
fn unknown_route_is_refused_as_not_run_once_the_table_may_be_out_of_date() {
    let mut f = Fixture::without_table(vec![table(), second_table()]).made_ready();
    assert_eq!(status(&mut f, 1, "/added/a"), 404);
    f.control_silent = true;
    f.publish(1, 2);
    f.advance(120_000);
    assert_eq!(status(&mut f, 2, "/added/a"), 503);
    let retry_after = f.answers[&2].fields.text("Retry-After").unwrap().parse::<f64>().unwrap();
    assert!(retry_after <= 1.0, "{retry_after}");
}

/// The confirmation of a table lasted 3 s, longer than a change may take: a gateway that had just lost
/// control answered 404 for a route that was to be in force already.
#[test]
fn confirmation_of_a_table_lasts_no_longer_than_a_change_may_take() {
    let mut f = Fixture::without_table(vec![table(), second_table()]).made_ready();
    // The last confirmation is of the moment at which control goes silent, or before.
    f.control_silent = true;
    f.publish(1, 2);
    f.advance(APPLY_MS);
    assert_eq!(status(&mut f, 1, "/added/a"), 503);
}

#[test]
fn known_route_is_served_while_control_is_out_of_reach() {
    let mut f = Fixture::ready();
    f.control_silent = true;
    f.advance(120_000);
    assert!(f.is_ready());
    f.call(1, "/look/a", &[]);
    let sent = f.take_sent();
    f.answer(&sent, 200, &[], "found");
    assert_eq!(f.answers[&1].status, 200);
}

#[test]
fn refusals_are_certain_again_once_the_table_is_confirmed_again() {
    let mut f = Fixture::without_table(vec![table(), second_table()]).made_ready();
    f.control_silent = true;
    f.advance(60_000);
    f.publish(1, 2);
    f.control_silent = false;
    f.advance(1_000);
    f.call(1, "/added/a", &[]);
    assert_eq!(&*f.take_sent().head.target, "/added/a");
    assert_eq!(status(&mut f, 2, "/nowhere/a"), 404);
}

/// One heartbeat without a reply is no reason for doubt: 404 tells the caller not to retry.
#[test]
fn one_lost_heartbeat_leaves_refusals_certain() {
    let mut f = Fixture::ready();
    f.control_silent = true;
    f.advance(900);
    assert_eq!(status(&mut f, 1, "/nowhere/a"), 404);
}

/// A newer table may allow larger requests, so that 413 and 431 by an older one are no certain
/// refusals, either.
#[test]
fn limits_are_confirmed_no_longer_than_the_table() {
    let mut f = Fixture::ready();
    f.control_silent = true;
    f.advance(APPLY_MS);
    let until = f.limits_confirmed.expect("the gateway says until when its limits are confirmed");
    assert!(until <= f.now, "expected no confirmation that outlasts the table's: {until:?}");
}
