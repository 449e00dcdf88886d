//! Eligibility: which workers the current configuration allows for a request,
//! checked again at the moment of sending.

use super::{ClusterView, Request, RequestProfile};
use crate::configuration::{Configuration, Route, Share};
use crate::invariants::{is_disabled, Invariant};
use crate::placement::Candidate;
use crate::weight_tuning;

/// The request's route in the current configuration, checked by its name.
fn current_route<'c>(cluster: &'c ClusterView, request: &Request) -> Option<&'c Route> {
    let configuration = cluster.configuration.as_ref()?;
    let route = configuration.routes.get(request.route as usize)?;
    (route.name == request.spec.route).then_some(route)
}

/// Whether requests of the route must stay in their home region.
pub(super) fn is_home_bound(route: &Route) -> bool {
    route.home && !is_disabled(Invariant::HomeRegion)
}

/// Whether the request's route is idempotent in the current configuration.
pub(super) fn is_idempotent(cluster: &ClusterView, request: &Request) -> bool {
    current_route(cluster, request).is_some_and(|route| route.repeatable)
}

/// Whether the current configuration lets the request go to this worker,
/// through the service it was matched to.
pub(super) fn may_send_to(cluster: &ClusterView, request: &Request, worker: usize) -> bool {
    let candidate = cluster.candidate(worker);
    candidate.is_some_and(|candidate| {
        is_disabled(Invariant::AllowedWorker)
            || is_eligible(cluster, request, candidate, Some(&request.service))
    })
}

/// Whether any worker that the request may use is available, busy or not.
pub(super) fn has_eligible_worker(cluster: &ClusterView, request: &Request) -> bool {
    cluster
        .candidates
        .iter()
        .enumerate()
        .filter(|(worker, _)| !request.excluded_workers.contains(worker))
        .filter_map(|(_, candidate)| candidate.as_ref())
        .any(|candidate| candidate.available && is_eligible(cluster, request, candidate, None))
}

/// Whether a worker is eligible, through one service or through any.
///
/// The configuration may change between matching and sending, so the current
/// one is checked at both.
fn is_eligible(
    cluster: &ClusterView,
    request: &Request,
    candidate: &Candidate,
    service: Option<&str>,
) -> bool {
    let Some(configuration) = cluster.configuration.as_ref() else {
        return false;
    };
    let Some(route) = current_route(cluster, request) else {
        return false;
    };
    let shares = &route.shares;
    home_allows(cluster, request, route, candidate)
        && spill_allows(cluster, configuration, candidate)
        && shares
            .iter()
            .any(|share| share_allows(cluster, configuration, request, share, candidate, service))
        && RequestProfile::of(route).is_compatible(&request.spec.profile)
}

fn home_allows(
    cluster: &ClusterView,
    request: &Request,
    route: &Route,
    candidate: &Candidate,
) -> bool {
    let local = candidate.region == cluster.region;
    !is_home_bound(route) || (local && request.spec.home == Some(candidate.region))
}

fn spill_allows(
    cluster: &ClusterView,
    configuration: &Configuration,
    candidate: &Candidate,
) -> bool {
    let regions = (cluster.region, candidate.region);
    let limit = configuration.spill.get(&regions);
    candidate.region == cluster.region
        || limit.is_some_and(|percent| *percent > 0)
        || is_disabled(Invariant::SpillLimit)
}

fn share_allows(
    cluster: &ClusterView,
    configuration: &Configuration,
    request: &Request,
    share: &Share,
    candidate: &Candidate,
    service_name: Option<&str>,
) -> bool {
    let tuned = &cluster.snapshot.view.weights;
    let weight = weight_tuning::weight(tuned, request.route, share.service).unwrap_or(share.weight);
    let service = &configuration.services[share.service as usize];
    let same_service = service_name.is_none_or(|name| name == service.name);
    weight > 0 && same_service && service.groups.contains(&candidate.group)
}
