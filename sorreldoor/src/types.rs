//! Identifiers and units that every part of the program shares.

/// Identity of a core: random, drawn on its first start, never reused.
pub type NodeId = u64;

/// A region, as a dense index into the site's list of regions.
pub type RegionId = u8;

/// Milliseconds, either a duration or a reading of the monotonic clock of one
/// node. Readings of two nodes cannot be compared.
pub type Millis = u64;

/// Identity of a proposal, drawn by its first proposer. Retries carry the same
/// id; zero marks an entry that a leader appended by itself.
pub type ProposalId = u128;
