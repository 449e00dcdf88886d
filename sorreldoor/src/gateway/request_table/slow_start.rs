//! Concurrency limits of workers, including slow start: a worker that has
//! just started takes few requests until it has finished some.

use crate::configuration::SlowStart;
use crate::invariants::{is_disabled, Invariant};
use crate::placement;
use crate::wire::EdgeEndpoint;

/// Load reports after which the slots of a warming worker rotate to other
/// edges.
const REPORTS_PER_ROTATION: u64 = 4;

/// The edges that share the workers, with their regions.
#[derive(Clone, Debug, Default)]
pub(super) struct EdgeSet {
    own_node: String,
    edges: Vec<(String, u8)>,
}

impl EdgeSet {
    /// The listed edges and this one, which is counted even if it is not listed.
    pub fn new(own_node: &str, own_region: u8, endpoints: &[EdgeEndpoint]) -> EdgeSet {
        let mut edges: Vec<(String, u8)> = endpoints
            .iter()
            .map(|edge| (edge.node.clone(), edge.region))
            .collect();
        if !edges.iter().any(|(node, _)| node == own_node) {
            edges.push((own_node.to_string(), own_region));
        }
        EdgeSet {
            own_node: own_node.to_string(),
            edges,
        }
    }

    fn all(&self) -> Vec<String> {
        self.edges.iter().map(|(node, _)| node.clone()).collect()
    }

    fn in_region(&self, region: u8) -> Vec<String> {
        self.edges
            .iter()
            .filter(|(_, edge_region)| *edge_region == region)
            .map(|(node, _)| node.clone())
            .collect()
    }
}

/// How far a worker has warmed up.
#[derive(Clone, Copy, Debug)]
pub(super) struct WorkerWarmup {
    pub region: u8,
    pub slots: u32,
    pub slow_start: SlowStart,
    /// Requests that it has finished since its start.
    pub finished: u64,
    /// Initial slots of the workers that precede it in its group and region.
    pub preceding_slots: u64,
    /// Version of the load report.
    pub report_version: u64,
}

/// Limits on the requests in flight at one worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConcurrencyLimit {
    /// Most requests of this edge.
    pub per_edge: u32,
    /// Most requests of all edges together.
    pub total: u32,
}

/// The limits of a worker. While it warms up, the limits of all edges add up
/// to its total limit.
pub(super) fn concurrency_limit(edges: &EdgeSet, worker: &WorkerWarmup) -> ConcurrencyLimit {
    let warmed = worker.finished / u64::from(worker.slow_start.requests_per_step.max(1));
    let limit = u64::from(worker.slow_start.initial_limit) + warmed;
    if limit >= u64::from(worker.slots) || is_disabled(Invariant::SlowStart) {
        warm_limit(edges, worker)
    } else {
        warming_limit(edges, worker, limit as u32)
    }
}

/// The limits of a warm worker.
///
/// Load reports show the load of other edges with half a second of delay, so
/// each edge has a limit of its own. It exceeds an equal share, so that the
/// slots are used also if few edges send.
fn warm_limit(edges: &EdgeSet, worker: &WorkerWarmup) -> ConcurrencyLimit {
    let local = edges.in_region(worker.region);
    let sharers = if local.contains(&edges.own_node) {
        local.len()
    } else {
        2 * edges.all().len()
    };
    ConcurrencyLimit {
        per_edge: (worker.slots * 3).div_ceil(sharers as u32).max(1),
        total: worker.slots * 2,
    }
}

/// The limits of a warming worker.
///
/// The total is divided among the edges. If it is smaller than their number,
/// only some get a slot, and the slots rotate among all of them.
fn warming_limit(edges: &EdgeSet, worker: &WorkerWarmup, total: u32) -> ConcurrencyLimit {
    let local = edges.in_region(worker.region);
    let sharers = if local.is_empty() { edges.all() } else { local };
    if !sharers.contains(&edges.own_node) {
        return ConcurrencyLimit {
            per_edge: 0,
            total: 0,
        };
    }
    let rotation = worker.report_version / REPORTS_PER_ROTATION;
    let rank = placement::edge_rank(&sharers, &edges.own_node, worker.preceding_slots + rotation);
    ConcurrencyLimit {
        per_edge: placement::share_of_limit(total, sharers.len(), rank),
        total,
    }
}
