//! Bounds of what a process keeps for its callers.

use super::{ConnectionId, Server};
use crate::h1::caller::Caller;
use crate::h1::{CallerId, HttpEffect, HttpInput};
use crate::model::Timestamp;
use crate::role::Role;

/// The most bytes that are kept for one caller that does not read its answer.
const MAX_UNREAD_BYTES: usize = 12 << 20;
/// The most bytes that are kept for all callers, of requests and of answers that they don't read.
const MAX_HELD_BYTES: usize = 32 << 20;
/// Callers for which fewer bytes are kept are not held to the bound for all.
const LARGE_BYTES: usize = 256 << 10;

impl<R: Role<Local = HttpInput, Effect = HttpEffect>> Server<R> {
    /// Refuses the request that a caller is sending if too many bytes are kept for all callers.
    pub(super) fn bound_request(&mut self, now: Timestamp, id: CallerId) {
        let large = self.callers.get(&id).is_some_and(|c| c.held() > LARGE_BYTES);
        if large && self.held_bytes() > MAX_HELD_BYTES {
            log::warn!("step=read outcome=refused error=\"too many large requests at once\"");
            if let Some(caller) = self.callers.get_mut(&id) {
                caller.refuse_large(now);
            }
        }
    }

    /// Closes the connection of a caller that leaves too many bytes of its answer unread.
    pub(super) fn bound_answer(&mut self, id: CallerId) {
        let unread = self.callers.get(&id).map_or(0, |c| c.socket.pending());
        let too_many =
            unread > MAX_UNREAD_BYTES || unread > LARGE_BYTES && self.held_bytes() > MAX_HELD_BYTES;
        if too_many {
            log::warn!("step=write outcome=closed unread={unread}");
            if let Some(caller) = self.callers.get_mut(&id) {
                caller.socket.clear();
            }
            self.broken.push(ConnectionId::Caller(id));
        }
    }

    fn held_bytes(&self) -> usize {
        self.callers.values().map(Caller::held).sum()
    }
}
