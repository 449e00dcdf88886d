//! Passes that end errands: cutoffs, callers gone, permits and setups changed.

use super::{ErrandFx, Plan, Stage, Table};
use crate::agree::Ms;
use crate::problem::Problem;

impl Table {
    /// Give up, at once, whatever cannot be done in time any more.
    pub fn pass_cutoffs(&mut self, p: &mut Plan, now: Ms) {
        let late: Vec<u64> = self
            .rows
            .iter()
            .filter(|(_, e)| {
                let need = match e.stage {
                    // why: what cannot finish in time should not wait for its turn
                    Stage::Waiting => self.takes.get(&e.asked.route).copied().unwrap_or(0) / 2,
                    _ => 0,
                };
                now + need >= e.cutoff
            })
            .map(|(r, _)| *r)
            .collect();
        for rid in late {
            let Some(e) = self.rows.get(&rid).cloned() else {
                continue;
            };
            let token = e.token;
            match e.stage {
                Stage::Waiting => {
                    self.forget(rid);
                    self.shed(rid, Problem::GivenUp, 2);
                }
                Stage::Opening(i) => {
                    self.out.push(ErrandFx::Drop { rid, token });
                    self.end(p, rid, i);
                    self.shed(rid, Problem::GivenUp, 2);
                }
                Stage::Sent(i) => {
                    self.out.push(ErrandFx::Drop { rid, token });
                    self.broke(p, rid, i, Problem::WorkerBroke, now);
                }
                Stage::Relaying(i) => {
                    self.out.push(ErrandFx::Drop { rid, token });
                    self.counts.broken += 1;
                    self.end(p, rid, i);
                }
            }
        }
    }

    /// The caller hung up: drop what runs for it.
    pub fn gone(&mut self, p: &mut Plan, rid: u64) {
        let Some(e) = self.rows.get(&rid).cloned() else {
            return;
        };
        self.forget(rid);
        self.counts.gone += 1;
        if let Stage::Opening(i) | Stage::Sent(i) | Stage::Relaying(i) = e.stage {
            p.done(i);
            let token = e.token;
            self.out.push(ErrandFx::Drop { rid, token });
        }
    }

    /// The permit has run out: nothing may start any more.
    pub fn pass_unpermitted(&mut self) {
        let waiting: Vec<u64> = self
            .rows
            .iter()
            .filter(|(_, e)| e.stage == Stage::Waiting)
            .map(|(r, _)| *r)
            .collect();
        for rid in waiting {
            self.forget(rid);
            self.shed(rid, Problem::NoPermit, 1);
        }
    }

    /// A new setup: routes moved, so find each waiting errand's again.
    pub fn pass_setup(&mut self, p: &Plan) {
        let mut lost = Vec::new();
        for (rid, e) in &mut self.rows {
            match p.setup.as_ref().and_then(|s| s.route(&e.asked.route)) {
                Some(r) => e.route = r,
                None if e.stage == Stage::Waiting => lost.push(*rid),
                None => {}
            }
        }
        for rid in lost {
            self.forget(rid);
            self.shed(rid, Problem::UnknownRoute, 1);
        }
    }
}
