//! Which decode endpoint has room for the next call, for all gateways together.
//!
//! Answers a load that fills the memory of the decode endpoints for many seconds: each gateway
//! knows its own calls and reports that are seconds old, so it would ask one full endpoint after
//! the other for room. The member that leads counts what runs anywhere and names the endpoint with
//! the most room, or says that there is none. The endpoint itself still has the last word. The
//! count is soft state: a new leader begins without one.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Candidate;
use crate::model::{BootId, Timestamp};

/// The part of an endpoint's memory that calls fill, in percent; the rest covers answers that grow
/// longer than estimated.
const FILL_PERCENT: u64 = 97;
/// Load, in thousandths, that an endpoint in another failure domain must have less.
const REMOTE_PENALTY_LOAD: u64 = 60;
/// How long an endpoint that refused a call gets no other one.
const REFUSED_COOLDOWN: Duration = Duration::from_millis(100);
/// How long an endpoint that did not answer gets no call.
const SILENT_COOLDOWN: Duration = Duration::from_millis(1_000);
/// How long a run counts whose end is not told.
const RUN_TTL: Duration = Duration::from_millis(10_000);
/// How long the end of a run is remembered that came before its question: messages may overtake
/// each other, and a gateway gives up a question that is not answered in time.
const EARLY_END_RETENTION: Duration = Duration::from_millis(5_000);

/// The time between two looks for gateways that are gone.
const SWEEP_INTERVAL: Duration = Duration::from_millis(200);

/// The number of a run, unique among all gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RunId(pub u64);

/// A question which endpoint has room for a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RoomTicket {
    /// The run.
    pub run: RunId,
    /// The start of the gateway that the call is at.
    pub owner: BootId,
    /// Tokens of KV cache that it is counted with.
    pub tokens: u32,
    /// Tokens that it must leave free.
    pub spare: u32,
    /// Tokens that each endpoint holds.
    pub memory: u32,
    /// Requests that each endpoint runs at once.
    pub slots: u32,
    /// The endpoints that may run it.
    pub candidates: Vec<Candidate>,
}

/// How a run ended, or came not about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunEnd {
    /// It takes no memory any more.
    Over,
    /// The endpoint had no room for it.
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

/// What runs anywhere.
///
/// ```
/// use dotterelpin::control::dispatch::Candidate;
/// use dotterelpin::control::dispatch::rooms::{RoomTicket, Rooms, RunEnd, RunId};
/// use dotterelpin::model::{BootId, Timestamp};
///
/// let now = Timestamp::from_micros(1);
/// let candidates = vec![Candidate { endpoint: "d1".into(), local: true }];
/// let ticket = |run| RoomTicket {
///     run: RunId(run), owner: BootId(1), tokens: 6_000, spare: 0, memory: 10_000, slots: 8,
///     candidates: candidates.clone(),
/// };
/// let mut rooms = Rooms::default();
/// assert_eq!(rooms.assign(now, &ticket(1)).as_deref(), Some("d1"));
/// assert_eq!(rooms.assign(now, &ticket(2)), None);
/// rooms.ended(now, RunId(1), RunEnd::Over);
/// assert_eq!(rooms.assign(now, &ticket(3)).as_deref(), Some("d1"));
/// ```
#[derive(Debug, Default)]
pub struct Rooms {
    runs: BTreeMap<RunId, Run>,
    /// Until when endpoints get no call.
    paused: BTreeMap<Box<str>, Timestamp>,
    /// Runs whose ends came before their questions, and when.
    early_ends: BTreeMap<RunId, Timestamp>,
    /// When runs of gateways that are gone are looked for next.
    next_sweep: Timestamp,
}

impl Rooms {
    /// Returns the endpoint that shall run a call, and counts the call there.
    pub fn assign(&mut self, now: Timestamp, ticket: &RoomTicket) -> Option<Box<str>> {
        self.expire(now);
        if self.early_ends.remove(&ticket.run).is_some() {
            return None;
        }
        let loads = self.loads();
        let load = |name: &str| loads.get(name).copied().unwrap_or_default();
        let fits = |c: &&Candidate| {
            let (runs, used) = load(&c.endpoint);
            let capacity = u64::from(ticket.memory) * FILL_PERCENT / 100;
            let alone = runs == 0 && ticket.tokens <= ticket.memory;
            let needs = used + u64::from(ticket.tokens) + u64::from(ticket.spare);
            runs < ticket.slots
                && (needs <= capacity || alone)
                && !self.paused.contains_key(&c.endpoint)
        };
        let cost = |c: &&Candidate| {
            let part = load(&c.endpoint).1 * 1_000 / u64::from(ticket.memory.max(1));
            if c.local { part } else { part + REMOTE_PENALTY_LOAD }
        };
        let chosen = ticket.candidates.iter().filter(fits).min_by_key(cost)?;
        let endpoint = chosen.endpoint.clone();
        let (owner, tokens) = (ticket.owner, ticket.tokens);
        let run = Run { endpoint: endpoint.clone(), owner, tokens, since: now };
        self.runs.insert(ticket.run, run);
        Some(endpoint)
    }

    /// Takes note that a run is over, or came not about.
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

    /// Forgets the runs of gateways that are gone: nobody tells their ends.
    pub fn retain_owners(&mut self, now: Timestamp, is_alive: impl Fn(BootId) -> bool) {
        if now < self.next_sweep {
            return;
        }
        self.next_sweep = now + SWEEP_INTERVAL;
        self.runs.retain(|_, run| is_alive(run.owner));
    }

    /// Returns how many runs each endpoint has, and their tokens.
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
