//! Operators in the simulation: changes and reads, with when and what.

use super::Sim;
use sorreldoor::consensus::*;
use sorreldoor::record::{decode, encode, Cmd, Outcome};
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
    pub pid: ProposalId,
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
        matches!(self.done, Done::Got(Outcome::Taken { .. }))
    }

    /// The serial that this op lets its asker know of.
    pub fn shows(&self) -> Option<u64> {
        match &self.done {
            Done::Got(Outcome::Taken { serial } | Outcome::Stale { serial }) => Some(*serial),
            Done::Saw(s) => Some(*s),
            _ => None,
        }
    }
}

impl Sim {
    fn begin(&mut self, at: usize, act: Act) -> ProposalId {
        let pid = self.ops.len() as ProposalId + 1;
        self.ops.push(Op {
            pid,
            at,
            act,
            start: self.now,
            end: 0,
            done: Done::Open,
            many: false,
        });
        pid
    }

    /// Empty or fill a zone: the smallest change that races by serial.
    pub fn change(&mut self, at: usize, base: u64) -> ProposalId {
        let pid = self.begin(at, Act::Change { base });
        let zone = (pid % self.site.zones.len() as ProposalId) as u16;
        let cmd = Cmd::Zone {
            base,
            zone,
            emptied: pid.is_multiple_of(2),
        };
        let body = Body::Data(Arc::new(encode(&cmd)));
        self.give(at, Event::Propose { pid, body });
        pid
    }

    /// Any change that builds on `base`.
    pub fn order(&mut self, at: usize, base: u64, cmd: &Cmd) -> ProposalId {
        let pid = self.begin(at, Act::Change { base });
        let body = Body::Data(Arc::new(encode(cmd)));
        self.give(at, Event::Propose { pid, body });
        pid
    }

    /// Ask again by the same id, at any node.
    pub fn again(&mut self, at: usize, pid: ProposalId) {
        let op = &mut self.ops[pid as usize - 1];
        op.many = true;
        let Act::Change { base } = op.act else { return };
        let zone = (pid % self.site.zones.len() as ProposalId) as u16;
        let cmd = Cmd::Zone {
            base,
            zone,
            emptied: pid.is_multiple_of(2),
        };
        let body = Body::Data(Arc::new(encode(&cmd)));
        self.give(at, Event::Propose { pid, body });
    }

    pub fn read(&mut self, at: usize) -> ProposalId {
        let pid = self.begin(at, Act::Read);
        self.give(at, Event::Read { rid: pid as u64 });
        pid
    }

    pub fn op(&self, pid: ProposalId) -> &Op {
        &self.ops[pid as usize - 1]
    }

    fn end(&mut self, pid: ProposalId, done: Done) {
        let now = self.now;
        if let Some(o) = self.ops.get_mut(pid as usize - 1) {
            if o.done == Done::Open {
                o.done = done;
                o.end = now;
            }
        }
    }

    pub(crate) fn resulted(&mut self, _at: usize, pid: ProposalId, r: Result<Arc<Vec<u8>>, Lost>) {
        let done = match r {
            Ok(b) => decode(&b).map_or(Done::Unknown, Done::Got),
            Err(Lost::Unknown) => Done::Unknown,
            Err(Lost::Full) => Done::NotTaken,
        };
        self.end(pid, done);
    }

    pub(crate) fn read_ready(&mut self, at: usize, rid: u64, ok: bool) {
        let seen = self.nodes[at].record().map(|r| r.serial());
        let done = seen.filter(|_| ok).map_or(Done::Unknown, Done::Saw);
        self.end(ProposalId::from(rid), done);
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
