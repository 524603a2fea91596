//! The queue of prefills at the agent, ordered by class and then by the time at which they are due.

use std::collections::BTreeMap;
use std::time::Duration;

use super::engine::Work;
use crate::model::{Class, RequestId, Timestamp};

/// Prefills at the engine at once: one runs, and the next one keeps the engine busy after it.
const MAX_STARTED: usize = 2;
/// The largest number of prefills in the queue.
const MAX_WAITING: usize = 64;
/// The decay of older measurements: each new one reduces their total by one part in `SMOOTHING`.
const SMOOTHING: u64 = 8;

/// A prefill in the queue.
#[derive(Debug)]
struct Waiting {
    work: Work,
    tokens: u32,
}

/// The queue in front of a prefill engine, with the engine's measured rate.
#[derive(Debug, Default)]
pub struct PrefillQueue {
    waiting: BTreeMap<(Class, Timestamp, RequestId), Waiting>,
    started: BTreeMap<RequestId, u32>,
    tokens: u32,
    /// Prompt tokens that the engine has handled, decayed by age.
    handled: u64,
    /// Microseconds that the engine took for them, decayed by age.
    busy: u64,
    /// When the engine began its present prefill.
    busy_since: Timestamp,
}

impl PrefillQueue {
    /// Queues a prefill; returns false if the queue is full, or if the prefill can't be complete by
    /// `due` after those ahead of it.
    pub fn push(
        &mut self,
        now: Timestamp,
        request: RequestId,
        due: Timestamp,
        class: Class,
        tokens: u32,
        work: Work,
    ) -> bool {
        let key = (class, due, request);
        let ahead: u32 = self.waiting.range(..key).map(|(_, w)| w.tokens).sum::<u32>()
            + self.started.values().sum::<u32>();
        if self.waiting.len() >= MAX_WAITING || now + self.estimate(ahead + tokens) > due {
            return false;
        }
        self.tokens += tokens;
        self.waiting.insert(key, Waiting { work, tokens });
        true
    }

    /// Returns the next prefill if the engine can accept one.
    pub fn pop(&mut self, now: Timestamp) -> Option<(RequestId, Work)> {
        if self.started.len() >= MAX_STARTED {
            return None;
        }
        let ((_, _, request), waiting) = self.waiting.pop_first()?;
        if self.started.is_empty() {
            self.busy_since = now;
        }
        self.started.insert(request, waiting.tokens);
        Some((request, waiting.work))
    }

    /// Removes and returns the queued prefills that can't be complete when they are due.
    pub fn expire(&mut self, now: Timestamp) -> Vec<RequestId> {
        let late = |due: &Timestamp, w: &Waiting| now + self.estimate(w.tokens) > *due;
        let keys: Vec<_> =
            self.waiting.iter().filter(|((_, due, _), w)| late(due, w)).map(|(k, _)| *k).collect();
        for key in &keys {
            self.drop_waiting(key);
        }
        keys.into_iter().map(|(_, _, request)| request).collect()
    }

    /// Returns when the next queued prefill would have to be removed as late.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let last = |((_, due, _), w): (&(_, Timestamp, _), &Waiting)| {
            let start = due.as_micros().saturating_sub(self.estimate(w.tokens).as_micros() as u64);
            Timestamp::from_micros(start + 1)
        };
        self.waiting.iter().map(last).min()
    }

    /// Removes a prefill; returns whether it was still queued and so never reached the engine.
    pub fn remove(&mut self, request: RequestId) -> bool {
        let key = self.waiting.keys().find(|(_, _, r)| *r == request).copied();
        if let Some(key) = key {
            self.drop_waiting(&key);
            return true;
        }
        self.tokens -= self.started.remove(&request).unwrap_or(0);
        false
    }

    /// Returns whether a prefill is queued and so has not reached the engine.
    pub fn is_waiting(&self, request: RequestId) -> bool {
        self.waiting.keys().any(|(_, _, r)| *r == request)
    }

    /// Removes a prefill that the engine has completed and updates the rate.
    pub fn done(&mut self, now: Timestamp, request: RequestId) {
        let Some(tokens) = self.started.remove(&request) else { return };
        self.tokens -= tokens;
        self.handled = decayed(self.handled) + u64::from(tokens);
        self.busy = decayed(self.busy) + (now - self.busy_since).as_micros() as u64;
        self.busy_since = now;
    }

    /// Returns the prompt tokens of all queued and started prefills.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the engine's rate in prompt tokens per second, or zero while it is unknown.
    pub fn rate(&self) -> u32 {
        (self.handled * 1_000_000).checked_div(self.busy).unwrap_or(0) as u32
    }

    /// Returns the expected duration of a prefill, or zero while the rate is unknown.
    fn estimate(&self, tokens: u32) -> Duration {
        let micros =
            (u64::from(tokens) * 1_000_000).checked_div(u64::from(self.rate())).unwrap_or(0);
        Duration::from_micros(micros)
    }

    fn drop_waiting(&mut self, key: &(Class, Timestamp, RequestId)) {
        if let Some(waiting) = self.waiting.remove(key) {
            self.tokens -= waiting.tokens;
        }
    }
}

/// Returns a total of older measurements after one step of decay.
fn decayed(total: u64) -> u64 {
    total - total / SMOOTHING
}
