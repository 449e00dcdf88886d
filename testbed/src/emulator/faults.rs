//! Injection of faults and of planned changes at set times.

use super::worker::{AnswerFault, Backend};
use super::*;

/// How long a crashed worker stays registered.
const CRASH_DEREGISTRATION_MS: f64 = 3000.0;
/// Time from the start of a worker to its registration.
const START_REGISTRATION_MS: f64 = 500.0;

impl World {
    /// Up to `n` random workers of a service that are up and not draining; one is left
    /// out, so that the service keeps a worker.
    fn pick_workers(&mut self, service_index: usize, n: u32) -> Vec<usize> {
        let fit = |w: &EmulatedWorker| {
            w.service_index == service_index && w.ended_at.is_none() && w.leaving.is_none()
        };
        let all = 0..self.workers.len();
        let mut all: Vec<usize> = all.filter(|i| fit(&self.workers[*i])).collect();
        let mut out = Vec::new();
        while out.len() < n as usize && all.len() > 1 {
            let i = self.rng.below(all.len() as u64) as usize;
            out.push(all.swap_remove(i));
        }
        out
    }

    /// Up to `n` random nodes that are up and not frozen; one is left out.
    fn pick_nodes(&mut self, n: u32) -> Vec<usize> {
        let now = self.now;
        let fit = |i: &usize| self.nodes[*i].up && self.nodes[*i].frozen_until <= now;
        let mut all: Vec<usize> = (0..self.nodes.len()).filter(fit).collect();
        let mut out = Vec::new();
        while out.len() < n as usize && all.len() > 1 {
            let i = self.rng.below(all.len() as u64) as usize;
            out.push(all.swap_remove(i));
        }
        out
    }

    /// Begins a fault, and schedules its end after `for_s`.
    pub(super) fn inject_fault(&mut self, t: &Fault) {
        let end = self.now + micros(t.for_s * 1000.0);
        match t.kind.as_str() {
            // `count` workers crash and restart after `for_s` (0: never)
            "crash" => {
                let back = (t.for_s > 0.0).then_some(t.for_s);
                let all = self.pick_workers(t.service, t.count);
                all.into_iter()
                    .for_each(|i| self.crash_worker(i, back, true));
            }
            // `count` workers send nothing for `for_s`
            "dark" => {
                for i in self.pick_workers(t.service, t.count) {
                    self.workers[i].silent_until = end;
                }
            }
            // `count` workers drain and end
            "drain" => {
                let all = self.pick_workers(t.service, t.count);
                all.into_iter().for_each(|i| self.drain(i, false));
            }
            // `count` workers drain, `x` seconds apart, each replaced by a new one
            "replace" => {
                let all = self.pick_workers(t.service, t.count);
                for (n, i) in all.into_iter().enumerate() {
                    let at = self.now + micros(t.x * 1000.0 * n as f64);
                    self.call_at(at, move |w| w.drain(i, true));
                }
            }
            // `count` workers announce their end and end after `for_s`, even if busy
            "notice" => {
                for i in self.pick_workers(t.service, t.count) {
                    let w = &mut self.workers[i];
                    (w.leaving, w.leaves, w.closed_at) = (Some(self.now), Some(end), Some(end));
                    self.call_at(end, move |w| {
                        w.unregister(i);
                        w.end_worker(i);
                    });
                }
                self.publish_registry();
            }
            // `count` workers enter slow start again, for the service's warm-up time
            "cold" => {
                for i in self.pick_workers(t.service, t.count) {
                    let ms = self.mix.services[t.service].warmup_ms;
                    let to = self.now + micros(ms as f64);
                    // the bound applies once nodes have the new registry
                    let known_at = self.now + micros(2.0 * self.mix.update_delay_ms as f64 + 200.0);
                    self.workers[i].slow_start.push((known_at.min(to), to));
                }
                self.publish_registry();
            }
            // `count` workers answer 503 for `for_s`
            "full" => {
                for i in self.pick_workers(t.service, t.count) {
                    self.workers[i].overloaded_until = end;
                }
            }
            // a share `x` of the responses of `count` workers is reset, or is garbage
            "lose" | "garble" => {
                let k = match t.kind.as_str() {
                    "lose" => AnswerFault::Lost,
                    _ => AnswerFault::Garbled,
                };
                for i in self.pick_workers(t.service, t.count) {
                    self.workers[i].answer_fault = Some((k, t.x, end));
                }
            }
            // `count` workers take `x` times as long
            "slow" => {
                for i in self.pick_workers(t.service, t.count) {
                    let was = self.workers[i].speed;
                    self.workers[i].speed = was * t.x;
                    self.call_at(end, move |w| w.workers[i].speed = was);
                }
            }
            "kill" => {
                let all = self.pick_nodes(t.count);
                all.into_iter().for_each(|n| self.kill_node(n, end));
            }
            "freeze" => {
                for n in self.pick_nodes(t.count) {
                    self.nodes[n].frozen_until = end;
                    self.nodes[n].fault_spans.push((self.now, end));
                }
                self.call_at(self.now + micros(2000.0), |w| w.update_directory());
                self.call_at(end + micros(1000.0), |w| w.update_directory());
            }
            "evacuate" => {
                let z = t.zone;
                self.set_evacuated(z, true);
                self.call_at(end, move |w| w.set_evacuated(z, false));
            }
            // the kind of request with index `count` is routed to `service`, and back after
            // `for_s` (0: never)
            "route" => {
                let (c, s) = (t.count as usize, t.service as u16);
                let was = self.mix.classes[c].service as u16;
                self.change_configuration(move |h| {
                    Arc::make_mut(&mut h.routes[c]).split = vec![(s, 1)]
                });
                if t.for_s > 0.0 {
                    self.call_at(end, move |w| {
                        w.change_configuration(move |h| {
                            Arc::make_mut(&mut h.routes[c]).split = vec![(was, 1)]
                        });
                    });
                }
            }
            // all kinds, or the kind with index `count`, arrive `x` times as often
            "burst" | "long" => {
                let all = t.kind == "burst";
                let of = move |i: usize| all || i == t.count as usize;
                let n = self.rate_factors.len();
                let hit: Vec<usize> = (0..n).filter(|i| of(*i)).collect();
                hit.iter()
                    .for_each(|i| self.rate_factors[*i] = t.x.min(8.0));
                self.call_at(end, move |w| {
                    hit.iter().for_each(|i| w.rate_factors[*i] = 1.0);
                });
            }
            // the clients of a zone use the next zone
            "shift" => {
                let z = t.zone as usize;
                self.zone_redirects[z] = (z + 1) % self.zone_redirects.len();
                self.call_at(end, move |w| w.zone_redirects[z] = z);
            }
            k => {
                self.violations
                    .insert(format!("MIX: unknown kind of fault {k:?}"));
            }
        }
    }

    /// Ends a worker at once and, if `back` is given, starts another after that many
    /// seconds, at the same address unless that is taken.
    pub(super) fn crash_worker(&mut self, i: usize, back: Option<f64>, _own: bool) {
        self.end_worker(i);
        let w = &self.workers[i];
        let (service_index, zone, speed, addr) = (w.service_index, w.zone, w.speed, w.addr);
        self.call_at(self.now + micros(CRASH_DEREGISTRATION_MS), move |w| {
            w.unregister(i);
            w.publish_registry();
        });
        let Some(s) = back else { return };
        self.call_at(self.now + micros(s * 1000.0), move |w| {
            let free = !w.by_addr.contains_key(&addr);
            let i = w.start_worker(service_index, zone, speed, free.then_some(addr), true);
            w.workers[i].listed = false;
            w.call_at(w.now + micros(START_REGISTRATION_MS), move |w| {
                w.workers[i].listed = w.workers[i].ended_at.is_none();
                w.publish_registry();
            });
        });
    }

    fn unregister(&mut self, i: usize) {
        self.workers[i].listed = false;
    }

    fn drain(&mut self, i: usize, replaced: bool) {
        if self.workers[i].ended_at.is_some() || self.workers[i].leaving.is_some() {
            return;
        }
        let ms = self.mix.bounds.drain_ms as f64;
        let w = &mut self.workers[i];
        w.leaving = Some(self.now);
        w.closed_at = Some(self.now + micros(ms));
        let (service_index, zone, speed, addr) = (w.service_index, w.zone, w.speed, w.addr);
        if replaced {
            self.start_worker(service_index, zone, speed, None, true);
        }
        self.publish_registry();
        self.call_at(self.now + micros(ms + 500.0), move |w| {
            w.unregister(i);
            w.end_worker(i);
            w.free_addresses.push((w.now, addr));
            w.publish_registry();
        });
    }

    /// Ends the process of a node with all its connections; it restarts at `back`.
    fn kill_node(&mut self, n: usize, back: Micros) {
        let from = self.now;
        self.nodes[n].up = false;
        self.nodes[n].fault_spans.push((from, back));
        let incarnation = self.nodes[n].incarnation;
        let mine = |s: &WorkerAttempt| s.node == n && s.incarnation == incarnation && s.open;
        let all: Vec<u64> = (0..self.worker_attempts.len() as u64)
            .filter(|s| mine(&self.worker_attempts[*s as usize]))
            .collect();
        for s in all {
            self.worker_attempts[s as usize].open = false;
            let at = from + self.delay(self.nodes[n].zone, self.worker_attempts[s as usize].zone);
            self.push(at, SimEvent::Close(s));
        }
        let idle = std::mem::take(&mut self.nodes[n].idle_connections);
        for (w, p) in idle {
            let c = &mut self.workers[w].conns;
            *c = c.saturating_sub(p.len() as u32);
        }
        let open = |t: &ClientAttempt| !t.ended && t.node == n && t.incarnation == incarnation;
        let all = (0..self.client_attempts.len()).filter(|t| open(&self.client_attempts[*t]));
        let all: Vec<usize> = all.collect();
        for t in all {
            let at = from + micros(self.mix.client_ms);
            self.push(at, SimEvent::ClientMessage(t, ClientMessage::Cut));
        }
        self.call_at(from + micros(1500.0), |w| w.update_directory());
        self.call_at(back, move |w| w.restart_node(n));
    }

    /// Number of tasks left at the engines of running workers.
    pub(super) fn unanswered_tasks(&self) -> usize {
        let of = |w: &EmulatedWorker| match &w.backend {
            Backend::Engine(e) if w.ended_at.is_none() => e.task_ids().len(),
            _ => 0,
        };
        self.workers.iter().map(of).sum()
    }
}
