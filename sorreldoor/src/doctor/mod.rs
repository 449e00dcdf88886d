//! The doctor: checks a node's settings, its disk and the site around it for
//! common faults. Each finding has a number, a subject and a remedy.

mod checks;
mod observe;
mod rules;

pub use checks::check;
pub use observe::{observe, DiskStatus, Observations, SeedStatus};
pub use rules::{Finding, Rule, Severity, RULES};

use crate::json::Value;
use crate::settings::{Overrides, Role, Settings};
use gumdrop::Options;
use simd_json::prelude::*;
use std::path::{Path, PathBuf};

/// The rule that faults of the settings are reported under.
const SETTINGS_FAULT: u8 = 1;

/// Options of `sorreldoor doctor`.
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

/// Prints the findings. Exit codes: 0 no fault, 1 a warning, 2 something is
/// broken.
pub fn run(args: Args) -> i32 {
    if args.list {
        print_rules();
        return 0;
    }
    let findings = examine(&args.settings.unwrap_or_default());
    if args.json {
        let rows: Vec<Value> = findings.iter().map(to_json).collect();
        println!("{}", Value::from(rows).encode());
    } else {
        print_findings(&findings);
    }
    let codes = findings.iter().map(|f| f.rule.severity.exit_code());
    codes.max().unwrap_or(0)
}

fn print_rules() {
    for rule in RULES {
        let (number, severity) = (rule.number, rule.severity.name());
        println!("D{number:02} {severity} {}: {}", rule.text, rule.remedy);
    }
}

fn print_findings(findings: &[Finding]) {
    if findings.is_empty() {
        println!("nothing found");
    }
    for Finding { rule, subject } in findings {
        let (number, severity) = (rule.number, rule.severity.name());
        println!("D{number:02} {severity} {}", rule.text);
        println!("     found:  {subject}");
        println!("     remedy: {}", rule.remedy);
    }
}

fn examine(file: &Path) -> Vec<Finding> {
    // an edge's file is a core's without `listen` and `data`, so a file with
    // `listen` is read as a core's
    let as_edge = Settings::load(file, &Overrides::default(), Role::Edge);
    let is_core = as_edge.as_ref().is_ok_and(|s| s.listen.is_some());
    let settings = if is_core {
        Settings::load(file, &Overrides::default(), Role::Core)
    } else {
        as_edge
    };
    match settings {
        Ok(settings) => check(&observe(&settings)),
        Err(faults) => {
            let findings = faults.into_iter();
            findings.map(|f| Finding::new(SETTINGS_FAULT, f)).collect()
        }
    }
}

fn to_json(finding: &Finding) -> Value {
    let mut value = Value::object();
    let _ = value.insert("number", finding.rule.number);
    let _ = value.insert("severity", finding.rule.severity.name());
    let _ = value.insert("text", finding.rule.text);
    let _ = value.insert("found", finding.subject.as_str());
    let _ = value.insert("remedy", finding.rule.remedy);
    value
}
