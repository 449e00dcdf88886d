//! Random ids of nodes, incarnations and proposals, and the text form of
//! proposal ids.

use crate::types::ProposalId;
use std::hash::{BuildHasher, Hasher};

/// Maximum number of hexadecimal digits of a proposal's id.
const MAX_DIGITS: usize = 32;

/// Returns a random number above 0, from the randomly keyed hasher of the
/// standard library. Not suitable for secrets.
pub fn random_id() -> u64 {
    let mut hasher = std::collections::hash_map::RandomState::new().build_hasher();
    let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    hasher.write_u64(since_epoch.map_or(0, |d| d.as_nanos() as u64));
    hasher.write_u32(std::process::id());
    hasher.finish().max(1)
}

/// Returns a random id for a new proposal.
pub fn random_proposal_id() -> ProposalId {
    (ProposalId::from(random_id()) << 64) | ProposalId::from(random_id())
}

/// The text form of a proposal's id: 32 hexadecimal digits.
pub fn format_proposal_id(id: ProposalId) -> String {
    format!("{id:032x}")
}

/// Parses the text form of a proposal's id; leading zeros may be omitted. `None`
/// for 0, for other characters and for more than 32 digits.
pub fn parse_proposal_id(text: &str) -> Option<ProposalId> {
    if !(1..=MAX_DIGITS).contains(&text.len()) {
        return None;
    }
    let id = ProposalId::from_str_radix(text, 16).ok()?;
    (id != 0).then_some(id)
}
