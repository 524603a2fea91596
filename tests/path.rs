//! The full path of a call through real processes: a summary, a tap, the metrics, and logs without
//! prompts.

mod common;

use std::time::Duration;

use common::Fleet;

#[test]
fn summary_runs_through_prefill_transfer_and_decode() {
    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry("brno-a").unwrap();
    fleet.engine("prefill", "brno-a", &[]).unwrap();
    fleet.engine("decode", "brno-b", &[]).unwrap();
    fleet.wait_ready().unwrap();
    let streamed = fleet.stream(0, "Lesson plan: rivers of Moravia.", 25).unwrap();
    assert!(streamed.done, "the stream ended without [DONE]: {streamed:?}");
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
        assert!(matches!(answer.status, 200 | 409), "expected 200 or 409: {answer:?}");
    }
    assert_eq!(fleet.endpoints[service].counts().unwrap()["pupil-7"], 1);
}

#[test]
fn metrics_count_calls_by_tenant_and_class_and_the_log_has_no_prompt() {
    let mut fleet = Fleet::new(1).unwrap();
    fleet.entry("brno-a").unwrap();
    fleet.engine("prefill", "brno-a", &[]).unwrap();
    let decode = fleet.engine("decode", "brno-b", &[]).unwrap();
    fleet.wait_ready().unwrap();
    assert!(fleet.stream(0, "Lesson plan: rivers.", 20).unwrap().done);
    let missing = fleet.call(0, "GET", "/services/kitchen/x", &[], "").unwrap();
    assert_eq!(missing.status, 503);
    let page = |address| {
        let url = format!("http://{address}/metrics");
        ureq::get(url).call().unwrap().body_mut().read_to_string().unwrap()
    };
    let text = page(fleet.entries[0].pages);
    let expected = [
        "dotterelpin_calls_total{class=\"batch\",end=\"answered\",tenant=\"tabulka\"} 1",
        "dotterelpin_first_token_seconds_count{class=\"batch\",tenant=\"tabulka\"} 1",
        "dotterelpin_token_seconds_count{class=\"batch\",tenant=\"tabulka\"} 1",
        "dotterelpin_queue_seconds_count{class=\"batch\",tenant=\"tabulka\"} 1",
        "dotterelpin_call_seconds_count{class=\"batch\",tenant=\"tabulka\"} 1",
        "dotterelpin_prefills_total 1",
        "dotterelpin_wasted_prefills_total 0",
        "dotterelpin_refusals_total{reason=\"no-endpoint\"}",
        "dotterelpin_config_revision{role=\"entry\"} 0",
    ];
    for line in expected {
        assert!(text.contains(line), "{line} is missing in the metrics:\n{text}");
    }
    let text = page(fleet.endpoints[decode].pages);
    assert!(text.contains("dotterelpin_exchange_seconds_count{kind=\"reserve\"} 1"), "{text}");
    // All log lines have been written once the process has exited.
    fleet.entries[0].process.signal("-TERM").unwrap();
    assert_eq!(fleet.entries[0].process.exit_within(Duration::from_secs(30)), Some(0));
    assert!(!fleet.entries[0].process.log().contains("rivers"), "the log contains a prompt");
}
