//! A controller as it starts: blank, or from what its store has kept.

use super::super::claims::Claims;
use super::super::connections::Connections;
use super::super::distribution::Distribution;
use super::super::events::Start;
use super::super::load_table::LoadTable;
use super::super::membership::Membership;
use super::super::proposals::{IdSequence, Proposals};
use super::super::reads::Reads;
use super::super::sessions::Sessions;
use super::super::singleton::SingletonRole;
use super::super::worker_list::WorkerList;
use super::Controller;
use crate::consensus::{Consensus, RecoveredState, StateMachine};
use crate::replicated_state::ReplicatedState;
use crate::types::Millis;
use std::collections::{BTreeMap, BTreeSet};

impl Controller {
    /// A core with the state `kept` by its store; blank without any.
    ///
    /// # Panics
    /// If this release cannot read the stored snapshot: to go on with an empty
    /// record would be to lead with old state.
    pub fn new(start: Start, kept: Option<RecoveredState>, now: Millis) -> Controller {
        let promised = start.promise.is_some();
        let sure = start.sure;
        let most_claims = start.most_claims;
        let mut controller = Controller::blank(start, now);
        if let Some(kept) = kept {
            controller.claims = Claims::new(&kept.claims, most_claims, now);
            // a founder forgets nothing; who joined later says so itself
            controller.claims.learn.sure = sure || promised;
            controller.restore(kept);
        }
        controller.redial();
        controller
    }

    fn blank(start: Start, now: Millis) -> Controller {
        Controller {
            ids: IdSequence::new(&start.me),
            sessions: Sessions::new(&start.me, start.pacing.accounts, now),
            me: start.me,
            site: start.site,
            cores: start.cores,
            membership: Membership::new(start.members),
            bootstrap: start.bootstrap,
            grow: start.grow,
            founders: (start.seeds.iter().copied())
                .filter(|_| start.grow)
                .collect(),
            known: BTreeSet::new(),
            pacing: start.pacing,
            timing: start.timing,
            seed: start.seed,
            consensus: None,
            // whoever may not found must not use what it once promised
            promise: start.promise.filter(|_| start.bootstrap),
            promises: BTreeMap::new(),
            seeds: start.seeds,
            peer_addresses: BTreeSet::new(),
            connections: Connections::default(),
            distribution: Distribution::default(),
            worker_list: WorkerList::new(start.poll_ms, now),
            loads: LoadTable::default(),
            reads: Reads::default(),
            proposals: Proposals::default(),
            singleton: SingletonRole::new(now),
            claims: Claims::new(&[], start.most_claims, now),
            slow_tick_at: now,
            logged_version: 0,
            leaving: false,
            wall: 0,
            now,
            out: Vec::new(),
        }
    }

    fn restore(&mut self, kept: RecoveredState) {
        let mut record = ReplicatedState::new(self.site.clone());
        if let Some(snapshot) = &kept.snapshot {
            assert!(
                record.load(&snapshot.image),
                "this release cannot read the snapshot"
            );
        }
        let (id, timing, seed, now) = (self.me.id, self.timing.clone(), self.seed, self.now);
        self.consensus = Some(Consensus::new(id, timing, kept, record, seed, now));
        self.me.founded = true;
    }
}
