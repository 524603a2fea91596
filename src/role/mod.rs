//! What every role is: one step function that a driver feeds.

mod driver;

use std::net::SocketAddr;

pub use driver::{Adapter, Driver, DriverHandle, Event};

use crate::link::LinkAction;
use crate::link::message::{Envelope, Reply, Request};
use crate::model::{ExchangeId, InboundId, Timestamp};
use crate::report::observation::Observation;

/// A whole role as a state machine without clock, socket, thread, file or random source.
pub trait Role {
    /// What reaches the role from its own surroundings: callers, an engine, a disk.
    type Local;
    /// What the role asks of its own surroundings.
    type Effect;

    /// Takes one input at the present time and returns what is to be done about it.
    fn step(&mut self, now: Timestamp, input: Input<Self::Local>) -> Vec<Output<Self::Effect>>;

    /// Returns when the role wants an [`Input::Wake`] if nothing else happens before.
    fn next_wake(&self) -> Option<Timestamp>;
}

/// Why an exchange ended before its last reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFailure {
    /// No connection stood, so the peer can't have seen the request.
    NotSent,
    /// The peer does not take such a request from this process's certificate.
    Forbidden,
    /// The connection or the stream broke after the request may have been seen.
    Broken,
}

/// What a role is told.
#[derive(Debug)]
pub enum Input<L> {
    /// A peer opened an exchange, or sent one more request on an open one.
    Request {
        /// The exchange.
        inbound: InboundId,
        /// What the peer asks.
        envelope: Envelope<Request>,
    },
    /// The peer reset the exchange, or its connection was lost.
    Abandoned {
        /// The exchange, which is closed now.
        inbound: InboundId,
    },
    /// A reply came on an exchange that this role opened.
    Reply {
        /// The exchange.
        exchange: ExchangeId,
        /// What the peer says.
        envelope: Envelope<Reply>,
    },
    /// An exchange that this role opened has ended; `None` after the peer's last reply.
    Closed {
        /// The exchange.
        exchange: ExchangeId,
        /// Why it ended early.
        failure: Option<LinkFailure>,
    },
    /// Something happened in the role's own surroundings.
    Local(L),
    /// The time that [`Role::next_wake`] asked for has come.
    Wake,
    /// Finish what is in flight, take nothing new, then say [`Output::Stopped`].
    Shutdown,
}

/// What of an output is not for the link.
#[derive(Debug)]
pub enum LocalOutput<E> {
    /// Count something.
    Observe(Observation),
    /// Do something in the role's own surroundings.
    Effect(E),
    /// The role has finished its shutdown.
    Stopped,
}

impl<E> Output<E> {
    /// Returns what the link is to do for the role of a number, or what is not for the link.
    pub fn for_link(self, owner: u64) -> Result<LinkAction, LocalOutput<E>> {
        match self {
            Output::Open { exchange, peer, envelope } => {
                Ok(LinkAction::Open { owner, exchange, peer, envelope })
            }
            Output::Send { exchange, envelope } => {
                Ok(LinkAction::Send { owner, exchange, envelope })
            }
            Output::Reset { exchange } => Ok(LinkAction::Reset { owner, exchange }),
            Output::Redial { peer } => Ok(LinkAction::Redial { peer }),
            Output::Reply { inbound, envelope, last } => {
                Ok(LinkAction::Reply { inbound, envelope, last })
            }
            Output::Observe(observation) => Err(LocalOutput::Observe(observation)),
            Output::Effect(effect) => Err(LocalOutput::Effect(effect)),
            Output::Stopped => Err(LocalOutput::Stopped),
        }
    }
}

/// What a role wants done.
#[derive(Debug)]
pub enum Output<E> {
    /// Open an exchange with a first request.
    Open {
        /// The exchange, numbered by the role.
        exchange: ExchangeId,
        /// The address of the peer.
        peer: SocketAddr,
        /// The first request.
        envelope: Envelope<Request>,
    },
    /// Send one more request on an exchange that this role opened.
    Send {
        /// The exchange.
        exchange: ExchangeId,
        /// The request.
        envelope: Envelope<Request>,
    },
    /// Cancel an exchange that this role opened; nothing more is heard of it.
    Reset {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// Use a fresh connection for later exchanges with a peer that is overdue.
    Redial {
        /// The address of the peer.
        peer: SocketAddr,
    },
    /// Reply on an exchange that a peer opened.
    Reply {
        /// The exchange.
        inbound: InboundId,
        /// The reply.
        envelope: Envelope<Reply>,
        /// Whether it is the last one, which closes the exchange.
        last: bool,
    },
    /// Count something that the role has observed.
    Observe(Observation),
    /// Do something in the role's own surroundings.
    Effect(E),
    /// The role has finished its shutdown.
    Stopped,
}
