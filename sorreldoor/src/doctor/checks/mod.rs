//! The checks: pure functions of the observations, without input or output.

mod members;
mod node;
mod site;
mod status;

use super::observe::Observations;
use super::rules::Finding;
use crate::json::Value;
use std::cmp::Reverse;

/// All findings, the most severe ones first.
#[must_use]
pub fn check(observations: &Observations) -> Vec<Finding> {
    let mut findings = Vec::new();
    node::check_seeds(observations, &mut findings);
    node::check_disk(observations, &mut findings);
    for (name, status) in &observations.cores {
        node::check_core(name, status, observations.wall_ms, &mut findings);
    }
    for name in &observations.unreadable {
        findings.push(Finding::new(23, name.clone()));
    }
    // only the leader knows which regions are available, so its status is preferred
    let is_leader = |status: &Value| status::flag(status, "leads") == Some(true);
    let mut cores = observations.cores.iter();
    let leader = cores.find(|(_, status)| is_leader(status));
    if let Some((_, status)) = leader.or(observations.cores.first()) {
        site::check_site(status, &mut findings);
    }
    findings.sort_by_key(|finding| (Reverse(finding.rule.severity), finding.rule.number));
    findings
}
