//! The edge's view of the cluster: everything it has received from the
//! control plane, indexed for matching.

use super::slow_start::{self, ConcurrencyLimit, EdgeSet};
use crate::configuration::{self, Configuration, Group, Site};
use crate::discovery::{Loads, Worker, WorkerRegistry};
use crate::error::ErrorCode;
use crate::invariants::{is_disabled, Invariant};
use crate::placement::{self, Candidate};
use crate::replicated_state::{Recovery, View};
use crate::wire::EdgeEndpoint;
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// The latest state received from each source.
#[derive(Clone, Debug, Default)]
pub struct ClusterSnapshot {
    /// The replicated state, without the parts that only cores use.
    pub view: View,
    /// The workers of the platform.
    pub registry: Arc<WorkerRegistry>,
    /// The latest load report of each worker.
    pub loads: Arc<Loads>,
    /// Version and contents of the list of edges.
    pub edge_sessions: (u64, Vec<EdgeEndpoint>),
}

/// The latest state with the placement candidates derived from it. A worker's
/// index is assigned at its first appearance and never changes while the edge
/// runs.
#[derive(Default)]
pub struct ClusterView {
    /// Names of the site's regions and zones.
    pub site: Arc<Site>,
    /// Name of this edge.
    pub node: String,
    /// Index of this edge's zone.
    pub zone: u16,
    /// Index of this edge's region.
    pub region: u8,
    /// The state that the candidates are derived from.
    pub snapshot: ClusterSnapshot,
    /// The configuration in force; none before the first, or while the latest
    /// one cannot be read.
    pub configuration: Option<Arc<Configuration>>,
    /// Index of each worker that was ever in the registry, by name.
    index: HashMap<String, usize>,
    /// By index; none for workers that are not in the registry now.
    pub(super) candidates: Vec<Option<Candidate>>,
    addresses: Vec<Option<SocketAddr>>,
    /// Requests of this edge in flight at each worker.
    own_in_flight: Vec<u32>,
    /// Requests sent to each worker since the last load report.
    sent_since_report: Vec<u32>,
    edges: EdgeSet,
}

impl ClusterView {
    /// An empty view for the edge `node`.
    pub fn new(site: Arc<Site>, node: String, zone: u16, region: u8) -> ClusterView {
        ClusterView {
            site,
            node,
            zone,
            region,
            ..ClusterView::default()
        }
    }

    /// Applies a newer view of the replicated state; false if its
    /// configuration cannot be read. Older views are ignored.
    #[must_use]
    pub fn apply_view(&mut self, view: View) -> bool {
        if view.revision < self.snapshot.view.revision {
            return true;
        }
        let unchanged =
            view.document == self.snapshot.view.document && self.configuration.is_some();
        let parsed = view
            .document
            .as_ref()
            .filter(|_| !unchanged)
            .map(|document| configuration::parse_accepted(document, &self.site));
        self.snapshot.view = view;
        let readable = parsed.as_ref().is_none_or(|result| result.is_ok());
        if let Some(result) = parsed {
            self.configuration = result.ok().map(|(parsed, _)| Arc::new(parsed));
        }
        self.rebuild();
        readable
    }

    /// Applies a worker registry, unless it is older than the current one.
    pub fn apply_registry(&mut self, registry: Arc<WorkerRegistry>) {
        if registry.version >= self.snapshot.registry.version {
            self.snapshot.registry = registry;
            self.rebuild();
        }
    }

    /// Applies a load report, unless it is not newer than the current one.
    pub fn apply_loads(&mut self, loads: Arc<Loads>) {
        if loads.epoch_and_version() > self.snapshot.loads.epoch_and_version() {
            self.snapshot.loads = loads;
            self.sent_since_report.fill(0);
            self.rebuild();
        }
    }

    /// Applies the list of edges with its version.
    pub fn apply_edge_sessions(&mut self, edge_sessions: (u64, Vec<EdgeEndpoint>)) {
        self.snapshot.edge_sessions = edge_sessions;
        self.rebuild();
    }

    /// The index of a worker, assigned at its first appearance.
    fn worker_index(&mut self, name: &str) -> usize {
        let next = self.index.len();
        let index = *self.index.entry(name.to_string()).or_insert(next);
        if index == next {
            self.candidates.push(None);
            self.addresses.push(None);
            self.own_in_flight.push(0);
            self.sent_since_report.push(0);
        }
        index
    }

    /// Whether the zone is evacuated, so that it takes no new requests.
    pub fn is_evacuated(&self, zone: u16) -> bool {
        self.snapshot.view.evacuated.contains(&zone) && !is_disabled(Invariant::EvacuatedZone)
    }

    /// The recovery state of a region.
    pub fn recovery(&self, region: u8) -> Recovery {
        let regions = &self.snapshot.view.regions;
        regions
            .iter()
            .find(|(name, _)| *name == region)
            .map_or(Recovery::Served, |(_, recovery)| *recovery)
    }

    /// The configuration, and the index of a route in it.
    ///
    /// # Errors
    /// `NoConfiguration` before the first one, `UnknownRoute` if it has none
    /// of this name.
    pub fn route(&self, name: &str) -> Result<(&Configuration, u16), ErrorCode> {
        let configuration = self.configuration.as_ref();
        let configuration = configuration.ok_or(ErrorCode::NoConfiguration)?;
        let index = configuration.route(name).ok_or(ErrorCode::UnknownRoute)?;
        Ok((configuration, index))
    }

    /// Regions that this one may spill to, with the percentage of each.
    pub(super) fn spill_limits<'c>(
        &self,
        configuration: &'c Configuration,
    ) -> impl Iterator<Item = (u8, u32)> + 'c {
        let own = self.region;
        configuration
            .spill
            .iter()
            .filter(move |((from, _), _)| *from == own)
            .map(|((_, to), percent)| (*to, *percent))
    }

    /// Derives all candidates from the latest state.
    fn rebuild(&mut self) {
        let endpoints = &self.snapshot.edge_sessions.1;
        self.edges = EdgeSet::new(&self.node, self.region, endpoints);
        self.candidates.fill(None);
        let Some(configuration) = self.configuration.clone() else {
            return;
        };
        let registry = self.snapshot.registry.clone();
        // initial slots of earlier workers of the same group and region
        let mut preceding_slots: BTreeMap<(u16, u8), u64> = BTreeMap::new();
        for worker in &registry.workers {
            let Some(group_index) = configuration.group(&worker.group) else {
                continue;
            };
            let group = &configuration.groups[group_index as usize];
            let preceding_slots = preceding_slots
                .entry((group_index, worker.region))
                .or_default();
            let index = self.worker_index(&worker.name);
            let candidate = self.candidate_of(worker, index, group_index, group, *preceding_slots);
            *preceding_slots += u64::from(group.slow_start.initial_limit);
            self.addresses[index] = Some(worker.addr);
            self.candidates[index] = Some(candidate);
        }
    }

    fn candidate_of(
        &self,
        worker: &Worker,
        index: usize,
        group_index: u16,
        group: &Group,
        preceding_slots: u64,
    ) -> Candidate {
        let loads = &self.snapshot.loads;
        let load = loads.of(&worker.name);
        let slots = load.map_or(0, |load| load.slots).max(1).min(group.slots);
        let draining = worker.leaving && !is_disabled(Invariant::DrainingWorker);
        let live = load.is_some_and(|load| load.live);
        let ConcurrencyLimit { per_edge, total } = slow_start::concurrency_limit(
            &self.edges,
            &slow_start::WorkerWarmup {
                region: worker.region,
                slots,
                slow_start: group.slow_start,
                finished: load.map_or(0, |load| load.finished),
                preceding_slots,
                report_version: loads.version,
            },
        );
        let reported = load.map_or(0, |load| load.running + load.queued);
        Candidate {
            name: worker.name.clone(),
            group: group_index,
            zone: worker.zone,
            region: worker.region,
            available: !draining && !self.is_evacuated(worker.zone) && live,
            slots,
            in_flight: reported + self.sent_since_report[index],
            own_in_flight: self.own_in_flight[index],
            own_limit: per_edge,
            total_limit: total,
            adapters: load.map_or(Vec::new(), |load| load.adapters.clone()),
        }
    }

    /// The candidate with this index, if it is in the registry.
    pub(super) fn candidate(&self, worker: usize) -> Option<&Candidate> {
        self.candidates.get(worker)?.as_ref()
    }

    pub(super) fn address(&self, worker: usize) -> Option<SocketAddr> {
        self.addresses.get(worker).copied().flatten()
    }

    /// The name of a service in the current configuration.
    pub(super) fn service_name(&self, service: u16) -> Option<String> {
        let configuration = self.configuration.as_ref()?;
        Some(configuration.services[service as usize].name.clone())
    }

    /// Counts an attempt as in flight at a worker.
    pub(super) fn record_sent(&mut self, worker: usize) {
        self.own_in_flight[worker] += 1;
        self.sent_since_report[worker] += 1;
        if let Some(candidate) = self.candidates[worker].as_mut() {
            candidate.own_in_flight += 1;
            candidate.in_flight += 1;
        }
    }

    /// Counts an attempt as finished.
    pub(super) fn record_finished(&mut self, worker: usize) {
        let own_in_flight = &mut self.own_in_flight[worker];
        *own_in_flight = own_in_flight.saturating_sub(1);
        if let Some(candidate) = self.candidates[worker].as_mut() {
            candidate.own_in_flight = candidate.own_in_flight.saturating_sub(1);
            candidate.in_flight = candidate.in_flight.saturating_sub(1);
        }
        let sent_since_report = &mut self.sent_since_report[worker];
        *sent_since_report = sent_since_report.saturating_sub(1);
    }

    /// Whether a worker takes new requests.
    pub(super) fn is_available(&self, worker: usize) -> bool {
        self.candidate(worker)
            .is_some_and(|candidate| candidate.available)
    }

    /// The name of a worker; empty if it is not in the registry any more.
    pub(super) fn worker_name(&self, worker: usize) -> String {
        self.candidate(worker)
            .map_or_else(String::new, |candidate| candidate.name.clone())
    }

    /// HTTP addresses of ready edges, in the order in which a caller with
    /// this key should try them: those in `region` first, or if `region_only`
    /// none but those.
    pub fn edges_for(&self, region: Option<u8>, region_only: bool, key: &str) -> Vec<String> {
        let endpoints = &self.snapshot.edge_sessions.1;
        let mut edges: Vec<&EdgeEndpoint> = endpoints
            .iter()
            .filter(|edge| edge.ready && !self.is_evacuated(edge.zone))
            .filter(|edge| !region_only || region == Some(edge.region))
            .collect();
        edges.sort_by_key(|edge| {
            let remote = region.is_some_and(|region| region != edge.region);
            (remote, Reverse(placement::hash_pair(key, &edge.node)))
        });
        edges.iter().map(|edge| edge.http.clone()).collect()
    }
}
