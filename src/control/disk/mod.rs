//! The files of the journal and the snapshot, which are synced before any acknowledgement.

mod batch;
mod folder;
pub mod origins;
mod writer;
mod writes;

use std::collections::BTreeSet;
use std::io::BufReader;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use eyre::{WrapErr, ensure, eyre};

pub use batch::{Journal, decode, decode_snapshot, encode};
pub use folder::{DataFile, DataFolder, SystemFolder};
pub use writer::{Attempt, Disk, Writer};
pub use writes::Writes;

use super::DiskEffect;
use super::replica::{Entry, MemberId, Position, ReplicaSettings, Snapshot, Stored, WriteId};

const JOURNAL: &str = "journal";
const SNAPSHOT: &str = "snapshot";
/// The names under which the files are written until they are complete.
const PARTIAL_JOURNAL: &str = "journal.partial";
const PARTIAL_SNAPSHOT: &str = "snapshot.partial";

/// What the first batch of a new journal says of its member. It is one write, since a member that knew
/// its number alone, after a kill, could not be told from one that has lost its disk.
#[derive(Debug, Clone)]
pub struct NewMember {
    /// The number of the member.
    pub owner: MemberId,
    /// The members that found the group, if this one is started among them.
    pub founders: Option<BTreeSet<SocketAddr>>,
}

impl NewMember {
    /// Creates the member that is started with these settings.
    ///
    /// ```
    /// use dotterelpin::control::disk::NewMember;
    /// use dotterelpin::control::replica::{MemberId, ReplicaSettings};
    ///
    /// let own = "10.0.0.1:7000".parse().unwrap();
    /// let mut settings = ReplicaSettings::new(own, vec![own], 1);
    /// assert_eq!(NewMember::new(MemberId(1), &settings).founders, Some([own].into()));
    /// settings.founds = false;
    /// assert_eq!(NewMember::new(MemberId(1), &settings).founders, None);
    /// ```
    pub fn new(owner: MemberId, settings: &ReplicaSettings) -> NewMember {
        let founders = settings.founds.then(|| settings.members.iter().copied().collect());
        NewMember { owner, founders }
    }

    /// Returns the entries of the first batch.
    pub fn entries(&self) -> Vec<Entry> {
        let mut entries = vec![Entry::Owner(self.owner)];
        if let Some(founders) = &self.founders {
            entries.extend([Entry::Founds, Entry::Founders(founders.clone())]);
        }
        entries
    }
}

impl From<MemberId> for NewMember {
    fn from(owner: MemberId) -> NewMember {
        NewMember { owner, founders: None }
    }
}

/// The open files of a data folder.
pub struct Files {
    folder: Box<dyn DataFolder>,
    journal: Box<dyn DataFile>,
    sequence: u64,
    length: u64,
    /// The base that the next batch must begin with: the position of a snapshot that the journal does
    /// not lead up to.
    base: Option<Position>,
}

/// Opens a data folder and reads its content; in a new folder, records the member.
pub fn open(folder: &Path, member: impl Into<NewMember>) -> eyre::Result<(Stored, Files)> {
    let system =
        SystemFolder::open(folder).wrap_err_with(|| format!("create {}", folder.display()))?;
    open_folder(Box::new(system), member)
}

/// Reads the content of an open data folder; in a new one, records the member.
pub fn open_folder(
    folder: Box<dyn DataFolder>,
    member: impl Into<NewMember>,
) -> eyre::Result<(Stored, Files)> {
    let path = folder.path(JOURNAL);
    let snapshot = read_snapshot(&*folder)?;
    for name in [PARTIAL_JOURNAL, PARTIAL_SNAPSHOT] {
        folder.remove(name).wrap_err_with(|| format!("remove {}", folder.path(name).display()))?;
    }
    let mut journal = folder.open(JOURNAL).wrap_err_with(|| format!("open {}", path.display()))?;
    let size = journal.length().wrap_err_with(|| format!("read {}", path.display()))?;
    let damaged = || format!("{} is damaged", path.display());
    let mut found =
        batch::read(BufReader::new(&mut journal), size as usize).wrap_err_with(damaged)?;
    let cut = size - found.length as u64;
    if cut > 0 {
        log::warn!("step=open-journal cut={cut} bytes of a torn batch");
    }
    let mut files = Files {
        folder,
        journal,
        sequence: found.sequence,
        length: found.length as u64,
        base: None,
    };
    files.truncate_tail()?;
    if found.entries.is_empty() {
        let is_new = snapshot.is_none();
        ensure!(is_new, "{} is damaged: byte 0: empty, but there is a snapshot", path.display());
        found.entries = member.into().entries();
        files.append(&found.entries)?;
    }
    files.sync_folder()?;
    let entries = std::mem::take(&mut found.entries);
    let stored = Stored::replay(snapshot, entries);
    let stored = stored.map_err(|e| {
        let byte = found.byte_of(e.number);
        eyre!(e).wrap_err(format!("byte {byte}")).wrap_err(damaged())
    })?;
    if stored.lacks_base {
        log::warn!(
            "step=open-journal base={} the journal is older than its snapshot",
            stored.base.index.0
        );
        files.base = Some(stored.base);
    }
    Ok((stored, files))
}

fn read_snapshot(folder: &dyn DataFolder) -> eyre::Result<Option<Arc<Snapshot>>> {
    let path = folder.path(SNAPSHOT);
    let read = folder.read(SNAPSHOT).wrap_err_with(|| format!("read {}", path.display()))?;
    let Some(bytes) = read else { return Ok(None) };
    let snapshot = decode_snapshot(&bytes);
    snapshot.map(|s| Some(Arc::new(s))).wrap_err_with(|| format!("{} is damaged", path.display()))
}

impl Files {
    /// Executes one write and syncs it; returns its number.
    pub fn execute(&mut self, write: &DiskEffect) -> eyre::Result<WriteId> {
        match write {
            DiskEffect::Append { id, entries } => self.append(entries).map(|()| *id),
            DiskEffect::Replace { id, snapshot, entries } => {
                self.replace(snapshot, entries).map(|()| *id)
            }
        }
    }

    /// Appends one batch and syncs it.
    pub fn append(&mut self, entries: &[Entry]) -> eyre::Result<()> {
        let bytes = match self.base {
            None => encode(self.sequence, &entries)?,
            Some(base) => encode(self.sequence, &[&[Entry::Base(base)], entries].concat())?,
        };
        self.journal.write_all(&bytes).wrap_err("append to journal")?;
        self.journal.sync().wrap_err("sync journal")?;
        self.sequence += 1;
        self.length += bytes.len() as u64;
        self.base = None;
        Ok(())
    }

    /// Writes a snapshot, then a new journal with the entries after it.
    pub fn replace(&mut self, snapshot: &Snapshot, entries: &[Entry]) -> eyre::Result<()> {
        self.write_atomically(SNAPSHOT, PARTIAL_SNAPSHOT, &encode(0, snapshot)?)?;
        let bytes = encode(0, &entries)?;
        self.journal = self.write_atomically(JOURNAL, PARTIAL_JOURNAL, &bytes)?;
        self.sequence = 1;
        self.length = bytes.len() as u64;
        self.base = None;
        Ok(())
    }

    /// Writes a file under a temporary name, syncs it, then renames it. If that fails, the file is
    /// removed, since it could fill the disk.
    fn write_atomically(
        &self,
        name: &str,
        partial: &str,
        bytes: &[u8],
    ) -> eyre::Result<Box<dyn DataFile>> {
        let written = self.write_and_rename(name, partial, bytes);
        if written.is_err() {
            let _ = self.folder.remove(partial);
        }
        written
    }

    fn write_and_rename(
        &self,
        name: &str,
        partial: &str,
        bytes: &[u8],
    ) -> eyre::Result<Box<dyn DataFile>> {
        let step = |what: &str| format!("{what} {}", self.folder.path(partial).display());
        let mut file = self.folder.create(partial).wrap_err_with(|| step("create"))?;
        file.write_all(bytes).wrap_err_with(|| step("write"))?;
        file.sync().wrap_err_with(|| step("sync"))?;
        self.folder.rename(partial, name).wrap_err_with(|| step("rename"))?;
        self.sync_folder()?;
        Ok(file)
    }

    fn sync_folder(&self) -> eyre::Result<()> {
        self.folder.sync().wrap_err("sync data folder")
    }

    /// Truncates the journal after the last complete batch.
    fn truncate_tail(&mut self) -> eyre::Result<()> {
        self.journal.truncate(self.length).wrap_err("truncate the torn batch of the journal")?;
        self.journal.sync().wrap_err("sync journal")
    }
}
