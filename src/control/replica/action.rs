//! The inputs of a replica and the actions that it returns.

use std::net::SocketAddr;
use std::sync::Arc;

use super::{Entry, Record, ReplicaMessage, Snapshot, WriteId};
use crate::model::InboundId;

/// The identity and settings of a replica.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    /// The member's own address.
    pub address: SocketAddr,
    /// The addresses of the configured members, including this one.
    pub members: Vec<SocketAddr>,
    /// The number of members that may be lost at once: what is committed is on more disks.
    pub losses: usize,
    /// Whether the members have never run before, so that they found their group.
    pub founds: bool,
    /// The seed of its random timeouts.
    pub seed: u64,
    /// The number of records after a snapshot from which the log is compacted into the next one.
    pub compact_after: usize,
    /// The encoded bytes of the records after a snapshot from which the log is compacted, too.
    pub compact_bytes: usize,
    /// The number of records before a snapshot that are kept for members that lag a little.
    pub kept: usize,
    /// The encoded bytes that these records may have at most.
    pub kept_bytes: usize,
}

impl ReplicaSettings {
    /// Creates the settings of a member in production, of which a minority of the configured
    /// members may be lost at once.
    pub fn new(address: SocketAddr, members: Vec<SocketAddr>, seed: u64) -> ReplicaSettings {
        let losses = (members.len().saturating_sub(1) / 2).max(1);
        ReplicaSettings {
            address,
            members,
            losses,
            founds: true,
            seed,
            compact_after: 8_192,
            compact_bytes: 4 << 20,
            kept: 2_048,
            kept_bytes: 1 << 20,
        }
    }
}

/// An input of a replica.
#[derive(Debug)]
pub enum ReplicaInput {
    /// A member sent a request.
    Request {
        /// The exchange to reply on.
        via: InboundId,
        /// The request.
        message: ReplicaMessage,
    },
    /// A member replied to a request.
    Reply {
        /// The address of the member.
        peer: SocketAddr,
        /// The reply.
        message: ReplicaMessage,
    },
    /// The exchange with a member is closed; unanswered messages to it are lost.
    Lost {
        /// The address of the member.
        peer: SocketAddr,
    },
    /// The settings name these members, at which the group may be found; they found none and have
    /// no vote for that.
    Members(Vec<SocketAddr>),
    /// All writes up to and including this one are synced.
    Synced(WriteId),
    /// The disk accepts no writes for now.
    Stalled,
    /// The deadline of [`Replica::next_wake`](super::Replica::next_wake) has passed.
    Wake,
}

/// An action that a replica returns for execution.
#[derive(Debug)]
pub enum Action {
    /// Send a request to a member.
    Request {
        /// The address of the member.
        to: SocketAddr,
        /// The request.
        message: ReplicaMessage,
    },
    /// Reply to a member's request.
    Reply {
        /// The exchange to reply on.
        via: InboundId,
        /// The reply.
        message: ReplicaMessage,
    },
    /// Open a new connection to a member whose answer is overdue.
    Redial {
        /// The address of the member.
        peer: SocketAddr,
    },
    /// Append to the journal and sync.
    Write {
        /// The number to report once the write is synced.
        id: WriteId,
        /// The entries to append.
        entries: Vec<Entry>,
    },
    /// Write the snapshot and begin a new journal with these entries.
    Replace {
        /// The number to report once the write is synced.
        id: WriteId,
        /// The snapshot to write.
        snapshot: Arc<Snapshot>,
        /// The complete content of the new journal.
        entries: Vec<Entry>,
    },
    /// Apply a committed record to the state.
    Apply(Record),
    /// Replace the state by that of a snapshot.
    Restore(Arc<Snapshot>),
    /// The replica no longer leads; the outcome of pending proposals is unknown.
    SteppedDown,
}
