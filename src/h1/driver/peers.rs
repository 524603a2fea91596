//! Dials endpoints, reads their answers and hands them to the role.

use std::net::SocketAddr;

use mio::Interest;
use mio::net::TcpStream;

use super::{ConnectionId, Ready, Server, peer_token};
use crate::h1::peer::Peer;
use crate::h1::socket::Socket;
use crate::h1::{HttpEffect, HttpInput, PeerId};
use crate::model::Timestamp;
use crate::role::{Input, Role};

impl<R: Role<Local = HttpInput, Effect = HttpEffect>> Server<R> {
    pub(super) fn peer_ready(&mut self, now: Timestamp, id: PeerId, ready: &Ready<'_>) -> bool {
        let Some(peer) = self.peers.get_mut(&id) else { return true };
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
            if ready.readable && peer.read(&mut inputs) {
                self.unread.insert(id);
            }
        }
        self.step_peer(now, id, inputs)
    }

    /// Reads on from endpoints that had more bytes than they may send in one turn.
    pub(super) fn resume_peers(&mut self, now: Timestamp) -> bool {
        for id in std::mem::take(&mut self.unread) {
            let Some(peer) = self.peers.get_mut(&id) else { continue };
            let mut inputs = Vec::new();
            if peer.read(&mut inputs) {
                self.unread.insert(id);
            }
            if !self.step_peer(now, id, inputs) {
                return false;
            }
        }
        true
    }

    /// Steps the role with the inputs of a peer until the role closes the connection or it is lost.
    pub(super) fn step_peer(&mut self, now: Timestamp, id: PeerId, inputs: Vec<HttpInput>) -> bool {
        for input in inputs {
            if !self.peers.contains_key(&id) {
                return true;
            }
            if matches!(input, HttpInput::Lost { .. }) {
                self.peers.remove(&id);
            }
            if !self.step(now, Input::Local(input)) {
                return false;
            }
        }
        true
    }

    pub(super) fn dial(&mut self, peer: PeerId, address: SocketAddr) {
        let opened = TcpStream::connect(address).and_then(|mut stream| {
            let interest = Interest::READABLE | Interest::WRITABLE;
            self.poll.registry().register(&mut stream, peer_token(peer), interest)?;
            Ok(stream)
        });
        match opened {
            Ok(stream) => {
                self.peers.insert(peer, Peer::new(peer, Socket::new(stream)));
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

    pub(super) fn flush_peer(&mut self, id: PeerId) {
        let Some(peer) = self.peers.get_mut(&id) else { return };
        if peer.is_connected() && peer.socket.flush().is_err() {
            self.broken.push(ConnectionId::Peer(id));
        }
    }
}
