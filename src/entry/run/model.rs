//! Calls to models: decode room, then prefill, then tokens.

use super::super::{CallerEffect, Outputs, Shared};
use super::{RESERVE_LEASE, Run, Stage};
use crate::link::message::{AgentRequest, Export, Request};
use crate::model::{CallKind, EndpointKind, ExchangeId, Ran, RefusalReason, Timestamp};
use crate::role::Output;

impl Run {
    pub(super) fn reserve(&mut self, shared: &mut Shared, tokens: u32) -> Outputs {
        let Some(endpoint) = self.place(shared, EndpointKind::Decode) else {
            return self.refuse(shared, RefusalReason::NoEndpoint, "no decode endpoint is free");
        };
        self.tried.push(endpoint.name.clone());
        let reserve = AgentRequest::Reserve {
            request: self.request_id(shared),
            class: self.call.class,
            tokens,
            lease: RESERVE_LEASE,
        };
        let (decode, open) = shared.open(self.id, endpoint.address, Request::Agent(reserve));
        self.stage = Stage::Reserving { decode };
        vec![open]
    }

    pub(super) fn prefill(&mut self, shared: &mut Shared, decode: ExchangeId) -> Outputs {
        let CallKind::Model { prompt, .. } = &self.call.kind else { return Vec::new() };
        let prompt = prompt.clone();
        let Some(endpoint) = self.place(shared, EndpointKind::Prefill) else {
            let mut outputs = vec![shared.reset(decode)];
            outputs.extend(self.refuse(
                shared,
                RefusalReason::NoEndpoint,
                "no prefill endpoint is free",
            ));
            return outputs;
        };
        self.tried.push(endpoint.name.clone());
        let prefill = AgentRequest::Prefill {
            request: self.request_id(shared),
            class: self.call.class,
            prompt,
            prefix: self.told.clone(),
        };
        let (prefill, open) = shared.open(self.id, endpoint.address, Request::Agent(prefill));
        self.stage = Stage::Prefilling { decode, prefill };
        let mut outputs = vec![open];
        if !self.begun {
            self.begun = true;
            outputs.push(Output::Effect(CallerEffect::Begin { call: self.id }));
        }
        outputs
    }

    pub(super) fn decode(
        &mut self,
        shared: &mut Shared,
        decode: ExchangeId,
        export: Export,
    ) -> Outputs {
        let CallKind::Model { max_tokens, .. } = &self.call.kind else { return Vec::new() };
        let from = self.told.len() as u32;
        let request = AgentRequest::Decode { export, from, until: *max_tokens };
        self.stage = Stage::Decoding { decode };
        let envelope = shared.follower.envelope(Request::Agent(request));
        vec![Output::Send { exchange: decode, envelope }]
    }

    /// Passes on tokens, each offset once and in order.
    pub(super) fn part(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        offset: u32,
        tokens: Vec<Box<str>>,
    ) -> Outputs {
        let told = self.told.len() as u32;
        if offset > told {
            return self.retry(shared, now, Ran::Maybe, "tokens are missing");
        }
        let known = (told - offset) as usize;
        let fresh: Vec<_> = tokens.into_iter().skip(known).collect();
        if fresh.is_empty() {
            return Vec::new();
        }
        self.told.extend(fresh.iter().cloned());
        vec![Output::Effect(CallerEffect::Tokens { call: self.id, tokens: fresh })]
    }
}
