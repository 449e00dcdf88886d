//! Token-bucket budgets that bound the load an edge adds by retries, and the
//! traffic it sends to other regions.

use crate::invariants::{is_disabled, Invariant};
use std::collections::BTreeMap;

/// The cost of one request in the unit of both budgets, hundredths of a
/// request; a deposit of one percent is one unit.
const ONE_REQUEST: u64 = 100;
/// Cap on the retry budget: two retries.
const MAX_RETRY_BALANCE: u64 = 2 * ONE_REQUEST;
/// Cap on the spill budget of each region: two requests.
const MAX_SPILL_BALANCE: u64 = 2 * ONE_REQUEST;

/// Retry budget: retries as a share of first attempts, as in Finagle. Unused
/// balance is kept up to `MAX_RETRY_BALANCE`.
#[derive(Clone, Debug, Default)]
pub struct RetryBudget {
    /// In hundredths of a retry.
    balance: u64,
}

impl RetryBudget {
    /// Credits the budget with `percent` of a retry, for a first attempt.
    pub fn deposit(&mut self, percent: u32) {
        self.balance = (self.balance + u64::from(percent)).min(MAX_RETRY_BALANCE);
    }

    /// Takes one retry from the budget; false if it is exhausted.
    #[must_use]
    pub fn try_withdraw(&mut self) -> bool {
        let allowed = self.balance >= ONE_REQUEST || is_disabled(Invariant::RetryBudget);
        let cost = if allowed { ONE_REQUEST } else { 0 };
        self.balance = self.balance.saturating_sub(cost);
        allowed
    }
}

/// Budget for requests that spill over to other regions. Every arriving
/// request credits the configured percentage. The low cap keeps the balance of
/// a quiet period from paying for a burst.
#[derive(Clone, Debug, Default)]
pub struct SpillBudget {
    /// In hundredths of a request, by target region.
    balance: BTreeMap<u8, u64>,
}

impl SpillBudget {
    /// Credits the budget for an arriving request, with the configured
    /// percentage for each target region.
    pub fn deposit(&mut self, limits: impl Iterator<Item = (u8, u32)>) {
        for (region, percent) in limits {
            let balance = self.balance.entry(region).or_default();
            *balance = (*balance + u64::from(percent)).min(MAX_SPILL_BALANCE);
        }
    }

    /// Whether one more request may go to `region`.
    #[must_use]
    pub fn allows(&self, region: u8, percent: u32) -> bool {
        let balance = self.balance.get(&region);
        percent > 0 && balance.is_some_and(|balance| *balance >= ONE_REQUEST)
    }

    /// Charges one request that was sent to `region`.
    pub fn withdraw(&mut self, region: u8) {
        if let Some(balance) = self.balance.get_mut(&region) {
            *balance = balance.saturating_sub(ONE_REQUEST);
        }
    }
}
