//! The lines and metrics by which an operator tells that a process has lost control, since when, and
//! by which table a gateway refused a call for want of a route.

mod gateway_fixture;
mod recorded_lines;

use std::net::SocketAddr;

use dotterelpin::report::metrics::Metrics;
use gateway_fixture::{Fixture, member, table};
use recorded_lines::{line, lines, number, record, value};

/// The longest time between the loss of a majority and its line, in milliseconds.
const MAX_LOSS_MS: u64 = 3_000;

/// A second member of control, which never answers.
fn silent_member() -> SocketAddr {
    ([10, 9, 9, 9], 7000).into()
}

/// Takes the majority from a gateway, as control gets a second voter that is silent.
fn lose_majority(f: &mut Fixture) {
    f.more_members = vec![silent_member()];
}

fn metric(f: &Fixture, name: &str) -> f64 {
    let metrics = Metrics::new().unwrap();
    f.observed.iter().for_each(|o| metrics.observe(o.clone()));
    let text = metrics.text().unwrap();
    let start = format!("dotterelpin_{name} ");
    let found = text.lines().find_map(|l| l.strip_prefix(&start));
    found.unwrap_or_else(|| panic!("no metric {name}")).parse().unwrap()
}

#[test]
fn loss_of_control_and_its_end_are_one_line_each() {
    record();
    let mut f = Fixture::ready();
    assert_eq!(lines("control-lost").len(), 0);
    lose_majority(&mut f);
    f.advance(10_000);
    let lost = line("control-lost");
    assert!(number(&lost, "unproven_ms") <= MAX_LOSS_MS, "{lost}");
    assert_eq!(value(&lost, "proven"), "true");
    assert_eq!(value(&lost, "asked"), format!("{},{}", member(), silent_member()));
    assert_eq!((number(&lost, "version"), number(&lost, "epoch")), (1, 1));
    assert!(value(&lost, "revised").starts_with('0'), "{lost}");
    assert_eq!(lines("control-found").len(), 0);
    f.more_members.clear();
    f.advance(10_000);
    let found = line("control-found");
    assert!((9_000..=11_500).contains(&number(&found, "unproven_ms")), "{found}");
    assert_eq!(value(&found, "members"), member().to_string());
    assert_eq!(number(&found, "epoch"), 1);
    assert_eq!(lines("control-lost").len(), 1, "expected no line for each heartbeat");
}

#[test]
fn process_that_has_never_heard_control_says_so() {
    record();
    let mut f = Fixture::without_table(vec![table()]);
    lose_majority(&mut f);
    f.advance(5_000);
    assert_eq!(value(&line("control-lost"), "proven"), "false");
}

#[test]
fn change_of_the_members_that_are_asked_is_one_line_with_its_reason() {
    record();
    let mut f = Fixture::ready();
    lose_majority(&mut f);
    f.advance(2_000);
    let added = line("follow");
    assert!(added.contains("reason=voters epoch=1"), "{added}");
    assert_eq!(value(&added, "added"), silent_member().to_string());
    assert_eq!(value(&added, "dropped"), "-");
    f.more_members.clear();
    f.advance(2_000);
    let all = lines("follow");
    assert_eq!(all.len(), 2, "{all:?}");
    assert_eq!(value(&all[1], "added"), "-");
    assert_eq!(value(&all[1], "dropped"), silent_member().to_string());
}

#[test]
fn call_without_a_route_names_the_table_and_the_age_of_its_confirmation() {
    record();
    let mut f = Fixture::ready();
    f.call(1, "/no-such-route", &[]);
    let fresh = line("end");
    assert_eq!((number(&fresh, "status"), number(&fresh, "table")), (404, 1));
    assert!(number(&fresh, "confirmed_ms") <= 1_000, "{fresh}");
    lose_majority(&mut f);
    f.advance(2_500);
    f.call(2, "/no-such-route", &[]);
    let stale = lines("end").pop().unwrap();
    assert_eq!((number(&stale, "status"), number(&stale, "table")), (503, 1));
    assert!((2_000..=4_000).contains(&number(&stale, "confirmed_ms")), "{stale}");
}

#[test]
fn losses_and_the_age_of_the_last_proof_are_in_the_metrics() {
    let mut f = Fixture::ready();
    assert_eq!(metric(&f, "control_losses_total"), 0.0);
    assert!(metric(&f, "control_proof_age_seconds") < 1.0);
    lose_majority(&mut f);
    f.advance(10_000);
    assert_eq!(metric(&f, "control_losses_total"), 1.0);
    let age = metric(&f, "control_proof_age_seconds");
    assert!((9.0..11.0).contains(&age), "{age}");
    f.more_members.clear();
    f.advance(2_000);
    assert!(metric(&f, "control_proof_age_seconds") < 1.0);
    lose_majority(&mut f);
    f.advance(10_000);
    assert_eq!(metric(&f, "control_losses_total"), 2.0);
}
