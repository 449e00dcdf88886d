//! Emulated workers: accepting connections, queueing and running requests, replies.

use super::engine::{Engine, EngineEvent, Task};
use super::*;
use std::collections::VecDeque;

/// How a worker runs requests: in an inference engine, or one per slot from a queue.
pub(crate) enum Backend {
    Engine(Box<Engine>),
    Plain { running: u32, queue: VecDeque<u64> },
}

/// How a worker corrupts a response: a reset, or invalid bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AnswerFault {
    Lost,
    Garbled,
}

/// One worker process; a restart creates another entry.
pub(crate) struct EmulatedWorker {
    pub name: String,
    pub addr: SocketAddr,
    pub service_index: usize,
    pub zone: u16,
    pub region: u8,
    pub speed: f64,
    pub slots: u32,
    pub backend: Backend,
    pub ended_at: Option<Micros>,
    /// Sends nothing until this time.
    pub silent_until: Micros,
    pub overloaded_until: Micros,
    pub answer_fault: Option<(AnswerFault, f64, Micros)>,
    /// Spans of slow start.
    pub slow_start: Vec<(Micros, Micros)>,
    pub recent_arrivals: VecDeque<Micros>,
    pub conns: u32,
    /// In the worker registry.
    pub listed: bool,
    /// Draining since.
    pub leaving: Option<Micros>,
    /// The announced time of its end.
    pub leaves: Option<Micros>,
    /// No request may arrive after this time.
    pub closed_at: Option<Micros>,
}

impl World {
    pub(super) fn load(&self, i: usize) -> LoadReport {
        let w = &self.workers[i];
        match &w.backend {
            Backend::Engine(e) => LoadReport {
                running: e.running(),
                waiting: e.waiting(),
                slots: w.slots,
            },
            Backend::Plain { running, queue } => LoadReport {
                running: *running,
                waiting: queue.len() as u32,
                slots: w.slots,
            },
        }
    }

    pub(super) fn syn(&mut self, attempt_id: u64) {
        let s = &self.worker_attempts[attempt_id as usize];
        let (from, to) = (self.nodes[s.node].zone, s.zone);
        let Some(i) = self.by_addr.get(&s.addr).copied() else {
            let at = self.now + self.delay(from, to);
            return self.push(at, SimEvent::SynAck(attempt_id, false));
        };
        let w = &mut self.workers[i];
        if w.silent_until > self.now {
            return;
        }
        let max = self.mix.services[w.service_index].max_conns;
        self.worker_attempts[attempt_id as usize].connected_worker = Some(i);
        self.worker_attempts[attempt_id as usize].over_limit = w.conns >= max;
        w.conns += 1;
        let at = self.now + micros(1.0) + self.delay(from, to);
        self.push(at, SimEvent::SynAck(attempt_id, true));
    }

    /// A request arrives at a worker.
    pub(super) fn request_received(&mut self, attempt_id: u64) {
        let s = self.worker_attempts[attempt_id as usize].clone();
        let Some(i) = s.connected_worker else { return };
        if self.workers[i].ended_at.is_some() || s.over_limit {
            return self.reply(attempt_id, WorkerMessage::Reset);
        }
        if self.workers[i].silent_until > self.now || s.replies_stopped {
            return;
        }
        let misdirected = s.worker != i;
        self.arrivals.push(Arrival {
            sent: s.sent,
            at: self.now,
            node: s.node,
            worker: i,
            client_attempt: s.client_attempt,
            misdirected,
        });
        if misdirected {
            return self.reply(attempt_id, WorkerMessage::Misdirected);
        }
        self.statistics.count_arrival(
            self.nodes[s.node].zone == self.workers[i].zone,
            self.nodes[s.node].region == self.workers[i].region,
        );
        if self.overloads_slow_start(i) {
            return self.crash_worker(i, Some(2.0), false);
        }
        let m = self.mix.clone();
        let x = &m.services[self.workers[i].service_index];
        let load = self.load(i);
        let class = &m.classes
            [self.client_requests[self.client_attempts[s.client_attempt].request_index].class];
        let a = &self.client_requests[self.client_attempts[s.client_attempt].request_index];
        let tokens = a.events * x.engine.as_ref().map_or(1, |e| e.stride);
        let large = match &self.workers[i].backend {
            Backend::Engine(e) => e.exceeds_memory(&a.prompt_segments, tokens),
            _ => false,
        };
        if self.workers[i].overloaded_until > self.now || load.waiting >= x.queue || large {
            return self.reply(attempt_id, WorkerMessage::Rejected(load));
        }
        if let Some((k, share, until)) = self.workers[i].answer_fault {
            let hit = until > self.now && mix::unit(&mut self.rng) < share;
            self.worker_attempts[attempt_id as usize].answer_fault = hit.then_some(k);
        }
        match &mut self.workers[i].backend {
            Backend::Engine(e) => {
                let at = self.now + micros(e.mix.first_ms);
                self.push(at, SimEvent::EngineEnqueue(attempt_id));
            }
            Backend::Plain { running, queue } => {
                if *running >= x.slots {
                    queue.push_back(attempt_id);
                } else {
                    *running += 1;
                    self.start_plain(attempt_id, class.work_ms);
                }
            }
        }
    }

    /// Counts an arrival; true if the worker is in slow start and got so many requests in
    /// the last second that it crashes.
    fn overloads_slow_start(&mut self, i: usize) -> bool {
        let now = self.now;
        let w = &mut self.workers[i];
        let per_s = self.mix.services[w.service_index].warmup_per_s;
        w.recent_arrivals.push_back(now);
        while w
            .recent_arrivals
            .front()
            .is_some_and(|t| t + micros(1000.0) < now)
        {
            w.recent_arrivals.pop_front();
        }
        let slow_start = w.slow_start.iter().any(|(a, b)| (*a..*b).contains(&now));
        // well above the bound that the balancer must keep
        slow_start && per_s > 0.0 && w.recent_arrivals.len() as f64 > per_s * 2.5 + 10.0
    }

    fn start_plain(&mut self, attempt_id: u64, d: Distribution) {
        let s = &self.worker_attempts[attempt_id as usize];
        let (t, i) = (s.client_attempt, s.worker);
        self.record_run(t, attempt_id);
        let ms = d.sample(&mut self.rng) * self.workers[i].speed;
        let at = self.now + micros(ms);
        self.push(at, SimEvent::PlainWorkDone(attempt_id));
    }

    /// Records that a worker began to run an attempt.
    fn record_run(&mut self, t: usize, attempt_id: u64) {
        if !self.client_attempts[t].ran.contains(&attempt_id) {
            self.client_attempts[t].ran.push(attempt_id);
        }
    }

    /// Ends a request of a worker without an engine and starts the next one queued.
    pub(super) fn plain_work_done(&mut self, attempt_id: u64) {
        let s = self.worker_attempts[attempt_id as usize].clone();
        let i = s.worker;
        if self.workers[i].ended_at.is_some() {
            return;
        }
        let now = self.now;
        let Backend::Plain { running, queue } = &mut self.workers[i].backend else {
            return;
        };
        *running -= 1;
        let mut next = None;
        let mut expired = Vec::new();
        while let Some(n) = queue.pop_front() {
            match &self.worker_attempts[n as usize] {
                s if s.replies_stopped => {}
                s if s.deadline <= now => expired.push(n),
                _ => {
                    next = Some(n);
                    break;
                }
            }
        }
        *running += u32::from(next.is_some());
        let load = self.load(i);
        expired
            .into_iter()
            .for_each(|n| self.reply(n, WorkerMessage::Rejected(load)));
        if let Some(n) = next {
            let c = self.client_requests[self.client_attempts
                [self.worker_attempts[n as usize].client_attempt]
                .request_index]
                .class;
            self.start_plain(n, self.mix.classes[c].work_ms);
        }
        if s.deadline <= now {
            return self.reply(attempt_id, WorkerMessage::TimedOut);
        }
        self.reply(attempt_id, WorkerMessage::Head(load));
        self.reply(attempt_id, WorkerMessage::End);
    }

    /// Adds a task to the engine's queue, and starts a step if the engine is idle.
    pub(super) fn enqueue_at_engine(&mut self, attempt_id: u64) {
        let s = self.worker_attempts[attempt_id as usize].clone();
        let i = s.worker;
        if s.replies_stopped || self.workers[i].ended_at.is_some() {
            return;
        }
        let a = &self.client_requests[self.client_attempts[s.client_attempt].request_index];
        let Backend::Engine(e) = &mut self.workers[i].backend else {
            return;
        };
        e.enqueue(Task {
            attempt_id,
            priority: s.priority,
            order: self.now << 20 | (attempt_id & 0xf_ffff),
            prompt_segments: a.prompt_segments.clone(),
            received: s.last_event * e.mix.stride,
            total: a.events * e.mix.stride,
            generated: 0,
            deadline: s.deadline,
        });
        if !e.stepping {
            self.plan(i);
        }
    }

    fn plan(&mut self, i: usize) {
        let w = &mut self.workers[i];
        let Backend::Engine(e) = &mut w.backend else {
            return;
        };
        let ms = e.plan_step();
        e.stepping = ms.is_some();
        if let Some(ms) = ms {
            let at = self.now + micros(ms * w.speed).max(1);
            self.push(at, SimEvent::EngineStep(i));
        }
    }

    pub(super) fn engine_step_done(&mut self, i: usize) {
        let now = self.now;
        let w = &mut self.workers[i];
        if w.ended_at.is_some() {
            return;
        }
        let Backend::Engine(e) = &mut w.backend else {
            return;
        };
        let (early, was) = (e.mix.early_head, e.preemptions);
        let outs = e.finish_step(now);
        self.statistics.preemptions += e.preemptions - was;
        let load = self.load(i);
        for o in outs {
            match o {
                EngineEvent::Admitted(attempt_id)
                    if early && !self.worker_attempts[attempt_id as usize].head_sent =>
                {
                    self.send_head(attempt_id, load);
                }
                EngineEvent::Admitted(_) => {}
                EngineEvent::FirstToken(attempt_id) => {
                    self.record_run(
                        self.worker_attempts[attempt_id as usize].client_attempt,
                        attempt_id,
                    );
                    if !self.worker_attempts[attempt_id as usize].head_sent {
                        self.send_head(attempt_id, load);
                    }
                }
                EngineEvent::Event(attempt_id, number, end) => {
                    self.reply(attempt_id, WorkerMessage::Event(number));
                    if end {
                        self.reply(attempt_id, WorkerMessage::End);
                    }
                }
                EngineEvent::Expired(attempt_id, began) if began => {
                    self.reply(attempt_id, WorkerMessage::TimedOut)
                }
                EngineEvent::Expired(attempt_id, _) => {
                    self.reply(attempt_id, WorkerMessage::Rejected(load))
                }
                EngineEvent::Prefilled(attempt_id, p) => self.record_prefill(attempt_id, i, p),
            }
        }
        self.plan(i);
    }

    fn send_head(&mut self, attempt_id: u64, load: LoadReport) {
        self.worker_attempts[attempt_id as usize].head_sent = true;
        self.reply(attempt_id, WorkerMessage::Head(load));
    }

    fn record_prefill(&mut self, attempt_id: u64, i: usize, p: sorreldoor::proxy::PromptSegment) {
        let a = &self.client_requests[self.client_attempts
            [self.worker_attempts[attempt_id as usize].client_attempt]
            .request_index];
        let shared = a.prompt_segments.last().is_some_and(|l| l.id != p.id);
        if shared
            && !self
                .prefilled_segments
                .insert((self.workers[i].service_index, p.id))
        {
            self.statistics.recomputed_tokens += u64::from(p.tokens);
        }
        self.statistics.prefill_tokens += u64::from(p.tokens);
    }

    /// Sends a message back on the request's connection.
    fn reply(&mut self, attempt_id: u64, message: WorkerMessage) {
        let s = &self.worker_attempts[attempt_id as usize];
        let node = s.node;
        let Some(i) = s.connected_worker else { return };
        if s.replies_stopped {
            return;
        }
        if self.workers[i].silent_until > self.now {
            // a dropped reply ends the response
            self.worker_attempts[attempt_id as usize].replies_stopped = true;
            return;
        }
        let message = match (s.answer_fault, message) {
            (
                Some(AnswerFault::Lost),
                WorkerMessage::Head(_) | WorkerMessage::Event(_) | WorkerMessage::End,
            ) => WorkerMessage::Reset,
            (
                Some(AnswerFault::Garbled),
                WorkerMessage::Head(_) | WorkerMessage::Event(_) | WorkerMessage::End,
            ) => WorkerMessage::Garbled,
            (_, message) => message,
        };
        let at = self.now + self.delay(self.workers[i].zone, self.nodes[node].zone);
        self.push(at, SimEvent::FromWorker(attempt_id, message));
    }

    /// Drops the work of an attempt whose connection the node has closed.
    pub(super) fn connection_closed(&mut self, attempt_id: u64) {
        self.worker_attempts[attempt_id as usize].replies_stopped = true;
        let s = self.worker_attempts[attempt_id as usize].clone();
        let Some(i) = s.connected_worker else { return };
        let w = &mut self.workers[i];
        w.conns = w.conns.saturating_sub(1);
        match &mut w.backend {
            Backend::Engine(e) if s.worker == i => e.cancel_task(attempt_id),
            Backend::Plain { queue, .. } => queue.retain(|q| *q != attempt_id),
            _ => {}
        }
    }
}
