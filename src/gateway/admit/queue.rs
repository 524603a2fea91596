//! The queue of calls that wait for capacity, and the decision which calls to refuse.
//!
//! Made for a burst of twice the capacity for some seconds, whose refused callers retry once. Calls
//! wait only as long as they can still be answered in time. A call that is not expected to start in
//! time is refused on arrival, with a retry time as late as its caller allows: the burst may be
//! over by then. Calls that are retried, or that wait for long, have missed their target; they get
//! the capacity that other calls leave. If calls started in the order of their arrival, a burst
//! would make all of them late. Calls of one rank start in turns
//! over client accounts (see [`super::turns`]).

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::returns::Returns;
use super::turns::{Lane, Share};
pub use crate::model::Rank;
use crate::model::{Timestamp, Turns};

/// The window over which starts are counted to estimate their rate.
const RATE_WINDOW: Duration = Duration::from_millis(2_000);
/// The percentage of its target that a call may wait; the rest is for its prefill.
const WAIT_PERCENT: u32 = 60;
/// The maximum wait of a late call.
const LATE_WAIT: Duration = Duration::from_millis(2_500);
/// The percentage of its caller timeout that a late call may wait.
const LATE_WAIT_PERCENT: u32 = 30;
/// The minimum number of starts in the window from which a rate is estimated.
const MIN_STARTS: usize = 4;

/// A queued call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting<K> {
    /// The key of the call.
    pub key: K,
    /// The latest start at which it can still be answered in time; after that it ranks as late.
    pub in_time: Timestamp,
    /// The latest start; after that it is refused.
    pub until: Timestamp,
    /// Whether it can only start at some of the endpoints; it does not hold up the calls behind it.
    pub bound: bool,
    /// What it counts for in the turns of its client account.
    pub share: Share,
}

/// The calls that wait for one service.
#[derive(Debug)]
pub struct Queue<K> {
    /// Queued calls by rank.
    ranks: BTreeMap<Rank, Lane<K>>,
    /// The turns of client accounts, by the tokens of their started calls.
    turns: Turns<Box<str>>,
    /// When calls were started within the last `RATE_WINDOW`.
    starts: VecDeque<Timestamp>,
    /// When refused callers were told to come back.
    returns: Returns,
}

impl<K> Default for Queue<K> {
    fn default() -> Queue<K> {
        Queue {
            ranks: BTreeMap::new(),
            turns: Turns::of_rates(),
            starts: VecDeque::new(),
            returns: Returns::default(),
        }
    }
}

impl<K: Copy + PartialEq> Queue<K> {
    /// Returns how many calls wait.
    pub fn len(&self) -> usize {
        self.ranks.values().map(Lane::len).sum()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many queued calls would start before a new call of a rank.
    pub fn ahead(&self, rank: Rank, new: &Share) -> usize {
        let unbound = |lane: &Lane<K>| lane.iter().filter(|w| !w.bound).count();
        let better: usize = self.ranks.range(..rank).map(|(_, lane)| unbound(lane)).sum();
        better + self.ranks.get(&rank).map_or(0, |lane| lane.before(&self.turns, new))
    }

    /// Returns until when a call may wait: a part of its latency target, or of the time `left` to
    /// its caller if it is late.
    pub fn wait_until(
        arrived: Timestamp,
        rank: Rank,
        target: Duration,
        left: Duration,
    ) -> Timestamp {
        let longest = match rank.late {
            true => LATE_WAIT.min(left * LATE_WAIT_PERCENT / 100),
            false => target * WAIT_PERCENT / 100,
        };
        arrived + longest
    }

    /// Returns whether a new call is expected to start before it is late, or as a late call before
    /// its wait expires.
    pub fn is_worthwhile(&mut self, now: Timestamp, rank: Rank, new: &Waiting<K>) -> bool {
        let within = |wait: Option<Duration>, limit| wait.is_some_and(|w| now + w <= limit);
        within(self.estimate(now, rank, &new.share), new.in_time)
            || within(self.estimate(now, Rank { late: true, ..rank }, &new.share), new.until)
    }

    /// Returns how long a new call of a rank would wait at the present rate of starts. With too few
    /// starts for a rate, that is zero if few calls are ahead of it, and `None` otherwise.
    pub fn estimate(&mut self, now: Timestamp, rank: Rank, new: &Share) -> Option<Duration> {
        self.expire_starts(now);
        let ahead = self.ahead(rank, new);
        if ahead == 0 {
            return Some(Duration::ZERO);
        }
        if self.starts.len() < MIN_STARTS {
            // There are too few starts for a rate; only the first calls may queue.
            return (ahead < MIN_STARTS / 2).then_some(Duration::ZERO);
        }
        let interval = RATE_WINDOW / self.starts.len() as u32;
        Some(interval * ahead as u32)
    }

    /// Queues a call behind the others of its rank and client account.
    pub fn push(&mut self, rank: Rank, waiting: Waiting<K>) {
        self.join(&waiting.share.account);
        self.ranks.entry(rank).or_default().push(waiting);
    }

    /// Queues a call before the others of its rank and client account, because it was to start
    /// before them.
    pub fn push_front(&mut self, rank: Rank, waiting: Waiting<K>) {
        self.join(&waiting.share.account);
        self.ranks.entry(rank).or_default().push_front(waiting);
    }

    /// Queues a call that was recorded as started before the others, and takes back its charge. An
    /// urgent call doesn't count as started, since it asks for capacity up to 100 times a second: the
    /// rate of starts would be that of its requests.
    pub fn requeue(&mut self, rank: Rank, waiting: Waiting<K>) {
        waiting.share.refund(&mut self.turns);
        if rank.is_urgent() {
            self.starts.pop_back();
        }
        self.push_front(rank, waiting);
    }

    fn join(&mut self, account: &str) {
        if self.is_empty() {
            // Nobody waits: all accounts are equal again.
            self.turns = Turns::of_rates();
        }
        if !self.ranks.values().any(|lane| lane.has(account)) {
            self.turns.join(account.into());
        }
    }

    /// Returns the call that starts next.
    pub fn first(&self) -> Option<K> {
        let (_, lane) = self.ranks.first_key_value()?;
        lane.in_order(&self.turns).first().map(|w| w.key)
    }

    /// Returns the queued calls in the order in which they start.
    pub fn in_order(&self) -> Vec<K> {
        self.ranks.values().flat_map(|lane| lane.in_order(&self.turns)).map(|w| w.key).collect()
    }

    /// Records that a call was started, even if its reservation is refused and it is queued again.
    pub fn started(&mut self, now: Timestamp, share: &Share) {
        if !self.is_empty() {
            share.charge(&mut self.turns);
        }
        self.starts.push_back(now);
        self.expire_starts(now);
    }

    /// Removes a call from the queue, and returns what it counts for if it was queued.
    pub fn remove(&mut self, key: K) -> Option<Share> {
        let mut lanes = self.ranks.values_mut();
        let removed = lanes.find_map(|lane| lane.remove(|w| w.key == key).pop());
        self.ranks.retain(|_, lane| !lane.is_empty());
        removed.map(|waiting| waiting.share)
    }

    /// Moves the calls that can no longer meet their target behind those that can.
    pub fn demote(&mut self, now: Timestamp) {
        let in_time: Vec<Rank> = self.ranks.keys().filter(|r| !r.late).copied().collect();
        for rank in in_time {
            let Some(lane) = self.ranks.get_mut(&rank) else { continue };
            let late = lane.remove(|w| w.in_time <= now && now < w.until);
            let behind = self.ranks.entry(Rank { late: true, ..rank }).or_default();
            late.into_iter().for_each(|waiting| behind.push(waiting));
        }
        self.ranks.retain(|_, lane| !lane.is_empty());
    }

    /// Removes the calls whose wait has expired and returns them.
    pub fn remove_expired(&mut self, now: Timestamp) -> Vec<K> {
        let lanes = self.ranks.values_mut();
        let expired = lanes.flat_map(|lane| lane.remove(|w| w.until <= now));
        let keys = expired.map(|w| w.key).collect();
        self.ranks.retain(|_, lane| !lane.is_empty());
        keys
    }

    /// Returns when the wait of the next call expires.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.ranks.values().flat_map(Lane::iter).map(|w| w.until).min()
    }

    /// Returns after which time a refused caller with so much time `left` should retry.
    pub fn retry_after(&mut self, now: Timestamp, left: Duration, draw: u64) -> Duration {
        self.expire_starts(now);
        let rate = self.starts.len() as f64 / RATE_WINDOW.as_secs_f64();
        self.returns.promise(now, left, rate, draw)
    }

    fn expire_starts(&mut self, now: Timestamp) {
        while self.starts.front().is_some_and(|at| *at + RATE_WINDOW <= now) {
            self.starts.pop_front();
        }
    }
}
