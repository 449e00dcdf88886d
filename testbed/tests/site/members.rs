//! Who is a member: dead, frozen and one-way-cut nodes, and flapping ones.

use super::*;

fn listed(w: &World, name: &str) -> bool {
    let e = w
        .edges()
        .into_iter()
        .find(|e| w.procs[*e].name != name && w.procs[*e].up);
    e.and_then(|e| w.edge_controller(e)).is_some_and(|h| {
        let all = h.cluster.edges_for(None, false, "k");
        all.iter().any(|n| n == name)
    })
}

/// An edge that hears nothing, though it is heard, stops serving with its
/// permit, and goes on through another core.
#[test]
fn an_edge_cut_one_way_moves_to_another_core() {
    for seed in 1300..1315 {
        let mut w = world(seed);
        let end = w.now + 12_000;
        w.traffic(60, end, |_, _| true);
        let e = w.edges()[w.rng.below(9) as usize];
        let at = w.edge_controller(e).and_then(|h| h.pull.dialled);
        let core = w.cores().into_iter().find(|c| w.procs[*c].addr == at);
        let core = core.expect("an edge that serves has a core");
        w.cuts.insert((core, e));
        let from = w.now;
        let moved = w.run_until(from + 6000, |w| {
            let h = w.edge_controller(e).expect("the edge is up");
            h.pull.dialled != at && h.ready().is_ok()
        });
        assert!(moved, "seed {seed}: it serves again through another core");
        println!(
            "seed {seed}: serving through another core after {} ms",
            w.now - from
        );
        w.run_for(40_000);
        sound(&w, seed);
    }
}

/// Dead, frozen or cut off: callers are no longer sent there, and are again
/// once it is back; a short freeze changes nothing.
#[test]
fn callers_are_not_sent_to_edges_that_do_not_serve() {
    for seed in 1400..1410 {
        for how in 0..3 {
            let mut w = world(seed);
            let e = w.edges()[4];
            let name = w.procs[e].name.clone();
            assert!(listed(&w, &name));
            match how {
                0 => w.crash(e),
                1 => w.freeze(e, 8000, false),
                _ => w.isolate(e),
            }
            let from = w.now;
            // a caller sent to it meanwhile loses its time, so it must be soon
            let end = from + 2500;
            let gone = w.run_until(end, |w| !listed(w, &name));
            assert!(gone, "seed {seed}, {how}");
            println!("seed {seed}, {how}: off the list after {} ms", w.now - from);
            w.cuts.clear();
            if how == 0 {
                w.start(e);
            }
            let end = w.now + 14_000;
            assert!(w.run_until(end, |w| listed(w, &name)), "seed {seed}, {how}");
        }
        let mut w = world(seed);
        let e = w.edges()[4];
        let name = w.procs[e].name.clone();
        for _ in 0..10 {
            w.freeze(e, 350, false);
            for _ in 0..8 {
                w.run_for(100);
                assert!(listed(&w, &name), "a short pause is no death");
            }
        }
    }
}

/// Every edge comes to a core of its own region, where there is one, and
/// those of a region spread over its cores.
#[test]
fn edges_keep_to_cores_of_their_own_region() {
    for seed in 1500..1510 {
        let mut w = world(seed);
        w.run_for(2000);
        let at = |w: &World, e: usize| {
            let a = w.edge_controller(e).and_then(|h| h.pull.dialled);
            w.cores().into_iter().find(|c| w.procs[*c].addr == a)
        };
        for e in w.edges() {
            let c = at(&w, e).expect("a session");
            assert_eq!(w.procs[c].region, w.procs[e].region, "seed {seed}");
        }
        // its core lost, an edge goes on elsewhere, and comes back later
        let e = w.edges()[0];
        let c = at(&w, e).expect("a session");
        w.crash(c);
        w.run_for(4000);
        assert!(
            w.edge_controller(e).is_some_and(|h| h.ready().is_ok()),
            "seed {seed}"
        );
        w.start(c);
        w.run_for(14_000);
        let now = at(&w, e).expect("a session");
        assert_eq!(w.procs[now].region, w.procs[e].region, "seed {seed}");
    }
}
