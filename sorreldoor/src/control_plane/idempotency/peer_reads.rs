//! Anti-entropy: this core reads its peers' claim tables, and serves its own.

use super::catch_up::{Peer, ReadStep};
use super::claim_table::{ClaimOutcome, ClaimRecord};
use super::event::{AfterSync, Context, Effect};
use super::Idempotency;
use crate::invariants::{is_disabled, Invariant};
use crate::log_events::LogEvent;
use crate::net::Conn;
use crate::types::Millis;
use crate::wire::{ClaimsPage, Payload};

/// Maximum number of claims in a page.
const PAGE_SIZE: usize = 2000;

impl Idempotency {
    pub(super) fn read_peers(&mut self, peers: &[Peer], now: Millis) {
        if is_disabled(Invariant::ClaimsCaughtUp) && self.catch_up.is_due(now) {
            return self.finish_catch_up();
        }
        match self.catch_up.next_step(now) {
            ReadStep::Wait => {}
            ReadStep::Expired => self.finish_catch_up(),
            ReadStep::Read => {
                for peer in peers {
                    let start = self.catch_up.next_offset(peer);
                    self.send(peer.conn, Payload::ClaimsPageRequest { start });
                }
            }
        }
    }

    pub(super) fn finish_catch_up(&mut self) {
        if self.catch_up.finish() {
            let detail = format!("{} claims", self.table.len());
            self.effects.push(Effect::PersistCaughtUp);
            self.effects
                .push(Effect::Log(LogEvent::ClaimsLearned, detail));
        }
    }

    pub(super) fn on_page_request(&mut self, conn: Conn, start: u64, context: &Context) {
        let mut page = self.table.page(start, PAGE_SIZE, context.now);
        page.last &= self.is_voting(context);
        self.send(conn, Payload::ClaimsPage(page));
    }

    pub(super) fn on_page(&mut self, peer: Peer, page: ClaimsPage, context: &Context) {
        if !self
            .catch_up
            .advance(&peer, page.start, page.next, page.last)
        {
            return;
        }
        let more = !page.last && page.next > page.start;
        let start = page.next;
        let new_claims = self.merge_page(page.claims, context.now);
        let founding_cores = self.options.founding_cores;
        let finished = !self.is_caught_up()
            && self
                .catch_up
                .has_read_enough(&context.voters, founding_cores);
        let action = if finished {
            AfterSync::FinishCatchUp
        } else {
            AfterSync::Nothing
        };
        self.save_then(new_claims, action, context);
        if more {
            self.send(peer.conn, Payload::ClaimsPageRequest { start });
        }
    }

    /// Merges a page into the table; returns the changed entries.
    fn merge_page(&mut self, claims: Vec<ClaimRecord>, now: Millis) -> Vec<ClaimRecord> {
        let caught_up = self.is_caught_up();
        let mut new_claims = Vec::new();
        for claim in claims {
            // a core that votes must not change an entry it has voted for
            let is_new = if caught_up {
                self.table.claim(&claim, now) == ClaimOutcome::Granted
            } else {
                self.table.merge(&claim, now)
            };
            if is_new {
                new_claims.extend(self.table.get(&claim.id, now));
            }
        }
        new_claims
    }
}
