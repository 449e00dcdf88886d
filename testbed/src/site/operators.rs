//! Operators' configuration changes, submitted to any process, and their outcomes.

use super::{Change, Read, World};
use sorreldoor::control_plane::ControllerEvent;
use sorreldoor::gateway::EdgeEvent;
use sorreldoor::http::RequestAge;
use sorreldoor::replicated_state::Command;
use sorreldoor::types::{Millis, ProposalId};
use sorreldoor::wire::ProposalOutcome;
use std::sync::Arc;

/// Offset of the proposal ids of changes that are not retried.
const CHANGE_IDS: ProposalId = 1 << 80;

impl World {
    /// The version of the configuration at a process, if it is up and has one.
    pub fn version_at(&self, process: usize) -> Option<u64> {
        match (self.controller(process), self.edge_controller(process)) {
            (Some(controller), _) => controller
                .consensus()
                .map(|consensus| consensus.state_machine().version()),
            (_, Some(controller)) => Some(controller.cluster.snapshot.view.version),
            _ => None,
        }
    }

    /// The configuration document that an edge applies now.
    pub fn doc_at(&self, process: usize) -> Arc<String> {
        self.edge_controller(process)
            .and_then(|controller| controller.cluster.snapshot.view.document.clone())
            .unwrap_or_default()
    }

    /// Submits a change to a process; returns its index in `changes`.
    pub fn change(&mut self, process: usize, cmd: Command) -> usize {
        let request_id = self.number();
        let proposal_id = ProposalId::from(request_id) + CHANGE_IDS;
        let (base, zone) = base_and_zone(&cmd);
        self.changes.push(Change {
            request_id,
            process,
            start: self.now,
            end: 0,
            base,
            zone,
            cmd: cmd.clone(),
            outcome: None,
        });
        self.submit(process, request_id, proposal_id, cmd);
        self.changes.len() - 1
    }

    /// Submits to a core, as one HTTP call, the request to evacuate a zone (true) or to
    /// return it to service; returns its index in `changes`. A core that is down,
    /// frozen or busy accepts the connection when it runs again.
    pub fn evacuate(&mut self, process: usize, zone: u16, evacuated: bool) -> usize {
        let request_id = self.record_evacuation(process, zone, evacuated);
        let incarnation = self.processes[process].incarnation;
        self.deliver_to_process(process, incarnation, move |world| {
            let sent_after = world.accepted_request_sent_after(process);
            world.deliver_evacuation(process, request_id, sent_after);
        });
        self.changes.len() - 1
    }

    /// As [`World::evacuate`], over a connection that the core accepts now; the request
    /// arrives on it after `delay`.
    pub fn evacuate_late(
        &mut self,
        process: usize,
        zone: u16,
        evacuated: bool,
        delay: Millis,
    ) -> usize {
        let request_id = self.record_evacuation(process, zone, evacuated);
        let sent_after = self.accepted_request_sent_after(process);
        self.after(delay, move |world| {
            world.deliver_evacuation(process, request_id, sent_after);
        });
        self.changes.len() - 1
    }

    fn record_evacuation(&mut self, process: usize, zone: u16, evacuated: bool) -> u64 {
        let request_id = self.number();
        self.changes.push(Change {
            request_id,
            process,
            start: self.now,
            end: 0,
            base: 0,
            zone: Some((zone, evacuated)),
            cmd: Command::EvacuateUnversioned { zone, evacuated },
            outcome: None,
        });
        request_id
    }

    /// What a core knows of the time of the first request on a connection that it
    /// accepts now.
    fn accepted_request_sent_after(&self, process: usize) -> Millis {
        let age = RequestAge::of_accepted_connection().upper_bound();
        self.monotonic_ms(process)
            .saturating_sub(age.as_millis() as Millis)
    }

    fn deliver_evacuation(&mut self, process: usize, request_id: u64, sent_after: Millis) {
        let change = self.changes.iter().find(|c| c.request_id == request_id);
        let Some((zone, evacuated)) = change.and_then(|change| change.zone) else {
            return;
        };
        let event = ControllerEvent::Evacuate {
            request_id,
            proposal_id: ProposalId::from(request_id) + CHANGE_IDS,
            zone,
            evacuated,
            sent_after,
        };
        self.core_step(process, event);
    }

    /// Delivers a change to a process.
    pub(super) fn submit(
        &mut self,
        process: usize,
        request_id: u64,
        proposal_id: ProposalId,
        cmd: Command,
    ) {
        let incarnation = self.processes[process].incarnation;
        self.deliver_to_process(process, incarnation, move |world| {
            if world.processes[process].core {
                let event = ControllerEvent::Change {
                    request_id,
                    proposal_id,
                    command: cmd,
                };
                world.core_step(process, event);
            } else {
                let event = EdgeEvent::Propose {
                    request_id,
                    proposal_id,
                    cmd,
                };
                world.edge_step(process, event);
            }
        });
    }

    /// Records the first outcome of a change.
    pub(crate) fn change_answered(&mut self, request_id: u64, outcome: ProposalOutcome) {
        let now = self.now;
        self.proposal_answered(request_id, &outcome);
        let mut changes = self.changes.iter_mut();
        let change = changes.find(|change| change.request_id == request_id);
        if let Some(change) = change.filter(|change| change.outcome.is_none()) {
            change.outcome = Some(outcome);
            change.end = now;
        }
    }

    /// Records a core's answer to a read of the configuration.
    pub(crate) fn record_read(&mut self, core: usize, request_id: u64, ok: bool) {
        let read = Read {
            at: self.now,
            ok,
            version: self.version_at(core).unwrap_or(0),
        };
        self.reads.insert(request_id, read);
    }
}

/// The version that a change is based on, and the zone that it evacuates
/// (true) or readmits (false), if any.
fn base_and_zone(cmd: &Command) -> (u64, Option<(u16, bool)>) {
    match cmd {
        Command::Put { base, .. } | Command::MergePatch { base, .. } => (*base, None),
        Command::ChangeItems { base, .. } => (*base, None),
        Command::EvacuateUnversioned { zone, evacuated } => (0, Some((*zone, *evacuated))),
        Command::EvacuateZone {
            base,
            zone,
            evacuated,
        } => (*base, Some((*zone, *evacuated))),
        _ => (0, None),
    }
}
