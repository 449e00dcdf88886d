//! A cluster of edges and cores that exchange reports in virtual time.

use super::{
    DELAY_MS, EXCESS_FACTOR, SLACK_REQUESTS, STEP_MS, TENANT, TOTALS_INTERVAL_MS, WINDOW_MS,
};
use sorreldoor::quota::{
    Admission, AdmissionUpdate, Quota, TenantUsage, UsageReport, UsageTracker,
};
use std::collections::BTreeMap;

struct Random(u64);

impl Random {
    fn below(&mut self, n: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0 % n.max(1)
    }
}

enum Message {
    Report {
        edge: usize,
        core: usize,
        report: UsageReport,
    },
    Update {
        edge: usize,
        update: AdmissionUpdate,
    },
    Totals {
        from: usize,
        to: usize,
        rows: Vec<TenantUsage>,
    },
}

/// Edges and cores; each edge reports to the core `edge % cores`.
pub struct Cluster {
    pub now: u64,
    random: Random,
    pub edges: Vec<Admission>,
    cores: Vec<UsageTracker>,
    pub quota: Quota,
    /// Messages in flight, by time of arrival and sequence number.
    in_flight: BTreeMap<(u64, u64), Message>,
    sent: u64,
    /// Edges without a connection to a core.
    pub disconnected_edges: Vec<usize>,
    /// Splits the cores into those below this index and the others.
    pub cores_partitioned_at: Option<usize>,
    /// Times of the admitted requests.
    pub admitted: Vec<u64>,
    pub requested: u64,
    pub rejected: u64,
}

impl Cluster {
    pub fn new(seed: u64, (edges, cores): (usize, usize), quota: Quota) -> Cluster {
        let mut cluster = Cluster {
            now: 0,
            random: Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            edges: vec![Admission::default(); edges],
            cores: vec![UsageTracker::new(); cores],
            quota,
            in_flight: BTreeMap::new(),
            sent: 0,
            disconnected_edges: Vec::new(),
            cores_partitioned_at: None,
            admitted: Vec::new(),
            requested: 0,
            rejected: 0,
        };
        cluster.set_quota(quota);
        cluster
    }

    pub fn set_quota(&mut self, quota: Quota) {
        self.quota = quota;
        for core in &mut self.cores {
            core.set_quotas([(TENANT, quota)].into_iter());
        }
    }

    fn core_of(&self, edge: usize) -> usize {
        edge % self.cores.len()
    }

    fn cores_connected(&self, a: usize, b: usize) -> bool {
        self.cores_partitioned_at
            .is_none_or(|at| (a < at) == (b < at))
    }

    fn send(&mut self, message: Message) {
        self.sent += 1;
        self.in_flight
            .insert((self.now + DELAY_MS, self.sent), message);
    }

    /// Runs for `duration_ms` at `rate_per_s` over all edges together.
    pub fn run(&mut self, duration_ms: u64, rate_per_s: f64) {
        let end = self.now + duration_ms;
        let mut due = 0.0;
        while self.now < end {
            self.now += STEP_MS;
            self.deliver();
            due += rate_per_s * STEP_MS as f64 / 1000.0;
            while due >= 1.0 {
                due -= 1.0;
                self.request();
            }
            self.report();
        }
    }

    fn request(&mut self) {
        let edge = self.random.below(self.edges.len() as u64) as usize;
        let nodes = self.edges.len() as u32;
        self.requested += 1;
        if self.edges[edge].admit(TENANT, self.quota, nodes, self.now) {
            self.admitted.push(self.now);
        } else {
            self.rejected += 1;
        }
    }

    fn report(&mut self) {
        for edge in 0..self.edges.len() {
            let report = self.edges[edge].take_report(self.now);
            let core = self.core_of(edge);
            let connected = !self.disconnected_edges.contains(&edge);
            if let Some(report) = report.filter(|_| connected) {
                self.send(Message::Report { edge, core, report });
            }
        }
        if !self.now.is_multiple_of(TOTALS_INTERVAL_MS) {
            return;
        }
        for from in 0..self.cores.len() {
            let now = self.now;
            let is_connected =
                |core| core == from || self.cores[from].is_connected_to(core as u64, now);
            let connected_edges: Vec<String> = (0..self.edges.len())
                .filter(|edge| !self.disconnected_edges.contains(edge))
                .filter(|edge| is_connected(self.core_of(*edge)))
                .map(|edge| format!("edge-{edge}"))
                .collect();
            self.cores[from].set_connected_edges(connected_edges.iter().map(String::as_str), now);
            if let Some(rows) = self.cores[from].announcement(now) {
                for edge in (from..self.edges.len()).step_by(self.cores.len()) {
                    let update = AdmissionUpdate {
                        acknowledged_report: None,
                        shares: Some(rows.clone()),
                    };
                    self.send(Message::Update { edge, update });
                }
            }
            let rows = self.cores[from].take_changed_totals();
            for to in (0..self.cores.len()).filter(|to| *to != from) {
                if self.cores_connected(from, to) {
                    let rows = rows.clone();
                    self.send(Message::Totals { from, to, rows });
                }
            }
        }
    }

    fn deliver(&mut self) {
        let later = self.in_flight.split_off(&(self.now + 1, 0));
        for message in std::mem::replace(&mut self.in_flight, later).into_values() {
            let now = self.now;
            match message {
                Message::Report { edge, core, report } => {
                    self.cores[core].record(&report.usage, now);
                    let update = AdmissionUpdate {
                        acknowledged_report: Some(report.number),
                        shares: self.cores[core].current_shares(now),
                    };
                    self.send(Message::Update { edge, update });
                }
                Message::Update { edge, update } => {
                    if !self.disconnected_edges.contains(&edge) {
                        self.edges[edge].apply(&update);
                    }
                }
                Message::Totals { from, to, rows } => {
                    self.cores[to].record_peer_totals(from as u64, &rows, now);
                }
            }
        }
    }

    pub fn restart_core(&mut self, core: usize) {
        self.cores[core] = UsageTracker::new();
        self.cores[core].set_quotas([(TENANT, self.quota)].into_iter());
    }

    /// The maximum number of admitted requests in any window, as a part of the bound.
    pub fn worst_window(&self, quota: Quota) -> f64 {
        let bound = (quota.rate_per_s * WINDOW_MS as f64 / 1000.0 + quota.burst) * EXCESS_FACTOR
            + SLACK_REQUESTS;
        let mut first = 0;
        let mut worst = 0;
        for (last, at) in self.admitted.iter().enumerate() {
            while self.admitted[first] + WINDOW_MS <= *at {
                first += 1;
            }
            worst = worst.max(last + 1 - first);
        }
        worst as f64 / bound
    }
}
