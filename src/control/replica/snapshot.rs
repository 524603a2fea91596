//! Snapshots of the state at a position, which are sent in chunks to members that lag far behind.

use std::net::SocketAddr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::members::{MemberId, Members};
use super::message::ReplicaBody;
use super::{Action, Entry, LogIndex, Position, Replica, ReplicaSettings, Role, WriteId};
use crate::control::state::Command;
use crate::model::Timestamp;

/// The maximum number of bytes of a snapshot in one message.
const CHUNK_BYTES: usize = 256 << 10;
/// The assumed size in bytes of a usual record, by which the size of a state is compared with a
/// number of records.
const RECORD_BYTES: usize = 256;

/// The replicated state at a position of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The position of the last record that is included in the state.
    pub position: Position,
    /// The members at that position.
    pub members: Members,
    /// The encoded state; opaque to the replica.
    pub state: Vec<u8>,
}

/// The received part of a snapshot that is sent in chunks.
#[derive(Debug, Default)]
pub struct IncomingSnapshot {
    position: Position,
    bytes: Vec<u8>,
}

impl Replica {
    /// Returns whether the log has grown so long that it should be compacted.
    pub fn wants_snapshot(&self) -> bool {
        let made = self.log.made();
        if self.applied <= made || self.log.get(self.applied).is_none() {
            return false;
        }
        // A larger state is written less often.
        let size = self.log.snapshot().map_or(0, |s| s.state.len());
        let records = (self.applied.0 - made.0) as usize;
        if records > self.settings.compact_after.max(size / RECORD_BYTES) {
            return true;
        }
        let due = self.settings.compact_bytes.max(size);
        self.log.fresh() > due && self.log.fresh() - self.log.bytes_after(self.applied) > due
    }

    /// Compacts the log into a snapshot of the encoded state as of [`Replica::applied`].
    pub fn compact(&mut self, state: Vec<u8>) -> Vec<Action> {
        let Some(position) = self.log.get(self.applied).map(super::Record::position) else {
            return Vec::new();
        };
        let members = self.members_at(position.index);
        let snapshot = Arc::new(Snapshot { position, members, state });
        let ReplicaSettings { kept, kept_bytes, .. } = self.settings;
        let until = self.log.tail_start(position.index, kept, kept_bytes);
        self.log.compact(snapshot.clone(), until);
        self.replace(snapshot);
        std::mem::take(&mut self.actions)
    }

    fn members_at(&self, index: LogIndex) -> Members {
        let before = self.log.after(self.log.base().index).take_while(|r| r.index <= index);
        let named = before.filter_map(|r| match &r.command {
            Command::Members(members) => Some(members.clone()),
            _ => None,
        });
        let stored = || self.log.snapshot().map(|s| s.members.clone());
        named.last().or_else(stored).unwrap_or_default()
    }

    /// Writes the snapshot and a new journal with the records that are kept.
    fn replace(&mut self, snapshot: Arc<Snapshot>) {
        let mut entries = vec![Entry::Owner(self.id)];
        entries.extend(self.group.map(Entry::Group));
        entries.push(Entry::Vote { term: self.term, candidate: self.vote });
        entries.push(Entry::Base(self.log.base()));
        entries.extend(self.log.after(self.log.base().index).cloned().map(Entry::Append));
        self.written = WriteId(self.written.0 + 1);
        self.ends.push_back((self.written, self.log.last().index));
        self.actions.push(Action::Replace { id: self.written, snapshot, entries });
    }

    /// Sends the next chunk of the snapshot.
    pub(super) fn send_chunk(&mut self, now: Timestamp, id: MemberId, to: SocketAddr) {
        let Some((position, encoded)) = self.outgoing_snapshot() else { return };
        let commit = self.commit;
        let Some(state) = self.progress_of(id) else { return };
        let offset = match state.snapshot {
            Some((sent, offset)) if sent == position => offset,
            _ => 0,
        };
        state.snapshot = Some((position, offset));
        let from = (offset as usize).min(encoded.len());
        let until = (from + CHUNK_BYTES).min(encoded.len());
        state.sent(now, position.index, commit, until - from);
        let body = ReplicaBody::Chunk {
            position,
            offset,
            total: encoded.len() as u64,
            bytes: encoded[from..until].to_vec(),
            sent: now,
        };
        let message = self.message(id, body);
        self.actions.push(Action::Request { to, message });
    }

    /// Returns the snapshot to send, encoded: the one that is being sent, as long as the log
    /// continues it, else the newest one. A transfer would never end if each newer snapshot began
    /// it anew.
    fn outgoing_snapshot(&mut self) -> Option<(Position, Arc<[u8]>)> {
        let current = self.outgoing.as_ref().map(|(position, _)| *position);
        if current.is_none_or(|p| !self.is_sending(p) || !self.log.holds(p)) {
            let snapshot = self.log.snapshot()?.clone();
            if current != Some(snapshot.position) {
                let bytes = postcard::to_stdvec(&*snapshot).ok()?;
                self.outgoing = Some((snapshot.position, bytes.into()));
            }
        }
        self.outgoing.clone()
    }

    fn is_sending(&self, position: Position) -> bool {
        let Role::Leader { progress, .. } = &self.role else { return false };
        progress.values().any(|p| p.snapshot.is_some_and(|(sent, _)| sent == position))
    }

    /// Processes a member's reply to a chunk.
    pub(super) fn on_chunk_received(&mut self, from: MemberId, position: Position, offset: u64) {
        let total = match &self.outgoing {
            Some((p, bytes)) if *p == position => bytes.len() as u64,
            _ => return,
        };
        let Some(state) = self.progress_of(from) else { return };
        if state.snapshot.is_none_or(|(p, _)| p != position) {
            return;
        }
        if offset >= total {
            Replica::snapshot_done(state, position.index);
            if !self.is_sending(position) {
                self.outgoing = None;
            }
        } else {
            state.snapshot = Some((position, offset));
        }
    }

    /// Receives a chunk and returns the number of bytes received so far; the last chunk installs
    /// the snapshot.
    pub(super) fn receive_chunk(
        &mut self,
        position: Position,
        offset: u64,
        total: u64,
        bytes: &[u8],
    ) -> u64 {
        if position.index <= self.commit {
            return total;
        }
        if self.incoming.position != position {
            self.incoming = IncomingSnapshot { position, bytes: Vec::new() };
        }
        if offset == self.incoming.bytes.len() as u64 {
            self.incoming.bytes.extend_from_slice(bytes);
        }
        let length = self.incoming.bytes.len() as u64;
        if length < total {
            return length;
        }
        let encoded = std::mem::take(&mut self.incoming).bytes;
        match postcard::from_bytes::<Snapshot>(&encoded) {
            Ok(snapshot) => {
                self.install(Arc::new(snapshot));
                total
            }
            Err(error) => {
                ::log::error!("step=install-snapshot error={error}");
                0
            }
        }
    }

    fn install(&mut self, snapshot: Arc<Snapshot>) {
        ::log::info!("step=install-snapshot index={}", snapshot.position.index.0);
        let index = snapshot.position.index;
        self.log.install(snapshot.clone());
        self.members = self.log.members();
        self.commit = index;
        self.applied = index;
        let last = self.log.last().index;
        self.durable = self.durable.min(last);
        for (_, end) in &mut self.ends {
            *end = (*end).min(last);
        }
        self.replace(snapshot.clone());
        self.actions.push(Action::Restore(snapshot));
    }
}
