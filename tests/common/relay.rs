//! A UDP relay between processes that can silence its flows, as a NAT that loses its state does, and
//! loses datagrams of paths that are cut or lossy.

#![allow(dead_code, missing_docs)]

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Read timeout after which a relay thread checks whether it has to stop.
const POLL: Duration = Duration::from_millis(100);
/// How long after its last answer a flow is kept.
const FLOW_TTL: Duration = Duration::from_secs(10);

/// The share of datagrams that is lost, in percent, by source and destination.
type Losses = BTreeMap<(IpAddr, IpAddr), u64>;

/// What is lost between machines, by cause.
#[derive(Default)]
pub struct Paths {
    causes: Mutex<BTreeMap<Box<str>, Losses>>,
    datagrams: AtomicU64,
}

impl Paths {
    /// Lets the paths from and to a machine lose these shares of datagrams, in percent, in place of
    /// what they lost for the same cause before.
    pub fn impair(&self, cause: &str, own: IpAddr, others: &[IpAddr], shares: [u64; 2]) {
        let both = |other| [((own, other), shares[0]), ((other, own), shares[1])];
        let losses = others.iter().copied().flat_map(both).collect();
        lock(&self.causes).insert(cause.into(), losses);
    }

    fn loses(&self, from: IpAddr, to: IpAddr) -> bool {
        let share = lock(&self.causes).values().filter_map(|l| l.get(&(from, to))).max().copied();
        let number = self.datagrams.fetch_add(1, Ordering::SeqCst);
        // Spreads the lost datagrams as if they were drawn.
        let drawn = (number.wrapping_mul(0x9E37_79B9_7F4A_7C15) >> 32) % 100;
        share.is_some_and(|share| drawn < share)
    }
}

/// The flow of one source port; a silenced flow drops the datagrams of both directions.
struct Flow {
    upstream: UdpSocket,
    silent: Arc<AtomicBool>,
}

type Flows = Arc<Mutex<BTreeMap<SocketAddr, Flow>>>;

/// Forwards datagrams to a target and back, with one flow per source port.
pub struct Relay {
    pub address: SocketAddr,
    flows: Flows,
    pub bytes: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

/// What the threads of a relay share.
#[derive(Clone)]
struct Shared {
    target: SocketAddr,
    paths: Arc<Paths>,
    flows: Flows,
    bytes: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

impl Relay {
    pub fn start(target: SocketAddr) -> eyre::Result<Relay> {
        Relay::between((Ipv4Addr::LOCALHOST, 0).into(), target, Arc::default())
    }

    /// Starts a relay at an address in front of a target, which are one machine of `paths`; each
    /// sender is another one.
    pub fn between(
        address: SocketAddr,
        target: SocketAddr,
        paths: Arc<Paths>,
    ) -> eyre::Result<Relay> {
        let socket = UdpSocket::bind(address)?;
        socket.set_read_timeout(Some(POLL))?;
        let relay = Relay {
            address: socket.local_addr()?,
            flows: Arc::default(),
            bytes: Arc::default(),
            stopped: Arc::default(),
        };
        let (flows, bytes) = (relay.flows.clone(), relay.bytes.clone());
        let stopped = relay.stopped.clone();
        let shared = Shared { target, paths, flows, bytes, stopped };
        std::thread::spawn(move || shared.forward(&socket));
        Ok(relay)
    }

    /// Silences all existing flows and returns their number; new source ports are forwarded.
    pub fn silence(&self) -> usize {
        let flows = lock(&self.flows);
        for flow in flows.values() {
            flow.silent.store(true, Ordering::SeqCst);
        }
        flows.len()
    }

    /// Returns the number of source ports that have sent datagrams, unless these have ended long ago.
    pub fn flows(&self) -> usize {
        lock(&self.flows).len()
    }

    pub fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::SeqCst)
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

impl Shared {
    fn forward(&self, socket: &UdpSocket) {
        let mut buffer = [0; 65_536];
        while !self.stopped.load(Ordering::SeqCst) {
            let Ok((length, source)) = socket.recv_from(&mut buffer) else { continue };
            if self.paths.loses(source.ip(), self.target.ip()) {
                continue;
            }
            self.bytes.fetch_add(length as u64, Ordering::SeqCst);
            let mut flows = lock(&self.flows);
            let flow = match flows.entry(source) {
                Entry::Occupied(entry) => entry.into_mut(),
                Entry::Vacant(entry) => match self.open_flow(socket, source) {
                    Ok(flow) => entry.insert(flow),
                    Err(_) => continue,
                },
            };
            if !flow.silent.load(Ordering::SeqCst) {
                let _ = flow.upstream.send(&buffer[..length]);
            }
        }
    }

    /// Opens a flow with the source's IP address, by which the target knows who sends.
    fn open_flow(&self, socket: &UdpSocket, source: SocketAddr) -> eyre::Result<Flow> {
        let upstream = UdpSocket::bind((source.ip(), 0))?;
        upstream.connect(self.target)?;
        upstream.set_read_timeout(Some(POLL))?;
        let flow = Flow { upstream: upstream.try_clone()?, silent: Arc::default() };
        let (socket, silent) = (socket.try_clone()?, flow.silent.clone());
        let shared = self.clone();
        std::thread::spawn(move || {
            let (mut buffer, mut last) = ([0; 65_536], Instant::now());
            while last.elapsed() < FLOW_TTL && !shared.stopped.load(Ordering::SeqCst) {
                let Ok(length) = upstream.recv(&mut buffer) else { continue };
                last = Instant::now();
                if shared.paths.loses(shared.target.ip(), source.ip()) {
                    continue;
                }
                shared.bytes.fetch_add(length as u64, Ordering::SeqCst);
                if !silent.load(Ordering::SeqCst) {
                    let _ = socket.send_to(&buffer[..length], source);
                }
            }
            lock(&shared.flows).remove(&source);
        });
        Ok(flow)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
