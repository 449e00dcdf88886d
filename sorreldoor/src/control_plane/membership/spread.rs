//! The distribution of a set of voters over zones and regions.

use crate::consensus::Member;
use crate::types::RegionId;
use std::collections::BTreeMap;

/// How unevenly voters are distributed; smaller is better. Ordered by the number
/// of voters that the loss of one zone can take, then by the difference between
/// regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Spread {
    /// Number of voters in the zone that has the most.
    pub max_in_one_zone: usize,
    /// Difference in voters between the regions with the most and the fewest.
    pub region_imbalance: usize,
}

impl Spread {
    /// The spread of `voters`, where `regions` are the regions that have members.
    pub fn of<'m>(voters: impl Iterator<Item = &'m Member>, regions: &[RegionId]) -> Spread {
        let mut voters_by_zone: BTreeMap<u16, usize> = BTreeMap::new();
        let mut voters_by_region: BTreeMap<RegionId, usize> =
            regions.iter().map(|r| (*r, 0)).collect();
        for m in voters {
            *voters_by_zone.entry(m.zone).or_default() += 1;
            *voters_by_region.entry(m.region).or_default() += 1;
        }
        let most = voters_by_region.values().max().copied().unwrap_or(0);
        let least = voters_by_region.values().min().copied().unwrap_or(0);
        Spread {
            max_in_one_zone: voters_by_zone.values().max().copied().unwrap_or(0),
            region_imbalance: most - least,
        }
    }

    /// Whether a majority of the `voters` remains after the loss of any one zone.
    pub fn tolerates_zone_loss(&self, voters: usize) -> bool {
        (voters - self.max_in_one_zone) * 2 > voters
    }
}
