//! The content of endpoints' answers while it is received, and bounds of what is kept of it.

use std::sync::Arc;

use super::call::Call;
use super::endpoint_answer::streams;
use super::fleet::Job;
use super::outcome::Failure;
use super::{CallerId, Gateway, PeerId};
use crate::h1::HttpEffect;
use crate::h1::budget::{Budget, Charge, Holder, grow, keeps_answer};
use crate::model::Timestamp;

/// The maximum size of an answer that is buffered until it is complete.
const MAX_CONTENT_BYTES: usize = 8 << 20;
/// The maximum size of an answer that belongs to another request and is discarded.
const MAX_STRAY_BYTES: usize = 256 << 10;
/// The maximum size of an answer to a side request.
const MAX_SIDE_BYTES: usize = 1 << 20;

impl Gateway {
    /// Uses the budget of the process for the contents that the gateway keeps.
    pub fn with_memory(self, memory: Arc<Budget>) -> Gateway {
        Gateway { memory, ..self }
    }

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
        let length = attempt.head.as_ref().and_then(|(head, _)| head.fields.text("content-length"));
        let length: Option<usize> = length.and_then(|l| l.parse().ok());
        let received = attempt.content.len() + bytes.len();
        let size = length.unwrap_or(received).max(received);
        let counted = attempt.memory.as_ref().map_or(0, Charge::bytes);
        if size > MAX_CONTENT_BYTES || self.is_out_of_memory(size, counted) {
            log::warn!(
                "step=content peer={} error=\"the answer is too large\" bytes={size}",
                peer.0
            );
            self.hang_up(peer);
            self.attempt_failed(now, caller, Failure::Broken);
            self.schedule(caller);
            return;
        }
        let memory = &self.memory;
        if let Some(attempt) = self.calls.get_mut(&caller).and_then(Call::attempt) {
            if attempt.content.is_empty() {
                // An answer that grows would be copied several times.
                attempt.content.reserve_exact(size);
            }
            grow(&mut attempt.content, &bytes, None);
            charge(memory, &mut attempt.memory, attempt.content.capacity());
        }
    }

    /// Returns whether an answer of a size, of which some is counted already, is not kept on.
    fn is_out_of_memory(&self, size: usize, counted: usize) -> bool {
        let held = self.memory.held().saturating_sub(counted) + size;
        !keeps_answer(self.memory.level(), size, held)
    }

    fn stream_data(&mut self, now: Timestamp, caller: CallerId, peer: PeerId, bytes: &[u8]) {
        let Some(call) = self.calls.get_mut(&caller) else { return };
        let fed = call.splitter.feed(bytes);
        let held = call.splitter.held();
        charge(&self.memory, &mut call.memory, held);
        match fed {
            Ok(events) if !self.is_out_of_memory(held, held) => {
                self.deliver_events(now, caller, events)
            }
            _ => {
                self.hang_up(peer);
                self.attempt_failed(now, caller, Failure::Broken);
            }
        }
        self.schedule(caller);
    }
}

/// Counts the memory of a content; an empty one needs no charge.
fn charge(memory: &Arc<Budget>, charge: &mut Option<Charge>, bytes: usize) {
    if bytes > 0 || charge.is_some() {
        charge.get_or_insert_with(|| Charge::new(memory, Holder::Content)).set(bytes);
    }
}
