//! Renewals of an edge's lease, and the state that grants carry.

use super::{zero, EdgeEndpoint};
use crate::discovery::{Loads, WorkerRegistry};
use crate::replicated_state::{decode, encode, StateUpdate};
use lz4_flex::block;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Versions that an edge has of each source of state. A grant carries the
/// sources of which the core has other ones. 0 stands for nothing yet.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownVersions {
    /// Revision of the replicated state.
    #[serde(default, skip_serializing_if = "zero")]
    pub record: u64,
    /// Version of the worker registry.
    #[serde(default, skip_serializing_if = "zero")]
    pub registry: u64,
    /// Epoch and version of the load reports, as by `Loads::mark`.
    #[serde(default, skip_serializing_if = "zero")]
    pub loads: (u64, u64),
    /// Hash of the list of edges, see `stable_hash`.
    #[serde(default, skip_serializing_if = "zero")]
    pub edge_sessions: u64,
    /// Hash of the addresses and regions of the voters, see `stable_hash`.
    #[serde(default, skip_serializing_if = "zero")]
    pub cores: u64,
}

/// Bytes above which an update is large: an edge acknowledges it at once by a
/// renewal, and is sent no other before that.
pub const LARGE_UPDATE_BYTES: usize = 16 << 10;

/// Updates of fewer bytes are not compressed.
const COMPRESS_FROM: usize = 1 << 10;
/// Bytes of an update at most, once it is decompressed.
const MAX_UPDATE: usize = 64 << 20;

/// An update of the replicated state, encoded once for all edges that lack the
/// same revisions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct EncodedUpdate {
    /// Revision that the update leads to.
    pub revision: u64,
    /// Version of the configuration at that revision.
    #[serde(rename = "serial")]
    pub version: u64,
    /// Whether there is a configuration at that revision.
    pub has_document: bool,
    /// The `StateUpdate` in CBOR, compressed or not. Shared, since many edges are
    /// sent the same.
    #[serde(serialize_with = "as_bytes")]
    pub bytes: Arc<Vec<u8>>,
    /// Bytes of the CBOR if `bytes` is an LZ4 block of it; 0: it is not compressed.
    /// Routes resemble one another, and an edge's link may be narrow.
    #[serde(default, skip_serializing_if = "zero")]
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

    /// Decodes the update; `None` if its bytes cannot be read.
    pub fn update(&self) -> Option<StateUpdate> {
        match self.uncompressed_len {
            0 => decode(&self.bytes),
            len if len > MAX_UPDATE => None,
            len => decode(&block::decompress(&self.bytes, len).ok()?),
        }
    }
}

/// The bytes as an LZ4 block; none if that does not make them fewer.
fn compress(bytes: &[u8]) -> Option<Vec<u8>> {
    let worthwhile = bytes.len() >= COMPRESS_FROM;
    let compressed = worthwhile.then(|| block::compress(bytes))?;
    (compressed.len() < bytes.len()).then_some(compressed)
}

/// The state that an edge lacks, as a grant carries it: a source is absent if
/// the edge has its newest version.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateDelta {
    /// Update of the replicated state, from the revision that the edge has.
    #[serde(default, skip_serializing_if = "zero")]
    pub record: Option<EncodedUpdate>,
    /// A newer revision exists but could not be sent yet, so that the edge
    /// should ask again soon. Such a grant proves nothing about the state that
    /// the edge has.
    #[serde(default, skip_serializing_if = "zero")]
    pub record_withheld: bool,
    /// The worker registry, whole.
    #[serde(default, skip_serializing_if = "zero")]
    pub registry: Option<Arc<WorkerRegistry>>,
    /// The load reports, whole.
    #[serde(default, skip_serializing_if = "zero")]
    pub loads: Option<Arc<Loads>>,
    /// All edges, under the hash that `KnownVersions` reports.
    #[serde(default, skip_serializing_if = "zero")]
    pub edge_sessions: Option<(u64, Vec<EdgeEndpoint>)>,
    /// Address, as `IP:PORT`, and region of each voter, under the hash that
    /// `KnownVersions` reports.
    #[serde(default, skip_serializing_if = "zero")]
    pub cores: Option<(u64, Vec<(String, u8)>)>,
}

/// Which state that no leader has confirmed an edge accepts as long as it has
/// had no confirmed one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Unverified {
    /// No such state.
    #[default]
    None,
    /// From a core that no leader has confirmed since its start, as after a
    /// loss of all cores.
    FromStarting,
    /// Also from a core that knows no leader, as after a loss of the majority:
    /// the edge has found none that knows one.
    FromAny,
}
