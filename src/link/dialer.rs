//! Connections that this process opens: one for each peer, and fresh ones past silent ones.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use eyre::{WrapErr, eyre};
use quinn::{ClientConfig, Connection, Endpoint, EndpointConfig, VarInt};
use tokio::sync::watch;

/// How long a connection may take to stand.
const DIAL_TIMEOUT: Duration = Duration::from_millis(700);
/// How long a connection must have stood before a fresh one may take its place.
const MIN_REDIAL_AGE: Duration = Duration::from_millis(300);
/// Connections to one peer that were replaced but still carry exchanges.
const MAX_RETIRED: usize = 4;
/// The code on a connection that was closed because fresh ones took its place.
const REPLACED: VarInt = VarInt::from_u32(3);

/// A connection that this process opened; it closes with its last exchange once it is replaced.
pub struct Dialled {
    /// The connection.
    pub connection: Connection,
    opened_at: Instant,
}

type Outcome = Option<Result<Arc<Dialled>, Box<str>>>;

/// A dial under way or done, shared by all exchanges that wait for it.
#[derive(Clone)]
struct Dial {
    number: u64,
    outcome: watch::Receiver<Outcome>,
}

/// What is known of one peer.
#[derive(Default)]
struct Peer {
    dial: Option<Dial>,
    retired: Vec<Weak<Dialled>>,
    failing: bool,
}

#[derive(Default)]
struct Peers {
    by_address: BTreeMap<SocketAddr, Peer>,
    dials: u64,
}

/// Keeps one connection for each peer.
#[derive(Clone)]
pub struct Dialer {
    config: ClientConfig,
    local: IpAddr,
    peers: Arc<Mutex<Peers>>,
}

impl Dialer {
    /// Makes a dialer whose connections come from an address of this process.
    pub fn new(config: ClientConfig, local: IpAddr) -> Dialer {
        Dialer { config, local, peers: Arc::default() }
    }

    /// Returns the connection to a peer, and dials if there is none.
    pub async fn connection(&self, peer: SocketAddr) -> eyre::Result<Arc<Dialled>> {
        let mut outcome = self.join(peer).outcome;
        let outcome = outcome.wait_for(Option::is_some).await.wrap_err("dial was dropped")?;
        match outcome.as_ref() {
            Some(Ok(dialled)) => Ok(dialled.clone()),
            Some(Err(error)) => Err(eyre!("{error}")),
            None => Err(eyre!("dial has no outcome")),
        }
    }

    /// Uses a fresh connection for later exchanges, if the present one is not fresh itself.
    pub fn redial(&self, peer: SocketAddr) {
        let mut peers = self.lock();
        let Some(known) = peers.by_address.get_mut(&peer) else { return };
        let Some(dialled) = known.dial.as_ref().and_then(Dial::established) else { return };
        if dialled.opened_at.elapsed() < MIN_REDIAL_AGE {
            return;
        }
        known.dial = None;
        known.retire(peer, &dialled);
    }

    /// Closes every connection.
    pub fn close(&self) {
        let peers = self.lock();
        for peer in peers.by_address.values() {
            let current = peer.dial.as_ref().and_then(Dial::established);
            let retired = peer.retired.iter().filter_map(Weak::upgrade);
            for dialled in retired.chain(current) {
                dialled.connection.close(VarInt::from_u32(0), b"leaving");
            }
        }
    }

    /// Joins the dial that stands or is under way, or starts one.
    fn join(&self, peer: SocketAddr) -> Dial {
        let mut peers = self.lock();
        let number = peers.dials + 1;
        let known = peers.by_address.entry(peer).or_default();
        if let Some(dial) = known.dial.as_ref().filter(|d| d.is_usable()) {
            return dial.clone();
        }
        let (sender, outcome) = watch::channel(None);
        let dial = Dial { number, outcome };
        known.dial = Some(dial.clone());
        peers.dials = number;
        tokio::spawn(self.clone().dial(peer, number, sender));
        dial
    }

    async fn dial(self, peer: SocketAddr, number: u64, sender: watch::Sender<Outcome>) {
        let result = self.open(peer).await;
        if let Some(known) = self.lock().by_address.get_mut(&peer) {
            known.log_result(peer, &result);
            if result.is_err() && known.dial.as_ref().is_some_and(|d| d.number == number) {
                known.dial = None;
            }
        }
        let result = result.map(Arc::new).map_err(|e| format!("{e:#}").into());
        let _ = sender.send(Some(result));
    }

    /// Opens a connection from a source port of its own, so that whatever has lost track of
    /// another connection does not know this one.
    async fn open(&self, peer: SocketAddr) -> eyre::Result<Dialled> {
        let local = match (self.local, peer) {
            (IpAddr::V6(_), SocketAddr::V4(_)) => Ipv4Addr::UNSPECIFIED.into(),
            (IpAddr::V4(_), SocketAddr::V6(_)) => Ipv6Addr::UNSPECIFIED.into(),
            (local, _) => local,
        };
        let socket = UdpSocket::bind((local, 0)).wrap_err("bind a source port")?;
        let runtime = Arc::new(quinn::TokioRuntime);
        let endpoint = Endpoint::new(EndpointConfig::default(), None, socket, runtime)
            .wrap_err("open a source port")?;
        let dialing = endpoint
            .connect_with(self.config.clone(), peer, super::tls::SERVER_NAME)
            .wrap_err("dial")?;
        let connection = tokio::time::timeout(DIAL_TIMEOUT, dialing)
            .await
            .map_err(|_| eyre!("no answer in {DIAL_TIMEOUT:?}"))?
            .wrap_err("handshake")?;
        Ok(Dialled { connection, opened_at: Instant::now() })
    }

    fn lock(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Dial {
    /// Returns the connection, if it stands.
    fn established(&self) -> Option<Arc<Dialled>> {
        self.outcome.borrow().as_ref().and_then(|o| o.as_ref().ok()).cloned()
    }

    /// Returns whether exchanges may wait for this dial or use its connection.
    fn is_usable(&self) -> bool {
        match &*self.outcome.borrow() {
            None => true,
            Some(Ok(dialled)) => dialled.connection.close_reason().is_none(),
            Some(Err(_)) => false,
        }
    }
}

impl Peer {
    /// Lets a replaced connection go with its last exchange; the oldest of too many goes now.
    fn retire(&mut self, peer: SocketAddr, dialled: &Arc<Dialled>) {
        log::info!("step=redial peer={peer} age_ms={}", dialled.opened_at.elapsed().as_millis());
        self.retired.retain(|r| r.strong_count() > 0);
        self.retired.push(Arc::downgrade(dialled));
        if self.retired.len() > MAX_RETIRED
            && let Some(oldest) = self.retired.remove(0).upgrade()
        {
            oldest.connection.close(REPLACED, b"replaced");
        }
    }

    /// Logs when dials begin and cease to fail.
    fn log_result(&mut self, peer: SocketAddr, result: &eyre::Result<Dialled>) {
        match result {
            Err(error) if !self.failing => log::warn!("step=dial peer={peer} error=\"{error:#}\""),
            Err(error) => log::debug!("step=dial peer={peer} error=\"{error:#}\""),
            Ok(_) if self.failing => log::info!("step=dial peer={peer} result=recovered"),
            Ok(_) => log::debug!("step=dial peer={peer} result=connected"),
        }
        self.failing = result.is_err();
    }
}
