//! Idempotency claims: none is lost or kept too long, and one of two racing requests
//! wins.

use super::*;
use sorreldoor::error::ErrorCode;
use testbed::site::ClaimsTraffic;

/// A core is lost for good after another was partitioned; the blank core that replaces
/// it can reach only the latter, which missed the claims made meanwhile.
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
    // restarted edges do not report the claims of the requests that they forwarded
    for e in world.edges() {
        world.crash(e);
        world.start(e);
    }
    world.blocked_links.clear();
    let d = world.replace_core(c);
    world.partition_pair(a, d);
    let id = world.processes[d].id;
    let end = world.now + 60_000;
    let became_voter = world.run_until(end, |world| {
        world
            .controller(b)
            .and_then(|controller| controller.consensus())
            .is_some_and(|x| {
                let voters = x.members().iter().filter(|m| m.voter);
                let ids: Vec<u64> = voters.map(|m| m.id).collect();
                // until the membership change is complete, the lost core still counts
                ids.len() == 3 && ids.contains(&id) && x.has_stable_membership()
            })
    });
    // it does not become a voter if the core that it cannot reach leads
    if became_voter {
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
    println!("{retried_count} requests retried");
    assert!(retried_count > 200);
}

/// When the claim table is full, requests are rejected and no claim is dropped; after
/// the claims expire, requests are accepted again.
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
        // by now all claims have expired
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

/// A rejected request that was not executed may be retried under its id: it is never
/// rejected as a duplicate, however messages about its claim were lost or delayed.
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
            // links are blocked while claims and their releases are in transit
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
    println!("{rejected_as_duplicate} rejected as duplicates");
    assert_eq!(rejected_as_duplicate, 0);
}

/// One id at two edges at almost the same time, with all cores up or one down: at most
/// one request is executed, and neither waits long.
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

/// The cost of claims, compared in runs with and without client-chosen ids.
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
            "{name}: {} frames and {} bytes sent, {} bytes synced per request; mean {}.{:02} ms against {}.{:02} ms",
            traffic_sum.frames / n, traffic_sum.frame_bytes / n, traffic_sum.disk_bytes / n, with / 100, with % 100, without / 100, without % 100
        );
        assert!(
            traffic_sum.frames / n <= 16 && with < without + 4000,
            "{traffic_sum:?} {with} {without}"
        );
    }
}
