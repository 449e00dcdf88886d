//! The interfaces that daemons and simulators share: a pure reducer, a clock,
//! and the handler that carries out a reducer's effects.

mod event_queue;

pub use event_queue::{event_queue, EventReceiver, EventSender, Prioritized, SendError};

use std::time::{SystemTime, UNIX_EPOCH};

/// A reading of both clocks of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Now {
    /// Milliseconds since the process started, including suspended time where the
    /// operating system supports it.
    pub monotonic_ms: u64,
    /// Milliseconds since the Unix epoch; may jump in either direction.
    pub wall: i64,
}

/// A source of time; simulators implement it with virtual time.
pub trait Clock {
    /// The current time.
    fn now(&self) -> Now;
}

/// A state machine that is advanced by one event at a time. It reads no clock
/// and does no I/O, so that a simulator can replay it.
pub trait Reducer {
    /// Input: frames, timers, completions.
    type Event;
    /// Output: frames to send, state to store, connections to open.
    type Effect;
    /// Handles one event; returns its effects in the order in which they must be
    /// carried out.
    fn step(&mut self, event: Self::Event, now: Now) -> Vec<Self::Effect>;
}

/// Carries out a reducer's effects.
pub trait EffectHandler<R: Reducer> {
    /// Carries out one effect.
    fn handle(&mut self, reducer: &mut R, effect: R::Effect);
    /// Whether the event loop continues; called after each event.
    fn keeps_running(&mut self, reducer: &R) -> bool;
}

/// The clocks of the operating system. On Linux and Android the monotonic clock
/// includes the time that the machine was suspended.
pub struct SystemClock {
    /// Monotonic reading at the start of the process, in milliseconds.
    started_ms: u64,
}

#[cfg(any(target_os = "linux", target_os = "android"))]
fn elapsed_ms() -> u64 {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    time.tv_sec as u64 * 1000 + time.tv_nsec as u64 / 1_000_000
}

#[cfg(not(any(target_os = "linux", target_os = "android")))]
fn elapsed_ms() -> u64 {
    use std::sync::OnceLock;
    static STARTED: OnceLock<std::time::Instant> = OnceLock::new();
    STARTED
        .get_or_init(std::time::Instant::now)
        .elapsed()
        .as_millis() as u64
}

impl Default for SystemClock {
    fn default() -> SystemClock {
        SystemClock {
            started_ms: elapsed_ms(),
        }
    }
}

impl Clock for SystemClock {
    fn now(&self) -> Now {
        Now {
            monotonic_ms: elapsed_ms().saturating_sub(self.started_ms),
            wall: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |since_epoch| since_epoch.as_millis() as i64),
        }
    }
}

/// Runs a reducer on the current thread: passes it the events of a queue and
/// passes its effects to the handler. Returns when the handler stops the loop or
/// the queue is closed.
pub fn run_event_loop<R, C, H>(
    reducer: &mut R,
    clock: &C,
    handler: &mut H,
    events: &EventReceiver<R::Event>,
) where
    R: Reducer,
    C: Clock,
    H: EffectHandler<R>,
{
    while let Some(event) = events.recv_blocking() {
        for effect in reducer.step(event, clock.now()) {
            handler.handle(reducer, effect);
        }
        if !handler.keeps_running(reducer) {
            return;
        }
    }
}
