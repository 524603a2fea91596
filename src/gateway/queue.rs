//! How calls to a model wait for room, and when they are turned away.
//!
//! Answers a burst of twice the capacity for some seconds, with callers that come back once: calls
//! wait only as long as they can still be answered in time. A call behind a queue that won't move
//! in time is refused on arrival and told to come back when the queue is expected to be short.
//! Calls that come back, or that wait for long, have missed their target; they get the room that
//! others leave. If all waited in the order of their arrival, a burst would make all of them late.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::model::Timestamp;

/// The span over which starts are counted for the rate.
const RATE_WINDOW: Duration = Duration::from_millis(2_000);
/// The part of its target that a call may wait, in percent; the rest is for its prefill.
const WAIT_PERCENT: u32 = 60;
/// The longest time that a call waits that has missed its target already.
const LATE_WAIT: Duration = Duration::from_millis(2_500);
/// The part of its caller's patience that such a call may wait, in percent.
const LATE_WAIT_PERCENT: u32 = 30;
/// The longest time after which a caller is asked to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_millis(5_000);
/// The part of its remaining time for which a caller is asked to stay away, in percent; callers
/// heed at most a third.
const RETRY_AFTER_PERCENT: u32 = 32;
/// The part of that time over which callers that were refused together come back, in percent.
const RETRY_SPREAD_PERCENT: u32 = 30;
/// The least number of starts from which a rate is estimated.
const MIN_STARTS: usize = 4;

/// The place of a call among those that wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// The rank of its route; 0 is the most urgent.
    pub priority: u8,
    /// Whether it has missed its target.
    pub late: bool,
}

/// A call that waits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting<K> {
    /// The call.
    pub key: K,
    /// When it must have started to be answered in time; it waits behind calls in time then.
    pub in_time: Timestamp,
    /// When it must have started.
    pub until: Timestamp,
}

/// The calls that wait for one service.
#[derive(Debug)]
pub struct Queue<K> {
    /// Waiting calls by rank, in the order of their arrival.
    ranks: BTreeMap<Rank, VecDeque<Waiting<K>>>,
    /// When calls were let go lately.
    starts: VecDeque<Timestamp>,
}

impl<K> Default for Queue<K> {
    fn default() -> Queue<K> {
        Queue { ranks: BTreeMap::new(), starts: VecDeque::new() }
    }
}

impl<K: Copy + PartialEq> Queue<K> {
    /// Returns how many calls wait.
    pub fn len(&self) -> usize {
        self.ranks.values().map(VecDeque::len).sum()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how many calls start before a new one of a rank.
    pub fn ahead(&self, rank: Rank) -> usize {
        self.ranks.range(..=rank).map(|(_, q)| q.len()).sum()
    }

    /// Returns until when a call may wait; one that is late waits for its caller's sake only.
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

    /// Returns whether a new call is expected to start before it is late, or before it has waited
    /// too long behind all others.
    pub fn is_worthwhile(&mut self, now: Timestamp, rank: Rank, new: &Waiting<K>) -> bool {
        let within = |wait: Option<Duration>, limit| wait.is_some_and(|w| now + w <= limit);
        within(self.estimate(now, rank), new.in_time)
            || within(self.estimate(now, Rank { late: true, ..rank }), new.until)
    }

    /// Returns how long a new call of a rank would wait, if starts go on as lately.
    pub fn estimate(&mut self, now: Timestamp, rank: Rank) -> Option<Duration> {
        self.expire_starts(now);
        let ahead = self.ahead(rank);
        if ahead == 0 {
            return Some(Duration::ZERO);
        }
        if self.starts.len() < MIN_STARTS {
            // Too little is known; the first ones may try.
            return (ahead < MIN_STARTS / 2).then_some(Duration::ZERO);
        }
        let interval = RATE_WINDOW / self.starts.len() as u32;
        Some(interval * ahead as u32)
    }

    /// Puts a call into the queue.
    pub fn push(&mut self, rank: Rank, waiting: Waiting<K>) {
        self.ranks.entry(rank).or_default().push_back(waiting);
    }

    /// Puts a call that could not start before the others.
    pub fn push_front(&mut self, rank: Rank, waiting: Waiting<K>) {
        self.ranks.entry(rank).or_default().push_front(waiting);
    }

    /// Returns the call that starts next.
    pub fn first(&self) -> Option<K> {
        self.ranks.values().find_map(|q| q.front()).map(|w| w.key)
    }

    /// Notes that a call was let go, also if the room that it asks for is refused and it returns.
    pub fn started(&mut self, now: Timestamp) {
        self.starts.push_back(now);
        self.expire_starts(now);
    }

    /// Takes a call out of the queue.
    pub fn remove(&mut self, key: K) {
        for queue in self.ranks.values_mut() {
            queue.retain(|w| w.key != key);
        }
        self.ranks.retain(|_, q| !q.is_empty());
    }

    /// Puts the calls that have missed their target behind those that have not.
    pub fn demote(&mut self, now: Timestamp) {
        let in_time: Vec<Rank> = self.ranks.keys().filter(|r| !r.late).copied().collect();
        for rank in in_time {
            let Some(queue) = self.ranks.get_mut(&rank) else { continue };
            let missed = |w: &Waiting<K>| w.in_time <= now && now < w.until;
            let late: Vec<Waiting<K>> = queue.iter().filter(|w| missed(w)).copied().collect();
            queue.retain(|w| !missed(w));
            self.ranks.entry(Rank { late: true, ..rank }).or_default().extend(late);
        }
        self.ranks.retain(|_, q| !q.is_empty());
    }

    /// Takes out the calls that have waited too long.
    pub fn remove_expired(&mut self, now: Timestamp) -> Vec<K> {
        let all = self.ranks.values().flatten();
        let keys: Vec<K> = all.filter(|w| w.until <= now).map(|w| w.key).collect();
        for key in &keys {
            self.remove(*key);
        }
        keys
    }

    /// Returns when the next call has waited too long.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.ranks.values().flatten().map(|w| w.until).min()
    }

    /// Returns when a caller that is refused should come back.
    ///
    /// A burst outlasts the queue: a caller that comes back as soon as the queue is expected to
    /// move meets the same burst, and has no further try. So callers are asked to stay away as
    /// long as they still can, spread by `draw` so that they don't come back as a burst.
    pub fn retry_after(left: Duration, draw: u64) -> Duration {
        let max_wait = (left * RETRY_AFTER_PERCENT / 100).min(MAX_RETRY_AFTER);
        let spread = max_wait * RETRY_SPREAD_PERCENT / 100;
        let early = draw.checked_rem(spread.as_millis() as u64 + 1).unwrap_or_default();
        max_wait.saturating_sub(Duration::from_millis(early))
    }

    fn expire_starts(&mut self, now: Timestamp) {
        while self.starts.front().is_some_and(|at| *at + RATE_WINDOW <= now) {
            self.starts.pop_front();
        }
    }
}
