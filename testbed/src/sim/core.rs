//! One simulated core: its reducer, its disk, its clock.

use super::{member, Trail, Uplink};
use crate::disk::Disk;
use sorreldoor::configuration::Site;
use sorreldoor::consensus::*;
use sorreldoor::replicated_state::ReplicatedState;
use sorreldoor::types::*;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

pub struct Node {
    pub id: NodeId,
    pub region: RegionId,
    pub consensus: Option<Consensus<Watched>>,
    pub incarnation: u64,
    pub frozen_until: Millis,
    pub waiting: Vec<Event>,
    pub disk: Disk,
    pub uplink: Uplink,
    /// Added to true time; jumps forward only, as a monotonic clock may.
    pub clock: Millis,
}

impl Node {
    pub fn founded(i: usize, region: RegionId, members: &[Member], site: &Arc<Site>) -> Node {
        let mut n = Node::blank(i, region);
        let snapshot = Snapshot {
            last: LogPosition::default(),
            members: members.to_vec(),
            image: Arc::new(ReplicatedState::new(site.clone()).image()),
        };
        n.disk.durable.apply_save(
            1,
            &Save::Snapshot {
                snapshot,
                discard_log: true,
            },
        );
        n
    }

    pub fn blank(i: usize, region: RegionId) -> Node {
        Node {
            id: member(i, region, false).id,
            region,
            consensus: None,
            incarnation: 0,
            frozen_until: 0,
            waiting: Vec::new(),
            disk: Disk::default(),
            uplink: Uplink::default(),
            clock: 0,
        }
    }

    pub fn up(&self) -> bool {
        self.consensus.is_some()
    }

    pub fn start(&mut self, timing: Timing, mut machine: Watched, seed: u64, now: Millis) -> u64 {
        let kept = self.disk.durable.to_consensus();
        if let Some(s) = &kept.snapshot {
            machine.load(&s.image);
        }
        self.incarnation += 1;
        self.disk.open();
        self.consensus = Some(Consensus::new(
            self.id,
            timing,
            kept,
            machine,
            seed,
            now + self.clock,
        ));
        self.incarnation
    }

    pub fn crash(&mut self, survive: usize) {
        self.disk.crash(survive);
        self.uplink = Uplink::default();
        self.consensus = None;
        self.incarnation += 1;
        self.waiting.clear();
        self.frozen_until = 0;
    }

    /// Its disk is lost, and with it its identity: a new member in its place.
    pub fn wipe(&mut self, id: NodeId) {
        self.crash(0);
        self.disk = Disk::default();
        self.id = id;
    }

    pub fn step(&mut self, ev: Event, now: Millis) -> Vec<Effect> {
        let t = now + self.clock;
        self.consensus
            .as_mut()
            .map_or(Vec::new(), |a| a.step(ev, t))
    }

    pub fn record(&self) -> Option<&ReplicatedState> {
        self.consensus.as_ref().map(|a| &a.state_machine().record)
    }
}

/// The record, with all that is applied written down for the checker.
pub struct Watched {
    pub record: ReplicatedState,
    trail: Rc<RefCell<Trail>>,
    node: usize,
}

impl Watched {
    pub fn new(record: ReplicatedState, trail: Rc<RefCell<Trail>>, node: usize) -> Watched {
        Watched {
            record,
            trail,
            node,
        }
    }
}

impl StateMachine for Watched {
    fn apply(&mut self, idx: u64, proposal_id: ProposalId, data: &[u8]) -> Vec<u8> {
        self.trail
            .borrow_mut()
            .applied(self.node, idx, proposal_id, data);
        self.record.apply(idx, proposal_id, data)
    }
    fn answered(&self, proposal_id: ProposalId) -> Option<Arc<Vec<u8>>> {
        self.record.answered(proposal_id)
    }
    fn image(&self) -> Vec<u8> {
        self.record.image()
    }
    fn load(&mut self, image: &[u8]) -> bool {
        self.record.load(image)
    }
}
