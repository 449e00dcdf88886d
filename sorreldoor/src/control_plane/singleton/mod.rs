//! The singleton role: one core at a time polls the workers' loads, reads the
//! worker list, tracks regions and tunes weights. It is the first live voter
//! in an agreed order, and its work is fenced by an epoch in the replicated
//! state.

mod regions;

use crate::configuration::{Configuration, Route};
use crate::consensus::Member;
use crate::discovery::{Loads, WorkerRegistry};
use crate::replicated_state::{Recovery, ReplicatedState};
use crate::types::{Millis, NodeId, ProposalId};
use crate::weight_tuning;
use crate::wire::EdgeSession;
use regions::{region_capacity, RegionWatch};
use std::sync::Arc;

/// A core is the first live voter for this long before it claims the role, so
/// that a core that flaps does not take it to and fro.
const CLAIM_DELAY_MS: Millis = 1000;
/// Interval of load polls.
const POLL_MS: Millis = 500;
/// Interval of weight tuning.
const TUNE_MS: Millis = 2000;

/// The proposal by which this core claims the role, and the epoch it would
/// hold it under.
#[derive(Clone, Copy, Debug)]
struct Claim {
    proposal_id: ProposalId,
    epoch: u64,
}

/// A region's recovery state is due to change.
#[derive(Clone, Copy, Debug)]
pub(super) struct RegionTransition {
    pub region: u8,
    pub state: Recovery,
}

/// A weight that should change, as route, service and new weight.
pub(super) type WeightChange = (u16, u16, u32);

/// What this core knows of its own claim to the role, and the holder's work.
#[derive(Debug)]
pub(super) struct SingletonRole {
    /// Since when this core is the first live voter.
    candidate_since: Option<Millis>,
    poll_at: Millis,
    tune_at: Millis,
    claim: Option<Claim>,
    /// The epoch that was granted to this incarnation.
    granted_epoch: Option<u64>,
    /// The holder proposes one change at a time.
    proposal: Option<ProposalId>,
    regions: RegionWatch,
    smoothed_loads: weight_tuning::Smooth,
    latencies: weight_tuning::Times,
}

impl SingletonRole {
    /// The role is not held yet.
    pub fn new(now: Millis) -> SingletonRole {
        SingletonRole {
            candidate_since: None,
            poll_at: now,
            tune_at: now,
            claim: None,
            granted_epoch: None,
            proposal: None,
            regions: RegionWatch::default(),
            smoothed_loads: weight_tuning::Smooth::default(),
            latencies: weight_tuning::Times::default(),
        }
    }

    /// Request latencies by route and service, as this core gathered them
    /// while it held the role.
    pub fn latencies(&self) -> &weight_tuning::Times {
        &self.latencies
    }

    /// This core is not the first live voter.
    pub fn withdraw(&mut self) {
        self.candidate_since = None;
    }

    /// This core is the first live voter.
    pub fn become_candidate(&mut self, now: Millis) {
        self.candidate_since.get_or_insert(now);
    }

    /// Whether a candidate that does not hold the role should claim it now.
    pub fn claim_due(&self, now: Millis) -> bool {
        let stable = |since| now.saturating_sub(since) >= CLAIM_DELAY_MS;
        self.candidate_since.is_some_and(stable) && self.proposal.is_none()
    }

    /// Whether this incarnation of the core `me` holds the role: versions
    /// numbered under an epoch must not restart within it.
    pub fn is_holder(&self, record: &ReplicatedState, me: NodeId) -> bool {
        record.role_holder() == me && self.granted_epoch == Some(record.epoch())
    }

    /// Whether a proposal of this core's own is in flight.
    pub fn is_proposing(&self) -> bool {
        self.proposal.is_some()
    }

    /// A proposal of this core's own is about to be sent.
    pub fn proposing(&mut self, proposal_id: ProposalId) {
        self.proposal = Some(proposal_id);
    }

    /// The proposal in flight, if it has not failed at once, claims the role.
    pub fn claiming(&mut self, epoch: u64) {
        let claim = |proposal_id| Claim { proposal_id, epoch };
        self.claim = self.proposal.map(claim);
    }

    /// A proposal has ended. After a restart the log may still show the role
    /// as this core's before it has caught up, so only a claim of this
    /// incarnation counts.
    pub fn proposal_ended(&mut self, proposal_id: ProposalId, accepted: bool) {
        if self.proposal == Some(proposal_id) {
            self.proposal = None;
        }
        let granted = |claim: &Claim| accepted && claim.proposal_id == proposal_id;
        if let Some(claim) = self.claim.filter(granted) {
            self.granted_epoch = Some(claim.epoch);
        }
    }

    /// Whether a poll of loads is due; if so it counts as begun.
    pub fn begin_poll(&mut self, now: Millis) -> bool {
        let due = now >= self.poll_at;
        if due {
            self.poll_at = now + POLL_MS;
        }
        due
    }

    /// The holder has polled these loads.
    pub fn on_loads(&mut self, loads: &Loads) {
        self.smoothed_loads.take(loads);
    }

    /// The first region whose recovery state should change.
    pub fn region_transition(
        &mut self,
        record: &ReplicatedState,
        registry: Option<&Arc<WorkerRegistry>>,
        loads: &Loads,
        regions: usize,
        now: Millis,
    ) -> Option<RegionTransition> {
        let configuration = record.configuration()?;
        let workers = registry.map_or(&[][..], |registry| &registry.workers);
        (0..regions as u8).find_map(|region| {
            let capacity = region_capacity(configuration, workers, loads, region)?;
            let current = record.region_recovery(region);
            let state = self.regions.next_state(region, capacity, current, now)?;
            Some(RegionTransition { region, state })
        })
    }

    /// Whether weights should be tuned now; if so it counts as begun.
    pub fn begin_tuning(&mut self, record: &ReplicatedState, now: Millis) -> bool {
        let configuration = record.configuration();
        let due = now >= self.tune_at && configuration.is_some_and(|c| has_tunable_shares(c));
        if due {
            self.tune_at = now + TUNE_MS;
        }
        due
    }

    /// Adds the latencies that edges report, and returns the weights that should
    /// change.
    pub fn tune(
        &mut self,
        sessions: &[&EdgeSession],
        record: &ReplicatedState,
        registry: Option<&Arc<WorkerRegistry>>,
        loads: &Loads,
    ) -> Vec<WeightChange> {
        self.latencies.take(sessions);
        let (Some(configuration), Some(registry)) = (record.configuration(), registry) else {
            return Vec::new();
        };
        let by = weight_tuning::Now {
            ro: registry,
            loads,
            smooth: &self.smoothed_loads,
            times: &self.latencies,
        };
        weight_tuning::step(configuration, &record.view().weights, &by)
    }
}

/// The core that should hold the role: the first voter by zone and identity
/// that `is_live` accepts.
pub(super) fn preferred_holder(
    members: &[Member],
    is_live: impl Fn(NodeId) -> bool,
) -> Option<NodeId> {
    let voters = members.iter().filter(|member| member.voter);
    let live = voters.filter(|member| is_live(member.id));
    let first = live.min_by_key(|member| (member.zone, member.id));
    first.map(|member| member.id)
}

fn has_tunable_shares(configuration: &Configuration) -> bool {
    let tunable = |route: &Route| route.shares.iter().any(|share| share.least < share.most);
    configuration.routes.iter().any(tunable)
}
