//! Traffic of an idle site, the list of workers that only the holder of the singleton
//! role reads, and edges that serve by unverified state.

use super::*;
use sorreldoor::discovery::{Worker, WorkerRegistry};
use sorreldoor::pacing::Pacing;

fn frugal() -> Pacing {
    Pacing {
        tick_ms: 50,
        heartbeat_ms: Some(250),
        renew_ms: 1000,
        hedge_ms: 400,
        ping_ms: 500,
        read_batch_ms: 200,
        poll_worker_loads: false,
        read_peer_claims: false,
        forward_edge_reports: false,
        unverified_after_ms: None,
    }
}

fn world_with(seed: u64, f: impl FnOnce(&mut World)) -> World {
    let preset = press();
    let doc = testbed::fleet::configuration(&preset);
    World::ready_customized(seed, preset, &doc, f)
}

/// Bytes per second: of an edge in both directions, and of a core to other cores.
fn rates(world: &mut World) -> (u64, u64) {
    world.bytes.clear();
    world.run_for(20_000);
    let core = |p: usize| world.processes[p].core;
    let (mut e, mut c) = (0, 0);
    for ((a, b), n) in &world.bytes {
        *(if core(*a) && core(*b) { &mut c } else { &mut e }) += n;
    }
    let (es, cs) = (world.edges().len() as u64, world.cores().len() as u64);
    (e / 20 / es, c / 20 / cs)
}

#[test]
fn an_idle_site_sends_little() {
    let mut world = world_with(2, |_| {});
    let (e, c) = rates(&mut world);
    println!("usual: an edge {e} B/s both ways, a core {c} B/s to cores");
    assert!(e < 4500 && c < 13_000, "{e} {c}");
    let mut world = world_with(2, |world| {
        world.pacing = frugal();
        world.singleton_poll_ms = Some(1000);
    });
    let (e, c) = rates(&mut world);
    println!("frugal: an edge {e} B/s both ways, a core {c} B/s to cores");
    assert!(e < 250 && c < 4000, "{e} {c}");
    assert_no_violations(&world, 2);
}

/// Requests in flight at an edge cause no updates to other edges.
#[test]
fn edges_get_no_loads_of_other_edges() {
    for pacing in [Pacing::default(), frugal()] {
        let mut world = world_with(4, |world| world.pacing = pacing);
        let e = world.edges()[0];
        let at = |world: &World| {
            world
                .edge_controller(e)
                .map(|controller| controller.pull.known_versions.edge_sessions)
        };
        let was = at(&world);
        let end = world.now + 5000;
        world.traffic(60, end, |_, _| true);
        world.run_for(20_000);
        assert_eq!(at(&world), was);
        let (edge_sessions, n) = (
            &world
                .edge_controller(e)
                .expect("up")
                .cluster
                .snapshot
                .edge_sessions
                .1,
            world.edges().len(),
        );
        assert_eq!(edge_sessions.iter().filter(|p| p.ready).count(), n);
        assert_no_violations(&world, 4);
    }
}

fn version(world: &World, e: usize) -> u64 {
    world
        .edge_controller(e)
        .map_or(0, |controller| controller.cluster.snapshot.registry.version)
}

fn singleton_holder(world: &World) -> Option<usize> {
    let on = |c: &usize| {
        world
            .controller(*c)
            .is_some_and(|controller| controller.holds_singleton_role())
    };
    world.cores().into_iter().find(on)
}

/// One core reads the list; a changed list reaches every edge soon, and after the
/// holder crashes another core reads it, under newer versions.
#[test]
fn only_the_singleton_holder_reads_the_registry() {
    for seed in seeds(7800..7806) {
        let mut world = world_with(seed, |world| {
            world.singleton_poll_ms = Some(1000);
            world.pacing = Pacing {
                poll_worker_loads: true,
                ..frugal()
            };
        });
        world.run_for(3000);
        let e = world.edges()[0];
        let first = version(&world, e);
        assert!(first >> 32 > 0, "seed {seed}: {first:x}");
        let registry_reads = world.registry_reads;
        world.run_for(10_000);
        let n = world.registry_reads - registry_reads;
        assert!((7..=11).contains(&n), "seed {seed}: {n} reads in 10 s");
        assert_eq!(
            version(&world, e),
            first,
            "an unchanged list got a new version"
        );
        let k = world.worker("north-gpu0");
        world.drain_worker(k);
        let from = world.now;
        let all_updated = |world: &World| world.edges().iter().all(|e| version(world, *e) > first);
        assert!(world.run_until(from + 1400, all_updated), "seed {seed}");
        println!("seed {seed}: at every edge after {} ms", world.now - from);
        let second = version(&world, e);
        // the holder crashes, and restarts at once or stays down
        let holder = singleton_holder(&world).expect("a core holds the singleton role");
        world.crash(holder);
        if seed % 2 == 0 {
            world.start(holder);
        }
        world.run_for(8000);
        let registry_reads = world.registry_reads;
        world.run_for(5000);
        assert!(
            world.registry_reads > registry_reads + 2,
            "seed {seed}: no core reads the list any more"
        );
        let all = world.edges();
        let newer = all.iter().all(|e| version(&world, *e) > second);
        assert!(newer, "seed {seed}: the new holder's list is not newer");
        assert_no_violations(&world, seed);
    }
}

fn warming_worker(cold_ms: u64) -> Worker {
    Worker {
        name: "w".into(),
        addr: ([127, 0, 0, 1], 1).into(),
        group: "g".into(),
        zone: 0,
        region: 0,
        leaving: false,
        slots: 4,
        cold_ms,
        leaves_ms: None,
        software_version: "1".into(),
    }
}

/// Remaining times that only elapsed are no change; a later end is one.
#[test]
fn an_unchanged_registry_gets_no_new_version() {
    let version = 1;
    let workers = vec![warming_worker(5000)];
    let r = WorkerRegistry { version, workers };
    assert!(r.is_unchanged_in(&[warming_worker(5000)], 0));
    assert!(r.is_unchanged_in(&[warming_worker(3000)], 2000));
    assert!(r.is_unchanged_in(&[warming_worker(0)], 5000));
    // it became cold again
    assert!(!r.is_unchanged_in(&[warming_worker(5000)], 4500));
    assert!(!r.is_unchanged_in(&[], 0));
    let left = Worker {
        leaves_ms: Some(900),
        ..warming_worker(5000)
    };
    assert!(!r.is_unchanged_in(&[left], 0));
    assert_eq!(r.aged(1500).workers[0].cold_ms, 3500);
}

/// With two of three cores down, an edge that starts serves by the third's unverified
/// state, and edges that had verified state stop serving; once a quorum is back, edges
/// accept only verified state again.
#[test]
fn an_edge_without_state_accepts_unverified_state() {
    for seed in seeds(7900..7910) {
        let mut world = world_with(seed, |world| world.pacing.unverified_after_ms = Some(3000));
        let all = world.cores();
        let (fresh, old) = (world.edges()[0], world.edges()[1]);
        world.crash(all[0]);
        world.crash(all[1]);
        world.crash(fresh);
        world.run_for(4000);
        world.start(fresh);
        let ready = |world: &World, e: usize| {
            world
                .edge_controller(e)
                .is_some_and(|controller| controller.ready().is_ok())
        };
        world.run_for(2500);
        assert!(
            !ready(&world, fresh),
            "seed {seed}: served before the configured delay"
        );
        let end = world.now + 12_000;
        assert!(
            world.run_until(end, |world| ready(world, fresh)),
            "seed {seed}"
        );
        println!(
            "seed {seed}: serves after {} ms",
            2500 + world.now + 12_000 - end
        );
        world.run_for(5000);
        assert!(ready(&world, fresh), "seed {seed}: stopped serving");
        assert!(
            !ready(&world, old),
            "seed {seed}: served without a proof after having had one"
        );
        world.start(all[0]);
        world.start(all[1]);
        let end = world.now + 8000;
        let both = |world: &World| ready(world, old) && ready(world, fresh);
        assert!(world.run_until(end, both), "seed {seed}");
        // an edge that has had verified state accepts no other
        world.run_for(1000);
        world.crash(all[0]);
        world.crash(all[1]);
        world.run_for(5000);
        assert!(
            !ready(&world, fresh),
            "seed {seed}: served without a proof after having had one"
        );
        assert_no_violations(&world, seed);
    }
}

/// Without the setting an edge serves no unverified state.
#[test]
fn unverified_state_is_accepted_only_where_configured() {
    let mut world = world_with(3, |_| {});
    let all = world.cores();
    let e = world.edges()[0];
    world.crash(all[0]);
    world.crash(all[1]);
    world.crash(e);
    world.start(e);
    world.run_for(60_000);
    assert!(world
        .edge_controller(e)
        .is_some_and(|controller| controller.ready().is_err()));
}
