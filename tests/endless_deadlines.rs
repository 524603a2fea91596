//! A number from outside that is too large for the gateway's arithmetic ends its process, or is
//! taken for a small one.

#[path = "gateway_fixture/mod.rs"]
mod gateway_fixture;

use std::time::Duration;

use dotterelpin::gateway::header_protocol::{EngineFormat, HeaderProtocol};
use dotterelpin::gateway::protocol::{CallProtocol, EngineReport, Export, SideRequest};
use dotterelpin::h1::AnswerHead;
use dotterelpin::model::{EndpointKind, Timestamp};
use dotterelpin::routes::{RawRoute, RawTable, Repeat};
use gateway_fixture::{Fixture, MODEL, PLAIN, endpoint, fields, protocol, request, route, table};

// A caller names a deadline whose percentages don't fit into a duration.
#[test]
fn endless_deadline_ends_the_process() {
    for millis in ["1000000000000000000000", "18000000000000000000000", "1e24", "1e300"] {
        let mut f = Fixture::ready();
        f.call(1, "/look/a", &[("Patience-Ms", millis)]);
        let sent = f.take_sent();
        f.answer(&sent, 200, &[], "whole");
        assert_eq!(f.answers[&1].status, 200, "{millis} ms");
        f.model_call(2, "/draft/a", "3000,100");
        assert!(f.has_sent(), "expected a later call to be served after {millis} ms");
    }
}

// A deadline that is no time at all is refused.
#[test]
fn malformed_deadline_counts_as_endless() {
    for millis in ["-1", "inf", "NaN", "-inf", ""] {
        let mut f = Fixture::ready();
        f.call(1, "/look/a", &[("Patience-Ms", millis)]);
        assert_eq!(f.answers[&1].status, 400, "{millis:?} ms");
    }
}

// Before there is a table, a request is kept until its deadline.
#[test]
fn endless_deadline_ends_a_process_without_a_table() {
    let mut f = Fixture::without_table(vec![table()]);
    f.call(1, "/look/a", &[("Patience-Ms", "18000000000000000000000")]);
    let mut f = f.made_ready();
    assert!(f.has_sent() || f.answers.contains_key(&1));
}

// A time that does not fit into a timestamp is taken for a short one.
#[test]
fn endless_time_wraps_around() {
    let now = Timestamp::from_micros(5);
    assert_eq!(now + Duration::MAX, Timestamp::MAX);
    assert_eq!(now + Duration::from_micros(u64::MAX) + Duration::from_micros(1), Timestamp::MAX);
    assert_eq!(now + Duration::from_millis(u64::MAX), Timestamp::MAX);
}

/// Returns a gateway whose routes have these times, in milliseconds.
fn with_times(timeout_ms: f64, target_ms: f64, gap_ms: f64) -> Fixture {
    let timed = |raw: RawRoute| RawRoute { timeout_ms, target_ms, gap_ms, ..raw };
    let routes = vec![
        timed(route("/look/", PLAIN, Repeat::Idempotent, 2)),
        timed(route("/remind/", MODEL, Repeat::ResumableStream, 2)),
    ];
    let mut services = table().services;
    for service in &mut services {
        if let Some(engine) = &mut service.engine {
            engine.retention = Duration::MAX;
        }
    }
    Fixture::without_table(vec![RawTable { routes, services, ..table() }]).made_ready()
}

// An operator writes times of which a multiple does not fit into a duration.
#[test]
fn endless_times_of_a_route_end_the_process() {
    for time in [1e22, 1.8e22] {
        let mut f = with_times(time, time, time);
        f.call(1, "/look/a", &[]);
        let sent = f.take_sent();
        f.advance(20);
        f.answer(&sent, 200, &[], "whole");
        assert_eq!(f.answers[&1].status, 200, "{time} ms");
        f.model_call(2, "/remind/a", "3000,100");
        let run = f.answer_prefill();
        f.answer(&run, 503, &[("Not-Run", "1")], "");
        f.advance(30_000);
        assert_ne!(f.answers[&2].status, 0, "{time} ms");
    }
}

// A call that claims to need all tokens there are counts as a small one, beside others.
#[test]
fn endless_tokens_wrap_around() {
    let mut f = Fixture::ready();
    for caller in 1..=3 {
        f.model_call(caller, "/draft/a", "4294967295,4294967295");
    }
    f.advance(20_000);
    for caller in 1..=3 {
        assert_eq!(f.answers[&caller].status, 503, "caller {caller}");
    }
    f.model_call(4, "/draft/a", "3000,100");
    assert_eq!(f.answer_prefill().field("Hold"), Some("h1"));
}

// Notices of endpoints with numbers that fit into nothing.
#[test]
fn endless_notices_end_the_process() {
    let numbers = ["18446744073709551615", "1e300", "inf", "NaN", "-1e300", "99999999999999999999"];
    for number in numbers {
        let mut f = Fixture::ready();
        f.call(1, "/look/a", &[]);
        let sent = f.take_sent();
        let timeout = format!("timeout={number}");
        let notices = [("Retry-After", number), ("Limit", number), ("Keep-Alive", &timeout)];
        f.answer(&sent, 503, &[&[("Not-Run", "1")], &notices[..]].concat(), "");
        f.advance(1_000);
        f.call(2, "/look/a", &[]);
        f.advance(20_000);
        assert_ne!(f.answers[&2].status, 0, "{number}");
    }
}

// An endpoint that is listed with a number of slots that fits into nothing.
#[test]
fn endless_slots_end_the_process() {
    let mut f = Fixture::ready();
    for name in ["d1", "d2", "p1", "p2"] {
        let kind = if name.starts_with('d') { EndpointKind::Decode } else { EndpointKind::Service };
        let pool = if name.starts_with('d') { MODEL } else { PLAIN };
        let mut state = endpoint(name, kind, pool);
        state.sequence = u64::MAX;
        state.capacity.slots = u32::MAX;
        f.announce(state);
    }
    f.advance(2_000);
    f.call(1, "/look/a", &[]);
    f.model_call(2, "/draft/a", "3000,100");
    assert_eq!(f.sent.iter().filter(|s| &*s.head.target != "/report").count(), 2);
}

/// An engine format whose reports and exports claim the largest numbers.
struct EndlessEngines;

impl EngineFormat for EndlessEngines {
    fn prefill_stage(&self) -> &'static str {
        "prefill"
    }

    fn read_export(&self, _content: &[u8]) -> Option<Export> {
        Some(Export { handle: "e1".into(), tokens: u32::MAX })
    }

    fn read_report(&self, _content: &[u8]) -> Option<EngineReport> {
        let (running, waiting, used, total) = (u32::MAX, u32::MAX, u32::MAX, u32::MAX);
        Some(EngineReport { boot: None, kind: None, running, waiting, used, total })
    }

    fn read_hold(&self, _content: &[u8]) -> Option<Box<str>> {
        None
    }

    fn side(&self, _request: &SideRequest) -> (&'static str, String, Vec<u8>) {
        ("GET", "/report".into(), Vec::new())
    }
}

// Sums of what an engine reports wrap around.
#[test]
fn endless_reports_wrap_around() {
    let endless = HeaderProtocol { engines: Box::new(EndlessEngines), ..protocol(vec![]) };
    let report = endless.read_report(b"").unwrap();
    let all = [report.running, report.waiting, report.used, report.total];
    assert!(all.iter().all(|n| n.checked_mul(100).is_some()), "{report:?}");
    let tokens = endless.read_export(b"").unwrap().tokens;
    assert!(tokens.checked_mul(100).is_some(), "{tokens} tokens");
}

// The protocol itself bounds what it reads, so that nothing behind it has to.
#[test]
fn endless_numbers_pass_the_border() {
    let day = Duration::from_secs(24 * 60 * 60);
    let list =
        [("Call-Id", "c"), ("Patience-Ms", "1e21"), ("Model", "m"), ("Tokens", "4294967295,7")];
    let head = request("POST", "/look/a", &list, b"").head;
    let info = protocol(vec![]).read_call(&head).unwrap();
    assert!(info.timeout.unwrap() <= day, "{:?}", info.timeout);
    let work = info.work.unwrap();
    assert!(work.prompt.checked_mul(100).is_some(), "{work:?}");
    let head = AnswerHead { status: 503, fields: fields(&[("Retry-After", "1e300")]) };
    assert!(protocol(vec![]).read_answer(&head).backoff.is_some());
}
