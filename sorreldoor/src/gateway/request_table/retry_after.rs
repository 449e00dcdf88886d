//! Retry-After values for rejected requests (RFC 9110, section 10.2.3).
//!
//! Each edge schedules the retries it asks for, second by second, so that the
//! retries of a rejected burst are spread out and stay a small part of all
//! traffic.

use crate::error::ErrorCode;
use crate::types::Millis;

/// Length of the schedule in seconds.
const SCHEDULE_SECONDS: usize = 120;
/// Scheduled retries in percent of the rate of arriving requests.
const ARRIVAL_PERCENT: u64 = 20;
/// Scheduled retries in percent of the recent rate of served requests.
const SERVED_PERCENT: u64 = 50;
/// Idle seconds after which a moving average counts as fully decayed.
const MAX_DECAY_SECONDS: u64 = 60;

/// Exponentially weighted average of events per second, in hundredths.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    /// Events in the current second.
    current: u64,
    average: u64,
}

impl Rate {
    fn advance(&mut self, seconds: u64) {
        // the long time constant lets a burst count for some seconds
        for _ in 0..seconds.min(MAX_DECAY_SECONDS) {
            self.average = (self.average * 15 + self.current * 100) / 16;
            self.current = 0;
        }
    }
}

/// Schedule of the retries that an edge has asked its callers for.
#[derive(Clone, Debug)]
pub struct RetryAfterSchedule {
    /// Retries per second of the schedule, as a ring buffer.
    scheduled: Vec<u32>,
    /// The second that the schedule starts at.
    second: u64,
    arrivals: Rate,
    served: Rate,
    /// Slowly decaying peak of the served rate, which estimates the capacity
    /// also during an outage.
    peak_served: u64,
    /// Retries asked for so far; spreads those that exceed the schedule.
    retry_count: u64,
}

impl Default for RetryAfterSchedule {
    fn default() -> RetryAfterSchedule {
        RetryAfterSchedule {
            scheduled: vec![0; SCHEDULE_SECONDS],
            second: 0,
            arrivals: Rate::default(),
            served: Rate::default(),
            peak_served: 0,
            retry_count: 0,
        }
    }
}

impl RetryAfterSchedule {
    /// Drops the seconds that have passed and updates the rates.
    fn advance(&mut self, now: Millis) {
        let second = now / 1000;
        let elapsed = second.saturating_sub(self.second);
        if elapsed == 0 {
            return;
        }
        for offset in 0..elapsed.min(SCHEDULE_SECONDS as u64) {
            *self.slot(offset) = 0;
        }
        self.arrivals.advance(elapsed);
        self.served.advance(elapsed);
        let decayed = self.peak_served - self.peak_served / 256;
        self.peak_served = decayed.max(self.served.average);
        self.second = second;
    }

    /// The count of retries for the second `offset` after the start.
    fn slot(&mut self, offset: u64) -> &mut u32 {
        let index = (self.second + offset) % SCHEDULE_SECONDS as u64;
        &mut self.scheduled[index as usize]
    }

    /// Counts an arriving request.
    pub fn record_arrival(&mut self, now: Millis) {
        self.advance(now);
        self.arrivals.current += 1;
    }

    /// Counts a request that was served.
    pub fn record_served(&mut self, now: Millis) {
        self.advance(now);
        self.served.current += 1;
    }

    /// Most retries to schedule for one second, in hundredths.
    fn retries_per_second(&self) -> u64 {
        let by_arrivals = self.arrivals.average * ARRIVAL_PERCENT / 100;
        let by_served = self.peak_served * SERVED_PERCENT / 100;
        // at least one retry per second, also before any rate is measured
        by_arrivals.min(by_served).max(100)
    }

    /// The least and greatest delay in seconds for the reason of a rejection.
    fn delay_bounds(&self, reason: ErrorCode, queued: usize) -> (u64, u64) {
        let (min, max) = match reason {
            // another node may take the request, so the delay can be short
            ErrorCode::ShuttingDown | ErrorCode::NoLease => (1, 10),
            // a lost worker or region takes at least this long to return
            ErrorCode::NoWorker | ErrorCode::NoConfiguration => (2, SCHEDULE_SECONDS / 2),
            _ => {
                let drain = queued as u64 * 100 / self.peak_served.max(100);
                (1 + drain, SCHEDULE_SECONDS / 2)
            }
        };
        let max = max as u64;
        (min.min(max / 2), max)
    }

    /// Schedules a retry and returns its delay in seconds, for a request
    /// rejected for `reason` while `queued` requests wait.
    pub fn schedule(&mut self, reason: ErrorCode, queued: usize, now: Millis) -> u64 {
        self.advance(now);
        let (min, max) = self.delay_bounds(reason, queued);
        let per_second = self.retries_per_second();
        self.retry_count += 1;
        for delay in min..max {
            let count = self.slot(delay);
            if u64::from(*count) < per_second / 100 {
                *count += 1;
                return delay;
            }
        }
        // retries beyond the schedule are spread evenly: over the same few
        // seconds if other nodes may serve them, else after the schedule
        if max < SCHEDULE_SECONDS as u64 / 2 {
            return min + self.retry_count * 7 % (max - min);
        }
        max + self.retry_count * 7 % (max - 1)
    }
}
