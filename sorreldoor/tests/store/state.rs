//! Application of saves to the durable state.

use serde::Serialize;
use sorreldoor::consensus::{ClaimRecord, Entry, HardState, Save, Snapshot};
use sorreldoor::replicated_state::{decode, encode};
use sorreldoor::store::DurableState;
use std::collections::VecDeque;

/// The durable state as an early release stored it.
#[derive(Serialize)]
struct LegacyImage {
    hard: HardState,
    snap: Option<Snapshot>,
    entries: Vec<Entry>,
    claims: VecDeque<(String, u128)>,
    seq: u64,
}

#[test]
fn claims_of_the_previous_release_are_recovered() {
    let legacy = LegacyImage {
        hard: HardState::default(),
        snap: None,
        entries: Vec::new(),
        claims: VecDeque::from([("old".to_string(), 7)]),
        seq: 3,
    };
    let mut state: DurableState = decode(&encode(&legacy)).expect("an image of that release");
    // the log after the image holds a save of the same release
    state.apply_save(4, &Save::LegacyClaims(vec![("later".into(), 8)]));
    let (id, claimant, retention_ms) = ("old".to_string(), 9, 5);
    state.apply_save(
        5,
        &Save::ClaimRecords(vec![ClaimRecord {
            id,
            claimant,
            retention_ms,
        }]),
    );
    let claims = state.to_consensus().claims;
    let claimant_of = |id: &str| claims.iter().find(|n| n.id == id).map(|n| n.claimant);
    assert_eq!(
        (claims.len(), claimant_of("old"), claimant_of("later")),
        (2, Some(9), Some(8))
    );
}
