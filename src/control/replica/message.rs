//! The messages between replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::members::MemberId;
use super::{LogIndex, Position, Record};
use crate::model::Timestamp;

/// A message between replicas.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicaMessage {
    /// The sender's group; `None` until it belongs to one.
    pub group: Option<u64>,
    /// The number of the sender.
    pub from: MemberId,
    /// The sender's address.
    pub address: SocketAddr,
    /// The number of the intended receiver; another member may use its address by now.
    pub to: MemberId,
    /// The sender's term.
    pub term: u64,
    /// The content.
    pub body: ReplicaBody,
}

/// The members of a group as one of them knows them, for a machine that looks for the leader.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Contacts {
    /// The epoch of the committed list of members; 0 if none is known.
    pub epoch: u64,
    /// The members in that list.
    pub members: BTreeMap<MemberId, SocketAddr>,
    /// The leader, if it is known.
    pub leader: Option<SocketAddr>,
}

impl Contacts {
    /// Returns the addresses of the members and of the leader.
    ///
    /// ```
    /// use dotterelpin::control::replica::Contacts;
    ///
    /// let leader = Some("10.0.0.1:7000".parse().unwrap());
    /// let contacts = Contacts { leader, ..Contacts::default() };
    /// assert_eq!(contacts.addresses().collect::<Vec<_>>(), leader.as_slice());
    /// ```
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.values().copied().chain(self.leader)
    }
}

/// The content of a message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ReplicaBody {
    /// Request: the sender has no vote yet.
    Hello {
        /// Whether the receiver may add the sender as a new member.
        joinable: bool,
    },
    /// Reply to a hello.
    Welcome {
        /// Whether the replying member belongs to no group yet.
        blank: bool,
        /// Whether the replying member may found the group.
        founds: bool,
        /// Whom else of the group the receiver can ask.
        contacts: Contacts,
    },
    /// Request: whether the receiver would vote for the sender.
    PreVote {
        /// The term that the sender would start an election in.
        next: u64,
        /// The position of the last record of its log.
        last: Position,
    },
    /// Reply to a pre-vote.
    PreVoted {
        /// The term of the pre-vote.
        next: u64,
        /// Whether the member would vote for the receiver.
        granted: bool,
    },
    /// Request: vote for the sender in its term.
    Vote {
        /// The position of the last record of its log.
        last: Position,
    },
    /// Reply to a request for a vote.
    Voted {
        /// Whether the vote was granted.
        granted: bool,
    },
    /// Request: append records.
    Append {
        /// The position before the records.
        previous: Position,
        /// The records to append; none for a heartbeat or a probe.
        records: Vec<Record>,
        /// The index of the last committed record.
        commit: LogIndex,
        /// When it was sent, by the leader's clock.
        sent: Timestamp,
    },
    /// Reply to an append.
    Appended {
        /// Whether the logs match up to `end`.
        matched: bool,
        /// The index up to which the logs match, or at which the leader probes next.
        end: LogIndex,
        /// When the request was sent, by the leader's clock.
        sent: Timestamp,
    },
    /// Request: receive a chunk of a snapshot.
    Chunk {
        /// The position of the last record that the snapshot includes.
        position: Position,
        /// The offset of the chunk in the encoded snapshot.
        offset: u64,
        /// The size of the encoded snapshot in bytes.
        total: u64,
        /// The bytes of the chunk.
        bytes: Vec<u8>,
        /// When it was sent, by the leader's clock.
        sent: Timestamp,
    },
    /// Reply to a chunk of a snapshot.
    Received {
        /// The position of the last record that the snapshot includes.
        position: Position,
        /// The number of bytes received so far.
        offset: u64,
        /// When the request was sent, by the leader's clock.
        sent: Timestamp,
    },
    /// Reply: the term of the request is older than that of the replying member.
    Outdated,
    /// Reply to a pre-vote or a notice: the requesting member is no longer in the group.
    Removed {
        /// The epoch of a committed list of members without it.
        epoch: u64,
    },
    /// Notice: the process of the sender shuts down, and the sender leads no more.
    Leaving,
    /// Reply: the notice was received.
    Noticed,
}
