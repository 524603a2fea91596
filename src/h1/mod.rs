//! HTTP/1.1 for roles that serve callers and call endpoints on one thread.
//!
//! Heads are parsed by `httparse`, and sockets are polled with `mio`. A role receives complete
//! requests of callers and answers of endpoints part by part, and returns what to write.

pub mod budget;
mod caller;
mod closing;
mod driver;
mod head;
mod limits;
mod peer;
mod reader;
mod socket;
pub mod write;

use std::net::SocketAddr;
use std::time::Duration;

use crate::model::Timestamp;
use crate::routes::CallerLimits;

pub use driver::{HttpDriver, HttpHandle, Listener};
pub use head::{AnswerHead, Field, Fields, Request, RequestHead};
pub use reader::{Part, ReadError, Reader};

/// The id of a caller's connection, assigned by the driver.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallerId(pub u64);

/// The id of a connection to an endpoint, assigned by the role.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerId(pub u64);

/// The purpose of a listening address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Calls; in a control process, requests of operators and endpoints.
    Calls,
    /// Readiness and metrics.
    Pages,
}

/// An event that a role receives from its sockets.
#[derive(Debug)]
pub enum HttpInput {
    /// A caller sent a complete request; its next one is read once this one is answered.
    Request {
        /// The connection.
        caller: CallerId,
        /// The purpose of the address that received it.
        purpose: Purpose,
        /// The request.
        request: Request,
    },
    /// The caller closed its connection while its request was open.
    CallerGone {
        /// The connection.
        caller: CallerId,
    },
    /// A connection to an endpoint is established.
    Connected {
        /// The connection.
        peer: PeerId,
    },
    /// The head of an endpoint's answer was received.
    Answer {
        /// The connection.
        peer: PeerId,
        /// The head.
        head: AnswerHead,
    },
    /// A part of the content of an endpoint's answer was received.
    Data {
        /// The connection.
        peer: PeerId,
        /// The content without its framing.
        bytes: Vec<u8>,
    },
    /// The answer of an endpoint is complete.
    End {
        /// The connection.
        peer: PeerId,
        /// Whether the connection can be used for another request.
        reusable: bool,
    },
    /// A connection to an endpoint is lost; no more events follow for it.
    Lost {
        /// The connection.
        peer: PeerId,
        /// Whether any byte of a request may have reached the endpoint.
        sent: bool,
        /// Why the connection was lost.
        error: Box<str>,
    },
    /// The process received the signal to reload its settings (SIGHUP).
    Reload,
}

/// A command from a role to its sockets.
#[derive(Debug)]
pub enum HttpEffect {
    /// Connect to an endpoint.
    Dial {
        /// The connection.
        peer: PeerId,
        /// The address of the endpoint.
        address: SocketAddr,
    },
    /// Send a complete request; it is queued until the connection is established.
    Send {
        /// The connection.
        peer: PeerId,
        /// The head and the content.
        bytes: Vec<u8>,
    },
    /// Close a connection to an endpoint; no more events follow for it.
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
    /// End the answer to a caller.
    Finish {
        /// The connection.
        caller: CallerId,
        /// Whether the connection stays open for another request.
        keep: bool,
    },
    /// Close a caller's connection without completing its answer, so that the caller can tell that
    /// the answer is incomplete.
    Abort {
        /// The connection.
        caller: CallerId,
    },
    /// Apply new limits to the connections of callers.
    Limit(CallerLimits),
    /// Refuse requests that exceed the limits as too large until a time, and as not run from then on,
    /// since newer limits may allow them. Without this effect the limits count as confirmed.
    ConfirmLimits {
        /// Until when the limits are confirmed to be the newest.
        until: Timestamp,
    },
    /// Close the connections of callers that have no request in progress.
    CloseIdle,
    /// Accept no more connections of callers, and close those that are open as soon as nothing is
    /// unread or unwritten on them. The role returns this before [`crate::role::Output::Stopped`]
    /// and refuses the requests that still come.
    CloseAll {
        /// When the remaining connections are closed whatever is unwritten on them.
        until: Timestamp,
    },
}

/// A request of up to this size in bytes reaches the endpoint at once: if it closes the connection
/// before it has read all of it, that is seen as a reset.
const SMALL_REQUEST_BYTES: usize = 16 << 10;
/// How long after the last byte of a larger request a reset may follow the end of the connection,
/// since the endpoint closed it before all bytes arrived.
const RESET_WAIT: Duration = Duration::from_millis(50);
/// How long a connection is kept open after its last answer so that the caller can read it.
const LINGER_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The most bytes that are read and dropped while a connection lingers.
const MAX_LINGER_BYTES: usize = 32 << 20;
/// The most bytes of an answer's head.
const MAX_ANSWER_HEAD_BYTES: usize = 64 << 10;

/// Returns from when on the end of a connection completes an answer without a length, by the size of
/// its request in bytes and the time at which the last of them was written.
///
/// ```
/// use dotterelpin::h1::settled_at;
/// use dotterelpin::model::Timestamp;
///
/// let written = Timestamp::from_micros(1);
/// assert_eq!(settled_at(700, written), written);
/// assert!(settled_at(8 << 20, written) > written);
/// ```
pub fn settled_at(request_bytes: usize, written: Timestamp) -> Timestamp {
    if request_bytes > SMALL_REQUEST_BYTES { written + RESET_WAIT } else { written }
}
