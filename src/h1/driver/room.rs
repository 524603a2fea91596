//! Room for new connections once the process can open no more, as it has no descriptor left.
//!
//! Callers keep connections that they may not use again, and new callers must not wait for these. So
//! the connections that have been idle for longest are closed. A caller does not lose a request with
//! them: what has arrived is read before.

use std::time::Duration;

use super::{ACCEPT_INTERVAL, Server};
use crate::h1::budget::{Candidate, victims};
use crate::h1::caller::{Caller, CallerState};
use crate::h1::{CallerId, HttpEffect, HttpInput, Purpose};
use crate::model::Timestamp;
use crate::report::clients::ClientLimit;
use crate::role::Role;

/// How many idle connections are closed at a time.
const CLOSED_AT_ONCE: usize = 32;
/// How often it is logged that no connection can be closed.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

impl<R: Role<Local = HttpInput, Effect = HttpEffect>> Server<R> {
    /// Closes callers' connections that have been idle for longest, because of an error of the system;
    /// returns whether there are any.
    pub(super) fn make_room(&mut self, now: Timestamp, error: &std::io::Error) -> bool {
        let closed = self.close_longest_idle(now, |_| true);
        if closed > 0 || now >= self.next_room_line {
            self.next_room_line = now + LOG_INTERVAL;
            let callers = self.callers.len();
            log::error!("step=make-room error=\"{error}\" closed={closed} callers={callers}");
        }
        closed > 0
    }

    /// Closes connections of one purpose because as many are open as there may be: the ones that have
    /// been idle for longest, else those whose requests make the least progress; returns whether there
    /// are any.
    pub(super) fn make_place(&mut self, now: Timestamp, purpose: Purpose) -> bool {
        if now < self.next_place {
            return false;
        }
        let mut closed = self.close_longest_idle(now, |c| c.purpose == purpose);
        if closed == 0 {
            let with_purpose = self.callers.iter().filter(|(_, c)| c.purpose == purpose);
            let candidates = with_purpose.filter_map(|(id, c)| c.candidate(now, *id));
            // Each counts as one, since a descriptor is needed and not memory.
            let candidates = candidates.map(|c| Candidate { held: 1, ..c }).collect();
            for id in victims(candidates, CLOSED_AT_ONCE) {
                self.refuse_now(now, id);
                closed += 1;
            }
        }
        if closed == 0 {
            // All connections are searched, which must not happen for each one that waits.
            self.next_place = now + ACCEPT_INTERVAL;
        }
        for _ in 0..closed {
            self.metrics.clients.limit(ClientLimit::Connections);
        }
        if now >= self.next_room_line {
            self.next_room_line = now + LOG_INTERVAL;
            let callers = self.callers.len();
            log::warn!("step=make-place closed={closed} callers={callers}");
        }
        closed > 0
    }

    /// Refuses the request that a caller sends, and closes its connection at once.
    fn refuse_now(&mut self, now: Timestamp, id: CallerId) {
        self.give_up(now, id);
        if let Some(mut caller) = self.callers.remove(&id) {
            caller.flush(now);
        }
    }

    /// Closes connections that have been idle for longest; returns how many.
    fn close_longest_idle(
        &mut self,
        now: Timestamp,
        is_eligible: impl Fn(&Caller) -> bool,
    ) -> usize {
        let idle = |(id, caller): (&CallerId, &Caller)| match caller.state {
            CallerState::Idle(since) if is_eligible(caller) => Some((since, *id)),
            _ => None,
        };
        let mut idle: Vec<(Timestamp, CallerId)> = self.callers.iter().filter_map(idle).collect();
        idle.sort_unstable();
        let mut closed = 0;
        for (_, id) in idle {
            if closed == CLOSED_AT_ONCE {
                break;
            }
            closed += usize::from(self.close_unused(now, id));
        }
        closed
    }

    /// Closes a connection unless something has arrived on it or is unwritten; returns whether it is
    /// closed.
    fn close_unused(&mut self, now: Timestamp, id: CallerId) -> bool {
        if !self.can_close(now, id) {
            return false;
        }
        self.read_caller(now, id);
        if self.callers.contains_key(&id) && !self.can_close(now, id) {
            return false;
        }
        self.callers.remove(&id);
        true
    }

    /// Accepts the connections that no descriptor was left for before.
    pub(super) fn accept_waiting(&mut self, now: Timestamp) {
        for index in std::mem::take(&mut self.unaccepted) {
            self.accept(now, index, usize::MAX);
        }
    }
}
