//! The members of the group, and how a member joins or is replaced, one change at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::message::{ReplicaBody, ReplicaMessage};
use super::{Action, Replica, Role};
use crate::control::state::Command;
use crate::model::{InboundId, Timestamp};

/// How long a join request remains valid after the last hello of the member.
const JOIN_TTL: Duration = Duration::from_millis(2_000);
/// How long a member without a vote may be silent before another at its address may replace it.
const LEARNER_TIMEOUT: Duration = Duration::from_millis(5_000);

/// How long a voter must be silent before a new machine may replace it, or before it is removed
/// from a group that tolerates as many losses without it.
const VOTER_TIMEOUT: Duration = Duration::from_millis(3_000);
/// The minimum number of voters of a group from which a silent one is removed without replacement.
const MIN_VOTERS_FOR_REMOVAL: usize = 4;
/// The maximum number of members of a group, including those without a vote.
const MAX_MEMBERS: usize = 7;

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

    fn at(&self, address: SocketAddr, voter: bool) -> Option<MemberId> {
        let found = |(_, m): &(&MemberId, &Member)| m.address == address && m.voter == voter;
        self.all.iter().find(found).map(|(id, _)| *id)
    }

    fn with(&self, id: MemberId, address: SocketAddr, voter: bool) -> Members {
        let mut next = self.clone();
        next.epoch += 1;
        next.all.insert(id, Member { address, voter });
        next
    }

    fn without(&self, id: MemberId) -> Members {
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

/// The state of members that request to join.
#[derive(Debug, Default)]
pub struct Joining {
    /// The last hello from each address, with its member and time; used by the leader.
    requests: BTreeMap<SocketAddr, (MemberId, Timestamp)>,
    /// The members that replied that they belong to no group; used by a member without a group.
    blank: BTreeMap<SocketAddr, MemberId>,
    /// The addresses that have not replied to the last hello yet.
    unanswered: BTreeSet<SocketAddr>,
}

impl Replica {
    /// Returns whether this replica has no vote and should request one.
    pub(super) fn wants_to_join(&self) -> bool {
        let removed = self.removed.is_some_and(|epoch| epoch >= self.members.epoch);
        removed || !self.members.is_voter(self.id)
    }

    /// Returns whether the committed list of members lacks a member that requests votes.
    pub(super) fn has_removed(&self, id: MemberId) -> bool {
        self.committed_members().is_some_and(|m| m.epoch > 0 && !m.all.contains_key(&id))
    }

    /// Records that the group has removed this member, which then requests to join again.
    pub(super) fn on_removal(&mut self, now: Timestamp, peer: SocketAddr, epoch: u64) {
        let known = self.members.epoch.max(self.removed.map_or(0, |e| e + 1));
        if epoch < known {
            return;
        }
        ::log::warn!("step=removed peer={peer} epoch={epoch} own_epoch={}", self.members.epoch);
        self.removed = Some(epoch);
        self.follow(now, None);
    }

    /// Sends a hello to all other members, since this replica has no vote.
    pub(super) fn send_hello(&mut self, now: Timestamp) {
        self.reset_deadline(now);
        // Replies to earlier hellos no longer count.
        self.joining.blank.clear();
        if self.try_found(now) {
            return;
        }
        let own = self.settings.address;
        let known = self.members.all.values().map(|m| m.address);
        let addresses: BTreeSet<_> = self.settings.members.iter().copied().chain(known).collect();
        let others: BTreeSet<_> = addresses.into_iter().filter(|a| *a != own).collect();
        for peer in std::mem::replace(&mut self.joining.unanswered, others.clone()) {
            self.redial(now, peer, now);
        }
        for to in others {
            let message = self.message(MemberId(0), ReplicaBody::Hello { joinable: true });
            self.actions.push(Action::Request { to, message });
        }
    }

    pub(super) fn hello(
        &mut self,
        now: Timestamp,
        via: InboundId,
        message: &ReplicaMessage,
        joinable: bool,
    ) {
        if joinable && (message.group.is_none() || message.group == self.group) {
            self.joining.requests.insert(message.address, (message.from, now));
        }
        let blank = self.group.is_none();
        self.answer(via, message.from, ReplicaBody::Welcome { blank });
    }

    pub(super) fn welcome(&mut self, now: Timestamp, peer: SocketAddr, id: MemberId, blank: bool) {
        self.joining.unanswered.remove(&peer);
        if self.group.is_some() {
            return;
        }
        if blank {
            self.joining.blank.insert(peer, id);
            self.try_found(now);
        } else {
            self.joining.blank.remove(&peer);
        }
    }

    /// Founds the group, if this member has the lowest address and all others belong to no group.
    fn try_found(&mut self, now: Timestamp) -> bool {
        let addresses: BTreeSet<_> = self.settings.members.iter().copied().collect();
        let own = self.settings.address;
        let others = || addresses.iter().filter(|a| **a != own);
        let complete = others().all(|a| self.joining.blank.contains_key(a));
        if self.group.is_some() || addresses.first() != Some(&own) || !complete {
            return false;
        }
        let mut members = Members::default().with(self.id, own, true);
        for (address, id) in std::mem::take(&mut self.joining.blank) {
            members = members.with(id, address, true);
        }
        ::log::info!("step=found members={members:?}");
        self.group = Some(self.id.0);
        self.write(vec![super::Entry::Group(self.id.0)]);
        self.adopt_term(now, 1);
        self.append_own(Command::Members(members));
        self.start_election(now);
        true
    }

    /// Appends the next change of the members, if one is due and the previous one is committed.
    pub(super) fn change_members(&mut self, now: Timestamp) {
        self.joining.requests.retain(|_, (_, at)| now - *at < JOIN_TTL);
        let all_vote = self.members.all.values().all(|m| m.voter);
        if self.joining.requests.is_empty() && all_vote && self.removable_voter(now).is_none() {
            return;
        }
        let settled = self.log.members_index() <= self.commit;
        if !settled || self.log.term_at(self.commit) != Some(self.term) {
            return;
        }
        if let Some(next) = self.next_members(now) {
            ::log::info!("step=members members={next:?}");
            self.append_own(Command::Members(next));
            self.advance_commit();
            self.send_all(now);
        }
    }

    /// Returns the silent voter that a new machine replaces. A member at a configured address
    /// replaces no other member, because it returns to its own entry.
    fn replaced_voter(&self, now: Timestamp, address: SocketAddr) -> Option<MemberId> {
        if self.settings.members.contains(&address) {
            return None;
        }
        self.silent_voter(now)
    }

    /// Returns a silent voter of a group with an even number of voters: without it, the group
    /// tolerates as many further losses.
    fn removable_voter(&self, now: Timestamp) -> Option<MemberId> {
        let count = self.members.voters().count();
        let even = count >= MIN_VOTERS_FOR_REMOVAL && count.is_multiple_of(2);
        if even { self.silent_voter(now) } else { None }
    }

    /// Returns a voter that has not replied for longer than [`VOTER_TIMEOUT`].
    fn silent_voter(&self, now: Timestamp) -> Option<MemberId> {
        let Role::Leader { progress, since } = &self.role else { return None };
        let silent = |id: &MemberId| {
            let acked = progress.get(id).map_or(*since, |p| p.acked().max(*since));
            *id != self.id && now - acked > VOTER_TIMEOUT
        };
        self.members.voters().map(|(id, _)| id).find(silent)
    }

    fn next_members(&self, now: Timestamp) -> Option<Members> {
        let Role::Leader { progress, since } = &self.role else { return None };
        for (id, member) in self.members.all.iter().filter(|(_, m)| !m.voter) {
            let state = progress.get(id)?;
            if state.acked() > *since && state.matched() >= self.commit {
                // The old member at this address has lost its disk, so it is removed first.
                let old = self.members.at(member.address, true);
                let old = old.or_else(|| self.replaced_voter(now, member.address));
                let next = old.map(|old| self.members.without(old));
                return next.or_else(|| Some(self.members.with(*id, member.address, true)));
            }
            let silent = now - state.acked().max(*since) > LEARNER_TIMEOUT;
            let request = self.joining.requests.get(&member.address);
            if silent && request.is_some_and(|(other, _)| other != id) {
                return Some(self.members.without(*id));
            }
        }
        if let Some(spare) = self.removable_voter(now) {
            return Some(self.members.without(spare));
        }
        let learner = |address: &SocketAddr| self.members.at(*address, false).is_some();
        let allowed = |address: &SocketAddr| {
            self.settings.members.contains(address)
                || self.members.at(*address, true).is_some()
                || self.members.all.len() < MAX_MEMBERS
        };
        let new = self.joining.requests.iter().find(|(address, (id, _))| {
            !self.members.all.contains_key(id) && !learner(address) && allowed(address)
        });
        new.map(|(address, (id, _))| self.members.with(*id, *address, false))
    }
}
