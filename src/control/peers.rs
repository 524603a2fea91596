//! The exchanges with the other members: one long-lived exchange for each, opened with the first
//! message.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::DiskEffect;
use crate::link::message::{Envelope, Request};
use crate::model::ExchangeId;
use crate::role::Output;

/// The open exchanges by the address of the member.
#[derive(Debug, Default)]
pub struct Peers {
    exchanges: BTreeMap<SocketAddr, ExchangeId>,
    last: u64,
}

impl Peers {
    /// Sends a request on the exchange with a member, which is opened if needed.
    pub fn send(&mut self, to: SocketAddr, envelope: Envelope<Request>) -> Output<DiskEffect> {
        if let Some(exchange) = self.exchanges.get(&to).copied() {
            return Output::Send { exchange, envelope };
        }
        let exchange = self.next_exchange();
        self.exchanges.insert(to, exchange);
        Output::Open { exchange, peer: to, envelope }
    }

    /// Returns the number of the next exchange that this member opens.
    pub fn next_exchange(&mut self) -> ExchangeId {
        self.last += 1;
        ExchangeId(self.last)
    }

    /// Resets the exchange with a member whose answer is overdue, and requests a new connection for
    /// the next one.
    pub fn redial(&mut self, peer: SocketAddr) -> Vec<Output<DiskEffect>> {
        let open = self.exchanges.remove(&peer);
        let reset = open.map(|exchange| Output::Reset { exchange });
        reset.into_iter().chain([Output::Redial { peer }]).collect()
    }

    /// Returns the member at the other end of an exchange.
    pub fn peer(&self, exchange: ExchangeId) -> Option<SocketAddr> {
        self.exchanges.iter().find(|(_, e)| **e == exchange).map(|(peer, _)| *peer)
    }

    /// Removes a closed exchange and returns the address of its member.
    pub fn closed(&mut self, exchange: ExchangeId) -> Option<SocketAddr> {
        let peer = self.peer(exchange)?;
        self.exchanges.remove(&peer);
        Some(peer)
    }
}
