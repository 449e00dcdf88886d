//! Baseline policies, round robin and least load, to compare the balancer with.

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

#[derive(Debug, Default)]
struct Endpoint {
    w: Option<Worker>,
    mine: u32,
    others: u32,
}

#[derive(Debug)]
struct BaselineRequest {
    path: String,
    deadline: Millis,
    at: Option<usize>,
    tried: Vec<usize>,
    ran: bool,
    last: ErrorCode,
}

/// Round robin or least load, within homes, drains and routes.
#[derive(Debug)]
pub struct BaselinePolicy {
    policy_kind: PolicyKind,
    rng: Rand,
    hosted: Arc<Hosted>,
    endpoints: Vec<Endpoint>,
    by_name: HashMap<String, usize>,
    evacuated: Vec<u16>,
    pinned: HashMap<RequestId, BaselineRequest>,
    next: RequestId,
    turn: usize,
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
            pinned: HashMap::new(),
            next: 1,
            turn: 0,
        }
    }

    fn found(&self, path: &str) -> Option<&Route> {
        let i = self.hosted.find(HOST, path)?;
        self.hosted.routes.get(i as usize).map(|r| &**r)
    }

    fn choose_node(&mut self, h: &BaselineRequest) -> Option<usize> {
        let r = self.found(&h.path)?.clone();
        let all: u32 = r.split.iter().map(|(_, w)| w).sum();
        let mut n = self.rng.below(u64::from(all)) as u32;
        let service_index = r.split.iter().find(|(_, w)| {
            let hit = n < *w;
            n = n.saturating_sub(*w);
            hit
        })?;
        let name = &self.hosted.services[service_index.0 as usize].name;
        let fits = |i: &usize| {
            let s = &self.endpoints[*i];
            s.w.as_ref().is_some_and(|w| {
                w.group == *name
                    && !w.leaving
                    && w.leaves_ms.is_none()
                    && !self.evacuated.contains(&w.zone)
                    && (r.homes.is_empty() || r.homes.contains(&w.region))
                    && !h.tried.contains(i)
            })
        };
        let n = self.endpoints.len();
        let all: Vec<usize> = (0..n).map(|i| (self.turn + i) % n).filter(fits).collect();
        self.turn = self.turn.wrapping_add(1) % n.max(1);
        match self.policy_kind {
            PolicyKind::LeastLoad => {
                let load = |i: &usize| self.endpoints[*i].mine + self.endpoints[*i].others;
                all.into_iter().min_by_key(load)
            }
            _ => all.first().copied().inspect(|i| self.turn = i + 1),
        }
    }
}

impl Policy for BaselinePolicy {
    fn begin(
        &mut self,
        path: &str,
        requested: RequestMetadata,
        now: Millis,
    ) -> Result<RequestId, ErrorCode> {
        let r = self.found(path).ok_or(ErrorCode::UnknownRoute)?;
        let deadline = now
            + requested
                .deadline_ms
                .unwrap_or(u64::MAX / 4)
                .min(r.timeout_ms);
        self.next += 1;
        self.pinned.insert(
            self.next,
            BaselineRequest {
                path: path.into(),
                deadline,
                at: None,
                tried: Vec::new(),
                ran: false,
                last: ErrorCode::NoWorker,
            },
        );
        Ok(self.next)
    }

    fn pick(&mut self, request_id: RequestId, now: Millis) -> Decision {
        let Some(mut h) = self.pinned.remove(&request_id) else {
            return Decision::Reject(ErrorCode::NotSent, 0);
        };
        let r = self.found(&h.path).cloned();
        let p = match r {
            None => Decision::Reject(ErrorCode::UnknownRoute, 0),
            Some(r) if h.ran && !r.repeatable() => Decision::Reject(ErrorCode::OutcomeUnknown, 0),
            Some(r) if h.tried.len() as u32 >= r.attempts.max(1) || now + 5 > h.deadline => {
                let p = if h.ran {
                    ErrorCode::WorkerDisconnected
                } else {
                    h.last
                };
                Decision::Reject(p, 200)
            }
            Some(r) => match self.choose_node(&h) {
                None => Decision::Reject(ErrorCode::NoWorker, 200),
                Some(i) => {
                    h.tried.push(i);
                    h.at = Some(i);
                    self.endpoints[i].mine += 1;
                    let w = self.endpoints[i].w.clone().unwrap_or_else(Worker::blank);
                    Decision::Send(Target {
                        endpoint_index: i as u32,
                        name: w.name,
                        addr: w.addr,
                        time_left_ms: h.deadline.saturating_sub(now),
                        priority: Some(r.priority),
                        max_conns: 64,
                        tenant: None,
                        new_connection: false,
                    })
                }
            },
        };
        self.pinned.insert(request_id, h);
        p
    }

    fn record_outcome(&mut self, request_id: RequestId, h: AttemptOutcome, _: Millis) {
        let Some(r) = self.pinned.get_mut(&request_id) else {
            return;
        };
        let Some(i) = r.at else { return };
        let s = &mut self.endpoints[i];
        let load = match &h {
            AttemptOutcome::HeadReceived { load, .. } | AttemptOutcome::Rejected(load) => *load,
            _ => None,
        };
        if let Some(load) = load {
            s.others = (load.running + load.waiting).saturating_sub(s.mine);
        }
        if matches!(
            h,
            AttemptOutcome::HeadReceived { .. } | AttemptOutcome::FirstEvent
        ) {
            return;
        }
        r.ran |= matches!(
            h,
            AttemptOutcome::Failed | AttemptOutcome::Completed(_) | AttemptOutcome::Canceled
        );
        r.at = None;
        s.mine = s.mine.saturating_sub(1);
    }

    fn may_fail_over(&mut self, _: RequestId, _: Millis, _: Millis) -> bool {
        false
    }

    fn record_activity(&mut self, _: RequestId, _: Millis) {}

    fn finish(&mut self, request_id: RequestId, now: Millis) {
        self.record_outcome(request_id, AttemptOutcome::Canceled, now);
        self.pinned.remove(&request_id);
    }

    fn take_ready(&mut self, _: Millis) -> Vec<RequestId> {
        Vec::new()
    }

    fn deadline(&self, request_id: RequestId) -> Millis {
        self.pinned.get(&request_id).map_or(0, |h| h.deadline)
    }

    fn route(&self, request_id: RequestId) -> Option<Route> {
        self.found(&self.pinned.get(&request_id)?.path).cloned()
    }

    fn apply_configuration(&mut self, h: Arc<Hosted>, _: Millis) {
        self.hosted = h;
    }

    fn update_registry(&mut self, r: &WorkerRegistry, _: Millis) {
        self.endpoints.iter_mut().for_each(|s| s.w = None);
        for w in &r.workers {
            let n = self.endpoints.len();
            let i = *self.by_name.entry(w.name.clone()).or_insert(n);
            if i == n {
                self.endpoints.push(Endpoint::default());
            }
            self.endpoints[i].w = Some(w.clone());
        }
    }

    fn set_evacuated_zones(&mut self, zones: Vec<u16>, _: Millis) {
        self.evacuated = zones;
    }

    fn update_nodes(&mut self, _: Vec<(String, u16)>) {}

    fn open(&self) -> (u64, u64) {
        (self.pinned.len() as u64, 0)
    }
}
