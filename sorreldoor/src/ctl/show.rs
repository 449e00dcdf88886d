//! Formats responses as text.

use crate::json::{canonical, join, Value};
use simd_json::prelude::*;
use std::collections::BTreeSet;

fn text(value: &Value, key: &str) -> String {
    value.get(key).map_or("-".to_string(), plain)
}

fn plain(value: &Value) -> String {
    value
        .as_str()
        .map_or_else(|| canonical(value), str::to_string)
}

fn rows<'v>(value: &'v Value, key: &str) -> &'v [Value] {
    value
        .get(key)
        .and_then(|list| list.as_array())
        .map_or(&[], |list| &list[..])
}

pub fn configuration(value: &Value) -> String {
    let mut output = format!("version {}\n", text(value, "serial"));
    let evacuated: Vec<String> = rows(value, "emptied").iter().map(plain).collect();
    if !evacuated.is_empty() {
        output += &format!("evacuated zones: {}\n", evacuated.join(", "));
    }
    let document = value.get("setup").filter(|document| document.is_object());
    let pretty = document.and_then(|document| simd_json::to_string_pretty(&sorted(document)).ok());
    output + &pretty.map_or("no configuration yet\n".to_string(), |text| text + "\n")
}

/// The same value with sorted keys, so that the output is deterministic.
fn sorted(value: &Value) -> simd_json::BorrowedValue<'static> {
    let mut text = canonical(value).into_bytes();
    simd_json::to_owned_value(&mut text)
        .unwrap_or_default()
        .into()
}

pub fn rejection(value: &Value) -> String {
    let mut output = format!(
        "rejected: {} ({})\n",
        text(value, "text"),
        text(value, "problem")
    );
    if value.get("serial").is_some() {
        output += &format!("the current version is {}\n", text(value, "serial"));
    }
    if value.get("proposal").is_some() {
        output += &format!("proposal {}\n", text(value, "proposal"));
    }
    for fault in rows(value, "faults") {
        output += &format!("  {}\n", plain(fault));
    }
    output
}

pub fn check(value: &Value) -> String {
    let faults = rows(value, "faults");
    if faults.is_empty() {
        return "the configuration is valid\n".to_string();
    }
    let count = faults.len();
    let list: String = faults
        .iter()
        .map(|fault| format!("  {}\n", plain(fault)))
        .collect();
    format!("{count} faults:\n{list}")
}

/// Appends each differing leaf as `- path: old` and `+ path: new`.
pub fn diff(path: &str, old: &Value, new: &Value, rows: &mut Vec<String>) {
    if let (Some(a), Some(b)) = (old.as_object(), new.as_object()) {
        let keys: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
        for key in keys {
            let (x, y) = (a.get(key.as_str()), b.get(key.as_str()));
            let none = Value::default();
            diff(
                &join(path, key),
                x.unwrap_or(&none),
                y.unwrap_or(&none),
                rows,
            );
        }
        return;
    }
    if canonical(old) != canonical(new) {
        if !old.is_null() {
            rows.push(format!("- {path}: {}", canonical(old)));
        }
        if !new.is_null() {
            rows.push(format!("+ {path}: {}", canonical(new)));
        }
    }
}

fn table(title: &str, columns: &[&str], rows: &[Value]) -> String {
    let mut cells: Vec<Vec<String>> =
        vec![columns.iter().map(|column| column.to_string()).collect()];
    cells.extend(
        rows.iter()
            .map(|row| columns.iter().map(|column| text(row, column)).collect()),
    );
    let widths: Vec<usize> = (0..columns.len())
        .map(|i| cells.iter().map(|row| row[i].len()).max().unwrap_or(0))
        .collect();
    let mut output = format!("{title} ({})\n", rows.len());
    for row in cells {
        let line: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"))
            .collect();
        output += &format!("  {}\n", line.join("  ").trim_end());
    }
    output
}

pub fn placement(value: &Value) -> String {
    let mut output = String::new();
    for key in ["route", "key", "region", "serial", "service", "why"] {
        output += &format!("{key}: {}\n", text(value, key));
    }
    let none = Value::default();
    let worker = value.get("worker").unwrap_or(&none);
    if worker.is_object() {
        let part = |key: &str| text(worker, key);
        let (name, zone, region) = (part("name"), part("zone"), part("region"));
        let (busy, slots) = (part("busy"), part("slots"));
        output += &format!("worker: {name} in {zone} ({region}), {busy} of {slots} busy\n");
    }
    output += &format!(
        "spilt: {} (limits {})\n",
        text(value, "spilt"),
        text(value, "spill")
    );
    let edges: Vec<String> = rows(value, "edges").iter().map(plain).collect();
    output += &format!("edges: {}\n", edges.join(", "));
    let columns = ["service", "weight", "set", "least", "most"];
    output + &table("services, in order", &columns, rows(value, "services"))
}

pub fn status(value: &Value) -> String {
    let mut output = String::new();
    for key in [
        "node",
        "serial",
        "term",
        "global_leader",
        "domain_leaders",
        "voters_wanted",
        "voters",
        "voters_differ",
        "regions_down",
        "emptied",
        "regions",
        "epoch",
        "duty",
        "permit_left_ms",
        "counts",
        "claims",
        "roster_problem",
    ] {
        if value.get(key).is_some_and(|field| !field.is_null()) {
            output += &format!("{key}: {}\n", text(value, key));
        }
    }
    let columns = ["zone", "emptied", "at_workers", "at_edges"];
    output += &table("zones", &columns, rows(value, "zones"));
    if !rows(value, "weights").is_empty() {
        let columns = [
            "route", "service", "weight", "set", "least", "most", "took_ms",
        ];
        output += &table("weights", &columns, rows(value, "weights"));
    }
    if value.get("cores").is_some() {
        let columns = ["id", "zone", "addr", "voter", "live"];
        output += &table("cores", &columns, rows(value, "cores"));
        let columns = ["node", "zone", "http", "serial", "permit", "running"];
        output += &table("edges", &columns, rows(value, "edges"));
        let columns = [
            "name", "group", "zone", "addr", "live", "leaving", "running", "queued", "finished",
        ];
        output += &table("workers", &columns, rows(value, "workers"));
    }
    output
}
