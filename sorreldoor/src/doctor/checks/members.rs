//! Checks on the members of the consensus group.

use super::status::{flag, number, rows, text};
use crate::doctor::rules::Finding;
use crate::json::Value;
use simd_json::prelude::*;

pub(super) fn check_members(status: &Value, findings: &mut Vec<Finding>) {
    let cores = rows(status, "cores");
    let silent = cores
        .iter()
        .filter(|core| flag(core, "live") == Some(false));
    for core in silent {
        let (id, zone, address) = (text(core, "id"), text(core, "zone"), text(core, "addr"));
        findings.push(Finding::new(13, format!("{id} in {zone} at {address}")));
    }
    let voters = cores
        .iter()
        .filter(|core| flag(core, "voter") == Some(true));
    let voters = voters.count() as u64;
    let wanted = number(status, "voters_wanted");
    if voters < wanted {
        findings.push(Finding::new(14, format!("{voters} of {wanted} voters")));
    }
    let shortfall = status.get("voters_differ").and_then(|value| value.as_str());
    if let Some(reason) = shortfall {
        findings.push(Finding::new(
            27,
            format!("{voters} of {wanted} voters: {reason}"),
        ));
    }
}
