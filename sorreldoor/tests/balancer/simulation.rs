//! A simulation of many nodes with one balancer each, and workers, in virtual time.

use super::measures::XorShift64;
use super::workload::{Backend, Flow};
use super::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet};

/// An event of the simulation. The numbers are the node, the request at that node
/// and the worker, unless stated otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SimEvent {
    /// A request of the flow with this index arrives at a random node.
    Arrival(usize),
    /// The worker receives an attempt.
    Received(usize, RequestId, u32),
    /// The worker sends the response head and the first event.
    Head(usize, RequestId, u32),
    /// The response is complete.
    End(usize, RequestId, u32),
    /// The node decides again on the waiting requests that are ready.
    Wake(usize),
    /// The attempt fails while it runs.
    Break(usize, RequestId, u32),
    /// The delay of a waiting request has elapsed.
    Recheck(usize, RequestId),
    /// A slot of the worker becomes free.
    SlotFreed(u32),
    /// The test acts on the simulation, by the callback of [`Simulation::run`].
    TestAction,
}

pub struct Simulation {
    pub nodes: Vec<Balancer>,
    /// Offset of each node's clock from simulated time, in ms.
    pub clock_offsets: Vec<u64>,
    pub region: Vec<u8>,
    pub registered: Vec<Worker>,
    pub backends: Vec<Backend>,
    pub flows: Vec<Flow>,
    pub rand: XorShift64,
    pub now: u64,
    events: BinaryHeap<Reverse<(u64, u64, SimEvent)>>,
    sequence: u64,
    /// By node and request: attempts received, prompt segments, stream duration in ms.
    in_progress: BTreeMap<(usize, RequestId), (u32, Vec<PromptSegment>, u64)>,
    /// Arrival times of requests, and times at which workers received retries, in ms.
    pub requests: Vec<u64>,
    pub retries: Vec<u64>,
    pub served: u64,
    pub rejected: u64,
    /// Tokens of shared segments: all sent, those prefilled, and those prefilled more
    /// than once.
    pub shared_tokens: u64,
    pub prefill_tokens: u64,
    pub recomputed_tokens: u64,
    pub first_event_ms: Vec<u64>,
    prefilled: HashSet<u64>,
    waiting: HashSet<(usize, RequestId)>,
    /// Replaces the workers that the balancers choose by round robin within a region.
    pub round_robin: bool,
    rotation: usize,
}

const PREFILL_MS_PER_TOKEN: f64 = 0.02;

impl Simulation {
    pub fn new(
        count: usize,
        seed: u64,
        hosted: Arc<Hosted>,
        registered: Vec<Worker>,
    ) -> Simulation {
        let mut rand = XorShift64(seed * 2 + 1);
        let zones: Vec<u16> = (0..count).map(|i| (i % 3) as u16).collect();
        let names: Vec<(String, u16)> = (0..count).map(|i| (format!("n{i}"), zones[i])).collect();
        let clock_offsets: Vec<u64> = (0..count).map(|_| rand.below(1_000_000)).collect();
        let nodes = (0..count)
            .map(|i| {
                let mut balancer =
                    Balancer::new(locality(&names[i].0, zones[i]), site_limits(), seed);
                balancer.apply_configuration(hosted.clone(), clock_offsets[i]);
                balancer.update_nodes(names.clone());
                balancer.update_registry(&registry(1, registered.clone()), clock_offsets[i]);
                balancer
            })
            .collect();
        let backends = registered
            .iter()
            .map(|worker| Backend {
                slots: worker.slots,
                ..Backend::default()
            })
            .collect();
        Simulation {
            nodes,
            clock_offsets,
            region: zones.iter().map(|zone| REGIONS[*zone as usize]).collect(),
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

    /// Runs until `end`; calls `on_test_action` at each `TestAction` event.
    pub fn run(&mut self, end: u64, mut on_test_action: impl FnMut(&mut Simulation)) {
        for flow in 0..self.flows.len() {
            let at = self.flows[flow].start_ms + self.rand.below(20);
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
                SimEvent::Received(node, request, worker) => self.receive(node, request, worker),
                SimEvent::Head(node, request, worker) => {
                    let backend = &self.backends[worker as usize];
                    let load = Some(backend.load());
                    let slow_start_ms = None;
                    self.record_outcome(
                        node,
                        request,
                        AttemptOutcome::HeadReceived {
                            load,
                            slow_start_ms,
                        },
                    );
                    self.record_outcome(node, request, AttemptOutcome::FirstEvent);
                }
                SimEvent::End(node, request, worker) => {
                    self.record_outcome(node, request, AttemptOutcome::Completed(200));
                    self.finish_request(node, request);
                    self.served += 1;
                    self.free_slot(worker);
                }
                SimEvent::Break(node, request, worker) => {
                    self.record_outcome(node, request, AttemptOutcome::Failed);
                    self.free_slot(worker);
                    self.decide(node, request);
                }
                SimEvent::Wake(node) => {
                    let time = self.clock(node);
                    for request in self.nodes[node].take_ready(time) {
                        self.decide(node, request);
                    }
                    self.schedule(at + 10, SimEvent::Wake(node));
                }
                SimEvent::Recheck(node, request) if self.waiting.contains(&(node, request)) => {
                    self.decide(node, request)
                }
                SimEvent::Recheck(..) => {}
                SimEvent::SlotFreed(worker) => self.free_slot(worker),
                SimEvent::TestAction => on_test_action(self),
            }
        }
    }

    /// Restarts a node, which loses its state and its requests.
    pub fn restart(&mut self, node: usize, hosted: Arc<Hosted>) {
        let time = self.clock(node);
        let zone = (node % 3) as u16;
        let mut balancer = Balancer::new(locality(&format!("n{node}"), zone), site_limits(), time);
        balancer.apply_configuration(hosted, time);
        let all = 0..self.nodes.len();
        balancer.update_nodes(all.map(|i| (format!("n{i}"), (i % 3) as u16)).collect());
        balancer.update_registry(&registry(1, self.registered.clone()), time);
        self.nodes[node] = balancer;
        self.in_progress.retain(|k, _| k.0 != node);
        self.waiting.retain(|key| key.0 != node);
        self.backends
            .iter_mut()
            .for_each(|backend| backend.queue.retain(|queued| queued.0 != node));
        let events = std::mem::take(&mut self.events).into_iter();
        self.events = events
            .filter_map(|Reverse((at, sequence, event))| {
                let event = match event {
                    SimEvent::Received(i, ..) | SimEvent::Head(i, ..) | SimEvent::Recheck(i, _)
                        if i == node =>
                    {
                        return None
                    }
                    SimEvent::End(i, _, worker) | SimEvent::Break(i, _, worker) if i == node => {
                        SimEvent::SlotFreed(worker)
                    }
                    event => event,
                };
                Some(Reverse((at, sequence, event)))
            })
            .collect();
    }

    pub fn clock(&self, node: usize) -> u64 {
        self.now + self.clock_offsets[node]
    }

    fn record_outcome(&mut self, node: usize, request: RequestId, outcome: AttemptOutcome) {
        let time = self.clock(node);
        self.nodes[node].record_outcome(request, outcome, time);
    }

    fn finish_request(&mut self, node: usize, request: RequestId) {
        let time = self.clock(node);
        self.nodes[node].finish(request, time);
        self.in_progress.remove(&(node, request));
    }

    fn arrive(&mut self, flow: usize) {
        let flow_settings = self.flows[flow].clone();
        let node = self.rand.below(self.nodes.len() as u64) as usize;
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
        let time = self.clock(node);
        self.requests.push(self.now);
        let request_metadata = metadata(&segments);
        let segments = request_metadata.prompt_segments.clone();
        let request = self.nodes[node]
            .begin("h", flow_settings.path, request_metadata, time, time)
            .unwrap();
        self.in_progress
            .insert((node, request), (0, segments, flow_settings.stream_ms));
        self.decide(node, request);
        let mean_gap_ms = 1000.0 / flow_settings.requests_per_s;
        let next = self.now as f64 + mean_gap_ms * (self.rand.below(2000) as f64 / 1000.0);
        if next < flow_settings.end_ms as f64 {
            let at = (next + self.rand.below(1000) as f64 / 1000.0) as u64;
            self.schedule(at, SimEvent::Arrival(flow));
        }
    }

    fn decide(&mut self, node: usize, request: RequestId) {
        let time = self.clock(node);
        self.waiting.remove(&(node, request));
        match self.nodes[node].decide(request, time) {
            Decision::Send(target) => {
                let mut worker = target.endpoint_index;
                if self.round_robin {
                    worker = loop {
                        self.rotation += 1;
                        let i = self.rotation % self.registered.len();
                        if self.registered[i].region == self.region[node] {
                            break i as u32;
                        }
                    };
                }
                if self
                    .rand
                    .chance(self.backends[worker as usize].connect_failure_chance)
                {
                    self.record_outcome(node, request, AttemptOutcome::ConnectFailed);
                    return self.decide(node, request);
                }
                let cross_region = self.registered[worker as usize].region != self.region[node];
                let latency_ms = 1 + self.rand.below(3) + if cross_region { 35 } else { 0 };
                self.schedule(
                    self.now + latency_ms,
                    SimEvent::Received(node, request, worker),
                );
            }
            Decision::Wait(ms) => {
                self.waiting.insert((node, request));
                self.schedule(self.now + ms, SimEvent::Recheck(node, request));
            }
            Decision::Reject(..) => {
                self.rejected += 1;
                self.finish_request(node, request);
            }
        }
    }

    fn receive(&mut self, node: usize, request: RequestId, worker: u32) {
        let now = self.now;
        let Some(entry) = self.in_progress.get_mut(&(node, request)) else {
            return;
        };
        entry.0 += 1;
        if entry.0 > 1 {
            self.retries.push(now);
        }
        let (segments, stream_ms) = (entry.1.clone(), entry.2);
        let backend = &mut self.backends[worker as usize];
        backend.arrivals.push(now);
        if self.rand.chance(backend.reject_chance) || backend.queue.len() as u32 > 2 * backend.slots
        {
            let load = Some(backend.load());
            self.record_outcome(node, request, AttemptOutcome::Rejected(load));
            return self.decide(node, request);
        }
        if self.rand.chance(backend.failure_chance) {
            backend.running += 1;
            return self.schedule(now + 30, SimEvent::Break(node, request, worker));
        }
        let mut tokens = 0;
        let mut cached = true;
        for (i, segment) in segments.iter().enumerate() {
            let is_shared = i + 1 < segments.len();
            cached &= backend.cached_segments.contains(&segment.id);
            if is_shared {
                self.shared_tokens += u64::from(segment.tokens);
            }
            if !cached {
                tokens += segment.tokens;
                backend.cached_segments.insert(segment.id);
                if is_shared {
                    self.prefill_tokens += u64::from(segment.tokens);
                    if !self.prefilled.insert(segment.id) {
                        self.recomputed_tokens += u64::from(segment.tokens);
                    }
                }
            }
        }
        let prefill_ms = (f64::from(tokens) * PREFILL_MS_PER_TOKEN) as u64;
        match backend.running < backend.slots {
            true => self.start(node, request, worker, prefill_ms, stream_ms, now),
            false => backend
                .queue
                .push_back((node, request, prefill_ms, stream_ms)),
        }
    }

    fn start(
        &mut self,
        node: usize,
        request: RequestId,
        worker: u32,
        prefill_ms: u64,
        stream_ms: u64,
        arrived_at: u64,
    ) {
        let now = self.now;
        let backend = &mut self.backends[worker as usize];
        backend.running += 1;
        backend.prefill_free_at = backend.prefill_free_at.max(now) + prefill_ms;
        let first_event_at = backend.prefill_free_at + 20;
        self.first_event_ms.push(first_event_at - arrived_at);
        self.schedule(first_event_at, SimEvent::Head(node, request, worker));
        self.schedule(
            first_event_at + stream_ms,
            SimEvent::End(node, request, worker),
        );
    }

    fn free_slot(&mut self, worker: u32) {
        let backend = &mut self.backends[worker as usize];
        backend.running -= 1;
        if let Some((node, request, prefill_ms, stream_ms)) = backend.queue.pop_front() {
            let now = self.now;
            self.start(node, request, worker, prefill_ms, stream_ms, now);
        }
    }

    pub fn first_event_percentile(&mut self, share: f64) -> u64 {
        self.first_event_ms.sort_unstable();
        let i = (self.first_event_ms.len() as f64 * share) as usize;
        self.first_event_ms.get(i).copied().unwrap_or(0)
    }
}
