//! Moving weights by what workers report, never beyond the operator's bounds.

use crate::configuration::{Configuration, Route, Share};
use crate::discovery::{Loads, WorkerRegistry};
use crate::wire::EdgeSession;
use std::collections::BTreeMap;

/// Differences of pressure below this, in percent, move nothing.
const BAND: i64 = 8;
/// A step moves a weight by this part of its room at most.
const PART: i64 = 8;

/// Errands at each worker, in hundredths, smoothed over its last reports.
#[derive(Clone, Debug, Default)]
pub struct Smooth(BTreeMap<String, i64>);

impl Smooth {
    /// Take in a round of reports; a dark worker's past counts no more.
    pub fn take(&mut self, loads: &Loads) {
        for l in &loads.rows {
            let now = i64::from(l.running + l.queued) * 100;
            let s = self.0.entry(l.name.clone()).or_insert(now);
            // one look at a worker is mostly noise; about eight are not
            *s = if l.live { (*s * 7 + now) / 8 } else { now };
        }
        self.0.retain(|n, _| loads.of(n).is_some());
    }

    fn of(&self, name: &str) -> i64 {
        self.0.get(name).copied().unwrap_or(0)
    }
}

/// How full a service's live workers are, in percent; none if it has none.
fn pressure(
    s: &Configuration,
    service: u16,
    ro: &WorkerRegistry,
    loads: &Loads,
    smooth: &Smooth,
) -> Option<i64> {
    let groups = &s.services[service as usize].groups;
    let mut used = 0i64;
    let mut room = 0i64;
    for w in ro.workers.iter().filter(|w| !w.leaving) {
        let in_group = s.group(&w.group).is_some_and(|g| groups.contains(&g));
        let l = loads.of(&w.name).filter(|l| l.live && in_group);
        if let Some(l) = l {
            used += smooth.of(&l.name);
            room += i64::from(l.slots.max(1));
        }
    }
    (room > 0).then(|| used / room)
}

/// What errands of a route took through a service, smoothed.
#[derive(Clone, Debug, Default)]
pub struct Times {
    /// Each life of each edge: what it had told last.
    seen: BTreeMap<(String, u64, String, String), (u64, u64)>,
    /// Mean in tenths of ms, and how many looks ago it was last fed.
    mean: BTreeMap<(String, String), (i64, u32)>,
}

/// Looks without any errand after which a service's time is not known any more.
const STALE: u32 = 15;
/// Errands that a look must have seen for their mean to count.
const FEW: u64 = 4;

impl Times {
    /// Take in what edges told since the last look.
    pub fn take(&mut self, edge_sessions: &[&EdgeSession]) {
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

    /// Tenths of milliseconds, if enough errands went that way of late.
    pub fn of(&self, route: &str, service: &str) -> Option<i64> {
        let k = (route.to_string(), service.to_string());
        self.mean.get(&k).map(|(m, _)| *m)
    }
}

/// What a share costs an errand: its measured time where all shares have one,
/// else how full its workers are. A service without live workers has none.
fn costs(s: &Configuration, r: &Route, now: &Now) -> Vec<Option<i64>> {
    let full = |h: &Share| pressure(s, h.service, now.ro, now.loads, now.smooth);
    let name = |h: &Share| s.services[h.service as usize].name.as_str();
    let timed: Vec<Option<i64>> = r
        .shares
        .iter()
        .map(|h| now.times.of(&r.name, name(h)).filter(|_| full(h).is_some()))
        .collect();
    if timed.iter().flatten().count() >= 2 {
        return timed;
    }
    r.shares.iter().map(full).collect()
}

/// All that weights are tuned by at one moment.
pub struct Now<'a> {
    pub ro: &'a WorkerRegistry,
    pub loads: &'a Loads,
    pub smooth: &'a Smooth,
    pub times: &'a Times,
}

fn route(s: &Configuration, r: &Route, is: &[u32], now: &Now) -> Vec<u32> {
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
            // one that is not known may have recovered, so it is tried
            let off = c.map_or(BAND, |c| (mean - c) * 100 / mean.max(1));
            let room = i64::from(h.most) - i64::from(h.least);
            // small differences are noise, and chasing them would swing
            if off.abs() < BAND || room == 0 {
                return *w;
            }
            let step = room * off.clamp(-100, 100) / 100 / PART;
            let step = if step == 0 { off.signum() } else { step };
            (i64::from(*w) + step).clamp(i64::from(h.least), i64::from(h.most)) as u32
        })
        .collect()
}

/// The weights that should change, by route and service.
pub fn step(s: &Configuration, tuned: &[(u16, u16, u32)], by: &Now) -> Vec<(u16, u16, u32)> {
    let mut out = Vec::new();
    for (i, r) in s.routes.iter().enumerate() {
        let now: Vec<u32> = r
            .shares
            .iter()
            .map(|h| weight(tuned, i as u16, h.service).unwrap_or(h.weight))
            .collect();
        let next = route(s, r, &now, by);
        // a route on which every share fell to nothing could not be served
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

pub fn weight(tuned: &[(u16, u16, u32)], route: u16, service: u16) -> Option<u32> {
    tuned
        .iter()
        .find(|(r, s, _)| (*r, *s) == (route, service))
        .map(|(_, _, w)| *w)
}
