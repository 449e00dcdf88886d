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
        // one is new among traffic, two turn cold where they are
        sim.schedule(20_000, SimEvent::WorkerRegistry);
        sim.run(25_000, |sim| {
            let mut l = sim.registered.clone();
            l[3].cold_ms = 5000;
            l[4].cold_ms = 5000;
            l.push(worker("fresh", "model", 0, 48));
            sim.registered = l.clone();
            sim.backends.push(Backend {
                slots: 48,
                ..Backend::default()
            });
            for i in 0..sim.nodes.len() {
                let t = sim.clock(i);
                sim.nodes[i].update_registry(&registry(2, l.clone()), t);
            }
        });
        let cold = |w: usize, span: (u64, u64)| {
            let all = sim.backends[w].arrivals.iter().copied();
            peak_within(
                &all.filter(|t| *t >= span.0 && *t < span.1)
                    .collect::<Vec<_>>(),
                1000,
            )
        };
        let most: Vec<usize> = [(3, 25_000), (4, 25_000), (18, 23_000)]
            .iter()
            .map(|(w, to)| cold(*w, (20_000, *to)))
            .collect();
        println!(
            "{n} nodes, {per_s}/s: cold {most:?} of 51.5, refused {}",
            sim.refused
        );
        assert!(most.iter().all(|m| *m <= 51), "{n} {per_s}: {most:?}");
        // with little to do others are better; with much they must help
        let least = if per_s > 1000.0 { 15 } else { 0 };
        assert!(most.iter().all(|m| *m >= least), "{n} {per_s}: {most:?}");
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
        let (a, b) = (sim.rand.below(8000), sim.rand.below(8000));
        let mut quiet = model_flow(100.0);
        quiet.to = 60_000;
        let mut burst = model_flow(900.0);
        (burst.from, burst.to) = (20_000 + a, 26_000 + a);
        let mut next = model_flow(1500.0);
        (next.from, next.to) = (34_000 + b, 36_000 + b);
        sim.flows = vec![quiet, burst, next];
        for w in 0..18 {
            sim.backends[w].failure_chance = 0.25;
            sim.backends[w].reject_chance = 0.25;
            sim.backends[w].connect_failure_chance = 0.05;
        }
        sim.run(60_000, |_| {});
        let left = budget_headroom(&sim.requests, &sim.retries, &bounds());
        println!(
            "{n} nodes: {} asked, {} further, least room {left:.1}",
            sim.requests.len(),
            sim.retries.len()
        );
        assert!(left >= 0.0, "{n} {seed}: {left}");
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
            share, sim.refused
        );
        assert_eq!(sim.refused, 0);
        (share, p99)
    };
    let (a, b) = (run(false), run(true));
    assert!(a.0 * 2.0 < b.0, "{a:?} {b:?}");
    assert!(a.1 <= b.1, "{a:?} {b:?}");
}

#[test]
fn one_hot_prefix_spreads_as_its_load_asks() {
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
        .map(|b| peak_within(&b.arrivals, 1000))
        .max();
    println!(
        "hot: peak {peak:?} p99 {} refused {}",
        sim.first_event_percentile(0.99),
        sim.refused
    );
    // a worker bears about 48 in 0.42 s
    assert!(sim.first_event_percentile(0.99) < 400);
    assert_eq!(sim.refused, 0);
}

#[test]
fn a_burst_beyond_all_places_is_refused_in_time_and_the_rest_served() {
    let mut sim = Simulation::new(12, 17, default_routes(), workers());
    let mut f = model_flow(6000.0);
    (f.from, f.to) = (15_000, 18_000);
    sim.flows = vec![f];
    sim.run(25_000, |_| {});
    println!(
        "burst: served {} refused {} of {}",
        sim.served,
        sim.refused,
        sim.requests.len()
    );
    assert!(sim.served * 10 > sim.requests.len() as u64 * 5);
    assert_eq!(sim.nodes.iter().map(|t| t.counts().open).sum::<u64>(), 0);
}

/// Nodes of both regions, none of which has heard of another.
fn apart(h: &std::sync::Arc<Hosted>) -> Vec<Balancer> {
    let one = |i: u64| {
        let zone = if i.is_multiple_of(2) { 0 } else { 2 };
        let mut t = Balancer::new(locality(&format!("n{i}"), zone), bounds(), i);
        t.apply_configuration(h.clone(), 0);
        t.update_registry(&registry(1, workers()), 0);
        t
    };
    (0..6).map(one).collect()
}

/// Where each of many prefixes goes from each node.
fn goes(all: &mut [Balancer], path: &str, shared_tokens: u32) -> Vec<Vec<Worker>> {
    let mut out = Vec::new();
    for id in 1..60u64 {
        let mut at = Vec::new();
        for t in all.iter_mut() {
            let a = metadata(&[(id, shared_tokens), (id << 32, 300)]);
            let r = t.begin("h", path, a, id, id).unwrap();
            let name = expect_send(t.pick(r, id)).name;
            at.extend(workers().into_iter().find(|w| w.name == name));
            t.finish(r, id);
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
    // reading it anew takes longer than the way to another region
    let long = goes(&mut apart(&default_routes()), "/once/", 9000);
    for at in &long {
        assert!(at.iter().all(|w| *w == at[0]), "{at:?}");
    }
    // a third of eighteen takes them, and all of these are used
    assert_eq!(distinct(&long), 6);
    // a short one is sooner read again than fetched from afar
    let short = goes(&mut apart(&default_routes()), "/once/", 1000);
    for at in &short {
        let here = |i: usize| REGIONS[if i.is_multiple_of(2) { 0 } else { 2 }];
        for (i, w) in at.iter().enumerate() {
            assert_eq!(w.region, here(i), "{at:?}");
            assert_eq!(*w, at[i % 2], "{at:?}");
        }
    }
    assert!(distinct(&short) >= 15);
}

#[test]
fn long_prefixes_keep_out_of_the_region_that_others_are_bound_to() {
    let mut bound = route("bound", "/bound/", Kind::Stream, 0);
    bound.homes = vec![0];
    let mut all: Vec<Route> = default_routes()
        .routes
        .iter()
        .map(|r| (**r).clone())
        .collect();
    all.push(bound);
    let h = hosted(all);
    let long = goes(&mut apart(&h), "/once/", 9000);
    for at in &long {
        assert!(at.iter().all(|w| *w == at[0] && w.region == 1), "{at:?}");
    }
    assert_eq!(distinct(&long), 6);
    let home = goes(&mut apart(&h), "/bound/", 9000);
    assert!(home.iter().flatten().all(|w| w.region == 0));
}

#[test]
fn a_restarted_or_isolated_node_sends_nothing_to_endpoints_in_slow_start() {
    let mut l = workers_in("model", 48, &[0, 0]);
    l[0].cold_ms = 9000;
    let cold = l[0].name.clone();
    let sends = |t: &mut Balancer, now: u64| {
        let hit = (0..40).filter(|_| send(t, "/once/x", now).1.name == cold);
        hit.count()
    };
    let mut t = Balancer::new(locality("n0", 0), bounds(), 1);
    t.apply_configuration(default_routes(), 0);
    t.update_registry(&registry(1, l.clone()), 0);
    assert_eq!(sends(&mut t, 5000), 0);
    let mut t = new_balancer(default_routes(), l.clone());
    assert_eq!(sends(&mut t, 1000), 0);
    assert!(sends(&mut t, 3000) > 0);
    // nodes that are missing for a moment still have their parts
    let mut t = new_balancer(default_routes(), l);
    t.update_nodes((0..12).map(|i| (format!("n{i}"), 0)).collect());
    t.update_nodes(vec![("n0".into(), 0)]);
    assert!((1..=4).contains(&sends(&mut t, 3000)));
}

#[test]
fn restarts_of_many_nodes_break_neither_bound() {
    for (n, seed) in [(12, 21), (12, 22), (93, 23)] {
        let mut l = workers();
        l[0].cold_ms = 60_000;
        l[1].cold_ms = 60_000;
        let mut sim = Simulation::new(n, seed, default_routes(), l);
        let mut busy = model_flow(1500.0);
        busy.to = 32_000;
        sim.flows = vec![busy];
        for w in 0..18 {
            sim.backends[w].failure_chance = 0.2;
            sim.backends[w].reject_chance = 0.3;
        }
        // half the nodes at once, and again before the window is over
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
        let cold = [0, 1].map(|w: usize| peak_within(&sim.backends[w].arrivals, 1000));
        let left = budget_headroom(&sim.requests, &sim.retries, &bounds());
        println!("{n} nodes, restarts: cold {cold:?} of 51.5, least room {left:.1}");
        assert!(cold.iter().all(|c| *c <= 51), "{cold:?}");
        assert!(left >= 0.0, "{left}");
    }
}
