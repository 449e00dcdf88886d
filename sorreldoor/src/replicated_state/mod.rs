//! The replicated state that the system acts on, and how entries change it.

mod apply;
mod document;
mod item_list;
mod taken;
mod update;

pub use document::{Document, DocumentChanges};
pub use item_list::{ItemChange, ItemChanges};
pub use taken::REMEMBERED_ORDERS;
pub use update::{Copy, Update};

use crate::configuration::{Configuration, Site};
use crate::types::ProposalId;
use im::{OrdMap, OrdSet, Vector};
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use taken::TakenOrders;

/// What a proposal asks of the record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// The whole document. Where `to` is given it is the new serial and must
    /// be above the present one; else the serial rises by one.
    Put {
        base: u64,
        #[serde(default)]
        to: Option<u64>,
        doc: String,
    },
    /// An RFC 7396 merge patch on the document.
    Edit { base: u64, patch: String },
    Zone {
        base: u64,
        zone: u16,
        #[serde(rename = "emptied")]
        evacuated: bool,
    },
    /// Take up the tuning duty; each taking raises the epoch.
    Duty { holder: u64, above: u64 },
    Tune {
        epoch: u64,
        #[serde(rename = "serial")]
        version: u64,
        weights: Vec<(u16, u16, u32)>,
    },
    Region {
        epoch: u64,
        region: u8,
        state: Recovery,
    },
    /// Items of the `hosted` part by name, as JSON objects: `set` holds lists
    /// of whole items under `routes` and `services`, and whatever else is to
    /// be replaced there; `drop` holds lists of names.
    Items {
        base: u64,
        #[serde(default)]
        to: Option<u64>,
        set: String,
        drop: String,
    },
    /// Like `Zone`, on top of whatever is there, and without a new serial.
    Evacuate {
        zone: u16,
        #[serde(rename = "emptied")]
        evacuated: bool,
    },
    /// `Evacuate` as a core proposes it: only while the zone has been emptied
    /// and taken back as often as that core knew when the call came. A copy
    /// that was held up until after later changes of the zone has no effect.
    EvacuateOnce {
        zone: u16,
        #[serde(rename = "emptied")]
        evacuated: bool,
        changes: u64,
    },
}

impl Command {
    /// The version that an operator's order builds on, where it names one.
    pub fn base(&self) -> Option<u64> {
        match self {
            Command::Put { base, .. }
            | Command::Edit { base, .. }
            | Command::Zone { base, .. }
            | Command::Items { base, .. } => Some(*base),
            _ => None,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    Taken {
        #[serde(rename = "serial")]
        version: u64,
    },
    /// Refused for good: the version it builds on has been passed.
    Stale {
        #[serde(rename = "serial")]
        version: u64,
    },
    /// Refused for good: it is faulty, on the very version it builds on.
    Bad {
        faults: Vec<String>,
    },
    OldEpoch {
        epoch: u64,
    },
    /// No answer: the version it builds on is not there yet, so the same
    /// order may be taken when it is sent again.
    NotYet {
        #[serde(rename = "serial")]
        version: u64,
    },
    /// No answer: whether it was taken once cannot be told any more, or an
    /// evacuation may have been overtaken. Nothing was changed.
    Unsure {
        #[serde(rename = "serial")]
        version: u64,
    },
}

/// Where a region stands between being lost and being served in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Recovery {
    Served,
    Lost,
    /// Back, and let in step by step, in percent.
    Returning(u8),
}

/// What edges need of the record; `rev` orders it against itself.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    #[serde(rename = "rev")]
    pub revision: u64,
    #[serde(rename = "serial")]
    pub version: u64,
    pub doc: Option<Arc<String>>,
    #[serde(rename = "emptied")]
    pub evacuated: Vec<u16>,
    pub weights: Vec<(u16, u16, u32)>,
    pub regions: Vec<(u8, Recovery)>,
}

/// How many outcomes the release before kept.
const ANSWERED: usize = 4096;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Kept {
    /// Raised by every change of any kind.
    #[serde(rename = "rev")]
    revision: u64,
    /// Raised by operators' changes only; what these build on.
    #[serde(rename = "serial")]
    version: u64,
    /// The document as the release before wrote it; read, never written.
    #[serde(default, skip_serializing)]
    doc: Option<Arc<String>>,
    #[serde(default)]
    document: Option<Document>,
    #[serde(rename = "emptied")]
    evacuated: OrdSet<u16>,
    /// Tuned weights by route and service, within the operator's bounds.
    weights: OrdMap<(u16, u16), u32>,
    #[serde(default)]
    weights_revision: u64,
    regions: OrdMap<u8, Recovery>,
    epoch: u64,
    holder: u64,
    #[serde(default)]
    taken: TakenOrders,
    /// How often each zone was emptied or taken back.
    #[serde(default)]
    zone_changes: OrdMap<u16, u64>,
    /// Outcomes as the release before kept them, yes and no alike; only read.
    #[serde(default, skip_serializing)]
    answered: OrdMap<ProposalId, Arc<Vec<u8>>>,
    #[serde(default, skip_serializing)]
    order: Vector<ProposalId>,
}

impl Kept {
    /// Takes over the outcomes that the release before kept.
    fn upgrade(&mut self) {
        let order = std::mem::take(&mut self.order);
        let answered = std::mem::take(&mut self.answered);
        let full = order.len() >= ANSWERED;
        let outcomes = order.iter().filter_map(|id| Some((id, answered.get(id)?)));
        for (n, (id, bytes)) in outcomes.enumerate() {
            let Some(Outcome::Taken { version }) = decode(bytes) else {
                continue;
            };
            // what was dropped before the oldest one had no higher version
            if full && n == 0 {
                self.taken.forgotten_up_to(version);
            }
            self.taken.insert_order(*id, version);
        }
    }
}

#[derive(Clone, Debug)]
pub struct ReplicatedState {
    site: Arc<Site>,
    kept: Kept,
    configuration: Option<Arc<Configuration>>,
}

impl ReplicatedState {
    pub fn new(site: Arc<Site>) -> ReplicatedState {
        ReplicatedState {
            site,
            kept: Kept::default(),
            configuration: None,
        }
    }

    pub fn revision(&self) -> u64 {
        self.kept.revision
    }
    pub fn version(&self) -> u64 {
        self.kept.version
    }
    pub fn epoch(&self) -> u64 {
        self.kept.epoch
    }
    pub fn holder(&self) -> u64 {
        self.kept.holder
    }
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }
    pub fn evacuated(&self, zone: u16) -> bool {
        self.kept.evacuated.contains(&zone)
    }
    /// How often a zone was emptied or taken back.
    pub fn zone_changes(&self, zone: u16) -> u64 {
        self.kept.zone_changes.get(&zone).copied().unwrap_or(0)
    }
    pub fn region(&self, r: u8) -> Recovery {
        self.kept
            .regions
            .get(&r)
            .copied()
            .unwrap_or(Recovery::Served)
    }

    /// Whether there is a document.
    pub fn has_document(&self) -> bool {
        self.kept.document.is_some()
    }

    /// All of it, with the document as text.
    pub fn view(&self) -> View {
        let text = self.kept.document.as_ref().map(Document::text);
        View {
            doc: text.map(Arc::new),
            ..self.view_without_document()
        }
    }

    /// All but the document, which is costly to write out.
    pub fn view_without_document(&self) -> View {
        let k = &self.kept;
        View {
            revision: k.revision,
            version: k.version,
            doc: None,
            evacuated: k.evacuated.iter().copied().collect(),
            weights: k.weights.iter().map(|((r, s), w)| (*r, *s, *w)).collect(),
            regions: k.regions.iter().map(|(r, s)| (*r, *s)).collect(),
        }
    }
}

pub fn encode<T: Serialize>(t: &T) -> Vec<u8> {
    let mut b = Vec::new();
    // writing to memory fails only where serde itself is misused
    ciborium::into_writer(t, &mut b).expect("plain data always encodes");
    b
}

pub fn decode<T: serde::de::DeserializeOwned>(b: &[u8]) -> Option<T> {
    ciborium::from_reader(b).ok()
}
