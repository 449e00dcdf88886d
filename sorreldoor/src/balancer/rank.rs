//! Which worker of a service a request is best sent to: what it costs there,
//! in milliseconds for engines and in shares of a worker for others.

use super::endpoint::{Endpoint, COLD_SPAN};
use super::hash;
use super::heavy::{LATELY, LONG_SHARED};
use super::requests::Req;
use super::state::Balancer;
use crate::configuration::hosted::{Route, Service};
use crate::types::Millis;

/// Fewer shared tokens than these are read anywhere at little cost.
const SMALL: u32 = 256;
/// A trial is made with prompts of up to so many tokens, if there are such.
const LIGHT: u32 = 2000;
/// What the way to another region and back costs, in milliseconds.
const FAR: f64 = 80.0;
/// What a worker for the other kind of prompt costs beside its load.
const SHUN: f64 = 25.0;

/// A worker chosen, and what was assumed of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub endpoint: u32,
    pub cost: f64,
    pub load: f64,
    pub hit: usize,
    pub reading: u32,
}

/// What a service offers a request now.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Offer {
    /// Workers that may take it at all.
    pub eligible: u32,
    /// The best with room: here, and in other regions.
    pub here: Option<Choice>,
    pub far: Option<Choice>,
    /// The least loaded one that only its load keeps from it.
    pub full: Option<Choice>,
    /// Places of the eligible ones, and those taken.
    pub slots: f64,
    pub taken: f64,
}

impl Offer {
    pub fn best(&self) -> Option<Choice> {
        // another region is far; a worker here queues only briefly
        self.here.or(self.far)
    }
}

/// What of a request its cost rests on.
#[derive(Clone, Copy)]
struct Load {
    tokens: u32,
    shared: u32,
    key: Option<u64>,
    /// Its shared prefix is worth a way to another region.
    long: bool,
    /// Such prefixes are asked for of late.
    lately: bool,
}

impl Balancer {
    pub(super) fn may(&self, w: &Endpoint, i: u32, r: &Req, route: &Route) -> bool {
        w.open
            && w.stale.is_none()
            && !self.evacuated.contains(&w.zone)
            && (route.homes.is_empty() || route.homes.contains(&w.region))
            && !r.tried.contains(&i)
    }

    /// Where this request could go among a service's workers. With `out`, those
    /// put out are looked at as well.
    pub(super) fn offer(
        &mut self,
        svc: u32,
        r: &Req,
        route: &Route,
        out: bool,
        now: Millis,
    ) -> Offer {
        let mut o = Offer::default();
        let Some(conf) = self.conf(svc).map(Lite::from) else {
            return o;
        };
        let v = &self.service_states[svc as usize];
        let sum: u32 = r.parts.iter().map(|p| p.tokens).sum();
        let shared: u32 = r.shared().iter().map(|p| p.tokens).sum();
        let l = Load {
            tokens: sum.max(r.tokens_in),
            shared,
            key: r.key().filter(|_| conf.engine),
            long: conf.engine && shared >= LONG_SHARED,
            lately: v.long_at.is_some_and(|t| now < t + LATELY),
        };
        let mut noise = self.draw.clone();
        let again = route.repeatable();
        let fit = |w: &Endpoint| !w.health.out() || out || w.health.due(now, again);
        let of = |i: u32| self.endpoints[i as usize].as_deref().map(|w| (i, w));
        let each = || {
            let all = v.endpoints.iter().filter_map(|i| of(*i));
            all.filter(|(i, w)| self.may(w, *i, r, route) && fit(w))
        };
        // every node finds the same worker for a prefix without a word
        let first = l.key.and_then(|k| {
            let mine = |w: &Endpoint| {
                if l.long {
                    w.heavy
                } else {
                    w.region == self.place.region
                }
            };
            each()
                .filter(|(_, w)| !w.health.out())
                .max_by_key(|(_, w)| (mine(w), hash::mix(k, w.hash)))
                .map(|(i, _)| i)
        });
        for (i, w) in each() {
            let slots = f64::from(w.slots.max(conf.slots).max(1));
            let load = w.load(now);
            o.eligible += 1;
            o.slots += slots;
            o.taken += load.min(slots);
            let c = self.cost(i, w, r, l, &conf, first == Some(i), noise.unit(), now);
            let cold = conf.per_s > 0.0 && w.cold(now);
            let all = self.cold_bound(&conf);
            let bound = || self.nodes.part_near(all, w.hash, w.region);
            // a node that started anew forgot what it had sent
            let new = now < self.born.unwrap_or(now) + COLD_SPAN;
            if cold && (new || w.sent_lately(now) >= bound()) {
                continue;
            }
            // a few behind the places keep a worker busy, more only wait
            let room = load < slots * 1.5 && now >= w.full_until;
            let here = w.region == self.place.region || (l.long && load < slots);
            let to = match (room, here) {
                (true, true) => &mut o.here,
                (true, false) if load < slots => &mut o.far,
                _ => &mut o.full,
            };
            let better = |a: &Choice| match room {
                true => c.cost < a.cost,
                false => c.load / slots < a.load / slots,
            };
            if to.as_ref().is_none_or(better) {
                *to = Some(c);
            }
        }
        self.draw = noise;
        o
    }

    /// Requests a second that all nodes may send to one cold worker.
    fn cold_bound(&self, c: &Lite) -> f64 {
        (c.per_s * self.bounds.warmup_excess + self.bounds.warmup_slack) * 0.85
    }

    #[allow(clippy::too_many_arguments)]
    fn cost(
        &self,
        i: u32,
        w: &Endpoint,
        r: &Req,
        l: Load,
        conf: &Lite,
        first: bool,
        noise: f64,
        now: Millis,
    ) -> Choice {
        // what one node sends of a hot prefix, all of them send
        let alike = if first && l.long {
            self.nodes.known()
        } else {
            0
        };
        let load = w.load(now).max(0.6 * f64::from(w.mine) * f64::from(alike));
        let f = (load + 1.0) / f64::from(w.slots.max(conf.slots).max(1));
        let near = w.zone == self.place.zone;
        let cold = w.cold(now);
        let (hit, kept) = match conf.engine {
            true => w.kept.hit(&r.parts),
            false => (0, 0),
        };
        let several = r.parts.len() > 1;
        // other nodes send this prefix there too; a single part may well
        // be the request's own, and new
        let kept = match first && several {
            true => kept.max(l.shared),
            false => kept,
        };
        let reading = l.tokens.saturating_sub(kept);
        let cost = if conf.engine {
            let v = &self.service_states[w.service as usize];
            let read = f64::from(reading) * v.per_token;
            let anew = f64::from(l.shared.saturating_sub(kept)) * v.per_token;
            // whoever reads long stalls all that run beside it
            let stall = (w.reading as f64) * v.per_token + read * (0.1 * load).min(1.0);
            let far = if w.region == self.place.region {
                0.0
            } else {
                FAR
            };
            let shun = match (l.long, w.heavy) {
                (true, false) => 2.0 * SHUN,
                (false, true) if l.lately => SHUN,
                _ => 0.0,
            };
            let queue = 60.0 * f + 1500.0 * (f - 0.8).max(0.0);
            let zone = match (near, l.shared < SMALL) {
                (true, _) => 0.0,
                (_, true) => 8.0,
                _ => 4.0,
            };
            // nodes that turn from the first worker agree on the next
            let next = l.key.map_or(0.0, |k| hash::unit(hash::mix(k, w.hash)));
            // a session's turns meet there, unless it is busy reading
            let anew = if first && !several { anew * 0.5 } else { anew };
            let cold = if cold { 8.0 } else { 0.0 };
            w.slow * (queue + read + stall)
                + anew * (1.1 - 0.1 * next)
                + zone
                + far
                + shun
                + if w.suspect(now) { 4.0 * SHUN } else { 0.0 }
                + 6.0 * noise
                + cold
        } else {
            let zone = if near { 0.0 } else { 0.25 };
            w.slow * f
                + zone
                + 0.05 * noise
                + if cold { 0.2 } else { 0.0 }
                + if w.suspect(now) { 0.5 } else { 0.0 }
        };
        // what is due for a trial comes back by one, a light one if it can
        let trial = l.tokens <= LIGHT;
        Choice {
            endpoint: i,
            cost: match (w.health.out(), trial && w.health.until() <= now) {
                (true, true) => -1.0,
                // of those that are all out, the one out longest is least bad
                (true, false) => cost + w.health.until().saturating_sub(now) as f64,
                _ => cost,
            },
            load,
            hit,
            reading: if conf.engine { reading } else { 0 },
        }
    }
}

/// What of a service's configuration is asked for each worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lite {
    slots: u32,
    per_s: f64,
    engine: bool,
}

impl From<&Service> for Lite {
    fn from(c: &Service) -> Lite {
        Lite {
            slots: c.engine.map_or(0, |e| e.slots),
            per_s: c.warmup_per_s,
            engine: c.engine.is_some(),
        }
    }
}
