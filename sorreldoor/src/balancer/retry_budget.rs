//! The retry budget of one service: limits retries to a fraction of the requests in
//! a sliding window.
//!
//! The operator's limit applies to the sums over all nodes, in windows with any
//! start time, as the nodes' clocks differ; see [`RetryBudget::allows_retry`].

use super::SiteLimits;
use crate::types::Millis;

/// Buckets in a quarter of the window.
const BUCKETS_PER_QUARTER: u64 = 16;
/// Buckets in one window.
const BUCKETS_PER_WINDOW: u64 = 4 * BUCKETS_PER_QUARTER;
/// Number of buckets kept. A quarter more than the window covers attempts that
/// arrive late.
const BUCKETS: usize = (BUCKETS_PER_WINDOW + BUCKETS_PER_QUARTER) as usize;

/// Fraction of the ratio that is used. The rest covers differences between the
/// clocks and endpoint lists of the nodes, and the latency of attempts.
const RATIO_MARGIN: f64 = 0.9;
/// Fraction of the slack that is used, for the same reason.
pub(super) const SLACK_MARGIN: f64 = 0.8;

#[derive(Clone, Copy, Debug, Default)]
struct Bucket {
    /// Number of the time step of the bucket's counts; 0: unused.
    step: u64,
    requests: u32,
    retries: u32,
}

/// Counts requests and retries of a service over the last window.
#[derive(Clone, Debug)]
pub(super) struct RetryBudget {
    buckets: Box<[Bucket; BUCKETS]>,
    /// Time since which retries are counted.
    counting_since: Millis,
}

impl RetryBudget {
    /// An empty budget; `counting_since` is the time since which retries are counted.
    pub fn new(counting_since: Millis) -> RetryBudget {
        RetryBudget {
            buckets: Box::new([Bucket::default(); BUCKETS]),
            counting_since,
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

    /// Removes a retry that was recorded at `recorded_at` but not sent.
    pub fn cancel_retry(&mut self, site_limits: &SiteLimits, recorded_at: Millis) {
        let step = Self::step(site_limits, recorded_at);
        let bucket = &mut self.buckets[Self::position(step)];
        if bucket.step == step {
            bucket.retries = bucket.retries.saturating_sub(1);
        }
    }

    /// Whether one more retry is within this node's share of the budget; `slack` is
    /// this node's share of the retries allowed without requests.
    ///
    /// The operator's window may start at any time. The number of requests is
    /// estimated as the smaller of two weighted sums over the last four quarters of
    /// a window: at least one of the windows in question has that many requests.
    /// The estimates of the nodes add up to at most the estimate for all of them,
    /// as a sum of minima is at most the minimum of the sums.
    pub fn allows_retry(&self, site_limits: &SiteLimits, slack: u32, now: Millis) -> bool {
        let step = Self::step(site_limits, now);
        let [oldest, older, newer, newest] = [3, 2, 1, 0].map(|i| self.quarter(step, i));
        let early = 0.75 * (oldest + older) + newer + 0.25 * newest;
        let late = 0.75 * (newer + newest) + older + 0.25 * oldest;
        let requests = early.min(late);
        // retries before a restart of this node are not counted, so the slack grows
        // to its full size over the first window
        let age_ms = now.saturating_sub(self.counting_since) as f64;
        let age = age_ms / site_limits.retry_window_ms.max(1) as f64;
        let slack = f64::from(slack) * age.min(1.0);
        let retries = self.retries(step);
        f64::from(retries + 1) <= site_limits.retry_ratio * RATIO_MARGIN * requests + slack
    }

    /// Retries in all kept buckets, including the incomplete one of `step`, which
    /// does not count for requests.
    fn retries(&self, step: u64) -> u32 {
        self.buckets
            .iter()
            .filter(|bucket| bucket.step + BUCKETS as u64 > step && bucket.step <= step)
            .map(|bucket| bucket.retries)
            .sum()
    }

    /// Requests in one quarter of the window that ends before `step`; `index` 0 is
    /// the newest quarter.
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
