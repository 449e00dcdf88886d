//! Load: weight tuning stays within its bounds, prefix affinity, and overload.

use super::*;
use std::collections::BTreeMap;

const TWO: &str = r#"{"groups":{"fast":{"kind":"model","slots":4,"queue":64,"warmup":{"first":4,"after":1}},
 "slow":{"kind":"model","slots":4,"queue":64,"warmup":{"first":4,"after":1}},"web":{"kind":"web"}},
 "services":{"f":{"groups":["fast"]},"s":{"groups":["slow"]},"p":{"groups":["web"]}},
 "routes":{"verdict":{"kind":"KIND","cutoff_ms":4000,"shares":{"f":{"weight":50BOUNDS},"s":{"weight":50BOUNDS}}},
  "draft":{"kind":"decode","cutoff_ms":20000,"shares":{"f":{"weight":50BOUNDS},"s":{"weight":50BOUNDS}}},
  "question":{"kind":"decode","streamed":false,"home":true,"cutoff_ms":9000,"shares":{"f":{"weight":1}}},
  "page":{"kind":"fetch","repeatable":true,"shares":{"p":{"weight":1}}}},"retry":{"percent":10}}"#;

fn two(seed: u64, kind: &str, bounds: &str) -> World {
    let d = TWO.replace("KIND", kind).replace("BOUNDS", bounds);
    World::ready_customized(seed, press(), &d, |world| {
        for (i, r) in world.registry.workers.iter_mut().enumerate() {
            if r.group == "gpu" {
                r.group = if i % 2 == 0 { "fast" } else { "slow" }.into();
            }
        }
        for (i, k) in world.workers.iter_mut().enumerate() {
            // every other model worker is slower
            let by = if i % 2 == 0 || !k.model { 1 } else { 4 };
            k.tail_ms *= 2 * by;
            k.prefill_ms *= by;
            k.gap_ms *= by;
        }
    })
}

/// The requests of a route that were served and not served, and the mean duration of
/// those served.
fn tally(world: &World, route: &str) -> (usize, usize, u64) {
    let all = world.clients.values().filter(|c| c.route == route);
    let (mut n, mut reject, mut sum) = (0, 0, 0);
    for c in all {
        if ok(&c.outcome) {
            n += 1;
            sum += c.end - c.start;
        } else {
            reject += 1;
        }
    }
    (n, reject, sum / n.max(1) as u64)
}

/// Runs traffic and samples the weight of the slow service in the verdict route.
fn run(world: &mut World, per_s: u64, ms: u64) -> Vec<u32> {
    let end = world.now + ms;
    world.traffic(per_s, end, |_, _| true);
    let mut weights = Vec::new();
    while world.now < end {
        world.run_for(200);
        let a = world
            .controller(world.cores()[0])
            .and_then(|controller| controller.consensus());
        let v = a.map(|a| a.state_machine().view()).unwrap_or_default();
        let s = a
            .and_then(|a| a.state_machine().configuration().cloned())
            .expect("a configuration");
        let route = s.route("verdict").unwrap_or(0);
        let slow = s.services.iter().position(|s| s.name == "s").unwrap_or(0) as u16;
        let now = sorreldoor::weight_tuning::weight(&v.weights, route, slow).unwrap_or(50);
        weights.push(now);
    }
    world.run_for(12_000);
    weights
}

fn reversals(ws: &[u32]) -> usize {
    let steps: Vec<i64> = ws
        .windows(2)
        .map(|p| i64::from(p[1]) - i64::from(p[0]))
        .filter(|d| *d != 0)
        .collect();
    steps
        .windows(2)
        .filter(|p| p[0].signum() != p[1].signum())
        .count()
}

#[test]
fn tuning_shortens_requests_within_its_bounds_without_oscillation() {
    let (mut sum_even, mut sum_tuned) = (0, 0);
    for seed in 0..4 {
        let mut even = two(seed, "decode", "");
        run(&mut even, 260, 45_000);
        let mut tuned = two(seed, "decode", r#","least":10,"most":90"#);
        let ws = run(&mut tuned, 260, 45_000);
        let (a, b) = (tally(&even, "draft"), tally(&tuned, "draft"));
        let last = ws.last().copied().unwrap_or(50);
        let r = reversals(&ws);
        println!(
            "seed {seed}: drafts even {a:?}, tuned {b:?}; slow weight to {last}, {r} reversals"
        );
        assert!(ws.iter().all(|weight| (10..=90).contains(weight)), "{ws:?}");
        assert!(last < 45, "{ws:?}");
        assert!(r <= 4, "{ws:?}");
        sum_even += a.2;
        sum_tuned += b.2;
        assert_no_violations(&tuned, seed);
    }
    println!("sum of means: even {sum_even} ms, tuned {sum_tuned} ms");
    // more than the difference between seeds
    assert!(sum_tuned * 100 < sum_even * 88, "{sum_even} {sum_tuned}");
}

#[test]
fn prefixes_stay_with_the_worker_that_caches_them() {
    let share = |world: &World| {
        let (hits, misses) = world.workers.iter().fold((0, 0), |(hits, misses), k| {
            (hits + k.hits, misses + k.misses)
        });
        hits * 100 / (hits + misses).max(1)
    };
    for seed in 0..4 {
        let mut with = two(seed, "prefix", "");
        run(&mut with, 120, 15_000);
        let mut without = two(seed, "decode", "");
        run(&mut without, 120, 15_000);
        let (a, b) = (share(&with), share(&without));
        println!("seed {seed}: prefix hits {a} % with affinity, {b} % without");
        assert!(a > b + 15, "{a} against {b}");
    }
}

/// Under a heavy overload no invariant is violated, and afterwards nearly every request
/// is served again.
#[test]
fn an_overload_is_shed_and_leaves_nothing_behind() {
    for seed in 0..4 {
        let mut world = ready_world(seed);
        let end = world.now + 6000;
        world.traffic(1500, end, |_, _| true);
        world.run_for(70_000);
        assert_no_violations(&world, seed);
        let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
        for c in world.clients.values() {
            *kinds
                .entry(format!("{:?}", c.outcome)[..5].to_string())
                .or_default() += 1;
        }
        println!("seed {seed}: {kinds:?}");
        assert!(world
            .clients
            .values()
            .all(|c| c.outcome != ClientOutcome::Pending));
        let before = world.clients.len();
        let end = world.now + 4000;
        world.traffic(60, end, |_, _| true);
        world.run_for(40_000);
        let late: Vec<_> = world.clients.values().skip(before).collect();
        let n = late.iter().filter(|c| ok(&c.outcome)).count();
        assert!(n * 100 >= late.len() * 98, "{n} of {}", late.len());
    }
}
