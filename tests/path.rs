//! The whole path with real processes: a summary, a tap and a change.

mod common;

use common::Fleet;

#[test]
fn summary_runs_through_prefill_transfer_and_decode() {
    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry("brno-a").unwrap();
    fleet.engine("prefill", "brno-a", &[]).unwrap();
    fleet.engine("decode", "brno-b", &[]).unwrap();
    fleet.wait_ready().unwrap();
    let streamed = fleet.stream(0, "Lesson plan: rivers of Moravia.", 25).unwrap();
    assert!(streamed.done, "{streamed:?}");
    assert_eq!(streamed.text.split_whitespace().count(), 25);
}

#[test]
fn tap_with_one_key_runs_once() {
    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry("brno-a").unwrap();
    fleet.entry("brno-b").unwrap();
    let service = fleet.service("brno-a", &[]).unwrap();
    fleet.wait_ready().unwrap();
    let key = [("idempotency-key", "tap-1")];
    for entry in [0, 1, 0] {
        let answer = fleet.call(entry, "POST", "/services/classroom/tap", &key, "pupil-7").unwrap();
        assert!(matches!(answer.status, 200 | 409), "{answer:?}");
    }
    assert_eq!(fleet.endpoints[service].counts().unwrap()["pupil-7"], 1);
}
