//! The interface between a gateway and the protocol of its callers and endpoints.
//!
//! The gateway decides with the types of this module. A protocol reads them from heads and
//! contents and writes them there; it keeps no state.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::h1::{AnswerHead, Request, RequestHead};
use crate::link::message::EngineLoad;
use crate::model::{BootId, EndpointKind};
use crate::routes::{RouteTable, TableError};

/// The facts of a call that the gateway reads from the head of its request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallInfo {
    /// The caller's id of the call; endpoints repeat it in their answers.
    pub id: Box<str>,
    /// How long the caller waits, if it says so.
    pub timeout: Option<Duration>,
    /// The requested work of a call to a model; `None` for other calls.
    pub work: Option<ModelWork>,
    /// The ids of the parts of its prompt that other calls may share, in the order of the prompt.
    pub parts: Vec<Box<str>>,
    /// The number of the last event that the caller has, if it resumes a stream.
    pub after: Option<u64>,
    /// The id of the call that brought the first event of the stream, if it resumes one.
    pub resumes: Option<Box<str>>,
}

/// The work that a call requests from a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ModelWork {
    /// The name of the model.
    pub model: Box<str>,
    /// Tokens of the prompt.
    pub prompt: u32,
    /// The maximum number of tokens of the answer.
    pub output: u32,
}

/// The percentage of its answer that a running call has in KV cache on average.
const MEAN_PERCENT: u32 = 50;
/// Tokens that must be free in addition to the prompt when a call starts: the calls that already
/// run grow until the next one of them ends.
const HEADROOM_TOKENS: u32 = 400;

impl ModelWork {
    /// Returns the tokens of KV cache that the call is counted with, which is its average over the
    /// run.
    pub fn mean_tokens(&self) -> u32 {
        self.prompt.saturating_add(self.output / 100 * MEAN_PERCENT)
    }

    /// Returns the tokens of KV cache that must be free when the call starts.
    pub fn min_free_tokens(&self) -> u32 {
        self.prompt.saturating_add(HEADROOM_TOKENS)
    }
}

/// Why a request is refused as malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallError {
    /// The id of the call is missing, empty, too long or not text.
    NoId,
    /// The caller timeout is not a number of milliseconds.
    BadDeadline,
    /// The requested work of a model is malformed.
    BadWork,
    /// The number of the last received event is malformed.
    BadEvent,
}

impl CallError {
    /// Returns the error text for the caller.
    pub fn text(self) -> &'static str {
        match self {
            CallError::NoId => "the request has no id, or one that can't be read",
            CallError::BadDeadline => "the deadline can't be read",
            CallError::BadWork => "model, tokens or prompt parts can't be read",
            CallError::BadEvent => "the id of the last event can't be read",
        }
    }
}

/// What an answer says about how many requests its endpoint takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitNotice {
    /// Nothing: it takes as many as it can.
    Absent,
    /// Something that can't be read.
    Unreadable,
    /// So many requests from all gateways together.
    Rate(RequestRate),
}

/// A number of requests per second, in thousandths.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestRate(pub u32);

/// KV cache that a prefill endpoint holds for a decode endpoint to fetch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Export {
    /// Its handle at the prefill endpoint.
    pub handle: Box<str>,
    /// Its size in tokens.
    pub tokens: u32,
}

/// What one attempt asks an endpoint to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendKind {
    /// Run the complete call, including the prefill.
    Whole,
    /// Run the prefill and export its KV cache.
    Prefill,
    /// Run the call from KV cache that another endpoint has exported.
    From {
        /// The address of the endpoint that holds the KV cache.
        source: SocketAddr,
        /// The handle of the KV cache there.
        handle: Box<str>,
    },
}

impl SendKind {
    /// Returns the name for logs.
    pub fn name(&self) -> &'static str {
        match self {
            SendKind::Whole => "run-whole",
            SendKind::Prefill => "prefill",
            SendKind::From { .. } => "run",
        }
    }
}

/// What the gateway adds to a request when it sends it to an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendInfo<'a> {
    /// What the endpoint has to do.
    pub kind: SendKind,
    /// The time until the call's deadline.
    pub remaining: Duration,
    /// The name of the intended endpoint; another one at the same address refuses the request.
    pub endpoint: &'a str,
    /// The number of the event after which the stream is to be resumed.
    pub after: Option<u64>,
    /// The name of the reservation that the attempt uses.
    pub hold: Option<&'a str>,
    /// The name of the client account that the call belongs to.
    pub account: Option<&'a str>,
}

/// A small request to an engine that carries no call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SideRequest {
    /// Report the capacity in use.
    Report,
    /// Free exported KV cache that will not be fetched.
    Free {
        /// The handle of the KV cache.
        handle: Box<str>,
    },
    /// Reserve capacity for a call.
    Hold {
        /// Tokens of KV cache that must be free.
        tokens: u32,
        /// How long the reservation is kept.
        ttl: Duration,
    },
    /// Drop a reservation.
    Drop {
        /// The name of the reservation.
        hold: Box<str>,
    },
}

/// The facts that the gateway reads from the head of an endpoint's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AnswerInfo {
    /// The id of the call that it answers.
    pub id: Option<Box<str>>,
    /// Whether the endpoint promises that it has not run the call and will not.
    pub not_run: bool,
    /// Whether it carries an endpoint's signature.
    pub signed: bool,
    /// Whether the content has an encoding, which endpoints do not apply themselves.
    pub encoded: bool,
    /// Whether the endpoint says that it leaves.
    pub leaving: bool,
    /// For how long the endpoint wants no request, if it has refused this one and says so.
    pub backoff: Option<Duration>,
    /// What it says about how many requests the endpoint takes.
    pub limit: LimitNotice,
}

/// The load that an engine reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct EngineReport {
    /// The start of the engine; `None` if the report does not name it.
    pub boot: Option<BootId>,
    /// Its present stage; `None` if the report names none that is known.
    pub kind: Option<EndpointKind>,
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// Tokens of KV cache that can't be evicted.
    pub used: u32,
    /// The capacity of its KV cache in tokens.
    pub total: u32,
}

impl EngineReport {
    /// Returns the report of a start of an engine whose load another gateway has passed on.
    pub fn shared(boot: BootId, load: EngineLoad) -> EngineReport {
        let EngineLoad { kind, running, waiting, used } = load;
        EngineReport { boot: Some(boot), kind, running, waiting, used, total: 0 }
    }

    /// Returns the load that is passed on to other gateways.
    pub fn load(&self) -> EngineLoad {
        let EngineReport { kind, running, waiting, used, .. } = *self;
        EngineLoad { kind, running, waiting, used }
    }
}

/// A refusal as it is sent to a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RefusalInfo {
    /// The HTTP status.
    pub status: u16,
    /// The reason, as text for people.
    pub text: Box<str>,
    /// After which time the caller may retry; `None` if that is not suggested.
    pub retry_after: Option<Duration>,
}

/// The format of the routing tables that operators write.
pub trait TableFormat: Send + Sync {
    /// Parses and validates a table.
    fn read_table(&self, text: &[u8]) -> Result<RouteTable, TableError>;
}

/// The protocol of callers and endpoints.
pub trait CallProtocol: Send {
    /// Returns the format of the routing tables.
    fn tables(&self) -> Arc<dyn TableFormat>;

    /// Returns whether a request to the pages' address asks for the readiness of the process.
    fn is_readiness(&self, head: &RequestHead) -> bool;

    /// Returns the key of the client account; `None` unless the request has exactly one.
    fn key<'a>(&self, head: &'a RequestHead) -> Option<&'a [u8]>;

    /// Reads the facts of a call from the head of its request.
    fn read_call(&self, head: &RequestHead) -> Result<CallInfo, CallError>;

    /// Writes the request of an attempt to an endpoint.
    fn write_call(&self, request: &Request, send: &SendInfo<'_>) -> Vec<u8>;

    /// Reads the facts of an endpoint's answer from its head.
    fn read_answer(&self, head: &AnswerHead) -> AnswerInfo;

    /// Reads the answer to a [`SendKind::Prefill`]; `None` if it is malformed.
    fn read_export(&self, content: &[u8]) -> Option<Export>;

    /// Writes a side request to an engine at the address `host`.
    fn write_side(&self, host: SocketAddr, request: &SideRequest) -> Vec<u8>;

    /// Reads the name of a reservation from the answer to a [`SideRequest::Hold`]; `None` if it is
    /// malformed.
    fn read_hold(&self, content: &[u8]) -> Option<Box<str>>;

    /// Reads the answer to a [`SideRequest::Report`]; `None` if it is malformed.
    fn read_report(&self, content: &[u8]) -> Option<EngineReport>;

    /// Writes a refusal of the call `id`; `keep` is whether the connection stays open.
    fn write_refusal(&self, id: Option<&str>, refusal: &RefusalInfo, keep: bool) -> Vec<u8>;
}
