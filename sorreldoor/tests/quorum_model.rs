//! All sets of voters of three to seven members, all changes of one or two of
//! them, at each of their steps, and all sets of lost disks that are to be
//! tolerated: the rules of quorums alone, without time. Every acknowledged entry
//! survives, whoever can be elected has it, and those that are left can elect.
//!
//! A lost disk comes back as another identity, so the old one takes part in
//! nothing any more: it neither votes nor counts as holding an entry.

use sorreldoor::consensus::quorum::{enter_joint, without_outgoing, Quorum};
use sorreldoor::consensus::Member;

/// A set of members, one bit each.
type Set = u32;

fn members(voters: Set, all: Set) -> Vec<Member> {
    let ids = (0..32u64).filter(|id| all >> id & 1 == 1);
    let member = |id: u64| Member {
        id,
        region: (id % 2) as u8,
        zone: id as u16,
        addr: String::new(),
        voter: voters >> id & 1 == 1,
        outgoing: false,
    };
    ids.map(member).collect()
}

/// The sets that reach a quorum, by brute force.
fn quorums(configuration: &[Member], all: Set) -> Vec<Set> {
    let quorum = Quorum::from_members(configuration);
    let reached = |set: &Set| quorum.is_reached(|id| set >> id & 1 == 1);
    (0..=all)
        .filter(|set| set & !all == 0)
        .filter(reached)
        .collect()
}

/// Only the smallest quorums matter: what holds for them holds for larger ones.
fn smallest(mut quorums: Vec<Set>) -> Vec<Set> {
    quorums.sort_by_key(|set| set.count_ones());
    let mut smallest: Vec<Set> = Vec::new();
    for set in quorums {
        if smallest.iter().all(|other| other & set != *other) {
            smallest.push(set);
        }
    }
    smallest
}

/// What went wrong, over all states; and how many states there were.
#[derive(Default)]
struct Verdict {
    states: u64,
    lost_entries: u64,
    stale_leaders: u64,
    stuck: u64,
}

/// A step of a change: the configuration by which entries were acknowledged, and
/// the one by which the next leader is elected, which may be one step further.
fn check_step(acknowledged: &[Member], elected: &[Member], all: Set, lost: Set, v: &mut Verdict) {
    let holders = smallest(quorums(acknowledged, all));
    let electors = smallest(quorums(elected, all));
    let left = all & !lost;
    v.states += 1;
    v.lost_entries += holders.iter().filter(|held| **held & left == 0).count() as u64;
    let able: Vec<Set> = electors.into_iter().filter(|e| e & lost == 0).collect();
    v.stuck += u64::from(able.is_empty());
    for elector in &able {
        // a vote goes only to a log as new as the voter's own
        v.stale_leaders += holders.iter().filter(|held| *held & elector == 0).count() as u64;
    }
}

/// All sets of at most `most` members of `of`.
fn losses(of: Set, most: u32) -> impl Iterator<Item = Set> {
    let within = move |set: &Set| set & !of == 0 && set.count_ones() <= most;
    (0..=of).filter(within)
}

/// Runs a change from `old` to `new` voters through all its steps.
fn check_change(
    old: Set,
    new: Set,
    joint: impl Fn(&[Member], &[Member]) -> Vec<Member>,
) -> Verdict {
    let all = old | new;
    let before = members(old, all);
    let next = members(new, all);
    let during = joint(&before, &next);
    let after = without_outgoing(&during);
    let tolerated = (old.count_ones().min(new.count_ones()) - 1) / 2;
    let mut verdict = Verdict::default();
    for lost in losses(all, tolerated) {
        // an entry is acknowledged in one step, and the next leader is elected in
        // the same or the following one, whose entry the crash may have kept
        for (acknowledged, elected) in [
            (&before, &before),
            (&before, &during),
            (&during, &during),
            (&during, &after),
            (&after, &after),
        ] {
            check_step(acknowledged, elected, all, lost, &mut verdict);
        }
    }
    verdict
}

fn add(total: &mut Verdict, verdict: Verdict) {
    total.states += verdict.states;
    total.lost_entries += verdict.lost_entries;
    total.stale_leaders += verdict.stale_leaders;
    total.stuck += verdict.stuck;
}

/// All changes that the membership policy makes: one voter replaced, two voters
/// replaced, two demoted where three are left.
fn all_changes(joint: impl Fn(&[Member], &[Member]) -> Vec<Member> + Copy) -> Verdict {
    let mut total = Verdict::default();
    for count in 3..=7u32 {
        let old: Set = (1 << count) - 1;
        for out in losses(old, 2).filter(|out| *out != 0) {
            let removed = out.count_ones();
            let newcomers: Set = ((1 << removed) - 1) << count;
            let replaced = (old & !out) | newcomers;
            add(&mut total, check_change(old, replaced, joint));
            if removed == 2 && count >= 5 {
                add(&mut total, check_change(old, old & !out, joint));
            }
        }
    }
    total
}

#[test]
fn nothing_acknowledged_is_lost_at_any_step_of_any_change() {
    let verdict = all_changes(enter_joint);
    println!("{} states", verdict.states);
    assert!(verdict.states > 10_000);
    assert_eq!(verdict.lost_entries, 0);
    assert_eq!(verdict.stale_leaders, 0);
    assert_eq!(verdict.stuck, 0);
}

/// A change that takes effect at once, without a joint step: two elections, or an
/// entry and an election, may go past each other.
#[test]
fn a_change_without_a_joint_step_is_seen() {
    let at_once = |_: &[Member], next: &[Member]| next.to_vec();
    let verdict = all_changes(at_once);
    println!("{} stale leaders", verdict.stale_leaders);
    assert!(verdict.stale_leaders > 0);
}

/// A wiped member that votes again under the identity it had before.
#[test]
fn a_wiped_member_that_votes_is_seen() {
    let voters: Set = 0b111;
    let configuration = members(voters, voters);
    let holders = smallest(quorums(&configuration, voters));
    let mut stale = 0;
    for lost in losses(voters, 1).filter(|lost| *lost != 0) {
        for elector in smallest(quorums(&configuration, voters)) {
            // all quorums, also those with the wiped member
            let knows = |held: &Set| held & elector & !lost != 0;
            stale += holders.iter().filter(|held| !knows(held)).count();
        }
    }
    assert!(stale > 0);
}
