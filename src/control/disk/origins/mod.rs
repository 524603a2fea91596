//! The files in which a member keeps the origins of streams, apart from the journal: they lose their
//! newest records rather than delay a call, a vote or a change of the configuration.

mod segment;
mod writer;

use std::path::Path;

use eyre::WrapErr;

pub use writer::OriginWriter;

use super::{DataFile, DataFolder, SystemFolder};
use crate::control::origins::{ORIGIN_TTL, OriginRecord};
use crate::model::Timestamp;

/// The names of the segments. Records are appended to one of them; the other one holds those before.
const NAMES: [&str; 2] = ["origins.0", "origins.1"];
/// The maximum size in bytes of a segment.
pub const MAX_SEGMENT_BYTES: usize = 8 << 20;

/// The open files of origins. A segment is replaced only after the other one was written to for
/// [`ORIGIN_TTL`] or is full.
pub struct OriginFiles {
    folder: Box<dyn DataFolder>,
    /// The segment that records are appended to, with its name as an index into [`NAMES`].
    file: Box<dyn DataFile>,
    name: usize,
    sequence: u64,
    /// The size in bytes of its complete records and the header; 0 before the first record.
    length: usize,
    /// When the first record was appended by this process.
    began: Option<Timestamp>,
    is_synced: bool,
}

impl OriginFiles {
    /// Opens the origins of a data folder of the operating system, and reads those in it.
    pub fn open(folder: &Path) -> eyre::Result<(Vec<OriginRecord>, OriginFiles)> {
        let system =
            SystemFolder::open(folder).wrap_err_with(|| format!("open {}", folder.display()))?;
        OriginFiles::open_folder(Box::new(system))
    }

    /// Opens the origins of a data folder, and reads those in it. A torn or damaged tail is cut off.
    pub fn open_folder(
        folder: Box<dyn DataFolder>,
    ) -> eyre::Result<(Vec<OriginRecord>, OriginFiles)> {
        let mut segments = Vec::new();
        for (name, text) in NAMES.into_iter().enumerate() {
            let bytes = folder.read(text).wrap_err_with(|| format!("read {text}"))?;
            let bytes = bytes.unwrap_or_default();
            let content = segment::read(&bytes);
            let length = content.as_ref().map_or(0, |c| c.length);
            let records = content.as_ref().map_or(0, |c| c.records.len());
            let cut = bytes.len() - length;
            if cut > 0 {
                log::warn!("step=open-origins file={text} records={records} cut={cut} bytes lost");
            }
            segments.extend(content.map(|content| (name, content)));
        }
        segments.sort_by_key(|(_, content)| content.sequence);
        let newest = segments.last().map(|(name, c)| (*name, c.sequence, c.length));
        let (name, sequence, length) = newest.unwrap_or((0, 1, 0));
        let mut file =
            folder.open(NAMES[name]).wrap_err_with(|| format!("open {}", NAMES[name]))?;
        file.truncate(length as u64).wrap_err("cut off the tail of the origins")?;
        folder.sync().wrap_err("sync data folder")?;
        let records = segments.into_iter().flat_map(|(_, content)| content.records).collect();
        let files =
            OriginFiles { folder, file, name, sequence, length, began: None, is_synced: true };
        Ok((records, files))
    }

    /// Returns whether all records that were appended are synced.
    pub fn is_synced(&self) -> bool {
        self.is_synced
    }

    /// Appends records, which outlast a kill of the process from then on. If that fails, these
    /// records may be lost, but none of those before, and further ones may be appended.
    pub fn append(&mut self, now: Timestamp, records: &[OriginRecord]) -> eyre::Result<()> {
        let mut bytes = Vec::new();
        for record in records {
            let mut encoded = segment::encode(self.sequence, record)?;
            let is_full = self.length + bytes.len() + encoded.len() > MAX_SEGMENT_BYTES;
            let is_old = self.began.is_some_and(|began| now - began >= ORIGIN_TTL);
            if is_full || is_old {
                self.write(now, &bytes)?;
                bytes.clear();
                self.begin_segment()?;
                encoded = segment::encode(self.sequence, record)?;
            }
            if self.length + bytes.len() == 0 {
                bytes = segment::header(self.sequence);
            }
            self.began.get_or_insert(now);
            bytes.extend(encoded);
        }
        self.write(now, &bytes)
    }

    /// Syncs the records, which outlast a loss of power from then on.
    pub fn sync(&mut self) -> eyre::Result<()> {
        self.file.sync().wrap_err("sync origins")?;
        self.is_synced = true;
        Ok(())
    }

    fn write(&mut self, now: Timestamp, bytes: &[u8]) -> eyre::Result<()> {
        if bytes.is_empty() {
            return Ok(());
        }
        self.began.get_or_insert(now);
        self.is_synced = false;
        if let Err(error) = self.file.write_all(bytes) {
            self.file.truncate(self.length as u64).wrap_err("cut off a torn origin")?;
            return Err(error).wrap_err("append to origins");
        }
        self.length += bytes.len();
        Ok(())
    }

    /// Begins a segment in place of the older one. The records of the current one are synced before,
    /// since they outlast the older ones only then.
    fn begin_segment(&mut self) -> eyre::Result<()> {
        self.sync()?;
        let name = 1 - self.name;
        let file = self.folder.create(NAMES[name]).wrap_err("begin a segment of origins")?;
        self.folder.sync().wrap_err("sync data folder")?;
        self.file = file;
        (self.name, self.sequence, self.length) = (name, self.sequence + 1, 0);
        self.began = None;
        Ok(())
    }
}
