//! Applying committed entries: deterministic, with the same result on every
//! replica, and at most once per proposal.

use super::document::Document;
use super::persistent::PersistentState;
use super::{decode, encode, Command, Outcome, ReplicatedState, Version};
use crate::configuration;
use crate::consensus::StateMachine;
use crate::invariants::{is_disabled, Invariant};
use crate::types::ProposalId;
use std::sync::Arc;

/// The version remembered for a rejection where `Invariant::RejectionNotRecorded` is
/// disabled; applied requests have versions above 0.
const REJECTED: Version = 0;

impl ReplicatedState {
    /// The outcome of a proposal that was applied before.
    fn applied_before(&self, id: ProposalId) -> Option<Outcome> {
        let known = self.data.applied_requests.version_of(id);
        let version = known.filter(|_| !is_disabled(Invariant::AppliedOnce))?;
        if is_disabled(Invariant::RejectionNotRecorded) && version == REJECTED {
            let version = self.data.version;
            return Some(Outcome::Stale { version });
        }
        Some(Outcome::Applied { version })
    }

    /// Applies a proposal that is not in the deduplication table.
    fn apply_new(&mut self, id: ProposalId, command: Command) -> Outcome {
        let base = command.base();
        let applied = &self.data.applied_requests;
        if base.is_some_and(|base| applied.may_have_evicted(base)) {
            let version = self.data.version;
            return Outcome::Unknown { version };
        }
        let outcome = self.execute(command);
        let applied = &mut self.data.applied_requests;
        match (&outcome, base) {
            (Outcome::Applied { version }, Some(_)) => applied.insert_request(id, *version),
            (Outcome::Applied { version }, None) => applied.insert_proposal(id, *version),
            (_, Some(_)) if is_disabled(Invariant::RejectionNotRecorded) => {
                applied.insert_request(id, REJECTED)
            }
            _ => {}
        }
        outcome
    }

    /// Replaces this state by a decoded snapshot; false if its document is
    /// not valid.
    fn restore(&mut self, mut data: PersistentState) -> bool {
        let legacy_document = data.legacy_document.take();
        let document = data.document.as_mut();
        let repaired = document.is_some_and(Document::rebuild_index);
        let text = legacy_document.or_else(|| data.document.as_ref().map(|d| Arc::new(d.text())));
        let read = text.map(|text| configuration::parse_accepted(&text, &self.site));
        if read.as_ref().is_some_and(|result| result.is_err()) {
            return false;
        }
        let (configuration, value) = read.and_then(|result| result.ok()).unzip();
        if let Some(value) = value.filter(|_| data.document.is_none()) {
            let mut document = Document::default();
            document.replace(&value, data.revision);
            data.document = Some(document);
            data.weights_revision = data.revision;
        }
        self.configuration = configuration.map(Arc::new);
        self.data = data;
        self.repaired = repaired;
        true
    }
}

impl StateMachine for ReplicatedState {
    fn apply(&mut self, _idx: u64, proposal_id: ProposalId, data: &[u8]) -> Vec<u8> {
        // a duplicate of an applied request, from another core or a retry
        if let Some(outcome) = self.applied_before(proposal_id) {
            return encode(&outcome);
        }
        let outcome = match decode::<Command>(data) {
            Some(command) => self.apply_new(proposal_id, command),
            None => Outcome::Invalid {
                faults: vec!["proposal: is not a valid command".into()],
            },
        };
        encode(&outcome)
    }

    fn recorded_outcome(&self, proposal_id: ProposalId) -> Option<Arc<Vec<u8>>> {
        let outcome = self.applied_before(proposal_id)?;
        Some(Arc::new(encode(&outcome)))
    }

    fn image(&self) -> Vec<u8> {
        encode(&self.data)
    }

    fn load(&mut self, image: &[u8]) -> bool {
        let Some(mut data) = decode::<PersistentState>(image) else {
            return false;
        };
        data.upgrade();
        if is_disabled(Invariant::AppliedIdsInSnapshot) {
            data.applied_requests = Default::default();
        }
        self.restore(data)
    }
}
