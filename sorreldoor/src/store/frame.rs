//! Records as they stand in a file: a header with a number and checksums,
//! then the payload.

use super::disk::Disk;
use crate::replicated_state::encode;
use crc32fast::Hasher;
use serde::Serialize;
use std::io::{self, Write};

const MAGIC: &[u8; 8] = b"SDstore1";
/// Magic, kind, number, length of the payload, checksum of the payload, and
/// checksum of all these.
pub const HEADER_LENGTH: usize = 36;
/// Longer records are written piece by piece, so that none stands in memory
/// twice.
const PIECE: usize = 64 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// The whole state.
    Checkpoint = 1,
    /// Changes to the state before it.
    Batch = 2,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    pub kind: Kind,
    pub number: u64,
    pub length: u64,
    payload_checksum: u32,
}

impl Header {
    fn encode(&self) -> [u8; HEADER_LENGTH] {
        let mut bytes = [0; HEADER_LENGTH];
        bytes[..8].copy_from_slice(MAGIC);
        bytes[8..12].copy_from_slice(&(self.kind as u32).to_le_bytes());
        bytes[12..20].copy_from_slice(&self.number.to_le_bytes());
        bytes[20..28].copy_from_slice(&self.length.to_le_bytes());
        bytes[28..32].copy_from_slice(&self.payload_checksum.to_le_bytes());
        let checksum = crc32fast::hash(&bytes[..32]);
        bytes[32..].copy_from_slice(&checksum.to_le_bytes());
        bytes
    }

    fn decode(bytes: &[u8]) -> Option<Header> {
        let bytes: &[u8; HEADER_LENGTH] = bytes.get(..HEADER_LENGTH)?.try_into().ok()?;
        let word = |at: usize| bytes[at..at + 4].try_into().map(u32::from_le_bytes).ok();
        let long = |at: usize| bytes[at..at + 8].try_into().map(u64::from_le_bytes).ok();
        if &bytes[..8] != MAGIC || word(32)? != crc32fast::hash(&bytes[..32]) {
            return None;
        }
        let kind = match word(8)? {
            1 => Kind::Checkpoint,
            2 => Kind::Batch,
            _ => return None,
        };
        Some(Header {
            kind,
            number: long(12)?,
            length: long(20)?,
            payload_checksum: word(28)?,
        })
    }
}

/// A record that was read back whole.
pub struct Record {
    pub header: Header,
    pub payload: Vec<u8>,
}

impl Record {
    /// Bytes that it takes in the file.
    pub fn span(&self) -> u64 {
        HEADER_LENGTH as u64 + self.header.length
    }
}

/// The record that starts at `offset`, if a whole one does.
///
/// # Errors
/// The disk cannot be read; a record that is not whole is no error.
pub fn read_record(disk: &mut impl Disk, file: &str, offset: u64) -> io::Result<Option<Record>> {
    let rest = disk.length(file)?.saturating_sub(offset);
    if rest < HEADER_LENGTH as u64 {
        return Ok(None);
    }
    let start = disk.read(file, offset, HEADER_LENGTH)?;
    let Some(header) = Header::decode(&start) else {
        return Ok(None);
    };
    if header.length > rest - HEADER_LENGTH as u64 {
        return Ok(None);
    }
    let payload_at = offset + HEADER_LENGTH as u64;
    let payload = disk.read(file, payload_at, header.length as usize)?;
    let whole = crc32fast::hash(&payload) == header.payload_checksum;
    Ok(whole.then_some(Record { header, payload }))
}

/// The headers that stand anywhere from `offset` on, whole records or not.
///
/// # Errors
/// The disk cannot be read.
pub fn scan_headers(disk: &mut impl Disk, file: &str, offset: u64) -> io::Result<Vec<Header>> {
    let length = disk.length(file)?;
    let mut headers = Vec::new();
    let mut at = offset;
    while at + HEADER_LENGTH as u64 <= length {
        let size = (length - at).min((PIECE + HEADER_LENGTH) as u64) as usize;
        let bytes = disk.read(file, at, size)?;
        let windows = bytes.windows(HEADER_LENGTH).take(PIECE);
        headers.extend(
            windows
                .filter(|w| w.starts_with(MAGIC))
                .filter_map(Header::decode),
        );
        at += PIECE as u64;
    }
    Ok(headers)
}

/// A record that is short enough to be made in memory.
pub fn record_bytes(kind: Kind, number: u64, content: &impl Serialize) -> Vec<u8> {
    let payload = encode(content);
    let header = Header {
        kind,
        number,
        length: payload.len() as u64,
        payload_checksum: crc32fast::hash(&payload),
    };
    [&header.encode()[..], &payload].concat()
}

/// Writes the bytes from `start` to `end` once more as they are.
///
/// # Errors
/// The disk refuses.
pub fn rewrite(disk: &mut impl Disk, file: &str, start: u64, end: u64) -> io::Result<()> {
    let mut at = start;
    while at < end {
        let size = (end - at).min(PIECE as u64) as usize;
        let bytes = disk.read(file, at, size)?;
        disk.write(file, at, &bytes)?;
        at += size as u64;
    }
    Ok(())
}

/// Writes one record at `offset`, without a sync; how many bytes it takes.
///
/// # Errors
/// The disk refuses a write; part of the record may stand there then.
pub fn write_record(
    disk: &mut impl Disk,
    file: &str,
    offset: u64,
    (kind, number): (Kind, u64),
    content: &impl Serialize,
) -> io::Result<u64> {
    let mut writer = RecordWriter {
        disk,
        file,
        offset,
        buffer: vec![0; HEADER_LENGTH],
        written: 0,
        checksum: Hasher::new(),
    };
    ciborium::into_writer(content, &mut writer).map_err(|e| match e {
        ciborium::ser::Error::Io(e) => e,
        ciborium::ser::Error::Value(e) => io::Error::other(e),
    })?;
    writer.finish(kind, number)
}

struct RecordWriter<'a, D> {
    disk: &'a mut D,
    file: &'a str,
    offset: u64,
    buffer: Vec<u8>,
    written: u64,
    checksum: Hasher,
}

impl<D: Disk> RecordWriter<'_, D> {
    fn write_buffer(&mut self) -> io::Result<()> {
        let at = self.offset + self.written;
        self.disk.write(self.file, at, &self.buffer)?;
        self.written += self.buffer.len() as u64;
        self.buffer.clear();
        Ok(())
    }

    /// A short record goes out in one write; a longer one gets its header last.
    fn finish(mut self, kind: Kind, number: u64) -> io::Result<u64> {
        let span = self.written + self.buffer.len() as u64;
        let header = Header {
            kind,
            number,
            length: span - HEADER_LENGTH as u64,
            payload_checksum: self.checksum.clone().finalize(),
        };
        if self.written == 0 {
            self.buffer[..HEADER_LENGTH].copy_from_slice(&header.encode());
            self.write_buffer()?;
        } else {
            self.write_buffer()?;
            self.disk.write(self.file, self.offset, &header.encode())?;
        }
        Ok(span)
    }
}

impl<D: Disk> Write for RecordWriter<'_, D> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.checksum.update(bytes);
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() >= PIECE {
            self.write_buffer()?;
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
