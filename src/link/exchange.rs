//! Tasks that carry single exchanges.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use quinn::{Connection, ConnectionError, RecvStream, SendStream, VarInt};
use tokio::sync::mpsc::UnboundedReceiver;

use super::message::{Envelope, Reply, Request};
use super::{LinkEvent, Sink, frame};
use crate::model::{ExchangeId, InboundId};
use crate::role::LinkFailure;

/// The code on a stream that its opener cancelled.
const CANCELLED: VarInt = VarInt::from_u32(1);
/// The code on a connection whose peer never started the exchanges that it did not answer.
pub const UNSTARTED: VarInt = VarInt::from_u32(2);

/// What the opener of an exchange wants done with it.
pub enum Outgoing {
    /// Send a request.
    Request(Box<Envelope<Request>>),
    /// Cancel the exchange.
    Reset,
}

/// What is written to an exchange that a peer opened.
pub struct Answer {
    /// The reply.
    pub envelope: Envelope<Reply>,
    /// Whether it is the last one.
    pub last: bool,
    /// Shows for as long as it lives that the reply may not have arrived.
    pub pending: Arc<()>,
}

/// Carries an exchange that this process opened.
pub async fn carry_opened(
    connection: Connection,
    exchange: ExchangeId,
    orders: UnboundedReceiver<Outgoing>,
    sink: Arc<dyn Sink>,
) {
    let Ok((send, recv)) = connection.open_bi().await else {
        let failure = Some(LinkFailure::NotSent);
        sink.deliver(LinkEvent::Closed { exchange, failure });
        return;
    };
    let writer = tokio::spawn(write_requests(send, orders));
    let failure = read_replies(&connection, recv, exchange, &sink).await;
    writer.abort();
    sink.deliver(LinkEvent::Closed { exchange, failure });
}

async fn write_requests(mut send: SendStream, mut orders: UnboundedReceiver<Outgoing>) {
    while let Some(order) = orders.recv().await {
        match order {
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
                sink.deliver(LinkEvent::Reply { exchange, envelope });
            }
            Ok(None) => return None,
            Err(_) if !answered && is_unstarted(connection) => return Some(LinkFailure::NotSent),
            Err(_) => return Some(LinkFailure::Broken),
        }
    }
}

/// Returns whether the peer said at its end that it never started what it did not answer.
fn is_unstarted(connection: &Connection) -> bool {
    matches!(
        connection.close_reason(),
        Some(ConnectionError::ApplicationClosed(close)) if close.error_code == UNSTARTED
    )
}

/// Reads the requests of an exchange that a peer opened.
pub async fn read_requests(
    mut recv: RecvStream,
    inbound: InboundId,
    done: Arc<AtomicBool>,
    route: impl Fn(&Request) -> Option<Arc<dyn Sink>>,
) {
    let mut owner = None;
    while let Ok(Some(envelope)) = frame::read::<Envelope<Request>>(&mut recv).await {
        let Some(sink) = route(&envelope.body) else { break };
        sink.deliver(LinkEvent::Request { inbound, envelope });
        owner = Some(sink);
    }
    if let Some(sink) = owner.filter(|_| !done.load(Ordering::SeqCst)) {
        sink.deliver(LinkEvent::Abandoned { inbound });
    }
}

/// Writes the replies of an exchange that a peer opened.
pub async fn write_replies(
    mut send: SendStream,
    mut answers: UnboundedReceiver<Answer>,
    done: Arc<AtomicBool>,
) {
    while let Some(Answer { envelope, last, pending }) = answers.recv().await {
        if last {
            done.store(true, Ordering::SeqCst);
        }
        if frame::write(&mut send, &envelope).await.is_err() {
            return;
        }
        if last {
            let _ = send.finish();
            let _ = send.stopped().await;
            drop(pending);
            return;
        }
    }
    let _ = send.reset(CANCELLED);
}
