//! Traffic that alternates between long prompts and long responses, on both
//! deployments, while workers are replaced one by one and then half of them at once.

use super::*;

/// Sends `per_s` requests a second of one route to random edges, mostly with
/// uncached prefixes.
fn crowd(world: &mut World, route: &'static str, per_s: u64, from: u64, to: u64) {
    let mut at = from;
    while at < to {
        at += 1 + world.rng.below(2000 / per_s);
        world.at(at, move |world| {
            let e = world.edges()[world.rng.below(9) as usize];
            let key = format!("new{}", world.rng.below(4000));
            world.send_request(e, route, if route == "verdict" { &key } else { "" }, None);
        });
    }
}

#[test]
fn alternating_traffic_recovers_while_workers_are_replaced() {
    for (seed, preset) in [
        (5000, press()),
        (5001, archive()),
        (5002, press()),
        (5003, archive()),
    ] {
        let doc = testbed::fleet::configuration(&preset);
        let mut world = World::ready_with(seed, preset, &doc);
        world.max_client_retries = 6;
        for k in world.workers.iter_mut().filter(|k| k.model) {
            (k.prefill_ms, k.tail_ms, k.gap_ms) = (300, 60, 25);
        }
        let from = world.now;
        let models: Vec<usize> = (0..world.workers.len())
            .filter(|k| world.workers[*k].model)
            .collect();
        let many = models.len() as u64;
        world.traffic(60, from + 60_000, |_, _| true);
        // long prompts, then long answers, then again
        for i in 0..3 {
            let t = from + 2000 + i * 12_000;
            crowd(&mut world, "verdict", 9 * many, t, t + 6000);
            crowd(&mut world, "draft", 4 * many, t + 6000, t + 12_000);
        }
        for (i, k) in models.iter().copied().enumerate() {
            let t = from + 3000 + i as u64 * 1500;
            world.at(t, move |world| world.crash_worker(k));
            world.at(t + 1000, move |world| world.restart_worker(k));
        }
        world.at(from + 36_000, |world| {
            for k in (0..world.workers.len()).filter(|k| k % 2 == 0) {
                world.crash_worker(k);
                world.after(1000, move |world| world.restart_worker(k));
            }
        });
        world.run_for(220_000);
        assert_no_violations(&world, seed);
        assert!(
            world.slow_start_violations().is_empty(),
            "seed {seed}: {:?}",
            world.slow_start_violations()
        );
        assert!(
            world
                .clients
                .values()
                .all(|c| c.outcome != ClientOutcome::Pending),
            "seed {seed}"
        );
        let of = |a: u64, b: u64| {
            let all = world
                .clients
                .values()
                .filter(|c| (from + a..from + b).contains(&c.start));
            let (n, k) = all.fold((0, 0), |(n, k), c| (n + 1, k + usize::from(ok(&c.outcome))));
            k * 100 / n.max(1)
        };
        let (swing, calm) = (of(2000, 38_000), of(50_000, 60_000));
        // a request is served if any of its attempts was
        let mut ids = std::collections::BTreeMap::<&str, bool>::new();
        for c in world.clients.values() {
            *ids.entry(c.id.as_str()).or_default() |= ok(&c.outcome);
        }
        let done = ids.values().filter(|d| **d).count() * 100 / ids.len();
        println!("seed {seed}: attempts served during the alternation {swing} %, after it {calm} %; requests served in the end {done} % of {}", ids.len());
        assert!(calm >= 95 && done >= 90, "{calm} {done}");
    }
}
