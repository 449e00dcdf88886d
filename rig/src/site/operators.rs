//! Operators in virtual time: changes at any process, and what they heard.

use super::{Change, World};
use sorreldoor::core::ControllerEvent;
use sorreldoor::edge::EdgeEvent;
use sorreldoor::record::Cmd;
use sorreldoor::wire::OpOutcome;

impl World {
    /// The serial that a process knows of.
    pub fn serial_at(&self, p: usize) -> Option<u64> {
        match (self.controller(p), self.edge_controller(p)) {
            (Some(h), _) => h.consensus.as_ref().map(|a| a.machine().serial()),
            (_, Some(h)) => Some(h.plan.shown.view.serial),
            _ => None,
        }
    }

    /// The document that an edge acts on now.
    pub fn doc_at(&self, p: usize) -> std::sync::Arc<String> {
        self.edge_controller(p)
            .and_then(|h| h.plan.shown.view.doc.clone())
            .unwrap_or_default()
    }

    /// Ask for a change at a process; its place in `changes`.
    pub fn change(&mut self, p: usize, cmd: Cmd) -> usize {
        let rid = self.number();
        let pid = u128::from(rid) + (1 << 80);
        let (base, zone) = match &cmd {
            Cmd::Put { base, .. } | Cmd::Edit { base, .. } => (*base, None),
            Cmd::Items { base, .. } => (*base, None),
            Cmd::Evacuate { zone, emptied } => (0, Some((*zone, *emptied))),
            Cmd::Zone {
                base,
                zone,
                emptied,
            } => (*base, Some((*zone, *emptied))),
            _ => (0, None),
        };
        let (start, end) = (self.now, 0);
        self.changes.push(Change {
            rid,
            proc: p,
            start,
            end,
            base,
            zone,
            cmd: cmd.clone(),
            outcome: None,
        });
        let at = self.changes.len() - 1;
        let boot = self.procs[p].boot;
        let core = self.procs[p].core;
        self.reach_proc(p, boot, move |w| {
            if core {
                w.core_step(p, ControllerEvent::Change { rid, pid, cmd });
            } else {
                w.hall_step(p, EdgeEvent::Change { rid, pid, cmd });
            }
        });
        at
    }

    pub(crate) fn changed(&mut self, rid: u64, o: OpOutcome) {
        let now = self.now;
        self.order_answered(rid, &o);
        if let Some(c) = self.changes.iter_mut().find(|c| c.rid == rid) {
            if c.outcome.is_none() {
                c.outcome = Some(o);
                c.end = now;
            }
        }
    }
}
