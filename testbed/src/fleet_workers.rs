//! The stub workers of a fleet.

use crate::presets::SitePreset;
use crate::stub_platform::WorkerRow;
use crate::stub_worker::{StubWorker, WorkerProfile};

/// The zones of a preset, each after its region.
pub(crate) fn zones(preset: &SitePreset) -> Vec<(&'static str, &'static str)> {
    let regions = preset.regions.iter();
    regions
        .flat_map(|(region, zones, _)| zones.iter().map(|zone| (*region, *zone)))
        .collect()
}

/// Starts the preset's workers; returns them and their rows of the platform's list.
pub(crate) async fn start_workers(preset: &SitePreset) -> (Vec<StubWorker>, Vec<WorkerRow>) {
    let mut profiles = Vec::new();
    for (region, zones, count) in &preset.regions {
        for index in 0..*count {
            let profile = WorkerProfile::model(&format!("{region}-gpu{index}"));
            profiles.push((profile, "gpu", zones[index % zones.len()]));
        }
    }
    let all_zones = zones(preset);
    for index in 0..preset.web_workers {
        let profile = WorkerProfile::web(&format!("web{index}"));
        profiles.push((profile, "web", all_zones[index % all_zones.len()].1));
    }
    let mut workers = Vec::new();
    let mut rows = Vec::new();
    for (profile, group, zone) in profiles {
        let worker = StubWorker::start(profile, None)
            .await
            .expect("loopback can be bound");
        rows.push(worker_row(&worker, group, zone));
        workers.push(worker);
    }
    (workers, rows)
}

fn worker_row(worker: &StubWorker, group: &str, zone: &str) -> WorkerRow {
    WorkerRow {
        name: worker.profile.name.clone(),
        addr: worker.addr,
        group: group.into(),
        zone: zone.into(),
        leaving: false,
    }
}
