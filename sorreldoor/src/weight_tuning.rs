//! Weight tuning: shifts the weights of a route's services towards those with the
//! lower latency or load, within the operator's bounds. Runs at the holder of the
//! singleton role.

use crate::configuration::{Configuration, Route, Share};
use crate::discovery::{Loads, WorkerRegistry};
use crate::wire::EdgeSession;
use std::collections::BTreeMap;

/// Dead band: a cost that differs from the mean by less than this percentage
/// leaves the weight as it is.
const DEAD_BAND_PERCENT: i64 = 8;
/// A step changes a weight by at most the range between its bounds divided by
/// this.
const MAX_STEP_DIVISOR: i64 = 8;

/// The load of each worker: an exponentially weighted moving average of its
/// running and queued requests, in hundredths.
#[derive(Clone, Debug, Default)]
pub struct SmoothedLoads(BTreeMap<String, i64>);

impl SmoothedLoads {
    /// Adds a load report of all workers. The average of a worker that is not live
    /// restarts; that of a worker without a report is dropped.
    pub fn record(&mut self, loads: &Loads) {
        for load in &loads.rows {
            let now = i64::from(load.running + load.queued) * 100;
            let average = self.0.entry(load.name.clone()).or_insert(now);
            // the weight of one eighth filters the noise of single reports
            *average = if load.live {
                (*average * 7 + now) / 8
            } else {
                now
            };
        }
        self.0.retain(|name, _| loads.of(name).is_some());
    }

    /// The load of a worker in hundredths of a request; 0 if it is unknown.
    fn of(&self, name: &str) -> i64 {
        self.0.get(name).copied().unwrap_or(0)
    }
}

/// Utilization of a service's live workers in percent of their slots; `None`
/// without a live worker.
fn utilization(
    configuration: &Configuration,
    service: u16,
    registry: &WorkerRegistry,
    loads: &Loads,
    smoothed_loads: &SmoothedLoads,
) -> Option<i64> {
    let groups = &configuration.services[service as usize].groups;
    let mut requests = 0i64;
    let mut slots = 0i64;
    for worker in registry.workers.iter().filter(|worker| !worker.leaving) {
        let in_group = configuration
            .group(&worker.group)
            .is_some_and(|group| groups.contains(&group));
        let load = loads.of(&worker.name).filter(|load| load.live && in_group);
        if let Some(load) = load {
            requests += smoothed_loads.of(&load.name);
            slots += i64::from(load.slots.max(1));
        }
    }
    (slots > 0).then(|| requests / slots)
}

/// Latency by route and service: a moving average over the reports of all edges.
#[derive(Clone, Debug, Default)]
pub struct ServiceLatencies {
    /// The last reported totals by node, incarnation, route and service: number of
    /// requests, and the sum of their latencies in milliseconds.
    last_totals: BTreeMap<(String, u64, String, String), (u64, u64)>,
    /// By route and service: the average in tenths of a millisecond, and its age in
    /// rounds.
    averages: BTreeMap<(String, String), (i64, u32)>,
}

/// Rounds without an update after which an average is dropped.
const MAX_AGE_ROUNDS: u32 = 15;
/// The fewest requests of a round whose mean latency updates the average.
const MIN_REQUESTS_PER_ROUND: u64 = 4;

impl ServiceLatencies {
    /// Ends a round: adds the requests that edges have reported since the last one.
    /// The totals of a session that was not in the last round only serve as the
    /// base for the next round.
    pub fn record(&mut self, edge_sessions: &[&EdgeSession]) {
        let mut added: BTreeMap<(String, String), (u64, u64)> = BTreeMap::new();
        let mut totals = BTreeMap::new();
        for session in edge_sessions {
            for total in &session.took {
                let (route, service) = (total.route.clone(), total.service.clone());
                let key = (
                    session.hello.node.clone(),
                    session.hello.incarnation,
                    route,
                    service,
                );
                let last = self
                    .last_totals
                    .get(&key)
                    .copied()
                    .unwrap_or((total.n, total.ms));
                let sum = added.entry((key.2.clone(), key.3.clone())).or_default();
                sum.0 += total.n.saturating_sub(last.0);
                sum.1 += total.ms.saturating_sub(last.1);
                totals.insert(key, (total.n, total.ms));
            }
        }
        self.last_totals = totals;
        self.averages.values_mut().for_each(|(_, age)| *age += 1);
        for (key, (count, ms)) in added
            .into_iter()
            .filter(|(_, (count, _))| *count >= MIN_REQUESTS_PER_ROUND)
        {
            let now = (ms * 10 / count) as i64;
            let average = self.averages.entry(key).or_insert((now, 0));
            *average = ((average.0 * 3 + now) / 4, 0);
        }
        self.averages.retain(|_, (_, age)| *age < MAX_AGE_ROUNDS);
    }

    /// The average latency in tenths of a millisecond; `None` if the service had too
    /// few recent requests of this route.
    pub fn of(&self, route: &str, service: &str) -> Option<i64> {
        let key = (route.to_string(), service.to_string());
        self.averages.get(&key).map(|(average, _)| *average)
    }
}

/// The cost of each service of a route: its latency if that is known for at least
/// two of them, else the utilization of its workers. `None` where it is unknown,
/// and for a service without live workers.
fn costs(configuration: &Configuration, route: &Route, inputs: &TuningInputs) -> Vec<Option<i64>> {
    let utilization_of = |share: &Share| {
        utilization(
            configuration,
            share.service,
            inputs.registry,
            inputs.loads,
            inputs.smoothed_loads,
        )
    };
    let name = |share: &Share| configuration.services[share.service as usize].name.as_str();
    let latencies: Vec<Option<i64>> = route
        .shares
        .iter()
        .map(|share| {
            inputs
                .latencies
                .of(&route.name, name(share))
                .filter(|_| utilization_of(share).is_some())
        })
        .collect();
    if latencies.iter().flatten().count() >= 2 {
        return latencies;
    }
    route.shares.iter().map(utilization_of).collect()
}

/// Inputs of one tuning step.
pub struct TuningInputs<'a> {
    /// All workers.
    pub registry: &'a WorkerRegistry,
    /// Their latest load reports.
    pub loads: &'a Loads,
    /// Their smoothed load.
    pub smoothed_loads: &'a SmoothedLoads,
    /// Latency by route and service.
    pub latencies: &'a ServiceLatencies,
}

/// The weights of a route after one step, from its current ones.
fn step_route(
    configuration: &Configuration,
    route: &Route,
    weights: &[u32],
    inputs: &TuningInputs,
) -> Vec<u32> {
    let costs = costs(configuration, route, inputs);
    let known: Vec<i64> = costs.iter().flatten().copied().collect();
    if known.len() < 2 {
        return weights.to_vec();
    }
    let mean = known.iter().sum::<i64>() / known.len() as i64;
    route
        .shares
        .iter()
        .zip(costs.iter().zip(weights))
        .map(|(share, (cost, weight))| {
            // a service of unknown cost gets requests, so that its cost becomes known
            let advantage_percent =
                cost.map_or(DEAD_BAND_PERCENT, |cost| (mean - cost) * 100 / mean.max(1));
            let range = i64::from(share.max_weight) - i64::from(share.min_weight);
            // following small differences would make the weights oscillate
            if advantage_percent.abs() < DEAD_BAND_PERCENT || range == 0 {
                return *weight;
            }
            let step = range * advantage_percent.clamp(-100, 100) / 100 / MAX_STEP_DIVISOR;
            let step = if step == 0 {
                advantage_percent.signum()
            } else {
                step
            };
            (i64::from(*weight) + step)
                .clamp(i64::from(share.min_weight), i64::from(share.max_weight)) as u32
        })
        .collect()
}

/// One tuning step. Returns the weights that change, as (route, service, weight)
/// with indices. `tuned` has the weights tuned so far in the same form; a share
/// that is not in it has its configured weight.
pub fn step(
    configuration: &Configuration,
    tuned: &[(u16, u16, u32)],
    inputs: &TuningInputs,
) -> Vec<(u16, u16, u32)> {
    let mut changes = Vec::new();
    for (index, route) in configuration.routes.iter().enumerate() {
        let current: Vec<u32> = route
            .shares
            .iter()
            .map(|share| weight(tuned, index as u16, share.service).unwrap_or(share.weight))
            .collect();
        let next = step_route(configuration, route, &current, inputs);
        // with all weights at 0 the route could not be served
        if next.iter().all(|weight| *weight == 0) {
            continue;
        }
        for ((share, before), after) in route.shares.iter().zip(&current).zip(next) {
            if *before != after {
                changes.push((index as u16, share.service, after));
            }
        }
    }
    changes
}

/// The tuned weight of a service on a route, both by index; `None` if it was
/// never tuned and the configured weight applies.
pub fn weight(tuned: &[(u16, u16, u32)], route: u16, service: u16) -> Option<u32> {
    tuned
        .iter()
        .find(|(of_route, of_service, _)| (*of_route, *of_service) == (route, service))
        .map(|(_, _, weight)| *weight)
}
