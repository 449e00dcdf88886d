//! Checks on the whole site, by the status of one core.

use super::members::check_members;
use super::status::{flag, number, rows, text};
use crate::doctor::rules::Finding;
use crate::json::Value;
use simd_json::prelude::*;

pub(super) fn check_site(status: &Value, findings: &mut Vec<Finding>) {
    if flag(status, "quorum") != Some(true) {
        let subject = format!("according to {}", text(status, "node"));
        findings.push(Finding::new(10, subject));
    }
    report_names(12, rows(status, "regions_down"), findings);
    check_members(status, findings);
    let version = number(status, "serial");
    if version == 0 {
        findings.push(Finding::new(15, "version 0"));
    }
    check_edges(status, version, findings);
    check_workers(status, findings);
    report_names(21, rows(status, "emptied"), findings);
    check_claims(status, findings);
    check_weights(status, findings);
    check_regions(status, findings);
}

fn report_names(rule: u8, names: &[Value], findings: &mut Vec<Finding>) {
    for name in names {
        findings.push(Finding::new(rule, name.as_str().unwrap_or("?")));
    }
}

fn check_edges(status: &Value, version: u64, findings: &mut Vec<Finding>) {
    let edges = rows(status, "edges");
    if edges.is_empty() {
        findings.push(Finding::new(18, "no edge session at any core"));
    }
    let evacuated = rows(status, "emptied");
    for edge in edges {
        let node = text(edge, "node");
        let applied = number(edge, "serial");
        if applied < version {
            let subject = format!("{node} has version {applied}, the current one is {version}");
            findings.push(Finding::new(16, subject));
        }
        let zone = edge.get("zone");
        let is_evacuated = evacuated.iter().any(|name| Some(name) == zone);
        if flag(edge, "permit") == Some(false) && !is_evacuated && version > 0 {
            findings.push(Finding::new(17, node));
        }
    }
}

fn check_workers(status: &Value, findings: &mut Vec<Finding>) {
    for worker in rows(status, "workers") {
        if flag(worker, "live") == Some(false) && flag(worker, "leaving") == Some(false) {
            let subject = format!("{} at {}", text(worker, "name"), text(worker, "addr"));
            findings.push(Finding::new(19, subject));
        }
    }
    let problem = status
        .get("roster_problem")
        .and_then(|value| value.as_str());
    if let Some(problem) = problem {
        findings.push(Finding::new(20, problem));
    }
}

fn check_claims(status: &Value, findings: &mut Vec<Finding>) {
    let none = Value::default();
    let claims = status.get("claims").unwrap_or(&none);
    let (count, capacity) = (number(claims, "remembered"), number(claims, "most"));
    // 90 % of the capacity
    if capacity > 0 && count * 10 >= capacity * 9 {
        findings.push(Finding::new(24, format!("{count} of {capacity} claims")));
    }
    if flag(claims, "sure") == Some(false) {
        findings.push(Finding::new(26, text(status, "node")));
    }
}

fn check_weights(status: &Value, findings: &mut Vec<Finding>) {
    for row in rows(status, "weights") {
        let (tuned, configured) = (number(row, "weight"), number(row, "set"));
        let bounds = [number(row, "least"), number(row, "most")];
        if tuned != configured && bounds.contains(&tuned) {
            let (route, service) = (text(row, "route"), text(row, "service"));
            findings.push(Finding::new(
                25,
                format!("route {route} to service {service}: weight {tuned}"),
            ));
        }
    }
}

fn check_regions(status: &Value, findings: &mut Vec<Finding>) {
    let regions = status.get("regions").and_then(|value| value.as_object());
    for (region, state) in regions.into_iter().flatten() {
        if state.as_str() != Some("served") {
            let state = state.as_str().unwrap_or("?");
            findings.push(Finding::new(22, format!("{region}: {state}")));
        }
    }
}
