//! The report of a soak: counts, usage and violations.

use super::operator::version_of;
use super::plan::Plan;
use super::processes::Usage;
use super::records::{ChangeState, Disturbance, Ending, Records};
use super::SoakOptions;
use crate::sync::lock;
use serde::Serialize;
use simd_json::prelude::*;
use sorreldoor::json::{self, Value};
use std::fmt;
use std::sync::atomic::Ordering;

/// The result of a soak.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    pub seed: u64,
    pub seconds: u64,
    pub processes: usize,
    pub clients: usize,
    pub connections: u64,
    pub requests: usize,
    pub served: usize,
    /// Answered 401 or 404.
    pub denied: usize,
    /// Answered by another status.
    pub refused: usize,
    /// Requests whose connection closed before the end of the response.
    pub closed: usize,
    pub given_up: usize,
    pub runs: usize,
    pub changes: usize,
    pub acknowledged: usize,
    /// Acknowledged evacuations of the zone and returns to service.
    pub zone_changes: usize,
    pub signals: usize,
    pub starts_and_kills: usize,
    /// The highest memory and the highest number of descriptors of any process at the
    /// start, at half time and at the end.
    pub usage: [Usage; 3],
    pub violations: Vec<String>,
}

impl Report {
    pub(super) fn new(
        options: &SoakOptions,
        records: &Records,
        violations: Vec<String>,
        usage: [Vec<Usage>; 3],
        clients: usize,
    ) -> Report {
        let requests = lock(&records.requests);
        let changes = lock(&records.changes);
        let disturbances = lock(&records.disturbances);
        let answered = |wanted: fn(u16) -> bool| {
            let matching = requests
                .iter()
                .filter(|r| matches!(r.ending, Ending::Answered { status, .. } if wanted(status)));
            matching.count()
        };
        let ended = |ending: Ending| requests.iter().filter(|r| r.ending == ending).count();
        let acknowledged = changes
            .iter()
            .filter(|c| matches!(c.state, ChangeState::Acknowledged { .. }));
        let zone_changes = lock(&records.zone_changes);
        let zone_changes = zone_changes
            .iter()
            .filter(|c| matches!(c.state, ChangeState::Acknowledged { .. }));
        let of_kind = |kind| disturbances.iter().filter(|d| d.kind == kind).count();
        Report {
            seed: options.seed,
            seconds: options.seconds,
            processes: options.cores + options.edges,
            clients,
            connections: records.connections.load(Ordering::Relaxed),
            requests: requests.len(),
            served: answered(|status| status == 200),
            denied: answered(|status| matches!(status, 401 | 404)),
            refused: answered(|status| !matches!(status, 200 | 401 | 404)),
            closed: ended(Ending::Closed),
            given_up: ended(Ending::TimedOut),
            runs: lock(&records.runs).len(),
            changes: changes.len(),
            acknowledged: acknowledged.count(),
            zone_changes: zone_changes.count(),
            signals: of_kind(Disturbance::Planned),
            starts_and_kills: of_kind(Disturbance::Unplanned),
            usage: usage.map(max_usage),
            violations,
        }
    }
}

fn max_usage(all: Vec<Usage>) -> Usage {
    Usage {
        resident_kb: all.iter().map(|usage| usage.resident_kb).max().unwrap_or(0),
        descriptors: all.iter().map(|usage| usage.descriptors).max().unwrap_or(0),
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [start, middle, end] = self.usage;
        write!(
            f,
            "seed {} {} s {} processes {} clients: {} connections, {} requests, {} served, {} denied, {} rejected or failed, {} closed, {} timed out; {} runs; {} changes, {} acknowledged, {} of the zone; {} SIGTERM or SIGHUP, {} other signals and starts; most memory {}/{}/{} kB, descriptors {}/{}/{}; {} violations",
            self.seed,
            self.seconds,
            self.processes,
            self.clients,
            self.connections,
            self.requests,
            self.served,
            self.denied,
            self.refused,
            self.closed,
            self.given_up,
            self.runs,
            self.changes,
            self.acknowledged,
            self.zone_changes,
            self.signals,
            self.starts_and_kills,
            start.resident_kb,
            middle.resident_kb,
            end.resident_kb,
            start.descriptors,
            middle.descriptors,
            end.descriptors,
            self.violations.len()
        )
    }
}

/// Violations by the configuration that a core returned at the end.
pub(super) fn read_back_faults(records: &Records, body: Option<&[u8]>) -> Vec<String> {
    let Some(body) = body else {
        return vec!["read-back: no core returns the configuration".into()];
    };
    let changes = lock(&records.changes);
    let newest = changes
        .iter()
        .filter(|c| matches!(c.state, ChangeState::Acknowledged { .. }))
        .map(|c| c.plan.version)
        .max();
    let version = version_of(body);
    if version < newest {
        return vec![format!(
            "read-back: version {version:?} is older than the acknowledged {newest:?}"
        )];
    }
    let sent = changes.iter().filter(|c| Some(c.plan.version) == version);
    let mut sent = sent.filter(|c| c.state != ChangeState::Rejected);
    match sent.any(|change| same_content(&change.plan, body)) {
        true => Vec::new(),
        false => vec![format!(
            "read-back: version {version:?} differs from every configuration sent with this version"
        )],
    }
}

/// Whether a configuration in JSON equals the plan, regardless of the order of items.
fn same_content(plan: &Plan, body: &[u8]) -> bool {
    let parsed = |text: &[u8]| json::parse(text, usize::MAX).ok().map(sorted);
    parsed(body).is_some_and(|value| Some(value) == parsed(plan.body().as_bytes()))
}

/// The canonical text of a document with its lists of items sorted.
fn sorted(mut document: Value) -> String {
    for list in ["routes", "svcs", "tenants"] {
        if let Some(items) = document.get_mut(list).and_then(|list| list.as_array_mut()) {
            items.sort_by_key(json::canonical);
        }
    }
    json::canonical(&document)
}
