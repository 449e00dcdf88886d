//! Anti-entropy: this core reads its peers' claim tables, and serves its own.

use super::catch_up::{Pace, Peer};
use super::claim_table::{ClaimOutcome, ClaimRecord};
use super::event::{AfterSync, Context, Effect};
use super::Idempotency;
use crate::invariants::{broken, Invariant};
use crate::log_events::LogEvent;
use crate::net::Conn;
use crate::types::Millis;
use crate::wire::{ClaimsPage, Payload};

/// Claims in one page.
const PAGE_SIZE: usize = 2000;

impl Idempotency {
    pub(super) fn read_peers(&mut self, peers: &[Peer], now: Millis) {
        if broken(Invariant::Learned) && self.catch_up.is_due(now) {
            return self.finish_catch_up();
        }
        match self.catch_up.pace(now) {
            Pace::Wait => {}
            Pace::Expired => self.finish_catch_up(),
            Pace::Read => {
                for peer in peers {
                    let start = self.catch_up.next_offset(peer);
                    self.send(peer.conn, Payload::ClaimsPageRequest { start });
                }
            }
        }
    }

    pub(super) fn finish_catch_up(&mut self) {
        if self.catch_up.finish() {
            let about = format!("{} claims", self.table.len());
            self.effects.push(Effect::PersistCaughtUp);
            self.effects
                .push(Effect::Log(LogEvent::ClaimsLearned, about));
        }
    }

    pub(super) fn on_page_request(&mut self, conn: Conn, start: u64, context: &Context) {
        let mut page = self.table.page(start, PAGE_SIZE, context.now);
        page.last &= self.takes_part(context);
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

    /// Takes in a page; returns what is new, as it stands in the table now.
    fn merge_page(&mut self, claims: Vec<ClaimRecord>, now: Millis) -> Vec<ClaimRecord> {
        let caught_up = self.is_caught_up();
        let mut new_claims = Vec::new();
        for claim in claims {
            // a core that has voted stands by its votes
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
