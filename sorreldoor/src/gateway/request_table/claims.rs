//! Claims as an edge makes them: before an errand that may not be repeated is
//! sent under an id that its caller chose, the cores must have noted it.

use super::{Plan, RequestEffect, RequestSpec, Stage, Table};
use crate::control_plane::KEEP_MS;
use crate::error::ErrorCode;
use crate::types::Millis;
use crate::wire::Verdict;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// Its id is this edge's own, or it may be repeated.
    Needless,
    /// Asked, and when.
    RequestSpec(Millis),
    Held,
}

const AGAIN_MS: Millis = 400;

/// What is to be claimed: an id, and how long it is to be remembered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    pub id: String,
    pub keep_ms: Millis,
}

impl ClaimRequest {
    pub fn of(a: &RequestSpec, cutoff_ms: Millis) -> ClaimRequest {
        ClaimRequest {
            id: a.id.clone(),
            keep_ms: cutoff_ms + KEEP_MS,
        }
    }
}

impl Table {
    /// The cores' word on a claim.
    pub fn claimed(
        &mut self,
        p: &mut Plan,
        request_id: u64,
        id: &str,
        said: Verdict,
        lease: bool,
        now: Millis,
    ) {
        let Some(e) = self.rows.get_mut(&request_id).filter(|e| e.asked.id == id) else {
            return;
        };
        if !matches!(e.claim, Claim::RequestSpec(_)) {
            return;
        }
        if said == Verdict::Yes {
            e.claim = Claim::Held;
            if let (Stage::Opening(i), true) = (e.stage, e.ready) {
                self.hand_over(p, request_id, i, lease, now);
            }
            return;
        }
        let token = e.token;
        if let Stage::Opening(i) = e.stage {
            p.done(i);
            self.out.push(RequestEffect::Drop { request_id, token });
        }
        // some cores may have noted it, and it must not stand in the way
        self.forget(request_id);
        let why = match said {
            Verdict::Full => ErrorCode::ClaimsFull,
            _ => ErrorCode::AlreadyTaken,
        };
        self.shed(request_id, why, now);
    }

    /// Ask again for claims that have had no answer.
    pub fn pass_claims(&mut self, now: Millis) {
        for (request_id, e) in &mut self.rows {
            if matches!(e.claim, Claim::RequestSpec(t) if now.saturating_sub(t) >= AGAIN_MS) {
                e.claim = Claim::RequestSpec(now);
                let claim = ClaimRequest::of(&e.asked, e.cutoff - e.since);
                self.out.push(RequestEffect::Claim {
                    request_id: *request_id,
                    claim,
                });
            }
        }
    }

    /// Take an errand out of the table; a claim on what never left is given up.
    pub(super) fn forget(&mut self, request_id: u64) {
        let Some(e) = self.rows.remove(&request_id) else {
            return;
        };
        if e.claim != Claim::Needless && !e.left {
            let id = e.asked.id;
            self.out.push(RequestEffect::Release { request_id, id });
        }
    }

    /// Note an id that was sent from here.
    pub(super) fn remember(&mut self, id: String, request_id: u64, until: Millis, now: Millis) {
        self.sent_ids.insert(id.clone(), request_id);
        self.sent_order.push_back((until, id, request_id));
        // the cores remember for sure; this only spares asking them
        while let Some((t, id, of)) = self.sent_order.front().cloned() {
            if t > now && self.sent_order.len() <= super::REMEMBERED {
                break;
            }
            self.sent_order.pop_front();
            if self.sent_ids.get(&id) == Some(&of) {
                self.sent_ids.remove(&id);
            }
        }
    }

    /// Ids sent from here of late, for cores that may have lost them.
    pub fn sent_lately(&self) -> Vec<(String, u64)> {
        self.sent_order
            .iter()
            .rev()
            .filter(|(_, id, request_id)| self.sent_ids.get(id) == Some(request_id))
            .map(|(_, id, request_id)| (id.clone(), *request_id))
            .take(4096)
            .collect()
    }
}
