//! Generated traffic: a deployment's mix of requests at a given rate.

use super::World;
use sorreldoor::types::Millis;

/// The number of prefix keys that the requests share.
const PREFIX_KEYS: u64 = 24;

impl World {
    /// Sends requests of the usual mix until `end`, `per_s` a second in total, to
    /// random edges among those for which `pick` holds.
    pub fn traffic(&mut self, per_s: u64, end: Millis, pick: fn(&World, usize) -> bool) {
        if self.now >= end {
            return;
        }
        let mut edges = self.edges();
        edges.retain(|edge| pick(self, *edge));
        if !edges.is_empty() {
            let edge = edges[self.rng.below(edges.len() as u64) as usize];
            self.send_random_request(edge);
        }
        let gap = self.request_gap(per_s);
        self.after(gap, move |world| world.traffic(per_s, end, pick));
    }

    fn send_random_request(&mut self, edge: usize) {
        let key = self.random_prefix_key();
        match self.rng.below(10) {
            0..=4 => self.send_request(edge, "verdict", &key, None),
            5 => self.send_request(edge, "draft", "", None),
            6 => {
                let home = self.random_region();
                self.send_request(edge, "question", "", Some(home))
            }
            _ => self.send_request(edge, "page", "", None),
        };
    }

    /// As [`World::traffic`] over all edges, but each request names a home region,
    /// so that a configuration may bind any route to it.
    pub fn home_region_traffic(&mut self, per_s: u64, end: Millis) {
        if self.now >= end {
            return;
        }
        let edges = self.edges();
        let edge = edges[self.rng.below(edges.len() as u64) as usize];
        let home = self.random_region();
        let key = self.random_prefix_key();
        let route = match self.rng.below(10) {
            0..=2 => "verdict",
            3..=4 => "draft",
            5..=6 => "question",
            _ => "page",
        };
        let key = if route == "verdict" { &key } else { "" };
        self.send_request(edge, route, key, Some(home));
        let gap = self.request_gap(per_s);
        self.after(gap, move |world| world.home_region_traffic(per_s, end));
    }

    fn random_prefix_key(&mut self) -> String {
        format!("prefix{}", self.rng.below(PREFIX_KEYS))
    }

    fn random_region(&mut self) -> u8 {
        self.rng.below(self.site.regions.len() as u64) as u8
    }

    fn request_gap(&mut self, per_s: u64) -> Millis {
        1 + self.rng.below(2000 / per_s.max(1))
    }
}
