//! Statistics of a run: how requests ended, latencies, and the work of the workers.

use super::clients::RequestEnd;
use super::*;
use sorreldoor::error::ErrorCode;
use std::collections::BTreeMap;

#[derive(Clone, Debug, Default)]
pub struct RunStatistics {
    pub requested: u64,
    pub served: u64,
    /// Served, but later than the latency target or with a gap above the limit.
    pub late: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Time to the first event or to the end of a plain response, sorted.
    pub first_event_ms: Vec<f64>,
    /// The longest gap within any stream.
    pub max_gap_ms: f64,
    /// The longest gap of each stream, sorted.
    pub gaps_ms: Vec<f64>,
    /// By kind of request: requested, served, and in time.
    pub by_kind: Vec<(String, [u64; 3])>,
    /// Prompt tokens prefilled, and those of shared segments that the same service had
    /// prefilled before.
    pub prefill_tokens: u64,
    pub recomputed_tokens: u64,
    /// Attempts at workers in the zone of the node, in another zone of its region, and in
    /// another region.
    pub same_zone_attempts: u64,
    pub same_region_attempts: u64,
    pub cross_region_attempts: u64,
    /// Worker attempts beyond the first of a client attempt, and rejections.
    pub retries: u64,
    pub rejections: u64,
    /// Rejections while under half of the slots were in use, and later than a
    /// quarter of the latency target.
    pub idle_rejections: u64,
    pub late_rejections: u64,
    /// Rejections by kind of request and error: all, and those counted as idle.
    pub rejections_by_error: BTreeMap<String, (u64, u64)>,
    pub connections: u64,
    pub preemptions: u64,
    /// By second of arrival: requests served in time, and all requests.
    pub by_second: Vec<(u32, u32)>,
    pub value: ValueByKind,
    /// Virtual time of the last event.
    pub duration_ms: u64,
}

impl std::fmt::Display for RunStatistics {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "requests {} served {} late {} rejected {} failed {} retries {} rejections {} first event ms p50/p95/p99 {:.0}/{:.0}/{:.0}",
            self.requested,
            self.served,
            self.late,
            self.rejected,
            self.failed,
            self.retries,
            self.rejections,
            self.first_event_quantile(0.5),
            self.first_event_quantile(0.95),
            self.first_event_quantile(0.99)
        )
    }
}

impl RunStatistics {
    pub(super) fn set_duration(&mut self, now: Micros) {
        self.duration_ms = now / 1000;
    }

    pub(super) fn count_arrival(&mut self, zone: bool, region: bool) {
        match (zone, region) {
            (true, _) => self.same_zone_attempts += 1,
            (_, true) => self.same_region_attempts += 1,
            _ => self.cross_region_attempts += 1,
        }
    }

    /// The `q` quantile of the time to the first event, in milliseconds.
    pub fn first_event_quantile(&self, q: f64) -> f64 {
        quantile(&self.first_event_ms, q)
    }

    /// The `q` quantile of the longest gaps of streams, in milliseconds.
    pub fn gap_quantile(&self, q: f64) -> f64 {
        quantile(&self.gaps_ms, q)
    }

    /// Percentages by kind of request: served, and in time.
    pub fn percentages_by_kind(&self) -> Vec<(&str, f64, f64)> {
        let of = |a: u64, b: u64| 100.0 * a as f64 / b.max(1) as f64;
        let each = self.by_kind.iter();
        each.map(|(n, k)| (n.as_str(), of(k[1], k[0]), of(k[2], k[0])))
            .collect()
    }

    /// Adds the statistics of another run; call `sort` once after the last.
    pub fn add(&mut self, o: RunStatistics) {
        let sums: [(&mut u64, u64); 17] = [
            (&mut self.requested, o.requested),
            (&mut self.served, o.served),
            (&mut self.late, o.late),
            (&mut self.rejected, o.rejected),
            (&mut self.failed, o.failed),
            (&mut self.prefill_tokens, o.prefill_tokens),
            (&mut self.recomputed_tokens, o.recomputed_tokens),
            (&mut self.same_zone_attempts, o.same_zone_attempts),
            (&mut self.same_region_attempts, o.same_region_attempts),
            (&mut self.cross_region_attempts, o.cross_region_attempts),
            (&mut self.retries, o.retries),
            (&mut self.rejections, o.rejections),
            (&mut self.idle_rejections, o.idle_rejections),
            (&mut self.late_rejections, o.late_rejections),
            (&mut self.connections, o.connections),
            (&mut self.preemptions, o.preemptions),
            (&mut self.duration_ms, o.duration_ms),
        ];
        sums.into_iter().for_each(|(a, b)| *a += b);
        for (k, n) in o.rejections_by_error {
            let w = self.rejections_by_error.entry(k).or_default();
            *w = (w.0 + n.0, w.1 + n.1);
        }
        self.value.add(&o.value);
        self.first_event_ms.extend(o.first_event_ms);
        self.gaps_ms.extend(o.gaps_ms);
        self.max_gap_ms = self.max_gap_ms.max(o.max_gap_ms);
        self.by_second.extend(o.by_second);
        if self.by_kind.is_empty() {
            self.by_kind = o.by_kind;
            return;
        }
        for (a, b) in self.by_kind.iter_mut().zip(o.by_kind) {
            (0..3).for_each(|i| a.1[i] += b.1[i]);
        }
    }

    pub fn sort(&mut self) {
        self.first_event_ms.sort_by(f64::total_cmp);
        self.gaps_ms.sort_by(f64::total_cmp);
    }

    /// The lowest share of requests served in time within `n` consecutive seconds.
    pub fn worst_in_time_share(&self, n: usize) -> f64 {
        let of = |w: &[(u32, u32)]| {
            let (a, b) = w.iter().fold((0, 0), |x, y| (x.0 + y.0, x.1 + y.1));
            f64::from(a) / f64::from(b.max(1))
        };
        self.by_second.windows(n).map(of).fold(1.0, f64::min)
    }
}

fn quantile(v: &[f64], q: f64) -> f64 {
    let i = ((v.len() as f64 * q) as usize).min(v.len().saturating_sub(1));
    v.get(i).copied().unwrap_or(0.0)
}

impl World {
    /// Counts a rejection of a client attempt by a node.
    pub(super) fn record_rejection(&mut self, t: usize, p: ErrorCode) {
        let class = self.client_requests[self.client_attempts[t].request_index].class;
        let c = &self.mix.classes[class];
        let key = format!("{} {}", c.name, p.code());
        let rejections_by_error = self.statistics.rejections_by_error.entry(key).or_default();
        rejections_by_error.0 += 1;
        if p.status() != 503 {
            return;
        }
        self.statistics.rejections += 1;
        if self.now - self.client_attempts[t].sent > micros(c.aim_ms as f64 / 4.0) + 1000 {
            self.statistics.late_rejections += 1;
        }
        let service_index = c.service;
        let fit = |i: &usize| {
            let w = &self.workers[*i];
            w.service_index == service_index && w.ended_at.is_none() && w.leaving.is_none()
        };
        let all = (0..self.workers.len()).filter(fit).map(|i| self.load(i));
        let total = all.fold(LoadReport::default(), |sum, load| LoadReport {
            running: sum.running + load.running,
            waiting: sum.waiting + load.waiting,
            slots: sum.slots + load.slots,
        });
        if total.running * 2 < total.slots && total.waiting == 0 {
            self.statistics.idle_rejections += 1;
            let key = format!("{} {}", c.name, p.code());
            self.statistics
                .rejections_by_error
                .entry(key)
                .or_default()
                .1 += 1;
        }
    }

    /// A line with the faults of this run and the rejections.
    pub fn describe(&self) -> String {
        let of = |t: &Fault| {
            let s = &self.mix.services[t.service].name;
            let (k, n, x, z) = (&t.kind, t.count, t.x, t.zone);
            format!(
                "{k} at {} s for {} s: service {s}, count {n}, x {x}, zone {z}",
                t.at_s, t.for_s
            )
        };
        let all: Vec<String> = self.mix.faults.iter().map(of).collect();
        format!(
            "{}; rejections by error {:?}",
            all.join("; "),
            self.statistics.rejections_by_error
        )
    }

    /// A line for each request that was not served: kind, arrival, end, and attempts.
    pub fn unserved(&self) -> Vec<String> {
        let bad = |a: &&ClientRequest| !matches!(a.end, Some(RequestEnd::Served(_)));
        let client_requests = self.client_requests.iter().enumerate();
        let of = |(i, a): (usize, &ClientRequest)| {
            let tries = self.client_attempts.iter().filter(|t| t.request_index == i);
            let tries: Vec<String> = tries
                .map(|t| {
                    format!(
                        "{} us, {} worker attempts, {} ran",
                        t.sent,
                        t.worker_attempts,
                        t.ran.len()
                    )
                })
                .collect();
            let tokens: u32 = a.prompt_segments.iter().map(|p| p.tokens).sum();
            format!(
                "{} at {} us, zone {}, {tokens} tokens, {} of {} events, {:?}: {tries:?}",
                self.mix.classes[a.class].name,
                a.arrived_at,
                a.zone,
                a.events_received,
                a.events,
                a.end
            )
        };
        client_requests.filter(|(_, a)| bad(a)).map(of).collect()
    }

    /// The statistics of a finished run.
    pub fn statistics(&self) -> RunStatistics {
        let mut t = self.statistics.clone();
        let m = &self.mix;
        let ms = |x: Micros| x as f64 / 1000.0;
        let mut kinds = vec![[0u64; 3]; m.classes.len()];
        t.by_second = vec![(0, 0); m.seconds.ceil() as usize + 1];
        for a in &self.client_requests {
            let c = &m.classes[a.class];
            let s = ((a.arrived_at.saturating_sub(micros(10_000.0))) / 1_000_000) as usize;
            let s = s.min(t.by_second.len() - 1);
            t.requested += 1;
            t.by_second[s].1 += 1;
            kinds[a.class][0] += 1;
            match a.end {
                Some(RequestEnd::Served(_)) => {
                    t.served += 1;
                    kinds[a.class][1] += 1;
                    let first = ms(a.first_event_at.unwrap_or(a.arrived_at) - a.arrived_at);
                    let max_gap = ms(a.max_gap);
                    let late = a.in_time(c) == Some(false);
                    t.late += u64::from(late);
                    kinds[a.class][2] += u64::from(!late);
                    t.by_second[s].0 += u32::from(!late);
                    t.first_event_ms.push(first);
                    if c.kind == "stream" {
                        t.gaps_ms.push(max_gap);
                    }
                }
                Some(RequestEnd::Rejected) => t.rejected += 1,
                _ => t.failed += 1,
            }
        }
        t.value = self.value_by_kind();
        t.sort();
        t.max_gap_ms = t.gaps_ms.last().copied().unwrap_or(0.0);
        let retries = |x: &ClientAttempt| u64::from(x.worker_attempts.saturating_sub(1));
        t.retries = self.client_attempts.iter().map(retries).sum();
        let by_kind = kinds.into_iter().zip(&m.classes);
        t.by_kind = by_kind.map(|(k, c)| (c.name.clone(), k)).collect();
        t
    }
}
