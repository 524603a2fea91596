//! Calls with an idempotency key run once each while any one control member is frozen by a signal:
//! its connections stay open but it sends no reply, as if it were cut off silently.

mod common;

use std::time::Duration;

use common::{Fleet, wait_for};

const TAPS: usize = 6;
/// How long a call is repeated: longer than an election and the time-outs of a claim together.
const TAP_TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn taps_run_once_while_a_member_is_frozen() {
    let mut fleet = Fleet::new(3).unwrap();
    fleet.entry("brno-a").unwrap();
    fleet.entry("brno-b").unwrap();
    let service = fleet.service("brno-a", &[]).unwrap();
    fleet.wait_ready().unwrap();
    for member in 0..fleet.controls.len() {
        fleet.controls[member].signal("-STOP").unwrap();
        for tap in 0..TAPS {
            send_tap(&fleet, &format!("tap-{member}-{tap}"), tap);
        }
        fleet.controls[member].signal("-CONT").unwrap();
    }
    let counts = fleet.endpoints[service].counts().unwrap();
    let counts = counts.as_object().unwrap();
    assert_eq!(counts.len(), TAPS * fleet.controls.len());
    assert!(counts.values().all(|count| *count == 1), "not each call ran once: {counts:?}");
}

/// Sends a call with the same key to both entries in turn until one of them answers 200.
fn send_tap(fleet: &Fleet, key: &str, first: usize) {
    let headers = [("idempotency-key", key)];
    let mut entry = first % 2;
    let answer = wait_for(TAP_TIMEOUT, || {
        entry = 1 - entry;
        let answer = fleet.call(entry, "POST", "/services/classroom/tap", &headers, key)?;
        eyre::ensure!(answer.status == 200, "{key}: {answer:?}");
        Ok(answer)
    });
    assert_eq!(answer.unwrap().body, r#"{"run":1}"#, "{key}");
}
