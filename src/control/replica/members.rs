//! The members of the group, with and without a vote.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// The number of a member; a member whose disk was lost gets a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct MemberId(pub u64);

/// A member of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The address that the other members reach it at.
    pub address: SocketAddr,
    /// Whether it has a vote; a new member has none until its log has caught up.
    pub voter: bool,
}

/// The members of the group.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Members {
    /// The number of changes of the list of members so far.
    pub epoch: u64,
    /// The members by their number.
    pub all: BTreeMap<MemberId, Member>,
}

impl Members {
    /// Returns whether a member has a vote.
    pub fn is_voter(&self, id: MemberId) -> bool {
        self.all.get(&id).is_some_and(|m| m.voter)
    }

    /// Returns the numbers and addresses of the members with a vote.
    pub fn voters(&self) -> impl Iterator<Item = (MemberId, SocketAddr)> {
        self.all.iter().filter(|(_, m)| m.voter).map(|(id, m)| (*id, m.address))
    }

    /// Returns the number of voters that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    pub(super) fn at(&self, address: SocketAddr, voter: bool) -> Option<MemberId> {
        let found = |(_, m): &(&MemberId, &Member)| m.address == address && m.voter == voter;
        self.all.iter().find(found).map(|(id, _)| *id)
    }

    pub(super) fn with(&self, id: MemberId, address: SocketAddr, voter: bool) -> Members {
        let mut next = self.clone();
        next.epoch += 1;
        next.all.insert(id, Member { address, voter });
        next
    }

    pub(super) fn without(&self, id: MemberId) -> Members {
        let mut next = self.clone();
        next.epoch += 1;
        next.all.remove(&id);
        next
    }
}

/// The replies to a pre-vote or a request for votes.
#[derive(Debug, Default)]
pub struct Votes {
    /// The members that granted their vote.
    pub granted: BTreeSet<MemberId>,
    /// The members that replied at all.
    pub answered: BTreeSet<MemberId>,
}
