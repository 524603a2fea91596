//! What a follower knows of one control member.

use std::net::SocketAddr;

use crate::link::message::{Beat, Proof, Seen};
use crate::model::{BootId, Timestamp};
use crate::registry::open_heartbeats::OpenHeartbeats;
use crate::registry::view::View;

/// The state of one control member as a follower knows it.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) address: SocketAddr,
    pub(super) open: OpenHeartbeats,
    /// When the newest heartbeat was sent that was answered.
    pub(super) answered: Option<Timestamp>,
    pub(super) due: Timestamp,
    pub(super) seen: Seen,
    /// The buckets to request in full, because their digests differ from the member's.
    pub(super) full_buckets: Vec<u8>,
    /// When the last heartbeat was sent whose reply brought the list up to date with the member's.
    pub(super) synced: Option<Timestamp>,
    /// The last proof, and when its heartbeat was sent.
    pub(super) proof: Option<(Proof, Timestamp)>,
    pub(super) view: View,
    /// The boot of the member in its last reply.
    pub(super) boot: Option<BootId>,
    /// Whether that boot is new since the restarted members were last taken.
    pub(super) restarted: bool,
    /// When the last heartbeat was sent, which named the reports of engines fetched until then.
    pub(super) reports_sent: Timestamp,
    /// The version of its reports of engines that the follower has.
    pub(super) reports_seen: u64,
    /// From when on it may lack origins of streams: when the newest heartbeat was sent that this start
    /// of it has answered.
    pub(super) origins_since: Timestamp,
}

impl Member {
    pub(super) fn new(address: SocketAddr) -> Member {
        Member {
            address,
            open: OpenHeartbeats::default(),
            answered: None,
            due: Timestamp::default(),
            seen: Seen::default(),
            full_buckets: Vec::new(),
            synced: None,
            proof: None,
            view: View::default(),
            boot: None,
            restarted: false,
            reports_sent: Timestamp::default(),
            reports_seen: 0,
            origins_since: Timestamp::default(),
        }
    }

    /// Records the boot that the member states in a reply.
    pub(super) fn note_boot(&mut self, boot: BootId) {
        let known = self.boot.replace(boot);
        self.restarted |= known != Some(boot);
        if known != Some(boot) {
            self.reports_seen = 0;
            self.origins_since = Timestamp::default();
        }
    }

    /// Applies the member's update of endpoints; returns whether anything but loads changed.
    pub(super) fn apply_endpoints(&mut self, beat: &Beat) -> bool {
        let before = self.view.digest();
        if let Some(endpoints) = &beat.endpoints {
            self.full_buckets = self.view.apply(endpoints);
        }
        let digest = self.view.digest();
        // Changes alone don't lead to the list of a member that has restarted: until the lists have
        // matched once, they are compared by their digests.
        let same_start = self.seen.epoch == beat.seen.epoch;
        if digest == beat.seen.digest || same_start && self.full_buckets.is_empty() {
            self.seen = Seen { digest, ..beat.seen };
        }
        digest != before
    }
}
