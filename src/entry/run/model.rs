//! Calls to models: reserves decode capacity, runs the prefill, then delivers the tokens.

use std::time::Duration;

use super::super::place::Software;
use super::super::{CallerEffect, Outputs, Shared};
use super::{Exported, RESERVE_LEASE, Run, Stage};
use crate::link::message::{AgentRequest, Export, Request};
use crate::model::call::prompt_tokens;
use crate::model::{
    CallKind, Class, EndpointKind, EndpointState, ExchangeId, Ran, RefusalReason, Timestamp,
};
use crate::role::Output;

/// The finish reason of a generation that reached the maximum number of tokens.
const FINISH_LENGTH: &str = "length";

/// How long after its prefill a KV cache export may be sent to another decode endpoint.
const EXPORT_REUSE_WINDOW: Duration = Duration::from_millis(650);
/// The maximum number of decode endpoints that fetch the same KV cache. An engine may release it
/// after the first fetch, so a call whose second fetch fails needs another prefill.
const MAX_EXPORT_USES: u32 = 2;
/// How long an import may take before it is treated as stalled.
const IMPORT_TIMEOUT: Duration = Duration::from_millis(500);

impl Run {
    /// Starts an attempt; it needs no prefill if there is a usable KV cache export.
    pub(super) fn attempt_model(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        if shared.policy.reserve_first || self.usable_export(shared, now).is_some() {
            return self.reserve(shared, now);
        }
        self.prefill(shared, now, None)
    }

    pub(super) fn reserve(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        let CallKind::Model { prompt, max_tokens, .. } = &self.call.kind else { return Vec::new() };
        let tokens = prompt_tokens(prompt) + max_tokens;
        let Some(endpoint) = self.place_decode(shared, now) else {
            let detail = "no decode endpoint is free";
            return self.refuse(shared, now, RefusalReason::NoEndpoint, detail);
        };
        let reserve = AgentRequest::Reserve {
            request: self.request_id(shared),
            class: self.call.class,
            tokens,
            software: endpoint.software.clone(),
            lease: RESERVE_LEASE,
        };
        let (decode, open) = shared.open(self.id, endpoint.address, Request::Agent(reserve));
        self.endpoint = Some(endpoint);
        self.stage = Stage::Reserving { decode };
        vec![open]
    }

    /// Chooses a decode endpoint of the software version that the call is bound to: that of its
    /// tokens or, before the first one, that of its usable KV cache.
    ///
    /// Without either, it must be a version that can prefill too.
    fn place_decode(&mut self, shared: &mut Shared, now: Timestamp) -> Option<EndpointState> {
        let exported = self.usable_export(shared, now).map(|e| e.software.clone());
        let bound = self.software.clone().or(exported);
        if let Some(software) = bound {
            let placed = self.place(shared, now, EndpointKind::Decode, Software::Only(&software));
            let lacking = placed.is_none() && self.software.is_none();
            if !lacking || !shared.fleet.lacks(EndpointKind::Decode, &self.call.pool, &software) {
                return placed;
            }
            // Nothing is delivered, so the call may begin anew at another version.
            self.export = None;
        }
        self.place(shared, now, EndpointKind::Decode, Software::With(EndpointKind::Prefill))
    }

    /// Chooses a prefill endpoint of the software version of the reserved decode endpoint, or else
    /// of the tokens delivered.
    fn place_prefill(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        reserved: bool,
    ) -> Option<EndpointState> {
        let decode = self.endpoint.as_ref().filter(|_| reserved).map(|e| e.software.clone());
        let software = decode.or_else(|| self.software.clone());
        let limit = match &software {
            Some(software) => Software::Only(software),
            None => Software::With(EndpointKind::Decode),
        };
        self.place(shared, now, EndpointKind::Prefill, limit)
    }

    /// Returns whether endpoints take work, but none of the software version that began the answer,
    /// so that no other attempt can continue it.
    pub(super) fn lacks_version(&self, shared: &Shared, now: Timestamp) -> bool {
        let Some(software) = &self.software else { return false };
        let lacks = |kind| shared.fleet.lacks(kind, &self.call.pool, software);
        let needs_prefill = self.usable_export(shared, now).is_none();
        lacks(EndpointKind::Decode) || (needs_prefill && lacks(EndpointKind::Prefill))
    }

    /// Continues the attempt once decode capacity is reserved.
    pub(super) fn reserved(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        decode: ExchangeId,
    ) -> Outputs {
        if self.usable_export(shared, now).is_some() {
            self.attempts.dispatched();
            return self.decode(shared, now, decode);
        }
        self.prefill(shared, now, Some(decode))
    }

    /// Records the export of a prefill, which means that part of the request has run.
    pub(super) fn exported(&mut self, now: Timestamp, export: Export) {
        self.attempts.started();
        let software = self.source.as_ref().map(|e| e.software.clone()).unwrap_or_default();
        let delivered = self.delivered.len();
        self.export = Some(Exported { export, software, at: now, delivered, uses: 0 });
    }

    /// Returns the KV cache export if it is recent and covers all delivered tokens.
    fn usable_export(&self, shared: &Shared, now: Timestamp) -> Option<&Exported> {
        let may_reuse = shared.policy.fallback || !shared.policy.reserve_first;
        let exported = self.export.as_ref().filter(|_| may_reuse)?;
        let valid =
            now - exported.at < EXPORT_REUSE_WINDOW && exported.delivered == self.delivered.len();
        (valid && exported.uses < MAX_EXPORT_USES).then_some(exported)
    }

    fn prefill(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        decode: Option<ExchangeId>,
    ) -> Outputs {
        let CallKind::Model { prompt, .. } = &self.call.kind else { return Vec::new() };
        let prompt = prompt.clone();
        let Some(endpoint) = self.place_prefill(shared, now, decode.is_some()) else {
            let detail = "no prefill endpoint is free";
            return self.refuse(shared, now, RefusalReason::NoEndpoint, detail);
        };
        let prefill = AgentRequest::Prefill {
            request: self.request_id(shared),
            class: self.call.class,
            software: endpoint.software.clone(),
            prompt,
            prefix: self.delivered.clone(),
            within: self.prefill_within(shared, now),
        };
        self.attempts.dispatched();
        let (prefill, open) = shared.open(self.id, endpoint.address, Request::Agent(prefill));
        self.source = Some(endpoint);
        self.stage = match decode {
            Some(decode) => Stage::Prefilling { decode, prefill },
            None => Stage::Exporting { prefill },
        };
        let mut outputs = vec![open];
        if !self.begun {
            self.begun = true;
            outputs.push(Output::Effect(CallerEffect::Begin { call: self.id }));
        }
        outputs
    }

    /// Returns whether the attempt waits for KV cache that an earlier attempt may have fetched, so
    /// that the engine may have released it; a failure then does not count against the endpoint.
    pub(super) fn reuses_export(&self) -> bool {
        let again = self.export.as_ref().is_some_and(|e| e.uses > 1);
        again && self.transferring && matches!(self.stage, Stage::Decoding { .. })
    }

    /// Returns how long a prefill may take; `None` if the call wasn't queued.
    ///
    /// The limit is the time left until the first token is due. Once tokens were delivered, and for
    /// retries of batch calls, it is the time left until the deadline of the call.
    fn prefill_within(&self, shared: &Shared, now: Timestamp) -> Option<Duration> {
        let within = shared.prefill_within(now, self.id, &self.call.pool)?;
        let keeps_target = self.call.class == Class::Interactive || self.attempts.last() == 1;
        let due_first = self.delivered.is_empty() && keeps_target;
        Some(if due_first { within } else { self.call.deadline - now })
    }

    pub(super) fn decode(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        decode: ExchangeId,
    ) -> Outputs {
        let CallKind::Model { max_tokens, .. } = &self.call.kind else { return Vec::new() };
        let Some(exported) = &mut self.export else { return Vec::new() };
        exported.uses += 1;
        let request = AgentRequest::Decode {
            export: exported.export.clone(),
            from: self.delivered.len() as u32,
            until: *max_tokens,
            within: shared.policy.fallback.then_some(IMPORT_TIMEOUT),
        };
        self.stage = Stage::Decoding { decode };
        self.last_progress = now;
        self.transferring = true;
        let envelope = shared.follower.envelope(Request::Agent(request));
        vec![Output::Send { exchange: decode, envelope }]
    }

    /// Delivers tokens, each offset once and in order.
    pub(super) fn part(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        offset: u32,
        tokens: Vec<Box<str>>,
    ) -> Outputs {
        let delivered = self.delivered.len() as u32;
        if offset > delivered {
            let detail = "tokens are missing";
            return self.attempt_failed(
                shared,
                now,
                Ran::Maybe,
                RefusalReason::EndpointFailed,
                detail,
            );
        }
        self.last_progress = now;
        self.transferring = false;
        let duplicates = (delivered - offset) as usize;
        let fresh: Vec<_> = tokens.into_iter().skip(duplicates).collect();
        if fresh.is_empty() {
            return Vec::new();
        }
        if self.software.is_none() {
            self.software = self.endpoint.as_ref().map(|e| e.software.clone());
        }
        self.delivered.extend(fresh.iter().cloned());
        if self.responder.is_none() {
            return Vec::new();
        }
        vec![Output::Effect(CallerEffect::Tokens { call: self.id, tokens: fresh })]
    }

    /// Handles the end of generation, which ends the call only if the answer is complete.
    pub(super) fn end(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        offset: u32,
        finish: Box<str>,
    ) -> Outputs {
        let CallKind::Model { max_tokens, .. } = self.call.kind else { return Vec::new() };
        let short = &*finish == FINISH_LENGTH && offset != max_tokens;
        if short || offset != self.delivered.len() as u32 {
            let detail = "tokens are missing at the end";
            return self.attempt_failed(
                shared,
                now,
                Ran::Maybe,
                RefusalReason::EndpointFailed,
                detail,
            );
        }
        self.attempts.ended(Ran::Yes);
        if let Some(owned) = &self.claim {
            let request = owned.request;
            return self.record_generated(shared, now, request, finish);
        }
        self.stage = Stage::Done;
        self.responder.take().map(|r| r.generated(offset, finish)).into_iter().collect()
    }
}
