//! What an API must know of the protocol that operators and endpoints speak.

use std::time::Duration;

use super::stages::StageOrder;
use crate::control::routing::Document;
use crate::h1::Request;
use crate::model::{BootId, EndpointState};

/// What an operator or an endpoint asks.
#[derive(Debug)]
pub enum ApiCall {
    /// Put a routing document in force; it is checked already.
    Publish(Document),
    /// Read the routing document in force.
    Read,
    /// An endpoint says that it is alive, or that it leaves.
    Announce(Box<EndpointState>),
    /// An endpoint is about to end.
    Leave {
        /// The endpoint.
        endpoint: Box<str>,
        /// Its start, if it says so.
        boot: Option<BootId>,
    },
}

/// What it is answered.
#[derive(Debug)]
pub enum ApiReply {
    /// It is done and lasts.
    Done,
    /// The routing document in force.
    Document(Document),
    /// There is no routing document yet.
    NoDocument,
    /// It is wrong, and why.
    Invalid(Box<str>),
    /// There is no such call.
    Unknown,
    /// It can't be done now; whether it was done is not known.
    Unavailable(Duration),
}

/// The protocol of operators and endpoints.
pub trait ApiProtocol: Send {
    /// Reads a call, or says what it is answered at once.
    fn read(&self, request: &Request) -> Result<ApiCall, ApiReply>;

    /// Writes an order to an engine under a holder's name and fencing number.
    fn write_order(&self, order: &StageOrder, holder: &str, fence: u64) -> Vec<u8>;

    /// Writes an answer; the connection stays open if `keep` says so.
    fn write(&self, reply: &ApiReply, keep: bool) -> Vec<u8>;
}
