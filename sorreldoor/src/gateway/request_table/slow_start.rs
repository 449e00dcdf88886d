//! Concurrency limits of workers, including slow start: a worker that has
//! just started takes few requests until it has finished some.

use crate::configuration::SlowStart;
use crate::invariants::{broken, Invariant};
use crate::placement;
use crate::wire::EdgeEndpoint;

/// Load reports after which the places of a warming worker move on to other
/// edges.
const REPORTS_PER_TURN: u64 = 4;

/// The edges that share the workers, with their regions.
#[derive(Clone, Debug, Default)]
pub(super) struct EdgeSet {
    own_node: String,
    edges: Vec<(String, u8)>,
}

impl EdgeSet {
    /// The listed edges and this one, which counts before it is listed.
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
    /// Initial places of the workers before it in its group and region.
    pub dealt: u64,
    /// Version of the load report.
    pub report_version: u64,
}

/// Most requests in flight at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConcurrencyLimit {
    /// Requests of this edge.
    pub per_edge: u32,
    /// Requests of all edges.
    pub total: u32,
}

/// The limits of a worker. They are strict while it warms up.
pub(super) fn concurrency_limit(edges: &EdgeSet, worker: &WorkerWarmup) -> ConcurrencyLimit {
    let warmed = worker.finished / u64::from(worker.slow_start.requests_per_step.max(1));
    let limit = u64::from(worker.slow_start.initial_limit) + warmed;
    if limit >= u64::from(worker.slots) || broken(Invariant::Warm) {
        warm_limit(edges, worker)
    } else {
        warming_limit(edges, worker, limit as u32)
    }
}

/// The limits of a warm worker.
///
/// The load that other edges add is reported half a second late, so no edge
/// may fill a worker; a share too small would leave slots unused.
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
/// The total holds for all edges together, so a few edges have the places to
/// themselves; they take turns so that none goes without.
fn warming_limit(edges: &EdgeSet, worker: &WorkerWarmup, total: u32) -> ConcurrencyLimit {
    let local = edges.in_region(worker.region);
    let sharers = if local.is_empty() { edges.all() } else { local };
    if !sharers.contains(&edges.own_node) {
        return ConcurrencyLimit {
            per_edge: 0,
            total: 0,
        };
    }
    let turn = worker.report_version / REPORTS_PER_TURN;
    let rank = placement::edge_rank(&sharers, &edges.own_node, worker.dealt + turn);
    ConcurrencyLimit {
        per_edge: placement::share_of_limit(total, sharers.len(), rank),
        total,
    }
}
