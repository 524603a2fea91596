//! What a replica finds on its disk.

use std::sync::Arc;

use eyre::{ensure, eyre};
use serde::{Deserialize, Serialize};

use super::members::MemberId;
use super::snapshot::Snapshot;
use super::{LogIndex, Position, Record};

/// An entry of the journal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Entry {
    /// The number of the member that owns the disk.
    Owner(MemberId),
    /// The group that it belongs to.
    Cluster(u64),
    /// The term and the vote in it.
    Vote {
        /// The term.
        term: u64,
        /// Who got the vote.
        candidate: Option<MemberId>,
    },
    /// The position before the first record that is kept.
    Base(Position),
    /// Drop records from here on.
    Truncate(LogIndex),
    /// One more record.
    Append(Record),
}

/// What a disk kept.
#[derive(Debug, Clone)]
pub struct Stored {
    /// The member that owns the disk.
    pub id: MemberId,
    /// The group.
    pub cluster: Option<u64>,
    /// The term.
    pub term: u64,
    /// The vote in that term.
    pub vote: Option<MemberId>,
    /// The snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The position before the first record.
    pub base: Position,
    /// The records.
    pub records: Vec<Record>,
}

impl Stored {
    /// Makes what a new disk of this member holds.
    pub fn new(id: MemberId) -> Stored {
        Stored {
            id,
            cluster: None,
            term: 0,
            vote: None,
            snapshot: None,
            base: Position::default(),
            records: Vec::new(),
        }
    }

    /// Adds up the entries of a journal behind its snapshot.
    pub fn replay(snapshot: Option<Arc<Snapshot>>, entries: Vec<Entry>) -> eyre::Result<Stored> {
        let mut entries = entries.into_iter();
        let Some(Entry::Owner(id)) = entries.next() else {
            return Err(eyre!("the journal does not begin with its owner"));
        };
        let mut stored = Stored::new(id);
        for entry in entries {
            stored.apply(entry)?;
        }
        stored.attach_snapshot(snapshot)?;
        Ok(stored)
    }

    fn apply(&mut self, entry: Entry) -> eyre::Result<()> {
        match entry {
            Entry::Owner(id) => ensure!(id == self.id, "the journal has two owners"),
            Entry::Cluster(cluster) => self.cluster = Some(cluster),
            Entry::Vote { term, candidate } => {
                ensure!(term >= self.term, "term {term} follows term {}", self.term);
                (self.term, self.vote) = (term, candidate);
            }
            Entry::Base(base) => {
                self.base = base;
                self.records.clear();
            }
            Entry::Truncate(from) => self.records.retain(|r| r.index < from),
            Entry::Append(record) => {
                let end = self.records.last().map_or(self.base.index, |r| r.index);
                let index = record.index;
                ensure!(index == end.next(), "record {} follows record {}", index.0, end.0);
                self.records.push(record);
            }
        }
        Ok(())
    }

    /// Puts the snapshot under the records; a crash may have left a journal that is older.
    fn attach_snapshot(&mut self, snapshot: Option<Arc<Snapshot>>) -> eyre::Result<()> {
        let Some(snapshot) = snapshot else {
            ensure!(self.base.index == LogIndex(0), "the snapshot before the journal is missing");
            return Ok(());
        };
        let position = snapshot.position;
        ensure!(self.base.index <= position.index, "records between snapshot and journal are lost");
        let held = self.records.iter().any(|r| r.position() == position);
        if !held && self.base != position {
            self.base = position;
            self.records.clear();
        }
        self.snapshot = Some(snapshot);
        Ok(())
    }
}
