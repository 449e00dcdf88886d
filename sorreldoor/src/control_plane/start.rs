//! A controller as it starts: from nothing, or from what its store kept.

use super::controller::Controller;
use super::duty::Duty;
use super::events::Start;
use super::idempotency::{Idempotency, Options};
use super::membership::Membership;
use super::reads::Reads;
use super::worker_list::WorkerList;
use crate::consensus::{Consensus, Kept, Millis, StateMachine};
use crate::replicated_state::ReplicatedState;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

impl Controller {
    pub fn new(s: Start, kept: Option<Kept>, now: Millis) -> Controller {
        let promised = s.promise.is_some();
        let claim_options = Options {
            capacity: s.most_claims,
            founding_cores: s.cores,
            reads_peers: s.pacing.claims,
        };
        let mut h = Controller {
            me: s.me,
            site: s.site,
            cores: s.cores,
            membership: Membership::new(s.members),
            members_at: now,
            bootstrap: s.bootstrap,
            grow: s.grow,
            founders: s.seeds.iter().copied().filter(|_| s.grow).collect(),
            known: BTreeSet::new(),
            pacing: s.pacing,
            timing: s.timing,
            seed: s.seed,
            consensus: None,
            // whoever may not found must not use what it once promised
            promise: s.promise.filter(|_| s.bootstrap),
            promises: BTreeMap::new(),
            seeds: s.seeds,
            peer_addresses: BTreeSet::new(),
            connections: BTreeMap::new(),
            edge_sessions: BTreeMap::new(),
            report_version: 0,
            session_reports: BTreeMap::new(),
            merged: Vec::new(),
            places: (0, Arc::default()),
            told: (Vec::new(), now),
            worker_list: WorkerList::new(s.poll_ms, now),
            loads: Arc::default(),
            updates: Default::default(),
            reads: Reads::default(),
            next_request_id: 1,
            ops: BTreeMap::new(),
            duty: Duty::new(now),
            duty_proposal_id: None,
            idempotency: Idempotency::new(claim_options.clone(), &[], false, now),
            slow_at: now,
            last_version: 0,
            leaving: false,
            wall: 0,
            now,
            out: Vec::new(),
        };
        if let Some(k) = kept {
            // a founder has missed no claim; a core that joined later has kept
            // on disk whether it caught up
            let caught_up = s.sure || promised;
            h.idempotency = Idempotency::new(claim_options, &k.claims, caught_up, now);
            let mut r = ReplicatedState::new(h.site.clone());
            if let Some(s) = &k.snap {
                // to go on with an empty record would be to lead with old state
                assert!(r.load(&s.image), "this release cannot read the snapshot");
            }
            h.consensus = Some(Consensus::new(h.me.id, h.timing.clone(), k, r, h.seed, now));
            h.me.founded = true;
        }
        h.redial();
        h
    }
}
