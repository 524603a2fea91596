//! How a machine without a vote requests one, and how the first members found the group.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use super::members::{MemberId, Members};
use super::message::{Contacts, ReplicaBody, ReplicaMessage};
use super::{Action, Entry, Record, Replica};
use crate::control::state::Command;
use crate::model::{InboundId, Timestamp};

/// How long a request to join remains valid after the last hello of the member.
const JOIN_TTL: Duration = Duration::from_millis(2_000);
/// How long a founder that the settings no longer name must be silent until it is replaced.
const FOUNDER_TIMEOUT: Duration = Duration::from_millis(4_000);
/// The term of the record with which the group is founded.
const FIRST_TERM: u64 = 1;

/// The state of members that request to join.
#[derive(Debug, Default)]
pub struct Joining {
    /// The addresses that found the group, as this member was told at its first start; empty if
    /// it was told none. All that were started then know the same ones, while later settings
    /// differ: if each counted its own, two groups could be founded, or none.
    founders: BTreeSet<SocketAddr>,
    /// The last hello from each address, with its member and time; used by the leader.
    pub(super) requests: BTreeMap<SocketAddr, (MemberId, Timestamp)>,
    /// The members that replied that they belong to no group, and whether they may found one; used
    /// by a member without a group.
    blank: BTreeMap<SocketAddr, (MemberId, bool)>,
    /// The addresses that have not replied to the last hello yet.
    unanswered: BTreeSet<SocketAddr>,
    /// The addresses that the last hello went to.
    greeted: BTreeSet<SocketAddr>,
    /// The members that the settings have named since the start, if they have changed.
    named: Option<Vec<SocketAddr>>,
    /// The newest list of the members of the group that was received.
    contacts: Contacts,
    /// The last member that sent a message to the former member at this address.
    met: Option<SocketAddr>,
    /// When the first hello was sent.
    first_hello: Option<Timestamp>,
}

impl Joining {
    /// Creates the state of a member whose disk names these founders.
    pub(super) fn new(founders: BTreeSet<SocketAddr>) -> Joining {
        Joining { founders, ..Joining::default() }
    }

    /// Drops the requests that are no longer valid.
    pub(super) fn expire(&mut self, now: Timestamp) {
        self.requests.retain(|_, (_, at)| now - *at < JOIN_TTL);
    }

    /// Returns when a member last requested to join, if that request is still valid.
    pub(super) fn requested(&self, id: MemberId) -> Option<Timestamp> {
        self.requests.values().find(|(other, _)| *other == id).map(|(_, at)| *at)
    }
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
        self.renew_founders(now);
        // Replies to earlier hellos no longer count.
        self.joining.blank.clear();
        if self.try_found(now) {
            return;
        }
        let others = self.greetable();
        for peer in std::mem::take(&mut self.joining.unanswered) {
            self.redial(now, peer, now);
        }
        if others != self.joining.greeted {
            let to: Vec<_> = others.iter().map(SocketAddr::to_string).collect();
            ::log::info!("step=hello to={}", to.join(","));
        }
        self.joining.unanswered = others.clone();
        self.joining.greeted = others.clone();
        self.greet(others, true);
    }

    /// Asks all machines that may be members for the present list, since the voters that this
    /// replica knows may all have been replaced.
    pub(super) fn ask_for_members(&mut self) {
        let voters: BTreeSet<_> = self.members.voters().map(|(_, address)| address).collect();
        let others = self.greetable();
        self.greet(others.difference(&voters).copied().collect(), false);
    }

    /// Returns the addresses of all machines that may be members: those in the settings, in the own
    /// list, in the newest list that was received and, until this replica belongs to a group, the
    /// founders.
    fn greetable(&self) -> BTreeSet<SocketAddr> {
        let founders = self.joining.founders.iter().copied().filter(|_| self.group.is_none());
        let known = self.members.all.values().map(|m| m.address).chain(founders);
        let known = known.chain(self.joining.contacts.addresses()).chain(self.joining.met);
        let all = self.named().into_iter().chain(known);
        all.filter(|a| *a != self.settings.address).collect()
    }

    /// Returns the addresses in the settings. Those of the start count, too, until there is a group:
    /// they alone may found it.
    fn named(&self) -> Vec<SocketAddr> {
        let founders = self.settings.members.iter().copied();
        match &self.joining.named {
            Some(named) if self.group.is_some() => named.clone(),
            Some(named) => founders.chain(named.iter().copied()).collect(),
            None => founders.collect(),
        }
    }

    /// Takes the members that the settings name from now on as contacts, and greets new ones at once
    /// if this replica has no vote.
    pub(super) fn name_members(&mut self, addresses: Vec<SocketAddr>) {
        self.joining.named = Some(addresses);
        self.greet_new();
    }

    fn greet(&mut self, addresses: BTreeSet<SocketAddr>, joinable: bool) {
        for to in addresses {
            let message = self.message(MemberId(0), ReplicaBody::Hello { joinable });
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
        let contacts = self.contacts();
        let founds = self.founds;
        self.answer(via, message.from, ReplicaBody::Welcome { blank, founds, contacts });
    }

    fn contacts(&self) -> Contacts {
        let leader = self.leader();
        let Some(list) = self.committed_members() else {
            return Contacts { leader, ..Contacts::default() };
        };
        let members = list.all.iter().map(|(id, m)| (*id, m.address)).collect();
        Contacts { epoch: list.epoch, members, leader }
    }

    /// Processes the reply to a hello: only the leader admits a new member, and those that were
    /// asked may all be others.
    pub(super) fn welcome(&mut self, now: Timestamp, peer: SocketAddr, message: ReplicaMessage) {
        let ReplicaBody::Welcome { blank, founds, contacts } = message.body else { return };
        self.joining.unanswered.remove(&peer);
        if self.group.is_none() && blank {
            self.joining.blank.insert(peer, (message.from, founds));
            self.try_found(now);
            return;
        }
        self.joining.blank.remove(&peer);
        if self.group.is_some() && self.group != message.group {
            return;
        }
        let lacks_own = contacts.epoch > 0 && !contacts.members.contains_key(&self.id);
        if self.group.is_some() && lacks_own && contacts.epoch > self.members.epoch {
            self.on_removal(now, peer, contacts.epoch);
        }
        self.learn_contacts(contacts);
    }

    fn learn_contacts(&mut self, contacts: Contacts) {
        if contacts.epoch >= self.joining.contacts.epoch {
            self.joining.contacts = contacts;
        } else {
            self.joining.contacts.leader = contacts.leader.or(self.joining.contacts.leader);
        }
        self.greet_new();
    }

    /// Records who sent a message that is for a former member at this address: all machines that
    /// the settings name may be gone.
    pub(super) fn meet(&mut self, message: &ReplicaMessage) {
        let known = self.group.is_none() || self.group == message.group;
        if message.group.is_some() && known && self.wants_to_join() {
            self.joining.met = Some(message.address);
            self.greet_new();
        }
    }

    /// Sends a hello to those that the last one did not go to, if this replica has no vote.
    fn greet_new(&mut self) {
        if !self.wants_to_join() {
            return;
        }
        let new: BTreeSet<_> =
            self.greetable().difference(&self.joining.greeted).copied().collect();
        if !new.is_empty() {
            let to: Vec<_> = new.iter().map(SocketAddr::to_string).collect();
            ::log::info!("step=hello to={} epoch={}", to.join(","), self.joining.contacts.epoch);
            self.joining.greeted.extend(&new);
            self.greet(new, true);
        }
    }

    /// Notes on the disk of a member without a group that it may found one, and with whom: when it
    /// starts again, its settings don't tell, since the group may exist by then.
    pub(super) fn note_founding(&mut self) {
        if self.settings.founds && !self.founds && self.group.is_none() {
            let founders: BTreeSet<_> = self.settings.members.iter().copied().collect();
            self.founds = true;
            self.joining.founders = founders.clone();
            self.write(vec![Entry::Founds, Entry::Founders(founders)]);
        }
    }

    /// Replaces the noted founders by the members that the settings name now, once those that these
    /// leave out have been silent for [`FOUNDER_TIMEOUT`]: they may have been lost before there was a
    /// group. Only the one that founds the group with the noted ones does so, and only while most of
    /// these stay: whoever belongs to the group keeps the others from founding another one.
    fn renew_founders(&mut self, now: Timestamp) {
        let own = self.settings.address;
        let since = *self.joining.first_hello.get_or_insert(now);
        let noted = &self.joining.founders;
        let named = self.joining.named.as_ref().unwrap_or(&self.settings.members);
        let named: BTreeSet<_> = named.iter().copied().collect();
        let is_free = self.founds && self.group.is_none() && self.joining.contacts.epoch == 0;
        let decides = noted.first() == Some(&own) && named.contains(&own);
        let overlap = noted.intersection(&named).count();
        if !is_free || !decides || named == *noted || overlap * 2 <= noted.len() {
            return;
        }
        let is_gone = |a: &SocketAddr| !self.joining.blank.contains_key(a);
        if now - since < FOUNDER_TIMEOUT || !noted.difference(&named).all(is_gone) {
            return;
        }
        let to: Vec<_> = named.iter().map(SocketAddr::to_string).collect();
        ::log::info!("step=founders to={}", to.join(","));
        self.joining.founders = named.clone();
        self.write(vec![Entry::Founders(named)]);
    }

    /// Returns the addresses of the members that found the group.
    fn founders(&self) -> BTreeSet<SocketAddr> {
        if self.joining.founders.is_empty() {
            return self.settings.members.iter().copied().collect();
        }
        self.joining.founders.clone()
    }

    /// Founds the group, if no founder belongs to one, most of them say that they may found it and
    /// this is the one of those with the lowest address. Members with empty disks alone found none:
    /// they may have lost those of a group that exists.
    fn try_found(&mut self, now: Timestamp) -> bool {
        let addresses = self.founders();
        let own = self.settings.address;
        let blank = |a: &SocketAddr| *a == own || self.joining.blank.contains_key(a);
        let may_found = |a: &SocketAddr| match self.joining.blank.get(a) {
            _ if *a == own => self.founds,
            member => member.is_some_and(|(_, founds)| *founds),
        };
        let founders: Vec<_> = addresses.iter().filter(|a| may_found(a)).collect();
        let grouped = self.group.is_some() || self.joining.contacts.epoch > 0;
        let complete = addresses.iter().all(blank) && founders.len() * 2 > addresses.len();
        if grouped || !complete || founders.first() != Some(&&own) {
            return false;
        }
        let mut members = Members::default().with(self.id, own, true);
        let blank = std::mem::take(&mut self.joining.blank);
        for (address, (id, _)) in blank.into_iter().filter(|(a, _)| addresses.contains(a)) {
            members = members.with(id, address, true);
        }
        self.found(now, members);
        true
    }

    /// Founds the group with these members, in one write: without the record of them, a member that
    /// starts again would neither find a group nor found one.
    fn found(&mut self, now: Timestamp, members: Members) {
        ::log::info!("step=found members={members:?}");
        let group = self.id.0;
        (self.group, self.term, self.vote) = (Some(group), FIRST_TERM, None);
        self.follow(now, None);
        let index = self.log.last().index.next();
        let record = Record { term: FIRST_TERM, index, command: Command::Members(members) };
        self.push(record.clone());
        let vote = Entry::Vote { term: FIRST_TERM, candidate: None };
        self.write(vec![Entry::Group(group), vote, Entry::Append(record)]);
        self.start_election(now);
    }
}
