//! Proposals in flight, with the requesters that wait for the outcome of each,
//! and the ids of this core's own proposals and reads.

use super::events::Requester;
use crate::consensus::ProposalError;
use crate::replicated_state::{decode, Command, Outcome, ZoneIndex};
use crate::types::{NodeId, ProposalId};
use crate::wire::{Hello, ProposalOutcome};
use std::collections::BTreeMap;
use std::sync::Arc;

/// What a change concerns, for the audit log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ChangeSubject {
    /// The configuration document.
    Document,
    /// A zone, which is evacuated or returned to service.
    Zone { zone: ZoneIndex, evacuated: bool },
    /// A core, which is removed from the membership.
    Core(NodeId),
}

impl From<&Command> for ChangeSubject {
    fn from(command: &Command) -> ChangeSubject {
        match *command {
            Command::EvacuateZone {
                zone, evacuated, ..
            }
            | Command::EvacuateUnversioned { zone, evacuated }
            | Command::EvacuateIfUnchanged {
                zone, evacuated, ..
            }
            | Command::EvacuateCounted {
                zone, evacuated, ..
            } => ChangeSubject::Zone { zone, evacuated },
            _ => ChangeSubject::Document,
        }
    }
}

/// A proposal in flight.
#[derive(Debug)]
pub(super) struct Proposal {
    /// What the proposed change concerns.
    pub subject: ChangeSubject,
    /// The requesters that wait for its outcome.
    pub requesters: Vec<Requester>,
}

/// The proposals in flight.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    in_flight: BTreeMap<ProposalId, Proposal>,
}

impl Proposals {
    /// Adds a requester that waits for the outcome of a proposal; there may be
    /// several.
    pub fn add_requester(
        &mut self,
        proposal_id: ProposalId,
        subject: ChangeSubject,
        requester: Requester,
    ) {
        let proposal = self.in_flight.entry(proposal_id).or_insert(Proposal {
            subject,
            requesters: Vec::new(),
        });
        proposal.requesters.push(requester);
    }

    /// Removes and returns a proposal whose outcome is known; `None` for one that no
    /// requester waits for.
    pub fn take(&mut self, proposal_id: ProposalId) -> Option<Proposal> {
        self.in_flight.remove(&proposal_id)
    }
}

/// Converts the result of a proposal in the consensus group to its outcome.
pub(super) fn outcome(result: Result<Arc<Vec<u8>>, ProposalError>) -> ProposalOutcome {
    match result {
        // a membership change has no result value; it was applied
        Ok(bytes) if bytes.is_empty() => {
            ProposalOutcome::Committed(Outcome::Applied { version: 0 })
        }
        Ok(bytes) => decode(&bytes).map_or(ProposalOutcome::Unknown, ProposalOutcome::Committed),
        Err(ProposalError::OutcomeUnknown) => ProposalOutcome::Unknown,
        Err(ProposalError::Dropped) => ProposalOutcome::Rejected,
    }
}

/// Generates the ids of this core's own reads and proposals. Proposal ids are
/// unique across restarts.
#[derive(Clone, Debug)]
pub(super) struct IdSequence {
    node: NodeId,
    incarnation: u64,
    last: u64,
}

impl IdSequence {
    /// Ids for the incarnation of the node that `own_hello` describes.
    pub fn new(own_hello: &Hello) -> IdSequence {
        IdSequence {
            node: own_hello.id,
            incarnation: own_hello.incarnation,
            last: 1,
        }
    }

    /// The next id of a read.
    pub fn next_request_id(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// The next id of a proposal: the node, its incarnation and a counter.
    pub fn next_proposal_id(&mut self) -> ProposalId {
        let counter = self.next_request_id();
        (ProposalId::from(self.node) << 64)
            | (ProposalId::from(self.incarnation as u32) << 32)
            | ProposalId::from(counter as u32)
    }
}
