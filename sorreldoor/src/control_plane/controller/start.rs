//! A controller as it starts: blank, or from what its store has kept.

use super::Controller;
use crate::consensus::{Consensus, RecoveredState, StateMachine};
use crate::control_plane::bootstrap::{self, Bootstrap, PeerAddresses};
use crate::control_plane::connections::Connections;
use crate::control_plane::distribution::Distribution;
use crate::control_plane::events::ControllerConfig;
use crate::control_plane::idempotency::{Idempotency, Options};
use crate::control_plane::load_table::LoadTable;
use crate::control_plane::membership::Membership;
use crate::control_plane::proposals::{IdSequence, Proposals};
use crate::control_plane::reads::Reads;
use crate::control_plane::sessions::Sessions;
use crate::control_plane::singleton::SingletonRole;
use crate::control_plane::worker_list::WorkerList;
use crate::quota::UsageTracker;
use crate::replicated_state::ReplicatedState;
use crate::types::Millis;

impl Controller {
    /// A core with the state `kept` by its store; blank without any.
    ///
    /// # Panics
    /// If this release cannot read the stored snapshot: to go on with an empty
    /// record would be to lead with old state.
    pub fn new(config: ControllerConfig, kept: Option<RecoveredState>, now: Millis) -> Controller {
        let promised = config.promise.is_some();
        let sure = config.sure;
        let claim_options = Options::from(&config);
        let mut controller = Controller::blank(config, now);
        if let Some(kept) = kept {
            // a founder has missed no claim; a core that joined later has kept
            // on disk whether it caught up
            let caught_up = sure || promised;
            controller.idempotency = Idempotency::new(claim_options, &kept.claims, caught_up, now);
            controller.restore(kept);
        }
        controller.redial();
        controller
    }

    fn blank(config: ControllerConfig, now: Millis) -> Controller {
        Controller {
            idempotency: Idempotency::new(Options::from(&config), &[], false, now),
            bootstrap: Bootstrap::new(bootstrap_options(&config)),
            ids: IdSequence::new(&config.me),
            sessions: Sessions::new(&config.me, config.pacing.accounts, now),
            me: config.me,
            site: config.site,
            membership: Membership::new(config.membership),
            pacing: config.pacing,
            timing: config.timing,
            seed: config.seed,
            consensus: None,
            peer_addresses: PeerAddresses::new(config.seeds),
            connections: Connections::default(),
            distribution: Distribution::default(),
            worker_list: WorkerList::new(config.worker_poll_ms, now),
            loads: LoadTable::default(),
            reads: Reads::default(),
            proposals: Proposals::default(),
            singleton: SingletonRole::new(now),
            usage: UsageTracker::new(),
            quota_revision: 0,
            usage_report_at: now,
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

fn bootstrap_options(config: &ControllerConfig) -> bootstrap::Options {
    let seeds = config.seeds.iter().copied();
    bootstrap::Options {
        enabled: config.bootstrap,
        seeds_only: config.grow.then(|| seeds.collect()),
        cores: config.cores,
        promise: config.promise.clone(),
    }
}

impl From<&ControllerConfig> for Options {
    fn from(config: &ControllerConfig) -> Options {
        Options {
            capacity: config.most_claims,
            founding_cores: config.cores,
            reads_peers: config.pacing.claims,
        }
    }
}
