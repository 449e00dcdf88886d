//! Edges that start while a core is cut off.

use super::*;

/// The longest that a record which is not proved current may be served where
/// another core can be asked.
const UNVERIFIED_MS: Millis = 1000;

/// The longest that edges which start while a core is cut off serve by
/// something older than was acknowledged before they started.
fn old_after_start(seed: u64, cut: Cut) -> Millis {
    let mut w = site(seed, press(), 0);
    let cut_off = w.leader().expect("led");
    w.cut_off(cut_off, cut);
    w.run_for(3000);
    let mut watch = Watch::default();
    watch.run(&mut w, 1500);
    let acked = watch.orders.iter().filter_map(|o| o.acked);
    let newest = acked.map(|(_, version)| version).max().expect("an order");
    w.run_for(1000);
    for e in w.edges() {
        w.crash(e);
        w.start(e);
    }
    let mut old = 0;
    for _ in 0..200 {
        w.run_for(20);
        let serves_old = |e: &usize| {
            let ready = w.edge_controller(*e).is_some_and(|h| h.ready().is_ok());
            ready && w.version_at(*e) < Some(newest)
        };
        old += 20 * u64::from(w.edges().iter().any(serves_old));
    }
    let fresh = |e: &usize| w.version_at(*e) >= Some(newest);
    assert!(w.edges().iter().all(fresh), "seed {seed}: all are fresh");
    old
}

/// An edge that starts takes no old record from a core behind a cut, or, where
/// that core has started too, only until another has been asked.
#[test]
fn an_edge_that_starts_goes_by_no_old_record_for_long() {
    let most = |cut: Cut| seeds(9200..9206).map(|s| old_after_start(s, cut)).max();
    for cut in [Cut::Silent, Cut::Mute, Cut::Deaf, Cut::Reset] {
        let old = most(cut);
        println!("{cut:?}: old for {old:?} ms");
        assert_eq!(old, Some(0));
    }
    let restarted = most(Cut::Restarted);
    println!("Restarted: old for {restarted:?} ms");
    assert!(restarted <= Some(UNVERIFIED_MS));
    break_only(Some(Invariant::Unverified));
    let broken = most(Cut::Silent);
    break_only(None);
    println!("any record: old for {broken:?} ms");
    assert!(broken > Some(0));
}
