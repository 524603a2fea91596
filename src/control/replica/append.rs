//! Replication: a leader sends its records to the others and commits those that a majority has
//! synced.

use std::net::SocketAddr;

use super::members::MemberId;
use super::message::ReplicaBody;
use super::progress::Progress;
use super::{Action, Entry, LogIndex, Position, Record, Replica, Role};
use crate::control::state::Command;
use crate::model::{InboundId, Timestamp};

impl Replica {
    /// Appends a command to the log in this replica's term.
    pub(super) fn append_own(&mut self, command: Command) -> Position {
        let record = Record { index: self.log.last().index.next(), term: self.term, command };
        let position = record.position();
        self.push(record.clone());
        self.write(vec![Entry::Append(record)]);
        position
    }

    pub(super) fn push(&mut self, record: Record) {
        if let Command::Members(members) = &record.command {
            self.members = members.clone();
        }
        self.log.push(record);
    }

    /// Sends new records to all members whose number of unanswered messages is below the limit.
    pub(super) fn send_all(&mut self, now: Timestamp) {
        self.update_progress();
        for (id, address) in self.others() {
            self.send_new(now, id, address);
        }
    }

    /// Sends heartbeats that are due, and redials members whose answers are overdue.
    pub(super) fn send_due(&mut self, now: Timestamp) {
        self.update_progress();
        for (id, address) in self.others() {
            let Role::Leader { progress, .. } = &mut self.role else { return };
            let Some(state) = progress.get_mut(&id) else { continue };
            if let Some(sent) = state.overdue(now) {
                state.restart();
                self.redial(now, address, sent);
            }
            let Some(state) = self.progress_of(id) else { continue };
            if state.wants_heartbeat(now) {
                self.send_next(now, id, address);
            }
        }
    }

    fn others(&self) -> Vec<(MemberId, SocketAddr)> {
        let others = self.members.all.iter().filter(|(id, _)| **id != self.id);
        others.map(|(id, m)| (*id, m.address)).collect()
    }

    /// Adds and removes progress entries to match the list of members.
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
            let has_updates = state.next <= last || state.is_idle() && state.probing;
            if !state.is_open() || !has_updates {
                return;
            }
            self.send_next(now, id, to);
        }
    }

    /// Sends the next records, the next chunk of the snapshot, or an empty heartbeat.
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
        let (records, bytes) = if state.probing { (Vec::new(), 0) } else { self.log.batch(before) };
        state.next = LogIndex(state.next.0 + records.len() as u64);
        state.sent(now, LogIndex(before.0 + records.len() as u64), commit, bytes);
        let body = ReplicaBody::Append { previous, records, commit, sent: now };
        let message = self.message(id, body);
        self.actions.push(Action::Request { to, message });
    }

    pub(super) fn progress_of(&mut self, id: MemberId) -> Option<&mut Progress> {
        let Role::Leader { progress, .. } = &mut self.role else { return None };
        progress.get_mut(&id)
    }

    /// Processes a member's reply to records or to a chunk of the snapshot.
    pub(super) fn on_answer(&mut self, now: Timestamp, from: MemberId, body: ReplicaBody) {
        let Some(state) = self.progress_of(from) else { return };
        let address = state.address;
        let (ReplicaBody::Appended { sent, .. } | ReplicaBody::Received { sent, .. }) = body else {
            return;
        };
        let covered = match body {
            ReplicaBody::Appended { matched: true, end, .. } => Some(end),
            _ => None,
        };
        state.answered(now, sent, covered);
        match body {
            ReplicaBody::Appended { matched: true, end, .. } => {
                state.matched = state.matched.max(end);
                state.next = state.next.max(end.next());
                state.probing = false;
            }
            ReplicaBody::Appended { matched: false, end, .. } if end < state.next => {
                state.probe(end.next().max(state.matched.next()));
            }
            ReplicaBody::Received { position, offset, .. } => {
                self.on_chunk_received(from, position, offset);
            }
            _ => {}
        }
        self.advance_commit();
        self.send_new(now, from, address);
    }

    /// Records that a member has synced the snapshot up to an index.
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

    /// Commits the records that a majority has synced, if the last one is of this replica's term,
    /// and applies them.
    pub(super) fn advance_commit(&mut self) {
        if let Role::Leader { progress, .. } = &self.role {
            let synced = |id| match progress.get(&id) {
                _ if id == self.id => self.durable,
                state => state.map_or(LogIndex(0), Progress::matched),
            };
            let mut ends: Vec<_> = self.members.voters().map(|(id, _)| synced(id)).collect();
            ends.sort_unstable();
            let end = ends.len().checked_sub(self.members.quorum()).map(|at| ends[at]);
            // Records of older terms are committed only by a later one of the current term.
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

    /// Processes a leader's records or chunk of a snapshot.
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

    /// Appends a leader's records after the previous position. Returns whether that position
    /// matched and the index of the last matching record, or the index that the leader should probe
    /// next.
    fn receive_records(&mut self, previous: Position, records: Vec<Record>) -> (bool, LogIndex) {
        let end = LogIndex(previous.index.0 + records.len() as u64);
        if previous.index < self.log.base().index {
            // Records before the base are committed, so the leader has them, too.
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
