//! Test programs: fleets of real processes with stub workers, soak tests, and
//! simulations in virtual time.

use gumdrop::Options;
use stats_alloc::{StatsAlloc, INSTRUMENTED_SYSTEM};
use std::alloc::System;
use std::path::PathBuf;
use std::time::Duration;
use testbed::capacity::{hollow, HollowArgs};
use testbed::fleet::{archive, configuration, press, Fleet, SitePreset};
use testbed::hosted_soak::command::{self as soak_command, SoakArgs};

/// Counts allocations, for runs that measure memory.
#[global_allocator]
static HEAP: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// Bytes currently allocated.
fn heap_in_use() -> usize {
    let stats = HEAP.stats();
    stats
        .bytes_allocated
        .saturating_sub(stats.bytes_deallocated)
}

#[derive(Debug, Options)]
struct Args {
    #[options(help = "show this help")]
    help: bool,
    #[options(command)]
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(
        help = "run a site of node processes with stub workers and a stub platform until a signal"
    )]
    Fleet(FleetArgs),
    #[options(
        help = "soak test of hosted routes over persistent connections, with overlapping faults"
    )]
    Soak(SoakArgs),
    #[options(
        help = "soak test of a gateway's own routes with a deployment's mix, while nodes fail"
    )]
    GatewaySoak(GatewaySoakArgs),
    #[options(help = "run one node with the clock and disk faults that a file gives")]
    Node(NodeArgs),
    #[options(
        help = "simulate a site of hollow nodes in virtual time: costs of the control plane, and fits"
    )]
    Hollow(HollowArgs),
    #[options(help = "compare placement policies in virtual time")]
    Experiment(testbed::experiment::Args),
}

#[derive(Debug, Options)]
struct NodeArgs {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "core or edge", meta = "ROLE", required)]
    role: String,
    #[options(help = "settings file of the node", meta = "FILE", required)]
    settings: Option<PathBuf>,
    #[options(
        help = "file of clock and disk faults; may change while the node runs",
        meta = "FILE",
        required
    )]
    tricks: Option<PathBuf>,
}

#[derive(Debug, Options)]
struct GatewaySoakArgs {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "folder for settings, data and logs", meta = "DIR", required)]
    root: Option<PathBuf>,
    #[options(help = "press or archive", meta = "SITE", default = "press")]
    site: String,
    #[options(help = "duration", meta = "SECONDS", default = "30")]
    seconds: u64,
    #[options(
        no_short,
        help = "seed of faults and clients",
        meta = "N",
        default = "1"
    )]
    seed: u64,
}

#[derive(Debug, Options)]
struct FleetArgs {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "folder for settings, data and logs", meta = "DIR", required)]
    root: Option<PathBuf>,
    #[options(help = "press or archive", meta = "SITE", default = "press")]
    site: String,
}

fn main() {
    let args = Args::parse_args_default_or_exit();
    match args.command {
        Some(Command::Fleet(args)) => fleet(args),
        Some(Command::Soak(args)) => std::process::exit(soak_command::run_command(&args)),
        Some(Command::GatewaySoak(args)) => gateway_soak(args),
        Some(Command::Node(args)) => {
            env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
                .init();
            let settings = args.settings.unwrap_or_default();
            let faults = args.tricks.unwrap_or_default();
            if let Err(error) = testbed::faulty_node::run(&args.role, &settings, &faults) {
                eprintln!("testbed: {error}");
                std::process::exit(1);
            }
        }
        Some(Command::Hollow(args)) => {
            if let Err(error) = hollow(&args, heap_in_use) {
                eprintln!("testbed: {error}");
                std::process::exit(2);
            }
        }
        Some(Command::Experiment(args)) => match testbed::experiment::run(&args) {
            Ok(passed) => std::process::exit(i32::from(!passed)),
            Err(error) => {
                eprintln!("testbed: {error}");
                std::process::exit(2);
            }
        },
        None => {
            eprintln!("testbed: a subcommand is required, e.g. fleet; see --help");
            std::process::exit(2);
        }
    }
}

fn preset(name: &str) -> SitePreset {
    match name {
        "press" => press(),
        "archive" => archive(),
        unknown => {
            eprintln!("testbed: unknown site {unknown:?}; expected press or archive");
            std::process::exit(2);
        }
    }
}

fn gateway_soak(args: GatewaySoakArgs) {
    let root = args.root.unwrap_or_default();
    let mut fleet = Fleet::start(&root, preset(&args.site));
    fleet.serve();
    let tally =
        testbed::gateway_soak::soak(&mut fleet, args.seed, 24, Duration::from_secs(args.seconds));
    println!(
        "requests {}, served {}, rejected {}, unknown {}",
        tally.requests, tally.served, tally.rejected, tally.uncertain
    );
    tally
        .violations
        .iter()
        .for_each(|violation| println!("violation: {violation}"));
    drop(fleet);
    std::process::exit(i32::from(!tally.violations.is_empty()));
}

fn fleet(args: FleetArgs) {
    let preset = preset(&args.site);
    let root = args.root.unwrap_or_default();
    let mut stop = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])
    .expect("signal handlers can be installed");
    let mut fleet = Fleet::start(&root, preset);
    fleet.wait_until_bootstrapped();
    let file = root.join("setup.json");
    std::fs::write(&file, configuration(&fleet.preset)).expect("the fleet's folder can be written");
    for node in &fleet.nodes {
        println!("{:<14} zone {:<4} http {}", node.name, node.zone, node.http);
    }
    let at = fleet.nodes[0].http;
    println!("put the configuration with:");
    println!("  sorreldoor ctl --at {at} put {} --base 0", file.display());
    stop.forever().next();
}
