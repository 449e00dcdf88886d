//! Clients: arrivals of requests, choice of a node, time-outs and retries.

use super::mix::{unit, ClassMix};
use super::*;
use sorreldoor::proxy::PromptSegment;

/// A request of a client, over all its attempts.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub class: usize,
    pub zone: usize,
    pub arrived_at: Micros,
    pub prompt_segments: Vec<PromptSegment>,
    pub events: u32,
    /// Events received, the times of the first and the last, and the longest gap.
    pub events_received: u32,
    pub first_event_at: Option<Micros>,
    pub last_event_at: Micros,
    pub max_gap: Micros,
    pub attempts: u32,
    pub end: Option<RequestEnd>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum RequestEnd {
    Served(Micros),
    Rejected,
    Failed,
}

/// One attempt of a client, under an id of its own.
#[derive(Clone, Debug)]
pub(crate) struct ClientAttempt {
    pub request_index: usize,
    pub node: usize,
    pub incarnation: u32,
    pub sent: Micros,
    pub deadline: Micros,
    /// The attempt resumes the stream after this event.
    pub resumed_after: u32,
    pub events_received: u32,
    pub last_message_at: Micros,
    pub ended: bool,
    pub rejected: bool,
    pub worker_attempts: u32,
    /// The worker attempts that ran.
    pub ran: Vec<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ClientMessage {
    /// An event, and the worker that sent it.
    Event(u32, usize),
    End,
    Answer(u16, u64),
    Cut,
}

impl World {
    /// Arrivals per second in a zone: the current rate, and an upper bound for thinning.
    fn rate(&self, z: usize) -> (f64, f64) {
        let m = &self.mix;
        let all = |f: &dyn Fn(usize) -> f64| -> f64 {
            let c = m.classes.iter().enumerate();
            c.map(|(i, c)| c.per_s * f(i)).sum::<f64>() * m.load * m.client_share[z]
        };
        let t = self.now as f64 / 1e6 / m.period_s.max(1.0) + f64::from(m.zones[z]) * 0.5;
        let wave = 1.0 + m.swing * (t * std::f64::consts::TAU).sin();
        let top = all(&|_| 8.0) * (1.0 + m.swing);
        (all(&|i| self.rate_factors[i]) * wave, top)
    }

    pub(super) fn next_arrival(&mut self, zone: usize) {
        let (rate, top) = self.rate(zone);
        if self.now >= self.arrivals_end() || top <= 0.0 {
            return;
        }
        if unit(&mut self.arrival_rng) * top < rate {
            self.new_request(zone);
        }
        let gap = -unit(&mut self.arrival_rng).ln() / top;
        self.push(self.now + micros(gap * 1000.0), SimEvent::NextArrival(zone));
    }

    fn new_request(&mut self, zone: usize) {
        let mix = self.mix.clone();
        let weight = |i: usize| mix.classes[i].per_s * self.rate_factors[i];
        let all: f64 = (0..mix.classes.len()).map(weight).sum();
        let mut at = unit(&mut self.arrival_rng) * all;
        let class = (0..mix.classes.len()).find(|i| {
            at -= weight(*i);
            at <= 0.0
        });
        let class = class.unwrap_or(0);
        let kind = &mix.classes[class];
        let stream = kind.kind == "stream";
        let prompt_segments = match stream {
            true => self.draw_prompt(class, kind),
            false => Vec::new(),
        };
        let events = match stream {
            true => (kind.events.sample(&mut self.arrival_rng).round() as u32).max(1),
            false => 1,
        };
        let i = self.client_requests.len();
        self.client_requests.push(ClientRequest {
            class,
            zone: self.zone_redirects[zone],
            arrived_at: self.now,
            prompt_segments,
            events,
            events_received: 0,
            first_event_at: None,
            last_event_at: self.now,
            max_gap: 0,
            attempts: 0,
            end: None,
        });
        self.start_attempt(i);
    }

    fn draw_prompt(&mut self, class: usize, c: &ClassMix) -> Vec<PromptSegment> {
        let mut out = Vec::new();
        let mut item = 0u64;
        // the choice of the last segment determines the segments before it
        let n = c.shared_segments.last().map_or(0, |p| p.distinct.max(1));
        if let Some(p) = c.shared_segments.last() {
            let u = unit(&mut self.arrival_rng);
            let x = u.powf(1.0 / (1.0 - p.skew.min(0.9)));
            item = ((x * f64::from(n)) as u64).min(u64::from(n) - 1);
        }
        for (level, p) in c.shared_segments.iter().enumerate() {
            let at = item % u64::from(p.distinct.max(1));
            let id = (class as u64 + 1) << 56 | (level as u64 + 1) << 48 | at;
            let mut own = Rand::new(id);
            let tokens = p.tokens.sample(&mut own).max(1.0) as u32;
            out.push(PromptSegment { id, tokens });
        }
        let tokens = c.own_tokens.sample(&mut self.arrival_rng).max(1.0) as u32;
        let id = 1 << 60 | self.client_requests.len() as u64;
        out.push(PromptSegment { id, tokens });
        out
    }

    /// A random node of the directory from the zone, else the region, else any;
    /// `None` if all are excluded.
    fn choose_node(&mut self, zone: usize, excluded: &[usize]) -> Option<usize> {
        let mix = &self.mix;
        let candidates = |distance: u8| {
            let f = |n: &&usize| {
                let x = &self.nodes[**n];
                !excluded.contains(n)
                    && match distance {
                        0 => usize::from(x.zone) == zone,
                        1 => x.region == mix.zones[zone],
                        _ => true,
                    }
            };
            self.ready.iter().filter(f).copied().collect::<Vec<_>>()
        };
        let all = (0..3).map(candidates).find(|v| !v.is_empty())?;
        Some(all[self.rng.below(all.len() as u64) as usize])
    }

    fn start_attempt(&mut self, request_index: usize) {
        let (zone, class) = (
            self.client_requests[request_index].zone,
            self.client_requests[request_index].class,
        );
        let deadline = self.client_requests[request_index].arrived_at
            + micros(self.mix.classes[class].deadline_ms as f64);
        let mut failed = Vec::new();
        let mut at = self.now + micros(self.mix.client_ms);
        let node = loop {
            let Some(n) = self.choose_node(zone, &failed) else {
                self.client_requests[request_index].end = Some(RequestEnd::Failed);
                return;
            };
            if self.nodes[n].up {
                break n;
            }
            // the connection is refused at once
            failed.push(n);
            at += 2 * micros(self.mix.client_ms);
        };
        self.client_requests[request_index].attempts += 1;
        let attempt_index = self.client_attempts.len();
        let resumed_after = self.client_requests[request_index].events_received;
        self.client_attempts.push(ClientAttempt {
            request_index,
            node,
            incarnation: self.nodes[node].incarnation,
            sent: self.now,
            deadline,
            resumed_after,
            events_received: resumed_after,
            last_message_at: self.now,
            ended: false,
            rejected: false,
            worker_attempts: 0,
            ran: Vec::new(),
        });
        let incarnation = self.nodes[node].incarnation;
        self.push(
            at,
            SimEvent::RequestArrived(node, incarnation, attempt_index),
        );
        let after = self.silence_limit(attempt_index).min(deadline);
        self.push(after, SimEvent::ClientTimeout(attempt_index));
    }

    /// When the client times out if no event arrives.
    fn silence_limit(&self, attempt_index: usize) -> Micros {
        let attempt = &self.client_attempts[attempt_index];
        let class = &self.mix.classes[self.client_requests[attempt.request_index].class];
        let ms = match class.kind.as_str() {
            "stream" => 2000.max(4 * class.aim_ms).max(8 * class.gap_ms),
            _ => 1 << 32,
        };
        attempt.last_message_at + micros(ms as f64)
    }

    pub(super) fn client_timeout(&mut self, attempt_index: usize) {
        let attempt = &self.client_attempts[attempt_index];
        if attempt.ended {
            return;
        }
        let at = self.silence_limit(attempt_index).min(attempt.deadline);
        if self.now < at {
            return self.push(at, SimEvent::ClientTimeout(attempt_index));
        }
        let (n, incarnation) = (attempt.node, attempt.incarnation);
        self.check_never_sent(attempt_index);
        self.client_attempts[attempt_index].ended = true;
        let gone = self.now + micros(self.mix.client_ms);
        self.push(
            gone,
            SimEvent::ClientDisconnected(n, incarnation, attempt_index),
        );
        self.retry_or_end(attempt_index, false, 0);
    }

    /// Retries after a backoff if a repeat is safe (`rejected`: it never ran) and the
    /// deadline allows it; otherwise the request ends.
    fn retry_or_end(&mut self, attempt_index: usize, rejected: bool, retry_after_ms: u64) {
        let request_index = self.client_attempts[attempt_index].request_index;
        let class = &self.mix.classes[self.client_requests[request_index].class];
        let deadline = self.client_attempts[attempt_index].deadline;
        let left = deadline.saturating_sub(self.now);
        let backoff = (retry_after_ms * 1000).min(left / 3).max(1000);
        let may_retry = rejected || class.repeatable();
        if may_retry
            && self.client_requests[request_index].attempts <= class.max_retries
            && left > 2 * backoff
        {
            return self.call_at(self.now + backoff, move |w| w.start_attempt(request_index));
        }
        self.client_requests[request_index].end = Some(match rejected {
            true => RequestEnd::Rejected,
            false => RequestEnd::Failed,
        });
    }

    pub(super) fn client_receives(&mut self, attempt_index: usize, m: ClientMessage) {
        if self.client_attempts[attempt_index].ended {
            return;
        }
        let now = self.now;
        let request_index = self.client_attempts[attempt_index].request_index;
        self.client_attempts[attempt_index].last_message_at = now;
        match m {
            ClientMessage::Event(number, _) => {
                if number != self.client_attempts[attempt_index].events_received + 1 {
                    let events_received = self.client_attempts[attempt_index].events_received;
                    self.violations
                        .insert(format!("ORDER: event {number} after {events_received}"));
                }
                self.client_attempts[attempt_index].events_received = number;
                let request = &mut self.client_requests[request_index];
                match request.first_event_at {
                    Some(_) => request.max_gap = request.max_gap.max(now - request.last_event_at),
                    None => request.first_event_at = Some(now),
                }
                (request.events_received, request.last_event_at) = (number, now);
            }
            ClientMessage::End => {
                self.client_attempts[attempt_index].ended = true;
                let request = &mut self.client_requests[request_index];
                let stream = self.mix.classes[request.class].kind == "stream";
                if stream && request.events_received != request.events {
                    let s = format!(
                        "ORDER: ended after {} of {}",
                        request.events_received, request.events
                    );
                    self.violations.insert(s);
                }
                request.first_event_at.get_or_insert(now);
                request.end = Some(RequestEnd::Served(now));
            }
            ClientMessage::Answer(status, retry_after_ms) => {
                self.client_attempts[attempt_index].ended = true;
                let rejected = matches!(status, 503 | 429);
                self.client_attempts[attempt_index].rejected = rejected;
                self.check_status(attempt_index, status);
                if matches!(status, 400..=404) {
                    self.client_requests[request_index].end = Some(RequestEnd::Failed);
                    return;
                }
                self.retry_or_end(attempt_index, rejected, retry_after_ms);
            }
            ClientMessage::Cut => {
                self.client_attempts[attempt_index].ended = true;
                self.retry_or_end(attempt_index, false, 0);
            }
        }
    }
}
