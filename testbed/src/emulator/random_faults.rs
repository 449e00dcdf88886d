//! Random faults from a seed.

use super::mix::{Fault, Mix};
use crate::rand::Rand;

/// The kinds that may be drawn.
const KINDS: [&str; 16] = [
    "crash", "dark", "drain", "replace", "notice", "cold", "full", "lose", "garble", "slow",
    "kill", "freeze", "evacuate", "burst", "long", "shift",
];

/// `n` faults within the duration of the mix; the last seconds are left for recovery.
pub fn random_faults(seed: u64, m: &Mix, n: usize) -> Vec<Fault> {
    let mut r = Rand::new(seed ^ 0x5702);
    let nodes: u32 = m.nodes.iter().sum();
    let last = (m.seconds - 8.0).max(1.0);
    (0..n)
        .map(|_| {
            let kind = KINDS[r.below(KINDS.len() as u64) as usize];
            let service = r.below(m.services.len() as u64) as usize;
            let all: u32 = m.services[service].workers.iter().sum();
            let of = match kind {
                "kill" | "freeze" => nodes,
                _ => all,
            };
            Fault {
                kind: kind.into(),
                at_s: 1.0 + r.below((last * 10.0) as u64) as f64 / 10.0,
                for_s: 2.0 + r.below(40) as f64 / 10.0,
                count: match kind {
                    "long" => r.below(m.classes.len() as u64) as u32,
                    _ => 1 + r.below(u64::from(of / 6).max(1)) as u32,
                },
                x: match kind {
                    "lose" | "garble" => 0.3,
                    "replace" => 0.4,
                    "slow" => 3.0,
                    "burst" => 2.0 + r.below(3) as f64,
                    _ => 3.0,
                },
                service,
                zone: r.below(m.zones.len() as u64) as u16,
            }
        })
        .collect()
}
