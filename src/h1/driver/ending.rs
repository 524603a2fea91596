//! The end of callers' connections: of idle ones when the role asks for it, and of all once the
//! role has stopped.

use super::{ConnectionId, Server};
use crate::h1::caller::{Caller, CallerState};
use crate::h1::closing::{Open, Verdict};
use crate::h1::{CallerId, HttpEffect, HttpInput, LINGER_TIMEOUT};
use crate::model::Timestamp;
use crate::role::Role;

/// The most connections that are accepted on one address once the role has stopped.
const MAX_LAST_ACCEPTS: usize = 4_096;
/// The most cut connections that are logged one by one.
const MAX_CUT_LINES: usize = 16;

/// The time between the stop of the role and the end of its thread.
#[derive(Debug)]
pub(super) struct Ending {
    since: Timestamp,
    /// When the thread ends at the latest; `None` until the ending has begun.
    until: Option<Timestamp>,
    /// How many requests came too late: handed to the stopped role, or received in part.
    pub(super) refused: u64,
}

impl Ending {
    pub(super) fn new(now: Timestamp) -> Ending {
        Ending { since: now, until: None, refused: 0 }
    }

    /// Returns when the thread ends at the latest.
    pub(super) fn until(&self) -> Timestamp {
        self.until.unwrap_or(self.since)
    }

    /// Returns until when requests to endpoints are written.
    pub(super) fn peers_until(&self) -> Timestamp {
        self.until().min(self.since + LINGER_TIMEOUT)
    }
}

impl<R: Role<Local = HttpInput, Effect = HttpEffect>> Server<R> {
    /// Marks the idle connections of callers, which are closed in the same turn if nothing is
    /// unread or unwritten on them.
    pub(super) fn close_idle(&mut self) {
        let idle = self.callers.iter().filter(|(_, c)| matches!(c.state, CallerState::Idle(_)));
        self.leaving.extend(idle.map(|(id, _)| *id));
    }

    /// Closes the connections that are to be closed and can be; returns whether the thread goes on.
    pub(super) fn end_turn(&mut self, now: Timestamp) -> bool {
        self.begin_ending(now);
        self.close_leaving(now);
        self.flush_all(now);
        self.report_broken(now);
        self.close_peers(now);
        let Some(ending) = &self.ending else { return true };
        let is_open = !self.callers.is_empty() || !self.peers.is_empty();
        // An ending that has just resulted from a broken connection begins with the next turn.
        ending.until.is_none_or(|until| now < until && is_open)
    }

    /// Returns when one of the connections that are to be closed can be closed.
    pub(super) fn next_close(&self) -> Option<Timestamp> {
        let open = self.leaving.iter().filter_map(|id| self.callers.get(id));
        let times = open.filter_map(|caller| match caller.open().verdict() {
            Verdict::CloseAt(at) => Some(at),
            Verdict::Wait | Verdict::Partial => None,
        });
        times.min()
    }

    fn begin_ending(&mut self, now: Timestamp) {
        let Some(ending) = self.ending.as_mut().filter(|e| e.until.is_none()) else { return };
        ending.until = Some(self.close_at.unwrap_or(now + LINGER_TIMEOUT));
        self.next_expiry = now;
        self.flush_all(now);
        for index in 0..self.listeners.len() {
            self.accept(now, index, MAX_LAST_ACCEPTS);
        }
        self.listeners.clear();
        self.leaving.extend(self.callers.keys());
        for id in self.leaving.clone() {
            self.read_caller(now, id);
        }
    }

    /// Closes the connections to endpoints once all requests on them are written.
    fn close_peers(&mut self, now: Timestamp) {
        let Some(ending) = self.ending.as_ref().filter(|e| e.until.is_some()) else { return };
        let in_time = now < ending.peers_until();
        self.peers.retain(|_, peer| in_time && peer.socket.pending() > 0);
    }

    fn close_leaving(&mut self, now: Timestamp) {
        for id in self.leaving.clone() {
            if self.can_close(now, id) {
                self.read_caller(now, id);
            }
            if self.can_close(now, id) {
                self.close_caller(now, id);
            }
        }
        let closed = |c: &Caller| matches!(c.state, CallerState::Lingering { .. });
        let callers = &self.callers;
        self.leaving.retain(|id| callers.get(id).is_some_and(|c| !closed(c)));
    }

    pub(super) fn can_close(&self, now: Timestamp, id: CallerId) -> bool {
        match self.callers.get(&id).map(|c| c.open().verdict()) {
            Some(Verdict::CloseAt(at)) => at <= now,
            Some(Verdict::Partial) => self.ending.is_some(),
            Some(Verdict::Wait) | None => false,
        }
    }

    /// Closes a connection once all is written, after a refusal if a request came in part.
    fn close_caller(&mut self, now: Timestamp, id: CallerId) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        if matches!(caller.state, CallerState::Reading(_)) {
            caller.refuse_stopped(now);
            if let Some(ending) = &mut self.ending {
                ending.refused += 1;
            }
        } else {
            caller.finish(now, false);
        }
        self.dirty.insert(ConnectionId::Caller(id));
    }

    /// Logs how the ending went, and the connections that were cut.
    pub(super) fn log_ending(&self, now: Timestamp) {
        let Some(ending) = &self.ending else { return };
        let count = |name| self.callers.values().filter(|c| c.state.name() == name).count();
        let unwritten: usize = self.callers.values().map(|c| c.socket.pending()).sum();
        log::info!(
            "step=connections idle={} reading={} answering={} lingering={} \
             unwritten_bytes={unwritten} refused={} took_ms={}",
            count("idle"),
            count("reading"),
            count("answering"),
            count("lingering"),
            ending.refused,
            (now - ending.since).as_millis(),
        );
        let cut = self.callers.iter().filter(|(_, c)| c.open().is_cut());
        for (CallerId(id), caller) in cut.take(MAX_CUT_LINES) {
            let Open { state, unread, unwritten } = caller.open();
            log::warn!(
                "step=cut connection={id} state={} unread={unread} unwritten={unwritten}",
                state.name()
            );
        }
    }
}
