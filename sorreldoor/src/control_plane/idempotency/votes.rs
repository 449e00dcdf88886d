//! Votes on claims: this core collects the votes for claims of its edges, and
//! votes on claims of its own edges and of its peers.

use super::claim_table::{ClaimOutcome, ClaimRecord};
use super::event::{AfterSync, Context, Effect};
use super::pending::{PendingClaim, ReplyTo};
use super::Idempotency;
use crate::log_events::LogEvent;
use crate::net::Conn;
use crate::types::{Millis, NodeId};
use crate::wire::{ClaimVote, Payload, VoteId};

impl Idempotency {
    pub(super) fn on_claim(&mut self, reply_to: ReplyTo, claim: ClaimRecord, context: &Context) {
        let vote_id = self.open_vote(reply_to, &claim, context.now);
        let granted = self.claims[&vote_id].granted().clone();
        let must_vote = !granted.contains(&context.own_id) && self.is_voting(context);
        self.effects.push(Effect::Broadcast {
            payload: Payload::ClaimVoteRequest {
                vote_id,
                claim: claim.clone(),
            },
            except: granted,
        });
        if must_vote {
            self.cast_own_vote(vote_id, claim, context);
        }
        self.finish_claim(vote_id, context);
    }

    /// The number of the vote on this claim; the pending vote if the edge has
    /// retried the claim.
    fn open_vote(&mut self, reply_to: ReplyTo, claim: &ClaimRecord, now: Millis) -> VoteId {
        let mut pending = self.claims.iter_mut();
        if let Some((vote_id, same)) = pending.find(|(_, p)| p.claim.claimant == claim.claimant) {
            same.retry(reply_to);
            return *vote_id;
        }
        self.last_vote_id += 1;
        let pending = PendingClaim::new(reply_to, claim.clone(), now);
        self.claims.insert(self.last_vote_id, pending);
        self.last_vote_id
    }

    fn cast_own_vote(&mut self, vote_id: VoteId, claim: ClaimRecord, context: &Context) {
        let grant = AfterSync::GrantOwnVote(vote_id);
        match self.try_claim(&claim, context.now) {
            ClaimOutcome::Granted => self.save_then(vec![claim], grant, context),
            ClaimOutcome::AlreadyGranted => self.save_then(Vec::new(), grant, context),
            outcome => self.on_vote_reply(context.own_id, vote_id, outcome.into(), context),
        }
    }

    fn try_claim(&mut self, claim: &ClaimRecord, now: Millis) -> ClaimOutcome {
        let outcome = self.table.claim(claim, now);
        if outcome == ClaimOutcome::Full && !self.logged_full {
            self.logged_full = true;
            let detail = format!("{} claims", self.table.len());
            self.effects
                .push(Effect::Log(LogEvent::ClaimTableFull, detail));
        }
        outcome
    }

    pub(super) fn on_vote_request(
        &mut self,
        conn: Conn,
        vote_id: VoteId,
        claim: ClaimRecord,
        context: &Context,
    ) {
        if !self.is_voting(context) {
            return;
        }
        let outcome = self.try_claim(&claim, context.now);
        let to_save = if outcome == ClaimOutcome::Granted {
            vec![claim]
        } else {
            Vec::new()
        };
        let vote = ClaimVote::from(outcome);
        let reply = Payload::ClaimVoteReply { vote_id, vote };
        self.save_then(to_save, AfterSync::Send(conn, reply), context);
    }

    pub(super) fn on_vote_reply(
        &mut self,
        voter: NodeId,
        vote_id: VoteId,
        vote: ClaimVote,
        context: &Context,
    ) {
        let Some(pending) = self.claims.get_mut(&vote_id) else {
            return;
        };
        match vote {
            ClaimVote::Granted => pending.grant(voter),
            // the claim is released, but that voter has missed the release
            ClaimVote::HeldBy(holder) if self.table.was_released(holder) => {
                let id = pending.claim.id.clone();
                let claimant = holder;
                let release = Payload::PeerRelease { id, claimant };
                self.effects.push(Effect::SendToPeer(voter, release));
                return;
            }
            ClaimVote::HeldBy(holder) => pending.reject(voter, Some(holder)),
            ClaimVote::Released | ClaimVote::Full => pending.reject(voter, None),
        }
        self.finish_claim(vote_id, context);
    }

    /// Sends the result to the edge once the vote is decided. Only the edge may
    /// release a claim that was not granted here: it may have been granted through
    /// another core meanwhile, and its request sent.
    pub(super) fn finish_claim(&mut self, vote_id: VoteId, context: &Context) {
        let pending = self.claims.get(&vote_id);
        let Some(result) = pending.and_then(|p| p.result(&context.voters, context.now)) else {
            return;
        };
        if let Some(decided) = self.claims.remove(&vote_id) {
            let answer = Payload::ClaimResult {
                request_id: decided.reply_to.request_id,
                id: decided.claim.id,
                result,
            };
            self.send(decided.reply_to.conn, answer);
        }
    }
}

impl From<ClaimOutcome> for ClaimVote {
    fn from(outcome: ClaimOutcome) -> ClaimVote {
        match outcome {
            ClaimOutcome::Granted | ClaimOutcome::AlreadyGranted => ClaimVote::Granted,
            ClaimOutcome::Conflict(holder) => ClaimVote::HeldBy(holder),
            ClaimOutcome::Released => ClaimVote::Released,
            ClaimOutcome::Full => ClaimVote::Full,
        }
    }
}
