//! What answers, and their absence, say of workers.

use super::health::Sign;
use super::requests::Sending;
use super::state::Balancer;
use super::RequestId;
use crate::types::Millis;

/// Weight of a new measure among the earlier ones.
const NEW: f64 = 0.1;
/// Prompts of more tokens tell the time to read a token, those of fewer the rest.
const LONG: u32 = 2000;
const SHORT: u32 = 500;
/// Over what is usual in a service, at most.
const SLOWEST: f64 = 4.0;

fn blend(old: &mut f64, new: f64) {
    *old += NEW * (new - *old);
}

impl Balancer {
    /// A worker's head: its load, and how long it stays cold.
    pub(super) fn head(
        &mut self,
        i: u32,
        load: Option<(u32, u32, u32)>,
        cold_ms: Option<u64>,
        now: Millis,
    ) {
        let Some(w) = &mut self.endpoints[i as usize] else {
            return;
        };
        if let Some((running, waiting, slots)) = load {
            w.report(running, waiting, slots, now);
        }
        if let Some(c) = cold_ms {
            w.cold_until = now + c;
        }
    }

    /// The first event: the prompt is read, and the worker's speed is known.
    pub(super) fn first(&mut self, request_id: RequestId, now: Millis) {
        let Some(s) = self
            .requests
            .get_mut(request_id)
            .and_then(|r| r.sending.as_mut())
        else {
            return;
        };
        if s.began {
            return;
        }
        s.began = true;
        let s = *s;
        let Some(w) = &mut self.endpoints[s.endpoint as usize] else {
            return;
        };
        w.reading = w.reading.saturating_sub(u64::from(s.reading));
        let v = &mut self.service_states[w.service as usize];
        let took = now.saturating_sub(s.at) as f64;
        let usual = (v.first_ms + f64::from(s.reading) * v.per_token).max(1.0);
        blend(&mut w.slow, (took / usual).clamp(0.25, SLOWEST));
        if s.reading > LONG {
            let each = (took - v.first_ms).max(0.0) / f64::from(s.reading);
            blend(&mut v.per_token, each.clamp(0.001, 0.5));
        }
        if s.reading < SHORT {
            blend(&mut v.first_ms, took.clamp(1.0, 2000.0));
        }
    }

    /// The whole answer is there, with the worker's own status.
    pub(super) fn done(&mut self, request_id: RequestId, s: Sending, status: u16, now: Millis) {
        if status < 400 {
            self.first(request_id, now);
            self.counts.served += 1;
        }
        match status {
            // a deadline may have been too short; it tells of speed alone
            504 => {
                if let Some(w) = &mut self.endpoints[s.endpoint as usize] {
                    blend(&mut w.slow, SLOWEST);
                }
            }
            500.. => self.sign(s, Sign::Bad, now),
            _ => self.sign(s, Sign::Good, now),
        }
    }

    /// A sign of a worker's health.
    pub(super) fn sign(&mut self, s: Sending, g: Sign, now: Millis) {
        let may = g != Sign::Bad || self.may_eject(s.endpoint);
        let Some(w) = &mut self.endpoints[s.endpoint as usize] else {
            return;
        };
        let was = w.health.out();
        let struck = w.health.sign(g, may, now);
        if g == Sign::ConnectFailed {
            // what it kept went with it
            w.kept.clear();
        }
        if struck && !was {
            self.counts.ejected += 1;
        }
        if g != Sign::Good {
            return;
        }
        w.health.calm();
        if w.health.back() {
            // it may have been started anew, and says so only later
            let svc = w.service;
            let warmup = self.conf(svc).map_or(0, |c| c.warmup_ms);
            self.chill(s.endpoint, warmup, now);
        }
    }

    /// At most a third of a service's workers in a region are out for failures.
    fn may_eject(&self, i: u32) -> bool {
        let Some(w) = &self.endpoints[i as usize] else {
            return false;
        };
        let peers = || {
            let all = &self.service_states[w.service as usize].endpoints;
            let of = all
                .iter()
                .filter_map(|x| self.endpoints[*x as usize].as_ref());
            of.filter(|x| x.listed && x.region == w.region)
        };
        let out = peers().filter(|x| x.health.out()).count();
        out < (peers().count() / 3).max(1)
    }
}
