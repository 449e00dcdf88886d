//! `sorreldoor doctor`: checks a node's settings, its disk and its site for
//! common faults. Each finding has a rule number, a subject and a remedy.

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

/// The rule under which faults of the settings are reported.
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
    #[options(no_short, help = "list all rules and exit")]
    list: bool,
}

/// Prints the findings and returns the exit code of the most severe one: 0 for
/// none or notes only, 1 for warnings, 2 if something is broken.
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
    let codes = findings
        .iter()
        .map(|finding| finding.rule.severity.exit_code());
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
        println!("no findings");
    }
    for Finding { rule, subject } in findings {
        let (number, severity) = (rule.number, rule.severity.name());
        println!("D{number:02} {severity} {}", rule.text);
        println!("     found:  {subject}");
        println!("     remedy: {}", rule.remedy);
    }
}

fn examine(file: &Path) -> Vec<Finding> {
    // only cores have `listen`, so a file with that key is read as a core's
    let edge_settings = Settings::load(file, &Overrides::default(), Role::Edge);
    let is_core = edge_settings
        .as_ref()
        .is_ok_and(|settings| settings.listen.is_some());
    let settings = if is_core {
        Settings::load(file, &Overrides::default(), Role::Core)
    } else {
        edge_settings
    };
    match settings {
        Ok(settings) => check(&observe(&settings)),
        Err(faults) => {
            let findings = faults.into_iter();
            findings
                .map(|fault| Finding::new(SETTINGS_FAULT, fault))
                .collect()
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
