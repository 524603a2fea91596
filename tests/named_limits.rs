//! Endpoints that name how many requests they take from all gateways together.

mod fleet_world;
mod gateway_fixture;

use std::time::Duration;

use dotterelpin::model::{EndpointKind, Timestamp};
use fleet_world::{Endpoint, Node, World};
use gateway_fixture::{MODEL, PLAIN, table};

/// The span in which requests are counted.
const SPAN: Duration = Duration::from_secs(4);
/// How long after an endpoint first named its limit requests are not counted yet.
const SETTLING_MS: u64 = 3_000;
/// How long after a gateway got the first answer with a limit its requests are not counted yet.
const TOLD_MS: u64 = 500;
/// The index of the first plain endpoint.
const FIRST: usize = 0;

fn plain_fleet(gateways: usize, endpoints: usize) -> World {
    let names = ["p1", "p2", "p3", "p4"];
    let all = names.iter().take(endpoints);
    let all = all.map(|name| Endpoint::new(name, EndpointKind::Service, PLAIN)).collect();
    World::new(gateways, 3, table(), all)
}

/// Returns how many requests an endpoint may get within [`SPAN`].
fn allowed(limit: f64) -> usize {
    (1.5 * limit * SPAN.as_secs_f64() + 5.0) as usize
}

/// Returns the most requests that an endpoint got within [`SPAN`], later than a time, from gateways
/// other than some.
fn most(w: &World, endpoint: usize, after: Timestamp, without: &[usize]) -> usize {
    let counted = w.arrivals.iter().filter(|a| a.endpoint == endpoint && a.at >= after);
    let times: Vec<Timestamp> =
        counted.filter(|a| !without.contains(&a.gateway)).map(|a| a.at).collect();
    let within =
        |from: &Timestamp| times.iter().filter(|t| *t >= from && **t < *from + SPAN).count();
    times.iter().map(within).max().unwrap_or(0)
}

fn after(at: Timestamp, millis: u64) -> Timestamp {
    at + Duration::from_millis(millis)
}

/// Sends a plain call each `gap_ms` to the gateways in turn.
fn load(w: &mut World, gateways: usize, gap_ms: u64, millis: u64) {
    for at in 0..millis {
        if at % gap_ms == 0 {
            w.plain((at / gap_ms) as usize % gateways, "/look/a");
        }
        w.run(1);
    }
}

fn limit(w: &mut World, endpoint: usize, rate: &str) -> Timestamp {
    w.endpoints[endpoint].limit = Some(rate.into());
    after(w.now, SETTLING_MS)
}

fn assert_within(w: &World, endpoint: usize, rate: f64, from: Timestamp, without: &[usize]) {
    let (got, allowed) = (most(w, endpoint, from, without), allowed(rate));
    assert!(
        got <= allowed,
        "an endpoint with a limit of {rate} got {got} in 4 s, allowed {allowed}"
    );
}

/// Returns the share of the plain calls since a time that were answered, in percent.
fn served(w: &World, first: u64) -> usize {
    let calls: Vec<_> = w.answers.range(first..).map(|(_, a)| a).filter(|a| a.is_over()).collect();
    calls.iter().filter(|a| a.status == 200).count() * 100 / calls.len().max(1)
}

#[test]
fn limit_that_an_endpoint_names_is_ignored_by_all_gateways() {
    let mut w = plain_fleet(5, 4);
    load(&mut w, 5, 15, 1_000);
    let from = limit(&mut w, FIRST, "4");
    let other = limit(&mut w, FIRST + 1, "2.8");
    let first = w.answers.keys().last().copied().unwrap_or(0);
    load(&mut w, 5, 15, 15_000);
    assert_within(&w, FIRST, 4.0, from, &[]);
    assert_within(&w, FIRST + 1, 2.8, other, &[]);
    assert!(served(&w, first) > 95, "{} % served by the others", served(&w, first));
}

#[test]
fn limit_is_exceeded_by_the_sum_of_thirty_gateways() {
    let mut w = plain_fleet(30, 3);
    load(&mut w, 30, 5, 2_000);
    let from = limit(&mut w, FIRST, "3");
    load(&mut w, 30, 5, 20_000);
    assert_within(&w, FIRST, 3.0, from, &[]);
}

#[test]
fn requests_that_thirty_gateways_have_saved_up_come_at_once() {
    let mut w = plain_fleet(30, 3);
    load(&mut w, 30, 5, 2_000);
    let from = limit(&mut w, FIRST, "3");
    load(&mut w, 30, 5, 3_000);
    for _ in 0..4 {
        w.run(12_000);
        load(&mut w, 30, 1, 300);
        w.run(3_000);
    }
    assert_within(&w, FIRST, 3.0, from, &[]);
}

#[test]
fn endpoints_that_all_name_limits_get_what_they_do_not_take() {
    let mut w = plain_fleet(4, 2);
    load(&mut w, 4, 20, 1_000);
    let from = limit(&mut w, FIRST, "3");
    limit(&mut w, FIRST + 1, "3");
    load(&mut w, 4, 20, 4_000);
    let first = w.answers.keys().last().copied().unwrap_or(0) + 1;
    let begin = w.now;
    load(&mut w, 4, 20, 8_000);
    assert_within(&w, FIRST, 3.0, from, &[]);
    let refused: Vec<_> = w.answers.range(first..).filter(|(_, a)| a.status == 503).collect();
    assert!(refused.len() > 200, "{} calls refused", refused.len());
    let late = refused.iter().filter(|(_, a)| a.ended.is_none_or(|at| at < begin)).count();
    assert_eq!(late, 0);
    let answered = w.answers.range(first..).filter(|(_, a)| a.status == 200).count();
    assert!(answered >= 24, "{answered} of the 48 calls that the endpoints take in 8 s");
}

#[test]
fn answer_without_a_limit_does_not_end_it() {
    let mut w = plain_fleet(4, 2);
    load(&mut w, 4, 20, 1_000);
    limit(&mut w, FIRST, "2");
    load(&mut w, 4, 20, 6_000);
    w.endpoints[FIRST].limit = None;
    load(&mut w, 4, 20, 6_000);
    let since = after(w.now, 0);
    load(&mut w, 4, 20, 4_000);
    let got = most(&w, FIRST, since, &[]);
    assert!(got > 60, "{got} of 200 requests reach an endpoint whose limit has ended");
}

#[test]
fn gateways_that_start_freeze_or_are_out_of_touch_exceed_a_limit() {
    let mut w = plain_fleet(8, 3);
    load(&mut w, 8, 10, 2_000);
    let from = limit(&mut w, FIRST, "3.4");
    load(&mut w, 8, 10, 4_000);
    w.freeze(Node::Gateway(0), 2_000);
    w.cut_off(Node::Gateway(1), true);
    w.start_gateway(2);
    for _ in 0..4 {
        w.add_gateway();
    }
    w.run(1_500);
    load(&mut w, 12, 10, 10_000);
    w.kill_gateway(3);
    w.cut_off(Node::Gateway(1), false);
    load(&mut w, 12, 10, 10_000);
    // A restart, a freeze or a cut excuses a gateway; one that was just told is not counted yet.
    let told = after(from, TOLD_MS);
    assert_within(&w, FIRST, 3.4, told, &[0, 1, 2]);
}

#[test]
fn limit_of_an_engine_counts_all_requests_to_it() {
    let all = vec![
        Endpoint::new("f1", EndpointKind::Prefill, MODEL),
        Endpoint::new("f2", EndpointKind::Prefill, MODEL),
        Endpoint::new("d1", EndpointKind::Decode, MODEL),
        Endpoint::new("d2", EndpointKind::Decode, MODEL),
        Endpoint::new("d3", EndpointKind::Decode, MODEL),
    ];
    let mut w = World::new(5, 3, table(), all);
    let streams = |w: &mut World, millis: u64| {
        for at in 0..millis {
            if at % 100 == 0 {
                w.stream((at / 100) as usize % 5, "/remind/a", "aa:200,01:9", 20);
            }
            w.run(1);
        }
    };
    streams(&mut w, 2_000);
    let (prefill, decode) = (limit(&mut w, 0, "3"), limit(&mut w, 2, "4"));
    let first = w.answers.keys().last().copied().unwrap_or(0) + 1;
    streams(&mut w, 16_000);
    assert_within(&w, 0, 3.0, prefill, &[]);
    assert_within(&w, 2, 4.0, decode, &[]);
    assert!(served(&w, first) > 90, "{} % served by the others", served(&w, first));
}

#[test]
fn limit_that_is_no_number_or_zero_stops_a_gateway() {
    for text in ["nonsense", "-3", "inf", "0", "1e99"] {
        let mut w = plain_fleet(2, 2);
        w.endpoints[FIRST].limit = Some(text.into());
        load(&mut w, 2, 20, 8_000);
        w.endpoints[FIRST].limit = None;
        load(&mut w, 2, 20, 12_000);
        let since = w.now;
        load(&mut w, 2, 20, 2_000);
        let got = most(&w, FIRST, since, &[]);
        assert!(got > 25, "{got} of 100 requests after a limit of {text} has ended");
    }
}
