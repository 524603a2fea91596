//! What a replica is told, and what it wants done.

use std::net::SocketAddr;
use std::sync::Arc;

use super::{Entry, Record, ReplicaMessage, Snapshot, WriteId};
use crate::model::InboundId;

/// Who a replica is.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    /// The member's own address.
    pub address: SocketAddr,
    /// The addresses of all members.
    pub members: Vec<SocketAddr>,
    /// The seed of its timeouts.
    pub seed: u64,
    /// Records after which the log is cut behind a snapshot.
    pub compact_after: usize,
    /// Records before a snapshot that are kept for members that are a little behind.
    pub kept: usize,
}

impl ReplicaSettings {
    /// Makes the settings of a member in production.
    pub fn new(address: SocketAddr, members: Vec<SocketAddr>, seed: u64) -> ReplicaSettings {
        ReplicaSettings { address, members, seed, compact_after: 8_192, kept: 2_048 }
    }
}

/// What a replica is told.
#[derive(Debug)]
pub enum ReplicaInput {
    /// A member sent a request.
    Request {
        /// The exchange to answer on.
        via: InboundId,
        /// The request.
        message: ReplicaMessage,
    },
    /// A member answered.
    Reply {
        /// Its address.
        peer: SocketAddr,
        /// The answer.
        message: ReplicaMessage,
    },
    /// Messages to a member that were not answered yet are lost.
    Lost {
        /// Its address.
        peer: SocketAddr,
    },
    /// All writes up to this one are synced.
    Synced(WriteId),
    /// The disk takes no writes for now.
    Stalled,
    /// The time that was asked for has come.
    Wake,
}

/// What a replica wants done.
#[derive(Debug)]
pub enum Action {
    /// Send a request to a member.
    Request {
        /// Its address.
        to: SocketAddr,
        /// The request.
        message: ReplicaMessage,
    },
    /// Answer a member's request.
    Reply {
        /// The exchange.
        via: InboundId,
        /// The answer.
        message: ReplicaMessage,
    },
    /// Use a fresh connection to a member that is overdue.
    Redial {
        /// Its address.
        peer: SocketAddr,
    },
    /// Append to the journal and sync.
    Write {
        /// The write.
        id: WriteId,
        /// What to append.
        entries: Vec<Entry>,
    },
    /// Write the snapshot and begin a new journal with these entries.
    Replace {
        /// The write.
        id: WriteId,
        /// The snapshot.
        snapshot: Arc<Snapshot>,
        /// The whole new journal.
        entries: Vec<Entry>,
    },
    /// A record is committed.
    Apply(Record),
    /// The state is that of the snapshot now.
    Restore(Arc<Snapshot>),
    /// The replica leads no more; what becomes of its open proposals is not known.
    SteppedDown,
}
