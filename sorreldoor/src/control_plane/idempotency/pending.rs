//! Pending claims and releases of this core's edges, until a quorum of the voters
//! has granted or acknowledged them.

use super::claim_table::{ClaimRecord, Claimant};
use crate::net::Conn;
use crate::types::{Millis, NodeId};
use crate::wire::ClaimVote;
use std::collections::{BTreeMap, BTreeSet};

/// Time after which a tie between two claims is decided.
const TIE_TIMEOUT_MS: Millis = 400;

/// Where to send the reply to an edge's request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyTo {
    /// The connection of the edge.
    pub conn: Conn,
    /// Number of the request at the edge.
    pub request_id: u64,
}

/// Whether `granted` voters are more than half of `voters`.
fn is_quorum(granted: usize, voters: &[NodeId]) -> bool {
    granted * 2 > voters.len()
}

/// A claim for which this core collects the votes.
#[derive(Debug)]
pub(super) struct PendingClaim {
    pub(super) reply_to: ReplyTo,
    pub(super) claim: ClaimRecord,
    pub(super) since: Millis,
    granted: BTreeSet<NodeId>,
    /// Voters that rejected the claim, with the claimant that holds the key there.
    rejected: BTreeMap<NodeId, Option<Claimant>>,
}

impl PendingClaim {
    pub(super) fn new(reply_to: ReplyTo, claim: ClaimRecord, now: Millis) -> PendingClaim {
        PendingClaim {
            reply_to,
            claim,
            since: now,
            granted: BTreeSet::new(),
            rejected: BTreeMap::new(),
        }
    }

    /// Starts another round for a claim that its edge has retried. Grants stay
    /// valid; rejections do not, since the other claim may have been released.
    pub(super) fn retry(&mut self, reply_to: ReplyTo) {
        self.reply_to = reply_to;
        self.rejected.clear();
    }

    pub(super) fn granted(&self) -> &BTreeSet<NodeId> {
        &self.granted
    }

    pub(super) fn grant(&mut self, voter: NodeId) {
        self.granted.insert(voter);
    }

    pub(super) fn reject(&mut self, voter: NodeId, holder: Option<Claimant>) {
        self.rejected.insert(voter, holder);
    }

    /// The result; `None` while neither the votes nor a tie decide it.
    pub(super) fn result(&self, voters: &[NodeId], now: Millis) -> Option<ClaimVote> {
        let grants = voters.iter().filter(|v| self.granted.contains(v)).count();
        let rejections: Vec<Option<Claimant>> = voters
            .iter()
            .filter_map(|v| self.rejected.get(v).copied())
            .collect();
        let is_granted = is_quorum(grants, voters);
        let is_rejected = rejections.len() * 2 >= voters.len() && !voters.is_empty();
        if !(is_granted || is_rejected || self.loses_tie(grants, &rejections, now)) {
            return None;
        }
        let full = !rejections.is_empty() && rejections.iter().all(Option::is_none);
        Some(match (is_granted, full) {
            (true, _) => ClaimVote::Granted,
            (false, true) => ClaimVote::Full,
            (false, false) => {
                let holder = rejections.into_iter().flatten().next();
                ClaimVote::HeldBy(holder.unwrap_or(0))
            }
        })
    }

    /// Whether this claim loses a tie. While a voter is missing, two claims can have
    /// half of the votes each; the one with the greater claimant then loses, so
    /// that the other can proceed.
    fn loses_tie(&self, grants: usize, rejections: &[Option<Claimant>], now: Millis) -> bool {
        let has_smaller_rival = rejections
            .iter()
            .flatten()
            .any(|rival| *rival < self.claim.claimant);
        has_smaller_rival && grants > 0 && now.saturating_sub(self.since) > TIE_TIMEOUT_MS
    }
}

/// A release for which this core collects the acknowledgements.
#[derive(Debug)]
pub(super) struct PendingRelease {
    pub(super) reply_to: ReplyTo,
    pub(super) since: Millis,
    acknowledged: BTreeSet<NodeId>,
}

impl PendingRelease {
    pub(super) fn new(reply_to: ReplyTo, own_id: NodeId, now: Millis) -> PendingRelease {
        PendingRelease {
            reply_to,
            since: now,
            acknowledged: BTreeSet::from([own_id]),
        }
    }

    pub(super) fn acknowledged(&self) -> &BTreeSet<NodeId> {
        &self.acknowledged
    }

    pub(super) fn acknowledge(&mut self, voter: NodeId) {
        self.acknowledged.insert(voter);
    }

    pub(super) fn is_complete(&self, voters: &[NodeId]) -> bool {
        let acknowledged = voters.iter().filter(|v| self.acknowledged.contains(v));
        is_quorum(acknowledged.count(), voters)
    }
}
