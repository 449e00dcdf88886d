//! The seams at which the daemons and the simulator meet: a reducer that only
//! computes, a clock that only tells, and a hand that only carries out.

use async_std::channel::Receiver;
use std::time::{SystemTime, UNIX_EPOCH};

/// What time it is, to one process: its own monotonic clock and the wall's.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    pub monotonic_ms: u64,
    pub wall: i64,
}

pub trait Clock {
    fn now(&self) -> Now;
}

/// All of a duty's state, moved on by one event at a time.
pub trait Reducer {
    type Event;
    type Effect;
    fn step(&mut self, ev: Self::Event, now: Now) -> Vec<Self::Effect>;
}

/// Carries out what a reducer asks for; false ends the duty.
pub trait EffectHandler<R: Reducer> {
    fn handle(&mut self, r: &mut R, effect: R::Effect);
    fn keeps_running(&mut self, r: &R) -> bool;
}

/// The machine's clocks, in milliseconds. Where the system offers it, time
/// that the machine spent suspended counts as time gone by.
pub struct SystemClock {
    began: u64,
}

#[cfg(any(target_os = "linux", target_os = "android"))]
fn gone_by() -> u64 {
    let t = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    t.tv_sec as u64 * 1000 + t.tv_nsec as u64 / 1_000_000
}

#[cfg(not(any(target_os = "linux", target_os = "android")))]
fn gone_by() -> u64 {
    use std::sync::OnceLock;
    static BEGAN: OnceLock<std::time::Instant> = OnceLock::new();
    BEGAN
        .get_or_init(std::time::Instant::now)
        .elapsed()
        .as_millis() as u64
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock { began: gone_by() }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Now {
        Now {
            monotonic_ms: gone_by().saturating_sub(self.began),
            wall: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |d| d.as_millis() as i64),
        }
    }
}

/// A duty's thread: events from its ring through the reducer to the hand.
pub fn run_event_loop<R, C, H>(r: &mut R, clock: &C, hand: &mut H, ring: &Receiver<R::Event>)
where
    R: Reducer,
    C: Clock,
    H: EffectHandler<R>,
{
    while let Ok(ev) = ring.recv_blocking() {
        for effect in r.step(ev, clock.now()) {
            hand.handle(r, effect);
        }
        if !hand.keeps_running(r) {
            return;
        }
    }
}
