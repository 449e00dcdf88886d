//! Views of the reducer's state, and the small pieces its parts share.

use super::log::Log;
use super::node::{Consensus, Role};
use super::quorum;
use super::types::*;
use crate::types::*;
use std::collections::BTreeMap;
use std::sync::Arc;

/// Election times without a leader after which a node takes itself for cut off.
const CUT_OFF_ELECTIONS: Millis = 4;

impl<M: StateMachine> Consensus<M> {
    // --- what others may look at ---

    pub fn me(&self) -> NodeId {
        self.me
    }
    pub fn machine(&self) -> &M {
        &self.machine
    }
    pub fn machine_mut(&mut self) -> &mut M {
        &mut self.machine
    }
    pub fn term(&self) -> u64 {
        self.hard.term
    }
    pub fn leads_globally(&self) -> bool {
        self.role == Role::Leader
    }
    pub fn leads_domain(&self) -> bool {
        self.domain_role == Role::Leader
    }
    pub fn global_leader(&self) -> Option<NodeId> {
        self.gl
    }
    pub fn commit_idx(&self) -> u64 {
        self.commit
    }
    pub fn applied_idx(&self) -> u64 {
        self.applied
    }
    pub fn log(&self) -> &Log {
        &self.log
    }
    /// Bytes of the newest snapshot's image.
    pub fn snapshot_bytes(&self) -> usize {
        self.image.as_ref().map_or(0, |s| s.image.len())
    }
    pub fn members(&self) -> &[Member] {
        self.log.members()
    }
    pub fn regions_down(&self) -> Vec<RegionId> {
        self.down.iter().copied().collect()
    }
    pub fn domain_leaders(&self) -> BTreeMap<RegionId, NodeId> {
        self.leads.iter().map(|(r, l)| (*r, l.id)).collect()
    }
    /// Milliseconds since this node, as Global Leader, heard `id`.
    pub fn silent_for(&self, id: NodeId) -> Option<Millis> {
        (self.role == Role::Leader)
            .then(|| self.rows.get(&id).map(|r| self.now.saturating_sub(r.seen)))
            .flatten()
    }
    /// Whether the newest members are committed, and no change is under way.
    pub fn members_settled(&self) -> bool {
        let committed = self.log.conf_idx() <= self.commit;
        committed && !quorum::is_joint(self.log.members())
    }
    pub fn caught_up(&self, id: NodeId) -> bool {
        self.rows
            .get(&id)
            .is_some_and(|r| r.upto > 0 && r.upto + 8 >= self.log.last().idx)
    }
    /// Whether a Global Leader was heard of lately, or is this node.
    pub fn led(&self) -> bool {
        let fresh = self.now.saturating_sub(self.heard_gl) < self.timing.elect * 2;
        self.role == Role::Leader || (self.gl.is_some() && fresh)
    }
    /// Without word of any leader for longer than an election takes, though
    /// there was one in this life: others may have a leader that this node
    /// cannot reach.
    pub fn cut_off(&self) -> bool {
        let long = self.timing.elect * CUT_OFF_ELECTIONS;
        let since = self.led_at.filter(|_| self.role != Role::Leader);
        since.is_some_and(|t| self.now.saturating_sub(t) >= long)
    }
    pub fn disk_failed(&self) -> bool {
        self.failed
    }

    // --- small shared pieces ---

    pub(super) fn region(&self) -> RegionId {
        quorum::region_of(self.log.members(), self.me).unwrap_or(RegionId::MAX)
    }

    pub(super) fn is_voter(&self) -> bool {
        quorum::voters(self.log.members()).any(|m| m.id == self.me)
    }

    pub(super) fn voters(&self) -> Vec<NodeId> {
        quorum::voters(self.log.members()).map(|m| m.id).collect()
    }

    /// Who must agree to a commit, an election or a proof of leading.
    pub(super) fn quorum(&self) -> quorum::Quorum {
        let q = quorum::Quorum::of(self.log.members());
        if self.timing.broken == Broken::NewSetOnly {
            return q.newest_only();
        }
        q
    }

    pub(super) fn region_voters(&self, r: RegionId) -> Vec<NodeId> {
        quorum::in_region(self.log.members(), r)
    }

    pub(super) fn others(&self) -> Vec<NodeId> {
        self.log
            .members()
            .iter()
            .map(|m| m.id)
            .filter(|i| *i != self.me)
            .collect()
    }

    pub(super) fn rand(&mut self, span: u64) -> u64 {
        self.rng ^= self.rng << 13;
        self.rng ^= self.rng >> 7;
        self.rng ^= self.rng << 17;
        self.rng % span.max(1)
    }

    pub(super) fn reset_elect(&mut self) {
        let r = self.rand(self.timing.elect / 2);
        self.elect_at = self.now + self.timing.elect + r;
    }

    /// As `reset_elect`, but soon while no leader is heard of.
    pub(super) fn soon_elect(&mut self) {
        if !self.unheard() {
            return self.reset_elect();
        }
        // it only pending_proposals whether others hear a leader, and unseats none
        let span = self.timing.elect / 4;
        self.elect_at = self.now + span + self.rand(span);
    }

    /// No Global Leader is heard of: in this life yet, for an election's time,
    /// or since its line was closed.
    pub(super) fn unheard(&self) -> bool {
        let old = self.now.saturating_sub(self.heard_gl) >= self.timing.elect;
        self.role != Role::Leader && (self.gl.is_none() || self.suspect || old)
    }

    pub(super) fn reset_delect(&mut self) {
        let half = self.timing.elect / 2;
        // where no Domain Leader was heard of there is none to unseat
        let span = if self.domain_leader_known {
            half
        } else {
            half / 4
        };
        self.delect_at = self.now + span + self.rand(span);
    }

    pub(super) fn note(&mut self, n: Note) {
        self.out.push(Effect::Note(n));
    }

    pub(super) fn save(&mut self, save: Save) {
        self.seq += 1;
        // from here on the own log does not count as held until synced
        let from = match &save {
            Save::Append { from, .. } => *from,
            Save::Snap { reset: true, .. } => 1,
            _ => 0,
        };
        self.unsaved.push_back((self.seq, self.now, from));
        self.out.push(Effect::Save {
            seq: self.seq,
            save,
        });
    }

    /// Keep claims with the log's own saves; the number that they are safe by.
    pub fn keep(&mut self, save: Save) -> (u64, Vec<Effect>) {
        self.save(save);
        (self.seq, std::mem::take(&mut self.out))
    }

    /// The last save that is not synced yet, if any is.
    pub fn unsaved(&self) -> Option<u64> {
        self.unsaved.back().map(|(seq, _, _)| *seq)
    }

    pub(super) fn save_hard(&mut self) {
        self.hard.commit = self.commit;
        let h = self.hard.clone();
        self.save(Save::Hard(h));
    }

    /// Send at once: for what a leader says, which relies on no save of its own.
    pub(super) fn send(&mut self, to: NodeId, msg: Msg) {
        self.out.push(Effect::Send { to, msg });
    }

    /// Send once all that has been given to the store so far is synced.
    pub(super) fn send_saved(&mut self, to: NodeId, msg: Msg) {
        if self.unsaved.is_empty() || self.timing.broken == Broken::AckEarly {
            self.send(to, msg);
        } else {
            self.held_back.push_back((self.seq, to, msg));
        }
    }

    pub(super) fn on_saved(&mut self, seq: u64) {
        self.saved = self.saved.max(seq);
        while self.unsaved.front().is_some_and(|(s, _, _)| *s <= seq) {
            self.unsaved.pop_front();
        }
        while self.held_back.front().is_some_and(|(s, _, _)| *s <= seq) {
            if let Some((_, to, msg)) = self.held_back.pop_front() {
                self.send(to, msg);
            }
        }
        self.own_row();
        self.replicate();
        self.check_elections();
    }

    pub(super) fn on_save_failed(&mut self) {
        self.failed = true;
        self.held_back.clear();
        self.note(Note::DiskFailed);
        self.step_down("disk failed");
        self.domain_role = Role::Follower;
        let pids: Vec<ProposalId> = self.pending_proposals.keys().copied().collect();
        for p in pids {
            self.finish(p, Err(Lost::Unknown));
        }
        for (request_id, _) in std::mem::take(&mut self.pending_reads) {
            self.out.push(Effect::ReadReady {
                request_id,
                ok: false,
            });
        }
    }

    /// Takes part again, as a follower that knows no leader. While the disk
    /// refused, nothing was taken in or answered, so the state in memory is
    /// still the one that the store has been given.
    pub(super) fn on_save_recovered(&mut self) {
        self.failed = false;
        self.gl = None;
        self.reset_elect();
        self.reset_delect();
    }

    /// The highest index of the own log that is synced.
    pub(super) fn synced_upto(&self) -> u64 {
        self.unsaved
            .iter()
            .filter(|(_, _, from)| *from > 0)
            .map(|(_, _, from)| from - 1)
            .min()
            .unwrap_or(u64::MAX)
            .min(self.log.last().idx)
    }

    pub(super) fn disk_stuck(&self) -> bool {
        self.failed
            || self
                .unsaved
                .front()
                .is_some_and(|(_, t, _)| self.now.saturating_sub(*t) > self.timing.stuck)
    }

    pub(super) fn finish(&mut self, proposal_id: ProposalId, outcome: Result<Arc<Vec<u8>>, Lost>) {
        if self.pending_proposals.remove(&proposal_id).is_some() {
            self.out.push(Effect::Result {
                proposal_id,
                outcome,
            });
        }
    }
}
