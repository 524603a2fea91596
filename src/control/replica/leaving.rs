//! A member whose process shuts down: it hands over its leadership, and tells the others, so that
//! they need not wait until it is silent.

use std::time::Duration;

use super::members::MemberId;
use super::message::{ReplicaBody, ReplicaMessage};
use super::{ANSWER_TIMEOUT, Action, ELECTION_JITTER, Replica, Role};
use crate::model::{InboundId, Timestamp};

/// The time between two notices of a member that leaves.
const NOTICE_INTERVAL: Duration = Duration::from_millis(200);
/// How long a notice counts, unless the member still answers [`NOTICE_GAP`] after it.
const NOTICE_TTL: Duration = Duration::from_millis(2_500);
/// How long after its last notice a member must answer to count as one that has started again.
const NOTICE_GAP: Duration = Duration::from_millis(600);
/// How long a member waits at most until the group has taken its vote.
const REMOVAL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// When a member began to leave, and when its next notice is due.
#[derive(Debug)]
pub struct Leave {
    since: Timestamp,
    next: Timestamp,
}

impl Leave {
    /// Returns when the next notice is due.
    pub fn next_wake(&self) -> Timestamp {
        self.next
    }
}

impl Replica {
    /// Begins to leave, since the process shuts down: a leader steps down, and all members are
    /// told. This replica starts no election any more.
    ///
    /// ```
    /// use dotterelpin::control::replica::{MemberId, Replica, ReplicaSettings, Stored};
    /// use dotterelpin::model::Timestamp;
    ///
    /// let address = "127.0.0.1:7000".parse().unwrap();
    /// let settings = ReplicaSettings::new(address, vec![address], 1);
    /// let mut replica = Replica::new(settings, Stored::new(MemberId(1)));
    /// let now = Timestamp::from_micros(1);
    /// assert!(!replica.has_left(now), "it was not asked to leave");
    /// replica.leave(now);
    /// assert!(replica.has_left(now), "it has no vote that could be awaited");
    /// ```
    pub fn leave(&mut self, now: Timestamp) -> Vec<Action> {
        if self.leave.is_some() {
            return Vec::new();
        }
        let leads = self.is_leader();
        ::log::info!(
            "step=leaving leads={leads} term={} waits={}",
            self.term,
            self.awaits_removal()
        );
        if !matches!(self.role, Role::Follower { .. }) {
            self.follow(now, None);
        }
        self.leave = Some(Leave { since: now, next: now });
        self.give_notice(now);
        std::mem::take(&mut self.actions)
    }

    /// Returns whether the process may end: no vote of this member remains that the group is about
    /// to take, or that has been awaited long enough.
    pub fn has_left(&self, now: Timestamp) -> bool {
        let Some(leave) = &self.leave else { return false };
        !self.awaits_removal() || now - leave.since >= REMOVAL_TIMEOUT
    }

    /// Returns whether the group may take the vote of this member without waiting for its return:
    /// it bears as many losses without it, or has a machine to take its place.
    fn awaits_removal(&self) -> bool {
        let voters = self.members.voters().count();
        let spare = voters.is_multiple_of(2) && voters > 2 * self.settings.losses + 1;
        let succeeded = self.members.all.values().any(|m| !m.voter);
        !self.wants_to_join() && (spare || succeeded)
    }

    /// Sends a notice to all other members, if it is due.
    pub(super) fn give_notice(&mut self, now: Timestamp) {
        let Some(leave) = self.leave.as_mut().filter(|l| now >= l.next) else { return };
        leave.next = now + NOTICE_INTERVAL;
        let all = self.members.all.iter().filter(|(id, _)| **id != self.id);
        let others: Vec<_> = all.map(|(id, m)| (*id, m.address)).collect();
        for (id, to) in others {
            // A follower talks to the others rarely, so it may not know that a connection is lost.
            let heard = self.links.get(&to).map(|l| l.heard).unwrap_or_default();
            if now - heard >= ANSWER_TIMEOUT {
                self.redial(now, to, now);
            }
            let message = self.message(id, ReplicaBody::Leaving);
            self.actions.push(Action::Request { to, message });
        }
    }

    /// Records that another member leaves, and answers once it is no longer in the group. If it has
    /// led, the next election need not wait for its silence.
    pub(super) fn on_notice(&mut self, now: Timestamp, via: InboundId, message: &ReplicaMessage) {
        let from = message.from;
        if self.has_removed(from) {
            let epoch = self.members.epoch;
            self.answer(via, from, ReplicaBody::Removed { epoch });
            return;
        }
        if self.leaving.insert(from, now).is_none() {
            ::log::info!("step=leaving member={} id={}", message.address, from.0);
        }
        self.answer(via, from, ReplicaBody::Noticed);
        let led =
            matches!(self.role, Role::Follower { leader: Some(l), .. } if l == message.address);
        if led {
            self.follow(now, None);
            let spread = self.random(ELECTION_JITTER / 2);
            self.deadline = Some(now + spread);
        }
    }

    /// Returns whether a member has given notice that it leaves and has not started again since;
    /// `acked` is when the newest message was sent that it answered.
    pub(super) fn is_leaving(&self, now: Timestamp, id: MemberId, acked: Timestamp) -> bool {
        let noticed = self.leaving.get(&id);
        noticed.is_some_and(|at| now - *at < NOTICE_TTL && acked - *at < NOTICE_GAP)
    }

    /// Drops the notices that no longer count.
    pub(super) fn expire_notices(&mut self, now: Timestamp) {
        self.leaving.retain(|_, at| now - *at < NOTICE_TTL);
    }
}
