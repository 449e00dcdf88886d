//! Helpers shared by the modules of this test.

use sorreldoor::pacing::Pacing;
use sorreldoor::replicated_state::{Command, Outcome};
use sorreldoor::wire::ProposalOutcome;
use testbed::fleet::{archive, press, SitePreset};
use testbed::site::{check, ClientOutcome, World};

/// Asserts that a run violated no invariant; all its faults must have healed.
pub fn assert_no_violations(world: &World, seed: u64) {
    let mut violations = check(world);
    violations.extend(world.lost_acknowledged_changes());
    violations.extend(world.retry_budget_violations());
    violations.truncate(20);
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// How many disjoint sets of seeds each test runs, unless SORRELDOOR_SEEDS is set.
const DEFAULT_TIMES: u64 = 2;

/// The seeds of a test, repeated at an offset for each set of SORRELDOOR_SEEDS.
pub fn seeds(range: std::ops::Range<u64>) -> impl Iterator<Item = u64> {
    let times = std::env::var("SORRELDOOR_SEEDS").ok();
    let times: u64 = times.and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_TIMES);
    (0..times).flat_map(move |k| range.clone().map(move |seed| seed + k * 10_000))
}

/// Whether the client was served.
pub fn ok(outcome: &ClientOutcome) -> bool {
    matches!(
        outcome,
        ClientOutcome::Complete(_) | ClientOutcome::StreamComplete
    )
}

/// The number of clients that were served, and of all clients.
pub fn served(world: &World) -> (usize, usize) {
    let clients = world.clients.values();
    let served = clients.filter(|client| ok(&client.outcome)).count();
    (served, world.clients.len())
}

/// One of the two deployments, alternating by seed.
pub fn preset_for(seed: u64) -> SitePreset {
    if seed.is_multiple_of(2) {
        press()
    } else {
        archive()
    }
}

/// A site whose edges all serve.
pub fn ready_world(seed: u64) -> World {
    World::ready(seed, preset_for(seed))
}

/// The change that evacuates a zone or readmits it.
pub fn zone_change(base: u64, zone: u16, evacuated: bool) -> Command {
    Command::EvacuateZone {
        base,
        zone,
        evacuated,
    }
}

/// The change that replaces the configuration.
pub fn replacement(base: u64, doc: String) -> Command {
    Command::Put {
        base,
        new_version: None,
        document: doc,
    }
}

/// Whether a change of the world was acknowledged.
pub fn was_committed(world: &World, change: usize) -> bool {
    let outcome = &world.changes[change].outcome;
    matches!(
        outcome,
        Some(ProposalOutcome::Committed(Outcome::Applied { .. }))
    )
}

/// The newest version that any core has applied.
pub fn newest_version(world: &World) -> u64 {
    let cores = world.cores().into_iter();
    let versions = cores.filter_map(|core| world.version_at(core));
    versions.max().unwrap_or(0)
}

/// Pacing for sites with expensive traffic.
pub fn frugal_pacing() -> Pacing {
    Pacing {
        tick_ms: 20,
        heartbeat_ms: Some(150),
        renew_ms: 500,
        ping_ms: 500,
        poll_worker_loads: false,
        read_peer_claims: false,
        forward_edge_reports: false,
        unverified_after_ms: Some(0),
        ..Pacing::default()
    }
}
