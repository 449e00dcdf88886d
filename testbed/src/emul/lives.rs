//! Lives of workers, from their start to their end, and the platform's list.

use super::engine::Engine;
use super::mix::SvcMix;
use super::worker::{Body, Wk};
use super::*;
use std::collections::VecDeque;

impl World {
    pub(super) fn lay_workers(&mut self) {
        let m = self.mix.clone();
        for (s, svc) in m.services.iter().enumerate() {
            let zones = svc.workers.iter().enumerate();
            let each = zones.flat_map(|(z, n)| (0..*n).map(move |_| z as u16));
            each.enumerate().for_each(|(i, z)| {
                let speed = svc.speeds.get(i % svc.speeds.len().max(1));
                self.start_worker(s, z, speed.copied().unwrap_or(1.0), None, false);
            });
        }
        self.list();
    }

    /// A new life, at an address that is given or free.
    pub(super) fn start_worker(
        &mut self,
        svc: usize,
        zone: u16,
        speed: f64,
        addr: Option<SocketAddr>,
        cold: bool,
    ) -> usize {
        let m = self.mix.clone();
        let x: &SvcMix = &m.services[svc];
        let reuse = self.now.saturating_sub(us(2000.0));
        let spare = self.spare.iter().position(|(t, _)| *t <= reuse);
        let addr = addr
            .or_else(|| spare.map(|i| self.spare.remove(i).1))
            .unwrap_or_else(|| {
                self.addrs += 1;
                let [_, a, b, c] = self.addrs.to_be_bytes();
                SocketAddr::from(([10, a, b, c], 80))
            });
        let i = self.workers.len();
        let name = format!("i-{i:05}");
        self.by_addr.insert(addr, i);
        self.by_name.insert(name.clone(), i);
        let warm = us(x.warmup_ms as f64);
        self.workers.push(Wk {
            name,
            addr,
            svc,
            zone,
            region: m.zones[zone as usize],
            speed,
            slots: x.slots,
            body: match &x.engine {
                Some(e) => Body::Model(Box::new(Engine::new(e, x.slots))),
                None => Body::Plain {
                    running: 0,
                    queue: VecDeque::new(),
                },
            },
            dead: None,
            dark: 0,
            full: 0,
            spoil: None,
            cold: (cold && warm > 0)
                .then_some((self.now, self.now + warm))
                .into_iter()
                .collect(),
            lately: VecDeque::new(),
            conns: 0,
            listed: true,
            leaving: None,
            leaves: None,
            shut: None,
        });
        i
    }

    /// The process ends; its connections are reset.
    pub(super) fn end_worker(&mut self, i: usize) {
        if self.workers[i].dead.is_some() {
            return;
        }
        let (addr, zone) = (self.workers[i].addr, self.workers[i].zone);
        self.workers[i].dead = Some(self.now);
        if self.by_addr.get(&addr) == Some(&i) {
            self.by_addr.remove(&addr);
        }
        let under = |s: &Send| s.open && s.there == Some(i);
        let all: Vec<u64> = (0..self.sends.len() as u64)
            .filter(|s| under(&self.sends[*s as usize]))
            .collect();
        for s in all {
            let at = self.now + self.delay(zone, self.nodes[self.sends[s as usize].node].zone);
            self.push(at, Ev::Ans(s, Ans::Reset));
        }
    }
}
