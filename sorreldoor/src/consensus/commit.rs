//! When an entry is committed, who answers for it, and where the leader stands.

use super::node::{Consensus, OwedResult, Role};
use super::position::{best, Load, View};
use super::quorum;
use super::types::*;
use crate::types::*;
use std::sync::Arc;

/// A log may grow by this much more than its snapshot before the next one.
const SPARE_LOG_BYTES: usize = 256 * 1024;
/// Entries kept behind a snapshot, as a multiple of those between two.
const TAIL_FACTOR: u64 = 4;

impl<M: StateMachine> Consensus<M> {
    /// What `id` is known to hold, synced, in this term.
    fn upto(&self, id: NodeId) -> u64 {
        if id == self.me {
            let own = if self.role == Role::Leader {
                u64::MAX
            } else {
                self.verified
            };
            return self.synced_upto().min(own);
        }
        self.rows.get(&id).map_or(0, |r| r.upto)
    }

    pub(super) fn own_row(&mut self) {
        // a Domain Leader's own sync is news for the Global Leader only
        // through its held-back message, which has just been let go
        if self.role != Role::Leader && self.domain_role == Role::Leader {
            self.try_fast();
        }
    }

    fn region_up(&self, r: RegionId) -> bool {
        let live = self.now.saturating_sub(self.timing.dead);
        quorum::most(&self.region_voters(r), |i| {
            i == self.me || self.rows.get(&i).is_some_and(|w| w.seen >= live)
        })
    }

    pub(super) fn watch_regions(&mut self) {
        for r in quorum::regions(self.log.members()) {
            if self.region_up(r) {
                if self.down.remove(&r) {
                    self.note(Note::RegionUp { region: r });
                }
            } else if self.down.insert(r) {
                self.note(Note::RegionDown { region: r });
            }
        }
    }

    /// The Global Leader's in-domain commit index.
    pub(super) fn in_domain(&self) -> u64 {
        let r = self.region();
        let i = quorum::held_by_most(&self.region_voters(r), |i| self.upto(i));
        Some(i)
            .filter(|i| self.log.term_at(*i) == Some(self.hard.term) && self.region_up(r))
            .unwrap_or(0)
            .max(self.commit)
    }

    pub(super) fn commit_global(&mut self) {
        let ms = self.log.members().to_vec();
        let r = self.region();
        let rs = quorum::regions(&ms);
        let own = quorum::held_by_most(&self.region_voters(r), |i| self.upto(i));
        let held = |o: &RegionId| quorum::held_by_most(&self.region_voters(*o), |i| self.upto(i));
        let other = rs.iter().filter(|o| **o != r).map(held).max().unwrap_or(0);
        let own_up = self.region_up(r);
        let other_up = rs.iter().any(|o| *o != r && self.region_up(*o));
        let anchor = if self.timing.broken == Broken::NoAnchor {
            own.max(1)
        } else {
            self.quorum().holds(|i| self.upto(i))
        };
        let old = self.now.saturating_sub(self.timing.waive);
        let aged = self
            .born
            .iter()
            .take_while(|(_, t)| *t <= old)
            .last()
            .map_or(0, |(i, _)| *i);
        // the core majority is the safety anchor; only the region rules,
        // and only for a region that does not answer, may be waived
        let own_ok = if own_up { own.max(aged) } else { u64::MAX };
        let other_ok = if other_up { other.max(aged) } else { u64::MAX };
        let c = anchor.min(own_ok).min(other_ok);
        if c > self.commit && self.log.term_at(c) == Some(self.hard.term) {
            self.advance(c);
            while self.born.front().is_some_and(|(i, _)| *i <= c) {
                self.born.pop_front();
            }
        }
        self.confirm_domains();
    }

    /// Tell each Domain Leader whose askers wait that this region holds on.
    fn confirm_domains(&mut self) {
        let upto = self.in_domain();
        if upto <= self.confirmed || !self.timing.fast {
            return;
        }
        let ms = self.log.members().to_vec();
        let mine = self.region();
        let from = self.confirmed.max(self.log.base().idx);
        let holders: Vec<NodeId> = self
            .region_voters(mine)
            .into_iter()
            .filter(|i| self.upto(*i) >= upto)
            .collect();
        let asking: std::collections::BTreeSet<RegionId> = (from + 1..=upto)
            .filter_map(|i| self.log.get(i))
            .filter(|e| e.proposal_id != 0)
            .filter_map(|e| quorum::region_of(&ms, e.origin))
            .filter(|r| *r != mine)
            .collect();
        self.confirmed = upto;
        let term = self.hard.term;
        let to: Vec<NodeId> = asking
            .iter()
            .filter_map(|r| self.leads.get(r).map(|l| l.id))
            .collect();
        for t in to {
            let holders = holders.clone();
            self.send(
                t,
                Msg::Confirm {
                    term,
                    upto,
                    holders,
                },
            );
        }
    }

    pub(super) fn on_confirm(&mut self, term: u64, upto: u64, holders: Vec<NodeId>) {
        // a deposed Global Leader's late confirmation proves nothing
        if term != self.hard.term || self.role == Role::Leader {
            return;
        }
        if self.confirm.as_ref().is_none_or(|(u, _)| upto > *u) {
            self.confirm = Some((upto, holders));
        }
        self.try_fast();
    }

    /// Fast Return: commit here once both region majorities and the core
    /// majority hold in this term, without waiting for the Global Leader.
    pub(super) fn try_fast(&mut self) {
        if self.domain_role != Role::Leader || self.role == Role::Leader {
            return;
        }
        let Some((sure, holders)) = self.confirm.clone() else {
            return;
        };
        let r = self.region();
        let mine = quorum::held_by_most(&self.region_voters(r), |i| self.upto(i));
        let c = sure.min(mine);
        if c <= self.commit || self.log.term_at(c) != Some(self.hard.term) {
            return;
        }
        let glr = self
            .gl
            .and_then(|g| quorum::region_of(self.log.members(), g));
        let theirs = glr.map_or(Vec::new(), |g| self.region_voters(g));
        let has = |i: NodeId| holders.contains(&i) || (!theirs.contains(&i) && self.upto(i) >= c);
        let both = glr != Some(r) && quorum::most(&theirs, |i| holders.contains(&i));
        if both && self.quorum().reached(has) {
            self.advance(c);
            if let Some(g) = self.gl {
                self.tell(g, None);
            }
        }
    }

    /// Apply up to `to`, and answer whoever this node answers for.
    pub(super) fn advance(&mut self, to: u64) {
        if to <= self.commit {
            return;
        }
        self.commit = to.min(self.log.last().idx);
        while self.applied < self.commit {
            let idx = self.applied + 1;
            let Some(e) = self.log.get(idx).cloned() else {
                break;
            };
            self.applied = idx;
            let outcome = match &e.body {
                Body::Noop => continue,
                Body::Data(d) => Arc::new(self.machine.apply(idx, e.proposal_id, d)),
                Body::Members(_) => Arc::new(Vec::new()),
            };
            self.inflight.remove(&e.proposal_id);
            self.answer(idx, &e, outcome);
        }
        self.out.push(Effect::Applied { upto: self.applied });
        self.settle_applied();
        self.compact();
    }

    fn answer(&mut self, idx: u64, e: &Entry, outcome: Arc<Vec<u8>>) {
        // what a leader adds by itself has no asker
        if e.proposal_id == 0 {
            return;
        }
        self.finish(e.proposal_id, Ok(outcome.clone()));
        if e.origin == self.me {
            return;
        }
        let home = quorum::region_of(self.log.members(), e.origin);
        let mine = home == Some(self.region());
        let (proposal_id, to) = (e.proposal_id, e.origin);
        if mine && (self.role == Role::Leader || self.domain_role == Role::Leader) {
            self.send(
                to,
                Msg::ProposalResult {
                    proposal_id,
                    outcome,
                },
            );
        } else if self.role == Role::Leader {
            // its Domain Leader answers first; if it does not, we do
            let since = self.now;
            let owed = OwedResult {
                since,
                proposal_id,
                to,
                outcome,
            };
            self.owed.insert(idx, owed);
        }
    }

    /// Answer proposers whose Domain Leader has not been seen to answer.
    pub(super) fn answer_overdue(&mut self) {
        let ms = self.log.members().to_vec();
        let fast = self.fast.clone();
        let home = |o: NodeId| quorum::region_of(&ms, o);
        self.owed
            .retain(|i, o| home(o.to).is_some_and(|r| fast.get(&r).copied().unwrap_or(0) < *i));
        let wait = self.timing.resend;
        let due: Vec<u64> = self
            .owed
            .iter()
            .filter(|(_, o)| {
                !self.timing.fast
                    || home(o.to).is_some_and(|r| self.down.contains(&r))
                    || self.now.saturating_sub(o.since) >= wait
            })
            .map(|(i, _)| *i)
            .collect();
        for o in due
            .into_iter()
            .filter_map(|i| self.owed.remove(&i))
            .collect::<Vec<_>>()
        {
            let (proposal_id, outcome) = (o.proposal_id, o.outcome);
            self.send(
                o.to,
                Msg::ProposalResult {
                    proposal_id,
                    outcome,
                },
            );
        }
    }

    pub(super) fn outcome(&self, proposal_id: ProposalId) -> Option<Arc<Vec<u8>>> {
        self.machine.answered(proposal_id)
    }

    /// A snapshot is due once the log after the last has as many bytes as it,
    /// so that what making it costs is paid by what was appended.
    fn snapshot_due(&self) -> bool {
        let (at, bytes) = self
            .image
            .as_ref()
            .map_or((0, 0), |s| (s.last.idx, s.image.len()));
        let entries = self.applied.saturating_sub(at);
        entries >= self.timing.keep_log
            || (entries > 0 && self.log.bytes_after(at) > bytes + SPARE_LOG_BYTES)
    }

    fn compact(&mut self) {
        if !self.snapshot_due() {
            return;
        }
        let Some(last) = self.log.at(self.applied) else {
            return;
        };
        let snap = Snapshot {
            last,
            members: self.log.members_at(last.idx).to_vec(),
            image: Arc::new(self.machine.image()),
        };
        // whoever is being sent the snapshot before still needs what follows it
        let keep = if self.timing.broken == Broken::CompactAll {
            last.idx
        } else {
            let bytes = snap.image.len() + SPARE_LOG_BYTES;
            let count = self.timing.keep_log * TAIL_FACTOR;
            self.log.tail(last.idx, count, bytes)
        };
        self.log.compact(keep);
        self.image = Some(snap.clone());
        self.save(Save::Snap { snap, reset: false });
    }

    /// Every Tp: is there a region from which Ls would be clearly smaller?
    pub(super) fn consider_move(&mut self) {
        if let Some((id, t)) = self.moving {
            self.hand_on(id, t);
            return;
        }
        if self.stopping {
            return self.hand_over();
        }
        if self.now < self.consider_move_at {
            return;
        }
        self.consider_move_at = self.now + self.timing.tp;
        let all: Vec<RegionId> = quorum::regions(self.log.members()).into_iter().collect();
        let up: Vec<RegionId> = all.iter().copied().filter(|r| self.region_up(*r)).collect();
        let here = self.region();
        let to = best(
            &View {
                load: &self.load,
                lat: &self.lat,
                up: &up,
                all: &all,
            },
            here,
            self.timing.gain,
        );
        for l in self.load.values_mut() {
            *l = Load {
                reads: l.reads / 2,
                writes: l.writes / 2,
            };
        }
        let lead = self
            .leads
            .get(&to.unwrap_or(here))
            .filter(|l| l.id != self.me && self.now.saturating_sub(l.seen) < self.timing.dead)
            .map(|l| l.id);
        if let Some(id) = lead {
            self.move_to(id);
        }
    }

    pub(super) fn move_to(&mut self, id: NodeId) {
        // no entry is added from here on, so the next leader's log
        // becomes as new as any, and what is proposed meanwhile is retried
        self.moving = Some((id, self.now));
        self.note(Note::Moving { to: id });
        self.hand_on(id, self.now);
    }

    /// Hand over once the other's log is as long as this one's.
    fn hand_on(&mut self, id: NodeId, since: Millis) {
        let last = self.log.last().idx;
        if self.now.saturating_sub(since) > self.timing.elect * 2 {
            self.moving = None;
        } else if self.upto(id) == last && self.commit == last {
            let term = self.hard.term;
            self.send(id, Msg::TimeoutNow { term });
        }
    }
}
