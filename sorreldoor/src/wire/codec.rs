//! The encoding of a frame: a length, a protocol number, and in CBOR a hash of
//! the site's fingerprint with one payload.

use super::Payload;

/// Version of the protocol, raised when a frame changes in a way that an older
/// node cannot read. Nodes of different versions refuse each other.
pub const PROTO: u16 = 6;
/// Bytes of a frame without its length prefix, at most. The largest
/// configuration fits, with the outcomes that a snapshot keeps beside it.
pub const MOST_FRAME: usize = 16 << 20;

/// Why a frame is rejected. The connection is closed; a retry of the same
/// frame cannot succeed.
#[derive(Debug, PartialEq, Eq)]
pub enum Refused {
    /// The length prefix, in bytes, is below 2 or above `MOST_FRAME`.
    TooLong(usize),
    /// The sender speaks this version of the protocol.
    Protocol(u16),
    /// The sender belongs to another site or has another layout of it: the
    /// hash of its fingerprint.
    Site(u64),
    /// The content is not valid CBOR or has an unknown variant or field type.
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

/// Encodes a payload as a frame: a little-endian `u32` with the number of
/// bytes that follow, `PROTO` as a little-endian `u16`, and in CBOR the hash
/// of `site` (the fingerprint in the settings) with the payload.
pub fn pack(site: &str, p: &Payload) -> Vec<u8> {
    let mut b = vec![0; 6];
    // writing to memory fails only where serde itself is misused
    ciborium::into_writer(&(mark(site.as_bytes()), p), &mut b).expect("plain data always encodes");
    let n = (b.len() - 4) as u32;
    b[..4].copy_from_slice(&n.to_le_bytes());
    b[4..6].copy_from_slice(&PROTO.to_le_bytes());
    b
}

/// Number of bytes that follow the length prefix `head`.
///
/// # Errors
/// `Refused::TooLong` if no frame has that length.
pub fn length(head: [u8; 4]) -> Result<usize, Refused> {
    let n = u32::from_le_bytes(head) as usize;
    Some(n)
        .filter(|n| (2..=MOST_FRAME).contains(n))
        .ok_or(Refused::TooLong(n))
}

/// Decodes the bytes `b` that follow the length prefix.
///
/// # Errors
/// The frame has another protocol, comes from another site, or cannot be
/// decoded.
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

/// Hash of bytes that is the same on every node and in every release (64-bit
/// FNV-1a). Serves as a version of lists; it is not cryptographic.
pub fn mark(b: &[u8]) -> u64 {
    let step = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
    b.iter().fold(0xcbf2_9ce4_8422_2325, step)
}
