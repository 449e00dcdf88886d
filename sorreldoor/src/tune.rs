//! Moving weights by what workers report, never beyond the operator's bounds.

use crate::roster::{Loads, Roster};
use crate::setup::{Route, Setup};
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
            // why: one look at a worker is mostly noise; about eight are not
            *s = if l.live { (*s * 7 + now) / 8 } else { now };
        }
        self.0.retain(|n, _| loads.of(n).is_some());
    }

    fn of(&self, name: &str) -> i64 {
        self.0.get(name).copied().unwrap_or(0)
    }
}

/// How full a service's live workers are, in percent; none if it has none.
fn pressure(s: &Setup, service: u16, ro: &Roster, loads: &Loads, smooth: &Smooth) -> Option<i64> {
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

fn route(
    s: &Setup,
    r: &Route,
    now: &[u32],
    ro: &Roster,
    loads: &Loads,
    smooth: &Smooth,
) -> Vec<u32> {
    let ps: Vec<Option<i64>> = r
        .shares
        .iter()
        .map(|h| pressure(s, h.service, ro, loads, smooth))
        .collect();
    let known: Vec<i64> = ps.iter().flatten().copied().collect();
    if known.len() < 2 {
        return now.to_vec();
    }
    let mean = known.iter().sum::<i64>() / known.len() as i64;
    r.shares
        .iter()
        .zip(ps.iter().zip(now))
        .map(|(h, (p, w))| {
            let off = p.map_or(0, |p| mean - p);
            let room = i64::from(h.most) - i64::from(h.least);
            // why: small differences are noise, and chasing them would swing
            if off.abs() < BAND || room == 0 {
                return *w;
            }
            let step = (room * off.clamp(-100, 100) / 100 / PART).max(-room);
            let step = if step == 0 { off.signum() } else { step };
            (i64::from(*w) + step).clamp(i64::from(h.least), i64::from(h.most)) as u32
        })
        .collect()
}

/// The weights that should change, by route and service.
pub fn step(
    s: &Setup,
    tuned: &[(u16, u16, u32)],
    ro: &Roster,
    loads: &Loads,
    smooth: &Smooth,
) -> Vec<(u16, u16, u32)> {
    let mut out = Vec::new();
    for (i, r) in s.routes.iter().enumerate() {
        let now: Vec<u32> = r
            .shares
            .iter()
            .map(|h| weight(tuned, i as u16, h.service).unwrap_or(h.weight))
            .collect();
        let next = route(s, r, &now, ro, loads, smooth);
        // why: a route on which every share fell to nothing could not be served
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
