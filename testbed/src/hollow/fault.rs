//! What befalls a hollow site, and how long it takes to come back.

use super::{Act, Fault, Proc, Role, World};
use sorreldoor::types::Millis;

/// How long regions stay parted, in milliseconds.
const PARTED: Millis = 20_000;
const MOST: Millis = 60_000;

/// How a fault went, in virtual milliseconds from when it began or ended.
#[derive(Clone, Debug, Default)]
pub struct Back {
    /// Nodes that had to do without a permit.
    pub dark: usize,
    /// The longest that any node that was up had none.
    pub longest: Millis,
    /// Until every node was ready again; none if it never was.
    pub back: Option<Millis>,
    /// Most bytes in one second over all cores, and in one before the fault.
    pub peak: u64,
    pub before: u64,
}

impl World {
    pub(super) fn claim(&mut self) {
        if self.size.claims <= 0.0 {
            return;
        }
        self.after(10, Act::Claim);
        let due = |t: Millis| (self.size.claims * t as f64 / 1000.0) as u64;
        for _ in due(self.now)..due(self.now + 10) {
            let p = self.size.cores + self.rng.below(self.size.nodes as u64) as usize;
            let o = match &mut self.procs[p].role {
                Role::Node(n) => n.claim(),
                _ => None,
            };
            self.outs(p, o.into_iter().collect());
        }
    }

    /// Its machine stops: nobody is told.
    fn stop(&mut self, p: usize) {
        self.procs[p].role = Role::Down;
    }

    fn begin(&mut self) {
        let n = self.size.nodes;
        match self.size.fault {
            Fault::None => {}
            Fault::Core => {
                if let Some(p) = self.leader() {
                    self.stop(p);
                }
            }
            Fault::Restart => {
                for i in (0..n).step_by(10) {
                    let p = self.size.cores + i;
                    self.close_all(p);
                    self.stop(p);
                    self.after(1000, Act::Start(p));
                }
            }
            Fault::Zone => {
                let zone = self.leader().map(|p| self.procs[p].zone);
                for p in 0..self.procs.len() {
                    if Some(self.procs[p].zone) == zone {
                        self.stop(p);
                    }
                }
            }
            Fault::Part => self.parted = true,
        }
    }

    /// Whether every node that is up serves with all it should have.
    pub(super) fn all_ready(&self) -> bool {
        let now = self.now;
        let fine = |q: &Proc| match &q.role {
            Role::Node(n) => n.ready(now),
            _ => true,
        };
        let coming = self.size.fault == Fault::Restart;
        let up = |q: &Proc| !coming || !matches!(q.role, Role::Down);
        self.procs.iter().all(|q| fine(q) && up(q))
    }

    pub(super) fn befall(&mut self) -> Back {
        let mut b = Back::default();
        let second = self.now / 1000;
        b.before = self.peak(second.saturating_sub(3), second);
        self.procs.iter_mut().for_each(|q| q.dark = 0);
        self.begin();
        let mut from = self.now;
        if self.size.fault == Fault::Part {
            let end = self.now + PARTED;
            self.until(end, |_| false);
            self.parted = false;
            from = self.now;
        } else {
            // what is lost shows only once permits have run out
            let end = self.now + 2500;
            self.until(end, |_| false);
        }
        if self.until(from + MOST, |w| w.all_ready()) {
            b.back = Some(self.now - from);
        }
        b.dark = self.procs.iter().filter(|q| q.dark > 100).count();
        b.longest = self.procs.iter().map(|q| q.dark).max().unwrap_or(0);
        b.peak = self.peak(second + 1, Millis::MAX);
        b
    }

    fn peak(&self, from: Millis, to: Millis) -> u64 {
        let all = self.by_second.range(from..to.max(from));
        all.map(|(_, n)| *n).max().unwrap_or(0)
    }
}
