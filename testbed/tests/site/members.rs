//! Edges' sessions and the list of ready edges, with crashed, frozen and partitioned
//! nodes.

use super::*;

fn listed(world: &World, name: &str) -> bool {
    let e = world
        .edges()
        .into_iter()
        .find(|e| world.processes[*e].name != name && world.processes[*e].up);
    e.and_then(|e| world.edge_controller(e))
        .is_some_and(|controller| {
            let all = controller.cluster.edges_for(None, false, "k");
            all.iter().any(|n| n == name)
        })
}

/// An edge that its core's frames do not reach opens a session at another core and
/// serves again.
#[test]
fn an_edge_behind_a_one_way_partition_moves_to_another_core() {
    for seed in 1300..1315 {
        let mut world = ready_world(seed);
        let end = world.now + 12_000;
        world.traffic(60, end, |_, _| true);
        let e = world.edges()[world.rng.below(9) as usize];
        let at = world
            .edge_controller(e)
            .and_then(|controller| controller.pull.session_addr);
        let core = world
            .cores()
            .into_iter()
            .find(|c| world.processes[*c].addr == at);
        let core = core.expect("an edge that serves has a core");
        world.blocked_links.insert((core, e));
        let from = world.now;
        let redirected = world.run_until(from + 6000, |world| {
            let controller = world.edge_controller(e).expect("the edge is up");
            controller.pull.session_addr != at && controller.ready().is_ok()
        });
        assert!(
            redirected,
            "seed {seed}: the edge does not serve through another core"
        );
        println!(
            "seed {seed}: serving through another core after {} ms",
            world.now - from
        );
        world.run_for(40_000);
        assert_no_violations(&world, seed);
    }
}

/// A crashed, frozen or partitioned edge is taken off the list until it serves again; a
/// short freeze does not take it off.
#[test]
fn clients_are_not_redirected_to_edges_that_do_not_serve() {
    for seed in 1400..1410 {
        for how in 0..3 {
            let mut world = ready_world(seed);
            let e = world.edges()[4];
            let name = world.processes[e].name.clone();
            assert!(listed(&world, &name));
            match how {
                0 => world.crash(e),
                1 => world.freeze(e, 8000, false),
                _ => world.isolate(e),
            }
            let from = world.now;
            // clients redirected to it meanwhile wait in vain, so the limit is short
            let end = from + 2500;
            let unlisted = world.run_until(end, |world| !listed(world, &name));
            assert!(unlisted, "seed {seed}, {how}");
            println!(
                "seed {seed}, {how}: off the list after {} ms",
                world.now - from
            );
            world.blocked_links.clear();
            if how == 0 {
                world.start(e);
            }
            let end = world.now + 14_000;
            assert!(
                world.run_until(end, |world| listed(world, &name)),
                "seed {seed}, {how}"
            );
        }
        let mut world = ready_world(seed);
        let e = world.edges()[4];
        let name = world.processes[e].name.clone();
        for _ in 0..10 {
            world.freeze(e, 350, false);
            for _ in 0..8 {
                world.run_for(100);
                assert!(
                    listed(&world, &name),
                    "an edge was unlisted after a short freeze"
                );
            }
        }
    }
}

/// Every edge has its session at a core of its own region if there is one, and returns
/// there after using another.
#[test]
fn edges_prefer_cores_of_their_own_region() {
    for seed in 1500..1510 {
        let mut world = ready_world(seed);
        world.run_for(2000);
        let at = |world: &World, e: usize| {
            let a = world
                .edge_controller(e)
                .and_then(|controller| controller.pull.session_addr);
            world
                .cores()
                .into_iter()
                .find(|c| world.processes[*c].addr == a)
        };
        for e in world.edges() {
            let c = at(&world, e).expect("a session");
            assert_eq!(
                world.processes[c].region, world.processes[e].region,
                "seed {seed}"
            );
        }
        // an edge serves elsewhere while its core is down, and returns later
        let e = world.edges()[0];
        let c = at(&world, e).expect("a session");
        world.crash(c);
        world.run_for(4000);
        assert!(
            world
                .edge_controller(e)
                .is_some_and(|controller| controller.ready().is_ok()),
            "seed {seed}"
        );
        world.start(c);
        world.run_for(14_000);
        let now = at(&world, e).expect("a session");
        assert_eq!(
            world.processes[now].region, world.processes[e].region,
            "seed {seed}"
        );
    }
}
