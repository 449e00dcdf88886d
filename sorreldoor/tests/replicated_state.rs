//! The replicated state: outcomes of changes, deduplication and snapshots.

use sorreldoor::configuration::Site;
use sorreldoor::consensus::StateMachine;
use sorreldoor::replicated_state::{
    decode, encode, Command, Outcome, Recovery, ReplicatedState, MAX_REMEMBERED_REQUESTS,
};
use std::sync::Arc;

fn site() -> Arc<Site> {
    Arc::new(Site {
        regions: vec!["a".into(), "b".into()],
        zones: vec![("a1".into(), 0), ("b1".into(), 1)],
    })
}

const DOC: &str = r#"{"groups":{"g":{"kind":"model"}},"services":{"s":{"groups":["g"]},"t":{"groups":["g"]}},
 "routes":{"r":{"kind":"decode","shares":{"s":{"weight":50,"least":40,"most":60},"t":{"weight":50}}}}}"#;

struct TestState(ReplicatedState, u128);

impl TestState {
    fn new() -> TestState {
        TestState(ReplicatedState::new(site()), 0)
    }
    fn apply_next(&mut self, command: Command) -> Outcome {
        self.1 += 1;
        let outcome = self.0.apply(self.1 as u64, self.1, &encode(&command));
        decode(&outcome).expect("an outcome")
    }
    fn put(&mut self, base: u64) -> Outcome {
        let document = DOC.to_string();
        self.apply_next(Command::Put {
            base,
            new_version: None,
            document,
        })
    }
}

#[test]
fn a_proposal_with_an_outdated_epoch_is_rejected() {
    let mut state = TestState::new();
    assert_eq!(state.put(0), Outcome::Applied { version: 1 });
    let acquire_role = |holder, previous_epoch| Command::AcquireRole {
        holder,
        previous_epoch,
    };
    assert_eq!(
        state.apply_next(acquire_role(7, 0)),
        Outcome::Applied { version: 1 }
    );
    // of two requests for the same epoch the second is rejected
    assert_eq!(
        state.apply_next(acquire_role(8, 0)),
        Outcome::StaleEpoch { epoch: 1 }
    );
    assert_eq!(
        state.apply_next(acquire_role(8, 1)),
        Outcome::Applied { version: 1 }
    );
    let set_weights = |epoch, version| Command::SetWeights {
        epoch,
        version,
        weights: vec![(0, 0, 99), (0, 1, 99)],
    };
    assert_eq!(
        state.apply_next(set_weights(1, 1)),
        Outcome::StaleEpoch { epoch: 2 }
    );
    let lost = Command::SetRegion {
        epoch: 1,
        region: 0,
        state: Recovery::Lost,
    };
    assert_eq!(state.apply_next(lost), Outcome::StaleEpoch { epoch: 2 });
    assert_eq!(state.0.view().weights, vec![]);
    assert_eq!(
        state.apply_next(set_weights(2, 0)),
        Outcome::Stale { version: 1 }
    );
    assert_eq!(
        state.apply_next(set_weights(2, 1)),
        Outcome::Applied { version: 1 }
    );
    // clamped to the operator's bounds, and unchanged where none are given
    assert_eq!(state.0.view().weights, vec![(0, 0, 60), (0, 1, 50)]);
    assert_eq!(state.put(1), Outcome::Applied { version: 2 });
    assert_eq!(state.0.view().weights, vec![]);
}

#[test]
fn a_snapshot_restores_the_same_state() {
    let mut state = TestState::new();
    state.put(0);
    let (base, zone, evacuated) = (1, 1, true);
    state.apply_next(Command::EvacuateZone {
        base,
        zone,
        evacuated,
    });
    let image = state.0.image();
    let mut restored = ReplicatedState::new(site());
    assert!(restored.load(&image));
    assert_eq!(restored.view(), state.0.view());
    assert_eq!(restored.image(), image);
    // a retry after the restore gets the first outcome, and changes nothing
    let repeated = restored.apply(
        99,
        1,
        &encode(&Command::Put {
            base: 0,
            new_version: None,
            document: DOC.into(),
        }),
    );
    assert_eq!(decode(&repeated), Some(Outcome::Applied { version: 1 }));
    assert_eq!(restored.view(), state.0.view());
    assert!(!restored.load(b"not an image"));
}

fn apply(state: &mut ReplicatedState, id: u128, command: &Command) -> Outcome {
    decode(&state.apply(0, id, &encode(command))).expect("an outcome")
}

fn put(base: u64, new_version: u64) -> Command {
    let document = DOC.to_string();
    let new_version = Some(new_version);
    Command::Put {
        base,
        new_version,
        document,
    }
}

#[test]
fn a_change_whose_base_does_not_exist_yet_is_undecided_and_applied_on_retry() {
    let mut state = ReplicatedState::new(site());
    assert_eq!(
        apply(&mut state, 2, &put(7, 9)),
        Outcome::BaseAhead { version: 0 },
        "version 7 may still be applied"
    );
    assert_eq!(
        state.recorded_outcome(2),
        None,
        "an undecided change is not remembered"
    );
    assert_eq!(
        apply(&mut state, 1, &put(0, 7)),
        Outcome::Applied { version: 7 }
    );
    assert_eq!(
        apply(&mut state, 2, &put(7, 9)),
        Outcome::Applied { version: 9 }
    );
    assert_eq!(
        apply(&mut state, 2, &put(7, 9)),
        Outcome::Applied { version: 9 }
    );
    assert_eq!(state.version(), 9);
}

#[test]
fn a_rejected_change_is_rejected_on_every_later_version() {
    let mut state = ReplicatedState::new(site());
    apply(&mut state, 1, &put(0, 5));
    apply(&mut state, 2, &put(5, 6));
    // a superseded base, a version not above its base, and invalid content
    let stale = put(5, 7);
    let low = put(6, 6);
    let faulty = Command::MergePatch {
        base: 6,
        patch: r#"{"services":null}"#.into(),
    };
    assert_eq!(apply(&mut state, 3, &stale), Outcome::Stale { version: 6 });
    assert!(matches!(
        apply(&mut state, 4, &low),
        Outcome::Invalid { .. }
    ));
    assert!(matches!(
        apply(&mut state, 5, &faulty),
        Outcome::Invalid { .. }
    ));
    for base in 6..40 {
        for (id, command) in [(3, &stale), (4, &low), (5, &faulty)] {
            let repeated = apply(&mut state, id, command);
            let rejected = matches!(repeated, Outcome::Stale { .. } | Outcome::Invalid { .. });
            assert!(rejected, "{id} on {base}: {repeated:?}");
        }
        assert_eq!(
            state.version(),
            base,
            "a rejected change raised the version"
        );
        let next = apply(&mut state, 100 + u128::from(base), &put(base, base + 1));
        assert_eq!(next, Outcome::Applied { version: base + 1 });
    }
}

#[test]
fn a_version_reused_with_other_content_is_rejected() {
    let mut state = ReplicatedState::new(site());
    apply(&mut state, 1, &put(0, 5));
    assert_eq!(
        apply(&mut state, 2, &put(5, 7)),
        Outcome::Applied { version: 7 }
    );
    // another body has another id: same base and version, so it is rejected
    assert_eq!(
        apply(&mut state, 3, &put(5, 7)),
        Outcome::Stale { version: 7 }
    );
    assert_eq!(
        apply(&mut state, 2, &put(5, 7)),
        Outcome::Applied { version: 7 }
    );
}

fn evacuate_zone(base: u64) -> Command {
    let (zone, evacuated) = (0, base.is_multiple_of(2));
    Command::EvacuateZone {
        base,
        zone,
        evacuated,
    }
}

#[test]
fn a_repeated_applied_change_is_acknowledged_or_unknown_never_rejected() {
    let mut state = ReplicatedState::new(site());
    let limit = MAX_REMEMBERED_REQUESTS as u64;
    let count = limit + 300;
    for base in 0..count {
        let applied = Outcome::Applied { version: base + 1 };
        assert_eq!(
            apply(&mut state, u128::from(base) + 1, &evacuate_zone(base)),
            applied
        );
        // the singleton role's proposals must not evict operators' requests
        let set_weights = Command::SetWeights {
            epoch: 0,
            version: base + 1,
            weights: vec![],
        };
        apply(&mut state, (1 << 100) + u128::from(base), &set_weights);
    }
    let image = state.image();
    let mut restored = ReplicatedState::new(site());
    assert!(restored.load(&image));
    for state in [&mut state, &mut restored] {
        for base in 0..count {
            let repeated = apply(state, u128::from(base) + 1, &evacuate_zone(base));
            let expected = if base < 300 {
                Outcome::Unknown { version: count }
            } else {
                Outcome::Applied { version: base + 1 }
            };
            assert_eq!(repeated, expected, "request on base {base}");
        }
        assert_eq!(
            state.version(),
            count,
            "a repeated request was applied twice"
        );
        // a change on an old base that was never applied is still rejected
        let late_outcome = apply(state, 1 << 90, &evacuate_zone(400));
        assert_eq!(late_outcome, Outcome::Stale { version: count });
    }
    let bytes = image.len() as u64 / limit;
    println!("{} bytes of image for {limit} requests", image.len());
    assert!(bytes < 32, "{bytes} bytes per request");
}

#[test]
fn a_delayed_duplicate_of_an_ended_evacuation_has_no_effect() {
    let mut state = ReplicatedState::new(site());
    let set_evacuated = |evacuated, changes| Command::EvacuateIfUnchanged {
        zone: 1,
        evacuated,
        changes,
    };
    // duplicates of one request, one of them delayed at another core
    assert_eq!(
        apply(&mut state, 1, &set_evacuated(true, 0)),
        Outcome::Applied { version: 0 }
    );
    assert_eq!(
        apply(&mut state, 2, &set_evacuated(true, 0)),
        Outcome::Applied { version: 0 }
    );
    assert_eq!(
        apply(&mut state, 3, &set_evacuated(false, 1)),
        Outcome::Applied { version: 0 }
    );
    assert_eq!(
        apply(&mut state, 4, &set_evacuated(true, 0)),
        Outcome::Unknown { version: 0 }
    );
    assert!(
        !state.is_evacuated(1),
        "a delayed duplicate evacuated the zone again"
    );
    // a new evacuation of the same zone is another request
    assert_eq!(
        apply(&mut state, 5, &set_evacuated(true, 2)),
        Outcome::Applied { version: 0 }
    );
    assert!(state.is_evacuated(1));
    let mut restored = ReplicatedState::new(site());
    assert!(restored.load(&state.image()));
    assert_eq!(restored.zone_changes(1), 3);
}

#[test]
fn an_evacuation_without_effect_supersedes_older_ones() {
    let mut state = ReplicatedState::new(site());
    let set_evacuated = |evacuated, changes| Command::EvacuateCounted {
        zone: 1,
        evacuated,
        changes,
    };
    let applied = Outcome::Applied { version: 0 };
    assert_eq!(apply(&mut state, 1, &set_evacuated(true, 0)), applied);
    // repetitions, by a core that knows the newest state and by one that lags behind
    for (id, known_changes) in [(2, 1), (3, 0)] {
        let before = state.zone_changes(1);
        let repetition = set_evacuated(true, known_changes);
        assert_eq!(apply(&mut state, id, &repetition), applied);
        assert_eq!(state.zone_changes(1), before + 1);
        // bound before the repetition, and delayed
        let delayed = apply(&mut state, id + 10, &set_evacuated(false, before));
        assert_eq!(delayed, Outcome::Unknown { version: 0 });
        assert!(state.is_evacuated(1));
    }
    // entries in logs of earlier releases have the effect that they had then
    let earlier = Command::EvacuateIfUnchanged {
        zone: 1,
        evacuated: true,
        changes: 3,
    };
    assert_eq!(apply(&mut state, 20, &earlier), applied);
    assert_eq!(state.zone_changes(1), 3);
    assert_eq!(apply(&mut state, 21, &set_evacuated(false, 3)), applied);
    assert!(!state.is_evacuated(1));
}

/// The parts of the previous release's stored state that are read.
#[derive(serde::Serialize)]
struct LegacyImage {
    #[serde(rename = "rev")]
    revision: u64,
    #[serde(rename = "serial")]
    version: u64,
    doc: Option<String>,
    #[serde(rename = "emptied")]
    evacuated: Vec<u16>,
    weights: std::collections::BTreeMap<(u16, u16), u32>,
    regions: std::collections::BTreeMap<u8, Recovery>,
    epoch: u64,
    holder: u64,
    answered: std::collections::BTreeMap<u128, Vec<u8>>,
    order: Vec<u128>,
}

#[test]
fn applied_requests_in_an_image_of_the_previous_release_are_remembered() {
    let applied = encode(&Outcome::Applied { version: 7 });
    let rejected = encode(&Outcome::Stale { version: 7 });
    let legacy = LegacyImage {
        revision: 3,
        version: 7,
        doc: None,
        evacuated: vec![],
        weights: Default::default(),
        regions: Default::default(),
        epoch: 0,
        holder: 0,
        answered: [(1, applied), (2, rejected)].into(),
        order: vec![1, 2],
    };
    let mut state = ReplicatedState::new(site());
    assert!(state.load(&encode(&legacy)));
    assert_eq!(
        apply(&mut state, 1, &evacuate_zone(0)),
        Outcome::Applied { version: 7 }
    );
    // the previous release rejected it before version 7 was current
    assert_eq!(
        apply(&mut state, 2, &evacuate_zone(7)),
        Outcome::Applied { version: 8 }
    );
}
