//! Founding a site: once, by all, whatever happens meanwhile.

use super::*;
use std::collections::BTreeSet;

fn sets(w: &World) -> BTreeSet<Vec<u64>> {
    w.cores()
        .into_iter()
        .filter_map(|c| w.controller(c).and_then(|h| h.consensus()))
        .filter(|a| a.members().iter().any(|m| m.voter))
        .map(|a| {
            a.members()
                .iter()
                .filter(|m| m.voter)
                .map(|m| m.id)
                .collect()
        })
        .collect()
}

/// Cores are cut, killed and wiped while they found. However it goes there is
/// never more than one site, and a wiped disk has no vote.
#[test]
fn no_two_sites_are_ever_founded() {
    let mut founded = 0;
    for seed in 0..80 {
        let mut w = World::new(seed, press());
        let cores = w.cores();
        for _ in 0..8 {
            let wait = w.rng.below(250);
            w.run_for(wait);
            let c = cores[w.rng.below(3) as usize];
            match w.rng.below(4) {
                0 => {
                    w.crash(c);
                    w.start(c);
                }
                1 => {
                    w.crash(c);
                    w.wipe(c);
                    w.start(c);
                }
                2 => {
                    let d = cores[w.rng.below(3) as usize];
                    w.cut_both(c, d);
                }
                _ => w.cuts.clear(),
            }
        }
        w.cuts.clear();
        w.run_for(40_000);
        let leaders: Vec<usize> = w
            .cores()
            .into_iter()
            .filter(|c| {
                let a = w.controller(*c).and_then(|h| h.consensus());
                a.is_some_and(|a| a.leads_globally())
            })
            .collect();
        assert!(leaders.len() <= 1, "seed {seed}: {leaders:?}");
        let s = sets(&w);
        assert!(s.len() <= 1, "seed {seed}: {s:?}");
        founded += usize::from(!leaders.is_empty());
    }
    println!("{founded} of 80 sites were founded in spite of it all");
    assert!(founded > 20, "{founded}");
}
