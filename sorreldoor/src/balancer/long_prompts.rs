//! Assignment of long prompts to a part of a service's endpoints. The prefill of a
//! long prompt delays the streams and prompts at the same endpoint.
//!
//! Nodes with the same configuration and registry compute the same assignment
//! without communication.

use super::hash;
use super::index::{EndpointIndex, ServiceIndex};
use super::service::ServiceState;
use super::state::Balancer;
use crate::configuration::hosted::{Hosted, Kind};
use crate::types::Millis;

/// Number of shared tokens from which a prefix is long: its prefill takes longer
/// than a round trip to another region.
pub(super) const LONG_PREFIX_TOKENS: u32 = 4096;
/// Number of tokens from which a prompt is long, whatever part of it is shared.
pub(super) const LONG_PROMPT_TOKENS: u32 = 4 * LONG_PREFIX_TOKENS;
/// Time after a long prompt for which short ones avoid the endpoints for long ones.
pub(super) const RECENT_LONG_PROMPT: Millis = 30_000;
/// One in this many endpoints of a service, rounded up, serves long prompts.
const LONG_PROMPT_DIVISOR: usize = 2;

/// An endpoint that may be chosen for long prompts.
struct Candidate {
    index: EndpointIndex,
    region: u8,
    hash: u64,
}

impl ServiceState {
    /// Number of stream routes pinned to a region; see `pinned_streams`.
    fn pinned_to(&self, region: u8) -> f64 {
        let pinned = self.pinned_streams.get(region as usize);
        pinned.copied().unwrap_or(0.0)
    }
}

impl Balancer {
    /// Sets `pinned_streams` of all services from a configuration, and updates the
    /// assignment of endpoints.
    pub(super) fn count_pinned_streams(&mut self, hosted: &Hosted) {
        let regions = 1 + self.locality.regions.iter().copied().max().unwrap_or(0) as usize;
        for service in self.services.iter_mut() {
            service.pinned_streams = vec![0.0; regions];
        }
        for route in hosted.routes.iter().filter(|r| r.kind == Kind::Stream) {
            let share = 1.0 / route.homes.len().max(1) as f64;
            let weighted = route.split.iter().filter(|(_, weight)| *weight > 0);
            for (config_index, _) in weighted {
                let Some(index) = self.configured_services.get(*config_index as usize) else {
                    continue;
                };
                let pinned = &mut self.services[*index].pinned_streams;
                let homes = route.homes.iter();
                for home in homes.filter(|home| (**home as usize) < regions) {
                    pinned[*home as usize] += share;
                }
            }
        }
        self.assign_long_prompts();
    }

    /// Updates which endpoints serve long prompts. Must be called after each change of
    /// the registry or the configuration.
    pub(super) fn assign_long_prompts(&mut self) {
        for service in self.services.indices() {
            let chosen = self.long_prompt_endpoints(service);
            for index in self.services[service].endpoints.clone() {
                if let Some(endpoint) = self.endpoints.get_mut(index) {
                    endpoint.serves_long_prompts = chosen.contains(&index);
                }
            }
        }
    }

    fn long_prompt_endpoints(&self, service: ServiceIndex) -> Vec<EndpointIndex> {
        let service = &self.services[service];
        let mut all = self.accepting_endpoints(service);
        let pinned = |c: &Candidate| service.pinned_to(c.region);
        let most_pinned = all.iter().map(pinned).fold(0.0, f64::max);
        // streams pinned to a region cannot avoid the delay by long prompts there,
        // so its endpoints are chosen last
        let heavily_pinned = |c: &Candidate| pinned(c) * 2.0 > most_pinned;
        all.sort_by_key(|c| (heavily_pinned(c), hash::mix(service.hash, c.hash)));
        let count = all.len().div_ceil(LONG_PROMPT_DIVISOR);
        all.iter().take(count).map(|c| c.index).collect()
    }

    fn accepting_endpoints(&self, service: &ServiceState) -> Vec<Candidate> {
        let candidate = |index: &EndpointIndex| {
            let endpoint = self.endpoints.get(*index).filter(|e| e.accepting)?;
            Some(Candidate {
                index: *index,
                region: endpoint.region,
                hash: endpoint.hash,
            })
        };
        service.endpoints.iter().filter_map(candidate).collect()
    }
}
