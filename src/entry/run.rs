//! The filter `run`: one call's attempts, up to its one terminal outcome.

use std::time::Duration;

use super::claim::claim_for;
use super::place::Need;
use super::{CallerEffect, Outputs, Shared, Terminal};
use crate::control::claims::{Claim, ClaimKey, ClaimReply, Outcome};
use crate::control::state::{Applied, Command};
use crate::link::message::{
    AgentReply, AgentRequest, Answer, ControlReply, ControlRequest, Export, Reply, Request,
};
use crate::model::call::prompt_tokens;
use crate::model::{
    Body, Call, CallId, CallKind, EndpointKind, EndpointState, ExchangeId, Ran, Refusal,
    RefusalReason, RequestId, Timestamp,
};
use crate::role::{LinkFailure, Output};

/// How long decode room is held for a prefill.
const RESERVE_LEASE: Duration = Duration::from_millis(5_000);
/// How long a claim may take before the call is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long an exchange may be silent before it counts as lost.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// When a refused caller may come back.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Where a run stands.
#[derive(Debug)]
enum Stage {
    /// Waits for its claim to be committed.
    Claiming { exchange: ExchangeId, since: Timestamp, key: ClaimKey, claim: Claim },
    /// Waits for the answer of a plain service.
    Serving { exchange: ExchangeId },
    /// Waits for decode room.
    Reserving { decode: ExchangeId },
    /// Waits for the KV cache, with decode room held.
    Prefilling { decode: ExchangeId, prefill: ExchangeId },
    /// Takes tokens.
    Decoding { decode: ExchangeId },
    /// The terminal outcome was told.
    Done,
}

/// One call from admission to its terminal outcome.
#[derive(Debug)]
pub(crate) struct Run {
    id: CallId,
    call: Call,
    stage: Stage,
    attempt: u32,
    tried: Vec<Box<str>>,
    endpoint: Option<EndpointState>,
    claimed: Option<(ClaimKey, RequestId)>,
    /// What is known of all attempts together.
    ran: Ran,
    /// Tokens told so far.
    told: Vec<Box<str>>,
    begun: bool,
    heard: Timestamp,
}

impl Run {
    /// Starts a call.
    pub(crate) fn start(
        shared: &mut Shared,
        now: Timestamp,
        id: CallId,
        call: Call,
    ) -> (Run, Outputs) {
        let mut run = Run {
            id,
            call,
            stage: Stage::Done,
            attempt: 0,
            tried: Vec::new(),
            endpoint: None,
            claimed: None,
            ran: Ran::No,
            told: Vec::new(),
            begun: false,
            heard: now,
        };
        let outputs = run.next_attempt(shared, now);
        (run, outputs)
    }

    /// Returns the call.
    pub(crate) fn call(&self) -> &Call {
        &self.call
    }

    /// Returns whether the terminal outcome was told.
    pub(crate) fn is_done(&self) -> bool {
        matches!(self.stage, Stage::Done)
    }

    /// Returns when the run must act if nothing is heard.
    pub(crate) fn next_wake(&self) -> Timestamp {
        let silence = match &self.stage {
            Stage::Claiming { since, .. } => *since + CLAIM_TIMEOUT,
            Stage::Done => Timestamp::MAX,
            _ => self.heard + SILENCE_TIMEOUT,
        };
        silence.min(self.call.deadline)
    }

    fn request_id(&self, shared: &Shared) -> RequestId {
        RequestId { owner: shared.boot(), call: self.id, attempt: self.attempt }
    }

    fn next_attempt(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        self.attempt += 1;
        self.heard = now;
        match self.call.kind.clone() {
            CallKind::Service(body) => self.attempt_service(shared, now, body),
            CallKind::Model { prompt, max_tokens, .. } => {
                self.reserve(shared, prompt_tokens(&prompt) + max_tokens)
            }
        }
    }

    fn place(&mut self, shared: &mut Shared, kind: EndpointKind) -> Option<EndpointState> {
        let need = Need { kind, pool: &self.call.pool, tried: &self.tried };
        shared.placement.choose(need, &shared.endpoints).cloned()
    }

    fn attempt_service(&mut self, shared: &mut Shared, now: Timestamp, body: Body) -> Outputs {
        let Some(endpoint) = self.place(shared, EndpointKind::Service) else {
            return self.refuse(shared, RefusalReason::NoEndpoint, "no endpoint serves this pool");
        };
        self.tried.push(endpoint.name.clone());
        self.endpoint = Some(endpoint.clone());
        let request = self.request_id(shared);
        match claim_for(now, &self.call, &body, request, &endpoint) {
            Some((key, claim)) => self.propose_claim(shared, now, key, claim),
            None => self.dispatch(shared, body),
        }
    }

    fn propose_claim(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        key: ClaimKey,
        claim: Claim,
    ) -> Outputs {
        let Some(peer) = shared.proposer.target() else {
            return self.refuse(shared, RefusalReason::NoQuorum, "no control member is known");
        };
        let from = self.claimed.as_ref().map(|(_, request)| *request);
        let command = match from {
            Some(from) => Command::TakeOver { key: key.clone(), from, claim: claim.clone() },
            None => Command::Claim { key: key.clone(), claim: claim.clone() },
        };
        let propose = Request::Control(ControlRequest::Propose(command));
        let (exchange, open) = shared.open(self.id, peer, propose);
        let since = match &self.stage {
            Stage::Claiming { since, .. } => *since,
            _ => now,
        };
        self.stage = Stage::Claiming { exchange, since, key, claim };
        vec![open]
    }

    fn dispatch(&mut self, shared: &mut Shared, body: Body) -> Outputs {
        let Some(endpoint) = self.endpoint.clone() else { return Vec::new() };
        let start = AgentRequest::Call {
            request: self.request_id(shared),
            class: self.call.class,
            boot: endpoint.boot,
            repeatable: self.call.repeatable,
            deadline: self.call.deadline,
            body,
        };
        let (exchange, open) = shared.open(self.id, endpoint.address, Request::Agent(start));
        self.stage = Stage::Serving { exchange };
        vec![open]
    }

    fn reserve(&mut self, shared: &mut Shared, tokens: u32) -> Outputs {
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

    fn prefill(&mut self, shared: &mut Shared, decode: ExchangeId) -> Outputs {
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

    fn decode(&mut self, shared: &mut Shared, decode: ExchangeId, export: Export) -> Outputs {
        let CallKind::Model { max_tokens, .. } = &self.call.kind else { return Vec::new() };
        let from = self.told.len() as u32;
        let request = AgentRequest::Decode { export, from, until: *max_tokens };
        self.stage = Stage::Decoding { decode };
        let envelope = shared.follower.envelope(Request::Agent(request));
        vec![Output::Send { exchange: decode, envelope }]
    }

    /// Takes a reply on one of the run's exchanges.
    pub(crate) fn reply(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        exchange: ExchangeId,
        reply: Reply,
    ) -> Outputs {
        self.heard = now;
        match reply {
            Reply::Control(reply) => self.control_reply(shared, now, reply),
            Reply::Agent(reply) => self.agent_reply(shared, now, exchange, reply),
            Reply::Replica(_) => Vec::new(),
        }
    }

    fn control_reply(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        reply: ControlReply,
    ) -> Outputs {
        let Stage::Claiming { key, claim, .. } = &self.stage else { return Vec::new() };
        let (key, claim) = (key.clone(), claim.clone());
        match reply {
            ControlReply::Applied(Applied::Claim(ClaimReply::Granted)) => {
                self.claimed = Some((key, claim.request));
                let CallKind::Service(body) = self.call.kind.clone() else { return Vec::new() };
                self.dispatch(shared, body)
            }
            ControlReply::Applied(Applied::Claim(ClaimReply::Held(record))) => {
                if record.claim.hash != claim.hash {
                    let detail = "the key was used with another request";
                    return self.refuse(shared, RefusalReason::KeyReused, detail);
                }
                match record.outcome {
                    Some(Outcome::Finished(answer)) => {
                        self.ran = Ran::Yes;
                        self.finish(Terminal::Answered(answer))
                    }
                    Some(Outcome::Unknown) => {
                        self.ran = Ran::Maybe;
                        let detail = "an earlier attempt may have run";
                        self.refuse(shared, RefusalReason::EndpointFailed, detail)
                    }
                    None => {
                        self.ran = Ran::Maybe;
                        let detail = "an earlier attempt is in progress";
                        self.refuse(shared, RefusalReason::InProgress, detail)
                    }
                }
            }
            ControlReply::NotLeader { leader } => {
                shared.proposer.miss(leader);
                self.propose_claim(shared, now, key, claim)
            }
            _ => self.refuse(shared, RefusalReason::NoQuorum, "the claim was not granted"),
        }
    }

    fn agent_reply(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        exchange: ExchangeId,
        reply: AgentReply,
    ) -> Outputs {
        match (&self.stage, reply) {
            (Stage::Reserving { decode }, AgentReply::Reserved) if *decode == exchange => {
                self.prefill(shared, exchange)
            }
            (Stage::Prefilling { decode, prefill }, AgentReply::Exported(export))
                if *prefill == exchange =>
            {
                let decode = *decode;
                self.decode(shared, decode, export)
            }
            (Stage::Decoding { decode }, AgentReply::Part { offset, tokens })
                if *decode == exchange =>
            {
                self.part(shared, now, offset, tokens)
            }
            (Stage::Decoding { decode }, AgentReply::End { offset, finish })
                if *decode == exchange =>
            {
                if offset != self.told.len() as u32 {
                    return self.retry(shared, now, Ran::Maybe, "tokens are missing at the end");
                }
                self.ran = Ran::Yes;
                self.finish(Terminal::Generated { tokens: offset, finish })
            }
            (Stage::Serving { .. }, AgentReply::Answer(answer)) => self.answered(shared, answer),
            (_, AgentReply::Refused(refusal)) => {
                self.retry(shared, now, refusal.ran, &refusal.detail)
            }
            _ => Vec::new(),
        }
    }

    /// Passes on tokens, each offset once and in order.
    fn part(
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

    fn answered(&mut self, shared: &mut Shared, answer: Answer) -> Outputs {
        self.ran = Ran::Yes;
        let mut outputs = self.record(shared, Outcome::Finished(answer.clone()));
        outputs.extend(self.finish(Terminal::Answered(answer)));
        outputs
    }

    /// Records the outcome of a claimed attempt.
    fn record(&mut self, shared: &mut Shared, outcome: Outcome) -> Outputs {
        let Some((key, request)) = self.claimed.take() else { return Vec::new() };
        self.close_claim(shared, Command::Finish { key, request, outcome })
    }

    fn close_claim(&mut self, shared: &mut Shared, command: Command) -> Outputs {
        let Some(peer) = shared.proposer.target() else { return Vec::new() };
        let propose = Request::Control(ControlRequest::Propose(command));
        vec![shared.open(self.id, peer, propose).1]
    }

    /// Takes the end of one of the run's exchanges.
    pub(crate) fn closed(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        exchange: ExchangeId,
        failure: Option<LinkFailure>,
    ) -> Outputs {
        let ran = if failure == Some(LinkFailure::NotSent) { Ran::No } else { Ran::Maybe };
        match &self.stage {
            Stage::Claiming { exchange: open, key, claim, .. } if *open == exchange => {
                let (key, claim) = (key.clone(), claim.clone());
                shared.proposer.miss(None);
                self.propose_claim(shared, now, key, claim)
            }
            Stage::Serving { exchange: open } if *open == exchange => {
                self.retry(shared, now, ran, "the agent was lost")
            }
            Stage::Reserving { decode } | Stage::Decoding { decode } if *decode == exchange => {
                self.retry(shared, now, ran, "the decode endpoint's agent was lost")
            }
            Stage::Prefilling { decode, prefill } if [*decode, *prefill].contains(&exchange) => {
                self.retry(shared, now, ran, "an agent was lost during prefill")
            }
            _ => Vec::new(),
        }
    }

    /// Takes the loss of the caller.
    pub(crate) fn gone(&mut self, shared: &mut Shared) -> Outputs {
        let outputs = self.reset_exchanges(shared);
        if !matches!(self.stage, Stage::Done) {
            log::info!("step=caller-gone call={}", self.id);
        }
        self.stage = Stage::Done;
        outputs
    }

    /// Acts on silence and the deadline.
    pub(crate) fn wake(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        if now >= self.call.deadline {
            self.ran = self.ran.max(self.in_flight());
            let mut outputs = self.reset_exchanges(shared);
            outputs.extend(self.refuse(shared, RefusalReason::Deadline, "the deadline has passed"));
            return outputs;
        }
        match &self.stage {
            Stage::Claiming { since, exchange, .. } if now >= *since + CLAIM_TIMEOUT => {
                let mut outputs = vec![shared.reset(*exchange)];
                outputs.extend(self.refuse(
                    shared,
                    RefusalReason::NoQuorum,
                    "control did not commit the claim in time",
                ));
                outputs
            }
            Stage::Claiming { .. } | Stage::Done => Vec::new(),
            _ if now >= self.heard + SILENCE_TIMEOUT => {
                let ran = self.in_flight();
                self.retry(shared, now, ran, "the endpoint's agent is silent")
            }
            _ => Vec::new(),
        }
    }

    /// Returns whether what is in flight may have run.
    fn in_flight(&self) -> Ran {
        match self.stage {
            Stage::Claiming { .. } | Stage::Reserving { .. } | Stage::Done => Ran::No,
            _ => Ran::Maybe,
        }
    }

    /// Ends the attempt and makes another one if the call allows it.
    fn retry(&mut self, shared: &mut Shared, now: Timestamp, ran: Ran, detail: &str) -> Outputs {
        self.ran = self.ran.max(ran);
        let mut outputs = self.reset_exchanges(shared);
        let allowed = self.call.repeatable || self.ran == Ran::No;
        let setting = crate::control::config::Setting::Attempts;
        let call = &self.call;
        let most =
            shared.follower.config().value(setting, &call.tenant, &call.pool, call.class) as u32;
        if allowed && self.attempt < most {
            log::info!("step=retry call={} attempt={} detail={detail:?}", self.id, self.attempt);
            outputs.extend(self.next_attempt(shared, now));
        } else {
            let detail = detail.to_string();
            outputs.extend(self.refuse(shared, RefusalReason::EndpointFailed, &detail));
        }
        outputs
    }

    fn reset_exchanges(&mut self, shared: &mut Shared) -> Outputs {
        let open = match &self.stage {
            Stage::Claiming { exchange, .. } | Stage::Serving { exchange } => vec![*exchange],
            Stage::Reserving { decode } | Stage::Decoding { decode } => vec![*decode],
            Stage::Prefilling { decode, prefill } => vec![*decode, *prefill],
            Stage::Done => Vec::new(),
        };
        open.into_iter().map(|e| shared.reset(e)).collect()
    }

    /// Tells the caller a refusal at once.
    fn refuse(&mut self, shared: &mut Shared, reason: RefusalReason, detail: &str) -> Outputs {
        let refusal = Refusal { reason, ran: self.ran, retry: RETRY_AFTER, detail: detail.into() };
        log::info!("step=refuse call={} tenant={} {refusal}", self.id, self.call.tenant);
        let mut outputs = self.close_refused(shared);
        outputs.extend(self.finish(Terminal::Refused(refusal)));
        outputs
    }

    /// Frees the key of a call that did not run, or records that it may have run.
    fn close_refused(&mut self, shared: &mut Shared) -> Outputs {
        if self.ran != Ran::No {
            return self.record(shared, Outcome::Unknown);
        }
        let Some((key, request)) = self.claimed.take() else { return Vec::new() };
        self.close_claim(shared, Command::Release { key, request })
    }

    fn finish(&mut self, outcome: Terminal) -> Outputs {
        self.stage = Stage::Done;
        vec![Output::Effect(CallerEffect::Finish { call: self.id, outcome })]
    }

    /// Closes what is left of a run that is done.
    pub(crate) fn close(self, _shared: &mut Shared) -> Outputs {
        Vec::new()
    }
}
