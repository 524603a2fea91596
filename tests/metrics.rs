//! Metrics: tenants and services past the limit of labels share one, so that the number of series is
//! bounded.

use std::time::Duration;

use dotterelpin::model::Class;
use dotterelpin::report::metrics::Metrics;
use dotterelpin::report::observation::{
    CallEnd, CallSummary, ChargeOutcome, Observation, QuotaOutcome, SendOrder,
};

#[test]
fn tenants_past_the_limit_share_a_label() {
    let metrics = Metrics::new().unwrap();
    for index in 0..1_000 {
        metrics.observe(Observation::Call(Box::new(CallSummary {
            tenant: format!("tenant-{index}").into(),
            class: Class::Batch,
            end: CallEnd::Answered,
            queued: None,
            first_token: Some(Duration::from_millis(3)),
            token_time: None,
            total: Duration::from_millis(30),
            in_time: true,
            prefills: 1,
            wasted: 0,
        })));
    }
    let text = metrics.text().unwrap();
    let lines = text.lines().filter(|l| l.starts_with("dotterelpin_call_seconds_count"));
    assert_eq!(lines.count(), 201);
    let other = "dotterelpin_calls_total{class=\"batch\",end=\"answered\",tenant=\"other\"} 800";
    assert!(text.contains(other), "{text}");
}

#[test]
fn services_past_the_limit_share_a_label() {
    let metrics = Metrics::new().unwrap();
    for index in 0..1_000 {
        let service: Box<str> = format!("service-{index}").into();
        let order = SendOrder::Repeat;
        metrics.observe(Observation::Send { service: service.clone(), order });
        let outcome = ChargeOutcome::Charged;
        metrics.observe(Observation::Charge { service, outcome, cost: 2 });
    }
    let text = metrics.text().unwrap();
    let series = |name: &str| text.lines().filter(|l| l.starts_with(name)).count();
    assert_eq!(series("dotterelpin_gateway_sends_total{"), 201);
    assert_eq!(series("dotterelpin_gateway_retry_charges_total{"), 201);
    let sends = "dotterelpin_gateway_sends_total{kind=\"repeat\",service=\"other\"} 800";
    assert!(text.contains(sends), "{text}");
    let labels = "outcome=\"charged\",service=\"other\"";
    let charges = format!("dotterelpin_gateway_retry_charges_total{{{labels}}} 1600");
    assert!(text.contains(&charges), "expected the sum of the costs: {text}");
}

#[test]
fn accounts_have_at_most_200_series() {
    let metrics = Metrics::new().unwrap();
    let outcomes = [
        QuotaOutcome::Local,
        QuotaOutcome::Granted,
        QuotaOutcome::Alone,
        QuotaOutcome::Refused,
        QuotaOutcome::TooLarge,
    ];
    for index in 0..1_000 {
        for outcome in outcomes {
            let account = format!("account-{index}").into();
            metrics.observe(Observation::Quota { account, outcome });
        }
    }
    let text = metrics.text().unwrap();
    let series = text.lines().filter(|l| l.starts_with("dotterelpin_gateway_quota_total{"));
    assert_eq!(series.count(), 200);
}
