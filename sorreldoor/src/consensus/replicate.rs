//! Sending the log: Global Leader to Domain Leaders, those to their regions.

use super::node::{Consensus, Progress, Role};
use super::quorum;
use super::types::*;
use crate::invariants::{broken, Invariant};
use crate::types::*;

/// Bytes of entries sent to one member and not acknowledged by it yet.
const APPEND_WINDOW_BYTES: usize = 64 * 1024;

impl<M: StateMachine> Consensus<M> {
    /// Take up the leadership just won.
    pub(super) fn lead(&mut self) {
        let now = self.now;
        let next = self.log.last().idx + 1;
        self.role = Role::Leader;
        self.gl = Some(self.me);
        self.forget_lead();
        for o in self.others() {
            let row = Progress {
                next,
                seen: now,
                ..Progress::default()
            };
            self.rows.insert(o, row);
        }
        for i in self.commit + 1..next {
            if let Some(e) = self.log.get(i).filter(|e| e.proposal_id != 0) {
                self.inflight.insert(e.proposal_id, i);
            }
            self.born.push_back((i, now));
        }
        self.consider_move_at = now + self.timing.tp;
        let (term, id) = (self.hard.term, self.me);
        self.note(Note::GlobalLeader { term, id });
        let noop = Entry {
            term,
            proposal_id: 0,
            origin: id,
            body: Body::Noop,
        };
        self.append(noop);
        self.beat();
        for p in self.pending_proposals.keys().copied().collect::<Vec<_>>() {
            self.dispatch(p);
        }
    }

    fn forget_lead(&mut self) {
        self.rows.clear();
        self.born.clear();
        self.inflight.clear();
        self.down.clear();
    }

    pub(super) fn append(&mut self, e: Entry) {
        let idx = self.log.last().idx + 1;
        if e.proposal_id != 0 {
            self.inflight.insert(e.proposal_id, idx);
        }
        self.born.push_back((idx, self.now));
        let is_conf = matches!(e.body, Body::Members(_));
        self.log.push(vec![e.clone()]);
        self.save(Save::Append {
            from: idx,
            entries: vec![e],
            commit: self.commit,
        });
        if is_conf {
            self.members_changed();
        }
        self.replicate();
    }

    pub(super) fn members_changed(&mut self) {
        let ms = self.log.members().to_vec();
        let (next, now) = (self.log.last().idx, self.now);
        if self.role == Role::Leader {
            self.rows.retain(|i, _| ms.iter().any(|m| m.id == *i));
            for m in ms.iter().filter(|m| m.id != self.me) {
                self.rows.entry(m.id).or_insert_with(|| Progress {
                    next,
                    seen: now,
                    ..Progress::default()
                });
            }
        }
        let rs = quorum::regions(&ms);
        self.leads
            .retain(|r, l| rs.contains(r) && ms.iter().any(|m| m.id == l.id));
        self.down.retain(|r| rs.contains(r));
        self.out.push(Effect::Members(ms));
    }

    /// Whom the Global Leader sends to itself; the rest get it from these.
    fn targets(&self) -> Vec<NodeId> {
        let mine = self.region();
        let fresh = self.now.saturating_sub(self.timing.dead);
        let ms = self.log.members();
        let led = |r: RegionId| {
            self.leads
                .get(&r)
                .filter(|l| r != mine && l.seen >= fresh && ms.iter().any(|m| m.id == l.id))
        };
        ms.iter()
            .filter(|m| m.id != self.me)
            // without a Domain Leader in sight the region is served directly
            .filter(|m| led(m.region).is_none_or(|l| l.id == m.id))
            .map(|m| m.id)
            .collect()
    }

    /// A heartbeat in a new round; reads prove themselves by its echo.
    pub(super) fn beat(&mut self) {
        self.round += 1;
        self.beaten = self.now;
        self.beat_at = self.now + self.timing.beat;
        for t in self.targets() {
            self.send_append(t, true);
        }
    }

    pub(super) fn lead_alarm(&mut self) {
        // by then the others may have elected another
        let live = self.now.saturating_sub(self.timing.elect);
        let heard = self
            .quorum()
            .reached(|i| i == self.me || self.rows.get(&i).is_some_and(|r| r.seen >= live));
        if !heard && !broken(Invariant::StepDown) {
            self.step_down("no majority of cores heard");
            return;
        }
        self.led_at = Some(self.now);
        if self.disk_stuck() {
            self.step_down("disk does not sync in time");
            return;
        }
        if self.now >= self.beat_at {
            self.beat();
        }
        self.watch_regions();
        self.replicate();
        self.answer_overdue();
        self.end_joint();
        if self.role == Role::Leader {
            self.consider_move();
        }
    }

    /// Whose log it is that this node passes on, and the round of heartbeats.
    pub(super) fn leader_and_round(&self) -> (NodeId, u64) {
        if self.role == Role::Leader {
            (self.me, self.round)
        } else {
            (self.gl.unwrap_or(0), self.round_from)
        }
    }

    fn send_append(&mut self, to: NodeId, beat: bool) {
        let lead = self.role == Role::Leader;
        let upto = if lead {
            self.log.last().idx
        } else {
            self.verified
        };
        let (gl, round) = self.leader_and_round();
        let (term, now) = (self.hard.term, self.now);
        let row = self.rows.entry(to).or_insert_with(|| Progress {
            next: upto + 1,
            ..Progress::default()
        });
        if row.transfer.is_some() {
            self.send_chunks(to, beat);
            return;
        }
        row.next = row.next.min(upto + 1).max(1);
        if row.next > upto && !beat {
            return;
        }
        let next = row.next;
        let Some(prev) = self.log.at(next - 1) else {
            // what was compacted away is only in the snapshot
            self.begin_snapshot(to);
            self.send_chunks(to, beat);
            return;
        };
        if let Some(entry) = self.log.get(next).filter(|e| next <= upto && e.large()) {
            let entry = entry.clone();
            (row.probe, row.sent) = (prev.idx, now);
            self.begin_entry(to, prev, &entry);
            self.send_chunks(to, beat);
            return;
        }
        let room = APPEND_WINDOW_BYTES.saturating_sub(row.bytes_in_flight());
        let entries = self.log.range(next, upto, room);
        if entries.is_empty() && !beat {
            return;
        }
        row.next = next + entries.len() as u64;
        if !entries.is_empty() {
            let bytes = entries.iter().map(Entry::bytes).sum();
            row.in_flight.push_back((row.next - 1, bytes));
        }
        row.sent = now;
        row.probe = prev.idx;
        let commit = self.commit.min(upto);
        self.send(
            to,
            Msg::Append {
                term,
                gl,
                prev,
                entries,
                commit,
                round,
            },
        );
    }

    /// Send what is new to whoever lacks it, then see what can be committed.
    pub(super) fn replicate(&mut self) {
        if self.role == Role::Leader {
            for t in self.targets() {
                self.send_append(t, false);
            }
            self.commit_global();
            self.prove_reads();
        } else if self.domain_role == Role::Leader {
            self.replicate_in_domain(false);
            self.try_fast();
        }
    }

    /// A Domain Leader passes on what it has verified.
    pub(super) fn replicate_in_domain(&mut self, beat: bool) {
        let away = self.gl.is_some_and(|g| g != self.me);
        let fresh = self.now.saturating_sub(self.heard_gl) < self.timing.elect;
        let glr = self
            .gl
            .and_then(|g| quorum::region_of(self.log.members(), g));
        // in its own region the Global Leader speaks for itself
        if self.domain_role != Role::Leader
            || !away
            || !fresh
            || self.verified == 0
            || glr == Some(self.region())
        {
            return;
        }
        let r = self.region();
        let to: Vec<NodeId> = self
            .log
            .members()
            .iter()
            .filter(|m| m.region == r && m.id != self.me)
            .map(|m| m.id)
            .collect();
        for t in to {
            self.send_append(t, beat);
        }
    }

    /// Say what this node, and its region if it leads it, hold in this term.
    pub(super) fn tell(&mut self, to: NodeId, hint: Option<u64>) {
        let me = Held {
            id: self.me,
            upto: self.verified,
            round: self.round_from,
        };
        let mut rows = vec![me];
        if self.domain_role == Role::Leader && self.role != Role::Leader {
            let r = self.region();
            let ms = self.log.members();
            rows.extend(
                self.rows
                    .iter()
                    .filter(|(i, _)| quorum::region_of(ms, **i) == Some(r))
                    .map(|(i, w)| Held {
                        id: *i,
                        upto: w.upto,
                        round: w.round,
                    }),
            );
        }
        let lat = self.lat.iter().map(|((_, r), l)| (*r, *l)).collect();
        let msg = Msg::AppendReply {
            term: self.hard.term,
            rows,
            hint,
            fast: if self.domain_role == Role::Leader {
                self.commit
            } else {
                0
            },
            lat,
        };
        self.send_saved(to, msg);
    }

    pub(super) fn on_holds(
        &mut self,
        from: NodeId,
        term: u64,
        rows: Vec<Held>,
        hint: Option<u64>,
        more: (u64, Vec<(RegionId, Millis)>),
    ) {
        if term > self.hard.term {
            self.take_term(term, None);
            return;
        }
        let leads = self.role == Role::Leader || self.domain_role == Role::Leader;
        // an ack of another term says nothing about this one's log
        if term < self.hard.term || !leads {
            return;
        }
        let mut grew = false;
        for h in rows.iter().filter(|h| h.id != self.me) {
            let now = self.now;
            let row = self.rows.entry(h.id).or_default();
            if h.round > row.round || h.upto > row.upto || h.id == from {
                row.seen = now;
            }
            grew |= h.upto > row.upto || h.round > row.round;
            row.round = row.round.max(h.round);
            row.acknowledge(h.upto);
        }
        if let (Some(h), Some(row)) = (hint, self.rows.get_mut(&from)) {
            row.fall_back(h);
            // a node that says it lost what it acked must not make the two
            // answer each other at once for ever; the next heartbeat tries again
            if row.probe != row.next - 1 || self.now.saturating_sub(row.sent) >= self.timing.resend
            {
                self.send_append(from, false);
            }
        }
        if self.role == Role::Leader {
            let r = quorum::region_of(self.log.members(), from);
            if let Some(r) = r {
                let f = self.fast.entry(r).or_default();
                *f = (*f).max(more.0);
                self.lat.extend(more.1.iter().map(|(o, l)| ((r, *o), *l)));
            }
        } else if let Some(g) = self.gl.filter(|_| grew) {
            self.tell(g, None);
        }
        self.replicate();
    }
}
