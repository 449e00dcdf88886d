//! What must never happen, looked for in everything that was seen.

use super::{history, Got, World};
use sorreldoor::replicated_state::Outcome;
use sorreldoor::types::Millis;
use sorreldoor::wire::OpOutcome;
use std::collections::BTreeMap;

const SETUP_MS: Millis = 3000;
const LEAVING_MS: Millis = 4000;
const EVACUATED_MS: Millis = 5000;

pub fn check(w: &World) -> Vec<String> {
    let mut out = w.wrong.clone();
    history::ran_once(w, &mut out);
    history::services(w, &mut out);
    results(w, &mut out);
    configurations(w, &mut out);
    leaving(w, &mut out);
    evacuated(w, &mut out);
    races(w, &mut out);
    out
}

/// Successes are the asker's own and whole; streams are true prefixes.
fn results(w: &World, out: &mut Vec<String>) {
    for (n, c) in &w.callers {
        if matches!(c.got, Got::Whole(x) if x != *n) {
            out.push(format!("caller {n} got {:?}", c.got));
        }
        let inorder = c.seen.iter().enumerate().all(|(i, s)| *s == i as u64);
        if !inorder {
            out.push(format!("caller {n} saw events {:?}", c.seen));
        }
        if c.got == Got::Stream && c.seen.len() as u64 != c.events {
            out.push(format!("caller {n} saw an end after {:?}", c.seen));
        }
    }
}

/// When, as which serial, and the zone emptied or taken back, if any.
type Yes = (Millis, u64, Option<(u16, bool)>);

/// Changes that got their yes.
fn yeses(w: &World) -> Vec<Yes> {
    w.changes
        .iter()
        .filter_map(|c| match &c.outcome {
            Some(OpOutcome::Got(Outcome::Applied { version })) => Some((c.end, *version, c.zone)),
            _ => None,
        })
        .collect()
}

/// Within three seconds of a yes nobody hands over under an older serial.
fn configurations(w: &World, out: &mut Vec<String>) {
    let yes = yeses(w);
    let mut last: BTreeMap<usize, u64> = BTreeMap::new();
    for h in &w.handed {
        let due = yes.iter().filter(|(t, _, _)| t + SETUP_MS < h.at);
        let due = due.map(|(_, s, _)| *s).max().unwrap_or(0);
        if h.version < due {
            out.push(format!(
                "{} acted on serial {} at {}, {due} was due",
                w.procs[h.edge].name, h.version, h.at
            ));
        }
        let before = last.entry(h.edge).or_default();
        if h.version < *before {
            out.push(format!("{} stepped back", w.procs[h.edge].name));
        }
        *before = (*before).max(h.version);
    }
}

fn leaving(w: &World, out: &mut Vec<String>) {
    for h in &w.handed {
        let late = w
            .left_at
            .get(&h.worker)
            .is_some_and(|t| t + LEAVING_MS < h.at);
        if late {
            out.push(format!("leaving {} got {}", w.workers[h.worker].name, h.id));
        }
    }
}

/// Five seconds after a yes an emptied zone gets nothing, until taken back.
fn evacuated(w: &World, out: &mut Vec<String>) {
    let yes = yeses(w);
    let mut spans: Vec<(u16, Millis, Millis)> = Vec::new();
    for (t, s, z) in &yes {
        let Some((zone, true)) = z else { continue };
        let back = yes
            .iter()
            .filter(|(_, s2, z2)| s2 > s && *z2 == Some((*zone, false)));
        // a return may take effect before its asker hears of it, or
        // without its asker ever hearing
        let until = back.map(|(t2, _, _)| t2.saturating_sub(w.ack_ms)).min();
        let unknown = w
            .changes
            .iter()
            .filter(|c| c.zone == Some((*zone, false)) && c.base >= *s)
            .filter(|c| matches!(c.outcome, None | Some(OpOutcome::Unknown)))
            .map(|c| c.start)
            .min();
        let until = until.into_iter().chain(unknown).min();
        spans.push((*zone, t + EVACUATED_MS, until.unwrap_or(Millis::MAX)));
    }
    for h in &w.handed {
        for (zone, from, until) in &spans {
            let inside = h.at > *from && h.at < *until;
            if inside && w.workers[h.worker].zone == *zone {
                out.push(format!("emptied zone {zone} got {} at {}", h.id, h.at));
            }
        }
    }
    for b in &w.bodies {
        for (zone, from, until) in &spans {
            let inside = b.at > *from && b.at < *until;
            if inside && w.procs[b.edge].zone == *zone {
                let (n, at) = (b.caller, b.at);
                out.push(format!("edge in emptied zone {zone} took {n} at {at}"));
            }
        }
    }
}

/// Of racing changes one wins, and all that was acked is there.
fn races(w: &World, out: &mut Vec<String>) {
    let mut won: BTreeMap<u64, u64> = BTreeMap::new();
    for c in &w.changes {
        if let Some(OpOutcome::Got(Outcome::Applied { version })) = &c.outcome {
            if *version != c.base + 1 {
                out.push(format!("a change on {} was taken as {version}", c.base));
            }
            if *won.entry(*version).or_insert(c.request_id) != c.request_id {
                out.push(format!("two changes were taken as {version}"));
            }
        }
    }
}

impl World {
    /// After healing: every core that is up holds all that was acked.
    pub fn kept(&self) -> Vec<String> {
        let top = yeses(self).iter().map(|(_, s, _)| *s).max().unwrap_or(0);
        self.cores()
            .into_iter()
            .filter_map(|p| {
                self.controller(p)
                    .and_then(|h| h.consensus())
                    .map(|a| (p, a))
            })
            .filter(|(_, a)| a.state_machine().version() < top)
            .map(|(p, a)| {
                let s = a.state_machine().version();
                format!("{} is at {s}, {top} was acked", self.procs[p].name)
            })
            .collect()
    }
}

impl World {
    /// Retries of all edges against first tries, in total and in every
    /// stretch of five seconds that saw some traffic.
    pub fn retried_too_much(&self) -> Vec<String> {
        let mut out = Vec::new();
        let (mut first, mut again) = (0u64, 0u64);
        let mut by: BTreeMap<Millis, (u64, u64)> = BTreeMap::new();
        let mut seen: BTreeMap<u64, u64> = BTreeMap::new();
        for (at, caller) in &self.opened {
            let n = seen.entry(*caller).or_default();
            *n += 1;
            let b = by.entry(at / 5000).or_default();
            b.0 += u64::from(*n == 1);
            b.1 += u64::from(*n > 1);
            first += u64::from(*n == 1);
            again += u64::from(*n > 1);
        }
        if again > first / 5 + 2 * self.edges().len() as u64 {
            out.push(format!("{again} retries of {first} in all"));
        }
        for (t, (f, a)) in by.iter().filter(|(_, (f, _))| *f >= 100) {
            // what edges may have kept for a bad moment is no flood
            if *a > f / 5 + 2 * self.edges().len() as u64 {
                out.push(format!("{a} retries of {f} from {} s on", t * 5));
            }
        }
        out
    }

    /// By region: the most of its errands, in percent, that went elsewhere in
    /// any two seconds of a stretch, over all its edges.
    pub fn spilt(&self, from: Millis, to: Millis) -> Vec<u64> {
        let worst = |region: u8| {
            let mut by: BTreeMap<Millis, (u64, u64)> = BTreeMap::new();
            let home = |p: usize| self.procs[p].region == region;
            for c in self.callers.values().filter(|c| home(c.edge)) {
                if (from..to).contains(&c.start) {
                    by.entry(c.start / 2000).or_default().0 += 1;
                }
            }
            for h in self.handed.iter().filter(|h| home(h.edge)) {
                let away = self.workers[h.worker].region != region;
                if away && (from..to).contains(&h.at) {
                    by.entry(h.at / 2000).or_default().1 += 1;
                }
            }
            let shares = by.values().filter(|(n, _)| *n >= 20);
            shares.map(|(n, s)| s * 100 / n).max().unwrap_or(0)
        };
        (0..self.site.regions.len() as u8).map(worst).collect()
    }

    /// Workers that ever held far more than they could bear while cold.
    pub fn flooded(&self) -> Vec<String> {
        self.workers
            .iter()
            .filter(|k| k.model && k.over_cold > 2)
            .map(|k| format!("cold {} held {} more than it bears", k.name, k.over_cold))
            .collect()
    }
}
