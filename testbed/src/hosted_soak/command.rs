//! The command `testbed soak`.

use super::{run, Report, SoakOptions};
use gumdrop::Options;
use std::ops::RangeInclusive;
use std::path::PathBuf;

/// The most processes of one soak.
const MAX_PROCESSES: usize = 200;
/// The most cores.
const MAX_CORES: usize = 7;
const MAX_CONNECTIONS: usize = 4000;
/// File in the folder of `--out` with all reports as JSON.
const SUMMARY_FILE: &str = "summary.json";
/// Exit status after a violation or a failed start, and for invalid arguments.
const EXIT_BROKEN: i32 = 1;
const EXIT_INVALID: i32 = 2;

/// Arguments of the command.
#[derive(Debug, Options)]
pub struct SoakArgs {
    #[options(help = "show this help")]
    help: bool,
    #[options(no_short, help = "seed of the schedule", meta = "N", default = "1")]
    seed: u64,
    #[options(no_short, help = "several seeds, one after the other", meta = "A..B")]
    seeds: Option<String>,
    #[options(no_short, help = "seconds for each seed", meta = "S", default = "60")]
    seconds: u64,
    #[options(no_short, help = "number of edges", meta = "E", default = "6")]
    edges: usize,
    #[options(no_short, help = "number of cores", meta = "C", default = "3")]
    cores: usize,
    #[options(
        no_short,
        help = "number of clients, each with one connection",
        meta = "K",
        default = "40"
    )]
    connections: usize,
    #[options(
        help = "folder for settings, data, logs and the summary",
        meta = "DIR",
        default = "/tmp/sorreldoor-soak"
    )]
    out: PathBuf,
}

/// Why the arguments are invalid, if they are.
fn fault(args: &SoakArgs) -> Option<String> {
    let processes = args.cores + args.edges;
    let checks = [
        (
            args.connections > 0,
            "connections: must be above 0".to_string(),
        ),
        (
            args.connections <= MAX_CONNECTIONS,
            format!("connections: at most {MAX_CONNECTIONS}"),
        ),
        (args.edges > 0, "edges: must be above 0".to_string()),
        (
            (3..=MAX_CORES).contains(&args.cores),
            format!("cores: from 3 to {MAX_CORES}"),
        ),
        (
            processes <= MAX_PROCESSES,
            format!("{processes} processes: at most {MAX_PROCESSES}"),
        ),
        (args.seconds > 0, "seconds: must be above 0".to_string()),
    ];
    let broken = checks.into_iter().find(|(valid, _)| !valid);
    broken.map(|(_, text)| text)
}

/// The seeds of `A..B`, both included, or the one seed.
fn seeds(args: &SoakArgs) -> Result<RangeInclusive<u64>, String> {
    let Some(text) = &args.seeds else {
        return Ok(args.seed..=args.seed);
    };
    let parsed = text
        .split_once("..")
        .and_then(|(first, last)| Some((first.parse().ok()?, last.parse().ok()?)));
    match parsed {
        Some((first, last)) if first <= last => Ok(first..=last),
        _ => Err(format!("seeds: {text:?} is not A..B")),
    }
}

/// Runs the command; returns its exit status.
#[must_use]
pub fn run_command(args: &SoakArgs) -> i32 {
    let seeds = match (fault(args), seeds(args)) {
        (None, Ok(seeds)) => seeds,
        (Some(fault), _) | (None, Err(fault)) => {
            eprintln!("testbed soak: {fault}");
            return EXIT_INVALID;
        }
    };
    let mut broken = 0;
    let mut reports = Vec::new();
    let total = seeds.clone().count();
    for seed in seeds {
        match run(&options(args, seed)) {
            Ok(report) => {
                print(&report, args);
                broken += usize::from(!report.violations.is_empty());
                reports.push(report);
                write_summary(&reports, args);
            }
            Err(error) => {
                eprintln!("testbed soak: seed {seed}: {error}");
                broken += 1;
            }
        }
    }
    println!("{total} seeds, {broken} with violations or errors");
    match broken {
        0 => 0,
        _ => EXIT_BROKEN,
    }
}

/// Writes all reports so far, so that they remain if the command is interrupted.
fn write_summary(reports: &[Report], args: &SoakArgs) {
    let file = args.out.join(SUMMARY_FILE);
    let text = simd_json::to_string_pretty(reports);
    let written = text.map(|text| std::fs::write(&file, text));
    if !matches!(written, Ok(Ok(()))) {
        eprintln!("testbed soak: {} cannot be written", file.display());
    }
}

fn options(args: &SoakArgs, seed: u64) -> SoakOptions {
    SoakOptions {
        root: args.out.join(format!("seed-{seed}")),
        seed,
        seconds: args.seconds,
        cores: args.cores,
        edges: args.edges,
        connections: args.connections,
    }
}

fn print(report: &Report, args: &SoakArgs) {
    println!("{report}");
    if report.violations.is_empty() {
        return;
    }
    let folder = options(args, report.seed).root;
    report
        .violations
        .iter()
        .take(20)
        .for_each(|violation| println!("  VIOLATION {violation}"));
    println!(
        "  repeat with: testbed soak --seed {} --seconds {} --edges {} --cores {} --connections {}; logs in {}",
        report.seed,
        args.seconds,
        args.edges,
        args.cores,
        args.connections,
        folder.display()
    );
}
