//! The state that a replica restores from its disk.

use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;

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

/// An entry of a journal that contradicts the entries before it or the snapshot.
#[derive(Debug)]
pub struct DamagedEntry {
    /// The number of entries before it.
    pub number: usize,
    reason: Box<str>,
}

impl fmt::Display for DamagedEntry {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.reason)
    }
}

impl std::error::Error for DamagedEntry {}

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
    /// Whether the journal does not name the base: it ends before its snapshot or contradicts it, and
    /// the next record would not follow its last one.
    pub lacks_base: bool,
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
            lacks_base: false,
            records: Vec::new(),
        }
    }

    /// Replays the entries of a journal on top of its snapshot.
    pub fn replay(
        snapshot: Option<Arc<Snapshot>>,
        entries: Vec<Entry>,
    ) -> Result<Stored, DamagedEntry> {
        let position = snapshot.as_ref().map(|s| s.position);
        let mut entries = entries.into_iter().enumerate();
        let Some((_, Entry::Owner(id))) = entries.next() else {
            let reason = "the first entry of the journal is not its owner".into();
            return Err(DamagedEntry { number: 0, reason });
        };
        let mut stored = Stored::new(id);
        let mut based_at = 0;
        for (number, entry) in entries {
            if matches!(entry, Entry::Base(_)) {
                based_at = number;
            }
            stored.apply(entry, position).map_err(|reason| DamagedEntry { number, reason })?;
        }
        let attached = stored.attach_snapshot(snapshot);
        attached.map_err(|reason| DamagedEntry { number: based_at, reason })?;
        Ok(stored)
    }

    fn apply(&mut self, entry: Entry, snapshot: Option<Position>) -> Result<(), Box<str>> {
        match entry {
            Entry::Owner(id) if id != self.id => {
                return Err("the journal names more than one owner".into());
            }
            Entry::Owner(_) => {}
            Entry::Group(group) => self.group = Some(group),
            Entry::Founds => self.founds = true,
            Entry::Founders(founders) => self.founders = founders,
            Entry::Vote { term, .. } if term < self.term => {
                return Err(format!("term {term} follows the higher term {}", self.term).into());
            }
            Entry::Vote { term, candidate } => (self.term, self.vote) = (term, candidate),
            Entry::Base(base) => self.restart_at(base),
            Entry::Truncate(from) => self.records.retain(|r| r.index < from),
            Entry::Append(record) => self.append(record, snapshot)?,
        }
        Ok(())
    }

    fn append(&mut self, record: Record, snapshot: Option<Position>) -> Result<(), Box<str>> {
        if let Some(position) = snapshot.filter(|p| self.skips_base(&record, *p)) {
            self.restart_at(position);
        }
        let (end, index) = (self.last().index, record.index);
        if index != end.next() {
            return Err(format!("record {} follows record {}", index.0, end.0).into());
        }
        self.records.push(record);
        Ok(())
    }

    /// Returns whether a record follows the snapshot, and not the records before it in the journal.
    /// Earlier releases wrote no base after a crash between the writes of both.
    fn skips_base(&self, record: &Record, snapshot: Position) -> bool {
        let follows = record.index == snapshot.index.next() && record.term >= snapshot.term;
        follows && !self.holds(snapshot)
    }

    /// Returns whether a position is the base or that of a record.
    fn holds(&self, position: Position) -> bool {
        self.base == position || self.records.iter().any(|r| r.position() == position)
    }

    fn last(&self) -> Position {
        self.records.last().map_or(self.base, Record::position)
    }

    /// Drops all records, so that the next one follows a position.
    fn restart_at(&mut self, base: Position) {
        self.base = base;
        self.records.clear();
    }

    /// Combines the snapshot with the records. After a crash between the writes of both, the
    /// journal may be older than the snapshot.
    fn attach_snapshot(&mut self, snapshot: Option<Arc<Snapshot>>) -> Result<(), Box<str>> {
        let Some(snapshot) = snapshot else {
            return match self.base.index {
                LogIndex(0) => Ok(()),
                _ => {
                    Err("the journal does not start at record 1, and its snapshot is missing"
                        .into())
                }
            };
        };
        let position = snapshot.position;
        if self.base.index > position.index {
            return Err("records between snapshot and journal are lost".into());
        }
        if !self.holds(position) {
            self.restart_at(position);
            self.lacks_base = true;
        }
        self.snapshot = Some(snapshot);
        Ok(())
    }
}
