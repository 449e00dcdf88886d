//! Election of a region's Domain Leader by the region's voters, and the
//! heartbeats that maintain its leadership (CD-Raft paper, sections III-B and
//! III-C).

use super::entry::LogPosition;
use super::event::StateChange;
use super::messages::Msg;
use super::node::Consensus;
use super::quorum;
use super::role::{DomainLeader, Election, Role};
use super::state_machine::StateMachine;
use crate::types::{Millis, NodeId, RegionId};

/// Each measured delay has a weight of one in this many in the moving average, so
/// that one slow reply doesn't move the Global Leader.
const LATENCY_SMOOTHING: Millis = 8;

impl<M: StateMachine> Consensus<M> {
    pub(super) fn tick_domain(&mut self) {
        if self.domain_role == Role::Leader {
            self.tick_domain_leader();
        } else if self.now >= self.domain_election_deadline && self.promotable() {
            self.start_domain_pre_vote();
        }
    }

    fn tick_domain_leader(&mut self) {
        let live = self.now.saturating_sub(self.timing.election_timeout);
        let voters = self.region_voters(self.region());
        let has_quorum = quorum::has_majority(&voters, |id| {
            id == self.id
                || self
                    .domain_peer_contact_at
                    .get(&id)
                    .is_some_and(|contact_at| *contact_at >= live)
        });
        // without a quorum of the region, it must not block the next election
        if !has_quorum || self.disk_stalled() || !self.is_voter() {
            self.domain_role = Role::Follower;
            self.reset_domain_election_deadline();
        } else if self.now >= self.next_domain_heartbeat_at {
            self.broadcast_domain_heartbeat();
        }
    }

    fn broadcast_domain_heartbeat(&mut self) {
        // a separate timer: reads bring the Global Leader's heartbeats forward,
        // which must not delay those of the Domain Leader
        self.next_domain_heartbeat_at = self.now + self.timing.heartbeat_interval;
        let domain_term = self.hard_state.domain_term;
        let sent_at = self.now;
        self.record_domain_leader(self.region(), self.id, domain_term);
        self.domain_leader_contact_at = sent_at;
        for id in self.others() {
            let heartbeat = Msg::DomainHeartbeat {
                domain_term,
                sent_at,
            };
            self.send(id, heartbeat);
        }
    }

    fn record_domain_leader(&mut self, region: RegionId, id: NodeId, domain_term: u64) {
        let leader = DomainLeader {
            id,
            domain_term,
            last_contact_at: self.now,
        };
        self.domain_leaders.insert(region, leader);
    }

    fn start_domain_pre_vote(&mut self) {
        self.reset_domain_election_deadline();
        self.domain_role = Role::PreCandidate;
        self.domain_election = Election {
            since: self.now,
            votes: [self.id].into(),
            ..Election::default()
        };
        self.request_domain_votes(self.hard_state.domain_term + 1, true);
        self.advance_elections();
    }

    fn request_domain_votes(&mut self, domain_term: u64, pre_vote: bool) {
        let last = self.log.last();
        for id in self.region_voters(self.region()) {
            if id == self.id {
                continue;
            }
            let request = Msg::DomainVoteRequest {
                domain_term,
                last,
                pre_vote,
            };
            self.send_after_sync(id, request);
        }
    }

    pub(super) fn handle_domain_vote_request(
        &mut self,
        from: NodeId,
        domain_term: u64,
        last: LogPosition,
        pre_vote: bool,
    ) {
        let granted = if pre_vote {
            self.grants_domain_pre_vote(domain_term, last)
        } else {
            self.grant_domain_vote(from, domain_term, last)
        };
        let domain_term = if pre_vote {
            domain_term
        } else {
            self.hard_state.domain_term
        };
        let reply = Msg::DomainVoteReply {
            domain_term,
            granted,
            pre_vote,
        };
        self.send_after_sync(from, reply);
    }

    fn grants_domain_pre_vote(&self, domain_term: u64, last: LogPosition) -> bool {
        let silence = self.now.saturating_sub(self.domain_leader_contact_at);
        let silent = silence >= self.timing.election_timeout / 2;
        let no_leader = (silent || !self.domain_leader_known) && self.domain_role != Role::Leader;
        last >= self.log.last()
            && no_leader
            && domain_term > self.hard_state.domain_term
            && !self.disk_stalled()
    }

    fn grant_domain_vote(&mut self, from: NodeId, domain_term: u64, last: LogPosition) -> bool {
        if domain_term > self.hard_state.domain_term {
            self.enter_domain_term(domain_term);
        }
        let vote = self.hard_state.domain_vote;
        let granted = domain_term == self.hard_state.domain_term
            && vote.is_none_or(|id| id == from)
            && last >= self.log.last()
            && !self.disk_stalled();
        if granted && vote.is_none() {
            self.hard_state.domain_vote = Some(from);
            self.reset_domain_election_deadline();
            self.save_hard_state();
        }
        granted
    }

    fn enter_domain_term(&mut self, domain_term: u64) {
        self.hard_state.domain_term = domain_term;
        self.hard_state.domain_vote = None;
        self.domain_role = Role::Follower;
        self.save_hard_state();
    }

    pub(super) fn handle_domain_vote_reply(
        &mut self,
        from: NodeId,
        domain_term: u64,
        granted: bool,
        pre_vote: bool,
    ) {
        if !granted && domain_term > self.hard_state.domain_term {
            self.enter_domain_term(domain_term);
            return;
        }
        let campaign = Role::of_campaign(pre_vote);
        let campaign_term = self.hard_state.domain_term + u64::from(pre_vote);
        if granted && self.domain_role == campaign && domain_term == campaign_term {
            self.domain_election.votes.insert(from);
            self.advance_elections();
        }
    }

    /// With a majority of the region's voters, advance this node's campaign: from
    /// pre-vote to vote, and from vote to Domain Leader.
    pub(super) fn advance_domain_election(&mut self) {
        let voters = self.region_voters(self.region());
        let won =
            |election: &Election| quorum::has_majority(&voters, |id| election.votes.contains(&id));
        if self.domain_role == Role::PreCandidate && won(&self.domain_election) {
            self.become_domain_candidate();
        }
        // this node's own vote counts once it is synced, as any other voter's does
        let synced = self.synced_seq >= self.domain_election.vote_save_seq;
        if self.domain_role == Role::Candidate && won(&self.domain_election) && synced {
            self.become_domain_leader(&voters);
        }
    }

    fn become_domain_candidate(&mut self) {
        self.hard_state.domain_term += 1;
        self.hard_state.domain_vote = Some(self.id);
        self.save_hard_state();
        self.domain_role = Role::Candidate;
        self.domain_election.votes = [self.id].into();
        self.domain_election.vote_save_seq = self.save_seq;
        self.request_domain_votes(self.hard_state.domain_term, false);
    }

    fn become_domain_leader(&mut self, voters: &[NodeId]) {
        self.domain_role = Role::Leader;
        self.report(StateChange::DomainLeader {
            domain_term: self.hard_state.domain_term,
            id: self.id,
        });
        let now = self.now;
        self.domain_peer_contact_at = voters.iter().map(|id| (*id, now)).collect();
        // a Global Leader's progress covers all regions and stays valid
        if self.role != Role::Leader {
            self.progress.clear();
        }
        self.domain_leader_known = true;
        self.broadcast_domain_heartbeat();
        if self.no_active_leader() {
            let soon = self.now + self.random_below(self.timing.election_timeout / 16);
            self.election_deadline = self.election_deadline.min(soon);
        }
    }

    pub(super) fn handle_domain_heartbeat(
        &mut self,
        from: NodeId,
        domain_term: u64,
        sent_at: Millis,
    ) {
        let Some(region) = quorum::region_of(self.log.members(), from) else {
            return;
        };
        let known = self.domain_leaders.get(&region);
        if domain_term >= known.map_or(0, |leader| leader.domain_term) {
            self.record_domain_leader(region, from, domain_term);
        }
        if region == self.region() {
            if domain_term < self.hard_state.domain_term {
                return;
            }
            self.accept_domain_leader(domain_term);
        }
        let reply = Msg::DomainHeartbeatReply {
            domain_term,
            sent_at,
        };
        self.send_after_sync(from, reply);
    }

    fn accept_domain_leader(&mut self, domain_term: u64) {
        if domain_term > self.hard_state.domain_term {
            self.enter_domain_term(domain_term);
        }
        if self.domain_role != Role::Leader {
            self.domain_role = Role::Follower;
        }
        self.domain_leader_contact_at = self.now;
        self.domain_leader_known = true;
        self.reset_domain_election_deadline();
    }

    pub(super) fn handle_domain_heartbeat_reply(&mut self, from: NodeId, sent_at: Millis) {
        self.domain_peer_contact_at.insert(from, self.now);
        let own = self.region();
        let region = quorum::region_of(self.log.members(), from);
        let Some(region) = region.filter(|r| *r != own) else {
            return;
        };
        let one_way = self.now.saturating_sub(sent_at).div_ceil(2);
        let smoothed = self.latencies.entry((own, region)).or_insert(one_way);
        let weighted = *smoothed * (LATENCY_SMOOTHING - 1) + one_way;
        *smoothed = weighted.div_ceil(LATENCY_SMOOTHING);
    }
}
