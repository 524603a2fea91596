//! Records of the log and their positions.

use serde::{Deserialize, Serialize};

use super::super::state::Command;

/// The index of a record in the log, starting at 1; 0 is the index before the first record.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize, Deserialize,
)]
pub struct LogIndex(pub u64);

impl LogIndex {
    /// Returns the following index.
    pub fn next(self) -> LogIndex {
        LogIndex(self.0 + 1)
    }
}

/// The position of a record. If the last positions of two logs differ, the log with the greater one
/// is more complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Position {
    /// The term of the record.
    pub term: u64,
    /// The index of the record.
    pub index: LogIndex,
}

/// A record of the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// The index in the log.
    pub index: LogIndex,
    /// The term of the leader that appended it.
    pub term: u64,
    /// The command to apply once the record is committed.
    pub command: Command,
}

impl Record {
    /// Returns the record's term and index.
    pub fn position(&self) -> Position {
        Position { term: self.term, index: self.index }
    }
}

/// The number of a write to the disk; writes are synced in the order of their numbers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct WriteId(pub u64);
