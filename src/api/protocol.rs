//! The interface between an API and the protocol of operators and endpoints.

use std::time::Duration;

use super::stages::StageOrder;
use crate::control::routing::Document;
use crate::h1::Request;
use crate::model::{BootId, EndpointState};

/// A call of an operator or an endpoint.
#[derive(Debug)]
pub enum ApiCall {
    /// Publish a routing document, which is already validated.
    Publish(Document),
    /// Read the current routing document.
    Read,
    /// The heartbeat of an endpoint, which may be draining.
    Announce(Box<EndpointState>),
    /// Deregister an endpoint, which is about to shut down.
    Deregister {
        /// The name of the endpoint.
        endpoint: Box<str>,
        /// The boot of the endpoint; `None` deregisters all boots so far.
        boot: Option<BootId>,
    },
}

/// The answer to an [`ApiCall`].
#[derive(Debug)]
pub enum ApiReply {
    /// The call has succeeded; a change that it made is durable.
    Done,
    /// The current routing document.
    Document(Document),
    /// There is no routing document yet.
    NoDocument,
    /// The call is invalid, with the reason.
    Invalid(Box<str>),
    /// There is no such call.
    Unknown,
    /// Control did not complete the call in time, and may or may not have applied it; the caller
    /// may retry after this time.
    Unavailable(Duration),
}

/// The protocol of operators and endpoints.
pub trait ApiProtocol: Send {
    /// Reads a call, or returns the answer to a malformed one.
    fn read(&self, request: &Request) -> Result<ApiCall, ApiReply>;

    /// Writes an order to an engine; `holder` and `fence` identify the leader that sends it.
    fn write_order(&self, order: &StageOrder, holder: &str, fence: u64) -> Vec<u8>;

    /// Writes an answer; `keep` is whether the connection stays open.
    fn write(&self, reply: &ApiReply, keep: bool) -> Vec<u8>;
}
