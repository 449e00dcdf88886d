//! Further sendings of one service against its requests, in a sliding window.

use super::Bounds;
use crate::types::Millis;

const QUARTER: u64 = 16;
/// Buckets of one window; another quarter is looked back on for lateness.
const PER: u64 = 4 * QUARTER;
const SLOTS: usize = (PER + QUARTER) as usize;

/// Kept free of the ratio and of the slack: other nodes' clocks and lists
/// differ, and what is sent arrives later.
const SAFE_RATIO: f64 = 0.9;
pub const SAFE_SLACK: f64 = 0.8;

#[derive(Clone, Copy, Debug, Default)]
struct Slot {
    /// The bucket that it counts for.
    at: u64,
    asked: u32,
    again: u32,
}

#[derive(Clone, Debug)]
pub struct Budget {
    slots: Box<[Slot; SLOTS]>,
    since: Millis,
}

impl Budget {
    pub fn new(now: Millis) -> Budget {
        Budget {
            slots: Box::new([Slot::default(); SLOTS]),
            since: now,
        }
    }

    fn step(b: &Bounds) -> Millis {
        (b.retry_window_ms / PER).max(1)
    }

    fn slot(&mut self, b: &Bounds, now: Millis) -> &mut Slot {
        let at = now / Self::step(b) + 1;
        let s = &mut self.slots[(at % SLOTS as u64) as usize];
        if s.at != at {
            *s = Slot {
                at,
                ..Slot::default()
            };
        }
        s
    }

    pub fn asked(&mut self, b: &Bounds, now: Millis) {
        self.slot(b, now).asked += 1;
    }

    pub fn spent(&mut self, b: &Bounds, now: Millis) {
        self.slot(b, now).again += 1;
    }

    /// What was booked did not arrive after all.
    pub fn unspent(&mut self, b: &Bounds, then: Millis) {
        let at = then / Self::step(b) + 1;
        let s = &mut self.slots[(at % SLOTS as u64) as usize];
        if s.at == at {
            s.again = s.again.saturating_sub(1);
        }
    }

    /// Whether one more further sending is within this node's part; `slack` is
    /// its part of the slack.
    pub fn fits(&self, b: &Bounds, slack: u32, now: Millis) -> bool {
        let at = now / Self::step(b) + 1;
        // the bucket of now is not over, so it counts for sendings alone
        let again: u32 = self
            .slots
            .iter()
            .filter(|s| s.at + SLOTS as u64 > at && s.at <= at)
            .map(|s| s.again)
            .sum();
        let q = |i: u64| -> f64 {
            let (lo, hi) = (
                at.saturating_sub((i + 1) * QUARTER),
                at.saturating_sub(i * QUARTER),
            );
            let n: u32 = self
                .slots
                .iter()
                .filter(|s| s.at >= lo.max(1) && s.at < hi)
                .map(|s| s.asked)
                .sum();
            f64::from(n)
        };
        let (d, c, b2, a) = (q(0), q(1), q(2), q(3));
        // the window that is judged may start anywhere; of the windows
        // that may be counted for it, one holds at least so many requests, and
        // sums over nodes of this form never pass the form of the sums
        let first = 0.75 * (a + b2) + c + 0.25 * d;
        let last = 0.75 * (c + d) + b2 + 0.25 * a;
        let base = first.min(last);
        // a node that started anew forgot what it had spent
        let age = (now.saturating_sub(self.since)) as f64 / b.retry_window_ms.max(1) as f64;
        let slack = f64::from(slack) * age.min(1.0);
        f64::from(again + 1) <= b.retry_ratio * SAFE_RATIO * base + slack
    }
}
