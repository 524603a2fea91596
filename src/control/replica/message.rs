//! What replicas tell each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::members::MemberId;
use super::{LogIndex, Position, Record};
use crate::model::Timestamp;

/// A message between replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicaMessage {
    /// The group, once the sender belongs to one.
    pub cluster: Option<u64>,
    /// The sender.
    pub from: MemberId,
    /// The sender's address.
    pub address: SocketAddr,
    /// The member that is meant, whoever has its address by now.
    pub to: MemberId,
    /// The sender's term.
    pub term: u64,
    /// What it says.
    pub body: ReplicaBody,
}

/// What a message says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ReplicaBody {
    /// Request: the sender has no vote yet.
    Hello {
        /// Whether it never had one under its number.
        joinable: bool,
    },
    /// Answer to a hello.
    Welcome {
        /// Whether the member belongs to no group yet either.
        blank: bool,
    },
    /// Request: would you vote for the sender?
    PreVote {
        /// The term that it would stand in.
        next: u64,
        /// The end of its log.
        last: Position,
    },
    /// Answer to a pre-vote.
    PreVoted {
        /// The term.
        next: u64,
        /// Whether it would.
        granted: bool,
    },
    /// Request: vote for the sender in its term.
    Vote {
        /// The end of its log.
        last: Position,
    },
    /// Answer to a request for a vote.
    Voted {
        /// Whether the vote was given.
        granted: bool,
    },
    /// Request: append records.
    Append {
        /// The position before the records.
        previous: Position,
        /// The records.
        records: Vec<Record>,
        /// What is committed.
        commit: LogIndex,
        /// When it was sent, by the leader's clock.
        sent: Timestamp,
    },
    /// Answer to an append.
    Appended {
        /// Whether the logs match up to `end`.
        matched: bool,
        /// The end of what matches, or where to look for it.
        end: LogIndex,
        /// When the request was sent.
        sent: Timestamp,
    },
    /// Request: take a piece of a snapshot.
    Chunk {
        /// The end of the snapshot.
        position: Position,
        /// Where the piece begins.
        offset: u64,
        /// The size of the whole.
        total: u64,
        /// The piece.
        bytes: Vec<u8>,
        /// When it was sent, by the leader's clock.
        sent: Timestamp,
    },
    /// Answer to a piece of a snapshot.
    Received {
        /// The end of the snapshot.
        position: Position,
        /// How many bytes are there.
        offset: u64,
        /// When the request was sent.
        sent: Timestamp,
    },
    /// Answer: the sender's term is an old one.
    Outdated,
    /// Answer to a pre-vote: the sender belongs to the group no more.
    Removed {
        /// The epoch of a committed list of members without it.
        epoch: u64,
    },
}
