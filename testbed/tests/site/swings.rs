//! Mixes that swing between long prompts and long answers, at both sites'
//! sizes, while workers are replaced one by one and then all come back cold.

use super::*;

/// `per_s` errands of one route, spread over the edges; prefixes are new ones.
fn crowd(w: &mut World, route: &'static str, per_s: u64, from: u64, to: u64) {
    let mut at = from;
    while at < to {
        at += 1 + w.rng.below(2000 / per_s);
        w.at(at, move |w| {
            let e = w.edges()[w.rng.below(9) as usize];
            let key = format!("new{}", w.rng.below(4000));
            w.ask(e, route, if route == "verdict" { &key } else { "" }, None);
        });
    }
}

#[test]
fn swinging_mixes_over_workers_replaced_one_by_one() {
    for (seed, preset) in [
        (5000, press()),
        (5001, archive()),
        (5002, press()),
        (5003, archive()),
    ] {
        let doc = testbed::fleet::configuration(&preset);
        let mut w = World::ready_with(seed, preset, &doc);
        w.patience = 6;
        for k in w.workers.iter_mut().filter(|k| k.model) {
            (k.prefill, k.tail, k.gap) = (300, 60, 25);
        }
        let from = w.now;
        let models: Vec<usize> = (0..w.workers.len())
            .filter(|k| w.workers[*k].model)
            .collect();
        let many = models.len() as u64;
        w.traffic(60, from + 60_000, |_, _| true);
        // long prompts, then long answers, then again
        for i in 0..3 {
            let t = from + 2000 + i * 12_000;
            crowd(&mut w, "verdict", 9 * many, t, t + 6000);
            crowd(&mut w, "draft", 4 * many, t + 6000, t + 12_000);
        }
        for (i, k) in models.iter().copied().enumerate() {
            let t = from + 3000 + i as u64 * 1500;
            w.at(t, move |w| w.worker_dies(k));
            w.at(t + 1000, move |w| w.worker_starts(k));
        }
        w.at(from + 36_000, |w| {
            for k in (0..w.workers.len()).filter(|k| k % 2 == 0) {
                w.worker_dies(k);
                w.after(1000, move |w| w.worker_starts(k));
            }
        });
        w.run_for(220_000);
        sound(&w, seed);
        assert!(w.flooded().is_empty(), "seed {seed}: {:?}", w.flooded());
        assert!(
            w.callers.values().all(|c| c.got != Got::Open),
            "seed {seed}"
        );
        let of = |a: u64, b: u64| {
            let all = w
                .callers
                .values()
                .filter(|c| (from + a..from + b).contains(&c.start));
            let (n, k) = all.fold((0, 0), |(n, k), c| (n + 1, k + usize::from(ok(&c.got))));
            k * 100 / n.max(1)
        };
        let (swing, calm) = (of(2000, 38_000), of(50_000, 60_000));
        // an errand is served when one of its tries was
        let mut ids = std::collections::BTreeMap::<&str, bool>::new();
        for c in w.callers.values() {
            *ids.entry(c.id.as_str()).or_default() |= ok(&c.got);
        }
        let done = ids.values().filter(|d| **d).count() * 100 / ids.len();
        println!("seed {seed}: tries served in the swings {swing} %, after them {calm} %; errands served in the end {done} % of {}", ids.len());
        assert!(calm >= 95 && done >= 90, "{calm} {done}");
    }
}
