//! Claims as an edge makes them: before an errand that may not be repeated is
//! sent under an id that its caller chose, the cores must have noted it.

use super::{ErrandFx, Plan, Stage, Table};
use crate::agree::Ms;
use crate::problem::Problem;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// Its id is this edge's own, or it may be repeated.
    Needless,
    /// Asked, and when.
    Asked(Ms),
    Held,
}

const AGAIN_MS: Ms = 400;

impl Table {
    /// The cores' word on a claim.
    pub fn claimed(&mut self, p: &mut Plan, rid: u64, id: &str, yes: bool, permit: bool, now: Ms) {
        let Some(e) = self.rows.get_mut(&rid).filter(|e| e.asked.id == id) else {
            return;
        };
        if !matches!(e.claim, Claim::Asked(_)) {
            return;
        }
        if yes {
            e.claim = Claim::Held;
            if let (Stage::Opening(i), true) = (e.stage, e.ready) {
                self.hand_over(p, rid, i, permit, now);
            }
            return;
        }
        let token = e.token;
        e.claim = Claim::Needless;
        if let Stage::Opening(i) = e.stage {
            p.done(i);
            self.out.push(ErrandFx::Drop { rid, token });
        }
        self.forget(rid);
        self.shed(rid, Problem::AlreadyTaken, 1);
    }

    /// Ask again for claims that have had no answer.
    pub fn pass_claims(&mut self, now: Ms) {
        for (rid, e) in &mut self.rows {
            if matches!(e.claim, Claim::Asked(t) if now.saturating_sub(t) >= AGAIN_MS) {
                e.claim = Claim::Asked(now);
                let (rid, id) = (*rid, e.asked.id.clone());
                self.out.push(ErrandFx::Claim { rid, id });
            }
        }
    }

    /// Take an errand out of the table; a claim on what never left is given up.
    pub(super) fn forget(&mut self, rid: u64) {
        let Some(e) = self.rows.remove(&rid) else {
            return;
        };
        if e.claim != Claim::Needless && !e.left {
            let id = e.asked.id;
            self.out.push(ErrandFx::Release { rid, id });
        }
    }

    /// Ids sent from here of late, for cores that may have lost them.
    pub fn sent_lately(&self) -> Vec<(String, u64)> {
        self.sent_order
            .iter()
            .rev()
            .filter_map(|id| self.sent_ids.get(id).map(|r| (id.clone(), *r)))
            .take(4096)
            .collect()
    }
}
