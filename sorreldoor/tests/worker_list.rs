//! The list of workers at one core: when it is read, and how it is numbered.

use sorreldoor::control_plane::worker_list::WorkerList;
use sorreldoor::discovery::{Worker, WorkerRegistry};
use std::sync::Arc;

const INTERVAL_MS: u64 = 500;

fn list(version: u64, names: &[&str]) -> WorkerRegistry {
    let addr = "127.0.0.1:9".parse().expect("an address");
    let named = |name: &&str| Worker {
        name: name.to_string(),
        addr,
        group: "web".into(),
        zone: 0,
        region: 0,
        leaving: false,
        slots: 4,
        cold_ms: 0,
        leaves_ms: None,
        software_version: String::new(),
    };
    let workers = names.iter().map(named).collect();
    WorkerRegistry { version, workers }
}

#[test]
fn one_read_at_a_time_and_none_before_its_interval() {
    let mut workers = WorkerList::new(Some(INTERVAL_MS), 0);
    assert!(workers.begin_read(0));
    assert!(!workers.begin_read(INTERVAL_MS), "one is under way");
    assert!(workers.read_failed("refused".into()));
    assert!(!workers.read_failed("refused".into()), "told once");
    assert_eq!(workers.last_error(), Some("refused"));
    assert!(workers.begin_read(INTERVAL_MS));
    // a read without any word is lost after five seconds
    assert!(!workers.begin_read(INTERVAL_MS + 4999));
    assert!(workers.begin_read(INTERVAL_MS + 5000));
    assert!(!WorkerList::new(None, 0).begin_read(9000), "told by others");
}

#[test]
fn a_holder_numbers_lists_above_all_that_older_holders_did() {
    let mut workers = WorkerList::new(Some(INTERVAL_MS), 0);
    let first = workers.read_done(list(0, &["a"]), None, 0);
    let first = first.expect("any list is better than none");
    assert!(workers.adopt(first, 0));
    assert_eq!(workers.read_done(list(0, &["a", "b"]), None, 10), None);
    let held = workers.read_done(list(0, &["a"]), Some(3), 20);
    let held = held.expect("a holder's first list is news");
    assert_eq!(held.version, (3 << 32) | 1);
    assert!(workers.adopt(held, 20));
    assert_eq!(workers.read_done(list(0, &["a"]), Some(3), 30), None);
    let changed = workers.read_done(list(0, &["b"]), Some(3), 40);
    assert_eq!(changed.map(|l| l.version), Some((3 << 32) | 2));
}

#[test]
fn an_older_list_is_never_adopted() {
    let mut workers = WorkerList::new(None, 0);
    assert!(workers.adopt(Arc::new(list(7, &["a"])), 0));
    assert!(!workers.adopt(Arc::new(list(7, &["b"])), 0));
    assert!(!workers.adopt(Arc::new(list(6, &["b"])), 0));
    assert_eq!((workers.version(), workers.workers().len()), (7, 1));
}
