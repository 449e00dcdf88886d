//! The cost of sending a request to an endpoint: an estimate in milliseconds for
//! engines, a fraction of the endpoint's slots for other services.

use super::candidates::{Choice, ServiceProfile};
use super::endpoint::Endpoint;
use super::hash;
use super::index::EndpointIndex;
use super::long_prompts::{LONG_PREFIX_TOKENS, RECENT_LONG_PROMPT};
use super::request_table::Request;
use super::service::ServiceState;
use super::state::Balancer;
use crate::types::Millis;

/// Shared prefixes with fewer tokens are cheap to prefill at any endpoint.
const SMALL_PREFIX_TOKENS: u32 = 256;
/// Largest number of tokens of a prompt used as the trial of an ejected endpoint.
const TRIAL_PROMPT_TOKENS: u32 = 2000;
/// Round trip to another region, in milliseconds.
const REMOTE_REGION_MS: f64 = 80.0;
/// Penalty for a short prompt at an endpoint for long ones, in milliseconds; twice
/// this for a long prompt at an endpoint for short ones.
const MISPLACED_PROMPT_MS: f64 = 100.0;
/// Penalty of a suspect endpoint, in milliseconds; see [`Endpoint::suspect`].
const SUSPECT_MS: f64 = 100.0;
/// Penalties of another zone, in milliseconds: for prompts with fewer shared tokens
/// than [`SMALL_PREFIX_TOKENS`], and for others.
const REMOTE_ZONE_MS: f64 = 8.0;
const REMOTE_ZONE_SHARED_MS: f64 = 4.0;
/// Penalty of slow start, in milliseconds.
const SLOW_START_MS: f64 = 8.0;
/// Range of the random part of the cost, in milliseconds. It prevents all nodes
/// from choosing the same endpoint at once.
const NOISE_MS: f64 = 6.0;
/// The cost of a due trial: lower than all others.
const TRIAL_COST: f64 = -1.0;

/// The properties of a request's prompt that determine its cost.
#[derive(Clone, Copy, Debug)]
pub(super) struct PromptProfile {
    tokens: u32,
    shared_tokens: u32,
    /// Affinity key of the shared prefix; `None` without an engine.
    pub prefix_key: Option<u64>,
    /// Prefill of the shared prefix takes longer than the way to another region.
    pub long_prefix: bool,
    /// Its prefill delays other requests for long.
    pub long_prompt: bool,
    /// The service had long prompts recently.
    recent_long_prompts: bool,
}

impl PromptProfile {
    pub fn new(
        request: &Request,
        profile: &ServiceProfile,
        service: &ServiceState,
        now: Millis,
    ) -> PromptProfile {
        let shared_tokens = request.shared_tokens();
        let last_long_prompt = service.last_long_prompt;
        PromptProfile {
            tokens: request.total_tokens(),
            shared_tokens,
            prefix_key: request.prefix_key().filter(|_| profile.has_engine),
            long_prefix: profile.has_engine && shared_tokens >= LONG_PREFIX_TOKENS,
            long_prompt: profile.has_engine && request.has_long_prompt(),
            recent_long_prompts: last_long_prompt.is_some_and(|at| now < at + RECENT_LONG_PROMPT),
        }
    }
}

/// The request that endpoints are evaluated for, and the settings of its service.
pub(super) struct RequestContext<'a> {
    pub request: &'a Request,
    pub prompt: PromptProfile,
    pub profile: ServiceProfile,
    pub now: Millis,
}

/// The expected state of one endpoint if the request were sent there.
struct Placement<'a> {
    endpoint: &'a Endpoint,
    /// Load over slots, including the request.
    load_ratio: f64,
    /// Requests running and waiting there, without the request.
    load: f64,
    /// Prompt tokens expected in the prefix cache, and those left for prefill.
    cached_tokens: u32,
    prefill_tokens: u32,
    /// Whether this is the preferred endpoint for the prefix.
    preferred: bool,
    /// Whether the prompt has segments besides the request's own.
    has_shared_segments: bool,
    /// Random number between 0 and 1.
    noise: f64,
}

impl Balancer {
    /// Computes the cost of an endpoint for a request. `preferred`: it is the
    /// preferred endpoint for the prefix; `noise`: a random number between 0 and 1.
    pub(super) fn evaluate(
        &self,
        context: &RequestContext,
        (index, endpoint): (EndpointIndex, &Endpoint),
        preferred: bool,
        noise: f64,
    ) -> Choice {
        let RequestContext {
            request,
            prompt,
            profile,
            now,
        } = context;
        let now = *now;
        let load = self.expected_load(endpoint, prompt, preferred, now);
        let hit = match profile.has_engine {
            true => endpoint.prefix_cache.lookup(&request.segments),
            false => Default::default(),
        };
        let has_shared_segments = request.segments.len() > 1;
        // other nodes send this prefix to the preferred endpoint too; a single
        // segment is often the request's own and not cached yet
        let cached_tokens = match preferred && has_shared_segments {
            true => hit.tokens.max(prompt.shared_tokens),
            false => hit.tokens,
        };
        let placement = Placement {
            endpoint,
            load_ratio: (load + 1.0) / profile.slots_of(endpoint),
            load,
            cached_tokens,
            prefill_tokens: prompt.tokens.saturating_sub(cached_tokens),
            preferred,
            has_shared_segments,
            noise,
        };
        let cost = match profile.has_engine {
            true => self.engine_cost(&placement, prompt, now),
            false => self.plain_cost(&placement, now),
        };
        Choice {
            endpoint: index,
            cost: trial_cost(endpoint, prompt, cost, now),
            load,
            cached_segments: hit.segments,
            prefill_tokens: match profile.has_engine {
                true => placement.prefill_tokens,
                false => 0,
            },
        }
    }

    /// The load of an endpoint. For the preferred endpoint of a long prefix it is at
    /// least an estimate from this node's requests and the number of nodes, as load
    /// reports do not include the latest requests of other nodes.
    fn expected_load(
        &self,
        endpoint: &Endpoint,
        prompt: &PromptProfile,
        preferred: bool,
        now: Millis,
    ) -> f64 {
        let nodes = if preferred && prompt.long_prefix {
            self.nodes.count()
        } else {
            0
        };
        let in_flight = f64::from(endpoint.in_flight());
        endpoint.load(now).max(0.6 * in_flight * f64::from(nodes))
    }

    /// The cost at an engine, in milliseconds.
    fn engine_cost(&self, placement: &Placement, prompt: &PromptProfile, now: Millis) -> f64 {
        let endpoint = placement.endpoint;
        let per_token = self.services[endpoint.service].prefill_ms_per_token;
        let prefill = f64::from(placement.prefill_tokens) * per_token;
        let uncached = prompt.shared_tokens.saturating_sub(placement.cached_tokens);
        let recompute = f64::from(uncached) * per_token;
        // prefill delays all requests that run at the same time
        let delay = (endpoint.prefill_tokens() as f64) * per_token
            + prefill * (0.1 * placement.load).min(1.0);
        let ratio = placement.load_ratio;
        let queue = 60.0 * ratio + 1500.0 * (ratio - 0.8).max(0.0);
        let region = match endpoint.region == self.locality.region {
            true => 0.0,
            false => REMOTE_REGION_MS,
        };
        // a fixed order of the endpoints per prefix: nodes that avoid the preferred
        // endpoint choose the same alternative
        let key = prompt.prefix_key;
        let fallback_order = key.map_or(0.0, |key| hash::unit(hash::mix(key, endpoint.hash)));
        // later turns of a session go to the preferred endpoint, unless it is busy
        // with prefill
        let recompute = match placement.preferred && !placement.has_shared_segments {
            true => recompute * 0.5,
            false => recompute,
        };
        endpoint.latency_ratio * (queue + prefill + delay)
            + recompute * (1.1 - 0.1 * fallback_order)
            + self.zone_cost(endpoint, prompt)
            + region
            + misplacement_cost(endpoint, prompt)
            + if endpoint.suspect(now) {
                SUSPECT_MS
            } else {
                0.0
            }
            + NOISE_MS * placement.noise
            + if endpoint.in_slow_start(now) {
                SLOW_START_MS
            } else {
                0.0
            }
    }

    fn zone_cost(&self, endpoint: &Endpoint, prompt: &PromptProfile) -> f64 {
        let same_zone = endpoint.zone == self.locality.zone;
        match (same_zone, prompt.shared_tokens < SMALL_PREFIX_TOKENS) {
            (true, _) => 0.0,
            (_, true) => REMOTE_ZONE_MS,
            _ => REMOTE_ZONE_SHARED_MS,
        }
    }

    /// The cost at an endpoint without engine, as a fraction of its slots.
    fn plain_cost(&self, placement: &Placement, now: Millis) -> f64 {
        let endpoint = placement.endpoint;
        let same_zone = endpoint.zone == self.locality.zone;
        endpoint.latency_ratio * placement.load_ratio
            + if same_zone { 0.0 } else { 0.25 }
            + 0.05 * placement.noise
            + if endpoint.in_slow_start(now) {
                0.2
            } else {
                0.0
            }
            + if endpoint.suspect(now) { 0.5 } else { 0.0 }
    }
}

/// The penalty that keeps long and short prompts on separate endpoints.
fn misplacement_cost(endpoint: &Endpoint, prompt: &PromptProfile) -> f64 {
    match (prompt.long_prompt, endpoint.serves_long_prompts) {
        (true, false) => 2.0 * MISPLACED_PROMPT_MS,
        (false, true) if prompt.recent_long_prompts => MISPLACED_PROMPT_MS,
        _ => 0.0,
    }
}

/// Adjusts the cost for ejection. A due trial with a short prompt has the lowest
/// cost of all; other ejected endpoints cost more by the rest of their ejection time.
fn trial_cost(endpoint: &Endpoint, prompt: &PromptProfile, cost: f64, now: Millis) -> f64 {
    let ejected_until = endpoint.outlier.ejected_until();
    let short = prompt.tokens <= TRIAL_PROMPT_TOKENS;
    match (endpoint.outlier.ejected(), short && ejected_until <= now) {
        (true, true) => TRIAL_COST,
        (true, false) => cost + ejected_until.saturating_sub(now) as f64,
        _ => cost,
    }
}
