//! Before a silent attempt at a model call is given up, its next one gets a reservation: an attempt
//! that may go on is worth more than a place in a queue.

use super::admit::backoff_key;
use super::assign::ANSWER_TIMEOUT;
use super::call::{Call, Reservation, Stage};
use super::fleet::EndpointKey;
use super::reserve::HOLD_TIMEOUT;
use super::timers::{SILENCE_RECHECK, next_timer};
use super::{CallerId, Gateway, PeerId};
use crate::control::dispatch::rooms::{RunEnd, RunId};
use crate::link::message::ControlRequest;
use crate::model::{ExchangeId, Timestamp};

/// The capacity for another attempt at a call whose present one is silent.
#[derive(Debug, Default)]
pub enum Vacancy {
    /// None was asked for.
    #[default]
    Unknown,
    /// Control's leader was asked for an endpoint.
    Asked {
        /// The exchange of the request.
        exchange: ExchangeId,
        /// The run that the leader counts if it finds capacity.
        run: RunId,
        /// When it was asked.
        at: Timestamp,
    },
    /// The endpoint that the leader has found was asked for a reservation.
    Reserving {
        /// The connection that carries the request.
        peer: PeerId,
        /// What goes on when it is granted.
        spare: Spare,
    },
    /// The endpoint has granted the reservation.
    Reserved {
        /// What is reserved.
        spare: Spare,
        /// The name of the reservation there.
        hold: Box<str>,
    },
}

/// Capacity at another endpoint.
#[derive(Debug, Clone, Copy)]
pub struct Spare {
    /// The run that the leader counts, if it was the leader that found it.
    run: Option<RunId>,
    /// The reserved capacity.
    decode: Reservation,
    /// When it was asked for.
    at: Timestamp,
}

impl Gateway {
    /// Returns whether a silent attempt may be given up now. If another one has no reservation, the
    /// attempt goes on for now, and one is requested.
    pub(super) fn has_vacancy(&mut self, now: Timestamp, caller: CallerId) -> bool {
        let Some(call) = self.calls.get(&caller) else { return true };
        match call.vacancy {
            Vacancy::Reserved { spare, .. } if is_silent_since(call, spare.at) => true,
            Vacancy::Asked { at, .. } if is_silent_since(call, at) => {
                self.forget_vacancy(now, caller);
                self.back_off_leader(now);
                self.reserve_own(now, caller);
                false
            }
            Vacancy::Reserving { peer, spare } if is_silent_since(call, spare.at) => {
                self.give_up_hold(now, caller, peer, &spare.decode);
                self.spare_lost(now, caller, false);
                false
            }
            _ => {
                self.forget_vacancy(now, caller);
                !self.ask_vacancy(now, caller)
            }
        }
    }

    /// Asks the leader for capacity; returns whether the attempt is kept meanwhile.
    fn ask_vacancy(&mut self, now: Timestamp, caller: CallerId) -> bool {
        if !self.is_engine_call(caller) {
            return false;
        }
        if self.follower.leader().is_none() {
            return false;
        }
        let Some(leader) = self.leader(now) else {
            self.reserve_own(now, caller);
            return true;
        };
        let Some(call) = self.calls.get_mut(&caller) else { return false };
        let Some(present) = call.attempt().map(|a| a.endpoint) else { return false };
        let full = self.capacity_backoff.get(&backoff_key(call)).is_some_and(|at| now < *at);
        call.tried.push(present);
        let run = self.next_run();
        let room = self.room_request(now, caller, run);
        let Some(call) = self.calls.get_mut(&caller) else { return false };
        call.tried.pop();
        let Some(room) = room else { return false };
        if full || room.candidates.is_empty() {
            self.keep_until(caller, now + SILENCE_RECHECK);
            return true;
        }
        let exchange = self.send_to_control(leader, ControlRequest::AssignRoom(Box::new(room)));
        self.leader_requests.insert(exchange, caller);
        if let Some(call) = self.calls.get_mut(&caller) {
            call.vacancy = Vacancy::Asked { exchange, run, at: now };
        }
        self.keep_until(caller, now + ANSWER_TIMEOUT);
        true
    }

    /// Handles the leader's answer to a question for capacity; returns whether it was one.
    pub(super) fn vacancy_answered(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        exchange: ExchangeId,
        endpoint: Option<&str>,
    ) -> bool {
        let Some(call) = self.calls.get_mut(&caller) else { return false };
        let Vacancy::Asked { exchange: asked, run, at } = call.vacancy else { return false };
        if asked != exchange {
            return false;
        }
        let id = &call.info.id;
        log::info!("step=vacancy id={id} outcome={}", endpoint.unwrap_or("none"));
        call.vacancy = Vacancy::Unknown;
        let Some(endpoint) = endpoint else {
            let key = backoff_key(call);
            self.back_off_capacity(now, key);
            self.keep_until(caller, now + SILENCE_RECHECK);
            return true;
        };
        self.keep_until(caller, now);
        if !self.reserve_found(now, caller, endpoint, run, at) {
            self.end_run(Some(run), RunEnd::Refused);
            self.keep_until(caller, now + SILENCE_RECHECK);
        }
        true
    }

    /// Requests a reservation at the endpoint that the leader has found, if the attempt is still
    /// silent; returns whether it was requested.
    fn reserve_found(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        endpoint: &str,
        run: RunId,
        at: Timestamp,
    ) -> bool {
        let Some(call) = self.calls.get(&caller) else { return false };
        let is_running = matches!(call.stage, Stage::Run { .. });
        if !is_running || next_timer(call) > now {
            return false;
        }
        let choice = call.choice();
        let named = self.fleet.named(now, endpoint);
        let allowed = named.filter(|k| self.fleet.get(*k).is_some_and(|e| choice.allows(*k, e)));
        allowed.is_some_and(|found| self.reserve(now, caller, found, Some(run), at))
    }

    /// Requests a reservation by the loads that this gateway knows, since the leader does not
    /// answer. The attempt goes on meanwhile.
    fn reserve_own(&mut self, now: Timestamp, caller: CallerId) {
        self.keep_until(caller, now + SILENCE_RECHECK);
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let Some(present) = call.attempt().map(|a| a.endpoint) else { return };
        call.tried.push(present);
        let found = self.pick_decode(now, caller, None);
        if let Some(call) = self.calls.get_mut(&caller) {
            call.tried.pop();
        }
        if let Some(found) = found {
            self.reserve(now, caller, found, None, now);
        }
    }

    /// Requests a reservation for another attempt; returns whether it was requested.
    fn reserve(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        endpoint: EndpointKey,
        run: Option<RunId>,
        at: Timestamp,
    ) -> bool {
        let Some((peer, decode)) = self.request_hold(now, caller, endpoint) else { return false };
        if let Some(call) = self.calls.get_mut(&caller) {
            call.vacancy = Vacancy::Reserving { peer, spare: Spare { run, decode, at } };
        }
        self.keep_until(caller, now + HOLD_TIMEOUT);
        true
    }

    /// Handles the answer to the reservation request for another attempt; returns whether one was
    /// open.
    pub(super) fn spare_answered(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        hold: Option<&str>,
    ) -> bool {
        let Some(spare) = self.take_requested(caller) else { return false };
        self.log_hold(now, caller, &spare.decode, hold.is_some());
        let Some(hold) = hold else {
            self.hold_refused(now, &spare.decode);
            self.end_run(spare.run, RunEnd::Refused);
            self.keep_until(caller, now + SILENCE_RECHECK);
            return true;
        };
        if let Some(endpoint) = self.fleet.get_mut(spare.decode.endpoint) {
            endpoint.accepted();
        }
        if let Some(call) = self.calls.get_mut(&caller) {
            call.vacancy = Vacancy::Reserved { spare, hold: hold.into() };
        }
        self.keep_until(caller, now);
        if self.calls.get(&caller).is_some_and(|c| next_timer(c) > now) {
            self.forget_vacancy(now, caller);
        }
        true
    }

    /// Handles the loss of the reservation request for another attempt; returns whether one was
    /// open.
    pub(super) fn spare_lost(&mut self, now: Timestamp, caller: CallerId, connected: bool) -> bool {
        let Some(spare) = self.take_requested(caller) else { return false };
        self.hold_failed(now, &spare.decode, connected);
        self.end_run(spare.run, RunEnd::Silent);
        self.keep_until(caller, now + SILENCE_RECHECK);
        true
    }

    /// Removes and returns the reservation that is requested for another attempt.
    fn take_requested(&mut self, caller: CallerId) -> Option<Spare> {
        let call = self.calls.get_mut(&caller)?;
        let Vacancy::Reserving { spare, .. } = call.vacancy else { return None };
        call.vacancy = Vacancy::Unknown;
        Some(spare)
    }

    /// Starts the next attempt at a call with the reservation that it has; returns whether it has
    /// one.
    pub(super) fn use_vacancy(&mut self, now: Timestamp, caller: CallerId) -> bool {
        let Some(call) = self.calls.get_mut(&caller) else { return false };
        match std::mem::take(&mut call.vacancy) {
            Vacancy::Reserved { spare, hold } => {
                call.run = spare.run;
                self.hold_granted(now, caller, spare.decode, hold);
                true
            }
            other => {
                call.vacancy = other;
                false
            }
        }
    }

    /// Gives up what was asked for, or reserved, for another attempt at a call.
    pub(super) fn forget_vacancy(&mut self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        match std::mem::take(&mut call.vacancy) {
            Vacancy::Unknown => {}
            Vacancy::Asked { exchange, run, .. } => {
                self.abandon_request(exchange);
                self.end_run(Some(run), RunEnd::Over);
            }
            Vacancy::Reserving { peer, spare } => {
                self.give_up_hold(now, caller, peer, &spare.decode);
                self.release(now, spare.decode.endpoint, spare.decode.usage);
                self.end_run(spare.run, RunEnd::Over);
            }
            Vacancy::Reserved { spare, hold } => {
                self.send_hold_drop(now, spare.decode.endpoint, hold);
                self.release(now, spare.decode.endpoint, spare.decode.usage);
                self.end_run(spare.run, RunEnd::Over);
            }
        }
    }

    /// Reports to the leader that the capacity that it counts for a run is not used.
    fn end_run(&mut self, run: Option<RunId>, end: RunEnd) {
        if let (Some(run), Some(leader)) = (run, self.follower.leader()) {
            self.send_to_control(leader, ControlRequest::RunEnded { run, end });
        }
    }

    /// Tolerates the silence of a call's present attempt until a time.
    fn keep_until(&mut self, caller: CallerId, at: Timestamp) {
        if let Some(attempt) = self.calls.get_mut(&caller).and_then(|c| c.attempt()) {
            attempt.kept_until = at;
        }
    }
}

/// Returns whether a call's present attempt has brought no event since a time.
fn is_silent_since(call: &Call, at: Timestamp) -> bool {
    let Stage::Run { attempt, .. } = &call.stage else { return false };
    attempt.since < at && call.delivered.last.is_none_or(|last| last < at)
}
