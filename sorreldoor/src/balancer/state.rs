//! The state of the balancer, its configuration, and its counters.

use super::hash::{self, SplitMix64};
use super::index::{Endpoints, ServiceIndex, Services};
use super::nodes::Nodes;
use super::priority::EnginePriorities;
use super::registry::EndpointNames;
use super::request_table::RequestTable;
use super::response_time::RouteResponseTimes;
use super::service::ServiceState;
use super::shutdown::ShutdownLimits;
use super::wait_queue::WaitQueue;
use super::{Locality, SiteLimits};
use crate::configuration::hosted::{Hosted, Service};
use crate::quota::Admission;
use crate::types::Millis;
use std::collections::HashMap;
use std::sync::Arc;

/// Counters since the start of the node, and current numbers, for status and metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests begun.
    pub begun: u64,
    /// Requests in progress (current number).
    pub open: u64,
    /// Attempts with a complete response of a status below 400.
    pub served: u64,
    /// Decisions to send no (further) attempt.
    pub rejected: u64,
    /// Those of them for requests that would not be completed before the node exits.
    pub rejected_at_shutdown: u64,
    /// Requests rejected because no tenant has their key, or they had none.
    pub unauthenticated: u64,
    /// Requests rejected because their tenant's quota is used up.
    pub over_quota: u64,
    /// Attempts beyond the first that reached an endpoint.
    pub retried: u64,
    /// Requests that have waited for an endpoint.
    pub waited: u64,
    /// Requests in the wait queue (current number).
    pub waiting: u64,
    /// Ejections of endpoints.
    pub ejections: u64,
    /// Ejected endpoints (current number).
    pub ejected: u64,
    /// Endpoints in the registry (current number).
    pub workers: u64,
    /// Prompt tokens expected in prefix caches, over all attempts.
    pub cached_tokens: u64,
    /// Prompt tokens left for prefill, over all attempts.
    pub prefill_tokens: u64,
}

/// The load balancer of one node. The proxy owns it and calls it under a lock.
#[derive(Clone, Debug)]
pub struct Balancer {
    pub(super) locality: Locality,
    pub(super) site_limits: SiteLimits,
    pub(super) rng: SplitMix64,
    pub(super) now: Millis,
    /// Time of the first call; `None` before it.
    pub(super) started_at: Option<Millis>,
    pub(super) hosted: Option<Arc<Hosted>>,
    pub(super) engine_priorities: EnginePriorities,
    /// Number of configurations applied so far, modulo 2^32.
    pub(super) configuration_generation: u32,
    pub(super) evacuated_zones: Vec<u16>,
    pub(super) registry_version: u64,
    pub(super) has_registry: bool,
    pub(super) nodes: Nodes,
    pub(super) services: Services,
    service_names: HashMap<String, ServiceIndex>,
    /// The services of the current configuration, by their index there.
    pub(super) configured_services: Vec<ServiceIndex>,
    pub(super) endpoints: Endpoints,
    pub(super) endpoint_names: EndpointNames,
    pub(super) requests: RequestTable,
    pub(super) wait_queue: WaitQueue,
    pub(super) route_response_times: RouteResponseTimes,
    /// `None` while the node is not shutting down.
    pub(super) shutdown: Option<ShutdownLimits>,
    /// Admission control for tenants with a quota.
    pub admission: Admission,
    pub(super) counts: Counts,
}

impl Balancer {
    /// A balancer without configuration and registry; `seed` and the node's name seed
    /// its random number generator.
    pub fn new(locality: Locality, site_limits: SiteLimits, seed: u64) -> Balancer {
        let nodes = Nodes::new(&locality.node, locality.region);
        Balancer {
            rng: SplitMix64(seed ^ hash::name(&locality.node)),
            locality,
            site_limits,
            now: 0,
            started_at: None,
            hosted: None,
            engine_priorities: EnginePriorities::default(),
            configuration_generation: 0,
            evacuated_zones: Vec::new(),
            registry_version: 0,
            has_registry: false,
            nodes,
            services: Services::default(),
            service_names: HashMap::new(),
            configured_services: Vec::new(),
            endpoints: Endpoints::default(),
            endpoint_names: EndpointNames::default(),
            requests: RequestTable::default(),
            wait_queue: WaitQueue::default(),
            route_response_times: RouteResponseTimes::default(),
            shutdown: None,
            admission: Admission::default(),
            counts: Counts::default(),
        }
    }

    pub(super) fn advance_clock(&mut self, now: Millis) {
        self.now = self.now.max(now);
        self.started_at.get_or_insert(now);
    }

    /// The service of that name; adds it if it is unknown.
    pub(super) fn service_index(&mut self, name: &str, now: Millis) -> ServiceIndex {
        if let Some(index) = self.service_names.get(name) {
            return *index;
        }
        // retries before a restart of this node are not in the count
        let budget_since = self.started_at.unwrap_or(now);
        let index = self.services.push(ServiceState::new(name, budget_since));
        self.service_names.insert(name.to_string(), index);
        index
    }

    /// The service's entry in the current configuration, if any.
    pub(super) fn service_config(&self, service: ServiceIndex) -> Option<&Service> {
        let index = self.services.get(service)?.config_index?;
        self.hosted.as_ref()?.services.get(index as usize)
    }

    /// Length of the service's slow start, in milliseconds.
    pub(super) fn warmup_ms(&self, service: ServiceIndex) -> Millis {
        self.service_config(service)
            .map_or(0, |config| config.warmup_ms)
    }

    /// Replaces the configuration of hosted routes. Requests in progress get their
    /// new route at the next decision.
    pub fn apply_configuration(&mut self, hosted: Arc<Hosted>, now: Millis) {
        self.advance_clock(now);
        self.configuration_generation = self.configuration_generation.wrapping_add(1);
        for service in self.services.iter_mut() {
            service.config_index = None;
        }
        let names = hosted.services.iter().map(|service| &service.name);
        self.configured_services = names.map(|name| self.service_index(name, now)).collect();
        for (config_index, service) in self.configured_services.iter().enumerate() {
            self.services[*service].config_index = Some(config_index as u16);
        }
        self.count_pinned_streams(&hosted);
        self.route_response_times.retain_configured(&hosted);
        self.engine_priorities = EnginePriorities::new(&hosted);
        self.hosted = Some(hosted);
        self.wait_queue.recheck_all();
    }

    /// The current configuration.
    pub fn hosted(&self) -> Option<&Arc<Hosted>> {
        self.hosted.as_ref()
    }

    /// Updates the list of ready nodes from their names and zones. Until the first
    /// update this node's share of every limit of the site is 0, so the list must
    /// be complete.
    pub fn update_nodes(&mut self, ready: Vec<(String, u16)>) {
        let region = |zone: u16| self.locality.regions.get(zone as usize).copied();
        let hashed = ready
            .iter()
            .map(|(name, zone)| (hash::name(name), region(*zone).unwrap_or(0)));
        self.nodes.update(hashed, self.now);
    }

    /// The current values of the counters.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let ejected = self.endpoints.iter().filter(|e| e.outlier.ejected());
        let registered = self.endpoints.iter().filter(|e| e.registered);
        Counts {
            open: self.requests.len() as u64,
            waiting: self.wait_queue.len() as u64,
            ejected: ejected.count() as u64,
            workers: registered.count() as u64,
            ..self.counts
        }
    }
}
