//! Passive signs of a worker's health: out for a doubling time, back by trial.

use crate::types::Millis;

const FIRST_OUT: Millis = 1000;
const LONGEST_OUT: Millis = 10_000;
/// Broken sendings in a row that put a worker out.
const IN_A_ROW: u32 = 2;
/// Share of failures, over this many sendings, that puts a worker out.
const SHARE: f64 = 0.5;
const LEAST: f64 = 5.0;
/// A sign weighs half after so many others.
const FADE: f64 = 0.9;
/// Trials in a row that bring a worker back.
const TRIALS: u32 = 2;
/// From then on a request that runs once may be the trial.
const PATIENT: Millis = 2000;

#[derive(Clone, Debug, Default)]
pub struct Health {
    row: u32,
    good: f64,
    bad: f64,
    /// Out until then; 0: in.
    until: Millis,
    level: u32,
    /// Trials passed since it was out.
    passed: u32,
    /// A trial is under way.
    pub trial: bool,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    Good,
    /// No connection came up.
    ConnectFailed,
    Bad,
}

impl Health {
    pub fn out(&self) -> bool {
        self.until > 0
    }

    pub fn until(&self) -> Millis {
        self.until
    }

    /// May be tried now by one request.
    pub fn due(&self, now: Millis, repeatable: bool) -> bool {
        let from = self.until + if repeatable { 0 } else { PATIENT };
        !self.trial && now >= from
    }

    /// Heard a sign; `may` it be put out for its failures. True if it went out.
    pub fn sign(&mut self, s: Sign, may: bool, now: Millis) -> bool {
        self.good *= FADE;
        self.bad *= FADE;
        if s == Sign::Good {
            self.good += 1.0;
            self.row = 0;
            if self.out() {
                self.passed += 1;
            }
            return false;
        }
        self.bad += 1.0;
        self.row += 1;
        let n = self.good + self.bad;
        let often = n >= LEAST * 0.8 && self.bad / n > SHARE;
        let go = match (self.out(), s) {
            (true, _) => true,
            // what takes no connection serves nobody, however many others are out
            (_, Sign::ConnectFailed) => true,
            _ => may && (self.row >= IN_A_ROW || often),
        };
        if go {
            self.go(now);
        }
        go
    }

    fn go(&mut self, now: Millis) {
        // failures of sendings from before it went out are one event
        if self.out() && now < self.until {
            return;
        }
        self.until = now + (FIRST_OUT << self.level.min(4)).min(LONGEST_OUT);
        self.level = (self.level + 1).min(4);
        self.passed = 0;
    }

    /// Back for good after enough trials; true the moment that happens.
    pub fn back(&mut self) -> bool {
        let yes = self.out() && self.passed >= TRIALS;
        if yes {
            self.until = 0;
            self.passed = 0;
            self.row = 0;
            (self.good, self.bad) = (2.0, 1.0);
        }
        yes
    }

    /// A long good time takes a step of the doubling back.
    pub fn calm(&mut self) {
        if !self.out() && self.row == 0 && self.bad < 0.1 {
            self.level = self.level.saturating_sub(1);
            self.bad = 1.0;
        }
    }
}
