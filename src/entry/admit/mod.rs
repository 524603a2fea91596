//! The filter `admit`: tenant limits, and the queues of calls to models that wait for capacity.

mod availability;
mod limits;
mod queue;

use std::collections::BTreeMap;
use std::time::Duration;

pub use availability::{Availability, availability};
pub use limits::Limits;
pub use queue::{MAX_QUEUED, Queue, Ticket};

use super::place::Fleet;
use crate::control::config::{Config, Setting};
use crate::model::call::prompt_tokens;
use crate::model::{Call, CallId, CallKind, Class, Refusal, RefusalReason, Timestamp};

/// The time that messages between entry, agents and engines take before the first token.
const MESSAGE_OVERHEAD: Duration = Duration::from_millis(8);
/// A call that arrives at an empty queue may take this many times the usual time.
const IDLE_FACTOR: u32 = 2;
/// How long after an interactive call headroom is kept for further ones.
const HEADROOM_WINDOW: Duration = Duration::from_secs(5);
/// The minimum and maximum retry delay, before it is spread.
const RETRY_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(250), Duration::from_millis(15_000));

/// The calls that wait for capacity, by pool.
#[derive(Debug, Default)]
pub struct Admission {
    queues: BTreeMap<Box<str>, Queue>,
    /// When the latest interactive call of each pool arrived.
    interactive: BTreeMap<Box<str>, Timestamp>,
    /// When the first token of each queued or started call is due.
    due_times: BTreeMap<CallId, Timestamp>,
}

/// A decision about a waiting call.
#[derive(Debug)]
pub enum Decision {
    /// The call is started.
    Start(Box<Ticket>),
    /// The call is refused.
    Refuse(Box<Ticket>, Refusal),
}

impl Admission {
    /// Adds a call to its pool's queue.
    ///
    /// Returns the refusal of this call if it can't meet its target, or of the call that a full
    /// queue drops.
    pub fn offer(
        &mut self,
        now: Timestamp,
        id: CallId,
        call: Call,
        config: &Config,
        fleet: &Fleet,
    ) -> Option<Decision> {
        let CallKind::Model { prompt, max_tokens, .. } = &call.kind else { return None };
        let tokens = prompt_tokens(prompt);
        let target = config.value(Setting::FirstTokenTarget, &call.tenant, &call.pool, call.class);
        let generation = fleet.answer_time(now, &call.pool, *max_tokens);
        let end = call.deadline.as_micros().saturating_sub(generation.as_micros() as u64);
        let needed = fleet.prefill_time(now, &call.pool, u64::from(tokens))
            + overhead(now, &call.pool, fleet);
        let mut due = now + Duration::from_millis(target);
        if self.queues.get(&call.pool).is_none_or(Queue::is_empty) {
            // No other call waits, so a pool that is slower than the target still serves this one.
            due = due.max(now + needed * IDLE_FACTOR);
        }
        let due = due.min(Timestamp::from_micros(end));
        let last =
            Timestamp::from_micros(due.as_micros().saturating_sub(needed.as_micros() as u64));
        if call.class == Class::Interactive {
            self.interactive.insert(call.pool.clone(), now);
        }
        let cost = tokens + max_tokens;
        let ticket = Ticket { id, call, due, last, tokens: cost };
        if last <= now {
            return Some(self.too_late(now, ticket, fleet));
        }
        self.due_times.insert(id, due);
        let pool = ticket.call.pool.clone();
        let evicted = self.queues.entry(pool).or_default().push(ticket)?;
        let retry = self.retry_after(now, &evicted, fleet);
        let refusal = Refusal::not_run(RefusalReason::Full, retry, "the queue is full");
        Some(self.refuse(evicted, refusal))
    }

    /// Returns the decision about the next call that can be started or is too late, if any.
    pub fn next(&mut self, now: Timestamp, fleet: &Fleet) -> Option<Decision> {
        let late = self.queues.values_mut().find_map(|q| q.expire_one(now));
        if let Some(ticket) = late {
            return Some(self.too_late(now, ticket, fleet));
        }
        let recent =
            |pool: &str| self.interactive.get(pool).is_some_and(|at| now - *at < HEADROOM_WINDOW);
        let ready = |queue: &Queue| {
            let ticket = queue.peek(now)?;
            let pool = &ticket.call.pool;
            let keep_headroom = ticket.call.class == Class::Batch && recent(pool);
            match availability(now, ticket, fleet, keep_headroom, overhead(now, pool, fleet)) {
                Availability::None => None,
                availability => Some((pool.clone(), ticket.id, availability)),
            }
        };
        let (pool, id, availability) = self.queues.values().find_map(ready)?;
        let queue = self.queues.get_mut(&pool)?;
        match availability {
            Availability::TooLate => {
                let ticket = queue.remove(id)?;
                Some(self.too_late(now, ticket, fleet))
            }
            _ => Some(Decision::Start(Box::new(queue.serve(id)?))),
        }
    }

    fn too_late(&mut self, now: Timestamp, ticket: Ticket, fleet: &Fleet) -> Decision {
        let retry = self.retry_after(now, &ticket, fleet);
        let detail = "the call can't meet its target any more";
        self.refuse(ticket, Refusal::not_run(RefusalReason::Deadline, retry, detail))
    }

    fn refuse(&mut self, ticket: Ticket, refusal: Refusal) -> Decision {
        self.due_times.remove(&ticket.id);
        Decision::Refuse(Box::new(ticket), refusal)
    }

    /// Returns the time after which the current queue will have been served, spread so that
    /// refused callers don't all retry at once.
    fn retry_after(&self, now: Timestamp, ticket: &Ticket, fleet: &Fleet) -> Duration {
        let waiting = self.queues.get(&ticket.call.pool).map_or(0, Queue::tokens);
        let wait = fleet.drain_time(now, &ticket.call.pool, waiting);
        let spread = ticket.id.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 56;
        let (min_wait, max_wait) = RETRY_BOUNDS;
        let wait = wait.clamp(min_wait, max_wait);
        wait + wait * spread as u32 / 256
    }

    /// Removes a call; returns its ticket if it was waiting.
    pub fn remove(&mut self, id: CallId) -> Option<Ticket> {
        self.due_times.remove(&id);
        self.queues.values_mut().find_map(|q| q.remove(id))
    }

    /// Removes the due time of a call that has ended.
    pub fn finished(&mut self, id: CallId) {
        self.due_times.remove(&id);
    }

    /// Returns when the first token of a call is due; `None` if the call wasn't queued.
    pub fn due(&self, id: CallId) -> Option<Timestamp> {
        self.due_times.get(&id).copied()
    }

    /// Returns when the next waiting call expires.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.queues.values().filter_map(Queue::next_wake).min()
    }

    /// Returns the calls that are waiting.
    pub fn waiting(&self) -> Vec<CallId> {
        self.queues.values().flat_map(Queue::calls).collect()
    }

    /// Returns whether no calls are waiting.
    pub fn is_empty(&self) -> bool {
        self.queues.values().all(Queue::is_empty)
    }
}

/// Returns the time from the end of the prefill to the first token, including messages.
fn overhead(now: Timestamp, pool: &str, fleet: &Fleet) -> Duration {
    fleet.import_time(now, pool) + MESSAGE_OVERHEAD
}
