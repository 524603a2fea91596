//! The changes of the members that a leader makes, one at a time.
//!
//! A list of members keeps no voter that is gone longer than needed: the group bears more losses
//! without it, once it has enough voters or a new one takes its place.

use std::net::SocketAddr;
use std::time::Duration;

use super::members::{MemberId, Members};
use super::progress::Progress;
use super::{LEADER_LEASE, Replica, Role};
use crate::control::state::Command;
use crate::model::Timestamp;

/// How long a voter must be silent to count as gone.
const VOTER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long a voter must be silent before a member that has caught up takes its place.
const SUCCESSION_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long any voter may be silent when an odd group gets one more.
const MAX_SILENCE: Duration = Duration::from_millis(200);
/// How long a member without a vote may be silent before it is removed.
const LEARNER_TIMEOUT: Duration = Duration::from_millis(5_000);
/// The maximum number of voters, unless the losses to bear at once need more.
const MAX_VOTERS: usize = 7;
/// The maximum number of members without a vote.
const MAX_LEARNERS: usize = 16;

/// A change of the members, with its reason.
struct Change {
    reason: &'static str,
    id: MemberId,
    address: SocketAddr,
    next: Members,
}

impl Replica {
    /// Appends the next change of the members, if one is due and the previous one is committed.
    pub(super) fn change_members(&mut self, now: Timestamp) {
        self.joining.expire(now);
        self.expire_notices(now);
        let settled = self.log.members_index() <= self.commit;
        if !settled || self.log.term_at(self.commit) != Some(self.term) {
            return;
        }
        let Some(change) = self.next_change(now) else { return };
        let voters: Vec<_> = change.next.voters().map(|(_, a)| a.to_string()).collect();
        ::log::info!(
            "step=members reason={} member={} id={} silent_ms={} epoch={} voters={}",
            change.reason,
            change.address,
            change.id.0,
            self.silence(now, change.id).as_millis(),
            change.next.epoch,
            voters.join(","),
        );
        self.append_own(Command::Members(change.next));
        self.advance_commit();
        self.send_all(now);
    }

    fn next_change(&self, now: Timestamp) -> Option<Change> {
        self.spare_voter(now)
            .map(|id| self.removal("gone", id))
            .or_else(|| self.promotion(now))
            .or_else(|| self.gone_learner(now).map(|id| self.removal("gone-learner", id)))
            .or_else(|| self.admission())
    }

    /// Returns how long a member has not replied to the leader.
    fn silence(&self, now: Timestamp, id: MemberId) -> Duration {
        let Role::Leader { since, .. } = &self.role else { return Duration::ZERO };
        if id == self.id { Duration::ZERO } else { now - self.last_reply(id).max(*since) }
    }

    /// Returns when the newest message was sent that a member has answered to this leader.
    fn last_reply(&self, id: MemberId) -> Timestamp {
        let Role::Leader { progress, .. } = &self.role else { return Timestamp::default() };
        progress.get(&id).map(Progress::acked).unwrap_or_default()
    }

    /// Returns the voters that are leaving or silent for longer than a limit, the one that has been
    /// silent longest first.
    fn gone_voters(&self, now: Timestamp, limit: Duration) -> Vec<MemberId> {
        let voters = self.members.voters().map(|(id, _)| id);
        let mut gone: Vec<_> = voters.filter(|id| self.is_gone(now, *id, limit)).collect();
        gone.sort_by_key(|id| std::cmp::Reverse(self.silence(now, *id)));
        gone
    }

    fn is_gone(&self, now: Timestamp, id: MemberId, limit: Duration) -> bool {
        self.silence(now, id) > limit || self.is_leaving(now, id, self.last_reply(id))
    }

    /// Returns a gone voter without which the group bears more losses, now or once another one is
    /// removed, too. What is committed must be on more disks than may be lost at once, so that
    /// many voters remain of which a majority is that large.
    fn spare_voter(&self, now: Timestamp) -> Option<MemberId> {
        let gone = self.gone_voters(now, VOTER_TIMEOUT);
        let count = self.members.voters().count();
        // An even number of voters bears no more losses than the odd number below it.
        let needed = if count.is_multiple_of(2) { 1 } else { 2 };
        let enough = count >= 2 * self.settings.losses + 1 + needed;
        gone.first().copied().filter(|_| enough && gone.len() >= needed)
    }

    /// Returns the change with which a member whose log has caught up gets its vote: first the
    /// removal of a voter whose place it takes, and then its own addition.
    fn promotion(&self, now: Timestamp) -> Option<Change> {
        let learners = self.members.all.iter().filter(|(_, m)| !m.voter);
        let mut ready =
            learners.map(|(id, m)| (*id, m.address)).filter(|(id, _)| self.has_caught_up(now, *id));
        // One for which there is no place must not keep another from its own.
        ready.find_map(|(id, address)| self.promotion_of(now, id, address))
    }

    fn promotion_of(&self, now: Timestamp, id: MemberId, address: SocketAddr) -> Option<Change> {
        // The old member at its address has lost its disk.
        if let Some(old) = self.members.at(address, true).filter(|old| *old != self.id) {
            return Some(self.removal("disk-lost", old));
        }
        let count = self.members.voters().count();
        let odd = !count.is_multiple_of(2);
        let gone = self.gone_voters(now, SUCCESSION_TIMEOUT);
        if let Some(gone) = gone.first().filter(|_| odd) {
            return Some(self.removal("replaced", *gone));
        }
        // With one more voter, an odd group needs a larger majority. It would not have that if a
        // silent one and then the new one were lost.
        let silent = |(id, _)| id != self.id && now - self.last_reply(id) > MAX_SILENCE;
        if odd && self.members.voters().any(silent) {
            return None;
        }
        let most = MAX_VOTERS.max(2 * self.settings.losses + 1);
        (count < most).then(|| Change {
            reason: "voter",
            id,
            address,
            next: self.members.with(id, address, true),
        })
    }

    fn has_caught_up(&self, now: Timestamp, id: MemberId) -> bool {
        let Role::Leader { progress, since } = &self.role else { return false };
        let replied =
            |p: &Progress| p.acked() > *since && now - p.acked() < LEADER_LEASE && p.is_level();
        progress.get(&id).is_some_and(replied)
    }

    /// Returns a member without a vote that is gone, or that another one at its address succeeds.
    fn gone_learner(&self, now: Timestamp) -> Option<MemberId> {
        let learners = self.members.all.iter().filter(|(_, m)| !m.voter);
        let gone = |id: MemberId, address: SocketAddr| {
            let request = self.joining.requests.get(&address);
            let succeeded = request.is_some_and(|(other, _)| *other != id);
            let limit = if succeeded { VOTER_TIMEOUT } else { LEARNER_TIMEOUT };
            self.silence(now, id) > limit && self.joining.requested(id).is_none()
        };
        learners.map(|(id, m)| (*id, m.address)).find(|(id, at)| gone(*id, *at)).map(|(id, _)| id)
    }

    /// Returns the change with which the next machine that requests to join becomes a member
    /// without a vote.
    fn admission(&self) -> Option<Change> {
        let learners = self.members.all.values().filter(|m| !m.voter).count();
        if learners >= MAX_LEARNERS {
            return None;
        }
        let is_new = |address: SocketAddr, id: MemberId| {
            address != self.settings.address
                && !self.members.all.contains_key(&id)
                && self.members.at(address, false).is_none()
        };
        let mut requests = self.joining.requests.iter().map(|(address, (id, _))| (*address, *id));
        let (address, id) = requests.find(|(address, id)| is_new(*address, *id))?;
        let next = self.members.with(id, address, false);
        Some(Change { reason: "learner", id, address, next })
    }

    fn removal(&self, reason: &'static str, id: MemberId) -> Change {
        let address = self.members.all.get(&id).map_or(self.settings.address, |m| m.address);
        Change { reason, id, address, next: self.members.without(id) }
    }
}
