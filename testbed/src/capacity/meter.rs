//! Metering: frames and bytes by kind, and host time by activity, for each
//! process.

use sorreldoor::consensus::Msg;
use sorreldoor::wire::{Payload, StateDelta};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Frames and their bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Flow {
    pub frames: u64,
    pub bytes: u64,
}

/// Number, total time and longest time of an activity's runs.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostTime {
    pub count: u64,
    pub total: Duration,
    pub longest: Duration,
}

/// The counters of one process since the window began.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// By direction, role of the peer, and kind.
    pub flows: BTreeMap<(&'static str, &'static str, &'static str), Flow>,
    pub host_time: BTreeMap<&'static str, HostTime>,
}

impl Meter {
    pub fn flow(
        &mut self,
        dir: &'static str,
        peer: &'static str,
        kind: &'static str,
        bytes: usize,
    ) {
        let f = self.flows.entry((dir, peer, kind)).or_default();
        f.frames += 1;
        f.bytes += bytes as u64;
    }

    /// Bytes that are part of a frame already counted.
    pub fn part(&mut self, dir: &'static str, kind: &'static str, bytes: usize) {
        self.flows.entry((dir, "part", kind)).or_default().bytes += bytes as u64;
    }

    pub fn time<T>(&mut self, what: &'static str, f: impl FnOnce() -> T) -> T {
        let began = Instant::now();
        let t = f();
        let d = began.elapsed();
        let s = self.host_time.entry(what).or_default();
        s.count += 1;
        s.total += d;
        s.longest = s.longest.max(d);
        t
    }

    pub fn bytes(&self, dir: &str) -> u64 {
        let flows_by_kind = self.flows.iter();
        flows_by_kind
            .filter(|((d, p, _), _)| *d == dir && *p != "part")
            .map(|(_, f)| f.bytes)
            .sum()
    }

    pub fn busy(&self) -> Duration {
        self.host_time.values().map(|s| s.total).sum()
    }
}

/// The kind under which a payload is counted.
pub fn kind(p: &Payload) -> &'static str {
    match p {
        Payload::Renew { .. } => "renew",
        Payload::Grant { .. } => "grant",
        Payload::Consensus(Msg::Append { .. } | Msg::AppendReply { .. }) => "append",
        Payload::Consensus(_) => "agree",
        Payload::SessionReport(_) => "sessions",
        Payload::WorkerRegistry(_) => "registry",
        Payload::Loads(_) => "loads",
        Payload::Ping { .. } => "ping",
        Payload::Hello(_) | Payload::Bootstrap(_) => "hello",
        Payload::Propose { .. } | Payload::OutcomeQuery { .. } | Payload::ProposalResult { .. } => {
            "op"
        }
        // new kinds of payload are counted here until they have a kind of their own
        _ => "claims",
    }
}

/// Sizes of the parts of a grant, each encoded once per version.
#[derive(Default)]
pub struct Parts(BTreeMap<(&'static str, usize, (u64, u64)), usize>);

impl Parts {
    pub fn of(&mut self, core: usize, delta: &StateDelta) -> Vec<(&'static str, usize)> {
        let mut out = Vec::new();
        if let Some(v) = &delta.record {
            out.push(("record", v.bytes.len()));
        }
        if let Some(r) = &delta.registry {
            out.push(("registry", self.size("registry", 0, (r.version, 0), r)));
        }
        if let Some(l) = &delta.loads {
            out.push(("loads", self.size("loads", 0, l.epoch_and_version(), l)));
        }
        if let Some(s) = &delta.edge_sessions {
            out.push(("seats", self.size("seats", core, (s.0, 0), &s.1)));
        }
        out
    }

    fn size<T: serde::Serialize>(
        &mut self,
        what: &'static str,
        core: usize,
        mark: (u64, u64),
        t: &T,
    ) -> usize {
        // only the newest version of each part is looked up again
        if self.0.len() > 256 {
            self.0.clear();
        }
        *self
            .0
            .entry((what, core, mark))
            .or_insert_with(|| sorreldoor::replicated_state::encode(t).len())
    }
}
