//! The control members that a notice has named and that no reply has proved yet.

use std::net::SocketAddr;

use crate::link::message::ControlNotice;

/// The voters of the newest notice.
#[derive(Debug, Default)]
pub(super) struct Contacts {
    epoch: u64,
    addresses: Vec<SocketAddr>,
}

impl Contacts {
    /// Takes the voters of a notice, unless those of a higher epoch are known; returns whether it
    /// did.
    pub(super) fn take(&mut self, notice: &ControlNotice) -> bool {
        let is_older = notice.epoch() < self.epoch;
        if !is_older {
            self.epoch = notice.epoch();
            self.addresses = notice.voters().to_vec();
        }
        !is_older
    }

    /// Drops the voters once a reply has proved a list of this epoch, or of a higher one.
    pub(super) fn supersede(&mut self, proven: u64) {
        if proven >= self.epoch {
            self.addresses.clear();
        }
    }

    /// Returns the addresses to ask.
    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }
}
