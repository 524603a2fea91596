//! A data folder in memory that is killed or loses power at any file operation.
//!
//! An operation that is not synced survives a kill of the process. A loss of power keeps any part
//! of these operations and loses the others.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::ops::Range;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};

use dotterelpin::control::disk::{DataFile, DataFolder};

/// A change of a file that is not synced yet.
#[derive(Debug, Clone)]
enum Change {
    Append(Vec<u8>),
    Truncate(usize),
}

impl Change {
    fn apply(&self, bytes: &mut Vec<u8>) {
        match self {
            Change::Append(more) => bytes.extend_from_slice(more),
            Change::Truncate(length) => bytes.resize(*length, 0),
        }
    }
}

type Names = BTreeMap<String, usize>;

/// The content of a file: what is synced, and the changes since.
#[derive(Debug, Clone, Default)]
struct Content {
    synced: Vec<u8>,
    changes: Vec<Change>,
}

impl Content {
    fn visible(&self) -> Vec<u8> {
        let mut bytes = self.synced.clone();
        self.changes.iter().for_each(|c| c.apply(&mut bytes));
        bytes
    }

    fn sync(&mut self) {
        self.synced = self.visible();
        self.changes.clear();
    }

    /// Sets the content to what a loss of power leaves of it.
    fn lose(&mut self, kept: Kept) {
        let last = self.changes.pop();
        match (kept, last) {
            (Kept::Nothing, _) | (_, None) => self.changes.clear(),
            (Kept::Half, Some(Change::Append(mut bytes))) => {
                bytes.truncate(bytes.len() / 2);
                self.changes.push(Change::Append(bytes));
            }
            (Kept::Garbled, Some(Change::Append(mut bytes))) => {
                if let Some(byte) = bytes.last_mut() {
                    *byte ^= 0x55;
                }
                self.changes.push(Change::Append(bytes));
            }
            (Kept::Half, Some(Change::Truncate(_))) => {}
            (_, Some(change)) => self.changes.push(change),
        }
        self.sync();
    }
}

/// Which part of the operations that are not synced survives a loss of power.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Kept {
    Nothing,
    /// The first half of the operations.
    Half,
    /// All operations, but the last one left wrong bytes.
    Garbled,
    Everything,
}

/// What a loss of power leaves of the operations that are not synced.
#[derive(Debug, Clone, Copy)]
pub struct Survival {
    pub names: Kept,
    pub contents: Kept,
}

impl Survival {
    /// Returns all combinations.
    pub fn all() -> Vec<Survival> {
        let contents = [Kept::Nothing, Kept::Half, Kept::Garbled, Kept::Everything];
        let names = [Kept::Nothing, Kept::Half, Kept::Everything];
        let combine =
            |names| contents.into_iter().map(move |contents| Survival { names, contents });
        names.into_iter().flat_map(combine).collect()
    }
}

#[derive(Debug, Clone, Default)]
struct Volume {
    files: Vec<Content>,
    names: Names,
    synced_names: Names,
    /// The names after each operation that is not synced.
    unsynced_names: Vec<Names>,
    /// The number of operations so far.
    steps: usize,
    /// The operation at which the process is killed.
    kill_at: Option<usize>,
    killed: bool,
    /// The operations during which the disk is full.
    full: Range<usize>,
}

impl Volume {
    /// Counts an operation; fails once the process is killed.
    fn step(&mut self) -> io::Result<()> {
        self.killed |= self.kill_at == Some(self.steps);
        if self.killed {
            return Err(io::Error::other("killed"));
        }
        self.steps += 1;
        Ok(())
    }

    /// Counts an operation that needs space.
    fn growing_step(&mut self) -> io::Result<()> {
        let step = self.steps;
        self.step()?;
        if self.full.contains(&step) {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn create(&mut self, name: &str) -> usize {
        self.files.push(Content::default());
        let file = self.files.len() - 1;
        self.names.insert(name.into(), file);
        self.unsynced_names.push(self.names.clone());
        file
    }

    /// Sets the names to what a loss of power leaves of them.
    fn lose_names(&mut self, kept: Kept) {
        let count = self.unsynced_names.len();
        let last = match kept {
            Kept::Nothing => None,
            Kept::Half => (count / 2).checked_sub(1),
            Kept::Garbled | Kept::Everything => count.checked_sub(1),
        };
        let left = last.map_or(&self.synced_names, |at| &self.unsynced_names[at]);
        self.names = left.clone();
        self.sync_names();
    }

    fn sync_names(&mut self) {
        self.synced_names = self.names.clone();
        self.unsynced_names.clear();
    }
}

/// A data folder in memory; its clones show the same files.
#[derive(Debug, Clone, Default)]
pub struct CrashingFolder {
    volume: Arc<Mutex<Volume>>,
}

impl CrashingFolder {
    fn volume(&self) -> MutexGuard<'_, Volume> {
        self.volume.lock().unwrap()
    }

    /// Returns a copy with the same files, of which neither shows the changes of the other.
    pub fn copy(&self) -> CrashingFolder {
        CrashingFolder { volume: Arc::new(Mutex::new(self.volume().clone())) }
    }

    /// Returns the number of operations so far.
    pub fn steps(&self) -> usize {
        self.volume().steps
    }

    /// Kills the process once this many operations have been executed; the one after them may write
    /// a part of its bytes.
    pub fn kill_at(&self, steps: usize) {
        self.volume().kill_at = Some(steps);
    }

    /// Returns the visible and the synced content of each file.
    pub fn image(&self) -> BTreeMap<String, (Vec<u8>, Vec<u8>)> {
        let volume = self.volume();
        let content = |file: usize| {
            let content = &volume.files[file];
            (content.visible(), content.synced.clone())
        };
        let visible = volume.names.iter().map(|(name, file)| (name.clone(), content(*file)));
        let durable = volume.synced_names.iter();
        visible.chain(durable.map(|(n, file)| (format!("{n} (synced)"), content(*file)))).collect()
    }

    /// Lets a new process begin to count its operations.
    pub fn restart(&self) {
        let mut volume = self.volume();
        volume.steps = 0;
        volume.kill_at = None;
        volume.killed = false;
        volume.full = 0..0;
    }

    /// Lets the disk be full during these operations.
    pub fn fill(&self, steps: Range<usize>) {
        self.volume().full = steps;
    }

    /// Loses power.
    pub fn lose_power(&self, survival: Survival) {
        let mut volume = self.volume();
        volume.lose_names(survival.names);
        volume.files.iter_mut().for_each(|f| f.lose(survival.contents));
    }
}

/// An open file.
#[derive(Debug)]
struct OpenFile {
    folder: CrashingFolder,
    file: usize,
    position: usize,
}

impl Read for OpenFile {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let bytes = self.folder.volume().files[self.file].visible();
        let count = (&bytes[self.position.min(bytes.len())..]).read(buffer)?;
        self.position += count;
        Ok(count)
    }
}

impl Write for OpenFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let mut volume = self.folder.volume();
        if volume.killed {
            return Err(io::Error::other("killed"));
        }
        let written = volume.growing_step();
        // A write that fails or is interrupted may have written a part of its bytes.
        let kept = if written.is_ok() { bytes } else { &bytes[..bytes.len() / 2] };
        volume.files[self.file].changes.push(Change::Append(kept.to_vec()));
        written.map(|()| bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl DataFile for OpenFile {
    fn length(&self) -> io::Result<u64> {
        Ok(self.folder.volume().files[self.file].visible().len() as u64)
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        let mut volume = self.folder.volume();
        volume.step()?;
        let content = &mut volume.files[self.file];
        if content.visible().len() as u64 != length {
            content.changes.push(Change::Truncate(length as usize));
        }
        self.position = length as usize;
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut volume = self.folder.volume();
        volume.growing_step()?;
        volume.files[self.file].sync();
        Ok(())
    }
}

impl DataFolder for CrashingFolder {
    fn path(&self, name: &str) -> PathBuf {
        Path::new("data").join(name)
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn DataFile>> {
        let mut volume = self.volume();
        let file = match volume.names.get(name) {
            Some(file) => *file,
            None => {
                volume.growing_step()?;
                volume.create(name)
            }
        };
        Ok(Box::new(OpenFile { folder: self.clone(), file, position: 0 }))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn DataFile>> {
        let mut volume = self.volume();
        volume.growing_step()?;
        let file = volume.create(name);
        Ok(Box::new(OpenFile { folder: self.clone(), file, position: 0 }))
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        let volume = self.volume();
        Ok(volume.names.get(name).map(|file| volume.files[*file].visible()))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut volume = self.volume();
        volume.step()?;
        let file = volume.names.remove(from).ok_or(io::ErrorKind::NotFound)?;
        volume.names.insert(to.into(), file);
        let names = volume.names.clone();
        volume.unsynced_names.push(names);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut volume = self.volume();
        volume.step()?;
        if volume.names.remove(name).is_some() {
            let names = volume.names.clone();
            volume.unsynced_names.push(names);
        }
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        let mut volume = self.volume();
        volume.step()?;
        volume.sync_names();
        Ok(())
    }
}
