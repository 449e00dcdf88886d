//! The worker list of one core: when it is read, and how it is versioned.

use sorreldoor::control_plane::worker_list::WorkerListCache;
use sorreldoor::discovery::{Worker, WorkerRegistry};
use std::sync::Arc;

const INTERVAL_MS: u64 = 500;

fn registry(version: u64, names: &[&str]) -> WorkerRegistry {
    let addr = "127.0.0.1:9".parse().expect("an address");
    let worker = |name: &&str| Worker {
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
    let workers = names.iter().map(worker).collect();
    WorkerRegistry { version, workers }
}

#[test]
fn reads_do_not_overlap_and_keep_the_interval() {
    let mut workers = WorkerListCache::new(Some(INTERVAL_MS), 0);
    assert!(workers.begin_read(0));
    assert!(!workers.begin_read(INTERVAL_MS), "a read is in progress");
    assert!(workers.read_failed("refused".into()));
    assert!(
        !workers.read_failed("refused".into()),
        "a repeated error is not news"
    );
    assert_eq!(workers.last_error(), Some("refused"));
    assert!(workers.begin_read(INTERVAL_MS));
    // a read without a result times out after five seconds
    assert!(!workers.begin_read(INTERVAL_MS + 4999));
    assert!(workers.begin_read(INTERVAL_MS + 5000));
    assert!(
        !WorkerListCache::new(None, 0).begin_read(9000),
        "a core without an interval does not read the list"
    );
}

#[test]
fn a_lease_holder_versions_lists_above_all_earlier_holders() {
    let mut workers = WorkerListCache::new(Some(INTERVAL_MS), 0);
    let first_list = workers.read_done(registry(0, &["a"]), None, 0);
    let first_list = first_list.expect("the first list is adopted without a lease");
    assert!(workers.adopt(first_list, 0));
    assert_eq!(workers.read_done(registry(0, &["a", "b"]), None, 10), None);
    let leased = workers.read_done(registry(0, &["a"]), Some(3), 20);
    let leased = leased.expect("a holder's first list is news");
    assert_eq!(leased.version, (3 << 32) | 1);
    assert!(workers.adopt(leased, 20));
    assert_eq!(workers.read_done(registry(0, &["a"]), Some(3), 30), None);
    let changed = workers.read_done(registry(0, &["b"]), Some(3), 40);
    assert_eq!(
        changed.map(|registry| registry.version),
        Some((3 << 32) | 2)
    );
}

#[test]
fn an_older_list_is_never_adopted() {
    let mut workers = WorkerListCache::new(None, 0);
    assert!(workers.adopt(Arc::new(registry(7, &["a"])), 0));
    assert!(!workers.adopt(Arc::new(registry(7, &["b"])), 0));
    assert!(!workers.adopt(Arc::new(registry(6, &["b"])), 0));
    assert_eq!((workers.version(), workers.workers().len()), (7, 1));
}
