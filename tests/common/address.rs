//! Unused addresses for the processes of tests.

#![allow(dead_code)]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU16, Ordering};

/// The first port that [`free_address`] returns.
const FIRST_PORT: u16 = 10_000;
/// The end (exclusive) of the test ports, below the ports of outgoing connections.
const END_PORT: u16 = 32_000;

/// Returns an unused loopback address.
///
/// The IP address is derived from the id of this process, and the port is below those of outgoing
/// connections.
pub fn free_address() -> eyre::Result<SocketAddr> {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let port = NEXT_PORT.fetch_add(1, Ordering::SeqCst);
    eyre::ensure!(port < END_PORT, "no test port is left below {END_PORT}");
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    Ok(SocketAddr::from(([127, high | 64, middle, low], port)))
}
