//! The membership change that [`Membership::decide`] returns for an observation.

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

    /// A core that has sent nothing for `silent_ms` and is not live.
    fn set_silent(&mut self, id: NodeId, silent_ms: Millis) {
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
fn a_healthy_site_is_not_changed() {
    assert_eq!(healthy_site(3, 3, 1).due_change(), None);
    assert_eq!(
        healthy_site(4, 3, 1).due_change(),
        None,
        "a standby is not promoted while all voters are healthy"
    );
    assert_eq!(healthy_site(6, 5, 2).due_change(), None);
}

#[test]
fn a_live_core_that_is_no_member_joins_as_a_learner() {
    let mut site = healthy_site(3, 3, 1);
    site.live.push(hello(9, 2));
    let change = site.due_change().expect("core 9 is not a member");
    let next = change.applied(&site.members);
    assert_eq!(next.len(), 4);
    assert!(next.iter().any(|m| m.id == 9 && !m.voter));
}

#[test]
fn a_voter_silent_for_the_limit_is_replaced_by_a_standby_that_has_caught_up() {
    let mut site = healthy_site(4, 3, 1);
    site.set_silent(2, SILENT_MS - 1);
    assert_eq!(site.due_change(), None);
    site.set_silent(2, SILENT_MS);
    assert_eq!(site.due_change(), replacement(2, 4, Reason::Silent));
    site.health.entry(4).or_default().caught_up = false;
    assert_eq!(
        site.due_change(),
        None,
        "a learner that has not caught up is no standby"
    );
}

#[test]
fn a_stopping_voter_is_replaced_at_once_only_if_there_is_a_standby() {
    let mut site = healthy_site(4, 3, 1);
    let mut last_hello = hello(3, 3);
    last_hello.stopping = true;
    site.state.on_hello(&last_hello);
    assert_eq!(site.due_change(), replacement(3, 4, Reason::Stopping));
    site.state.on_hello(&hello(3, 3));
    assert_eq!(site.due_change(), None, "core 3 has restarted");
    let mut site = healthy_site(3, 3, 1);
    site.state.on_hello(&last_hello);
    assert_eq!(
        site.due_change(),
        None,
        "without a standby it remains a voter"
    );
}

#[test]
fn a_voter_is_replaced_by_the_core_with_another_id_at_its_address() {
    let mut site = healthy_site(4, 3, 1);
    site.set_silent(2, 0);
    let address = site.members[1].addr.clone();
    site.live[2].addr = address;
    assert_eq!(site.due_change(), replacement(2, 4, Reason::DiskLost));
}

#[test]
fn silent_voters_without_standbys_are_demoted_only_if_the_quorum_shrinks() {
    let long_silence = SILENT_MS * 20;
    let mut three = healthy_site(3, 3, 1);
    three.set_silent(2, long_silence);
    assert_eq!(three.due_change(), None);
    let mut five = healthy_site(5, 5, 2);
    five.set_silent(2, long_silence);
    assert_eq!(five.due_change(), None);
    five.set_silent(3, long_silence);
    let (ids, reason) = (vec![2, 3], Reason::Silent);
    assert_eq!(
        five.due_change(),
        Some(MembershipChange::Demote { ids, reason })
    );
    let mut four = healthy_site(4, 4, 1);
    four.set_silent(2, SILENT_MS);
    let (ids, reason) = (vec![2], Reason::Silent);
    assert_eq!(
        four.due_change(),
        Some(MembershipChange::Demote { ids, reason })
    );
}

#[test]
fn a_surplus_voter_that_is_demoted_is_not_the_leader() {
    let mut site = healthy_site(6, 6, 2);
    let change = site.due_change().expect("six voters for a target of five");
    let next = change.applied(&site.members);
    assert!(next.iter().any(|m| m.id == LEADER && m.voter));
    assert_eq!(next.iter().filter(|m| m.voter).count(), 5);
}

#[test]
fn a_majority_in_one_zone_is_broken_up_by_a_standby_of_another_zone() {
    let mut site = healthy_site(4, 3, 1);
    for id in [1, 2] {
        site.members[id].zone = 2;
    }
    let change = site
        .due_change()
        .expect("two of three voters are in zone 2");
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
fn a_learner_only_core_is_not_promoted() {
    let mut site = healthy_site(4, 2, 1);
    site.live[2].learner_only = true;
    let id = 4;
    assert_eq!(site.due_change(), Some(MembershipChange::Promote { id }));
    site.live[3].learner_only = true;
    assert_eq!(site.due_change(), None);
}
