//! Numbers drawn, and what is measured of a drive.

use super::*;

pub struct Rand(pub u64);

impl Rand {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 16
    }
    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
    pub fn chance(&mut self, p: f64) -> bool {
        (self.below(1 << 30) as f64) < p * (1u64 << 30) as f64
    }
}

/// Most of `ts` (sorted) in any `span`.
pub fn most_in(ts: &[u64], span: u64) -> usize {
    let mut lo = 0;
    (0..ts.len())
        .map(|hi| {
            while ts[hi] - ts[lo] >= span {
                lo += 1;
            }
            hi + 1 - lo
        })
        .max()
        .unwrap_or(0)
}

/// The least room left under the budget in any window that ends at a further
/// arrival: over the requests of the window, the one before it, or half before.
pub fn room(asked: &[u64], further: &[u64], b: &Bounds) -> f64 {
    let w = b.retry_window_ms;
    let count = |ts: &[u64], lo: i64, hi: i64| {
        let at = |x: i64| ts.partition_point(|t| (*t as i64) < x);
        at(hi) - at(lo)
    };
    let ends = further.iter().map(|t| *t as i64 + 1);
    let starts = further.iter().map(|t| *t as i64 + w as i64);
    ends.chain(starts)
        .map(|hi| {
            let lo = hi - w as i64;
            let half = w as i64 / 2;
            let most = [0, half, w as i64]
                .iter()
                .map(|d| count(asked, lo - d, hi - d))
                .max()
                .unwrap_or(0);
            b.retry_ratio * most as f64 + b.retry_slack - count(further, lo, hi) as f64
        })
        .fold(f64::MAX, f64::min)
}
