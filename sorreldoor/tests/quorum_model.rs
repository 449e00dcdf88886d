//! Exhaustive model of the quorum rules: three to seven voters, every change of one
//! or two of them at each step, and every tolerated set of lost disks. Acknowledged
//! entries survive, any elected leader has them, and an election stays possible.
//!
//! A node that lost its disk rejoins under a new identity. Its old identity neither
//! votes nor counts as having an entry.

use sorreldoor::consensus::quorum::{enter_joint, without_outgoing, Quorum};
use sorreldoor::consensus::Member;

/// A set of members, with a bit for each id.
type MemberSet = u32;

fn members(voters: MemberSet, all: MemberSet) -> Vec<Member> {
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

/// All subsets of `all` that reach a quorum of the configuration.
fn quorums(configuration: &[Member], all: MemberSet) -> Vec<MemberSet> {
    let quorum = Quorum::from_members(configuration);
    let reached = |set: &MemberSet| quorum.is_reached(|id| set >> id & 1 == 1);
    (0..=all)
        .filter(|set| set & !all == 0)
        .filter(reached)
        .collect()
}

/// The quorums that contain no smaller one. A property checked for these holds for
/// all quorums.
fn smallest(mut quorums: Vec<MemberSet>) -> Vec<MemberSet> {
    quorums.sort_by_key(|set| set.count_ones());
    let mut smallest: Vec<MemberSet> = Vec::new();
    for set in quorums {
        if smallest.iter().all(|other| other & set != *other) {
            smallest.push(set);
        }
    }
    smallest
}

/// Number of states checked, and of violations found in them.
#[derive(Default)]
struct Counts {
    states: u64,
    /// Quorums that acknowledged an entry and lost all copies of it.
    lost_entries: u64,
    /// Pairs of quorums by which a leader without an acknowledged entry is elected.
    stale_leaders: u64,
    /// States in which no election can succeed.
    blocked_elections: u64,
}

/// Checks one state of a change: entries were acknowledged by a quorum of the first
/// configuration, the next leader is elected by a quorum of the second, and the disks
/// of `lost` are gone.
fn check_step(
    acknowledged: &[Member],
    elected: &[Member],
    all: MemberSet,
    lost: MemberSet,
    counts: &mut Counts,
) {
    let holders = smallest(quorums(acknowledged, all));
    let electing_quorums = smallest(quorums(elected, all));
    let surviving = all & !lost;
    counts.states += 1;
    counts.lost_entries += holders
        .iter()
        .filter(|held| **held & surviving == 0)
        .count() as u64;
    let possible: Vec<MemberSet> = electing_quorums
        .into_iter()
        .filter(|e| e & lost == 0)
        .collect();
    counts.blocked_elections += u64::from(possible.is_empty());
    for electing_quorum in &possible {
        // voters reject a candidate whose log lacks an entry that they have
        counts.stale_leaders += holders
            .iter()
            .filter(|held| *held & electing_quorum == 0)
            .count() as u64;
    }
}

/// All subsets of `members` with at most `max_size` members.
fn subsets(members: MemberSet, max_size: u32) -> impl Iterator<Item = MemberSet> {
    let within = move |set: &MemberSet| set & !members == 0 && set.count_ones() <= max_size;
    (0..=members).filter(within)
}

/// Checks every step of a change from the `old` to the `new` voters with every
/// tolerated set of lost disks. `joint` returns the intermediate configuration.
fn check_change(
    old: MemberSet,
    new: MemberSet,
    joint: impl Fn(&[Member], &[Member]) -> Vec<Member>,
) -> Counts {
    let all = old | new;
    let before = members(old, all);
    let next = members(new, all);
    let during = joint(&before, &next);
    let after = without_outgoing(&during);
    let tolerated = (old.count_ones().min(new.count_ones()) - 1) / 2;
    let mut counts = Counts::default();
    for lost in subsets(all, tolerated) {
        // the next leader is elected in the step in which the entry was acknowledged,
        // or in the following one if its configuration entry survived the crash
        for (acknowledged, elected) in [
            (&before, &before),
            (&before, &during),
            (&during, &during),
            (&during, &after),
            (&after, &after),
        ] {
            check_step(acknowledged, elected, all, lost, &mut counts);
        }
    }
    counts
}

fn add(total: &mut Counts, counts: Counts) {
    total.states += counts.states;
    total.lost_entries += counts.lost_entries;
    total.stale_leaders += counts.stale_leaders;
    total.blocked_elections += counts.blocked_elections;
}

/// Checks all kinds of changes that the membership policy makes: one or two voters
/// are replaced, or two are demoted if at least three remain.
fn all_changes(joint: impl Fn(&[Member], &[Member]) -> Vec<Member> + Copy) -> Counts {
    let mut total = Counts::default();
    for count in 3..=7u32 {
        let old: MemberSet = (1 << count) - 1;
        for removed_voters in subsets(old, 2).filter(|set| *set != 0) {
            let removed_count = removed_voters.count_ones();
            let newcomers: MemberSet = ((1 << removed_count) - 1) << count;
            let replaced = (old & !removed_voters) | newcomers;
            add(&mut total, check_change(old, replaced, joint));
            if removed_count == 2 && count >= 5 {
                add(&mut total, check_change(old, old & !removed_voters, joint));
            }
        }
    }
    total
}

#[test]
fn joint_changes_keep_acknowledged_entries_and_allow_elections() {
    let counts = all_changes(enter_joint);
    println!("{} states", counts.states);
    assert!(counts.states > 10_000);
    assert_eq!(counts.lost_entries, 0);
    assert_eq!(counts.stale_leaders, 0);
    assert_eq!(counts.blocked_elections, 0);
}

/// Without a joint configuration, the quorums of the old and the new voters need not
/// overlap.
#[test]
fn changes_without_a_joint_step_allow_stale_leaders() {
    let at_once = |_: &[Member], next: &[Member]| next.to_vec();
    let counts = all_changes(at_once);
    println!("{} stale leaders", counts.stale_leaders);
    assert!(counts.stale_leaders > 0);
}

/// A member that lost its disk and votes again under its old identity.
#[test]
fn votes_of_a_wiped_member_allow_stale_leaders() {
    let voters: MemberSet = 0b111;
    let configuration = members(voters, voters);
    let holders = smallest(quorums(&configuration, voters));
    let mut stale = 0;
    for lost in subsets(voters, 1).filter(|lost| *lost != 0) {
        for electing_quorum in smallest(quorums(&configuration, voters)) {
            // all quorums, also those with the wiped member
            let knows = |held: &MemberSet| held & electing_quorum & !lost != 0;
            stale += holders.iter().filter(|held| !knows(held)).count();
        }
    }
    assert!(stale > 0);
}
