//! What is looked for, in what was seen: pure, and a closed list.

use super::look::{Seed, Seen};
use super::members::members;
use crate::json::Value;
use simd_json::prelude::*;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Severity {
    Note,
    Warn,
    Broken,
}

impl Severity {
    pub fn text(self) -> &'static str {
        match self {
            Severity::Note => "note",
            Severity::Warn => "warn",
            Severity::Broken => "broken",
        }
    }
    pub fn code(self) -> i32 {
        match self {
            Severity::Note => 0,
            Severity::Warn => 1,
            Severity::Broken => 2,
        }
    }
}

use Severity::{Broken, Note, Warn};

/// Number, severity, what it is, remedy.
pub const ALL: &[(u8, Severity, &str, &str)] = &[
    (
        1,
        Broken,
        "the settings have a fault",
        "correct the key that is named; --check tells when it is good",
    ),
    (
        2,
        Warn,
        "a seed address is not reached",
        "start that core, or correct the address here and its way",
    ),
    (
        3,
        Broken,
        "no seed address is reached",
        "check this machine's network, and that cores run at the seeds",
    ),
    (
        4,
        Broken,
        "a seed belongs to another site",
        "give both the same site, regions and zones, or another seed",
    ),
    (
        5,
        Broken,
        "a seed speaks another protocol",
        "bring all nodes to neighbouring releases, one after the other",
    ),
    (
        6,
        Warn,
        "a clock is far from this machine's",
        "set the clocks by one source; they are slewed, not stepped",
    ),
    (
        7,
        Broken,
        "the data folder does not sync",
        "replace the disk, then the core",
    ),
    (
        8,
        Warn,
        "the data folder syncs slowly",
        "look for what else uses the disk",
    ),
    (
        9,
        Warn,
        "the disk is nearly full",
        "free space; a core whose disk is full stands aside",
    ),
    (
        10,
        Broken,
        "there is no global leader",
        "bring back cores until a majority of all is up and connected",
    ),
    (
        11,
        Broken,
        "a core has stood aside over its disk",
        "replace its disk, then the core",
    ),
    (
        12,
        Warn,
        "a region is without its majority",
        "bring back that region's cores; commits go on without the region",
    ),
    (
        13,
        Warn,
        "a core is a member and not heard of",
        "start it, or replace it as the page on replacing says",
    ),
    (
        14,
        Warn,
        "the core has too few voters",
        "start a blank core in the zone that lacks one",
    ),
    (
        15,
        Broken,
        "no setup has been adopted",
        "put one: ctl put FILE --base 0",
    ),
    (
        16,
        Warn,
        "an edge lags behind the setup in force",
        "if it lasts over 3 s, restart the edge",
    ),
    (
        17,
        Warn,
        "an edge has no permit and serves nothing",
        "look for a leader first, then for the edge's way to the cores",
    ),
    (
        18,
        Broken,
        "no edge has a session",
        "start edges, or correct their seeds",
    ),
    (
        19,
        Warn,
        "a worker is dark",
        "look at the worker, or have the platform take it off the list",
    ),
    (
        20,
        Warn,
        "the platform's worker list cannot be read",
        "look at the platform; the last list stays in force",
    ),
    (
        21,
        Note,
        "a zone is left emptied",
        "if its work is done: ctl return ZONE --base SERIAL",
    ),
    (
        22,
        Warn,
        "a region is lost or not yet served in full",
        "look at its workers; it comes back by itself",
    ),
    (
        23,
        Warn,
        "a core's status cannot be read over HTTP",
        "look at that core, and at the way to its http address",
    ),
    (
        24,
        Warn,
        "the room for claims on errand ids is nearly used up",
        "raise most_claims on every core, or find who sends so many ids",
    ),
    (
        25,
        Note,
        "a tuned weight stands at its bound",
        "if the service should bear more or less, widen its least or most",
    ),
    (
        26,
        Warn,
        "a core has no say on claims yet",
        "wait until it has read the other cores; if it lasts, look at their ways",
    ),
    (
        27,
        Warn,
        "the voters are not what is wanted",
        "wait some seconds; if it lasts, bring back cores, or start a blank one",
    ),
];

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    pub no: u8,
    pub severity: Severity,
    pub text: &'static str,
    pub remedy: &'static str,
    pub about: String,
}

impl Finding {
    pub fn new(no: u8, about: impl Into<String>) -> Finding {
        let (no, severity, text, remedy) = ALL.iter().find(|r| r.0 == no).copied().unwrap_or((
            0,
            Broken,
            "unlisted",
            "report this",
        ));
        Finding {
            no,
            severity,
            text,
            remedy,
            about: about.into(),
        }
    }
}

const CLOCK_MS: i64 = 2000;
const SLOW_MS: u64 = 200;
const FULL: u64 = 10;

pub fn check(s: &Seen) -> Vec<Finding> {
    let mut out = Vec::new();
    seeds(s, &mut out);
    disk(s, &mut out);
    for (name, v) in &s.cores {
        core(name, v, s.wall_ms, &mut out);
    }
    for name in &s.unread {
        out.push(Finding::new(23, name.clone()));
    }
    // only the leader knows which regions answer, so it is asked first
    let leads = |v: &Value| flag(v, "leads") == Some(true);
    let best = s.cores.iter().find(|(_, v)| leads(v)).or(s.cores.first());
    if let Some((_, v)) = best {
        site(v, &mut out);
    }
    out.sort_by_key(|f| (std::cmp::Reverse(f.severity), f.no));
    out
}

fn seeds(s: &Seen, out: &mut Vec<Finding>) {
    let dead = |x: &&(String, Seed)| matches!(x.1, Seed::Unreached);
    let n = s.seeds.iter().filter(dead).count();
    if n == s.seeds.len() && n > 0 {
        out.push(Finding::new(3, format!("{n} tried")));
    }
    for (a, seed) in &s.seeds {
        match seed {
            Seed::Unreached if n < s.seeds.len() => out.push(Finding::new(2, a.clone())),
            Seed::OtherSite(m) => out.push(Finding::new(4, format!("{a} is of {m:?}"))),
            Seed::OtherProtocol(p) => out.push(Finding::new(5, format!("{a} speaks {p}"))),
            _ => {}
        }
    }
}

fn disk(s: &Seen, out: &mut Vec<Finding>) {
    let Some(d) = &s.disk else { return };
    match &d.sync_ms {
        Err(e) => out.push(Finding::new(7, e.clone())),
        Ok(ms) if *ms > SLOW_MS => out.push(Finding::new(8, format!("{ms} ms for one file"))),
        Ok(_) => {}
    }
    if d.free_percent.is_some_and(|f| f < FULL) {
        let f = d.free_percent.unwrap_or(0);
        out.push(Finding::new(9, format!("{f} % free")));
    }
}

pub(super) fn flag(v: &Value, k: &str) -> Option<bool> {
    v.get(k).and_then(|x| x.as_bool())
}

pub(super) fn num(v: &Value, k: &str) -> u64 {
    v.get(k).and_then(|x| x.as_u64()).unwrap_or(0)
}

pub(super) fn word(v: &Value, k: &str) -> String {
    v.get(k).and_then(|x| x.as_str()).unwrap_or("?").to_string()
}

pub(super) fn rows<'v>(v: &'v Value, k: &str) -> &'v [Value] {
    v.get(k).and_then(|x| x.as_array()).map_or(&[], |a| &a[..])
}

/// What one core says of itself.
fn core(name: &str, v: &Value, wall: i64, out: &mut Vec<Finding>) {
    if flag(v, "disk_failed") == Some(true) {
        out.push(Finding::new(11, name));
    }
    let theirs = v.get("wall_ms").and_then(|x| x.as_i64());
    let off = theirs.map_or(0, |t| t - wall);
    if off.abs() > CLOCK_MS {
        out.push(Finding::new(6, format!("{name} is off by {off} ms")));
    }
}

/// What a core says of the site.
fn site(v: &Value, out: &mut Vec<Finding>) {
    if flag(v, "quorum") != Some(true) {
        out.push(Finding::new(10, format!("as {} sees it", word(v, "node"))));
    }
    for r in rows(v, "regions_down") {
        out.push(Finding::new(12, r.as_str().unwrap_or("?")));
    }
    members(v, out);
    let version = num(v, "serial");
    if version == 0 {
        out.push(Finding::new(15, "serial 0"));
    }
    edges(v, version, out);
    for w in rows(v, "workers") {
        if flag(w, "live") == Some(false) && flag(w, "leaving") == Some(false) {
            out.push(Finding::new(
                19,
                format!("{} at {}", word(w, "name"), word(w, "addr")),
            ));
        }
    }
    if let Some(p) = v.get("roster_problem").and_then(|x| x.as_str()) {
        out.push(Finding::new(20, p));
    }
    for z in rows(v, "emptied") {
        out.push(Finding::new(21, z.as_str().unwrap_or("?")));
    }
    claims(v, out);
    for w in rows(v, "weights") {
        let (is, set) = (num(w, "weight"), num(w, "set"));
        if is != set && [num(w, "least"), num(w, "most")].contains(&is) {
            let (r, s) = (word(w, "route"), word(w, "service"));
            out.push(Finding::new(25, format!("{r} to {s}: {is}")));
        }
    }
    let regions = v.get("regions").and_then(|r| r.as_object());
    for (r, s) in regions.into_iter().flatten() {
        if s.as_str() != Some("served") {
            out.push(Finding::new(
                22,
                format!("{r}: {}", s.as_str().unwrap_or("?")),
            ));
        }
    }
}

fn claims(v: &Value, out: &mut Vec<Finding>) {
    let none = Value::default();
    let c = v.get("claims").unwrap_or(&none);
    let (n, most) = (num(c, "remembered"), num(c, "most"));
    if most > 0 && n * 10 >= most * 9 {
        out.push(Finding::new(24, format!("{n} of {most}")));
    }
    if flag(c, "sure") == Some(false) {
        out.push(Finding::new(26, word(v, "node")));
    }
}

fn edges(v: &Value, version: u64, out: &mut Vec<Finding>) {
    let edges = rows(v, "edges");
    if edges.is_empty() {
        out.push(Finding::new(18, "no session at any core"));
    }
    let evacuated = rows(v, "emptied");
    for e in edges {
        let node = word(e, "node");
        let at = num(e, "serial");
        if at < version {
            out.push(Finding::new(16, format!("{node} is at {at} of {version}")));
        }
        let zone = e.get("zone");
        let away = evacuated.iter().any(|z| Some(z) == zone);
        if flag(e, "permit") == Some(false) && !away && version > 0 {
            out.push(Finding::new(17, node));
        }
    }
}
