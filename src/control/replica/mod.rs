//! One replica of the log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::state::Command;

/// The place of a record in the log, from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct LogIndex(pub u64);

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

/// What replicas tell each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// The sender leads in this term.
    Heartbeat {
        /// The term.
        term: u64,
    },
}

/// A committed command.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Its place in the log.
    pub index: LogIndex,
    /// The command.
    pub command: Command,
}

/// A replica without peers: a record is committed once it is synced.
#[derive(Debug, Default)]
pub struct Replica {
    last: LogIndex,
    unsynced: BTreeMap<LogIndex, Command>,
}

impl Replica {
    /// Makes a replica with an empty log.
    pub fn new() -> Replica {
        Replica::default()
    }

    /// Takes a record that the disk kept.
    pub fn restore(&mut self, record: Record) {
        self.last = record.index;
    }

    /// Puts a command at the end of the log.
    pub fn propose(&mut self, command: Command) -> (LogIndex, Record) {
        self.last = LogIndex(self.last.0 + 1);
        self.unsynced.insert(self.last, command.clone());
        (self.last, Record { index: self.last, term: 1, command })
    }

    /// Returns the commands that are in the log and not committed.
    pub fn tail(&self) -> impl Iterator<Item = (LogIndex, &Command)> {
        self.unsynced.iter().map(|(index, command)| (*index, command))
    }

    /// Commits what is synced.
    pub fn synced(&mut self, upto: LogIndex) -> Vec<Step> {
        let rest = self.unsynced.split_off(&LogIndex(upto.0 + 1));
        let done = std::mem::replace(&mut self.unsynced, rest);
        done.into_iter().map(|(index, command)| Step { index, command }).collect()
    }
}
