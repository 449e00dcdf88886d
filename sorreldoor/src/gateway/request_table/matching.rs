//! Matching: waiting requests are assigned to workers that have capacity.

use super::eligibility::is_home_bound;
use super::{ClusterView, Request, RequestEffect, RequestId, RequestTable, Stage};
use crate::configuration::{Configuration, Kind, Route};
use crate::placement::{self, Placement, PlacementRequest};
use crate::replicated_state::Recovery;
use crate::types::Millis;

/// A worker chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Match {
    pub placement: Placement,
    /// The worker is in another region.
    pub spilled: bool,
}

impl RequestTable {
    /// Assigns waiting requests to workers that have capacity, oldest first.
    pub fn match_waiting(&mut self, cluster: &mut ClusterView, now: Millis) {
        self.skipped_until.retain(|_, until| *until > now);
        for request_id in self.waiting_ids() {
            let Some(request) = self.requests.get(&request_id) else {
                continue;
            };
            if let Some(chosen) = self.find_worker(cluster, request) {
                self.start_attempt(cluster, request_id, chosen);
            }
        }
    }

    /// The worker that a request should go to, if any has capacity.
    pub(super) fn find_worker(&self, cluster: &ClusterView, request: &Request) -> Option<Match> {
        let configuration = cluster.configuration.as_ref()?;
        let route = configuration.routes.get(request.route as usize)?;
        let local = || {
            let region = cluster.region;
            let placement = self.place(cluster, configuration, route, request, region)?;
            let spilled = false;
            Some(Match { placement, spilled })
        };
        let remote = || {
            let placement = cluster
                .spill_limits(configuration)
                .filter(|(region, percent)| self.spill_budget.allows(*region, *percent))
                .find_map(|(region, _)| {
                    self.place(cluster, configuration, route, request, region)
                })?;
            let spilled = true;
            Some(Match { placement, spilled })
        };
        let local_percent = local_percent(cluster, route);
        if placement::hash_pair(&request.spec.id, "part") % 100 < local_percent {
            local().or_else(remote)
        } else {
            remote().or_else(local)
        }
    }

    fn place(
        &self,
        cluster: &ClusterView,
        configuration: &Configuration,
        route: &Route,
        request: &Request,
        region: u8,
    ) -> Option<Placement> {
        let placement_request = PlacementRequest {
            route: request.route,
            key: &request.spec.key,
            id: &request.spec.id,
            home: request.spec.home.filter(|_| is_home_bound(route)),
            adapter: request.spec.adapter.as_deref(),
        };
        let skip = |worker: usize| {
            request.excluded_workers.contains(&worker) || self.skipped_until.contains_key(&worker)
        };
        placement::select_worker(
            configuration,
            &cluster.snapshot.view.weights,
            &cluster.candidates,
            &skip,
            &placement_request,
            region,
        )
    }

    fn start_attempt(&mut self, cluster: &mut ClusterView, request_id: RequestId, chosen: Match) {
        let Placement { service, worker } = chosen.placement;
        let Some(addr) = cluster.address(worker) else {
            return;
        };
        self.last_token += 1;
        let token = self.last_token;
        if chosen.spilled {
            self.charge_spill(cluster, worker);
        }
        let service = cluster.service_name(service);
        if let Some(request) = self.requests.get_mut(&request_id) {
            request.stage = Stage::Connecting(worker);
            request.service = service.unwrap_or_default();
            request.spilled = chosen.spilled;
            request.token = token;
            request.attempts += 1;
        }
        cluster.record_sent(worker);
        self.effects.push(RequestEffect::Connect {
            request_id,
            token,
            worker,
            addr,
        });
    }

    fn charge_spill(&mut self, cluster: &ClusterView, worker: usize) {
        if let Some(candidate) = cluster.candidate(worker) {
            self.spill_budget.withdraw(candidate.region);
        }
        self.counters.spilled += 1;
    }
}

/// Percentage of requests that try their own region first. While a region
/// recovers with cold caches, the rest try other regions first.
fn local_percent(cluster: &ClusterView, route: &Route) -> u64 {
    match cluster.recovery(cluster.region) {
        Recovery::Returning(percent) if !route.home && route.kind != Kind::Fetch => {
            u64::from(percent)
        }
        _ => 100,
    }
}
