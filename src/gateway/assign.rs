//! Requests to control's leader, which assigns a decode endpoint with capacity and a prefill
//! endpoint to a call. Without an answer in time, the gateway chooses by the loads that it knows
//! itself.

use std::net::SocketAddr;
use std::time::Duration;

use super::admit::{backoff_key, waiting_call};
use super::call::{Reservation, Stage};
use super::engine::spare_tokens;
use super::fleet::{Choice, EndpointKey};
use super::origins::OriginAnswer;
use super::{CallerId, Gateway};
use crate::control::config::Revised;
use crate::control::dispatch::prompts::PromptRequest;
use crate::control::dispatch::rooms::{RoomRequest, RunEnd, RunId};
use crate::link;
use crate::link::message::{ControlReply, ControlRequest, Envelope};
use crate::model::{ExchangeId, Timestamp};
use crate::role::Output;

/// How long the gateway waits for the leader's answer.
pub(super) const ANSWER_TIMEOUT: Duration = Duration::from_millis(25);
/// How long no request is sent to the leader, at least, after it did not answer one.
const SILENT_BACKOFF: Duration = Duration::from_millis(400);
/// Over how long the ends of such pauses are spread: a leader that is slow under load would meet the
/// requests of all gateways at once otherwise, and be too slow again.
const BACKOFF_SPREAD_MS: u64 = 300;

/// A prefill that the leader has assigned to an endpoint and counts there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assigned {
    /// The name of the endpoint.
    pub endpoint: Box<str>,
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Tokens of other prompts that the leader counts there.
    pub ahead: u32,
}

impl Gateway {
    /// Requests a prefill endpoint for a call from the leader; returns whether a request was sent.
    pub(super) fn request_prefill(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        decode: Reservation,
    ) -> bool {
        let Some(leader) = self.leader(now) else { return false };
        let Some(prompt) = self.prompt_request(now, caller, decode.endpoint) else { return false };
        let request = ControlRequest::AssignPrompt(prompt);
        self.send_to_leader(now, caller, leader, request, |exchange| Stage::Assign {
            exchange,
            decode,
        });
        true
    }

    /// Returns the request for a prefill endpoint, or `None` if there are fewer than two to choose
    /// from.
    fn prompt_request(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        decode: EndpointKey,
    ) -> Option<PromptRequest> {
        let call = self.calls.get(&caller)?;
        let shape = self.shape(caller)?;
        let decode = self.fleet.get(decode)?;
        let choice = Choice { software: Some(&decode.software), ..call.choice() };
        let loads = self.fleet.prefill_loads(now, choice, &shape, &decode.domain);
        let free = loads.filter(|l| l.slots_used < l.slots);
        let free: Vec<_> = free.map(|l| (l.key, l.local)).collect();
        let tokens = call.info.work.as_ref()?.prompt;
        let candidates = self.candidates(now, &free);
        (candidates.len() > 1).then_some(PromptRequest { tokens, candidates })
    }

    /// Requests a decode endpoint with capacity from the leader. Returns whether a request was
    /// sent, or `None` if the gateway has to choose itself, as without a leader.
    pub(super) fn request_capacity(&mut self, now: Timestamp, caller: CallerId) -> Option<bool> {
        let leader = self.leader(now)?;
        let call = self.calls.get(&caller)?;
        let key = backoff_key(call);
        if self.is_capacity_short(now, &key) {
            return Some(false);
        }
        let run = self.next_run();
        let room = self.room_request(now, caller, run)?;
        if room.candidates.is_empty() {
            return Some(false);
        }
        let request = ControlRequest::AssignRoom(Box::new(room));
        self.send_to_leader(now, caller, leader, request, |exchange| Stage::Room { exchange });
        self.calls.get_mut(&caller)?.run = Some(run);
        Some(true)
    }

    /// Sends no request to the leader for a while, since it did not answer one.
    pub(super) fn back_off_leader(&mut self, now: Timestamp) {
        let spread = Duration::from_millis(self.draw() % BACKOFF_SPREAD_MS);
        self.leader_backoff = now + SILENT_BACKOFF + spread;
    }

    /// Returns the name of the run for which the next exchange asks.
    pub(super) fn next_run(&self) -> RunId {
        RunId(self.settings.follower.boot.0.rotate_left(24) ^ (self.exchanges + 1))
    }

    pub(super) fn room_request(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        run: RunId,
    ) -> Option<RoomRequest> {
        let call = self.calls.get(&caller)?;
        let shape = self.shape(caller)?;
        let loads = self.fleet.decode_loads(now, call.choice(), &shape);
        let open: Vec<_> = loads.map(|l| (l.key, l.local)).collect();
        let tokens = call.info.work.as_ref()?.mean_tokens();
        let spare = spare_tokens(call, &shape);
        let call = waiting_call(now, caller, call);
        let candidates = self.candidates(now, &open);
        let (memory, slots) = (shape.tokens, shape.slots);
        let owner = self.settings.follower.boot;
        Some(RoomRequest { run, owner, tokens, spare, memory, slots, candidates, call })
    }

    /// Returns the leader's address, unless a recent request to it timed out.
    pub(super) fn leader(&self, now: Timestamp) -> Option<SocketAddr> {
        self.follower.leader().filter(|_| now >= self.leader_backoff)
    }

    /// Sends a request to the leader and sets the stage in which the call waits for the answer.
    fn send_to_leader(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        leader: SocketAddr,
        request: ControlRequest,
        stage: impl FnOnce(ExchangeId) -> Stage,
    ) {
        let exchange = self.send_to_control(leader, request);
        self.leader_requests.insert(exchange, caller);
        if let Some(call) = self.calls.get_mut(&caller) {
            call.reply_deadline = now + ANSWER_TIMEOUT;
            call.stage = stage(exchange);
        }
    }

    /// Abandons an open request to the leader.
    pub(super) fn abandon_request(&mut self, exchange: ExchangeId) {
        self.leader_requests.remove(&exchange);
        self.outputs.push(Output::Reset { exchange });
    }

    /// Abandons open requests to control members.
    pub(super) fn abandon_requests(&mut self, exchanges: &[ExchangeId]) {
        exchanges.iter().for_each(|exchange| self.abandon_request(*exchange));
    }

    /// Handles the leader's answer to a request for capacity; `endpoint` is the assigned endpoint.
    fn room_assigned(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        endpoint: Option<&str>,
        ahead: u32,
    ) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        call.stage = Stage::Waiting;
        let key = backoff_key(call);
        log::info!(
            "step=room id={} outcome={}{} priority={}/{} late={} waited_ms={}",
            call.info.id,
            endpoint.unwrap_or("none"),
            no_room_text(endpoint.is_some(), ahead),
            call.rank().account,
            call.rank().priority,
            call.late,
            (now - call.arrived).as_millis(),
        );
        let Some(endpoint) = endpoint else {
            call.run = None;
            self.back_off_capacity(now, key);
            self.start_or_requeue(now, caller);
            return;
        };
        self.capacity_backoff.remove(&key);
        self.capacity_freed = true;
        let named = self.fleet.named(now, endpoint);
        self.hold_assigned(now, caller, named);
    }

    /// Requests a reservation at the endpoint that the leader has assigned, or starts the call
    /// again if that one is not allowed.
    pub(super) fn hold_assigned(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        endpoint: Option<EndpointKey>,
    ) {
        let in_time = self.can_end(now, caller);
        let Some(call) = self.calls.get(&caller) else { return };
        let choice = call.choice();
        let allowed = |key: &EndpointKey| {
            self.fleet.get(*key).is_some_and(|endpoint| choice.allows(*key, endpoint))
        };
        let named = endpoint.filter(|at| in_time && allowed(at));
        if !named.is_some_and(|at| self.hold_at(now, caller, at)) {
            self.report_run_end(caller, RunEnd::Refused);
            self.start_or_requeue(now, caller);
        }
    }

    /// Reports to the leader that a call no longer uses the capacity that was assigned to it.
    pub(super) fn report_run_end(&mut self, caller: CallerId, end: RunEnd) {
        let run = self.calls.get_mut(&caller).and_then(|c| c.run.take());
        if let (Some(run), Some(leader)) = (run, self.follower.leader()) {
            self.send_to_control(leader, ControlRequest::RunEnded { run, end });
        }
    }

    pub(super) fn send_to_control(
        &mut self,
        peer: SocketAddr,
        request: ControlRequest,
    ) -> ExchangeId {
        self.exchanges += 1;
        let exchange = ExchangeId(self.exchanges);
        self.open_to_control(exchange, peer, request);
        exchange
    }

    /// Sends a request to a control member on a new exchange.
    pub(super) fn open_to_control(
        &mut self,
        exchange: ExchangeId,
        peer: SocketAddr,
        request: ControlRequest,
    ) {
        let body = link::Request::Control(request);
        let envelope = Envelope { revised: Revised::default(), body };
        self.outputs.push(Output::Open { exchange, peer, envelope });
    }

    /// Handles a reply of control, except replies to heartbeats.
    pub(super) fn control_replied(
        &mut self,
        now: Timestamp,
        exchange: ExchangeId,
        reply: &ControlReply,
    ) {
        if self.outbox.acknowledged(exchange) || self.credit_answered(now, exchange, Some(reply)) {
            return;
        }
        let accepted = !matches!(reply, ControlReply::NotLeader { .. });
        if self.runs_reported(exchange, accepted) {
            return;
        }
        if let ControlReply::ProbeGranted { granted, .. } = reply {
            self.probe_answered(now, exchange, *granted);
            return;
        }
        let Some(caller) = self.leader_requests.remove(&exchange) else { return };
        if let Some(answer) = OriginAnswer::read(reply) {
            self.origin_answered(now, caller, exchange, answer);
            self.schedule(caller);
            return;
        }
        if let ControlReply::RoomAssigned { endpoint, .. } = reply
            && self.vacancy_answered(now, caller, exchange, endpoint.as_deref())
        {
            self.schedule(caller);
            return;
        }
        let answered = matches!(
            reply,
            ControlReply::PromptAssigned { .. } | ControlReply::RoomAssigned { .. }
        );
        if !answered {
            self.back_off_leader(now);
        }
        // The call may have ended meanwhile; the leader expires its assignment by itself.
        let Some(call) = self.calls.get(&caller) else { return };
        match (&call.stage, reply) {
            (Stage::Room { .. }, ControlReply::RoomAssigned { endpoint, ahead }) => {
                self.room_assigned(now, caller, endpoint.as_deref(), *ahead);
            }
            (Stage::Room { .. }, _) => self.restart_without_leader(now, caller),
            (
                Stage::Assign { .. },
                ControlReply::PromptAssigned { endpoint: Some(endpoint), ahead },
            ) => {
                let tokens = call.info.work.as_ref().map_or(0, |w| w.prompt);
                let assigned = Assigned { endpoint: endpoint.clone(), tokens, ahead: *ahead };
                self.prompt_assigned(now, caller, Some(assigned));
            }
            (Stage::Assign { .. }, ControlReply::PromptAssigned { endpoint: None, .. }) => {
                self.prompt_refused(now, caller);
            }
            (Stage::Assign { .. }, _) => self.prompt_assigned(now, caller, None),
            _ => {}
        }
        self.schedule(caller);
    }

    /// Starts or queues a call again after the leader failed to answer its request for capacity.
    fn restart_without_leader(&mut self, now: Timestamp, caller: CallerId) {
        self.report_run_end(caller, RunEnd::Over);
        if let Some(call) = self.calls.get_mut(&caller) {
            call.stage = Stage::Waiting;
        }
        self.start_or_requeue(now, caller);
    }

    /// Continues a call whose request to the leader timed out or lost its exchange.
    pub(super) fn leader_timed_out(&mut self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get(&caller) else { return };
        let (exchange, for_room) = match call.stage {
            Stage::Room { exchange } => (exchange, true),
            Stage::Assign { exchange, .. } => (exchange, false),
            _ => return,
        };
        log::info!("step=assign id={} for_room={for_room} outcome=silent", call.info.id);
        self.abandon_request(exchange);
        self.back_off_leader(now);
        if for_room {
            self.restart_without_leader(now, caller);
        } else {
            self.prompt_assigned(now, caller, None);
        }
    }

    /// Handles the end of an exchange with control, except those of heartbeats.
    pub(super) fn control_closed(&mut self, now: Timestamp, exchange: ExchangeId) {
        if self.runs_reported(exchange, false) || self.outbox.failed(now, exchange) {
            return;
        }
        if self.credit_answered(now, exchange, None) {
            return;
        }
        if self.probe_answered(now, exchange, false) {
            return;
        }
        if let Some(caller) = self.leader_requests.get(&exchange).copied() {
            let call = self.calls.get(&caller);
            if call.is_some_and(|c| matches!(c.stage, Stage::Origin(_))) {
                self.leader_requests.remove(&exchange);
                self.origin_closed(now, caller, exchange);
            } else {
                self.leader_timed_out(now, caller);
            }
            self.schedule(caller);
        }
    }

    /// Starts the prefill of a call at the endpoint that the leader has assigned, or at one that
    /// the gateway picks.
    fn prompt_assigned(&mut self, now: Timestamp, caller: CallerId, assigned: Option<Assigned>) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let Stage::Assign { decode, .. } = call.stage else { return };
        call.stage = Stage::Waiting;
        let endpoint = assigned.as_ref().map_or("own-choice", |a| &a.endpoint);
        log::info!("step=assign id={} outcome={endpoint}", call.info.id);
        let software = self.fleet.get(decode.endpoint).map(|e| &e.software);
        let fits = |key: &EndpointKey| self.fleet.get(*key).map(|e| &e.software) == software;
        let named = assigned.as_ref().and_then(|a| self.fleet.named(now, &a.endpoint)).filter(fits);
        call.assigned = assigned;
        self.run_prefill(now, caller, decode, named);
    }

    /// Runs a call at its decode endpoint without a prefill elsewhere, since all prefill endpoints are
    /// busy: the decode endpoint has reserved capacity for it.
    fn prompt_refused(&mut self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let Stage::Assign { decode, .. } = call.stage else { return };
        call.stage = Stage::Waiting;
        log::info!("step=assign id={} outcome=busy", call.info.id);
        self.run_unprepared(now, caller, decode);
    }

    /// Reports to the leader that the prefill of a call has ended.
    pub(super) fn report_prefill_end(&mut self, caller: CallerId) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let Some(Assigned { endpoint, tokens, .. }) = call.assigned.take() else { return };
        let Some(leader) = self.follower.leader() else { return };
        self.send_to_control(leader, ControlRequest::PromptEnded { endpoint, tokens });
    }
}

/// Returns the field that says, in logs, why a call got no capacity.
fn no_room_text(assigned: bool, ahead: u32) -> String {
    match (assigned, ahead) {
        (true, _) => String::new(),
        (false, 0) => " why=full".to_string(),
        (false, ahead) => format!(" why=behind ahead={ahead}"),
    }
}
