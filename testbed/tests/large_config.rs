//! Rules of delivering large configurations, each broken on purpose: what the
//! tests of `sorreldoor/tests/updates.rs` hold must then fail.

use sorreldoor::configuration::Site;
use sorreldoor::consensus::StateMachine;
use sorreldoor::control_plane::updates::{NextUpdate, Updates, MAX_IN_FLIGHT};
use sorreldoor::invariants::{disable_only, Invariant};
use sorreldoor::replicated_state::{encode, Command, ReplicatedState, StateReplica};
use sorreldoor::wire::EncodedUpdate;
use std::sync::Arc;

fn record(routes: usize) -> ReplicatedState {
    let routes: Vec<String> = (0..routes).map(route).collect();
    let routes = routes.join(",");
    let doc = format!(r#"{{"hosted":{{"routes":[{routes}],"services":[{{"name":"s"}}]}}}}"#);
    let mut record = ReplicatedState::new(Arc::new(Site::default()));
    apply(
        &mut record,
        1,
        Command::Put {
            base: 0,
            new_version: None,
            document: doc,
        },
    );
    assert_eq!(record.version(), 1, "the document is taken");
    record
}

fn route(i: usize) -> String {
    format!(r#"{{"name":"r{i}","host":"h","prefix":"/p{i}/","timeout_ms":50,"service":"s"}}"#)
}

fn apply(record: &mut ReplicatedState, n: u64, cmd: Command) {
    record.apply(n, u128::from(n), &encode(&cmd));
}

fn items(record: &mut ReplicatedState, n: u64, set: &str, drop: &str) {
    let (set, drop) = (set.to_string(), drop.to_string());
    let base = record.version();
    apply(
        record,
        n,
        Command::ChangeItems {
            base,
            new_version: None,
            set,
            drop,
        },
    );
}

fn bytes_of_a_change(routes: usize) -> usize {
    let mut record = record(routes);
    let have = record.revision();
    items(
        &mut record,
        2,
        &format!(r#"{{"routes":[{}]}}"#, route(9000)),
        "{}",
    );
    EncodedUpdate::new(&record.delta_since(have)).bytes.len()
}

/// Without differences a change costs what the configuration does.
#[test]
fn telling_the_whole_grows_with_the_routes() {
    assert!(bytes_of_a_change(5000) < bytes_of_a_change(100) + 64);
    disable_only(Some(Invariant::DeltaUpdates));
    assert!(bytes_of_a_change(5000) > 20 * bytes_of_a_change(100));
}

fn copy_after_a_deletion() -> (StateReplica, ReplicatedState) {
    let mut record = record(10);
    let mut copy = StateReplica::default();
    assert!(copy.apply(&record.delta_since(0)));
    let have = record.revision();
    items(&mut record, 2, "{}", r#"{"routes":["r3"]}"#);
    assert!(copy.apply(&record.delta_since(have)));
    (copy, record)
}

/// Deletions that are not told leave routes that are no more.
#[test]
fn deletions_untold_leave_another_copy() {
    let (copy, record) = copy_after_a_deletion();
    assert_eq!(copy.view(), record.view());
    disable_only(Some(Invariant::DeltaDeletions));
    let (copy, record) = copy_after_a_deletion();
    assert_ne!(copy.view(), record.view());
}

/// Routes whose update, compressed, has as many bytes as one of 5,000 had before
/// updates were compressed.
const MANY_ROUTES: usize = 40_000;

/// Bytes that a core sends to `readers` that take nothing but ask on.
fn sent_to_slow(readers: u64, times: u64) -> usize {
    let record = record(MANY_ROUTES);
    let mut updates = Updates::default();
    let mut sent = 0;
    for time in 0..times {
        for conn in 0..readers {
            if let NextUpdate::Send(u) = updates.next(&record, conn, 0, time * 100) {
                sent += u.bytes.len();
            }
        }
    }
    sent
}

/// Without the bound each renewal of a slow reader queues another copy.
#[test]
fn copies_unbounded_pile_up() {
    assert!(sent_to_slow(93, 20) <= MAX_IN_FLIGHT);
    disable_only(Some(Invariant::LargeUpdatesBounded));
    assert!(sent_to_slow(93, 20) > 50 * MAX_IN_FLIGHT);
}
