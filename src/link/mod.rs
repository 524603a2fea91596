//! Exchanges between the system's own processes over QUIC with mutual TLS.

mod dialer;
mod exchange;
mod frame;
mod inbound;
pub mod message;
pub mod permit;
mod shell;
pub mod tls;

use std::net::SocketAddr;
use std::time::Duration;

use crate::model::{ExchangeId, InboundId};
use crate::role::LinkFailure;

pub use frame::MAX_FRAME_BYTES;
pub use inbound::{Admission, admit};
pub use message::{Envelope, Reply, Request};
pub use shell::{Link, LinkHandle, Route};

/// The most events queued for a role before the link stops reading from its peers.
const MAX_QUEUED_EVENTS: usize = 65_536;
/// How often the link checks whether a role has caught up.
const DEPTH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// An event that the link delivers to a role.
#[derive(Debug)]
pub enum LinkEvent {
    /// A peer's request on an exchange that the peer opened.
    Request {
        /// The exchange on which the reply is expected.
        inbound: InboundId,
        /// The request and the peer's configuration revision.
        envelope: Envelope<Request>,
    },
    /// The peer abandoned the exchange, or its connection was lost.
    Abandoned {
        /// The exchange that ended before its last reply.
        inbound: InboundId,
    },
    /// A reply on an exchange that the role opened.
    Reply {
        /// The exchange that the reply belongs to.
        exchange: ExchangeId,
        /// The reply and the peer's configuration revision.
        envelope: Envelope<Reply>,
    },
    /// An exchange that the role opened has ended.
    Closed {
        /// The exchange that ended.
        exchange: ExchangeId,
        /// Why it ended before the last reply; None if it ended normally.
        failure: Option<LinkFailure>,
    },
}

/// A command from a role to the link.
#[derive(Debug)]
pub enum LinkAction {
    /// Open an exchange.
    Open {
        /// The number that [`LinkHandle::register`] returned for the role.
        owner: u64,
        /// The id of the exchange, unique within the role.
        exchange: ExchangeId,
        /// The address of the peer.
        peer: SocketAddr,
        /// The first request.
        envelope: Envelope<Request>,
    },
    /// Send another request on an open exchange.
    Send {
        /// The number that [`LinkHandle::register`] returned for the role.
        owner: u64,
        /// The exchange to send on.
        exchange: ExchangeId,
        /// The request.
        envelope: Envelope<Request>,
    },
    /// Cancel an exchange.
    Reset {
        /// The number that [`LinkHandle::register`] returned for the role.
        owner: u64,
        /// The exchange to cancel.
        exchange: ExchangeId,
    },
    /// Use a new connection for later exchanges with a peer.
    Redial {
        /// The address of the peer.
        peer: SocketAddr,
    },
    /// Reply on an exchange that a peer opened.
    Reply {
        /// The exchange to reply on.
        inbound: InboundId,
        /// The reply.
        envelope: Envelope<Reply>,
        /// Whether it is the last reply on the exchange.
        last: bool,
    },
    /// Wait until the last replies have arrived, then close all connections.
    Shutdown {
        /// Whether requests without a reply were never started; the close code reports this to
        /// peers.
        unstarted: bool,
        /// How long that may take.
        left: std::time::Duration,
        /// Receives a message once the connections are closed.
        done: std::sync::mpsc::Sender<()>,
    },
}

/// Receives the link's events for one role.
pub trait Sink: Send + Sync {
    /// Queues one event without blocking.
    fn deliver(&self, event: LinkEvent);

    /// Returns the number of queued events.
    fn depth(&self) -> usize {
        0
    }
}

/// Waits while the role's queue is full, which also slows down the peer by flow control.
async fn wait_for_capacity(sink: &dyn Sink) {
    while sink.depth() >= MAX_QUEUED_EVENTS {
        tokio::time::sleep(DEPTH_POLL_INTERVAL).await;
    }
}
