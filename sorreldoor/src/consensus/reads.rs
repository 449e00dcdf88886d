//! Proposals and reads as their askers see them.

use super::node::{Consensus, PendingProposal, PendingRead, ReadProof, Role};
use super::quorum;
use super::types::*;
use crate::types::*;

/// What a slow link carries at least, with other traffic on it.
const SLOW_BYTES_PER_MS: Millis = 500;

impl<M: StateMachine> Consensus<M> {
    pub(super) fn ask(&mut self, proposal_id: ProposalId, body: Body) {
        if let Some(o) = self.outcome(proposal_id) {
            self.out.push(Effect::Result {
                proposal_id,
                outcome: Ok(o),
            });
            return;
        }
        if self.failed || self.pending_proposals.len() >= self.timing.most_pending {
            let outcome = Err(Lost::Full);
            self.out.push(Effect::Result {
                proposal_id,
                outcome,
            });
            return;
        }
        let since = self.now;
        self.pending_proposals
            .entry(proposal_id)
            .or_insert(PendingProposal {
                body,
                since,
                sent: None,
            });
        self.dispatch(proposal_id);
    }

    pub(super) fn dispatch(&mut self, proposal_id: ProposalId) {
        let Some(gl) = self.gl else { return };
        let (now, origin) = (self.now, self.me);
        let Some(a) = self.pending_proposals.get_mut(&proposal_id) else {
            return;
        };
        a.sent = Some(now);
        let body = a.body.clone();
        if gl == self.me {
            self.on_propose(proposal_id, origin, body);
        } else {
            self.send(
                gl,
                Msg::Propose {
                    proposal_id,
                    origin,
                    body,
                },
            );
        }
    }

    pub(super) fn on_propose(&mut self, proposal_id: ProposalId, origin: NodeId, body: Body) {
        if self.role != Role::Leader {
            return;
        }
        if let Some(outcome) = self.outcome(proposal_id) {
            if origin == self.me {
                self.finish(proposal_id, Ok(outcome));
            } else {
                self.send(
                    origin,
                    Msg::ProposalResult {
                        proposal_id,
                        outcome,
                    },
                );
            }
            return;
        }
        let room =
            self.log.last().idx.saturating_sub(self.commit) < self.timing.most_pending as u64;
        // a retry of what is already in the log must not enter it twice
        if self.moving.is_some() || self.inflight.contains_key(&proposal_id) || !room {
            return;
        }
        let body = match body {
            Body::Members(next) => match self.dropped_member(&next) {
                Some(ms) => Body::Members(ms),
                None => return,
            },
            other => other,
        };
        if let Some(r) = quorum::region_of(self.log.members(), origin) {
            self.load.entry(r).or_default().writes += 1;
        }
        let term = self.hard.term;
        self.append(Entry {
            term,
            proposal_id,
            origin,
            body,
        });
    }

    pub(super) fn look(&mut self, request_id: u64) {
        if self.failed || self.pending_reads.len() >= self.timing.most_pending {
            self.out.push(Effect::ReadReady {
                request_id,
                ok: false,
            });
            return;
        }
        let since = self.now;
        self.pending_reads.insert(
            request_id,
            PendingRead {
                since,
                sent: None,
                idx: None,
            },
        );
        self.send_look(request_id);
    }

    fn send_look(&mut self, request_id: u64) {
        let Some(gl) = self.gl else { return };
        let now = self.now;
        if let Some(l) = self.pending_reads.get_mut(&request_id) {
            l.sent = Some(now);
        }
        if gl == self.me {
            self.on_read_ask(gl, request_id);
        } else {
            self.send(gl, Msg::ReadIndexRequest { request_id });
        }
    }

    pub(super) fn on_read_ask(&mut self, from: NodeId, request_id: u64) {
        let ready = self.log.term_at(self.commit) == Some(self.hard.term);
        if self.role != Role::Leader || !ready {
            return;
        }
        if let Some(r) = quorum::region_of(self.log.members(), from) {
            self.load.entry(r).or_default().reads += 1;
        }
        let idx = self.in_domain();
        if self.timing.broken == Broken::ReadUnproved {
            self.read_proved(from, request_id, idx);
            return;
        }
        let round = if self.timing.batch == 0 {
            self.beat();
            self.round
        } else {
            // only a heartbeat sent after the read came proves anything
            self.beat_at = self.beat_at.min(self.beaten + self.timing.batch);
            self.round + 1
        };
        self.proofs.push_back(ReadProof {
            from,
            request_id,
            idx,
            round,
        });
        self.prove_reads();
    }

    /// Let go the reads whose round a majority of all cores has echoed.
    pub(super) fn prove_reads(&mut self) {
        let quorum = self.quorum();
        while let Some(p) = self.proofs.front().cloned() {
            let proved = quorum
                .reached(|i| i == self.me || self.rows.get(&i).is_some_and(|r| r.round >= p.round));
            if !proved {
                break;
            }
            self.proofs.pop_front();
            self.read_proved(p.from, p.request_id, p.idx);
        }
    }

    fn read_proved(&mut self, from: NodeId, request_id: u64, idx: u64) {
        if from == self.me {
            self.on_read_ans(request_id, idx);
        } else {
            self.send(from, Msg::ReadIndexReply { request_id, idx });
        }
    }

    pub(super) fn on_read_ans(&mut self, request_id: u64, idx: u64) {
        if let Some(l) = self.pending_reads.get_mut(&request_id) {
            l.idx.get_or_insert(idx);
        }
        self.settle_applied();
    }

    /// Reads whose index is applied here are ready.
    pub(super) fn settle_applied(&mut self) {
        let at = self.applied;
        let ready: Vec<u64> = self
            .pending_reads
            .iter()
            .filter(|(_, l)| l.idx.is_some_and(|i| i <= at))
            .map(|(r, _)| *r)
            .collect();
        for request_id in ready {
            self.pending_reads.remove(&request_id);
            self.out.push(Effect::ReadReady {
                request_id,
                ok: true,
            });
        }
    }

    /// Retransmit what has had no answer, and give up what is too old.
    pub(super) fn tick_reads(&mut self) {
        let (now, again, most) = (self.now, self.timing.resend * 2, self.timing.ack_ms * 2);
        // a large body may still be on its way when a small one would be late
        let body_due = |a: &PendingProposal| {
            let wait = again + a.body.bytes() as Millis / SLOW_BYTES_PER_MS;
            a.sent.is_none_or(|t| now.saturating_sub(t) >= wait)
        };
        let pids: Vec<(ProposalId, bool, bool)> = self
            .pending_proposals
            .iter()
            .filter(|(_, a)| body_due(a))
            .map(|(p, a)| (*p, now.saturating_sub(a.since) >= most, a.sent.is_some()))
            .collect();
        for (p, old, sent) in pids {
            if old {
                // what was never sent is surely not taken; the rest may be
                let lost = if sent { Lost::Unknown } else { Lost::Full };
                self.finish(p, Err(lost));
            } else {
                self.dispatch(p);
            }
        }
        self.looks_alarm();
    }

    /// A read that is not proved and applied in its time is answered so, for
    /// its asker to go to another core.
    fn looks_alarm(&mut self) {
        let (now, proof, resend) = (self.now, self.timing.proof, self.timing.resend);
        let old = |l: &PendingRead| now.saturating_sub(l.since) >= proof;
        let late: Vec<u64> = self
            .pending_reads
            .iter()
            .filter(|(_, l)| old(l))
            .map(|(r, _)| *r)
            .collect();
        for request_id in late {
            self.pending_reads.remove(&request_id);
            self.out.push(Effect::ReadReady {
                request_id,
                ok: false,
            });
        }
        let unsent = |t: Option<Millis>| t.is_none_or(|t| now.saturating_sub(t) >= resend);
        let again = self
            .pending_reads
            .iter()
            .filter(|(_, l)| l.idx.is_none() && unsent(l.sent));
        for request_id in again.map(|(r, _)| *r).collect::<Vec<_>>() {
            self.send_look(request_id);
        }
    }

    /// PendingProposal a new leader for what the old one has not proved.
    pub(super) fn resend_looks(&mut self) {
        let open = self.pending_reads.iter().filter(|(_, l)| l.idx.is_none());
        for request_id in open.map(|(r, _)| *r).collect::<Vec<_>>() {
            self.send_look(request_id);
        }
    }
}
