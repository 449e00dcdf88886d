//! Operators in virtual time: changes at any process, and what they heard.

use super::{Change, World};
use sorreldoor::control_plane::ControllerEvent;
use sorreldoor::gateway::EdgeEvent;
use sorreldoor::replicated_state::Command;
use sorreldoor::wire::OpOutcome;

impl World {
    /// The serial that a process knows of.
    pub fn version_at(&self, p: usize) -> Option<u64> {
        match (self.controller(p), self.edge_controller(p)) {
            (Some(h), _) => h.consensus().map(|a| a.state_machine().version()),
            (_, Some(h)) => Some(h.cluster.snapshot.view.version),
            _ => None,
        }
    }

    /// The document that an edge acts on now.
    pub fn doc_at(&self, p: usize) -> std::sync::Arc<String> {
        self.edge_controller(p)
            .and_then(|h| h.cluster.snapshot.view.doc.clone())
            .unwrap_or_default()
    }

    /// Ask for a change at a process; its place in `changes`.
    pub fn change(&mut self, p: usize, cmd: Command) -> usize {
        let request_id = self.number();
        let proposal_id = u128::from(request_id) + (1 << 80);
        let (base, zone) = match &cmd {
            Command::Put { base, .. } | Command::MergePatch { base, .. } => (*base, None),
            Command::ChangeItems { base, .. } => (*base, None),
            Command::EvacuateUnversioned { zone, evacuated } => (0, Some((*zone, *evacuated))),
            Command::EvacuateZone {
                base,
                zone,
                evacuated,
            } => (*base, Some((*zone, *evacuated))),
            _ => (0, None),
        };
        let (start, end) = (self.now, 0);
        self.changes.push(Change {
            request_id,
            proc: p,
            start,
            end,
            base,
            zone,
            cmd: cmd.clone(),
            outcome: None,
        });
        let at = self.changes.len() - 1;
        let incarnation = self.procs[p].incarnation;
        let core = self.procs[p].core;
        self.reach_proc(p, incarnation, move |w| {
            if core {
                w.core_step(
                    p,
                    ControllerEvent::Change {
                        request_id,
                        proposal_id,
                        cmd,
                    },
                );
            } else {
                w.hall_step(
                    p,
                    EdgeEvent::Propose {
                        request_id,
                        proposal_id,
                        cmd,
                    },
                );
            }
        });
        at
    }

    pub(crate) fn changed(&mut self, request_id: u64, o: OpOutcome) {
        let now = self.now;
        self.order_answered(request_id, &o);
        if let Some(c) = self.changes.iter_mut().find(|c| c.request_id == request_id) {
            if c.outcome.is_none() {
                c.outcome = Some(o);
                c.end = now;
            }
        }
    }
}
