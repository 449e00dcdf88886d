//! Start and end of emulated workers.

use super::engine::Engine;
use super::mix::ServiceMix;
use super::worker::{Backend, EmulatedWorker};
use super::*;
use std::collections::VecDeque;

impl World {
    pub(super) fn create_workers(&mut self) {
        let m = self.mix.clone();
        for (index, service) in m.services.iter().enumerate() {
            let zones = service.workers.iter().enumerate();
            let each = zones.flat_map(|(z, n)| (0..*n).map(move |_| z as u16));
            each.enumerate().for_each(|(i, z)| {
                let speed = service.speeds.get(i % service.speeds.len().max(1));
                self.start_worker(index, z, speed.copied().unwrap_or(1.0), None, false);
            });
        }
        self.publish_registry();
    }

    /// Starts a worker at the given address or a free one; returns its index.
    pub(super) fn start_worker(
        &mut self,
        service_index: usize,
        zone: u16,
        speed: f64,
        addr: Option<SocketAddr>,
        slow_start: bool,
    ) -> usize {
        let m = self.mix.clone();
        let x: &ServiceMix = &m.services[service_index];
        let reuse = self.now.saturating_sub(micros(2000.0));
        let reusable = self.free_addresses.iter().position(|(t, _)| *t <= reuse);
        let addr = addr
            .or_else(|| reusable.map(|i| self.free_addresses.remove(i).1))
            .unwrap_or_else(|| {
                self.addresses_created += 1;
                let [_, a, b, c] = self.addresses_created.to_be_bytes();
                SocketAddr::from(([10, a, b, c], 80))
            });
        let i = self.workers.len();
        let name = format!("i-{i:05}");
        self.by_addr.insert(addr, i);
        self.by_name.insert(name.clone(), i);
        let warm = micros(x.warmup_ms as f64);
        self.workers.push(EmulatedWorker {
            name,
            addr,
            service_index,
            zone,
            region: m.zones[zone as usize],
            speed,
            slots: x.slots,
            backend: match &x.engine {
                Some(e) => Backend::Engine(Box::new(Engine::new(e, x.slots))),
                None => Backend::Plain {
                    running: 0,
                    queue: VecDeque::new(),
                },
            },
            ended_at: None,
            silent_until: 0,
            overloaded_until: 0,
            answer_fault: None,
            slow_start: (slow_start && warm > 0)
                .then_some((self.now, self.now + warm))
                .into_iter()
                .collect(),
            recent_arrivals: VecDeque::new(),
            conns: 0,
            listed: true,
            leaving: None,
            leaves: None,
            closed_at: None,
        });
        i
    }

    /// Ends the process of a worker; its connections are reset.
    pub(super) fn end_worker(&mut self, i: usize) {
        if self.workers[i].ended_at.is_some() {
            return;
        }
        let (addr, zone) = (self.workers[i].addr, self.workers[i].zone);
        self.workers[i].ended_at = Some(self.now);
        if self.by_addr.get(&addr) == Some(&i) {
            self.by_addr.remove(&addr);
        }
        let under = |s: &WorkerAttempt| s.open && s.connected_worker == Some(i);
        let all: Vec<u64> = (0..self.worker_attempts.len() as u64)
            .filter(|s| under(&self.worker_attempts[*s as usize]))
            .collect();
        for s in all {
            let at =
                self.now + self.delay(zone, self.nodes[self.worker_attempts[s as usize].node].zone);
            self.push(at, SimEvent::FromWorker(s, WorkerMessage::Reset));
        }
    }
}
