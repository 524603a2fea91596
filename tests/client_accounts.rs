//! The keys of client accounts: a request runs only with a key that the routing table holds, under the
//! name of its account, and the key does not leave the gateway.

mod gateway_fixture;

use dotterelpin::routes::accounts::RawAccount;
use dotterelpin::routes::{RawTable, Repeat, RouteTable, TableError};
use gateway_fixture::{Fixture, PLAIN, route, table};

fn account(name: &str, keys: &[&str]) -> RawAccount {
    let keys = keys.iter().map(|key| (*key).to_string()).collect();
    RawAccount { name: name.into(), keys, ..RawAccount::example() }
}

/// The usual table with two client accounts and a public route `/open/`.
fn first_table() -> RawTable {
    let mut table = table();
    table.routes.push(route("/open/", PLAIN, Repeat::Idempotent, 2));
    table.routes.last_mut().unwrap().public = true;
    table.accounts = vec![account("city", &["k1", "k2"]), account("vet", &["k3"])];
    table
}

/// The same without the key `k1`, and with the new key `k4`.
fn second_table() -> RawTable {
    let accounts = vec![account("city", &["k2", "k4"]), account("vet", &["k3"])];
    RawTable { version: 2, accounts, ..first_table() }
}

fn fixture() -> Fixture {
    Fixture::without_table(vec![first_table(), second_table()]).made_ready()
}

fn status(f: &mut Fixture, caller: u64, path: &str, fields: &[(&str, &str)]) -> u16 {
    f.call(caller, path, fields);
    f.answers.get(&caller).map_or(0, |answer| answer.status)
}

#[test]
fn request_without_a_known_key_gets_401_and_runs_nowhere() {
    let mut f = fixture();
    assert_eq!(status(&mut f, 1, "/look/a", &[]), 401);
    assert_eq!(status(&mut f, 2, "/look/a", &[("Key", "guess")]), 401);
    assert_eq!(status(&mut f, 3, "/look/a", &[("Key", "")]), 401);
    // Which of two keys counts would depend on who reads them.
    assert_eq!(status(&mut f, 4, "/look/a", &[("Key", "k1"), ("Key", "k3")]), 401);
    assert!(!f.has_sent(), "a request without a known key was sent to an endpoint");
}

/// Names the account that a caller asked for, or leaves the field of a caller on a route that needs no
/// key, and another account pays or is blamed.
#[test]
fn endpoints_get_the_name_of_the_account_and_never_the_key() {
    let mut f = fixture();
    let spoofed = ("Account", "vet");
    f.call(1, "/look/a", &[("Key", "k1"), spoofed]);
    let sent = f.take_sent();
    assert_eq!((sent.field("Account"), sent.field("Key")), (Some("city"), None));
    f.call(2, "/open/a", &[spoofed]);
    let sent = f.take_sent();
    assert_eq!((sent.field("Account"), sent.field("Key")), (None, None));
    f.call(3, "/open/a", &[spoofed, ("Key", "k2")]);
    let sent = f.take_sent();
    assert_eq!((sent.field("Account"), sent.field("Key")), (Some("city"), None));
}

#[test]
fn key_is_withdrawn_and_another_added_by_a_new_table() {
    let mut f = fixture();
    assert_eq!(status(&mut f, 1, "/look/a", &[("Key", "k4")]), 401);
    f.call(2, "/pay/a", &[("Key", "k1")]);
    let open = f.take_sent();
    f.publish(1, 2);
    f.advance(550);
    assert_eq!(status(&mut f, 3, "/look/a", &[("Key", "k1")]), 401);
    f.call(4, "/look/a", &[("Key", "k4")]);
    assert_eq!(f.take_sent().field("Account"), Some("city"));
    // A call that arrived before keeps its table.
    f.answer(&open, 200, &[], "paid");
    assert_eq!(f.answers[&2].status, 200);
}

/// A gateway that has lost control answered 401 for a key that was in force already.
#[test]
fn unknown_key_is_refused_as_not_run_once_the_table_may_be_out_of_date() {
    let mut f = fixture();
    f.control_silent = true;
    f.advance(120_000);
    assert_eq!(status(&mut f, 1, "/look/a", &[("Key", "k4")]), 503);
    f.call(2, "/look/a", &[("Key", "k1")]);
    assert_eq!(f.take_sent().field("Account"), Some("city"));
}

#[test]
fn table_with_a_key_of_two_accounts_is_refused() {
    let accounts = vec![account("city", &["k1"]), account("vet", &["k1"])];
    let refused = RouteTable::try_from(RawTable { accounts, ..RawTable::example() });
    assert_eq!(refused, Err(TableError::SharedKey { account: "vet".into() }));
    let twice = vec![account("city", &["k1", "k1"])];
    assert!(RouteTable::try_from(RawTable { accounts: twice, ..RawTable::example() }).is_ok());
}

/// A name with a line break would end the field and begin another one.
#[test]
fn table_with_a_name_that_cannot_stand_in_a_field_is_refused() {
    for name in ["", "a\r\nKey: x", " a"] {
        let accounts = vec![account("city", &["k1"]), account(name, &["k2"])];
        let refused = RouteTable::try_from(RawTable { accounts, ..RawTable::example() });
        assert_eq!(refused, Err(TableError::BadAccount { index: 1 }), "{name:?}");
    }
}
