//! Which membership change is due for each observation.

use sorreldoor::consensus::Member;
use sorreldoor::control_plane::membership::{
    joining_learner, Health, Membership, MembershipChange, MembershipPolicy, Observation, Reason,
};
use sorreldoor::types::{Millis, NodeId};
use sorreldoor::wire::Hello;
use std::collections::BTreeMap;

const SILENT_MS: Millis = 1500;
const LEADER: NodeId = 1;

struct TestSite {
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
fn healthy_site(cores: u64, voters: u64, losses: usize) -> TestSite {
    let live: Vec<Hello> = (1..=cores).map(|id| hello(id, id as u16)).collect();
    let member = |hello: &Hello| Member {
        voter: hello.id <= voters,
        ..joining_learner(hello)
    };
    let healthy = Health {
        silent_ms: 0,
        caught_up: true,
    };
    TestSite {
        members: live.iter().map(member).collect(),
        health: (2..=cores).map(|id| (id, healthy)).collect(),
        live,
        state: Membership::new(MembershipPolicy::tolerating(losses, 1, SILENT_MS)),
    }
}

impl TestSite {
    fn due_change(&mut self) -> Option<MembershipChange> {
        self.state.decide(&Observation {
            leader: LEADER,
            members: &self.members,
            health: self.health.clone(),
            live: &self.live,
        })
    }

    fn silence(&mut self, id: NodeId, silent_ms: Millis) {
        let health = self.health.entry(id).or_default();
        health.silent_ms = silent_ms;
        self.live.retain(|hello| hello.id != id);
    }
}

fn replacement(demoted: NodeId, promoted: NodeId, reason: Reason) -> Option<MembershipChange> {
    Some(MembershipChange::Replace {
        demoted,
        promoted,
        reason,
    })
}

#[test]
fn a_healthy_site_needs_no_change() {
    assert_eq!(healthy_site(3, 3, 1).due_change(), None);
    assert_eq!(
        healthy_site(4, 3, 1).due_change(),
        None,
        "a standby only stands by"
    );
    assert_eq!(healthy_site(6, 5, 2).due_change(), None);
}

#[test]
fn a_newcomer_joins_as_a_learner() {
    let mut site = healthy_site(3, 3, 1);
    site.live.push(hello(9, 2));
    let change = site.due_change().expect("it joins");
    let next = change.applied(&site.members);
    assert_eq!(next.len(), 4);
    assert!(next.iter().any(|m| m.id == 9 && !m.voter));
}

#[test]
fn a_silent_voter_is_replaced_by_a_standby_in_one_change() {
    let mut site = healthy_site(4, 3, 1);
    site.silence(2, SILENT_MS - 1);
    assert_eq!(site.due_change(), None);
    site.silence(2, SILENT_MS);
    assert_eq!(site.due_change(), replacement(2, 4, Reason::Silent));
    site.health.entry(4).or_default().caught_up = false;
    assert_eq!(site.due_change(), None, "one that lags behind gets no vote");
}

#[test]
fn a_stopping_voter_is_replaced_at_once_if_a_standby_exists() {
    let mut site = healthy_site(4, 3, 1);
    let mut last_hello = hello(3, 3);
    last_hello.stopping = true;
    site.state.on_hello(&last_hello);
    assert_eq!(site.due_change(), replacement(3, 4, Reason::Stopping));
    site.state.on_hello(&hello(3, 3));
    assert_eq!(site.due_change(), None, "it has started again");
    let mut site = healthy_site(3, 3, 1);
    site.state.on_hello(&last_hello);
    assert_eq!(
        site.due_change(),
        None,
        "with no standby its vote stays its own"
    );
}

#[test]
fn a_wiped_voter_is_replaced_by_its_successor() {
    let mut site = healthy_site(4, 3, 1);
    site.silence(2, 0);
    let address = site.members[1].addr.clone();
    site.live[2].addr = address;
    assert_eq!(site.due_change(), replacement(2, 4, Reason::DiskLost));
}

#[test]
fn a_lost_voter_without_a_standby_is_demoted_only_if_the_quorum_shrinks() {
    let long_silence = SILENT_MS * 20;
    let mut three = healthy_site(3, 3, 1);
    three.silence(2, long_silence);
    assert_eq!(three.due_change(), None);
    let mut five = healthy_site(5, 5, 2);
    five.silence(2, long_silence);
    assert_eq!(five.due_change(), None);
    five.silence(3, long_silence);
    let (ids, reason) = (vec![2, 3], Reason::Silent);
    assert_eq!(
        five.due_change(),
        Some(MembershipChange::Demote { ids, reason })
    );
    let mut four = healthy_site(4, 4, 1);
    four.silence(2, SILENT_MS);
    let (ids, reason) = (vec![2], Reason::Silent);
    assert_eq!(
        four.due_change(),
        Some(MembershipChange::Demote { ids, reason })
    );
}

#[test]
fn a_leader_never_demotes_itself() {
    let mut site = healthy_site(6, 6, 2);
    let change = site.due_change().expect("one voter too many");
    let next = change.applied(&site.members);
    assert!(next.iter().any(|m| m.id == LEADER && m.voter));
    assert_eq!(next.iter().filter(|m| m.voter).count(), 5);
}

#[test]
fn no_zone_keeps_a_majority_if_another_zone_has_a_standby() {
    let mut site = healthy_site(4, 3, 1);
    for id in [1, 2] {
        site.members[id].zone = 2;
    }
    let change = site.due_change().expect("two of three stand in one zone");
    assert!(matches!(
        change,
        MembershipChange::Replace {
            promoted: 4,
            reason: Reason::Zone,
            ..
        }
    ));
}

#[test]
fn a_learner_only_core_is_never_promoted() {
    let mut site = healthy_site(4, 2, 1);
    site.live[2].learner_only = true;
    let id = 4;
    assert_eq!(site.due_change(), Some(MembershipChange::Promote { id }));
    site.live[3].learner_only = true;
    assert_eq!(site.due_change(), None);
}
