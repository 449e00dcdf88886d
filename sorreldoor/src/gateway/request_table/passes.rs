//! The passes over the table: match, send, give up, settle.

use super::allowed::{allowed, bound, repeatable};
use super::{
    AttemptEvent, Claim, ClaimRequest, Plan, Request, RequestEffect, RequestProfile, RequestSpec,
    Stage, Table,
};
use crate::configuration::{Kind, Route};
use crate::control_plane::KEEP_MS;
use crate::error::ErrorCode;
use crate::invariants::{broken, Invariant};
use crate::placement::{self, PlacementRequest};
use crate::replicated_state::Recovery;
use crate::types::Millis;

const SHUN_MS: Millis = 1000;

impl Table {
    /// Take an errand in, or shed it at once.
    pub fn take(&mut self, p: &mut Plan, request_id: u64, a: RequestSpec, now: Millis) {
        if let Err(error_code) = self.admit(p, request_id, a, now) {
            self.shed(request_id, error_code, now);
        }
    }

    /// An errand came to the door, whatever becomes of it.
    pub fn came(&mut self, p: &Plan, now: Millis) {
        self.again.came(now);
        if let Some(s) = &p.configuration {
            let mine = s.spill.iter().filter(|((from, _), _)| *from == p.region);
            self.spill.came(mine.map(|((_, to), n)| (*to, *n)));
        }
    }

    /// What can be said at the door, before a body is read.
    pub fn knock(&mut self, p: &Plan, request_id: u64, a: &RequestSpec) -> Result<bool, ErrorCode> {
        let s = p.configuration.as_ref().ok_or(ErrorCode::NoConfiguration)?;
        let route = s.route(&a.route).ok_or(ErrorCode::UnknownRoute)?;
        let r = &s.routes[route as usize];
        if bound(r) && a.home.ok_or(ErrorCode::BadErrand)? != p.region {
            // the body must not pass through a region that is not its home
            let addr = p.edges_for(a.home, true, &a.key).first().cloned();
            let addr = addr.ok_or(ErrorCode::NoWorker)?;
            self.out.push(RequestEffect::Elsewhere { request_id, addr });
            return Ok(false);
        }
        if p.evacuated(p.zone) {
            return Err(ErrorCode::Leaving);
        }
        // nobody here could take it, so waiting would only use up its time
        let lost = r.kind != Kind::Fetch && p.recovery(p.region) == Recovery::Lost;
        let spills = s
            .spill
            .iter()
            .any(|((from, to), n)| *from == p.region && self.spill.fits(*to, *n));
        if lost && (r.home || !spills) {
            return Err(ErrorCode::NoWorker);
        }
        Ok(true)
    }

    fn admit(
        &mut self,
        p: &Plan,
        request_id: u64,
        a: RequestSpec,
        now: Millis,
    ) -> Result<(), ErrorCode> {
        let s = p.configuration.as_ref().ok_or(ErrorCode::NoConfiguration)?;
        let route = s.route(&a.route).ok_or(ErrorCode::UnknownRoute)?;
        let r = &s.routes[route as usize];
        if !self.knock(p, request_id, &a)? {
            return Ok(());
        }
        // its body was read for another kind of errand, under another setup
        if !RequestProfile::of(r).like(&a.profile) {
            return Err(ErrorCode::GivenUp);
        }
        // what was sent once from here must not be sent again
        let open = self.rows.values().any(|e| a.given && e.asked.id == a.id);
        if !r.repeatable && a.given && (open || self.sent_ids.contains_key(&a.id)) {
            return Err(ErrorCode::AlreadyTaken);
        }
        let queue = self.queue_of(p, r);
        let waiting = self
            .rows
            .values()
            .filter(|e| e.stage == Stage::Waiting && e.route == route)
            .count();
        if waiting >= queue.max(1) {
            return Err(ErrorCode::QueueFull);
        }
        self.counts.first += 1;
        self.retries.first(s.retry_percent);
        let claim = if !r.repeatable && a.given {
            let claim = ClaimRequest::of(&a, r.cutoff_ms);
            self.out.push(RequestEffect::Claim { request_id, claim });
            Claim::RequestSpec(now)
        } else {
            Claim::Needless
        };
        self.rows.insert(
            request_id,
            Request {
                asked: a,
                route,
                service: String::new(),
                repeats: false,
                stage: Stage::Waiting,
                since: now,
                cutoff: now + r.cutoff_ms,
                sent_at: 0,
                tries: 0,
                spilt: false,
                tried: Vec::new(),
                token: 0,
                claim,
                ready: false,
                left: false,
            },
        );
        Ok(())
    }

    fn queue_of(&self, p: &Plan, r: &Route) -> usize {
        let Some(s) = &p.configuration else { return 0 };
        r.shares
            .iter()
            .flat_map(|h| s.services[h.service as usize].groups.iter())
            .map(|g| s.groups[*g as usize].queue as usize)
            .max()
            .unwrap_or(0)
    }

    pub fn shed(&mut self, request_id: u64, error_code: ErrorCode, now: Millis) {
        self.counts.shed += 1;
        let retry_after_s = if error_code.again() {
            let rows = self.rows.values();
            let waiting = rows.filter(|e| e.stage == Stage::Waiting).count();
            self.again.book(error_code, waiting, now)
        } else {
            0
        };
        self.out.push(RequestEffect::Shed {
            request_id,
            error_code,
            retry_after_s,
        });
    }

    /// Match what waits to workers with room, oldest first.
    pub fn pass_match(&mut self, p: &mut Plan, now: Millis) {
        self.shunned.retain(|_, t| *t > now);
        let waiting: Vec<u64> = self
            .rows
            .iter()
            .filter(|(_, e)| e.stage == Stage::Waiting)
            .map(|(r, _)| *r)
            .collect();
        for request_id in waiting {
            let Some(e) = self.rows.get(&request_id) else {
                continue;
            };
            if let Some((to, spilt)) = self.place(p, e) {
                self.open_at(p, request_id, to, spilt);
            }
        }
    }

    pub(super) fn place(&self, p: &Plan, e: &Request) -> Option<((u16, usize), bool)> {
        let s = p.configuration.as_ref()?;
        let r = s.routes.get(e.route as usize)?;
        let a = PlacementRequest {
            route: e.route,
            key: &e.asked.key,
            id: &e.asked.id,
            home: e.asked.home.filter(|_| bound(r)),
            adapter: e.asked.adapter.as_deref(),
        };
        let skip = |i: usize| e.tried.contains(&i) || self.shunned.contains_key(&i);
        let ws = &p.shown.view.weights;
        let here = || {
            placement::match_candidate(s, ws, &p.candidates, &skip, &a, p.region)
                .map(|i| (i, false))
        };
        let away = || {
            s.spill
                .iter()
                .filter(|((from, to), n)| *from == p.region && self.spill.fits(*to, **n))
                .find_map(|((_, to), _)| {
                    placement::match_candidate(s, ws, &p.candidates, &skip, &a, *to)
                })
                .map(|i| (i, true))
        };
        // a region that comes back cold is let in by how warm it is, so
        // part of what it could take goes on elsewhere for a while
        let part = match p.recovery(p.region) {
            Recovery::Returning(n) if !r.home && r.kind != Kind::Fetch => u64::from(n),
            _ => 100,
        };
        if placement::mix(&e.asked.id, "part") % 100 < part {
            here().or_else(away)
        } else {
            away().or_else(here)
        }
    }

    fn open_at(&mut self, p: &mut Plan, request_id: u64, to: (u16, usize), spilt: bool) {
        let (v, i) = to;
        let Some(addr) = p.addrs.get(i).copied().flatten() else {
            return;
        };
        self.next_token += 1;
        let token = self.next_token;
        let region = p.candidates[i].as_ref().map(|s| s.region);
        self.spill.count(region.filter(|_| spilt));
        self.counts.spilt += u64::from(spilt);
        let service = p
            .configuration
            .as_ref()
            .map(|s| s.services[v as usize].name.clone());
        if let Some(e) = self.rows.get_mut(&request_id) {
            e.stage = Stage::Opening(i);
            e.service = service.unwrap_or_default();
            e.spilt = spilt;
            e.token = token;
            e.tries += 1;
        }
        p.sent(i);
        self.out.push(RequestEffect::Open {
            request_id,
            token,
            worker: i,
            addr,
        });
    }

    /// What a worker's task tells. The one place where handing over is decided.
    pub fn told(
        &mut self,
        p: &mut Plan,
        request_id: u64,
        token: u64,
        t: AttemptEvent,
        lease: bool,
        now: Millis,
    ) {
        let Some(e) = self.rows.get(&request_id).filter(|e| e.token == token) else {
            self.out.push(RequestEffect::Drop { request_id, token });
            return;
        };
        match (e.stage, t) {
            (Stage::Opening(i), AttemptEvent::Ready) => {
                self.hand_over(p, request_id, i, lease, now)
            }
            (Stage::Opening(i), AttemptEvent::Unsent) => {
                self.shunned.insert(i, now + SHUN_MS);
                self.back(p, request_id, i, false, now);
            }
            (Stage::Sent(i), AttemptEvent::NotRun) => self.back(p, request_id, i, false, now),
            (Stage::Sent(i), AttemptEvent::Whole) => {
                self.learn(request_id, now);
                self.end(p, request_id, i);
                self.counts.served += 1;
                self.out.push(RequestEffect::Give { request_id, token });
            }
            (Stage::Sent(i), AttemptEvent::Begun) => {
                if let Some(e) = self.rows.get_mut(&request_id) {
                    e.stage = Stage::Relaying(i);
                }
                self.out.push(RequestEffect::Give { request_id, token });
            }
            (Stage::Relaying(i), AttemptEvent::Ended) => {
                self.learn(request_id, now);
                self.counts.served += 1;
                self.end(p, request_id, i);
            }
            (Stage::Relaying(i), AttemptEvent::Broke(_)) => {
                self.bad(p, request_id, i, ErrorCode::StreamBroken);
                // what a caller has seen of a stream cannot be gone on elsewhere
                self.counts.broken += 1;
                self.end(p, request_id, i);
            }
            (Stage::Sent(i), AttemptEvent::Broke(why)) => self.broke(p, request_id, i, why, now),
            (Stage::Opening(i) | Stage::Sent(i) | Stage::Relaying(i), _) => {
                self.broke(p, request_id, i, ErrorCode::WorkerGarbage, now)
            }
            (Stage::Waiting, _) => {}
        }
    }

    /// Send, or take it back: after this either the worker may run it or the
    /// caller may be refused, never both.
    pub(super) fn hand_over(
        &mut self,
        p: &mut Plan,
        request_id: u64,
        i: usize,
        lease: bool,
        now: Millis,
    ) {
        let Some(e) = self.rows.get_mut(&request_id) else {
            return;
        };
        // until its id is noted as this edge's, another may be sending it
        if matches!(e.claim, Claim::RequestSpec(_)) && !broken(Invariant::Claim) {
            e.ready = true;
            return;
        }
        let token = e.token;
        let late = now >= e.cutoff;
        let fits = lease && p.open(i) && !late && allowed(p, e, i);
        if !fits {
            self.out.push(if broken(Invariant::Refusal) {
                let adapter = None;
                RequestEffect::Go {
                    request_id,
                    token,
                    adapter,
                }
            } else {
                RequestEffect::Drop { request_id, token }
            });
            if lease && !late {
                return self.back(p, request_id, i, true, now);
            }
            self.end(p, request_id, i);
            let why = if late {
                ErrorCode::GivenUp
            } else {
                ErrorCode::NoLease
            };
            return self.shed(request_id, why, now);
        }
        e.stage = Stage::Sent(i);
        e.sent_at = now;
        e.left = true;
        let s = p.configuration.as_ref();
        // a later setup may call it something else, but this one sent it
        e.repeats = s.is_some_and(|s| s.routes[e.route as usize].repeatable);
        let service = s.and_then(|s| s.services.iter().find(|v| v.name == e.service));
        let adapter = e.asked.adapter.clone();
        let adapter = adapter.or_else(|| service.and_then(|v| v.adapter.clone()));
        let (id, lasts) = (e.asked.id.clone(), e.cutoff - e.since);
        if !e.repeats && e.asked.given {
            self.remember(id, request_id, now + lasts + KEEP_MS, now);
        }
        self.out.push(RequestEffect::Go {
            request_id,
            token,
            adapter,
        });
    }

    /// Nothing of it has run: wait again, for another worker.
    fn back(&mut self, p: &mut Plan, request_id: u64, i: usize, free: bool, now: Millis) {
        p.done(i);
        let ok = free || self.retries.again();
        self.counts.again += u64::from(ok && !free);
        let Some(e) = self.rows.get_mut(&request_id) else {
            return;
        };
        self.sent_ids.remove(&e.asked.id);
        e.stage = Stage::Waiting;
        e.token = 0;
        e.ready = false;
        e.left = false;
        e.tried.push(i);
        if !ok || e.tries >= 4 {
            self.forget(request_id);
            self.shed(request_id, ErrorCode::NoWorker, now);
        }
    }

    pub(super) fn broke(
        &mut self,
        p: &mut Plan,
        request_id: u64,
        i: usize,
        why: ErrorCode,
        now: Millis,
    ) {
        let Some(e) = self.rows.get(&request_id).cloned() else {
            return;
        };
        let again = e.repeats && repeatable(p, &e) || broken(Invariant::Repeat);
        self.shunned.insert(i, now + SHUN_MS);
        self.bad(p, request_id, i, why);
        if again && now < e.cutoff && e.tries < 3 && self.retries.again() {
            self.counts.again += 1;
            return self.back(p, request_id, i, true, now);
        }
        self.end(p, request_id, i);
        if again {
            return self.shed(request_id, why, now);
        }
        self.counts.unknown += 1;
        let (id, worker) = (e.asked.id, p.name(i));
        self.out.push(RequestEffect::Unknown { id, worker });
        // it may have run, so it must not be called refused
        let honest = ErrorCode::OutcomeUnknown;
        let said = if broken(Invariant::Unknown) {
            ErrorCode::NoWorker
        } else {
            honest
        };
        self.shed(request_id, said, now);
    }

    fn bad(&mut self, p: &Plan, request_id: u64, i: usize, error_code: ErrorCode) {
        let id = self.rows.get(&request_id).map(|e| e.asked.id.clone());
        let worker = p.name(i);
        self.out.extend(id.map(|id| RequestEffect::Bad {
            id,
            worker,
            error_code,
        }));
    }

    pub(super) fn end(&mut self, p: &mut Plan, request_id: u64, i: usize) {
        p.done(i);
        self.forget(request_id);
    }
}
