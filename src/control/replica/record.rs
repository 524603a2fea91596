//! Records of the log and their places.

use serde::{Deserialize, Serialize};

use super::super::state::Command;

/// The place of a record in the log, from 1.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Returns the place after this one.
    pub fn next(self) -> LogIndex {
        LogIndex(self.0 + 1)
    }
}

/// Where a log ends; the later one of two is the more complete log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Position {
    /// The term of the last record.
    pub term: u64,
    /// Its place.
    pub index: LogIndex,
}

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Its place.
    pub index: LogIndex,
    /// The term of the leader that made it.
    pub term: u64,
    /// The command.
    pub command: Command,
}

impl Record {
    /// Returns the record's term and place.
    pub fn position(&self) -> Position {
        Position { term: self.term, index: self.index }
    }
}

/// One write to the disk; writes are synced in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct WriteId(pub u64);
