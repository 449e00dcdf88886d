//! The part of the replicated state that goes into snapshots.

use super::deduplication::AppliedRequests;
use super::{decode, Document, Outcome, Recovery};
use super::{Epoch, RegionIndex, Revision, RouteIndex, ServiceIndex, Version, ZoneIndex};
use crate::types::ProposalId;
use im::{OrdMap, OrdSet, Vector};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// How many outcomes the previous release stored.
const LEGACY_OUTCOMES: usize = 4096;

/// The content of a snapshot. Clones share their data.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct PersistentState {
    /// Raised by every change of any kind.
    #[serde(rename = "rev")]
    pub(super) revision: Revision,
    /// Raised by operators' changes only; each names the version it builds on.
    #[serde(rename = "serial")]
    pub(super) version: Version,
    /// The document in the format of the previous release; read, never written.
    #[serde(default, skip_serializing, rename = "doc")]
    pub(super) legacy_document: Option<Arc<String>>,
    #[serde(default)]
    pub(super) document: Option<Document>,
    #[serde(rename = "emptied")]
    pub(super) evacuated: OrdSet<ZoneIndex>,
    /// Tuned weights by route and service, within the operator's bounds.
    pub(super) weights: OrdMap<(RouteIndex, ServiceIndex), u32>,
    /// The revision that last changed the weights.
    #[serde(default)]
    pub(super) weights_revision: Revision,
    pub(super) regions: OrdMap<RegionIndex, Recovery>,
    /// The fencing token of the tuner role.
    pub(super) epoch: Epoch,
    /// The node that holds the tuner role.
    pub(super) holder: u64,
    #[serde(default, rename = "taken")]
    pub(super) applied_requests: AppliedRequests,
    /// How often each zone was evacuated or returned to service, with requests for
    /// the state that it was in.
    #[serde(default)]
    pub(super) zone_changes: OrdMap<ZoneIndex, u64>,
    /// Outcomes in the format of the previous release; read, never written.
    #[serde(default, skip_serializing, rename = "answered")]
    legacy_outcomes: OrdMap<ProposalId, Arc<Vec<u8>>>,
    /// Proposals of `legacy_outcomes`, oldest first; read, never written.
    #[serde(default, skip_serializing, rename = "order")]
    legacy_outcome_order: Vector<ProposalId>,
}

impl PersistentState {
    /// Moves the outcomes of the previous release to the deduplication table.
    pub(super) fn upgrade(&mut self) {
        let order = std::mem::take(&mut self.legacy_outcome_order);
        let by_id = std::mem::take(&mut self.legacy_outcomes);
        let full = order.len() >= LEGACY_OUTCOMES;
        let outcomes = order.iter().filter_map(|id| Some((id, by_id.get(id)?)));
        for (index, (id, bytes)) in outcomes.enumerate() {
            let Some(Outcome::Applied { version }) = decode(bytes) else {
                continue;
            };
            // outcomes evicted before the oldest one have no higher version
            if full && index == 0 {
                self.applied_requests.set_evicted_up_to(version);
            }
            self.applied_requests.insert_request(*id, version);
        }
    }
}
