//! Starting an attempt: updates request, endpoint and counters, and returns the
//! target to the proxy.

use super::candidates::Choice;
use super::endpoint::Endpoint;
use super::index::{EndpointIndex, ServiceIndex};
use super::request_table::{Attempt, Request};
use super::state::Balancer;
use super::{Decision, Target};
use crate::configuration::hosted::Route;
use crate::error::ErrorCode;
use crate::proxy::request_state::{Repeatability, RequestEvent};
use crate::types::Millis;

/// An endpoint that sent something within this time is taken to be alive.
const RECENTLY_ACTIVE: Millis = 200;
/// Fraction of an endpoint's connection limit that is used. The endpoint resets
/// connections above the limit.
const CONNECTION_MARGIN: f64 = 0.9;

impl Balancer {
    /// Starts an attempt at the chosen endpoint; returns `Decision::Send` with its
    /// target.
    pub(super) fn send(
        &mut self,
        request: &mut Request,
        service: ServiceIndex,
        choice: Choice,
        route: &Route,
        now: Millis,
    ) -> Decision {
        let config = self.service_config(service);
        let engine = config.and_then(|config| config.engine);
        let max_conns = config.map_or(1, |config| config.max_conns);
        let priority = engine.map(|_| self.engine_priority(request, route));
        let tenant = request.caller.tenant().map(|tenant| tenant.name.clone());
        let Some(endpoint) = self.endpoints.get_mut(choice.endpoint) else {
            return Decision::Reject(ErrorCode::NotSent, 0);
        };
        let new_connection = needs_new_connection(endpoint, route, now);
        endpoint.start_attempt(choice.prefill_tokens, now);
        if let Some(engine) = engine {
            // the rest of its cache holds prompts sent by other nodes
            let capacity = engine.kv_tokens * 6 / 10;
            endpoint.prefix_cache.insert(&request.segments, capacity);
        }
        let trial = endpoint.outlier.start_attempt();
        let target = Target {
            endpoint_index: choice.endpoint.0,
            name: endpoint.name.clone(),
            addr: endpoint.addr,
            time_left_ms: request.deadline.saturating_sub(now),
            priority,
            tenant,
            max_conns: self.connection_share(max_conns, choice.endpoint),
            new_connection,
        };
        self.count_attempt(request, service, choice, now);
        request
            .progress
            .apply(RequestEvent::WorkerChosen(Repeatability::from(route)));
        request.tried.push(choice.endpoint);
        request.attempts += 1;
        request.attempt = Some(Attempt {
            endpoint: choice.endpoint,
            sent_at: now,
            cached_segments: choice.cached_segments,
            prefill_tokens: choice.prefill_tokens,
            prefill_done: false,
            trial,
            is_retry: request.reached_endpoint,
        });
        Decision::Send(target)
    }

    fn count_attempt(
        &mut self,
        request: &Request,
        service: ServiceIndex,
        choice: Choice,
        now: Millis,
    ) {
        if request.reached_endpoint {
            let budget = &mut self.services[service].retry_budget;
            budget.record_retry(&self.site_limits, now);
            self.counts.retried += 1;
        }
        let prompt_tokens = request.total_tokens();
        let cached_tokens = prompt_tokens.saturating_sub(choice.prefill_tokens);
        self.counts.prefill_tokens += u64::from(choice.prefill_tokens);
        self.counts.cached_tokens += u64::from(cached_tokens);
    }

    /// Maximum number of connections from this node to an endpoint; at least 1.
    fn connection_share(&self, max_conns: u32, endpoint: EndpointIndex) -> u32 {
        let key = self.endpoints.get(endpoint).map_or(0, |e| e.hash);
        let total = f64::from(max_conns) * CONNECTION_MARGIN;
        self.nodes.share(total, key).max(1)
    }
}

/// Whether an attempt must not reuse a connection: at a suspect endpoint, and for
/// non-idempotent requests unless the endpoint was active recently.
fn needs_new_connection(endpoint: &Endpoint, route: &Route, now: Millis) -> bool {
    let recently_active = now < endpoint.last_activity + RECENTLY_ACTIVE;
    endpoint.suspect(now) || (!route.repeatable() && !recently_active)
}
