//! Asking control's leader which prefill endpoint reads a prompt; without its answer in time the
//! gateway chooses by what it knows itself.

use std::time::Duration;

use super::call::{Reserved, Stage};
use super::fleet::EndpointKey;
use super::{CallerId, Gateway};
use crate::control::config::Revised;
use crate::control::prompts::{PromptCandidate, PromptTicket};
use crate::link;
use crate::link::message::{ControlReply, ControlRequest, Envelope};
use crate::model::{ExchangeId, Timestamp};
use crate::role::Output;

/// How long the leader's answer is waited for.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(25);
/// How long the leader is not asked after an answer did not come.
const SILENT_PAUSE: Duration = Duration::from_millis(400);
/// The most endpoints that one question names.
const MOST_CANDIDATES: usize = 16;

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
    pub(super) fn ask_assignment(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        decode: Reserved,
    ) -> bool {
        let Some(leader) = self.follower.leader().filter(|_| now >= self.leader_silent) else {
            return false;
        };
        let Some(ticket) = self.prompt_ticket(now, caller, decode.endpoint) else { return false };
        let exchange = self.ask_control(leader, ControlRequest::AssignPrompt(ticket));
        self.assigning.insert(exchange, caller);
        let Some(call) = self.calls.get_mut(&caller) else { return false };
        call.hold_due = now + ANSWER_TIMEOUT;
        call.stage = Stage::Assign { exchange, decode };
        true
    }

    fn prompt_ticket(
        &self,
        now: Timestamp,
        caller: CallerId,
        decode: EndpointKey,
    ) -> Option<PromptTicket> {
        let call = self.calls.get(&caller)?;
        let shape = call.table.service(&call.service)?.engine?;
        let domain = &self.fleet.get(decode)?.domain;
        let loads = self.fleet.prefill_loads(now, &call.service, &shape, domain, &call.tried);
        let named = loads.filter(|l| l.slots_used < l.slots).filter_map(|l| {
            let endpoint = self.fleet.get(l.key)?.name.clone();
            Some(PromptCandidate { endpoint, near: l.near })
        });
        let candidates: Vec<PromptCandidate> = named.take(MOST_CANDIDATES).collect();
        let tokens = call.info.work.as_ref()?.prompt;
        (candidates.len() > 1).then_some(PromptTicket { tokens, candidates })
    }

    fn ask_control(&mut self, peer: std::net::SocketAddr, request: ControlRequest) -> ExchangeId {
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
        let Some(caller) = self.assigning.remove(&exchange) else { return };
        let endpoint = match reply {
            ControlReply::PromptAssigned { endpoint } => endpoint.as_ref(),
            _ => None,
        };
        let tokens = |g: &Gateway| {
            let call = g.calls.get(&caller)?;
            let waits = matches!(&call.stage, Stage::Assign { exchange: e, .. } if *e == exchange);
            call.info.work.as_ref().filter(|_| waits).map(|w| w.prompt)
        };
        // The call may have ended meanwhile; the leader forgets its prompt by itself.
        let Some(tokens) = tokens(self) else { return };
        if endpoint.is_none() {
            self.leader_silent = now + SILENT_PAUSE;
        }
        let assigned = endpoint.map(|e| Assigned { endpoint: e.clone(), tokens });
        self.assigned(now, caller, assigned);
        self.schedule(caller);
    }

    /// Goes on with a call whose question to the leader had no answer in time, or is lost.
    pub(super) fn assignment_overdue(&mut self, now: Timestamp, caller: CallerId) {
        let Some(call) = self.calls.get(&caller) else { return };
        let Stage::Assign { exchange, .. } = call.stage else { return };
        log::info!("step=assign id={} outcome=silent", call.info.id);
        self.assigning.remove(&exchange);
        self.outputs.push(Output::Reset { exchange });
        self.leader_silent = now + SILENT_PAUSE;
        self.assigned(now, caller, None);
    }

    /// Takes the end of an exchange that was no heartbeat.
    pub(super) fn control_closed(&mut self, now: Timestamp, exchange: ExchangeId) {
        if let Some(caller) = self.assigning.get(&exchange).copied() {
            self.assignment_overdue(now, caller);
            self.schedule(caller);
        }
    }

    /// Has a prompt read where the leader says, or where the gateway thinks best.
    fn assigned(&mut self, now: Timestamp, caller: CallerId, assigned: Option<Assigned>) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let Stage::Assign { decode, .. } = call.stage else { return };
        call.stage = Stage::Waiting;
        let named = assigned.as_ref().and_then(|a| self.fleet.named(&a.endpoint));
        call.assigned = assigned;
        self.read_prompt(now, caller, decode, named);
    }

    /// Tells the leader that the prompt of a call is read no more.
    pub(super) fn prompt_ended(&mut self, caller: CallerId) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let Some(Assigned { endpoint, tokens }) = call.assigned.take() else { return };
        let Some(leader) = self.follower.leader() else { return };
        self.ask_control(leader, ControlRequest::PromptEnded { endpoint, tokens });
    }
}
