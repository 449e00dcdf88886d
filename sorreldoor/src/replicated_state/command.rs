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
        /// The version that the operator's change builds on.
        base: Version,
        /// The version to give the result; `None`: the next one.
        #[serde(default, rename = "to")]
        new_version: Option<Version>,
        /// The complete configuration document as JSON.
        #[serde(rename = "doc")]
        document: String,
    },
    /// Applies an RFC 7396 merge patch to the document.
    #[serde(rename = "Edit")]
    MergePatch {
        /// The version that the patch applies to.
        base: Version,
        /// The patch as JSON text.
        patch: String,
    },
    /// Evacuates a zone or returns it to service, as a new version.
    #[serde(rename = "Zone")]
    EvacuateZone {
        /// The version that the operator's change builds on.
        base: Version,
        /// The zone to change.
        zone: ZoneIndex,
        /// True: evacuate the zone. False: return it to service.
        #[serde(rename = "emptied")]
        evacuated: bool,
    },
    /// Acquires the singleton role of the weight tuner. Each acquisition
    /// raises the epoch, which is the fencing token of the role.
    #[serde(rename = "Duty")]
    AcquireRole {
        /// Identity of the core that acquires the role.
        holder: u64,
        /// The epoch that the core has read. If it is outdated, another core has
        /// acquired the role first and the outcome is [`Outcome::StaleEpoch`].
        #[serde(rename = "above")]
        previous_epoch: Epoch,
    },
    /// Sets tuned weights; fenced by the epoch of the role holder.
    #[serde(rename = "Tune")]
    SetWeights {
        /// The proposer's epoch.
        epoch: Epoch,
        /// The version that the weights were computed for. On any other they
        /// are rejected, since their indices may have moved.
        #[serde(rename = "serial")]
        version: Version,
        /// Weights to replace; the others stay. Each is clamped to the
        /// operator's bounds.
        weights: Vec<TunedWeight>,
    },
    /// Sets the recovery state of a region; fenced by the epoch.
    #[serde(rename = "Region")]
    SetRegion {
        /// The proposer's epoch.
        epoch: Epoch,
        /// The region to change.
        region: RegionIndex,
        /// Its new state.
        state: Recovery,
    },
    /// Changes items of the `hosted` section by name. Both texts are JSON
    /// objects: `set` holds lists of complete items under `routes` and
    /// `services` and any other keys to replace, `drop` holds lists of names.
    #[serde(rename = "Items")]
    ChangeItems {
        /// The version that the operator's change builds on.
        base: Version,
        /// The version to give the result; `None`: the next one.
        #[serde(default, rename = "to")]
        new_version: Option<Version>,
        /// Items to add or to replace by name, and other keys of the section.
        set: String,
        /// Names of items to delete; one that `set` holds too is set.
        drop: String,
    },
    /// Like `EvacuateZone`, but on any version and without a new one.
    #[serde(rename = "Evacuate")]
    EvacuateUnversioned {
        /// The zone to change.
        zone: ZoneIndex,
        /// As in `EvacuateZone`.
        #[serde(rename = "emptied")]
        evacuated: bool,
    },
    /// Like `EvacuateCounted`, but a request for the state that the zone is in
    /// does not count as a change. Proposed by releases before protocol 7.
    #[serde(rename = "EvacuateOnce")]
    EvacuateIfUnchanged {
        /// The zone to change.
        zone: ZoneIndex,
        /// As in `EvacuateZone`.
        #[serde(rename = "emptied")]
        evacuated: bool,
        /// The zone's number of changes as read by the proposing core.
        changes: u64,
    },
    /// Like `EvacuateUnversioned`, but applied only while the zone's number of
    /// changes equals the one that the proposing core knew when the request can
    /// have been sent at the earliest, or while the zone is in the requested state.
    /// Each that is applied counts as a change, so that older requests that are
    /// still delayed have no effect after it.
    EvacuateCounted {
        /// The zone to change.
        zone: ZoneIndex,
        /// As in `EvacuateZone`.
        #[serde(rename = "emptied")]
        evacuated: bool,
        /// The zone's number of changes as known by the proposing core.
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
        /// The version in force. Changes that make no new version leave it as
        /// it was.
        #[serde(rename = "serial")]
        version: Version,
    },
    /// Rejected for good: the base version has been superseded.
    Stale {
        /// The version in force.
        #[serde(rename = "serial")]
        version: Version,
    },
    /// Rejected for good: the content is invalid on its base version.
    #[serde(rename = "Bad")]
    Invalid {
        /// Every fault found, as `PATH: what is wrong`.
        faults: Vec<String>,
    },
    /// Rejected for good: the configuration would be larger than the limit.
    TooLarge {
        /// The size that its content would have.
        bytes: u64,
        /// The limit.
        max_bytes: u64,
    },
    /// Rejected for good: another holder has acquired the role since.
    #[serde(rename = "OldEpoch")]
    StaleEpoch {
        /// The current epoch.
        epoch: Epoch,
    },
    /// Undecided: the base version does not exist yet, so the same request
    /// may be applied when it is retried.
    #[serde(rename = "NotYet")]
    BaseAhead {
        /// The version in force, which is below the base.
        #[serde(rename = "serial")]
        version: Version,
    },
    /// Undecided: the request may have been applied and evicted from the
    /// deduplication table, or an evacuation may have been superseded.
    /// Nothing was changed.
    #[serde(rename = "Unsure")]
    Unknown {
        /// The version in force.
        #[serde(rename = "serial")]
        version: Version,
    },
}
