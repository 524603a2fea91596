//! The metrics of a process, in the text format of Prometheus.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use eyre::WrapErr;
use prometheus::{
    Encoder, Gauge, Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Registry, TextEncoder,
};

use super::clients::ClientMetrics;
use super::factory::Factory;
use super::observation::{CallEnd, CallSummary, ChargeOutcome, GatewayEnd, Observation, SendOrder};
use crate::link::message::{AgentRequest, ControlRequest, Request};
use crate::model::{InboundId, Revision};

/// The maximum number of tenants, of routes, and of services with labels of their own; all others
/// share one.
const MAX_LABELS: usize = 200;
/// The maximum number of client accounts with labels of their own. Each has a series for each of the
/// five outcomes of a quota, so that with the shared label there are at most 200.
const MAX_ACCOUNTS: usize = 39;
/// The label that all further tenants, routes or services share.
const OTHER_LABELS: &str = "other";
/// The age classes of open exchanges, with their labels and upper bounds.
const AGES: [(&str, Duration); 3] = [
    ("1s", Duration::from_secs(1)),
    ("10s", Duration::from_secs(10)),
    ("60s", Duration::from_secs(60)),
];

/// An open exchange of a peer with a role of this process.
#[derive(Debug)]
struct OpenExchange {
    kind: &'static str,
    since: Instant,
}

/// All metrics of a process.
pub struct Metrics {
    registry: Registry,
    tenants: Mutex<BTreeSet<Box<str>>>,
    routes: Mutex<BTreeSet<Box<str>>>,
    services: Mutex<BTreeSet<Box<str>>>,
    accounts: Mutex<BTreeSet<Box<str>>>,
    open: Mutex<BTreeMap<InboundId, OpenExchange>>,
    calls: IntCounterVec,
    in_time: IntCounterVec,
    queued: HistogramVec,
    first_token: HistogramVec,
    token_time: HistogramVec,
    total: HistogramVec,
    refusals: IntCounterVec,
    prefills: IntCounter,
    wasted: IntCounter,
    lapsed: IntCounter,
    revision: IntGaugeVec,
    processes: IntGauge,
    proof_age: Gauge,
    losses: IntCounter,
    endpoints: IntGauge,
    recorded: IntCounter,
    origins: IntGauge,
    exchanges: HistogramVec,
    open_by_age: IntGaugeVec,
    steps: HistogramVec,
    answers: IntCounterVec,
    unanswered: IntCounterVec,
    first_answer: HistogramVec,
    answer_time: HistogramVec,
    sends: IntCounterVec,
    crossings: IntCounterVec,
    charges: IntCounterVec,
    leaving: IntCounterVec,
    backoffs: IntCounterVec,
    limits: IntCounterVec,
    crashes: IntCounterVec,
    broken_runs: IntCounterVec,
    quarantine: IntGauge,
    quarantined: IntCounterVec,
    quotas: IntCounterVec,
    /// What clients take up.
    pub clients: ClientMetrics,
    wasted_tokens: IntCounterVec,
}

impl Metrics {
    /// Creates metrics that are all zero.
    pub fn new() -> eyre::Result<Metrics> {
        let registry = Registry::new();
        let caller = ["tenant", "class"];
        let make = Factory(&registry);
        Ok(Metrics {
            calls: make.counters(
                "calls_total",
                "Calls by how they ended",
                &["tenant", "class", "end"],
            )?,
            in_time: make.counters(
                "calls_in_time_total",
                "Calls answered within their targets",
                &caller,
            )?,
            queued: make.seconds("queue_seconds", "From arrival to the first attempt", &caller)?,
            first_token: make.seconds(
                "first_token_seconds",
                "From arrival to the first token",
                &caller,
            )?,
            token_time: make.seconds(
                "token_seconds",
                "Mean time between the tokens of a call",
                &caller,
            )?,
            total: make.seconds("call_seconds", "From arrival to the end", &caller)?,
            refusals: make.counters("refusals_total", "Refusals by reason", &["reason"])?,
            prefills: make.counter("prefills_total", "Prefills begun")?,
            wasted: make.counter("wasted_prefills_total", "Prefills that came to nothing")?,
            lapsed: make.counter("leases_lapsed_total", "Holds that lapsed")?,
            revision: make.gauges("config_revision", "Configuration in force", &["role"])?,
            processes: make.gauge("processes", "Live processes that this control member hears")?,
            proof_age: make.seconds_gauge(
                "control_proof_age_seconds",
                "Since a majority of control's voters last proved what is newest",
            )?,
            losses: make.counter(
                "control_losses_total",
                "How often this process has lost the majority of control's voters",
            )?,
            endpoints: make.gauge("endpoints", "Live endpoints that this control member hears")?,
            recorded: make.counter("origins_recorded_total", "Origins of streams recorded")?,
            origins: make.gauge("origins", "Origins of streams that this control member keeps")?,
            exchanges: make.seconds(
                "exchange_seconds",
                "From a peer's request to the last reply; kind propose is the time of a commit",
                &["kind"],
            )?,
            open_by_age: make.gauges(
                "open_exchanges",
                "Exchanges that peers have open, by kind and age; each reserve is a hold",
                &["kind", "age"],
            )?,
            answers: make.counters(
                "gateway_answers_total",
                "Calls of a gateway by the status that callers got; 0 for a broken answer",
                &["route", "status"],
            )?,
            unanswered: make.counters(
                "gateway_unanswered_total",
                "Calls of a gateway without a complete answer, by why and by whether they were late",
                &["service", "why", "late"],
            )?,
            first_answer: make.seconds(
                "gateway_first_seconds",
                "From arrival to the answer or its first event",
                &["route"],
            )?,
            answer_time: make.seconds(
                "gateway_call_seconds",
                "From arrival to the end of a gateway's call",
                &["route"],
            )?,
            sends: make.counters(
                "gateway_sends_total",
                "Requests of calls that a gateway sent to endpoints: first: the first one of a call \
                 and the run after its first answered prefill; repeat: all others",
                &["service", "kind"],
            )?,
            crossings: make.counters(
                "gateway_domain_sends_total",
                "Requests of calls that a gateway sent to endpoints by failure domain: own or other",
                &["service", "domain"],
            )?,
            charges: make.counters(
                "gateway_retry_charges_total",
                "Retries of a gateway by what the retry budget decided: charged; spent: refused; \
                 free: not charged, as the attempt before did not reach its endpoint",
                &["service", "outcome"],
            )?,
            leaving: make.counters(
                "gateway_leaving_total",
                "Starts of endpoints that have said in an answer to a gateway that they leave",
                &["service"],
            )?,
            backoffs: make.counters(
                "gateway_backoffs_total",
                "Backoff times that endpoints have asked a gateway for, each change counted once",
                &["service"],
            )?,
            steps: make.seconds("step_seconds", "Time of one step of a role", &["role"])?,
            tenants: Mutex::default(),
            routes: Mutex::default(),
            services: Mutex::default(),
            accounts: Mutex::default(),
            open: Mutex::default(),
            limits: make.counters(
                "gateway_limits_total",
                "Changes of the limits that endpoints named to a gateway",
                &["service"],
            )?,
            crashes: make.counters(
                "gateway_crashes_total",
                "Endpoints that crashed under runs of a gateway",
                &["service"],
            )?,
            broken_runs: make.counters(
                "gateway_crashed_runs_total",
                "Runs of a gateway that ended with their endpoint",
                &["service"],
            )?,
            quarantine: make.gauge("quarantine", "Causes in quarantine at this control member")?,
            quarantined: make.counters(
                "gateway_quarantined_total",
                "Calls that a gateway refused or ended because they hold what crashed endpoints",
                &["service"],
            )?,
            quotas: make.counters(
                "gateway_quota_total",
                "Calls of client accounts with a quota by what a gateway decided",
                &["account", "outcome"],
            )?,
            clients: ClientMetrics::new(&make)?,
            wasted_tokens: make.counters(
                "prompt_tokens_wasted_total",
                "Prompt tokens that engines processed for a gateway without use",
                &["cause"],
            )?,
            registry,
        })
    }

    /// Counts an observation of a role.
    pub fn observe(&self, observation: Observation) {
        match observation {
            Observation::Call(call) => self.call(&call),
            Observation::Refused(reason) => {
                self.refusals.with_label_values(&[reason.as_str()]).inc();
            }
            Observation::Gateway(end) => self.gateway_call(&end),
            Observation::Unanswered { service, why, late } => {
                let service = self.label(&self.services, &service);
                let late = if late { "yes" } else { "no" };
                self.unanswered.with_label_values(&[&*service, why, late]).inc();
            }
            Observation::Send { service, order } => self.send(&service, order),
            Observation::Crossing { service, local } => {
                let service = self.label(&self.services, &service);
                let domain = if local { "own" } else { "other" };
                self.crossings.with_label_values(&[&*service, domain]).inc();
            }
            Observation::Charge { service, outcome, cost } => {
                self.charge(&service, outcome, cost);
            }
            Observation::Leaving { service } => {
                let service = self.label(&self.services, &service);
                self.leaving.with_label_values(&[&*service]).inc();
            }
            Observation::Backoff { service } => {
                let service = self.label(&self.services, &service);
                self.backoffs.with_label_values(&[&*service]).inc();
            }
            Observation::Limit { service } => {
                let service = self.label(&self.services, &service);
                self.limits.with_label_values(&[&*service]).inc();
            }
            Observation::Crash { service, runs } => {
                let service = self.label(&self.services, &service);
                self.crashes.with_label_values(&[&*service]).inc();
                self.broken_runs.with_label_values(&[&*service]).inc_by(runs as u64);
            }
            Observation::LeaseLapsed => self.lapsed.inc(),
            Observation::Registry { processes, endpoints } => {
                self.processes.set(processes as i64);
                self.endpoints.set(endpoints as i64);
            }
            Observation::Majority { age, losses } => {
                self.proof_age.set(age.as_secs_f64());
                self.losses.inc_by(losses as u64);
            }
            Observation::Quarantine { causes } => self.quarantine.set(causes as i64),
            Observation::Quarantined { service } => {
                let service = self.label(&self.services, &service);
                self.quarantined.with_label_values(&[&*service]).inc();
            }
            Observation::Quota { account, outcome } => {
                let account = bounded_label(&self.accounts, &account, MAX_ACCOUNTS);
                self.quotas.with_label_values(&[&*account, outcome.as_str()]).inc();
            }
            Observation::PromptWasted { cause, tokens } => {
                self.wasted_tokens.with_label_values(&[cause.as_str()]).inc_by(tokens.into());
            }
            Observation::Origins { recorded, held } => {
                self.recorded.inc_by(recorded as u64);
                self.origins.set(held as i64);
            }
        }
    }

    fn gateway_call(&self, end: &GatewayEnd) {
        let route = self.label(&self.routes, &end.route);
        let status = end.status.to_string();
        self.answers.with_label_values(&[&*route, &status]).inc();
        if let Some(first) = end.first {
            self.first_answer.with_label_values(&[&*route]).observe(first.as_secs_f64());
        }
        self.answer_time.with_label_values(&[&*route]).observe(end.total.as_secs_f64());
    }

    fn send(&self, service: &str, order: SendOrder) {
        let service = self.label(&self.services, service);
        self.sends.with_label_values(&[&*service, order.as_str()]).inc();
    }

    fn charge(&self, service: &str, outcome: ChargeOutcome, cost: u32) {
        let service = self.label(&self.services, service);
        let labels = [&*service, outcome.as_str()];
        self.charges.with_label_values(&labels).inc_by(cost.into());
    }

    fn call(&self, call: &CallSummary) {
        let tenant = self.label(&self.tenants, &call.tenant);
        let labels = [&*tenant, call.class.as_str()];
        self.calls.with_label_values(&[labels[0], labels[1], call.end.as_str()]).inc();
        if call.in_time {
            self.in_time.with_label_values(&labels).inc();
        }
        let durations = [
            (&self.queued, call.queued),
            (&self.first_token, call.first_token),
            (&self.token_time, call.token_time),
            (&self.total, Some(call.total)),
        ];
        for (histogram, duration) in durations {
            if let Some(duration) = duration {
                histogram.with_label_values(&labels).observe(duration.as_secs_f64());
            }
        }
        if let CallEnd::Refused(reason) = call.end {
            self.refusals.with_label_values(&[reason.as_str()]).inc();
        }
        self.prefills.inc_by(call.prefills.into());
        self.wasted.inc_by(call.wasted.into());
    }

    /// Returns the label of a tenant, route or service.
    fn label(&self, known: &Mutex<BTreeSet<Box<str>>>, name: &str) -> Box<str> {
        bounded_label(known, name, MAX_LABELS)
    }

    /// Records a peer's request, which opens an exchange or continues an open one.
    pub fn requested(&self, inbound: InboundId, request: &Request) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let begin = || OpenExchange { kind: kind(request), since: Instant::now() };
        open.entry(inbound).or_insert_with(begin);
    }

    /// Records the end of an exchange and its duration.
    pub fn ended(&self, inbound: InboundId) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(exchange) = open.remove(&inbound) {
            let seconds = exchange.since.elapsed().as_secs_f64();
            self.exchanges.with_label_values(&[exchange.kind]).observe(seconds);
        }
    }

    /// Records the revision of the configuration that is in force at a role.
    pub fn revised(&self, role: &str, revision: Revision) {
        self.revision.with_label_values(&[role]).set(revision.0 as i64);
    }

    /// Returns the histogram of the durations of a role's steps.
    pub fn steps(&self, role: &str) -> Histogram {
        self.steps.with_label_values(&[role])
    }

    /// Returns all metrics in the text format.
    pub fn text(&self) -> eyre::Result<String> {
        self.count_open();
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text).wrap_err("encode metrics")?;
        String::from_utf8(text).wrap_err("encode metrics")
    }

    fn count_open(&self) {
        self.open_by_age.reset();
        let open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        for exchange in open.values() {
            let age = exchange.since.elapsed();
            let label = AGES.iter().find(|(_, max)| age <= *max).map_or("more", |(l, _)| l);
            self.open_by_age.with_label_values(&[exchange.kind, label]).inc();
        }
    }
}

/// Returns the label of a name: the name itself for the first `max`, else the shared label.
fn bounded_label(known: &Mutex<BTreeSet<Box<str>>>, name: &str, max: usize) -> Box<str> {
    let mut known = known.lock().unwrap_or_else(PoisonError::into_inner);
    if !known.contains(name) {
        if known.len() >= max {
            return OTHER_LABELS.into();
        }
        known.insert(name.into());
    }
    name.into()
}

/// Returns the label `kind` of an exchange with this first request.
fn kind(request: &Request) -> &'static str {
    match request {
        Request::Agent(AgentRequest::Reserve { .. }) => "reserve",
        Request::Agent(AgentRequest::Prefill { .. }) => "prefill",
        Request::Agent(AgentRequest::Call { .. }) => "call",
        Request::Agent(AgentRequest::Settle { .. }) => "settle",
        Request::Agent(_) => "agent",
        Request::Control(ControlRequest::Heartbeat(_)) => "heartbeat",
        Request::Control(ControlRequest::Propose(_)) => "propose",
        Request::Control(_) => "control",
        Request::Replica(_) => "replica",
        Request::Notice(_) => "notice",
    }
}
