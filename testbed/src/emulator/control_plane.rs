//! The control plane: broadcasts configurations, the worker registry, evacuations and
//! the list of nodes; each update reaches each node after a random delay, in order.

use super::node::Node;
use super::policy::HOST;
use super::*;
use sorreldoor::balancer::{Locality, SiteLimits};
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
            latency_target_ms: c.aim_ms,
            priority: c.priority,
            split: vec![(c.service as u16, 1)],
            attempts: c.attempts,
            prefix_affinity: !c.shared_segments.is_empty(),
            resume: c.resume,
            gap_ms: c.gap_ms,
            homes: c.homes.clone(),
            public: false,
        });
        let mut h = Hosted {
            services: services.collect(),
            routes: routes.map(Arc::new).collect(),
            ..Hosted::default()
        };
        index_routes(&mut h);
        h
    }

    /// Acknowledges a changed configuration now and broadcasts it.
    pub(super) fn change_configuration(&mut self, f: impl FnOnce(&mut Hosted)) {
        let Some((_, last)) = self.configuration_versions.last() else {
            return;
        };
        let mut h = (**last).clone();
        f(&mut h);
        index_routes(&mut h);
        let h = Arc::new(h);
        self.configuration_versions.push((self.now, h.clone()));
        self.broadcast(ControlUpdate::Hosted(h));
    }

    /// Publishes a new version of the platform's worker registry.
    pub(super) fn publish_registry(&mut self) {
        let now = self.now;
        let row = |w: &EmulatedWorker| Worker {
            name: w.name.clone(),
            addr: w.addr,
            group: self.mix.services[w.service_index].name.clone(),
            zone: w.zone,
            region: w.region,
            leaving: w.leaving.is_some(),
            slots: w.slots,
            cold_ms: (w.slow_start.last()).map_or(0, |c| c.1.saturating_sub(now) / 1000),
            leaves_ms: w.leaves.map(|t| t.saturating_sub(now) / 1000),
            software_version: String::new(),
        };
        let r = WorkerRegistry {
            version: self.registry.version + 1,
            workers: self.workers.iter().filter(|w| w.listed).map(row).collect(),
        };
        self.registry = Arc::new(r);
        self.broadcast(ControlUpdate::WorkerRegistry(self.registry.clone()));
    }

    pub(super) fn create_nodes(&mut self) {
        let m = self.mix.clone();
        let zones = m.nodes.iter().enumerate();
        let each: Vec<u16> = zones
            .flat_map(|(z, n)| (0..*n).map(move |_| z as u16))
            .collect();
        for (i, z) in each.into_iter().enumerate() {
            let name = format!("n{i}");
            let policy = self.new_policy(&name, z, 0);
            self.nodes.push(Node {
                name,
                zone: z,
                region: m.zones[z as usize],
                up: true,
                incarnation: 0,
                frozen_until: 0,
                fault_spans: Vec::new(),
                received: (false, false),
                last_update: 0,
                policy,
                in_progress: Default::default(),
                by_attempt: HashMap::new(),
                idle_connections: HashMap::new(),
            });
        }
        (0..self.nodes.len()).for_each(|n| self.send_snapshot(n));
        self.update_directory();
    }

    fn new_policy(&self, name: &str, zone: u16, incarnation: u32) -> Box<dyn Policy> {
        let m = &self.mix;
        let place = Locality {
            node: name.into(),
            zone,
            region: m.zones[zone as usize],
            regions: m.zones.clone(),
        };
        let b = &m.bounds;
        let bounds = SiteLimits {
            retry_ratio: b.retry_ratio,
            retry_window_ms: b.retry_window_ms,
            retry_slack: b.retry_slack,
            warmup_excess: b.warmup_excess,
            warmup_slack: b.warmup_slack,
        };
        let seed = self
            .seed
            .wrapping_mul(1000)
            .wrapping_add(u64::from(incarnation));
        self.policy_kind.make(place, bounds, seed)
    }

    fn broadcast(&mut self, n: ControlUpdate) {
        (0..self.nodes.len()).for_each(|i| self.deliver(i, n.clone()));
    }

    /// Schedules an update for a node, after `update_delay_ms` to twice that.
    fn deliver(&mut self, i: usize, n: ControlUpdate) {
        let ms = self.mix.update_delay_ms;
        let at = self.now + micros((ms + self.rng.below(ms + 1)) as f64);
        // updates to a node arrive in order
        let x = &mut self.nodes[i];
        x.last_update = x.last_update.max(at);
        let (at, incarnation) = (x.last_update, x.incarnation);
        if x.up {
            self.push(at, SimEvent::ControlUpdate(i, incarnation, n));
        }
    }

    /// Sends a node the current state of all that is broadcast.
    pub(super) fn send_snapshot(&mut self, i: usize) {
        if let Some((_, h)) = self.configuration_versions.last().cloned() {
            self.deliver(i, ControlUpdate::Hosted(h));
        }
        self.deliver(i, ControlUpdate::WorkerRegistry(self.registry.clone()));
        self.deliver(i, ControlUpdate::Evacuated(self.evacuated.clone()));
        self.deliver(i, ControlUpdate::Nodes(self.ready_nodes()));
    }

    fn ready_nodes(&self) -> Vec<(String, u16)> {
        let of = |n: &usize| (self.nodes[*n].name.clone(), self.nodes[*n].zone);
        self.ready.iter().map(of).collect()
    }

    /// Starts a new incarnation of a node, without any state of the previous one.
    pub(super) fn restart_node(&mut self, i: usize) {
        let x = &self.nodes[i];
        let (name, zone, incarnation) = (x.name.clone(), x.zone, x.incarnation + 1);
        let policy = self.new_policy(&name, zone, incarnation);
        let x = &mut self.nodes[i];
        (x.up, x.incarnation, x.policy, x.received) = (true, incarnation, policy, (false, false));
        x.in_progress.clear();
        x.by_attempt.clear();
        x.idle_connections.clear();
        self.send_snapshot(i);
    }

    pub(super) fn apply_update(&mut self, n: usize, x: ControlUpdate) {
        let now = self.now_ms();
        let node = &mut self.nodes[n];
        match x {
            ControlUpdate::Hosted(h) => {
                node.received.0 = true;
                node.policy.apply_configuration(h, now);
            }
            ControlUpdate::WorkerRegistry(r) => {
                node.received.1 = true;
                node.policy.update_registry(&r, now);
            }
            ControlUpdate::Evacuated(z) => node.policy.set_evacuated_zones(z, now),
            ControlUpdate::Nodes(all) => node.policy.update_nodes(all),
        }
        if !self.ready.contains(&n) && node.received == (true, true) {
            self.call_at(self.now + micros(500.0), |w| w.update_directory());
        }
    }

    /// Updates the list of ready nodes and broadcasts a change; a node frozen for longer
    /// than a time-out is left out.
    pub(super) fn update_directory(&mut self) {
        let timeout = micros(2000.0);
        let now = self.now;
        let fit = |x: &Node| x.up && x.received == (true, true) && x.frozen_until <= now + timeout;
        let all = (0..self.nodes.len()).filter(|n| fit(&self.nodes[*n]));
        let all: Vec<usize> = all.collect();
        if all != self.ready {
            self.ready = all;
            let n = ControlUpdate::Nodes(self.ready_nodes());
            self.broadcast(n);
        }
    }

    /// Begins or ends the evacuation of a zone.
    pub(super) fn set_evacuated(&mut self, zone: u16, on: bool) {
        let now = self.now;
        if on {
            self.evacuated.push(zone);
            self.evacuations.push(Evacuation {
                zone,
                from: now,
                to: Micros::MAX,
            });
        } else {
            self.evacuated.retain(|z| *z != zone);
            let open = |e: &&mut Evacuation| e.zone == zone && e.to == Micros::MAX;
            self.evacuations
                .iter_mut()
                .filter(open)
                .for_each(|e| e.to = now);
        }
        self.broadcast(ControlUpdate::Evacuated(self.evacuated.clone()));
    }
}

/// Orders the routes by prefix, longest first, for look-ups.
fn index_routes(h: &mut Hosted) {
    let mut all: Vec<u32> = (0..h.routes.len() as u32).collect();
    let of = |i: &u32| &h.routes[*i as usize].prefix;
    all.sort_by(|a, b| {
        let (a, b) = (of(a), of(b));
        b.len().cmp(&a.len()).then_with(|| a.cmp(b))
    });
    h.by_host.insert(HOST.into(), all);
}
