//! Messages between entries and agents.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::model::{Body, BootId, Class, Load, Refusal, RequestId, Timestamp};

/// A request from an entry to an agent; each exchange serves one attempt.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AgentRequest {
    /// Reserve decode capacity for as long as the exchange is open and the lease lasts.
    Reserve {
        /// The id of the attempt.
        request: RequestId,
        /// The class of the call.
        class: Class,
        /// The tokens of the prompt plus the most tokens that the answer may have.
        tokens: u32,
        /// The software version of the endpoint that the request is meant for.
        software: Box<str>,
        /// How long the reservation lasts without a [`AgentRequest::Decode`].
        lease: Duration,
    },
    /// Run the prefill of a prompt and export its KV cache.
    Prefill {
        /// The id of the attempt.
        request: RequestId,
        /// The class of the call.
        class: Class,
        /// The software version of the endpoint that the request is meant for.
        software: Box<str>,
        /// The text of the prompt.
        prompt: Box<str>,
        /// Generated tokens that were already delivered to the caller.
        prefix: Vec<Box<str>>,
        /// The time left until the first token is due. Prefills are queued by this deadline and
        /// refused once they can no longer meet it; without it the prefill starts at once.
        within: Option<Duration>,
    },
    /// Import KV cache into the reserved capacity and generate tokens.
    Decode {
        /// The KV cache to import.
        export: Export,
        /// The offset of the first token to generate.
        from: u32,
        /// The offset after the last token to generate.
        until: u32,
        /// How long the import may take before it counts as stalled; without it there is no limit.
        within: Option<Duration>,
    },
    /// Send one HTTP request to a plain service.
    Call {
        /// The id of the attempt.
        request: RequestId,
        /// The class of the call.
        class: Class,
        /// The boot of the agent that the request is meant for.
        boot: BootId,
        /// Whether the request may run more than once.
        repeatable: bool,
        /// The time after which an answer is useless.
        deadline: Timestamp,
        /// The HTTP request.
        body: Body,
    },
    /// Reply with the outcome of an attempt; an attempt that has not started yet never starts.
    Settle {
        /// The id of the attempt.
        request: RequestId,
        /// The boot of the agent to which the attempt was sent.
        boot: BootId,
    },
}

/// An order to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Load a model, adapter or version.
    Load {
        /// The artifact to load, such as `model:cs-summary@7`.
        artifact: Box<str>,
    },
    /// Switch to the role of a prefill or a decode endpoint.
    Role {
        /// The new role.
        kind: crate::model::EndpointKind,
    },
    /// Stop accepting new work.
    Drain,
    /// Accept work again.
    Undrain,
}

/// KV cache that a prefill endpoint has exported.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// The prefill endpoint's URL.
    pub url: Box<str>,
    /// The name of the export at that endpoint.
    pub name: Box<str>,
    /// The number of tokens in the prompt and the prefix.
    pub tokens: u32,
}

/// A reply from an agent to an entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum AgentReply {
    /// The capacity is reserved.
    Reserved,
    /// What is in use at the endpoint now.
    Load(Load),
    /// The prefill is complete and its KV cache is exported.
    Exported(Export),
    /// Consecutive generated tokens.
    Part {
        /// The offset of the first token.
        offset: u32,
        /// The tokens.
        tokens: Vec<Box<str>>,
    },
    /// A keep-alive: the exchange is open but there is nothing to send.
    Alive,
    /// The engine reported the end of the generation.
    End {
        /// The offset after the last token.
        offset: u32,
        /// The finish reason that the engine gave.
        finish: Box<str>,
    },
    /// The answer of a plain service.
    Answer(Answer),
    /// The attempt was refused, or it failed.
    Refused(Refusal),
    /// The outcome of an attempt.
    Settled(Settled),
}

/// The answer of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The media type of the content.
    pub media: Box<str>,
    /// The body of the answer.
    pub content: Vec<u8>,
}

/// The outcome of an attempt as recorded by the agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Settled {
    /// It finished with this answer.
    Finished(Answer),
    /// It finished with an answer that was too large to retain.
    FinishedLarge {
        /// The answer's HTTP status.
        status: u16,
    },
    /// It is still running.
    Running,
    /// It has not started and will not start.
    NotStarted,
    /// It may or may not have run.
    Unknown,
}
