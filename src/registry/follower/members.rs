//! Which control members a follower asks, and which of them have a vote.

use std::net::SocketAddr;

use super::Follower;
use super::member::Member;
use crate::link::message::{ControlNotice, Proof};
use crate::model::Timestamp;
use crate::registry::majority::{self, Reason};

impl Follower {
    /// Returns the addresses of the members with a vote according to the newest list that is known,
    /// or those of all members if there is none yet: the settings may name some that are gone.
    ///
    /// ```
    /// use dotterelpin::model::BootId;
    /// use dotterelpin::registry::{Follower, FollowerSettings};
    ///
    /// let member = "127.0.0.1:7000".parse().unwrap();
    /// let follower = Follower::new(FollowerSettings {
    ///     name: "gateway-0".into(), role: "gateway".into(), domain: "brno-a".into(),
    ///     boot: BootId(1), address: None, members: vec![member], endpoints: true, routes: true,
    /// });
    /// assert_eq!(follower.voters(), [member]);
    /// ```
    pub fn voters(&self) -> Vec<SocketAddr> {
        let newest = self.newest_proof().map(|proof| proof.voters.clone());
        newest.unwrap_or_else(|| self.members().collect())
    }

    /// Returns the proof with the newest list of voters. Of two lists with the same number one was
    /// never committed: the one that fewer members have, or the one that was received earlier.
    pub(super) fn newest_proof(&self) -> Option<&Proof> {
        let proofs = || self.members.iter().filter_map(|m| m.proof.as_ref());
        let holders = |voters: &[SocketAddr]| proofs().filter(|(p, _)| p.voters == voters).count();
        let newest = proofs().max_by_key(|(p, at)| (p.epoch, holders(&p.voters), *at));
        newest.map(|(proof, _)| proof)
    }

    /// Asks the voters of the newest list that is proved, once it has come.
    pub(super) fn follow_voters(&mut self) {
        let Some(newest) = self.newest_proof() else { return };
        let epoch = newest.epoch;
        self.contacts.supersede(epoch);
        self.follow(Reason::Voters { epoch });
    }

    /// Takes the members that the settings name from now on. The newest list of voters that is
    /// known stays in force: a member that is only named has no vote.
    ///
    /// ```
    /// use dotterelpin::model::BootId;
    /// use dotterelpin::registry::{Follower, FollowerSettings};
    ///
    /// let member = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    /// let mut follower = Follower::new(FollowerSettings {
    ///     name: "gateway-0".into(), role: "gateway".into(), domain: "brno-a".into(),
    ///     boot: BootId(1), address: None, members: vec![member(7000)], endpoints: true,
    ///     routes: true,
    /// });
    /// follower.name_members(vec![member(7001)]);
    /// assert_eq!(follower.members().collect::<Vec<_>>(), [member(7001)]);
    /// ```
    pub fn name_members(&mut self, addresses: Vec<SocketAddr>) {
        self.settings.members = addresses;
        self.follow(Reason::Settings);
    }

    /// Takes a member's notice of who votes, unless a newer list is known: heartbeats to these
    /// members become due at once, and only what they prove in their replies counts.
    ///
    /// ```
    /// use dotterelpin::link::message::ControlNotice;
    /// use dotterelpin::model::{BootId, Timestamp};
    /// use dotterelpin::registry::{Follower, FollowerSettings};
    ///
    /// let [gone, new] = ["127.0.0.1:7000", "127.0.0.1:7001"].map(|a| a.parse().unwrap());
    /// let mut follower = Follower::new(FollowerSettings {
    ///     name: "gateway-0".into(), role: "gateway".into(), domain: "brno-a".into(),
    ///     boot: BootId(1), address: "127.0.0.1:8000".parse().ok(), members: vec![gone],
    ///     endpoints: true, routes: true,
    /// });
    /// let notice = ControlNotice::new("gateway".into(), 4, vec![new]).unwrap();
    /// follower.noticed(Timestamp::from_micros(1), &notice);
    /// assert_eq!(follower.members().collect::<Vec<_>>(), [gone, new]);
    /// ```
    pub fn noticed(&mut self, now: Timestamp, notice: &ControlNotice) {
        let proven = self.newest_proof().map_or(0, |proof| proof.epoch);
        if notice.epoch() < proven || !self.contacts.take(notice) {
            return;
        }
        self.follow(Reason::Notice { epoch: notice.epoch() });
        for member in &mut self.members {
            if notice.voters().contains(&member.address) {
                member.due = member.due.min(now);
            }
        }
    }

    /// Asks the voters, the members that a notice has named and those in the settings, and no others.
    pub(super) fn follow(&mut self, reason: Reason) {
        let before: Vec<SocketAddr> = self.members().collect();
        let mut followed = self.newest_proof().map(|p| p.voters.clone()).unwrap_or_default();
        followed.extend_from_slice(self.contacts.addresses());
        followed.extend_from_slice(&self.settings.members);
        self.members.retain(|m| followed.contains(&m.address));
        for address in followed {
            if self.members.iter().all(|m| m.address != address) {
                self.members.push(Member::new(address));
            }
        }
        let after: Vec<SocketAddr> = self.members().collect();
        self.changed |= before != after;
        majority::log_change(reason, &before, &after);
    }

    /// Returns the addresses of all members that this process follows: those in the settings and
    /// all voters.
    ///
    /// ```
    /// use dotterelpin::model::BootId;
    /// use dotterelpin::registry::{Follower, FollowerSettings};
    ///
    /// let member = "127.0.0.1:7000".parse().unwrap();
    /// let follower = Follower::new(FollowerSettings {
    ///     name: "gateway-0".into(), role: "gateway".into(), domain: "brno-a".into(),
    ///     boot: BootId(1), address: None, members: vec![member], endpoints: true, routes: true,
    /// });
    /// assert_eq!(follower.members().collect::<Vec<_>>(), [member]);
    /// ```
    pub fn members(&self) -> impl Iterator<Item = SocketAddr> {
        self.members.iter().map(|m| m.address)
    }

    /// Returns the members whose boot in a reply has differed from the one before since the last
    /// call, so that their soft state is empty; the first reply of a member counts, too.
    ///
    /// ```
    /// use dotterelpin::model::BootId;
    /// use dotterelpin::registry::{Follower, FollowerSettings};
    ///
    /// let mut follower = Follower::new(FollowerSettings {
    ///     name: "gateway-0".into(), role: "gateway".into(), domain: "brno-a".into(),
    ///     boot: BootId(1), address: None, members: vec!["127.0.0.1:7000".parse().unwrap()],
    ///     endpoints: true, routes: true,
    /// });
    /// assert!(follower.take_restarted().is_empty(), "no member has replied yet");
    /// ```
    pub fn take_restarted(&mut self) -> Vec<SocketAddr> {
        let take = |m: &mut Member| std::mem::take(&mut m.restarted).then_some(m.address);
        self.members.iter_mut().filter_map(take).collect()
    }
}
