//! The singleton role: its holder, one core at a time, polls the workers' loads,
//! reads the worker list, tracks the recovery of regions and tunes weights. The
//! first live voter by zone and id claims the role through the consensus group;
//! the holder's proposals are fenced by the epoch of its claim.

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

/// A core claims the role once it has been the first live voter for this long, so
/// that a flapping core does not claim it again and again.
const CLAIM_DELAY_MS: Millis = 1000;
/// Interval of load polls.
const POLL_INTERVAL_MS: Millis = 500;
/// Interval of weight tuning.
const TUNE_INTERVAL_MS: Millis = 2000;

/// A proposal that claims the role, and the epoch under which it would be held.
#[derive(Clone, Copy, Debug)]
struct Claim {
    proposal_id: ProposalId,
    epoch: u64,
}

/// A change of a region's recovery state that is due.
#[derive(Clone, Copy, Debug)]
pub(super) struct RegionTransition {
    pub region: u8,
    pub state: Recovery,
}

/// A new weight: route index, service index and weight.
pub(super) type WeightChange = (u16, u16, u32);

/// This core's claim to the role, its proposals for it, and the state of the
/// holder's periodic work.
#[derive(Debug)]
pub(super) struct SingletonRole {
    /// Since when this core has been the first live voter; `None` if it is not.
    candidate_since: Option<Millis>,
    next_poll_at: Millis,
    next_tune_at: Millis,
    claim: Option<Claim>,
    /// The epoch of the last claim of this incarnation that was applied.
    granted_epoch: Option<u64>,
    /// The proposal in flight; there is at most one.
    proposal: Option<ProposalId>,
    regions: RegionWatch,
    smoothed_loads: weight_tuning::SmoothedLoads,
    latencies: weight_tuning::ServiceLatencies,
}

impl SingletonRole {
    /// The state of a core that does not hold the role.
    pub fn new(now: Millis) -> SingletonRole {
        SingletonRole {
            candidate_since: None,
            next_poll_at: now,
            next_tune_at: now,
            claim: None,
            granted_epoch: None,
            proposal: None,
            regions: RegionWatch::default(),
            smoothed_loads: weight_tuning::SmoothedLoads::default(),
            latencies: weight_tuning::ServiceLatencies::default(),
        }
    }

    /// Request latencies by route and service, as collected while this core held
    /// the role.
    pub fn latencies(&self) -> &weight_tuning::ServiceLatencies {
        &self.latencies
    }

    /// Records that this core is not the first live voter.
    pub fn withdraw(&mut self) {
        self.candidate_since = None;
    }

    /// Records that this core is the first live voter.
    pub fn become_candidate(&mut self, now: Millis) {
        self.candidate_since.get_or_insert(now);
    }

    /// Whether this core, if it does not hold the role, should claim it now.
    pub fn claim_due(&self, now: Millis) -> bool {
        let stable = |since| now.saturating_sub(since) >= CLAIM_DELAY_MS;
        self.candidate_since.is_some_and(stable) && self.proposal.is_none()
    }

    /// Whether this incarnation of the core `own_id` holds the role. An earlier one
    /// does not count: versions numbered under an epoch must not restart.
    pub fn is_holder(&self, state: &ReplicatedState, own_id: NodeId) -> bool {
        state.role_holder() == own_id && self.granted_epoch == Some(state.epoch())
    }

    /// Whether a proposal for the role is in flight.
    pub fn is_proposing(&self) -> bool {
        self.proposal.is_some()
    }

    /// Records a proposal for the role that is about to be sent.
    pub fn proposal_started(&mut self, proposal_id: ProposalId) {
        self.proposal = Some(proposal_id);
    }

    /// Records that the proposal in flight claims the role; without effect if it
    /// has failed already.
    pub fn claim_started(&mut self, epoch: u64) {
        let claim = |proposal_id| Claim { proposal_id, epoch };
        self.claim = self.proposal.map(claim);
    }

    /// Records the end of a proposal. Only a claim of this incarnation grants the
    /// role: after a restart, a log that has not caught up may still show an
    /// earlier claim of this core.
    pub fn proposal_ended(&mut self, proposal_id: ProposalId, accepted: bool) {
        if self.proposal == Some(proposal_id) {
            self.proposal = None;
        }
        let granted = |claim: &Claim| accepted && claim.proposal_id == proposal_id;
        if let Some(claim) = self.claim.filter(granted) {
            self.granted_epoch = Some(claim.epoch);
        }
    }

    /// Whether a poll of loads is due; if so the next one is scheduled.
    pub fn begin_poll(&mut self, now: Millis) -> bool {
        let due = now >= self.next_poll_at;
        if due {
            self.next_poll_at = now + POLL_INTERVAL_MS;
        }
        due
    }

    /// Adds the loads of a poll to the smoothed ones.
    pub fn on_loads(&mut self, loads: &Loads) {
        self.smoothed_loads.record(loads);
    }

    /// The transition of the first region whose recovery state should change.
    pub fn region_transition(
        &mut self,
        state: &ReplicatedState,
        registry: Option<&Arc<WorkerRegistry>>,
        loads: &Loads,
        regions: usize,
        now: Millis,
    ) -> Option<RegionTransition> {
        let configuration = state.configuration()?;
        let workers = registry.map_or(&[][..], |registry| &registry.workers);
        (0..regions as u8).find_map(|region| {
            let capacity = region_capacity(configuration, workers, loads, region)?;
            let current = state.region_recovery(region);
            let next = self.regions.next_state(region, capacity, current, now)?;
            Some(RegionTransition {
                region,
                state: next,
            })
        })
    }

    /// Whether weights should be tuned now; if so the next tuning is scheduled.
    pub fn begin_tuning(&mut self, state: &ReplicatedState, now: Millis) -> bool {
        let configuration = state.configuration();
        let due = now >= self.next_tune_at && configuration.is_some_and(|c| has_tunable_shares(c));
        if due {
            self.next_tune_at = now + TUNE_INTERVAL_MS;
        }
        due
    }

    /// Adds the latencies that edges report, and returns the weights that should
    /// change.
    pub fn tune(
        &mut self,
        sessions: &[&EdgeSession],
        state: &ReplicatedState,
        registry: Option<&Arc<WorkerRegistry>>,
        loads: &Loads,
    ) -> Vec<WeightChange> {
        self.latencies.record(sessions);
        let (Some(configuration), Some(registry)) = (state.configuration(), registry) else {
            return Vec::new();
        };
        let inputs = weight_tuning::TuningInputs {
            registry,
            loads,
            smoothed_loads: &self.smoothed_loads,
            latencies: &self.latencies,
        };
        weight_tuning::step(configuration, &state.view().weights, &inputs)
    }
}

/// The core that should hold the role: the first voter by zone and id that
/// `is_live` accepts.
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
    let tunable = |route: &Route| {
        route
            .shares
            .iter()
            .any(|share| share.min_weight < share.max_weight)
    };
    configuration.routes.iter().any(tunable)
}
