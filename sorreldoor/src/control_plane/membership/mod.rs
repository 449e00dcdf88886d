//! Membership of the consensus group: what the leader observes, and the
//! changes that follow from it.

mod reducer;
mod spread;

pub use reducer::{
    learner, Health, Membership, MembershipChange, Observed, Policy, Shortfall, Why,
};
pub use spread::Spread;

use super::controller::Controller;
use super::events::{ControllerEffect, OpFrom};
use crate::consensus::{Body, Event, Member, Millis, NodeId, ProposalId};
use crate::log_events::LogEvent;
use crate::net::Conn;
use crate::wire::{Hello, OpOutcome, Payload};
use std::collections::BTreeMap;

/// Between two looks at the members.
pub const LOOK_MS: Millis = 100;
/// A core that was heard within so long may join.
const HEARD_MS: Millis = 1500;

impl Controller {
    /// As leader, begin the change of members that is due.
    pub(super) fn members_alarm(&mut self) {
        let Some(consensus) = &self.consensus else {
            return;
        };
        if !consensus.leads_globally() || !consensus.members_settled() || self.leaving {
            return;
        }
        let members = consensus.members().to_vec();
        let others = members.iter().filter(|m| m.id != self.me.id);
        let health = others.map(|m| (m.id, self.health_of(m.id))).collect();
        let live = self.freshest();
        let seen = Observed {
            leader: self.me.id,
            members: &members,
            health,
            live: &live,
        };
        if let Some(change) = self.membership.decide(&seen) {
            self.log_event(LogEvent::MembershipChangeStarted, change.to_string());
            self.agreed(Event::Reconfigure(change.applied(&members)));
        }
    }

    fn health_of(&self, id: NodeId) -> Health {
        let consensus = self.consensus.as_ref();
        Health {
            silent_ms: consensus.and_then(|c| c.silent_for(id)).unwrap_or(0),
            caught_up: consensus.is_some_and(|c| c.caught_up(id)),
        }
    }

    /// Live cores, one for each address: the one heard last. What an earlier
    /// process there said is still on its line for a while.
    fn freshest(&self) -> Vec<Hello> {
        let since = self.now.saturating_sub(HEARD_MS);
        let heard = self.connections.values().filter(|l| l.heard >= since);
        let mut by: BTreeMap<&str, (Millis, &Hello)> = BTreeMap::new();
        for l in heard {
            let Some(h) = l.hello.as_ref().filter(|h| h.core) else {
                continue;
            };
            let at = by.entry(&h.addr).or_insert((l.heard, h));
            if l.heard > at.0 {
                *at = (l.heard, h);
            }
        }
        by.into_values().map(|(_, h)| h.clone()).collect()
    }

    /// This process was told to stop: the other cores hear of it at once, and
    /// a leader hands over.
    pub(super) fn stop(&mut self) {
        self.leaving = true;
        self.me.stopping = true;
        let core = |h: &Hello| h.core;
        let lines = self.connections.iter();
        let cores = lines.filter(|(_, l)| l.hello.as_ref().is_some_and(core));
        let conns: Vec<Conn> = cores.map(|(conn, _)| *conn).collect();
        for conn in conns {
            let hello = self.me.clone();
            self.send(conn, Payload::Hello(hello));
        }
        self.agreed(Event::Stop);
    }

    /// An operator gives up a core by name, without waiting.
    pub(super) fn reform(&mut self, request_id: u64, proposal_id: ProposalId, drop: NodeId) {
        let members = self.consensus.as_ref().map_or(&[][..], |a| a.members());
        let rest = members.iter().filter(|m| m.id != drop);
        let rest: Vec<Member> = rest.cloned().collect();
        if rest.is_empty() || drop == self.me.id {
            let refused = ControllerEffect::Done(request_id, OpOutcome::NotTaken);
            return self.out.push(refused);
        }
        self.ops
            .entry(proposal_id)
            .or_default()
            .push(OpFrom::Http(request_id));
        let body = Body::Members(rest);
        self.agreed(Event::Propose { proposal_id, body });
    }
}
