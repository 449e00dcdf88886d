//! All cores lose power while a large change is being replicated, and two of five voters
//! do not return: the other three, whose logs differ, commit again within the limit.

use super::support::*;
use super::*;

/// Routes in each document, of about 180 bytes each.
const ROUTES: usize = 600;
const DOWN_MS: Millis = 1000;
const LIMIT_MS: Millis = 15_000;
/// Limit from the restart of the survivors until a change is acknowledged.
const RECOVERY_MS: Millis = 3000;

fn recovery_ms(seed: u64) -> Option<Millis> {
    let regions = [0, 0, 0, 1, 1];
    let mut sim = Sim::new(seed, &regions, timing(InjectedFault::None));
    sim.inter_region_delay_ms = 35;
    sim.max_events = 3_000_000;
    sim.bandwidth = Some(Bandwidth::megabits_per_second(100));
    let leader = sim.wait_for_leader();
    let changes = 1 + sim.rng.below(6) as usize;
    for tag in 0..changes {
        put_configuration(&mut sim, leader, ROUTES, tag);
    }
    let base = sim.highest_version();
    let document = configuration(ROUTES, 99);
    let command = Command::Put {
        base,
        new_version: None,
        document,
    };
    sim.propose_command(leader, base, &command);
    let cut_after = sim.rng.below(160);
    sim.run_for(cut_after);
    let lost = [sim.rng.below(3) as usize, 3 + sim.rng.below(2) as usize];
    (0..regions.len()).for_each(|node| sim.crash(node));
    sim.run_for(DOWN_MS);
    for node in (0..regions.len()).filter(|node| !lost.contains(node)) {
        sim.start(node);
        let wait = sim.rng.below(40);
        sim.run_for(wait);
    }
    let back_at = sim.now;
    while sim.now < back_at + LIMIT_MS {
        let node = (0..regions.len()).find(|node| !lost.contains(node))?;
        let base = sim.highest_version();
        let id = sim.propose_change(node, base);
        let end = sim.now + 500;
        sim.run_until(end, |sim| {
            sim.operation(id).result != OperationResult::Pending
        });
        if sim.operation(id).was_applied() {
            return Some(sim.now - back_at);
        }
    }
    None
}

#[test]
fn three_of_five_voters_recover_after_a_loss_of_power_during_a_large_change() {
    let mut all = Vec::new();
    for seed in 0..60 {
        let recovered = recovery_ms(seed).unwrap_or(LIMIT_MS);
        if recovered > RECOVERY_MS {
            println!("seed {seed}: {recovered} ms");
        }
        all.push(recovered);
    }
    all.sort_unstable();
    let (median, longest) = (all[all.len() / 2], all[all.len() - 1]);
    println!("median {median} ms, longest {longest} ms");
    assert!(longest <= RECOVERY_MS, "{all:?}");
}
