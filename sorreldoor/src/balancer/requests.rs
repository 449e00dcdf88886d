//! Requests under way, from their head to their end.

use super::endpoint::FULL;
use super::hash;
use super::health::Sign;
use super::state::Balancer;
use super::waits::Line;
use super::{AttemptOutcome, RequestId};
use crate::configuration::hosted;
use crate::error::ErrorCode;
use crate::proxy::attempt::{Event, Repeatability, RequestProgress};
use crate::proxy::{PromptSegment, RequestMetadata};
use crate::types::Millis;

/// A sending that has not come to its end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Sending {
    pub endpoint: u32,
    pub at: Millis,
    /// Parts that were thought kept there.
    pub hit: usize,
    /// Prompt tokens that it has to read.
    pub reading: u32,
    pub began: bool,
    pub trial: bool,
    /// It was booked as a further sending.
    pub booked: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Req {
    pub host: Box<str>,
    pub path: Box<str>,
    pub arrived: Millis,
    pub caller_ms: Option<u64>,
    pub parts: Box<[PromptSegment]>,
    pub tokens_in: u32,
    /// Route in the configuration of `edition`.
    pub route: Option<u32>,
    pub edition: u32,
    pub deadline: Millis,
    pub draw: u64,
    pub sending: Option<Sending>,
    /// Workers that it was meant for, and how many of them it reached.
    pub tried: Vec<u32>,
    pub sent: u32,
    /// Some sending arrived, or may have.
    pub arrived_once: bool,
    pub progress: RequestProgress,
    pub last: Option<ErrorCode>,
    pub waits: Option<(Line, super::waits::Rank)>,
    pub waited: bool,
}

impl Req {
    /// Parts that other requests may share: all but the last, which is the
    /// request's own or its session's; a single part may be a session's.
    pub fn shared(&self) -> &[PromptSegment] {
        match self.parts.len() {
            n if n > 1 => &self.parts[..n - 1],
            _ => &self.parts,
        }
    }

    /// What a prompt prefix is known by: the part that others share deepest.
    pub fn key(&self) -> Option<u64> {
        self.shared().last().map(|p| p.id)
    }
}

/// Requests by id; an id is never used again.
#[derive(Clone, Debug, Default)]
pub(super) struct Requests {
    rows: Vec<(u32, Option<Box<Req>>)>,
    free: Vec<u32>,
}

impl Requests {
    pub fn len(&self) -> usize {
        self.rows.len() - self.free.len()
    }

    fn put(&mut self, r: Req) -> RequestId {
        let i = self.free.pop().unwrap_or_else(|| {
            self.rows.push((0, None));
            self.rows.len() as u32 - 1
        });
        let row = &mut self.rows[i as usize];
        row.0 = row.0.wrapping_add(1);
        row.1 = Some(Box::new(r));
        u64::from(row.0) << 32 | u64::from(i)
    }

    pub fn get(&self, request_id: RequestId) -> Option<&Req> {
        let (life, r) = self.rows.get(request_id as u32 as usize)?;
        r.as_deref()
            .filter(|_| u64::from(*life) == request_id >> 32)
    }

    pub fn get_mut(&mut self, request_id: RequestId) -> Option<&mut Req> {
        let (life, r) = self.rows.get_mut(request_id as u32 as usize)?;
        let same = u64::from(*life) == request_id >> 32;
        r.as_deref_mut().filter(|_| same)
    }

    /// Takes it out for a while; `back` puts it where it was.
    pub fn lend(&mut self, request_id: RequestId) -> Option<Box<Req>> {
        self.get(request_id)?;
        self.rows[request_id as u32 as usize].1.take()
    }

    pub fn back(&mut self, request_id: RequestId, r: Box<Req>) {
        self.rows[request_id as u32 as usize].1 = Some(r);
    }

    fn take(&mut self, request_id: RequestId) -> Option<Box<Req>> {
        self.get(request_id)?;
        let i = request_id as u32;
        self.free.push(i);
        self.rows[i as usize].1.take()
    }
}

impl Balancer {
    /// A request came whole with its head; it counts for the budget from now
    /// on. `host` and `path` as the caller wrote them, times in milliseconds.
    pub fn begin(
        &mut self,
        host: &str,
        path: &str,
        asked: RequestMetadata,
        arrived: Millis,
        now: Millis,
    ) -> Result<RequestId, ErrorCode> {
        self.tick(now);
        let h = self.hosted.as_ref().ok_or(ErrorCode::NoConfiguration)?;
        let i = h.find(host, path).ok_or(ErrorCode::UnknownRoute)?;
        let r = Req {
            host: host.into(),
            path: path.into(),
            arrived,
            caller_ms: asked.deadline_ms,
            deadline: until(&h.routes[i as usize], asked.deadline_ms, arrived),
            tokens_in: asked.tokens_in,
            parts: asked.prompt_segments.into(),
            route: Some(i),
            edition: self.edition,
            draw: self.draw.next(),
            sending: None,
            tried: Vec::new(),
            sent: 0,
            arrived_once: false,
            progress: RequestProgress::new(Repeatability::from(&*h.routes[i as usize])),
            last: None,
            waits: None,
            waited: false,
        };
        let s = self.drawn(&r, &h.routes[i as usize], 0.0);
        if let Some((s, _)) = s {
            let v = &mut self.service_states[s as usize];
            v.budget.asked(&self.bounds, now);
            let shared: u32 = r.shared().iter().map(|p| p.tokens).sum();
            v.long_at = Some(now)
                .filter(|_| shared >= super::heavy::LONG_SHARED)
                .or(v.long_at);
        }
        self.counts.begun += 1;
        Ok(self.requests.put(r))
    }

    /// Its route in the configuration in force when it was last looked up.
    pub fn route(&self, request_id: RequestId) -> Option<&hosted::Route> {
        let r = self.requests.get(request_id)?;
        // an index means nothing in another configuration
        let i = match r.edition == self.edition {
            true => r.route?,
            false => self.hosted.as_ref()?.find(&r.host, &r.path)?,
        };
        self.hosted.as_ref()?.routes.get(i as usize).map(|r| &**r)
    }

    /// When it is no longer waited for, on the clock of `now`.
    pub fn deadline(&self, request_id: RequestId) -> Millis {
        self.requests.get(request_id).map_or(0, |r| r.deadline)
    }

    /// Looks its route up anew if the configuration has changed.
    pub(super) fn refind(&self, r: &mut Req, h: &hosted::Hosted) {
        if r.edition != self.edition {
            r.route = h.find(&r.host, &r.path);
            r.edition = self.edition;
            if let Some(i) = r.route {
                r.deadline = until(&h.routes[i as usize], r.caller_ms, r.arrived);
            }
        }
    }

    /// What came of the last sending of this request.
    pub fn record_outcome(&mut self, request_id: RequestId, h: AttemptOutcome, now: Millis) {
        self.tick(now);
        let Some(s) = self.requests.get(request_id).and_then(|r| r.sending) else {
            return;
        };
        if !matches!(
            h,
            AttemptOutcome::ConnectFailed | AttemptOutcome::Failed | AttemptOutcome::Canceled
        ) {
            self.record_activity(request_id, now);
        }
        match h {
            AttemptOutcome::HeadReceived { load, cold_ms } => {
                self.head(s.endpoint, load, cold_ms, now)
            }
            AttemptOutcome::FirstEvent => self.first(request_id, now),
            AttemptOutcome::Completed(status) => {
                self.done(request_id, s, status, now);
                self.close(request_id, true);
                self.note(request_id, Event::ResponseComplete, None);
            }
            AttemptOutcome::Rejected(load) => {
                self.head(s.endpoint, load, None, now);
                self.unread(request_id, s);
                self.close(request_id, true);
                if let Some(w) = &mut self.endpoints[s.endpoint as usize] {
                    w.full_until = now + FULL;
                }
                // an answer shows that it lives, however full
                self.sign(s, Sign::Good, now);
                self.note(request_id, Event::NotRun, Some(ErrorCode::NoWorker));
            }
            AttemptOutcome::Misdirected => {
                self.unread(request_id, s);
                self.close(request_id, true);
                let version = self.version;
                if let Some(w) = &mut self.endpoints[s.endpoint as usize] {
                    w.stale = Some(version);
                }
                self.note(request_id, Event::NotRun, Some(ErrorCode::GivenUp));
                // the worker it was meant for is gone, so none has had it
                if let Some(r) = self.requests.get_mut(request_id) {
                    r.sent = r.sent.saturating_sub(1);
                }
            }
            AttemptOutcome::ConnectFailed => {
                self.unread(request_id, s);
                self.close(request_id, false);
                self.never_left(request_id, s);
                self.sign(s, Sign::ConnectFailed, now);
                self.note(request_id, Event::ConnectFailed, Some(ErrorCode::GivenUp));
            }
            AttemptOutcome::Failed => {
                self.close(request_id, true);
                self.sign(s, Sign::Bad, now);
                self.note(request_id, Event::Closed, Some(ErrorCode::WorkerBroke));
            }
            AttemptOutcome::Canceled => {
                self.close(request_id, true);
                self.note(request_id, Event::Closed, None);
            }
        }
        self.let_go(s.endpoint);
    }

    fn note(&mut self, request_id: RequestId, event: Event, last: Option<ErrorCode>) {
        if let Some(r) = self.requests.get_mut(request_id) {
            r.progress.on(event);
            r.last = last;
        }
    }

    /// Something happened to a request that only its own progress depends on.
    pub fn record_event(&mut self, request_id: RequestId, event: Event) {
        if let Some(r) = self.requests.get_mut(request_id) {
            r.progress.on(event);
        }
    }

    /// How far a request has come.
    pub fn progress(&self, request_id: RequestId) -> Option<RequestProgress> {
        self.requests.get(request_id).map(|r| r.progress)
    }

    /// The sending ends; its place is free.
    fn close(&mut self, request_id: RequestId, arrived: bool) {
        let Some(r) = self.requests.get_mut(request_id) else {
            return;
        };
        let Some(s) = r.sending.take() else { return };
        r.arrived_once |= arrived;
        let Some(w) = &mut self.endpoints[s.endpoint as usize] else {
            return;
        };
        w.mine = w.mine.saturating_sub(1);
        w.unheard = w.unheard.filter(|_| w.mine > 0);
        if !s.began {
            w.reading = w.reading.saturating_sub(u64::from(s.reading));
        }
        if s.trial {
            w.health.trial = false;
        }
        let svc = w.service;
        self.waits.freed(svc);
    }

    /// Nothing reached the worker: it costs no budget and no try.
    fn never_left(&mut self, request_id: RequestId, s: Sending) {
        let b = &self.bounds;
        let Some(w) = &mut self.endpoints[s.endpoint as usize] else {
            return;
        };
        w.unsent(s.at);
        if s.booked {
            self.service_states[w.service as usize]
                .budget
                .unspent(b, s.at);
            self.counts.retried = self.counts.retried.saturating_sub(1);
        }
        if let Some(r) = self.requests.get_mut(request_id) {
            r.sent = r.sent.saturating_sub(1);
        }
    }

    /// The worker did not read the prompt after all.
    fn unread(&mut self, request_id: RequestId, s: Sending) {
        let Some(r) = self.requests.get(request_id) else {
            return;
        };
        if let Some(w) = &mut self.endpoints[s.endpoint as usize] {
            w.kept.forget(&r.parts[s.hit.min(r.parts.len())..]);
        }
    }

    /// The request is over, whatever became of it.
    pub fn finish(&mut self, request_id: RequestId, now: Millis) {
        self.tick(now);
        self.unwait(request_id);
        let at = self
            .requests
            .get(request_id)
            .and_then(|r| r.sending)
            .map(|s| s.endpoint);
        self.close(request_id, true);
        self.requests.take(request_id);
        if let Some(i) = at {
            self.let_go(i);
        }
    }

    pub(super) fn unwait(&mut self, request_id: RequestId) {
        let w = self
            .requests
            .get_mut(request_id)
            .and_then(|r| r.waits.take());
        if let Some((l, k)) = w {
            self.waits.drop(l, k);
        }
    }

    /// The requests that may find a place now, the most urgent first.
    pub fn take_ready(&mut self, now: Millis) -> Vec<RequestId> {
        self.tick(now);
        self.waits.take_ready(now)
    }
}

/// The caller's patience and the operator's, whichever ends first.
fn until(r: &hosted::Route, caller: Option<u64>, arrived: Millis) -> Millis {
    arrived + caller.unwrap_or(u64::MAX / 4).min(r.timeout_ms)
}

/// The order of weighted services for one draw: rendezvous by weights.
pub(super) fn weighted(draw: u64, service: u64, weight: u32) -> f64 {
    -hash::unit(hash::mix(draw, service)).ln() / f64::from(weight)
}
