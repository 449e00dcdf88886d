//! How well a set of voters is spread over zones and regions.

use crate::consensus::Member;
use crate::types::RegionId;
use std::collections::BTreeMap;

/// Ordered from best to worst: first by the voters that the loss of one zone
/// takes, then by how unevenly the regions share them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Spread {
    /// Voters in the zone that has most of them.
    pub max_in_one_zone: usize,
    /// Difference between the regions with most and with fewest voters.
    pub region_imbalance: usize,
}

impl Spread {
    /// The spread of `voters`, where `regions` are all regions that have members.
    pub fn of<'m>(voters: impl Iterator<Item = &'m Member>, regions: &[RegionId]) -> Spread {
        let mut zones: BTreeMap<u16, usize> = BTreeMap::new();
        let mut shares: BTreeMap<RegionId, usize> = regions.iter().map(|r| (*r, 0)).collect();
        for m in voters {
            *zones.entry(m.zone).or_default() += 1;
            *shares.entry(m.region).or_default() += 1;
        }
        let most = shares.values().max().copied().unwrap_or(0);
        let least = shares.values().min().copied().unwrap_or(0);
        Spread {
            max_in_one_zone: zones.values().max().copied().unwrap_or(0),
            region_imbalance: most - least,
        }
    }

    /// Whether a majority of `voters` is left when any one zone is lost.
    pub fn tolerates_zone_loss(&self, voters: usize) -> bool {
        (voters - self.max_in_one_zone) * 2 > voters
    }
}
