//! The replicated state machine: the configuration in force, evacuated zones,
//! tuned weights and region states, changed only by committed log entries.

mod apply;
mod change;
mod codec;
mod command;
mod deduplication;
mod document;
mod item_list;
mod named_items;
mod persistent;
mod state_update;

pub use codec::{decode, encode};
pub use command::{Command, Outcome};
pub use deduplication::MAX_REMEMBERED_REQUESTS;
pub use document::{Document, DocumentDelta, DocumentSummary};
pub use item_list::{ItemDelta, ListDelta};
pub use state_update::{StateReplica, StateUpdate};

use crate::configuration::{Configuration, Site};
use persistent::PersistentState;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Counts changes of any kind, and so orders the states of one site.
pub type Revision = u64;
/// Identifies a state for operators: raised by their changes, each of which names
/// the version it builds on.
pub type Version = u64;
/// The fencing token of the tuner role, raised by each acquisition.
pub type Epoch = u64;
/// An index into the zones of `Site`.
pub type ZoneIndex = u16;
/// An index into the regions of `Site`.
pub type RegionIndex = u8;
/// An index into the routes of `Configuration`.
pub type RouteIndex = u16;
/// An index into the services of `Configuration`.
pub type ServiceIndex = u16;
/// The weight of one service on one route.
pub type TunedWeight = (RouteIndex, ServiceIndex, u32);

/// The state of a region between its loss and its return to full service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Recovery {
    /// In full service.
    Served,
    /// Not reachable; its traffic is served elsewhere.
    Lost,
    /// Reachable again and ramped up, in percent of its traffic.
    Returning(u8),
}

/// The part of the state that gateways need.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// Raised by every change of any kind.
    #[serde(rename = "rev")]
    pub revision: Revision,
    /// Raised by operators' changes.
    #[serde(rename = "serial")]
    pub version: Version,
    /// The configuration document as JSON text.
    #[serde(rename = "doc")]
    pub document: Option<Arc<String>>,
    /// Evacuated zones in rising order.
    #[serde(rename = "emptied")]
    pub evacuated: Vec<ZoneIndex>,
    /// Tuned weights, each within the operator's bounds.
    pub weights: Vec<TunedWeight>,
    /// The recovery state of each region for which one was ever set.
    pub regions: Vec<(RegionIndex, Recovery)>,
}

/// The state machine that consensus applies committed entries to.
#[derive(Clone, Debug)]
pub struct ReplicatedState {
    site: Arc<Site>,
    data: PersistentState,
    /// Parsed from the document of `data`.
    configuration: Option<Arc<Configuration>>,
    /// Whether the snapshot that was loaded last held a document to repair.
    repaired: bool,
}

impl ReplicatedState {
    /// An empty state of a site.
    #[must_use]
    pub fn new(site: Arc<Site>) -> ReplicatedState {
        ReplicatedState {
            site,
            data: PersistentState::default(),
            configuration: None,
            repaired: false,
        }
    }

    /// Whether the snapshot that was loaded last held a document in which a key was
    /// written twice, as an earlier release could make it.
    pub fn was_repaired(&self) -> bool {
        self.repaired
    }

    /// The number of changes of any kind.
    pub fn revision(&self) -> Revision {
        self.data.revision
    }

    /// The version that an operator's next change must name as its base.
    pub fn version(&self) -> Version {
        self.data.version
    }

    /// The fencing token of the tuner role.
    pub fn epoch(&self) -> Epoch {
        self.data.epoch
    }

    /// The node that holds the tuner role.
    pub fn role_holder(&self) -> u64 {
        self.data.holder
    }

    /// The configuration in force; `None` before the first one.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: ZoneIndex) -> bool {
        self.data.evacuated.contains(&zone)
    }

    /// How often a zone was evacuated or returned to service, with requests for the
    /// state that it was in.
    pub fn zone_changes(&self, zone: ZoneIndex) -> u64 {
        self.data.zone_changes.get(&zone).copied().unwrap_or(0)
    }

    /// The recovery state of a region; `Served` unless it was ever set.
    pub fn region_recovery(&self, region: RegionIndex) -> Recovery {
        let state = self.data.regions.get(&region).copied();
        state.unwrap_or(Recovery::Served)
    }

    /// Sizes of the configuration document's parts; all 0 before the first one.
    pub fn document_summary(&self) -> DocumentSummary {
        let document = self.data.document.as_ref();
        document.map(Document::summary).unwrap_or_default()
    }

    /// Whether there is a configuration document.
    pub fn has_document(&self) -> bool {
        self.data.document.is_some()
    }

    /// The complete state, with the document as text.
    #[must_use]
    pub fn view(&self) -> View {
        let text = self.data.document.as_ref().map(Document::text);
        View {
            document: text.map(Arc::new),
            ..self.view_without_document()
        }
    }

    /// The state without its document, whose text is costly to produce.
    #[must_use]
    pub fn view_without_document(&self) -> View {
        let data = &self.data;
        let weights = data.weights.iter();
        let regions = data.regions.iter();
        View {
            revision: data.revision,
            version: data.version,
            document: None,
            evacuated: data.evacuated.iter().copied().collect(),
            weights: weights
                .map(|((route, service), weight)| (*route, *service, *weight))
                .collect(),
            regions: regions.map(|(region, state)| (*region, *state)).collect(),
        }
    }
}
