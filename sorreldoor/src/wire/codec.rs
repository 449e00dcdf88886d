//! The encoding of a frame: a length prefix, the protocol version, and a CBOR
//! pair of the site's fingerprint hash and one payload.

use super::Payload;

/// Version of the protocol, incremented when a frame changes in a way that an
/// older node cannot decode. Nodes reject frames of any other version.
pub const PROTOCOL_VERSION: u16 = 8;
/// Maximum size of a frame in bytes, without its length prefix: enough for the
/// largest configuration and the outcomes stored with it in a snapshot.
pub const MAX_FRAME_BYTES: usize = 16 << 20;

/// Why a frame is rejected. The receiver closes the connection; the same frame
/// would be rejected again.
#[derive(Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The length prefix holds this number of bytes, which is below 2 or above
    /// `MAX_FRAME_BYTES`.
    InvalidLength(usize),
    /// The frame has this protocol version.
    ProtocolMismatch(u16),
    /// The sender belongs to another site, or its settings list other regions or
    /// zones: the hash of its fingerprint.
    SiteMismatch(u64),
    /// The content is not valid CBOR or has an unknown variant or field type.
    Malformed,
}

impl std::fmt::Display for FrameError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            FrameError::InvalidLength(length) => {
                write!(
                    f,
                    "frame length {length} is not between 2 and {MAX_FRAME_BYTES} bytes"
                )
            }
            FrameError::ProtocolMismatch(version) => {
                write!(f, "protocol version {version}, expected {PROTOCOL_VERSION}")
            }
            FrameError::SiteMismatch(hash) => {
                write!(f, "from another site, fingerprint hash {hash:x}")
            }
            FrameError::Malformed => write!(f, "content cannot be decoded"),
        }
    }
}

/// Encodes a payload as a frame: a little-endian `u32` with the number of
/// bytes that follow, `PROTOCOL_VERSION` as a little-endian `u16`, and in CBOR
/// the pair of the hash of `site` (the fingerprint in the settings) and the
/// payload.
pub fn encode_frame(site: &str, payload: &Payload) -> Vec<u8> {
    let mut frame = vec![0; 6];
    // a write to memory cannot fail, and payloads have only encodable types
    ciborium::into_writer(&(stable_hash(site.as_bytes()), payload), &mut frame)
        .expect("plain data always encodes");
    let length = (frame.len() - 4) as u32;
    frame[..4].copy_from_slice(&length.to_le_bytes());
    frame[4..6].copy_from_slice(&PROTOCOL_VERSION.to_le_bytes());
    frame
}

/// Number of bytes that follow the length prefix `prefix`.
///
/// # Errors
/// `FrameError::InvalidLength` if no frame has that length.
pub fn frame_length(prefix: [u8; 4]) -> Result<usize, FrameError> {
    let length = u32::from_le_bytes(prefix) as usize;
    Some(length)
        .filter(|length| (2..=MAX_FRAME_BYTES).contains(length))
        .ok_or(FrameError::InvalidLength(length))
}

/// Decodes `frame`, the bytes that follow the length prefix.
///
/// # Errors
/// `frame` has another protocol version, comes from another site, or cannot be
/// decoded.
pub fn decode_frame(site: &str, frame: &[u8]) -> Result<Payload, FrameError> {
    let version = frame
        .get(..2)
        .and_then(|bytes| bytes.try_into().ok())
        .map(u16::from_le_bytes)
        .ok_or(FrameError::Malformed)?;
    if version != PROTOCOL_VERSION {
        return Err(FrameError::ProtocolMismatch(version));
    }
    // the limit keeps a deeply nested frame from overflowing the stack
    let (hash, payload): (u64, Payload) =
        ciborium::de::from_reader_with_recursion_limit(&frame[2..], 64)
            .map_err(|_| FrameError::Malformed)?;
    let ours = hash == stable_hash(site.as_bytes());
    Some(payload)
        .filter(|_| ours)
        .ok_or(FrameError::SiteMismatch(hash))
}

/// 64-bit FNV-1a hash, the same on every node and in every release. Identifies
/// sites and versions of lists; it is not cryptographic.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, step)
}
