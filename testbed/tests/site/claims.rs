//! Claims on request ids, where they could be lost, kept too long, or tie.

use super::*;
use sorreldoor::error::ErrorCode;
use testbed::site::ClaimsTraffic;

/// A core is lost for good while another was partitioned; its blank follower can
/// hear only of that one, which missed what was claimed meanwhile.
pub fn blank_core_reaches_one_peer_only(seed: u64) -> World {
    let mut world = World::ready(seed, press());
    let cores = world.cores();
    let (a, b, c) = (cores[0], cores[1], cores[2]);
    world.partition_pair(a, b);
    world.partition_pair(b, c);
    for e in world.edges() {
        world.partition_pair(e, b);
    }
    world.run_for(4000);
    let end = world.now + 8000;
    world.traffic(80, end, |_, _| true);
    world.run_for(9000);
    let ran: Vec<u64> = world
        .clients
        .iter()
        .filter(|(_, c)| c.route != "page" && c.stream_started | ok(&c.outcome))
        .map(|(n, _)| *n)
        .collect();
    world.crash(c);
    // edges would tell what they sent; these have forgotten it
    for e in world.edges() {
        world.crash(e);
        world.start(e);
    }
    world.blocked_links.clear();
    let d = world.replace_core(c);
    world.partition_pair(a, d);
    let id = world.processes[d].id;
    let end = world.now + 60_000;
    let seated = world.run_until(end, |world| {
        world
            .controller(b)
            .and_then(|controller| controller.consensus())
            .is_some_and(|x| {
                let voters = x.members().iter().filter(|m| m.voter);
                let ids: Vec<u64> = voters.map(|m| m.id).collect();
                // until its change has ended, the lost core still counts
                ids.len() == 3 && ids.contains(&id) && x.has_stable_membership()
            })
    });
    // it gets no membership where the core that it cannot reach leads
    if seated {
        world.isolate(a);
        world.run_for(4000);
        for n in ran.into_iter().take(60) {
            let e = world.edges()[world.rng.below(9) as usize];
            world.retry_request(n, e);
            world.run_for(20);
        }
        world.run_for(30_000);
    }
    world.heal();
    world.run_for(60_000);
    world
}

#[test]
fn a_blank_core_denies_no_claim_it_has_not_learned() {
    let mut retried_count = 0;
    for seed in seeds(3000..3060) {
        let world = blank_core_reaches_one_peer_only(seed);
        retried_count += world.clients.values().filter(|c| c.retried).count();
        assert_no_violations(&world, seed);
    }
    println!("{retried_count} ids asked again");
    assert!(retried_count > 200);
}

/// Room for claims runs out: requests are shed with a time to come back, none
/// is forgotten, and once their time is over there is room again.
#[test]
fn without_capacity_for_claims_requests_are_shed_and_none_forgotten() {
    for seed in seeds(3300..3304) {
        let doc = testbed::fleet::configuration(&press());
        let mut world =
            World::ready_customized(seed, press(), &doc, |world| world.max_claims = 120);
        let end = world.now + 8000;
        world.traffic(80, end, |_, _| true);
        world.run_for(12_000);
        let full = |c: &&testbed::site::Client| {
            c.outcome == ClientOutcome::Rejected(ErrorCode::ClaimTableFull)
        };
        let rejected = world.clients.values().filter(full).count();
        assert!(rejected > 100, "seed {seed}: {rejected}");
        let old: Vec<u64> = world.clients.keys().copied().collect();
        for n in old.into_iter().take(150) {
            let e = world.edges()[world.rng.below(9) as usize];
            world.retry_request(n, e);
            world.run_for(10);
        }
        world.run_for(60_000);
        assert_no_violations(&world, seed);
        // cutoff and the time on top are over for all
        world.run_for(370_000);
        let before = world.clients.len();
        let end = world.now + 500;
        world.traffic(80, end, |_, _| true);
        world.run_for(30_000);
        let late = world.clients.values().skip(before);
        assert!(late.filter(full).count() == 0, "seed {seed}");
        assert_no_violations(&world, seed);
    }
}

/// What was shed without having run may come back under its id: nobody is
/// told that it was taken, however messages about it were lost or late.
#[test]
fn what_never_executed_is_not_claimed_for_ever() {
    let mut rejected_as_duplicate = 0;
    for seed in seeds(3100..3120) {
        let mut world = ready_world(seed);
        for k in 0..world.workers.len() {
            for e in world.edges() {
                world.blocked_worker_links.insert((e, k));
            }
        }
        let end = world.now + 10_000;
        world.traffic(40, end, |_, _| true);
        while world.now < end {
            // sessions are cut while claims and their ends are on the way
            let (e, c) = (
                world.edges()[world.rng.below(9) as usize],
                world.cores()[world.rng.below(3) as usize],
            );
            if world.rng.chance(50) {
                world.partition_pair(e, c);
            } else {
                let d = world.cores()[world.rng.below(3) as usize];
                if c != d {
                    world.partition_pair(c, d);
                }
            }
            world.run_for(400);
            if world.rng.chance(60) {
                world.blocked_links.clear();
            }
        }
        world.blocked_links.clear();
        world.run_for(15_000);
        world.blocked_worker_links.clear();
        world.run_for(3000);
        let not_executed: Vec<u64> = world
            .clients
            .iter()
            .filter(|(_, c)| c.route != "page" && c.outcome.promises_not_executed())
            .map(|(n, _)| *n)
            .collect();
        assert!(not_executed.len() > 50, "{}", not_executed.len());
        let mut retried = Vec::new();
        for n in not_executed {
            let e = world.edges()[world.rng.below(9) as usize];
            retried.push(world.retry_request(n, e));
            world.run_for(15);
        }
        world.run_for(70_000);
        assert_no_violations(&world, seed);
        for n in retried {
            rejected_as_duplicate += usize::from(
                world.clients[&n].outcome == ClientOutcome::Rejected(ErrorCode::DuplicateRequestId),
            );
        }
    }
    println!("{rejected_as_duplicate} told that it was taken");
    assert_eq!(rejected_as_duplicate, 0);
}

/// One id at two edges at the same moment, all cores up or one of them lost:
/// it runs once, and neither waits long.
#[test]
fn of_two_edges_racing_for_one_id_one_wins() {
    for lost in [false, true] {
        let (mut slow, mut both, mut one) = (0, 0, 0);
        for seed in seeds(3200..3230) {
            let mut world = ready_world(seed);
            if lost {
                let c = world.cores()[(seed % 3) as usize];
                world.crash(c);
                world.run_for(4000);
            }
            for _ in 0..20 {
                let (e, f) = (
                    world.edges()[world.rng.below(9) as usize],
                    world.edges()[world.rng.below(9) as usize],
                );
                if e == f {
                    continue;
                }
                let n = world.send_request(e, "verdict", "k", None);
                let wait = world.rng.below(30);
                world.run_for(wait);
                let m = world.retry_request(n, f);
                world.run_for(6000);
                let (a, b) = (&world.clients[&n], &world.clients[&m]);
                let served = usize::from(ok(&a.outcome)) + usize::from(ok(&b.outcome));
                one += usize::from(served == 1);
                both += usize::from(served == 0);
                let done = if ok(&a.outcome) {
                    a.end - a.start
                } else {
                    b.end - b.start
                };
                slow = slow.max(done);
            }
            assert_no_violations(&world, seed);
        }
        println!("one core lost: {lost}; one served {one}, none {both}; slowest {slow} ms");
        assert!(one > 300 && both * 20 <= one, "{one} {both}");
        assert!(slow <= 2500, "{slow}");
    }
}

/// What claims cost, on pairs of runs with and without clients' own ids.
#[test]
fn claims_cost_little() {
    for (name, preset) in [("press", press()), ("archive", archive())] {
        let mut mean_latency = [0u64; 2];
        let (mut traffic_sum, mut n) = (ClaimsTraffic::default(), 0);
        let mut seeds_run = 0;
        for seed in seeds(0..4) {
            seeds_run += 1;
            for client_chosen_ids in [false, true] {
                let doc = testbed::fleet::configuration(&preset);
                let mut world = World::ready_customized(seed, preset.clone(), &doc, |world| {
                    world.client_chosen_ids = client_chosen_ids
                });
                let was = world.claims_traffic;
                let end = world.now + 8000;
                world.traffic(60, end, |_, _| true);
                world.run_for(20_000);
                let all = world
                    .clients
                    .values()
                    .filter(|c| c.route != "page" && ok(&c.outcome));
                let (k, sum) = all.fold((0, 0), |(k, s), c| (k + 1, s + c.end - c.start));
                mean_latency[usize::from(client_chosen_ids)] += sum * 100 / k;
                if client_chosen_ids {
                    let spent = world.claims_traffic;
                    n += k;
                    traffic_sum.frames += spent.frames - was.frames;
                    traffic_sum.frame_bytes += spent.frame_bytes - was.frame_bytes;
                    traffic_sum.disk_bytes += spent.disk_bytes - was.disk_bytes;
                }
            }
        }
        let [without, with] = mean_latency.map(|t| t / seeds_run);
        println!(
            "{name}: {} frames and {} bytes sent, {} bytes synced an errand; mean {}.{:02} ms against {}.{:02} ms",
            traffic_sum.frames / n, traffic_sum.frame_bytes / n, traffic_sum.disk_bytes / n, with / 100, with % 100, without / 100, without % 100
        );
        assert!(
            traffic_sum.frames / n <= 16 && with < without + 4000,
            "{traffic_sum:?} {with} {without}"
        );
    }
}
