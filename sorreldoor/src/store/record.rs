//! The format of records in a file: a header with a number and checksums,
//! followed by the payload in CBOR.

use super::disk::Disk;
use crate::replicated_state::encode;
use crc32fast::Hasher;
use serde::Serialize;
use std::io::{self, Write};

const MAGIC: &[u8; 8] = b"SDstore1";
/// Length of a header: magic (8 bytes), kind (4), number (8), payload length
/// (8), payload checksum (4) and header checksum (4), all little-endian.
const HEADER_BYTES: usize = 36;
/// Size of the write buffer; longer records are written in chunks, so that their
/// encoding is never completely in memory.
const CHUNK_BYTES: usize = 64 * 1024;

/// What the payload of a record is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RecordKind {
    /// The complete state.
    Checkpoint = 1,
    /// Changes to the state before it.
    Batch = 2,
}

/// The header of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Header {
    pub(super) kind: RecordKind,
    pub(super) number: u64,
    /// Length of the payload in bytes.
    payload_length: u64,
    /// CRC-32 of the payload.
    payload_checksum: u32,
}

impl Header {
    fn encode(&self) -> [u8; HEADER_BYTES] {
        let mut bytes = [0; HEADER_BYTES];
        bytes[..8].copy_from_slice(MAGIC);
        bytes[8..12].copy_from_slice(&(self.kind as u32).to_le_bytes());
        bytes[12..20].copy_from_slice(&self.number.to_le_bytes());
        bytes[20..28].copy_from_slice(&self.payload_length.to_le_bytes());
        bytes[28..32].copy_from_slice(&self.payload_checksum.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..32]);
        bytes[32..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Header> {
        let bytes: &[u8; HEADER_BYTES] = bytes.get(..HEADER_BYTES)?.try_into().ok()?;
        let u32_at = |at: usize| bytes[at..at + 4].try_into().map(u32::from_le_bytes).ok();
        let u64_at = |at: usize| bytes[at..at + 8].try_into().map(u64::from_le_bytes).ok();
        if &bytes[..8] != MAGIC || u32_at(32)? != crc32fast::hash(&bytes[..32]) {
            return None;
        }
        let kind = match u32_at(8)? {
            1 => RecordKind::Checkpoint,
            2 => RecordKind::Batch,
            _ => return None,
        };
        Some(Header {
            kind,
            number: u64_at(12)?,
            payload_length: u64_at(20)?,
            payload_checksum: u32_at(28)?,
        })
    }
}

/// A complete record that was read back.
pub(super) struct Record {
    pub(super) header: Header,
    pub(super) payload: Vec<u8>,
}

impl Record {
    /// Length of the record in the file in bytes, including the header.
    pub(super) fn length(&self) -> u64 {
        HEADER_BYTES as u64 + self.header.payload_length
    }
}

/// Reads the record at `offset`; `None` if there is no complete one.
///
/// # Errors
/// The disk cannot be read; an incomplete record is not an error.
pub(super) fn read_record(
    disk: &mut impl Disk,
    file: &str,
    offset: u64,
) -> io::Result<Option<Record>> {
    let available = disk.length(file)?.saturating_sub(offset);
    if available < HEADER_BYTES as u64 {
        return Ok(None);
    }
    let header = disk.read(file, offset, HEADER_BYTES)?;
    let Some(header) = Header::decode(&header) else {
        return Ok(None);
    };
    if header.payload_length > available - HEADER_BYTES as u64 {
        return Ok(None);
    }
    let payload_offset = offset + HEADER_BYTES as u64;
    let payload = disk.read(file, payload_offset, header.payload_length as usize)?;
    let intact = crc32fast::hash(&payload) == header.payload_checksum;
    Ok(intact.then_some(Record { header, payload }))
}

/// Finds all valid headers from `offset` on, at any alignment, also those of
/// incomplete records.
///
/// # Errors
/// The disk cannot be read.
pub(super) fn scan_headers(
    disk: &mut impl Disk,
    file: &str,
    offset: u64,
) -> io::Result<Vec<Header>> {
    let length = disk.length(file)?;
    let mut headers = Vec::new();
    let mut position = offset;
    while position + HEADER_BYTES as u64 <= length {
        let size = (length - position).min((CHUNK_BYTES + HEADER_BYTES) as u64) as usize;
        let bytes = disk.read(file, position, size)?;
        let windows = bytes.windows(HEADER_BYTES).take(CHUNK_BYTES);
        let candidates = windows.filter(|window| window.starts_with(MAGIC));
        headers.extend(candidates.filter_map(Header::decode));
        position += CHUNK_BYTES as u64;
    }
    Ok(headers)
}

/// Encodes a short record in memory.
pub(super) fn record_bytes(kind: RecordKind, number: u64, content: &impl Serialize) -> Vec<u8> {
    let payload = encode(content);
    let header = Header {
        kind,
        number,
        payload_length: payload.len() as u64,
        payload_checksum: crc32fast::hash(&payload),
    };
    [&header.encode()[..], &payload].concat()
}

/// Reads the bytes from `start` to `end` and writes them back unchanged.
///
/// # Errors
/// A read or write fails.
pub(super) fn rewrite(disk: &mut impl Disk, file: &str, start: u64, end: u64) -> io::Result<()> {
    let mut position = start;
    while position < end {
        let size = (end - position).min(CHUNK_BYTES as u64) as usize;
        let bytes = disk.read(file, position, size)?;
        disk.write(file, position, &bytes)?;
        position += size as u64;
    }
    Ok(())
}

/// The position, kind and number of a record to be written.
pub(super) struct RecordTarget<'a> {
    pub(super) file: &'a str,
    pub(super) offset: u64,
    pub(super) kind: RecordKind,
    pub(super) number: u64,
}

/// Writes one record without syncing it; returns its length in bytes.
///
/// # Errors
/// A write fails; the file may then contain part of the record.
pub(super) fn write_record(
    disk: &mut impl Disk,
    target: &RecordTarget,
    content: &impl Serialize,
) -> io::Result<u64> {
    let mut writer = RecordWriter {
        disk,
        target,
        buffer: vec![0; HEADER_BYTES],
        written: 0,
        checksum: Hasher::new(),
    };
    ciborium::into_writer(content, &mut writer).map_err(|error| match error {
        ciborium::ser::Error::Io(error) => error,
        ciborium::ser::Error::Value(error) => io::Error::other(error),
    })?;
    writer.finish()
}

/// Buffers the encoded payload and writes it in chunks.
struct RecordWriter<'a, D> {
    disk: &'a mut D,
    target: &'a RecordTarget<'a>,
    buffer: Vec<u8>,
    /// Bytes written so far, including the space for the header.
    written: u64,
    checksum: Hasher,
}

impl<D: Disk> RecordWriter<'_, D> {
    fn write_buffer(&mut self) -> io::Result<()> {
        let offset = self.target.offset + self.written;
        self.disk.write(self.target.file, offset, &self.buffer)?;
        self.written += self.buffer.len() as u64;
        self.buffer.clear();
        Ok(())
    }

    /// Writes the rest of the record and its header. A record that fits the
    /// buffer takes one write; the header of a longer one is written last.
    fn finish(mut self) -> io::Result<u64> {
        let length = self.written + self.buffer.len() as u64;
        let header = Header {
            kind: self.target.kind,
            number: self.target.number,
            payload_length: length - HEADER_BYTES as u64,
            payload_checksum: self.checksum.clone().finalize(),
        };
        if self.written == 0 {
            self.buffer[..HEADER_BYTES].copy_from_slice(&header.encode());
            self.write_buffer()?;
        } else {
            self.write_buffer()?;
            let (file, offset) = (self.target.file, self.target.offset);
            self.disk.write(file, offset, &header.encode())?;
        }
        Ok(length)
    }
}

impl<D: Disk> Write for RecordWriter<'_, D> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.checksum.update(bytes);
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() >= CHUNK_BYTES {
            self.write_buffer()?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
