//! What must hold of a run: looked at from outside, entry by entry.

use super::{Act, Done, Sim};
use sorreldoor::consensus::StateMachine;
use sorreldoor::replicated_state::Outcome;
use sorreldoor::types::{NodeId, ProposalId};
use std::collections::{BTreeMap, BTreeSet};

/// All that was applied and led, by anybody, ever.
#[derive(Default)]
pub struct Trail {
    at: BTreeMap<u64, (ProposalId, Vec<u8>)>,
    leaders: BTreeMap<u64, NodeId>,
    pub wrong: Vec<String>,
}

impl Trail {
    pub fn applied(&mut self, node: usize, idx: u64, proposal_id: ProposalId, data: &[u8]) {
        let new = (proposal_id, data.to_vec());
        let old = self.at.entry(idx).or_insert_with(|| new.clone());
        if *old != new {
            self.wrong
                .push(format!("node {node} applied another entry at {idx}"));
        }
    }

    pub fn led(&mut self, term: u64, id: NodeId) {
        if *self.leaders.entry(term).or_insert(id) != id {
            self.wrong.push(format!("two leaders in term {term}"));
        }
    }
}

/// Every rule that the run broke; a sound run gives none.
pub fn check(s: &Sim) -> Vec<String> {
    let mut w = s.trail.borrow().wrong.clone();
    changes(s, &mut w);
    times(s, &mut w);
    kept(s, &mut w);
    w
}

/// Each serial is won by one change, and by one that built on the one before.
fn changes(s: &Sim, w: &mut Vec<String>) {
    let mut won: BTreeMap<u64, ProposalId> = BTreeMap::new();
    for o in &s.ops {
        let (Act::Change { base }, Done::Got(Outcome::Applied { version })) = (&o.act, &o.done)
        else {
            continue;
        };
        if *version != base + 1 {
            w.push(format!("change on {base} was taken as {version}"));
        }
        if *won.entry(*version).or_insert(o.proposal_id) != o.proposal_id {
            w.push(format!("two changes were both taken as {version}"));
        }
    }
}

/// Linearizable: whatever ends before something begins is seen by it.
fn times(s: &Sim, w: &mut Vec<String>) {
    let mut ends: Vec<(u64, u64)> = Vec::new();
    for o in &s.ops {
        if let Some(v) = o.shows() {
            ends.push((o.end, v));
        }
    }
    ends.sort_unstable();
    let mut high = 0;
    let upto: Vec<(u64, u64)> = ends
        .iter()
        .map(|(t, v)| {
            high = high.max(*v);
            (*t, high)
        })
        .collect();
    for o in &s.ops {
        let Some(v) = o.shows() else { continue };
        let i = upto.partition_point(|(t, _)| *t < o.start);
        let seen = i.checked_sub(1).map_or(0, |i| upto[i].1);
        // a change that was taken must come after all that ended before it
        let least = seen + u64::from(o.took());
        if v < least {
            w.push(format!(
                "{:?} began at {} and showed {v}, but {seen} was shown before",
                o.act, o.start
            ));
        }
    }
}

/// Acked changes are there at the end; refused ones never took effect.
fn kept(s: &Sim, w: &mut Vec<String>) {
    let t = s.trail.borrow();
    let applied: BTreeSet<ProposalId> = t.at.values().map(|(p, _)| *p).collect();
    for o in &s.ops {
        if o.took() && !applied.contains(&o.proposal_id) {
            w.push(format!("change {} was acked and is nowhere", o.proposal_id));
        }
        if o.done == Done::NotTaken && !o.many && applied.contains(&o.proposal_id) {
            w.push(format!("change {} was refused and applied", o.proposal_id));
        }
    }
}

/// After all is healed: everyone up holds the same, and nothing acked is gone.
pub fn same(s: &Sim) -> Vec<String> {
    let mut w = Vec::new();
    let mut all: Vec<(usize, Vec<u8>)> = Vec::new();
    let top = s.ops.iter().filter(|o| o.took()).filter_map(|o| o.shows());
    let top = top.max().unwrap_or(0);
    for (i, n) in s.nodes.iter().enumerate() {
        let Some(r) = n.record() else { continue };
        if r.version() < top {
            w.push(format!(
                "node {i} is at {} but {top} was acked",
                r.version()
            ));
        }
        all.push((i, r.image()));
    }
    if all.windows(2).any(|p| p[0].1 != p[1].1) {
        w.push("records differ after healing".into());
    }
    w
}
