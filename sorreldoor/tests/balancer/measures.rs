//! A random number generator, and measures of a simulation's requests and attempts.

use super::*;

/// The xorshift64* generator; the seed must not be 0.
pub struct XorShift64(pub u64);

impl XorShift64 {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 16
    }
    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit.max(1)
    }
    pub fn chance(&mut self, chance: f64) -> bool {
        (self.below(1 << 30) as f64) < chance * (1u64 << 30) as f64
    }
}

/// The largest number of times within any span of this length; `times` is sorted.
pub fn peak_within(times: &[u64], span: u64) -> usize {
    let mut start = 0;
    (0..times.len())
        .map(|end| {
            while times[end] - times[start] >= span {
                start += 1;
            }
            end + 1 - start
        })
        .max()
        .unwrap_or(0)
}

/// The smallest number of retries left in the budget, over all windows that start or
/// end at a retry. The requests are counted in the window, in the one before it and
/// in the one half a window earlier; the largest count applies.
pub fn budget_headroom(requests: &[u64], retries: &[u64], site_limits: &SiteLimits) -> f64 {
    let window = site_limits.retry_window_ms;
    let count = |times: &[u64], start: i64, end: i64| {
        let position = |x: i64| times.partition_point(|t| (*t as i64) < x);
        position(end) - position(start)
    };
    let window_ends = retries.iter().map(|t| *t as i64 + 1);
    let window_starts = retries.iter().map(|t| *t as i64 + window as i64);
    window_ends
        .chain(window_starts)
        .map(|end| {
            let start = end - window as i64;
            let half = window as i64 / 2;
            let requests_counted = [0, half, window as i64]
                .iter()
                .map(|shift| count(requests, start - shift, end - shift))
                .max()
                .unwrap_or(0);
            site_limits.retry_ratio * requests_counted as f64 + site_limits.retry_slack
                - count(retries, start, end) as f64
        })
        .fold(f64::MAX, f64::min)
}
