//! Which change of the members is due, decided by the leader from what it
//! observes. Pure: nothing here sends, saves or reads a clock.

use super::spread::Spread;
use crate::consensus::Member;
use crate::types::{Millis, NodeId, RegionId};
use crate::wire::Hello;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A silent voter without a standby is given up after so many times
/// `silent_ms`, and so is a silent learner after `FORGET`.
const GIVE_UP: Millis = 10;
const FORGET: Millis = 4;
/// A learner heard within so long can take a voter's place.
const FRESH_MS: Millis = 1000;
/// Interval of the leader's membership checks.
const CHECK_MS: Millis = 100;
/// Members at most, so that joining machines cannot make the list grow for ever.
const MOST_MEMBERS: usize = 16;
/// Fewer voters than this tolerate no loss, so no set shrinks below it.
const LEAST_VOTERS: usize = 3;

/// What the deployment asks of the set of voters.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Voters wanted: twice the machines to be lost at once, and one.
    pub voters: usize,
    /// Zones that may be lost at once; 0 or 1.
    pub zones: usize,
    /// Silence after which a voter counts as lost.
    pub silent_ms: Millis,
}

impl Policy {
    pub fn tolerating(nodes: usize, zones: usize, silent_ms: Millis) -> Policy {
        let voters = 2 * nodes + 1;
        Policy {
            voters,
            zones,
            silent_ms,
        }
    }
}

/// What the leader knows of one member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    pub silent_ms: Millis,
    pub caught_up: bool,
}

/// All that a decision rests on. The members are committed, and no change of
/// them is under way.
#[derive(Clone, Debug)]
pub struct Observed<'a> {
    pub leader: NodeId,
    pub members: &'a [Member],
    /// Of every member but the leader.
    pub health: BTreeMap<NodeId, Health>,
    /// Cores that are heard, one for each address.
    pub live: &'a [Hello],
}

/// One change of the members.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipChange {
    AddLearner { node: String, member: Member },
    Promote { id: NodeId },
    Swap { out: NodeId, into: NodeId, why: Why },
    Demote { ids: Vec<NodeId>, why: Why },
    DropLearner { id: NodeId, why: Why },
}

/// Why a member loses its place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    /// Another identity answers at its address: its disk is gone for certain.
    Wiped,
    Stopping,
    Silent,
    /// There are more voters than wanted.
    Surplus,
    /// Too many voters stand in one zone.
    Zone,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Why::Wiped => "came back blank",
            Why::Stopping => "is stopping",
            Why::Silent => "is silent",
            Why::Surplus => "is one voter too many",
            Why::Zone => "shares its zone with other voters",
        })
    }
}

impl fmt::Display for MembershipChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            MembershipChange::AddLearner { node, .. } => write!(f, "{node} joins as a non-voter"),
            MembershipChange::Promote { id } => write!(f, "{id:x} becomes a voter"),
            MembershipChange::Swap { out, into, why } => {
                write!(f, "{out:x} {why}, {into:x} becomes a voter for it")
            }
            MembershipChange::Demote { ids, why } => {
                let ids: Vec<String> = ids.iter().map(|id| format!("{id:x}")).collect();
                write!(f, "{} {why} and loses its vote", ids.join(" "))
            }
            MembershipChange::DropLearner { id, why } => write!(f, "{id:x} {why} and is removed"),
        }
    }
}

impl MembershipChange {
    /// The members after this change.
    pub fn applied(&self, members: &[Member]) -> Vec<Member> {
        let mut next = members.to_vec();
        let mut vote = |id: NodeId, voter: bool| {
            let found = next.iter_mut().filter(|m| m.id == id);
            found.for_each(|m| m.voter = voter);
        };
        match self {
            MembershipChange::AddLearner { member, .. } => next.push(member.clone()),
            MembershipChange::Promote { id } => vote(*id, true),
            MembershipChange::Swap { out, into, .. } => {
                vote(*out, false);
                vote(*into, true);
            }
            MembershipChange::Demote { ids, .. } => ids.iter().for_each(|id| vote(*id, false)),
            MembershipChange::DropLearner { id, .. } => next.retain(|m| m.id != *id),
        }
        next
    }
}

/// What a core remembers about members, whoever leads.
#[derive(Clone, Debug)]
pub struct Membership {
    pub policy: Policy,
    /// Cores whose process said that it stops, and has not started again.
    stopping: BTreeSet<NodeId>,
    next_check_at: Millis,
}

impl Membership {
    pub fn new(policy: Policy) -> Membership {
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

    /// A core has said who it is, or that it is told to stop.
    pub fn on_hello(&mut self, hello: &Hello) {
        if hello.stopping {
            self.stopping.insert(hello.id);
        } else {
            self.stopping.remove(&hello.id);
        }
    }

    /// The change that is due, if any is.
    pub fn decide(&mut self, seen: &Observed) -> Option<MembershipChange> {
        let known = |id: &NodeId| seen.members.iter().any(|m| m.id == *id);
        self.stopping.retain(known);
        self.join(seen)
            .or_else(|| self.replace_wiped(seen))
            .or_else(|| self.replace_failing(seen))
            .or_else(|| self.fill(seen))
            .or_else(|| self.shed_surplus(seen))
            .or_else(|| self.spread_over_zones(seen))
            .or_else(|| self.give_up_lost(seen))
            .or_else(|| self.forget_learner(seen))
    }

    /// A core that is no member becomes a learner.
    fn join(&self, seen: &Observed) -> Option<MembershipChange> {
        if seen.members.len() >= MOST_MEMBERS {
            return None;
        }
        let new = |h: &&Hello| !h.stopping && seen.members.iter().all(|m| m.id != h.id);
        let hello = seen.live.iter().find(new)?;
        let node = hello.node.clone();
        let member = learner(hello);
        Some(MembershipChange::AddLearner { node, member })
    }

    /// Another identity answers at a member's address: whoever was there is
    /// gone for certain, and its successor takes its place once it can.
    fn replace_wiped(&self, seen: &Observed) -> Option<MembershipChange> {
        let gone = seen.others().filter_map(|m| {
            let next = seen
                .live
                .iter()
                .find(|h| h.addr == m.addr && h.id != m.id)?;
            Some((m, next.id))
        });
        let why = Why::Wiped;
        gone.filter_map(|(m, successor)| {
            if !m.voter {
                return Some(MembershipChange::DropLearner { id: m.id, why });
            }
            let standby = self.standbys(seen).find(|s| s.id == successor);
            let into = standby.or_else(|| self.best_standby(seen, m))?.id;
            let out = m.id;
            Some(MembershipChange::Swap { out, into, why })
        })
        .next()
    }

    /// A voter that is lost, or says that it stops, gives its vote to a
    /// learner that has caught up.
    fn replace_failing(&self, seen: &Observed) -> Option<MembershipChange> {
        let mut failing: Vec<(&Member, Why)> = seen
            .others()
            .filter(|m| m.voter)
            .filter_map(|m| Some((m, self.failing(seen, m)?)))
            .collect();
        failing.sort_by_key(|(m, _)| std::cmp::Reverse(seen.health_of(m.id).silent_ms));
        let (out, why) = failing.first()?;
        let into = self.best_standby(seen, out)?.id;
        let out = out.id;
        Some(MembershipChange::Swap {
            out,
            into,
            why: *why,
        })
    }

    fn failing(&self, seen: &Observed, m: &Member) -> Option<Why> {
        if seen.health_of(m.id).silent_ms >= self.policy.silent_ms {
            return Some(Why::Silent);
        }
        self.stopping.contains(&m.id).then_some(Why::Stopping)
    }

    /// Fewer voters than wanted: the learner that spreads them best is one more.
    fn fill(&self, seen: &Observed) -> Option<MembershipChange> {
        if seen.voters().count() >= self.policy.voters {
            return None;
        }
        let next = |s: &&Member| seen.spread(|m| m.voter || m.id == s.id);
        let id = self.standbys(seen).min_by_key(next)?.id;
        Some(MembershipChange::Promote { id })
    }

    /// More voters than wanted: first one that fails, else the one without
    /// which the others are spread best.
    fn shed_surplus(&self, seen: &Observed) -> Option<MembershipChange> {
        if seen.voters().count() <= self.policy.voters {
            return None;
        }
        let rank = |m: &&Member| {
            let sound = self.failing(seen, m).is_none();
            (sound, seen.spread(|v| v.voter && v.id != m.id))
        };
        let out = seen.others().filter(|m| m.voter).min_by_key(rank)?;
        let why = self.failing(seen, out).unwrap_or(Why::Surplus);
        let ids = vec![out.id];
        Some(MembershipChange::Demote { ids, why })
    }

    /// The loss of one zone would take the majority: a learner of another zone
    /// changes places with a voter of that one.
    fn spread_over_zones(&self, seen: &Observed) -> Option<MembershipChange> {
        let voters = seen.voters().count();
        let now = seen.spread(|m| m.voter);
        if self.policy.zones == 0 || voters < LEAST_VOTERS || now.bears_a_zone(voters) {
            return None;
        }
        let pairs = seen.others().filter(|m| m.voter).flat_map(|out| {
            let with = move |s: &Member| (out.id, s.id);
            self.standbys(seen).map(with)
        });
        let after = |(out, into): &(NodeId, NodeId)| {
            seen.spread(|m| (m.voter && m.id != *out) || m.id == *into)
        };
        let (out, into) = pairs.min_by_key(|pair| after(pair))?;
        let better = after(&(out, into)).in_one_zone < now.in_one_zone;
        let why = Why::Zone;
        better.then_some(MembershipChange::Swap { out, into, why })
    }

    /// Two voters lost for long: without them the rest tolerates one loss
    /// more. Without one of them it would tolerate none more, so one alone
    /// keeps its vote.
    fn give_up_lost(&self, seen: &Observed) -> Option<MembershipChange> {
        let long = self.policy.silent_ms * GIVE_UP;
        let lost = seen
            .others()
            .filter(|m| m.voter && seen.health_of(m.id).silent_ms >= long);
        let ids: Vec<NodeId> = lost.map(|m| m.id).take(2).collect();
        let enough = seen.voters().count() >= LEAST_VOTERS + 2;
        let why = Why::Silent;
        let pair = ids.len() == 2 && enough;
        pair.then_some(MembershipChange::Demote { ids, why })
    }

    fn forget_learner(&self, seen: &Observed) -> Option<MembershipChange> {
        let long = self.policy.silent_ms * FORGET;
        let lost = |m: &&Member| !m.voter && seen.health_of(m.id).silent_ms >= long;
        let id = seen.others().find(lost)?.id;
        let why = Why::Silent;
        Some(MembershipChange::DropLearner { id, why })
    }

    /// Learners that can be voters at once.
    fn standbys<'a>(&'a self, seen: &'a Observed) -> impl Iterator<Item = &'a Member> + 'a {
        let able = |m: &&Member| {
            let health = seen.health_of(m.id);
            let heard = health.silent_ms <= FRESH_MS && health.caught_up;
            let mine = |h: &Hello| h.id == m.id && !h.learner_only && !h.stopping;
            heard && !self.stopping.contains(&m.id) && seen.live.iter().any(mine)
        };
        seen.others().filter(|m| !m.voter).filter(able)
    }

    /// The standby that best takes this voter's place: by the spread that it
    /// leads to, then one of the same zone.
    fn best_standby<'a>(&'a self, seen: &'a Observed, out: &Member) -> Option<&'a Member> {
        let rank = |s: &&Member| {
            let spread = seen.spread(|m| (m.voter && m.id != out.id) || m.id == s.id);
            (spread, s.zone != out.zone, s.id)
        };
        self.standbys(seen).min_by_key(rank)
    }

    /// Why the voters are not what is wanted, for an operator; none if they are.
    pub fn shortfall(&self, members: &[Member]) -> Option<Shortfall> {
        if crate::consensus::quorum::is_joint(members) {
            return Some(Shortfall::ChangeUnderWay);
        }
        let voters = members.iter().filter(|m| m.voter).count();
        let learners = members.len() - voters;
        match voters.cmp(&self.policy.voters) {
            std::cmp::Ordering::Equal => None,
            std::cmp::Ordering::Greater => Some(Shortfall::TooMany),
            std::cmp::Ordering::Less if learners == 0 => Some(Shortfall::NoLearner),
            std::cmp::Ordering::Less => Some(Shortfall::LearnerBehind),
        }
    }
}

/// Why the number of voters differs from the number wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortfall {
    ChangeUnderWay,
    TooMany,
    NoLearner,
    LearnerBehind,
}

impl fmt::Display for Shortfall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Shortfall::ChangeUnderWay => "a change of voters is not finished",
            Shortfall::TooMany => "there are more voters than wanted",
            Shortfall::NoLearner => "no learner is there to become a voter",
            Shortfall::LearnerBehind => "no learner has caught up",
        })
    }
}

impl Observed<'_> {
    fn others(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.id != self.leader)
    }

    fn voters(&self) -> impl Iterator<Item = &Member> {
        self.members.iter().filter(|m| m.voter)
    }

    fn health_of(&self, id: NodeId) -> Health {
        self.health.get(&id).copied().unwrap_or_default()
    }

    fn spread(&self, votes: impl Fn(&Member) -> bool) -> Spread {
        let regions: BTreeSet<RegionId> = self.members.iter().map(|m| m.region).collect();
        let regions: Vec<RegionId> = regions.into_iter().collect();
        Spread::of(self.members.iter().filter(|m| votes(m)), &regions)
    }
}

/// A core as it joins.
pub fn learner(hello: &Hello) -> Member {
    Member {
        id: hello.id,
        region: hello.region,
        zone: hello.zone,
        addr: hello.addr.clone(),
        voter: false,
        outgoing: false,
    }
}
