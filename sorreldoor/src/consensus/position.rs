//! Where the Global Leader should stand: the z with the least Ls.

use crate::types::{Millis, RegionId};
use std::collections::BTreeMap;

/// Reads and writes of one region's askers over the last period.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    pub reads: u64,
    pub writes: u64,
}

pub struct View<'a> {
    pub load: &'a BTreeMap<RegionId, Load>,
    /// One-way delay between two regions, where known.
    pub lat: &'a BTreeMap<(RegionId, RegionId), Millis>,
    pub up: &'a [RegionId],
    pub all: &'a [RegionId],
}

impl View<'_> {
    fn l(&self, i: RegionId, j: RegionId) -> Option<Millis> {
        (i == j)
            .then_some(0)
            .or_else(|| self.lat.get(&(i, j)).copied())
            .or_else(|| self.lat.get(&(j, i)).copied())
    }

    fn nearest(&self, z: RegionId) -> Option<Millis> {
        self.up
            .iter()
            .filter(|j| **j != z)
            .filter_map(|j| self.l(z, *j))
            .min()
    }

    /// Li of the paper, in its three cases; none while a delay is unknown.
    pub fn li(&self, i: RegionId, z: RegionId) -> Option<u64> {
        let n = self.load.get(&i).copied().unwrap_or_default();
        let near = self.nearest(z).unwrap_or(0);
        if i == z {
            return Some(2 * near * n.writes);
        }
        self.l(i, z).map(|l| {
            if self.up.contains(&i) {
                2 * l * (n.writes + n.reads)
            } else {
                2 * (l + near) * n.writes + 2 * l * n.reads
            }
        })
    }

    pub fn ls(&self, z: RegionId) -> Option<u64> {
        self.all.iter().map(|i| self.li(*i, z)).sum()
    }
}

/// The region to move to, if it saves at least `gain` percent over `now`.
pub fn best(v: &View, now: RegionId, gain: u64) -> Option<RegionId> {
    let here = v.ls(now)?;
    v.up.iter()
        .filter(|z| **z != now)
        .filter_map(|z| v.ls(*z).map(|s| (s, *z)))
        .min()
        // a region that is down cannot be stayed in, whatever it costs
        .filter(|(s, _)| !v.up.contains(&now) || s * 100 < here * (100 - gain.min(100)))
        .map(|(_, z)| z)
}
