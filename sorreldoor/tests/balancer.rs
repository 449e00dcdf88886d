//! The load balancer: single mechanisms, and simulations of many nodes.

use sorreldoor::balancer::{
    AttemptOutcome, Balancer, Decision, LoadReport, Locality, RequestId, ShutdownLimits,
    SiteLimits, Target,
};
use sorreldoor::configuration::hosted::{Engine, Hosted, Kind, Route, Service};
use sorreldoor::discovery::{Worker, WorkerRegistry};
use sorreldoor::error::ErrorCode;
use sorreldoor::proxy::{PromptSegment, RequestMetadata};
use std::sync::Arc;

#[path = "balancer/endpoints.rs"]
mod endpoints;
#[path = "balancer/fuzz.rs"]
mod fuzz;
#[path = "balancer/invariants.rs"]
mod invariants;
#[path = "balancer/measures.rs"]
mod measures;
#[path = "balancer/nodes.rs"]
mod nodes;
#[path = "balancer/quotas.rs"]
mod quotas;
#[path = "balancer/shutdown.rs"]
mod shutdown;
#[path = "balancer/simulation.rs"]
mod simulation;
#[path = "balancer/tenants.rs"]
mod tenants;
#[path = "balancer/unresponsive.rs"]
mod unresponsive;
#[path = "balancer/workload.rs"]
mod workload;

/// Two regions: zones 0 and 1 in the first, 2 in the second.
const REGIONS: [u8; 3] = [0, 0, 1];

fn site_limits() -> SiteLimits {
    SiteLimits {
        retry_ratio: 0.2,
        retry_window_ms: 10_000,
        retry_slack: 64.0,
        warmup_excess: 1.5,
        warmup_slack: 5.0,
    }
}

fn locality(node: &str, zone: u16) -> Locality {
    Locality {
        node: node.into(),
        zone,
        region: REGIONS[zone as usize],
        regions: REGIONS.to_vec(),
    }
}

fn route(name: &str, prefix: &str, kind: Kind, service: u16) -> Route {
    Route {
        name: name.into(),
        host: "h".into(),
        prefix: prefix.into(),
        kind,
        timeout_ms: 8000,
        latency_target_ms: 800,
        priority: 1,
        split: vec![(service, 1)],
        attempts: 2,
        prefix_affinity: service == 0,
        ..Route::default()
    }
}

/// Service 0 has engines, service 1 has none.
fn hosted(routes: Vec<Route>) -> Arc<Hosted> {
    let mut hosted = Hosted {
        routes: routes.into_iter().map(Arc::new).collect(),
        services: vec![
            Service {
                name: "model".into(),
                max_conns: 330,
                warmup_ms: 3000,
                warmup_per_s: 31.0,
                engine: Some(Engine {
                    slots: 48,
                    kv_tokens: 318_206,
                    stride: 5,
                }),
                ..Service::default()
            },
            Service {
                name: "web".into(),
                max_conns: 130,
                ..Service::default()
            },
        ],
        ..Hosted::default()
    };
    let mut by_prefix_length: Vec<u32> = (0..hosted.routes.len() as u32).collect();
    by_prefix_length.sort_by_key(|i| std::cmp::Reverse(hosted.routes[*i as usize].prefix.len()));
    hosted.by_host.insert("h".into(), by_prefix_length);
    Arc::new(hosted)
}

fn default_routes() -> Arc<Hosted> {
    hosted(vec![
        route("once", "/once/", Kind::Once, 0),
        route("idem", "/idem/", Kind::Idempotent, 0),
        route("web", "/web/", Kind::Idempotent, 1),
        route("webonce", "/webonce/", Kind::Once, 1),
    ])
}

fn worker(name: &str, group: &str, zone: u16, slots: u32) -> Worker {
    Worker {
        name: name.into(),
        addr: "10.0.0.1:80".parse().unwrap(),
        group: group.into(),
        zone,
        region: REGIONS[zone as usize],
        leaving: false,
        slots,
        cold_ms: 0,
        leaves_ms: None,
        software_version: String::new(),
    }
}

/// One worker for each of `zones`, named by group and number.
fn workers_in(group: &str, slots: u32, zones: &[u16]) -> Vec<Worker> {
    let numbered = |(i, zone): (usize, &u16)| worker(&format!("{group}{i}"), group, *zone, slots);
    zones.iter().enumerate().map(numbered).collect()
}

fn registry(version: u64, workers: Vec<Worker>) -> WorkerRegistry {
    WorkerRegistry { version, workers }
}

fn new_balancer(hosted: Arc<Hosted>, workers: Vec<Worker>) -> Balancer {
    let mut balancer = Balancer::new(locality("n0", 0), site_limits(), 7);
    balancer.apply_configuration(hosted, 0);
    balancer.update_nodes(vec![("n0".into(), 0)]);
    balancer.update_registry(&registry(1, workers), 0);
    balancer
}

/// Metadata with prompt segments, given as id and tokens.
fn metadata(segments: &[(u64, u32)]) -> RequestMetadata {
    RequestMetadata {
        deadline_ms: Some(5000),
        prompt_tokens: segments.iter().map(|segment| segment.1).sum(),
        prompt_segments: segments
            .iter()
            .map(|(id, tokens)| PromptSegment {
                id: *id,
                tokens: *tokens,
            })
            .collect(),
        ..RequestMetadata::default()
    }
}

/// Begins a request without a prompt.
fn begin(balancer: &mut Balancer, path: &str, now: u64) -> RequestId {
    balancer.begin("h", path, metadata(&[]), now, now).unwrap()
}

fn expect_send(decision: Decision) -> Target {
    match decision {
        Decision::Send(target) => target,
        decision => panic!("expected Decision::Send, got {decision:?}"),
    }
}

/// Begins a request and decides on it; panics unless it is sent.
fn send(balancer: &mut Balancer, path: &str, now: u64) -> (RequestId, Target) {
    let request_id = begin(balancer, path, now);
    let target = expect_send(balancer.decide(request_id, now));
    (request_id, target)
}
