//! Baseline policies that the balancer is compared with: round robin and least load.

use super::policy::{Policy, PolicyKind, HOST};
use crate::rand::Rand;
use sorreldoor::balancer::{AttemptOutcome, Decision, RequestId, Target};
use sorreldoor::configuration::hosted::{Hosted, Route};
use sorreldoor::discovery::{Worker, WorkerRegistry};
use sorreldoor::error::ErrorCode;
use sorreldoor::proxy::RequestMetadata;
use sorreldoor::types::Millis;
use std::collections::HashMap;
use std::sync::Arc;

/// A worker and its load as this node knows it.
#[derive(Debug, Default)]
struct Endpoint {
    worker: Option<Worker>,
    /// Open attempts of this node.
    own_attempts: u32,
    /// Requests of other nodes, from the latest load report.
    other_load: u32,
}

#[derive(Debug)]
struct BaselineRequest {
    path: String,
    deadline: Millis,
    endpoint: Option<usize>,
    tried: Vec<usize>,
    /// Whether an attempt may have run.
    ran: bool,
    last_error: ErrorCode,
}

/// Round robin or least load among the workers of the route that are in its homes,
/// not draining, and not in an evacuated zone.
#[derive(Debug)]
pub struct BaselinePolicy {
    policy_kind: PolicyKind,
    rng: Rand,
    hosted: Arc<Hosted>,
    endpoints: Vec<Endpoint>,
    by_name: HashMap<String, usize>,
    evacuated: Vec<u16>,
    requests: HashMap<RequestId, BaselineRequest>,
    next_request_id: RequestId,
    next_endpoint: usize,
}

impl BaselinePolicy {
    pub fn new(policy_kind: PolicyKind, seed: u64, node: &str) -> BaselinePolicy {
        BaselinePolicy {
            policy_kind,
            rng: Rand::new(seed ^ node.bytes().map(u64::from).sum::<u64>()),
            hosted: Arc::default(),
            endpoints: Vec::new(),
            by_name: HashMap::new(),
            evacuated: Vec::new(),
            requests: HashMap::new(),
            next_request_id: 1,
            next_endpoint: 0,
        }
    }

    fn find_route(&self, path: &str) -> Option<&Route> {
        let i = self.hosted.find(HOST, path)?;
        self.hosted.routes.get(i as usize).map(|r| &**r)
    }

    fn choose_worker(&mut self, request: &BaselineRequest) -> Option<usize> {
        let r = self.find_route(&request.path)?.clone();
        let total_weight: u32 = r.split.iter().map(|(_, w)| w).sum();
        let mut position = self.rng.below(u64::from(total_weight)) as u32;
        let chosen = r.split.iter().find(|(_, w)| {
            let hit = position < *w;
            position = position.saturating_sub(*w);
            hit
        })?;
        let name = &self.hosted.services[chosen.0 as usize].name;
        let eligible = |i: &usize| {
            let endpoint = &self.endpoints[*i];
            endpoint.worker.as_ref().is_some_and(|w| {
                w.group == *name
                    && !w.leaving
                    && w.leaves_ms.is_none()
                    && !self.evacuated.contains(&w.zone)
                    && (r.homes.is_empty() || r.homes.contains(&w.region))
                    && !request.tried.contains(i)
            })
        };
        let count = self.endpoints.len();
        let eligible_endpoints: Vec<usize> = (0..count)
            .map(|i| (self.next_endpoint + i) % count)
            .filter(eligible)
            .collect();
        self.next_endpoint = self.next_endpoint.wrapping_add(1) % count.max(1);
        match self.policy_kind {
            PolicyKind::LeastLoad => {
                let load =
                    |i: &usize| self.endpoints[*i].own_attempts + self.endpoints[*i].other_load;
                eligible_endpoints.into_iter().min_by_key(load)
            }
            _ => eligible_endpoints
                .first()
                .copied()
                .inspect(|i| self.next_endpoint = i + 1),
        }
    }
}

impl Policy for BaselinePolicy {
    fn begin(
        &mut self,
        path: &str,
        metadata: RequestMetadata,
        now: Millis,
    ) -> Result<RequestId, ErrorCode> {
        let r = self.find_route(path).ok_or(ErrorCode::UnknownRoute)?;
        let deadline = now
            + metadata
                .deadline_ms
                .unwrap_or(u64::MAX / 4)
                .min(r.timeout_ms);
        self.next_request_id += 1;
        self.requests.insert(
            self.next_request_id,
            BaselineRequest {
                path: path.into(),
                deadline,
                endpoint: None,
                tried: Vec::new(),
                ran: false,
                last_error: ErrorCode::NoWorker,
            },
        );
        Ok(self.next_request_id)
    }

    fn pick(&mut self, request_id: RequestId, now: Millis) -> Decision {
        let Some(mut request) = self.requests.remove(&request_id) else {
            return Decision::Reject(ErrorCode::NotSent, 0);
        };
        let route = self.find_route(&request.path).cloned();
        let decision = match route {
            None => Decision::Reject(ErrorCode::UnknownRoute, 0),
            Some(r) if request.ran && !r.repeatable() => {
                Decision::Reject(ErrorCode::OutcomeUnknown, 0)
            }
            Some(r)
                if request.tried.len() as u32 >= r.attempts.max(1)
                    || now + 5 > request.deadline =>
            {
                let error = if request.ran {
                    ErrorCode::WorkerDisconnected
                } else {
                    request.last_error
                };
                Decision::Reject(error, 200)
            }
            Some(r) => match self.choose_worker(&request) {
                None => Decision::Reject(ErrorCode::NoWorker, 200),
                Some(i) => {
                    request.tried.push(i);
                    request.endpoint = Some(i);
                    self.endpoints[i].own_attempts += 1;
                    let w = self.endpoints[i]
                        .worker
                        .clone()
                        .unwrap_or_else(Worker::blank);
                    Decision::Send(Target {
                        endpoint_index: i as u32,
                        name: w.name,
                        addr: w.addr,
                        time_left_ms: request.deadline.saturating_sub(now),
                        priority: Some(r.priority),
                        max_conns: 64,
                        tenant: None,
                        new_connection: false,
                    })
                }
            },
        };
        self.requests.insert(request_id, request);
        decision
    }

    fn record_outcome(&mut self, request_id: RequestId, outcome: AttemptOutcome, _: Millis) {
        let Some(r) = self.requests.get_mut(&request_id) else {
            return;
        };
        let Some(i) = r.endpoint else { return };
        let s = &mut self.endpoints[i];
        let load = match &outcome {
            AttemptOutcome::HeadReceived { load, .. } | AttemptOutcome::Rejected(load) => *load,
            _ => None,
        };
        if let Some(load) = load {
            s.other_load = (load.running + load.waiting).saturating_sub(s.own_attempts);
        }
        if matches!(
            outcome,
            AttemptOutcome::HeadReceived { .. } | AttemptOutcome::FirstEvent
        ) {
            return;
        }
        r.ran |= matches!(
            outcome,
            AttemptOutcome::Failed | AttemptOutcome::Completed(_) | AttemptOutcome::Canceled
        );
        r.endpoint = None;
        s.own_attempts = s.own_attempts.saturating_sub(1);
    }

    fn may_fail_over(&mut self, _: RequestId, _: Millis, _: Millis) -> bool {
        false
    }

    fn record_activity(&mut self, _: RequestId, _: Millis) {}

    fn finish(&mut self, request_id: RequestId, now: Millis) {
        self.record_outcome(request_id, AttemptOutcome::Canceled, now);
        self.requests.remove(&request_id);
    }

    fn take_ready(&mut self, _: Millis) -> Vec<RequestId> {
        Vec::new()
    }

    fn deadline(&self, request_id: RequestId) -> Millis {
        self.requests
            .get(&request_id)
            .map_or(0, |request| request.deadline)
    }

    fn route(&self, request_id: RequestId) -> Option<Route> {
        self.find_route(&self.requests.get(&request_id)?.path)
            .cloned()
    }

    fn apply_configuration(&mut self, configuration: Arc<Hosted>, _: Millis) {
        self.hosted = configuration;
    }

    fn update_registry(&mut self, registry: &WorkerRegistry, _: Millis) {
        self.endpoints.iter_mut().for_each(|s| s.worker = None);
        for w in &registry.workers {
            let n = self.endpoints.len();
            let i = *self.by_name.entry(w.name.clone()).or_insert(n);
            if i == n {
                self.endpoints.push(Endpoint::default());
            }
            self.endpoints[i].worker = Some(w.clone());
        }
    }

    fn set_evacuated_zones(&mut self, zones: Vec<u16>, _: Millis) {
        self.evacuated = zones;
    }

    fn update_nodes(&mut self, _: Vec<(String, u16)>) {}

    fn open(&self) -> (u64, u64) {
        (self.requests.len() as u64, 0)
    }
}
