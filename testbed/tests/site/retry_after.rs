//! Crowds and outages with clients who do as they are told: what comes back,
//! when, and what is served meanwhile.

use super::*;
use std::collections::BTreeMap;

/// By second: first tries, second ones, and those served of all.
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

/// Second tries by seconds, as a share of what first ones came at the time,
/// and of all.
fn share(v: &Wave, from: u64, to: u64) -> u64 {
    let part = v.range(from..to).map(|(_, x)| *x);
    let (a, b) = part.fold((0, 0), |(a, b), x| (a + x.0, b + x.1));
    b * 100 / a.max(1)
}

fn served_of(v: &Wave, from: u64, to: u64) -> u64 {
    let part = v.range(from..to).map(|(_, x)| *x);
    let (n, k) = part.fold((0, 0), |(n, k), x| (n + x.0 + x.1, k + x.2));
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

/// Four times what the site bears, for ten seconds.
fn crowd(seed: u64, fixed_retry_after_s: Option<u64>) -> Wave {
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
    let (mut told, mut one) = ((0, 0, 0), (0, 0, 0));
    for seed in 0..2 {
        for (back, sum) in [(None, &mut told), (Some(1), &mut one)] {
            let v = crowd(seed, back);
            let peak = v.values().map(|x| x.1).max().unwrap_or(0);
            sum.0 += share(&v, 11, 20);
            sum.1 = sum.1.max(peak);
            sum.2 += served_of(&v, 22, 40);
        }
    }
    println!(
        "as told: second tries {} % of first ones in the crowd, {} a second at most, {} % served after it; all after 1 s: {} %, {}, {} %",
        told.0 / 2,
        told.1,
        told.2 / 2,
        one.0 / 2,
        one.1,
        one.2 / 2
    );
    assert!(told.0 / 2 <= 22 && told.1 * 2 < one.1, "{told:?} {one:?}");
    assert!(told.2 / 2 >= 80, "{told:?}");
}

/// A region's model workers are lost for ten seconds and come back cold.
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
        let v = wave(&world, from);
        let peak = v.values().map(|x| x.1).max().unwrap_or(0);
        let worst = (11..58).map(|s| share(&v, s, s + 3)).max().unwrap_or(0);
        let all = share(&v, 0, 60);
        let after = served_of(&v, 32, 36);
        println!("seed {seed}: second tries {all} % in all, {worst} % in the worst 3 s, {peak} a second at most; 12 s after the return {after} % served");
        assert!(all <= 20 && worst <= 35, "{all} {worst}");
        assert!(after >= 95, "{after}");
        assert!(
            world.slow_start_violations().is_empty(),
            "{:?}",
            world.slow_start_violations()
        );
    }
}
