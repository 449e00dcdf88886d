//! Overload and outages with clients that follow `Retry-After`: the rate of retries and
//! the share of requests served.

use super::*;
use std::collections::BTreeMap;

/// For each second: first attempts, retries, and how many of both were served.
type Wave = BTreeMap<u64, (u64, u64, u64)>;

fn wave(world: &World, from: u64) -> Wave {
    let mut out = Wave::new();
    for c in world.clients.values().filter(|c| c.start >= from) {
        let s = out.entry((c.start - from) / 1000).or_default();
        s.0 += u64::from(c.retries == 0);
        s.1 += u64::from(c.retries > 0);
        s.2 += u64::from(ok(&c.outcome));
    }
    out
}

/// Retries in a range of seconds, in percent of the first attempts.
fn share(wave: &Wave, from: u64, to: u64) -> u64 {
    let part = wave.range(from..to).map(|(_, second)| *second);
    let (a, b) = part.fold((0, 0), |(a, b), second| (a + second.0, b + second.1));
    b * 100 / a.max(1)
}

fn served_of(wave: &Wave, from: u64, to: u64) -> u64 {
    let part = wave.range(from..to).map(|(_, second)| *second);
    let (n, k) = part.fold((0, 0), |(n, k), second| {
        (n + second.0 + second.1, k + second.2)
    });
    k * 100 / n.max(1)
}

fn slow(seed: u64, fixed_retry_after_s: Option<u64>) -> World {
    let mut world = ready_world(seed);
    (world.max_client_retries, world.fixed_retry_after_s) = (6, fixed_retry_after_s);
    for k in world.workers.iter_mut().filter(|k| k.model) {
        (k.tail_ms, k.prefill_ms, k.gap_ms) = (400, 200, 20);
    }
    world
}

/// Ten seconds of overload.
fn overload(seed: u64, fixed_retry_after_s: Option<u64>) -> Wave {
    let mut world = slow(seed, fixed_retry_after_s);
    let from = world.now;
    world.traffic(60, from + 60_000, |_, _| true);
    world.run_for(10_000);
    world.traffic(500, from + 20_000, |_, _| true);
    world.run_for(250_000);
    assert_no_violations(&world, seed);
    assert!(world
        .clients
        .values()
        .all(|c| c.outcome != ClientOutcome::Pending));
    wave(&world, from)
}

#[test]
fn rejected_clients_do_not_retry_in_sync() {
    let (mut obeying, mut fixed_delay) = ((0, 0, 0), (0, 0, 0));
    for seed in 0..2 {
        for (fixed_retry_after_s, totals) in [(None, &mut obeying), (Some(1), &mut fixed_delay)] {
            let wave = overload(seed, fixed_retry_after_s);
            let peak = wave.values().map(|second| second.1).max().unwrap_or(0);
            totals.0 += share(&wave, 11, 20);
            totals.1 = totals.1.max(peak);
            totals.2 += served_of(&wave, 22, 40);
        }
    }
    println!(
        "Retry-After: retries {} % of first attempts in the overload, {} a second at most, {} % served after it; fixed 1 s: {} %, {}, {} %",
        obeying.0 / 2,
        obeying.1,
        obeying.2 / 2,
        fixed_delay.0 / 2,
        fixed_delay.1,
        fixed_delay.2 / 2
    );
    assert!(
        obeying.0 / 2 <= 22 && obeying.1 * 2 < fixed_delay.1,
        "{obeying:?} {fixed_delay:?}"
    );
    assert!(obeying.2 / 2 >= 80, "{obeying:?}");
}

/// A region's model workers are lost for ten seconds and return with cold caches.
#[test]
fn a_region_returns_without_a_retry_storm() {
    for seed in 0..4 {
        let mut world = ready_world(seed);
        world.max_client_retries = 6;
        let from = world.now;
        world.traffic(100, from + 60_000, |_, _| true);
        world.run_for(10_000);
        let mine: Vec<usize> = (0..world.workers.len())
            .filter(|k| world.workers[*k].region == 1 && world.workers[*k].model)
            .collect();
        mine.iter().for_each(|k| world.crash_worker(*k));
        world.run_for(10_000);
        mine.iter().for_each(|k| world.restart_worker(*k));
        world.run_for(200_000);
        assert_no_violations(&world, seed);
        let wave = wave(&world, from);
        let peak = wave.values().map(|second| second.1).max().unwrap_or(0);
        let worst = (11..58).map(|s| share(&wave, s, s + 3)).max().unwrap_or(0);
        let all = share(&wave, 0, 60);
        let after = served_of(&wave, 32, 36);
        println!("seed {seed}: retries {all} % in total, {worst} % in the worst 3 s, {peak} a second at most; 12 s after the return {after} % served");
        assert!(all <= 20 && worst <= 35, "{all} {worst}");
        assert!(after >= 95, "{after}");
        assert!(
            world.slow_start_violations().is_empty(),
            "{:?}",
            world.slow_start_violations()
        );
    }
}
