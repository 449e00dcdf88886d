//! Edges that start while a core is partitioned.

use super::*;

/// The longest time that an edge may serve by an unverified state while it can reach
/// another core.
const UNVERIFIED_MS: Millis = 1000;

/// How long edges that start while a core is partitioned serve by a version older
/// than the one acknowledged before they started.
fn old_after_start(seed: u64, cut: Partition) -> Millis {
    let mut world = site(seed, press(), 0);
    let isolated_core = world.leader().expect("led");
    world.partition_core(isolated_core, cut);
    world.run_for(3000);
    let mut monitor = FreshnessMonitor::default();
    monitor.run(&mut world, 1500);
    let acknowledged = monitor
        .proposals
        .iter()
        .filter_map(|proposal| proposal.acknowledged);
    let newest = acknowledged
        .map(|(_, version)| version)
        .max()
        .expect("an acknowledged change");
    world.run_for(1000);
    for e in world.edges() {
        world.crash(e);
        world.start(e);
    }
    let mut old = 0;
    for _ in 0..200 {
        world.run_for(20);
        let serves_old = |e: &usize| {
            let ready = world
                .edge_controller(*e)
                .is_some_and(|controller| controller.ready().is_ok());
            ready && world.version_at(*e) < Some(newest)
        };
        old += 20 * u64::from(world.edges().iter().any(serves_old));
    }
    let fresh = |e: &usize| world.version_at(*e) >= Some(newest);
    assert!(
        world.edges().iter().all(fresh),
        "seed {seed}: some edge lacks the newest version"
    );
    old
}

/// A starting edge uses no stale state of a partitioned core, or, if that core has
/// restarted too, only for a limited time.
#[test]
fn a_starting_edge_uses_no_stale_state_for_long() {
    let most = |cut: Partition| seeds(9200..9206).map(|s| old_after_start(s, cut)).max();
    for cut in [
        Partition::Blackhole,
        Partition::OutboundBlocked,
        Partition::InboundBlocked,
        Partition::Reset,
    ] {
        let old = most(cut);
        println!("{cut:?}: old for {old:?} ms");
        assert_eq!(old, Some(0));
    }
    let restarted = most(Partition::Restarted);
    println!("Restarted: old for {restarted:?} ms");
    assert!(restarted <= Some(UNVERIFIED_MS));
    disable_only(Some(Invariant::ConfirmedStateOnly));
    let broken = most(Partition::Blackhole);
    disable_only(None);
    println!("with unverified state accepted at once: old for {broken:?} ms");
    assert!(broken > Some(0));
}
