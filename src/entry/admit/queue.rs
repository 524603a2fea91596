//! The queue of one pool: by class, fair among tenants, by deadline; bounded in length and time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use crate::model::{Call, CallId, Class, Timestamp};

/// Calls that wait in one pool.
pub const MAX_QUEUED: usize = 4_096;
/// Tokens by which tenants may be ahead of each other before deadlines stop to matter.
const QUANTUM: u64 = 32_768;
/// How long before its last start a batch call is as urgent as an interactive one.
const URGENT_WINDOW: Duration = Duration::from_millis(2_000);

/// A call that waits.
#[derive(Debug)]
pub struct Ticket {
    /// The call's number.
    pub id: CallId,
    /// The call.
    pub call: Call,
    /// When its first token is due.
    pub due: Timestamp,
    /// When it must start to make that.
    pub last: Timestamp,
    /// Tokens that it costs.
    pub tokens: u32,
}

impl Ticket {
    fn key(&self) -> (Timestamp, CallId) {
        (self.last, self.id)
    }
}

new_key_type! {
    /// One tenant in the arena of a lane.
    struct TenantKey;
}

/// Where a tenant with waiting calls stands: its turn, then the last start of its first call.
type Rank = (u64, Timestamp, TenantKey);

/// The calls of one tenant in one class.
#[derive(Debug, Default)]
struct Tenant {
    calls: BTreeSet<(Timestamp, CallId)>,
    /// Tokens that it was given, or as many as the others when it came back.
    served_tokens: u64,
}

impl Tenant {
    fn rank(&self, key: TenantKey) -> Option<Rank> {
        let (last, _) = self.calls.first()?;
        Some((self.served_tokens / QUANTUM, *last, key))
    }
}

/// The calls of one class.
#[derive(Debug, Default)]
struct Lane {
    names: BTreeMap<Box<str>, TenantKey>,
    tenants: SlotMap<TenantKey, Tenant>,
    order: BTreeSet<Rank>,
    /// What the tenant that was served last had been given.
    served_tokens: u64,
}

impl Lane {
    fn push(&mut self, ticket: &Ticket) {
        let key = self.key(&ticket.call.tenant);
        let Some(tenant) = self.tenants.get_mut(key) else { return };
        let before = tenant.rank(key);
        if before.is_none() {
            tenant.served_tokens = tenant.served_tokens.max(self.served_tokens);
        }
        tenant.calls.insert(ticket.key());
        let after = tenant.rank(key);
        self.reorder(before, after);
    }

    fn remove(&mut self, ticket: &Ticket, served: bool) {
        let Some(&key) = self.names.get(&ticket.call.tenant) else { return };
        let Some(tenant) = self.tenants.get_mut(key) else { return };
        let before = tenant.rank(key);
        tenant.calls.remove(&ticket.key());
        if served {
            self.served_tokens = self.served_tokens.max(tenant.served_tokens);
            tenant.served_tokens += u64::from(ticket.tokens);
        }
        let after = tenant.rank(key);
        // A tenant that is not ahead of the others needs no memory.
        if after.is_none() && tenant.served_tokens <= self.served_tokens {
            self.tenants.remove(key);
            self.names.remove(&ticket.call.tenant);
        }
        self.reorder(before, after);
    }

    fn key(&mut self, name: &str) -> TenantKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let key = self.tenants.insert(Tenant::default());
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
        self.tenants.get(*key)?.calls.first().copied()
    }

    /// Returns the last call of the tenant whose turn is last.
    fn last_in_order(&self) -> Option<(Timestamp, CallId)> {
        let (_, _, key) = self.order.last()?;
        self.tenants.get(*key)?.calls.last().copied()
    }
}

/// The queue of one pool.
#[derive(Debug, Default)]
pub struct Queue {
    tickets: BTreeMap<CallId, Ticket>,
    lanes: [Lane; 2],
    latest_starts: BTreeSet<(Timestamp, CallId)>,
    tokens: u64,
}

impl Queue {
    /// Puts a call into the queue; returns the one that a full queue gives up for it.
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

    /// Returns the call to start next.
    pub fn peek(&self, now: Timestamp) -> Option<&Ticket> {
        let [interactive, batch] = self.lanes.each_ref().map(Lane::first);
        let urgent = |(last, _): &(Timestamp, CallId)| *last <= now + URGENT_WINDOW;
        let (_, id) = match (interactive, batch) {
            (Some(first), Some(second)) if urgent(&second) => first.min(second),
            (first, second) => first.or(second)?,
        };
        self.tickets.get(&id)
    }

    /// Takes a call out to start it.
    pub fn serve(&mut self, id: CallId) -> Option<Ticket> {
        self.remove_ticket(id, true)
    }

    /// Takes a call out that won't be started.
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

    /// Takes out a call that can't be in time any more.
    pub fn expire_one(&mut self, now: Timestamp) -> Option<Ticket> {
        let (last, id) = *self.latest_starts.first()?;
        if last > now {
            return None;
        }
        self.remove(id)
    }

    /// Returns when the next call can't be in time any more.
    pub fn next_wake(&self) -> Option<Timestamp> {
        self.latest_starts.first().map(|(last, _)| *last)
    }

    /// Returns the tokens of all waiting calls.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns how many calls wait.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }
}
