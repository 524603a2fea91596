//! Replication: a leader appends its records at the others and commits what a majority has synced.

use std::collections::VecDeque;
use std::net::SocketAddr;

use super::members::MemberId;
use super::message::ReplicaBody;
use super::{
    ANSWER_TIMEOUT, Action, Entry, LEADER_HEARTBEAT, LogIndex, Position, Record, Replica, Role,
};
use crate::control::state::Command;
use crate::model::{InboundId, Timestamp};

/// Messages with records that may be unanswered at once.
const MAX_IN_FLIGHT: usize = 4;

/// What a leader knows of another member.
#[derive(Debug)]
pub struct Progress {
    address: SocketAddr,
    /// The first record that was not sent yet.
    next: LogIndex,
    matched: LogIndex,
    /// Whether the end of the match is still looked for, one message at a time.
    probing: bool,
    /// When unanswered messages were sent.
    pending: VecDeque<Timestamp>,
    /// When the newest answered message was sent.
    acked: Timestamp,
    last_sent: Timestamp,
    /// How much of the snapshot has arrived, while it is sent.
    pub(super) snapshot: Option<(Position, u64)>,
}

impl Progress {
    fn new(address: SocketAddr, next: LogIndex) -> Progress {
        Progress {
            address,
            next,
            matched: LogIndex(0),
            probing: true,
            pending: VecDeque::new(),
            acked: Timestamp::default(),
            last_sent: Timestamp::default(),
            snapshot: None,
        }
    }

    /// Returns the end of what is known to be synced there.
    pub fn matched(&self) -> LogIndex {
        self.matched
    }

    /// Returns when the newest answered message was sent.
    pub fn acked(&self) -> Timestamp {
        self.acked
    }

    /// Returns when something is due.
    pub fn next_wake(&self) -> Timestamp {
        let heartbeat = self.last_sent + LEADER_HEARTBEAT;
        match self.pending.front() {
            Some(at) if !self.is_open() => *at + ANSWER_TIMEOUT,
            Some(at) => (*at + ANSWER_TIMEOUT).min(heartbeat),
            None => heartbeat,
        }
    }

    fn is_open(&self) -> bool {
        let window = if self.probing || self.snapshot.is_some() { 1 } else { MAX_IN_FLIGHT };
        self.pending.len() < window
    }

    /// Begins again behind what is known to match.
    fn restart(&mut self) {
        self.pending.clear();
        self.probing = true;
        self.next = self.matched.next();
    }

    fn sent(&mut self, now: Timestamp) {
        self.pending.push_back(now);
        self.last_sent = now;
    }
}

impl Replica {
    /// Appends a command of the own term.
    pub(super) fn append_own(&mut self, command: Command) -> Position {
        let record = Record { index: self.log.last().index.next(), term: self.term, command };
        let position = record.position();
        self.push(record.clone());
        self.write(vec![Entry::Append(record)]);
        position
    }

    fn push(&mut self, record: Record) {
        if let Command::Members(members) = &record.command {
            self.members = members.clone();
        }
        self.log.push(record);
    }

    /// Sends what is new to all who can take it.
    pub(super) fn send_all(&mut self, now: Timestamp) {
        self.update_progress();
        for (id, address) in self.others() {
            self.send_new(now, id, address);
        }
    }

    /// Sends heartbeats, and dials those anew who are overdue.
    pub(super) fn send_due(&mut self, now: Timestamp) {
        self.update_progress();
        for (id, address) in self.others() {
            let Role::Leader { progress, .. } = &mut self.role else { return };
            let Some(state) = progress.get_mut(&id) else { continue };
            let oldest = state.pending.front().copied();
            if let Some(sent) = oldest.filter(|at| now - *at >= ANSWER_TIMEOUT) {
                state.restart();
                self.redial(now, address, sent);
            }
            let Some(state) = self.progress_of(id) else { continue };
            let quiet = now - state.last_sent >= LEADER_HEARTBEAT;
            if quiet && state.is_open() {
                self.send_next(now, id, address);
            }
        }
    }

    fn others(&self) -> Vec<(MemberId, SocketAddr)> {
        let others = self.members.all.iter().filter(|(id, _)| **id != self.id);
        others.map(|(id, m)| (*id, m.address)).collect()
    }

    /// Follows the list of members.
    fn update_progress(&mut self) {
        let next = self.log.last().index.next();
        let Role::Leader { progress, .. } = &mut self.role else { return };
        progress.retain(|id, _| self.members.all.contains_key(id));
        for (id, member) in self.members.all.iter().filter(|(id, _)| **id != self.id) {
            progress.entry(*id).or_insert_with(|| Progress::new(member.address, next));
        }
    }

    fn send_new(&mut self, now: Timestamp, id: MemberId, to: SocketAddr) {
        let last = self.log.last().index;
        loop {
            let Role::Leader { progress, .. } = &self.role else { return };
            let Some(state) = progress.get(&id) else { return };
            let has_updates = state.next <= last || state.pending.is_empty() && state.probing;
            if !state.is_open() || !has_updates {
                return;
            }
            self.send_next(now, id, to);
        }
    }

    /// Sends the next records or the next piece of the snapshot, or a heartbeat without any.
    pub(super) fn send_next(&mut self, now: Timestamp, id: MemberId, to: SocketAddr) {
        let commit = self.commit;
        let Role::Leader { progress, .. } = &mut self.role else { return };
        let Some(state) = progress.get_mut(&id) else { return };
        let before = LogIndex(state.next.0 - 1);
        let term = if state.snapshot.is_none() { self.log.term_at(before) } else { None };
        let Some(term) = term else {
            self.send_chunk(now, id, to);
            return;
        };
        let previous = Position { term, index: before };
        let records = if state.probing { Vec::new() } else { self.log.batch(before) };
        state.next = LogIndex(state.next.0 + records.len() as u64);
        state.sent(now);
        let body = ReplicaBody::Append { previous, records, commit, sent: now };
        let message = self.message(id, body);
        self.actions.push(Action::Request { to, message });
    }

    pub(super) fn sent_to(&mut self, now: Timestamp, id: MemberId) {
        let Role::Leader { progress, .. } = &mut self.role else { return };
        if let Some(state) = progress.get_mut(&id) {
            state.sent(now);
        }
    }

    pub(super) fn progress_of(&mut self, id: MemberId) -> Option<&mut Progress> {
        let Role::Leader { progress, .. } = &mut self.role else { return None };
        progress.get_mut(&id)
    }

    /// Takes a member's answer to records or to a piece of the snapshot.
    pub(super) fn on_answer(&mut self, now: Timestamp, from: MemberId, body: ReplicaBody) {
        let Some(state) = self.progress_of(from) else { return };
        let address = state.address;
        let (ReplicaBody::Appended { sent, .. } | ReplicaBody::Received { sent, .. }) = body else {
            return;
        };
        state.acked = state.acked.max(sent);
        while state.pending.front().is_some_and(|at| *at <= sent) {
            state.pending.pop_front();
        }
        match body {
            ReplicaBody::Appended { matched: true, end, .. } => {
                state.matched = state.matched.max(end);
                state.next = state.next.max(end.next());
                state.probing = false;
            }
            ReplicaBody::Appended { matched: false, end, .. } if end < state.next => {
                state.next = end.next().max(state.matched.next());
                state.probing = true;
                state.pending.clear();
            }
            ReplicaBody::Received { position, offset, .. } => {
                self.on_chunk_received(from, position, offset);
            }
            _ => {}
        }
        self.advance_commit();
        self.send_new(now, from, address);
    }

    /// Notes that the snapshot up to a place is synced at a member.
    pub(super) fn snapshot_done(state: &mut Progress, index: LogIndex) {
        state.snapshot = None;
        state.matched = state.matched.max(index);
        state.next = state.matched.next();
        state.probing = false;
    }

    pub(super) fn lost(&mut self, peer: SocketAddr) {
        let Role::Leader { progress, .. } = &mut self.role else { return };
        for state in progress.values_mut().filter(|s| s.address == peer) {
            state.restart();
        }
    }

    /// Commits what a majority has synced, if it is of the own term, and hands it out.
    pub(super) fn advance_commit(&mut self) {
        if let Role::Leader { progress, .. } = &self.role {
            let synced = |id| match progress.get(&id) {
                _ if id == self.id => self.durable,
                state => state.map_or(LogIndex(0), Progress::matched),
            };
            let mut ends: Vec<_> = self.members.voters().map(|(id, _)| synced(id)).collect();
            ends.sort_unstable();
            let end = ends.len().checked_sub(self.members.quorum()).map(|at| ends[at]);
            // Records of older terms are committed by one of the own term behind them.
            let own = |e: &LogIndex| *e > self.commit && self.log.term_at(*e) == Some(self.term);
            if let Some(end) = end.filter(own) {
                self.commit = end;
            }
        }
        self.apply();
    }

    fn apply(&mut self) {
        while self.applied < self.commit {
            let Some(record) = self.log.get(self.applied.next()) else { return };
            self.applied = record.index;
            if let Command::Members(members) = &record.command {
                let voter = members.is_voter(self.id);
                ::log::info!("step=members-committed epoch={} voter={voter}", members.epoch);
            }
            self.actions.push(Action::Apply(record.clone()));
        }
    }

    /// Takes what a leader sends.
    pub(super) fn receive(&mut self, via: InboundId, from: MemberId, body: ReplicaBody) {
        match body {
            ReplicaBody::Append { previous, records, commit, sent } => {
                let (matched, end) = self.receive_records(previous, records);
                if matched {
                    self.commit = self.commit.max(commit.min(end));
                    self.apply();
                }
                self.answer_after_sync(via, from, ReplicaBody::Appended { matched, end, sent });
            }
            ReplicaBody::Chunk { position, offset, total, bytes, sent } => {
                let offset = self.receive_chunk(position, offset, total, &bytes);
                let body = ReplicaBody::Received { position, offset, sent };
                self.answer_after_sync(via, from, body);
            }
            _ => {}
        }
    }

    /// Appends a leader's records behind the position before them; returns whether that matched
    /// and where the match ends, or where the leader should look next.
    fn receive_records(&mut self, previous: Position, records: Vec<Record>) -> (bool, LogIndex) {
        let end = LogIndex(previous.index.0 + records.len() as u64);
        if previous.index < self.log.base().index {
            // What lies before the base is committed, so the leader has it, too.
            let known = self.log.base().index;
            let rest: Vec<_> = records.into_iter().filter(|r| r.index > known).collect();
            self.append_new(rest);
            return (true, end.max(known));
        }
        match self.log.term_at(previous.index) {
            Some(term) if term == previous.term => {
                self.append_new(records);
                (true, end)
            }
            Some(_) => (false, self.log.before_term(previous.index).max(self.commit)),
            None => (false, self.log.last().index),
        }
    }

    fn append_new(&mut self, records: Vec<Record>) {
        let mut entries = Vec::new();
        for record in records {
            match self.log.term_at(record.index) {
                Some(term) if term == record.term => continue,
                Some(_) => {
                    self.truncate(record.index);
                    entries.push(Entry::Truncate(record.index));
                }
                None => {}
            }
            self.push(record.clone());
            entries.push(Entry::Append(record));
        }
        if !entries.is_empty() {
            self.write(entries);
        }
    }

    fn truncate(&mut self, from: LogIndex) {
        let end = LogIndex(from.0 - 1);
        self.log.truncate(from);
        self.members = self.log.members();
        self.durable = self.durable.min(end);
        for (_, last) in &mut self.ends {
            *last = (*last).min(end);
        }
    }
}
