//! Changes by operators and the platform: when edges and cores must apply them.

use super::*;

#[test]
fn a_draining_worker_gets_nothing_new() {
    for seed in seeds(400..420) {
        let mut world = ready_world(seed);
        let end = world.now + 15_000;
        world.traffic(80, end, |_, _| true);
        world.run_for(2000);
        let k = world.rng.below(world.workers.len() as u64) as usize;
        world.drain_worker(k);
        let e = world.edges()[3];
        world.isolate(e);
        world.run_for(6000);
        world.blocked_links.clear();
        world.run_for(40_000);
        assert_no_violations(&world, seed);
        let left = world.draining_since[&k];
        let late = world
            .forwarded
            .iter()
            .filter(|request| request.worker == k && request.at > left);
        let last = late.map(|request| request.at - left).max().unwrap_or(0);
        println!("seed {seed}: last new request {last} ms after the worker was listed as draining");
    }
}

#[test]
fn an_evacuated_zone_gets_nothing_until_it_is_readmitted() {
    for seed in seeds(500..520) {
        let mut world = ready_world(seed);
        let end = world.now + 25_000;
        world.traffic(80, end, |_, _| true);
        world.run_for(1000);
        let zone = world.rng.below(3) as u16;
        let at = world.edges()[0];
        let frozen = world.edges()[4];
        world.freeze(frozen, 4000, seed % 3 == 0);
        let c = world.change(at, zone_change(1, zone, true));
        world.run_for(9000);
        assert!(world.changes[c].outcome.is_some());
        let back = zone_change(2, zone, false);
        world.change(at, back);
        let from = world.now;
        world.run_for(5000);
        let served_again = world
            .forwarded
            .iter()
            .any(|request| request.at > from && world.workers[request.worker].zone == zone);
        assert!(
            served_again,
            "seed {seed}: the readmitted zone got no request within 5 s"
        );
        world.run_for(40_000);
        assert_no_violations(&world, seed);
    }
}

#[test]
fn a_new_configuration_holds_everywhere_within_three_seconds() {
    for seed in seeds(600..630) {
        let mut world = ready_world(seed);
        let end = world.now + 12_000;
        world.traffic(120, end, |_, _| true);
        world.run_for(500);
        // isolate an edge, freeze two, and crash the leader right after the acknowledgement
        let (a, b, c) = (world.edges()[1], world.edges()[5], world.edges()[8]);
        world.isolate(a);
        world.freeze(b, 4000, true);
        world.freeze(c, 2500, false);
        let at = world.edges()[0];
        let p = world.change(at, zone_change(1, 0, true));
        let end = world.now + 5000;
        world.run_until(end, |world| world.changes[p].outcome.is_some());
        let l = world.leader().unwrap_or(0);
        world.crash(l);
        world.run_for(5000);
        world.heal();
        world.run_for(45_000);
        assert_no_violations(&world, seed);
    }
}

#[test]
fn a_full_restart_after_an_acknowledgement_loses_nothing() {
    for seed in seeds(700..730) {
        let mut world = ready_world(seed);
        for i in 0..4 {
            let p = world.rng.below(world.processes.len() as u64) as usize;
            let zone = world.rng.below(3) as u16;
            world.change(p, zone_change(1 + i, zone, i % 2 == 0));
            let wait = world.rng.below(400);
            world.run_for(wait);
        }
        // all processes crash, and one core does not return
        let lost = world.cores()[world.rng.below(3) as usize];
        for p in 0..world.processes.len() {
            world.crash(p);
        }
        for p in 0..world.processes.len() {
            if p != lost {
                world.start(p);
            }
        }
        world.run_for(8000);
        assert_no_violations(&world, seed);
        assert!(
            world.leader().is_some(),
            "seed {seed}: two of three cores have no leader"
        );
        for e in world.edges() {
            let controller = world.edge_controller(e).expect("edges are up");
            assert!(
                controller.ready().is_ok()
                    || controller.cluster.is_evacuated(controller.cluster.zone),
                "seed {seed}"
            );
        }
    }
}

#[test]
fn of_racing_changes_at_most_one_is_committed() {
    for seed in seeds(800..830) {
        let mut world = ready_world(seed);
        for round in 0..20u64 {
            let version = world
                .cores()
                .into_iter()
                .filter_map(|c| {
                    world
                        .controller(c)
                        .and_then(|controller| controller.consensus())
                })
                .map(|a| a.state_machine().version())
                .max()
                .unwrap_or(0);
            for _ in 0..3 {
                let p = world.rng.below(world.processes.len() as u64) as usize;
                let zone = world.rng.below(3) as u16;
                let cmd = zone_change(version, zone, false);
                world.change(p, cmd);
            }
            world.run_for(150);
            if round == 7 {
                let l = world.leader().unwrap_or(0);
                world.crash(l);
                world.after(1500, move |world| world.start(l));
            }
        }
        world.run_for(8000);
        assert_no_violations(&world, seed);
        let won = world
            .cores()
            .into_iter()
            .filter_map(|c| world.controller(c));
        let top = won
            .filter_map(|controller| controller.consensus())
            .map(|a| a.state_machine().version());
        let top = top.max().unwrap_or(0);
        assert!(
            top > 8,
            "seed {seed}: expected more than 8 versions, got {top}"
        );
    }
}

#[test]
fn a_core_is_replaced_by_a_blank_one_at_a_new_address() {
    // 10913: the leader crashes after removing the lost core, before the other core
    // has received the removal
    for seed in seeds(900..915).chain([10_913]) {
        let mut world = ready_world(seed);
        let lost = world.cores()[world.rng.below(3) as usize];
        world.crash(lost);
        let new = world.replace_core(lost);
        let end = world.now + 40_000;
        for i in 0..200 {
            let p = world.cores()[(i % 3) as usize];
            world.after(i * 150, move |world| {
                let version = world
                    .controller(p)
                    .and_then(|controller| controller.consensus());
                let base = version.map_or(0, |a| a.state_machine().version());
                let cmd = zone_change(base, 0, false);
                world.change(p, cmd);
            });
        }
        let id = world.processes[new].id;
        let lost_id = world.processes[lost].id;
        let done = world.run_until(end, |world| {
            world
                .controller(new)
                .and_then(|controller| controller.consensus())
                .is_some_and(|a| {
                    let seats = a.members().iter();
                    let voters: Vec<u64> = seats.filter(|m| m.voter).map(|m| m.id).collect();
                    let replaced = voters.contains(&id) && !voters.contains(&lost_id);
                    // until the membership change is complete, the lost core still counts
                    replaced && voters.len() == 3 && a.has_stable_membership()
                })
        });
        assert!(
            done,
            "seed {seed}: the new core has not replaced the lost one"
        );
        // another core may be lost now
        let other = world.cores().into_iter().find(|c| *c != lost && *c != new);
        world.crash(other.unwrap_or(0));
        world.run_for(3000);
        let l = world.leader();
        assert!(l.is_some(), "seed {seed}: no leader with the new core");
        world.run_for(40_000);
        assert_no_violations(&world, seed);
    }
}
