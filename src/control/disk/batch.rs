//! The batches that the journal and the snapshot consist of, with checksums.
//!
//! A batch is written only after the previous one was synced. So an unreadable batch is a torn tail
//! if no complete batch follows it, and damage otherwise.

use std::io::Read;

use eyre::{WrapErr, ensure, eyre};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::control::replica::{Entry, Snapshot};

/// The first bytes of each batch.
const MAGIC: [u8; 4] = *b"dtrp";
/// The size of a header: magic, sequence number, length, checksum of the content, checksum of the
/// header.
const HEADER_BYTES: usize = 4 + 8 + 4 + 4 + 4;

/// Encodes one batch with its header.
pub fn encode<T: Serialize>(sequence: u64, content: &T) -> eyre::Result<Vec<u8>> {
    let body = postcard::to_stdvec(content).wrap_err("encode batch")?;
    let length = u32::try_from(body.len()).wrap_err("encode batch length")?;
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&sequence.to_le_bytes());
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&body).to_le_bytes());
    let check = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&check.to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// The checked header of a batch.
struct Header {
    sequence: u64,
    length: usize,
    checksum: u32,
}

impl Header {
    /// Reads a header, if its checksum matches.
    fn read(bytes: &[u8; HEADER_BYTES]) -> Option<Header> {
        let number =
            |from: usize| bytes[from..].first_chunk::<4>().map_or(0, |b| u32::from_le_bytes(*b));
        let checked = bytes.starts_with(&MAGIC) && number(20) == crc32fast::hash(&bytes[..20]);
        let sequence = u64::from_le_bytes(*bytes[4..].first_chunk()?);
        let (length, checksum) = (number(12) as usize, number(16));
        checked.then_some(Header { sequence, length, checksum })
    }

    /// Returns whether these bytes are the complete content of the batch.
    fn matches(&self, body: &[u8]) -> bool {
        body.len() == self.length && self.checksum == crc32fast::hash(body)
    }
}

/// Reads the batch at a byte offset, if it is complete and its checksums match.
fn batch_at(bytes: &[u8], at: usize) -> Option<(Header, &[u8])> {
    let header = Header::read(bytes.get(at..)?.first_chunk()?)?;
    let start = at + HEADER_BYTES;
    let body = bytes.get(start..start.checked_add(header.length)?)?;
    header.matches(body).then_some((header, body))
}

/// The decoded content of a journal.
#[derive(Debug)]
pub struct Journal {
    /// The entries of all complete batches.
    pub entries: Vec<Entry>,
    /// The sequence number of the next batch.
    pub sequence: u64,
    /// The length of all complete batches in bytes; what follows is a torn tail.
    pub length: usize,
    /// Where each batch begins.
    batches: Vec<BatchStart>,
}

/// Where a batch begins.
#[derive(Debug)]
struct BatchStart {
    /// The number of entries before it.
    entry: usize,
    /// Its byte offset.
    byte: usize,
}

impl Journal {
    /// Returns the byte offset of the batch with an entry.
    pub fn byte_of(&self, entry: usize) -> usize {
        let batch = self.batches.iter().rev().find(|b| b.entry <= entry);
        batch.map_or(0, |b| b.byte)
    }
}

/// Decodes a journal; fails if a damaged batch is followed by a complete one.
pub fn decode(bytes: &[u8]) -> eyre::Result<Journal> {
    read(bytes, bytes.len())
}

/// Reads a journal of a size in bytes batch by batch; fails if a damaged batch is followed by a
/// complete one.
pub fn read(mut reader: impl Read, size: usize) -> eyre::Result<Journal> {
    let mut journal = Journal { entries: Vec::new(), sequence: 0, length: 0, batches: Vec::new() };
    let mut bytes = Vec::new();
    loop {
        let at = journal.length;
        let Some(header) = read_batch(&mut reader, size - at, &mut bytes)? else { break };
        let wanted = journal.sequence;
        ensure!(
            header.sequence == wanted,
            "byte {at}: found batch {}, expected {wanted}",
            header.sequence
        );
        let body = &bytes[HEADER_BYTES..];
        let entries: Vec<Entry> = decode_body(body).wrap_err_with(|| format!("byte {at}"))?;
        journal.batches.push(BatchStart { entry: journal.entries.len(), byte: at });
        journal.entries.extend(entries);
        journal.sequence += 1;
        journal.length += bytes.len();
    }
    reader.read_to_end(&mut bytes).wrap_err("read the journal's last bytes")?;
    let follows =
        |at: &usize| batch_at(&bytes, *at).is_some_and(|(h, _)| h.sequence > journal.sequence);
    if let Some(at) = (0..bytes.len()).find(follows) {
        return Err(eyre!(
            "byte {}: the batch is damaged, and a complete one follows at byte {}",
            journal.length,
            journal.length + at
        ));
    }
    Ok(journal)
}

/// Reads the next batch into a buffer and returns its header; `None` if the batch is incomplete or
/// a checksum does not match, and the buffer then has what was read of it.
fn read_batch(
    reader: &mut impl Read,
    left: usize,
    bytes: &mut Vec<u8>,
) -> eyre::Result<Option<Header>> {
    bytes.clear();
    read_up_to(reader, HEADER_BYTES, bytes)?;
    let header = bytes.first_chunk().and_then(Header::read);
    let Some(header) = header.filter(|h| HEADER_BYTES + h.length <= left) else {
        return Ok(None);
    };
    read_up_to(reader, header.length, bytes)?;
    Ok(header.matches(&bytes[HEADER_BYTES..]).then_some(header))
}

/// Appends the next bytes to a buffer, up to a number or to the end.
fn read_up_to(reader: &mut impl Read, count: usize, bytes: &mut Vec<u8>) -> eyre::Result<()> {
    bytes.reserve_exact(count);
    reader.take(count as u64).read_to_end(bytes).wrap_err("read the journal")?;
    Ok(())
}

/// Decodes the content of a snapshot file, which is one batch.
pub fn decode_snapshot(bytes: &[u8]) -> eyre::Result<Snapshot> {
    let (_, body) = batch_at(bytes, 0)
        .ok_or_else(|| eyre!("byte 0: the batch is incomplete or a checksum does not match"))?;
    let end = HEADER_BYTES + body.len();
    ensure!(end == bytes.len(), "byte {end}: unexpected bytes after the end of the snapshot");
    decode_body(body)
}

fn decode_body<T: DeserializeOwned>(body: &[u8]) -> eyre::Result<T> {
    postcard::from_bytes(body).map_err(|e| eyre!("cannot decode the content: {e}"))
}
