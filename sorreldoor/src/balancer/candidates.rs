//! Endpoint selection: filters the endpoints of a service by the rules of
//! registry, route and tenant, and finds the cheapest of them for a request.

use super::cost::{PromptProfile, RequestContext};
use super::endpoint::{Endpoint, SLOW_START_WINDOW};
use super::hash;
use super::index::{EndpointIndex, ServiceIndex};
use super::request_table::Request;
use super::service::ServiceState;
use super::state::Balancer;
use crate::configuration::hosted::{Route, Service};
use crate::types::Millis;

/// Maximum ratio of load to slots at which an endpoint has capacity. Above 1, as a
/// few queued requests keep the endpoint busy.
const MAX_LOAD_RATIO: f64 = 1.5;
/// Fraction of the rate limit of slow start that is used.
const SLOW_START_MARGIN: f64 = 0.85;

/// An endpoint evaluated for a request, with its cost and the estimates behind it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub endpoint: EndpointIndex,
    pub cost: f64,
    pub load: f64,
    /// Number of leading prompt segments expected in its prefix cache.
    pub cached_segments: usize,
    /// Prompt tokens left for prefill.
    pub prefill_tokens: u32,
}

/// The best endpoints of a service for a request, and the capacity of all that are
/// eligible.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Candidates {
    /// Number of endpoints that the rules allow, with or without capacity.
    pub eligible: u32,
    /// The cheapest endpoints with capacity: in this region, and in others.
    local: Option<Choice>,
    remote: Option<Choice>,
    /// The least loaded endpoint without capacity. Endpoints of other regions count
    /// as without capacity once all their slots are in use.
    pub overloaded: Option<Choice>,
    /// Slots of the eligible endpoints, and those in use.
    pub slots: f64,
    pub used_slots: f64,
}

impl Candidates {
    /// The endpoint to send to, if one has capacity. Endpoints of this region come
    /// first: a short queue there takes less time than the way to another region.
    pub fn best(&self) -> Option<Choice> {
        self.local.or(self.remote)
    }
}

/// The settings of a service that the evaluation of its endpoints uses.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceProfile {
    /// Slots of an endpoint as configured; 0: not configured.
    pub slots: u32,
    /// Requests per second that an endpoint in slow start can serve; 0: no limit.
    pub warmup_per_s: f64,
    pub has_engine: bool,
}

impl ServiceProfile {
    /// Slots of an endpoint, the larger of those reported and configured.
    pub fn slots_of(&self, endpoint: &Endpoint) -> f64 {
        f64::from(endpoint.slots.max(self.slots).max(1))
    }
}

impl From<&Service> for ServiceProfile {
    fn from(config: &Service) -> ServiceProfile {
        ServiceProfile {
            slots: config.engine.map_or(0, |engine| engine.slots),
            warmup_per_s: config.warmup_per_s,
            has_engine: config.engine.is_some(),
        }
    }
}

/// Whether `homes` allows a region; an empty list allows all.
fn is_home(homes: &[u8], region: u8) -> bool {
    homes.is_empty() || homes.contains(&region)
}

impl Balancer {
    /// Evaluates all endpoints of a service for a request. Ejected endpoints without
    /// a due trial are eligible only if `include_ejected` is set.
    pub(super) fn evaluate_endpoints(
        &mut self,
        service: ServiceIndex,
        request: &Request,
        route: &Route,
        include_ejected: bool,
        now: Millis,
    ) -> Candidates {
        let mut candidates = Candidates::default();
        let Some(profile) = self.service_config(service).map(ServiceProfile::from) else {
            return candidates;
        };
        let state = &self.services[service];
        let context = RequestContext {
            request,
            prompt: PromptProfile::new(request, &profile, state, now),
            profile,
            now,
        };
        let idempotent = route.repeatable();
        let usable = |endpoint: &Endpoint| {
            let outlier = &endpoint.outlier;
            !outlier.ejected() || include_ejected || outlier.trial_due(now, idempotent)
        };
        let eligible = || {
            self.endpoints_of(state).filter(|(index, endpoint)| {
                self.may_serve(endpoint, *index, request, route) && usable(endpoint)
            })
        };
        let preferred = self.preferred_endpoint(&context.prompt, eligible());
        let mut rng = self.rng.clone();
        for (index, endpoint) in eligible() {
            let slots = profile.slots_of(endpoint);
            let load = endpoint.load(now);
            candidates.eligible += 1;
            candidates.slots += slots;
            candidates.used_slots += load.min(slots);
            let is_preferred = preferred == Some(index);
            let choice = self.evaluate(&context, (index, endpoint), is_preferred, rng.unit());
            if self.slow_start_exhausted(endpoint, &profile, now) {
                continue;
            }
            let has_capacity = load < slots * MAX_LOAD_RATIO && now >= endpoint.overloaded_until;
            let local = endpoint.region == self.locality.region;
            let near = local || (context.prompt.long_prefix && load < slots);
            let best = match (has_capacity, near) {
                (true, true) => &mut candidates.local,
                (true, false) if load < slots => &mut candidates.remote,
                _ => &mut candidates.overloaded,
            };
            let better = |other: &Choice| match has_capacity {
                true => choice.cost < other.cost,
                false => choice.load / slots < other.load / slots,
            };
            if best.as_ref().is_none_or(better) {
                *best = Some(choice);
            }
        }
        self.rng = rng;
        candidates
    }

    fn endpoints_of<'a>(
        &'a self,
        service: &'a ServiceState,
    ) -> impl Iterator<Item = (EndpointIndex, &'a Endpoint)> {
        let indices = service.endpoints.iter();
        indices.filter_map(|index| Some((*index, self.endpoints.get(*index)?)))
    }

    /// Whether an endpoint may serve a request: it accepts requests, its zone is not
    /// evacuated, the homes of route and tenant allow its region, and it was not
    /// tried before.
    fn may_serve(
        &self,
        endpoint: &Endpoint,
        index: EndpointIndex,
        request: &Request,
        route: &Route,
    ) -> bool {
        endpoint.accepting
            && endpoint.misdirected_version.is_none()
            && !self.evacuated_zones.contains(&endpoint.zone)
            && is_home(&route.homes, endpoint.region)
            && is_home(request.caller.homes(), endpoint.region)
            && !request.tried.contains(&index)
    }

    /// The endpoint preferred for a prompt prefix, by rendezvous hashing. Nodes with
    /// the same registry prefer the same endpoint without communication.
    fn preferred_endpoint<'a>(
        &self,
        prompt: &PromptProfile,
        eligible: impl Iterator<Item = (EndpointIndex, &'a Endpoint)>,
    ) -> Option<EndpointIndex> {
        let key = prompt.prefix_key?;
        let local = |endpoint: &Endpoint| endpoint.region == self.locality.region;
        let suitable = |endpoint: &Endpoint| {
            (prompt.long_prefix || local(endpoint))
                && (!prompt.long_prompt || endpoint.serves_long_prompts)
        };
        eligible
            .filter(|(_, endpoint)| !endpoint.outlier.ejected())
            .max_by_key(|(_, endpoint)| (suitable(endpoint), hash::mix(key, endpoint.hash)))
            .map(|(index, _)| index)
    }

    /// Whether this node has used up its share of an endpoint's slow-start rate.
    fn slow_start_exhausted(
        &self,
        endpoint: &Endpoint,
        profile: &ServiceProfile,
        now: Millis,
    ) -> bool {
        let limited = profile.warmup_per_s > 0.0 && endpoint.in_slow_start(now);
        if !limited {
            return false;
        }
        // attempts before a restart of this node are not in the count
        let restarted = now < self.started_at.unwrap_or(now) + SLOW_START_WINDOW;
        restarted || endpoint.recent_attempts(now) >= self.slow_start_share(endpoint, profile)
    }

    /// Attempts that this node may send to an endpoint in slow start within one
    /// [`SLOW_START_WINDOW`]: its share of the limit for all nodes.
    fn slow_start_share(&self, endpoint: &Endpoint, profile: &ServiceProfile) -> u32 {
        let site_limits = &self.site_limits;
        let per_second =
            profile.warmup_per_s * site_limits.warmup_excess + site_limits.warmup_slack;
        let limit = per_second * SLOW_START_MARGIN;
        self.nodes
            .regional_share(limit, endpoint.hash, endpoint.region)
    }
}
