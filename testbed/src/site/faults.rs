//! A seeded storm of a site's faults, for a while; then all heals.

use super::World;
use sorreldoor::replicated_state::Command;
use sorreldoor::types::Millis;

/// Which faults a storm may strike with.
#[derive(Clone, Copy, Debug)]
pub struct Storm {
    pub cores: bool,
    pub edges: bool,
    pub workers: bool,
    pub cuts: bool,
    pub clocks: bool,
    pub changes: bool,
    /// Milliseconds between faults, at most.
    pub every: Millis,
}

impl Storm {
    pub fn none() -> Storm {
        Storm {
            cores: false,
            edges: false,
            workers: false,
            cuts: false,
            clocks: false,
            changes: false,
            every: 1200,
        }
    }

    pub fn all() -> Storm {
        Storm {
            cores: true,
            edges: true,
            workers: true,
            cuts: true,
            clocks: true,
            changes: true,
            every: 1200,
        }
    }
}

impl World {
    pub fn storm(&mut self, s: Storm, end: Millis) {
        if self.now >= end {
            return;
        }
        self.fault(s);
        if s.changes {
            self.any_change();
        }
        let gap = 100 + self.rng.below(s.every);
        self.after(gap, move |w| w.storm(s, end));
    }

    fn any_core(&mut self) -> usize {
        let all = self.cores();
        all[self.rng.below(all.len() as u64) as usize]
    }

    fn any_edge(&mut self) -> usize {
        let all = self.edges();
        all[self.rng.below(all.len() as u64) as usize]
    }

    fn fault(&mut self, s: Storm) {
        let p = self.rng.below(self.procs.len() as u64) as usize;
        let q = self.rng.below(self.procs.len() as u64) as usize;
        let allowed = if self.procs[p].core { s.cores } else { s.edges };
        let ms = 200 + self.rng.below(5000);
        match self.rng.below(12) {
            0 | 1 if allowed && self.procs[p].up => {
                self.crash(p);
                self.after(ms, move |w| w.start_again(p));
            }
            2 if allowed => {
                let still = self.rng.chance(30);
                self.freeze(p, ms, still && s.clocks);
            }
            3 if s.clocks && allowed => {
                // wall clocks go both ways, monotonic ones only on
                let jump = self.rng.below(8000) as i64;
                self.procs[p].wall += jump - 4000;
            }
            4 if s.cuts && p != q => {
                self.cut_both(p, q);
                self.after(ms, move |w| {
                    w.cuts.remove(&(p, q));
                    w.cuts.remove(&(q, p));
                });
            }
            5 if s.cuts && p != q => {
                self.cuts.insert((p, q));
                self.after(ms, move |w| {
                    w.cuts.remove(&(p, q));
                });
            }
            6 if s.cuts => {
                self.isolate(p);
                self.after(ms, move |w| w.cuts.retain(|(a, b)| *a != p && *b != p));
            }
            7 if s.cores => {
                let c = self.any_core();
                self.procs[c].disk.sync_ms = 1 + self.rng.below(120);
            }
            8 if s.cores => {
                let c = self.any_core();
                self.procs[c].disk.stuck = true;
                self.after(ms, move |w| w.procs[c].disk.stuck = false);
            }
            9 | 10 if s.workers => {
                let k = self.rng.below(self.workers.len() as u64) as usize;
                if self.rng.chance(50) {
                    self.worker_dies(k);
                    self.after(ms, move |w| w.worker_starts(k));
                } else {
                    self.workers[k].frozen_until = self.now + ms;
                }
            }
            11 if s.workers => {
                let k = self.rng.below(self.workers.len() as u64) as usize;
                let e = self.any_edge();
                self.worker_cuts.insert((e, k));
                self.after(ms, move |w| {
                    w.worker_cuts.remove(&(e, k));
                });
            }
            _ => {}
        }
    }

    fn start_again(&mut self, p: usize) {
        if !self.procs[p].up {
            self.start(p);
        }
    }

    /// An operator empties a zone or takes it back, on what it last saw.
    pub fn any_change(&mut self) {
        let p = self.rng.below(self.procs.len() as u64) as usize;
        let version = self.version_at(p);
        let zone = self.rng.below(self.site.zones.len() as u64) as u16;
        let evacuated = self.rng.chance(40);
        if let Some(base) = version {
            self.change(
                p,
                Command::EvacuateZone {
                    base,
                    zone,
                    evacuated,
                },
            );
        }
    }

    /// All that a zone has dies at once.
    pub fn zone_dies(&mut self, zone: u16) {
        for p in 0..self.procs.len() {
            if self.procs[p].zone == zone && self.procs[p].up {
                self.crash(p);
            }
        }
        for k in 0..self.workers.len() {
            if self.workers[k].zone == zone {
                self.worker_dies(k);
            }
        }
    }

    pub fn zone_starts(&mut self, zone: u16) {
        for p in 0..self.procs.len() {
            if self.procs[p].zone == zone {
                self.start_again(p);
            }
        }
        for k in 0..self.workers.len() {
            if self.workers[k].zone == zone {
                self.worker_starts(k);
            }
        }
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
        self.worker_cuts.clear();
        for p in 0..self.procs.len() {
            self.procs[p].disk.stuck = false;
            self.procs[p].disk.sync_ms = 1;
            self.start_again(p);
        }
        for k in 0..self.workers.len() {
            if !self.workers[k].up {
                self.worker_starts(k);
            }
        }
    }
}
