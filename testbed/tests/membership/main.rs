//! Every pair of troubles of a small scope, at every distance in time: three
//! voters and two newcomers, the real consensus and membership reducers.
//!
//! Each history is played whole: two troubles, then, once all is back and has
//! had its time to get ready, the loss of each machine in turn. Whatever the
//! two did, no term has two leaders, nothing acknowledged is lost, and with
//! any one machine lost an entry is committed.

mod play;

use play::{Play, Trouble, STEP_MS, SYNC_MS, TROUBLES};
use sorreldoor::consensus::InjectedFault;
use sorreldoor::types::{Millis, RegionId};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use testbed::sim::check_history;

/// Two troubles, how far apart, and where the voters are.
#[derive(Clone, Copy, Debug)]
struct History {
    regions: [RegionId; 3],
    pair: [(usize, Trouble); 2],
    gap: Millis,
    /// Not more is lost at once than is to be borne.
    borne: bool,
}

/// How the reducers are broken on purpose.
#[derive(Clone, Copy)]
struct Mutant {
    broken: InjectedFault,
    growing: bool,
}

const SOUND: Mutant = Mutant {
    broken: InjectedFault::None,
    growing: false,
};

/// What was wrong with one history.
fn wrong_with(history: History, mutant: Mutant) -> Option<String> {
    let History { regions, gap, .. } = history;
    let mut play = Play::new(7 + gap, regions, mutant.broken);
    play.growing = mutant.growing;
    let [(first, one), (second, two)] = history.pair;
    if !play.plan(first, one) {
        return None;
    }
    play.commits(play.slots[(first + 1) % 3]);
    let rest = gap.saturating_sub(STEP_MS);
    play.run_for(rest);
    if !play.plan(second, two) {
        return None;
    }
    // asked while all this happens, whatever comes of it
    for at in 0..3 {
        let at = play.slots[at];
        if play.sim.nodes[at].is_running() {
            let base = play.sim.highest_version();
            play.sim.propose_change(at, base);
        }
        play.run_for(200);
    }
    play.run_for(2500 + SYNC_MS);
    let log_event =
        |what: &str, play: &Play| Some(format!("{history:?}: {what}; {}", play.members_now()));
    let lost_in_turn = if history.borne { 0..3 } else { 0..0 };
    for slot in lost_in_turn {
        let node = play.slots[slot];
        play.sim.crash(node);
        let other = play.slots[(slot + 1) % 3];
        if !play.commits(other) {
            return log_event(
                &format!("no entry committed with machine {slot} lost"),
                &play,
            );
        }
        play.sim.start(node);
        play.run_for(SYNC_MS);
    }
    let wrong = check_history(&play.sim);
    if wrong.is_empty() {
        return None;
    }
    log_event(&format!("{wrong:?}"), &play)
}

/// All pairs whose second trouble may come at that distance: with one machine
/// lost the next may be only once the first has had its time, but a loss of
/// power of all may come at any.
fn pairs(gap: Millis) -> Vec<[(usize, Trouble); 2]> {
    let all: Vec<(usize, Trouble)> = (0..3)
        .flat_map(|slot| TROUBLES.map(|t| (slot, t)))
        .filter(|(slot, t)| *t != Trouble::PowerAll || *slot == 0)
        .collect();
    let together = |a: &(usize, Trouble), b: &(usize, Trouble)| {
        let settled = gap >= 2500 + SYNC_MS;
        settled || (b.1 == Trouble::PowerAll && a.1 != Trouble::Wipe)
    };
    all.iter()
        .flat_map(|a| all.iter().map(move |b| [*a, *b]))
        .filter(|[a, b]| together(a, b))
        .collect()
}

/// Two troubles of one machine or of two, too close to each other to be borne:
/// nothing is asked of them but that nothing is lost.
fn close_pairs() -> Vec<[(usize, Trouble); 2]> {
    let all = (0..2).flat_map(|slot| TROUBLES.map(|t| (slot, t)));
    let first = TROUBLES.map(|t| (0, t));
    all.flat_map(|b| first.map(|a| [a, b])).collect()
}

/// Plays histories on several threads; what was wrong with any.
fn explore(all: &[History], mutant: Mutant) -> Vec<String> {
    const THREADS: usize = 4;
    let next = AtomicUsize::new(0);
    let found = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| loop {
                let i = next.fetch_add(1, Ordering::Relaxed);
                let Some(history) = all.get(i) else {
                    return;
                };
                let wrong = wrong_with(*history, mutant);
                found.lock().expect("no panic with it").extend(wrong);
            });
        }
    });
    found.into_inner().expect("no panic with it")
}

const REGIONS: [[RegionId; 3]; 3] = [[0, 0, 0], [0, 0, 1], [0, 1, 2]];

fn histories(pairs: &[[(usize, Trouble); 2]], gap: Millis, borne: bool) -> Vec<History> {
    let all = REGIONS
        .iter()
        .flat_map(|regions| pairs.iter().map(move |pair| (*regions, *pair)));
    all.map(|(regions, pair)| History {
        regions,
        pair,
        gap,
        borne,
    })
    .collect()
}

fn settled_histories() -> Vec<History> {
    let gap = 2500 + SYNC_MS;
    histories(&pairs(gap), gap, true)
}

fn none_wrong(all: &[History]) {
    println!("{} histories", all.len());
    let wrong = explore(all, SOUND);
    let first = wrong.first();
    assert!(
        wrong.is_empty(),
        "{} wrong, the first: {first:#?}",
        wrong.len()
    );
}

#[test]
fn any_two_troubles_after_each_other_leave_a_majority() {
    none_wrong(&settled_histories());
}

/// All lose power at any moment of a change of members.
#[test]
fn a_loss_of_all_at_any_moment_of_a_change_is_borne() {
    let mut all = Vec::new();
    for gap in (0..2600).step_by(40) {
        let mut pairs = pairs(gap);
        pairs.retain(|p| p[0].1 != Trouble::PowerAll);
        all.extend(histories(&pairs, gap, true));
    }
    none_wrong(&all);
}

/// More than is to be borne: there may be no majority any more, but no two
/// leaders of a term, and nothing acknowledged is lost.
#[test]
fn two_troubles_at_once_lose_nothing() {
    let mut all = Vec::new();
    for gap in (0..2600).step_by(100) {
        all.extend(histories(&close_pairs(), gap, false));
    }
    none_wrong(&all);
}

/// As it was before: a fourth voter for every planned replacement.
#[test]
fn a_member_that_stays_in_the_quorum_is_found() {
    let mutant = Mutant {
        growing: true,
        ..SOUND
    };
    let wrong = explore(&settled_histories(), mutant);
    println!("{} wrong, the first: {:?}", wrong.len(), wrong.first());
    let no_majority = wrong.iter().filter(|w| w.contains("no entry committed"));
    assert!(no_majority.count() > 0);
}
