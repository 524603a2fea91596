//! The files of the journal and the snapshot, which are synced before any acknowledgement.

use std::fs::{File, OpenOptions};
use std::io::{BufReader, Seek, SeekFrom, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use eyre::{WrapErr, ensure};

pub use super::batch::{Journal, decode, decode_snapshot, encode};
use super::replica::{Entry, MemberId, Snapshot, Stored, WriteId};
pub use super::writes::Writes;
use super::{DiskEffect, DiskInput, batch};
use crate::role::{Adapter, DriverHandle};

const JOURNAL: &str = "journal";
const SNAPSHOT: &str = "snapshot";
/// The extension of a file that is still being written.
const PARTIAL: &str = "partial";
/// The duration from which a write, with its sync, is logged as slow.
const SLOW_WRITE: Duration = Duration::from_millis(500);
/// The time between two attempts to write to a full disk.
const RETRY_INTERVAL: Duration = Duration::from_millis(1_000);

/// The open files of a data folder.
pub struct Files {
    folder: PathBuf,
    journal: File,
    sequence: u64,
    length: u64,
}

/// Opens a data folder and reads its content; in a new folder, records the owner.
pub fn open(folder: &Path, owner: MemberId) -> eyre::Result<(Stored, Files)> {
    std::fs::create_dir_all(folder).wrap_err_with(|| format!("create {}", folder.display()))?;
    let path = folder.join(JOURNAL);
    let snapshot = read_snapshot(&folder.join(SNAPSHOT))?;
    remove_partial(folder)?;
    let journal = OpenOptions::new()
        .create(true)
        .truncate(false)
        .read(true)
        .write(true)
        .open(&path)
        .wrap_err_with(|| format!("open {}", path.display()))?;
    let size = journal.metadata().wrap_err_with(|| format!("read {}", path.display()))?.len();
    let damaged = || format!("{} is damaged", path.display());
    let mut found = batch::read(BufReader::new(&journal), size as usize).wrap_err_with(damaged)?;
    let cut = size - found.length as u64;
    if cut > 0 {
        log::warn!("step=open-journal cut={cut} bytes of a torn batch");
    }
    let folder = folder.to_path_buf();
    let mut files =
        Files { folder, journal, sequence: found.sequence, length: found.length as u64 };
    files.truncate_tail()?;
    if found.entries.is_empty() {
        ensure!(snapshot.is_none(), "{} is empty, but there is a snapshot", path.display());
        found.entries.push(Entry::Owner(owner));
        files.append(&found.entries)?;
    }
    files.sync_folder()?;
    let stored = Stored::replay(snapshot, found.entries).wrap_err_with(damaged)?;
    Ok((stored, files))
}

/// Removes the files that a killed process has not completed.
fn remove_partial(folder: &Path) -> eyre::Result<()> {
    for name in [JOURNAL, SNAPSHOT] {
        let path = folder.join(name).with_extension(PARTIAL);
        match std::fs::remove_file(&path) {
            Err(error) if error.kind() != std::io::ErrorKind::NotFound => {
                return Err(error).wrap_err_with(|| format!("remove {}", path.display()));
            }
            _ => {}
        }
    }
    Ok(())
}

fn read_snapshot(path: &Path) -> eyre::Result<Option<Arc<Snapshot>>> {
    let bytes = match std::fs::read(path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(error).wrap_err_with(|| format!("read {}", path.display())),
    };
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
        let bytes = encode(self.sequence, &entries)?;
        self.journal.write_all(&bytes).wrap_err("append to journal")?;
        self.journal.sync_data().wrap_err("sync journal")?;
        self.sequence += 1;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Writes a snapshot, then a new journal with the entries after it.
    pub fn replace(&mut self, snapshot: &Snapshot, entries: &[Entry]) -> eyre::Result<()> {
        self.write_atomically(SNAPSHOT, &encode(0, snapshot)?)?;
        let bytes = encode(0, &entries)?;
        self.journal = self.write_atomically(JOURNAL, &bytes)?;
        self.sequence = 1;
        self.length = bytes.len() as u64;
        Ok(())
    }

    /// Writes a file under a temporary name, syncs it, then renames it. If that fails, the file is
    /// removed, since it could fill the disk.
    fn write_atomically(&self, name: &str, bytes: &[u8]) -> eyre::Result<File> {
        let partial = self.folder.join(name).with_extension(PARTIAL);
        let written = self.write_and_rename(name, &partial, bytes);
        if written.is_err() {
            let _ = std::fs::remove_file(&partial);
        }
        written
    }

    fn write_and_rename(&self, name: &str, partial: &Path, bytes: &[u8]) -> eyre::Result<File> {
        let step = |what: &str| format!("{what} {}", partial.display());
        let mut file = File::create(partial).wrap_err_with(|| step("create"))?;
        file.write_all(bytes).wrap_err_with(|| step("write"))?;
        file.sync_all().wrap_err_with(|| step("sync"))?;
        std::fs::rename(partial, self.folder.join(name)).wrap_err_with(|| step("rename"))?;
        self.sync_folder()?;
        Ok(file)
    }

    fn sync_folder(&self) -> eyre::Result<()> {
        File::open(&self.folder).and_then(|f| f.sync_all()).wrap_err("sync data folder")
    }

    /// Truncates the journal after the last complete batch.
    fn truncate_tail(&mut self) -> eyre::Result<()> {
        self.journal.set_len(self.length).wrap_err("truncate the torn batch of the journal")?;
        self.journal
            .seek(SeekFrom::Start(self.length))
            .wrap_err("seek to the end of the journal")?;
        self.journal.sync_all().wrap_err("sync journal")
    }
}

/// Passes the writes that the control role requests to the disk thread.
pub struct Disk {
    queue: Sender<DiskEffect>,
}

impl Disk {
    /// Starts the disk thread, which reports results to the role.
    pub fn start(files: Files, role: DriverHandle<DiskInput>) -> eyre::Result<Disk> {
        let (queue, effects) = channel();
        let run = move || {
            if let Err(error) = execute_all(files, &effects, &role) {
                role.local(DiskInput::Failed(format!("{error:#}").into()));
            }
        };
        std::thread::Builder::new().name("disk".into()).spawn(run).wrap_err("start disk thread")?;
        Ok(Disk { queue })
    }
}

impl Adapter<DiskEffect> for Disk {
    fn execute(&mut self, effect: DiskEffect) {
        let _ = self.queue.send(effect);
    }
}

/// Executes the requested writes; as long as the disk is full, they are retried. Any other error is
/// final.
fn execute_all(
    mut files: Files,
    effects: &Receiver<DiskEffect>,
    role: &DriverHandle<DiskInput>,
) -> eyre::Result<()> {
    let mut writes = Writes::default();
    loop {
        effects.try_iter().for_each(|e| writes.push(e));
        let Some(write) = writes.take_next() else {
            let Ok(effect) = effects.recv() else { return Ok(()) };
            writes.push(effect);
            continue;
        };
        let since = Instant::now();
        let written = files.execute(&write);
        if since.elapsed() >= SLOW_WRITE {
            let ms = since.elapsed().as_millis();
            log::warn!("step=slow-write ms={ms}");
        }
        match written {
            Ok(id) => role.local(DiskInput::Synced(id)),
            Err(error) if is_disk_full(&error) => {
                role.local(DiskInput::Stalled(format!("{error:#}").into()));
                files.truncate_tail()?;
                std::thread::sleep(RETRY_INTERVAL);
                effects.try_iter().for_each(|e| writes.push(e));
                writes.put_back(write);
            }
            Err(error) => return Err(error),
        }
    }
}

fn is_disk_full(error: &eyre::Report) -> bool {
    use std::io::ErrorKind::{QuotaExceeded, StorageFull};
    let kind = error.root_cause().downcast_ref::<std::io::Error>().map(std::io::Error::kind);
    matches!(kind, Some(StorageFull | QuotaExceeded))
}
