//! Tasks that carry single exchanges.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use quinn::{Connection, RecvStream, SendStream, VarInt};
use tokio::sync::mpsc::UnboundedReceiver;

use super::message::{Envelope, Reply, Request};
use super::{LinkEvent, Sink, frame};
use crate::model::{ExchangeId, InboundId};
use crate::role::LinkFailure;

/// The code on a stream that its opener cancelled.
const CANCELLED: VarInt = VarInt::from_u32(1);

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
    let failure = read_replies(recv, exchange, &sink).await;
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
    mut recv: RecvStream,
    exchange: ExchangeId,
    sink: &Arc<dyn Sink>,
) -> Option<LinkFailure> {
    loop {
        match frame::read(&mut recv).await {
            Ok(Some(envelope)) => sink.deliver(LinkEvent::Reply { exchange, envelope }),
            Ok(None) => return None,
            Err(_) => return Some(LinkFailure::Broken),
        }
    }
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
    while let Some(answer) = answers.recv().await {
        if answer.last {
            done.store(true, Ordering::SeqCst);
        }
        if frame::write(&mut send, &answer.envelope).await.is_err() {
            return;
        }
        if answer.last {
            let _ = send.finish();
            let _ = send.stopped().await;
            return;
        }
    }
    let _ = send.reset(CANCELLED);
}
