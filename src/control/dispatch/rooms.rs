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

use super::Candidate;
use crate::model::{BootId, Timestamp};

/// The share of an endpoint's KV cache that is assigned to calls, in percent; the rest covers
/// answers that become longer than estimated.
const FILL_PERCENT: u64 = 97;
/// An endpoint in another failure domain is chosen only if its load, in thousandths of its KV
/// cache, is lower by at least this much.
const REMOTE_PENALTY_LOAD: u64 = 60;
/// How long an endpoint that refused a call is assigned no other one.
const REFUSED_COOLDOWN: Duration = Duration::from_millis(100);
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

/// The runs that the leader has assigned to decode endpoints, and the endpoints in cooldown.
///
/// ```
/// use dotterelpin::control::dispatch::Candidate;
/// use dotterelpin::control::dispatch::rooms::{RoomRequest, Rooms, RunEnd, RunId};
/// use dotterelpin::model::{BootId, Timestamp};
///
/// let now = Timestamp::from_micros(1);
/// let candidates = vec![Candidate { endpoint: "d1".into(), local: true }];
/// let request = |run| RoomRequest {
///     run: RunId(run), owner: BootId(1), tokens: 6_000, spare: 0, memory: 10_000, slots: 8,
///     candidates: candidates.clone(),
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
    /// The end of the cooldown of each endpoint that is assigned no calls.
    paused: BTreeMap<Box<str>, Timestamp>,
    /// The runs whose ends arrived before their requests, and when.
    early_ends: BTreeMap<RunId, Timestamp>,
    /// When runs of disconnected gateways are removed next.
    next_sweep: Timestamp,
}

impl Rooms {
    /// Returns the endpoint that is to run a call, if any has capacity, and counts the call there.
    pub fn assign(&mut self, now: Timestamp, request: &RoomRequest) -> Option<Box<str>> {
        self.expire(now);
        if self.early_ends.remove(&request.run).is_some() {
            return None;
        }
        let loads = self.loads();
        let load = |name: &str| loads.get(name).copied().unwrap_or_default();
        let fits = |c: &&Candidate| {
            let (runs, used) = load(&c.endpoint);
            let capacity = u64::from(request.memory) * FILL_PERCENT / 100;
            let alone = runs == 0 && request.tokens <= request.memory;
            let needs = used + u64::from(request.tokens) + u64::from(request.spare);
            runs < request.slots
                && (needs <= capacity || alone)
                && !self.paused.contains_key(&c.endpoint)
        };
        let cost = |c: &&Candidate| {
            let part = load(&c.endpoint).1 * 1_000 / u64::from(request.memory.max(1));
            if c.local { part } else { part + REMOTE_PENALTY_LOAD }
        };
        let chosen = request.candidates.iter().filter(fits).min_by_key(cost)?;
        let endpoint = chosen.endpoint.clone();
        let (owner, tokens) = (request.owner, request.tokens);
        let run = Run { endpoint: endpoint.clone(), owner, tokens, since: now };
        self.runs.insert(request.run, run);
        Some(endpoint)
    }

    /// Records that a run has ended or did not start; unless it ended normally, its endpoint is
    /// assigned no call for a while.
    pub fn ended(&mut self, now: Timestamp, run: RunId, end: RunEnd) {
        let Some(run) = self.runs.remove(&run) else {
            self.early_ends.insert(run, now);
            return;
        };
        let cooldown = match end {
            RunEnd::Over => return,
            RunEnd::Refused => REFUSED_COOLDOWN,
            RunEnd::Silent => SILENT_COOLDOWN,
        };
        self.paused.insert(run.endpoint, now + cooldown);
    }

    /// Removes the runs of disconnected gateways, since their ends are not reported any more.
    pub fn retain_owners(&mut self, now: Timestamp, is_alive: impl Fn(BootId) -> bool) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.runs.retain(|_, run| is_alive(run.owner));
    }

    /// Returns the number of runs at each endpoint and the sum of their tokens.
    fn loads(&self) -> BTreeMap<&str, (u32, u64)> {
        let mut loads: BTreeMap<&str, (u32, u64)> = BTreeMap::new();
        for run in self.runs.values() {
            let load = loads.entry(&run.endpoint).or_default();
            load.0 += 1;
            load.1 += u64::from(run.tokens);
        }
        loads
    }

    fn expire(&mut self, now: Timestamp) {
        self.runs.retain(|_, run| now - run.since < RUN_TTL);
        self.paused.retain(|_, until| now < *until);
        self.early_ends.retain(|_, at| now - *at < EARLY_END_RETENTION);
    }
}
