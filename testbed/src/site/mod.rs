//! A whole site in virtual time: the cores' and the edges' own reducers, with
//! a network, disks, clocks, workers, platform and callers that can all fail.

mod callers;
mod check;
mod clocks;
mod docs;
mod faults;
mod history;
pub mod linearizable;
mod net;
mod operators;
mod orders;
mod procs;
mod runs;
mod workers;

pub use callers::{Caller, Got};
pub use check::check;
pub use docs::any_doc;
pub use faults::Storm;
pub use net::Cut;
pub use orders::{Orders, Trouble, FIRST};
pub use procs::{Proc, Role};
pub use workers::Wk;

use crate::fleet::SitePreset;
use crate::rand::Rand;
use sorreldoor::configuration::Site;
use sorreldoor::discovery::WorkerRegistry;
use sorreldoor::pacing::Pacing;
use sorreldoor::types::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

type Act = Box<dyn FnOnce(&mut World)>;

/// One operator's change, as its asker saw it.
#[derive(Clone, Debug)]
pub struct Change {
    pub request_id: u64,
    pub proc: usize,
    pub start: Millis,
    pub end: Millis,
    pub base: u64,
    pub zone: Option<(u16, bool)>,
    pub cmd: sorreldoor::replicated_state::Command,
    pub outcome: Option<sorreldoor::wire::OpOutcome>,
}

/// An answered read of the record at a core.
#[derive(Clone, Copy, Debug)]
pub struct Read {
    pub at: Millis,
    /// It was proved current after it was asked for.
    pub ok: bool,
    pub version: u64,
}

/// A hand-over to a worker as it left an edge.
#[derive(Clone, Debug)]
pub struct Handed {
    pub at: Millis,
    pub edge: usize,
    pub worker: usize,
    pub version: u64,
    pub id: String,
    pub caller: u64,
    /// What the platform tagged the worker with, and the setup acted on.
    pub group: String,
    pub doc: Arc<String>,
}

/// An errand that came to an edge with its body.
#[derive(Clone, Debug)]
pub struct Body {
    pub at: Millis,
    pub edge: usize,
    pub caller: u64,
    pub doc: Arc<String>,
}

pub struct World {
    pub now: Millis,
    pub rng: Rand,
    pub preset: SitePreset,
    pub site: Arc<Site>,
    pub procs: Vec<Proc>,
    pub(crate) conns: BTreeMap<u64, net::Line>,
    /// Pairs of processes (from, to) between which nothing passes.
    pub cuts: BTreeSet<(usize, usize)>,
    pub workers: Vec<Wk>,
    /// Edges (by process) that cannot reach a worker.
    pub worker_cuts: BTreeSet<(usize, usize)>,
    pub registry: WorkerRegistry,
    /// When the platform first showed a worker as leaving.
    pub left_at: BTreeMap<usize, Millis>,
    pub callers: BTreeMap<u64, Caller>,
    pub changes: Vec<Change>,
    /// Orders that are sent again until they have a clear answer.
    pub orders: Orders,
    pub trouble: Trouble,
    /// Entries that a core keeps before it folds its log into a snapshot.
    pub keep_log: Option<u64>,
    /// Answered reads of the record, by their number.
    pub reads: BTreeMap<u64, Read>,
    pub handed: Vec<Handed>,
    /// Every connection an edge asked for to a worker: when, for whom.
    pub opened: Vec<(Millis, u64)>,
    pub bodies: Vec<Body>,
    /// What was seen at once to be wrong.
    pub wrong: Vec<String>,
    pub says: Vec<(Millis, String, sorreldoor::log_events::LogEvent, String)>,
    pub ack_ms: Millis,
    /// How long edges serve on one renewal; longer only to break a rule.
    pub lease_ms: Millis,
    pub most_claims: usize,
    /// Settings of every node of the site.
    pub pacing: Pacing,
    pub grow: bool,
    pub replace_ms: Millis,
    /// Cores that may be lost at once.
    pub tolerate: usize,
    /// The duty's holder alone reads the list of workers, this often.
    pub holder_polls: Option<Millis>,
    /// Readings of the list by the duty's holder.
    pub polls: u64,
    /// Bytes of frames sent from one process to another.
    pub bytes: BTreeMap<(usize, usize), u64>,
    /// How often a caller that was shed comes back, as it was told to; or
    /// after how many seconds whatever it was told.
    pub patience: u32,
    pub back_after: Option<u64>,
    /// Whether callers choose their errands' ids.
    pub given: bool,
    /// What claims cost: frames, their bytes, and bytes given to disks.
    pub claims_cost: (u64, u64, u64),
    queue: BTreeMap<(Millis, u64), Act>,
    count: u64,
    pub(crate) next: u64,
}

impl World {
    pub fn new(seed: u64, preset: SitePreset) -> World {
        let mut regions: Vec<String> = preset.regions.iter().map(|r| r.0.to_string()).collect();
        regions.sort();
        let mut zones: Vec<(String, u8)> = preset
            .regions
            .iter()
            .flat_map(|(r, zs, _)| {
                let i = regions.iter().position(|x| x == r).unwrap_or(0) as u8;
                zs.iter().map(move |z| (z.to_string(), i))
            })
            .collect();
        zones.sort();
        let site = Arc::new(Site { regions, zones });
        let mut w = World {
            now: 0,
            rng: Rand::new(seed),
            preset,
            site,
            procs: Vec::new(),
            conns: BTreeMap::new(),
            cuts: BTreeSet::new(),
            workers: Vec::new(),
            worker_cuts: BTreeSet::new(),
            registry: WorkerRegistry::default(),
            left_at: BTreeMap::new(),
            callers: BTreeMap::new(),
            changes: Vec::new(),
            orders: Orders::default(),
            trouble: Trouble::default(),
            keep_log: None,
            reads: BTreeMap::new(),
            handed: Vec::new(),
            opened: Vec::new(),
            bodies: Vec::new(),
            wrong: Vec::new(),
            says: Vec::new(),
            ack_ms: 2000,
            lease_ms: 2000,
            most_claims: 200_000,
            pacing: Pacing::default(),
            grow: false,
            replace_ms: 10_000,
            tolerate: 1,
            holder_polls: None,
            polls: 0,
            bytes: BTreeMap::new(),
            patience: 0,
            back_after: None,
            given: true,
            claims_cost: (0, 0, 0),
            queue: BTreeMap::new(),
            count: 0,
            next: 1,
        };
        w.lay_workers();
        w.lay_procs();
        w.at(100, |w| w.watch_lines());
        w
    }

    /// Do `f` when virtual time has come to `at`.
    pub fn at(&mut self, at: Millis, f: impl FnOnce(&mut World) + 'static) {
        self.count += 1;
        self.queue
            .insert((at.max(self.now), self.count), Box::new(f));
    }

    pub fn after(&mut self, ms: Millis, f: impl FnOnce(&mut World) + 'static) {
        let at = self.now + ms;
        self.at(at, f);
    }

    pub fn run_for(&mut self, ms: Millis) {
        let end = self.now + ms;
        self.run_until(end, |_| false);
    }

    pub fn run_until(&mut self, end: Millis, f: impl Fn(&World) -> bool) -> bool {
        while let Some((at, _)) = self.queue.keys().next().copied() {
            if f(self) {
                return true;
            }
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            if let Some((_, act)) = self.queue.pop_first() {
                act(self);
            }
        }
        self.now = self.now.max(end);
        f(self)
    }

    /// A core has answered a read.
    pub(crate) fn note_read(&mut self, core: usize, request_id: u64, ok: bool) {
        let read = Read {
            at: self.now,
            ok,
            version: self.version_at(core).unwrap_or(0),
        };
        self.reads.insert(request_id, read);
    }

    pub fn number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    /// One-way delay between two regions, with a little jitter.
    pub(crate) fn delay(&mut self, a: u8, b: u8) -> Millis {
        let base = if a == b {
            1
        } else {
            self.preset.far.as_millis() as Millis
        };
        base + self.rng.below(2)
    }

    pub fn proc(&self, name: &str) -> usize {
        self.procs
            .iter()
            .position(|p| p.name == name)
            .expect("a process of that name")
    }

    pub fn edges(&self) -> Vec<usize> {
        (0..self.procs.len())
            .filter(|i| !self.procs[*i].core)
            .collect()
    }

    pub fn cores(&self) -> Vec<usize> {
        (0..self.procs.len())
            .filter(|i| self.procs[*i].core)
            .collect()
    }

    /// Found the site, adopt a setup, and wait until every edge serves.
    pub fn ready(seed: u64, preset: SitePreset) -> World {
        let doc = crate::fleet::configuration(&preset);
        World::ready_with(seed, preset, &doc)
    }

    pub fn ready_with(seed: u64, preset: SitePreset, doc: &str) -> World {
        World::ready_by(seed, preset, doc, |_| {})
    }

    /// With something about the world changed before it begins.
    pub fn ready_by(seed: u64, preset: SitePreset, doc: &str, f: impl FnOnce(&mut World)) -> World {
        let mut w = World::new(seed, preset);
        f(&mut w);
        let end = w.now + 20_000;
        // two cores may found and lead before the third has heard of it
        let all = |w: &World| {
            let has = |c: &usize| w.controller(*c).is_some_and(|h| h.consensus().is_some());
            w.leader().is_some() && w.cores().iter().all(has)
        };
        let founded = w.run_until(end, all);
        assert!(founded, "seed {seed}: the site is founded");
        let base = 0;
        let cmd = sorreldoor::replicated_state::Command::Put {
            base,
            new_version: None,
            document: doc.to_string(),
        };
        let at = w.cores()[0];
        let c = w.change(at, cmd);
        let end = w.now + 10_000;
        w.run_until(end, |w| w.changes[c].outcome.is_some());
        let end = w.now + 10_000;
        let edges = w.edges();
        let all = w.run_until(end, |w| {
            edges
                .iter()
                .all(|e| w.edge_controller(*e).is_some_and(|h| h.ready().is_ok()))
                && w.edge_controller(edges[0])
                    .is_some_and(|h| h.cluster.snapshot.edge_sessions.1.len() == edges.len())
        });
        assert!(all, "seed {seed}: every edge serves");
        w.run_for(1500);
        w
    }
}
