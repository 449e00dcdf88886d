//! The checker: finds violated invariants in the records of a run.

use super::configuration_history;
use super::{ClientOutcome, World};
use sorreldoor::replicated_state::Outcome;
use sorreldoor::types::Millis;
use sorreldoor::wire::ProposalOutcome;
use std::collections::BTreeMap;

/// Time from the acknowledgement of a configuration until all edges apply it.
const CONFIGURATION_LIMIT_MS: Millis = 3000;
/// Time from the listing of a worker as draining until it gets no new requests.
const DRAINING_LIMIT_MS: Millis = 4000;
/// Time from the acknowledgement of an evacuation until the zone gets no requests.
const EVACUATION_LIMIT_MS: Millis = 5000;
/// Window over which retries are compared with first attempts.
const RETRY_WINDOW_MS: Millis = 5000;
/// First attempts that a window must have to be checked.
const MIN_WINDOW_FIRST_ATTEMPTS: u64 = 100;
/// Window over which spilled requests are compared with all requests.
const SPILL_WINDOW_MS: Millis = 2000;
/// Requests that a window must have to be counted.
const MIN_WINDOW_REQUESTS: u64 = 20;
/// Requests beyond the slow-start limit that a worker may hold.
const SLOW_START_TOLERANCE: u32 = 2;

/// The violated invariants of a run; empty for a correct run.
#[must_use]
pub fn check(world: &World) -> Vec<String> {
    let mut violations = world.violations.clone();
    configuration_history::check_executions(world, &mut violations);
    configuration_history::check_forwarding(world, &mut violations);
    check_responses(world, &mut violations);
    check_versions(world, &mut violations);
    check_draining(world, &mut violations);
    check_evacuations(world, &mut violations);
    check_races(world, &mut violations);
    violations
}

/// A complete response reaches the client that it was produced for; a stream's
/// events arrive in order, and all of them if the stream ended.
fn check_responses(world: &World, violations: &mut Vec<String>) {
    for (id, client) in &world.clients {
        if matches!(client.outcome, ClientOutcome::Complete(of) if of != *id) {
            violations.push(format!(
                "client {id} got a response of another: {:?}",
                client.outcome
            ));
        }
        let events = &client.received_events;
        let in_order = events.iter().enumerate().all(|(i, seq)| *seq == i as u64);
        if !in_order {
            violations.push(format!(
                "client {id} received events out of order: {events:?}"
            ));
        }
        let ended = client.outcome == ClientOutcome::StreamComplete;
        if ended && events.len() as u64 != client.events {
            violations.push(format!(
                "client {id} received the end of its stream after events {events:?}"
            ));
        }
    }
}

/// A configuration change that was acknowledged.
struct Acknowledged {
    at: Millis,
    version: u64,
    /// The zone that it evacuates (true) or readmits (false), if any.
    zone: Option<(u16, bool)>,
}

fn acknowledged_changes(world: &World) -> Vec<Acknowledged> {
    let acknowledged = world.changes.iter().filter_map(|change| {
        let Some(ProposalOutcome::Committed(Outcome::Applied { version })) = &change.outcome else {
            return None;
        };
        Some(Acknowledged {
            at: change.end,
            version: *version,
            zone: change.zone,
        })
    });
    acknowledged.collect()
}

/// `CONFIGURATION_LIMIT_MS` after an acknowledgement no edge forwards under an older
/// version, and an edge's version never decreases.
fn check_versions(world: &World, violations: &mut Vec<String>) {
    let acknowledged = acknowledged_changes(world);
    let mut last: BTreeMap<usize, u64> = BTreeMap::new();
    for request in &world.forwarded {
        let due = acknowledged
            .iter()
            .filter(|change| change.at + CONFIGURATION_LIMIT_MS < request.at)
            .map(|change| change.version)
            .max()
            .unwrap_or(0);
        let edge = &world.processes[request.edge].name;
        if request.version < due {
            violations.push(format!(
                "{edge} acted on version {} at {}, expected at least {due}",
                request.version, request.at
            ));
        }
        let before = last.entry(request.edge).or_default();
        if request.version < *before {
            violations.push(format!(
                "{edge} went back from version {before} to {}",
                request.version
            ));
        }
        *before = (*before).max(request.version);
    }
}

fn check_draining(world: &World, violations: &mut Vec<String>) {
    for request in &world.forwarded {
        let since = world.draining_since.get(&request.worker);
        if since.is_some_and(|since| since + DRAINING_LIMIT_MS < request.at) {
            let worker = &world.workers[request.worker].name;
            violations.push(format!("draining {worker} got {}", request.id));
        }
    }
}

/// A period in which an evacuated zone must get no requests.
struct Evacuation {
    zone: u16,
    from: Millis,
    until: Millis,
}

impl Evacuation {
    fn forbids(&self, zone: u16, at: Millis) -> bool {
        self.zone == zone && at > self.from && at < self.until
    }
}

fn evacuations(world: &World) -> Vec<Evacuation> {
    let acknowledged = acknowledged_changes(world);
    let evacuations = acknowledged.iter().filter_map(|change| {
        let (zone, true) = change.zone? else {
            return None;
        };
        let from = change.at + EVACUATION_LIMIT_MS;
        let until = readmitted_at(world, &acknowledged, zone, change.version);
        Some(Evacuation { zone, from, until })
    });
    evacuations.collect()
}

/// When a zone that was evacuated as of `version` may first be readmitted: a
/// readmission may take effect before it is acknowledged, or without ever being
/// acknowledged.
fn readmitted_at(world: &World, acknowledged: &[Acknowledged], zone: u16, version: u64) -> Millis {
    let readmits = Some((zone, false));
    let acknowledged_at = acknowledged
        .iter()
        .filter(|change| change.version > version && change.zone == readmits)
        .map(|change| change.at.saturating_sub(world.ack_ms));
    let unknown = world
        .changes
        .iter()
        .filter(|change| change.zone == readmits && change.base >= version)
        .filter(|change| matches!(change.outcome, None | Some(ProposalOutcome::Unknown)))
        .map(|change| change.start);
    acknowledged_at.chain(unknown).min().unwrap_or(Millis::MAX)
}

/// `EVACUATION_LIMIT_MS` after its acknowledged evacuation a zone's workers and edges get
/// no requests, until the zone is readmitted.
fn check_evacuations(world: &World, violations: &mut Vec<String>) {
    let evacuations = evacuations(world);
    for request in &world.forwarded {
        let zone = world.workers[request.worker].zone;
        let forbidden = evacuations.iter().filter(|e| e.forbids(zone, request.at));
        violations.extend(forbidden.map(|_| {
            let (id, at) = (&request.id, request.at);
            format!("evacuated zone {zone} got {id} at {at}")
        }));
    }
    for body in &world.received_bodies {
        let zone = world.processes[body.edge].zone;
        let forbidden = evacuations.iter().filter(|e| e.forbids(zone, body.at));
        violations.extend(forbidden.map(|_| {
            let (client, at) = (body.client, body.at);
            format!("edge in evacuated zone {zone} received a request of client {client} at {at}")
        }));
    }
}

/// Of the changes based on one version at most one is committed, as the next
/// version.
fn check_races(world: &World, violations: &mut Vec<String>) {
    let mut winners: BTreeMap<u64, u64> = BTreeMap::new();
    for change in &world.changes {
        let Some(ProposalOutcome::Committed(Outcome::Applied { version })) = &change.outcome else {
            continue;
        };
        if *version != change.base + 1 {
            let base = change.base;
            violations.push(format!(
                "a change based on version {base} was committed as {version}"
            ));
        }
        let winner = winners.entry(*version).or_insert(change.request_id);
        if *winner != change.request_id {
            violations.push(format!("two changes were committed as version {version}"));
        }
    }
}

/// First attempts and retries of a window of time.
#[derive(Clone, Copy, Default)]
struct AttemptCounts {
    first: u64,
    retries: u64,
}

impl AttemptCounts {
    fn add(&mut self, is_first: bool) {
        self.first += u64::from(is_first);
        self.retries += u64::from(!is_first);
    }

    /// Whether retries exceed a fifth of the first attempts, plus two per edge.
    fn over_budget(self, edges: usize) -> bool {
        self.retries > self.first / 5 + 2 * edges as u64
    }
}

impl World {
    /// The running cores that lack an acknowledged change; only meaningful after
    /// all faults have healed.
    #[must_use]
    pub fn lost_acknowledged_changes(&self) -> Vec<String> {
        let acknowledged = acknowledged_changes(self);
        let newest = acknowledged.iter().map(|change| change.version).max();
        let newest = newest.unwrap_or(0);
        let behind = self.cores().into_iter().filter_map(|core| {
            let consensus = self.controller(core)?.consensus()?;
            let version = consensus.state_machine().version();
            let name = &self.processes[core].name;
            (version < newest)
                .then(|| format!("{name} is at version {version}, {newest} was acked"))
        });
        behind.collect()
    }

    /// The periods in which the retries of all edges exceeded the budget: the
    /// whole run, and each window with enough first attempts.
    #[must_use]
    pub fn retry_budget_violations(&self) -> Vec<String> {
        let mut total = AttemptCounts::default();
        let mut windows: BTreeMap<Millis, AttemptCounts> = BTreeMap::new();
        let mut attempts: BTreeMap<u64, u64> = BTreeMap::new();
        for (at, client) in &self.opened_attempts {
            let attempt = attempts.entry(*client).or_default();
            *attempt += 1;
            let is_first = *attempt == 1;
            windows
                .entry(at / RETRY_WINDOW_MS)
                .or_default()
                .add(is_first);
            total.add(is_first);
        }
        let edges = self.edges().len();
        let mut violations = Vec::new();
        if total.over_budget(edges) {
            let AttemptCounts { first, retries } = total;
            violations.push(format!(
                "{retries} retries of {first} first attempts in total"
            ));
        }
        for (window, counts) in windows {
            let AttemptCounts { first, retries } = counts;
            if first >= MIN_WINDOW_FIRST_ATTEMPTS && counts.over_budget(edges) {
                let from_s = window * RETRY_WINDOW_MS / 1000;
                violations.push(format!(
                    "{retries} retries of {first} first attempts from {from_s} s on"
                ));
            }
        }
        violations
    }

    /// For each region, the highest percentage of the requests at its edges that
    /// were forwarded to other regions in any window of the period.
    #[must_use]
    pub fn spill_percent(&self, from: Millis, to: Millis) -> Vec<u64> {
        let regions = 0..self.site.regions.len() as u8;
        regions
            .map(|region| self.spill_percent_of(region, from..to))
            .collect()
    }

    fn spill_percent_of(&self, region: u8, period: std::ops::Range<Millis>) -> u64 {
        /// The requests of a window, and how many were spilled.
        type Window = (u64, u64);
        let mut windows: BTreeMap<Millis, Window> = BTreeMap::new();
        let is_home = |edge: usize| self.processes[edge].region == region;
        for client in self.clients.values().filter(|client| is_home(client.edge)) {
            if period.contains(&client.start) {
                windows.entry(client.start / SPILL_WINDOW_MS).or_default().0 += 1;
            }
        }
        for request in self
            .forwarded
            .iter()
            .filter(|request| is_home(request.edge))
        {
            let spilled = self.workers[request.worker].region != region;
            if spilled && period.contains(&request.at) {
                windows.entry(request.at / SPILL_WINDOW_MS).or_default().1 += 1;
            }
        }
        let busy = windows
            .values()
            .filter(|(requests, _)| *requests >= MIN_WINDOW_REQUESTS);
        let percents = busy.map(|(requests, spilled)| spilled * 100 / requests);
        percents.max().unwrap_or(0)
    }

    /// Workers that exceeded the slow-start limit by more than the tolerance.
    #[must_use]
    pub fn slow_start_violations(&self) -> Vec<String> {
        self.workers
            .iter()
            .filter(|worker| worker.model && worker.slow_start_excess > SLOW_START_TOLERANCE)
            .map(|worker| {
                let (name, excess) = (&worker.name, worker.slow_start_excess);
                format!("{name} had {excess} requests beyond slow start")
            })
            .collect()
    }
}
