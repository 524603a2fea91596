//! The thread that owns the QUIC endpoint.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::WrapErr;
use quinn::{Connection, Endpoint, Incoming, TransportConfig, VarInt};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::exchange::{self, Answer, Outgoing};
use super::message::Request;
use super::tls::Identity;
use super::{LinkAction, LinkEvent, Sink};
use crate::model::{ExchangeId, InboundId};
use crate::role::LinkFailure;

/// How long a connection may take to stand.
const DIAL_TIMEOUT: Duration = Duration::from_millis(700);
/// The round trip that is assumed before one was seen.
const INITIAL_RTT: Duration = Duration::from_millis(50);
/// How often a quiet connection is kept alive.
const KEEP_ALIVE: Duration = Duration::from_millis(500);
/// How long a connection may be silent before it is lost.
const IDLE_TIMEOUT_MS: u32 = 2_000;
/// How long a process that leaves waits until its last replies have arrived.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a process that leaves waits until its peers know.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);
/// The time between two looks whether the last replies have arrived.
const FLUSH_POLL: Duration = Duration::from_millis(5);
/// Holders of the count of replies under way when there are none: the loop and the leaving task.
const SHARES_WHEN_IDLE: usize = 2;
/// Exchanges that a peer may have open on one connection.
const MAX_EXCHANGES: u32 = 16_384;

/// Says which role of this process takes a request.
pub type Route = Arc<dyn Fn(&Request) -> Option<Arc<dyn Sink>> + Send + Sync>;

type Owners = Arc<Mutex<BTreeMap<u64, Arc<dyn Sink>>>>;
type Opened = BTreeMap<(u64, ExchangeId), UnboundedSender<Outgoing>>;
type Inbound = Arc<Mutex<BTreeMap<InboundId, UnboundedSender<Answer>>>>;

/// Gives actions to the link's thread.
#[derive(Clone)]
pub struct LinkHandle {
    queue: UnboundedSender<LinkAction>,
    owners: Owners,
    next_owner: Arc<AtomicU64>,
}

impl LinkHandle {
    /// Registers a role and returns its number.
    pub fn register(&self, sink: Arc<dyn Sink>) -> u64 {
        let owner = self.next_owner.fetch_add(1, Ordering::SeqCst);
        self.owners.lock().unwrap_or_else(PoisonError::into_inner).insert(owner, sink);
        owner
    }

    /// Waits until the last replies have arrived, then closes all connections.
    ///
    /// The roles must have stopped. `unstarted` says that what they did not answer was never
    /// started.
    pub fn leave(&self, unstarted: bool) {
        let (done, closed) = std::sync::mpsc::channel();
        self.act(LinkAction::Leave { unstarted, done });
        let _ = closed.recv_timeout(FLUSH_TIMEOUT + CLOSE_TIMEOUT);
    }

    /// Queues one action.
    pub fn act(&self, action: LinkAction) {
        let _ = self.queue.send(action);
    }
}

/// The link of a process before its thread starts.
pub struct Link {
    endpoint: std::net::UdpSocket,
    identity: Identity,
    queue: UnboundedReceiver<LinkAction>,
    handle: LinkHandle,
}

impl Link {
    /// Binds the address.
    pub fn bind(listen: SocketAddr, identity: Identity) -> eyre::Result<Link> {
        let endpoint = std::net::UdpSocket::bind(listen)
            .wrap_err_with(|| format!("bind UDP address {listen}"))?;
        let (sender, queue) = unbounded_channel();
        let handle = LinkHandle {
            queue: sender,
            owners: Owners::default(),
            next_owner: Arc::new(AtomicU64::new(0)),
        };
        Ok(Link { endpoint, identity, queue, handle })
    }

    /// Returns the address that was bound.
    pub fn local_addr(&self) -> eyre::Result<SocketAddr> {
        self.endpoint.local_addr().wrap_err("read the bound address")
    }

    /// Returns a handle for drivers.
    pub fn handle(&self) -> LinkHandle {
        self.handle.clone()
    }

    /// Starts the thread.
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
    config.keep_alive_interval(Some(KEEP_ALIVE));
    config.max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()));
    config.max_concurrent_bidi_streams(VarInt::from_u32(MAX_EXCHANGES));
    config.max_concurrent_uni_streams(VarInt::from_u32(0));
    Arc::new(config)
}

async fn run(mut link: Link, route: Route) -> eyre::Result<()> {
    let mut server = link.identity.server()?;
    server.transport_config(transport());
    let mut client = link.identity.client()?;
    client.transport_config(transport());
    let runtime = Arc::new(quinn::TokioRuntime);
    let mut endpoint =
        Endpoint::new(quinn::EndpointConfig::default(), Some(server), link.endpoint, runtime)
            .wrap_err("open QUIC endpoint")?;
    endpoint.set_default_client_config(client);

    let inbound = Inbound::default();
    let ids = Arc::new(AtomicU64::new(1));
    let dialer = Dialer { endpoint: endpoint.clone(), cached: Arc::default() };
    let mut opened = Opened::new();
    let pending = Arc::new(());
    loop {
        tokio::select! {
            incoming = endpoint.accept() => {
                let Some(incoming) = incoming else { break };
                tokio::spawn(accept(incoming, inbound.clone(), ids.clone(), route.clone()));
            }
            action = link.queue.recv() => {
                match action {
                    None => break,
                    Some(LinkAction::Leave { unstarted, done }) => {
                        tokio::spawn(leave(endpoint.clone(), pending.clone(), unstarted, done));
                    }
                    Some(action) => {
                        act(action, &dialer, &mut opened, &inbound, &link.handle.owners, &pending);
                    }
                }
            }
        }
    }
    // The task that leaves must see the close through.
    endpoint.wait_idle().await;
    Ok(())
}

fn act(
    action: LinkAction,
    dialer: &Dialer,
    opened: &mut Opened,
    inbound: &Inbound,
    owners: &Owners,
    pending: &Arc<()>,
) {
    match action {
        LinkAction::Open { owner, exchange, peer, envelope } => {
            let sink = owners.lock().unwrap_or_else(PoisonError::into_inner).get(&owner).cloned();
            let Some(sink) = sink else { return };
            let (sender, orders) = unbounded_channel();
            let _ = sender.send(Outgoing::Request(Box::new(envelope)));
            opened.retain(|_, s| !s.is_closed());
            opened.insert((owner, exchange), sender);
            tokio::spawn(open(dialer.clone(), peer, exchange, orders, sink));
        }
        LinkAction::Send { owner, exchange, envelope } => {
            if let Some(sender) = opened.get(&(owner, exchange)) {
                let _ = sender.send(Outgoing::Request(Box::new(envelope)));
            }
        }
        LinkAction::Reset { owner, exchange } => {
            if let Some(sender) = opened.remove(&(owner, exchange)) {
                let _ = sender.send(Outgoing::Reset);
            }
        }
        LinkAction::Redial { peer } => dialer.forget(peer),
        LinkAction::Leave { .. } => {}
        LinkAction::Reply { inbound: id, envelope, last } => {
            let mut map = inbound.lock().unwrap_or_else(PoisonError::into_inner);
            if let Some(sender) = map.get(&id) {
                let _ = sender.send(Answer { envelope, last, pending: pending.clone() });
            }
            if last {
                map.remove(&id);
            }
        }
    }
}

/// Closes the endpoint once no reply is under way; each reply holds a share of `pending`.
async fn leave(
    endpoint: Endpoint,
    pending: Arc<()>,
    unstarted: bool,
    done: std::sync::mpsc::Sender<()>,
) {
    let flushed = tokio::time::timeout(FLUSH_TIMEOUT, async {
        while Arc::strong_count(&pending) > SHARES_WHEN_IDLE {
            tokio::time::sleep(FLUSH_POLL).await;
        }
    })
    .await
    .is_ok();
    if !flushed {
        log::warn!("step=leave error=\"some last replies were not acknowledged\"");
    }
    let code = if unstarted && flushed { exchange::UNSTARTED } else { VarInt::from_u32(0) };
    endpoint.close(code, b"leaving");
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, endpoint.wait_idle()).await;
    let _ = done.send(());
}

async fn open(
    dialer: Dialer,
    peer: SocketAddr,
    exchange: ExchangeId,
    orders: UnboundedReceiver<Outgoing>,
    sink: Arc<dyn Sink>,
) {
    match dialer.connection(peer).await {
        Ok(connection) => exchange::carry_opened(connection, exchange, orders, sink).await,
        Err(error) => {
            log::debug!("step=dial peer={peer} error={error:#}");
            let failure = Some(LinkFailure::NotSent);
            sink.deliver(LinkEvent::Closed { exchange, failure });
        }
    }
}

async fn accept(incoming: Incoming, inbound: Inbound, ids: Arc<AtomicU64>, route: Route) {
    let peer = incoming.remote_address();
    let connection = match incoming.await {
        Ok(connection) => connection,
        Err(error) => {
            log::warn!("step=accept peer={peer} error={error}");
            return;
        }
    };
    while let Ok((send, recv)) = connection.accept_bi().await {
        let id = InboundId(ids.fetch_add(1, Ordering::SeqCst));
        let (sender, answers) = unbounded_channel();
        inbound.lock().unwrap_or_else(PoisonError::into_inner).insert(id, sender);
        let done = Arc::new(AtomicBool::new(false));
        tokio::spawn(exchange::write_replies(send, answers, done.clone()));
        let (inbound, route) = (inbound.clone(), route.clone());
        tokio::spawn(async move {
            exchange::read_requests(recv, id, done, |r| route(r)).await;
            inbound.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
        });
    }
}

/// Keeps one connection for each peer.
#[derive(Clone)]
struct Dialer {
    endpoint: Endpoint,
    cached: Arc<Mutex<BTreeMap<SocketAddr, Connection>>>,
}

impl Dialer {
    async fn connection(&self, peer: SocketAddr) -> eyre::Result<Connection> {
        let cached = self.lock().get(&peer).cloned();
        if let Some(connection) = cached.filter(|c| c.close_reason().is_none()) {
            return Ok(connection);
        }
        let dialing = self.endpoint.connect(peer, super::tls::SERVER_NAME).wrap_err("dial")?;
        let connection = tokio::time::timeout(DIAL_TIMEOUT, dialing)
            .await
            .wrap_err("dial timed out")?
            .wrap_err("handshake")?;
        self.lock().insert(peer, connection.clone());
        Ok(connection)
    }

    fn forget(&self, peer: SocketAddr) {
        self.lock().remove(&peer);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, BTreeMap<SocketAddr, Connection>> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
