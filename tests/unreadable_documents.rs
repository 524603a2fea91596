//! A gateway that can't read a routing document serves by its table, claims no certainty, and asks for
//! the document again now and then.

mod gateway_fixture;

use dotterelpin::model::{BootId, Timestamp};
use dotterelpin::registry::{Follower, FollowerSettings};
use dotterelpin::routes::{RawTable, Repeat};
use gateway_fixture::{Fixture, PLAIN, route, table};

fn second_table(service: &str) -> RawTable {
    let mut table = table();
    table.version = 2;
    table.routes.push(route("/added/", service, Repeat::Idempotent, 2));
    table
}

/// A gateway that has received a second document that it can't read.
fn with_unreadable_document() -> Fixture {
    let tables = vec![table(), second_table("no-such-service"), second_table(PLAIN)];
    let mut f = Fixture::without_table(tables).made_ready();
    f.publish(1, 2);
    f.advance(3_000);
    f
}

/// The version of a document that couldn't be read counted as the one in force: the gateway answered
/// 404 for its routes, as if its older table were the newest.
#[test]
fn older_table_does_not_count_as_the_newest_after_an_unreadable_document() {
    let mut f = with_unreadable_document();
    f.call(1, "/added/a", &[]);
    assert_eq!(f.answers[&1].status, 503);
    f.call(2, "/look/a", &[]);
    assert_eq!(&*f.take_sent().head.target, "/look/a");
}

/// Each further copy of an unreadable document would add a line to the log.
#[test]
fn unreadable_document_is_new_once_for_each_version() {
    let mut follower = Follower::new(FollowerSettings {
        name: "gateway-1".into(),
        role: "gateway".into(),
        domain: "a".into(),
        boot: BootId(1),
        address: None,
        members: vec!["127.0.0.1:7000".parse().unwrap()],
        endpoints: true,
        routes: true,
    });
    let at = |second: u64| Timestamp::from_micros(second * 1_000_000);
    assert!(follower.document_refused(at(1), 2));
    assert!(!follower.document_refused(at(11), 2));
    assert!(follower.document_refused(at(12), 3));
}

/// A document that couldn't be read once was never asked for again.
#[test]
fn unreadable_document_is_asked_for_again_at_a_slow_pace() {
    let mut f = with_unreadable_document();
    let before = f.sent_documents;
    f.advance(60_000);
    let more = f.sent_documents - before;
    assert!((3..=6).contains(&more), "asked {more} times in 60 s");
    f.publish(2, 2);
    f.advance(11_000);
    f.call(1, "/added/a", &[]);
    assert_eq!(&*f.take_sent().head.target, "/added/a");
    let settled = f.sent_documents;
    f.advance(60_000);
    assert_eq!(f.sent_documents, settled, "a document that was read is not asked for again");
}
