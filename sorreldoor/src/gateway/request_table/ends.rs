//! Passes that end errands: cutoffs, callers gone, permits and setups changed.

use super::allowed::hope;
use super::{Claim, ClaimRequest, Plan, RequestEffect, Stage, Table};
use crate::error::ErrorCode;
use crate::invariants::{broken, Invariant};
use crate::types::Millis;

impl Table {
    /// Give up, at once, whatever cannot be done in time any more.
    pub fn pass_cutoffs(&mut self, p: &mut Plan, now: Millis) {
        let late: Vec<u64> = self
            .rows
            .iter()
            .filter(|(_, e)| {
                let need = match e.stage {
                    // what cannot finish in time should not wait for its turn
                    Stage::Waiting => self.takes.get(&e.asked.route).copied().unwrap_or(0) / 2,
                    _ => 0,
                };
                now + need >= e.cutoff
            })
            .map(|(r, _)| *r)
            .collect();
        for request_id in late {
            let Some(e) = self.rows.get(&request_id).cloned() else {
                continue;
            };
            let token = e.token;
            match e.stage {
                Stage::Waiting => {
                    self.forget(request_id);
                    self.shed(request_id, ErrorCode::GivenUp, now);
                }
                Stage::Opening(i) => {
                    self.out.push(RequestEffect::Drop { request_id, token });
                    self.end(p, request_id, i);
                    self.shed(request_id, ErrorCode::GivenUp, now);
                }
                Stage::Sent(i) => {
                    self.out.push(RequestEffect::Drop { request_id, token });
                    self.broke(p, request_id, i, ErrorCode::WorkerBroke, now);
                }
                Stage::Relaying(i) => {
                    self.out.push(RequestEffect::Drop { request_id, token });
                    self.counts.broken += 1;
                    self.end(p, request_id, i);
                }
            }
        }
    }

    /// Shed what waits where nobody could take it, room or not: its zone was
    /// emptied, or every worker that its route allows is gone.
    pub fn pass_hopeless(&mut self, p: &Plan, now: Millis) {
        let out: Vec<(u64, ErrorCode)> = self
            .rows
            .iter()
            .filter(|(_, e)| e.stage == Stage::Waiting)
            .filter_map(|(request_id, e)| {
                // a worker may only be a moment away from being seen again
                let waited = now.saturating_sub(e.since) > HOPE_MS;
                if p.evacuated(p.zone) {
                    Some((*request_id, ErrorCode::Leaving))
                } else {
                    (waited && !hope(p, e)).then_some((*request_id, ErrorCode::NoWorker))
                }
            })
            .collect();
        for (request_id, why) in out {
            self.forget(request_id);
            self.shed(request_id, why, now);
        }
    }

    /// The caller hung up: drop what runs for it.
    pub fn gone(&mut self, p: &mut Plan, request_id: u64) {
        let Some(e) = self.rows.get(&request_id).cloned() else {
            return;
        };
        self.forget(request_id);
        self.counts.gone += 1;
        if let Stage::Opening(i) | Stage::Sent(i) | Stage::Relaying(i) = e.stage {
            p.done(i);
            let token = e.token;
            self.out.push(RequestEffect::Drop { request_id, token });
        }
    }

    /// The permit has run out: nothing may start any more.
    pub fn pass_unpermitted(&mut self, now: Millis) {
        let waiting: Vec<u64> = self
            .rows
            .iter()
            .filter(|(_, e)| e.stage == Stage::Waiting)
            .map(|(r, _)| *r)
            .collect();
        for request_id in waiting {
            self.forget(request_id);
            self.shed(request_id, ErrorCode::NoLease, now);
        }
    }

    /// A new setup: routes moved, so find each errand's again; what has not
    /// left yet must fit the new one as if it came now.
    pub fn apply_configuration(&mut self, p: &mut Plan, now: Millis) {
        let rids: Vec<u64> = self.rows.keys().copied().collect();
        for request_id in rids {
            let Some(e) = self.rows.get_mut(&request_id) else {
                continue;
            };
            let s = p.configuration.clone();
            let i = s.as_ref().and_then(|s| s.route(&e.asked.route));
            e.route = i.unwrap_or(GONE);
            if matches!(e.stage, Stage::Sent(_) | Stage::Relaying(_)) {
                continue;
            }
            let r = s.as_ref().zip(i).map(|(s, i)| &s.routes[i as usize]);
            let fits = r.is_some_and(|r| super::RequestProfile::of(r).like(&e.asked.profile));
            let bound = r.is_some_and(|r| r.home && e.asked.home != Some(p.region));
            let bound = bound && !broken(Invariant::Home);
            if !fits || bound {
                self.take_back(p, request_id, r.is_some(), now);
                continue;
            }
            // it came as one that may be repeated, and is none any more
            let claims = r.is_some_and(|r| !r.repeatable) && e.asked.given;
            if claims && e.claim == Claim::Needless {
                e.claim = Claim::RequestSpec(now);
                let claim = ClaimRequest::of(&e.asked, e.cutoff - e.since);
                self.out.push(RequestEffect::Claim { request_id, claim });
            }
        }
    }

    /// Shed what has not left and no longer fits.
    fn take_back(&mut self, p: &mut Plan, request_id: u64, known: bool, now: Millis) {
        let Some(e) = self.rows.get(&request_id) else {
            return;
        };
        let token = e.token;
        if let Stage::Opening(i) = e.stage {
            self.out.push(RequestEffect::Drop { request_id, token });
            p.done(i);
        }
        self.forget(request_id);
        let why = if known {
            ErrorCode::GivenUp
        } else {
            ErrorCode::UnknownRoute
        };
        self.shed(request_id, why, now);
    }
}

/// How long a waiting errand hopes for a worker when none is to be seen.
const HOPE_MS: Millis = 3000;

/// The index of a route that the setup no longer has.
const GONE: u16 = u16::MAX;
