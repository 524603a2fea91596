//! The records that a replica keeps, after or shortly before its snapshot.

use std::collections::VecDeque;
use std::sync::Arc;

use postcard::experimental::serialized_size;

use super::members::Members;
use super::snapshot::Snapshot;
use super::{LogIndex, Position, Record};
use crate::control::state::Command;

/// The maximum number of bytes of records in one message, unless a single record is larger.
const MAX_MESSAGE_BYTES: usize = 256 << 10;
/// The maximum number of records in one message.
const MAX_MESSAGE_RECORDS: usize = 1_024;

/// A record and its encoded size.
#[derive(Debug)]
struct Held {
    record: Record,
    bytes: usize,
}

impl From<Record> for Held {
    fn from(record: Record) -> Held {
        let bytes = serialized_size(&record).unwrap_or(MAX_MESSAGE_BYTES);
        Held { record, bytes }
    }
}

/// The records in memory and the last snapshot.
#[derive(Debug)]
pub struct Log {
    snapshot: Option<Arc<Snapshot>>,
    base: Position,
    records: VecDeque<Held>,
    /// The encoded size of the records after the snapshot.
    fresh: usize,
}

impl Log {
    /// Creates the log from the content of the disk.
    pub fn new(snapshot: Option<Arc<Snapshot>>, base: Position, records: Vec<Record>) -> Log {
        let records = records.into_iter().map(Held::from).collect();
        let mut log = Log { snapshot, base, records, fresh: 0 };
        log.fresh = log.bytes_after(log.made());
        log
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
        self.records.back().map_or(self.base, |h| h.record.position())
    }

    /// Returns the index of the last record that the snapshot includes.
    pub fn made(&self) -> LogIndex {
        self.snapshot.as_ref().map_or(LogIndex(0), |s| s.position.index)
    }

    /// Returns the encoded size of the records after the snapshot.
    pub fn fresh(&self) -> usize {
        self.fresh
    }

    /// Returns the encoded size of the kept records after an index.
    pub fn bytes_after(&self, index: LogIndex) -> usize {
        self.held_after(index).map(|h| h.bytes).sum()
    }

    /// Returns the record at an index, if it is kept.
    pub fn get(&self, index: LogIndex) -> Option<&Record> {
        let offset = index.0.checked_sub(self.base.index.0 + 1)?;
        self.records.get(offset as usize).map(|h| &h.record)
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
        self.held_after(index).map(|h| &h.record)
    }

    fn held_after(&self, index: LogIndex) -> impl Iterator<Item = &Held> {
        let skip = index.0.saturating_sub(self.base.index.0) as usize;
        self.records.iter().skip(skip)
    }

    /// Returns the records after an index that fit into one message, and their encoded size.
    pub fn batch(&self, index: LogIndex) -> (Vec<Record>, usize) {
        let mut bytes = 0;
        let mut batch = Vec::new();
        for held in self.held_after(index).take(MAX_MESSAGE_RECORDS) {
            if bytes + held.bytes > MAX_MESSAGE_BYTES && !batch.is_empty() {
                break;
            }
            bytes += held.bytes;
            batch.push(held.record.clone());
        }
        (batch, bytes)
    }

    /// Appends a record.
    pub fn push(&mut self, record: Record) {
        let held = Held::from(record);
        if held.record.index > self.made() {
            self.fresh += held.bytes;
        }
        self.records.push_back(held);
    }

    /// Removes the records from an index on.
    pub fn truncate(&mut self, from: LogIndex) {
        let keep = from.0.saturating_sub(self.base.index.0 + 1) as usize;
        self.records.truncate(keep);
        self.fresh = self.bytes_after(self.made());
    }

    /// Returns the index after which the kept records up to an end fit into a number of records and
    /// of bytes.
    pub fn tail_start(&self, end: LogIndex, records: usize, bytes: usize) -> LogIndex {
        let before = end.0.saturating_sub(self.base.index.0) as usize;
        let mut sum = 0;
        let fits = |held: &&Held| {
            sum += held.bytes;
            sum <= bytes
        };
        let tail = self.records.iter().take(before).rev().take(records);
        LogIndex(end.0.saturating_sub(tail.take_while(fits).count() as u64))
    }

    /// Sets a snapshot of this replica's state, and removes the records up to an index.
    pub fn compact(&mut self, snapshot: Arc<Snapshot>, until: LogIndex) {
        while let Some(held) = self.records.front().filter(|h| h.record.index <= until) {
            self.base = held.record.position();
            self.records.pop_front();
        }
        self.snapshot = Some(snapshot);
        self.fresh = self.bytes_after(self.made());
    }

    /// Sets a snapshot received from a leader, and keeps the records only if they continue it.
    pub fn install(&mut self, snapshot: Arc<Snapshot>) {
        if !self.holds(snapshot.position) {
            self.base = snapshot.position;
            self.records.clear();
        }
        self.snapshot = Some(snapshot);
        self.fresh = self.bytes_after(self.made());
    }

    /// Returns the members according to the newest record about them, else to the snapshot.
    pub fn members(&self) -> Members {
        let named = self.records.iter().rev().find_map(|h| match &h.record.command {
            Command::Members(members) => Some(members.clone()),
            _ => None,
        });
        let stored = || self.snapshot.as_ref().map(|s| s.members.clone());
        named.or_else(stored).unwrap_or_default()
    }

    /// Returns the index of the newest kept record about members, else that of the base.
    pub fn members_index(&self) -> LogIndex {
        let mut records = self.records.iter().rev().map(|h| &h.record);
        let named = records.find(|r| matches!(r.command, Command::Members(_)));
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
