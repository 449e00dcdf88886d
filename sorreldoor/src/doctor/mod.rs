//! The doctor: looks at a node's settings, its disk, and the site around it,
//! for common faults. Each finding has a number, its cause and a remedy.

mod checks;
mod look;
mod members;

pub use checks::{check, Finding, Severity, ALL};
pub use look::{look, Disk, Seed, Seen};

use crate::json::Value;
use crate::settings::{Overrides, Role, Settings};
use gumdrop::Options;
use simd_json::prelude::*;
use std::path::PathBuf;

#[derive(Debug, Options)]
pub struct Args {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "settings file of a node (JSON)", meta = "FILE", required)]
    settings: Option<PathBuf>,
    #[options(no_short, help = "print the findings as JSON")]
    json: bool,
    #[options(no_short, help = "list what is looked for, and exit")]
    list: bool,
}

/// Exit codes: 0 sound, 1 something to look at, 2 something is broken.
pub fn run(a: Args) -> i32 {
    if a.list {
        for (no, sev, text, remedy) in ALL {
            println!("D{no:02} {} {text}: {remedy}", sev.text());
        }
        return 0;
    }
    let file = a.settings.unwrap_or_default();
    let found = examine(&file);
    if a.json {
        let rows: Vec<Value> = found.iter().map(json).collect();
        println!("{}", Value::from(rows).encode());
    } else if found.is_empty() {
        println!("nothing found");
    } else {
        for f in &found {
            println!("D{:02} {} {}", f.no, f.severity.text(), f.text);
            println!("     found:  {}", f.about);
            println!("     remedy: {}", f.remedy);
        }
    }
    found.iter().map(|f| f.severity.code()).max().unwrap_or(0)
}

fn examine(file: &std::path::Path) -> Vec<Finding> {
    // an edge's file is a core's without `listen` and `data`, so the one
    // that says `listen` is read as a core's
    let edge = Settings::load(file, &Overrides::default(), Role::Edge);
    let core = edge.as_ref().is_ok_and(|s| s.listen.is_some());
    let set = if core {
        Settings::load(file, &Overrides::default(), Role::Core)
    } else {
        edge
    };
    match set {
        Err(faults) => faults
            .into_iter()
            .map(|about| Finding::new(1, about))
            .collect(),
        Ok(s) => check(&look(&s)),
    }
}

fn json(f: &Finding) -> Value {
    let mut v = Value::object();
    let _ = v.insert("number", f.no);
    let _ = v.insert("severity", f.severity.text());
    let _ = v.insert("text", f.text);
    let _ = v.insert("found", f.about.as_str());
    let _ = v.insert("remedy", f.remedy);
    v
}
