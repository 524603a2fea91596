//! An entry's view of the endpoints: announced state, its own work in flight, and the load that
//! agents report.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use super::estimate::Estimate;
use super::flight::{Flight, Stage};
use super::{Need, Software};
use crate::entry::health::{Health, Verdict};
use crate::link::message::{AgentReply, AgentRequest, Reply, Request};
use crate::model::{
    CallId, EndpointKind, EndpointState, ExchangeId, Load, RefusalReason, Timestamp,
};
use crate::role::{LinkFailure, Output};

/// How long an exchange must have been silent for its reset to count against the endpoint.
const MIN_SILENCE: Duration = Duration::from_millis(900);
/// How long an agent's report on the load of other entries is valid for decode work, which takes
/// seconds.
const DECODE_LOAD_TTL: Duration = Duration::from_millis(2_000);
/// How long such a report is valid for prefills and service calls, which take a fraction of a
/// second.
const SHORT_LOAD_TTL: Duration = Duration::from_millis(500);

new_key_type! {
    /// Key of an endpoint in a [`Fleet`].
    pub struct EndpointKey;
}

/// An endpoint with its load and health as known to this entry.
#[derive(Debug)]
pub struct Tracked {
    /// The latest announcement.
    pub state: EndpointState,
    /// The load of this entry's own work in flight.
    pub own: Load,
    /// The load of other entries, as of the agent's last report.
    pub others: Load,
    /// When the agent last reported its load.
    pub reported: Timestamp,
    /// Number of KV cache transfers of this entry to the endpoint that are in progress.
    pub transfers: u32,
    /// The usual time from the start of an import to the first token, in microseconds.
    pub transfer: Estimate,
    /// Results of recent work at the endpoint.
    pub health: Health,
}

impl Tracked {
    fn new(state: EndpointState) -> Tracked {
        Tracked {
            others: state.load,
            state,
            own: Load::default(),
            reported: Timestamp::default(),
            transfers: 0,
            transfer: Estimate::default(),
            health: Health::default(),
        }
    }

    /// Returns the load from own counts and the agent's last report.
    ///
    /// The reported part decays with time: an endpoint that seems full gets no work, so it would
    /// never report that it has capacity again.
    pub fn load(&self, now: Timestamp) -> Load {
        let ttl = match self.state.kind {
            EndpointKind::Decode => DECODE_LOAD_TTL,
            EndpointKind::Prefill | EndpointKind::Service => SHORT_LOAD_TTL,
        };
        let remaining = ttl.saturating_sub(now - self.reported).as_micros() as u64;
        let decay = |n: u32| (u64::from(n) * remaining).div_ceil(ttl.as_micros() as u64) as u32;
        Load {
            slots: self.own.slots + decay(self.others.slots),
            pieces: self.own.pieces + decay(self.others.pieces),
            prompt_tokens: self.own.prompt_tokens + decay(self.others.prompt_tokens),
            prefill_rate: self.others.prefill_rate,
        }
    }

    /// Records a load report from the agent, less this entry's own part, which is counted here.
    fn update_load(&mut self, now: Timestamp, reported: Load) {
        self.reported = now;
        self.others = Load {
            slots: reported.slots.saturating_sub(self.own.slots),
            pieces: reported.pieces.saturating_sub(self.own.pieces),
            prompt_tokens: reported.prompt_tokens.saturating_sub(self.own.prompt_tokens),
            prefill_rate: reported.prefill_rate,
        };
    }

    fn add(&mut self, load: Load) {
        self.own.slots += load.slots;
        self.own.pieces += load.pieces;
        self.own.prompt_tokens += load.prompt_tokens;
    }

    fn remove(&mut self, load: Load) {
        self.own.slots = self.own.slots.saturating_sub(load.slots);
        self.own.pieces = self.own.pieces.saturating_sub(load.pieces);
        self.own.prompt_tokens = self.own.prompt_tokens.saturating_sub(load.prompt_tokens);
    }
}

/// The endpoints of one pool by kind, and estimates for the pool.
#[derive(Debug, Default)]
struct Pool {
    prefill: Vec<EndpointKey>,
    decode: Vec<EndpointKey>,
    service: Vec<EndpointKey>,
    /// The number of endpoints of each software version.
    versions: BTreeMap<Box<str>, usize>,
    /// Calls that have requested decode capacity and whose prefill is not placed yet.
    starting: usize,
    /// The usual time between tokens, in microseconds.
    token: Estimate,
    /// The usual prefill rate of one endpoint, in prompt tokens per second.
    rate: Estimate,
    /// The usual length of answers in thousandths of the maximum length.
    share: Estimate,
    /// The usual deviation of `share`, in the same unit.
    deviation: Estimate,
    /// The usual time from the start of an import to the first token, in microseconds.
    import: Estimate,
}

impl Pool {
    fn keys(&self, kind: EndpointKind) -> &[EndpointKey] {
        match kind {
            EndpointKind::Prefill => &self.prefill,
            EndpointKind::Decode => &self.decode,
            EndpointKind::Service => &self.service,
        }
    }

    fn remove_version(&mut self, software: &str) {
        let Some(count) = self.versions.get_mut(software) else { return };
        *count -= 1;
        if *count == 0 {
            self.versions.remove(software);
        }
    }

    fn keys_mut(&mut self, kind: EndpointKind) -> &mut Vec<EndpointKey> {
        match kind {
            EndpointKind::Prefill => &mut self.prefill,
            EndpointKind::Decode => &mut self.decode,
            EndpointKind::Service => &mut self.service,
        }
    }
}

/// All endpoints known to an entry.
#[derive(Debug, Default)]
pub struct Fleet {
    endpoints: SlotMap<EndpointKey, Tracked>,
    names: BTreeMap<Box<str>, EndpointKey>,
    addresses: BTreeMap<SocketAddr, EndpointKey>,
    pools: BTreeMap<Box<str>, Pool>,
    flights: BTreeMap<ExchangeId, Flight>,
    /// The failure domain of the latest failed attempt, by call.
    failed: BTreeMap<CallId, Box<str>>,
    /// The pools of calls that have requested decode capacity and not started a prefill yet.
    starting: BTreeMap<CallId, Box<str>>,
    ejects: bool,
}

impl Fleet {
    /// Creates an empty fleet; `ejects` is whether failing endpoints are ejected.
    pub fn new(ejects: bool) -> Fleet {
        Fleet { ejects, ..Fleet::default() }
    }

    /// Returns an endpoint; `None` once it has been removed.
    pub fn get(&self, key: EndpointKey) -> Option<&Tracked> {
        self.endpoints.get(key)
    }

    /// Returns the endpoints of a pool of one kind.
    pub fn keys(&self, kind: EndpointKind, pool: &str) -> &[EndpointKey] {
        self.pools.get(pool).map_or(&[], |p| p.keys(kind))
    }

    /// Returns whether an endpoint is eligible for an attempt, regardless of its load.
    pub fn fits(&self, need: &Need<'_>, endpoint: &Tracked) -> bool {
        !endpoint.state.draining && !need.tried.contains(&endpoint.state.name)
    }

    /// Returns the endpoints that are eligible for an attempt, regardless of their load.
    pub fn fitting(&self, need: &Need<'_>) -> impl Iterator<Item = (EndpointKey, &Tracked)> {
        let keys = self.of_software(need).into_owned().into_iter();
        let all = keys.filter_map(|key| Some((key, self.endpoints.get(key)?)));
        all.filter(|(_, e)| self.fits(need, e))
    }

    /// Returns the endpoints of the software versions that an attempt may use, whether or not they
    /// are eligible in other respects.
    pub fn of_software(&self, need: &Need<'_>) -> Cow<'_, [EndpointKey]> {
        let Some(versions) = self.allowed_versions(need) else {
            return Cow::Borrowed(self.keys(need.kind, need.pool));
        };
        let all = self.tracked(need.kind, need.pool);
        let allowed = all.filter(|(_, e)| versions.contains(&*e.state.software));
        Cow::Owned(allowed.map(|(key, _)| key).collect())
    }

    /// Returns the software versions that an attempt may use; `None` if it may use all.
    fn allowed_versions<'a>(&'a self, need: &Need<'a>) -> Option<BTreeSet<&'a str>> {
        let versions = &self.pools.get(need.pool)?.versions;
        let is_mixed = versions.len() > 1;
        match need.software {
            Software::Any => None,
            Software::Only(software) if !is_mixed && versions.contains_key(software) => None,
            Software::With(_) if !is_mixed => None,
            Software::Only(software) => Some(BTreeSet::from([software])),
            Software::With(kind) => {
                let partners = self.tracked(kind, need.pool).filter(|(_, e)| self.fits(need, e));
                let versions: BTreeSet<_> = partners.map(|(_, e)| &*e.state.software).collect();
                Some(versions).filter(|v| !v.is_empty())
            }
        }
    }

    /// Returns whether other endpoints of a pool and kind take work, but none of a software version.
    pub fn lacks(&self, kind: EndpointKind, pool: &str, software: &str) -> bool {
        let open = self.tracked(kind, pool).filter(|(_, e)| !e.state.draining);
        let versions: BTreeSet<_> = open.map(|(_, e)| &*e.state.software).collect();
        !versions.is_empty() && !versions.contains(software)
    }

    fn tracked(
        &self,
        kind: EndpointKind,
        pool: &str,
    ) -> impl Iterator<Item = (EndpointKey, &Tracked)> {
        let keys = self.keys(kind, pool).iter();
        keys.filter_map(|key| Some((*key, self.endpoints.get(*key)?)))
    }

    /// Returns how many calls of a pool have requested decode capacity and not started a prefill
    /// yet.
    pub fn starting(&self, pool: &str) -> usize {
        self.pools.get(pool).map_or(0, |p| p.starting)
    }

    /// Returns the time that a prefill of `tokens` usually takes; zero while it is unknown.
    pub fn prefill_time(&self, now: Timestamp, pool: &str, tokens: u64) -> Duration {
        let rate = self.pools.get(pool).map_or(0, |p| p.rate.get(now));
        Duration::from_micros((tokens * 1_000_000).checked_div(rate).unwrap_or(0))
    }

    /// Returns the time within which most answers of at most `tokens` are complete; zero while it
    /// is unknown.
    pub fn answer_time(&self, now: Timestamp, pool: &str, tokens: u32) -> Duration {
        let Some(pool) = self.pools.get(pool) else { return Duration::ZERO };
        let share = match pool.share.get(now) {
            0 => 1_000,
            share => (share + pool.deviation.get(now)).min(1_000),
        };
        Duration::from_micros(pool.token.get(now) * u64::from(tokens) * share / 1_000)
    }

    /// Returns the usual time from the start of an import to the first token; zero while it is
    /// unknown.
    pub fn import_time(&self, now: Timestamp, pool: &str) -> Duration {
        Duration::from_micros(self.pools.get(pool).map_or(0, |p| p.import.get(now)))
    }

    /// Returns the time that all prefill endpoints of a pool together need to prefill `tokens`.
    pub fn drain_time(&self, now: Timestamp, pool: &str, tokens: u64) -> Duration {
        let count = self.keys(EndpointKind::Prefill, pool).len().max(1);
        self.prefill_time(now, pool, tokens / count as u64)
    }

    /// Returns whether failing endpoints are ejected.
    pub fn ejects(&self) -> bool {
        self.ejects
    }

    /// Returns the failure domain of a call's latest failed attempt.
    pub fn failed_domain(&self, call: CallId) -> Option<&str> {
        self.failed.get(&call).map(|d| &**d)
    }

    /// Removes the state of a call that has ended.
    pub fn finished(&mut self, call: CallId) {
        self.failed.remove(&call);
    }

    /// Replaces the announced endpoints; the history of an endpoint that restarted or moved is
    /// dropped.
    pub fn update(&mut self, announced: &BTreeMap<Box<str>, EndpointState>) {
        let removed: Vec<_> = self
            .names
            .iter()
            .filter(|(n, _)| !announced.contains_key(*n))
            .map(|(_, k)| *k)
            .collect();
        for key in removed {
            self.remove_endpoint(key);
        }
        for (name, state) in announced {
            match self.names.get(name).and_then(|k| self.endpoints.get_mut(*k)) {
                Some(e) if same_instance(&e.state, state) => e.state = state.clone(),
                Some(_) => {
                    self.remove_endpoint(self.names[name]);
                    self.insert(state.clone());
                }
                None => self.insert(state.clone()),
            }
        }
    }

    fn insert(&mut self, state: EndpointState) {
        let (name, pool) = (state.name.clone(), state.pool.clone());
        let (kind, address) = (state.kind, state.address);
        let software = state.software.clone();
        let key = self.endpoints.insert(Tracked::new(state));
        self.names.insert(name, key);
        self.addresses.insert(address, key);
        let pool = self.pools.entry(pool).or_default();
        pool.keys_mut(kind).push(key);
        *pool.versions.entry(software).or_default() += 1;
    }

    fn remove_endpoint(&mut self, key: EndpointKey) {
        let Some(endpoint) = self.endpoints.remove(key) else { return };
        let state = endpoint.state;
        self.names.remove(&state.name);
        self.addresses.remove(&state.address);
        if let Some(pool) = self.pools.get_mut(&state.pool) {
            pool.keys_mut(state.kind).retain(|k| *k != key);
            pool.remove_version(&state.software);
        }
    }

    /// Records work that the entry starts or cancels.
    pub fn record_output<E>(&mut self, now: Timestamp, output: &Output<E>) {
        match output {
            Output::Open { exchange, peer, envelope } => {
                if let Request::Agent(request) = &envelope.body {
                    self.opened(now, *exchange, *peer, request);
                }
            }
            Output::Send { exchange, envelope } => {
                if let Request::Agent(AgentRequest::Decode { until, .. }) = &envelope.body {
                    self.import(now, *exchange, *until);
                }
            }
            Output::Reset { exchange } => {
                let Some(flight) = self.remove_flight(*exchange) else { return };
                if now - flight.last_reply >= MIN_SILENCE {
                    self.judge(now, flight, Verdict::Silent);
                }
            }
            _ => {}
        }
    }

    /// Records that an exchange has closed, as a failure of its endpoint if there was one.
    pub fn record_close(
        &mut self,
        now: Timestamp,
        exchange: ExchangeId,
        failure: Option<LinkFailure>,
    ) {
        let Some(flight) = self.remove_flight(exchange) else { return };
        if failure.is_some() {
            self.judge(now, flight, Verdict::Failed);
        }
    }

    /// Records an agent's reply: the load, the progress or the result of its exchange.
    pub fn record_reply(&mut self, now: Timestamp, exchange: ExchangeId, reply: &Reply) {
        let Reply::Agent(reply) = reply else { return };
        let Some(flight) = self.flights.get_mut(&exchange) else { return };
        flight.last_reply = now;
        let flight = *flight;
        match reply {
            AgentReply::Load(load) => self.update_load(now, flight.endpoint, *load),
            AgentReply::Part { tokens, .. } => {
                self.record_tokens(now, exchange, tokens.len() as u32)
            }
            AgentReply::End { offset, .. } => {
                self.record_length(now, flight, *offset);
                self.judge(now, flight, Verdict::Worked);
                self.remove_flight(exchange);
            }
            AgentReply::Exported(_) | AgentReply::Answer(_) => {
                self.judge(now, flight, Verdict::Worked);
                self.remove_flight(exchange);
            }
            AgentReply::Refused(refusal) => {
                if refusal.reason == RefusalReason::EndpointFailed {
                    self.judge(now, flight, Verdict::Failed);
                }
                self.remove_flight(exchange);
            }
            _ => {}
        }
    }

    /// Records the length of an answer as a share of the maximum length.
    fn record_length(&mut self, now: Timestamp, flight: Flight, tokens: u32) {
        let Some(endpoint) = self.endpoints.get(flight.endpoint) else { return };
        let Some(pool) = self.pools.get_mut(&endpoint.state.pool) else { return };
        let share = u64::from(tokens) * 1_000 / u64::from(flight.until.max(1));
        let deviation = share.abs_diff(pool.share.get(now));
        if pool.share.get(now) > 0 {
            pool.deviation.add(now, deviation);
        }
        pool.share.add(now, share);
    }

    fn update_load(&mut self, now: Timestamp, key: EndpointKey, load: Load) {
        let Some(endpoint) = self.endpoints.get_mut(key) else { return };
        endpoint.update_load(now, load);
        if load.prefill_rate > 0
            && let Some(pool) = self.pools.get_mut(&endpoint.state.pool)
        {
            pool.rate.add(now, u64::from(load.prefill_rate));
        }
    }

    fn opened(
        &mut self,
        now: Timestamp,
        exchange: ExchangeId,
        peer: SocketAddr,
        request: &AgentRequest,
    ) {
        let Some(&key) = self.addresses.get(&peer) else { return };
        let Some(endpoint) = self.endpoints.get_mut(key) else { return };
        let capacity = endpoint.state.capacity;
        let Some(flight) = Flight::new(now, key, capacity, request) else { return };
        endpoint.add(flight.load);
        endpoint.health.began(now);
        let pool = endpoint.state.pool.clone();
        if flight.stage == Stage::Reserved {
            self.add_starting(flight.call, pool);
        } else {
            self.remove_starting(flight.call);
        }
        self.flights.insert(exchange, flight);
    }

    fn import(&mut self, now: Timestamp, exchange: ExchangeId, until: u32) {
        let Some(flight) = self.flights.get_mut(&exchange) else { return };
        if flight.stage != Stage::Reserved {
            return;
        }
        flight.stage = Stage::Importing;
        flight.until = until;
        flight.since = now;
        let (key, call) = (flight.endpoint, flight.call);
        if let Some(endpoint) = self.endpoints.get_mut(key) {
            endpoint.transfers += 1;
        }
        // A fallback imports an existing export, so no prefill follows.
        self.remove_starting(call);
    }

    fn record_tokens(&mut self, now: Timestamp, exchange: ExchangeId, tokens: u32) {
        let Some(flight) = self.flights.get_mut(&exchange) else { return };
        let elapsed = (now - flight.since).as_micros() as u64;
        flight.since = now;
        let Some(endpoint) = self.endpoints.get_mut(flight.endpoint) else { return };
        if flight.stage == Stage::Importing {
            flight.stage = Stage::Running;
            endpoint.transfers = endpoint.transfers.saturating_sub(1);
            endpoint.transfer.add(now, elapsed);
            if let Some(pool) = self.pools.get_mut(&endpoint.state.pool) {
                pool.import.add(now, elapsed);
            }
        } else if let Some(pool) = self.pools.get_mut(&endpoint.state.pool) {
            pool.token.add(now, elapsed / u64::from(tokens.max(1)));
        }
    }

    /// Removes the work of an exchange from the endpoint's load.
    fn remove_flight(&mut self, exchange: ExchangeId) -> Option<Flight> {
        let flight = self.flights.remove(&exchange)?;
        if let Some(endpoint) = self.endpoints.get_mut(flight.endpoint) {
            endpoint.remove(flight.load);
            if flight.stage == Stage::Importing {
                endpoint.transfers = endpoint.transfers.saturating_sub(1);
            }
        }
        self.remove_starting(flight.call);
        Some(flight)
    }

    /// Counts a call that has requested decode capacity.
    fn add_starting(&mut self, call: CallId, pool: Box<str>) {
        self.remove_starting(call);
        self.pools.entry(pool.clone()).or_default().starting += 1;
        self.starting.insert(call, pool);
    }

    /// Stops counting a call whose prefill is placed or not needed; its pool may have no endpoints
    /// any more.
    fn remove_starting(&mut self, call: CallId) {
        let Some(pool) = self.starting.remove(&call) else { return };
        if let Some(pool) = self.pools.get_mut(&pool) {
            pool.starting -= 1;
        }
    }

    fn judge(&mut self, now: Timestamp, flight: Flight, verdict: Verdict) {
        if !self.ejects {
            return;
        }
        let Some(endpoint) = self.endpoints.get_mut(flight.endpoint) else { return };
        endpoint.health.judge(now, verdict);
        if verdict != Verdict::Worked {
            self.failed.insert(flight.call, endpoint.state.domain.clone());
        }
    }
}

/// Returns whether two announcements are of the same boot, address, kind, pool and software.
fn same_instance(a: &EndpointState, b: &EndpointState) -> bool {
    let same_place = (a.boot, a.address, a.kind) == (b.boot, b.address, b.kind);
    same_place && (&a.pool, &a.software) == (&b.pool, &b.software)
}
