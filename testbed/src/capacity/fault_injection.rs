//! Fault injection, and how long the site takes to recover.

use super::{Fault, Process, Role, SimEvent, World};
use sorreldoor::types::Millis;

/// How long regions stay partitioned.
const PARTITION_MS: Millis = 20_000;
/// The longest time to wait for a recovery.
const MAX_RECOVERY_MS: Millis = 60_000;

/// How a fault went, in virtual milliseconds from when it began or ended.
#[derive(Clone, Debug, Default)]
pub struct Recovery {
    /// Nodes that lost their lease for some time.
    pub nodes_without_lease: usize,
    /// The longest time that any running node had none.
    pub max_without_lease_ms: Millis,
    /// Time until every node was ready again; `None` if that never happened.
    pub ready_after_ms: Option<Millis>,
    /// Most bytes in one second over all cores, and in one before the fault.
    pub peak_bytes_per_s: u64,
    pub bytes_per_s_before: u64,
}

impl World {
    pub(super) fn claim(&mut self) {
        if self.size.claims_per_s <= 0.0 {
            return;
        }
        self.after(10, SimEvent::Claim);
        let due = |t: Millis| (self.size.claims_per_s * t as f64 / 1000.0) as u64;
        for _ in due(self.now)..due(self.now + 10) {
            let p = self.size.cores + self.rng.below(self.size.nodes as u64) as usize;
            let o = match &mut self.processes[p].role {
                Role::Node(n) => n.claim(),
                _ => None,
            };
            self.node_effects(p, o.into_iter().collect());
        }
    }

    /// A machine fails without closing its connections.
    fn stop(&mut self, p: usize) {
        self.processes[p].role = Role::Down;
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
                    self.after(1000, SimEvent::Start(p));
                }
            }
            Fault::Zone => {
                let zone = self.leader().map(|p| self.processes[p].zone);
                for p in 0..self.processes.len() {
                    if Some(self.processes[p].zone) == zone {
                        self.stop(p);
                    }
                }
            }
            Fault::Part => self.partitioned = true,
        }
    }

    /// Whether every running node is ready, and after a restart all are running.
    pub(super) fn all_ready(&self) -> bool {
        let now = self.now;
        let fine = |q: &Process| match &q.role {
            Role::Node(n) => n.ready(now),
            _ => true,
        };
        let coming = self.size.fault == Fault::Restart;
        let up = |q: &Process| !coming || !matches!(q.role, Role::Down);
        self.processes.iter().all(|q| fine(q) && up(q))
    }

    pub(super) fn inject_fault(&mut self) -> Recovery {
        let mut recovery = Recovery::default();
        let second = self.now / 1000;
        recovery.bytes_per_s_before = self.peak_bytes_per_s(second.saturating_sub(3), second);
        self.processes
            .iter_mut()
            .for_each(|q| q.without_lease_ms = 0);
        self.begin();
        let mut from = self.now;
        if self.size.fault == Fault::Part {
            let end = self.now + PARTITION_MS;
            self.run_until(end, |_| false);
            self.partitioned = false;
            from = self.now;
        } else {
            // a loss shows only once leases have run out
            let end = self.now + 2500;
            self.run_until(end, |_| false);
        }
        if self.run_until(from + MAX_RECOVERY_MS, |world| world.all_ready()) {
            recovery.ready_after_ms = Some(self.now - from);
        }
        recovery.nodes_without_lease = self
            .processes
            .iter()
            .filter(|q| q.without_lease_ms > 100)
            .count();
        recovery.max_without_lease_ms = self
            .processes
            .iter()
            .map(|q| q.without_lease_ms)
            .max()
            .unwrap_or(0);
        recovery.peak_bytes_per_s = self.peak_bytes_per_s(second + 1, Millis::MAX);
        recovery
    }

    fn peak_bytes_per_s(&self, from: Millis, to: Millis) -> u64 {
        let all = self.by_second.range(from..to.max(from));
        all.map(|(_, n)| *n).max().unwrap_or(0)
    }
}
