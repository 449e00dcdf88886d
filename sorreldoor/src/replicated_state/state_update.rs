//! Incremental updates of the read-only replicas that gateways keep.

use super::document::{Document, DocumentDelta};
use super::{
    Recovery, RegionIndex, ReplicatedState, Revision, TunedWeight, Version, View, ZoneIndex,
};
use crate::invariants::{is_disabled, Invariant};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The difference between two revisions. It applies to any replica whose
/// revision lies between `from_revision` and `revision`; where
/// `from_revision` is 0 it is complete and replaces any replica.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StateUpdate {
    /// The oldest revision that the delta applies to; 0: any.
    #[serde(rename = "from")]
    pub from_revision: Revision,
    /// The revision after the delta.
    #[serde(rename = "rev")]
    pub revision: Revision,
    /// The version in force at `revision`.
    #[serde(rename = "serial")]
    pub version: Version,
    /// `None` where there is no document yet.
    pub document: Option<DocumentDelta>,
    /// All evacuated zones.
    #[serde(rename = "emptied")]
    pub evacuated: Vec<ZoneIndex>,
    /// `None` where they have not changed since `from_revision`.
    pub weights: Option<Vec<TunedWeight>>,
    /// The recovery state of each region for which one was ever set.
    pub regions: Vec<(RegionIndex, Recovery)>,
}

impl ReplicatedState {
    /// The update for a replica of revision `from_revision`; complete if the
    /// changes since then are no longer known.
    pub fn delta_since(&self, from_revision: Revision) -> StateUpdate {
        let data = &self.data;
        let document = data.document.as_ref();
        let changes = document.map(|d| d.delta_since(from_revision));
        // an empty replica, or one too far behind, needs the complete state
        let complete = from_revision == 0 || from_revision > data.revision || changes == Some(None);
        let complete = complete || is_disabled(Invariant::DeltaUpdates);
        let from_revision = if complete { 0 } else { from_revision };
        let new_weights = complete || data.weights_revision > from_revision;
        let view = self.view_without_document();
        StateUpdate {
            from_revision,
            revision: data.revision,
            version: data.version,
            document: match complete {
                true => document.map(Document::as_delta),
                false => changes.flatten(),
            },
            evacuated: view.evacuated,
            weights: Some(view.weights).filter(|_| new_weights),
            regions: view.regions,
        }
    }
}

/// A read-only replica of the state, kept current by deltas.
#[derive(Clone, Debug, Default)]
pub struct StateReplica {
    document: Option<Document>,
    view: View,
}

impl StateReplica {
    /// Applies a delta; false if it starts after the revision of this replica.
    pub fn apply(&mut self, delta: &StateUpdate) -> bool {
        if delta.from_revision > self.view.revision {
            return false;
        }
        if delta.from_revision == 0 {
            *self = StateReplica::default();
        }
        if let Some(changes) = &delta.document {
            let document = self.document.get_or_insert_with(Document::default);
            document.apply(changes, delta.revision);
        }
        self.view.revision = delta.revision;
        self.view.version = delta.version;
        self.view.evacuated = delta.evacuated.clone();
        self.view.regions = delta.regions.clone();
        if let Some(weights) = &delta.weights {
            self.view.weights = weights.clone();
        }
        true
    }

    /// The replicated state, with its document as text.
    pub fn view(&self) -> View {
        let text = self.document.as_ref().map(Document::text);
        View {
            document: text.map(Arc::new),
            ..self.view.clone()
        }
    }
}
