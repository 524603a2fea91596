//! The content of endpoints' answers while it is received, and bounds of what is kept of it.

use super::call::Call;
use super::endpoint_answer::streams;
use super::fleet::Job;
use super::outcome::Failure;
use super::{CallerId, Gateway, PeerId};
use crate::h1::HttpEffect;
use crate::model::Timestamp;

/// The maximum size of an answer that is buffered until it is complete.
const MAX_CONTENT_BYTES: usize = 8 << 20;
/// The maximum size of all such answers and of all incomplete events together.
const MAX_ALL_CONTENT_BYTES: usize = 24 << 20;
/// Answers that are smaller are not held to the maximum of all.
const LARGE_CONTENT_BYTES: usize = 256 << 10;
/// The maximum size of an answer that belongs to another request and is discarded.
const MAX_STRAY_BYTES: usize = 256 << 10;
/// The maximum size of an answer to a side request.
const MAX_SIDE_BYTES: usize = 1 << 20;

impl Gateway {
    /// Handles a part of the content of an endpoint's answer.
    pub(super) fn data(&mut self, now: Timestamp, peer: PeerId, bytes: Vec<u8>) {
        self.endpoint_heard(now, peer);
        let Some(conn) = self.fleet.conn(peer) else { return };
        if conn.stray {
            conn.stray_bytes += bytes.len();
            if conn.stray_bytes > MAX_STRAY_BYTES {
                self.lost(now, peer, true, "a stray answer is larger than 256 KiB");
                self.effect(HttpEffect::HangUp { peer });
            }
            return;
        }
        let Job::Call(caller) = conn.job else {
            conn.content.extend_from_slice(&bytes);
            if conn.content.len() > MAX_SIDE_BYTES {
                self.lost(now, peer, true, "the answer to a side request is larger than 1 MiB");
                self.effect(HttpEffect::HangUp { peer });
            }
            return;
        };
        let Some(call) = self.calls.get_mut(&caller) else { return };
        if streams(call) {
            self.stream_data(now, caller, peer, &bytes);
            return;
        }
        let Some(attempt) = call.attempt() else { return };
        let size = attempt.content.len() + bytes.len();
        if size > MAX_CONTENT_BYTES || self.is_out_of_memory(size) {
            log::warn!(
                "step=content peer={} error=\"the answer is too large\" bytes={size}",
                peer.0
            );
            self.hang_up(peer);
            self.attempt_failed(now, caller, Failure::Broken);
            self.schedule(caller);
            return;
        }
        let attempt = self.calls.get_mut(&caller).and_then(Call::attempt);
        if let Some(attempt) = attempt {
            attempt.content.extend_from_slice(&bytes);
        }
    }

    /// Returns whether an answer of a size exceeds what is kept of all answers together.
    fn is_out_of_memory(&self, size: usize) -> bool {
        if size <= LARGE_CONTENT_BYTES {
            return false;
        }
        let held: usize = self.calls.values().map(Call::held).sum();
        held > MAX_ALL_CONTENT_BYTES
    }

    fn stream_data(&mut self, now: Timestamp, caller: CallerId, peer: PeerId, bytes: &[u8]) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let fed = call.splitter.feed(bytes);
        let held = call.splitter.held();
        match fed {
            Ok(events) if !self.is_out_of_memory(held) => self.deliver_events(now, caller, events),
            _ => {
                self.hang_up(peer);
                self.attempt_failed(now, caller, Failure::Broken);
            }
        }
        self.schedule(caller);
    }
}
