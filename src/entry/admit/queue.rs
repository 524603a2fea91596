//! The queue of one pool: ordered by class, then fairly among tenants, then by latest start;
//! bounded in length and waiting time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::model::{Call, CallId, Class, Timestamp, Turns};

/// The maximum number of calls that wait in one pool.
pub const MAX_QUEUED: usize = 4_096;
/// Tenants whose served tokens are in the same quantum are ordered by latest start instead.
const QUANTUM: u64 = 32_768;
/// How long before its latest start a batch call becomes as urgent as an interactive one.
const URGENT_WINDOW: Duration = Duration::from_millis(2_000);

/// A waiting call.
#[derive(Debug)]
pub struct Ticket {
    /// The ID of the call.
    pub id: CallId,
    /// The checked call.
    pub call: Call,
    /// When its first token is due.
    pub due: Timestamp,
    /// The latest time to start the call so that its first token is in time.
    pub last: Timestamp,
    /// Prompt tokens plus the maximum answer length.
    pub tokens: u32,
}

impl Ticket {
    fn key(&self) -> (Timestamp, CallId) {
        (self.last, self.id)
    }
}

new_key_type! {
    /// Key of a tenant in a [`Lane`].
    struct TenantKey;
}

/// Sort key of tenants with waiting calls: served quanta, then the latest start of the first call.
type Rank = (u64, Timestamp, TenantKey);

/// The waiting calls of one tenant in one class.
type Calls = BTreeSet<(Timestamp, CallId)>;

/// The calls of one class.
#[derive(Debug)]
struct Lane {
    names: BTreeMap<Box<str>, TenantKey>,
    tenants: SlotMap<TenantKey, Calls>,
    order: BTreeSet<Rank>,
    /// The turns of tenants, by the tokens of their started calls.
    turns: Turns<TenantKey>,
}

impl Default for Lane {
    fn default() -> Lane {
        Lane {
            names: BTreeMap::new(),
            tenants: SlotMap::default(),
            order: BTreeSet::new(),
            turns: Turns::new(QUANTUM),
        }
    }
}

impl Lane {
    fn rank(&self, key: TenantKey) -> Option<Rank> {
        let (last, _) = self.tenants.get(key)?.first()?;
        Some((self.turns.round(&key), *last, key))
    }

    fn push(&mut self, ticket: &Ticket) {
        let key = self.key(&ticket.call.tenant);
        let before = self.rank(key);
        if before.is_none() {
            self.turns.join(key);
        }
        if let Some(calls) = self.tenants.get_mut(key) {
            calls.insert(ticket.key());
        }
        self.reorder(before, self.rank(key));
    }

    fn remove(&mut self, ticket: &Ticket, served: bool) {
        let Some(&key) = self.names.get(&ticket.call.tenant) else { return };
        let before = self.rank(key);
        if let Some(calls) = self.tenants.get_mut(key) {
            calls.remove(&ticket.key());
        }
        if served {
            self.turns.charge(key, 1, u64::from(ticket.tokens));
        }
        let after = self.rank(key);
        if after.is_none() && self.turns.leave(&key) {
            self.tenants.remove(key);
            self.names.remove(&ticket.call.tenant);
        }
        self.reorder(before, after);
    }

    fn key(&mut self, name: &str) -> TenantKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let key = self.tenants.insert(Calls::new());
        self.names.insert(name.into(), key);
        key
    }

    fn reorder(&mut self, before: Option<Rank>, after: Option<Rank>) {
        if before == after {
            return;
        }
        if let Some(before) = before {
            self.order.remove(&before);
        }
        self.order.extend(after);
    }

    fn first(&self) -> Option<(Timestamp, CallId)> {
        let (_, _, key) = self.order.first()?;
        self.tenants.get(*key)?.first().copied()
    }

    /// Returns the last call of the last tenant in order.
    fn last_in_order(&self) -> Option<(Timestamp, CallId)> {
        let (_, _, key) = self.order.last()?;
        self.tenants.get(*key)?.last().copied()
    }
}

/// The queue of one pool.
#[derive(Debug, Default)]
pub struct Queue {
    tickets: BTreeMap<CallId, Ticket>,
    /// One lane for each class.
    lanes: [Lane; 2],
    latest_starts: BTreeSet<(Timestamp, CallId)>,
    /// The tokens of all waiting calls.
    tokens: u64,
}

impl Queue {
    /// Adds a call; if the queue is full, returns the call that was dropped, which may be this one.
    pub fn push(&mut self, ticket: Ticket) -> Option<Ticket> {
        let evicted = if self.tickets.len() >= MAX_QUEUED {
            let victim = self.lanes[Class::Batch as usize].last_in_order();
            match victim {
                Some((last, id)) if ticket.call.class != Class::Batch || last > ticket.last => {
                    self.remove(id)
                }
                _ => return Some(ticket),
            }
        } else {
            None
        };
        self.lanes[ticket.call.class as usize].push(&ticket);
        self.latest_starts.insert(ticket.key());
        self.tokens += u64::from(ticket.tokens);
        self.tickets.insert(ticket.id, ticket);
        evicted
    }

    /// Returns the call to be started next.
    pub fn peek(&self, now: Timestamp) -> Option<&Ticket> {
        let [interactive, batch] = self.lanes.each_ref().map(Lane::first);
        let urgent = |(last, _): &(Timestamp, CallId)| *last <= now + URGENT_WINDOW;
        let (_, id) = match (interactive, batch) {
            (Some(first), Some(second)) if urgent(&second) => first.min(second),
            (first, second) => first.or(second)?,
        };
        self.tickets.get(&id)
    }

    /// Removes a call to start it, and counts its tokens for its tenant.
    pub fn serve(&mut self, id: CallId) -> Option<Ticket> {
        self.remove_ticket(id, true)
    }

    /// Removes a call that won't be started.
    pub fn remove(&mut self, id: CallId) -> Option<Ticket> {
        self.remove_ticket(id, false)
    }

    fn remove_ticket(&mut self, id: CallId, served: bool) -> Option<Ticket> {
        let ticket = self.tickets.remove(&id)?;
        self.lanes[ticket.call.class as usize].remove(&ticket, served);
        self.latest_starts.remove(&ticket.key());
        self.tokens -= u64::from(ticket.tokens);
        Some(ticket)
    }

    /// Removes a call whose latest start has passed, if there is one.
    pub fn expire_one(&mut self, now: Timestamp) -> Option<Ticket> {
        let (last, id) = *self.latest_starts.first()?;
        if last > now {
            return None;
        }
        self.remove(id)
    }

    /// Returns when the next waiting call expires.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.latest_starts.first().map(|(last, _)| *last)
    }

    /// Returns the total tokens of all waiting calls.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the waiting calls.
    pub fn calls(&self) -> impl Iterator<Item = CallId> + '_ {
        self.tickets.keys().copied()
    }

    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no calls are waiting.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }
}
