//! Crowds and swinging mixes: tuning within bounds, and warm prefixes.

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
    World::ready_by(seed, press(), &d, |w| {
        for (i, r) in w.registry.workers.iter_mut().enumerate() {
            if r.group == "gpu" {
                r.group = if i % 2 == 0 { "fast" } else { "slow" }.into();
            }
        }
        for (i, k) in w.workers.iter_mut().enumerate() {
            // the slow ones are older machines
            let by = if i % 2 == 0 || !k.model { 1 } else { 4 };
            k.tail *= 2 * by;
            k.prefill *= by;
            k.gap *= by;
        }
    })
}

/// Served, shed, and mean time of those served, of one route.
fn tally(w: &World, route: &str) -> (usize, usize, u64) {
    let all = w.callers.values().filter(|c| c.route == route);
    let (mut n, mut shed, mut sum) = (0, 0, 0);
    for c in all {
        if ok(&c.got) {
            n += 1;
            sum += c.end - c.start;
        } else {
            shed += 1;
        }
    }
    (n, shed, sum / n.max(1) as u64)
}

/// The weight that verdicts give the slow service, sampled over a run.
fn run(w: &mut World, per_s: u64, ms: u64) -> Vec<u32> {
    let end = w.now + ms;
    w.traffic(per_s, end, |_, _| true);
    let mut seen = Vec::new();
    while w.now < end {
        w.run_for(200);
        let a = w.controller(w.cores()[0]).and_then(|h| h.consensus());
        let v = a.map(|a| a.state_machine().view()).unwrap_or_default();
        let s = a
            .and_then(|a| a.state_machine().configuration().cloned())
            .expect("a setup");
        let route = s.route("verdict").unwrap_or(0);
        let slow = s.services.iter().position(|s| s.name == "s").unwrap_or(0) as u16;
        let now = sorreldoor::weight_tuning::weight(&v.weights, route, slow).unwrap_or(50);
        seen.push(now);
    }
    w.run_for(12_000);
    seen
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
fn tuning_helps_within_its_bounds_and_does_not_swing() {
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
        assert!(ws.iter().all(|w| (10..=90).contains(w)), "{ws:?}");
        assert!(last < 45, "{ws:?}");
        assert!(r <= 4, "{ws:?}");
        sum_even += a.2;
        sum_tuned += b.2;
        sound(&tuned, seed);
    }
    println!("sum of means: even {sum_even} ms, tuned {sum_tuned} ms");
    // beyond what seeds differ by
    assert!(sum_tuned * 100 < sum_even * 88, "{sum_even} {sum_tuned}");
}

#[test]
fn prefixes_stay_with_the_worker_that_has_them_warm() {
    let share = |w: &World| {
        let (h, m) = w
            .workers
            .iter()
            .fold((0, 0), |(h, m), k| (h + k.hits, m + k.misses));
        h * 100 / (h + m).max(1)
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

/// A crowd far beyond what the site bears: sheds are honest, nothing breaks,
/// and once it is gone everyone is served again.
#[test]
fn a_crowd_is_shed_honestly_and_leaves_nothing_behind() {
    for seed in 0..4 {
        let mut w = world(seed);
        let end = w.now + 6000;
        w.traffic(1500, end, |_, _| true);
        w.run_for(70_000);
        sound(&w, seed);
        let mut kinds: BTreeMap<String, usize> = BTreeMap::new();
        for c in w.callers.values() {
            *kinds
                .entry(format!("{:?}", c.got)[..5].to_string())
                .or_default() += 1;
        }
        println!("seed {seed}: {kinds:?}");
        assert!(w.callers.values().all(|c| c.got != Got::Open));
        let before = w.callers.len();
        let end = w.now + 4000;
        w.traffic(60, end, |_, _| true);
        w.run_for(40_000);
        let late: Vec<_> = w.callers.values().skip(before).collect();
        let n = late.iter().filter(|c| ok(&c.got)).count();
        assert!(n * 100 >= late.len() * 98, "{n} of {}", late.len());
    }
}
