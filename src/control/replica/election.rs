//! Elections: pre-votes, votes, and the step-down of a leader without a majority.

use std::net::SocketAddr;

use super::members::{MemberId, Votes};
use super::message::ReplicaBody;
use super::progress::Progress;
use super::{Action, ELECTION_TIMEOUT, Entry, LEADER_LEASE, Position, Replica, Role};
use crate::control::state::Command;
use crate::model::{InboundId, Timestamp};

impl Replica {
    /// Executes what is due now: heartbeats and the step-down of a leader, a pre-vote or a hello.
    pub(super) fn tick(&mut self, now: Timestamp) {
        if self.is_leader() {
            if self.lease_is_lost(now) {
                ::log::warn!("step=step-down term={} reason=no majority answers", self.term);
                self.follow(now, None);
                return;
            }
            self.change_members(now);
            self.advance_commit();
            self.send_due(now);
            return;
        }
        if self.leave.is_some() {
            self.give_notice(now);
            return;
        }
        if self.deadline.is_none_or(|d| now < d) || self.stalled {
            if self.stalled && self.deadline.is_some_and(|d| now >= d) {
                self.reset_deadline(now);
            }
            return;
        }
        if self.wants_to_join() {
            self.send_hello(now);
        } else {
            self.start_pre_vote(now);
        }
    }

    /// Becomes a follower of a leader, or of none yet.
    pub(super) fn follow(&mut self, now: Timestamp, leader: Option<SocketAddr>) {
        if self.is_leader() {
            self.actions.push(Action::SteppedDown);
        }
        let heard = leader.map(|_| now);
        self.role = Role::Follower { leader, heard };
        self.reset_deadline(now);
    }

    /// Adopts a higher term and becomes a follower.
    pub(super) fn adopt_term(&mut self, now: Timestamp, term: u64) {
        self.term = term;
        self.vote = None;
        self.write(vec![Entry::Vote { term, candidate: None }]);
        self.follow(now, None);
    }

    /// Records contact from the leader of this or a higher term, and follows it.
    pub(super) fn record_leader(&mut self, now: Timestamp, term: u64, leader: SocketAddr) {
        if term > self.term {
            self.adopt_term(now, term);
        }
        if self.leader() != Some(leader) {
            ::log::info!("step=follow leader={leader} term={term}");
        }
        self.follow(now, Some(leader));
    }

    /// Requests pre-votes from the other voters.
    fn start_pre_vote(&mut self, now: Timestamp) {
        let fails = matches!(self.role, Role::PreCandidate(_));
        self.redial_silent(now);
        self.reset_deadline(now);
        if fails {
            self.ask_for_members();
        }
        let own = [self.id].into();
        self.role = Role::PreCandidate(Votes { granted: own, answered: [self.id].into() });
        let body = ReplicaBody::PreVote { next: self.term + 1, last: self.log.last() };
        self.send_to_voters(&body);
        self.start_if_granted(now);
    }

    /// Redials the voters that did not reply in the last round.
    fn redial_silent(&mut self, now: Timestamp) {
        let (Role::PreCandidate(c) | Role::Candidate(c)) = &self.role else { return };
        let own = self.settings.address;
        let silent = self.members.voters().filter(|(id, _)| !c.answered.contains(id));
        let peers: Vec<_> = silent.map(|(_, peer)| peer).filter(|p| *p != own).collect();
        for peer in peers {
            self.redial(now, peer, now);
        }
    }

    fn send_to_voters(&mut self, body: &ReplicaBody) {
        let voters: Vec<_> = self.members.voters().filter(|(id, _)| *id != self.id).collect();
        for (id, to) in voters {
            let message = self.message(id, body.clone());
            self.after_sync(Action::Request { to, message });
        }
    }

    /// Returns whether this replica would vote for a candidate: it has no recent contact with a
    /// leader, and its log is not more complete than that of the candidate.
    pub(super) fn would_vote(&self, now: Timestamp, next: u64, last: Position) -> bool {
        next > self.term && !self.has_leader(now) && last >= self.log.last() && !self.stalled
    }

    fn has_leader(&self, now: Timestamp) -> bool {
        match &self.role {
            Role::Leader { .. } => true,
            Role::Follower { heard, .. } => heard.is_some_and(|at| now - at < ELECTION_TIMEOUT),
            _ => false,
        }
    }

    pub(super) fn count_pre_vote(
        &mut self,
        now: Timestamp,
        from: MemberId,
        next: u64,
        granted: bool,
    ) {
        if next != self.term + 1 {
            return;
        }
        let Role::PreCandidate(votes) = &mut self.role else { return };
        votes.answered.insert(from);
        if granted {
            votes.granted.insert(from);
        }
        self.start_if_granted(now);
    }

    fn start_if_granted(&mut self, now: Timestamp) {
        let Role::PreCandidate(votes) = &self.role else { return };
        if self.is_majority(votes) {
            self.start_election(now);
        }
    }

    fn is_majority(&self, votes: &Votes) -> bool {
        let granted = votes.granted.iter().filter(|id| self.members.is_voter(**id));
        granted.count() >= self.members.quorum()
    }

    /// Starts an election in the next term, with the vote for itself.
    pub(super) fn start_election(&mut self, now: Timestamp) {
        self.term += 1;
        self.vote = Some(self.id);
        self.write(vec![Entry::Vote { term: self.term, candidate: self.vote }]);
        self.reset_deadline(now);
        self.role = Role::Candidate(Votes::default());
        let body = ReplicaBody::Vote { last: self.log.last() };
        self.send_to_voters(&body);
    }

    /// Counts this replica's own vote once it is synced.
    pub(super) fn count_own_vote(&mut self, now: Timestamp) {
        if matches!(self.role, Role::Candidate(_)) && self.synced == self.written {
            self.count_vote(now, self.id, true);
        }
    }

    pub(super) fn vote_for(
        &mut self,
        now: Timestamp,
        via: InboundId,
        from: MemberId,
        term: u64,
        last: Position,
    ) {
        if self.has_leader(now) || term < self.term || self.stalled {
            self.answer_after_sync(via, from, ReplicaBody::Voted { granted: false });
            return;
        }
        if term > self.term {
            self.adopt_term(now, term);
        }
        let free = self.vote.is_none_or(|v| v == from);
        let granted = free && last >= self.log.last();
        if granted && self.vote.is_none() {
            self.vote = Some(from);
            self.write(vec![Entry::Vote { term, candidate: self.vote }]);
            self.reset_deadline(now);
        }
        self.answer_after_sync(via, from, ReplicaBody::Voted { granted });
    }

    pub(super) fn count_vote(&mut self, now: Timestamp, from: MemberId, granted: bool) {
        let Role::Candidate(votes) = &mut self.role else { return };
        votes.answered.insert(from);
        if granted {
            votes.granted.insert(from);
        }
        // A candidate leads only with its own vote, which counts once it is synced.
        let own = matches!(&self.role, Role::Candidate(c) if c.granted.contains(&self.id));
        if own && matches!(&self.role, Role::Candidate(c) if self.is_majority(c)) {
            self.lead(now);
        }
    }

    fn lead(&mut self, now: Timestamp) {
        ::log::info!("step=lead term={} last={}", self.term, self.log.last().index.0);
        self.role = Role::Leader { progress: Default::default(), since: now };
        self.append_own(Command::Noop);
        self.advance_commit();
        self.send_all(now);
    }

    /// Returns whether this replica leads and no other one can have replaced it unnoticed for longer
    /// than its lease lasts.
    pub fn holds_lease(&self, now: Timestamp) -> bool {
        self.is_leader() && !self.lease_is_lost(now)
    }

    /// Returns whether fewer voters than a majority have replied within the lease.
    fn lease_is_lost(&self, now: Timestamp) -> bool {
        let Role::Leader { progress, since } = &self.role else { return false };
        let acked = |id| match progress.get(&id) {
            _ if id == self.id => now,
            state => state.map_or(*since, Progress::acked).max(*since),
        };
        let fresh = self.members.voters().filter(|(id, _)| now - acked(*id) < LEADER_LEASE);
        fresh.count() < self.members.quorum()
    }
}
