//! What goes wrong, or is planned, at set times.

use super::worker::{Body, Spoil};
use super::*;

/// A worker that crashed stays on the list for so long, in milliseconds.
const CRASH_LISTED: f64 = 3000.0;
/// A start shows on the list after so long, in milliseconds.
const START_LISTED: f64 = 500.0;

impl World {
    /// Workers of a service that are up and stay, `n` of them in turn.
    fn some(&mut self, svc: usize, n: u32) -> Vec<usize> {
        let fit = |w: &Wk| w.svc == svc && w.dead.is_none() && w.leaving.is_none();
        let all = 0..self.workers.len();
        let mut all: Vec<usize> = all.filter(|i| fit(&self.workers[*i])).collect();
        let mut out = Vec::new();
        // some worker must be left, or there is nothing to compare
        while out.len() < n as usize && all.len() > 1 {
            let i = self.rng.below(all.len() as u64) as usize;
            out.push(all.swap_remove(i));
        }
        out
    }

    fn some_nodes(&mut self, n: u32) -> Vec<usize> {
        let now = self.now;
        let fit = |i: &usize| self.nodes[*i].up && self.nodes[*i].frozen <= now;
        let mut all: Vec<usize> = (0..self.nodes.len()).filter(fit).collect();
        let mut out = Vec::new();
        while out.len() < n as usize && all.len() > 1 {
            let i = self.rng.below(all.len() as u64) as usize;
            out.push(all.swap_remove(i));
        }
        out
    }

    pub(super) fn trouble(&mut self, t: &Trouble) {
        let end = self.now + us(t.for_s * 1000.0);
        match t.kind.as_str() {
            // `count` workers end and, after `for_s` (0: never), start anew
            "crash" => {
                let back = (t.for_s > 0.0).then_some(t.for_s);
                let all = self.some(t.service, t.count);
                all.into_iter().for_each(|i| self.crash(i, back, true));
            }
            // silent for `for_s`
            "dark" => {
                for i in self.some(t.service, t.count) {
                    self.workers[i].dark = end;
                }
            }
            // leaving, for good
            "drain" => {
                let all = self.some(t.service, t.count);
                all.into_iter().for_each(|i| self.drain(i, false));
            }
            // one after the other leaves, `x` seconds apart, and another starts
            "replace" => {
                let all = self.some(t.service, t.count);
                for (n, i) in all.into_iter().enumerate() {
                    let at = self.now + us(t.x * 1000.0 * n as f64);
                    self.act(at, move |w| w.drain(i, true));
                }
            }
            // gone after `for_s` whatever it runs
            "notice" => {
                for i in self.some(t.service, t.count) {
                    let w = &mut self.workers[i];
                    (w.leaving, w.leaves, w.shut) = (Some(self.now), Some(end), Some(end));
                    self.act(end, move |w| {
                        w.unlist(i);
                        w.end_worker(i);
                    });
                }
                self.list();
            }
            // cold again, for the service's own time
            "cold" => {
                for i in self.some(t.service, t.count) {
                    let ms = self.mix.services[t.service].warmup_ms;
                    let to = self.now + us(ms as f64);
                    // nodes know of it only once the list has told them
                    let told = self.now + us(2.0 * self.mix.news_ms as f64 + 200.0);
                    self.workers[i].cold.push((told.min(to), to));
                }
                self.list();
            }
            // answers 503 for `for_s`
            "full" => {
                for i in self.some(t.service, t.count) {
                    self.workers[i].full = end;
                }
            }
            // a share `x` of the answers is lost, or is no answer
            "lose" | "garble" => {
                let k = match t.kind.as_str() {
                    "lose" => Spoil::Lost,
                    _ => Spoil::Garbled,
                };
                for i in self.some(t.service, t.count) {
                    self.workers[i].spoil = Some((k, t.x, end));
                }
            }
            // takes `x` times as long
            "slow" => {
                for i in self.some(t.service, t.count) {
                    let was = self.workers[i].speed;
                    self.workers[i].speed = was * t.x;
                    self.act(end, move |w| w.workers[i].speed = was);
                }
            }
            "kill" => {
                let all = self.some_nodes(t.count);
                all.into_iter().for_each(|n| self.kill(n, end));
            }
            "freeze" => {
                for n in self.some_nodes(t.count) {
                    self.nodes[n].frozen = end;
                    self.nodes[n].rough.push((self.now, end));
                }
                self.act(self.now + us(2000.0), |w| w.directory());
                self.act(end + us(1000.0), |w| w.directory());
            }
            "evacuate" => {
                let z = t.zone;
                self.empty(z, true);
                self.act(end, move |w| w.empty(z, false));
            }
            // kind of request `count` goes to `service`, and back after `for_s`
            "route" => {
                let (c, s) = (t.count as usize, t.service as u16);
                let was = self.mix.classes[c].service as u16;
                self.adopt(move |h| Arc::make_mut(&mut h.routes[c]).split = vec![(s, 1)]);
                if t.for_s > 0.0 {
                    self.act(end, move |w| {
                        w.adopt(move |h| Arc::make_mut(&mut h.routes[c]).split = vec![(was, 1)]);
                    });
                }
            }
            // all kinds, or the kind `count` alone, come `x` times as often
            "burst" | "long" => {
                let all = t.kind == "burst";
                let of = move |i: usize| all || i == t.count as usize;
                let n = self.crowd.len();
                let hit: Vec<usize> = (0..n).filter(|i| of(*i)).collect();
                hit.iter().for_each(|i| self.crowd[*i] = t.x.min(8.0));
                self.act(end, move |w| {
                    hit.iter().for_each(|i| w.crowd[*i] = 1.0);
                });
            }
            // callers of a zone turn up in the next one
            "shift" => {
                let z = t.zone as usize;
                self.moved[z] = (z + 1) % self.moved.len();
                self.act(end, move |w| w.moved[z] = z);
            }
            k => {
                self.wrong.insert(format!("MIX: there is no trouble {k:?}"));
            }
        }
    }

    /// Ends at once; starts anew `back` seconds later, or at another address.
    pub(super) fn crash(&mut self, i: usize, back: Option<f64>, _own: bool) {
        self.end_worker(i);
        let w = &self.workers[i];
        let (svc, zone, speed, addr) = (w.svc, w.zone, w.speed, w.addr);
        self.act(self.now + us(CRASH_LISTED), move |w| {
            w.unlist(i);
            w.list();
        });
        let Some(s) = back else { return };
        self.act(self.now + us(s * 1000.0), move |w| {
            let free = !w.by_addr.contains_key(&addr);
            let i = w.start_worker(svc, zone, speed, free.then_some(addr), true);
            w.workers[i].listed = false;
            w.act(w.now + us(START_LISTED), move |w| {
                w.workers[i].listed = w.workers[i].dead.is_none();
                w.list();
            });
        });
    }

    fn unlist(&mut self, i: usize) {
        self.workers[i].listed = false;
    }

    fn drain(&mut self, i: usize, replaced: bool) {
        if self.workers[i].dead.is_some() || self.workers[i].leaving.is_some() {
            return;
        }
        let ms = self.mix.bounds.drain_ms as f64;
        let w = &mut self.workers[i];
        w.leaving = Some(self.now);
        w.shut = Some(self.now + us(ms));
        let (svc, zone, speed, addr) = (w.svc, w.zone, w.speed, w.addr);
        if replaced {
            self.start_worker(svc, zone, speed, None, true);
        }
        self.list();
        self.act(self.now + us(ms + 500.0), move |w| {
            w.unlist(i);
            w.end_worker(i);
            w.spare.push((w.now, addr));
            w.list();
        });
    }

    /// The node's process ends with all that it holds.
    fn kill(&mut self, n: usize, back: Us) {
        let from = self.now;
        self.nodes[n].up = false;
        self.nodes[n].rough.push((from, back));
        let life = self.nodes[n].life;
        let mine = |s: &Send| s.node == n && s.life == life && s.open;
        let all: Vec<u64> = (0..self.sends.len() as u64)
            .filter(|s| mine(&self.sends[*s as usize]))
            .collect();
        for s in all {
            self.sends[s as usize].open = false;
            let at = from + self.delay(self.nodes[n].zone, self.sends[s as usize].zone);
            self.push(at, Ev::Close(s));
        }
        let idle = std::mem::take(&mut self.nodes[n].pool);
        for (w, p) in idle {
            let c = &mut self.workers[w].conns;
            *c = c.saturating_sub(p.len() as u32);
        }
        let open = |t: &Try| !t.over && t.node == n && t.life == life;
        let all = (0..self.tries.len()).filter(|t| open(&self.tries[*t]));
        let all: Vec<usize> = all.collect();
        for t in all {
            let at = from + us(self.mix.client_ms);
            self.push(at, Ev::Client(t, ToClient::Cut));
        }
        self.act(from + us(1500.0), |w| w.directory());
        self.act(back, move |w| w.blank(n));
    }

    /// Requests at engines that were never answered, for the end of a run.
    pub(super) fn left_over(&self) -> usize {
        let of = |w: &Wk| match &w.body {
            Body::Model(e) if w.dead.is_none() => e.all().len(),
            _ => 0,
        };
        self.workers.iter().map(of).sum()
    }
}
