//! The records that a replica keeps, after or shortly before its snapshot.

use std::collections::VecDeque;
use std::sync::Arc;

use super::members::Members;
use super::snapshot::Snapshot;
use super::{LogIndex, Position, Record};
use crate::control::state::Command;

/// The maximum number of bytes of records in one message, unless a single record is larger.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// The maximum number of records in one message.
const MAX_MESSAGE_RECORDS: usize = 1_024;

/// The records in memory and the last snapshot.
#[derive(Debug)]
pub struct Log {
    snapshot: Option<Arc<Snapshot>>,
    base: Position,
    records: VecDeque<Record>,
}

impl Log {
    /// Creates the log from the content of the disk.
    pub fn new(snapshot: Option<Arc<Snapshot>>, base: Position, records: Vec<Record>) -> Log {
        Log { snapshot, base, records: records.into() }
    }

    /// Returns the last snapshot, if there is one.
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Returns the position before the first record.
    pub fn base(&self) -> Position {
        self.base
    }

    /// Returns the position of the last record.
    pub fn last(&self) -> Position {
        self.records.back().map_or(self.base, Record::position)
    }

    /// Returns the number of kept records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the record at an index, if it is kept.
    pub fn get(&self, index: LogIndex) -> Option<&Record> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.records.get(offset as usize)
    }

    /// Returns the term of the record at an index, if it is known.
    pub fn term_at(&self, index: LogIndex) -> Option<u64> {
        if index == self.base.index {
            return Some(self.base.term);
        }
        self.get(index).map(|r| r.term)
    }

    /// Returns whether the log contains the record at this position.
    pub fn holds(&self, position: Position) -> bool {
        self.term_at(position.index) == Some(position.term)
    }

    /// Returns the kept records after an index.
    pub fn after(&self, index: LogIndex) -> impl Iterator<Item = &Record> {
        let skip = index.0.saturating_sub(self.base.index.0) as usize;
        self.records.iter().skip(skip)
    }

    /// Returns the records after an index that fit into one message.
    pub fn batch(&self, index: LogIndex) -> Vec<Record> {
        let mut bytes = 0;
        let mut batch = Vec::new();
        for record in self.after(index).take(MAX_MESSAGE_RECORDS) {
            bytes += postcard::experimental::serialized_size(record).unwrap_or(MAX_MESSAGE_BYTES);
            if bytes > MAX_MESSAGE_BYTES && !batch.is_empty() {
                break;
            }
            batch.push(record.clone());
        }
        batch
    }

    /// Appends a record.
    pub fn push(&mut self, record: Record) {
        self.records.push_back(record);
    }

    /// Removes the records from an index on.
    pub fn truncate(&mut self, from: LogIndex) {
        let keep = from.0.saturating_sub(self.base.index.0 + 1) as usize;
        self.records.truncate(keep);
    }

    /// Sets a snapshot of this replica's state, and keeps up to the given number of records before
    /// it.
    pub fn compact(&mut self, snapshot: Arc<Snapshot>, kept: usize) {
        let first = LogIndex(snapshot.position.index.0.saturating_sub(kept as u64));
        while let Some(record) = self.records.front() {
            if record.index > first {
                break;
            }
            self.base = record.position();
            self.records.pop_front();
        }
        self.snapshot = Some(snapshot);
    }

    /// Sets a snapshot received from a leader, and keeps the records only if they continue it.
    pub fn install(&mut self, snapshot: Arc<Snapshot>) {
        if !self.holds(snapshot.position) {
            self.base = snapshot.position;
            self.records.clear();
        }
        self.snapshot = Some(snapshot);
    }

    /// Returns the members according to the newest record about them, else to the snapshot.
    pub fn members(&self) -> Members {
        let named = self.records.iter().rev().find_map(|r| match &r.command {
            Command::Members(members) => Some(members.clone()),
            _ => None,
        });
        let stored = || self.snapshot.as_ref().map(|s| s.members.clone());
        named.or_else(stored).unwrap_or_default()
    }

    /// Returns the index of the newest kept record about members, else that of the base.
    pub fn members_index(&self) -> LogIndex {
        let named = self.records.iter().rev().find(|r| matches!(r.command, Command::Members(_)));
        named.map_or(self.base.index, |r| r.index)
    }

    /// Returns the index before the first kept record with the same term as the record at an index.
    pub fn before_term(&self, index: LogIndex) -> LogIndex {
        let Some(term) = self.term_at(index) else { return self.last().index };
        let mut at = index;
        while at > self.base.index && self.term_at(at) == Some(term) {
            at = LogIndex(at.0 - 1);
        }
        at
    }
}
