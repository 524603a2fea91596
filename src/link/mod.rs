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

pub use message::{Envelope, Reply, Request};
pub use shell::{Link, LinkHandle, Route};

/// Events that may wait for a role before the link stops reading for it.
const MAX_QUEUED_EVENTS: usize = 65_536;
/// The time between two looks whether a role has caught up.
const DEPTH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// What the link tells a role.
#[derive(Debug)]
pub enum LinkEvent {
    /// A peer's request on an exchange that the peer opened.
    Request {
        /// The exchange.
        inbound: InboundId,
        /// The request.
        envelope: Envelope<Request>,
    },
    /// The peer gave up the exchange, or its connection was lost.
    Abandoned {
        /// The exchange.
        inbound: InboundId,
    },
    /// A reply on an exchange that the role opened.
    Reply {
        /// The exchange.
        exchange: ExchangeId,
        /// The reply.
        envelope: Envelope<Reply>,
    },
    /// An exchange that the role opened has ended.
    Closed {
        /// The exchange.
        exchange: ExchangeId,
        /// Why it ended before the last reply.
        failure: Option<LinkFailure>,
    },
}

/// What a role asks of the link.
#[derive(Debug)]
pub enum LinkAction {
    /// Open an exchange.
    Open {
        /// The role's number.
        owner: u64,
        /// The exchange.
        exchange: ExchangeId,
        /// The peer.
        peer: SocketAddr,
        /// The first request.
        envelope: Envelope<Request>,
    },
    /// Send one more request.
    Send {
        /// The role's number.
        owner: u64,
        /// The exchange.
        exchange: ExchangeId,
        /// The request.
        envelope: Envelope<Request>,
    },
    /// Cancel an exchange.
    Reset {
        /// The role's number.
        owner: u64,
        /// The exchange.
        exchange: ExchangeId,
    },
    /// Use a fresh connection from now on.
    Redial {
        /// The peer.
        peer: SocketAddr,
    },
    /// Reply to a peer.
    Reply {
        /// The exchange.
        inbound: InboundId,
        /// The reply.
        envelope: Envelope<Reply>,
        /// Whether it is the last one.
        last: bool,
    },
    /// Wait until the last replies have arrived, then close all connections.
    Shutdown {
        /// Whether exchanges without a reply were never started, which peers are told.
        unstarted: bool,
        /// Told when the connections are closed.
        done: std::sync::mpsc::Sender<()>,
    },
}

/// Takes what the link has for one role.
pub trait Sink: Send + Sync {
    /// Takes one event without blocking.
    fn deliver(&self, event: LinkEvent);

    /// Returns how many events wait.
    fn depth(&self) -> usize {
        0
    }
}

/// Holds back a stream, and so its peer, while a role is far behind.
async fn wait_for_capacity(sink: &dyn Sink) {
    while sink.depth() >= MAX_QUEUED_EVENTS {
        tokio::time::sleep(DEPTH_POLL_INTERVAL).await;
    }
}
