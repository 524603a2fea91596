//! The origins of streams that a follower tells all control members with its heartbeats.
//!
//! Every member gets them, whichever versions a service has: when a second one is listed, the process
//! that knows an origin may be out of reach already.

use std::collections::VecDeque;

use super::Follower;
use crate::control::origins::{Correction, ORIGIN_TTL, Origin};
use crate::model::Timestamp;

/// The maximum size in bytes of the names in the origins that are kept; the oldest ones are dropped
/// first. All of them fit into one heartbeat.
const MAX_BYTES: usize = 1 << 20;

/// The origins that were learned within [`ORIGIN_TTL`], oldest first.
#[derive(Debug, Default)]
pub(super) struct SharedOrigins {
    entries: VecDeque<(Timestamp, Origin)>,
    bytes: usize,
    /// The corrections of origins that were learned within [`ORIGIN_TTL`], oldest first.
    corrections: VecDeque<(Timestamp, Correction)>,
}

impl SharedOrigins {
    fn push(&mut self, now: Timestamp, origin: Origin) {
        self.bytes += origin.bytes();
        self.entries.push_back((now, origin));
        self.expire(now);
    }

    /// Removes the origins that have expired or are too many.
    fn expire(&mut self, now: Timestamp) {
        while let Some((at, origin)) = self.entries.front()
            && (self.bytes > MAX_BYTES || now - *at >= ORIGIN_TTL)
        {
            self.bytes -= origin.bytes();
            self.entries.pop_front();
        }
    }

    fn correct(&mut self, now: Timestamp, correction: Correction) {
        self.corrections.retain(|(at, _)| now - *at < ORIGIN_TTL);
        self.corrections.push_back((now, correction));
    }

    /// Returns the corrections that were learned at a time or later, or `None` without any.
    pub(super) fn corrections_since(&self, at: Timestamp) -> Option<Vec<Correction>> {
        let new = self.corrections.iter().filter(|(learned, _)| *learned >= at);
        let new: Vec<Correction> = new.map(|(_, correction)| correction.clone()).collect();
        (!new.is_empty()).then_some(new)
    }

    /// Returns the origins that were learned at a time or later, or `None` without any.
    pub(super) fn since(&self, at: Timestamp) -> Option<Vec<Origin>> {
        let first = self.entries.partition_point(|(learned, _)| *learned < at);
        let new: Vec<Origin> = self.entries.range(first..).map(|(_, o)| o.clone()).collect();
        (!new.is_empty()).then_some(new)
    }
}

impl Follower {
    /// Tells all members, with the next heartbeats, which software version began a stream.
    pub fn share_origin(&mut self, now: Timestamp, origin: Origin) {
        self.origins.push(now, origin);
    }

    /// Tells all members at once what is known by now of the origin of a stream. It goes with the
    /// heartbeats, as the origin did, so that no member gets the origin without it.
    pub fn correct_origin(&mut self, now: Timestamp, correction: Correction) {
        self.origins.correct(now, correction);
        self.expedite(now);
    }
}
