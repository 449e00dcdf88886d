//! Limits on the sum over all nodes, and the choice of workers for prompt prefixes.

use super::measures::*;
use super::simulation::*;
use super::workload::{Backend, Flow};
use super::*;

fn model_flow(requests_per_s: f64) -> Flow {
    Flow {
        path: "/idem/",
        requests_per_s,
        prefixes: 50,
        shared_tokens: 92,
        own_tokens: 291,
        stream_ms: 200,
        start_ms: 15_000,
        end_ms: 40_000,
    }
}

fn workers() -> Vec<Worker> {
    let zones: Vec<u16> = (0..18).map(|i| [0, 2, 1, 2, 0, 1][i % 6]).collect();
    workers_in("model", 48, &zones)
}

#[test]
fn slow_start_stays_within_the_limit_of_all_nodes() {
    for (n, requests_per_s, seed) in [
        (12, 300.0, 1),
        (12, 2000.0, 2),
        (93, 400.0, 3),
        (93, 3000.0, 4),
    ] {
        let mut sim = Simulation::new(n, seed, default_routes(), workers());
        sim.flows = vec![model_flow(requests_per_s)];
        // under load, one worker joins and two registered ones enter slow start
        sim.schedule(20_000, SimEvent::TestAction);
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
            "{n} nodes, {requests_per_s}/s: slow start peaks {peaks:?} of 51.5/s, rejected {}",
            sim.rejected
        );
        assert!(
            peaks.iter().all(|m| *m <= 51),
            "{n} {requests_per_s}: {peaks:?}"
        );
        // at low load other workers are preferred; at high load these get requests too
        let least_expected = if requests_per_s > 1000.0 { 15 } else { 0 };
        assert!(
            peaks.iter().all(|m| *m >= least_expected),
            "{n} {requests_per_s}: {peaks:?}"
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
        steady.end_ms = 60_000;
        let mut burst = model_flow(900.0);
        (burst.start_ms, burst.end_ms) = (20_000 + first_offset, 26_000 + first_offset);
        let mut next = model_flow(1500.0);
        (next.start_ms, next.end_ms) = (34_000 + second_offset, 36_000 + second_offset);
        sim.flows = vec![steady, burst, next];
        for w in 0..18 {
            sim.backends[w].failure_chance = 0.25;
            sim.backends[w].reject_chance = 0.25;
            sim.backends[w].connect_failure_chance = 0.05;
        }
        sim.run(60_000, |_| {});
        let headroom = budget_headroom(&sim.requests, &sim.retries, &site_limits());
        println!(
            "{n} nodes: {} requests, {} retries, least headroom {headroom:.1}",
            sim.requests.len(),
            sim.retries.len()
        );
        assert!(headroom >= 0.0, "{n} {seed}: {headroom}");
        assert!(
            sim.retries.len() * 20 > sim.requests.len(),
            "{n} nodes: too few retries to test the budget"
        );
    }
}

#[test]
fn prefix_affinity_recomputes_fewer_tokens_than_round_robin() {
    let run = |round_robin| {
        let mut sim = Simulation::new(12, 11, default_routes(), workers());
        sim.round_robin = round_robin;
        let mut small = model_flow(224.0);
        small.prefixes = 846;
        sim.flows = vec![
            Flow {
                path: "/once/",
                requests_per_s: 14.3,
                prefixes: 54,
                shared_tokens: 13_300,
                own_tokens: 3720,
                stream_ms: 160,
                start_ms: 10_000,
                end_ms: 40_000,
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
            "round robin {round_robin}: recomputed {:.3}, p50 {p50} p99 {p99} ms, rejected {}",
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
fn a_hot_prefix_beyond_one_worker_is_served_without_rejections() {
    let mut sim = Simulation::new(12, 13, default_routes(), workers());
    sim.flows = vec![Flow {
        path: "/once/",
        requests_per_s: 700.0,
        prefixes: 1,
        shared_tokens: 8000,
        own_tokens: 100,
        stream_ms: 400,
        start_ms: 10_000,
        end_ms: 20_000,
    }];
    sim.run(25_000, |_| {});
    let peak = sim
        .backends
        .iter()
        .map(|backend| peak_within(&backend.arrivals, 1000))
        .max();
    println!(
        "hot prefix: peak {peak:?} per second, first event p99 {} ms, rejected {}",
        sim.first_event_percentile(0.99),
        sim.rejected
    );
    // a worker serves about 48 requests in 0.42 s
    assert!(sim.first_event_percentile(0.99) < 400);
    assert_eq!(sim.rejected, 0);
}

#[test]
fn at_least_half_of_a_burst_beyond_capacity_is_served_and_none_stays_open() {
    let mut sim = Simulation::new(12, 17, default_routes(), workers());
    let mut burst_flow = model_flow(6000.0);
    (burst_flow.start_ms, burst_flow.end_ms) = (15_000, 18_000);
    sim.flows = vec![burst_flow];
    sim.run(25_000, |_| {});
    println!(
        "burst: served {}, rejected {} of {}",
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

/// Balancers of nodes in both regions, each without a list of the other nodes.
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
fn nodes_choose_the_same_worker_for_a_prefix_without_communication() {
    // prefill takes longer than the round trip to another region
    let long = placements(&mut isolated_nodes(&default_routes()), "/once/", 9000);
    for at in &long {
        assert!(at.iter().all(|w| *w == at[0]), "{at:?}");
    }
    // long prompts go to half of the eighteen workers, and all of these are used
    assert_eq!(distinct(&long), 9);
    // prefill of a short prefix takes less time than the way to the other region
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
fn long_prompts_avoid_the_region_that_stream_routes_are_pinned_to() {
    let mut pinned_route = route("bound", "/bound/", Kind::Stream, 0);
    pinned_route.homes = vec![0];
    let mut all: Vec<Route> = default_routes()
        .routes
        .iter()
        .map(|route| (**route).clone())
        .collect();
    all.push(pinned_route);
    let hosted_routes = hosted(all);
    let long = placements(&mut isolated_nodes(&hosted_routes), "/once/", 9000);
    for at in &long {
        assert!(at.iter().all(|w| *w == at[0]), "{at:?}");
    }
    // half of the eighteen workers: all six of the other region, three of this one
    let (pinned_region, other_region): (Vec<_>, Vec<_>) =
        long.iter().cloned().partition(|at| at[0].region == 0);
    assert_eq!((distinct(&pinned_region), distinct(&other_region)), (3, 6));
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
    // nodes that are missing for a short time keep their shares of the limit
    let mut balancer = new_balancer(default_routes(), registered);
    balancer.update_nodes((0..12).map(|i| (format!("n{i}"), 0)).collect());
    balancer.update_nodes(vec![("n0".into(), 0)]);
    assert!((1..=4).contains(&attempts_at_warming(&mut balancer, 3000)));
}

#[test]
fn restarts_of_half_the_nodes_violate_neither_slow_start_nor_retry_limits() {
    for (n, seed) in [(12, 21), (12, 22), (93, 23)] {
        let mut registered = workers();
        registered[0].cold_ms = 60_000;
        registered[1].cold_ms = 60_000;
        let mut sim = Simulation::new(n, seed, default_routes(), registered);
        let mut busy_flow = model_flow(1500.0);
        busy_flow.end_ms = 32_000;
        sim.flows = vec![busy_flow];
        for w in 0..18 {
            sim.backends[w].failure_chance = 0.2;
            sim.backends[w].reject_chance = 0.3;
        }
        // half the nodes at once, and again before the retry window has passed
        for at in [20_000, 20_900, 24_000, 27_000] {
            sim.schedule(at, SimEvent::TestAction);
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
        println!(
            "{n} nodes, restarts: slow start peaks {warming:?} of 51.5/s, headroom {headroom:.1}"
        );
        assert!(warming.iter().all(|c| *c <= 51), "{warming:?}");
        assert!(headroom >= 0.0, "{headroom}");
    }
}
