//! Bounds on the large updates in flight and on the send queues.

use super::{with_routes, Core};
use sorreldoor::control_plane::updates::{NextUpdate, Updates, MAX_IN_FLIGHT};
use sorreldoor::net::{self, Push};
use sorreldoor::wire::{EncodedUpdate, LARGE_UPDATE_BYTES};
use std::sync::Arc;

/// Until an edge has applied a large update, further updates are withheld.
#[test]
fn a_slow_edge_is_sent_one_large_update_at_a_time() {
    let mut core = Core::new();
    core.put(with_routes(1000));
    let mut updates = Updates::default();
    let NextUpdate::Send(first_update) = updates.next(&core.state, 1, 0, 0) else {
        panic!("an edge without state is sent the complete update");
    };
    assert!(first_update.bytes.len() > LARGE_UPDATE_BYTES);
    for now in [100, 200, 900] {
        core.set_route(now as usize, now);
        assert_eq!(updates.next(&core.state, 1, 0, now), NextUpdate::Withheld);
    }
    assert_eq!(updates.in_flight(), first_update.bytes.len());
    // once applied, the edge is sent the changes since then
    let NextUpdate::Send(next_update) = updates.next(&core.state, 1, first_update.revision, 1000)
    else {
        panic!("the edge lacks three changes");
    };
    assert!(next_update.bytes.len() < LARGE_UPDATE_BYTES);
    assert_eq!(updates.in_flight(), 0);
    let newest = core.state.revision();
    assert_eq!(
        updates.next(&core.state, 1, newest, 1100),
        NextUpdate::UpToDate
    );
    // a lost update is sent again, and a closed connection has none in flight
    assert!(matches!(
        updates.next(&core.state, 2, 0, 0),
        NextUpdate::Send(_)
    ));
    assert!(matches!(
        updates.next(&core.state, 2, 0, 5000),
        NextUpdate::Send(_)
    ));
    updates.closed(2);
    assert_eq!(updates.in_flight(), 0);
}

/// Many edges that ask for the complete update at once must not saturate the link
/// of a core.
#[test]
fn updates_in_flight_are_bounded_and_share_their_bytes() {
    let mut core = Core::new();
    core.put(with_routes(5000));
    let mut updates = Updates::default();
    let mut sent_updates: Vec<EncodedUpdate> = Vec::new();
    let mut waiting_edges: Vec<u64> = (1..=93).collect();
    let mut rounds = 0;
    while !waiting_edges.is_empty() {
        rounds += 1;
        let mut delivered = Vec::new();
        for connection in &waiting_edges {
            match updates.next(&core.state, *connection, 0, rounds * 300) {
                NextUpdate::Send(update) => {
                    delivered.push((*connection, update.revision));
                    sent_updates.push(update);
                }
                pending => assert_eq!(pending, NextUpdate::Withheld),
            }
        }
        assert!(updates.in_flight() <= MAX_IN_FLIGHT);
        assert!(!delivered.is_empty(), "no update was sent in a round");
        for (connection, revision) in delivered {
            assert_eq!(
                updates.next(&core.state, connection, revision, rounds * 300),
                NextUpdate::UpToDate
            );
            waiting_edges.retain(|waiting| *waiting != connection);
        }
    }
    assert_eq!(sent_updates.len(), 93);
    assert!(sent_updates
        .iter()
        .all(|update| Arc::ptr_eq(&update.bytes, &sent_updates[0].bytes)));
}

#[test]
fn a_send_queue_is_bounded_in_bytes() {
    let (sender, frames, _closed) = net::queue();
    let frame = vec![0; 1 << 20];
    let accepted = (0..20).filter(|_| sender.push(frame.clone()) == Push::Queued);
    assert_eq!(accepted.count(), 4);
    let first_update = async_std::task::block_on(frames.next()).expect("a queued frame");
    assert_eq!(
        sender.push(frame.clone()),
        Push::Full,
        "the frame is not written yet"
    );
    frames.written(&first_update);
    assert_eq!(sender.push(frame.clone()), Push::Queued);
    // a single frame of any size is accepted
    let (sender, _frames, _closed) = net::queue();
    assert_eq!(sender.push(vec![0; 9 << 20]), Push::Queued);
    assert_eq!(sender.push(vec![0; 1]), Push::Full);
    let (sender, frames, _closed) = net::queue();
    drop(frames);
    assert_eq!(
        sender.push(vec![0; 1]),
        Push::Closed,
        "the connection is closed"
    );
}
