//! Workers in virtual time: slots, a queue, a prefix cache, and a log of all
//! that ever began to run.

use super::World;

use sorreldoor::discovery::{Load, Worker};
use sorreldoor::error::ErrorCode;
use sorreldoor::gateway::request_table::{AttemptEvent, AttemptReport, RequestEffect};
use sorreldoor::types::Millis;
use std::collections::VecDeque;

/// One errand's visit at a worker.
#[derive(Clone, Debug)]
pub struct Visit {
    pub edge: usize,
    pub incarnation: u64,
    pub request_id: u64,
    pub token: u64,
    pub caller: u64,
    pub id: String,
}

/// A try as the edge's task holds it.
#[derive(Clone, Debug)]
pub struct Try {
    pub worker: usize,
    pub life: u64,
    pub request_id: u64,
    /// The worker's whole result is here, of this caller's errand.
    pub brought: Option<u64>,
}

pub struct Wk {
    pub name: String,
    pub model: bool,
    pub zone: u16,
    pub region: u8,
    pub slots: u32,
    pub up: bool,
    /// Raised at every start, so that nothing of an older life counts.
    pub life: u64,
    pub frozen_until: Millis,
    pub running: Vec<Visit>,
    pub waiting: VecDeque<Visit>,
    pub finished: u64,
    /// Ids of all that began to run, with when.
    pub ran: Vec<(Millis, String)>,
    /// The same, with the caller whose asking it was.
    pub ran_for: Vec<(Millis, u64, String)>,
    pub cache: VecDeque<String>,
    pub hits: u64,
    pub misses: u64,
    pub most_here: usize,
    /// Most errands here beyond what a worker so warm can bear.
    pub over_cold: u32,
    /// Milliseconds for a cold prefix, for a tail, and per event.
    pub prefill: Millis,
    pub tail: Millis,
    pub gap: Millis,
}

impl World {
    pub(crate) fn lay_workers(&mut self) {
        let regions = self.preset.regions.clone();
        let mut all: Vec<(String, bool, u16)> = Vec::new();
        for (r, zs, n) in &regions {
            for i in 0..*n {
                let z = self.site.zone(zs[i % zs.len()]).unwrap_or(0);
                all.push((format!("{r}-gpu{i}"), true, z));
            }
        }
        let zones = self.site.zones.len();
        for i in 0..self.preset.webs {
            all.push((format!("web{i}"), false, (i % zones) as u16));
        }
        for (i, (name, model, zone)) in all.into_iter().enumerate() {
            let region = self.site.region_of_zone(zone).unwrap_or(0);
            self.registry.workers.push(Worker {
                name: name.clone(),
                addr: ([127, 0, 0, 1], 9000 + i as u16).into(),
                group: if model { "gpu" } else { "web" }.into(),
                zone,
                region,
                leaving: false,
                slots: 0,
                cold_ms: 0,
                leaves_ms: None,
                software_version: String::new(),
            });
            self.workers.push(Wk {
                name,
                model,
                zone,
                region,
                slots: if model { 4 } else { 16 },
                up: true,
                life: 1,
                frozen_until: 0,
                running: Vec::new(),
                waiting: VecDeque::new(),
                finished: 0,
                ran: Vec::new(),
                ran_for: Vec::new(),
                cache: VecDeque::new(),
                hits: 0,
                misses: 0,
                most_here: 0,
                over_cold: 0,
                prefill: 120,
                tail: 20,
                gap: 15,
            });
        }
        self.registry.version = 1;
    }

    pub fn worker(&self, name: &str) -> usize {
        self.workers
            .iter()
            .position(|w| w.name == name)
            .expect("a worker of that name")
    }

    fn registered_group(&self, w: usize) -> String {
        let name = &self.workers[w].name;
        let row = self.registry.workers.iter().find(|r| r.name == *name);
        row.map_or_else(String::new, |r| r.group.clone())
    }

    /// The platform shows a worker as leaving.
    pub fn leave(&mut self, w: usize) {
        let name = self.workers[w].name.clone();
        self.registry
            .workers
            .iter_mut()
            .filter(|r| r.name == name)
            .for_each(|r| r.leaving = true);
        self.registry.version += 1;
        let now = self.now;
        self.left_at.insert(w, now);
    }

    pub fn worker_dies(&mut self, w: usize) {
        let k = &mut self.workers[w];
        k.up = false;
        k.life += 1;
        let lost: Vec<Visit> = k.running.drain(..).chain(k.waiting.drain(..)).collect();
        for v in lost {
            self.tell_edge(w, v, AttemptEvent::Failed(ErrorCode::WorkerDisconnected));
        }
    }

    pub fn worker_starts(&mut self, w: usize) {
        let k = &mut self.workers[w];
        k.up = true;
        k.life += 1;
        k.finished = 0;
        k.cache.clear();
        k.frozen_until = 0;
    }

    pub(crate) fn load_of(&mut self, name: &str, from: u8) -> Load {
        let dark = Load {
            name: name.to_string(),
            ..Load::default()
        };
        let Some(k) = self.workers.iter().find(|w| w.name == name) else {
            return dark;
        };
        let _ = from;
        if !k.up || k.frozen_until > self.now {
            return dark;
        }
        Load {
            running: k.running.len() as u32,
            queued: k.waiting.len() as u32,
            slots: k.slots,
            finished: k.finished,
            live: true,
            ..dark
        }
    }

    pub(super) fn tell_edge(&mut self, w: usize, v: Visit, told: AttemptEvent) {
        let d = self.delay(self.workers[w].region, self.procs[v.edge].region);
        self.after(d, move |world| world.told(v, told));
    }

    pub(crate) fn told(&mut self, v: Visit, told: AttemptEvent) {
        let (p, incarnation) = (v.edge, v.incarnation);
        self.reach_proc(p, incarnation, move |w| {
            if told == AttemptEvent::Complete {
                if let Some(t) = w.procs[p].tries.get_mut(&v.token) {
                    t.brought = Some(v.caller);
                }
            }
            let (request_id, token) = (v.request_id, v.token);
            // the edge's task itself shows a break to the reader
            if matches!(told, AttemptEvent::Failed(_)) && w.procs[p].tries.contains_key(&token) {
                w.broken_off(p, request_id);
            }
            w.hall_step(
                p,
                sorreldoor::gateway::EdgeEvent::Attempt(AttemptReport {
                    request_id,
                    token,
                    event: told,
                }),
            );
        });
    }

    pub(crate) fn errand_fx(&mut self, p: usize, f: RequestEffect) {
        match f {
            RequestEffect::Connect {
                request_id,
                token,
                addr,
                ..
            } => self.open(p, request_id, token, addr.port()),
            RequestEffect::Send {
                request_id, token, ..
            } => self.go(p, request_id, token),
            RequestEffect::Abort { token, .. } => self.drop_try(p, token),
            RequestEffect::Reject {
                request_id,
                error_code,
                retry_after_s,
            } => self.shed(request_id, error_code, retry_after_s),
            RequestEffect::Respond { request_id, token } => self.give(p, request_id, token),
            RequestEffect::Redirect { request_id, addr } => self.elsewhere(request_id, addr),
            RequestEffect::OutcomeUnknown { .. }
            | RequestEffect::AttemptFailed { .. }
            | RequestEffect::Claim { .. }
            | RequestEffect::Release { .. } => {}
        }
    }

    fn open(&mut self, p: usize, request_id: u64, token: u64, port: u16) {
        let w = (port - 9000) as usize;
        let Some(caller) = self.caller_of(p, request_id) else {
            return;
        };
        self.opened.push((self.now, caller));
        let id = self.callers[&caller].id.clone();
        let incarnation = self.procs[p].incarnation;
        let life = self.workers[w].life;
        let t = Try {
            worker: w,
            life,
            request_id,
            brought: None,
        };
        self.procs[p].tries.insert(token, t);
        let v = Visit {
            edge: p,
            incarnation,
            request_id,
            token,
            caller,
            id,
        };
        let d = 2 * self.delay(self.procs[p].region, self.workers[w].region);
        let dark = self.worker_cuts.contains(&(p, w));
        let up = self.workers[w].up;
        let (wait, told) = match (dark, up) {
            (true, _) => (800, AttemptEvent::ConnectFailed),
            (false, false) => (d, AttemptEvent::ConnectFailed),
            (false, true) => (d, AttemptEvent::Connected),
        };
        self.after(wait, move |w| w.told(v, told));
    }

    fn go(&mut self, p: usize, request_id: u64, token: u64) {
        let Some(t) = self.procs[p].tries.get(&token).cloned() else {
            return;
        };
        let Some(caller) = self.caller_of(p, request_id) else {
            return;
        };
        let id = self.callers[&caller].id.clone();
        let version = self
            .edge_controller(p)
            .map_or(0, |h| h.cluster.snapshot.view.version);
        self.handed.push(super::Handed {
            at: self.now,
            edge: p,
            worker: t.worker,
            version,
            id: id.clone(),
            caller,
            group: self.registered_group(t.worker),
            doc: self.doc_at(p),
        });
        let incarnation = self.procs[p].incarnation;
        let v = Visit {
            edge: p,
            incarnation,
            request_id,
            token,
            caller,
            id,
        };
        let w = t.worker;
        let d = self.delay(self.procs[p].region, self.workers[w].region);
        self.after(d, move |world| world.arrive(w, t.life, v));
    }

    fn arrive(&mut self, w: usize, life: u64, v: Visit) {
        let frozen = self.workers[w].frozen_until;
        if frozen > self.now {
            self.at(frozen, move |world| world.arrive(w, life, v));
            return;
        }
        let gone = !self.procs[v.edge].tries.contains_key(&v.token);
        if !self.workers[w].up || self.workers[w].life != life {
            return self.tell_edge(w, v, AttemptEvent::Failed(ErrorCode::WorkerDisconnected));
        }
        // a caller that hung up before leaves a closed connection here
        if gone && self.rng.chance(50) {
            return;
        }
        let k = &mut self.workers[w];
        k.waiting.push_back(v);
        let here = k.waiting.len() + k.running.len();
        k.most_here = k.most_here.max(here);
        // by the warm-up of the usual setup: two, and one more for every two
        let bears = 2 + k.finished / 2;
        if bears < u64::from(k.slots) {
            k.over_cold = k.over_cold.max((here as u64).saturating_sub(bears) as u32);
        }
        self.begin(w);
    }

    /// The edge dropped the connection: what waits is cancelled, what runs
    /// stops, once the worker notices.
    fn drop_try(&mut self, p: usize, token: u64) {
        let Some(t) = self.procs[p].tries.remove(&token) else {
            return;
        };
        let w = t.worker;
        let d = self.delay(self.procs[p].region, self.workers[w].region);
        self.after(d, move |world| {
            let k = &mut world.workers[w];
            k.waiting.retain(|r| !(r.token == token && r.edge == p));
            k.running.retain(|r| !(r.token == token && r.edge == p));
            world.begin(w);
        });
        self.broken_off(p, t.request_id);
    }

    pub(crate) fn drop_all(&mut self, p: usize) {
        let all: Vec<u64> = self.procs[p].tries.keys().copied().collect();
        for t in all {
            self.drop_try(p, t);
        }
    }
}
