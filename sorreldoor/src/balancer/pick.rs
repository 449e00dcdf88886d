//! Where a request goes now, whether it waits, or why it is not sent.

use super::endpoint::Endpoint;
use super::rank::{Choice, Offer};
use super::requests::{weighted, Req, Sending};
use super::state::Balancer;
use super::waits::{Line, Rank, TICK};
use super::{Decision, RequestId, Target};
use crate::configuration::hosted::{Hosted, Route};
use crate::error::ErrorCode;
use crate::proxy::attempt::{ClientAnswer, Event, Repeatability};
use crate::types::Millis;

/// With less time left nothing is sent any more, in milliseconds.
const TOO_LATE: Millis = 5;
/// A worker heard of within so many milliseconds is there.
const KNOWN: Millis = 200;
/// When to come back after a refusal, in milliseconds.
const AGAIN: (Millis, Millis) = (100, 400);

impl Balancer {
    /// The service next in this request's own order behind `after`, and its
    /// place in that order.
    pub(super) fn drawn(&self, r: &Req, route: &Route, after: f64) -> Option<(u32, f64)> {
        // one prefix must keep to one service, or it is read twice
        let draw = r.key().filter(|_| route.sticky).unwrap_or(r.draw);
        let all = route.split.iter().filter(|(_, w)| *w > 0);
        all.filter_map(|(c, w)| {
            let i = *self.service_index.get(*c as usize)?;
            Some((i, weighted(draw, self.service_states[i as usize].hash, *w)))
        })
        .filter(|(_, at)| *at > after)
        .min_by(|a, b| a.1.total_cmp(&b.1))
    }

    /// Decides on a request, under the configuration in force.
    pub fn pick(&mut self, request_id: RequestId, now: Millis) -> Decision {
        self.tick(now);
        self.unwait(request_id);
        if self
            .requests
            .get(request_id)
            .is_some_and(|r| r.sending.is_some())
        {
            // it may be at one worker only; the last sending has no word left
            self.record_outcome(request_id, super::AttemptOutcome::Canceled, now);
        }
        let (Some(h), Some(mut r)) = (self.hosted.clone(), self.requests.lend(request_id)) else {
            return Decision::Reject(ErrorCode::GivenUp, 0);
        };
        self.refind(&mut r, &h);
        let route = r.route.and_then(|i| h.routes.get(i as usize)).map(|r| &**r);
        let p = self.decide(request_id, &mut r, route, now);
        self.requests.back(request_id, r);
        self.counts.refused += u64::from(matches!(p, Decision::Reject(..)));
        p
    }

    fn decide(
        &mut self,
        request_id: RequestId,
        r: &mut Req,
        route: Option<&Route>,
        now: Millis,
    ) -> Decision {
        // without a route nothing says that it may run twice
        let kind = route.map_or(Repeatability::NonIdempotent, Repeatability::from);
        r.progress.on(Event::ConfigurationChanged(kind));
        if !r.progress.may_send() {
            return self.refuse(r, ErrorCode::Leaving, now);
        }
        let Some(route) = route else {
            return Decision::Reject(ErrorCode::UnknownRoute, 0);
        };
        if r.deadline < now + TOO_LATE {
            return self.refuse(r, ErrorCode::GivenUp, now);
        }
        let last = r.last.unwrap_or(ErrorCode::NoWorker);
        if r.sent >= route.attempts.max(1) {
            return self.refuse(r, last, now);
        }
        let Some((first, _)) = self.drawn(r, route, 0.0) else {
            return self.refuse(r, ErrorCode::NoWorker, now);
        };
        let homes = route.homes.iter().fold(0u64, |m, x| m | 1 << (x & 63));
        let line = (first, homes);
        let rank = (route.priority, r.arrived, request_id);
        let until = r.arrived + patience(route, r.arrived_once);
        let fresh = r.tried.is_empty();
        if fresh && now < until && self.waits.before(line, rank) {
            return self.wait(r, line, rank, until, now);
        }
        let (svc, o) = self.offers(r, route, now);
        let slack = self.slack(svc);
        let b = &self.bounds;
        if r.arrived_once && !self.service_states[svc as usize].budget.fits(b, slack, now) {
            return self.refuse(r, last, now);
        }
        if let Some(c) = o.best() {
            return self.go(r, svc, c, route, now);
        }
        if now < until {
            return self.wait(r, line, rank, until, now);
        }
        // a refusal while half the places are free is worse than a queue
        let queue = o.taken * 2.0 < o.slots;
        // what began must not end because it would have to wait
        if let Some(c) = o.full.filter(|_| queue || r.progress.may_have_run()) {
            return self.go(r, svc, c, route, now);
        }
        self.refuse(r, ErrorCode::NoWorker, now)
    }

    /// Whether a request that is at a worker could be taken up by another one:
    /// its route, its sendings so far, the budget and another worker's room
    /// allow it, and nothing was heard of its worker for `silent` ms.
    pub fn may_fail_over(&mut self, request_id: RequestId, silent: Millis, now: Millis) -> bool {
        let (Some(r), Some(h)) = (self.requests.lend(request_id), self.hosted.clone()) else {
            return false;
        };
        let yes = self.movable(&r, &h, silent, now);
        self.requests.back(request_id, r);
        yes
    }

    fn movable(&mut self, r: &Req, h: &Hosted, silent: Millis, now: Millis) -> bool {
        let route = r.route.filter(|_| r.edition == self.edition);
        let Some(route) = route.and_then(|i| h.routes.get(i as usize)) else {
            return false;
        };
        let spent = r.sent >= route.attempts.max(1) || !r.progress.may_run_twice();
        let late = r.deadline < now + TOO_LATE;
        let here = r
            .sending
            .and_then(|s| self.endpoints[s.endpoint as usize].as_ref());
        // a worker that speaks to others is slow, not gone
        let dead = |w: &Endpoint| silent == 0 || w.last_activity + silent <= now;
        let Some(w) = here.filter(|w| !spent && !late && dead(w.as_ref())) else {
            return false;
        };
        let svc = w.service;
        let slack = self.slack(svc);
        let fits = self.service_states[svc as usize]
            .budget
            .fits(&self.bounds, slack, now);
        fits && self.offers(r, route, now).1.best().is_some()
    }

    /// Something was heard of the worker that a request is at.
    pub fn record_activity(&mut self, request_id: RequestId, now: Millis) {
        let s = self.requests.get(request_id).and_then(|r| r.sending);
        if let Some(w) = s.and_then(|s| self.endpoints[s.endpoint as usize].as_mut()) {
            w.beat(now);
        }
    }

    fn wait(
        &mut self,
        r: &mut Req,
        line: Line,
        rank: Rank,
        until: Millis,
        now: Millis,
    ) -> Decision {
        self.counts.waited += u64::from(!std::mem::replace(&mut r.waited, true));
        // one that shuns a worker must not hold up those behind it
        if r.tried.is_empty() {
            r.waits = Some((line, rank));
            self.waits.put(line, rank, now);
        }
        Decision::Wait(until.saturating_sub(now).clamp(1, TICK))
    }

    /// The first service in the request's order that has workers for it.
    fn offers(&mut self, r: &Req, route: &Route, now: Millis) -> (u32, Offer) {
        let first = self.drawn(r, route, 0.0).map_or(0, |s| s.0);
        for out in [false, true] {
            let mut after = 0.0;
            while let Some((s, at)) = self.drawn(r, route, after) {
                let o = self.offer(s, r, route, out, now);
                if o.eligible > 0 {
                    return (s, o);
                }
                after = at;
            }
        }
        (first, Offer::default())
    }

    /// This node's part of the further sendings that need no requests.
    fn slack(&self, svc: u32) -> u32 {
        let s = self.bounds.retry_slack * super::budget::SAFE_SLACK;
        self.nodes.part(s, self.service_states[svc as usize].hash)
    }

    fn refuse(&mut self, r: &Req, p: ErrorCode, now: Millis) -> Decision {
        let p = match r.progress.client_answer() {
            ClientAnswer::Refused => p,
            ClientAnswer::GatewayTimeout => ErrorCode::DeadlinePassed,
            _ if r.progress.may_run_twice() => ErrorCode::WorkerBroke,
            _ => ErrorCode::OutcomeUnknown,
        };
        // callers heed it up to a third of the time that they have left
        let most = r.deadline.saturating_sub(now) / 3;
        let (lo, hi) = AGAIN;
        let at = lo + (self.draw.unit() * (hi - lo) as f64) as Millis;
        Decision::Reject(p, if p.again() { at.min(most) } else { 0 })
    }

    fn go(&mut self, r: &mut Req, svc: u32, c: Choice, route: &Route, now: Millis) -> Decision {
        let conf = self.conf(svc);
        let engine = conf.and_then(|s| s.engine);
        let conns = conf.map_or(1, |s| s.max_conns);
        let b = &self.bounds;
        let Some(w) = self.endpoints[c.endpoint as usize].as_mut() else {
            return Decision::Reject(ErrorCode::GivenUp, 0);
        };
        // what may run once goes out only where the worker is known to be
        let fresh = w.suspect(now) || (!route.repeatable() && now >= w.last_activity + KNOWN);
        w.mine += 1;
        w.unheard.get_or_insert(now);
        w.note_sent(now);
        w.reading += u64::from(c.reading);
        if let Some(e) = engine {
            // others' requests fill its memory too
            w.kept.take(&r.parts, e.kv_tokens * 6 / 10);
        }
        let trial = w.health.out();
        w.health.trial |= trial;
        let booked = r.arrived_once;
        if booked {
            self.service_states[svc as usize].budget.spent(b, now);
            self.counts.retried += 1;
        }
        let all: u32 = r.parts.iter().map(|p| p.tokens).sum();
        self.counts.read += u64::from(c.reading);
        self.counts.hit += u64::from(all.max(r.tokens_in).saturating_sub(c.reading));
        r.progress
            .on(Event::WorkerChosen(Repeatability::from(route)));
        r.tried.push(c.endpoint);
        r.sent += 1;
        r.sending = Some(Sending {
            endpoint: c.endpoint,
            at: now,
            hit: c.hit,
            reading: c.reading,
            began: false,
            trial,
            booked,
        });
        let t = Target {
            worker: c.endpoint,
            name: w.name.clone(),
            addr: w.addr,
            left_ms: r.deadline.saturating_sub(now),
            priority: engine.map(|_| route.priority.min(9)),
            max_conns: 1,
            fresh,
        };
        let key = w.hash;
        Decision::Send(Target {
            max_conns: self.conns(conns, key),
            ..t
        })
    }

    /// Connections to one worker that this node may hold.
    fn conns(&self, all: u32, key: u64) -> u32 {
        // a worker resets what is beyond the bound of all nodes
        self.nodes.part(f64::from(all) * 0.9, key).max(1)
    }
}

/// How long after its arrival a request may still wait, in milliseconds.
fn patience(route: &Route, sent: bool) -> Millis {
    let aim = match route.aim_ms {
        0 => route.timeout_ms / 2,
        a => a,
    };
    // refused within a quarter of the aim, another try can still be in time
    let q = aim / 4;
    if sent {
        q * 2
    } else {
        q.saturating_sub(TICK / 2)
    }
}
