//! Starts a simulated site that is bootstrapped, configured and serving.

use super::World;
use crate::fleet::{configuration, SitePreset};
use sorreldoor::replicated_state::Command;
use sorreldoor::types::Millis;

const BOOTSTRAP_MS: Millis = 20_000;
const FIRST_CHANGE_MS: Millis = 10_000;
const READY_MS: Millis = 10_000;
/// Time for the site to settle once every edge serves.
const SETTLE_MS: Millis = 1500;

impl World {
    /// A site that is bootstrapped, has the preset's usual configuration, and
    /// whose edges all serve.
    ///
    /// # Panics
    /// If the site is not bootstrapped or serving within its time limit.
    #[must_use]
    pub fn ready(seed: u64, preset: SitePreset) -> World {
        let doc = configuration(&preset);
        World::ready_with(seed, preset, &doc)
    }

    /// As [`World::ready`], with another configuration.
    #[must_use]
    pub fn ready_with(seed: u64, preset: SitePreset, doc: &str) -> World {
        World::ready_customized(seed, preset, doc, |_| {})
    }

    /// As [`World::ready_with`]; `customize` changes the world before the run
    /// starts.
    #[must_use]
    pub fn ready_customized(
        seed: u64,
        preset: SitePreset,
        doc: &str,
        customize: impl FnOnce(&mut World),
    ) -> World {
        let mut world = World::new(seed, preset);
        customize(&mut world);
        let bootstrapped = world.run_until(world.now + BOOTSTRAP_MS, World::is_bootstrapped);
        assert!(bootstrapped, "seed {seed}: the site is not bootstrapped");
        let command = Command::Put {
            base: 0,
            new_version: None,
            document: doc.to_string(),
        };
        let change = world.change(world.cores()[0], command);
        world.run_until(world.now + FIRST_CHANGE_MS, |world| {
            world.changes[change].outcome.is_some()
        });
        let ready = world.run_until(world.now + READY_MS, World::every_edge_serves);
        assert!(ready, "seed {seed}: some edge does not serve");
        world.run_for(SETTLE_MS);
        world
    }

    /// Whether there is a leader and every core has joined: two cores may
    /// bootstrap the site and elect a leader before the third joins.
    fn is_bootstrapped(&self) -> bool {
        let has_joined = |core: &usize| {
            let controller = self.controller(*core);
            controller.is_some_and(|controller| controller.consensus().is_some())
        };
        self.leader().is_some() && self.cores().iter().all(has_joined)
    }

    fn every_edge_serves(&self) -> bool {
        let edges = self.edges();
        let serves = |edge: &usize| {
            let controller = self.edge_controller(*edge);
            controller.is_some_and(|controller| controller.ready().is_ok())
        };
        let knows_all = |edge: usize| {
            let controller = self.edge_controller(edge);
            controller.is_some_and(|c| c.cluster.snapshot.edge_sessions.1.len() == edges.len())
        };
        edges.iter().all(serves) && knows_all(edges[0])
    }
}
