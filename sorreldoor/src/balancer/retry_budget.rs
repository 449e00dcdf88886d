//! The retry budget of one service: retries against requests in a sliding window.
//!
//! The operator's limit holds for the sums over all nodes. Clocks of nodes
//! differ, so the window may start anywhere; see [`RetryBudget::allows_retry`].

use super::SiteLimits;
use crate::types::Millis;

/// Buckets in a quarter of the window.
const BUCKETS_PER_QUARTER: u64 = 16;
/// Buckets in one window.
const BUCKETS_PER_WINDOW: u64 = 4 * BUCKETS_PER_QUARTER;
/// Buckets kept: a further quarter covers attempts that arrive late.
const BUCKETS: usize = (BUCKETS_PER_WINDOW + BUCKETS_PER_QUARTER) as usize;

/// Share of the ratio that is used: the clocks and endpoint lists of other
/// nodes differ, and attempts arrive later than they are sent.
const RATIO_MARGIN: f64 = 0.9;
/// Share of the slack that is used, for the same reason.
pub(super) const SLACK_MARGIN: f64 = 0.8;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Number of the time step that the bucket counts.
    step: u64,
    requests: u32,
    retries: u32,
}

/// Counts requests and retries of a service over the last window.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    buckets: Box<[Bucket; BUCKETS]>,
    since: Millis,
}

impl RetryBudget {
    /// An empty budget; `since` is the time from which on retries are counted.
    pub fn new(since: Millis) -> RetryBudget {
        RetryBudget {
            buckets: Box::new([Bucket::default(); BUCKETS]),
            since,
        }
    }

    fn step(site_limits: &SiteLimits, at: Millis) -> u64 {
        let step_ms = (site_limits.retry_window_ms / BUCKETS_PER_WINDOW).max(1);
        at / step_ms + 1
    }

    fn position(step: u64) -> usize {
        (step % BUCKETS as u64) as usize
    }

    fn bucket_mut(&mut self, site_limits: &SiteLimits, now: Millis) -> &mut Bucket {
        let step = Self::step(site_limits, now);
        let bucket = &mut self.buckets[Self::position(step)];
        if bucket.step != step {
            *bucket = Bucket {
                step,
                ..Bucket::default()
            };
        }
        bucket
    }

    /// Counts a request.
    pub fn record_request(&mut self, site_limits: &SiteLimits, now: Millis) {
        self.bucket_mut(site_limits, now).requests += 1;
    }

    /// Counts a retry.
    pub fn record_retry(&mut self, site_limits: &SiteLimits, now: Millis) {
        self.bucket_mut(site_limits, now).retries += 1;
    }

    /// Takes back a retry that was recorded at `recorded_at` but never sent.
    pub fn cancel_retry(&mut self, site_limits: &SiteLimits, recorded_at: Millis) {
        let step = Self::step(site_limits, recorded_at);
        let bucket = &mut self.buckets[Self::position(step)];
        if bucket.step == step {
            bucket.retries = bucket.retries.saturating_sub(1);
        }
    }

    /// Whether one more retry is within this node's share; `slack` is this
    /// node's share of the retries that need no requests.
    ///
    /// The operator's window may start anywhere. Of the windows that may be
    /// counted for it, one holds at least as many requests as the smaller of two
    /// weighted sums over the last four quarters, and sums over nodes of this
    /// form never exceed the form of the sums.
    pub fn allows_retry(&self, site_limits: &SiteLimits, slack: u32, now: Millis) -> bool {
        let step = Self::step(site_limits, now);
        let [oldest, older, newer, newest] = [3, 2, 1, 0].map(|i| self.quarter(step, i));
        let early = 0.75 * (oldest + older) + newer + 0.25 * newest;
        let late = 0.75 * (newer + newest) + older + 0.25 * oldest;
        let requests = early.min(late);
        // a restarted node forgot its earlier retries
        let age_ms = now.saturating_sub(self.since) as f64;
        let age = age_ms / site_limits.retry_window_ms.max(1) as f64;
        let slack = f64::from(slack) * age.min(1.0);
        let retries = self.retries(step);
        f64::from(retries + 1) <= site_limits.retry_ratio * RATIO_MARGIN * requests + slack
    }

    /// Retries in all kept buckets. The bucket of `step` is not over, so it
    /// counts for retries alone.
    fn retries(&self, step: u64) -> u32 {
        self.buckets
            .iter()
            .filter(|bucket| bucket.step + BUCKETS as u64 > step && bucket.step <= step)
            .map(|bucket| bucket.retries)
            .sum()
    }

    /// Requests in a quarter of the window before `step`; 0: the newest.
    fn quarter(&self, step: u64, index: u64) -> f64 {
        let start = step.saturating_sub((index + 1) * BUCKETS_PER_QUARTER);
        let end = step.saturating_sub(index * BUCKETS_PER_QUARTER);
        let requests: u32 = self
            .buckets
            .iter()
            .filter(|bucket| bucket.step >= start.max(1) && bucket.step < end)
            .map(|bucket| bucket.requests)
            .sum();
        f64::from(requests)
    }
}
