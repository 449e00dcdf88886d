//! Random faults, drawn from the seed, with concurrent operators.

use super::Sim;
use sorreldoor::types::Millis;

/// Starts or ends one random fault.
fn inject_random_fault(sim: &mut Sim) {
    let node_count = sim.nodes.len() as u64;
    let node = sim.rng.below(node_count) as usize;
    let other = sim.rng.below(node_count) as usize;
    match sim.rng.below(14) {
        0 | 1 => {
            if sim.nodes[node].is_running() {
                sim.crash(node);
            }
        }
        2..=4 => {
            for node in 0..sim.nodes.len() {
                if !sim.nodes[node].is_running() {
                    sim.start(node);
                }
            }
        }
        5 => sim.block_both_ways(node, other),
        6 => {
            sim.blocked_links.insert((node, other));
        }
        7 => sim.isolate(node),
        8 | 9 => sim.blocked_links.clear(),
        10 => {
            let duration_ms = 100 + sim.rng.below(2500);
            sim.freeze(node, duration_ms);
        }
        11 => sim.nodes[node].clock_offset += sim.rng.below(3000),
        12 => sim.nodes[node].disk.sync_ms = 1 + sim.rng.below(80),
        _ => sim.nodes[node].disk.stuck = !sim.nodes[node].disk.stuck,
    }
}

/// Runs operators and faults for `duration_ms`, then heals all faults and waits
/// until the group is stable.
pub fn run_with_faults(sim: &mut Sim, duration_ms: Millis) {
    let end = sim.now + duration_ms;
    let mut next_fault = sim.now + 500;
    while sim.now < end {
        let step = 5 + sim.rng.below(60);
        sim.run_for(step);
        if sim.now >= next_fault {
            inject_random_fault(sim);
            next_fault = sim.now + 50 + sim.rng.below(700);
        }
        start_random_operation(sim);
    }
    sim.heal();
    for node in 0..sim.nodes.len() {
        if !sim.nodes[node].is_running() {
            sim.start(node);
        }
    }
    sim.run_for(6000);
}

/// Starts a change based on some node's version, a read, or a retry.
pub fn start_random_operation(sim: &mut Sim) {
    let node = sim.rng.below(sim.nodes.len() as u64) as usize;
    let Some(version) = sim.nodes[node].replicated_state().map(|r| r.version()) else {
        return;
    };
    match sim.rng.below(5) {
        0 | 1 => {
            sim.propose_change(node, version);
        }
        2 if !sim.operations.is_empty() => {
            let proposal_id = sim.rng.below(sim.operations.len() as u64) as u128 + 1;
            sim.retry(node, proposal_id);
        }
        _ => {
            sim.read(node);
        }
    }
}
