//! What saves add up to.

use serde::Serialize;
use sorreldoor::consensus::{ClaimRecord, Entry, HardState, Save, Snapshot};
use sorreldoor::replicated_state::{decode, encode};
use sorreldoor::store::DurableState;
use std::collections::VecDeque;

/// What an early release kept on disk, as it wrote it.
#[derive(Serialize)]
struct Before {
    hard: HardState,
    snap: Option<Snapshot>,
    entries: Vec<Entry>,
    claims: VecDeque<(String, u128)>,
    seq: u64,
}

#[test]
fn what_the_release_before_kept_is_read() {
    let before = Before {
        hard: HardState::default(),
        snap: None,
        entries: Vec::new(),
        claims: VecDeque::from([("old".to_string(), 7)]),
        seq: 3,
    };
    let mut state: DurableState = decode(&encode(&before)).expect("an image of that release");
    // its saves still stand in the log behind the image
    state.apply_save(4, &Save::Claims(vec![("later".into(), 8)]));
    let (id, claimant, retention_ms) = ("old".to_string(), 9, 5);
    state.apply_save(
        5,
        &Save::ClaimRecord(vec![ClaimRecord {
            id,
            claimant,
            retention_ms,
        }]),
    );
    let kept = state.to_consensus().claims;
    let by = |id: &str| kept.iter().find(|n| n.id == id).map(|n| n.claimant);
    assert_eq!((kept.len(), by("old"), by("later")), (2, Some(9), Some(8)));
}
