//! How a blank core learns the claims it may not have: it pulls each other
//! core's journal page by page, and has no say on claims until it has read
//! enough of them to know every claim that the lost core may have held.

use super::book::{ClaimRecord, Note, LONGEST_MS};
use super::claims::Say;
use super::controller::Controller;
use crate::invariants::{broken, Invariant};
use crate::log_events::LogEvent;
use crate::net::Conn;
use crate::types::{Millis, NodeId};
use crate::wire::{Hello, Payload};
use std::collections::BTreeMap;

/// Claims told in one frame.
const PAGE: usize = 2000;
/// Between looks at what other cores have noted, for one that knows.
const SLOW_MS: Millis = 2000;

/// How far the journal of one life of another core was read.
#[derive(Clone, Copy, Debug, Default)]
struct Read {
    incarnation: u64,
    next: u64,
    end: bool,
}

#[derive(Default)]
pub struct Learn {
    pub(super) sure: bool,
    read: BTreeMap<NodeId, Read>,
    at: Millis,
    since: Option<Millis>,
}

impl Controller {
    /// Whether this core may speak on claims yet: it has its own past, or was
    /// among the founders, or has learned enough from others.
    pub(super) fn sure(&self) -> bool {
        self.claims.learn.sure && self.consensus.is_some()
    }

    pub(super) fn now_sure(&mut self) {
        if !self.claims.learn.sure {
            self.claims.learn.sure = true;
            self.keep_sure();
            let n = self.claims.book.count();
            self.log_event(LogEvent::ClaimsLearned, format!("{n} claims"));
        }
    }

    pub(super) fn learn_claims(&mut self) {
        if self.consensus.is_none() || self.now < self.claims.learn.at || !self.pacing.claims {
            return;
        }
        if broken(Invariant::Learned) {
            return self.now_sure();
        }
        let sure = self.claims.learn.sure;
        // cores that know go on reading each other, slowly, so that what
        // one missed while cut off is on all of them before the next is lost
        self.claims.learn.at = self.now + if sure { SLOW_MS } else { 0 };
        let since = *self.claims.learn.since.get_or_insert(self.now);
        // what was claimed before it came would be forgotten by now
        if !sure && self.now.saturating_sub(since) > LONGEST_MS {
            return self.now_sure();
        }
        let vs = self.voter_ids();
        for (id, (c, h)) in self.live_cores(1500) {
            if vs.contains(&id) {
                self.pull_claims(c, &h);
            }
        }
    }

    fn pull_claims(&mut self, c: Conn, h: &Hello) {
        let r = self.claims.learn.read.entry(h.id).or_default();
        if r.incarnation != h.incarnation {
            *r = Read {
                incarnation: h.incarnation,
                ..Read::default()
            };
        }
        let from = r.next;
        self.send(c, Payload::ClaimsPageRequest { from });
    }

    pub(super) fn on_claims_pull(&mut self, conn: Conn, from: u64) {
        let (all, next, end) = self.claims.book.page(from, PAGE, self.now);
        let sure = self.sure();
        let p = Payload::ClaimsPage {
            from,
            all,
            next,
            end: end && sure,
        };
        self.send(conn, p);
    }

    pub(super) fn on_claims_page(&mut self, conn: Conn, from: &Hello, page: Page) {
        let sure = self.claims.learn.sure;
        let r = self.claims.learn.read.entry(from.id).or_default();
        if r.incarnation != from.incarnation || r.next != page.from {
            return;
        }
        (r.next, r.end) = (page.next, page.end);
        let more = !page.end && page.next > page.from;
        let fresh = self.take_page(page.all, sure);
        if !sure && self.read_enough() {
            self.say_saved(fresh, Say::Sure);
        } else {
            self.say_saved(fresh, Say::Nothing);
        }
        if more {
            let from = page.next;
            self.send(conn, Payload::ClaimsPageRequest { from });
        }
    }

    /// Note what is new, as it is held afterwards.
    fn take_page(&mut self, all: Vec<ClaimRecord>, sure: bool) -> Vec<ClaimRecord> {
        let now = self.now;
        let book = &mut self.claims.book;
        let mut fresh = Vec::new();
        for n in all {
            // one that has had its say keeps to what it said
            let new = if sure {
                book.note(&n, now) == Note::Fresh
            } else {
                book.told(&n, now)
            };
            fresh.extend(book.held(&n.id, now).filter(|_| new));
        }
        fresh
    }

    /// A claim is on a majority of the cores there were, so it is on one of
    /// any so many.
    fn read_enough(&self) -> bool {
        let vs = self.voter_ids();
        let ended = self.claims.learn.read.iter();
        let ended = ended.filter(|(n, r)| r.end && vs.contains(n)).count();
        let n = self.cores.max(vs.len());
        ended >= n - n / 2
    }
}

/// Some of another core's claims, from one place in its journal to the next.
pub struct Page {
    pub from: u64,
    pub all: Vec<ClaimRecord>,
    pub next: u64,
    pub end: bool,
}
