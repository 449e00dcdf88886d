//! Compatibility with snapshots of earlier releases.

use super::parse_hex;
use sorreldoor::configuration::tenants::ApiKey;
use sorreldoor::configuration::Site;
use sorreldoor::consensus::StateMachine;
use sorreldoor::replicated_state::{Command, Outcome, ReplicatedState};
use std::sync::Arc;

/// A snapshot of the release with protocol 5, which stored the list of tenants as
/// an uninterpreted part of the configuration.
const PROTOCOL_5_SNAPSHOT: &str = include_str!("record-protocol-5.txt");

#[test]
fn tenants_in_a_protocol_5_snapshot_are_enforced() {
    let site = Site {
        regions: vec!["r".into()],
        zones: vec![("z".into(), 0)],
    };
    let mut state = ReplicatedState::new(Arc::new(site));
    assert!(state.load(&parse_hex(PROTOCOL_5_SNAPSHOT.trim())));
    let hosted = |state: &ReplicatedState| {
        let configuration = state.configuration().expect("a configuration");
        configuration.hosted.clone().expect("hosted routes")
    };
    let holder = |state: &ReplicatedState, key: &str| {
        let hosted = hosted(state);
        let tenant = hosted.tenants.holder_of(&ApiKey::new(key));
        tenant.map(|tenant| tenant.name.to_string())
    };
    assert!(hosted(&state).tenants.required());
    assert_eq!(holder(&state, "k1").as_deref(), Some("desk"));
    assert_eq!(hosted(&state).limits.idle_ms, 2000);
    assert_eq!(state.document_summary().tenants, 2);
    let change = Command::ChangeItems {
        base: 4,
        new_version: None,
        set: "{}".into(),
        drop: r#"{"tenants":["museum"]}"#.into(),
    };
    let (outcome, state) = state.dry_run(change);
    assert_eq!(outcome, Outcome::Applied { version: 5 });
    assert_eq!(holder(&state, "k2"), None);
    assert_eq!(holder(&state, "k1").as_deref(), Some("desk"));
}
