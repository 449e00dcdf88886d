//! Construction of a controller, with blank state or with state recovered from
//! its store.

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
use crate::control_plane::worker_list::WorkerListCache;
use crate::control_plane::zone_history::ZoneHistory;
use crate::core_search::CoreSearch;
use crate::log_events::LogEvent;
use crate::quota::UsageTracker;
use crate::replicated_state::ReplicatedState;
use crate::types::Millis;

impl Controller {
    /// A core with the state recovered from its store; `None` starts it blank.
    ///
    /// # Panics
    /// If this release cannot read the stored snapshot: a core that went on with
    /// an empty state could lead and serve outdated data.
    pub fn new(
        config: ControllerConfig,
        recovered: Option<RecoveredState>,
        now: Millis,
    ) -> Controller {
        let is_founder = config.promised_founders.is_some();
        let claims_caught_up = config.claims_caught_up;
        let claim_options = Options::from(&config);
        let mut controller = Controller::blank(config, now);
        if let Some(recovered) = recovered {
            // a founder has missed no claim; a core that joined later has stored
            // whether it has caught up
            let caught_up = claims_caught_up || is_founder;
            controller.idempotency =
                Idempotency::new(claim_options, &recovered.claims, caught_up, now);
            controller.restore(recovered);
        }
        controller.reconcile_connections();
        controller
    }

    fn blank(config: ControllerConfig, now: Millis) -> Controller {
        Controller {
            idempotency: Idempotency::new(Options::from(&config), &[], false, now),
            bootstrap: Bootstrap::new(bootstrap_options(&config)),
            ids: IdSequence::new(&config.own_hello),
            sessions: Sessions::new(&config.own_hello, config.pacing.forward_edge_reports, now),
            own_hello: config.own_hello,
            site: config.site,
            membership: Membership::new(config.membership_policy),
            pacing: config.pacing,
            timing: config.timing,
            seed: config.seed,
            consensus: None,
            peer_addresses: PeerAddresses::new(config.seed_addresses)
                .with_founding_seeds(config.founding_seeds.unwrap_or_default()),
            search: CoreSearch::with_peers(config.peers),
            in_contact_at: now,
            connections: Connections::default(),
            distribution: Distribution::default(),
            worker_list: WorkerListCache::new(config.worker_poll_ms, now),
            loads: LoadTable::default(),
            reads: Reads::default(),
            proposals: Proposals::default(),
            zone_history: ZoneHistory::default(),
            singleton: SingletonRole::new(now),
            usage: UsageTracker::new(),
            quota_revision: 0,
            usage_report_at: now,
            slow_tick_at: now,
            logged_version: 0,
            stopping: false,
            wall_ms: 0,
            now,
            effects: Vec::new(),
        }
    }

    fn restore(&mut self, recovered: RecoveredState) {
        let mut state = ReplicatedState::new(self.site.clone());
        if let Some(snapshot) = &recovered.snapshot {
            assert!(
                state.load(&snapshot.image),
                "this release cannot read the snapshot"
            );
        }
        if state.was_repaired() {
            let version = state.version();
            self.log_event(LogEvent::StateRepaired, format!("serial {version}"));
        }
        for zone in self.site.zone_indices() {
            self.zone_history
                .record_at_start(zone, state.zone_changes(zone));
        }
        let (id, timing, seed, now) = (self.own_hello.id, self.timing.clone(), self.seed, self.now);
        self.consensus = Some(Consensus::new(id, timing, recovered, state, seed, now));
        self.own_hello.founded = true;
    }
}

fn bootstrap_options(config: &ControllerConfig) -> bootstrap::Options {
    let seeds = config.founding_seeds.iter().flatten().copied();
    bootstrap::Options {
        enabled: config.founding_seeds.is_some(),
        allowed_founders: config.only_seeds_bootstrap.then(|| seeds.collect()),
        founder_count: config.founder_count,
        promised_founders: config.promised_founders.clone(),
    }
}

impl From<&ControllerConfig> for Options {
    fn from(config: &ControllerConfig) -> Options {
        Options {
            capacity: config.max_claims,
            founding_cores: config.founder_count,
            reads_peers: config.pacing.read_peer_claims,
        }
    }
}
