//! Prefills that wait at the agent, by class and by the time at which their first token is due.

use std::collections::BTreeMap;
use std::time::Duration;

use super::engine::Work;
use crate::model::{Class, RequestId, Timestamp};

/// Prefills handed to the engine at once: one runs, and one keeps the engine busy after it.
const MAX_STARTED: usize = 2;
/// Prefills that wait.
const MAX_WAITING: usize = 64;
/// The weight of a new measurement against those before, as one part in so many.
const SMOOTHING: u64 = 8;

/// A prefill that waits.
#[derive(Debug)]
struct Waiting {
    work: Work,
    tokens: u32,
}

/// The queue before a prefill engine.
#[derive(Debug, Default)]
pub struct PrefillQueue {
    waiting: BTreeMap<(Class, Timestamp, RequestId), Waiting>,
    started: BTreeMap<RequestId, u32>,
    tokens: u32,
    /// Prompt tokens that the engine has handled, and the microseconds it took; both fade.
    handled: u64,
    busy: u64,
    /// When the engine's present work began.
    busy_since: Timestamp,
}

impl PrefillQueue {
    /// Takes a prefill unless it can't be done by `due` behind those before it.
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

    /// Returns the next prefill for the engine, if it can take one.
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

    /// Removes the prefills that can't be in time any more.
    pub fn expire(&mut self, now: Timestamp) -> Vec<RequestId> {
        let late = |due: &Timestamp, w: &Waiting| now + self.estimate(w.tokens) > *due;
        let keys: Vec<_> =
            self.waiting.iter().filter(|((_, due, _), w)| late(due, w)).map(|(k, _)| *k).collect();
        for key in &keys {
            self.drop_waiting(key);
        }
        keys.into_iter().map(|(_, _, request)| request).collect()
    }

    /// Returns when the next prefill can't be in time any more.
    pub fn next_wake(&self) -> Option<Timestamp> {
        let last = |((_, due, _), w): (&(_, Timestamp, _), &Waiting)| {
            let start = due.as_micros().saturating_sub(self.estimate(w.tokens).as_micros() as u64);
            Timestamp::from_micros(start + 1)
        };
        self.waiting.iter().map(last).min()
    }

    /// Forgets a prefill; returns whether it still waited, so that the engine never saw it.
    pub fn remove(&mut self, request: RequestId) -> bool {
        let key = self.waiting.keys().find(|(_, _, r)| *r == request).copied();
        if let Some(key) = key {
            self.drop_waiting(&key);
            return true;
        }
        self.tokens -= self.started.remove(&request).unwrap_or(0);
        false
    }

    /// Takes the end of a prefill that was done.
    pub fn done(&mut self, now: Timestamp, request: RequestId) {
        let Some(tokens) = self.started.remove(&request) else { return };
        self.tokens -= tokens;
        self.handled = decayed(self.handled) + u64::from(tokens);
        self.busy = decayed(self.busy) + (now - self.busy_since).as_micros() as u64;
        self.busy_since = now;
    }

    /// Returns the tokens of the prompts that wait or run.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns the prompt tokens that the engine handles in a second; zero if it isn't known.
    pub fn rate(&self) -> u32 {
        (self.handled * 1_000_000).checked_div(self.busy).unwrap_or(0) as u32
    }

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

/// Returns what is left of older measurements.
fn decayed(total: u64) -> u64 {
    total - total / SMOOTHING
}
