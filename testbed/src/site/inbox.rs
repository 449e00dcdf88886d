//! The queue of events that a process has not handled yet, with the two lanes of
//! the product's event queue.

use super::Action;
use sorreldoor::invariants::{is_disabled, Invariant};
use sorreldoor::wire::Payload;
use std::collections::VecDeque;

/// The lane of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Lane {
    Urgent,
    Ordinary,
}

impl Lane {
    /// The lane of a frame.
    pub fn of(payload: &Payload) -> Lane {
        if payload.is_consensus() && !is_disabled(Invariant::ConsensusPriority) {
            Lane::Urgent
        } else {
            Lane::Ordinary
        }
    }
}

/// Queued events, each with the incarnation of the process that it is for; urgent
/// ones are handled first.
#[derive(Default)]
pub(crate) struct Inbox {
    urgent: VecDeque<(u64, Action)>,
    ordinary: VecDeque<(u64, Action)>,
}

impl Inbox {
    pub fn is_empty(&self) -> bool {
        self.urgent.is_empty() && self.ordinary.is_empty()
    }

    pub fn clear(&mut self) {
        self.urgent.clear();
        self.ordinary.clear();
    }

    pub(super) fn push(&mut self, lane: Lane, incarnation: u64, action: Action) {
        let events = match lane {
            Lane::Urgent => &mut self.urgent,
            Lane::Ordinary => &mut self.ordinary,
        };
        events.push_back((incarnation, action));
    }

    pub fn pop(&mut self) -> Option<(u64, Action)> {
        let urgent = self.urgent.pop_front();
        urgent.or_else(|| self.ordinary.pop_front())
    }
}
