//! Request deduplication: applied proposals are remembered with the replicated
//! state, so that a retried request is acknowledged again and never applied
//! twice (exactly-once semantics; Ongaro's thesis, section 6.3).
//!
//! Only applied requests are remembered. A rejection needs no entry, because
//! it is final: versions only rise, so a request whose base was superseded
//! can never become valid again.

use crate::types::ProposalId;
use im::{OrdMap, Vector};
use serde::{Deserialize, Serialize};
use snafu::{OptionExt, Snafu};

/// How many operators' requests are remembered.
pub const MAX_REMEMBERED_REQUESTS: usize = 8192;

/// How many proposals without a base version are remembered: those of the cores
/// themselves, and evacuations. Only copies still in flight can repeat them.
const MAX_REMEMBERED_PROPOSALS: usize = 512;

/// Encoded length of a proposal id.
const ID_BYTES: usize = 16;

/// Encoded length of an entry: an id and a version.
const ENTRY_BYTES: usize = ID_BYTES + 8;

/// The newest applied proposals, each with the version it produced. The
/// oldest is evicted first.
#[derive(Clone, Debug, Default)]
struct RecentProposals {
    versions: OrdMap<ProposalId, u64>,
    /// Oldest first.
    insertion_order: Vector<ProposalId>,
}

impl RecentProposals {
    /// Remembers a proposal; returns the version of the one evicted for it.
    fn insert(&mut self, id: ProposalId, version: u64, limit: usize) -> Option<u64> {
        if self.versions.insert(id, version).is_none() {
            self.insertion_order.push_back(id);
        }
        if self.insertion_order.len() <= limit {
            return None;
        }
        let oldest = self.insertion_order.pop_front()?;
        self.versions.remove(&oldest)
    }

    fn pack(&self) -> Bytes {
        let mut bytes = Vec::with_capacity(self.insertion_order.len() * ENTRY_BYTES);
        for id in &self.insertion_order {
            let version = self.versions.get(id).copied().unwrap_or(0);
            bytes.extend_from_slice(&id.to_le_bytes());
            bytes.extend_from_slice(&version.to_le_bytes());
        }
        Bytes(bytes)
    }

    fn unpack(bytes: &Bytes) -> Result<RecentProposals, PartialEntry> {
        let mut window = RecentProposals::default();
        for entry in bytes.0.chunks(ENTRY_BYTES) {
            let (id, version) = entry
                .split_at_checked(ID_BYTES)
                .context(PartialEntrySnafu)?;
            let id = id.try_into().ok().context(PartialEntrySnafu)?;
            let version = version.try_into().ok().context(PartialEntrySnafu)?;
            let version = u64::from_le_bytes(version);
            window.insert(ProposalId::from_le_bytes(id), version, usize::MAX);
        }
        Ok(window)
    }
}

/// A stored table ends in the middle of an entry.
#[derive(Debug, Snafu)]
#[snafu(display("applied requests: a stored table ends in the middle of an entry"))]
struct PartialEntry;

/// Bytes that are encoded as one byte string.
#[derive(Clone, Debug, Deserialize)]
struct Bytes(Vec<u8>);

impl Serialize for Bytes {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

/// The applied proposals, as far back as they are remembered.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(into = "PackedTables", try_from = "PackedTables")]
pub(super) struct AppliedRequests {
    requests: RecentProposals,
    proposals: RecentProposals,
    /// The highest version of an evicted request.
    evicted_version: u64,
}

/// The stored form of the tables.
#[derive(Serialize, Deserialize)]
struct PackedTables {
    #[serde(rename = "orders")]
    requests: Bytes,
    proposals: Bytes,
    #[serde(rename = "forgotten")]
    evicted_version: u64,
}

impl From<AppliedRequests> for PackedTables {
    fn from(applied: AppliedRequests) -> PackedTables {
        PackedTables {
            requests: applied.requests.pack(),
            proposals: applied.proposals.pack(),
            evicted_version: applied.evicted_version,
        }
    }
}

impl TryFrom<PackedTables> for AppliedRequests {
    type Error = PartialEntry;

    fn try_from(packed: PackedTables) -> Result<AppliedRequests, PartialEntry> {
        Ok(AppliedRequests {
            requests: RecentProposals::unpack(&packed.requests)?,
            proposals: RecentProposals::unpack(&packed.proposals)?,
            evicted_version: packed.evicted_version,
        })
    }
}

impl AppliedRequests {
    /// The version that an applied proposal produced.
    pub fn version_of(&self, id: ProposalId) -> Option<u64> {
        let request = self.requests.versions.get(&id);
        request
            .or_else(|| self.proposals.versions.get(&id))
            .copied()
    }

    /// Remembers a request that named its base version.
    pub fn insert_request(&mut self, id: ProposalId, version: u64) {
        let evicted = self.requests.insert(id, version, MAX_REMEMBERED_REQUESTS);
        self.evicted_version = self.evicted_version.max(evicted.unwrap_or(0));
    }

    /// Remembers a proposal without a base version.
    pub fn insert_proposal(&mut self, id: ProposalId, version: u64) {
        self.proposals.insert(id, version, MAX_REMEMBERED_PROPOSALS);
    }

    /// Whether an unknown request on this base may have been applied and
    /// evicted. Requests are applied and evicted by rising versions, and the
    /// version of each is above its base.
    pub fn may_have_evicted(&self, base: u64) -> bool {
        base < self.evicted_version
    }

    /// Records that requests up to this version may have been evicted.
    pub fn set_evicted_up_to(&mut self, version: u64) {
        self.evicted_version = self.evicted_version.max(version);
    }
}
