//! Asking control's leader which decode endpoint has room for a call, and which prefill endpoint
//! reads its prompt; without the answer in time the gateway chooses by what it knows itself.

use std::net::SocketAddr;
use std::time::Duration;

use super::call::{Reservation, Stage};
use super::engine::spare_tokens;
use super::fleet::EndpointKey;
use super::{CallerId, Gateway};
use crate::control::config::Revised;
use crate::control::dispatch::Candidate;
use crate::control::dispatch::prompts::PromptTicket;
use crate::control::dispatch::rooms::{RoomTicket, RunEnd, RunId};
use crate::link;
use crate::link::message::{ControlReply, ControlRequest, Envelope};
use crate::model::{ExchangeId, Timestamp};
use crate::role::Output;

/// How long the leader's answer is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(25);
/// How long the leader is not asked after an answer did not come.
const SILENT_BACKOFF: Duration = Duration::from_millis(400);
/// How long the leader is not asked for room again after it knew none.
const NO_CAPACITY_BACKOFF: Duration = Duration::from_millis(40);
/// The most endpoints that one question names.
const MAX_CANDIDATES: usize = 64;

/// A prompt that the leader counts at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Assigned {
    /// The endpoint.
    pub endpoint: Box<str>,
    /// Tokens of the prompt.
    pub tokens: u32,
}

impl Gateway {
    /// Asks the leader who reads the prompt of a call; returns whether it was asked.
    pub(super) fn request_prefill(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        decode: Reservation,
    ) -> bool {
        let Some(leader) = self.leader(now) else { return false };
        let Some(ticket) = self.prompt_ticket(now, caller, decode.endpoint) else { return false };
        let request = ControlRequest::AssignPrompt(ticket);
        self.send_to_leader(now, caller, leader, request, |exchange| Stage::Assign {
            exchange,
            decode,
        });
        true
    }

    fn prompt_ticket(
        &self,
        now: Timestamp,
        caller: CallerId,
        decode: EndpointKey,
    ) -> Option<PromptTicket> {
        let call = self.calls.get(&caller)?;
        let shape = self.shape(caller)?;
        let domain = &self.fleet.get(decode)?.domain;
        let loads = self.fleet.prefill_loads(now, &call.service, &shape, domain, &call.tried);
        let free = loads.filter(|l| l.slots_used < l.slots);
        let candidates = self.candidates(free.map(|l| (l.key, l.local)));
        let tokens = call.info.work.as_ref()?.prompt;
        (candidates.len() > 1).then_some(PromptTicket { tokens, candidates })
    }

    /// Asks the leader for room; returns whether it was asked, or `None` if nobody leads.
    pub(super) fn request_capacity(&mut self, now: Timestamp, caller: CallerId) -> Option<bool> {
        let leader = self.leader(now)?;
        let call = self.calls.get(&caller)?;
        let key = (call.service.clone(), call.rank().late);
        if self.capacity_backoff.get(&key).is_some_and(|until| now < *until) {
            return Some(false);
        }
        let run = RunId(self.settings.follower.boot.0.rotate_left(24) ^ (self.exchanges + 1));
        let ticket = self.room_ticket(now, caller, run)?;
        let request = ControlRequest::AssignRoom(Box::new(ticket));
        self.send_to_leader(now, caller, leader, request, |exchange| Stage::Room { exchange });
        self.calls.get_mut(&caller)?.run = Some(run);
        Some(true)
    }

    fn room_ticket(&self, now: Timestamp, caller: CallerId, run: RunId) -> Option<RoomTicket> {
        let call = self.calls.get(&caller)?;
        let shape = self.shape(caller)?;
        let loads = self.fleet.decode_loads(now, &call.service, &shape, &call.tried);
        let candidates = self.candidates(loads.map(|l| (l.key, l.local)));
        let tokens = call.info.work.as_ref()?.mean_tokens();
        let spare = spare_tokens(call, &shape);
        let (memory, slots) = (shape.tokens, shape.slots);
        let owner = self.settings.follower.boot;
        Some(RoomTicket { run, owner, tokens, spare, memory, slots, candidates })
    }

    /// Returns the leader, unless it has not answered lately.
    fn leader(&self, now: Timestamp) -> Option<SocketAddr> {
        self.follower.leader().filter(|_| now >= self.leader_backoff)
    }

    fn candidates(&self, open: impl Iterator<Item = (EndpointKey, bool)>) -> Vec<Candidate> {
        let named = open.filter_map(|(key, near)| {
            let endpoint = self.fleet.get(key)?.name.clone();
            Some(Candidate { endpoint, near })
        });
        named.take(MAX_CANDIDATES).collect()
    }

    /// Asks the leader about a call, which waits for the answer in a stage.
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

    /// Gives up a question to the leader.
    pub(super) fn abandon_request(&mut self, exchange: ExchangeId) {
        self.leader_requests.remove(&exchange);
        self.outputs.push(Output::Reset { exchange });
    }

    /// Takes the leader's answer to a question for room.
    fn room_assigned(&mut self, now: Timestamp, caller: CallerId, endpoint: Option<&str>) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        call.stage = Stage::Waiting;
        let key = (call.service.clone(), call.rank().late);
        log::info!(
            "step=room id={} outcome={} late={} waited_ms={}",
            call.info.id,
            endpoint.unwrap_or("none"),
            call.late,
            (now - call.arrived).as_millis(),
        );
        let Some(endpoint) = endpoint else {
            call.run = None;
            self.capacity_backoff.insert(key, now + NO_CAPACITY_BACKOFF);
            self.start_or_requeue(now, caller);
            return;
        };
        let named = self.fleet.named(endpoint);
        if !named.is_some_and(|at| self.hold_at(now, caller, at)) {
            self.report_run_end(caller, RunEnd::Refused);
            self.start_or_requeue(now, caller);
        }
    }

    /// Tells the leader that a call takes no room any more.
    pub(super) fn report_run_end(&mut self, caller: CallerId, end: RunEnd) {
        let run = self.calls.get_mut(&caller).and_then(|c| c.run.take());
        if let (Some(run), Some(leader)) = (run, self.follower.leader()) {
            self.send_to_control(leader, ControlRequest::RunEnded { run, end });
        }
    }

    fn send_to_control(&mut self, peer: SocketAddr, request: ControlRequest) -> ExchangeId {
        self.exchanges += 1;
        let exchange = ExchangeId(self.exchanges);
        let body = link::Request::Control(request);
        let envelope = Envelope { revised: Revised::default(), body };
        self.outputs.push(Output::Open { exchange, peer, envelope });
        exchange
    }

    /// Takes a reply of control that is not to a heartbeat.
    pub(super) fn control_replied(
        &mut self,
        now: Timestamp,
        exchange: ExchangeId,
        reply: &ControlReply,
    ) {
        let Some(caller) = self.leader_requests.remove(&exchange) else { return };
        let answered = matches!(
            reply,
            ControlReply::PromptAssigned { .. } | ControlReply::RoomAssigned { .. }
        );
        if !answered {
            self.leader_backoff = now + SILENT_BACKOFF;
        }
        // The call may have ended meanwhile; the leader forgets it by itself.
        let Some(call) = self.calls.get(&caller) else { return };
        match (&call.stage, reply) {
            (Stage::Room { .. }, ControlReply::RoomAssigned { endpoint }) => {
                self.room_assigned(now, caller, endpoint.as_deref());
            }
            (Stage::Room { .. }, _) => self.restart_without_leader(now, caller),
            (Stage::Assign { .. }, ControlReply::PromptAssigned { endpoint: Some(endpoint) }) => {
                let tokens = call.info.work.as_ref().map_or(0, |w| w.prompt);
                let assigned = Assigned { endpoint: endpoint.clone(), tokens };
                self.prompt_assigned(now, caller, Some(assigned));
            }
            (Stage::Assign { .. }, _) => self.prompt_assigned(now, caller, None),
            _ => {}
        }
        self.schedule(caller);
    }

    /// Finds room for a call without the leader.
    fn restart_without_leader(&mut self, now: Timestamp, caller: CallerId) {
        self.report_run_end(caller, RunEnd::Over);
        if let Some(call) = self.calls.get_mut(&caller) {
            call.stage = Stage::Waiting;
        }
        self.start_or_requeue(now, caller);
    }

    /// Goes on with a call whose question to the leader had no answer in time, or is lost.
    pub(super) fn leader_timed_out(&mut self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get(&caller) else { return };
        let (exchange, for_room) = match call.stage {
            Stage::Room { exchange } => (exchange, true),
            Stage::Assign { exchange, .. } => (exchange, false),
            _ => return,
        };
        log::info!("step=assign id={} for_room={for_room} outcome=silent", call.info.id);
        self.abandon_request(exchange);
        self.leader_backoff = now + SILENT_BACKOFF;
        if for_room {
            self.restart_without_leader(now, caller);
        } else {
            self.prompt_assigned(now, caller, None);
        }
    }

    /// Takes the end of an exchange that was no heartbeat.
    pub(super) fn control_closed(&mut self, now: Timestamp, exchange: ExchangeId) {
        if let Some(caller) = self.leader_requests.get(&exchange).copied() {
            self.leader_timed_out(now, caller);
            self.schedule(caller);
        }
    }

    /// Has a prompt read where the leader says, or where the gateway thinks best.
    fn prompt_assigned(&mut self, now: Timestamp, caller: CallerId, assigned: Option<Assigned>) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let Stage::Assign { decode, .. } = call.stage else { return };
        call.stage = Stage::Waiting;
        let endpoint = assigned.as_ref().map_or("own-choice", |a| &a.endpoint);
        log::info!("step=assign id={} outcome={endpoint}", call.info.id);
        let named = assigned.as_ref().and_then(|a| self.fleet.named(&a.endpoint));
        call.assigned = assigned;
        self.run_prefill(now, caller, decode, named);
    }

    /// Tells the leader that the prompt of a call is read no more.
    pub(super) fn report_prefill_end(&mut self, caller: CallerId) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let Some(Assigned { endpoint, tokens }) = call.assigned.take() else { return };
        let Some(leader) = self.follower.leader() else { return };
        self.send_to_control(leader, ControlRequest::PromptEnded { endpoint, tokens });
    }
}
