//! Operators' changes and the platform's, and who must follow them when.

use super::*;
use sorreldoor::replicated_state::Command;

#[test]
fn a_leaving_worker_gets_nothing_new() {
    for seed in seeds(400..420) {
        let mut w = world(seed);
        let end = w.now + 15_000;
        w.traffic(80, end, |_, _| true);
        w.run_for(2000);
        let k = w.rng.below(w.workers.len() as u64) as usize;
        w.leave(k);
        let e = w.edges()[3];
        w.isolate(e);
        w.run_for(6000);
        w.cuts.clear();
        w.run_for(40_000);
        sound(&w, seed);
        let left = w.left_at[&k];
        let late = w.handed.iter().filter(|h| h.worker == k && h.at > left);
        let last = late.map(|h| h.at - left).max().unwrap_or(0);
        println!("seed {seed}: last new errand {last} ms after leaving");
    }
}

#[test]
fn an_emptied_zone_gets_nothing_and_comes_back() {
    for seed in seeds(500..520) {
        let mut w = world(seed);
        let end = w.now + 25_000;
        w.traffic(80, end, |_, _| true);
        w.run_for(1000);
        let zone = w.rng.below(3) as u16;
        let at = w.edges()[0];
        let sleeper = w.edges()[4];
        w.freeze(sleeper, 4000, seed % 3 == 0);
        let c = w.change(
            at,
            Command::EvacuateZone {
                base: 1,
                zone,
                evacuated: true,
            },
        );
        w.run_for(9000);
        assert!(w.changes[c].outcome.is_some());
        let back = Command::EvacuateZone {
            base: 2,
            zone,
            evacuated: false,
        };
        w.change(at, back);
        let from = w.now;
        w.run_for(5000);
        let again = w
            .handed
            .iter()
            .any(|h| h.at > from && w.workers[h.worker].zone == zone);
        assert!(again, "seed {seed}: the zone is served again within 5 s");
        w.run_for(40_000);
        sound(&w, seed);
    }
}

#[test]
fn a_new_setup_holds_everywhere_within_three_seconds() {
    for seed in seeds(600..630) {
        let mut w = world(seed);
        let end = w.now + 12_000;
        w.traffic(120, end, |_, _| true);
        w.run_for(500);
        // cut some edges, freeze some, and kill a core right after the yes
        let (a, b, c) = (w.edges()[1], w.edges()[5], w.edges()[8]);
        w.isolate(a);
        w.freeze(b, 4000, true);
        w.freeze(c, 2500, false);
        let at = w.edges()[0];
        let p = w.change(
            at,
            Command::EvacuateZone {
                base: 1,
                zone: 0,
                evacuated: true,
            },
        );
        let end = w.now + 5000;
        w.run_until(end, |w| w.changes[p].outcome.is_some());
        let l = w.leader().unwrap_or(0);
        w.crash(l);
        w.run_for(5000);
        w.heal();
        w.run_for(45_000);
        sound(&w, seed);
    }
}

#[test]
fn all_killed_after_a_yes_lose_nothing_that_was_acked() {
    for seed in seeds(700..730) {
        let mut w = world(seed);
        for i in 0..4 {
            let p = w.rng.below(w.procs.len() as u64) as usize;
            let zone = w.rng.below(3) as u16;
            w.change(
                p,
                Command::EvacuateZone {
                    base: 1 + i,
                    zone,
                    evacuated: i % 2 == 0,
                },
            );
            let wait = w.rng.below(400);
            w.run_for(wait);
        }
        // the closing loss: one disk machine for good, all others killed
        let lost = w.cores()[w.rng.below(3) as usize];
        for p in 0..w.procs.len() {
            w.crash(p);
        }
        for p in 0..w.procs.len() {
            if p != lost {
                w.start(p);
            }
        }
        w.run_for(8000);
        sound(&w, seed);
        assert!(w.leader().is_some(), "seed {seed}: two cores of three lead");
        for e in w.edges() {
            let h = w.edge_controller(e).expect("edges are up");
            assert!(
                h.ready().is_ok() || h.cluster.is_evacuated(h.cluster.zone),
                "seed {seed}"
            );
        }
    }
}

#[test]
fn racing_operators_never_both_win() {
    for seed in seeds(800..830) {
        let mut w = world(seed);
        for round in 0..20u64 {
            let version = w
                .cores()
                .into_iter()
                .filter_map(|c| w.controller(c).and_then(|h| h.consensus()))
                .map(|a| a.state_machine().version())
                .max()
                .unwrap_or(0);
            for _ in 0..3 {
                let p = w.rng.below(w.procs.len() as u64) as usize;
                let zone = w.rng.below(3) as u16;
                let cmd = Command::EvacuateZone {
                    base: version,
                    zone,
                    evacuated: false,
                };
                w.change(p, cmd);
            }
            w.run_for(150);
            if round == 7 {
                let l = w.leader().unwrap_or(0);
                w.crash(l);
                w.after(1500, move |w| w.start(l));
            }
        }
        w.run_for(8000);
        sound(&w, seed);
        let won = w.cores().into_iter().filter_map(|c| w.controller(c));
        let top = won
            .filter_map(|h| h.consensus())
            .map(|a| a.state_machine().version());
        let top = top.max().unwrap_or(0);
        assert!(top > 8, "seed {seed}: operators got on to {top} only");
    }
}

#[test]
fn a_core_is_replaced_by_a_blank_one_at_a_new_address() {
    // 10913: the lost core's seat was given up, and the leader died before the
    // other old core had heard of it
    for seed in seeds(900..915).chain([10_913]) {
        let mut w = world(seed);
        let lost = w.cores()[w.rng.below(3) as usize];
        w.crash(lost);
        let new = w.replace_core(lost);
        let end = w.now + 40_000;
        for i in 0..200 {
            let p = w.cores()[(i % 3) as usize];
            w.after(i * 150, move |w| {
                let version = w.controller(p).and_then(|h| h.consensus());
                let base = version.map_or(0, |a| a.state_machine().version());
                let cmd = Command::EvacuateZone {
                    base,
                    zone: 0,
                    evacuated: false,
                };
                w.change(p, cmd);
            });
        }
        let id = w.procs[new].id;
        let gone = w.procs[lost].id;
        let done = w.run_until(end, |w| {
            w.controller(new)
                .and_then(|h| h.consensus())
                .is_some_and(|a| {
                    let seats = a.members().iter();
                    let voters: Vec<u64> = seats.filter(|m| m.voter).map(|m| m.id).collect();
                    let replaced = voters.contains(&id) && !voters.contains(&gone);
                    // until its change has ended, the lost one still counts
                    replaced && voters.len() == 3 && a.members_settled()
                })
        });
        assert!(done, "seed {seed}: the new core has the lost one's seat");
        // now another core may be lost
        let other = w.cores().into_iter().find(|c| *c != lost && *c != new);
        w.crash(other.unwrap_or(0));
        w.run_for(3000);
        let l = w.leader();
        assert!(
            l.is_some(),
            "seed {seed}: the site goes on with the new core"
        );
        w.run_for(40_000);
        sound(&w, seed);
    }
}
