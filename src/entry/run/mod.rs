//! The filter `run`: the attempts of a call, up to its single terminal outcome.

mod attempts;
mod claiming;
mod failure;
mod model;
mod proposal;
mod recording;
mod service;
mod settling;

use std::time::Duration;

use attempts::{Attempts, Responder};
use claiming::{Claiming, OwnerCheck};
use recording::Recording;
use settling::Settling;

use super::claim::claim_key;
use super::place::{Need, Software};
use super::{Outputs, Shared};
use crate::control::claims::ClaimKey;
use crate::link::message::{AgentReply, Export, Reply};
use crate::model::call::prompt_tokens;
use crate::model::{
    Call, CallId, CallKind, EndpointKind, EndpointState, ExchangeId, Ran, RefusalReason, RequestId,
    Timestamp,
};

/// How long decode capacity is reserved for a prefill.
const RESERVE_LEASE: Duration = Duration::from_millis(5_000);
/// How long an exchange may be silent before it is treated as lost.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Prompts whose first bytes, up to this number, are equal are treated as sharing a prefix.
const PREFIX_BYTES: usize = 256;
/// How long a transfer may take until the first token; a fraction of an export's retention.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(600);
/// How long decoding may continue without a new token.
const TOKEN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// The retry delay that is returned to a refused caller.
const RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// The stage of a run.
#[derive(Debug)]
enum Stage {
    /// Waits for its claim to be committed.
    Claiming(Claiming),
    /// Waits for control to report whether the owner of a claim is alive.
    OwnerCheck(OwnerCheck),
    /// Waits for an agent to report the outcome of an attempt.
    Settling(Settling),
    /// Waits for the answer of a plain service.
    Serving { exchange: ExchangeId },
    /// Waits for decode capacity to be reserved.
    Reserving { decode: ExchangeId },
    /// Waits for the backoff before the next attempt.
    Waiting { until: Timestamp },
    /// Waits for the KV cache, without reserved decode capacity.
    Exporting { prefill: ExchangeId },
    /// Waits for the KV cache, with reserved decode capacity.
    Prefilling { decode: ExchangeId, prefill: ExchangeId },
    /// Receives tokens.
    Decoding { decode: ExchangeId },
    /// Waits for the outcome of its claim to be committed.
    Recording(Recording),
    /// The run has ended.
    Done,
}

/// KV cache that a prefill of this call has exported.
#[derive(Debug)]
struct Exported {
    export: Export,
    /// The software version of the prefill endpoint.
    software: Box<str>,
    at: Timestamp,
    /// Number of tokens delivered to the caller when the prefill ended.
    delivered: usize,
    /// The number of requests to decode endpoints to fetch it.
    uses: u32,
}

/// A claim that is granted to this call.
#[derive(Debug)]
struct Owned {
    key: ClaimKey,
    request: RequestId,
}

/// One call from admission to its terminal outcome.
#[derive(Debug)]
pub(crate) struct Run {
    id: CallId,
    call: Call,
    stage: Stage,
    attempts: Attempts,
    /// Delivers the outcome; `None` once it is delivered or the caller has disconnected.
    responder: Option<Responder>,
    /// Names of the endpoints at which an attempt of this call failed or was refused.
    tried: Vec<Box<str>>,
    /// The service or decode endpoint of the current attempt.
    endpoint: Option<EndpointState>,
    /// The prefill endpoint of the current attempt.
    source: Option<EndpointState>,
    claim: Option<Owned>,
    /// The software version of the endpoint that brought the first token; only endpoints of that
    /// version continue the answer.
    software: Option<Box<str>>,
    /// The tokens delivered so far.
    delivered: Vec<Box<str>>,
    /// Whether `CallerEffect::Begin` was sent.
    begun: bool,
    /// When the awaited exchange last received a reply, or the attempt began.
    last_activity: Timestamp,
    /// When decoding began or last received tokens.
    last_progress: Timestamp,
    /// Whether decoding has not received its first tokens yet.
    transferring: bool,
    /// The KV cache exported by the latest prefill.
    export: Option<Exported>,
}

impl Run {
    /// Starts the first attempt of a call.
    pub(crate) fn start(
        shared: &mut Shared,
        now: Timestamp,
        id: CallId,
        call: Call,
    ) -> (Run, Outputs) {
        let has_key = claim_key(&call).is_some();
        let mut run = Run {
            id,
            call,
            stage: Stage::Done,
            attempts: Attempts::new(has_key),
            responder: Some(Responder::new(id)),
            tried: Vec::new(),
            endpoint: None,
            source: None,
            claim: None,
            software: None,
            delivered: Vec::new(),
            begun: false,
            last_activity: now,
            last_progress: now,
            transferring: false,
            export: None,
        };
        let outputs = run.next_attempt(shared, now);
        (run, outputs)
    }

    /// Returns whether the run has ended.
    pub(crate) fn is_done(&self) -> bool {
        matches!(self.stage, Stage::Done)
    }

    /// Returns the next deadline of the run, at which `wake` must be called.
    pub(crate) fn next_wake(&self) -> Timestamp {
        let silence = self.last_activity + SILENCE_TIMEOUT;
        let due = match &self.stage {
            Stage::Done => return Timestamp::MAX,
            Stage::Recording(recording) => return recording.next_wake(),
            Stage::Claiming(claiming) => claiming.next_wake(),
            Stage::OwnerCheck(check) => check.next_wake(),
            Stage::Settling(settling) => settling.next_wake(),
            Stage::Decoding { .. } => silence.min(self.last_progress + self.progress_timeout()),
            Stage::Waiting { until } => *until,
            Stage::Serving { .. }
            | Stage::Reserving { .. }
            | Stage::Exporting { .. }
            | Stage::Prefilling { .. } => silence,
        };
        due.min(self.call.deadline)
    }

    fn request_id(&self, shared: &Shared) -> RequestId {
        RequestId { owner: shared.boot(), call: self.id, attempt: self.attempts.last() }
    }

    fn next_attempt(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        self.attempts.prepare();
        self.last_activity = now;
        if matches!(self.call.kind, CallKind::Service(_)) {
            return self.attempt_service(shared, now);
        }
        match claim_key(&self.call) {
            Some(key) if self.claim.is_none() => self.propose_claim(shared, now, key, None),
            _ => self.attempt_model(shared, now),
        }
    }

    fn place(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        kind: EndpointKind,
        software: Software<'_>,
    ) -> Option<EndpointState> {
        let (tokens, prefix) = match (&self.call.kind, kind) {
            (CallKind::Model { prompt, .. }, EndpointKind::Prefill) => {
                (prompt_tokens(prompt) + self.delivered.len() as u32, Some(prefix_hash(prompt)))
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
            avoid: avoid.as_deref(),
            prefix,
            software,
        };
        shared.place(now, &need)
    }

    /// Handles a reply on one of the run's exchanges.
    pub(crate) fn reply(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        exchange: ExchangeId,
        reply: Reply,
    ) -> Outputs {
        match reply {
            Reply::Control(reply) => self.control_reply(shared, now, exchange, reply),
            Reply::Agent(reply) => self.agent_reply(shared, now, exchange, reply),
            Reply::Replica(_) | Reply::Noticed => Vec::new(),
        }
    }

    fn agent_reply(
        &mut self,
        shared: &mut Shared,
        now: Timestamp,
        exchange: ExchangeId,
        reply: AgentReply,
    ) -> Outputs {
        if self.awaited() == Some(exchange) {
            self.last_activity = now;
        }
        match (&self.stage, reply) {
            (Stage::Reserving { decode }, AgentReply::Reserved) if *decode == exchange => {
                self.reserved(shared, now, exchange)
            }
            (Stage::Prefilling { decode, prefill }, AgentReply::Exported(export))
                if *prefill == exchange =>
            {
                let decode = *decode;
                self.exported(now, export);
                self.decode(shared, now, decode)
            }
            (Stage::Exporting { prefill }, AgentReply::Exported(export))
                if *prefill == exchange =>
            {
                self.exported(now, export);
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
                self.end(shared, now, offset, finish)
            }
            (Stage::Serving { exchange: open }, AgentReply::Answer(answer))
                if *open == exchange =>
            {
                self.answered(shared, now, answer)
            }
            (Stage::Settling(settling), reply) if settling.is(exchange) => {
                self.settle_reply(shared, now, reply)
            }
            (_, AgentReply::Refused(refusal)) => {
                if !self.reuses_export() {
                    self.exclude_endpoint(exchange);
                }
                let ran = refusal.ran.max(self.runs_elsewhere(exchange));
                self.attempt_failed(shared, now, ran, refusal.reason, &refusal.detail)
            }
            _ => Vec::new(),
        }
    }

    /// Returns the exchange that a reply is awaited on.
    fn awaited(&self) -> Option<ExchangeId> {
        match &self.stage {
            Stage::Serving { exchange } => Some(*exchange),
            Stage::Reserving { decode } | Stage::Decoding { decode } => Some(*decode),
            Stage::Prefilling { prefill, .. } | Stage::Exporting { prefill } => Some(*prefill),
            _ => None,
        }
    }

    /// Handles timeouts, backoffs and the deadline of the call.
    pub(crate) fn wake(&mut self, shared: &mut Shared, now: Timestamp) -> Outputs {
        if let Stage::Recording(_) = self.stage {
            return self.wake_recording(shared, now);
        }
        if now >= self.call.deadline {
            return self.refuse(shared, now, RefusalReason::Deadline, "the deadline has passed");
        }
        match &self.stage {
            Stage::Claiming(_) => self.wake_claiming(shared, now),
            Stage::OwnerCheck(_) => self.wake_owner_check(shared, now),
            Stage::Settling(_) => self.wake_settling(shared, now),
            Stage::Recording(_) | Stage::Done => Vec::new(),
            Stage::Waiting { until } if now >= *until => self.next_attempt(shared, now),
            Stage::Waiting { .. } => Vec::new(),
            _ if now >= self.last_activity + SILENCE_TIMEOUT => self.silent(shared, now),
            Stage::Decoding { decode } if now >= self.last_progress + self.progress_timeout() => {
                let decode = *decode;
                self.exclude_endpoint(decode);
                let detail = "the decode endpoint stalled";
                self.attempt_failed(shared, now, Ran::Maybe, RefusalReason::EndpointFailed, detail)
            }
            _ => Vec::new(),
        }
    }

    /// Returns how long decoding may continue without a new token.
    fn progress_timeout(&self) -> Duration {
        if self.transferring { TRANSFER_TIMEOUT } else { TOKEN_TIMEOUT }
    }
}

/// Returns the hash of the start of a prompt, which identifies shared prefixes.
fn prefix_hash(prompt: &str) -> u64 {
    let start = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
    u64::from(crc32fast::hash(start))
}
