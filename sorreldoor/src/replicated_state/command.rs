//! Commands that are proposed to the replicated state, and their outcomes.

use super::RegionIndex;
use super::{Epoch, Recovery, TunedWeight, Version, ZoneIndex};
use serde::{Deserialize, Serialize};

/// A change of the replicated state, carried by a log entry.
///
/// The stored names of variants and fields are those of the first release;
/// they are part of the log and of the frames between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration document. `new_version` must be above the
    /// current version; without it the version rises by one.
    Put {
        base: Version,
        #[serde(default, rename = "to")]
        new_version: Option<Version>,
        #[serde(rename = "doc")]
        document: String,
    },
    /// Applies an RFC 7396 merge patch to the document.
    #[serde(rename = "Edit")]
    MergePatch { base: Version, patch: String },
    /// Evacuates a zone or takes it back into service, as a new version.
    #[serde(rename = "Zone")]
    EvacuateZone {
        base: Version,
        zone: ZoneIndex,
        #[serde(rename = "emptied")]
        evacuated: bool,
    },
    /// Acquires the singleton role of the weight tuner. Each acquisition
    /// raises the epoch, which is the fencing token of the role.
    #[serde(rename = "Duty")]
    AcquireRole {
        holder: u64,
        #[serde(rename = "above")]
        previous_epoch: Epoch,
    },
    /// Sets tuned weights; fenced by the epoch of the role holder.
    #[serde(rename = "Tune")]
    SetWeights {
        epoch: Epoch,
        #[serde(rename = "serial")]
        version: Version,
        weights: Vec<TunedWeight>,
    },
    /// Sets the recovery state of a region; fenced by the epoch.
    #[serde(rename = "Region")]
    SetRegion {
        epoch: Epoch,
        region: RegionIndex,
        state: Recovery,
    },
    /// Changes items of the `hosted` section by name. Both texts are JSON
    /// objects: `set` holds lists of complete items under `routes` and
    /// `services` and any other keys to replace, `drop` holds lists of names.
    #[serde(rename = "Items")]
    ChangeItems {
        base: Version,
        #[serde(default, rename = "to")]
        new_version: Option<Version>,
        set: String,
        drop: String,
    },
    /// Like `EvacuateZone`, but on any version and without a new one.
    #[serde(rename = "Evacuate")]
    EvacuateUnversioned {
        zone: ZoneIndex,
        #[serde(rename = "emptied")]
        evacuated: bool,
    },
    /// `EvacuateUnversioned` as a core proposes it: applied only while the
    /// zone has been changed as often as that core knew when the request
    /// came. A delayed duplicate has no effect after later changes.
    #[serde(rename = "EvacuateOnce")]
    EvacuateIfUnchanged {
        zone: ZoneIndex,
        #[serde(rename = "emptied")]
        evacuated: bool,
        changes: u64,
    },
}

impl Command {
    /// The version that an operator's request builds on, if it names one.
    #[must_use]
    pub fn base(&self) -> Option<Version> {
        match self {
            Command::Put { base, .. }
            | Command::MergePatch { base, .. }
            | Command::EvacuateZone { base, .. }
            | Command::ChangeItems { base, .. } => Some(*base),
            _ => None,
        }
    }
}

/// The result of applying a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Outcome {
    /// The command took effect; `version` is in force after it.
    #[serde(rename = "Taken")]
    Applied {
        #[serde(rename = "serial")]
        version: Version,
    },
    /// Rejected for good: the base version has been superseded.
    Stale {
        #[serde(rename = "serial")]
        version: Version,
    },
    /// Rejected for good: the content is invalid on its base version.
    #[serde(rename = "Bad")]
    Invalid { faults: Vec<String> },
    /// Rejected for good: another holder has acquired the role since.
    #[serde(rename = "OldEpoch")]
    StaleEpoch { epoch: Epoch },
    /// Undecided: the base version does not exist yet, so the same request
    /// may be applied when it is retried.
    #[serde(rename = "NotYet")]
    BaseAhead {
        #[serde(rename = "serial")]
        version: Version,
    },
    /// Undecided: the request may have been applied and evicted from the
    /// deduplication table, or an evacuation may have been superseded.
    /// Nothing was changed.
    #[serde(rename = "Unsure")]
    Unknown {
        #[serde(rename = "serial")]
        version: Version,
    },
}
