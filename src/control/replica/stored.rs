//! The state that a replica restores from its disk.

use std::collections::BTreeSet;
use std::net::SocketAddr;
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
    /// The group that the member belongs to.
    Group(u64),
    /// The current term and the vote in it.
    Vote {
        /// The term of the vote.
        term: u64,
        /// The member that the vote was granted to; `None` if none was granted yet.
        candidate: Option<MemberId>,
    },
    /// The position before the first record that is kept.
    Base(Position),
    /// Remove the records from this index on.
    Truncate(LogIndex),
    /// Append a record.
    Append(Record),
    /// The member was started among members that had never run before.
    Founds,
    /// The addresses that the member was told then: those of the members that found the group.
    Founders(BTreeSet<SocketAddr>),
}

/// The content of the journal and the snapshot on disk.
#[derive(Debug, Clone)]
pub struct Stored {
    /// The member that owns the disk.
    pub id: MemberId,
    /// The group that the member belongs to, if any.
    pub group: Option<u64>,
    /// Whether the member was first started among members that had never run before.
    pub founds: bool,
    /// The addresses that the member was told at that start; empty if they are not known.
    pub founders: BTreeSet<SocketAddr>,
    /// The current term.
    pub term: u64,
    /// The member that got the vote in that term, if any.
    pub vote: Option<MemberId>,
    /// The last snapshot, if there is one.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The position before the first record.
    pub base: Position,
    /// The records after the base, in order.
    pub records: Vec<Record>,
}

impl Stored {
    /// Creates the content of a new disk of this member.
    pub fn new(id: MemberId) -> Stored {
        Stored {
            id,
            group: None,
            founds: false,
            founders: BTreeSet::new(),
            term: 0,
            vote: None,
            snapshot: None,
            base: Position::default(),
            records: Vec::new(),
        }
    }

    /// Replays the entries of a journal on top of its snapshot.
    pub fn replay(snapshot: Option<Arc<Snapshot>>, entries: Vec<Entry>) -> eyre::Result<Stored> {
        let mut entries = entries.into_iter();
        let Some(Entry::Owner(id)) = entries.next() else {
            return Err(eyre!("the first entry of the journal is not its owner"));
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
            Entry::Owner(id) => ensure!(id == self.id, "the journal names more than one owner"),
            Entry::Group(group) => self.group = Some(group),
            Entry::Founds => self.founds = true,
            Entry::Founders(founders) => self.founders = founders,
            Entry::Vote { term, candidate } => {
                ensure!(term >= self.term, "term {term} follows the higher term {}", self.term);
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

    /// Combines the snapshot with the records. After a crash between the writes of both, the
    /// journal may be older than the snapshot.
    fn attach_snapshot(&mut self, snapshot: Option<Arc<Snapshot>>) -> eyre::Result<()> {
        let Some(snapshot) = snapshot else {
            ensure!(
                self.base.index == LogIndex(0),
                "the journal does not start at record 1, and its snapshot is missing"
            );
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
