//! The reducer: the state of one node, and the dispatch of its events.

use super::entry::{HardState, LogPosition, Member, Snapshot};
use super::event::{Effect, Event};
use super::leader_position::RegionLoad;
use super::messages::Msg;
use super::pending::{
    Confirmation, DeferredMessage, DeferredResult, LeaderTransfer, PendingProposal, PendingRead,
    PendingReadIndex, UnsyncedSave,
};
use super::progress::Progress;
use super::raft_log::RaftLog;
use super::role::{DomainLeader, Election, Role};
use super::save::{RecoveredState, Save};
use super::state_machine::StateMachine;
use super::timing::Timing;
use super::transfer_state::IncomingTransfer;
use crate::types::{Millis, NodeId, ProposalId, RegionId};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

/// One node of the consensus group, driven by [`Consensus::step`]. The other
/// modules implement its methods, one mechanism each.
pub struct Consensus<M: StateMachine> {
    pub(super) id: NodeId,
    pub(super) timing: Timing,
    pub(super) hard_state: HardState,
    pub(super) log: RaftLog,
    pub(super) state_machine: M,
    /// The newest snapshot.
    pub(super) snapshot: Option<Snapshot>,
    pub(super) committed: u64,
    pub(super) applied: u64,

    // roles and leaders
    pub(super) role: Role,
    pub(super) domain_role: Role,
    pub(super) global_leader: Option<NodeId>,
    pub(super) domain_leaders: BTreeMap<RegionId, DomainLeader>,
    pub(super) leader_contact_at: Millis,
    /// When this process last had contact with a Global Leader, or was the Global
    /// Leader; `None` until then.
    pub(super) leader_known_at: Option<Millis>,
    pub(super) domain_leader_contact_at: Millis,
    /// The connection to the Global Leader was closed, and no message from it has
    /// arrived since.
    pub(super) leader_suspected: bool,
    /// This node's region has a Domain Leader whose connection was not closed since
    /// its last heartbeat.
    pub(super) domain_leader_known: bool,

    // elections
    /// Consecutive election timeouts without contact with a Global Leader.
    pub(super) missed_elections: u32,
    pub(super) missed_election_at: Millis,
    pub(super) election_deadline: Millis,
    pub(super) domain_election_deadline: Millis,
    pub(super) election: Election,
    /// Nodes to which this one granted a pre-vote since its last contact with a
    /// Global Leader, with the time of the first grant.
    pub(super) pre_votes_granted: BTreeMap<NodeId, Millis>,
    pub(super) domain_election: Election,

    // replication
    /// Progress of all other members on the Global Leader, of the region's members
    /// on a Domain Leader.
    pub(super) progress: BTreeMap<NodeId, Progress>,
    /// Chunked transfers to this node, by sender.
    pub(super) incoming_transfers: BTreeMap<NodeId, IncomingTransfer>,
    /// When this Domain Leader last received a heartbeat reply from each node.
    pub(super) domain_peer_contact_at: BTreeMap<NodeId, Millis>,
    /// Index up to which this log is known to match the log of this term's Global
    /// Leader.
    pub(super) verified_index: u64,
    /// As Global Leader: the round of the last heartbeats sent.
    pub(super) heartbeat_round: u64,
    /// The newest heartbeat round received from the Global Leader.
    pub(super) leader_round: u64,
    pub(super) next_heartbeat_at: Millis,
    pub(super) last_heartbeat_at: Millis,
    pub(super) next_domain_heartbeat_at: Millis,

    // Fast Return
    /// The newest confirmation received.
    pub(super) confirmation: Option<Confirmation>,
    /// Index up to which this Global Leader has sent confirmations.
    pub(super) confirmed_index: u64,
    /// Index up to which each region's Domain Leader has sent the results of
    /// proposals.
    pub(super) fast_returned: BTreeMap<RegionId, u64>,
    /// By the index of the proposal's entry.
    pub(super) deferred_results: BTreeMap<u64, DeferredResult>,

    // proposals and reads
    /// Index and time of each uncommitted entry, oldest first.
    pub(super) appended_at: VecDeque<(u64, Millis)>,
    /// Index of each proposal that is in the log and not applied.
    pub(super) uncommitted_proposals: BTreeMap<ProposalId, u64>,
    pub(super) pending_proposals: BTreeMap<ProposalId, PendingProposal>,
    /// By request id.
    pub(super) pending_reads: BTreeMap<u64, PendingRead>,
    pub(super) read_index_queue: VecDeque<PendingReadIndex>,

    // placement of the Global Leader
    pub(super) unavailable_regions: BTreeSet<RegionId>,
    pub(super) region_load: BTreeMap<RegionId, RegionLoad>,
    /// Smoothed one-way delays between two regions.
    pub(super) latencies: BTreeMap<(RegionId, RegionId), Millis>,
    pub(super) next_placement_at: Millis,
    pub(super) leader_transfer: Option<LeaderTransfer>,
    /// A graceful shutdown has begun.
    pub(super) stopping: bool,

    // durable writes
    /// Number of the last save passed to the store.
    pub(super) save_seq: u64,
    /// Number of the last save synced.
    pub(super) synced_seq: u64,
    pub(super) unsynced_saves: VecDeque<UnsyncedSave>,
    pub(super) deferred_messages: VecDeque<DeferredMessage>,
    pub(super) disk_failed: bool,

    /// Time of the event being handled.
    pub(super) now: Millis,
    pub(super) rng_state: u64,
    /// Effects of the event being handled, in order.
    pub(super) effects: Vec<Effect>,
}

impl<M: StateMachine> Consensus<M> {
    /// A node that starts from the state recovered by its store. `seed` determines
    /// the random part of election timeouts.
    pub fn new(
        id: NodeId,
        timing: Timing,
        recovered: RecoveredState,
        state_machine: M,
        seed: u64,
        now: Millis,
    ) -> Consensus<M> {
        let RecoveredState {
            hard_state,
            log,
            snapshot,
            ..
        } = recovered;
        let base = log.base().index;
        let mut node = Consensus {
            id,
            timing,
            hard_state,
            log,
            state_machine,
            snapshot,
            committed: base,
            applied: base,
            role: Role::Follower,
            domain_role: Role::Follower,
            global_leader: None,
            domain_leaders: BTreeMap::new(),
            leader_contact_at: now,
            leader_known_at: None,
            domain_leader_contact_at: now,
            leader_suspected: false,
            domain_leader_known: false,
            missed_elections: 0,
            missed_election_at: now,
            election_deadline: 0,
            domain_election_deadline: 0,
            election: Election::default(),
            pre_votes_granted: BTreeMap::new(),
            domain_election: Election::default(),
            progress: BTreeMap::new(),
            incoming_transfers: BTreeMap::new(),
            domain_peer_contact_at: BTreeMap::new(),
            verified_index: 0,
            heartbeat_round: 0,
            leader_round: 0,
            next_heartbeat_at: now,
            last_heartbeat_at: now,
            next_domain_heartbeat_at: now,
            confirmation: None,
            confirmed_index: 0,
            fast_returned: BTreeMap::new(),
            deferred_results: BTreeMap::new(),
            appended_at: VecDeque::new(),
            uncommitted_proposals: BTreeMap::new(),
            pending_proposals: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            read_index_queue: VecDeque::new(),
            unavailable_regions: BTreeSet::new(),
            region_load: BTreeMap::new(),
            latencies: BTreeMap::new(),
            next_placement_at: 0,
            leader_transfer: None,
            stopping: false,
            save_seq: 0,
            synced_seq: 0,
            unsynced_saves: VecDeque::new(),
            deferred_messages: VecDeque::new(),
            disk_failed: false,
            now,
            rng_state: seed | 1,
            effects: Vec::new(),
        };
        node.next_placement_at = now + node.timing.placement_interval;
        node.reset_adaptive_election_deadline();
        node.reset_domain_election_deadline();
        // committed entries are final, so applying them needs no leader
        node.commit_to(node.hard_state.committed);
        node
    }

    /// A member of a new group. Its first save is a snapshot at position zero, with
    /// the initial members and state.
    pub fn bootstrap(
        id: NodeId,
        timing: Timing,
        members: Vec<Member>,
        state_machine: M,
        seed: u64,
        now: Millis,
    ) -> Consensus<M> {
        let snapshot = Snapshot {
            last: LogPosition::default(),
            members: members.clone(),
            image: Arc::new(state_machine.image()),
        };
        let recovered = RecoveredState {
            hard_state: HardState::default(),
            log: RaftLog::bootstrap(members),
            snapshot: Some(snapshot.clone()),
            claims: Vec::new(),
        };
        let mut node = Consensus::new(id, timing, recovered, state_machine, seed, now);
        node.save(Save::Snapshot {
            snapshot,
            discard_log: true,
        });
        node
    }

    /// Handle an event at `now`, and return the effects, which the driver has to
    /// carry out in order.
    pub fn step(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        self.now = self.now.max(now);
        match event {
            Event::Tick => self.tick(),
            Event::Stop => self.handle_stop(),
            Event::Received { from, msg } => self.handle_message(from, msg),
            Event::Saved { seq } => self.handle_saved(seq),
            Event::Disconnected { id } => self.handle_disconnect(id),
            Event::SaveFailed => self.handle_save_failed(),
            Event::SaveRecovered => self.handle_save_recovered(),
            Event::Propose { proposal_id, body } => self.propose(proposal_id, body),
            Event::Reconfigure(next) => self.reconfigure(&next),
            Event::Read { request_id } => self.read_index(request_id),
        }
        std::mem::take(&mut self.effects)
    }

    fn handle_message(&mut self, from: NodeId, msg: Msg) {
        // after a failed save, a reply could promise state that isn't durable
        if self.disk_failed {
            return;
        }
        match msg {
            Msg::DomainVoteRequest {
                domain_term,
                last,
                pre_vote,
            } => self.handle_domain_vote_request(from, domain_term, last, pre_vote),
            Msg::DomainVoteReply {
                domain_term,
                granted,
                pre_vote,
            } => self.handle_domain_vote_reply(from, domain_term, granted, pre_vote),
            Msg::DomainHeartbeat {
                domain_term,
                sent_at,
            } => self.handle_domain_heartbeat(from, domain_term, sent_at),
            Msg::DomainHeartbeatReply { sent_at, .. } => {
                self.handle_domain_heartbeat_reply(from, sent_at)
            }
            Msg::VoteRequest {
                term,
                last,
                pre_vote,
            } => self.handle_vote_request(from, term, last, pre_vote),
            Msg::VoteReply(reply) => self.handle_vote_reply(from, reply),
            Msg::Append(request) => self.handle_append(from, request),
            Msg::AppendReply(reply) => self.handle_append_reply(from, reply),
            Msg::Confirm {
                term,
                index,
                holders,
            } => self.handle_confirm(term, Confirmation { index, holders }),
            Msg::Chunk(chunk) => self.handle_chunk(from, *chunk),
            Msg::ChunkReply { term, id, received } => {
                self.handle_chunk_reply(from, term, id, received)
            }
            Msg::Propose {
                proposal_id,
                origin,
                body,
            } => self.handle_propose(proposal_id, origin, body),
            Msg::ProposalResult {
                proposal_id,
                outcome,
            } => self.complete_proposal(proposal_id, Ok(outcome)),
            Msg::ReadIndexRequest { request_id } => {
                self.handle_read_index_request(from, request_id)
            }
            Msg::ReadIndexReply { request_id, index } => {
                self.handle_read_index_reply(request_id, index)
            }
            Msg::TimeoutNow { term } => self.handle_timeout_now(term),
        }
    }
}
