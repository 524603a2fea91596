//! Tasks that each run one exchange opened by this process.

use std::sync::Arc;

use quinn::{
    Connection, ConnectionError, ReadError, ReadExactError, RecvStream, SendStream, VarInt,
};
use tokio::sync::mpsc::UnboundedReceiver;

use super::dialer::Dialled;
use super::inbound::FORBIDDEN;
use super::message::{Envelope, Reply, Request};
use super::{LinkEvent, Sink, frame, wait_for_capacity};
use crate::model::ExchangeId;
use crate::role::LinkFailure;

/// The reset code of a stream that was cancelled.
pub const CANCELLED: VarInt = VarInt::from_u32(1);
/// The close code of a process that never started the requests that it did not answer.
pub const UNSTARTED: VarInt = VarInt::from_u32(2);

/// A command of a role for an exchange that it opened.
pub enum Outgoing {
    /// Send a request.
    Request(Box<Envelope<Request>>),
    /// Cancel the exchange.
    Reset,
}

/// A reply that is to be written to an exchange that a peer opened.
pub struct QueuedReply {
    /// The reply; boxed because queues allocate space for many of them in advance.
    pub envelope: Box<Envelope<Reply>>,
    /// Whether it is the last reply on the exchange.
    pub last: bool,
    /// Counts the reply as in flight until it is dropped.
    pub pending: Arc<()>,
}

/// Runs an exchange that this process opened, from the first request to its end.
pub async fn run_exchange(
    dialled: Arc<Dialled>,
    exchange: ExchangeId,
    outgoing: UnboundedReceiver<Outgoing>,
    sink: Arc<dyn Sink>,
) {
    let connection = &dialled.connection;
    let Ok((send, recv)) = connection.open_bi().await else {
        let failure = Some(LinkFailure::NotSent);
        sink.deliver(LinkEvent::Closed { exchange, failure });
        return;
    };
    let writer = tokio::spawn(write_requests(send, outgoing));
    let failure = read_replies(connection, recv, exchange, &sink).await;
    writer.abort();
    sink.deliver(LinkEvent::Closed { exchange, failure });
}

async fn write_requests(mut send: SendStream, mut outgoing: UnboundedReceiver<Outgoing>) {
    while let Some(message) = outgoing.recv().await {
        match message {
            Outgoing::Request(envelope) => {
                if frame::write(&mut send, &*envelope).await.is_err() {
                    return;
                }
            }
            Outgoing::Reset => {
                let _ = send.reset(CANCELLED);
                return;
            }
        }
    }
}

async fn read_replies(
    connection: &Connection,
    mut recv: RecvStream,
    exchange: ExchangeId,
    sink: &Arc<dyn Sink>,
) -> Option<LinkFailure> {
    let mut answered = false;
    loop {
        match frame::read(&mut recv).await {
            Ok(Some(envelope)) => {
                answered = true;
                wait_for_capacity(&**sink).await;
                sink.deliver(LinkEvent::Reply { exchange, envelope });
            }
            Ok(None) => return None,
            Err(_) if !answered && is_unstarted(connection) => return Some(LinkFailure::NotSent),
            Err(error) if is_forbidden(&error) => return Some(LinkFailure::Forbidden),
            Err(_) => return Some(LinkFailure::Broken),
        }
    }
}

/// Returns whether the peer refused the request because of this process's certificate.
fn is_forbidden(error: &eyre::Report) -> bool {
    matches!(
        error.downcast_ref::<ReadExactError>(),
        Some(ReadExactError::ReadError(ReadError::Reset(code))) if *code == FORBIDDEN
    )
}

/// Returns whether the peer closed the connection with [`UNSTARTED`].
fn is_unstarted(connection: &Connection) -> bool {
    matches!(
        connection.close_reason(),
        Some(ConnectionError::ApplicationClosed(close)) if close.error_code == UNSTARTED
    )
}
