//! Samples of the commands of the replicated state, and of their outcomes.

use super::samples::DOCUMENT;
use sorreldoor::replicated_state::{Command, Outcome, Recovery};

pub(super) fn commands() -> Vec<Command> {
    vec![
        Command::Put {
            base: 0,
            new_version: Some(7),
            document: DOCUMENT.into(),
        },
        Command::MergePatch {
            base: 7,
            patch: r#"{"routes":{"r":{"cutoff_ms":900}}}"#.into(),
        },
        Command::EvacuateZone {
            base: 8,
            zone: 1,
            evacuated: true,
        },
        Command::AcquireRole {
            holder: 11,
            previous_epoch: 0,
        },
        Command::SetWeights {
            epoch: 1,
            version: 9,
            weights: vec![(0, 0, 55)],
        },
        Command::SetRegion {
            epoch: 1,
            region: 1,
            state: Recovery::Returning(40),
        },
        Command::SetRegion {
            epoch: 1,
            region: 0,
            state: Recovery::Lost,
        },
        Command::SetRegion {
            epoch: 1,
            region: 0,
            state: Recovery::Served,
        },
        Command::ChangeItems {
            base: 9,
            new_version: Some(10),
            set: r#"{"services":[{"name":"z"}]}"#.into(),
            drop: "{}".into(),
        },
        Command::EvacuateUnversioned {
            zone: 0,
            evacuated: true,
        },
        Command::EvacuateIfUnchanged {
            zone: 0,
            evacuated: false,
            changes: 1,
        },
        Command::EvacuateCounted {
            zone: 0,
            evacuated: true,
            changes: 2,
        },
    ]
}

pub(super) fn outcomes() -> Vec<Outcome> {
    vec![
        Outcome::Applied { version: 3 },
        Outcome::Stale { version: 3 },
        Outcome::Invalid {
            faults: vec!["no such route".into()],
        },
        Outcome::StaleEpoch { epoch: 2 },
        Outcome::BaseAhead { version: 3 },
        Outcome::Unknown { version: 3 },
        Outcome::TooLarge {
            bytes: 4_194_305,
            max_bytes: 4_194_304,
        },
    ]
}
