//! Mutation tests of the delivery of large configurations: with an invariant
//! disabled, the bounds of `sorreldoor/tests/updates.rs` must not hold.

use sorreldoor::configuration::Site;
use sorreldoor::consensus::StateMachine;
use sorreldoor::control_plane::updates::{NextUpdate, Updates, MAX_IN_FLIGHT};
use sorreldoor::invariants::{disable_only, Invariant};
use sorreldoor::replicated_state::{encode, Command, ReplicatedState, StateReplica};
use sorreldoor::wire::EncodedUpdate;
use std::sync::Arc;

fn state(routes: usize) -> ReplicatedState {
    let routes: Vec<String> = (0..routes).map(route).collect();
    let routes = routes.join(",");
    let doc = format!(r#"{{"hosted":{{"routes":[{routes}],"services":[{{"name":"s"}}]}}}}"#);
    let mut state = ReplicatedState::new(Arc::new(Site::default()));
    apply(
        &mut state,
        1,
        Command::Put {
            base: 0,
            new_version: None,
            document: doc,
        },
    );
    assert_eq!(state.version(), 1, "the document is applied");
    state
}

fn route(i: usize) -> String {
    format!(r#"{{"name":"r{i}","host":"h","prefix":"/p{i}/","timeout_ms":50,"service":"s"}}"#)
}

fn apply(state: &mut ReplicatedState, index: u64, command: Command) {
    state.apply(index, u128::from(index), &encode(&command));
}

fn change_items(state: &mut ReplicatedState, index: u64, set: &str, drop: &str) {
    let (set, drop) = (set.to_string(), drop.to_string());
    let base = state.version();
    apply(
        state,
        index,
        Command::ChangeItems {
            base,
            new_version: None,
            set,
            drop,
        },
    );
}

fn change_update_bytes(routes: usize) -> usize {
    let mut state = state(routes);
    let known_revision = state.revision();
    change_items(
        &mut state,
        2,
        &format!(r#"{{"routes":[{}]}}"#, route(9000)),
        "{}",
    );
    EncodedUpdate::new(&state.delta_since(known_revision))
        .bytes
        .len()
}

#[test]
fn without_deltas_the_update_of_a_change_grows_with_the_routes() {
    assert!(change_update_bytes(5000) < change_update_bytes(100) + 64);
    disable_only(Some(Invariant::DeltaUpdates));
    assert!(change_update_bytes(5000) > 20 * change_update_bytes(100));
}

fn replica_after_a_deletion() -> (StateReplica, ReplicatedState) {
    let mut state = state(10);
    let mut replica = StateReplica::default();
    assert!(replica.apply(&state.delta_since(0)));
    let known_revision = state.revision();
    change_items(&mut state, 2, "{}", r#"{"routes":["r3"]}"#);
    assert!(replica.apply(&state.delta_since(known_revision)));
    (replica, state)
}

#[test]
fn without_deletions_in_updates_a_replica_keeps_deleted_routes() {
    let (replica, state) = replica_after_a_deletion();
    assert_eq!(replica.view(), state.view());
    disable_only(Some(Invariant::DeltaDeletions));
    let (replica, state) = replica_after_a_deletion();
    assert_ne!(replica.view(), state.view());
}

/// Number of routes whose complete update is large even when compressed.
const MANY_ROUTES: usize = 40_000;

/// Bytes that a core sends to `edges` that send `renewals` each and apply nothing.
fn bytes_sent_to_slow_edges(edges: u64, renewals: u64) -> usize {
    let state = state(MANY_ROUTES);
    let mut updates = Updates::default();
    let mut sent = 0;
    for renewal in 0..renewals {
        for conn in 0..edges {
            if let NextUpdate::Send(update) = updates.next(&state, conn, 0, renewal * 100) {
                sent += update.bytes.len();
            }
        }
    }
    sent
}

/// Without the bound each renewal of a slow edge queues another complete update.
#[test]
fn without_the_bound_updates_in_flight_pile_up() {
    assert!(bytes_sent_to_slow_edges(93, 20) <= MAX_IN_FLIGHT);
    disable_only(Some(Invariant::LargeUpdatesBounded));
    assert!(bytes_sent_to_slow_edges(93, 20) > 50 * MAX_IN_FLIGHT);
}
