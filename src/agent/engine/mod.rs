//! The inputs that an agent receives from its endpoint and the effects that it requests there.

mod exchange;
mod http;

pub use http::HttpEngine;

use super::orders::EngineOrder;
use crate::link::message::{Answer, Export};
use crate::model::{Announcement, Body, Class, Fence, Ran, RequestId, Timestamp};

/// An input from the endpoint to its agent.
#[derive(Debug)]
pub enum EngineInput {
    /// The endpoint has announced itself.
    Announced(Announcement),
    /// A prefill is complete.
    Exported {
        /// The attempt.
        request: RequestId,
        /// The exported KV cache.
        export: Export,
    },
    /// The engine has generated tokens.
    Part {
        /// The attempt.
        request: RequestId,
        /// The offset of the first token.
        offset: u32,
        /// The generated tokens, in order.
        tokens: Vec<Box<str>>,
    },
    /// The end mark of a decode stream.
    End {
        /// The attempt.
        request: RequestId,
        /// The offset after the last token.
        offset: u32,
        /// The finish reason.
        finish: Box<str>,
    },
    /// A plain service has answered.
    Answered {
        /// The attempt.
        request: RequestId,
        /// The HTTP answer.
        answer: Answer,
    },
    /// The work failed.
    Failed {
        /// The attempt.
        request: RequestId,
        /// Whether the work ran.
        ran: Ran,
        /// The error as text for people.
        detail: Box<str>,
    },
    /// The endpoint has replied to a cancel, or the cancel failed.
    Cancelled {
        /// The attempt.
        request: RequestId,
        /// Whether the engine's list shows that it has no work of the attempt any more.
        gone: bool,
    },
    /// The engine's list of running work.
    Listed {
        /// The names of the attempts.
        running: Vec<Box<str>>,
    },
    /// The endpoint has replied to an order, or the order failed.
    Ordered {
        /// The fencing number of the order.
        fence: Fence,
        /// The error as text if the order was not carried out.
        result: Result<(), Box<str>>,
    },
}

/// Work for the endpoint.
#[derive(Debug)]
pub enum Work {
    /// Run the prefill of a prompt and export its KV cache.
    Prefill {
        /// The class, which the engine uses as priority.
        class: Class,
        /// The text of the prompt.
        prompt: Box<str>,
        /// Tokens that were already delivered to the caller.
        prefix: Vec<Box<str>>,
    },
    /// Import KV cache and generate tokens.
    Decode {
        /// The location of the KV cache.
        export: Export,
        /// The offset of the first token.
        from: u32,
        /// The offset after the last token.
        until: u32,
    },
    /// Run one exchange with a plain service.
    Call {
        /// When the caller stops waiting for the answer.
        deadline: Timestamp,
        /// The HTTP request to send.
        body: Body,
    },
}

/// An effect of the agent role, which an [`Adapter`](crate::role::Adapter) executes.
#[derive(Debug)]
pub enum EngineEffect {
    /// Start work of an attempt.
    Start {
        /// The attempt.
        request: RequestId,
        /// The work.
        work: Work,
    },
    /// Cancel the work of an attempt and check that it has ended.
    Cancel(RequestId),
    /// Cancel work that is not in the ledger, by the name in the engine's list.
    CancelUnknown(Box<str>),
    /// Request the list of running work.
    List,
    /// Carry out an order.
    Order(EngineOrder),
}
