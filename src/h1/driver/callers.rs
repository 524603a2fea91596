//! Reads requests on callers' connections, hands them to the role and writes its answers.

use mio::Interest;

use super::{ConnectionId, ENDING_INTERVAL, EXPIRY_INTERVAL, Ready, Server, caller_token};
use crate::h1::caller::{Caller, CallerRead, CallerState};
use crate::h1::{CallerId, HttpEffect, HttpInput, Purpose, Request, write};
use crate::model::Timestamp;
use crate::report::clients::ClientLimit;
use crate::role::{Input, Role};

impl<R: Role<Local = HttpInput, Effect = HttpEffect>> Server<R> {
    pub(super) fn caller_ready(&mut self, now: Timestamp, id: CallerId, ready: &Ready<'_>) {
        if ready.event.is_writable() {
            self.dirty.insert(ConnectionId::Caller(id));
        }
        if ready.event.is_read_closed()
            && let Some(caller) = self.callers.get_mut(&id)
        {
            caller.ended = true;
        }
        if ready.readable {
            self.read_caller(now, id);
        }
    }

    /// Reads on from callers that have closed their side, after what was answered at once is written:
    /// the poll does not report that end again.
    pub(super) fn read_ended(&mut self, now: Timestamp) {
        for id in std::mem::take(&mut self.ended) {
            self.read_caller(now, id);
        }
    }

    /// Reads what has arrived from a caller, as much as it may send in one turn.
    pub(super) fn read_caller(&mut self, now: Timestamp, id: CallerId) {
        let room = self.room(id);
        let Some(caller) = self.callers.get_mut(&id) else { return };
        let read = caller.read(now, &self.limits, room);
        self.caller_read(now, id, read);
    }

    fn caller_read(&mut self, now: Timestamp, id: CallerId, read: CallerRead) {
        self.dirty.insert(ConnectionId::Caller(id));
        self.charge(id);
        match read {
            CallerRead::Wait => {}
            CallerRead::More => self.resumed.push(id),
            CallerRead::Paused => {
                if self.paused.insert(id) {
                    self.metrics.clients.limit(ClientLimit::Paused);
                }
            }
            CallerRead::Request(request) => {
                if self.callers.get(&id).is_some_and(|caller| caller.ended) {
                    self.ended.push(id);
                }
                if self.may_hand(now, id) {
                    self.handle_request(now, id, request);
                }
            }
            CallerRead::Closed => self.caller_closed(now, id),
        }
        self.free_memory(now);
    }

    fn handle_request(&mut self, now: Timestamp, caller: CallerId, request: Request) {
        let Some(purpose) = self.callers.get(&caller).map(|c| c.purpose) else { return };
        if purpose == Purpose::Pages && request.head.path() == "/metrics" {
            let keep = !request.head.wants_close();
            let bytes = match self.metrics.text() {
                Ok(text) => write::answer(200, &[], "text/plain", text.as_bytes(), keep),
                Err(e) => write::answer(500, &[], "text/plain", format!("{e:#}").as_bytes(), keep),
            };
            self.apply(now, HttpEffect::Reply { caller, bytes });
            self.apply(now, HttpEffect::Finish { caller, keep });
            return;
        }
        self.step(now, Input::Local(HttpInput::Request { caller, purpose, request }));
    }

    pub(super) fn caller_closed(&mut self, now: Timestamp, id: CallerId) {
        let Some(caller) = self.callers.remove(&id) else { return };
        if caller.state == CallerState::Answering {
            self.step(now, Input::Local(HttpInput::CallerGone { caller: id }));
        }
    }

    pub(super) fn resume_callers(&mut self, now: Timestamp) {
        for id in std::mem::take(&mut self.resumed) {
            let room = self.room(id);
            let Some(caller) = self.callers.get_mut(&id) else { continue };
            let read = caller.resume(now, &self.limits, room);
            self.caller_read(now, id, read);
        }
    }

    /// Handles the timeouts of callers' connections.
    pub(super) fn expire(&mut self, now: Timestamp) {
        if now < self.next_expiry {
            return;
        }
        let interval = if self.ending.is_some() { ENDING_INTERVAL } else { EXPIRY_INTERVAL };
        self.next_expiry = now + interval;
        self.metrics.clients.deferred_handshakes(self.link.deferred_handshakes());
        self.metrics.clients.held(self.budget.held(), self.budget.accepted());
        let limits = self.limits;
        let due = |c: &Caller| c.deadline(&limits.values).is_some_and(|at| at <= now);
        let expired: Vec<CallerId> =
            self.callers.iter().filter(|(_, c)| due(c)).map(|(id, _)| *id).collect();
        for id in expired {
            let Some(caller) = self.callers.get_mut(&id) else { continue };
            let state = caller.state;
            if caller.expire(now) {
                self.caller_closed(now, id);
            } else if caller.state != state {
                self.metrics.clients.limit(ClientLimit::Slow);
                caller.charge();
                self.dirty.insert(ConnectionId::Caller(id));
            }
        }
    }

    pub(super) fn flush_caller(&mut self, now: Timestamp, id: CallerId) {
        let Some(caller) = self.callers.get_mut(&id) else { return };
        if caller.flush(now) {
            self.broken.push(ConnectionId::Caller(id));
            return;
        }
        let Some(caller) = self.callers.get_mut(&id) else { return };
        caller.charge();
        if caller.can_resume() {
            self.resumed.push(id);
        }
        if caller.socket.pending() > 0 {
            let interest = Interest::READABLE | Interest::WRITABLE;
            let token = caller_token(id);
            if let Err(error) =
                self.poll.registry().reregister(&mut caller.socket.stream, token, interest)
            {
                log::error!("step=register error=\"{error}\"");
            }
        }
    }
}
