//! Compression of large updates.

use super::{with_routes, Core};
use sorreldoor::wire::EncodedUpdate;
use std::sync::Arc;

/// A core with 1,400 routes, and its complete update.
fn large_update() -> (Core, EncodedUpdate) {
    let mut core = Core::new();
    core.put(with_routes(1400));
    let update = EncodedUpdate::new(&core.state.delta_since(0));
    (core, update)
}

#[test]
fn a_large_update_is_compressed_to_a_fifth_and_decodes_again() {
    let (core, update) = large_update();
    assert!(update.uncompressed_len > 5 * update.bytes.len());
    assert_eq!(update.update(), Some(core.state.delta_since(0)));
}

#[test]
fn a_small_update_is_not_compressed() {
    let (mut core, update) = large_update();
    core.set_route(7, 900);
    let small = EncodedUpdate::new(&core.state.delta_since(update.revision));
    assert_eq!(small.uncompressed_len, 0);
    assert_eq!(
        small.update(),
        Some(core.state.delta_since(update.revision))
    );
}

#[test]
fn damaged_bytes_or_lengths_do_not_decode() {
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
