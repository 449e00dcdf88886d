//! Which change of the members is due, observation by observation.

use sorreldoor::consensus::Member;
use sorreldoor::control_plane::membership::{
    learner, Health, Membership, MembershipChange, Observed, Policy, Reason,
};
use sorreldoor::types::{Millis, NodeId};
use sorreldoor::wire::Hello;
use std::collections::BTreeMap;

const SILENT_MS: Millis = 1500;
const LEADER: NodeId = 1;

struct Site {
    members: Vec<Member>,
    health: BTreeMap<NodeId, Health>,
    live: Vec<Hello>,
    state: Membership,
}

fn hello(id: NodeId, zone: u16) -> Hello {
    Hello {
        id,
        node: format!("core-{id}"),
        core: true,
        region: (zone % 2) as u8,
        zone,
        addr: format!("address-{id}"),
        ..Hello::default()
    }
}

/// Cores 1 to `cores`, each in a zone of its own; the first `voters` vote.
fn site(cores: u64, voters: u64, losses: usize) -> Site {
    let live: Vec<Hello> = (1..=cores).map(|id| hello(id, id as u16)).collect();
    let member = |h: &Hello| Member {
        voter: h.id <= voters,
        ..learner(h)
    };
    let sound = Health {
        silent_ms: 0,
        caught_up: true,
    };
    Site {
        members: live.iter().map(member).collect(),
        health: (2..=cores).map(|id| (id, sound)).collect(),
        live,
        state: Membership::new(Policy::tolerating(losses, 1, SILENT_MS)),
    }
}

impl Site {
    fn due(&mut self) -> Option<MembershipChange> {
        self.state.decide(&Observed {
            leader: LEADER,
            members: &self.members,
            health: self.health.clone(),
            live: &self.live,
        })
    }

    fn silent(&mut self, id: NodeId, silent_ms: Millis) {
        let health = self.health.entry(id).or_default();
        health.silent_ms = silent_ms;
        self.live.retain(|h| h.id != id);
    }
}

fn swap(out: NodeId, into: NodeId, reason: Reason) -> Option<MembershipChange> {
    Some(MembershipChange::Swap { out, into, reason })
}

#[test]
fn a_sound_site_changes_nothing() {
    assert_eq!(site(3, 3, 1).due(), None);
    assert_eq!(site(4, 3, 1).due(), None, "a standby only stands by");
    assert_eq!(site(6, 5, 2).due(), None);
}

#[test]
fn a_newcomer_joins_as_a_learner() {
    let mut s = site(3, 3, 1);
    s.live.push(hello(9, 2));
    let change = s.due().expect("it joins");
    let next = change.applied(&s.members);
    assert_eq!(next.len(), 4);
    assert!(next.iter().any(|m| m.id == 9 && !m.voter));
}

#[test]
fn a_silent_voter_is_replaced_by_a_standby_in_one_change() {
    let mut s = site(4, 3, 1);
    s.silent(2, SILENT_MS - 1);
    assert_eq!(s.due(), None);
    s.silent(2, SILENT_MS);
    assert_eq!(s.due(), swap(2, 4, Reason::Silent));
    s.health.entry(4).or_default().caught_up = false;
    assert_eq!(s.due(), None, "one that lags behind gets no vote");
}

#[test]
fn one_that_stops_is_replaced_at_once_or_not_at_all() {
    let mut s = site(4, 3, 1);
    let mut last_word = hello(3, 3);
    last_word.stopping = true;
    s.state.on_hello(&last_word);
    assert_eq!(s.due(), swap(3, 4, Reason::Stopping));
    s.state.on_hello(&hello(3, 3));
    assert_eq!(s.due(), None, "it has started again");
    let mut s = site(3, 3, 1);
    s.state.on_hello(&last_word);
    assert_eq!(s.due(), None, "with no standby its vote stays its own");
}

#[test]
fn the_vote_of_a_wiped_core_goes_to_its_successor() {
    let mut s = site(4, 3, 1);
    s.silent(2, 0);
    let address = s.members[1].addr.clone();
    s.live[2].addr = address;
    assert_eq!(s.due(), swap(2, 4, Reason::Wiped));
}

#[test]
fn a_lost_voter_without_a_standby_keeps_its_vote_where_that_bears_as_much() {
    let long = SILENT_MS * 20;
    let mut three = site(3, 3, 1);
    three.silent(2, long);
    assert_eq!(three.due(), None);
    let mut five = site(5, 5, 2);
    five.silent(2, long);
    assert_eq!(five.due(), None);
    five.silent(3, long);
    let (ids, reason) = (vec![2, 3], Reason::Silent);
    assert_eq!(five.due(), Some(MembershipChange::Demote { ids, reason }));
    let mut four = site(4, 4, 1);
    four.silent(2, SILENT_MS);
    let (ids, reason) = (vec![2], Reason::Silent);
    assert_eq!(four.due(), Some(MembershipChange::Demote { ids, reason }));
}

#[test]
fn a_leader_never_takes_its_own_vote() {
    let mut s = site(6, 6, 2);
    let change = s.due().expect("one voter too many");
    let next = change.applied(&s.members);
    assert!(next.iter().any(|m| m.id == LEADER && m.voter));
    assert_eq!(next.iter().filter(|m| m.voter).count(), 5);
}

#[test]
fn no_zone_keeps_a_majority_where_another_can_bear_it() {
    let mut s = site(4, 3, 1);
    for id in [1, 2] {
        s.members[id].zone = 2;
    }
    let change = s.due().expect("two of three stand in one zone");
    assert!(matches!(
        change,
        MembershipChange::Swap {
            into: 4,
            reason: Reason::Zone,
            ..
        }
    ));
}

#[test]
fn a_core_that_may_not_vote_gets_no_vote() {
    let mut s = site(4, 2, 1);
    s.live[2].learner_only = true;
    let id = 4;
    assert_eq!(s.due(), Some(MembershipChange::Promote { id }));
    s.live[3].learner_only = true;
    assert_eq!(s.due(), None);
}
