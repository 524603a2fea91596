//! The exchanges with the other members: a long-lived one to each, opened at the first message.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::DiskEffect;
use crate::link::message::{Envelope, Request};
use crate::model::ExchangeId;
use crate::role::Output;

/// The open exchanges.
#[derive(Debug, Default)]
pub struct Peers {
    exchanges: BTreeMap<SocketAddr, ExchangeId>,
    last: u64,
}

impl Peers {
    /// Sends a request to a member.
    pub fn send(&mut self, to: SocketAddr, envelope: Envelope<Request>) -> Output<DiskEffect> {
        if let Some(exchange) = self.exchanges.get(&to).copied() {
            return Output::Send { exchange, envelope };
        }
        self.last += 1;
        let exchange = ExchangeId(self.last);
        self.exchanges.insert(to, exchange);
        Output::Open { exchange, peer: to, envelope }
    }

    /// Gives up the exchange with a member that is overdue; the next one gets a fresh connection.
    pub fn redial(&mut self, peer: SocketAddr) -> Vec<Output<DiskEffect>> {
        let open = self.exchanges.remove(&peer);
        let reset = open.map(|exchange| Output::Reset { exchange });
        reset.into_iter().chain([Output::Redial { peer }]).collect()
    }

    /// Returns the member at the other end of an exchange.
    pub fn peer(&self, exchange: ExchangeId) -> Option<SocketAddr> {
        self.exchanges.iter().find(|(_, e)| **e == exchange).map(|(peer, _)| *peer)
    }

    /// Forgets an exchange that has ended and returns its member.
    pub fn closed(&mut self, exchange: ExchangeId) -> Option<SocketAddr> {
        let peer = self.peer(exchange)?;
        self.exchanges.remove(&peer);
        Some(peer)
    }
}
