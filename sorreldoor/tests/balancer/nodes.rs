//! Limits that hold for all nodes together.

use super::measures::*;
use super::simulation::*;
use super::workload::{Backend, Flow};
use super::*;

fn model_flow(per_s: f64) -> Flow {
    Flow {
        path: "/idem/",
        per_s,
        prefixes: 50,
        shared_tokens: 92,
        own_tokens: 291,
        stream_ms: 200,
        from: 15_000,
        to: 40_000,
    }
}

fn workers() -> Vec<Worker> {
    let zones: Vec<u16> = (0..18).map(|i| [0, 2, 1, 2, 0, 1][i % 6]).collect();
    workers_in("model", 48, &zones)
}

#[test]
fn slow_start_stays_within_the_limit_of_all_nodes() {
    for (n, per_s, seed) in [
        (12, 300.0, 1),
        (12, 2000.0, 2),
        (93, 400.0, 3),
        (93, 3000.0, 4),
    ] {
        let mut sim = Simulation::new(n, seed, default_routes(), workers());
        sim.flows = vec![model_flow(per_s)];
        // one worker joins under traffic, two registered ones start warming up
        sim.schedule(20_000, SimEvent::WorkerRegistry);
        sim.run(25_000, |sim| {
            let mut registered = sim.registered.clone();
            registered[3].cold_ms = 5000;
            registered[4].cold_ms = 5000;
            registered.push(worker("fresh", "model", 0, 48));
            sim.registered = registered.clone();
            sim.backends.push(Backend {
                slots: 48,
                ..Backend::default()
            });
            for i in 0..sim.nodes.len() {
                let node_time = sim.clock(i);
                sim.nodes[i].update_registry(&registry(2, registered.clone()), node_time);
            }
        });
        let peak_rate = |w: usize, span: (u64, u64)| {
            let all = sim.backends[w].arrivals.iter().copied();
            peak_within(
                &all.filter(|time| *time >= span.0 && *time < span.1)
                    .collect::<Vec<_>>(),
                1000,
            )
        };
        let peaks: Vec<usize> = [(3, 25_000), (4, 25_000), (18, 23_000)]
            .iter()
            .map(|(w, to)| peak_rate(*w, (20_000, *to)))
            .collect();
        println!(
            "{n} nodes, {per_s}/s: cold {peaks:?} of 51.5, refused {}",
            sim.rejected
        );
        assert!(peaks.iter().all(|m| *m <= 51), "{n} {per_s}: {peaks:?}");
        // at low load other workers are preferred; at high load they must help
        let least_expected = if per_s > 1000.0 { 15 } else { 0 };
        assert!(
            peaks.iter().all(|m| *m >= least_expected),
            "{n} {per_s}: {peaks:?}"
        );
    }
}

#[test]
fn retries_stay_within_the_budget_of_all_nodes() {
    for (n, seed) in [
        (1, 1),
        (3, 7),
        (12, 2),
        (12, 3),
        (12, 4),
        (30, 8),
        (93, 5),
        (93, 6),
    ] {
        let mut sim = Simulation::new(n, seed, default_routes(), workers());
        let (first_offset, second_offset) = (sim.rand.below(8000), sim.rand.below(8000));
        let mut steady = model_flow(100.0);
        steady.to = 60_000;
        let mut burst = model_flow(900.0);
        (burst.from, burst.to) = (20_000 + first_offset, 26_000 + first_offset);
        let mut next = model_flow(1500.0);
        (next.from, next.to) = (34_000 + second_offset, 36_000 + second_offset);
        sim.flows = vec![steady, burst, next];
        for w in 0..18 {
            sim.backends[w].failure_chance = 0.25;
            sim.backends[w].reject_chance = 0.25;
            sim.backends[w].connect_failure_chance = 0.05;
        }
        sim.run(60_000, |_| {});
        let headroom = budget_headroom(&sim.requests, &sim.retries, &site_limits());
        println!(
            "{n} nodes: {} asked, {} further, least room {headroom:.1}",
            sim.requests.len(),
            sim.retries.len()
        );
        assert!(headroom >= 0.0, "{n} {seed}: {headroom}");
        assert!(
            sim.retries.len() * 20 > sim.requests.len(),
            "{n}: hardly any used"
        );
    }
}

#[test]
fn prefixes_stay_put() {
    let run = |round_robin| {
        let mut sim = Simulation::new(12, 11, default_routes(), workers());
        sim.round_robin = round_robin;
        let mut small = model_flow(224.0);
        small.prefixes = 846;
        sim.flows = vec![
            Flow {
                path: "/once/",
                per_s: 14.3,
                prefixes: 54,
                shared_tokens: 13_300,
                own_tokens: 3720,
                stream_ms: 160,
                from: 10_000,
                to: 40_000,
            },
            small,
        ];
        sim.run(45_000, |_| {});
        let (p50, p99) = (
            sim.first_event_percentile(0.5),
            sim.first_event_percentile(0.99),
        );
        let share = sim.recomputed_tokens as f64 / sim.shared_tokens as f64;
        println!(
            "round robin {round_robin}: reread {:.3}, first p50 {p50} p99 {p99} ms, refused {}",
            share, sim.rejected
        );
        assert_eq!(sim.rejected, 0);
        (share, p99)
    };
    let (cached, rotated) = (run(false), run(true));
    assert!(cached.0 * 2.0 < rotated.0, "{cached:?} {rotated:?}");
    assert!(cached.1 <= rotated.1, "{cached:?} {rotated:?}");
}

#[test]
fn a_hot_prefix_spreads_with_its_load() {
    let mut sim = Simulation::new(12, 13, default_routes(), workers());
    sim.flows = vec![Flow {
        path: "/once/",
        per_s: 700.0,
        prefixes: 1,
        shared_tokens: 8000,
        own_tokens: 100,
        stream_ms: 400,
        from: 10_000,
        to: 20_000,
    }];
    sim.run(25_000, |_| {});
    let peak = sim
        .backends
        .iter()
        .map(|backend| peak_within(&backend.arrivals, 1000))
        .max();
    println!(
        "hot: peak {peak:?} p99 {} refused {}",
        sim.first_event_percentile(0.99),
        sim.rejected
    );
    // a worker serves about 48 in 0.42 s
    assert!(sim.first_event_percentile(0.99) < 400);
    assert_eq!(sim.rejected, 0);
}

#[test]
fn a_burst_beyond_capacity_is_rejected_in_time_and_the_rest_served() {
    let mut sim = Simulation::new(12, 17, default_routes(), workers());
    let mut burst_flow = model_flow(6000.0);
    (burst_flow.from, burst_flow.to) = (15_000, 18_000);
    sim.flows = vec![burst_flow];
    sim.run(25_000, |_| {});
    println!(
        "burst: served {} refused {} of {}",
        sim.served,
        sim.rejected,
        sim.requests.len()
    );
    assert!(sim.served * 10 > sim.requests.len() as u64 * 5);
    assert_eq!(
        sim.nodes
            .iter()
            .map(|balancer| balancer.counts().open)
            .sum::<u64>(),
        0
    );
}

/// Nodes of both regions, none of which knows another.
fn isolated_nodes(hosted_routes: &std::sync::Arc<Hosted>) -> Vec<Balancer> {
    let one = |i: u64| {
        let zone = if i.is_multiple_of(2) { 0 } else { 2 };
        let mut balancer = Balancer::new(locality(&format!("n{i}"), zone), site_limits(), i);
        balancer.apply_configuration(hosted_routes.clone(), 0);
        balancer.update_registry(&registry(1, workers()), 0);
        balancer
    };
    (0..6).map(one).collect()
}

/// The worker that each node chooses for each of many prefixes.
fn placements(all: &mut [Balancer], path: &str, shared_tokens: u32) -> Vec<Vec<Worker>> {
    let mut out = Vec::new();
    for id in 1..60u64 {
        let mut at = Vec::new();
        for balancer in all.iter_mut() {
            let request_metadata = metadata(&[(id, shared_tokens), (id << 32, 300)]);
            let request = balancer.begin("h", path, request_metadata, id, id).unwrap();
            let name = expect_send(balancer.decide(request, id)).name;
            at.extend(workers().into_iter().find(|w| w.name == name));
            balancer.finish(request, id);
        }
        out.push(at);
    }
    out
}

fn distinct(all: &[Vec<Worker>]) -> usize {
    let names: std::collections::BTreeSet<_> = all.iter().flatten().map(|w| &w.name).collect();
    names.len()
}

#[test]
fn nodes_agree_on_a_prefix_without_communication() {
    // prefill takes longer than the round trip to another region
    let long = placements(&mut isolated_nodes(&default_routes()), "/once/", 9000);
    for at in &long {
        assert!(at.iter().all(|w| *w == at[0]), "{at:?}");
    }
    // half of the eighteen workers holds them, and all of these are used
    assert_eq!(distinct(&long), 9);
    // prefill of a short one is faster than a cache hit in the other region
    let short = placements(&mut isolated_nodes(&default_routes()), "/once/", 1000);
    for at in &short {
        let own_region = |i: usize| REGIONS[if i.is_multiple_of(2) { 0 } else { 2 }];
        for (i, w) in at.iter().enumerate() {
            assert_eq!(w.region, own_region(i), "{at:?}");
            assert_eq!(*w, at[i % 2], "{at:?}");
        }
    }
    assert!(distinct(&short) >= 15);
}

#[test]
fn long_prefixes_avoid_the_region_that_other_routes_are_bound_to() {
    let mut bound_route = route("bound", "/bound/", Kind::Stream, 0);
    bound_route.homes = vec![0];
    let mut all: Vec<Route> = default_routes()
        .routes
        .iter()
        .map(|route| (**route).clone())
        .collect();
    all.push(bound_route);
    let hosted_routes = hosted(all);
    let long = placements(&mut isolated_nodes(&hosted_routes), "/once/", 9000);
    for at in &long {
        assert!(at.iter().all(|w| *w == at[0]), "{at:?}");
    }
    // half of the eighteen: the other region's six, and three of the bound region
    let (bound_region, other_region): (Vec<_>, Vec<_>) =
        long.iter().cloned().partition(|at| at[0].region == 0);
    assert_eq!((distinct(&bound_region), distinct(&other_region)), (3, 6));
    let home = placements(&mut isolated_nodes(&hosted_routes), "/bound/", 9000);
    assert!(home.iter().flatten().all(|w| w.region == 0));
}

#[test]
fn a_restarted_or_isolated_node_sends_nothing_to_endpoints_in_slow_start() {
    let mut registered = workers_in("model", 48, &[0, 0]);
    registered[0].cold_ms = 9000;
    let warming = registered[0].name.clone();
    let attempts_at_warming = |balancer: &mut Balancer, now: u64| {
        let attempts = (0..40).filter(|_| send(balancer, "/once/x", now).1.name == warming);
        attempts.count()
    };
    let mut balancer = Balancer::new(locality("n0", 0), site_limits(), 1);
    balancer.apply_configuration(default_routes(), 0);
    balancer.update_registry(&registry(1, registered.clone()), 0);
    assert_eq!(attempts_at_warming(&mut balancer, 5000), 0);
    let mut balancer = new_balancer(default_routes(), registered.clone());
    assert_eq!(attempts_at_warming(&mut balancer, 1000), 0);
    assert!(attempts_at_warming(&mut balancer, 3000) > 0);
    // nodes that are missing for a moment keep their quota shares
    let mut balancer = new_balancer(default_routes(), registered);
    balancer.update_nodes((0..12).map(|i| (format!("n{i}"), 0)).collect());
    balancer.update_nodes(vec![("n0".into(), 0)]);
    assert!((1..=4).contains(&attempts_at_warming(&mut balancer, 3000)));
}

#[test]
fn mass_restarts_violate_neither_bound() {
    for (n, seed) in [(12, 21), (12, 22), (93, 23)] {
        let mut registered = workers();
        registered[0].cold_ms = 60_000;
        registered[1].cold_ms = 60_000;
        let mut sim = Simulation::new(n, seed, default_routes(), registered);
        let mut busy_flow = model_flow(1500.0);
        busy_flow.to = 32_000;
        sim.flows = vec![busy_flow];
        for w in 0..18 {
            sim.backends[w].failure_chance = 0.2;
            sim.backends[w].reject_chance = 0.3;
        }
        // half the nodes at once, and again before the retry window has passed
        for at in [20_000, 20_900, 24_000, 27_000] {
            sim.schedule(at, SimEvent::WorkerRegistry);
        }
        sim.run(32_000, |sim| {
            for i in 0..sim.nodes.len() {
                if sim.rand.chance(0.55) {
                    sim.restart(i, default_routes());
                }
            }
        });
        let warming = [0, 1].map(|w: usize| peak_within(&sim.backends[w].arrivals, 1000));
        let headroom = budget_headroom(&sim.requests, &sim.retries, &site_limits());
        println!("{n} nodes, restarts: cold {warming:?} of 51.5, least room {headroom:.1}");
        assert!(warming.iter().all(|c| *c <= 51), "{warming:?}");
        assert!(headroom >= 0.0, "{headroom}");
    }
}
