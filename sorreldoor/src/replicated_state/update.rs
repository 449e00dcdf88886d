//! What a node with an older copy of the record is told.

use super::document::{Document, DocumentChanges};
use super::{Recovery, ReplicatedState, View};
use crate::invariants::{broken, Invariant};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Leads from any revision between `from` and `rev` to `rev`; from nothing at
/// all where `from` is 0.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Update {
    pub from: u64,
    #[serde(rename = "rev")]
    pub revision: u64,
    #[serde(rename = "serial")]
    pub version: u64,
    /// None where there is no document yet.
    pub document: Option<DocumentChanges>,
    #[serde(rename = "emptied")]
    pub evacuated: Vec<u16>,
    /// None where they have not changed since `from`.
    pub weights: Option<Vec<(u16, u16, u32)>>,
    pub regions: Vec<(u8, Recovery)>,
}

impl ReplicatedState {
    /// What a copy of revision `from` lacks.
    pub fn update_since(&self, from: u64) -> Update {
        let kept = &self.kept;
        let document = kept.document.as_ref();
        let changes = document.map(|d| d.changes_since(from));
        // who has nothing, or is too far behind, is told the whole
        let whole = from == 0 || from > kept.revision || changes == Some(None);
        let whole = whole || broken(Invariant::Differences);
        let from = if whole { 0 } else { from };
        let new_weights = whole || kept.weights_revision > from;
        let view = self.view_without_document();
        Update {
            from,
            revision: kept.revision,
            version: kept.version,
            document: match whole {
                true => document.map(Document::whole),
                false => changes.flatten(),
            },
            evacuated: view.evacuated,
            weights: Some(view.weights).filter(|_| new_weights),
            regions: view.regions,
        }
    }
}

/// A copy of the record, kept current by updates.
#[derive(Clone, Debug, Default)]
pub struct Copy {
    document: Option<Document>,
    view: View,
}

impl Copy {
    /// Brings the copy to where the update leads; false where the update
    /// starts later than this copy is.
    pub fn apply(&mut self, update: &Update) -> bool {
        if update.from > self.view.revision {
            return false;
        }
        if update.from == 0 {
            *self = Copy::default();
        }
        if let Some(changes) = &update.document {
            let document = self.document.get_or_insert_with(Document::default);
            document.apply(changes, update.revision);
        }
        self.view.revision = update.revision;
        self.view.version = update.version;
        self.view.evacuated = update.evacuated.clone();
        self.view.regions = update.regions.clone();
        if let Some(weights) = &update.weights {
            self.view.weights = weights.clone();
        }
        true
    }

    /// The copy with its document as text.
    pub fn view(&self) -> View {
        let text = self.document.as_ref().map(Document::text);
        View {
            doc: text.map(Arc::new),
            ..self.view.clone()
        }
    }
}
