//! The link's thread, which owns the QUIC socket and runs the exchanges.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::WrapErr;
use quinn::{Endpoint, TransportConfig, VarInt};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::Instant;

use super::dialer::Dialer;
use super::exchange::{self, Outgoing, QueuedReply};
use super::inbound::{INITIAL_EXCHANGES, Inbound};
use super::message::Request;
use super::tls::Identity;
use super::{LinkAction, LinkEvent, Sink};
use crate::model::ExchangeId;
use crate::role::LinkFailure;

/// The round-trip time assumed until one is measured.
const INITIAL_RTT: Duration = Duration::from_millis(50);
/// How often keep-alive packets are sent on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);
/// How long a connection may be silent before it counts as lost, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 1_500;
/// How long a shutdown waits until the peers have acknowledged the last replies.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a shutdown waits until the last requests are answered.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a shutdown waits until the peers have acknowledged the close.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The part of the time for a shutdown that is kept for the close: one in so many.
const CLOSE_SHARE: u32 = 5;
/// How often a shutdown checks whether replies or requests are still in flight.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// References to [`LinkLoop::pending`] when no reply is in flight: those of the link's loop and of
/// the shutdown task.
const IDLE_PENDING_REFS: usize = 2;
/// Bytes that a peer may send on one connection ahead of what is read.
const RECEIVE_WINDOW_BYTES: u32 = 16 << 20;
/// Returns the role of this process that handles a request, or None if there is none.
pub type Route = Arc<dyn Fn(&Request) -> Option<Arc<dyn Sink>> + Send + Sync>;

type Owners = Arc<Mutex<BTreeMap<u64, Arc<dyn Sink>>>>;

/// The exchanges that this process has open.
#[derive(Clone, Default)]
struct OpenExchanges(Arc<Mutex<ExchangeSenders>>);

type ExchangeSenders = BTreeMap<(u64, ExchangeId), UnboundedSender<Outgoing>>;

impl OpenExchanges {
    fn insert(&self, key: (u64, ExchangeId), sender: UnboundedSender<Outgoing>) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).insert(key, sender);
    }

    fn send(&self, key: (u64, ExchangeId), message: Outgoing) {
        if let Some(sender) = self.0.lock().unwrap_or_else(PoisonError::into_inner).get(&key) {
            let _ = sender.send(message);
        }
    }

    fn is_empty(&self) -> bool {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).is_empty()
    }

    fn remove(&self, key: (u64, ExchangeId)) -> Option<UnboundedSender<Outgoing>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).remove(&key)
    }
}

/// Sends actions to the link's thread.
#[derive(Clone)]
pub struct LinkHandle {
    queue: UnboundedSender<LinkAction>,
    owners: Owners,
    next_owner: Arc<AtomicU64>,
    deferred: Arc<AtomicU64>,
}

impl LinkHandle {
    /// Registers the receiver of a role's events and returns the role's number.
    pub fn register(&self, sink: Arc<dyn Sink>) -> u64 {
        let owner = self.next_owner.fetch_add(1, Ordering::SeqCst);
        self.owners.lock().unwrap_or_else(PoisonError::into_inner).insert(owner, sink);
        owner
    }

    /// Waits until the last replies have arrived, then closes all connections; takes no longer than
    /// `left`.
    ///
    /// The roles must have stopped. `unstarted` means that requests without a reply were never
    /// started.
    pub fn shutdown(&self, unstarted: bool, left: Duration) {
        let left = left.min(FLUSH_TIMEOUT + REQUEST_TIMEOUT + CLOSE_TIMEOUT);
        let (done, closed) = std::sync::mpsc::channel();
        self.act(LinkAction::Shutdown { unstarted, left, done });
        let _ = closed.recv_timeout(left);
    }

    /// Returns how many handshakes of peers were not begun at once.
    pub fn deferred_handshakes(&self) -> u64 {
        self.deferred.load(Ordering::Relaxed)
    }

    /// Queues one action; it is ignored once the thread has ended.
    pub fn act(&self, action: LinkAction) {
        let _ = self.queue.send(action);
    }
}

/// The link of a process before its thread starts.
pub struct Link {
    socket: std::net::UdpSocket,
    identity: Identity,
    queue: UnboundedReceiver<LinkAction>,
    handle: LinkHandle,
}

impl Link {
    /// Binds the UDP address.
    pub fn bind(listen: SocketAddr, identity: Identity) -> eyre::Result<Link> {
        let socket = std::net::UdpSocket::bind(listen)
            .wrap_err_with(|| format!("step=listen --listen: UDP address {listen}"))?;
        let (sender, queue) = unbounded_channel();
        let handle = LinkHandle {
            queue: sender,
            owners: Owners::default(),
            next_owner: Arc::new(AtomicU64::new(0)),
            deferred: Arc::default(),
        };
        Ok(Link { socket, identity, queue, handle })
    }

    /// Returns the address that was bound.
    pub fn local_addr(&self) -> eyre::Result<SocketAddr> {
        self.socket.local_addr().wrap_err("read the bound UDP address")
    }

    /// Returns a handle for the drivers of the roles.
    pub fn handle(&self) -> LinkHandle {
        self.handle.clone()
    }

    /// Starts the link's thread.
    pub fn start(self, route: Route) -> eyre::Result<()> {
        let run = move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            match runtime {
                Ok(runtime) => {
                    if let Err(error) = runtime.block_on(run(self, route)) {
                        log::error!("step=link error={error:#}");
                    }
                }
                Err(error) => log::error!("step=link-runtime error={error}"),
            }
        };
        std::thread::Builder::new().name("link".into()).spawn(run).wrap_err("start link thread")?;
        Ok(())
    }
}

fn transport() -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    config.initial_rtt(INITIAL_RTT);
    config.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    config.max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()));
    config.max_concurrent_bidi_streams(VarInt::from_u32(INITIAL_EXCHANGES));
    config.receive_window(VarInt::from_u32(RECEIVE_WINDOW_BYTES));
    config.max_concurrent_uni_streams(VarInt::from_u32(0));
    Arc::new(config)
}

async fn run(mut link: Link, route: Route) -> eyre::Result<()> {
    let mut server = link.identity.server_config()?;
    server.transport_config(transport());
    let mut client = link.identity.client_config()?;
    client.transport_config(transport());
    let local = link.local_addr()?.ip();
    let runtime = Arc::new(quinn::TokioRuntime);
    let endpoint =
        Endpoint::new(quinn::EndpointConfig::default(), Some(server), link.socket, runtime)
            .wrap_err("open QUIC endpoint")?;
    let state = LinkLoop {
        inbound: Inbound::new(route, link.handle.deferred.clone()),
        dialer: Dialer::new(client, local),
        opened: OpenExchanges::default(),
        owners: link.handle.owners.clone(),
        pending: Arc::new(()),
    };
    loop {
        tokio::select! {
            incoming = endpoint.accept() => {
                let Some(incoming) = incoming else { break };
                tokio::spawn(state.inbound.clone().accept(incoming));
            }
            action = link.queue.recv() => {
                match action {
                    None => break,
                    Some(LinkAction::Shutdown { unstarted, left, done }) => {
                        let state = state.clone();
                        tokio::spawn(state.shutdown(endpoint.clone(), unstarted, left, done));
                    }
                    Some(action) => state.act(action),
                }
            }
        }
    }
    // The shutdown task runs on this runtime and must finish closing the connections.
    endpoint.wait_idle().await;
    Ok(())
}

/// The state of the link's thread, shared by its tasks.
#[derive(Clone)]
struct LinkLoop {
    inbound: Inbound,
    dialer: Dialer,
    opened: OpenExchanges,
    owners: Owners,
    /// Each reply in flight holds a reference.
    pending: Arc<()>,
}

impl LinkLoop {
    fn act(&self, action: LinkAction) {
        match action {
            LinkAction::Open { owner, exchange, peer, envelope } => {
                let owners = self.owners.lock().unwrap_or_else(PoisonError::into_inner);
                let Some(sink) = owners.get(&owner).cloned() else { return };
                let (sender, outgoing) = unbounded_channel();
                let _ = sender.send(Outgoing::Request(Box::new(envelope)));
                let key = (owner, exchange);
                self.opened.insert(key, sender);
                let (dialer, opened) = (self.dialer.clone(), self.opened.clone());
                tokio::spawn(async move {
                    open(dialer, peer, exchange, outgoing, sink).await;
                    opened.remove(key);
                });
            }
            LinkAction::Send { owner, exchange, envelope } => {
                let request = Outgoing::Request(Box::new(envelope));
                self.opened.send((owner, exchange), request);
            }
            LinkAction::Reset { owner, exchange } => {
                if let Some(sender) = self.opened.remove((owner, exchange)) {
                    let _ = sender.send(Outgoing::Reset);
                }
            }
            LinkAction::Redial { peer } => self.dialer.redial(peer),
            LinkAction::Shutdown { .. } => {}
            LinkAction::Reply { inbound, envelope, last } => {
                let envelope = Box::new(envelope);
                let reply = QueuedReply { envelope, last, pending: self.pending.clone() };
                self.inbound.reply(inbound, reply);
            }
        }
    }

    /// Closes all connections once no reply is in flight; the close gets a fifth of the time `left`
    /// at least.
    async fn shutdown(
        self,
        endpoint: Endpoint,
        unstarted: bool,
        left: Duration,
        done: std::sync::mpsc::Sender<()>,
    ) {
        let close_at = Instant::now() + (left - (left / CLOSE_SHARE).min(CLOSE_TIMEOUT));
        let replies = async {
            while Arc::strong_count(&self.pending) > IDLE_PENDING_REFS {
                tokio::time::sleep(FLUSH_POLL_INTERVAL).await;
            }
        };
        let until = close_at.min(Instant::now() + FLUSH_TIMEOUT);
        let flushed = tokio::time::timeout_at(until, replies).await.is_ok();
        if !flushed {
            log::warn!(
                "step=leave error=\"{} last replies were not acknowledged in time\"",
                Arc::strong_count(&self.pending).saturating_sub(IDLE_PENDING_REFS),
            );
        }
        let requests = async {
            while !self.opened.is_empty() {
                tokio::time::sleep(FLUSH_POLL_INTERVAL).await;
            }
        };
        let until = close_at.min(Instant::now() + REQUEST_TIMEOUT);
        let _ = tokio::time::timeout_at(until, requests).await;
        let code = if unstarted && flushed { exchange::UNSTARTED } else { VarInt::from_u32(0) };
        endpoint.close(code, b"leaving");
        self.dialer.close();
        let _ = tokio::time::timeout(CLOSE_TIMEOUT, endpoint.wait_idle()).await;
        let _ = done.send(());
    }
}

async fn open(
    dialer: Dialer,
    peer: SocketAddr,
    exchange: ExchangeId,
    outgoing: UnboundedReceiver<Outgoing>,
    sink: Arc<dyn Sink>,
) {
    match dialer.connection(peer).await {
        Ok(dialled) => exchange::run_exchange(dialled, exchange, outgoing, sink).await,
        Err(error) => {
            log::debug!("step=open peer={peer} error=\"{error:#}\"");
            let failure = Some(LinkFailure::NotSent);
            sink.deliver(LinkEvent::Closed { exchange, failure });
        }
    }
}
