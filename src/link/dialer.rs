//! Connections that this process opens: one to each peer, replaced when the peer goes silent.

use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::time::{Duration, Instant};

use eyre::{WrapErr, eyre};
use quinn::{ClientConfig, Connection, Endpoint, EndpointConfig, VarInt};
use tokio::sync::watch;

/// How long it may take to establish a connection.
const DIAL_TIMEOUT: Duration = Duration::from_millis(700);
/// The minimum age of a connection before it may be replaced.
const MIN_REDIAL_AGE: Duration = Duration::from_millis(300);
/// The most connections to one peer that were replaced but still carry exchanges.
const MAX_RETIRED: usize = 4;
/// The close code of a replaced connection that was closed before its exchanges had ended.
const REPLACED: VarInt = VarInt::from_u32(3);

/// A connection that this process opened; once replaced, it closes when its last exchange ends.
pub struct Dialled {
    /// The QUIC connection.
    pub connection: Connection,
    opened_at: Instant,
}

type Outcome = Option<Result<Arc<Dialled>, Box<str>>>;

/// A dial in progress or finished, shared by all exchanges that wait for it.
#[derive(Clone)]
struct Dial {
    number: u64,
    outcome: watch::Receiver<Outcome>,
}

/// The connections to one peer.
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

/// Opens and caches one connection for each peer.
#[derive(Clone)]
pub struct Dialer {
    config: ClientConfig,
    local: IpAddr,
    peers: Arc<Mutex<Peers>>,
}

impl Dialer {
    /// Creates a dialer whose connections use the given local address.
    pub fn new(config: ClientConfig, local: IpAddr) -> Dialer {
        Dialer { config, local, peers: Arc::default() }
    }

    /// Returns the connection to a peer, dialing it if there is none.
    pub async fn connection(&self, peer: SocketAddr) -> eyre::Result<Arc<Dialled>> {
        let mut outcome = self.join(peer).outcome;
        let outcome =
            outcome.wait_for(Option::is_some).await.wrap_err("dial task ended without a result")?;
        match outcome.as_ref() {
            Some(Ok(dialled)) => Ok(dialled.clone()),
            Some(Err(error)) => Err(eyre!("{error}")),
            None => Err(eyre!("dial has no outcome")),
        }
    }

    /// Uses a new connection for later exchanges, unless the current one is younger than
    /// [`MIN_REDIAL_AGE`].
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

    /// Returns the dial that is established or in progress, or starts one.
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

    /// Opens a connection from a new source port, so that a device on the path that has lost track
    /// of an earlier connection treats this one as new.
    async fn open(&self, peer: SocketAddr) -> eyre::Result<Dialled> {
        let local = match (self.local, peer) {
            (IpAddr::V6(_), SocketAddr::V4(_)) => Ipv4Addr::UNSPECIFIED.into(),
            (IpAddr::V4(_), SocketAddr::V6(_)) => Ipv6Addr::UNSPECIFIED.into(),
            (local, _) => local,
        };
        let socket = UdpSocket::bind((local, 0)).wrap_err("bind a UDP source port")?;
        let runtime = Arc::new(quinn::TokioRuntime);
        let endpoint = Endpoint::new(EndpointConfig::default(), None, socket, runtime)
            .wrap_err("open a QUIC socket on the source port")?;
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
    /// Returns the connection, if the dial has succeeded.
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
    /// Lets a replaced connection close when its last exchange ends; beyond [`MAX_RETIRED`] the
    /// oldest one is closed at once.
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

    /// Logs the result of a dial; a warning is logged only for the first failure in a row.
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
