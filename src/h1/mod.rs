//! HTTP/1.1 for roles that serve callers and call endpoints on one thread.
//!
//! Heads are parsed by `httparse`; `mio` tells which sockets are ready. A role gets whole requests
//! and parts of answers, and says what to write.

mod caller;
mod driver;
mod head;
mod peer;
mod reader;
mod socket;
pub mod write;

use std::net::SocketAddr;
use std::time::Duration;

use crate::routes::CallerLimits;

pub use driver::{HttpDriver, HttpHandle, Listener};
pub use head::{AnswerHead, Field, Fields, Request, RequestHead};
pub use reader::{Part, ReadError, Reader};

/// One connection of a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// One connection to an endpoint, numbered by the role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerId(pub u64);

/// What a listening address is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Calls, or operators and endpoints in a control process.
    Calls,
    /// Readiness and metrics.
    Pages,
}

/// What reaches a role from its sockets.
#[derive(Debug)]
pub enum HttpInput {
    /// A caller sent a whole request; the next one is read once this one is finished.
    Request {
        /// The connection.
        caller: CallerId,
        /// Where it came in.
        purpose: Purpose,
        /// The request.
        request: Request,
    },
    /// The caller closed its connection while its request was open.
    CallerGone {
        /// The connection.
        caller: CallerId,
    },
    /// A connection to an endpoint stands.
    Connected {
        /// The connection.
        peer: PeerId,
    },
    /// The head of an answer came.
    Answer {
        /// The connection.
        peer: PeerId,
        /// The head.
        head: AnswerHead,
    },
    /// A part of an answer's content came.
    Data {
        /// The connection.
        peer: PeerId,
        /// The bytes, without their framing.
        bytes: Vec<u8>,
    },
    /// The answer is whole.
    End {
        /// The connection.
        peer: PeerId,
        /// Whether the connection takes another request.
        reusable: bool,
    },
    /// The connection is lost; nothing more comes from it.
    Lost {
        /// The connection.
        peer: PeerId,
        /// Whether any byte of a request may have reached the endpoint.
        sent: bool,
        /// Why.
        error: Box<str>,
    },
    /// The process was asked to read its settings again.
    Reload,
}

/// What a role asks of its sockets.
#[derive(Debug)]
pub enum HttpEffect {
    /// Connect to an endpoint.
    Dial {
        /// The connection.
        peer: PeerId,
        /// The address.
        address: SocketAddr,
    },
    /// Send a whole request; it waits until the connection stands.
    Send {
        /// The connection.
        peer: PeerId,
        /// The bytes.
        bytes: Vec<u8>,
    },
    /// Close a connection to an endpoint; nothing more is heard of it.
    HangUp {
        /// The connection.
        peer: PeerId,
    },
    /// Write a part of an answer to a caller.
    Reply {
        /// The connection.
        caller: CallerId,
        /// The bytes with their framing.
        bytes: Vec<u8>,
    },
    /// The answer is whole.
    Finish {
        /// The connection.
        caller: CallerId,
        /// Whether the connection stays open for another request.
        keep: bool,
    },
    /// Close a caller's connection in the middle of its answer, so that it looks broken.
    Abort {
        /// The connection.
        caller: CallerId,
    },
    /// Use these limits for callers from now on.
    Limit(CallerLimits),
    /// Close connections of callers between requests.
    CloseIdle,
}

/// How long a connection may stay open to let the caller read the last answer.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Bytes that are read and dropped while a connection lingers.
const MAX_LINGER_BYTES: usize = 32 << 20;
/// The most bytes of an answer's head.
const MAX_ANSWER_HEAD_BYTES: usize = 64 << 10;
