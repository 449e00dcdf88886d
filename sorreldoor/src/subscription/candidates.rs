//! Candidates for the session: a core of the edge's region, or one more core
//! where a renewal is not granted in time.

use super::{CoreSubscription, SubscriptionEffect};
use crate::invariants::{broken, Invariant};
use crate::net::Conn;
use crate::types::Millis;
use std::net::SocketAddr;

/// Milliseconds between attempts to move the session to a core of the edge's
/// region.
const HOME_MS: Millis = 10_000;
/// Milliseconds between renewals of a candidate at most; less than the time
/// after which a core takes a silent edge for lost.
const MAX_BACKOFF_MS: Millis = 1000;
/// Milliseconds after which a candidate that has granted nothing is dropped.
const TRY_MS: Millis = 1300;

/// A core that is tried beside that of the session.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    pub addr: SocketAddr,
    pub conn: Option<Conn>,
    since: Millis,
    pub renew_at: Millis,
    /// Until the renewal after the next one.
    backoff_ms: Millis,
    /// Tried because it is in the region of the edge, and not as a hedge.
    home: bool,
}

impl CoreSubscription {
    /// Tries a core of the edge's region if the session is with one elsewhere:
    /// each request to a remote core costs a round trip, and a claim two.
    pub(super) fn go_home(&mut self, now: Millis, out: &mut Vec<SubscriptionEffect>) {
        let near = |a: &SocketAddr| self.cores.iter().any(|(c, n)| *n && c == a);
        let away = self.session_addr.as_ref().is_some_and(|a| !near(a));
        if now < self.home_at || self.conn.is_none() || !away {
            return;
        }
        let all: Vec<SocketAddr> = self.cores.iter().filter(|c| c.1).map(|c| c.0).collect();
        // the first may be down for good, so each time another is tried
        let turn = (now / HOME_MS) as usize % all.len().max(1);
        if let Some(addr) = all.get(turn).copied() {
            self.home_at = now + HOME_MS;
            self.try_core(addr, true, now, out);
        }
    }

    /// Hedges: tries one more core if no renewal was granted in time.
    pub(super) fn hedge_alarm(&mut self, now: Millis, out: &mut Vec<SubscriptionEffect>) {
        if now < self.hedge_at || broken(Invariant::Hedge) {
            return;
        }
        self.hedge_at = now + self.hedge();
        let n = self.cores.len();
        let order = (0..n).map(|k| (self.next + k) % n);
        let free = order
            .filter(|i| !self.tried(self.cores[*i].0))
            .collect::<Vec<_>>();
        if let Some(i) = free.first().copied() {
            self.next = i + 1;
            self.try_core(self.cores[i].0, false, now, out);
        }
    }

    fn tried(&self, addr: SocketAddr) -> bool {
        self.session_addr == Some(addr) || self.candidates.iter().any(|c| c.addr == addr)
    }

    fn try_core(
        &mut self,
        addr: SocketAddr,
        home: bool,
        now: Millis,
        out: &mut Vec<SubscriptionEffect>,
    ) {
        if self.tried(addr) {
            return;
        }
        self.candidates.push(Candidate {
            addr,
            conn: None,
            since: now,
            renew_at: now,
            backoff_ms: self.hedge(),
            home,
        });
        out.push(SubscriptionEffect::Connect(addr));
    }

    /// Drops candidates that have granted nothing in their time, where there is
    /// another core to try. Where all are tried, as while no core leads, new
    /// connections to the same ones would only add to their load.
    pub(super) fn drop_candidates(&mut self, now: Millis, out: &mut Vec<SubscriptionEffect>) {
        let all_tried = self.cores.iter().all(|(addr, _)| self.tried(*addr));
        if all_tried && !self.proved {
            return;
        }
        let late = |c: &Candidate| now.saturating_sub(c.since) > TRY_MS;
        for c in self.candidates.iter().filter(|c| late(c)) {
            out.push(SubscriptionEffect::Disconnect(c.addr));
        }
        self.candidates.retain(|c| !late(c));
    }

    pub(super) fn renew_candidates(&mut self, now: Millis, out: &mut Vec<SubscriptionEffect>) {
        let unverified = self.unverified(now);
        for c in self.candidates.iter_mut().filter(|c| now >= c.renew_at) {
            let Some(conn) = c.conn else { continue };
            c.renew_at = now + c.backoff_ms;
            // while no core leads, all edges keep asking all cores
            c.backoff_ms = (c.backoff_ms * 2).min(MAX_BACKOFF_MS);
            let no = self.lease.ask(conn, now);
            out.push(SubscriptionEffect::Renew {
                conn,
                no,
                unverified,
            });
        }
    }

    /// Moves the session to the first core that grants a renewal: a hedge, or
    /// a core of the region also while the old session is well. Drops the
    /// other candidates.
    pub(super) fn take_session(&mut self, conn: Conn) {
        let won = self.candidates.iter().find(|c| c.conn == Some(conn));
        let won = won.copied();
        if let Some(won) = won {
            let old = self.session_addr.replace(won.addr);
            self.due.extend(old.map(SubscriptionEffect::Disconnect));
            if !won.home {
                self.due.push(SubscriptionEffect::SessionReplaced);
            }
            self.conn = Some(conn);
            self.candidates.retain(|c| c.addr != won.addr);
        }
        let needless = |c: &Candidate| won.is_some() || !c.home;
        let gone = self.candidates.iter().filter(|c| needless(c));
        self.due
            .extend(gone.map(|c| SubscriptionEffect::Disconnect(c.addr)));
        self.candidates.retain(|c| !needless(c));
    }
}
