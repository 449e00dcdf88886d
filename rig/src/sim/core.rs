//! One simulated core: its reducer, its disk, its clock.

use super::{member, Trail};
use sorreldoor::agree::*;
use sorreldoor::record::Record;
use sorreldoor::setup::Site;
use sorreldoor::store::Mirror;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;

pub struct Node {
    pub id: Nid,
    pub region: Reg,
    pub agree: Option<Agree<Watched>>,
    pub boot: u64,
    pub frozen_until: Ms,
    pub waiting: Vec<Event>,
    pub sync_ms: Ms,
    pub stuck: bool,
    /// Added to true time; jumps forward only, as a monotonic clock may.
    pub clock: Ms,
    disk: Mirror,
    unsynced: VecDeque<(u64, Save)>,
    busy_until: Ms,
    first_seq: u64,
}

impl Node {
    pub fn founded(i: usize, region: Reg, members: &[Member], site: &Arc<Site>) -> Node {
        let mut n = Node::blank(i, region);
        let snap = Snap {
            last: Last::default(),
            members: members.to_vec(),
            image: Arc::new(Record::new(site.clone()).image()),
        };
        n.disk.take(1, &Save::Snap { snap, reset: true });
        n
    }

    pub fn blank(i: usize, region: Reg) -> Node {
        Node {
            id: member(i, region, false).id,
            region,
            agree: None,
            boot: 0,
            frozen_until: 0,
            waiting: Vec::new(),
            sync_ms: 1,
            stuck: false,
            clock: 0,
            disk: Mirror::default(),
            unsynced: VecDeque::new(),
            busy_until: 0,
            first_seq: 0,
        }
    }

    pub fn up(&self) -> bool {
        self.agree.is_some()
    }

    pub fn start(&mut self, pace: Pace, mut machine: Watched, seed: u64, now: Ms) -> u64 {
        let kept = self.disk.kept();
        if let Some(s) = &kept.snap {
            machine.load(&s.image);
        }
        self.boot += 1;
        self.first_seq = self.disk.seq;
        self.agree = Some(Agree::new(
            self.id,
            pace,
            kept,
            machine,
            seed,
            now + self.clock,
        ));
        self.boot
    }

    pub fn unsynced(&self) -> usize {
        self.unsynced.len()
    }

    pub fn crash(&mut self, survive: usize) {
        let kept: Vec<(u64, Save)> = self.unsynced.drain(..).take(survive).collect();
        for (seq, save) in kept {
            self.disk.take(seq + self.first_seq, &save);
        }
        self.agree = None;
        self.boot += 1;
        self.waiting.clear();
        self.frozen_until = 0;
        self.busy_until = 0;
    }

    /// Lose the disk: what starts here next is a blank core with a new name.
    pub fn queue_save(&mut self, seq: u64, save: Save, now: Ms, wait: Ms) -> Ms {
        self.unsynced.push_back((seq, save));
        self.busy_until = self.busy_until.max(now) + wait;
        self.busy_until
    }

    pub fn synced(&mut self, upto: u64) {
        while self.unsynced.front().is_some_and(|(s, _)| *s <= upto) {
            if let Some((s, save)) = self.unsynced.pop_front() {
                self.disk.take(s + self.first_seq, &save);
            }
        }
    }

    pub fn step(&mut self, ev: Event, now: Ms) -> Vec<Effect> {
        let t = now + self.clock;
        self.agree.as_mut().map_or(Vec::new(), |a| a.step(ev, t))
    }

    pub fn record(&self) -> Option<&Record> {
        self.agree.as_ref().map(|a| &a.machine().record)
    }
}

/// The record, with all that is applied written down for the checker.
pub struct Watched {
    pub record: Record,
    trail: Rc<RefCell<Trail>>,
    node: usize,
}

impl Watched {
    pub fn new(record: Record, trail: Rc<RefCell<Trail>>, node: usize) -> Watched {
        Watched {
            record,
            trail,
            node,
        }
    }
}

impl Machine for Watched {
    fn apply(&mut self, idx: u64, pid: Pid, data: &[u8]) -> Vec<u8> {
        self.trail.borrow_mut().applied(self.node, idx, pid, data);
        self.record.apply(idx, pid, data)
    }
    fn answered(&self, pid: Pid) -> Option<Arc<Vec<u8>>> {
        self.record.answered(pid)
    }
    fn image(&self) -> Vec<u8> {
        self.record.image()
    }
    fn load(&mut self, image: &[u8]) -> bool {
        self.record.load(image)
    }
}
