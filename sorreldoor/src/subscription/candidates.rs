//! Candidates for the session: cores that get renewals beside the session's
//! core, either as a hedge or because they are in the edge's own region.

use super::{CoreSubscription, SubscriptionEffect};
use crate::invariants::{is_disabled, Invariant};
use crate::net::Conn;
use crate::types::Millis;
use std::net::SocketAddr;

/// Milliseconds between attempts to move the session to a core of the edge's
/// region.
const HOME_RETRY_MS: Millis = 10_000;
/// Maximum interval of renewals to a candidate; shorter than the time after which
/// a core drops the session of a silent edge.
const MAX_BACKOFF_MS: Millis = 1000;
/// Time after which a candidate that has granted nothing is dropped.
const CANDIDATE_TIMEOUT_MS: Millis = 1300;

/// A core that is tried beside the session's core.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub addr: SocketAddr,
    pub conn: Option<Conn>,
    tried_at: Millis,
    pub renew_at: Millis,
    /// Interval between the next renewal and the one after it.
    backoff_ms: Millis,
    /// Whether it is tried because it is in the edge's region, not as a hedge.
    is_home: bool,
}

impl CoreSubscription {
    /// Tries a core of the edge's region if the session is with a core of another
    /// region: each request to a remote core costs a round trip, and a claim two.
    pub(super) fn try_home_core(&mut self, now: Millis, effects: &mut Vec<SubscriptionEffect>) {
        let is_near =
            |addr: &SocketAddr| self.cores.iter().any(|(core, near)| *near && core == addr);
        let is_away = self
            .session_addr
            .as_ref()
            .is_some_and(|addr| !is_near(addr));
        if now < self.try_home_at || self.conn.is_none() || !is_away {
            return;
        }
        let home: Vec<SocketAddr> = self.cores.iter().filter(|c| c.1).map(|c| c.0).collect();
        // each attempt tries another core, since one may be down for long
        let index = (now / HOME_RETRY_MS) as usize % home.len().max(1);
        if let Some(addr) = home.get(index).copied() {
            self.try_home_at = now + HOME_RETRY_MS;
            self.add_candidate(addr, true, now, effects);
        }
    }

    /// Tries one more core if no renewal was granted in time.
    pub(super) fn send_hedge(&mut self, now: Millis, effects: &mut Vec<SubscriptionEffect>) {
        if now < self.hedge_at || is_disabled(Invariant::HedgedRenewal) {
            return;
        }
        self.hedge_at = now + self.hedge_delay();
        let addresses = self.addresses_to_try();
        let count = addresses.len();
        let mut order = (0..count).map(|k| (self.next_core + k) % count);
        if let Some(index) = order.find(|index| !self.is_tried(addresses[*index])) {
            self.next_core = index + 1;
            self.add_candidate(addresses[index], false, now, effects);
        }
    }

    fn is_tried(&self, addr: SocketAddr) -> bool {
        self.session_addr == Some(addr) || self.candidates.iter().any(|c| c.addr == addr)
    }

    fn add_candidate(
        &mut self,
        addr: SocketAddr,
        is_home: bool,
        now: Millis,
        effects: &mut Vec<SubscriptionEffect>,
    ) {
        if self.is_tried(addr) {
            return;
        }
        self.candidates.push(Candidate {
            addr,
            conn: None,
            tried_at: now,
            renew_at: now,
            backoff_ms: self.hedge_delay(),
            is_home,
        });
        effects.push(SubscriptionEffect::Connect(addr));
    }

    /// Drops candidates that have granted nothing in time, so that other cores can
    /// be tried. While no core has ever granted a confirmed renewal and all cores
    /// are tried, as before the first election, candidates stay: reconnecting to
    /// them would only add to their load.
    pub(super) fn drop_late_candidates(
        &mut self,
        now: Millis,
        effects: &mut Vec<SubscriptionEffect>,
    ) {
        let mut addresses = self.addresses_to_try().into_iter();
        let all_tried = addresses.all(|addr| self.is_tried(addr));
        if all_tried && !self.was_confirmed {
            return;
        }
        let is_late = |c: &Candidate| now.saturating_sub(c.tried_at) > CANDIDATE_TIMEOUT_MS;
        for c in self.candidates.iter().filter(|c| is_late(c)) {
            effects.push(SubscriptionEffect::Disconnect(c.addr));
        }
        self.candidates.retain(|c| !is_late(c));
    }

    pub(super) fn renew_candidates(&mut self, now: Millis, effects: &mut Vec<SubscriptionEffect>) {
        let unverified = self.accepted_unverified(now);
        for c in self.candidates.iter_mut().filter(|c| now >= c.renew_at) {
            let Some(conn) = c.conn else { continue };
            c.renew_at = now + c.backoff_ms;
            // while there is no leader, every edge sends renewals to every core
            c.backoff_ms = (c.backoff_ms * 2).min(MAX_BACKOFF_MS);
            let number = self.lease.record_sent(conn, now);
            effects.push(SubscriptionEffect::Renew {
                conn,
                number,
                unverified,
            });
        }
    }

    /// Moves the session to the core that granted a renewal on `conn`, if that is
    /// a candidate, and drops all other candidates. If it is the session's core,
    /// drops the hedges only.
    pub(super) fn move_session(&mut self, conn: Conn) {
        let winner = self.candidates.iter().find(|c| c.conn == Some(conn));
        let winner = winner.copied();
        if let Some(winner) = winner {
            let old = self.session_addr.replace(winner.addr);
            self.pending_effects
                .extend(old.map(SubscriptionEffect::Disconnect));
            if !winner.is_home {
                self.pending_effects
                    .push(SubscriptionEffect::SessionReplaced);
            }
            self.conn = Some(conn);
            self.candidates.retain(|c| c.addr != winner.addr);
        }
        let is_needless = |c: &Candidate| winner.is_some() || !c.is_home;
        let dropped = self.candidates.iter().filter(|c| is_needless(c));
        self.pending_effects
            .extend(dropped.map(|c| SubscriptionEffect::Disconnect(c.addr)));
        self.candidates.retain(|c| !is_needless(c));
    }
}
