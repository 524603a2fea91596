//! Calls to models: they reserve capacity at a decode endpoint, run their prefill at a prefill
//! endpoint, and then run at the decode endpoint from the exported KV cache.

use super::answer;
use super::call::{Attempt, Call, Handoff, Reservation, Stage};
use super::fleet::{Choice, Endpoint, EndpointKey, Usage};
use super::place::{place_decode, place_prefill};
use super::protocol::{Export, ModelWork, SendKind};
use super::reason::EndReason;
use super::{CallerId, Gateway};
use crate::control::dispatch::rooms::RunEnd;
use crate::entry::health::Verdict;
use crate::model::{EndpointKind, Timestamp};
use crate::report::observation::WasteCause;
use crate::routes::EngineShape;

/// The maximum of prompt tokens that one gateway has open at a prefill endpoint before it sends
/// another prompt there.
const MAX_BACKLOG_TOKENS: u32 = 12_000;
/// The percentage of an engine's memory that late calls leave free for calls that can still meet
/// their target.
const LATE_SPARE_PERCENT: u32 = 15;

impl Gateway {
    /// Returns whether a call asks for a model and its service has engines.
    pub(super) fn is_engine_call(&self, caller: CallerId) -> bool {
        let Some(call) = self.calls.get(&caller) else { return false };
        call.info.work.is_some() && self.shape(caller).is_some()
    }

    pub(super) fn shape(&self, caller: CallerId) -> Option<EngineShape> {
        let call = self.calls.get(&caller)?;
        call.table.service(&call.service)?.engine
    }

    /// Requests capacity for a call, from the leader if there is one; returns whether a request was
    /// sent.
    pub(super) fn start_engine(&mut self, now: Timestamp, caller: CallerId) -> bool {
        if self.use_vacancy(now, caller) {
            return true;
        }
        match self.request_capacity(now, caller) {
            Some(sent) => sent,
            None => self.start_by_known_loads(now, caller),
        }
    }

    /// Picks a decode endpoint by the loads that this gateway knows, and requests a reservation.
    /// Returns whether a request was sent; none is sent while there are prefill endpoints but all
    /// are full.
    fn start_by_known_loads(&mut self, now: Timestamp, caller: CallerId) -> bool {
        let draw = self.draw();
        let Some(shape) = self.shape(caller) else { return false };
        let Some(call) = self.calls.get(&caller) else { return false };
        let Some(work) = &call.info.work else { return false };
        let need = work.mean_tokens() + spare_tokens(call, &shape);
        let loads = self.fleet.decode_loads(now, call.choice(), &shape);
        let Some(endpoint) = place_decode(loads, self.settings.domains, need, draw) else {
            return false;
        };
        if !call.skips_prefill
            && self.pick_prefill(now, caller, &shape, endpoint, draw).is_none()
            && self.has_prefill(now, caller, endpoint)
        {
            return false;
        }
        self.hold_at(now, caller, endpoint)
    }

    /// Picks a prefill endpoint for a call that will run on the given decode endpoint, of the same
    /// software version: KV cache is not moved between versions.
    fn pick_prefill(
        &self,
        now: Timestamp,
        caller: CallerId,
        shape: &EngineShape,
        decode: EndpointKey,
        draw: u64,
    ) -> Option<EndpointKey> {
        let call = self.calls.get(&caller)?;
        let decode = self.fleet.get(decode)?;
        let choice = Choice { software: Some(&decode.software), ..call.choice() };
        let loads = self.fleet.prefill_loads(now, choice, shape, &decode.domain);
        let prompt = call.info.work.as_ref().map_or(0, |w| w.prompt);
        place_prefill(loads, self.settings.domains, prompt, MAX_BACKLOG_TOKENS, draw)
    }

    /// Goes on with a call whose reservation is granted.
    pub(super) fn hold_granted(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        decode: Reservation,
        hold: Box<str>,
    ) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        call.hold = Some((decode.endpoint, hold));
        let skips_prefill = call.skips_prefill;
        if let Some(endpoint) = self.fleet.get_mut(decode.endpoint) {
            endpoint.accepted();
        }
        if self.is_resuming(caller, decode.endpoint) {
            self.resume_reserved(now, caller, &decode);
        } else if !self.may_run(now, caller, decode.endpoint) || !self.can_end(now, caller) {
            self.replace_decode(now, caller, decode);
        } else if !self.has_prefill_time(now, caller) {
            self.end_without_prefill(now, caller, &decode);
        } else if skips_prefill {
            self.run_whole(now, caller, decode);
        } else if !self.request_prefill(now, caller, decode) {
            self.run_prefill(now, caller, decode, None);
        }
    }

    /// Starts the prefill of a call that has a reservation, at the named endpoint or at one that
    /// the gateway picks. Runs the complete call on the decode endpoint if no prefill endpoint is
    /// available.
    pub(super) fn run_prefill(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        decode: Reservation,
        named: Option<EndpointKey>,
    ) {
        if !self.may_run(now, caller, decode.endpoint) || !self.can_end(now, caller) {
            self.replace_decode(now, caller, decode);
            return;
        }
        let draw = self.draw();
        let Some(shape) = self.shape(caller) else { return };
        let own = || self.pick_prefill(now, caller, &shape, decode.endpoint, draw);
        let prefill = named.or_else(own);
        if let Some(prefill) = prefill
            && self.start_prefill(now, caller, prefill, decode)
        {
            return;
        }
        self.run_whole(now, caller, decode);
    }

    /// Resumes an interrupted run at its endpoint, which has granted a reservation for it.
    fn resume_reserved(&mut self, now: Timestamp, caller: CallerId, decode: &Reservation) {
        let (endpoint, usage) = (decode.endpoint, decode.usage);
        // The reserved usage is counted again for the attempt by `run_on`.
        self.release(now, endpoint, usage);
        let may_run = self.may_run(now, caller, endpoint) && self.can_end(now, caller);
        if !may_run || !self.run_on(now, caller, endpoint, usage, SendKind::Whole, None) {
            self.release_hold(now, caller);
            self.resumption_failed(now, caller, endpoint);
        }
    }

    /// Returns whether a call may still run at a decode endpoint that has granted its reservation:
    /// that one keeps reservations, and has not been listed with another version since.
    fn may_run(&self, now: Timestamp, caller: CallerId, endpoint: EndpointKey) -> bool {
        let proven =
            !self.needs_proof(caller, endpoint) || self.fleet.proven(now, endpoint).is_some();
        proven && self.keeps_reservations(now, endpoint) && self.fits_version(caller, endpoint)
    }

    /// Returns whether an endpoint has the software version that began a call's stream, if any.
    fn fits_version(&self, caller: CallerId, endpoint: EndpointKey) -> bool {
        let software = self.calls.get(&caller).and_then(|c| c.software.as_deref());
        software.is_none_or(|software| self.has_software(endpoint, software))
    }

    fn has_software(&self, endpoint: EndpointKey, software: &str) -> bool {
        self.fleet.get(endpoint).is_some_and(|e| *e.software == *software)
    }

    /// Gives up a reservation at a decode endpoint that wants no new request, or has another version
    /// by now, and starts the call elsewhere; refuses a call that can't end in time.
    fn replace_decode(&mut self, now: Timestamp, caller: CallerId, decode: Reservation) {
        self.report_prefill_end(caller);
        self.report_run_end(caller, RunEnd::Refused);
        self.release(now, decode.endpoint, decode.usage);
        self.release_hold(now, caller);
        self.start_or_requeue(now, caller);
    }

    /// Runs a call without a prefill on the decode endpoint that has granted its reservation, unless
    /// that one wants no new request by now.
    pub(super) fn run_unprepared(&mut self, now: Timestamp, caller: CallerId, decode: Reservation) {
        if !self.may_run(now, caller, decode.endpoint) || !self.can_end(now, caller) {
            self.replace_decode(now, caller, decode);
        } else {
            self.run_whole(now, caller, decode);
        }
    }

    /// Runs a complete call on the decode endpoint that has granted its reservation, unless that
    /// can't process the prompt in time.
    fn run_whole(&mut self, now: Timestamp, caller: CallerId, decode: Reservation) {
        if !self.has_whole_time(now, caller) {
            self.end_without_prefill(now, caller, &decode);
            return;
        }
        // The reserved usage is counted again for the attempt by `run_on`.
        self.release(now, decode.endpoint, decode.usage);
        let (endpoint, usage) = (decode.endpoint, decode.usage);
        if !self.run_on(now, caller, endpoint, usage, SendKind::Whole, None) {
            self.conclude(now, caller, answer::no_endpoint(), EndReason::NoEndpoint);
        }
    }

    /// Returns whether any prefill endpoint of the call's service, and of the software version of a
    /// decode endpoint, is open for work.
    fn has_prefill(&self, now: Timestamp, caller: CallerId, decode: EndpointKey) -> bool {
        let Some(call) = self.calls.get(&caller) else { return false };
        let Some(decode) = self.fleet.get(decode) else { return false };
        let open = |e: &Endpoint| e.kind == EndpointKind::Prefill && e.is_open(now);
        let mut pool = self.fleet.pool(&call.service);
        pool.any(|(_, e)| open(e) && e.software == decode.software)
    }

    fn start_prefill(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        endpoint: EndpointKey,
        decode: Reservation,
    ) -> bool {
        let work = self.calls.get(&caller).and_then(|c| c.info.work.as_ref());
        let prompt = work.map_or(0, |w| w.prompt);
        let usage = Usage { slots: 1, tokens: prompt };
        let own = self.fleet.get(endpoint).map_or(0, |e| e.usage.tokens);
        let attempt = self.send_attempt(now, caller, endpoint, usage, SendKind::Prefill);
        let Some(mut attempt) = attempt else { return false };
        let Some(call) = self.calls.get_mut(&caller) else { return false };
        attempt.ahead = call.assigned.as_ref().map_or(own, |a| a.ahead);
        call.prefills += 1;
        call.stage = Stage::Prefill { attempt, decode };
        true
    }

    /// Sends a call to a decode endpoint to run there; returns whether it was sent.
    fn run_on(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        endpoint: EndpointKey,
        usage: Usage,
        kind: SendKind,
        handoff: Option<Handoff>,
    ) -> bool {
        let source = handoff.as_ref().and_then(|h| self.fleet.get(h.source));
        let moves = source.is_some_and(|from| !self.has_software(endpoint, &from.software));
        if moves || !self.fits_version(caller, endpoint) {
            return false;
        }
        let Some(attempt) = self.send_attempt(now, caller, endpoint, usage, kind) else {
            return false;
        };
        let Some(call) = self.calls.get_mut(&caller) else { return false };
        // An endpoint at which the run was interrupted is already counted.
        call.sends += u32::from(call.broke_at != Some(endpoint));
        // This attempt uses the reservation; if it is for another endpoint, it expires there.
        call.hold = None;
        call.stage = Stage::Run { attempt, handoff };
        true
    }

    fn send_attempt(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        endpoint: EndpointKey,
        usage: Usage,
        kind: SendKind,
    ) -> Option<Attempt> {
        if let (Some(call), Some(target)) = (self.calls.get(&caller), self.fleet.get(endpoint)) {
            log::info!(
                "step={} id={} endpoint={} software={} own_tokens={} own_slots={} sends={} after={}",
                kind.name(),
                call.info.id,
                target.name,
                target.software,
                target.usage.tokens,
                target.usage.slots,
                call.sends + 1,
                call.delivered.event.map_or(-1, |e| e as i64),
            );
        }
        let peer = self.send(now, caller, endpoint, kind)?;
        let connected = self.fleet.conn(peer).is_some_and(|c| c.connected);
        let target = self.fleet.get_mut(endpoint)?;
        target.add_usage(now, usage);
        Some(Attempt::new(peer, endpoint, usage, now, connected, target.software.clone()))
    }

    /// Runs a call on its decode endpoint after its prefill has finished.
    pub(super) fn prefilled(&mut self, now: Timestamp, caller: CallerId, export: Export) {
        self.report_prefill_end(caller);
        let in_time = self.can_end(now, caller);
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let stage = std::mem::replace(&mut call.stage, Stage::Waiting);
        let Stage::Prefill { attempt, decode } = stage else { return };
        // The first successful prefill does not count as an attempt; further ones do.
        call.sends += u32::from(call.exported);
        call.first_run = !call.exported;
        call.credit.add(u32::from(!call.exported));
        call.exported = true;
        let prompt = call.info.work.as_ref().map_or(0, |w| w.prompt);
        self.late_answers.pace.answered(prompt, now - attempt.since);
        self.release_attempt(now, &attempt);
        self.learn_prefill_time(now, &attempt);
        let Some(source) = self.fleet.get_mut(attempt.endpoint) else { return };
        source.health.judge(now, Verdict::Worked);
        source.accepted();
        let address = source.address;
        // The reserved usage is counted again for the attempt by `run_on`.
        self.release(now, decode.endpoint, decode.usage);
        let kind = SendKind::From { source: address, handle: export.handle.clone() };
        let from = Handoff { source: attempt.endpoint, export, made: now };
        let (endpoint, usage) = (decode.endpoint, decode.usage);
        if in_time && self.run_on(now, caller, endpoint, usage, kind, Some(from.clone())) {
            return;
        }
        // The decode endpoint has left the list meanwhile, or wants no new request.
        self.report_run_end(caller, RunEnd::Refused);
        self.release_hold(now, caller);
        if in_time && self.hand_off(now, caller, from.clone()) {
            return;
        }
        self.free_export(now, from.source, &from.export.handle);
        let cause = if in_time { WasteCause::NoDecodeCapacity } else { WasteCause::ShuttingDown };
        self.waste_prompt(caller, cause);
        if !in_time {
            self.conclude(now, caller, answer::shutting_down(), EndReason::ShuttingDown);
        } else if !self.wait_for_run(now, caller) {
            self.conclude(now, caller, answer::no_endpoint(), EndReason::NoEndpoint);
        }
    }

    /// Resumes an interrupted run at the endpoint that ran it; returns whether that was requested. An
    /// endpoint that must prove its start does so before it grants a reservation.
    pub(super) fn resume_at(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        endpoint: EndpointKey,
    ) -> bool {
        if !self.needs_proof(caller, endpoint) {
            let usage = self.run_usage(caller);
            return self.run_on(now, caller, endpoint, usage, SendKind::Whole, None);
        }
        self.hold_at(now, caller, endpoint)
    }

    /// Returns whether a call has a reservation, or requests one, to resume its interrupted run there.
    pub(super) fn is_resuming(&self, caller: CallerId, endpoint: EndpointKey) -> bool {
        self.calls.get(&caller).is_some_and(|c| c.broke_at == Some(endpoint))
    }

    /// Runs a call on another decode endpoint from an export that is still available.
    pub(super) fn hand_off(&mut self, now: Timestamp, caller: CallerId, handoff: Handoff) -> bool {
        let usage = self.run_usage(caller);
        let Some(source) = self.fleet.get(handoff.source) else { return false };
        let software = source.software.clone();
        let Some(decode) = self.pick_decode(now, caller, Some(&software)) else { return false };
        let Some(source) = self.fleet.get(handoff.source) else { return false };
        let handle = handoff.export.handle.clone();
        let kind = SendKind::From { source: source.address, handle };
        self.run_on(now, caller, decode, usage, kind, Some(handoff))
    }

    /// Returns the capacity that the run of a call is counted with.
    fn run_usage(&self, caller: CallerId) -> Usage {
        let work = self.calls.get(&caller).and_then(|c| c.info.work.as_ref());
        Usage { slots: 1, tokens: work.map_or(0, ModelWork::mean_tokens) }
    }

    /// Returns a decode endpoint with capacity at which a call was not tried yet, of the given
    /// software version or any that the call allows.
    pub(super) fn pick_decode(
        &mut self,
        now: Timestamp,
        caller: CallerId,
        software: Option<&str>,
    ) -> Option<EndpointKey> {
        let draw = self.draw();
        let shape = self.shape(caller)?;
        let call = self.calls.get(&caller)?;
        let tokens = call.info.work.as_ref()?.mean_tokens();
        let choice = call.choice();
        let choice = Choice { software: software.or(choice.software), ..choice };
        let loads = self.fleet.decode_loads(now, choice, &shape);
        place_decode(loads, self.settings.domains, tokens, draw)
    }
}

/// Returns the tokens of KV cache that a call must leave free at an engine.
pub(super) fn spare_tokens(call: &Call, shape: &EngineShape) -> u32 {
    if call.rank().late { shape.tokens * LATE_SPARE_PERCENT / 100 } else { 0 }
}
