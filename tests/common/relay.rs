//! A UDP relay between processes that can silence its flows, as a NAT that loses its state does.

#![allow(dead_code, missing_docs)]

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// Read timeout after which a relay thread checks whether it has to stop.
const POLL: Duration = Duration::from_millis(100);

/// The flow of one source port; a silenced flow drops the datagrams of both directions.
struct Flow {
    upstream: UdpSocket,
    silent: Arc<AtomicBool>,
}

/// Forwards datagrams to a target and back, with one flow per source port.
pub struct Relay {
    pub address: SocketAddr,
    flows: Arc<Mutex<BTreeMap<SocketAddr, Flow>>>,
    pub bytes: Arc<AtomicU64>,
    stopped: Arc<AtomicBool>,
}

impl Relay {
    pub fn start(target: SocketAddr) -> eyre::Result<Relay> {
        let socket = UdpSocket::bind("127.0.0.1:0")?;
        socket.set_read_timeout(Some(POLL))?;
        let relay = Relay {
            address: socket.local_addr()?,
            flows: Arc::default(),
            bytes: Arc::default(),
            stopped: Arc::default(),
        };
        let (flows, bytes) = (relay.flows.clone(), relay.bytes.clone());
        let stopped = relay.stopped.clone();
        std::thread::spawn(move || {
            let mut buffer = [0; 65_536];
            while !stopped.load(Ordering::SeqCst) {
                let Ok((length, source)) = socket.recv_from(&mut buffer) else { continue };
                bytes.fetch_add(length as u64, Ordering::SeqCst);
                let mut flows = flows.lock().unwrap_or_else(PoisonError::into_inner);
                let flow = match flows.entry(source) {
                    Entry::Occupied(entry) => entry.into_mut(),
                    Entry::Vacant(entry) => {
                        match open_flow(&socket, source, target, &bytes, &stopped) {
                            Ok(flow) => entry.insert(flow),
                            Err(_) => continue,
                        }
                    }
                };
                if !flow.silent.load(Ordering::SeqCst) {
                    let _ = flow.upstream.send(&buffer[..length]);
                }
            }
        });
        Ok(relay)
    }

    /// Silences all existing flows and returns their number; new source ports are forwarded.
    pub fn silence(&self) -> usize {
        let flows = self.flows.lock().unwrap_or_else(PoisonError::into_inner);
        for flow in flows.values() {
            flow.silent.store(true, Ordering::SeqCst);
        }
        flows.len()
    }

    /// Returns the number of source ports that have sent datagrams.
    pub fn flows(&self) -> usize {
        self.flows.lock().unwrap_or_else(PoisonError::into_inner).len()
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

fn open_flow(
    socket: &UdpSocket,
    source: SocketAddr,
    target: SocketAddr,
    bytes: &Arc<AtomicU64>,
    stopped: &Arc<AtomicBool>,
) -> eyre::Result<Flow> {
    let upstream = UdpSocket::bind("127.0.0.1:0")?;
    upstream.connect(target)?;
    upstream.set_read_timeout(Some(POLL))?;
    let flow = Flow { upstream: upstream.try_clone()?, silent: Arc::default() };
    let (socket, silent) = (socket.try_clone()?, flow.silent.clone());
    let (bytes, stopped) = (bytes.clone(), stopped.clone());
    std::thread::spawn(move || {
        let mut buffer = [0; 65_536];
        while !stopped.load(Ordering::SeqCst) {
            let Ok(length) = upstream.recv(&mut buffer) else { continue };
            bytes.fetch_add(length as u64, Ordering::SeqCst);
            if !silent.load(Ordering::SeqCst) {
                let _ = socket.send_to(&buffer[..length], source);
            }
        }
    });
    Ok(flow)
}
