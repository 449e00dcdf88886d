//! A seeded storm of faults over a run with racing operators.

use super::Sim;
use sorreldoor::types::Millis;

/// One random fault, or an end to one.
fn fault(s: &mut Sim) {
    let n = s.nodes.len() as u64;
    let i = s.rng.below(n) as usize;
    let j = s.rng.below(n) as usize;
    match s.rng.below(14) {
        0 | 1 => {
            if s.nodes[i].up() {
                s.crash(i);
            }
        }
        2..=4 => {
            for i in 0..s.nodes.len() {
                if !s.nodes[i].up() {
                    s.start(i);
                }
            }
        }
        5 => s.cut_both(i, j),
        6 => {
            s.cuts.insert((i, j));
        }
        7 => s.isolate(i),
        8 | 9 => s.cuts.clear(),
        10 => {
            let ms = 100 + s.rng.below(2500);
            s.freeze(i, ms);
        }
        11 => s.nodes[i].clock += s.rng.below(3000),
        12 => s.nodes[i].disk.sync_ms = 1 + s.rng.below(80),
        _ => s.nodes[i].disk.stuck = !s.nodes[i].disk.stuck,
    }
}

/// Operators ask and faults strike for `ms`; then all heals and settles.
pub fn storm(s: &mut Sim, ms: Millis) {
    let end = s.now + ms;
    let mut next_fault = s.now + 500;
    while s.now < end {
        let step = 5 + s.rng.below(60);
        s.run_for(step);
        if s.now >= next_fault {
            fault(s);
            next_fault = s.now + 50 + s.rng.below(700);
        }
        ask(s);
    }
    s.heal();
    for i in 0..s.nodes.len() {
        if !s.nodes[i].up() {
            s.start(i);
        }
    }
    s.run_for(6000);
}

/// A change that builds on what some node shows, a read, or a retry.
pub fn ask(s: &mut Sim) {
    let at = s.rng.below(s.nodes.len() as u64) as usize;
    let Some(version) = s.nodes[at].record().map(|r| r.version()) else {
        return;
    };
    match s.rng.below(5) {
        0 | 1 => {
            s.change(at, version);
        }
        2 if !s.ops.is_empty() => {
            let k = s.rng.below(s.ops.len() as u64) as u128 + 1;
            s.again(at, k);
        }
        _ => {
            s.read(at);
        }
    }
}
