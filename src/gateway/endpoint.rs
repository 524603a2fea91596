//! An endpoint with its load as a gateway knows it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use super::notices::Notices;
use super::place::PlainLoad;
use super::place::speed::{Estimate, Speed, SpeedSample, WorkRate};
use super::protocol::EngineReport;
use super::window::Window;
use crate::entry::health::Health;
use crate::h1::PeerId;
use crate::link::message::EngineTag;
use crate::model::{BootId, EndpointKind, EndpointState, Timestamp};
use crate::registry::view::version;

/// The assumed age of an engine's report when it is received.
const REPORT_LAG: Duration = Duration::from_millis(900);
/// How long a report is used after it was made.
const REPORT_TTL: Duration = Duration::from_millis(3_000);
/// How long an endpoint that refused for lack of capacity gets no work. Doubles with each further
/// refusal until the endpoint accepts a call.
const FULL_BACKOFF: Duration = Duration::from_millis(150);
/// The upper bound of the doubled `FULL_BACKOFF`.
const MAX_FULL_BACKOFF: Duration = Duration::from_millis(1_200);

/// The capacity in use at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Usage {
    /// Running requests.
    pub slots: u32,
    /// Tokens of KV cache; at a prefill endpoint, tokens of prompts.
    pub tokens: u32,
}

/// An endpoint with its load as this gateway knows it.
#[derive(Debug)]
pub struct Endpoint {
    /// The name under which it is listed.
    pub name: Box<str>,
    /// The address at which it accepts calls.
    pub address: SocketAddr,
    /// Whether it is in the gateway's failure domain.
    pub local: bool,
    /// Its failure domain.
    pub domain: Box<str>,
    /// Whether it is a plain service, a prefill or a decode endpoint.
    pub kind: EndpointKind,
    /// The service that it belongs to.
    pub pool: Box<str>,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it is listed, not draining, not leaving, and not known to be gone from its address.
    pub accepts_work: bool,
    /// The start of the endpoint and the number of its listed state within that.
    pub(super) listed: (BootId, u64),
    /// The listed kind; a report or a change of the stage may precede the next number.
    listed_kind: EndpointKind,
    /// When the present listed state was received.
    listed_since: Timestamp,
    /// The listed state that an answer at its address has disproved.
    disproved: Option<((BootId, u64), EndpointKind)>,
    /// What it has said in its answers; kept while newer states of the same start are listed.
    pub notices: Notices,
    /// The version of its software.
    pub software: Box<str>,
    /// Its health as judged by the outcome of requests of this gateway.
    pub health: Health,
    /// The capacity that this gateway has in use there.
    pub usage: Usage,
    /// How many calls this gateway may have open there; for plain services only.
    pub window: Window,
    /// Until when it gets no work because it lacked capacity.
    pub full_until: Timestamp,
    /// Refusals for lack of capacity since it last accepted a call.
    refusals: u32,
    /// The last report, and when the engine made it.
    report: Option<(Timestamp, EngineReport)>,
    /// How fast it does the work of its kind, as learned by this gateway.
    speed: (EndpointKind, Speed),
    tag: EngineTag,
    /// The recent values of `usage`, oldest first, each with the time at which it began to apply.
    history: VecDeque<(Timestamp, Usage)>,
    pub(super) idle: Vec<PeerId>,
}

impl Endpoint {
    pub(super) fn new(
        now: Timestamp,
        state: &EndpointState,
        domain: &str,
        gateways: u32,
    ) -> Endpoint {
        Endpoint {
            name: state.name.clone(),
            address: state.address,
            local: *state.domain == *domain,
            domain: state.domain.clone(),
            kind: state.kind,
            pool: state.pool.clone(),
            slots: state.capacity.slots,
            accepts_work: !state.draining,
            listed: version(state),
            listed_kind: state.kind,
            listed_since: now,
            disproved: None,
            notices: Notices::default(),
            software: state.software.clone(),
            health: Health::default(),
            usage: Usage::default(),
            window: Window::shared(state.capacity.slots, gateways),
            full_until: Timestamp::default(),
            refusals: 0,
            report: None,
            speed: (state.kind, Speed::default()),
            tag: EngineTag::of(&state.name, state.boot),
            history: VecDeque::new(),
            idle: Vec::new(),
        }
    }

    /// Returns whether new work may be sent there now.
    pub fn is_open(&self, now: Timestamp) -> bool {
        self.takes_work(now) && self.full_until <= now && self.health.is_available(now)
    }

    /// Returns whether work may be sent there now, whatever its load and health.
    pub fn takes_work(&self, now: Timestamp) -> bool {
        self.accepts_work && self.notices.accepts_requests(now)
    }

    /// Sends it no work for a short time because it lacked capacity.
    pub fn mark_full(&mut self, now: Timestamp) {
        self.full_until = now + FULL_BACKOFF;
    }

    /// Records that it refused a call. Repeated refusals, as while an engine changes its stage,
    /// increase the backoff.
    pub fn refused(&mut self, now: Timestamp) {
        let backoff = FULL_BACKOFF * 2u32.pow(self.refusals.min(3));
        self.full_until = now + backoff.min(MAX_FULL_BACKOFF);
        self.refusals += 1;
        self.window.refused();
    }

    /// Records that another endpoint, or an engine in another stage, answers at its address, to a
    /// request that was sent at a given time. It gets no work until another state of it is listed,
    /// unless that has happened since.
    pub fn misdirected(&mut self, now: Timestamp, sent: Timestamp) {
        self.refused(now);
        if sent < self.listed_since {
            return;
        }
        self.disproved = Some((self.listed, self.listed_kind));
        self.accepts_work = false;
    }

    /// Applies a listed state of the same start.
    pub(super) fn relist(&mut self, now: Timestamp, state: &EndpointState) {
        let (listed, kind) = (version(state), state.kind);
        if (listed, kind) != (self.listed, self.listed_kind) {
            self.listed_since = now;
        }
        self.kind = kind;
        self.slots = state.capacity.slots;
        self.software = state.software.clone();
        self.listed = listed;
        self.listed_kind = kind;
        let newer = |(at, of)| at < listed || at == listed && of != kind;
        let present = self.disproved.is_none_or(newer);
        self.accepts_work = !state.draining && present && !self.notices.leaving;
    }

    /// Adopts what its start has said before.
    pub(super) fn adopt(&mut self, notices: Notices) {
        self.notices = notices;
        self.accepts_work &= !notices.leaving;
    }

    /// Records that it accepted a call, which resets the backoff.
    pub fn accepted(&mut self) {
        self.refusals = 0;
    }

    /// Records a report that the engine made at a time, unless a newer one is known. The reported
    /// stage replaces the listed one, if it was not listed since.
    pub fn reported(&mut self, at: Timestamp, report: EngineReport) {
        if self.report.is_some_and(|(known, _)| known > at) {
            return;
        }
        if let Some(kind) = report.kind.filter(|_| at >= self.listed_since) {
            self.kind = kind;
        }
        self.report = Some((at, report));
    }

    /// Returns the last report of this start of the engine.
    pub fn last_report(&self) -> Option<EngineReport> {
        self.report.map(|(_, report)| report)
    }

    /// Returns the tag by which gateways name this start of the engine to each other.
    pub fn tag(&self) -> EngineTag {
        self.tag
    }

    /// Records that it has done an amount of work in a time. Work of different kinds is not
    /// compared, so a change of its stage forgets the speed.
    pub fn learn(&mut self, now: Timestamp, work: u64, took: Duration) {
        if self.speed.0 != self.kind {
            self.speed = (self.kind, Speed::default());
        }
        if let Some(rate) = WorkRate::of(work, took) {
            self.speed.1.record(now, rate);
        }
    }

    /// Returns the learned speed of the work of its present kind.
    pub fn estimate(&self, now: Timestamp) -> Option<Estimate> {
        let (kind, speed) = &self.speed;
        if *kind == self.kind { speed.estimate(now) } else { None }
    }

    /// Returns the learned rate of the work of its present kind.
    pub fn rate(&self, now: Timestamp) -> Option<WorkRate> {
        self.estimate(now).map(|estimate| estimate.rate)
    }

    /// Returns its load as an endpoint of a plain service.
    pub fn plain_load<K>(&self, now: Timestamp, key: K) -> PlainLoad<K> {
        let (calls, rate) = (self.usage.slots, self.rate(now));
        PlainLoad { key, local: self.local, calls, rate }
    }

    /// Returns what this gateway has learned of its speed and not told the leader yet.
    pub fn take_news(&mut self, now: Timestamp) -> Option<SpeedSample> {
        let (kind, speed) = &mut self.speed;
        if *kind == self.kind { speed.take_news(now) } else { None }
    }

    /// Counts work that this gateway has started there.
    pub fn add_usage(&mut self, now: Timestamp, work: Usage) {
        self.health.began(now);
        self.keep_usage(now, work);
    }

    /// Counts work that goes on there after its call has ended.
    pub fn keep_usage(&mut self, now: Timestamp, work: Usage) {
        self.usage.slots = self.usage.slots.saturating_add(work.slots);
        self.usage.tokens = self.usage.tokens.saturating_add(work.tokens);
        self.record_usage(now);
    }

    /// Subtracts work of this gateway that has ended there.
    pub fn remove_usage(&mut self, now: Timestamp, work: Usage) {
        self.usage.slots = self.usage.slots.saturating_sub(work.slots);
        self.usage.tokens = self.usage.tokens.saturating_sub(work.tokens);
        self.record_usage(now);
    }

    fn record_usage(&mut self, now: Timestamp) {
        self.history.push_back((now, self.usage));
        let horizon = REPORT_TTL + REPORT_LAG;
        while self.history.get(1).is_some_and(|(at, _)| *at + horizon < now) {
            self.history.pop_front();
        }
    }

    fn usage_at(&self, at: Timestamp) -> Usage {
        let before = self.history.iter().take_while(|(t, _)| *t <= at);
        before.last().map(|(_, usage)| *usage).unwrap_or_default()
    }

    /// Returns the age of the last report in milliseconds, or -1 without one; for logs.
    pub fn report_age(&self, now: Timestamp) -> i64 {
        self.report.map_or(-1, |(at, _)| (now - at + REPORT_LAG).as_millis() as i64)
    }

    /// Returns the estimated usage of all gateways: the present usage of this one, plus the part of
    /// the last report that was not this gateway's own usage when the report was made.
    pub fn all_usage(&self, now: Timestamp) -> Usage {
        let Some((at, report)) = self.report.filter(|(at, _)| now - *at < REPORT_TTL) else {
            return self.usage;
        };
        let then = self.usage_at(Timestamp::from_micros(
            at.as_micros().saturating_sub(REPORT_LAG.as_micros() as u64),
        ));
        let foreign = Usage {
            slots: report.running.saturating_add(report.waiting).saturating_sub(then.slots),
            tokens: report.used.saturating_sub(then.tokens),
        };
        Usage {
            slots: self.usage.slots.saturating_add(foreign.slots),
            tokens: self.usage.tokens.saturating_add(foreign.tokens),
        }
    }
}
