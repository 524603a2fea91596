//! The readiness page of a gateway.

use super::{CallerId, Gateway};
use crate::h1::{HttpEffect, Request};

impl Gateway {
    /// Answers a request to the address of the pages.
    pub(super) fn page(&mut self, caller: CallerId, request: &Request) {
        let ready = self.is_ready();
        let (status, text) = match self.protocol.is_readiness(&request.head) {
            true if ready => (200, "ready\n"),
            true => (503, "not ready\n"),
            false => (404, "no such page\n"),
        };
        let keep = !request.head.wants_close();
        let bytes = crate::h1::write::answer(status, &[], "text/plain", text.as_bytes(), keep);
        self.effect(HttpEffect::Reply { caller, bytes });
        self.effect(HttpEffect::Finish { caller, keep });
    }
}
