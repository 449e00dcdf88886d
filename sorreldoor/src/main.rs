//! The `sorreldoor` program; the role is a subcommand.

use gumdrop::Options;
use sorreldoor::settings::{Overrides, Role, Settings};
use sorreldoor::{ctl, doctor};
use std::path::PathBuf;
use std::process::exit;

#[derive(Debug, Options)]
struct Args {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "show the version")]
    version: bool,
    #[options(command)]
    role: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run a core node: consensus, sessions, delivery; needs a data folder")]
    Core(NodeArgs),
    #[options(help = "run an edge node: takes callers' errands to workers")]
    Edge(NodeArgs),
    #[options(help = "operators' client")]
    Ctl(ctl::Args),
    #[options(help = "look for common faults around a node")]
    Doctor(doctor::Args),
}

#[derive(Debug, Options)]
struct NodeArgs {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "settings file (JSON)", meta = "FILE", required)]
    settings: Option<PathBuf>,
    #[options(help = "check the settings, say what is wrong, and start nothing")]
    check: bool,
    #[options(no_short, help = "node's name, over the file's", meta = "NAME")]
    node: Option<String>,
    #[options(no_short, help = "node's zone, over the file's", meta = "ZONE")]
    zone: Option<String>,
    #[options(
        no_short,
        help = "address for frames, over the file's",
        meta = "IP:PORT"
    )]
    listen: Option<String>,
    #[options(no_short, help = "address for HTTP, over the file's", meta = "IP:PORT")]
    http: Option<String>,
    #[options(no_short, help = "data folder, over the file's", meta = "DIR")]
    data: Option<String>,
    #[options(
        no_short,
        help = "platform's address, over the file's",
        meta = "IP:PORT"
    )]
    platform: Option<String>,
    #[options(
        no_short,
        help = "a seed address, repeatable, over the file's",
        meta = "IP:PORT"
    )]
    seed: Vec<String>,
}

fn main() {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("sorreldoor=info"))
        .format_timestamp_millis()
        .init();
    let args = Args::parse_args_default_or_exit();
    if args.version {
        println!("sorreldoor {}", env!("CARGO_PKG_VERSION"));
        return;
    }
    let code = match args.role {
        Some(Command::Core(args)) => run_node(args, Role::Core),
        Some(Command::Edge(args)) => run_node(args, Role::Edge),
        Some(Command::Ctl(args)) => ctl::run(args),
        Some(Command::Doctor(args)) => doctor::run(args),
        None => {
            eprintln!("sorreldoor: name a role: core, edge, ctl or doctor; see --help");
            2
        }
    };
    exit(code);
}

/// Runs a node until it ends; returns the exit code.
fn run_node(args: NodeArgs, role: Role) -> i32 {
    let overrides = Overrides {
        node: args.node,
        zone: args.zone,
        listen: args.listen,
        http: args.http,
        data: args.data,
        platform: args.platform,
        seeds: args.seed,
    };
    let file = args.settings.unwrap_or_default();
    let settings = match Settings::load(&file, &overrides, role) {
        Ok(settings) => settings,
        Err(faults) => {
            for fault in faults {
                eprintln!("settings: {fault}");
            }
            return 2;
        }
    };
    if args.check {
        println!("settings are good");
        return 0;
    }
    let result = match role {
        Role::Core => sorreldoor::control_plane::run(settings),
        Role::Edge => sorreldoor::gateway::run(settings),
    };
    result.map_or_else(
        |e| {
            eprintln!("sorreldoor: {e}");
            1
        },
        |()| 0,
    )
}
