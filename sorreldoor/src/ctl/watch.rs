//! `--wait`: polls the status until an evacuated zone has no requests in flight.

use super::client::{Client, Request};
use super::{ExitCode, EXIT_REJECTED};
use crate::json::{self, Value};
use simd_json::prelude::*;
use std::time::{Duration, Instant};

/// Time after an acknowledged change by which every gateway applies it and
/// all load reports have arrived.
const SETTLE_TIME: Duration = Duration::from_secs(4);
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Requests in flight in a zone.
#[derive(Clone, Copy, PartialEq, Eq, Default)]
struct InFlight {
    at_workers: u64,
    at_edges: u64,
}

impl Client {
    /// Waits until a zone has no requests in flight; prints the counts whenever
    /// they change. Fails after `limit`, but not before `SETTLE_TIME`.
    pub(super) fn wait_until_empty(&self, zone: &str, limit: Duration) -> Result<(), ExitCode> {
        // until then a gateway may still send requests to the zone that no
        // report counts yet
        let settled = Instant::now() + SETTLE_TIME;
        let deadline = settled.max(Instant::now() + limit);
        let mut printed = None;
        loop {
            let in_flight = self.in_flight(zone);
            if in_flight == Some(InFlight::default()) && Instant::now() >= settled {
                println!("zone {zone} is empty");
                return Ok(());
            }
            if in_flight != printed {
                let InFlight {
                    at_workers,
                    at_edges,
                } = in_flight.unwrap_or_default();
                println!(
                    "zone {zone}: {at_workers} requests at its workers, {at_edges} at its edges"
                );
                printed = in_flight;
            }
            if Instant::now() >= deadline {
                eprintln!("ctl: zone {zone} still has requests in flight after the wait; the change stays in effect");
                return Err(EXIT_REJECTED);
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Requests at a zone's workers and gateways; `None` if the status cannot
    /// be read or the zone is not evacuated.
    fn in_flight(&self, zone: &str) -> Option<InFlight> {
        let called = self.call(&Request::get("/v1/status")).ok()?;
        let status = json::parse(&called.body, usize::MAX).ok()?;
        let rows = status.get("zones").and_then(|zones| zones.as_array())?;
        let is_zone = |row: &&Value| row.get("zone").and_then(|name| name.as_str()) == Some(zone);
        let row = rows.iter().find(is_zone)?;
        let count = |key: &str| row.get(key).and_then(|count| count.as_u64()).unwrap_or(0);
        let is_evacuated = row.get("emptied").and_then(|flag| flag.as_bool()) == Some(true);
        is_evacuated.then(|| InFlight {
            at_workers: count("at_workers"),
            at_edges: count("at_edges"),
        })
    }
}
