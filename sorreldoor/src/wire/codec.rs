//! The encoding of a frame: a length, a protocol number, and in CBOR a hash of
//! the site's name with one payload.

use super::Payload;

/// Raised when a frame changes in a way that an older node cannot read.
pub const PROTO: u16 = 4;
/// The largest setup fits in, with the outcomes a snapshot keeps beside it.
pub const MOST_FRAME: usize = 16 << 20;

#[derive(Debug, PartialEq, Eq)]
pub enum Refused {
    TooLong(usize),
    Protocol(u16),
    Site(u64),
    Unreadable,
}

impl std::fmt::Display for Refused {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Refused::TooLong(n) => write!(f, "frame of {n} bytes, {MOST_FRAME} at most"),
            Refused::Protocol(p) => write!(f, "protocol {p}, this node speaks {PROTO}"),
            Refused::Site(s) => write!(f, "from another site, marked {s:x}"),
            Refused::Unreadable => write!(f, "frame cannot be decoded"),
        }
    }
}

pub fn pack(site: &str, p: &Payload) -> Vec<u8> {
    let mut b = vec![0; 6];
    // writing to memory fails only where serde itself is misused
    ciborium::into_writer(&(mark(site.as_bytes()), p), &mut b).expect("plain data always encodes");
    let n = (b.len() - 4) as u32;
    b[..4].copy_from_slice(&n.to_le_bytes());
    b[4..6].copy_from_slice(&PROTO.to_le_bytes());
    b
}

/// Length of what follows the first four bytes, if it may be taken at all.
pub fn length(head: [u8; 4]) -> Result<usize, Refused> {
    let n = u32::from_le_bytes(head) as usize;
    Some(n)
        .filter(|n| (2..=MOST_FRAME).contains(n))
        .ok_or(Refused::TooLong(n))
}

pub fn unpack(site: &str, b: &[u8]) -> Result<Payload, Refused> {
    let p = b
        .get(..2)
        .and_then(|p| p.try_into().ok())
        .map(u16::from_le_bytes)
        .ok_or(Refused::Unreadable)?;
    if p != PROTO {
        return Err(Refused::Protocol(p));
    }
    // bounded depth, or a nested frame could exhaust the stack
    let (s, p): (u64, Payload) = ciborium::de::from_reader_with_recursion_limit(&b[2..], 64)
        .map_err(|_| Refused::Unreadable)?;
    let ours = s == mark(site.as_bytes());
    Some(p).filter(|_| ours).ok_or(Refused::Site(s))
}

/// A mark of some bytes that is the same on every node (FNV-1a).
pub fn mark(b: &[u8]) -> u64 {
    let step = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
    b.iter().fold(0xcbf2_9ce4_8422_2325, step)
}
