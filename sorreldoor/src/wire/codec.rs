//! The encoding of a frame: a length, a protocol number, and in CBOR a hash of
//! the site's fingerprint with one payload.

use super::Payload;

/// Version of the protocol, raised when a frame changes in a way that an older
/// node cannot read. Nodes of different versions refuse each other.
pub const PROTOCOL_VERSION: u16 = 6;
/// Bytes of a frame without its length prefix, at most. The largest
/// configuration fits, with the outcomes that a snapshot keeps beside it.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Why a frame is rejected. The connection is closed; a retry of the same
/// frame cannot succeed.
#[derive(Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The length prefix, in bytes, is below 2 or above `MAX_FRAME_BYTES`.
    InvalidLength(usize),
    /// The sender speaks this version of the protocol.
    ProtocolMismatch(u16),
    /// The sender belongs to another site or has another layout of it: the
    /// hash of its fingerprint.
    SiteMismatch(u64),
    /// The content is not valid CBOR or has an unknown variant or field type.
    Malformed,
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FrameError::InvalidLength(n) => {
                write!(f, "frame of {n} bytes, {MAX_FRAME_BYTES} at most")
            }
            FrameError::ProtocolMismatch(p) => {
                write!(f, "protocol {p}, this node speaks {PROTOCOL_VERSION}")
            }
            FrameError::SiteMismatch(s) => write!(f, "from another site, marked {s:x}"),
            FrameError::Malformed => write!(f, "frame cannot be decoded"),
        }
    }
}

/// Encodes a payload as a frame: a little-endian `u32` with the number of
/// bytes that follow, `PROTOCOL_VERSION` as a little-endian `u16`, and in CBOR the hash
/// of `site` (the fingerprint in the settings) with the payload.
pub fn encode_frame(site: &str, p: &Payload) -> Vec<u8> {
    let mut b = vec![0; 6];
    // writing to memory fails only where serde itself is misused
    ciborium::into_writer(&(stable_hash(site.as_bytes()), p), &mut b)
        .expect("plain data always encodes");
    let n = (b.len() - 4) as u32;
    b[..4].copy_from_slice(&n.to_le_bytes());
    b[4..6].copy_from_slice(&PROTOCOL_VERSION.to_le_bytes());
    b
}

/// Number of bytes that follow the length prefix `head`.
///
/// # Errors
/// `FrameError::InvalidLength` if no frame has that length.
pub fn frame_length(head: [u8; 4]) -> Result<usize, FrameError> {
    let n = u32::from_le_bytes(head) as usize;
    Some(n)
        .filter(|n| (2..=MAX_FRAME_BYTES).contains(n))
        .ok_or(FrameError::InvalidLength(n))
}

/// Decodes the bytes `b` that follow the length prefix.
///
/// # Errors
/// The frame has another protocol, comes from another site, or cannot be
/// decoded.
pub fn decode_frame(site: &str, b: &[u8]) -> Result<Payload, FrameError> {
    let p = b
        .get(..2)
        .and_then(|p| p.try_into().ok())
        .map(u16::from_le_bytes)
        .ok_or(FrameError::Malformed)?;
    if p != PROTOCOL_VERSION {
        return Err(FrameError::ProtocolMismatch(p));
    }
    // bounded depth, or a nested frame could exhaust the stack
    let (s, p): (u64, Payload) = ciborium::de::from_reader_with_recursion_limit(&b[2..], 64)
        .map_err(|_| FrameError::Malformed)?;
    let ours = s == stable_hash(site.as_bytes());
    Some(p).filter(|_| ours).ok_or(FrameError::SiteMismatch(s))
}

/// Hash of bytes that is the same on every node and in every release (64-bit
/// FNV-1a). Serves as a version of lists; it is not cryptographic.
pub fn stable_hash(b: &[u8]) -> u64 {
    let step = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
    b.iter().fold(0xcbf2_9ce4_8422_2325, step)
}
