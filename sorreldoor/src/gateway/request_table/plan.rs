//! All an edge was delivered, with names made dense: what passes read.

use crate::configuration::{self, Configuration, Site};
use crate::discovery::{Loads, Worker, WorkerRegistry};
use crate::invariants::{broken, Invariant};
use crate::placement::{self, Candidate};
use crate::replicated_state::{Recovery, View};
use crate::wire::EdgeEndpoint;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

/// Load reports after which other edges have a cold worker's first errands.
const TURN: u64 = 4;

/// What the edge was last shown, source by source.
#[derive(Clone, Debug, Default)]
pub struct Shown {
    pub view: View,
    pub registry: Arc<WorkerRegistry>,
    pub loads: Arc<Loads>,
    pub edge_sessions: (u64, Vec<EdgeEndpoint>),
}

#[derive(Default)]
pub struct Plan {
    pub site: Arc<Site>,
    pub me: String,
    pub zone: u16,
    pub region: u8,
    pub shown: Shown,
    pub configuration: Option<Arc<Configuration>>,
    /// Names of workers ever seen, in order of their dense index.
    index: HashMap<String, usize>,
    pub candidates: Vec<Option<Candidate>>,
    pub addrs: Vec<Option<SocketAddr>>,
    /// Errands of this edge at each worker now.
    pub mine: Vec<u32>,
    /// Sent there since the last load report.
    since: Vec<u32>,
    /// Edges with a session, and their regions.
    edges: Vec<(String, u8)>,
}

impl Plan {
    pub fn new(site: Arc<Site>, me: String, zone: u16, region: u8) -> Plan {
        Plan {
            site,
            me,
            zone,
            region,
            ..Plan::default()
        }
    }

    /// Take a newer view of the record; false if its setup cannot be read.
    pub fn take_view(&mut self, v: View) -> bool {
        // no step back, whatever order news comes in
        if v.revision < self.shown.view.revision {
            return true;
        }
        let same = v.doc == self.shown.view.doc && self.configuration.is_some();
        let read = v
            .doc
            .as_ref()
            .filter(|_| !same)
            .map(|d| configuration::parse(d.as_bytes(), &self.site));
        self.shown.view = v;
        let ok = read.as_ref().is_none_or(|r| r.is_ok());
        if let Some(r) = read {
            self.configuration = r.ok().map(|(s, _)| Arc::new(s));
        }
        self.rebuild();
        ok
    }

    pub fn take_registry(&mut self, r: Arc<WorkerRegistry>) {
        if r.version >= self.shown.registry.version {
            self.shown.registry = r;
            self.rebuild();
        }
    }

    pub fn take_loads(&mut self, l: Arc<Loads>) {
        if l.mark() > self.shown.loads.mark() {
            self.shown.loads = l;
            self.since.iter_mut().for_each(|n| *n = 0);
            self.rebuild();
        }
    }

    pub fn take_seats(&mut self, s: (u64, Vec<EdgeEndpoint>)) {
        self.shown.edge_sessions = s;
        self.rebuild();
    }

    fn dense(&mut self, name: &str) -> usize {
        let next = self.index.len();
        let i = *self.index.entry(name.to_string()).or_insert(next);
        if i == next {
            self.candidates.push(None);
            self.addrs.push(None);
            self.mine.push(0);
            self.since.push(0);
        }
        i
    }

    pub fn evacuated(&self, zone: u16) -> bool {
        self.shown.view.evacuated.contains(&zone) && !broken(Invariant::Evacuated)
    }

    pub fn recovery(&self, region: u8) -> Recovery {
        self.shown
            .view
            .regions
            .iter()
            .find(|(r, _)| *r == region)
            .map_or(Recovery::Served, |(_, s)| *s)
    }

    /// Work out every worker's spot from what is shown.
    fn rebuild(&mut self) {
        self.edges = self
            .shown
            .edge_sessions
            .1
            .iter()
            .map(|s| (s.node.clone(), s.region))
            .collect();
        // an edge that is not listed yet must still count itself
        if !self.edges.iter().any(|(e, _)| *e == self.me) {
            self.edges.push((self.me.clone(), self.region));
        }
        self.candidates.iter_mut().for_each(|s| *s = None);
        let Some(configuration) = self.configuration.clone() else {
            return;
        };
        let registry = self.shown.registry.clone();
        let loads = self.shown.loads.clone();
        let mut dealt: BTreeMap<(u16, u8), u64> = BTreeMap::new();
        for w in &registry.workers {
            let Some(g) = configuration.group(&w.group) else {
                continue;
            };
            let dealt = dealt.entry((g, w.region)).or_default();
            let i = self.dense(&w.name);
            let grp = &configuration.groups[g as usize];
            let l = loads.of(&w.name);
            let slots = l.map_or(0, |l| l.slots).max(1).min(grp.slots);
            let leaving = w.leaving && !broken(Invariant::Leaving);
            let open = !leaving && !self.evacuated(w.zone) && l.is_some_and(|l| l.live);
            let done = l.map_or(0, |l| l.finished);
            let (most, cap) = self.most(w, slots, grp.warm, done, *dealt);
            *dealt += u64::from(grp.warm.first);
            self.addrs[i] = Some(w.addr);
            self.candidates[i] = Some(Candidate {
                name: w.name.clone(),
                group: g,
                zone: w.zone,
                region: w.region,
                open,
                slots,
                busy: l.map_or(0, |l| l.running + l.queued) + self.since[i],
                mine: self.mine[i],
                most,
                cap,
                adapters: l.map_or(Vec::new(), |l| l.adapters.clone()),
            });
        }
    }

    /// This edge's part of what a worker may hold: strict while it is cold.
    /// `dealt` counts the first places of the workers before it.
    fn most(
        &self,
        w: &Worker,
        slots: u32,
        warm: configuration::Warm,
        done: u64,
        dealt: u64,
    ) -> (u32, u32) {
        let cap = u64::from(warm.first) + done / u64::from(warm.after.max(1));
        let all = self
            .edges
            .iter()
            .map(|(e, _)| e.clone())
            .collect::<Vec<_>>();
        let near: Vec<String> = self
            .edges
            .iter()
            .filter(|(_, r)| *r == w.region)
            .map(|(e, _)| e.clone())
            .collect();
        if cap >= u64::from(slots) || broken(Invariant::Warm) {
            // what others send is seen half a second late, so no edge may
            // take all; but a share too small would leave free slots unused
            let here = near.contains(&self.me);
            let n = if here { near.len() } else { 2 * all.len() };
            return ((slots * 3).div_ceil(n as u32).max(1), slots * 2);
        }
        let set = if near.is_empty() { all } else { near };
        if !set.contains(&self.me) {
            return (0, 0);
        }
        // what a cold worker can bear holds for all edges together, so a
        // few have it to themselves; they change over so that none goes without
        let turn = self.shown.loads.version / TURN;
        let rank = placement::dealt_rank(&set, &self.me, dealt + turn);
        (placement::part_of(cap as u32, set.len(), rank), cap as u32)
    }

    pub fn sent(&mut self, i: usize) {
        self.mine[i] += 1;
        self.since[i] += 1;
        if let Some(s) = self.candidates[i].as_mut() {
            s.mine += 1;
            s.busy += 1;
        }
    }

    pub fn done(&mut self, i: usize) {
        self.mine[i] = self.mine[i].saturating_sub(1);
        if let Some(s) = self.candidates[i].as_mut() {
            s.mine = s.mine.saturating_sub(1);
            s.busy = s.busy.saturating_sub(1);
        }
        self.since[i] = self.since[i].saturating_sub(1);
    }

    /// Whether a worker may still be sent something new.
    pub fn open(&self, i: usize) -> bool {
        self.candidates
            .get(i)
            .and_then(|s| s.as_ref())
            .is_some_and(|s| s.open)
    }

    pub fn name(&self, i: usize) -> String {
        self.candidates
            .get(i)
            .and_then(|s| s.as_ref())
            .map_or_else(String::new, |s| s.name.clone())
    }

    /// Edges that serve, best first for a caller with this key and region.
    pub fn edges_for(&self, region: Option<u8>, only: bool, key: &str) -> Vec<String> {
        let mut all: Vec<&EdgeEndpoint> = self
            .shown
            .edge_sessions
            .1
            .iter()
            .filter(|s| s.ready && !self.evacuated(s.zone))
            .filter(|s| !only || region == Some(s.region))
            .collect();
        all.sort_by_key(|s| {
            let away = region.is_some_and(|r| r != s.region);
            (away, std::cmp::Reverse(placement::mix(key, &s.node)))
        });
        all.iter().map(|s| s.http.clone()).collect()
    }
}
