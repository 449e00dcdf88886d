//! Checks on this node's seeds and disk, and on each core by itself.

use super::status::flag;
use crate::doctor::observe::{Observations, SeedStatus};
use crate::doctor::rules::Finding;
use crate::json::Value;
use simd_json::prelude::*;

/// Clocks may differ by so much, in milliseconds.
const MAX_CLOCK_SKEW_MS: i64 = 2000;
/// A slower sync of one file is reported, in milliseconds.
const SLOW_SYNC_MS: u64 = 200;
/// Less free space is reported, in percent.
const MIN_FREE_PERCENT: u64 = 10;

pub(super) fn check_seeds(observations: &Observations, findings: &mut Vec<Finding>) {
    let seeds = &observations.seeds;
    let statuses = seeds.iter().map(|(_, status)| status);
    let unreached = statuses.filter(|status| matches!(status, SeedStatus::Unreached));
    let unreached = unreached.count();
    if unreached == seeds.len() && unreached > 0 {
        findings.push(Finding::new(3, format!("{unreached} tried")));
    }
    for (address, status) in seeds {
        let finding = match status {
            SeedStatus::Unreached if unreached < seeds.len() => Finding::new(2, address.clone()),
            SeedStatus::OtherSite(site) => Finding::new(4, format!("{address} is of {site:?}")),
            SeedStatus::OtherProtocol(version) => {
                Finding::new(5, format!("{address} speaks {version}"))
            }
            SeedStatus::Unreached | SeedStatus::Core(_) => continue,
        };
        findings.push(finding);
    }
}

pub(super) fn check_disk(observations: &Observations, findings: &mut Vec<Finding>) {
    let Some(disk) = &observations.disk else {
        return;
    };
    match &disk.sync_ms {
        Err(error) => findings.push(Finding::new(7, error.clone())),
        Ok(ms) if *ms > SLOW_SYNC_MS => {
            findings.push(Finding::new(8, format!("{ms} ms for one file")));
        }
        Ok(_) => {}
    }
    let free = disk.free_percent;
    if let Some(percent) = free.filter(|percent| *percent < MIN_FREE_PERCENT) {
        findings.push(Finding::new(9, format!("{percent} % free")));
    }
}

/// What the status of a core says of itself; `wall_ms` is this machine's
/// clock.
pub(super) fn check_core(name: &str, status: &Value, wall_ms: i64, findings: &mut Vec<Finding>) {
    if flag(status, "disk_failed") == Some(true) {
        findings.push(Finding::new(11, name));
    }
    let clock = status.get("wall_ms").and_then(|value| value.as_i64());
    let skew = clock.map_or(0, |clock| clock - wall_ms);
    if skew.abs() > MAX_CLOCK_SKEW_MS {
        findings.push(Finding::new(6, format!("{name} is off by {skew} ms")));
    }
}
