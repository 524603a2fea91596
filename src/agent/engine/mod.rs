//! What an agent and its endpoint tell each other.

mod http;

pub use http::HttpEngine;

use super::orders::EngineOrder;
use crate::link::message::{Answer, Export};
use crate::model::{Announcement, Body, Class, Fence, Ran, RequestId, Timestamp};

/// What the endpoint tells its agent.
#[derive(Debug)]
pub enum EngineInput {
    /// The endpoint has started.
    Announced(Announcement),
    /// A prefill is done.
    Exported {
        /// The attempt.
        request: RequestId,
        /// Its KV cache.
        export: Export,
    },
    /// Tokens were generated.
    Part {
        /// The attempt.
        request: RequestId,
        /// The offset of the first token.
        offset: u32,
        /// The tokens.
        tokens: Vec<Box<str>>,
    },
    /// The engine's end mark.
    End {
        /// The attempt.
        request: RequestId,
        /// The offset after the last token.
        offset: u32,
        /// Why it ended.
        finish: Box<str>,
    },
    /// A plain service has answered.
    Answered {
        /// The attempt.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// The work failed.
    Failed {
        /// The attempt.
        request: RequestId,
        /// Whether it ran.
        ran: Ran,
        /// More about it, for people.
        detail: Box<str>,
    },
    /// The answer to a cancel.
    Cancelled {
        /// The attempt.
        request: RequestId,
        /// Whether the endpoint holds nothing for it any more.
        gone: bool,
    },
    /// What the engine runs, by its own list.
    Listed {
        /// The names of the attempts.
        running: Vec<Box<str>>,
    },
    /// The answer to an order.
    Ordered {
        /// The fencing number.
        fence: Fence,
        /// Whether it was carried out.
        result: Result<(), Box<str>>,
    },
}

/// Work for the endpoint.
#[derive(Debug)]
pub enum Work {
    /// Turn a prompt into KV cache.
    Prefill {
        /// The class, which is the engine's priority.
        class: Class,
        /// The prompt.
        prompt: Box<str>,
        /// Tokens that the caller already has.
        prefix: Vec<Box<str>>,
    },
    /// Import KV cache and generate.
    Decode {
        /// Where the KV cache is.
        export: Export,
        /// The offset of the first token.
        from: u32,
        /// The offset after the last token.
        until: u32,
    },
    /// Run one exchange with a plain service.
    Call {
        /// When the answer is of no more use.
        deadline: Timestamp,
        /// The HTTP request.
        body: Body,
    },
}

/// What the agent asks of the shell around it.
#[derive(Debug)]
pub enum EngineEffect {
    /// Start work.
    Start {
        /// The attempt.
        request: RequestId,
        /// The work.
        work: Work,
    },
    /// Cancel work.
    Cancel(RequestId),
    /// Cancel work that is not in the ledger, by its name.
    CancelUnknown(Box<str>),
    /// List the work that runs.
    List,
    /// Carry out an order.
    Order(EngineOrder),
}
