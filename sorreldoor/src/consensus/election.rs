//! Election of the Global Leader, with pre-vote (thesis, sections 3.4 and 9.6).
//!
//! In addition to Raft's majority of all voters, the CD-Raft paper (section
//! III-C) requires N-1 of N Domain Leaders to take part. That rule is waived
//! after `region_rule_timeout`; the majority of all voters never is.
//!
//! Also contains the tick of a node, which drives all timers.

use super::entry::LogPosition;
use super::messages::{Msg, VoteReply};
use super::node::Consensus;
use super::quorum;
use super::role::{Election, Role};
use super::state_machine::StateMachine;
use super::timing::InjectedFault;
use crate::types::NodeId;

/// A voter other than the Domain Leader may campaign after more consecutive
/// election timeouts without a Global Leader than this.
const MISSED_ELECTIONS_BEFORE_ANY_VOTER: u32 = 1;

impl<M: StateMachine> Consensus<M> {
    /// Run all timers that are due.
    pub(super) fn tick(&mut self) {
        if self.disk_failed {
            return;
        }
        self.tick_domain();
        self.tick_global();
        self.advance_elections();
        self.tick_proposals();
        self.tick_reads();
    }

    fn tick_global(&mut self) {
        if self.role == Role::Leader {
            self.tick_leader();
            return;
        }
        if self.domain_role == Role::Leader && self.now >= self.next_heartbeat_at {
            self.next_heartbeat_at = self.now + self.timing.heartbeat_interval;
            self.replicate_in_domain(false);
        }
        if self.now >= self.election_deadline {
            self.handle_election_timeout();
        }
    }

    fn handle_election_timeout(&mut self) {
        self.reset_adaptive_election_deadline();
        if self.now >= self.missed_election_at + self.timing.election_timeout {
            self.missed_election_at = self.now;
            self.missed_elections += 1;
        }
        if self.promotable() && self.may_campaign() {
            self.start_pre_vote();
        }
    }

    /// The last connection to a core was closed: its process has exited, or it
    /// is about to reconnect. Brings forward the elections that replace it.
    pub(super) fn handle_disconnect(&mut self, id: NodeId) {
        let soon = self.now + self.random_below(self.timing.election_timeout / 8);
        let domain_leader = self.domain_leaders.get(&self.region());
        if domain_leader.is_some_and(|leader| leader.id == id) {
            self.domain_leader_known = false;
            self.domain_election_deadline = self.domain_election_deadline.min(soon);
        }
        // its region gets appends directly until it sends a heartbeat again
        if self.role == Role::Leader {
            self.domain_leaders.retain(|_, leader| leader.id != id);
        }
        if self.global_leader == Some(id) {
            self.leader_suspected = true;
            self.election_deadline = self.election_deadline.min(soon);
        }
    }

    /// Whether this node may campaign: as a Domain Leader always, as any other
    /// voter if its region has no Domain Leader, or after missed elections.
    ///
    /// A region without a majority elects no Domain Leader, yet may have the
    /// newest log. A Domain Leader whose log or configuration is older than
    /// that of another core cannot win, so the other core must be able to.
    fn may_campaign(&self) -> bool {
        let domain_leader = self.domain_leaders.get(&self.region());
        let contact_at = domain_leader.map_or(0, |leader| leader.last_contact_at);
        let silence = self
            .now
            .saturating_sub(contact_at.max(self.domain_leader_contact_at));
        self.domain_role == Role::Leader
            || self.missed_elections > MISSED_ELECTIONS_BEFORE_ANY_VOTER
            || silence > self.timing.region_rule_timeout
    }

    fn start_pre_vote(&mut self) {
        // a repeated pre-vote must not delay the waiver of the region rule
        let since = Some(self.election.since).filter(|_| self.role == Role::PreCandidate);
        self.role = Role::PreCandidate;
        self.election = self.new_election();
        self.election.since = since.unwrap_or(self.now);
        self.request_votes(self.hard_state.term + 1, true);
        self.advance_elections();
    }

    fn new_election(&self) -> Election {
        let mut election = Election {
            since: self.now,
            votes: [self.id].into(),
            ..Election::default()
        };
        if self.domain_role == Role::Leader {
            election.domain_leaders.insert(self.id, self.log.last());
        }
        election
    }

    fn request_votes(&mut self, term: u64, pre_vote: bool) {
        let last = self.log.last();
        for id in self.voters() {
            if id == self.id {
                continue;
            }
            let request = Msg::VoteRequest {
                term,
                last,
                pre_vote,
            };
            self.send_after_sync(id, request);
        }
    }

    pub(super) fn become_candidate(&mut self) {
        self.hard_state.term += 1;
        self.hard_state.vote = Some(self.id);
        self.global_leader = None;
        self.reset_term_state();
        self.save_hard_state();
        self.role = Role::Candidate;
        self.election = self.new_election();
        self.election.vote_save_seq = self.save_seq;
        let timeout = self.timing.election_timeout;
        self.election_deadline = self.now + timeout + self.random_below(timeout);
        self.request_votes(self.hard_state.term, false);
    }

    pub(super) fn handle_vote_request(
        &mut self,
        from: NodeId,
        term: u64,
        last: LogPosition,
        pre_vote: bool,
    ) {
        // the reply describes this node as it was before it granted the vote
        let is_domain_leader = self.domain_role == Role::Leader;
        let own_last = self.log.last();
        let granted = if pre_vote {
            self.grant_pre_vote(from, term, last)
        } else {
            self.grant_vote(from, term, last)
        };
        let reply_term = if pre_vote && granted {
            term
        } else {
            self.hard_state.term
        };
        let reply = VoteReply {
            term: reply_term,
            granted,
            pre_vote,
            is_domain_leader,
            last: own_last,
        };
        self.send_after_sync(from, Msg::VoteReply(reply));
    }

    fn is_up_to_date(&self, last: LogPosition) -> bool {
        let fault = self.timing.injected_fault;
        last >= self.log.last() || fault == InjectedFault::VoteForStaleLog
    }

    fn grant_pre_vote(&mut self, from: NodeId, term: u64, last: LogPosition) -> bool {
        // of two simultaneous campaigns only one may continue, or they would
        // split the votes repeatedly
        let outranks_candidate = match self.role {
            Role::PreCandidate => self.log.last() == last && self.id > from,
            role => role == Role::Candidate,
        };
        let granted = self.is_up_to_date(last)
            && self.no_active_leader()
            && !outranks_candidate
            && term > self.hard_state.term
            && !self.disk_stalled();
        if granted {
            self.yield_to(from);
        }
        granted
    }

    /// Abandon this node's own pre-vote in favour of `rival`, which was granted
    /// one. If the rival asks again, it may be waiting for the region rule to be
    /// waived, so this node retries with a shorter deadline. If it still asks
    /// after `region_rule_timeout`, it is assumed not to receive the replies, and
    /// this node continues its own campaign.
    fn yield_to(&mut self, rival: NodeId) {
        let first_at = *self.pre_votes_granted.entry(rival).or_insert(self.now);
        if self.role != Role::PreCandidate {
            return;
        }
        let since_first = self.now - first_at;
        if since_first == 0 || self.timing.injected_fault == InjectedFault::YieldAlways {
            self.role = Role::Follower;
            self.reset_election_deadline();
        } else if since_first <= self.timing.region_rule_timeout {
            self.role = Role::Follower;
            self.reset_adaptive_election_deadline();
        }
    }

    fn grant_vote(&mut self, from: NodeId, term: u64, last: LogPosition) -> bool {
        if term > self.hard_state.term {
            self.become_follower(term, None);
        }
        let vote = self.hard_state.vote;
        let granted = term == self.hard_state.term
            && vote.is_none_or(|id| id == from)
            && self.is_up_to_date(last)
            && self.role == Role::Follower
            && !self.disk_stalled();
        if granted && vote.is_none() {
            self.hard_state.vote = Some(from);
            self.reset_election_deadline();
            self.save_hard_state();
        }
        granted
    }

    pub(super) fn handle_vote_reply(&mut self, from: NodeId, reply: VoteReply) {
        let VoteReply {
            term,
            granted,
            pre_vote,
            is_domain_leader,
            last,
        } = reply;
        if !granted && term > self.hard_state.term {
            self.become_follower(term, None);
            return;
        }
        let campaign_term = self.hard_state.term + u64::from(pre_vote && granted);
        if self.role != Role::of_campaign(pre_vote) || (granted && term != campaign_term) {
            return;
        }
        if is_domain_leader {
            self.election.domain_leaders.insert(from, last);
        }
        if granted {
            self.election.votes.insert(from);
        }
        self.advance_elections();
    }

    /// Whether this node's campaign has succeeded: a majority of all voters
    /// granted their vote, N-1 Domain Leaders took part, and this node's log is
    /// at least as new as those of N-2 other Domain Leaders. The last two rules
    /// are waived after `region_rule_timeout`.
    fn has_won_election(&self) -> bool {
        let election = &self.election;
        if !self.quorum().is_reached(|id| election.votes.contains(&id)) {
            return false;
        }
        let regions = quorum::regions(self.log.members()).len();
        let own_last = self.log.last();
        let not_newer = election
            .domain_leaders
            .iter()
            .filter(|(id, last)| **id != self.id && own_last >= **last)
            .count();
        let region_rule = election.domain_leaders.len() + 1 >= regions && not_newer + 2 >= regions;
        // a region without a majority has no Domain Leader that could take part
        region_rule || self.now.saturating_sub(election.since) >= self.timing.region_rule_timeout
    }

    /// Advance each campaign of this node that has enough votes: from pre-vote
    /// to vote, and from vote to leader.
    pub(super) fn advance_elections(&mut self) {
        self.advance_domain_election();
        if self.role == Role::PreCandidate && self.has_won_election() {
            self.become_candidate();
        }
        // this node's own vote counts once it is synced, as any other voter's does
        let synced = self.synced_seq >= self.election.vote_save_seq;
        if self.role == Role::Candidate && synced && self.has_won_election() {
            self.become_leader();
        }
    }
}
