//! Before a silent attempt is given up, control's leader is asked whether another endpoint has
//! capacity: an attempt that may go on is worth more than a place in a queue.

use super::assign::{ANSWER_TIMEOUT, NO_CAPACITY_BACKOFF, SILENT_BACKOFF, backoff_key};
use super::call::{Call, Stage};
use super::fleet::EndpointKey;
use super::outcome::{SILENCE_RECHECK, next_timer};
use super::{CallerId, Gateway};
use crate::control::dispatch::rooms::{RunEnd, RunId};
use crate::link::message::ControlRequest;
use crate::model::{ExchangeId, Timestamp};

/// Whether the leader has capacity for another attempt at a call whose present one is silent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Vacancy {
    /// It was not asked.
    #[default]
    Unknown,
    /// It was asked and has not answered.
    Asked {
        /// The exchange of the request.
        exchange: ExchangeId,
        /// The run that the leader counts if it finds capacity.
        run: RunId,
        /// When it was asked.
        at: Timestamp,
    },
    /// It has capacity, and counts a run there.
    Found {
        /// The run that the leader counts.
        run: RunId,
        /// Where it has capacity.
        endpoint: EndpointKey,
        /// When it was asked.
        at: Timestamp,
    },
}

impl Gateway {
    /// Returns whether a silent attempt may be given up now, as far as the leader knows. If the
    /// leader has to be asked first, or has no capacity, the attempt goes on for now.
    pub(super) fn has_vacancy(&mut self, now: Timestamp, caller: CallerId) -> bool {
        let Some(call) = self.calls.get(&caller) else { return true };
        match call.vacancy {
            Vacancy::Found { at, .. } if is_silent_since(call, at) => true,
            Vacancy::Asked { at, .. } if is_silent_since(call, at) => {
                self.forget_vacancy(caller);
                self.leader_backoff = now + SILENT_BACKOFF;
                true
            }
            _ => {
                self.forget_vacancy(caller);
                !self.ask_vacancy(now, caller)
            }
        }
    }

    /// Asks the leader for capacity; returns whether the attempt is kept meanwhile.
    fn ask_vacancy(&mut self, now: Timestamp, caller: CallerId) -> bool {
        if !self.is_engine_call(caller) {
            return false;
        }
        let Some(leader) = self.leader(now) else { return false };
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
            self.capacity_backoff.insert(key, now + NO_CAPACITY_BACKOFF);
            self.keep_until(caller, now + SILENCE_RECHECK);
            return true;
        };
        self.keep_until(caller, now);
        let named = self.fleet.named(now, endpoint);
        if let (Some(endpoint), Some(call)) = (named, self.calls.get_mut(&caller))
            && matches!(call.stage, Stage::Run { .. })
            && next_timer(call) <= now
        {
            call.vacancy = Vacancy::Found { run, endpoint, at };
        } else {
            self.end_run(run);
        }
        true
    }

    /// Starts the next attempt at a call where the leader has capacity for it; returns whether it
    /// has found any.
    pub(super) fn use_vacancy(&mut self, now: Timestamp, caller: CallerId) -> bool {
        let Some(call) = self.calls.get_mut(&caller) else { return false };
        let Vacancy::Found { run, endpoint, .. } = call.vacancy else { return false };
        call.vacancy = Vacancy::Unknown;
        call.run = Some(run);
        self.hold_assigned(now, caller, Some(endpoint));
        true
    }

    /// Withdraws the question for capacity of a call, and gives up what the leader has found.
    pub(super) fn forget_vacancy(&mut self, caller: CallerId) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        match std::mem::take(&mut call.vacancy) {
            Vacancy::Unknown => {}
            Vacancy::Asked { exchange, run, .. } => {
                self.abandon_request(exchange);
                self.end_run(run);
            }
            Vacancy::Found { run, .. } => self.end_run(run),
        }
    }

    /// Reports to the leader that the capacity of a run is not used.
    fn end_run(&mut self, run: RunId) {
        if let Some(leader) = self.follower.leader() {
            self.send_to_control(leader, ControlRequest::RunEnded { run, end: RunEnd::Over });
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
