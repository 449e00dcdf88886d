//! Updates on their way: large ones and queues are bounded.

use super::{with_routes, Core};
use sorreldoor::control_plane::updates::{NextUpdate, Updates, MAX_IN_FLIGHT};
use sorreldoor::net;
use sorreldoor::wire::{EncodedUpdate, LARGE_UPDATE};
use std::sync::Arc;

/// Whoever has not yet taken a large update is told to ask again, and is sent
/// no second one beside it.
#[test]
fn a_slow_reader_is_sent_one_copy() {
    let mut core = Core::new();
    core.put(with_routes(1000));
    let mut updates = Updates::default();
    let NextUpdate::Send(first) = updates.next(&core.record, 1, 0, 0) else {
        panic!("a blank edge is sent the whole");
    };
    assert!(first.bytes.len() > LARGE_UPDATE);
    for now in [100, 200, 900] {
        core.one_route(now as usize, now);
        assert_eq!(updates.next(&core.record, 1, 0, now), NextUpdate::Withheld);
    }
    assert_eq!(updates.in_flight(), first.bytes.len());
    // once it has taken it, it is told what came since
    let NextUpdate::Send(next) = updates.next(&core.record, 1, first.revision, 1000) else {
        panic!("it lacks three changes");
    };
    assert!(next.bytes.len() < LARGE_UPDATE);
    assert_eq!(updates.in_flight(), 0);
    let newest = core.record.revision();
    assert_eq!(
        updates.next(&core.record, 1, newest, 1100),
        NextUpdate::UpToDate
    );
    // one that is lost is sent again, and a closed connection holds nothing
    assert!(matches!(
        updates.next(&core.record, 2, 0, 0),
        NextUpdate::Send(_)
    ));
    assert!(matches!(
        updates.next(&core.record, 2, 0, 5000),
        NextUpdate::Send(_)
    ));
    updates.closed(2);
    assert_eq!(updates.in_flight(), 0);
}

/// However many blank edges ask at once, a core's link is not filled, and all
/// are sent the same bytes.
#[test]
fn copies_on_their_way_are_bounded_and_share_their_bytes() {
    let mut core = Core::new();
    core.put(with_routes(5000));
    let mut updates = Updates::default();
    let mut told: Vec<EncodedUpdate> = Vec::new();
    let mut left: Vec<u64> = (1..=93).collect();
    let mut rounds = 0;
    while !left.is_empty() {
        rounds += 1;
        let mut taken = Vec::new();
        for conn in &left {
            match updates.next(&core.record, *conn, 0, rounds * 300) {
                NextUpdate::Send(u) => {
                    taken.push((*conn, u.revision));
                    told.push(u);
                }
                due => assert_eq!(due, NextUpdate::Withheld),
            }
        }
        assert!(updates.in_flight() <= MAX_IN_FLIGHT);
        assert!(!taken.is_empty(), "someone is always served");
        for (conn, revision) in taken {
            assert_eq!(
                updates.next(&core.record, conn, revision, rounds * 300),
                NextUpdate::UpToDate
            );
            left.retain(|c| *c != conn);
        }
    }
    assert_eq!(told.len(), 93);
    assert!(told.iter().all(|u| Arc::ptr_eq(&u.bytes, &told[0].bytes)));
}

/// What waits for a connection is bounded in bytes, whatever the frames' size.
#[test]
fn a_queue_holds_so_many_bytes_and_no_more() {
    let (out, queued) = net::queue();
    let frame = vec![0; 1 << 20];
    let fitted = (0..20).filter(|_| out.push(frame.clone()) == Some(true));
    assert_eq!(fitted.count(), 4);
    let first = async_std::task::block_on(queued.next()).expect("a frame waits");
    assert_eq!(
        out.push(frame.clone()),
        Some(false),
        "it is not written yet"
    );
    queued.done(&first);
    assert_eq!(out.push(frame.clone()), Some(true));
    // a single frame of any size may go
    let (out, _queued) = net::queue();
    assert_eq!(out.push(vec![0; 9 << 20]), Some(true));
    assert_eq!(out.push(vec![0; 1]), Some(false));
    let (out, queued) = net::queue();
    drop(queued);
    assert_eq!(out.push(vec![0; 1]), None, "the connection is gone");
}
