//! Explains to operators where a request would be sent now, with the functions
//! that also place real requests.

use super::matching::Match;
use super::{ClusterView, Request, RequestSpec, RequestTable};
use crate::configuration::{Configuration, Kind, Route};
use crate::error::ErrorCode;
use crate::json::Value;
use crate::placement::{self, Candidate, PlacementRequest};
use crate::replicated_state::Recovery;
use crate::weight_tuning;
use simd_json::prelude::*;

impl RequestTable {
    /// Where a request would go if it arrived at this edge now.
    ///
    /// # Errors
    /// `NoConfiguration` or `UnknownRoute`.
    pub fn explain(&self, cluster: &ClusterView, spec: RequestSpec) -> Result<Value, ErrorCode> {
        let (configuration, index) = cluster.route(&spec.route)?;
        let route = &configuration.routes[index as usize];
        let request = Request::new(spec.clone(), index, 0, 0);
        let chosen = self.find_worker(cluster, &request);
        let worker = chosen.map(|chosen| worker_json(cluster, chosen.placement.worker));
        let service = chosen.map(|chosen| {
            let service = chosen.placement.service as usize;
            configuration.services[service].name.clone()
        });
        let edges = cluster.edges_for(Some(cluster.region), route.home, &spec.key);
        let mut v = Value::object();
        let _ = v.insert("route", route.name.as_str());
        let _ = v.insert("key", spec.key.as_str());
        let _ = v.insert("region", cluster.site.region_name(cluster.region));
        let _ = v.insert("serial", cluster.snapshot.view.version);
        let _ = v.insert("edges", edges);
        let services = services_json(cluster, configuration, &spec, index);
        let _ = v.insert("services", services);
        let _ = v.insert("spill", spill_json(cluster, configuration));
        let _ = v.insert("worker", worker.unwrap_or_default());
        let _ = v.insert("service", service);
        let _ = v.insert("spilt", chosen.is_some_and(|chosen| chosen.spilled));
        let _ = v.insert("why", reason(cluster, &spec, route, chosen));
        Ok(v)
    }
}

/// The route's services in the order in which they are tried.
fn services_json(
    cluster: &ClusterView,
    configuration: &Configuration,
    spec: &RequestSpec,
    route: u16,
) -> Vec<Value> {
    let request = PlacementRequest {
        route,
        key: &spec.key,
        id: &spec.id,
        ..PlacementRequest::default()
    };
    let tuned = &cluster.snapshot.view.weights;
    let shares = &configuration.routes[route as usize].shares;
    placement::ranked_services(configuration, tuned, &request)
        .into_iter()
        .filter_map(|service| shares.iter().find(|share| share.service == service))
        .map(|share| {
            let weight = weight_tuning::weight(tuned, route, share.service);
            let service = &configuration.services[share.service as usize];
            let mut v = Value::object();
            let _ = v.insert("service", service.name.as_str());
            let _ = v.insert("weight", weight.unwrap_or(share.weight));
            let _ = v.insert("set", share.weight);
            let _ = v.insert("least", share.min_weight);
            let _ = v.insert("most", share.max_weight);
            v
        })
        .collect()
}

fn spill_json(cluster: &ClusterView, configuration: &Configuration) -> Value {
    let mut v = Value::object();
    for (region, percent) in cluster.spill_limits(configuration) {
        debug_assert!(region != cluster.region);
        let _ = v.insert(cluster.site.region_name(region).to_string(), percent);
    }
    v
}

fn worker_json(cluster: &ClusterView, worker: usize) -> Value {
    let mut v = Value::object();
    if let Some(candidate) = cluster.candidate(worker) {
        let _ = v.insert("name", candidate.name.as_str());
        let _ = v.insert("zone", cluster.site.zone_name(candidate.zone));
        let _ = v.insert("region", cluster.site.region_name(candidate.region));
        let _ = v.insert("busy", candidate.in_flight);
        let _ = v.insert("slots", candidate.slots);
        let _ = v.insert("cap", candidate.total_limit);
    }
    v
}

fn reason(
    cluster: &ClusterView,
    spec: &RequestSpec,
    route: &Route,
    chosen: Option<Match>,
) -> String {
    let Some(chosen) = chosen else {
        return if cluster.is_evacuated(cluster.zone) {
            "this edge's zone is emptied".into()
        } else {
            "no worker that the setup allows has room now; it would wait".into()
        };
    };
    let candidate = cluster.candidate(chosen.placement.worker);
    let full = candidate.is_some_and(Candidate::is_full);
    let choice = match route.kind {
        Kind::Prefix if !spec.key.is_empty() && !full => {
            "the highest-ranked worker for this prefix that is not full"
        }
        Kind::Prefix => "the least full worker, since those ranked for this prefix are full",
        _ => "the least full worker",
    };
    let location = match (chosen.spilled, cluster.recovery(cluster.region)) {
        (true, _) => " in another region, within the spill limit",
        (false, Recovery::Returning(_)) => " here; the region is returning",
        _ => " here",
    };
    format!("{choice}{location}")
}
