//! A simulation of many nodes with a balancer each, and some workers, in virtual time.

use super::measures::Rand;
use super::workload::{Backend, Flow};
use super::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SimEvent {
    Arrival(usize),
    Received(usize, RequestId, u32),
    Head(usize, RequestId, u32),
    End(usize, RequestId, u32),
    Wake(usize),
    Break(usize, RequestId, u32),
    Recheck(usize, RequestId),
    SlotFreed(u32),
    WorkerRegistry,
}

pub struct Simulation {
    pub nodes: Vec<Balancer>,
    /// Offset of each node's clock from simulated time, in ms.
    pub clock_offsets: Vec<u64>,
    pub region: Vec<u8>,
    pub registered: Vec<Worker>,
    pub backends: Vec<Backend>,
    pub flows: Vec<Flow>,
    pub rand: Rand,
    pub now: u64,
    events: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    sequence: u64,
    /// By node and request: attempts received, prompt segments, stream duration in ms.
    in_progress: BTreeMap<(usize, RequestId), (u32, Vec<PromptSegment>, u64)>,
    pub requests: Vec<u64>,
    pub retries: Vec<u64>,
    pub served: u64,
    pub rejected: u64,
    /// Tokens of shared segments sent, those prefilled, and those prefilled more than once.
    pub shared_tokens: u64,
    pub prefill_tokens: u64,
    pub recomputed_tokens: u64,
    pub first_event_ms: Vec<u64>,
    prefilled: HashSet<u64>,
    waiting: HashSet<(usize, RequestId)>,
    pub round_robin: bool,
    rotation: usize,
}

const STEP_MS: f64 = 0.02;

impl Simulation {
    pub fn new(n: usize, seed: u64, hosted: Arc<Hosted>, registered: Vec<Worker>) -> Simulation {
        let mut rand = Rand(seed * 2 + 1);
        let zones: Vec<u16> = (0..n).map(|i| (i % 3) as u16).collect();
        let names: Vec<(String, u16)> = (0..n).map(|i| (format!("n{i}"), zones[i])).collect();
        let clock_offsets: Vec<u64> = (0..n).map(|_| rand.below(1_000_000)).collect();
        let nodes = (0..n)
            .map(|i| {
                let mut t = Balancer::new(locality(&names[i].0, zones[i]), site_limits(), seed);
                t.apply_configuration(hosted.clone(), clock_offsets[i]);
                t.update_nodes(names.clone());
                t.update_registry(&registry(1, registered.clone()), clock_offsets[i]);
                t
            })
            .collect();
        let backends = registered
            .iter()
            .map(|w| Backend {
                slots: w.slots,
                ..Backend::default()
            })
            .collect();
        Simulation {
            nodes,
            clock_offsets,
            region: zones.iter().map(|z| REGIONS[*z as usize]).collect(),
            registered,
            backends,
            flows: Vec::new(),
            rand,
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            in_progress: BTreeMap::new(),
            requests: Vec::new(),
            retries: Vec::new(),
            served: 0,
            rejected: 0,
            shared_tokens: 0,
            prefill_tokens: 0,
            recomputed_tokens: 0,
            first_event_ms: Vec::new(),
            prefilled: HashSet::new(),
            waiting: HashSet::new(),
            round_robin: false,
            rotation: 0,
        }
    }

    pub fn schedule(&mut self, at: u64, event: SimEvent) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    /// Runs until `end`; calls `on_registry_event` at `WorkerRegistry` events.
    pub fn run(&mut self, end: u64, mut on_registry_event: impl FnMut(&mut Simulation)) {
        for flow in 0..self.flows.len() {
            let at = self.flows[flow].from + self.rand.below(20);
            self.schedule(at, SimEvent::Arrival(flow));
        }
        for i in 0..self.nodes.len() {
            self.schedule(0, SimEvent::Wake(i));
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            match event {
                SimEvent::Arrival(flow) => self.arrive(flow),
                SimEvent::Received(n, r, w) => self.receive(n, r, w),
                SimEvent::Head(n, r, w) => {
                    let backend = &self.backends[w as usize];
                    let load = Some(backend.load());
                    let slow_start_ms = None;
                    self.record_outcome(
                        n,
                        r,
                        AttemptOutcome::HeadReceived {
                            load,
                            slow_start_ms,
                        },
                    );
                    self.record_outcome(n, r, AttemptOutcome::FirstEvent);
                }
                SimEvent::End(n, r, w) => {
                    self.record_outcome(n, r, AttemptOutcome::Completed(200));
                    self.finish_request(n, r);
                    self.served += 1;
                    self.free_slot(w);
                }
                SimEvent::Break(n, r, w) => {
                    self.record_outcome(n, r, AttemptOutcome::Failed);
                    self.free_slot(w);
                    self.decide(n, r);
                }
                SimEvent::Wake(n) => {
                    let t = self.clock(n);
                    for r in self.nodes[n].take_ready(t) {
                        self.decide(n, r);
                    }
                    self.schedule(at + 10, SimEvent::Wake(n));
                }
                SimEvent::Recheck(n, r) if self.waiting.contains(&(n, r)) => self.decide(n, r),
                SimEvent::Recheck(..) => {}
                SimEvent::SlotFreed(w) => self.free_slot(w),
                SimEvent::WorkerRegistry => on_registry_event(self),
            }
        }
    }

    /// Restarts a node: it loses its state and its requests.
    pub fn restart(&mut self, n: usize, hosted: Arc<Hosted>) {
        let t = self.clock(n);
        let zone = (n % 3) as u16;
        let mut balancer = Balancer::new(locality(&format!("n{n}"), zone), site_limits(), t);
        balancer.apply_configuration(hosted, t);
        let all = 0..self.nodes.len();
        balancer.update_nodes(all.map(|i| (format!("n{i}"), (i % 3) as u16)).collect());
        balancer.update_registry(&registry(1, self.registered.clone()), t);
        self.nodes[n] = balancer;
        self.in_progress.retain(|k, _| k.0 != n);
        self.waiting.retain(|k| k.0 != n);
        self.backends
            .iter_mut()
            .for_each(|backend| backend.queue.retain(|q| q.0 != n));
        let events = std::mem::take(&mut self.events).into_iter();
        self.events = events
            .filter_map(|Reverse((at, sequence, event))| {
                let event = match event {
                    SimEvent::Received(i, ..) | SimEvent::Head(i, ..) | SimEvent::Recheck(i, _)
                        if i == n =>
                    {
                        return None
                    }
                    SimEvent::End(i, _, w) | SimEvent::Break(i, _, w) if i == n => {
                        SimEvent::SlotFreed(w)
                    }
                    event => event,
                };
                Some(Reverse((at, sequence, event)))
            })
            .collect();
    }

    pub fn clock(&self, n: usize) -> u64 {
        self.now + self.clock_offsets[n]
    }

    fn record_outcome(&mut self, n: usize, r: RequestId, outcome: AttemptOutcome) {
        let t = self.clock(n);
        self.nodes[n].record_outcome(r, outcome, t);
    }

    fn finish_request(&mut self, n: usize, r: RequestId) {
        let t = self.clock(n);
        self.nodes[n].finish(r, t);
        self.in_progress.remove(&(n, r));
    }

    fn arrive(&mut self, flow: usize) {
        let flow_settings = self.flows[flow].clone();
        let n = self.rand.below(self.nodes.len() as u64) as usize;
        let mut segments = Vec::new();
        if flow_settings.shared_tokens > 0 {
            let id = self.rand.below(flow_settings.prefixes) + 1 + (flow as u64) * 1_000_000;
            // segments differ in size, but a segment always has the same size
            let tokens = flow_settings.shared_tokens / 2
                + (id * 7919 % u64::from(flow_settings.shared_tokens)) as u32;
            segments.push((id, tokens));
        }
        if flow_settings.own_tokens > 0 {
            segments.push((self.rand.next() | 1 << 40, flow_settings.own_tokens));
        }
        let t = self.clock(n);
        self.requests.push(self.now);
        let request_metadata = metadata(&segments);
        let segments = request_metadata.prompt_segments.clone();
        let r = self.nodes[n]
            .begin("h", flow_settings.path, request_metadata, t, t)
            .unwrap();
        self.in_progress
            .insert((n, r), (0, segments, flow_settings.stream_ms));
        self.decide(n, r);
        let mean_gap_ms = 1000.0 / flow_settings.per_s;
        let next = self.now as f64 + mean_gap_ms * (self.rand.below(2000) as f64 / 1000.0);
        if next < flow_settings.to as f64 {
            let at = (next + self.rand.below(1000) as f64 / 1000.0) as u64;
            self.schedule(at, SimEvent::Arrival(flow));
        }
    }

    fn decide(&mut self, n: usize, r: RequestId) {
        let t = self.clock(n);
        self.waiting.remove(&(n, r));
        match self.nodes[n].decide(r, t) {
            Decision::Send(g) => {
                let mut w = g.endpoint_index;
                if self.round_robin {
                    w = loop {
                        self.rotation += 1;
                        let i = self.rotation % self.registered.len();
                        if self.registered[i].region == self.region[n] {
                            break i as u32;
                        }
                    };
                }
                if self
                    .rand
                    .chance(self.backends[w as usize].connect_failure_chance)
                {
                    self.record_outcome(n, r, AttemptOutcome::ConnectFailed);
                    return self.decide(n, r);
                }
                let cross_region = self.registered[w as usize].region != self.region[n];
                let latency_ms = 1 + self.rand.below(3) + if cross_region { 35 } else { 0 };
                self.schedule(self.now + latency_ms, SimEvent::Received(n, r, w));
            }
            Decision::Wait(ms) => {
                self.waiting.insert((n, r));
                self.schedule(self.now + ms, SimEvent::Recheck(n, r));
            }
            Decision::Reject(..) => {
                self.rejected += 1;
                self.finish_request(n, r);
            }
        }
    }

    fn receive(&mut self, n: usize, r: RequestId, w: u32) {
        let now = self.now;
        let Some(entry) = self.in_progress.get_mut(&(n, r)) else {
            return;
        };
        entry.0 += 1;
        if entry.0 > 1 {
            self.retries.push(now);
        }
        let (segments, stream_ms) = (entry.1.clone(), entry.2);
        let backend = &mut self.backends[w as usize];
        backend.arrivals.push(now);
        if self.rand.chance(backend.reject_chance) || backend.queue.len() as u32 > 2 * backend.slots
        {
            let load = Some(backend.load());
            self.record_outcome(n, r, AttemptOutcome::Rejected(load));
            return self.decide(n, r);
        }
        if self.rand.chance(backend.failure_chance) {
            backend.running += 1;
            return self.schedule(now + 30, SimEvent::Break(n, r, w));
        }
        let mut tokens = 0;
        let mut cached = true;
        for (i, p) in segments.iter().enumerate() {
            let shared_tokens = i + 1 < segments.len();
            cached &= backend.cached_segments.contains(&p.id);
            if shared_tokens {
                self.shared_tokens += u64::from(p.tokens);
            }
            if !cached {
                tokens += p.tokens;
                backend.cached_segments.insert(p.id);
                if shared_tokens {
                    self.prefill_tokens += u64::from(p.tokens);
                    if !self.prefilled.insert(p.id) {
                        self.recomputed_tokens += u64::from(p.tokens);
                    }
                }
            }
        }
        let prefill_tokens = (f64::from(tokens) * STEP_MS) as u64;
        match backend.running < backend.slots {
            true => self.start(n, r, w, prefill_tokens, stream_ms, now),
            false => backend.queue.push_back((n, r, prefill_tokens, stream_ms)),
        }
    }

    fn start(
        &mut self,
        n: usize,
        r: RequestId,
        w: u32,
        prefill_tokens: u64,
        stream_ms: u64,
        arrived_at: u64,
    ) {
        let now = self.now;
        let backend = &mut self.backends[w as usize];
        backend.running += 1;
        backend.reader_free = backend.reader_free.max(now) + prefill_tokens;
        let first_event_at = backend.reader_free + 20;
        self.first_event_ms.push(first_event_at - arrived_at);
        self.schedule(first_event_at, SimEvent::Head(n, r, w));
        self.schedule(first_event_at + stream_ms, SimEvent::End(n, r, w));
    }

    fn free_slot(&mut self, w: u32) {
        let backend = &mut self.backends[w as usize];
        backend.running -= 1;
        if let Some((n, r, prefill_tokens, stream_ms)) = backend.queue.pop_front() {
            let now = self.now;
            self.start(n, r, w, prefill_tokens, stream_ms, now);
        }
    }

    pub fn first_event_percentile(&mut self, share: f64) -> u64 {
        self.first_event_ms.sort_unstable();
        let i = (self.first_event_ms.len() as f64 * share) as usize;
        self.first_event_ms.get(i).copied().unwrap_or(0)
    }
}
