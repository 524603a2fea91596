//! Assigns calls to decode endpoints with free capacity, for all gateways.
//!
//! This matters while the KV cache of the decode endpoints is full for many seconds: each gateway
//! knows only its own calls and reports that are seconds old, so it would try one full endpoint
//! after the other. So the leader counts all runs and assigns each call to the endpoint with the
//! most free capacity, or to none if all are full. The endpoint itself may still refuse the call.
//! The count is soft state: a new leader starts with an empty one.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::waiting::{NoRoom, Promised, Waiting, WaitingCall};
use super::{Candidate, rates};
use crate::gateway::place::IDLE_STEP;
use crate::gateway::place::locality::{DomainTerms, Times, Work};
use crate::model::{BootId, Timestamp};

/// The share of an endpoint's KV cache that is assigned to calls, in percent; the rest covers
/// answers that become longer than estimated.
const FILL_PERCENT: u64 = 97;
/// How long an endpoint that refused a call is assigned no other one.
const REFUSED_COOLDOWN: Duration = Duration::from_millis(100);
/// How soon after a refusal another one shows that the endpoint is full, whatever its count says.
const REFUSED_AGAIN: Duration = Duration::from_millis(1_000);
/// How long KV cache in use that no counted run explains takes to be freed.
const UNCOUNTED_TTL: Duration = Duration::from_millis(2_500);
/// How long an endpoint that did not answer is assigned no call.
const SILENT_COOLDOWN: Duration = Duration::from_millis(1_000);
/// How long a run counts if its end is not reported.
const RUN_TTL: Duration = Duration::from_millis(10_000);
/// How long the end of a run is kept if it arrives before the request for the run: messages may
/// overtake each other, and a gateway abandons a request that is not answered in time.
const EARLY_END_RETENTION: Duration = Duration::from_millis(5_000);
/// How often runs of disconnected gateways are removed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

/// The number of a run, unique among all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunId(pub u64);

/// A request to assign a call to an endpoint with free capacity.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomRequest {
    /// The number of the run.
    pub run: RunId,
    /// Identifies the start of the gateway that owns the call.
    pub owner: BootId,
    /// The KV cache that the call is counted with, in tokens.
    pub tokens: u32,
    /// The KV cache that must stay free beside the call, in tokens.
    pub spare: u32,
    /// The size of the KV cache of each endpoint, in tokens.
    pub memory: u32,
    /// The number of requests that each endpoint runs concurrently.
    pub slots: u32,
    /// The endpoints to choose from.
    pub candidates: Vec<Candidate>,
    /// The call, for the order among calls that wait.
    pub call: WaitingCall,
}

/// A run that the leader did not assign itself: it began under another leader, or while the gateway
/// chose without one.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownRun {
    /// The number of the run.
    pub run: RunId,
    /// The decode endpoint that runs it, or is to run it.
    pub endpoint: Box<str>,
    /// The KV cache that the call is counted with, in tokens.
    pub tokens: u32,
}

/// How a run ended, or why it did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// The run ended and no longer uses KV cache.
    Over,
    /// The endpoint refused the run for lack of capacity.
    Refused,
    /// The endpoint did not answer.
    Silent,
}

#[derive(Debug)]
struct Run {
    endpoint: Box<str>,
    owner: BootId,
    tokens: u32,
    since: Timestamp,
}

/// What is known of the capacity of one endpoint.
#[derive(Debug, Default)]
struct Load {
    /// The count of its runs.
    runs: u32,
    /// The sum of their tokens.
    tokens: u64,
    /// The KV cache in use that no counted run explains, in tokens, at `learned`.
    uncounted: u64,
    learned: Timestamp,
    /// When it last refused a call.
    refused: Timestamp,
    /// The end of its cooldown.
    paused: Timestamp,
    /// The size of its KV cache, in tokens.
    memory: u32,
}

impl Load {
    /// Returns the tokens of KV cache that are in use.
    fn used(&self, now: Timestamp) -> u64 {
        let left = UNCOUNTED_TTL.saturating_sub(now - self.learned).as_millis() as u64;
        self.tokens + self.uncounted * left / UNCOUNTED_TTL.as_millis() as u64
    }

    /// Records a refusal. After the second one in a short time the endpoint counts as full: there
    /// are runs that the leader doesn't count, or answers have become longer than estimated.
    fn refuse(&mut self, now: Timestamp) {
        let again = self.refused > Timestamp::default() && now - self.refused < REFUSED_AGAIN;
        self.refused = now;
        self.paused = now + REFUSED_COOLDOWN;
        if again {
            self.uncounted = capacity(self.memory).saturating_sub(self.tokens);
            self.learned = now;
        }
    }

    /// Returns whether nothing is known of it that matters any more.
    fn is_forgotten(&self, now: Timestamp) -> bool {
        let is_idle = self.runs == 0 && self.used(now) == 0;
        is_idle && self.paused <= now && now - self.refused >= REFUSED_AGAIN
    }
}

/// Returns how many tokens of a KV cache are assigned to calls.
fn capacity(memory: u32) -> u64 {
    u64::from(memory) * FILL_PERCENT / 100
}

/// The runs that the leader has assigned to decode endpoints, and the endpoints in cooldown.
///
/// ```
/// use dotterelpin::control::dispatch::Candidate;
/// use dotterelpin::control::dispatch::rooms::{RoomRequest, Rooms, RunEnd, RunId};
/// use dotterelpin::model::{BootId, Timestamp};
///
/// let now = Timestamp::from_micros(1);
/// let candidates = vec![Candidate::new("d1", true)];
/// let request = |run| RoomRequest {
///     run: RunId(run), owner: BootId(1), tokens: 6_000, spare: 0, memory: 10_000, slots: 8,
///     candidates: candidates.clone(), call: Default::default(),
/// };
/// let mut rooms = Rooms::default();
/// assert_eq!(rooms.assign(now, &request(1)).as_deref(), Some("d1"));
/// assert_eq!(rooms.assign(now, &request(2)), None);
/// rooms.ended(now, RunId(1), RunEnd::Over);
/// assert_eq!(rooms.assign(now, &request(3)).as_deref(), Some("d1"));
/// ```
#[derive(Debug, Default)]
pub struct Rooms {
    runs: BTreeMap<RunId, Run>,
    /// The load of each endpoint; kept beside the runs, since a decision that walked all runs would
    /// slow down with the fleet.
    loads: BTreeMap<Box<str>, Load>,
    /// The runs whose ends arrived before their requests, and when.
    early_ends: BTreeMap<RunId, Timestamp>,
    /// When expired state is removed next.
    next_expiry: Timestamp,
    /// When runs of disconnected gateways are removed next.
    next_sweep: Timestamp,
    /// The requests that got no capacity.
    waiting: Waiting,
}

impl Rooms {
    /// Returns the endpoint that is to run a call, if any has capacity, and counts the call there.
    pub fn assign(&mut self, now: Timestamp, request: &RoomRequest) -> Option<Box<str>> {
        self.decide(now, request).ok()
    }

    /// Returns the endpoint that is to run a call and counts the call there, or why it gets none.
    pub fn decide(&mut self, now: Timestamp, request: &RoomRequest) -> Result<Box<str>, NoRoom> {
        self.expire(now);
        if self.early_ends.remove(&request.run).is_some() {
            return Err(NoRoom::Ended);
        }
        let mut waiting = std::mem::take(&mut self.waiting);
        let found = waiting.decide(now, request, |r, p| self.least_loaded(now, r, p));
        self.waiting = waiting;
        let endpoint = found?;
        let run = KnownRun { run: request.run, endpoint: endpoint.clone(), tokens: request.tokens };
        self.insert(now, request.owner, &run);
        if let Some(load) = self.loads.get_mut(&endpoint) {
            load.memory = request.memory;
        }
        Ok(endpoint)
    }

    /// Returns the least loaded candidate that has capacity for a call beside what is promised.
    fn least_loaded(
        &self,
        now: Timestamp,
        request: &RoomRequest,
        promised: &Promised,
    ) -> Option<Box<str>> {
        let idle = Load::default();
        let load = |c: &Candidate| self.loads.get(&c.endpoint).unwrap_or(&idle);
        let fits = |c: &Candidate| {
            let load = load(c);
            let (runs, tokens) = promised.at(&c.endpoint);
            let used = load.used(now) + tokens;
            let alone = used == 0 && request.tokens <= request.memory;
            let needs = used + u64::from(request.tokens) + u64::from(request.spare);
            let has_slot = load.runs + runs < request.slots;
            has_slot && load.paused <= now && (alone || needs <= capacity(request.memory))
        };
        let times = Times::new(Work::Run, DomainTerms::default(), &rates(&request.candidates));
        let cost = |(at, c): &(usize, &Candidate)| {
            let used = load(c).used(now) + promised.at(&c.endpoint).1;
            let part = used * 1_000 / u64::from(request.memory.max(1));
            c.cost(*at, &times, IDLE_STEP + part)
        };
        let candidates = request.candidates.iter().enumerate();
        let (_, chosen) = candidates.filter(|(_, c)| fits(c)).min_by_key(cost)?;
        Some(chosen.endpoint.clone())
    }

    /// Counts runs that this leader did not assign; those that it knows, or that have ended, are
    /// left as they are.
    ///
    /// ```
    /// use dotterelpin::control::dispatch::rooms::{KnownRun, Rooms, RunEnd, RunId};
    /// use dotterelpin::model::{BootId, Timestamp};
    ///
    /// let now = Timestamp::from_micros(1);
    /// let run = KnownRun { run: RunId(7), endpoint: "d1".into(), tokens: 6_000 };
    /// let mut rooms = Rooms::default();
    /// rooms.count(now, BootId(1), std::slice::from_ref(&run));
    /// assert_eq!(rooms.used(now, "d1"), 6_000);
    /// rooms.ended(now, RunId(7), RunEnd::Over);
    /// assert_eq!(rooms.used(now, "d1"), 0);
    /// ```
    pub fn count(&mut self, now: Timestamp, owner: BootId, runs: &[KnownRun]) {
        for run in runs {
            if self.early_ends.remove(&run.run).is_none() && !self.runs.contains_key(&run.run) {
                self.insert(now, owner, run);
            }
        }
    }

    /// Returns how many tokens of KV cache are assumed to be in use at an endpoint.
    pub fn used(&self, now: Timestamp, endpoint: &str) -> u64 {
        self.loads.get(endpoint).map_or(0, |load| load.used(now))
    }

    /// Records that a run has ended or did not start; unless it ended normally, its endpoint is
    /// assigned no call for a while.
    pub fn ended(&mut self, now: Timestamp, run: RunId, end: RunEnd) {
        let Some(run) = self.remove(run) else {
            self.early_ends.insert(run, now);
            return;
        };
        let Some(load) = self.loads.get_mut(&run.endpoint) else { return };
        match end {
            RunEnd::Over => {}
            RunEnd::Refused => load.refuse(now),
            RunEnd::Silent => load.paused = now + SILENT_COOLDOWN,
        }
    }

    /// Removes the runs of disconnected gateways, since their ends are not reported any more.
    pub fn retain_owners(&mut self, now: Timestamp, is_alive: impl Fn(BootId) -> bool) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.remove_runs(|run| !is_alive(run.owner));
        self.waiting.retain_owners(now, is_alive);
    }

    fn insert(&mut self, now: Timestamp, owner: BootId, known: &KnownRun) {
        let (endpoint, tokens) = (known.endpoint.clone(), known.tokens);
        let load = self.loads.entry(endpoint.clone()).or_default();
        load.runs += 1;
        load.tokens += u64::from(tokens);
        self.runs.insert(known.run, Run { endpoint, owner, tokens, since: now });
    }

    fn remove(&mut self, run: RunId) -> Option<Run> {
        let run = self.runs.remove(&run)?;
        if let Some(load) = self.loads.get_mut(&run.endpoint) {
            load.runs -= 1;
            load.tokens -= u64::from(run.tokens);
        }
        Some(run)
    }

    fn remove_runs(&mut self, ended: impl Fn(&Run) -> bool) {
        let ended: Vec<RunId> =
            self.runs.iter().filter(|(_, run)| ended(run)).map(|(id, _)| *id).collect();
        for run in ended {
            self.remove(run);
        }
    }

    fn expire(&mut self, now: Timestamp) {
        if now < self.next_expiry {
            return;
        }
        self.next_expiry = now + SWEEP_INTERVAL;
        self.remove_runs(|run| now - run.since >= RUN_TTL);
        self.loads.retain(|_, load| !load.is_forgotten(now));
        self.early_ends.retain(|_, at| now - *at < EARLY_END_RETENTION);
    }
}
