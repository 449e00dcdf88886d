//! Ids of nodes, starts and orders: how they are made, written and read.

use crate::types::ProposalId;
use std::hash::{BuildHasher, Hasher};

/// The most hexadecimal digits of a proposal's id.
const MAX_DIGITS: usize = 32;

/// A random number above 0, from the system's randomness through the standard
/// library.
pub fn random_id() -> u64 {
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    hasher.write_u64(since_epoch.map_or(0, |d| d.as_nanos() as u64));
    hasher.write_u32(std::process::id());
    hasher.finish().max(1)
}

/// An id for a proposal that is no repeat of another.
pub fn random_proposal_id() -> ProposalId {
    (ProposalId::from(random_id()) << 64) | ProposalId::from(random_id())
}

/// A proposal's id as operators write and read it.
pub fn format_proposal_id(id: ProposalId) -> String {
    format!("{id:032x}")
}

/// Reads what `format_proposal_id` writes; leading zeros may be left out.
pub fn parse_proposal_id(text: &str) -> Option<ProposalId> {
    if !(1..=MAX_DIGITS).contains(&text.len()) {
        return None;
    }
    let id = ProposalId::from_str_radix(text, 16).ok()?;
    (id != 0).then_some(id)
}
