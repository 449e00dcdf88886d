//! Lease renewal: the versions of state that an edge reports, and the newer
//! state that a grant returns.

use super::{is_default, EdgeEndpoint};
use crate::discovery::{Loads, WorkerRegistry};
use crate::replicated_state::{decode, encode, StateUpdate};
use lz4_flex::block;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Version that an edge has of each source of state; 0 where it has none yet.
/// A grant carries the sources whose version differs at the core.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// Revision of the replicated state.
    #[serde(default, skip_serializing_if = "is_default")]
    pub record: u64,
    /// Version of the worker registry.
    #[serde(default, skip_serializing_if = "is_default")]
    pub registry: u64,
    /// Epoch and version of the load reports, as by `Loads::mark`.
    #[serde(default, skip_serializing_if = "is_default")]
    pub loads: (u64, u64),
    /// Hash of the list of edges, see `stable_hash`.
    #[serde(default, skip_serializing_if = "is_default")]
    pub edge_sessions: u64,
    /// Hash of the addresses and regions of the voters, see `stable_hash`.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cores: u64,
}

/// Size above which an update is large: an edge acknowledges it at once by a
/// renewal, and a core sends it no further update until then.
pub const LARGE_UPDATE_BYTES: usize = 16 << 10;

/// Minimum size of an update to be compressed.
const MIN_COMPRESSED_BYTES: usize = 1 << 10;
/// Maximum size of an update after decompression.
const MAX_UPDATE_BYTES: usize = 64 << 20;

/// An update of the replicated state, encoded once and sent to all edges that
/// lack the same revisions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EncodedUpdate {
    /// Revision that the update leads to.
    pub revision: u64,
    /// Version of the configuration at that revision.
    #[serde(rename = "serial")]
    pub version: u64,
    /// Whether there is a configuration at that revision.
    pub has_document: bool,
    /// The `StateUpdate` in CBOR, possibly compressed. Shared, since many edges are
    /// sent the same one.
    #[serde(serialize_with = "as_bytes")]
    pub bytes: Arc<Vec<u8>>,
    /// Length of the CBOR if `bytes` is an LZ4 block; 0 if `bytes` is not
    /// compressed.
    #[serde(default, skip_serializing_if = "is_default")]
    pub uncompressed_len: usize,
}

fn as_bytes<S: serde::Serializer>(b: &Arc<Vec<u8>>, s: S) -> Result<S::Ok, S::Error> {
    s.serialize_bytes(b)
}

impl EncodedUpdate {
    /// Encodes an update.
    pub fn new(u: &StateUpdate) -> EncodedUpdate {
        let encoded = encode(u);
        let compressed = compress(&encoded);
        EncodedUpdate {
            revision: u.revision,
            version: u.version,
            has_document: u.document.is_some(),
            uncompressed_len: compressed.as_ref().map_or(0, |_| encoded.len()),
            bytes: Arc::new(compressed.unwrap_or(encoded)),
        }
    }

    /// Decodes the update; `None` if its bytes cannot be decoded or would exceed
    /// `MAX_UPDATE_BYTES`.
    pub fn update(&self) -> Option<StateUpdate> {
        match self.uncompressed_len {
            0 => decode(&self.bytes),
            len if len > MAX_UPDATE_BYTES => None,
            len => decode(&block::decompress(&self.bytes, len).ok()?),
        }
    }
}

/// The bytes as an LZ4 block; `None` if they are short or the block is not
/// smaller. Routes resemble one another, and the link of an edge may be narrow.
fn compress(bytes: &[u8]) -> Option<Vec<u8>> {
    let worthwhile = bytes.len() >= MIN_COMPRESSED_BYTES;
    let compressed = worthwhile.then(|| block::compress(bytes))?;
    (compressed.len() < bytes.len()).then_some(compressed)
}

/// The state that an edge lacks. A source is absent if the edge has its newest
/// version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateDelta {
    /// Update of the replicated state, from the revision that the edge has.
    #[serde(default, skip_serializing_if = "is_default")]
    pub record: Option<EncodedUpdate>,
    /// A newer revision exists but is not sent yet; the edge should renew again
    /// soon. Such a grant does not confirm that the edge's state is current.
    #[serde(default, skip_serializing_if = "is_default")]
    pub record_withheld: bool,
    /// The complete worker registry.
    #[serde(default, skip_serializing_if = "is_default")]
    pub registry: Option<Arc<WorkerRegistry>>,
    /// The complete load reports.
    #[serde(default, skip_serializing_if = "is_default")]
    pub loads: Option<Arc<Loads>>,
    /// The hash and the list of all edges; see `KnownVersions::edge_sessions`.
    #[serde(default, skip_serializing_if = "is_default")]
    pub edge_sessions: Option<(u64, Vec<EdgeEndpoint>)>,
    /// The hash and the list of the voters, each with its address as `IP:PORT`
    /// and its region; see `KnownVersions::cores`.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cores: Option<(u64, Vec<(String, u8)>)>,
}

/// Which unverified state an edge accepts until it first receives state that a
/// leader has confirmed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unverified {
    /// None.
    #[default]
    None,
    /// The state of a core that no leader has confirmed since the core's start:
    /// applies after a failure of all cores.
    FromStarting,
    /// The state of any core, also of one that knows no leader: applies after a
    /// loss of the quorum, when the edge has found no core that knows one.
    FromAny,
}
