//! Generated inputs of realistic size: configuration, worker list, load reports
//! and changes.

use super::Size;
use crate::rand::Rand;
use sorreldoor::configuration::Site;
use sorreldoor::replicated_state::Command;
use sorreldoor::wire::RouteLatency;
use std::sync::Arc;

/// Models in steady use; each is a group, a service and an adapter's base.
pub const MODELS: usize = 11;

pub fn site(s: &Size) -> Arc<Site> {
    let regions = (0..s.regions).map(|r| format!("region-{r}")).collect();
    let zone = |z: usize| (format!("zone-{z:02}"), (z % s.regions) as u8);
    let zones = (0..s.zones).map(zone).collect();
    Arc::new(Site { regions, zones })
}

pub fn route(i: usize) -> String {
    format!("tenant-{i:04}")
}

fn model(i: usize) -> String {
    format!("model-{:02}", i % MODELS)
}

/// A setup with a route for each tenant, over two models each.
pub fn configuration(s: &Size) -> String {
    let groups: Vec<String> = (0..MODELS)
        .map(|m| format!(r#"{:?}:{{"kind":"model","slots":16,"queue":64}}"#, model(m)))
        .collect();
    let services: Vec<String> = (0..MODELS)
        .map(|m| format!(r#"{0:?}:{{"groups":[{0:?}]}}"#, model(m)))
        .collect();
    let routes: Vec<String> = (0..s.routes)
        .map(|i| {
            format!(
                r#"{:?}:{{"kind":"prefix","streamed":true,"cutoff_ms":60000,"shares":{{{:?}:{{"weight":80}},{:?}:{{"weight":20}}}}}}"#,
                route(i),
                model(i),
                model(i + 1)
            )
        })
        .collect();
    format!(
        r#"{{"groups":{{{}}},"services":{{{}}},"routes":{{{}}},"retry":{{"percent":15}}}}"#,
        groups.join(","),
        services.join(","),
        routes.join(",")
    )
}

/// One route's weight moves: the commonest change there is.
pub fn edit(s: &Size, base: u64, r: &mut Rand) -> Command {
    let i = r.below(s.routes as u64) as usize;
    let weight = 40 + r.below(60);
    let patch = format!(
        r#"{{"routes":{{{:?}:{{"shares":{{{:?}:{{"weight":{weight}}}}}}}}}}}"#,
        route(i),
        model(i)
    );
    Command::MergePatch { base, patch }
}

pub fn worker(i: usize) -> String {
    format!("worker-{i:05}")
}

/// The platform's list, as its page gives it.
pub fn registry(s: &Size, version: u64) -> String {
    let rows: Vec<String> = (0..s.workers)
        .map(|i| {
            let (a, b) = (i / 250, i % 250 + 1);
            format!(
                r#"{{"name":{:?},"addr":"10.1.{a}.{b}:8000","group":{:?},"zone":"zone-{:02}","state":"up"}}"#,
                worker(i),
                model(i),
                i % s.zones
            )
        })
        .collect();
    format!(r#"{{"serial":{version},"workers":[{}]}}"#, rows.join(","))
}

/// A worker's own report, as its page gives it; nearly all differ each time.
pub fn load(i: usize, r: &mut Rand) -> String {
    format!(
        r#"{{"worker":{:?},"running":{},"queued":{},"slots":16,"finished":{},"adapters":["adapter-{}"],"weights":"{}"}}"#,
        worker(i),
        r.below(17),
        r.below(4),
        100_000 + r.below(100_000),
        i % 40,
        model(i)
    )
}

/// What a node that has served for hours has to tell: every route.
pub fn route_latencies(s: &Size, r: &mut Rand) -> Vec<RouteLatency> {
    let one = |i| RouteLatency {
        route: route(i),
        service: model(i),
        n: 1000 + r.below(9000),
        ms: 1_000_000 + r.below(9_000_000),
    };
    (0..s.routes * s.reported_percent / 100).map(one).collect()
}
