//! The filter `run`: one call's attempts, up to its one terminal outcome.

mod model;
mod service;

use std::time::Duration;

use super::place::Need;
use super::{CallerEffect, Outputs, Shared, Terminal};
use crate::control::claims::{Claim, ClaimKey};
use crate::link::message::{AgentReply, Export, Reply};
use crate::model::call::prompt_tokens;
use crate::model::{
    Call, CallId, CallKind, EndpointKind, EndpointState, ExchangeId, Ran, Refusal, RefusalReason,
    RequestId, Timestamp,
};
use crate::role::{LinkFailure, Output};

/// How long decode room is held for a prefill.
const RESERVE_LEASE: Duration = Duration::from_millis(5_000);
/// How long a claim may take before the call is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long an exchange may be silent before it counts as lost.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bytes of a prompt by which shared prefixes are known.
const PREFIX_BYTES: usize = 256;
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
    /// Waits until the next attempt.
    Waiting { until: Timestamp },
    /// Waits for the KV cache, with no decode room held.
    Exporting { prefill: ExchangeId },
    /// Waits for the KV cache, with decode room held.
    Prefilling { decode: ExchangeId, prefill: ExchangeId },
    /// Takes tokens.
    Decoding { decode: ExchangeId },
    /// The terminal outcome was told.
    Done,
}

/// KV cache that a prefill of this call has exported.
#[derive(Debug)]
struct Exported {
    export: Export,
    at: Timestamp,
    /// Tokens that the caller had when the prefill began.
    told: usize,
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
    export: Option<Exported>,
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
            export: None,
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
            Stage::Waiting { until } => *until,
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
            CallKind::Model { .. } => self.attempt_model(shared, now),
        }
    }

    fn place(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        kind: EndpointKind,
    ) -> Option<EndpointState> {
        let (tokens, prefix) = match (&self.call.kind, kind) {
            (CallKind::Model { prompt, .. }, EndpointKind::Prefill) => {
                (prompt_tokens(prompt) + self.told.len() as u32, Some(prefix_hash(prompt)))
            }
            (CallKind::Model { prompt, max_tokens, .. }, _) => {
                (prompt_tokens(prompt) + max_tokens, None)
            }
            (CallKind::Service(_), _) => (1, None),
        };
        let avoid = shared.fleet.failed_domain(self.id).map(Box::<str>::from);
        let need = Need {
            kind,
            pool: &self.call.pool,
            tried: &self.tried,
            tokens,
            class: self.call.class,
            avoid: avoid.as_deref(),
            prefix,
        };
        shared.place(now, &need)
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

    fn agent_reply(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        exchange: ExchangeId,
        reply: AgentReply,
    ) -> Outputs {
        match (&self.stage, reply) {
            (Stage::Reserving { decode }, AgentReply::Reserved) if *decode == exchange => {
                self.reserved(shared, now, exchange)
            }
            (Stage::Prefilling { decode, prefill }, AgentReply::Exported(export))
                if *prefill == exchange =>
            {
                let decode = *decode;
                self.export = Some(Exported { export, at: now, told: self.told.len() });
                self.decode(shared, now, decode)
            }
            (Stage::Exporting { prefill }, AgentReply::Exported(export))
                if *prefill == exchange =>
            {
                self.export = Some(Exported { export, at: now, told: self.told.len() });
                self.reserve(shared, now)
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
            Stage::Exporting { prefill } if *prefill == exchange => {
                self.retry(shared, now, ran, "an agent was lost during prefill")
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
            Stage::Waiting { until } if now >= *until => self.next_attempt(shared, now),
            Stage::Waiting { .. } => Vec::new(),
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
            Stage::Claiming { .. }
            | Stage::Waiting { .. }
            | Stage::Reserving { .. }
            | Stage::Done => Ran::No,
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
        let allowed = allowed && self.attempt < most;
        if allowed && !shared.policy.budget {
            log::info!("step=retry call={} attempt={} detail={detail:?}", self.id, self.attempt);
            outputs.extend(self.next_attempt(shared, now));
        } else if allowed && shared.retries.take(self.call.class) {
            log::info!("step=retry call={} attempt={} detail={detail:?}", self.id, self.attempt);
            let until = now + shared.retries.wait(self.attempt);
            self.stage = Stage::Waiting { until };
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
            Stage::Exporting { prefill } => vec![*prefill],
            Stage::Waiting { .. } | Stage::Done => Vec::new(),
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

    fn finish(&mut self, outcome: Terminal) -> Outputs {
        self.stage = Stage::Done;
        vec![Output::Effect(CallerEffect::Finish { call: self.id, outcome })]
    }

    /// Closes what is left of a run that is done.
    pub(crate) fn close(self, _shared: &mut Shared) -> Outputs {
        Vec::new()
    }
}

/// Returns the hash of the start of a prompt, by which shared prefixes are known.
fn prefix_hash(prompt: &str) -> u64 {
    let start = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    u64::from(crc32fast::hash(start))
}
