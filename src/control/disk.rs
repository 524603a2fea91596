//! The log file: checksummed records, synced before any acknowledgement.

use std::fs::{File, OpenOptions};
use std::io::{Read, Write};
use std::path::Path;
use std::sync::mpsc::{Receiver, Sender, channel};

use eyre::{WrapErr, ensure, eyre};

use super::replica::{LogIndex, Record};
use super::{DiskEffect, DiskInput};
use crate::role::{Adapter, DriverHandle};

const LOG_FILE: &str = "log";
const HEADER_BYTES: usize = 8;

/// Reads the log, cuts a torn tail and opens the file for more.
pub fn open(folder: &Path) -> eyre::Result<(Vec<Record>, File)> {
    std::fs::create_dir_all(folder).wrap_err_with(|| format!("make {}", folder.display()))?;
    let path = folder.join(LOG_FILE);
    let mut file = OpenOptions::new()
        .create(true)
        .read(true)
        .append(true)
        .open(&path)
        .wrap_err_with(|| format!("open {}", path.display()))?;
    let mut bytes = Vec::new();
    file.read_to_end(&mut bytes).wrap_err_with(|| format!("read {}", path.display()))?;
    let (records, length) =
        decode(&bytes).wrap_err_with(|| format!("log {} is damaged", path.display()))?;
    if length < bytes.len() {
        log::warn!("step=open-log cut={} bytes of a torn record", bytes.len() - length);
        file.set_len(length as u64).wrap_err("cut torn record")?;
    }
    file.sync_all().wrap_err("sync log")?;
    File::open(folder).and_then(|f| f.sync_all()).wrap_err("sync data folder")?;
    Ok((records, file))
}

/// Encodes a record with its length and checksum.
pub fn encode(record: &Record) -> eyre::Result<Vec<u8>> {
    let body = postcard::to_stdvec(record).wrap_err("encode record")?;
    let mut bytes = (body.len() as u32).to_le_bytes().to_vec();
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Decodes records and returns how many bytes they take; a torn tail is left out.
pub fn decode(bytes: &[u8]) -> eyre::Result<(Vec<Record>, usize)> {
    let mut records = Vec::new();
    let mut at = 0;
    while let Some(body) = next_body(&bytes[at..]) {
        let stored = u32::from_le_bytes(bytes[at + 4..at + HEADER_BYTES].try_into()?);
        let end = at + HEADER_BYTES + body.len();
        if stored != crc32fast::hash(body) {
            ensure!(end == bytes.len(), "wrong checksum at byte {at}, with records after it");
            break;
        }
        records.push(postcard::from_bytes(body).map_err(|e| eyre!("record at byte {at}: {e}"))?);
        at = end;
    }
    Ok((records, at))
}

fn next_body(bytes: &[u8]) -> Option<&[u8]> {
    let length = u32::from_le_bytes(*bytes.first_chunk::<4>()?) as usize;
    bytes.get(HEADER_BYTES..HEADER_BYTES.checked_add(length)?)
}

/// Gives what the control role asks to the disk's thread.
pub struct Disk {
    queue: Sender<Vec<Record>>,
}

impl Disk {
    /// Starts the disk's thread.
    pub fn start(file: File, role: DriverHandle<DiskInput>) -> eyre::Result<Disk> {
        let (queue, batches) = channel();
        let run = move || {
            if let Err(error) = append_all(file, &batches, &role) {
                role.local(DiskInput::Failed(format!("{error:#}").into()));
            }
        };
        std::thread::Builder::new().name("disk".into()).spawn(run).wrap_err("start disk thread")?;
        Ok(Disk { queue })
    }
}

impl Adapter<DiskEffect> for Disk {
    fn carry(&mut self, effect: DiskEffect) {
        let DiskEffect::Append(records) = effect;
        let _ = self.queue.send(records);
    }
}

fn append_all(
    mut file: File,
    batches: &Receiver<Vec<Record>>,
    role: &DriverHandle<DiskInput>,
) -> eyre::Result<()> {
    while let Ok(mut records) = batches.recv() {
        records.extend(batches.try_iter().flatten());
        let mut bytes = Vec::new();
        let mut last = LogIndex(0);
        for record in &records {
            bytes.extend(encode(record)?);
            last = record.index;
        }
        file.write_all(&bytes).wrap_err("append to log")?;
        file.sync_data().wrap_err("sync log")?;
        role.local(DiskInput::Synced(last));
    }
    Ok(())
}
