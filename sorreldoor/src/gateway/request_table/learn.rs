//! What an edge learns from errands that end: how long they take, by route,
//! and by service for the duty that tunes weights.

use super::Table;
use crate::types::Millis;

/// Pairs of route and service whose times are told, at most.
const TOOK: usize = 256;

impl Table {
    /// Remember how long the route's errands take once they are sent.
    pub(super) fn learn(&mut self, request_id: u64, now: Millis) {
        self.again.done(now);
        if let Some(e) = self.rows.get(&request_id) {
            let took = now.saturating_sub(e.sent_at);
            let t = self.takes.entry(e.asked.route.clone()).or_insert(took);
            *t = (*t * 7 + took) / 8;
            let by = (e.asked.route.clone(), e.service.clone());
            if self.took.len() < TOOK || self.took.contains_key(&by) {
                let all = self.took.entry(by).or_default();
                *all = (all.0 + 1, all.1 + took);
            }
        }
    }
}
