//! Runs a whole fleet of the product on one machine, with stand-ins.

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

/// Bytes that are allocated now.
fn heap_in_use() -> usize {
    let s = HEAP.stats();
    s.bytes_allocated.saturating_sub(s.bytes_deallocated)
}

#[derive(Debug, Options)]
struct Args {
    #[options(help = "show this help")]
    help: bool,
    #[options(command)]
    what: Option<What>,
}

#[derive(Debug, Options)]
enum What {
    #[options(help = "start twelve processes with workers and a platform, until told to stop")]
    Fleet(FleetArgs),
    #[options(help = "hosted routes over kept connections, while troubles overlap")]
    Soak(SoakArgs),
    #[options(help = "a deployment's mix on a gateway's own routes, while nodes fail")]
    GatewaySoak(GatewaySoakArgs),
    #[options(help = "one node whose clock and disk misbehave as a file says")]
    Node(NodeArgs),
    #[options(help = "a site of hollow nodes in virtual time: what control costs, and slopes")]
    Hollow(HollowArgs),
    #[options(help = "policies of placement compared in virtual time")]
    Experiment(testbed::experiment::Args),
}

#[derive(Debug, Options)]
struct NodeArgs {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "core or edge", meta = "ROLE", required)]
    role: String,
    #[options(help = "the node's settings", meta = "FILE", required)]
    settings: Option<PathBuf>,
    #[options(help = "what misbehaves, and how", meta = "FILE", required)]
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
    #[options(help = "how long", meta = "SECONDS", default = "30")]
    seconds: u64,
    #[options(
        no_short,
        help = "seed of faults and callers",
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
    let a = Args::parse_args_default_or_exit();
    match a.what {
        Some(What::Fleet(f)) => fleet(f),
        Some(What::Soak(args)) => std::process::exit(soak_command::run_command(&args)),
        Some(What::GatewaySoak(args)) => gateway_soak(args),
        Some(What::Node(n)) => {
            env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info"))
                .init();
            let (set, tricks) = (n.settings.unwrap_or_default(), n.tricks.unwrap_or_default());
            if let Err(e) = testbed::faulty_node::run(&n.role, &set, &tricks) {
                eprintln!("testbed: {e}");
                std::process::exit(1);
            }
        }
        Some(What::Hollow(h)) => {
            if let Err(e) = hollow(&h, heap_in_use) {
                eprintln!("testbed: {e}");
                std::process::exit(2);
            }
        }
        Some(What::Experiment(a)) => match testbed::experiment::run(&a) {
            Ok(whole) => std::process::exit(i32::from(!whole)),
            Err(e) => {
                eprintln!("testbed: {e}");
                std::process::exit(2);
            }
        },
        None => {
            eprintln!("testbed: say what to run: fleet; see --help");
            std::process::exit(2);
        }
    }
}

fn preset(name: &str) -> SitePreset {
    match name {
        "press" => press(),
        "archive" => archive(),
        s => {
            eprintln!("testbed: no site {s:?}; press or archive");
            std::process::exit(2);
        }
    }
}

fn gateway_soak(a: GatewaySoakArgs) {
    let root = a.root.unwrap_or_default();
    let mut f = Fleet::start(&root, preset(&a.site));
    f.serve();
    let t = testbed::gateway_soak::soak(&mut f, a.seed, 24, Duration::from_secs(a.seconds));
    println!(
        "asked {}, served {}, refused {}, unsure {}",
        t.requests, t.served, t.rejected, t.uncertain
    );
    t.violations.iter().for_each(|w| println!("violation: {w}"));
    drop(f);
    std::process::exit(i32::from(!t.violations.is_empty()));
}

fn fleet(a: FleetArgs) {
    let preset = preset(&a.site);
    let root = a.root.unwrap_or_default();
    let mut stop = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])
    .expect("signals can be watched");
    let mut f = Fleet::start(&root, preset);
    f.wait_until_founded();
    let file = root.join("setup.json");
    std::fs::write(&file, configuration(&f.preset)).expect("the fleet's folder can be written");
    for n in &f.nodes {
        println!("{:<14} zone {:<4} http {}", n.name, n.zone, n.http);
    }
    let at = f.nodes[0].http;
    println!("adopt the setup with:");
    println!("  sorreldoor ctl --at {at} put {} --base 0", file.display());
    stop.forever().next();
}
