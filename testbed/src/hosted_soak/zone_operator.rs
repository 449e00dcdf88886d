//! The operator's evacuations: a zone is evacuated and returned to service again and
//! again, each call being repeated until a core acknowledges it. Where a core is paused,
//! a call goes there first, so that the core reads it after newer ones.

use super::processes::{Process, ProcessFleet, ProcessRole};
use super::records::{ChangeState, Records, ZoneChangeRecord};
use crate::rand::Rand;
use crate::sync::lock;
use async_std::task::sleep;
use http_types::Method;
use sorreldoor::http::{call, Call};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The zone that is evacuated.
pub const ZONE: &str = "c";
/// Limit on the time from the acknowledgement of an evacuation until the zone's workers
/// get nothing new.
pub const EVACUATION_MS: u64 = 5000;
/// Time-out of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The pause before a call is repeated at another core; it grows by half each time.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// How long a call is repeated.
const ACK_TIMEOUT: Duration = Duration::from_secs(6);
/// How long the operator waits for a paused core.
const MAX_WAIT_FOR_PAUSE: Duration = Duration::from_secs(12);
const MAX_ANSWER_BYTES: usize = 1 << 16;

/// Evacuates a zone and returns it to service, and records each change.
pub struct ZoneOperator {
    fleet: Arc<ProcessFleet>,
    records: Arc<Records>,
    random: Rand,
}

impl ZoneOperator {
    pub fn new(fleet: Arc<ProcessFleet>, records: Arc<Records>, seed: u64) -> ZoneOperator {
        ZoneOperator {
            fleet,
            records,
            random: Rand::new(seed),
        }
    }

    /// Changes the zone until the soak is over.
    pub async fn run(mut self) {
        while !self.records.stopped() {
            self.evacuate_twice().await;
        }
    }

    /// Evacuates the zone, returns it, by a call to a paused core first if there is one,
    /// and evacuates it again at once, for as long as the checks need.
    async fn evacuate_twice(&mut self) {
        let core = self.random_core();
        self.change(true, core).await;
        self.pause(1000, 2000).await;
        let core = self.paused_core().await;
        self.change(false, core).await;
        self.pause(50, 500).await;
        let core = self.random_core();
        self.change(true, core).await;
        self.pause(EVACUATION_MS + 2000, 4000).await;
        let core = self.random_core();
        self.change(false, core).await;
        self.pause(500, 1000).await;
    }

    async fn pause(&mut self, least_ms: u64, spread_ms: u64) {
        let pause = Duration::from_millis(least_ms + self.random.below(spread_ms));
        let end = Instant::now() + pause;
        while Instant::now() < end && !self.records.stopped() {
            sleep(Duration::from_millis(20)).await;
        }
    }

    fn cores(&self) -> Vec<&Process> {
        self.fleet.with_role(ProcessRole::Core).collect()
    }

    /// The position of a core among the cores.
    fn random_core(&mut self) -> usize {
        let cores = self.cores().len() as u64;
        self.random.below(cores) as usize
    }

    /// A paused core; any core if none is paused for a while.
    async fn paused_core(&mut self) -> usize {
        let end = Instant::now() + MAX_WAIT_FOR_PAUSE;
        while Instant::now() < end && !self.records.stopped() {
            let paused = self.cores().iter().position(|core| core.is_paused());
            if let Some(core) = paused {
                return core;
            }
            sleep(Duration::from_millis(20)).await;
        }
        self.random_core()
    }

    /// Sends a change to one core after the other, from `first` on, until one
    /// acknowledges it.
    async fn change(&mut self, evacuated: bool, first: usize) {
        let action = if evacuated { "start" } else { "stop" };
        let record = {
            let mut changes = lock(&self.records.zone_changes);
            changes.push(ZoneChangeRecord {
                evacuated,
                sent_at: self.records.now(),
                state: ChangeState::Undecided,
            });
            changes.len() - 1
        };
        let addresses: Vec<_> = self.cores().iter().map(|c| c.operator_addr()).collect();
        let end = Instant::now() + ACK_TIMEOUT;
        let mut pause = FIRST_PAUSE;
        for core in addresses.iter().cycle().skip(first) {
            let request = Call {
                method: Method::Post,
                path: format!("/api/drain/{ZONE}/{action}"),
                headers: Vec::new(),
                body: Vec::new(),
            };
            let answer = call(*core, request, MAX_ANSWER_BYTES, CALL_TIMEOUT).await;
            if answer.is_ok_and(|answer| answer.status == 200) {
                let at = self.records.now();
                lock(&self.records.zone_changes)[record].state = ChangeState::Acknowledged { at };
                return;
            }
            if Instant::now() + pause > end || self.records.stopped() {
                return;
            }
            sleep(pause).await;
            pause = pause * 3 / 2;
        }
    }
}
