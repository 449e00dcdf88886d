//! Adds, updates and removes endpoints according to the platform's worker registry,
//! and applies the evacuation of zones.

use super::endpoint::Endpoint;
use super::index::{EndpointIndex, ServiceIndex};
use super::state::Balancer;
use crate::discovery::{Worker, WorkerRegistry};
use crate::types::Millis;
use std::collections::HashMap;

/// Time added to the slow start that the registry reports, which may be too short.
const SLOW_START_MARGIN: Millis = 300;

/// Indices of the endpoints by name.
pub(super) type EndpointNames = HashMap<String, EndpointIndex>;

impl Balancer {
    /// Applies a version of the platform's registry. An older version than the
    /// current one is ignored.
    pub fn update_registry(&mut self, registry: &WorkerRegistry, now: Millis) {
        self.advance_clock(now);
        if self.has_registry && registry.version < self.registry_version {
            return;
        }
        self.registry_version = registry.version;
        let mut present = vec![false; self.endpoints.len() + registry.workers.len()];
        for worker in &registry.workers {
            let index = self.update_worker(worker, registry.version, now);
            present[index.0 as usize] = true;
        }
        self.unregister_absent(&present);
        self.has_registry = true;
        self.assign_long_prompts();
        self.wait_queue.recheck_all();
    }

    fn update_worker(&mut self, worker: &Worker, version: u64, now: Millis) -> EndpointIndex {
        let service = self.service_index(&worker.group, now);
        let (index, added) = self.find_or_add(worker, service);
        let warmup_ms = self.warmup_ms(service);
        let Some(endpoint) = self.endpoints.get_mut(index) else {
            return index;
        };
        endpoint.addr = worker.addr;
        endpoint.zone = worker.zone;
        endpoint.region = worker.region;
        endpoint.registered = true;
        endpoint.accepting = !worker.leaving && worker.leaves_ms.is_none();
        if endpoint.slots == 0 || worker.slots > 0 {
            endpoint.slots = worker.slots;
        }
        endpoint.misdirected_version = endpoint.misdirected_version.filter(|at| *at >= version);
        let slow_start_ms = match added && self.has_registry {
            // an endpoint added after the first registry has just started, even if
            // the registry does not report slow start yet
            true => worker.cold_ms.max(warmup_ms),
            false => worker.cold_ms,
        };
        if slow_start_ms > 0 {
            if !endpoint.in_slow_start(now) {
                endpoint.prefix_cache.clear();
            }
            endpoint.extend_slow_start(now + slow_start_ms + SLOW_START_MARGIN);
        }
        index
    }

    /// The endpoint of a registered worker, and whether this call added it.
    fn find_or_add(&mut self, worker: &Worker, service: ServiceIndex) -> (EndpointIndex, bool) {
        if let Some(index) = self.endpoint_names.get(&worker.name).copied() {
            let known = self.endpoints.get(index);
            if known.is_some_and(|endpoint| endpoint.service == service) {
                return (index, false);
            }
            // a worker of the same name in another service is another endpoint
            if let Some(endpoint) = self.endpoints.get_mut(index) {
                endpoint.unregister();
            }
            self.remove_if_unused(index);
        }
        let endpoint = Endpoint::new(&worker.name, worker.addr, service);
        let index = self.endpoints.push(endpoint);
        self.endpoint_names.insert(worker.name.clone(), index);
        self.services[service].endpoints.push(index);
        (index, true)
    }

    fn unregister_absent(&mut self, present: &[bool]) {
        for index in self.endpoints.indices() {
            if present[index.0 as usize] {
                continue;
            }
            if let Some(endpoint) = self.endpoints.get_mut(index) {
                endpoint.unregister();
                self.remove_if_unused(index);
            }
        }
    }

    /// Removes an endpoint if it is not registered and no attempt is in flight.
    pub(super) fn remove_if_unused(&mut self, index: EndpointIndex) {
        let Some(endpoint) = self.endpoints.get(index) else {
            return;
        };
        if endpoint.registered || endpoint.in_flight() > 0 {
            return;
        }
        self.services[endpoint.service]
            .endpoints
            .retain(|other| *other != index);
        if self.endpoint_names.get(&endpoint.name) == Some(&index) {
            self.endpoint_names.remove(&endpoint.name);
        }
        self.endpoints.remove(index);
    }

    /// Sets the evacuated zones, which get no requests. Endpoints of zones that are no
    /// longer evacuated enter slow start.
    pub fn set_evacuated_zones(&mut self, zones: Vec<u16>, now: Millis) {
        self.advance_clock(now);
        let mut returned = std::mem::replace(&mut self.evacuated_zones, zones);
        returned.retain(|zone| !self.evacuated_zones.contains(zone));
        // endpoints may have lost their caches while their zone got no requests
        for index in self.endpoints.indices() {
            let Some(endpoint) = self.endpoints.get(index) else {
                continue;
            };
            if returned.contains(&endpoint.zone) {
                let warmup_ms = self.warmup_ms(endpoint.service);
                self.start_slow_start(index, warmup_ms, now);
            }
        }
        self.wait_queue.recheck_all();
    }

    /// Puts an endpoint into slow start for `duration`, unless its slow start lasts
    /// longer already, and clears the model of its prefix cache.
    pub(super) fn start_slow_start(&mut self, index: EndpointIndex, duration: Millis, now: Millis) {
        if let Some(endpoint) = self.endpoints.get_mut(index) {
            endpoint.extend_slow_start(now + duration);
            if duration > 0 {
                endpoint.prefix_cache.clear();
            }
        }
    }
}
