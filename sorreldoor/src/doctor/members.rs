//! What a core's status says of the members of the consensus group.

use super::checks::{flag, num, rows, word, Finding};
use crate::json::Value;
use simd_json::prelude::*;

pub(super) fn members(v: &Value, out: &mut Vec<Finding>) {
    let cores = rows(v, "cores");
    for c in cores.iter().filter(|c| flag(c, "live") == Some(false)) {
        let (id, zone, addr) = (word(c, "id"), word(c, "zone"), word(c, "addr"));
        out.push(Finding::new(13, format!("{id} in {zone} at {addr}")));
    }
    let voting = cores.iter().filter(|c| flag(c, "voter") == Some(true));
    let voters = voting.count() as u64;
    let wanted = num(v, "voters_wanted");
    if voters < wanted {
        out.push(Finding::new(14, format!("{voters} of {wanted}")));
    }
    if let Some(why) = v.get("voters_differ").and_then(|x| x.as_str()) {
        out.push(Finding::new(27, format!("{voters} of {wanted}: {why}")));
    }
}
