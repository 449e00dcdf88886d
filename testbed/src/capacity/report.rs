//! One run from bootstrap to fault, and its report: a flat row of numbers that
//! prints as JSON or as a table.

use super::fault_injection::Recovery;
use super::meter::Meter;
use super::{Fault, Pending, Role, Row, SimEvent, Size, World};
use sorreldoor::replicated_state::encode;
use sorreldoor::types::Millis;
use std::ops::Range;
use std::time::Instant;

/// Returns the bytes that this process has allocated now.
pub type Heap = fn() -> usize;

pub struct Report {
    /// Bytes and frames are per second and process; host time is in ms per
    /// second and process; sizes are in bytes; other keys name their unit.
    pub row: Row,
}

/// Bootstraps a site of that size, waits until it is stable, measures, injects
/// the fault, and measures memory by dropping the site.
pub fn run(size: &Size, heap: Heap) -> Report {
    let mut world = World::new(size.clone());
    let mut row = dimensions(size);
    let founded = world.run_until(30_000, |world| world.leader().is_some());
    let (request_id, since) = (u64::MAX, world.now);
    let first = Pending {
        request_id,
        since,
        version: None,
    };
    world.after(0, SimEvent::RetryChange(first));
    let end = world.now + 30_000;
    let ready = founded && world.run_until(end, |world| world.all_ready());
    put(&mut row, "ready", f64::from(u8::from(ready)));
    let end = world.now + 3000;
    world.run_until(end, |_| false);
    world.begin_window();
    let (host, start) = (Instant::now(), world.now);
    let end = start + size.seconds * 1000;
    world.run_until(end, |_| false);
    put(
        &mut row,
        "host.s_per_s",
        host.elapsed().as_secs_f64() / size.seconds as f64,
    );
    world.account(&mut row);
    world.sizes(&mut row);
    // a change proposed at the window's end still gets its time
    let claims_per_s = std::mem::take(&mut world.size.claims_per_s);
    world.size.changes_per_s = 0.0;
    let end = world.now + 15_000;
    world.run_until(end, |world| world.pending.is_empty());
    world.changes_per_s(&mut row);
    if size.fault != Fault::None {
        world.size.claims_per_s = claims_per_s;
        let recovery = world.inject_fault();
        put_recovery(&mut row, &recovery);
    }
    // after a fault the heap depends on the fault, not on the size
    if size.fault == Fault::None {
        world.memory(&mut row, heap);
    }
    Report { row }
}

fn put(row: &mut Row, k: impl Into<String>, v: f64) {
    row.insert(k.into(), v);
}

pub fn dimensions(s: &Size) -> Row {
    let all = [
        ("nodes", s.nodes as f64),
        ("cores", s.cores as f64),
        ("regions", s.regions as f64),
        ("zones", s.zones as f64),
        ("workers", s.workers as f64),
        ("routes", s.routes as f64),
        ("told", s.reported_percent as f64),
        ("changes", s.changes_per_s),
        ("claims", s.claims_per_s),
        ("seconds", s.seconds as f64),
        ("seed", s.seed as f64),
    ];
    all.into_iter().map(|(k, v)| (k.to_string(), v)).collect()
}

fn put_recovery(row: &mut Row, recovery: &Recovery) {
    put(row, "fault.dark_nodes", recovery.nodes_without_lease as f64);
    put(
        row,
        "fault.longest_dark_ms",
        recovery.max_without_lease_ms as f64,
    );
    put(
        row,
        "fault.back_ms",
        recovery.ready_after_ms.map_or(-1.0, |ms| ms as f64),
    );
    put(
        row,
        "fault.peak_bytes_per_s",
        recovery.peak_bytes_per_s as f64,
    );
    put(
        row,
        "fault.bytes_per_s_before",
        recovery.bytes_per_s_before as f64,
    );
}

/// The mean over some processes, per second of virtual time.
fn flows(row: &mut Row, role: &str, ms: &[&Meter], seconds: f64) {
    let per = seconds * ms.len().max(1) as f64;
    let mut add = |k: String, v: f64| *row.entry(k).or_default() += v / per;
    for m in ms {
        for ((dir, peer, kind), f) in &m.flows {
            let k = format!("{role}.{dir}.{peer}.{kind}");
            add(format!("{k}.bytes"), f.bytes as f64);
            if *peer != "part" {
                add(format!("{k}.frames"), f.frames as f64);
                add(format!("{role}.{dir}.frames"), f.frames as f64);
                add(format!("{role}.{dir}.bytes"), f.bytes as f64);
            }
        }
    }
}

fn host_time(row: &mut Row, role: &str, ms: &[&Meter], seconds: f64) {
    let per = seconds * ms.len().max(1) as f64;
    for m in ms {
        for (what, s) in &m.host_time {
            let t = s.total.as_secs_f64() * 1000.0;
            *row.entry(format!("{role}.cpu.{what}.ms")).or_default() += t / per;
            *row.entry(format!("{role}.cpu.ms")).or_default() += t / per;
            let longest = row.entry(format!("{role}.longest.ms")).or_default();
            *longest = longest.max(s.longest.as_secs_f64() * 1000.0);
        }
    }
}

impl World {
    fn begin_window(&mut self) {
        self.processes
            .iter_mut()
            .for_each(|q| q.meter = Meter::default());
        self.rejected_frames = 0;
        self.pending.clear();
        self.commit_ms.clear();
        self.propagation_ms.clear();
        self.after(0, SimEvent::Change);
        self.after(0, SimEvent::Claim);
    }

    fn meters(&self, of: Range<usize>) -> Vec<&Meter> {
        self.processes[of].iter().map(|q| &q.meter).collect()
    }

    fn account(&self, row: &mut Row) {
        let s = self.size.seconds as f64;
        let cores = self.meters(self.cores());
        flows(row, "core", &cores, s);
        host_time(row, "core", &cores, s);
        let highest = |f: &dyn Fn(&Meter) -> f64| cores.iter().map(|m| f(m)).fold(0.0, f64::max);
        let out = highest(&|m| m.bytes("out") as f64 / s);
        put(row, "worst.out.bytes", out);
        let busy = highest(&|m| m.busy().as_secs_f64() * 1000.0 / s);
        put(row, "worst.cpu.ms", busy);
        flows(row, "edge", &self.meters(self.nodes()), s);
        let full_edges = self.size.cores..self.size.cores + self.size.full;
        host_time(row, "edge", &self.meters(full_edges), s);
        if let Some(p) = self.singleton_holder() {
            let m = self.meters(p..p + 1);
            flows(row, "duty", &m, s);
            host_time(row, "duty", &m, s);
        }
        put(row, "refused", self.rejected_frames as f64);
    }

    /// Sizes of the encoded state, in bytes.
    fn sizes(&self, row: &mut Row) {
        let Some(h) = self.cores().find_map(|p| self.controller_at(p)) else {
            return;
        };
        if let Some(a) = h.consensus() {
            let v = a.state_machine().view();
            put(
                row,
                "size.doc",
                v.document.as_ref().map_or(0, |d| d.len()) as f64,
            );
            put(row, "size.record", encode(&v).len() as f64);
        }
        if let Some(r) = h.worker_list().current() {
            put(row, "size.registry", encode(r).len() as f64);
        }
        put(row, "size.loads", encode(h.loads()).len() as f64);
        let edge_sessions = h.edge_sessions();
        put(row, "size.seats", encode(&edge_sessions).len() as f64);
        put(row, "seats", edge_sessions.len() as f64);
    }

    fn changes_per_s(&self, row: &mut Row) {
        let highest = |v: &[Millis]| v.iter().max().copied().unwrap_or(0) as f64;
        let mean = |v: &[Millis]| v.iter().sum::<Millis>() as f64 / v.len().max(1) as f64;
        put(row, "change.taken", self.commit_ms.len() as f64);
        put(row, "change.acked_mean_ms", mean(&self.commit_ms));
        put(row, "change.acked_most_ms", highest(&self.commit_ms));
        put(row, "change.everywhere_mean_ms", mean(&self.propagation_ms));
        put(
            row,
            "change.everywhere_most_ms",
            highest(&self.propagation_ms),
        );
        put(row, "change.missing", self.pending.len() as f64);
    }

    /// The heap of each role: the bytes freed when it is dropped.
    fn memory(&mut self, row: &mut Row, heap: Heap) {
        self.queue.clear();
        let mut of = |role: &str, ps: Range<usize>| {
            let mut all = Vec::new();
            for p in ps {
                // the disk belongs to the simulation, not to the core
                let (role, _disk) = match std::mem::replace(&mut self.processes[p].role, Role::Down)
                {
                    Role::Core(c) => {
                        let super::cores::Core {
                            controller, disk, ..
                        } = *c;
                        (
                            Some(Box::new(controller) as Box<dyn std::any::Any>),
                            Some(disk),
                        )
                    }
                    Role::Node(n) => (Some(n as Box<dyn std::any::Any>), None),
                    Role::Down => (None, None),
                };
                let was = heap();
                if role.is_some() {
                    drop(role);
                    all.push(was.saturating_sub(heap()) as f64);
                }
            }
            let mean = all.iter().sum::<f64>() / all.len().max(1) as f64;
            put(row, format!("{role}.heap.bytes"), mean);
            let highest = all.into_iter().fold(0.0, f64::max);
            put(row, format!("{role}.heap_most.bytes"), highest);
        };
        of("core", 0..self.size.cores);
        of("edge", self.size.cores..self.size.cores + self.size.full);
    }
}

impl std::fmt::Display for Report {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.row
            .iter()
            .try_for_each(|(k, v)| writeln!(f, "{k:<44} {v:>16.3}"))
    }
}
