//! Applies the decisions of the budget to the connections of one role.

use std::time::Duration;

use super::{ACCEPT_INTERVAL, ConnectionId, Server};
use crate::h1::budget::{Candidate, Level, is_handed, is_turn_over, victims};
use crate::h1::caller::{CallerState, Room};
use crate::h1::{CallerId, HttpEffect, HttpInput};
use crate::model::Timestamp;
use crate::report::clients::ClientLimit;
use crate::role::Role;

/// The most bytes that are kept for one caller that does not read its answer.
const MAX_UNREAD_BYTES: usize = 12 << 20;
/// Answers with fewer unread bytes are not given up while the role writes them.
const LARGE_BYTES: usize = 256 << 10;
/// How many callers are read on at a time once memory is free again.
const RESUMED_AT_ONCE: usize = 64;
/// How often lines about refused requests are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

impl<R: Role<Local = HttpInput, Effect = HttpEffect>> Server<R> {
    /// Returns the memory that is left for reading from a caller.
    pub(super) fn room(&self, id: CallerId) -> Room {
        let held = self.budget.held();
        let level = self.budget.thresholds().level(held);
        let first = self.foremost.is_some_and(|(foremost, _)| foremost == id);
        Room { level, held, first: first && level < Level::Over }
    }

    /// Counts the memory of a caller.
    pub(super) fn charge(&mut self, id: CallerId) {
        if let Some(caller) = self.callers.get_mut(&id) {
            caller.charge();
        }
    }

    /// Frees memory if too much is held: unfinished requests are refused, and callers that don't read
    /// complete answers are disconnected.
    pub(super) fn free_memory(&mut self, now: Timestamp) {
        let excess = self.budget.thresholds().excess(self.budget.held());
        if excess == 0 || now < self.next_eviction {
            return;
        }
        let candidates: Vec<Candidate> =
            self.callers.iter().filter_map(|(id, c)| c.candidate(now, *id)).collect();
        let victims = victims(candidates, excess);
        if victims.is_empty() {
            // All callers are searched, which must not happen at each read.
            self.next_eviction = now + ACCEPT_INTERVAL;
        }
        self.log_refused(now, victims.len());
        for id in victims {
            self.metrics.clients.limit(ClientLimit::Memory);
            self.give_up(now, id);
        }
    }

    /// Refuses the request that a caller sends, or disconnects a caller that sends none.
    pub(super) fn give_up(&mut self, now: Timestamp, id: CallerId) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        if matches!(caller.state, CallerState::Reading(_)) {
            caller.refuse_large(now);
            caller.charge();
            self.dirty.insert(ConnectionId::Caller(id));
        } else {
            self.callers.remove(&id);
        }
    }

    fn log_refused(&mut self, now: Timestamp, count: usize) {
        if count > 0 && now >= self.next_refused_line {
            self.next_refused_line = now + LOG_INTERVAL;
            let held = self.budget.held();
            log::warn!(
                "step=read outcome=refused callers={count} held={held} \
                 error=\"too many large requests at once\""
            );
        }
    }

    /// Returns whether a complete request is handed to the role; it is refused otherwise.
    pub(super) fn may_hand(&mut self, now: Timestamp, id: CallerId) -> bool {
        let Some(caller) = self.callers.get_mut(&id) else { return false };
        caller.charge();
        if is_handed(self.budget.level(), caller.handed(), self.budget.held()) {
            return true;
        }
        caller.refuse_large(now);
        caller.charge();
        self.dirty.insert(ConnectionId::Caller(id));
        self.metrics.clients.limit(ClientLimit::Memory);
        self.log_refused(now, 1);
        false
    }

    /// Reads on from callers that were not read on for lack of memory: from all once memory is free,
    /// else from one at a time.
    pub(super) fn resume_paused(&mut self, now: Timestamp) {
        if self.paused.is_empty() {
            return;
        }
        let callers = &self.callers;
        self.paused.retain(|id| callers.get(id).is_some_and(|c| c.is_paused()));
        match self.budget.level() {
            Level::Calm => {
                let due: Vec<CallerId> =
                    self.paused.iter().copied().take(RESUMED_AT_ONCE).collect();
                due.into_iter().for_each(|id| self.read_caller(now, id));
            }
            Level::Full => {
                let Some(id) = self.next_foremost(now) else { return };
                if self.paused.contains(&id) {
                    self.read_caller(now, id);
                }
            }
            Level::Over => {}
        }
    }

    /// Returns the caller that is read on although large bodies are not, in turn.
    fn next_foremost(&mut self, now: Timestamp) -> Option<CallerId> {
        if let Some((id, since)) = self.foremost
            && let Some(caller) = self.callers.get(&id)
            && matches!(caller.state, CallerState::Reading(_))
            && !is_turn_over(now, caller.touched().max(since))
        {
            return Some(id);
        }
        let last = self.foremost.map_or(CallerId(0), |(id, _)| CallerId(id.0 + 1));
        let next = self.paused.range(last..).next().or(self.paused.first()).copied()?;
        self.foremost = Some((next, now));
        Some(next)
    }

    /// Closes the connection of a caller that leaves too many bytes of its answer unread.
    pub(super) fn bound_answer(&mut self, id: CallerId) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        caller.charge();
        let unread = caller.socket.pending();
        let is_over = self.budget.level() == Level::Over;
        if unread > MAX_UNREAD_BYTES || unread > LARGE_BYTES && is_over {
            log::warn!("step=write outcome=closed unread={unread}");
            caller.socket.clear();
            caller.charge();
            self.metrics.clients.limit(ClientLimit::Unread);
            self.broken.push(ConnectionId::Caller(id));
        }
    }
}
