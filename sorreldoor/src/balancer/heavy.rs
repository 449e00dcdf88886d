//! Which workers of a service long shared prefixes are kept with, found alike
//! by all nodes from the configuration and the list alone.

use super::state::Balancer;
use crate::configuration::hosted::{Hosted, Kind};
use crate::types::Millis;

/// From so many shared tokens on, a prefix is worth a way to another region:
/// reading it anew takes longer than the way there and back.
pub(super) const LONG_SHARED: u32 = 4096;
/// Long prefixes seen within this keep short prompts away from their workers.
pub(super) const LATELY: Millis = 30_000;

impl Balancer {
    /// How much of each service's streams the homes of routes bind to a region.
    pub(super) fn bind(&mut self, h: &Hosted) {
        let regions = 1 + self.place.regions.iter().copied().max().unwrap_or(0) as usize;
        for s in &mut self.service_states {
            s.bound = vec![0.0; regions];
        }
        for r in h.routes.iter().filter(|r| r.kind == Kind::Stream) {
            let part = 1.0 / r.homes.len().max(1) as f64;
            for c in r.split.iter().filter(|(_, w)| *w > 0).map(|(c, _)| *c) {
                let Some(i) = self.service_index.get(c as usize) else {
                    continue;
                };
                let b = &mut self.service_states[*i as usize].bound;
                for x in r.homes.iter().filter(|x| (**x as usize) < regions) {
                    b[*x as usize] += part;
                }
            }
        }
        self.weigh();
    }

    /// Marks the workers for long prefixes anew; after any change of the list
    /// or the configuration.
    pub(super) fn weigh(&mut self) {
        for i in 0..self.service_states.len() {
            let s = &self.service_states[i];
            let of = |x: &u32| self.endpoints[*x as usize].as_deref().map(|w| (*x, w));
            let all: Vec<(u32, u8, u64)> = s
                .endpoints
                .iter()
                .filter_map(of)
                .filter(|(_, w)| w.open)
                .map(|(x, w)| (x, w.region, w.hash))
                .collect();
            let bound = |r: u8| s.bound.get(r as usize).copied().unwrap_or(0.0);
            let most = all.iter().map(|a| bound(a.1)).fold(0.0, f64::max);
            // where others must run, a long prompt stalls those who have
            // nowhere else to go
            let quiet = |r: u8| bound(r) * 2.0 <= most;
            let apart = all.iter().any(|a| !quiet(a.1));
            let mut heavy: Vec<_> = all.iter().filter(|a| !apart || quiet(a.1)).collect();
            if !apart {
                // without such a region a third of the workers takes them
                heavy.sort_by_key(|a| super::hash::mix(s.hash, a.2));
                heavy.truncate(all.len().div_ceil(3));
            }
            let heavy: Vec<u32> = heavy.iter().map(|a| a.0).collect();
            for x in self.service_states[i].endpoints.clone() {
                if let Some(w) = &mut self.endpoints[x as usize] {
                    w.heavy = heavy.contains(&x);
                }
            }
        }
    }
}
