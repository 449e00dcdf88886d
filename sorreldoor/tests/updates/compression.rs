//! Large updates are compressed for the narrow links of edges.

use super::{with_routes, Core};
use sorreldoor::wire::EncodedUpdate;
use std::sync::Arc;

/// A configuration of 1,400 routes; its update from nothing.
fn large_update() -> (Core, EncodedUpdate) {
    let mut core = Core::new();
    core.put(with_routes(1400));
    let update = EncodedUpdate::new(&core.record.delta_since(0));
    (core, update)
}

#[test]
fn a_large_update_has_a_fifth_of_its_bytes_and_reads_back() {
    let (core, update) = large_update();
    assert!(update.uncompressed_len > 5 * update.bytes.len());
    assert_eq!(update.update(), Some(core.record.delta_since(0)));
}

#[test]
fn a_small_update_is_sent_as_it_is() {
    let (mut core, update) = large_update();
    core.set_route(7, 900);
    let small = EncodedUpdate::new(&core.record.delta_since(update.revision));
    assert_eq!(small.uncompressed_len, 0);
    assert_eq!(
        small.update(),
        Some(core.record.delta_since(update.revision))
    );
}

#[test]
fn damaged_bytes_and_lengths_are_no_update() {
    let (_, update) = large_update();
    let truncated = EncodedUpdate {
        bytes: Arc::new(update.bytes[..update.bytes.len() / 2].to_vec()),
        ..update.clone()
    };
    assert_eq!(truncated.update(), None);
    for wrong_len in [1, update.uncompressed_len - 1, usize::MAX] {
        let wrong = EncodedUpdate {
            uncompressed_len: wrong_len,
            ..update.clone()
        };
        assert_eq!(wrong.update(), None, "{wrong_len}");
    }
}
