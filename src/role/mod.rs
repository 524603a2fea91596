//! The interface of all roles: one step function, called by a driver.

mod driver;

use std::net::SocketAddr;

pub use driver::{Adapter, Driver, DriverHandle, Event};

use crate::link::LinkAction;
use crate::link::message::{Envelope, Reply, Request};
use crate::model::{ExchangeId, InboundId, Timestamp};
use crate::report::observation::Observation;

/// A role as a state machine that uses no clock, socket, thread, file or source of randomness.
pub trait Role {
    /// Inputs that don't arrive over the link: from callers, an engine or a disk.
    type Local;
    /// Requests of the role to its callers, engine or disk, which an [`Adapter`] executes.
    type Effect;

    /// Processes one input at the present time and returns the resulting outputs in order.
    fn step(&mut self, now: Timestamp, input: Input<Self::Local>) -> Vec<Output<Self::Effect>>;

    /// Returns the next deadline, at which the role expects an [`Input::Wake`] unless another input
    /// is processed before.
    fn next_wake(&self) -> Option<Timestamp>;
}

/// Why an exchange ended before its last reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkFailure {
    /// The peer can't have started the request: no connection was established, or the peer closed
    /// it with the code for unstarted requests.
    NotSent,
    /// The peer does not allow this request for the certificate of this process.
    Forbidden,
    /// The connection or the stream failed after the peer may have received the request.
    Broken,
}

/// An input of a role.
#[derive(Debug)]
pub enum Input<L> {
    /// A peer opened an exchange, or sent one more request on an open one.
    Request {
        /// The exchange.
        inbound: InboundId,
        /// The request of the peer.
        envelope: Envelope<Request>,
    },
    /// The peer reset the exchange, or its connection was lost.
    Abandoned {
        /// The exchange, which is closed now and can't be replied on.
        inbound: InboundId,
    },
    /// A reply was received on an exchange that this role opened.
    Reply {
        /// The exchange.
        exchange: ExchangeId,
        /// The reply of the peer.
        envelope: Envelope<Reply>,
    },
    /// An exchange that this role opened has ended.
    Closed {
        /// The exchange.
        exchange: ExchangeId,
        /// Why it ended before the last reply, if it did.
        failure: Option<LinkFailure>,
    },
    /// A local input, from a caller, an engine or a disk.
    Local(L),
    /// The settings of this process name other control members than before.
    Members {
        /// The addresses, where control may be found; none of them has a vote for that.
        addresses: Vec<SocketAddr>,
    },
    /// The deadline of [`Role::next_wake`] has been reached, or the driver was idle for long.
    Wake,
    /// Refuse new work, finish the work in flight and then report [`Output::Stopped`].
    Shutdown {
        /// When the process was signalled.
        since: Timestamp,
    },
}

/// An output that is not for the link.
#[derive(Debug)]
pub enum LocalOutput<E> {
    /// Count an observation.
    Observe(Observation),
    /// Execute an effect with the role's [`Adapter`].
    Effect(E),
    /// The role has finished its shutdown.
    Stopped,
}

impl<E> Output<E> {
    /// Returns the action for the link, with the role's number `owner`, or else the local output.
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

/// An output of a role.
#[derive(Debug)]
pub enum Output<E> {
    /// Open an exchange with a first request.
    Open {
        /// The exchange, numbered by the role.
        exchange: ExchangeId,
        /// The address of the peer.
        peer: SocketAddr,
        /// The first request on the exchange.
        envelope: Envelope<Request>,
    },
    /// Send one more request on an exchange that this role opened.
    Send {
        /// The exchange.
        exchange: ExchangeId,
        /// The request to send.
        envelope: Envelope<Request>,
    },
    /// Cancel an exchange that this role opened; the role receives no more input about it.
    Reset {
        /// The exchange.
        exchange: ExchangeId,
    },
    /// Use a new connection for later exchanges with a peer whose reply is overdue.
    Redial {
        /// The address of the peer.
        peer: SocketAddr,
    },
    /// Reply on an exchange that a peer opened.
    Reply {
        /// The exchange.
        inbound: InboundId,
        /// The reply to send.
        envelope: Envelope<Reply>,
        /// Whether it is the last one, which closes the exchange.
        last: bool,
    },
    /// Count an observation of the role in the metrics.
    Observe(Observation),
    /// Execute an effect with the role's [`Adapter`].
    Effect(E),
    /// The role has finished its shutdown.
    Stopped,
}
