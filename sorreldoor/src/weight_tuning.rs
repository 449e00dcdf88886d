//! Weight tuning: moves the weights of a route's services towards the cheaper
//! ones, by reported latency or load, within the operator's bounds. Runs at the
//! holder of the singleton role.

use crate::configuration::{Configuration, Route, Share};
use crate::discovery::{Loads, WorkerRegistry};
use crate::wire::EdgeSession;
use std::collections::BTreeMap;

/// Dead band: a cost that differs from the mean by less, in percent, moves no
/// weight.
const BAND: i64 = 8;
/// A step moves a weight by at most the range between its bounds divided by
/// this.
const PART: i64 = 8;

/// Requests running or queued at each worker, in hundredths: an exponentially
/// weighted moving average over its load reports.
#[derive(Clone, Debug, Default)]
pub struct SmoothedLoads(BTreeMap<String, i64>);

impl SmoothedLoads {
    /// Adds a load report of all workers. The average of a worker that reports
    /// no load starts anew; workers that are not listed are forgotten.
    pub fn record(&mut self, loads: &Loads) {
        for l in &loads.rows {
            let now = i64::from(l.running + l.queued) * 100;
            let s = self.0.entry(l.name.clone()).or_insert(now);
            // a single report is mostly noise; an average over about eight is not
            *s = if l.live { (*s * 7 + now) / 8 } else { now };
        }
        self.0.retain(|n, _| loads.of(n).is_some());
    }

    fn of(&self, name: &str) -> i64 {
        self.0.get(name).copied().unwrap_or(0)
    }
}

/// Utilization of a service's live workers, in percent of their slots; none if
/// it has no live worker.
fn pressure(
    s: &Configuration,
    service: u16,
    registry: &WorkerRegistry,
    loads: &Loads,
    smoothed_loads: &SmoothedLoads,
) -> Option<i64> {
    let groups = &s.services[service as usize].groups;
    let mut used = 0i64;
    let mut room = 0i64;
    for w in registry.workers.iter().filter(|w| !w.leaving) {
        let in_group = s.group(&w.group).is_some_and(|g| groups.contains(&g));
        let l = loads.of(&w.name).filter(|l| l.live && in_group);
        if let Some(l) = l {
            used += smoothed_loads.of(&l.name);
            room += i64::from(l.slots.max(1));
        }
    }
    (room > 0).then(|| used / room)
}

/// Latency of requests by route and service: a moving average over the reports
/// of all edges.
#[derive(Clone, Debug, Default)]
pub struct ServiceLatencies {
    /// The totals last reported, by node, incarnation, route and service:
    /// number of requests, and their total latency in milliseconds.
    seen: BTreeMap<(String, u64, String, String), (u64, u64)>,
    /// By route and service: the average in tenths of milliseconds, and the
    /// number of rounds since it was last updated.
    mean: BTreeMap<(String, String), (i64, u32)>,
}

/// Rounds without an update after which the latency of a service counts as
/// unknown.
const STALE: u32 = 15;
/// Requests that a round must have for their mean latency to count.
const FEW: u64 = 4;

impl ServiceLatencies {
    /// Adds what edges have reported since the last round. A session that was
    /// not in the last round only sets the base for the next one.
    pub fn record(&mut self, edge_sessions: &[&EdgeSession]) {
        let mut new: BTreeMap<(String, String), (u64, u64)> = BTreeMap::new();
        let mut seen = BTreeMap::new();
        for s in edge_sessions {
            for t in &s.took {
                let (route, service) = (t.route.clone(), t.service.clone());
                let k = (s.hello.node.clone(), s.hello.incarnation, route, service);
                let was = self.seen.get(&k).copied().unwrap_or((t.n, t.ms));
                let n = new.entry((k.2.clone(), k.3.clone())).or_default();
                n.0 += t.n.saturating_sub(was.0);
                n.1 += t.ms.saturating_sub(was.1);
                seen.insert(k, (t.n, t.ms));
            }
        }
        self.seen = seen;
        self.mean.values_mut().for_each(|(_, age)| *age += 1);
        for (k, (n, ms)) in new.into_iter().filter(|(_, (n, _))| *n >= FEW) {
            let now = (ms * 10 / n) as i64;
            let m = self.mean.entry(k).or_insert((now, 0));
            *m = ((m.0 * 3 + now) / 4, 0);
        }
        self.mean.retain(|_, (_, age)| *age < STALE);
    }

    /// The average latency in tenths of milliseconds; none if the service had
    /// too few requests of this route lately.
    pub fn of(&self, route: &str, service: &str) -> Option<i64> {
        let k = (route.to_string(), service.to_string());
        self.mean.get(&k).map(|(m, _)| *m)
    }
}

/// Cost of each of the route's services: the latency if at least two services
/// have one, else the utilization of their workers. None where unknown, and for
/// a service without live workers.
fn costs(s: &Configuration, r: &Route, now: &TuningInputs) -> Vec<Option<i64>> {
    let full = |h: &Share| pressure(s, h.service, now.registry, now.loads, now.smoothed_loads);
    let name = |h: &Share| s.services[h.service as usize].name.as_str();
    let timed: Vec<Option<i64>> = r
        .shares
        .iter()
        .map(|h| {
            now.latencies
                .of(&r.name, name(h))
                .filter(|_| full(h).is_some())
        })
        .collect();
    if timed.iter().flatten().count() >= 2 {
        return timed;
    }
    r.shares.iter().map(full).collect()
}

/// Inputs of one tuning step.
pub struct TuningInputs<'a> {
    /// The workers of the platform.
    pub registry: &'a WorkerRegistry,
    /// Their latest loads, for slots and liveness.
    pub loads: &'a Loads,
    /// Their load, smoothed.
    pub smoothed_loads: &'a SmoothedLoads,
    /// Latency by route and service.
    pub latencies: &'a ServiceLatencies,
}

fn route(s: &Configuration, r: &Route, is: &[u32], now: &TuningInputs) -> Vec<u32> {
    let cs = costs(s, r, now);
    let known: Vec<i64> = cs.iter().flatten().copied().collect();
    if known.len() < 2 {
        return is.to_vec();
    }
    let mean = known.iter().sum::<i64>() / known.len() as i64;
    r.shares
        .iter()
        .zip(cs.iter().zip(is))
        .map(|(h, (c, w))| {
            // a service of unknown cost may have recovered, so it gets more
            let off = c.map_or(BAND, |c| (mean - c) * 100 / mean.max(1));
            let room = i64::from(h.max_weight) - i64::from(h.min_weight);
            // small differences are noise; following them would oscillate
            if off.abs() < BAND || room == 0 {
                return *w;
            }
            let step = room * off.clamp(-100, 100) / 100 / PART;
            let step = if step == 0 { off.signum() } else { step };
            (i64::from(*w) + step).clamp(i64::from(h.min_weight), i64::from(h.max_weight)) as u32
        })
        .collect()
}

/// One tuning step: the weights that change, as index of the route, index of
/// the service, and new weight. `tuned` has the weights tuned so far; a share
/// that is not in it has its configured weight.
pub fn step(
    s: &Configuration,
    tuned: &[(u16, u16, u32)],
    by: &TuningInputs,
) -> Vec<(u16, u16, u32)> {
    let mut out = Vec::new();
    for (i, r) in s.routes.iter().enumerate() {
        let now: Vec<u32> = r
            .shares
            .iter()
            .map(|h| weight(tuned, i as u16, h.service).unwrap_or(h.weight))
            .collect();
        let next = route(s, r, &now, by);
        // a route whose weights are all 0 could not be served
        if next.iter().all(|w| *w == 0) {
            continue;
        }
        for ((h, a), b) in r.shares.iter().zip(&now).zip(next) {
            if *a != b {
                out.push((i as u16, h.service, b));
            }
        }
    }
    out
}

/// The tuned weight of a service on a route, both by index; none if it was
/// never tuned, so that the configured weight applies.
pub fn weight(tuned: &[(u16, u16, u32)], route: u16, service: u16) -> Option<u32> {
    tuned
        .iter()
        .find(|(r, s, _)| (*r, *s) == (route, service))
        .map(|(_, _, w)| *w)
}
