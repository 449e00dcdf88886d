//! The reducer's state in one struct, and the one door for all events.

use super::chunk::ContentHeader;
use super::log::Log;
use super::position::Load;
use super::transfer::{Incoming, Transfer};
use super::types::*;
use crate::types::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
}

/// What a leader knows of one node in its own term.
#[derive(Clone, Debug, Default)]
pub struct Progress {
    pub upto: u64,
    pub next: u64,
    /// What the last append sent was to follow on.
    pub probe: u64,
    pub round: u64,
    pub seen: Millis,
    pub sent: Millis,
    /// Entries sent and not acknowledged: the last index and the bytes of each
    /// message.
    pub in_flight: VecDeque<(u64, usize)>,
    /// A snapshot or a large entry that is sent in chunks.
    pub transfer: Option<Transfer>,
}

impl Progress {
    /// The member holds the log up to `upto`.
    pub fn acknowledge(&mut self, upto: u64) {
        self.upto = self.upto.max(upto);
        self.next = self.next.max(self.upto + 1);
        let held = self.upto;
        while self.in_flight.front().is_some_and(|(i, _)| *i <= held) {
            self.in_flight.pop_front();
        }
        let arrived = |t: &Transfer| t.header().last().idx <= held;
        if self.transfer.as_ref().is_some_and(arrived) {
            self.transfer = None;
        }
    }

    /// The member's log ends, or parts from this one, after `idx`.
    pub fn fall_back(&mut self, idx: u64) {
        self.next = idx.max(self.upto) + 1;
        self.in_flight.clear();
        let entry = |t: &Transfer| matches!(t.header(), ContentHeader::Entry { .. });
        if self.transfer.as_ref().is_some_and(entry) {
            self.transfer = None;
        }
    }

    pub fn bytes_in_flight(&self) -> usize {
        self.in_flight.iter().map(|(_, bytes)| bytes).sum()
    }
}

/// An election under way, global or domain.
#[derive(Clone, Debug, Default)]
pub struct Election {
    pub since: Millis,
    pub yes: BTreeSet<NodeId>,
    /// Domain Leaders that took part, with how new their logs are.
    pub leads: BTreeMap<NodeId, LogPosition>,

    /// The own vote counts once this save is synced.
    pub seq: u64,
}

#[derive(Clone, Debug)]
pub struct PendingProposal {
    pub body: Body,
    pub since: Millis,
    pub sent: Option<Millis>,
}

#[derive(Clone, Debug)]
pub struct PendingRead {
    pub since: Millis,
    pub sent: Option<Millis>,
    pub idx: Option<u64>,
}

/// A read that the Global Leader has to prove itself for.
#[derive(Clone, Debug)]
pub struct ReadProof {
    pub from: NodeId,
    pub request_id: u64,
    pub idx: u64,
    pub round: u64,
}

/// The Domain Leader of a region, as heard of last.
#[derive(Clone, Copy, Debug, Default)]
pub struct DomainLeader {
    pub id: NodeId,
    pub dterm: u64,
    pub seen: Millis,
}

/// An outcome that a Domain Leader should give, or else we.
#[derive(Clone, Debug)]
pub struct OwedResult {
    pub since: Millis,
    pub proposal_id: ProposalId,
    pub to: NodeId,
    pub outcome: Arc<Vec<u8>>,
}

pub struct Consensus<M: StateMachine> {
    pub(super) me: NodeId,
    pub(super) timing: Timing,
    pub(super) hard: HardState,
    pub(super) log: Log,
    pub(super) machine: M,
    pub(super) image: Option<Snapshot>,
    pub(super) commit: u64,
    pub(super) applied: u64,
    pub(super) role: Role,
    pub(super) domain_role: Role,
    pub(super) gl: Option<NodeId>,
    pub(super) leads: BTreeMap<RegionId, DomainLeader>,
    pub(super) heard_gl: Millis,
    /// When a Global Leader was last heard of, or this node led, in this life.
    pub(super) led_at: Option<Millis>,
    pub(super) heard_dl: Millis,
    /// The line to the Global Leader was closed, and it was not heard since.
    pub(super) suspect: bool,
    /// A Domain Leader of the own region was heard of, and is not known gone.
    pub(super) domain_leader_known: bool,
    /// Election times that passed without word of a Global Leader, and when
    /// the last was counted.
    pub(super) elections_missed: u32,
    pub(super) election_missed_at: Millis,
    pub(super) elect_at: Millis,
    pub(super) delect_at: Millis,
    pub(super) election: Election,
    pub(super) domain_election: Election,
    /// Rows of all nodes at the Global Leader, of the region at a Domain Leader.
    pub(super) rows: BTreeMap<NodeId, Progress>,
    /// Contents that others are sending here, by sender.
    pub(super) incoming: BTreeMap<NodeId, Incoming>,
    pub(super) domain_seen: BTreeMap<NodeId, Millis>,
    /// How far this log is known to equal the Global Leader's in this term.
    pub(super) verified: u64,
    pub(super) round: u64,
    pub(super) round_from: NodeId,
    pub(super) beat_at: Millis,
    /// When the last round of heartbeats was sent.
    pub(super) beaten: Millis,
    pub(super) dbeat_at: Millis,
    pub(super) confirm: Option<(u64, Vec<NodeId>)>,
    pub(super) confirmed: u64,
    /// How far each Domain Leader says it has answered its own region.
    pub(super) fast: BTreeMap<RegionId, u64>,
    pub(super) owed: BTreeMap<u64, OwedResult>,
    pub(super) born: VecDeque<(u64, Millis)>,
    pub(super) inflight: BTreeMap<ProposalId, u64>,
    pub(super) pending_proposals: BTreeMap<ProposalId, PendingProposal>,
    pub(super) pending_reads: BTreeMap<u64, PendingRead>,
    pub(super) proofs: VecDeque<ReadProof>,
    pub(super) down: BTreeSet<RegionId>,
    pub(super) load: BTreeMap<RegionId, Load>,
    pub(super) lat: BTreeMap<(RegionId, RegionId), Millis>,
    pub(super) consider_move_at: Millis,
    pub(super) moving: Option<(NodeId, Millis)>,
    /// This node has been told to stop.
    pub(super) stopping: bool,
    pub(super) seq: u64,
    pub(super) saved: u64,
    pub(super) unsaved: VecDeque<(u64, Millis, u64)>,
    pub(super) held_back: VecDeque<(u64, NodeId, Msg)>,
    pub(super) failed: bool,
    pub(super) now: Millis,
    pub(super) rng: u64,
    pub(super) out: Vec<Effect>,
}

impl<M: StateMachine> Consensus<M> {
    pub fn new(
        me: NodeId,
        timing: Timing,
        kept: Kept,
        machine: M,
        seed: u64,
        now: Millis,
    ) -> Consensus<M> {
        let Kept {
            hard, log, snap, ..
        } = kept;
        let base = log.base().idx;
        let mut a = Consensus {
            me,
            timing,
            hard,
            log,
            machine,
            image: snap,
            commit: base,
            applied: base,
            role: Role::Follower,
            domain_role: Role::Follower,
            gl: None,
            leads: BTreeMap::new(),
            heard_gl: now,
            led_at: None,
            heard_dl: now,
            suspect: false,
            domain_leader_known: false,
            elections_missed: 0,
            election_missed_at: now,
            elect_at: 0,
            delect_at: 0,
            election: Election::default(),
            domain_election: Election::default(),
            rows: BTreeMap::new(),
            incoming: BTreeMap::new(),
            domain_seen: BTreeMap::new(),
            verified: 0,
            round: 0,
            round_from: 0,
            beat_at: now,
            beaten: now,
            dbeat_at: now,
            confirm: None,
            confirmed: 0,
            fast: BTreeMap::new(),
            owed: BTreeMap::new(),
            born: VecDeque::new(),
            inflight: BTreeMap::new(),
            pending_proposals: BTreeMap::new(),
            pending_reads: BTreeMap::new(),
            proofs: VecDeque::new(),
            down: BTreeSet::new(),
            load: BTreeMap::new(),
            lat: BTreeMap::new(),
            consider_move_at: 0,
            moving: None,
            stopping: false,
            seq: 0,
            saved: 0,
            unsaved: VecDeque::new(),
            held_back: VecDeque::new(),
            failed: false,
            now,
            rng: seed | 1,
            out: Vec::new(),
        };
        a.consider_move_at = now + a.timing.tp;
        a.soon_elect();
        a.reset_delect();
        // what was committed stays so, and need not wait for a leader
        a.advance(a.hard.commit);
        a
    }

    /// A first member of a new site; the founding is its first save.
    pub fn found(
        me: NodeId,
        timing: Timing,
        members: Vec<Member>,
        machine: M,
        seed: u64,
        now: Millis,
    ) -> Consensus<M> {
        let snap = Snapshot {
            last: LogPosition::default(),
            members: members.clone(),
            image: Arc::new(machine.image()),
        };
        let kept = Kept {
            hard: HardState::default(),
            log: Log::founded(members),
            snap: Some(snap.clone()),
            claims: Vec::new(),
        };
        let mut a = Consensus::new(me, timing, kept, machine, seed, now);
        a.save(Save::Snap { snap, reset: true });
        a
    }

    /// The one door: every event passes here, and effects come back in order.
    pub fn step(&mut self, ev: Event, now: Millis) -> Vec<Effect> {
        self.now = self.now.max(now);
        match ev {
            Event::Tick => self.tick(),
            Event::Stop => self.on_stop(),
            Event::Heard { from, msg } => self.heard(from, msg),
            Event::Saved { seq } => self.on_saved(seq),
            Event::Gone { id } => self.on_gone(id),
            Event::SaveFailed => self.on_save_failed(),
            Event::SaveRecovered => self.on_save_recovered(),
            Event::Propose { proposal_id, body } => self.ask(proposal_id, body),
            Event::Reconfigure(next) => self.reconfigure(&next),
            Event::Read { request_id } => self.look(request_id),
        }
        std::mem::take(&mut self.out)
    }

    fn heard(&mut self, from: NodeId, msg: Msg) {
        // after a failed save nothing this node says can be relied on
        if self.failed {
            return;
        }
        match msg {
            Msg::DomainVoteRequest { dterm, last, pre } => {
                self.on_domain_ask(from, dterm, last, pre)
            }
            Msg::DomainVoteReply { dterm, yes, pre } => self.on_domain_ans(from, dterm, yes, pre),
            Msg::DomainHeartbeat { dterm, sent } => self.on_domain_beat(from, dterm, sent),
            Msg::DomainHeartbeatReply { dterm, sent } => self.on_domain_back(from, dterm, sent),
            Msg::VoteRequest { term, last, pre } => self.on_ask(from, term, last, pre),
            Msg::VoteReply {
                term,
                yes,
                pre,
                leads,
                last,
            } => self.on_ans(from, (term, yes, pre), leads.then_some(last)),
            Msg::Append {
                term,
                gl,
                prev,
                entries,
                commit,
                round,
            } => self.on_append(from, (term, gl, round), prev, entries, commit),
            Msg::AppendReply {
                term,
                rows,
                hint,
                fast,
                lat,
            } => self.on_holds(from, term, rows, hint, (fast, lat)),
            Msg::Confirm {
                term,
                upto,
                holders,
            } => self.on_confirm(term, upto, holders),
            Msg::Chunk(chunk) => self.on_chunk(from, *chunk),
            Msg::ChunkReply { term, id, held } => self.on_chunk_reply(from, term, id, held),
            Msg::Propose {
                proposal_id,
                origin,
                body,
            } => self.on_propose(proposal_id, origin, body),
            Msg::ProposalResult {
                proposal_id,
                outcome,
            } => self.finish(proposal_id, Ok(outcome)),
            Msg::ReadIndexRequest { request_id } => self.on_read_ask(from, request_id),
            Msg::ReadIndexReply { request_id, idx } => self.on_read_ans(request_id, idx),
            Msg::TimeoutNow { term } => self.on_move_now(term),
        }
    }
}

/// What a store gives back at start.
pub struct Kept {
    pub hard: HardState,
    pub log: Log,
    pub snap: Option<Snapshot>,
    pub claims: Vec<ClaimRecord>,
}
