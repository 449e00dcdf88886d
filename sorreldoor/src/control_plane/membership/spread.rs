//! How well a set of voters is spread over zones and regions.

use crate::consensus::Member;
use crate::types::RegionId;
use std::collections::BTreeMap;

/// The less the better: first the voters that the loss of one zone takes, then
/// how unevenly they are shared among regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Spread {
    pub in_one_zone: usize,
    pub uneven: usize,
}

impl Spread {
    /// Of these voters, where `regions` are all regions that have members.
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
            in_one_zone: zones.values().max().copied().unwrap_or(0),
            uneven: most - least,
        }
    }

    /// Whether a majority of so many voters is left when any one zone is lost.
    pub fn bears_a_zone(&self, voters: usize) -> bool {
        (voters - self.in_one_zone) * 2 > voters
    }
}
