//! What the client prints for people.

use crate::json::{canonical, join, Value};
use simd_json::prelude::*;
use std::collections::BTreeSet;

fn text(v: &Value, k: &str) -> String {
    v.get(k).map_or("-".to_string(), plain)
}

fn plain(v: &Value) -> String {
    v.as_str().map_or_else(|| canonical(v), str::to_string)
}

fn rows<'v>(v: &'v Value, k: &str) -> &'v [Value] {
    v.get(k).and_then(|a| a.as_array()).map_or(&[], |a| &a[..])
}

pub fn configuration(v: &Value) -> String {
    let mut s = format!("serial {}\n", text(v, "serial"));
    let evacuated: Vec<String> = rows(v, "emptied").iter().map(plain).collect();
    if !evacuated.is_empty() {
        s += &format!("emptied zones: {}\n", evacuated.join(", "));
    }
    let doc = v.get("setup").filter(|d| d.is_object());
    let pretty = doc.and_then(|d| simd_json::to_string_pretty(&sorted(d)).ok());
    s + &pretty.map_or("no setup yet\n".to_string(), |p| p + "\n")
}

/// The same value with its keys in order, so that it prints alike every time.
fn sorted(v: &Value) -> simd_json::BorrowedValue<'static> {
    let mut b = canonical(v).into_bytes();
    simd_json::to_owned_value(&mut b).unwrap_or_default().into()
}

pub fn refusal(v: &Value) -> String {
    let mut s = format!("refused: {} ({})\n", text(v, "text"), text(v, "problem"));
    if v.get("serial").is_some() {
        s += &format!("the serial in force is {}\n", text(v, "serial"));
    }
    if v.get("proposal").is_some() {
        s += &format!("proposal {}\n", text(v, "proposal"));
    }
    for f in rows(v, "faults") {
        s += &format!("  {}\n", plain(f));
    }
    s
}

pub fn checked(v: &Value) -> String {
    let faults = rows(v, "faults");
    if faults.is_empty() {
        return "the setup is good\n".to_string();
    }
    let n = faults.len();
    let list: String = faults.iter().map(|f| format!("  {}\n", plain(f))).collect();
    format!("{n} faults:\n{list}")
}

/// Every leaf that differs, as `- path: old` and `+ path: new`.
pub fn differ(path: &str, old: &Value, new: &Value, out: &mut Vec<String>) {
    if let (Some(a), Some(b)) = (old.as_object(), new.as_object()) {
        let ks: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
        for k in ks {
            let (x, y) = (a.get(k.as_str()), b.get(k.as_str()));
            let none = Value::default();
            differ(&join(path, k), x.unwrap_or(&none), y.unwrap_or(&none), out);
        }
        return;
    }
    if canonical(old) != canonical(new) {
        if !old.is_null() {
            out.push(format!("- {path}: {}", canonical(old)));
        }
        if !new.is_null() {
            out.push(format!("+ {path}: {}", canonical(new)));
        }
    }
}

fn table(title: &str, cols: &[&str], rows: &[Value]) -> String {
    let mut cells: Vec<Vec<String>> = vec![cols.iter().map(|c| c.to_string()).collect()];
    cells.extend(
        rows.iter()
            .map(|r| cols.iter().map(|c| text(r, c)).collect()),
    );
    let wide: Vec<usize> = (0..cols.len())
        .map(|i| cells.iter().map(|r| r[i].len()).max().unwrap_or(0))
        .collect();
    let mut s = format!("{title} ({})\n", rows.len());
    for r in cells {
        let line: Vec<String> = r
            .iter()
            .zip(&wide)
            .map(|(c, w)| format!("{c:<w$}"))
            .collect();
        s += &format!("  {}\n", line.join("  ").trim_end());
    }
    s
}

pub fn placement(v: &Value) -> String {
    let mut s = String::new();
    for k in ["route", "key", "region", "serial", "service", "why"] {
        s += &format!("{k}: {}\n", text(v, k));
    }
    let none = Value::default();
    let w = v.get("worker").unwrap_or(&none);
    if w.is_object() {
        let part = |k: &str| text(w, k);
        let (name, zone, region) = (part("name"), part("zone"), part("region"));
        let (busy, slots) = (part("busy"), part("slots"));
        s += &format!("worker: {name} in {zone} ({region}), {busy} of {slots} busy\n");
    }
    s += &format!(
        "spilt: {} (limits {})\n",
        text(v, "spilt"),
        text(v, "spill")
    );
    let edges: Vec<String> = rows(v, "edges").iter().map(plain).collect();
    s += &format!("edges: {}\n", edges.join(", "));
    let cols = ["service", "weight", "set", "least", "most"];
    s + &table("services, in order", &cols, rows(v, "services"))
}

pub fn status(v: &Value) -> String {
    let mut s = String::new();
    for k in [
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
        if v.get(k).is_some_and(|x| !x.is_null()) {
            s += &format!("{k}: {}\n", text(v, k));
        }
    }
    let cols = ["zone", "emptied", "at_workers", "at_edges"];
    s += &table("zones", &cols, rows(v, "zones"));
    if !rows(v, "weights").is_empty() {
        let cols = [
            "route", "service", "weight", "set", "least", "most", "took_ms",
        ];
        s += &table("weights", &cols, rows(v, "weights"));
    }
    if v.get("cores").is_some() {
        let cols = ["id", "zone", "addr", "voter", "live"];
        s += &table("cores", &cols, rows(v, "cores"));
        let cols = ["node", "zone", "http", "serial", "permit", "running"];
        s += &table("edges", &cols, rows(v, "edges"));
        let cols = [
            "name", "group", "zone", "addr", "live", "leaving", "running", "queued", "finished",
        ];
        s += &table("workers", &cols, rows(v, "workers"));
    }
    s
}
