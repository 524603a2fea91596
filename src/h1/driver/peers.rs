//! Dials endpoints, reads their answers and hands them to the role.

use std::net::SocketAddr;

use mio::Interest;
use mio::net::TcpStream;

use super::{ConnectionId, Ready, Server, peer_token};
use crate::h1::budget::{Charge, Holder};
use crate::h1::peer::Peer;
use crate::h1::socket::Socket;
use crate::h1::{HttpEffect, HttpInput, PeerId};
use crate::model::Timestamp;
use crate::role::{Input, Role};

/// How many turns are read of what an endpoint sent before it closed its connection.
const MAX_LAST_TURNS: usize = 128;

impl<R: Role<Local = HttpInput, Effect = HttpEffect>> Server<R> {
    pub(super) fn peer_ready(&mut self, now: Timestamp, id: PeerId, ready: &Ready<'_>) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let mut inputs = Vec::new();
        if !peer.is_connected() {
            match peer.check_connected() {
                Ok(true) => inputs.push(HttpInput::Connected { peer: id }),
                Ok(false) => {}
                Err(error) => inputs.push(peer.lost(&error.to_string())),
            }
        }
        if peer.is_connected() {
            if peer.socket.pending() > 0 {
                self.dirty.insert(ConnectionId::Peer(id));
            }
            if ready.readable && peer.read(now, &mut inputs) {
                self.unread.insert(id);
            }
            if peer.settles().is_some() {
                self.settling.insert(id);
            }
        }
        self.step_peer(now, id, inputs);
    }

    /// Reads on from endpoints that had more bytes than they may send in one turn.
    pub(super) fn resume_peers(&mut self, now: Timestamp) {
        for id in std::mem::take(&mut self.unread) {
            let Some(peer) = self.peers.get_mut(&id) else { continue };
            let mut inputs = Vec::new();
            if peer.read(now, &mut inputs) {
                self.unread.insert(id);
            }
            if peer.settles().is_some() {
                self.settling.insert(id);
            }
            self.step_peer(now, id, inputs);
        }
    }

    /// Completes the answers without a length whose connections were not reset after their end, and
    /// reports the others as lost.
    pub(super) fn settle_peers(&mut self, now: Timestamp) {
        for id in std::mem::take(&mut self.settling) {
            let Some(peer) = self.peers.get_mut(&id) else { continue };
            let mut inputs = Vec::new();
            peer.settle(now, &mut inputs);
            if inputs.is_empty() {
                self.settling.insert(id);
            }
            self.step_peer(now, id, inputs);
        }
    }

    /// Returns when the next answer settles.
    pub(super) fn next_settling(&self) -> Option<Timestamp> {
        self.settling.iter().filter_map(|id| self.peers.get(id)?.settles()).min()
    }

    /// Steps the role with the inputs of a peer until the role closes the connection or it is lost.
    pub(super) fn step_peer(&mut self, now: Timestamp, id: PeerId, inputs: Vec<HttpInput>) {
        for input in inputs {
            if !self.peers.contains_key(&id) {
                return;
            }
            if matches!(input, HttpInput::Lost { .. }) {
                self.peers.remove(&id);
            }
            self.step(now, Input::Local(input));
        }
    }

    /// Reports a connection on which a write failed to the role.
    pub(super) fn peer_broken(&mut self, now: Timestamp, id: PeerId) {
        // The endpoint may have sent an answer before it closed the connection.
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let mut inputs = Vec::new();
        let mut turns = 0;
        while peer.read(now, &mut inputs) && turns < MAX_LAST_TURNS {
            turns += 1;
        }
        if !inputs.iter().any(|i| matches!(i, HttpInput::Lost { .. })) {
            inputs.push(peer.lost("a write failed"));
        }
        self.step_peer(now, id, inputs);
    }

    pub(super) fn dial(&mut self, peer: PeerId, address: SocketAddr) {
        let opened = TcpStream::connect(address).and_then(|mut stream| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, peer_token(peer), interest)?;
            Ok(stream)
        });
        match opened {
            Ok(stream) => {
                let charge = Charge::new(&self.budget, Holder::Endpoint);
                self.peers.insert(peer, Peer::new(peer, Socket::new(stream), charge));
            }
            Err(error) => {
                // Reported like any other failed connection attempt.
                log::warn!("step=dial peer={address} error=\"{error}\"");
                let error = error.to_string().into();
                let lost = HttpInput::Lost { peer, sent: false, error };
                self.deferred.push(Input::Local(lost));
            }
        }
    }

    pub(super) fn flush_peer(&mut self, now: Timestamp, id: PeerId) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if peer.is_connected() && peer.flush(now).is_err() {
            self.broken.push(ConnectionId::Peer(id));
        }
        peer.charge();
    }
}
