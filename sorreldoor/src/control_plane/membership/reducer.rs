//! The membership change that is due, decided by the leader from what it
//! observes. Pure: nothing here sends, saves or reads a clock.

use super::change::{MembershipChange, Reason};
use super::observed::Observation;
use super::policy::MembershipPolicy;
use crate::consensus::Member;
use crate::types::{Millis, NodeId};
use crate::wire::Hello;
use std::collections::BTreeSet;

/// A silent voter without a standby is demoted after this many times
/// `silent_ms`, and a silent learner is removed after `REMOVE_AFTER` times.
const DEMOTE_AFTER: Millis = 10;
const REMOVE_AFTER: Millis = 4;
/// A learner that was silent for longer cannot replace a voter.
const RECENT_MS: Millis = 1000;
/// Interval of the leader's membership checks.
const CHECK_MS: Millis = 100;
/// Members at most, so that joining machines cannot grow the list without bound.
const MAX_MEMBERS: usize = 16;
/// Fewer voters than this tolerate no loss, so no set shrinks below it.
const MIN_VOTERS: usize = 3;

/// What a core knows about members, whether or not it leads.
#[derive(Clone, Debug)]
pub struct Membership {
    /// The set of voters that the deployment asks for.
    pub policy: MembershipPolicy,
    /// Cores whose process is shutting down and has not restarted.
    stopping: BTreeSet<NodeId>,
    next_check_at: Millis,
}

impl Membership {
    /// No core is known to be stopping.
    pub fn new(policy: MembershipPolicy) -> Membership {
        Membership {
            policy,
            stopping: BTreeSet::new(),
            next_check_at: 0,
        }
    }

    /// Whether the members should be checked now; if so it counts as begun.
    pub fn begin_check(&mut self, now: Millis) -> bool {
        let due = now >= self.next_check_at;
        if due {
            self.next_check_at = now + CHECK_MS;
        }
        due
    }

    /// A core has introduced itself, or announced its shutdown.
    pub fn on_hello(&mut self, hello: &Hello) {
        if hello.stopping {
            self.stopping.insert(hello.id);
        } else {
            self.stopping.remove(&hello.id);
        }
    }

    /// The change that is due, if any.
    pub fn decide(&mut self, observed: &Observation) -> Option<MembershipChange> {
        let known = |id: &NodeId| observed.members.iter().any(|m| m.id == *id);
        self.stopping.retain(known);
        self.join(observed)
            .or_else(|| self.replace_after_disk_loss(observed))
            .or_else(|| self.replace_failing(observed))
            .or_else(|| self.fill(observed))
            .or_else(|| self.remove_surplus(observed))
            .or_else(|| self.balance_zones(observed))
            .or_else(|| self.demote_lost(observed))
            .or_else(|| self.remove_lost_learner(observed))
    }

    /// A core that is no member becomes a learner.
    fn join(&self, observed: &Observation) -> Option<MembershipChange> {
        if observed.members.len() >= MAX_MEMBERS {
            return None;
        }
        let new = |h: &&Hello| !h.stopping && observed.members.iter().all(|m| m.id != h.id);
        let hello = observed.live.iter().find(new)?;
        let node = hello.node.clone();
        let member = joining_learner(hello);
        Some(MembershipChange::AddLearner { node, member })
    }

    /// Another identity answers at a member's address: the member was lost for
    /// certain, and its successor replaces it once it can.
    fn replace_after_disk_loss(&self, observed: &Observation) -> Option<MembershipChange> {
        let wiped = observed.others().filter_map(|m| {
            let next = observed
                .live
                .iter()
                .find(|h| h.addr == m.addr && h.id != m.id)?;
            Some((m, next.id))
        });
        let reason = Reason::DiskLost;
        wiped
            .filter_map(|(m, successor)| {
                if !m.voter {
                    return Some(MembershipChange::RemoveLearner { id: m.id, reason });
                }
                let standby = self.standbys(observed).find(|s| s.id == successor);
                let promoted = standby.or_else(|| self.best_standby(observed, m))?.id;
                let demoted = m.id;
                Some(MembershipChange::Replace {
                    demoted,
                    promoted,
                    reason,
                })
            })
            .next()
    }

    /// A voter that is lost or shutting down is replaced by a learner that has
    /// caught up.
    fn replace_failing(&self, observed: &Observation) -> Option<MembershipChange> {
        let mut failing: Vec<(&Member, Reason)> = observed
            .others()
            .filter(|m| m.voter)
            .filter_map(|m| Some((m, self.failing(observed, m)?)))
            .collect();
        failing.sort_by_key(|(m, _)| std::cmp::Reverse(observed.health_of(m.id).silent_ms));
        let (demoted, reason) = failing.first()?;
        let promoted = self.best_standby(observed, demoted)?.id;
        let demoted = demoted.id;
        Some(MembershipChange::Replace {
            demoted,
            promoted,
            reason: *reason,
        })
    }

    fn failing(&self, observed: &Observation, m: &Member) -> Option<Reason> {
        if observed.health_of(m.id).silent_ms >= self.policy.silent_ms {
            return Some(Reason::Silent);
        }
        self.stopping.contains(&m.id).then_some(Reason::Stopping)
    }

    /// Fewer voters than wanted: the learner that spreads them best is one more.
    fn fill(&self, observed: &Observation) -> Option<MembershipChange> {
        if observed.voters().count() >= self.policy.target_voters {
            return None;
        }
        let next = |s: &&Member| observed.spread(|m| m.voter || m.id == s.id);
        let id = self.standbys(observed).min_by_key(next)?.id;
        Some(MembershipChange::Promote { id })
    }

    /// More voters than wanted: first one that fails, else the one without
    /// which the others are spread best.
    fn remove_surplus(&self, observed: &Observation) -> Option<MembershipChange> {
        if observed.voters().count() <= self.policy.target_voters {
            return None;
        }
        let rank = |m: &&Member| {
            let healthy = self.failing(observed, m).is_none();
            (healthy, observed.spread(|v| v.voter && v.id != m.id))
        };
        let demoted = observed.others().filter(|m| m.voter).min_by_key(rank)?;
        let reason = self.failing(observed, demoted).unwrap_or(Reason::Surplus);
        let ids = vec![demoted.id];
        Some(MembershipChange::Demote { ids, reason })
    }

    /// The loss of one zone would take the majority: a learner of another zone
    /// changes places with a voter of that one.
    fn balance_zones(&self, observed: &Observation) -> Option<MembershipChange> {
        let voters = observed.voters().count();
        let now = observed.spread(|m| m.voter);
        if self.policy.tolerated_zones == 0
            || voters < MIN_VOTERS
            || now.tolerates_zone_loss(voters)
        {
            return None;
        }
        let pairs = observed.others().filter(|m| m.voter).flat_map(|demoted| {
            let with = move |s: &Member| (demoted.id, s.id);
            self.standbys(observed).map(with)
        });
        let after = |(demoted, promoted): &(NodeId, NodeId)| {
            observed.spread(|m| (m.voter && m.id != *demoted) || m.id == *promoted)
        };
        let (demoted, promoted) = pairs.min_by_key(|pair| after(pair))?;
        let better = after(&(demoted, promoted)).max_in_one_zone < now.max_in_one_zone;
        let reason = Reason::Zone;
        better.then_some(MembershipChange::Replace {
            demoted,
            promoted,
            reason,
        })
    }

    /// Two voters lost for long: without them the rest tolerates one more loss.
    /// Without only one of them it would tolerate no more, so a single one
    /// keeps its vote.
    fn demote_lost(&self, observed: &Observation) -> Option<MembershipChange> {
        let long = self.policy.silent_ms * DEMOTE_AFTER;
        let lost = observed
            .others()
            .filter(|m| m.voter && observed.health_of(m.id).silent_ms >= long);
        let ids: Vec<NodeId> = lost.map(|m| m.id).take(2).collect();
        let enough = observed.voters().count() >= MIN_VOTERS + 2;
        let reason = Reason::Silent;
        let pair = ids.len() == 2 && enough;
        pair.then_some(MembershipChange::Demote { ids, reason })
    }

    fn remove_lost_learner(&self, observed: &Observation) -> Option<MembershipChange> {
        let long = self.policy.silent_ms * REMOVE_AFTER;
        let lost = |m: &&Member| !m.voter && observed.health_of(m.id).silent_ms >= long;
        let id = observed.others().find(lost)?.id;
        let reason = Reason::Silent;
        Some(MembershipChange::RemoveLearner { id, reason })
    }

    /// Learners that can become voters at once.
    fn standbys<'a>(&'a self, observed: &'a Observation) -> impl Iterator<Item = &'a Member> + 'a {
        let is_able = |m: &&Member| {
            let health = observed.health_of(m.id);
            let recent = health.silent_ms <= RECENT_MS && health.caught_up;
            let matches = |h: &Hello| h.id == m.id && !h.learner_only && !h.stopping;
            recent && !self.stopping.contains(&m.id) && observed.live.iter().any(matches)
        };
        observed.others().filter(|m| !m.voter).filter(is_able)
    }

    /// The standby that best replaces this voter: by the spread that it leads
    /// to, then one of the same zone.
    fn best_standby<'a>(
        &'a self,
        observed: &'a Observation,
        demoted: &Member,
    ) -> Option<&'a Member> {
        let rank = |s: &&Member| {
            let spread = observed.spread(|m| (m.voter && m.id != demoted.id) || m.id == s.id);
            (spread, s.zone != demoted.zone, s.id)
        };
        self.standbys(observed).min_by_key(rank)
    }
}

/// A core as it joins.
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
