//! Checks whether a pool has capacity for another call.

use std::time::Duration;

use super::super::place::{Fleet, Tracked};
use super::Ticket;
use crate::model::call::prompt_tokens;
use crate::model::{CallKind, EndpointKind, Timestamp};

/// The maximum number of prefills at one endpoint: one that runs, and one that keeps the engine
/// busy after it.
const PREFILL_DEPTH: u32 = 2;
/// Percentage of decode slots that batch calls leave free for interactive ones.
const HEADROOM_PERCENT: u32 = 5;

/// Whether a pool can serve a call now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Availability {
    /// Capacity is available.
    Free,
    /// No capacity is available now.
    None,
    /// Capacity is available, but the prefills queued there would make the call too late.
    TooLate,
}

/// Returns whether there is capacity for a call; with `keep_headroom`, some decode slots are left
/// free for interactive calls.
pub fn availability(
    now: Timestamp,
    ticket: &Ticket,
    fleet: &Fleet,
    keep_headroom: bool,
    overhead: Duration,
) -> Availability {
    if !has_decode(now, ticket, fleet, keep_headroom) {
        return Availability::None;
    }
    let CallKind::Model { prompt, .. } = &ticket.call.kind else { return Availability::Free };
    let pool = &ticket.call.pool;
    let mut starting = fleet.starting(pool) as u32;
    for key in fleet.keys(EndpointKind::Prefill, pool) {
        let Some(endpoint) = fleet.get(*key).filter(|e| is_open(now, fleet, e)) else { continue };
        let load = endpoint.load(now);
        let free = PREFILL_DEPTH.saturating_sub(load.slots);
        if free > starting {
            let tokens = load.prompt_tokens + prompt_tokens(prompt);
            let time = fleet.prefill_time(now, pool, u64::from(tokens)) + overhead;
            return if now + time > ticket.due {
                Availability::TooLate
            } else {
                Availability::Free
            };
        }
        starting -= free;
    }
    Availability::None
}

fn is_open(now: Timestamp, fleet: &Fleet, endpoint: &Tracked) -> bool {
    !endpoint.state.draining && (!fleet.ejects() || endpoint.health.is_available(now))
}

fn has_decode(now: Timestamp, ticket: &Ticket, fleet: &Fleet, keep_headroom: bool) -> bool {
    let mut free = 0;
    let mut slots = 0;
    let mut fits = false;
    for key in fleet.keys(EndpointKind::Decode, &ticket.call.pool) {
        let Some(endpoint) = fleet.get(*key).filter(|e| is_open(now, fleet, e)) else { continue };
        let (load, capacity) = (endpoint.load(now), endpoint.state.capacity);
        let pieces = ticket.tokens.div_ceil(capacity.piece_tokens.max(1)).max(1);
        slots += capacity.slots;
        free += capacity.slots.saturating_sub(load.slots);
        fits |= load.slots < capacity.slots && load.pieces + pieces <= capacity.pieces;
        if fits && !keep_headroom {
            return true;
        }
    }
    fits && free * 100 > slots * HEADROOM_PERCENT
}
