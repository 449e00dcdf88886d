//! One simulated core: its consensus state machine, disk and clock.

use super::{member, History, Uplink};
use crate::disk::Disk;
use sorreldoor::configuration::Site;
use sorreldoor::consensus::*;
use sorreldoor::replicated_state::ReplicatedState;
use sorreldoor::types::*;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

/// A simulated core.
pub struct Node {
    pub id: NodeId,
    pub region: RegionId,
    pub consensus: Option<Consensus<RecordingStateMachine>>,
    pub incarnation: u64,
    pub frozen_until: Millis,
    /// Events that arrived while the process was frozen.
    pub buffered_events: Vec<Event>,
    pub disk: Disk,
    pub uplink: Uplink,
    /// Added to the simulation's time; never decreases, as the clock is monotonic.
    pub clock_offset: Millis,
}

impl Node {
    /// A member of the initial group.
    pub fn bootstrapped(
        slot: usize,
        region: RegionId,
        members: &[Member],
        site: &Arc<Site>,
    ) -> Node {
        let mut node = Node::uninitialized(slot, region);
        let snapshot = Snapshot {
            last: LogPosition::default(),
            members: members.to_vec(),
            image: Arc::new(ReplicatedState::new(site.clone()).image()),
        };
        node.disk.durable.apply_save(
            1,
            &Save::Snapshot {
                snapshot,
                discard_log: true,
            },
        );
        node
    }

    /// A node with an empty disk, not yet a member.
    pub fn uninitialized(slot: usize, region: RegionId) -> Node {
        Node {
            id: member(slot, region, false).id,
            region,
            consensus: None,
            incarnation: 0,
            frozen_until: 0,
            buffered_events: Vec::new(),
            disk: Disk::default(),
            uplink: Uplink::default(),
            clock_offset: 0,
        }
    }

    /// Whether the process runs; a frozen process does.
    pub fn is_running(&self) -> bool {
        self.consensus.is_some()
    }

    /// Starts the process from its disk; returns its incarnation.
    pub fn start(
        &mut self,
        timing: Timing,
        mut machine: RecordingStateMachine,
        seed: u64,
        now: Millis,
    ) -> u64 {
        let persisted = self.disk.durable.to_consensus();
        if let Some(s) = &persisted.snapshot {
            machine.load(&s.image);
        }
        self.incarnation += 1;
        self.disk.open();
        self.consensus = Some(Consensus::new(
            self.id,
            timing,
            persisted,
            machine,
            seed,
            now + self.clock_offset,
        ));
        self.incarnation
    }

    /// Ends the process; the first `survive` unsynced saves reach the disk.
    pub fn crash(&mut self, survive: usize) {
        self.disk.crash(survive);
        self.uplink = Uplink::default();
        self.consensus = None;
        self.incarnation += 1;
        self.buffered_events.clear();
        self.frozen_until = 0;
    }

    /// Crashes the node and erases its disk; it starts again under the identity `id`.
    pub fn wipe(&mut self, id: NodeId) {
        self.crash(0);
        self.disk = Disk::default();
        self.id = id;
    }

    /// Handles one event at the node's local time.
    pub fn step(&mut self, event: Event, now: Millis) -> Vec<Effect> {
        let local_time = now + self.clock_offset;
        self.consensus
            .as_mut()
            .map_or(Vec::new(), |consensus| consensus.step(event, local_time))
    }

    /// The replicated state, if the process runs.
    pub fn replicated_state(&self) -> Option<&ReplicatedState> {
        self.consensus
            .as_ref()
            .map(|consensus| &consensus.state_machine().replicated_state)
    }
}

/// The replicated state machine; records each applied entry in the history.
pub struct RecordingStateMachine {
    pub replicated_state: ReplicatedState,
    history: Rc<RefCell<History>>,
    node: usize,
}

impl RecordingStateMachine {
    pub fn new(
        replicated_state: ReplicatedState,
        history: Rc<RefCell<History>>,
        node: usize,
    ) -> RecordingStateMachine {
        RecordingStateMachine {
            replicated_state,
            history,
            node,
        }
    }
}

impl StateMachine for RecordingStateMachine {
    fn apply(&mut self, index: u64, proposal_id: ProposalId, data: &[u8]) -> Vec<u8> {
        self.history
            .borrow_mut()
            .record_applied(self.node, index, proposal_id, data);
        self.replicated_state.apply(index, proposal_id, data)
    }
    fn recorded_outcome(&self, proposal_id: ProposalId) -> Option<Arc<Vec<u8>>> {
        self.replicated_state.recorded_outcome(proposal_id)
    }
    fn image(&self) -> Vec<u8> {
        self.replicated_state.image()
    }
    fn load(&mut self, image: &[u8]) -> bool {
        self.replicated_state.load(image)
    }
}
