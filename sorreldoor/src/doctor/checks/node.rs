//! Checks on this node's seeds and disk, and on the status of each core.

use super::status::flag;
use crate::doctor::observe::{Observations, SeedStatus};
use crate::doctor::rules::Finding;
use crate::json::Value;
use simd_json::prelude::*;

/// A larger difference between clocks is reported.
const MAX_CLOCK_SKEW_MS: i64 = 2000;
/// A slower sync of one file is reported.
const SLOW_SYNC_MS: u64 = 200;
/// Less free space is reported.
const MIN_FREE_PERCENT: u64 = 10;

pub(super) fn check_seeds(observations: &Observations, findings: &mut Vec<Finding>) {
    let seeds = &observations.seeds;
    let statuses = seeds.iter().map(|(_, status)| status);
    let unreachable = statuses.filter(|status| matches!(status, SeedStatus::Unreachable));
    let unreachable = unreachable.count();
    if unreachable == seeds.len() && unreachable > 0 {
        findings.push(Finding::new(3, format!("{unreachable} addresses tried")));
    }
    for (address, status) in seeds {
        let finding = match status {
            SeedStatus::Unreachable if unreachable < seeds.len() => {
                Finding::new(2, address.clone())
            }
            SeedStatus::OtherSite(site) => {
                Finding::new(4, format!("{address} belongs to the site with {site}"))
            }
            SeedStatus::OtherProtocol(version) => {
                Finding::new(5, format!("{address} uses protocol version {version}"))
            }
            SeedStatus::Unreachable | SeedStatus::Core(_) => continue,
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

/// Checks the fields of a core's status that concern the core alone.
/// `wall_ms` is this machine's clock in milliseconds since the Unix epoch.
pub(super) fn check_core(name: &str, status: &Value, wall_ms: i64, findings: &mut Vec<Finding>) {
    if flag(status, "disk_failed") == Some(true) {
        findings.push(Finding::new(11, name));
    }
    let clock = status.get("wall_ms").and_then(|value| value.as_i64());
    let skew = clock.map_or(0, |clock| clock - wall_ms);
    if skew.abs() > MAX_CLOCK_SKEW_MS {
        findings.push(Finding::new(6, format!("{name} differs by {skew} ms")));
    }
}
