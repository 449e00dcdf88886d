//! When a caller that is shed should come back. An edge keeps a calendar of
//! the returns it has asked for, so that a crowd does not come back as one,
//! and returns stay a small part of what else comes.

use crate::error::ErrorCode;
use crate::types::Millis;

/// Seconds that the calendar reaches.
const DAYS: usize = 120;
/// Second tries, in percent of first ones, that are asked for.
const PART: u64 = 20;
/// Of what was lately served, the percent that returns may take up.
const ROOM: u64 = 50;

/// Smoothed counts of a second, in hundredths.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    now: u64,
    mean: u64,
}

impl Rate {
    fn turn(&mut self, seconds: u64) {
        // what came in a crowd should still count a while after it
        for _ in 0..seconds.min(60) {
            self.mean = (self.mean * 15 + self.now * 100) / 16;
            self.now = 0;
        }
    }
}

#[derive(Clone, Debug)]
pub struct Again {
    booked: Vec<u32>,
    /// The second that the calendar stands at.
    at: u64,
    first: Rate,
    served: Rate,
    /// The most that was served of late, which an outage must not forget.
    best: u64,
    spread: u64,
}

impl Default for Again {
    fn default() -> Again {
        Again {
            booked: vec![0; DAYS],
            at: 0,
            first: Rate::default(),
            served: Rate::default(),
            best: 0,
            spread: 0,
        }
    }
}

impl Again {
    fn turn(&mut self, now: Millis) {
        let s = now / 1000;
        let by = s.saturating_sub(self.at);
        if by == 0 {
            return;
        }
        for i in 0..by.min(DAYS as u64) {
            self.booked[((self.at + i) % DAYS as u64) as usize] = 0;
        }
        self.first.turn(by);
        self.served.turn(by);
        self.best = (self.best - self.best / 256).max(self.served.mean);
        self.at = s;
    }

    pub fn came(&mut self, now: Millis) {
        self.turn(now);
        self.first.now += 1;
    }

    pub fn done(&mut self, now: Millis) {
        self.turn(now);
        self.served.now += 1;
    }

    /// Returns that one second may bring, in hundredths.
    fn room(&self) -> u64 {
        let first = self.first.mean * PART / 100;
        let served = self.best * ROOM / 100;
        // with nothing measured yet somebody must still come back
        first.min(served).max(100)
    }

    /// Seconds from now, with `waiting` errands in line before it.
    pub fn book(&mut self, why: ErrorCode, waiting: usize, now: Millis) -> u64 {
        self.turn(now);
        let (least, reach) = match why {
            // another node may take it, so it need not wait for this one
            ErrorCode::Leaving | ErrorCode::NoLease => (1, 10),
            // so long a lost worker or region is at least away
            ErrorCode::NoWorker | ErrorCode::NoConfiguration => (2, DAYS / 2),
            _ => (1 + waiting as u64 * 100 / self.best.max(100), DAYS / 2),
        };
        let reach = reach as u64;
        let least = least.min(reach / 2);
        let room = self.room();
        self.spread += 1;
        for s in least..reach {
            let n = &mut self.booked[((self.at + s) % DAYS as u64) as usize];
            // a room below one a second is one in several seconds
            if u64::from(*n) < room / 100 {
                *n += 1;
                return s;
            }
        }
        // more than fits is spread evenly, behind what is booked or, where
        // it may go to other nodes, over the same few seconds
        if reach < DAYS as u64 / 2 {
            return least + self.spread * 7 % (reach - least);
        }
        reach + self.spread * 7 % (reach - 1)
    }
}
