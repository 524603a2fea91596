//! Applies the effects that the role returns.

use super::{ConnectionId, Server};
use crate::h1::{HttpEffect, HttpInput, PeerId};
use crate::model::Timestamp;
use crate::role::Role;

impl<R: Role<Local = HttpInput, Effect = HttpEffect>> Server<R> {
    pub(super) fn apply(&mut self, now: Timestamp, effect: HttpEffect) {
        match effect {
            HttpEffect::Dial { peer: PeerId(peer), .. }
            | HttpEffect::Send { peer: PeerId(peer), .. }
                if self.ending.is_some() =>
            {
                log::error!("step=send peer={peer} outcome=dropped error=\"the role has stopped\"");
            }
            HttpEffect::Dial { peer, address } => self.dial(peer, address),
            HttpEffect::Send { peer, bytes } => {
                if let Some(open) = self.peers.get_mut(&peer) {
                    open.send(bytes);
                    if open.is_connected() {
                        self.dirty.insert(ConnectionId::Peer(peer));
                    }
                }
            }
            HttpEffect::HangUp { peer } => {
                self.peers.remove(&peer);
            }
            HttpEffect::Reply { caller, bytes } => {
                if let Some(open) = self.callers.get_mut(&caller) {
                    open.reply(now, bytes);
                    self.dirty.insert(ConnectionId::Caller(caller));
                    self.bound_answer(caller);
                }
            }
            HttpEffect::Finish { caller, keep } => {
                if let Some(open) = self.callers.get_mut(&caller) {
                    open.finish(now, keep);
                    if keep {
                        self.resumed.push(caller);
                    }
                    self.dirty.insert(ConnectionId::Caller(caller));
                }
            }
            HttpEffect::Abort { caller } => {
                if let Some(mut open) = self.callers.remove(&caller) {
                    // The parts that are already written may still reach the caller.
                    open.flush(now);
                }
            }
            HttpEffect::Limit(limits) => self.limits.values = limits,
            HttpEffect::ConfirmLimits { until } => self.limits.confirmed_until = until,
            HttpEffect::CloseAll { until } => _ = self.close_at.get_or_insert(until),
            HttpEffect::CloseIdle => self.close_idle(),
        }
    }
}
