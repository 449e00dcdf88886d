//! What nodes hear of configurations, workers, zones and one another, each
//! after a while of its own.

use super::node::Node;
use super::policy::HOST;
use super::*;
use sorreldoor::balancer::{Bounds, Locality};
use sorreldoor::configuration::hosted::{Engine as Conf, Kind, Route, Service};
use sorreldoor::discovery::Worker;

impl World {
    /// The first configuration.
    pub(super) fn hosted(&self) -> Hosted {
        let m = &self.mix;
        let services = m.services.iter().map(|s| Service {
            name: s.name.clone(),
            health: "/h".into(),
            max_conns: s.max_conns,
            warmup_ms: s.warmup_ms,
            warmup_per_s: s.warmup_per_s,
            engine: s.engine.as_ref().map(|e| Conf {
                slots: s.slots,
                kv_tokens: e.tokens,
                stride: e.stride,
            }),
        });
        let routes = m.classes.iter().map(|c| Route {
            name: c.name.clone(),
            host: HOST.into(),
            prefix: format!("/{}/", c.name),
            kind: match c.kind.as_str() {
                "stream" => Kind::Stream,
                "idempotent" => Kind::Idempotent,
                _ => Kind::Once,
            },
            timeout_ms: c.deadline_ms,
            aim_ms: c.aim_ms,
            priority: c.priority,
            split: vec![(c.service as u16, 1)],
            attempts: c.attempts,
            sticky: !c.parts.is_empty(),
            resume: c.resume,
            gap_ms: c.gap_ms,
            homes: c.homes.clone(),
        });
        let mut h = Hosted {
            services: services.collect(),
            routes: routes.map(Arc::new).collect(),
            ..Hosted::default()
        };
        index(&mut h);
        h
    }

    /// A further configuration is acknowledged, and spreads.
    pub(super) fn adopt(&mut self, f: impl FnOnce(&mut Hosted)) {
        let Some((_, last)) = self.versions.last() else {
            return;
        };
        let mut h = (**last).clone();
        f(&mut h);
        index(&mut h);
        let h = Arc::new(h);
        self.versions.push((self.now, h.clone()));
        self.spread(ControlUpdate::Hosted(h));
    }

    /// The platform's list anew, from what it knows of workers.
    pub(super) fn list(&mut self) {
        let now = self.now;
        let row = |w: &Wk| Worker {
            name: w.name.clone(),
            addr: w.addr,
            group: self.mix.services[w.svc].name.clone(),
            zone: w.zone,
            region: w.region,
            leaving: w.leaving.is_some(),
            slots: w.slots,
            cold_ms: (w.cold.last()).map_or(0, |c| c.1.saturating_sub(now) / 1000),
            leaves_ms: w.leaves.map(|t| t.saturating_sub(now) / 1000),
            software_version: String::new(),
        };
        let r = WorkerRegistry {
            version: self.registry.version + 1,
            workers: self.workers.iter().filter(|w| w.listed).map(row).collect(),
        };
        self.registry = Arc::new(r);
        self.spread(ControlUpdate::WorkerRegistry(self.registry.clone()));
    }

    pub(super) fn lay_nodes(&mut self) {
        let m = self.mix.clone();
        let zones = m.nodes.iter().enumerate();
        let each: Vec<u16> = zones
            .flat_map(|(z, n)| (0..*n).map(move |_| z as u16))
            .collect();
        for (i, z) in each.into_iter().enumerate() {
            let name = format!("n{i}");
            let policy = self.fresh(&name, z, 0);
            self.nodes.push(Node {
                name,
                zone: z,
                region: m.zones[z as usize],
                up: true,
                life: 0,
                frozen: 0,
                rough: Vec::new(),
                has: (false, false),
                last_update: 0,
                policy,
                jobs: Default::default(),
                by_try: HashMap::new(),
                pool: HashMap::new(),
            });
        }
        (0..self.nodes.len()).for_each(|n| self.brief(n));
        self.directory();
    }

    fn fresh(&self, name: &str, zone: u16, life: u32) -> Box<dyn Policy> {
        let m = &self.mix;
        let place = Locality {
            node: name.into(),
            zone,
            region: m.zones[zone as usize],
            regions: m.zones.clone(),
        };
        let b = &m.bounds;
        let bounds = Bounds {
            retry_ratio: b.retry_ratio,
            retry_window_ms: b.retry_window_ms,
            retry_slack: b.retry_slack,
            warmup_excess: b.warmup_excess,
            warmup_slack: b.warmup_slack,
        };
        let seed = self.seed.wrapping_mul(1000).wrapping_add(u64::from(life));
        self.rule.make(place, bounds, seed)
    }

    fn spread(&mut self, n: ControlUpdate) {
        (0..self.nodes.len()).for_each(|i| self.tell(i, n.clone()));
    }

    /// News reach a node between `news_ms` and twice that later.
    fn tell(&mut self, i: usize, n: ControlUpdate) {
        let ms = self.mix.news_ms;
        let at = self.now + us((ms + self.rng.below(ms + 1)) as f64);
        // a node's session brings news in the order that they were made
        let x = &mut self.nodes[i];
        x.last_update = x.last_update.max(at);
        let (at, life) = (x.last_update, x.life);
        if x.up {
            self.push(at, Ev::ControlUpdate(i, life, n));
        }
    }

    /// All that a blank node must hear.
    pub(super) fn brief(&mut self, i: usize) {
        if let Some((_, h)) = self.versions.last().cloned() {
            self.tell(i, ControlUpdate::Hosted(h));
        }
        self.tell(i, ControlUpdate::WorkerRegistry(self.registry.clone()));
        self.tell(i, ControlUpdate::Evacuated(self.evacuated.clone()));
        self.tell(i, ControlUpdate::Nodes(self.named()));
    }

    fn named(&self) -> Vec<(String, u16)> {
        let of = |n: &usize| (self.nodes[*n].name.clone(), self.nodes[*n].zone);
        self.ready.iter().map(of).collect()
    }

    /// A node of a later life, with nothing in memory.
    pub(super) fn blank(&mut self, i: usize) {
        let x = &self.nodes[i];
        let (name, zone, life) = (x.name.clone(), x.zone, x.life + 1);
        let policy = self.fresh(&name, zone, life);
        let x = &mut self.nodes[i];
        (x.up, x.life, x.policy, x.has) = (true, life, policy, (false, false));
        x.jobs.clear();
        x.by_try.clear();
        x.pool.clear();
        self.brief(i);
    }

    pub(super) fn told(&mut self, n: usize, x: ControlUpdate) {
        let now = self.ms();
        let node = &mut self.nodes[n];
        match x {
            ControlUpdate::Hosted(h) => {
                node.has.0 = true;
                node.policy.apply_configuration(h, now);
            }
            ControlUpdate::WorkerRegistry(r) => {
                node.has.1 = true;
                node.policy.update_registry(&r, now);
            }
            ControlUpdate::Evacuated(z) => node.policy.set_evacuated_zones(z, now),
            ControlUpdate::Nodes(all) => node.policy.update_nodes(all),
        }
        if !self.ready.contains(&n) && node.has == (true, true) {
            self.act(self.now + us(500.0), |w| w.directory());
        }
    }

    /// Looks anew which nodes are ready; one that is silent drops out late.
    pub(super) fn directory(&mut self) {
        let silent = us(2000.0);
        let now = self.now;
        let fit = |x: &Node| x.up && x.has == (true, true) && x.frozen <= now + silent;
        let all = (0..self.nodes.len()).filter(|n| fit(&self.nodes[*n]));
        let all: Vec<usize> = all.collect();
        if all != self.ready {
            self.ready = all;
            let n = ControlUpdate::Nodes(self.named());
            self.spread(n);
        }
    }

    pub(super) fn empty(&mut self, zone: u16, on: bool) {
        let now = self.now;
        if on {
            self.evacuated.push(zone);
            self.evacs.push(Evac {
                zone,
                from: now,
                to: Us::MAX,
            });
        } else {
            self.evacuated.retain(|z| *z != zone);
            let open = |e: &&mut Evac| e.zone == zone && e.to == Us::MAX;
            self.evacs.iter_mut().filter(open).for_each(|e| e.to = now);
        }
        self.spread(ControlUpdate::Evacuated(self.evacuated.clone()));
    }
}

fn index(h: &mut Hosted) {
    let mut all: Vec<u32> = (0..h.routes.len() as u32).collect();
    let of = |i: &u32| &h.routes[*i as usize].prefix;
    all.sort_by(|a, b| {
        let (a, b) = (of(a), of(b));
        b.len().cmp(&a.len()).then_with(|| a.cmp(b))
    });
    h.by_host.insert(HOST.into(), all);
}
