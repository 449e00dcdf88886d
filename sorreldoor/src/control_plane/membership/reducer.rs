//! Decides which membership change is due, on the leader, from what it observes.
//! Without I/O: nothing here sends, saves or reads a clock.

use super::change::{MembershipChange, Reason};
use super::observed::Observation;
use super::policy::MembershipPolicy;
use crate::consensus::Member;
use crate::types::{Millis, NodeId};
use crate::wire::Hello;
use std::collections::BTreeSet;

/// Two silent voters without standbys are demoted after this many times
/// [`MembershipPolicy::replace_after_ms`].
const DEMOTE_AFTER_PERIODS: Millis = 10;
/// A silent learner is removed after this many times
/// [`MembershipPolicy::replace_after_ms`].
const REMOVE_AFTER_PERIODS: Millis = 4;
/// A learner that has been silent for longer is no standby.
const MAX_STANDBY_SILENCE_MS: Millis = 1000;
/// Interval of the leader's membership checks.
const CHECK_MS: Millis = 100;
/// Maximum number of members; further cores do not join, so that joining machines
/// cannot grow the list without bound.
const MAX_MEMBERS: usize = 16;
/// Least number of voters that tolerate the loss of one.
const MIN_VOTERS: usize = 3;

/// The membership policy and the cores that are stopping. Kept on every core, so
/// that a new leader can decide at once.
#[derive(Clone, Debug)]
pub struct Membership {
    /// The required number and distribution of voters.
    pub policy: MembershipPolicy,
    /// Cores that have announced their shutdown and have not restarted.
    stopping: BTreeSet<NodeId>,
    next_check_at: Millis,
}

impl Membership {
    /// A state in which no core is stopping.
    pub fn new(policy: MembershipPolicy) -> Membership {
        Membership {
            policy,
            stopping: BTreeSet::new(),
            next_check_at: 0,
        }
    }

    /// Whether the members should be checked now; if so the next check is
    /// scheduled.
    pub fn begin_check(&mut self, now: Millis) -> bool {
        let due = now >= self.next_check_at;
        if due {
            self.next_check_at = now + CHECK_MS;
        }
        due
    }

    /// Records whether a core is stopping, from its hello.
    pub fn on_hello(&mut self, hello: &Hello) {
        if hello.stopping {
            self.stopping.insert(hello.id);
        } else {
            self.stopping.remove(&hello.id);
        }
    }

    /// The change that is due, if any; of several the first in the order below.
    pub fn decide(&mut self, observation: &Observation) -> Option<MembershipChange> {
        let known = |id: &NodeId| observation.members.iter().any(|m| m.id == *id);
        self.stopping.retain(known);
        self.add_learner(observation)
            .or_else(|| self.replace_after_disk_loss(observation))
            .or_else(|| self.replace_failing(observation))
            .or_else(|| self.promote_learner(observation))
            .or_else(|| self.demote_surplus(observation))
            .or_else(|| self.balance_zones(observation))
            .or_else(|| self.demote_silent_pair(observation))
            .or_else(|| self.remove_silent_learner(observation))
    }

    /// A live core that is not a member becomes a learner.
    fn add_learner(&self, observation: &Observation) -> Option<MembershipChange> {
        if observation.members.len() >= MAX_MEMBERS {
            return None;
        }
        let is_new = |h: &&Hello| !h.stopping && observation.members.iter().all(|m| m.id != h.id);
        let hello = observation.live.iter().find(is_new)?;
        let node = hello.node.clone();
        let member = joining_learner(hello);
        Some(MembershipChange::AddLearner { node, member })
    }

    /// A core with another id runs at a member's address, so the member's disk was
    /// lost. A learner is removed; a voter is replaced by the new core if that is a
    /// standby, else by the best standby.
    fn replace_after_disk_loss(&self, observation: &Observation) -> Option<MembershipChange> {
        let lost = observation.others().filter_map(|m| {
            let successor = observation
                .live
                .iter()
                .find(|h| h.addr == m.addr && h.id != m.id)?;
            Some((m, successor.id))
        });
        let reason = Reason::DiskLost;
        lost.filter_map(|(m, successor)| {
            if !m.voter {
                return Some(MembershipChange::RemoveLearner { id: m.id, reason });
            }
            let standby = self.standbys(observation).find(|s| s.id == successor);
            let promoted = standby.or_else(|| self.best_standby(observation, m))?.id;
            let demoted = m.id;
            Some(MembershipChange::Replace {
                demoted,
                promoted,
                reason,
            })
        })
        .next()
    }

    /// A voter that is silent or stopping is replaced by a standby; the longest
    /// silent one first.
    fn replace_failing(&self, observation: &Observation) -> Option<MembershipChange> {
        let mut failing: Vec<(&Member, Reason)> = observation
            .others()
            .filter(|m| m.voter)
            .filter_map(|m| Some((m, self.failure(observation, m)?)))
            .collect();
        failing.sort_by_key(|(m, _)| std::cmp::Reverse(observation.health_of(m.id).silent_ms));
        let (demoted, reason) = failing.first()?;
        let promoted = self.best_standby(observation, demoted)?.id;
        let demoted = demoted.id;
        Some(MembershipChange::Replace {
            demoted,
            promoted,
            reason: *reason,
        })
    }

    /// Why a member should lose its vote; `None` for a healthy one.
    fn failure(&self, observation: &Observation, m: &Member) -> Option<Reason> {
        if observation.health_of(m.id).silent_ms >= self.policy.replace_after_ms {
            return Some(Reason::Silent);
        }
        self.stopping.contains(&m.id).then_some(Reason::Stopping)
    }

    /// Where there are fewer voters than the target, promotes the standby that leads
    /// to the best spread.
    fn promote_learner(&self, observation: &Observation) -> Option<MembershipChange> {
        if observation.voters().count() >= self.policy.target_voters {
            return None;
        }
        let spread_with = |s: &&Member| observation.spread(|m| m.voter || m.id == s.id);
        let id = self.standbys(observation).min_by_key(spread_with)?.id;
        Some(MembershipChange::Promote { id })
    }

    /// Where there are more voters than the target, demotes a failing one, else the
    /// one whose demotion leads to the best spread.
    fn demote_surplus(&self, observation: &Observation) -> Option<MembershipChange> {
        if observation.voters().count() <= self.policy.target_voters {
            return None;
        }
        let rank = |m: &&Member| {
            let healthy = self.failure(observation, m).is_none();
            (healthy, observation.spread(|v| v.voter && v.id != m.id))
        };
        let demoted = observation.others().filter(|m| m.voter).min_by_key(rank)?;
        let reason = self
            .failure(observation, demoted)
            .unwrap_or(Reason::Surplus);
        let ids = vec![demoted.id];
        Some(MembershipChange::Demote { ids, reason })
    }

    /// Where the loss of one zone would take the majority, replaces a voter of that
    /// zone by a standby of another.
    fn balance_zones(&self, observation: &Observation) -> Option<MembershipChange> {
        let voters = observation.voters().count();
        let current = observation.spread(|m| m.voter);
        if self.policy.tolerated_zones == 0
            || voters < MIN_VOTERS
            || current.tolerates_zone_loss(voters)
        {
            return None;
        }
        let pairs = observation
            .others()
            .filter(|m| m.voter)
            .flat_map(|demoted| {
                let pair = move |s: &Member| (demoted.id, s.id);
                self.standbys(observation).map(pair)
            });
        let spread_after = |(demoted, promoted): &(NodeId, NodeId)| {
            observation.spread(|m| (m.voter && m.id != *demoted) || m.id == *promoted)
        };
        let (demoted, promoted) = pairs.min_by_key(|pair| spread_after(pair))?;
        let is_better =
            spread_after(&(demoted, promoted)).max_in_one_zone < current.max_in_one_zone;
        let reason = Reason::Zone;
        is_better.then_some(MembershipChange::Replace {
            demoted,
            promoted,
            reason,
        })
    }

    /// Demotes two long silent voters together, so that the rest tolerates one more
    /// loss. A single one keeps its vote, since its demotion would gain nothing.
    fn demote_silent_pair(&self, observation: &Observation) -> Option<MembershipChange> {
        let limit_ms = self.policy.replace_after_ms * DEMOTE_AFTER_PERIODS;
        let silent = observation
            .others()
            .filter(|m| m.voter && observation.health_of(m.id).silent_ms >= limit_ms);
        let ids: Vec<NodeId> = silent.map(|m| m.id).take(2).collect();
        let enough_voters = observation.voters().count() >= MIN_VOTERS + 2;
        let reason = Reason::Silent;
        let is_due = ids.len() == 2 && enough_voters;
        is_due.then_some(MembershipChange::Demote { ids, reason })
    }

    fn remove_silent_learner(&self, observation: &Observation) -> Option<MembershipChange> {
        let limit_ms = self.policy.replace_after_ms * REMOVE_AFTER_PERIODS;
        let is_silent = |m: &&Member| !m.voter && observation.health_of(m.id).silent_ms >= limit_ms;
        let id = observation.others().find(is_silent)?.id;
        let reason = Reason::Silent;
        Some(MembershipChange::RemoveLearner { id, reason })
    }

    /// The standbys: live learners that have caught up, are not stopping, and may
    /// vote.
    fn standbys<'a>(
        &'a self,
        observation: &'a Observation,
    ) -> impl Iterator<Item = &'a Member> + 'a {
        let is_standby = |m: &&Member| {
            let health = observation.health_of(m.id);
            let is_current = health.silent_ms <= MAX_STANDBY_SILENCE_MS && health.caught_up;
            let may_vote = |h: &Hello| h.id == m.id && !h.learner_only && !h.stopping;
            is_current && !self.stopping.contains(&m.id) && observation.live.iter().any(may_vote)
        };
        observation.others().filter(|m| !m.voter).filter(is_standby)
    }

    /// The standby that replaces a voter best: by the resulting spread, then one of
    /// the same zone.
    fn best_standby<'a>(
        &'a self,
        observation: &'a Observation,
        demoted: &Member,
    ) -> Option<&'a Member> {
        let rank = |s: &&Member| {
            let spread = observation.spread(|m| (m.voter && m.id != demoted.id) || m.id == s.id);
            (spread, s.zone != demoted.zone, s.id)
        };
        self.standbys(observation).min_by_key(rank)
    }
}

/// The member that a joining core becomes: a learner.
pub fn joining_learner(hello: &Hello) -> Member {
    Member {
        id: hello.id,
        region: hello.region,
        zone: hello.zone,
        addr: hello.addr.clone(),
        voter: false,
        outgoing: false,
    }
}
