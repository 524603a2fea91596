//! The parts that simulations of a control group share: hosts with disks, a network, and an oracle.
//! All run in one thread and on a simulated clock.

// Each test binary that contains this module uses a part of it.
#![allow(dead_code)]

mod disk;
mod host;
mod network;
mod oracle;

use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

pub use disk::FakeDisk;
pub use host::Host;
pub use network::{Exchange, Network, Packet};
pub use oracle::Oracle;

/// Returns a random number below `bound`, or 0 if `bound` is 0.
pub fn below(rng: &mut Pcg64Mcg, bound: usize) -> usize {
    (rng.next_u64() % (bound.max(1) as u64)) as usize
}
