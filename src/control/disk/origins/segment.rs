//! The format of a segment: a header with the version of the format, then records, each with its
//! length and a checksum.

use eyre::WrapErr;

use crate::control::origins::OriginRecord;

/// The first bytes of each segment.
const MAGIC: [u8; 4] = *b"dtro";
/// The version of the format; a segment of another one is not read.
const VERSION: u16 = 1;
/// The size of a header: magic, version, sequence number, checksum of these.
pub(super) const HEADER_BYTES: usize = 4 + 2 + 8 + 4;
/// The size of what stands before a record: its length and its checksum.
const PREFIX_BYTES: usize = 4 + 4;

/// The readable content of a segment.
#[derive(Debug)]
pub(super) struct Content {
    /// The number of the segment; the newer of two has the larger one.
    pub(super) sequence: u64,
    pub(super) records: Vec<OriginRecord>,
    /// The size in bytes of the header and the records.
    pub(super) length: usize,
}

/// Returns the header of a segment.
pub(super) fn header(sequence: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend_from_slice(&VERSION.to_le_bytes());
    bytes.extend_from_slice(&sequence.to_le_bytes());
    let check = crc32fast::hash(&bytes);
    bytes.extend_from_slice(&check.to_le_bytes());
    bytes
}

/// Encodes a record of a segment.
pub(super) fn encode(sequence: u64, record: &OriginRecord) -> eyre::Result<Vec<u8>> {
    let body = postcard::to_stdvec(record).wrap_err("encode origin")?;
    let length = u32::try_from(body.len()).wrap_err("encode the length of an origin")?;
    let mut bytes = length.to_le_bytes().to_vec();
    bytes.extend_from_slice(&checksum(sequence, &body).to_le_bytes());
    bytes.extend_from_slice(&body);
    Ok(bytes)
}

/// Reads the records of a segment up to the first one that is torn or damaged; `None` if the header
/// is.
pub(super) fn read(bytes: &[u8]) -> Option<Content> {
    let sequence = u64::from_le_bytes(*bytes.get(6..)?.first_chunk()?);
    if !bytes.starts_with(&header(sequence)) {
        return None;
    }
    let mut content = Content { sequence, records: Vec::new(), length: HEADER_BYTES };
    while let Some((record, size)) = record_at(sequence, bytes.get(content.length..)?) {
        content.records.push(record);
        content.length += size;
    }
    Some(content)
}

/// Reads the record at the beginning of `bytes`; returns it with its size.
fn record_at(sequence: u64, bytes: &[u8]) -> Option<(OriginRecord, usize)> {
    let length = u32::from_le_bytes(*bytes.first_chunk()?) as usize;
    let check = u32::from_le_bytes(*bytes.get(4..)?.first_chunk()?);
    let end = PREFIX_BYTES.checked_add(length)?;
    let body = bytes.get(PREFIX_BYTES..end)?;
    if checksum(sequence, body) != check {
        return None;
    }
    Some((postcard::from_bytes(body).ok()?, end))
}

/// Returns the checksum of a record. It covers the number of the segment, so that what an earlier
/// segment left in the file is not taken for a record of this one.
fn checksum(sequence: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&sequence.to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}
