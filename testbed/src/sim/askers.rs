//! Operators in the simulation: changes and reads, with when and what.

use super::Sim;
use sorreldoor::consensus::*;
use sorreldoor::replicated_state::{decode, encode, Command, Outcome};
use sorreldoor::types::*;
use std::sync::Arc;

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    Change { base: u64 },
    Read,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Done {
    Open,
    Got(Outcome),
    Saw(u64),
    Unknown,
    NotTaken,
}

#[derive(Clone, Debug)]
pub struct Op {
    pub proposal_id: ProposalId,
    pub at: usize,
    pub act: Act,
    pub start: Millis,
    pub end: Millis,
    pub done: Done,
    /// Asked more than once: then no one answer speaks for all of them.
    pub many: bool,
}

impl Op {
    pub fn took(&self) -> bool {
        matches!(self.done, Done::Got(Outcome::Applied { .. }))
    }

    /// The serial that this op lets its asker know of.
    pub fn shows(&self) -> Option<u64> {
        match &self.done {
            Done::Got(Outcome::Applied { version } | Outcome::Stale { version }) => Some(*version),
            Done::Saw(s) => Some(*s),
            _ => None,
        }
    }
}

impl Sim {
    fn begin(&mut self, at: usize, act: Act) -> ProposalId {
        let proposal_id = self.ops.len() as ProposalId + 1;
        self.ops.push(Op {
            proposal_id,
            at,
            act,
            start: self.now,
            end: 0,
            done: Done::Open,
            many: false,
        });
        proposal_id
    }

    /// Empty or fill a zone: the smallest change that races by serial.
    pub fn change(&mut self, at: usize, base: u64) -> ProposalId {
        let proposal_id = self.begin(at, Act::Change { base });
        let zone = (proposal_id % self.site.zones.len() as ProposalId) as u16;
        let cmd = Command::EvacuateZone {
            base,
            zone,
            evacuated: proposal_id.is_multiple_of(2),
        };
        let body = Body::Data(Arc::new(encode(&cmd)));
        self.give(at, Event::Propose { proposal_id, body });
        proposal_id
    }

    /// Any change that builds on `base`.
    pub fn order(&mut self, at: usize, base: u64, cmd: &Command) -> ProposalId {
        let proposal_id = self.begin(at, Act::Change { base });
        let body = Body::Data(Arc::new(encode(cmd)));
        self.give(at, Event::Propose { proposal_id, body });
        proposal_id
    }

    /// Ask again by the same id, at any node.
    pub fn again(&mut self, at: usize, proposal_id: ProposalId) {
        let op = &mut self.ops[proposal_id as usize - 1];
        op.many = true;
        let Act::Change { base } = op.act else { return };
        let zone = (proposal_id % self.site.zones.len() as ProposalId) as u16;
        let cmd = Command::EvacuateZone {
            base,
            zone,
            evacuated: proposal_id.is_multiple_of(2),
        };
        let body = Body::Data(Arc::new(encode(&cmd)));
        self.give(at, Event::Propose { proposal_id, body });
    }

    pub fn read(&mut self, at: usize) -> ProposalId {
        let proposal_id = self.begin(at, Act::Read);
        self.give(
            at,
            Event::Read {
                request_id: proposal_id as u64,
            },
        );
        proposal_id
    }

    pub fn op(&self, proposal_id: ProposalId) -> &Op {
        &self.ops[proposal_id as usize - 1]
    }

    fn end(&mut self, proposal_id: ProposalId, done: Done) {
        let now = self.now;
        if let Some(o) = self.ops.get_mut(proposal_id as usize - 1) {
            if o.done == Done::Open {
                o.done = done;
                o.end = now;
            }
        }
    }

    pub(crate) fn resulted(
        &mut self,
        _at: usize,
        proposal_id: ProposalId,
        r: Result<Arc<Vec<u8>>, ProposalError>,
    ) {
        let done = match r {
            Ok(b) => decode(&b).map_or(Done::Unknown, Done::Got),
            Err(ProposalError::OutcomeUnknown) => Done::Unknown,
            Err(ProposalError::Dropped) => Done::NotTaken,
        };
        self.end(proposal_id, done);
    }

    pub(crate) fn read_ready(&mut self, at: usize, request_id: u64, ok: bool) {
        let seen = self.nodes[at].record().map(|r| r.version());
        let done = seen.filter(|_| ok).map_or(Done::Unknown, Done::Saw);
        self.end(ProposalId::from(request_id), done);
    }

    /// Whoever asked a node that dies hears nothing.
    pub(crate) fn lose_asks(&mut self, at: usize) {
        for o in &mut self.ops {
            if o.at == at && o.done == Done::Open {
                o.done = Done::Unknown;
            }
        }
    }
}
