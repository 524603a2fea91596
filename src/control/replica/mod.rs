//! One replica of the log: consensus among the control members as a deterministic state machine.
//!
//! A replica receives messages, disk syncs and the current time, and returns actions. It never
//! acknowledges a record or a vote before the disk has reported it as synced.

mod action;
mod append;
mod changes;
mod election;
mod joining;
mod leaving;
mod log;
mod members;
mod message;
mod progress;
mod record;
mod snapshot;
mod stored;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::state::Command;
use crate::model::{InboundId, Timestamp};

pub use action::{Action, ReplicaInput, ReplicaSettings};
use joining::Joining;
use leaving::Leave;
use log::Log;
use members::Votes;
pub use members::{Member, MemberId, Members};
pub use message::{Contacts, ReplicaBody, ReplicaMessage};
use progress::Progress;
pub use record::{LogIndex, Position, Record, WriteId};
use snapshot::IncomingSnapshot;
pub use snapshot::Snapshot;
pub use stored::{DamagedEntry, Entry, Stored};

/// The time between two messages of a leader to a member that is up to date.
pub const LEADER_HEARTBEAT: Duration = Duration::from_millis(100);
/// The minimum time without contact to a leader before a member starts a pre-vote.
pub const ELECTION_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum time that a member adds to [`ELECTION_TIMEOUT`] at random, by its seed.
pub const ELECTION_JITTER: Duration = Duration::from_millis(300);
/// How long a leader leads without answers from a majority before it steps down.
pub const LEADER_LEASE: Duration = Duration::from_millis(800);
/// How long an answer to a message without records may take before a new connection is dialled.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// The role of a replica in its term.
#[derive(Debug)]
enum Role {
    Follower { leader: Option<SocketAddr>, heard: Option<Timestamp> },
    PreCandidate(Votes),
    Candidate(Votes),
    Leader { progress: BTreeMap<MemberId, Progress>, since: Timestamp },
}

/// An action that is executed once a write is synced, if the term is still the same.
#[derive(Debug)]
struct Deferred {
    write: WriteId,
    term: u64,
    action: Action,
}

/// When an address last replied, and when it was last redialled.
#[derive(Debug, Default)]
struct LinkTimes {
    heard: Timestamp,
    dialled: Timestamp,
}

/// The state of a replica.
#[derive(Debug)]
pub struct Replica {
    settings: ReplicaSettings,
    rng: Pcg64Mcg,
    id: MemberId,
    group: Option<u64>,
    term: u64,
    vote: Option<MemberId>,
    log: Log,
    members: Members,
    role: Role,
    commit: LogIndex,
    applied: LogIndex,
    written: WriteId,
    synced: WriteId,
    /// The end of the log at each write that is not synced yet.
    ends: VecDeque<(WriteId, LogIndex)>,
    /// The last index up to which the own log is synced.
    durable: LogIndex,
    deferred: VecDeque<Deferred>,
    /// Whether the disk accepts no writes for now.
    stalled: bool,
    /// When a replica that does not lead starts a pre-vote or sends a hello; `None` before the
    /// first input.
    deadline: Option<Timestamp>,
    /// Whether this member may found the group, as its disk says.
    founds: bool,
    joining: Joining,
    /// The epoch of a committed list of members without this replica, as reported by another
    /// member.
    removed: Option<u64>,
    /// Set once this member begins to leave.
    leave: Option<Leave>,
    /// When each member that leaves last gave notice of it.
    leaving: BTreeMap<MemberId, Timestamp>,
    /// When each address last replied, and when it was last redialled.
    links: BTreeMap<SocketAddr, LinkTimes>,
    incoming: IncomingSnapshot,
    /// The encoded snapshot that is being sent, with its position.
    outgoing: Option<(Position, Arc<[u8]>)>,
    actions: Vec<Action>,
}

impl Replica {
    /// Creates a replica from the content of its disk.
    pub fn new(settings: ReplicaSettings, stored: Stored) -> Replica {
        let log = Log::new(stored.snapshot, stored.base, stored.records);
        let start = log.snapshot().map_or(LogIndex(0), |s| s.position.index);
        let durable = log.last().index;
        let members = log.members();
        Replica {
            rng: Pcg64Mcg::seed_from_u64(settings.seed),
            settings,
            id: stored.id,
            group: stored.group,
            term: stored.term,
            vote: stored.vote,
            log,
            members,
            role: Role::Follower { leader: None, heard: None },
            commit: start,
            applied: start,
            written: WriteId(0),
            synced: WriteId(0),
            ends: VecDeque::new(),
            durable,
            deferred: VecDeque::new(),
            stalled: false,
            deadline: None,
            founds: stored.founds,
            joining: Joining::new(stored.founders),
            removed: None,
            leave: None,
            leaving: BTreeMap::new(),
            links: BTreeMap::new(),
            incoming: IncomingSnapshot::default(),
            outgoing: None,
            actions: Vec::new(),
        }
    }

    /// Processes one input and returns the resulting actions in the order of their execution.
    pub fn step(&mut self, now: Timestamp, input: ReplicaInput) -> Vec<Action> {
        if self.deadline.is_none() {
            self.begin(now);
        }
        match input {
            ReplicaInput::Request { via, message } => self.request(now, via, message),
            ReplicaInput::Reply { peer, message } => self.reply(now, peer, message),
            ReplicaInput::Lost { peer } => self.lost(peer),
            ReplicaInput::Members(addresses) => self.name_members(addresses),
            ReplicaInput::Synced(write) => self.on_synced(now, write),
            ReplicaInput::Stalled => self.stall(now),
            ReplicaInput::Wake => {}
        }
        self.tick(now);
        std::mem::take(&mut self.actions)
    }

    /// Appends a command to the log; fails with the address of the leader, if it is known, unless
    /// this replica leads.
    pub fn propose(
        &mut self,
        now: Timestamp,
        command: Command,
    ) -> Result<(Position, Vec<Action>), Option<SocketAddr>> {
        if !self.is_leader() {
            return Err(self.leader());
        }
        let position = self.append_own(command);
        self.advance_commit();
        self.send_all(now);
        Ok((position, std::mem::take(&mut self.actions)))
    }

    /// Returns the time of the next deadline, at which the replica needs a [`ReplicaInput::Wake`].
    pub fn next_wake(&self) -> Timestamp {
        let Some(deadline) = self.deadline else { return Timestamp::default() };
        match &self.role {
            Role::Leader { progress, .. } => {
                progress.values().map(Progress::next_wake).min().unwrap_or(Timestamp::MAX)
            }
            _ => self.leave.as_ref().map_or(deadline, Leave::next_wake),
        }
    }

    /// Returns whether this replica is the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader { .. })
    }

    /// Returns the term in which this replica leads and when that began, or `None` if it does not
    /// lead.
    pub fn leads_since(&self) -> Option<(u64, Timestamp)> {
        match &self.role {
            Role::Leader { since, .. } => Some((self.term, *since)),
            _ => None,
        }
    }

    /// Returns whether no other leader has appended to this log: it is not compacted, and all
    /// records after the first one are of the current term.
    pub fn is_first_leader(&self) -> bool {
        // The founder appends the first record, the first leader the second one.
        let second = self.log.get(LogIndex(2));
        self.log.base().index == LogIndex(0) && second.is_none_or(|r| r.term == self.term)
    }

    /// Returns the address of the leader, if it is known.
    pub fn leader(&self) -> Option<SocketAddr> {
        match &self.role {
            Role::Leader { .. } => Some(self.settings.address),
            Role::Follower { leader, .. } => *leader,
            _ => None,
        }
    }

    /// Returns the current term.
    pub fn term(&self) -> u64 {
        self.term
    }

    /// Returns this member's number.
    pub fn id(&self) -> MemberId {
        self.id
    }

    /// Returns the members according to the newest record about them, committed or not.
    pub fn members(&self) -> &Members {
        &self.members
    }

    /// Returns the members, or `None` while the newest record about them is not committed.
    pub fn committed_members(&self) -> Option<&Members> {
        (self.log.members_index() <= self.commit).then_some(&self.members)
    }

    /// Returns whether this replica has a vote and its disk accepts writes, so that its log counts
    /// towards a majority.
    pub fn is_active_voter(&self) -> bool {
        self.members.is_voter(self.id) && !self.stalled
    }

    /// Returns the position of the last record of the log.
    pub fn last(&self) -> Position {
        self.log.last()
    }

    /// Returns the index of the last record that was passed on as [`Action::Apply`] or is part of
    /// the snapshot.
    pub fn applied(&self) -> LogIndex {
        self.applied
    }

    /// Returns the records after [`Replica::applied`], committed or not.
    pub fn unapplied(&self) -> impl Iterator<Item = &Record> {
        self.log.after(self.applied)
    }

    /// Returns the record at an index, if the log still contains it.
    pub fn record(&self, index: LogIndex) -> Option<&Record> {
        self.log.get(index)
    }

    /// Returns the last snapshot, if there is one.
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.log.snapshot()
    }

    fn on_synced(&mut self, now: Timestamp, write: WriteId) {
        self.synced = self.synced.max(write);
        self.stalled = false;
        while let Some((id, end)) = self.ends.front().copied() {
            if id > self.synced {
                break;
            }
            self.durable = end;
            self.ends.pop_front();
        }
        while self.deferred.front().is_some_and(|d| d.write <= self.synced) {
            let Some(deferred) = self.deferred.pop_front() else { break };
            if deferred.term == self.term {
                self.actions.push(deferred.action);
            }
        }
        self.count_own_vote(now);
        self.advance_commit();
    }

    fn stall(&mut self, now: Timestamp) {
        self.stalled = true;
        if !matches!(self.role, Role::Follower { .. }) {
            self.follow(now, None);
        }
    }

    /// Writes entries to the disk; actions passed to [`Replica::after_sync`] wait until they are
    /// synced.
    fn write(&mut self, entries: Vec<Entry>) {
        self.written = WriteId(self.written.0 + 1);
        self.ends.push_back((self.written, self.log.last().index));
        self.actions.push(Action::Write { id: self.written, entries });
    }

    /// Executes an action once all writes so far are synced.
    fn after_sync(&mut self, action: Action) {
        if self.synced == self.written {
            self.actions.push(action);
        } else {
            let deferred = Deferred { write: self.written, term: self.term, action };
            self.deferred.push_back(deferred);
        }
    }

    /// Redials an address that has not replied since the given time, at most once in each
    /// [`ANSWER_TIMEOUT`]. Both are tracked by address, so that an old and a new member that share
    /// one don't keep resetting its connection.
    fn redial(&mut self, now: Timestamp, peer: SocketAddr, since: Timestamp) {
        let link = self.links.entry(peer).or_default();
        if link.heard >= since || now - link.dialled < ANSWER_TIMEOUT {
            return;
        }
        link.dialled = now;
        self.lost(peer);
        self.actions.push(Action::Redial { peer });
    }

    fn message(&self, to: MemberId, body: ReplicaBody) -> ReplicaMessage {
        let group = self.group;
        let address = self.settings.address;
        ReplicaMessage { group, from: self.id, address, to, term: self.term, body }
    }

    fn answer(&mut self, via: InboundId, to: MemberId, body: ReplicaBody) {
        let message = self.message(to, body);
        self.actions.push(Action::Reply { via, message });
    }

    fn answer_after_sync(&mut self, via: InboundId, to: MemberId, body: ReplicaBody) {
        let message = self.message(to, body);
        self.after_sync(Action::Reply { via, message });
    }

    /// Sets the first deadline, which is immediate for a member that cannot disturb a leader: one
    /// without a vote or the only voter.
    fn begin(&mut self, now: Timestamp) {
        self.reset_deadline(now);
        self.note_founding();
        if self.wants_to_join() || self.members.voters().count() == 1 {
            self.deadline = Some(now);
        }
    }

    fn reset_deadline(&mut self, now: Timestamp) {
        self.deadline = Some(now + ELECTION_TIMEOUT + self.random(ELECTION_JITTER));
    }

    /// Returns a random time below a limit.
    fn random(&mut self, limit: Duration) -> Duration {
        Duration::from_micros(self.rng.next_u64() % (limit.as_micros() as u64))
    }

    fn request(&mut self, now: Timestamp, via: InboundId, message: ReplicaMessage) {
        if let ReplicaBody::Hello { joinable } = message.body {
            self.hello(now, via, &message, joinable);
            return;
        }
        if message.to != self.id {
            self.meet(&message);
            return;
        }
        // A notice may tell of a group that its founder has not written yet.
        let unknown = self.group.is_none() && matches!(message.body, ReplicaBody::Leaving);
        if unknown || !self.same_group(&message) {
            return;
        }
        let from = message.from;
        match message.body {
            ReplicaBody::PreVote { .. } if self.has_removed(from) => {
                let epoch = self.members.epoch;
                self.answer(via, from, ReplicaBody::Removed { epoch });
            }
            ReplicaBody::PreVote { next, last } => {
                let granted = self.would_vote(now, next, last);
                self.answer(via, from, ReplicaBody::PreVoted { next, granted });
            }
            ReplicaBody::Leaving => self.on_notice(now, via, &message),
            ReplicaBody::Vote { last } => self.vote_for(now, via, from, message.term, last),
            ReplicaBody::Append { .. } | ReplicaBody::Chunk { .. } => {
                if message.term < self.term {
                    self.answer_after_sync(via, from, ReplicaBody::Outdated);
                    return;
                }
                self.record_leader(now, message.term, message.address);
                self.receive(via, from, message.body);
            }
            _ => {}
        }
    }

    fn reply(&mut self, now: Timestamp, peer: SocketAddr, message: ReplicaMessage) {
        self.links.entry(peer).or_default().heard = now;
        if matches!(message.body, ReplicaBody::Welcome { .. }) {
            self.welcome(now, peer, message);
            return;
        }
        if message.to != self.id || !self.same_group(&message) {
            return;
        }
        if let ReplicaBody::Removed { epoch } = message.body {
            self.on_removal(now, peer, epoch);
            return;
        }
        if message.term > self.term {
            self.adopt_term(now, message.term);
            return;
        }
        match message.body {
            ReplicaBody::PreVoted { next, granted } => {
                self.count_pre_vote(now, message.from, next, granted);
            }
            ReplicaBody::Voted { granted } if message.term == self.term => {
                self.count_vote(now, message.from, granted);
            }
            ReplicaBody::Appended { .. } | ReplicaBody::Received { .. }
                if message.term == self.term =>
            {
                self.on_answer(now, message.from, message.body);
            }
            _ => {}
        }
    }

    /// Returns whether a message is from a member of the same group; a member without a group joins
    /// that of the first message that is addressed to its number.
    fn same_group(&mut self, message: &ReplicaMessage) -> bool {
        match (self.group, message.group) {
            (Some(own), Some(other)) if own != other => {
                ::log::error!(
                    "step=message peer={} error=the member belongs to another group",
                    message.address
                );
                false
            }
            (None, Some(other)) => {
                self.group = Some(other);
                self.write(vec![Entry::Group(other)]);
                true
            }
            _ => true,
        }
    }
}
