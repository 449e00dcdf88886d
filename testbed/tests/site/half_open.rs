//! Half-open connections: a core that restarts after a loss of power is reached again
//! at once, even if its peers got no reset of their old connections.

use super::growth::grown;
use super::*;
use sorreldoor::invariants::{disable_only, Invariant};
use sorreldoor::types::Millis;
use testbed::site::HalfOpenFaults;

/// How long the returning core is without power: shorter than any time-out, and until
/// after the leader stepped down.
const DOWN_MS: [Millis; 2] = [150, 1000];
/// Limit from its restart until a change is acknowledged, with an election.
const RECOVERY_MS: Millis = 1500;
const LIMIT_MS: Millis = 12_000;
/// Interval between attempts to commit a change.
const RETRY_MS: Millis = 20;

/// Of five voters and a standby, two voters and the standby lose power for good, and a
/// third voter for `down_ms`: the quorum then needs the returning core.
fn recovery_ms(seed: u64, down_ms: Millis, faults: HalfOpenFaults) -> Option<Millis> {
    let mut world = grown(seed);
    world.half_open_faults = faults;
    assert!(growth::replace_configuration(&mut world, 0), "seed {seed}");
    world.run_for(2000);
    let voters = growth::voters(&world);
    let leader = world.leader().expect("a leader");
    let (is_voter, others): (Vec<usize>, Vec<usize>) = world
        .cores()
        .into_iter()
        .filter(|core| *core != leader)
        .partition(|core| voters.contains(&world.processes[*core].id));
    let turn = (seed % 4) as usize;
    let returning = is_voter[turn];
    let lost = [is_voter[(turn + 1) % 4], is_voter[(turn + 2) % 4]];
    for core in lost.into_iter().chain(others) {
        world.power_off(core);
    }
    world.power_off(returning);
    world.run_for(down_ms);
    world.start(returning);
    let recovered = time_to_commit(&mut world, leader)?;
    world.run_for(2000);
    assert_no_violations(&world, seed);
    Some(recovered)
}

/// Proposes changes at a core until one is acknowledged; returns the time taken.
fn time_to_commit(world: &mut World, core: usize) -> Option<Millis> {
    let from = world.now;
    while world.now < from + LIMIT_MS {
        let base = newest_version(world);
        let doc = testbed::fleet::configuration(&world.preset);
        let change = world.change(core, replacement(base, doc));
        let end = world.now + 300;
        world.run_until(end, |world| world.changes[change].outcome.is_some());
        // a core without a leader rejects at once
        world.run_for(RETRY_MS);
        if was_committed(world, change) {
            return Some(world.now - from);
        }
    }
    None
}

/// Recovery times over many seeds, with `LIMIT_MS` for runs that did not recover.
fn recoveries(faults: HalfOpenFaults) -> Vec<Millis> {
    let cases = seeds(41_000..41_016).flat_map(|seed| DOWN_MS.map(|down_ms| (seed, down_ms)));
    let mut recovered: Vec<Millis> = cases
        .map(|(seed, down_ms)| recovery_ms(seed, down_ms, faults).unwrap_or(LIMIT_MS))
        .collect();
    recovered.sort_unstable();
    let (median, longest) = (
        recovered[recovered.len() / 2],
        recovered[recovered.len() - 1],
    );
    println!("median {median} ms, longest {longest} ms");
    recovered
}

/// All resets are lost, and there is no TCP user time-out.
const SILENT: HalfOpenFaults = HalfOpenFaults {
    lost_reset_percent: 100,
    user_timeout_ms: None,
};

#[test]
fn a_returned_core_is_reached_although_no_reset_came() {
    let recovered = recoveries(SILENT);
    assert!(
        recovered.iter().all(|ms| *ms <= RECOVERY_MS),
        "{recovered:?}"
    );
}

#[test]
fn a_returned_core_is_reached_with_resets_and_time_outs() {
    let recovered = recoveries(HalfOpenFaults::default());
    assert!(
        recovered.iter().all(|ms| *ms <= RECOVERY_MS),
        "{recovered:?}"
    );
}

/// If superseded connections are not closed, frames to the returned core are lost until
/// the old connection times out.
#[test]
fn superseded_connections_must_be_closed() {
    disable_only(Some(Invariant::SupersededConnection));
    let recovered = recoveries(SILENT);
    disable_only(None);
    assert!(
        recovered.iter().any(|ms| *ms > RECOVERY_MS),
        "{recovered:?}"
    );
}

/// Every other core closes its end of the leader's connections without notice; returns
/// the time until the leader commits a change over other connections.
fn silently_closed_ms(seed: u64) -> Millis {
    let mut world = grown(seed);
    world.half_open_faults = SILENT;
    assert!(growth::replace_configuration(&mut world, 0), "seed {seed}");
    world.run_for(2000);
    let leader = world.leader().expect("a leader");
    for core in world.cores().into_iter().filter(|core| *core != leader) {
        world.close_at_far_end(leader, core);
    }
    let restored = time_to_commit(&mut world, leader).unwrap_or(LIMIT_MS);
    world.run_for(2000);
    assert_no_violations(&world, seed);
    restored
}

fn silently_closed_longest_ms() -> Millis {
    let all = seeds(41_100..41_112).map(silently_closed_ms);
    let longest = all.max().unwrap_or(0);
    println!("longest {longest} ms");
    longest
}

/// Limit until frames use another connection.
const OTHER_CONNECTION_MS: Millis = 2600;

#[test]
fn frames_take_the_connection_that_still_receives() {
    let longest = silently_closed_longest_ms();
    assert!(longest <= OTHER_CONNECTION_MS, "{longest}");
}

#[test]
fn a_silent_connection_must_not_be_preferred() {
    disable_only(Some(Invariant::LiveConnection));
    let longest = silently_closed_longest_ms();
    disable_only(None);
    assert!(longest > OTHER_CONNECTION_MS, "{longest}");
}
