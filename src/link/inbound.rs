//! Connections and exchanges that peers open.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use quinn::{Connection, Incoming, RecvStream, SendStream, VarInt};
use tokio::sync::mpsc::{Receiver, Sender, channel};
use tokio::sync::oneshot;

use super::exchange::{self, CANCELLED};
use super::message::{Envelope, Request};
use super::permit::{PeerKind, is_allowed};
use super::{LinkEvent, Route, Sink, frame, tls, wait_for_capacity};
use crate::model::InboundId;

/// Initial limit of exchanges that a peer may have open on one connection. Memory for each is
/// allocated in advance, so the limit grows with the number in use.
pub const INITIAL_EXCHANGES: u32 = 64;
/// The most exchanges that a peer may have open on one connection.
const MAX_EXCHANGES: u32 = 16_384;
/// The most connections that peers may have open at once.
const MAX_CONNECTIONS: usize = 8_192;
/// The most replies queued for a peer on one exchange before the exchange is cancelled.
const MAX_QUEUED_REPLIES: usize = 1_024;
/// The close code of a connection whose certificate is neither a process's nor an operator's.
const UNKNOWN_KIND: VarInt = VarInt::from_u32(4);
/// The reset code of an exchange whose request the peer's certificate does not allow.
pub const FORBIDDEN: VarInt = VarInt::from_u32(5);

/// The most handshakes in progress at which the next one is begun with any address.
const MAX_UNPROVEN: usize = 32;
/// The most handshakes in progress; all processes of a large site may begin at once.
const MAX_HANDSHAKES: usize = 256;

/// What happens to a handshake that a peer begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It goes on.
    Begin,
    /// The peer has to prove first that it receives at its address; no memory is held until then.
    Validate,
    /// It gets no answer; the peer sends it again.
    Ignore,
}

/// Decides on a handshake by the number of those in progress, and whether the peer has proved its
/// address.
///
/// Load: strangers that begin handshakes and never go on, most with addresses of others; each
/// handshake takes up some 50 kB until its timeout.
///
/// ```
/// use dotterelpin::link::{Admission, admit};
///
/// assert_eq!(admit(0, false), Admission::Begin);
/// assert_eq!(admit(40, false), Admission::Validate);
/// assert_eq!(admit(40, true), Admission::Begin);
/// assert_eq!(admit(400, true), Admission::Ignore);
/// ```
pub fn admit(pending: usize, proven: bool) -> Admission {
    match pending {
        _ if pending >= MAX_HANDSHAKES => Admission::Ignore,
        _ if pending >= MAX_UNPROVEN && !proven => Admission::Validate,
        _ => Admission::Begin,
    }
}

/// A reply that is to be written to an exchange that a peer opened.
pub use exchange::QueuedReply;

/// An exchange that a peer opened.
struct OpenExchange {
    replies: Sender<QueuedReply>,
    /// Stops the task that reads the requests; None once used.
    cancel: Option<oneshot::Sender<()>>,
}

/// The exchanges that peers have open.
#[derive(Clone)]
pub struct Inbound {
    open: Arc<Mutex<BTreeMap<InboundId, OpenExchange>>>,
    connections: Arc<AtomicUsize>,
    /// The number of handshakes in progress.
    handshakes: Arc<AtomicUsize>,
    /// How many handshakes were not begun at once.
    deferred: Arc<AtomicU64>,
    last: Arc<AtomicU64>,
    route: Route,
}

impl Inbound {
    /// Creates an empty table that dispatches requests by `route`, and counts handshakes that are not
    /// begun at once.
    pub fn new(route: Route, deferred: Arc<AtomicU64>) -> Inbound {
        Inbound {
            open: Arc::default(),
            connections: Arc::default(),
            handshakes: Arc::default(),
            deferred,
            last: Arc::default(),
            route,
        }
    }

    /// Queues a reply; the exchange of a peer that reads too slowly is cancelled.
    pub fn reply(&self, id: InboundId, reply: QueuedReply) {
        let mut open = self.lock();
        let Some(exchange) = open.get_mut(&id) else { return };
        let last = reply.last;
        let full = exchange.replies.try_send(reply).is_err();
        if full && let Some(cancel) = exchange.cancel.take() {
            log::warn!("step=reply exchange={id:?} error=\"the peer reads too slowly\"");
            let _ = cancel.send(());
        }
        if last || full {
            open.remove(&id);
        }
    }

    /// Accepts a connection and serves its exchanges until it ends.
    pub async fn accept(self, incoming: Incoming) {
        let peer = incoming.remote_address();
        if self.connections.load(Ordering::SeqCst) >= MAX_CONNECTIONS {
            log::warn!(
                "step=accept peer={peer} error=\"all {MAX_CONNECTIONS} connections are in use\""
            );
            incoming.refuse();
            return;
        }
        let pending = self.handshakes.load(Ordering::SeqCst);
        match admit(pending, incoming.remote_address_validated()) {
            Admission::Begin => {}
            Admission::Validate => {
                self.deferred.fetch_add(1, Ordering::Relaxed);
                if let Err(error) = incoming.retry() {
                    log::debug!("step=accept peer={peer} error=\"{error}\"");
                }
                return;
            }
            Admission::Ignore => {
                self.deferred.fetch_add(1, Ordering::Relaxed);
                incoming.ignore();
                return;
            }
        }
        self.connections.fetch_add(1, Ordering::SeqCst);
        self.handshakes.fetch_add(1, Ordering::SeqCst);
        let shaken = incoming.await;
        self.handshakes.fetch_sub(1, Ordering::SeqCst);
        match shaken {
            Ok(connection) => self.serve(peer, connection).await,
            Err(error) => log::warn!("step=accept peer={peer} error=\"{error}\""),
        }
        self.connections.fetch_sub(1, Ordering::SeqCst);
    }

    async fn serve(&self, peer: SocketAddr, connection: Connection) {
        let Some(kind) = tls::peer_kind(&connection) else {
            log::warn!("step=accept peer={peer} error=\"unknown kind of certificate\"");
            connection.close(UNKNOWN_KIND, b"unknown kind of certificate");
            return;
        };
        let open = Arc::new(());
        let mut bound = INITIAL_EXCHANGES;
        while let Ok((send, recv)) = connection.accept_bi().await {
            self.add_exchange(peer, kind, open.clone(), send, recv);
            if bound < MAX_EXCHANGES && Arc::strong_count(&open) as u32 > bound / 2 {
                bound *= 2;
                connection.set_max_concurrent_bi_streams(VarInt::from_u32(bound));
            }
        }
    }

    /// Starts the tasks of an exchange, which holds its reference to `open` until its last request
    /// is read.
    fn add_exchange(
        &self,
        peer: SocketAddr,
        kind: PeerKind,
        open: Arc<()>,
        send: SendStream,
        recv: RecvStream,
    ) {
        let id = InboundId(self.last.fetch_add(1, Ordering::SeqCst) + 1);
        let (replies, queued) = channel(MAX_QUEUED_REPLIES);
        let (cancel, cancelled) = oneshot::channel();
        self.lock().insert(id, OpenExchange { replies, cancel: Some(cancel) });
        let done = Arc::new(AtomicBool::new(false));
        let forbidden = Arc::new(AtomicBool::new(false));
        tokio::spawn(write_replies(send, queued, done.clone(), forbidden.clone()));
        let reader = Reader { id, peer, kind, route: self.route.clone(), forbidden };
        let table = self.clone();
        tokio::spawn(async move {
            let owner = reader.read(recv, cancelled).await;
            std::mem::drop(open);
            table.lock().remove(&id);
            if let Some(sink) = owner.filter(|_| !done.load(Ordering::SeqCst)) {
                sink.deliver(LinkEvent::Abandoned { inbound: id });
            }
        });
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<InboundId, OpenExchange>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Reads the requests of one exchange.
struct Reader {
    id: InboundId,
    peer: SocketAddr,
    kind: PeerKind,
    route: Route,
    forbidden: Arc<AtomicBool>,
}

impl Reader {
    /// Reads until the exchange ends, and returns the role that received its requests.
    async fn read(
        self,
        mut recv: RecvStream,
        mut cancelled: oneshot::Receiver<()>,
    ) -> Option<Arc<dyn Sink>> {
        let mut owner = None;
        loop {
            let read = tokio::select! {
                read = frame::read::<Envelope<Request>>(&mut recv) => read,
                Ok(()) = &mut cancelled => return owner,
            };
            let envelope = match read {
                Ok(Some(envelope)) => envelope,
                Ok(None) => return owner,
                Err(error) => {
                    log::debug!("step=read peer={} error=\"{error:#}\"", self.peer);
                    return owner;
                }
            };
            if !is_allowed(self.kind, &envelope.body) {
                let (peer, kind) = (self.peer, self.kind);
                log::warn!(
                    "step=permit peer={peer} kind={kind:?} error=\"not allowed by certificate\""
                );
                self.forbidden.store(true, Ordering::SeqCst);
                return owner;
            }
            let sink = (self.route)(&envelope.body)?;
            wait_for_capacity(&*sink).await;
            sink.deliver(LinkEvent::Request { inbound: self.id, envelope });
            owner = Some(sink);
        }
    }
}

/// Writes the replies of one exchange.
async fn write_replies(
    mut send: SendStream,
    mut replies: Receiver<QueuedReply>,
    done: Arc<AtomicBool>,
    forbidden: Arc<AtomicBool>,
) {
    while let Some(QueuedReply { envelope, last, pending }) = replies.recv().await {
        if last {
            done.store(true, Ordering::SeqCst);
        }
        if frame::write(&mut send, &*envelope).await.is_err() {
            return;
        }
        if last {
            let _ = send.finish();
            let _ = send.stopped().await;
            drop(pending);
            return;
        }
    }
    let code = if forbidden.load(Ordering::SeqCst) { FORBIDDEN } else { CANCELLED };
    let _ = send.reset(code);
}
