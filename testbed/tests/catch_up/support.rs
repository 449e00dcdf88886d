//! Helpers that set up groups, commit changes and measure the time to catch up.

use super::*;

/// A configuration document with `routes` routes; `tag` makes it distinct.
pub(super) fn configuration(routes: usize, tag: usize) -> String {
    let route = |i: usize| {
        format!(
            r#""route-{i:05}-of-configuration-{tag}":{{"kind":"fetch","repeatable":true,"cutoff_ms":5000,"shares":{{"pages":{{"weight":100}},"front":{{"weight":50}}}}}}"#
        )
    };
    let all: Vec<String> = (0..routes).map(route).collect();
    format!(
        r#"{{"groups":{{"web":{{"kind":"web","slots":16}}}},"services":{{"pages":{{"groups":["web"]}},"front":{{"groups":["web"]}}}},"routes":{{{}}}}}"#,
        all.join(",")
    )
}

pub(super) fn timing(fault: InjectedFault) -> Timing {
    let pacing = Pacing {
        heartbeat_ms: Some(150),
        ..Pacing::default()
    };
    Timing {
        injected_fault: fault,
        ..pacing.timing(2000)
    }
}

/// A group with an elected leader on links of 10 Mbit/s, and a configuration
/// of `routes` routes; returns the leader's node index.
pub(super) fn settled_group(
    seed: u64,
    regions: &[RegionId],
    routes: usize,
    fault: InjectedFault,
) -> (Sim, usize) {
    let mut sim = Sim::new(seed, regions, timing(fault));
    sim.inter_region_delay_ms = 35;
    sim.max_events = 20_000_000;
    sim.bandwidth = Some(Bandwidth::megabits_per_second(10));
    let leader = sim.wait_for_leader();
    put_configuration(&mut sim, leader, routes, 0);
    (sim, leader)
}

pub(super) fn put_configuration(sim: &mut Sim, node: usize, routes: usize, tag: usize) {
    let base = sim.highest_version();
    let document = configuration(routes, tag);
    let op_id = sim.propose_command(
        node,
        base,
        &Command::Put {
            base,
            new_version: None,
            document,
        },
    );
    let end = sim.now + 20_000;
    sim.run_until(end, |sim| {
        sim.operation(op_id).result != OperationResult::Pending
    });
    assert!(
        sim.operation(op_id).was_applied(),
        "{:?}",
        sim.operation(op_id).result
    );
}

/// Makes changes one after the other; each must be acknowledged.
pub(super) fn commit_changes(sim: &mut Sim, node: usize, count: usize) {
    for _ in 0..count {
        let base = sim.highest_version();
        let op_id = sim.propose_change(node, base);
        let next = sim.now + CHANGE_EVERY;
        sim.run_until(next + 4000, |sim| {
            sim.operation(op_id).result != OperationResult::Pending
        });
        assert!(
            sim.operation(op_id).was_applied(),
            "at {}: {:?}",
            sim.now,
            sim.operation(op_id).result
        );
        let rest = next.saturating_sub(sim.now);
        sim.run_for(rest);
    }
}

pub(super) fn applied(sim: &Sim, i: usize) -> u64 {
    sim.nodes[i].consensus.as_ref().map_or(0, |c| c.applied())
}

/// Time until a member lags by no more than three entries, with a change every
/// 100 ms meanwhile; `None` after `limit`.
pub(super) fn time_to_catch_up(
    sim: &mut Sim,
    node: usize,
    member: usize,
    limit: Millis,
) -> Option<Millis> {
    let started_at = sim.now;
    while sim.now < started_at + limit {
        commit_changes(sim, node, 1);
        let newest = (0..sim.nodes.len()).map(|i| applied(sim, i)).max();
        if newest.is_some_and(|n| applied(sim, member) + 3 >= n) {
            return Some(sim.now - started_at);
        }
    }
    None
}

pub(super) fn leaders_since(sim: &Sim, since: Millis) -> usize {
    sim.state_changes
        .iter()
        .filter(|(t, _, n)| *t >= since && matches!(n, StateChange::GlobalLeader { .. }))
        .count()
}

pub(super) fn assert_invariants(sim: &mut Sim) {
    sim.heal();
    sim.run_for(6000);
    let mut violations = check_history(sim);
    violations.extend(check_convergence(sim));
    assert!(violations.is_empty(), "{violations:#?}");
}

/// The last member that is not the leader.
pub(super) fn any_follower(sim: &Sim, leader: usize) -> usize {
    (0..sim.nodes.len())
        .rev()
        .find(|i| *i != leader)
        .unwrap_or(0)
}
