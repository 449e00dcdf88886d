//! Conformance of the consensus reducers to the design, one check per clause.

mod answers;
mod elections;
mod losses;
mod lost_links;

use sorreldoor::consensus::Timing;
use sorreldoor::types::RegionId;
use testbed::sim::{check_history, Sim};

pub const ACK_MS: u64 = 2000;

pub fn new_sim(seed: u64, regions: &[RegionId]) -> Sim {
    Sim::new(seed, regions, Timing::for_ack(ACK_MS))
}

/// A group whose Global Leader is in `region`, from the first seed that elects one
/// there.
pub fn settled_with_leader_in(regions: &[RegionId], region: RegionId) -> (Sim, usize) {
    for seed in 0..200 {
        let mut sim = new_sim(seed, regions);
        let leader = sim.wait_for_leader();
        if sim.nodes[leader].region == region {
            return (sim, leader);
        }
    }
    panic!("no seed elects a leader in region {region}");
}

/// A core of `region` that is not the Global Leader.
pub fn other(sim: &Sim, region: RegionId) -> usize {
    let leader = sim.leader();
    (0..sim.nodes.len())
        .find(|i| sim.nodes[*i].region == region && Some(*i) != leader)
        .expect("the region has another core")
}

pub fn leads_domain(sim: &Sim, i: usize) -> bool {
    sim.nodes[i]
        .consensus
        .as_ref()
        .is_some_and(|a| a.leads_domain())
}

pub fn assert_invariants(sim: &Sim) {
    let violations = check_history(sim);
    assert!(violations.is_empty(), "{violations:#?}");
}

#[test]
fn the_design_holds_clause_by_clause() {
    let table: &[(&str, fn())] = &[
        (
            "domain leader by in-region majority",
            elections::a_domain_leader_needs_its_regions_majority,
        ),
        (
            "global leader among domain leaders",
            elections::the_global_leader_is_a_domain_leader,
        ),
        (
            "entry to every domain leader",
            answers::entries_cross_once_to_each_other_domain_leader,
        ),
        (
            "domain leader acknowledges on confirmation",
            answers::the_domain_leader_answers_after_one_round_trip,
        ),
        (
            "with and without fast return",
            answers::without_fast_return_it_takes_two,
        ),
        (
            "commit needs one other region",
            answers::the_commit_index_needs_another_region,
        ),
        (
            "reads wait for the in-domain commit index",
            answers::a_read_sees_what_a_domain_leader_has_answered,
        ),
        (
            "N-1 domain leaders take part",
            elections::an_election_needs_all_but_one_domain_leader,
        ),
        (
            "anchor: majority of all cores elects",
            elections::an_election_needs_a_majority_of_all_cores,
        ),
        (
            "the newest log is elected",
            elections::a_stale_log_is_not_elected,
        ),
        (
            "region lost: global leader acknowledges",
            answers::the_global_leader_answers_a_region_without_majority,
        ),
        (
            "confirmation lost: global leader acknowledges",
            answers::the_global_leader_answers_after_a_lost_confirmation,
        ),
        (
            "each lost message of the paper",
            answers::each_message_of_the_paper_may_be_lost,
        ),
        (
            "acks within ackMs after any one loss",
            answers::any_one_core_lost_is_acked_within_ack_ms,
        ),
        (
            "a returning core deposes no leader",
            elections::a_returning_core_does_not_depose_the_leader,
        ),
        (
            "a crash at each step of a leadership transfer",
            elections::a_leadership_transfer_survives_a_crash_at_each_step,
        ),
        (
            "a leader with a failed or stuck disk steps down",
            answers::a_leader_with_a_bad_disk_steps_down,
        ),
        (
            "a core with a healed disk takes part again",
            answers::a_core_with_a_healed_disk_takes_part_again,
        ),
        (
            "terms fence late confirmations",
            answers::a_deposed_leaders_late_confirmation_is_ignored,
        ),
        (
            "a retry is not applied again",
            answers::a_retry_gets_the_first_answer,
        ),
        (
            "leadership moves to the region with most proposals",
            elections::the_leader_moves_to_the_region_with_most_proposals,
        ),
        (
            "hysteresis on leadership transfers",
            elections::evenly_spread_proposals_do_not_move_the_leader,
        ),
    ];
    let mut failed = Vec::new();
    for (clause, f) in table {
        if std::panic::catch_unwind(f).is_err() {
            failed.push(*clause);
        }
    }
    assert!(failed.is_empty(), "failed clauses: {failed:#?}");
}
