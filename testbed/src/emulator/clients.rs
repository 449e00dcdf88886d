//! Clients: the requests they send, their time-outs and their retries.

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
    /// Events received, when the first and the last came, and the longest gap.
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
    /// The attempt resumes the stream behind this event.
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
    /// Arrivals a second in a zone: now, and at most.
    fn rate(&self, z: usize) -> (f64, f64) {
        let m = &self.mix;
        let all = |f: &dyn Fn(usize) -> f64| -> f64 {
            let c = m.classes.iter().enumerate();
            c.map(|(i, c)| c.per_s * f(i)).sum::<f64>() * m.load * m.share[z]
        };
        let t = self.now as f64 / 1e6 / m.period_s.max(1.0) + f64::from(m.zones[z]) * 0.5;
        let wave = 1.0 + m.swing * (t * std::f64::consts::TAU).sin();
        let top = all(&|_| 8.0) * (1.0 + m.swing);
        (all(&|i| self.rate_factors[i]) * wave, top)
    }

    pub(super) fn next_arrival(&mut self, z: usize) {
        let (rate, top) = self.rate(z);
        if self.now >= self.arrivals_end() || top <= 0.0 {
            return;
        }
        if unit(&mut self.arrival_rng) * top < rate {
            self.new_request(z);
        }
        let gap = -unit(&mut self.arrival_rng).ln() / top;
        self.push(self.now + micros(gap * 1000.0), SimEvent::NextArrival(z));
    }

    fn new_request(&mut self, z: usize) {
        let m = self.mix.clone();
        let weight = |i: usize| m.classes[i].per_s * self.rate_factors[i];
        let all: f64 = (0..m.classes.len()).map(weight).sum();
        let mut at = unit(&mut self.arrival_rng) * all;
        let class = (0..m.classes.len()).find(|i| {
            at -= weight(*i);
            at <= 0.0
        });
        let class = class.unwrap_or(0);
        let c = &m.classes[class];
        let stream = c.kind == "stream";
        let prompt_segments = match stream {
            true => self.draw_prompt(class, c),
            false => Vec::new(),
        };
        let events = match stream {
            true => (c.events.sample(&mut self.arrival_rng).round() as u32).max(1),
            false => 1,
        };
        let i = self.client_requests.len();
        self.client_requests.push(ClientRequest {
            class,
            zone: self.zone_redirects[z],
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
        // the deepest part decides, and those before it hang on it
        let n = c.parts.last().map_or(0, |p| p.things.max(1));
        if let Some(p) = c.parts.last() {
            let u = unit(&mut self.arrival_rng);
            let x = u.powf(1.0 / (1.0 - p.skew.min(0.9)));
            item = ((x * f64::from(n)) as u64).min(u64::from(n) - 1);
        }
        for (level, p) in c.parts.iter().enumerate() {
            let at = item % u64::from(p.things.max(1));
            let id = (class as u64 + 1) << 56 | (level as u64 + 1) << 48 | at;
            let mut own = Rand::new(id);
            let tokens = p.tokens.sample(&mut own).max(1.0) as u32;
            out.push(PromptSegment { id, tokens });
        }
        let tokens = c.own.sample(&mut self.arrival_rng).max(1.0) as u32;
        let id = 1 << 60 | self.client_requests.len() as u64;
        out.push(PromptSegment { id, tokens });
        out
    }

    /// A random node of the directory, as near to the zone as possible.
    fn choose_node(&mut self, z: usize, but: &[usize]) -> Option<usize> {
        let m = &self.mix;
        let fit = |near: u8| {
            let f = |n: &&usize| {
                let x = &self.nodes[**n];
                !but.contains(n)
                    && match near {
                        0 => usize::from(x.zone) == z,
                        1 => x.region == m.zones[z],
                        _ => true,
                    }
            };
            self.ready.iter().filter(f).copied().collect::<Vec<_>>()
        };
        let all = (0..3).map(fit).find(|v| !v.is_empty())?;
        Some(all[self.rng.below(all.len() as u64) as usize])
    }

    fn start_attempt(&mut self, i: usize) {
        let (z, class) = (self.client_requests[i].zone, self.client_requests[i].class);
        let deadline =
            self.client_requests[i].arrived_at + micros(self.mix.classes[class].deadline_ms as f64);
        let mut failed = Vec::new();
        let mut at = self.now + micros(self.mix.client_ms);
        let node = loop {
            let Some(n) = self.choose_node(z, &failed) else {
                self.client_requests[i].end = Some(RequestEnd::Failed);
                return;
            };
            if self.nodes[n].up {
                break n;
            }
            // nothing listens there, so the connection is refused at once
            failed.push(n);
            at += 2 * micros(self.mix.client_ms);
        };
        self.client_requests[i].attempts += 1;
        let t = self.client_attempts.len();
        let resumed_after = self.client_requests[i].events_received;
        self.client_attempts.push(ClientAttempt {
            request_index: i,
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
        self.push(at, SimEvent::RequestArrived(node, incarnation, t));
        let after = self.silence_limit(t).min(deadline);
        self.push(after, SimEvent::ClientTimeout(t));
    }

    /// When the client times out without another event.
    fn silence_limit(&self, t: usize) -> Micros {
        let tr = &self.client_attempts[t];
        let c = &self.mix.classes[self.client_requests[tr.request_index].class];
        let ms = match c.kind.as_str() {
            "stream" => 2000.max(4 * c.aim_ms).max(8 * c.gap_ms),
            _ => 1 << 32,
        };
        tr.last_message_at + micros(ms as f64)
    }

    pub(super) fn client_timeout(&mut self, t: usize) {
        let tr = &self.client_attempts[t];
        if tr.ended {
            return;
        }
        let at = self.silence_limit(t).min(tr.deadline);
        if self.now < at {
            return self.push(at, SimEvent::ClientTimeout(t));
        }
        let (n, incarnation) = (tr.node, tr.incarnation);
        self.check_never_sent(t);
        self.client_attempts[t].ended = true;
        let gone = self.now + micros(self.mix.client_ms);
        self.push(gone, SimEvent::ClientDisconnected(n, incarnation, t));
        self.retry_or_end(t, false, 0);
    }

    /// Retries after a backoff if that is safe and in time.
    fn retry_or_end(&mut self, t: usize, rejected: bool, retry_after_ms: u64) {
        let i = self.client_attempts[t].request_index;
        let c = &self.mix.classes[self.client_requests[i].class];
        let deadline = self.client_attempts[t].deadline;
        let left = deadline.saturating_sub(self.now);
        let backoff = (retry_after_ms * 1000).min(left / 3).max(1000);
        let may = rejected || c.repeatable();
        if may && self.client_requests[i].attempts <= c.tries && left > 2 * backoff {
            return self.call_at(self.now + backoff, move |w| w.start_attempt(i));
        }
        self.client_requests[i].end = Some(match rejected {
            true => RequestEnd::Rejected,
            false => RequestEnd::Failed,
        });
    }

    pub(super) fn client_receives(&mut self, t: usize, m: ClientMessage) {
        if self.client_attempts[t].ended {
            return;
        }
        let now = self.now;
        let i = self.client_attempts[t].request_index;
        self.client_attempts[t].last_message_at = now;
        match m {
            ClientMessage::Event(number, _) => {
                if number != self.client_attempts[t].events_received + 1 {
                    let events_received = self.client_attempts[t].events_received;
                    self.violations
                        .insert(format!("ORDER: event {number} after {events_received}"));
                }
                self.client_attempts[t].events_received = number;
                let a = &mut self.client_requests[i];
                match a.first_event_at {
                    Some(_) => a.max_gap = a.max_gap.max(now - a.last_event_at),
                    None => a.first_event_at = Some(now),
                }
                (a.events_received, a.last_event_at) = (number, now);
            }
            ClientMessage::End => {
                self.client_attempts[t].ended = true;
                let a = &mut self.client_requests[i];
                let stream = self.mix.classes[a.class].kind == "stream";
                if stream && a.events_received != a.events {
                    let s = format!("ORDER: ended after {} of {}", a.events_received, a.events);
                    self.violations.insert(s);
                }
                a.first_event_at.get_or_insert(now);
                a.end = Some(RequestEnd::Served(now));
            }
            ClientMessage::Answer(status, retry_after_ms) => {
                self.client_attempts[t].ended = true;
                let rejected = matches!(status, 503 | 429);
                self.client_attempts[t].rejected = rejected;
                self.check_status(t, status);
                if matches!(status, 400..=404) {
                    self.client_requests[i].end = Some(RequestEnd::Failed);
                    return;
                }
                self.retry_or_end(t, rejected, retry_after_ms);
            }
            ClientMessage::Cut => {
                self.client_attempts[t].ended = true;
                self.retry_or_end(t, false, 0);
            }
        }
    }
}
