//! The order in which calls of all gateways get capacity that is freed.
//!
//! Made for a busy day: an urgent kind of call (some a second, short target) competes for full
//! endpoints with a cheap kind of many times its rate. A gateway asks again some time after it got
//! none, and without an order whoever asks first gets what was freed: the urgent kind is served as
//! seldom as the cheap one. So the leader keeps the requests that got none, and a request is refused
//! if requests before it would need the capacity that it would take.
//!
//! A claim is soft state: it ends some time after the gateway last asked for the call, so a gateway
//! that freezes keeps capacity from others only that long. A new leader starts without claims.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::rooms::RoomRequest;
use super::shares::{Assigned, Shares};
use crate::model::{BootId, Rank, Timestamp, Turns};

/// How long a claim lasts after its gateway has asked: gateways ask again within 100 ms, and an
/// answer may take 25 ms.
const CLAIM_TTL: Duration = Duration::from_millis(150);
/// The maximum number of claims on the endpoints of a service, for 300 gateways of three kinds.
const MAX_CLAIMS: usize = 1_024;
/// Calls of one kind whose arrivals differ by less than this are equal: capacity that waits for an
/// earlier one is idle meanwhile, and callers notice no such difference.
const ARRIVAL_STEP: Duration = Duration::from_millis(400);
/// How long the demand of a kind of call is remembered.
const DEMAND_WINDOW: Duration = Duration::from_millis(5_000);
/// The maximum number of remembered calls of a kind.
const MAX_DEMAND: usize = 1_024;
/// The time whose demand of the most urgent kind is kept free: a third of a target of 800 ms.
const RESERVE_SPAN: Duration = Duration::from_millis(250);
/// The percentage of the capacity assigned within `RESERVE_SPAN` that is expected to be freed again
/// for the most urgent kind in as long; the reserve covers only the demand beyond that. A large
/// fleet frees capacity so often that a claim is enough, and a reserve would be idle.
const FREED_PERCENT: u64 = 50;
/// The call for which capacity is requested, as far as the order of calls depends on it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct WaitingCall {
    /// The number of the call at its gateway.
    pub number: u64,
    /// The service that it is for.
    pub service: Box<str>,
    /// Its rank.
    pub rank: Rank,
    /// The name of its client account; empty without one.
    pub account: Box<str>,
    /// The tokens a second that its account is entitled to.
    pub weight: u32,
    /// How long it has waited.
    pub waited: Duration,
    /// How long it may still wait; zero if it keeps no claim.
    pub patience: Duration,
}

/// Why a request for capacity got none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoRoom {
    /// No endpoint has capacity for the call.
    Full,
    /// So many calls before it need the capacity that it would take.
    Behind(u32),
    /// The run ended before it was requested.
    Ended,
}

/// Capacity that is set aside at endpoints while a request is decided.
#[derive(Debug, Default)]
pub struct Promised {
    endpoints: BTreeMap<Box<str>, (u32, u64)>,
}

impl Promised {
    /// Returns the runs and the tokens that are set aside at an endpoint.
    pub fn at(&self, endpoint: &str) -> (u32, u64) {
        self.endpoints.get(endpoint).copied().unwrap_or_default()
    }

    fn add(&mut self, endpoint: Box<str>, tokens: u32) {
        let (runs, sum) = self.endpoints.entry(endpoint).or_default();
        *runs += 1;
        *sum += u64::from(tokens);
    }
}

/// A request that got no capacity.
#[derive(Debug)]
struct Claim {
    request: RoomRequest,
    arrived: Timestamp,
    until: Timestamp,
}

/// The recent calls of one kind.
#[derive(Debug)]
struct Demand {
    /// When each call was first requested, and its tokens.
    calls: VecDeque<(Timestamp, u32)>,
    /// The last request.
    last: RoomRequest,
}

/// The state of one service.
#[derive(Debug)]
struct Line {
    claims: BTreeMap<(BootId, u64), Claim>,
    turns: Turns<Box<str>>,
    demand: BTreeMap<(u8, u8), Demand>,
    assigned: Assigned,
}

impl Default for Line {
    fn default() -> Line {
        Line {
            claims: BTreeMap::new(),
            turns: Turns::of_rates(),
            demand: BTreeMap::new(),
            assigned: Assigned::default(),
        }
    }
}

/// See [`Line::place`].
type Place = (bool, (u8, u8), bool, u64, u64);

impl Line {
    /// Removes claims, demand and shares that are over.
    fn expire(&mut self, now: Timestamp) {
        self.claims.retain(|_, claim| now < claim.until);
        for demand in self.demand.values_mut() {
            while demand.calls.front().is_some_and(|(at, _)| now - *at >= DEMAND_WINDOW) {
                demand.calls.pop_front();
            }
        }
        self.demand.retain(|_, demand| !demand.calls.is_empty());
        self.assigned.expire(now);
    }

    fn is_empty(&self) -> bool {
        self.claims.is_empty() && self.demand.is_empty() && self.assigned.is_empty()
    }

    /// Counts the first request for a call as demand of its kind. Further ones are told by its claim;
    /// a call that keeps none runs already.
    fn record_demand(&mut self, now: Timestamp, request: &RoomRequest) {
        if self.claims.contains_key(&key(request)) || request.call.patience.is_zero() {
            return;
        }
        let needed = request.tokens.saturating_add(request.spare);
        let new = || Demand { calls: VecDeque::new(), last: request.clone() };
        let demand = self.demand.entry(request.call.rank.kind()).or_insert_with(new);
        demand.last.clone_from(request);
        demand.calls.push_back((now, needed));
        if demand.calls.len() > MAX_DEMAND {
            demand.calls.pop_front();
        }
    }

    /// Returns the place of a call in the order: whether its kind has its floor, its kind, whether
    /// it is after the late calls or those in time, the round of its account, and its arrival in
    /// steps.
    fn place(&self, shares: &Shares, call: &WaitingCall, arrived: Timestamp) -> Place {
        let step = arrived.as_micros() / ARRIVAL_STEP.as_micros() as u64;
        let kind = call.rank.kind();
        let last = call.rank.late == shares.has_late_share(kind);
        (shares.has_floor(kind), kind, last, self.turns.round(&call.account), step)
    }

    /// Returns what goes before a request, in order: the reserve of the most urgent kind, and the
    /// claims before it.
    fn before<'a>(
        &'a self,
        request: &RoomRequest,
        arrived: Timestamp,
        reserve: Option<&'a (RoomRequest, usize)>,
    ) -> Vec<&'a RoomRequest> {
        let shares = self.assigned.shares();
        let own = self.place(&shares, &request.call, arrived);
        let others = self.claims.iter().filter(|(id, _)| **id != key(request));
        let mut claims: Vec<(Place, &RoomRequest)> = others
            .map(|(_, claim)| {
                (self.place(&shares, &claim.request.call, claim.arrived), &claim.request)
            })
            .filter(|(place, _)| *place < own)
            .collect();
        claims.sort_by_key(|(place, _)| *place);
        let reserve = reserve.filter(|_| shares.has_floor(request.call.rank.kind()));
        let reserve = reserve.into_iter().flat_map(|(call, n)| std::iter::repeat_n(call, *n));
        reserve.chain(claims.into_iter().map(|(_, claim)| claim)).collect()
    }

    /// Returns the usual call of the most urgent kind, and how many are expected soon, if a kind is
    /// another one.
    fn reserve(&self, now: Timestamp, kind: (u8, u8)) -> Option<(RoomRequest, usize)> {
        let (_, demand) = self.demand.first_key_value().filter(|(k, _)| **k < kind)?;
        let count = demand.calls.len() as u64;
        let sum: u64 = demand.calls.iter().map(|(_, tokens)| u64::from(*tokens)).sum();
        let span = RESERVE_SPAN.as_millis() as u64;
        let expected = (sum * span).div_ceil(DEMAND_WINDOW.as_millis() as u64);
        let freed = self.assigned.since(now, RESERVE_SPAN);
        let needed = expected.saturating_sub(freed * FREED_PERCENT / 100);
        let tokens = (sum / count.max(1)).max(1);
        let size = u32::try_from(tokens).unwrap_or(u32::MAX);
        let call = RoomRequest { tokens: size, spare: 0, ..demand.last.clone() };
        Some((call, needed.div_ceil(tokens) as usize))
    }

    /// Keeps the claim of a request that got nothing.
    fn keep(&mut self, now: Timestamp, request: &RoomRequest, arrived: Timestamp) {
        let until = now + CLAIM_TTL.min(request.call.patience);
        let account = &request.call.account;
        if self.claims.is_empty() {
            // Nobody waits: all accounts are equal again.
            self.turns = Turns::of_rates();
        }
        if !self.claims.values().any(|c| c.request.call.account == *account) {
            self.turns.join(account.clone());
        }
        let is_known = self.claims.contains_key(&key(request));
        if now < until && (is_known || self.claims.len() < MAX_CLAIMS) {
            self.claims.insert(key(request), Claim { request: request.clone(), arrived, until });
        }
    }

    /// Records that a request got capacity.
    fn serve(&mut self, now: Timestamp, request: &RoomRequest) {
        self.claims.remove(&key(request));
        let call = &request.call;
        if !self.claims.is_empty() {
            self.turns.charge(call.account.clone(), call.weight.into(), request.tokens.into());
            let waiting = self.claims.values().map(|c| &*c.request.call.account);
            let waiting: BTreeSet<&str> = waiting.collect();
            self.turns.retain(|name| waiting.contains(&**name));
        }
        self.assigned.record(now, call.rank, request.tokens);
    }
}

fn key(request: &RoomRequest) -> (BootId, u64) {
    (request.owner, request.call.number)
}

/// The requests that got no capacity, and what decides which request gets it.
///
/// ```
/// use std::time::Duration;
/// use dotterelpin::control::dispatch::Candidate;
/// use dotterelpin::control::dispatch::rooms::{RoomRequest, RunId};
/// use dotterelpin::control::dispatch::waiting::{NoRoom, Waiting, WaitingCall};
/// use dotterelpin::model::{BootId, Rank, Timestamp};
///
/// let now = Timestamp::from_micros(1);
/// let request = |number, priority| RoomRequest {
///     run: RunId(number), owner: BootId(1), tokens: 6_000, spare: 0, memory: 10_000, slots: 8,
///     candidates: vec![Candidate::new("d1", true)],
///     call: WaitingCall {
///         number, rank: Rank { account: priority, priority, late: false },
///         patience: Duration::from_millis(500), ..WaitingCall::default()
///     },
/// };
/// let mut waiting = Waiting::default();
/// let (urgent, cheap) = (request(1, 0), request(2, 2));
/// assert_eq!(waiting.decide(now, &urgent, |_, _| None), Err(NoRoom::Full));
/// // Capacity for one call is freed; the cheap call asks for it first.
/// let one = |_: &RoomRequest, p: &dotterelpin::control::dispatch::waiting::Promised| {
///     (p.at("d1").0 == 0).then(|| "d1".into())
/// };
/// assert_eq!(waiting.decide(now, &cheap, one), Err(NoRoom::Behind(1)));
/// assert_eq!(waiting.decide(now, &urgent, one), Ok("d1".into()));
/// ```
#[derive(Debug, Default)]
pub struct Waiting {
    lines: BTreeMap<Box<str>, Line>,
}

impl Waiting {
    /// Returns the endpoint for a request, or why it gets none; `place` returns the endpoint that
    /// has capacity for a request beside what is promised to others, if any.
    pub fn decide(
        &mut self,
        now: Timestamp,
        request: &RoomRequest,
        place: impl Fn(&RoomRequest, &Promised) -> Option<Box<str>>,
    ) -> Result<Box<str>, NoRoom> {
        let arrived = arrival(now, request.call.waited);
        let request = &*self.with_claim(now, request);
        let line = self.lines.entry(request.call.service.clone()).or_default();
        line.record_demand(now, request);
        let reserve = line.reserve(now, request.call.rank.kind());
        let found =
            decide_among(request, || line.before(request, arrived, reserve.as_ref()), place);
        match found {
            Ok(_) => line.serve(now, request),
            Err(_) => line.keep(now, request, arrived),
        }
        found
    }

    /// Returns a request as it is decided: a late call whose kind owes late calls their share leaves
    /// no capacity free for calls in time.
    fn with_claim<'a>(&mut self, now: Timestamp, request: &'a RoomRequest) -> Cow<'a, RoomRequest> {
        let line = self.lines.entry(request.call.service.clone()).or_default();
        line.expire(now);
        let rank = request.call.rank;
        if !rank.late || request.spare == 0 || line.assigned.shares().has_late_share(rank.kind()) {
            return Cow::Borrowed(request);
        }
        Cow::Owned(RoomRequest { spare: 0, ..request.clone() })
    }

    /// Removes the claims of disconnected gateways, and services without calls.
    pub fn retain_owners(&mut self, now: Timestamp, is_alive: impl Fn(BootId) -> bool) {
        for line in self.lines.values_mut() {
            line.expire(now);
            line.claims.retain(|(owner, _), _| is_alive(*owner));
        }
        self.lines.retain(|_, line| !line.is_empty());
    }

    /// Returns how many claims are kept.
    pub fn claims(&self) -> usize {
        self.lines.values().map(|line| line.claims.len()).sum()
    }
}

/// Returns the endpoint that is left for a request once the calls before it have theirs.
fn decide_among<'a>(
    request: &RoomRequest,
    before: impl FnOnce() -> Vec<&'a RoomRequest>,
    place: impl Fn(&RoomRequest, &Promised) -> Option<Box<str>>,
) -> Result<Box<str>, NoRoom> {
    let mut promised = Promised::default();
    let mut endpoint = place(request, &promised).ok_or(NoRoom::Full)?;
    let mut ahead = 0;
    for other in before() {
        let Some(taken) = place(other, &promised) else { continue };
        ahead += 1;
        let is_same = taken == endpoint;
        promised.add(taken, other.tokens);
        if is_same {
            endpoint = place(request, &promised).ok_or(NoRoom::Behind(ahead))?;
        }
    }
    Ok(endpoint)
}

/// Returns when a call that has waited so long arrived.
fn arrival(now: Timestamp, waited: Duration) -> Timestamp {
    let waited = u64::try_from(waited.as_micros()).unwrap_or(u64::MAX);
    Timestamp::from_micros(now.as_micros().saturating_sub(waited))
}
