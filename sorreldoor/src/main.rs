//! The `sorreldoor` program: runs a core or an edge node, the operators' client or
//! the doctor.

use gumdrop::Options;
use sorreldoor::settings::{Overrides, Role, SeedSource, Settings};
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
    command: Option<Command>,
}

#[derive(Debug, Options)]
enum Command {
    #[options(help = "run a core node: consensus and distribution of state; needs a data folder")]
    Core(NodeArgs),
    #[options(help = "run an edge node: routes requests to workers")]
    Edge(NodeArgs),
    #[options(help = "read and change the configuration and the status of a site")]
    Ctl(ctl::Args),
    #[options(help = "check a node's settings, disk and site for common faults")]
    Doctor(doctor::Args),
}

#[derive(Debug, Options)]
struct NodeArgs {
    #[options(help = "show this help")]
    help: bool,
    #[options(help = "settings file (JSON)", meta = "FILE", required)]
    settings: Option<PathBuf>,
    #[options(help = "check the settings, print faults, and exit")]
    check: bool,
    #[options(
        no_short,
        help = "node name; overrides the settings file",
        meta = "NAME"
    )]
    node: Option<String>,
    #[options(no_short, help = "zone; overrides the settings file", meta = "ZONE")]
    zone: Option<String>,
    #[options(
        no_short,
        help = "address for connections between nodes; overrides the settings file",
        meta = "IP:PORT"
    )]
    listen: Option<String>,
    #[options(
        no_short,
        help = "HTTP address; overrides the settings file",
        meta = "IP:PORT"
    )]
    http: Option<String>,
    #[options(
        no_short,
        help = "data folder; overrides the settings file",
        meta = "DIR"
    )]
    data: Option<String>,
    #[options(
        no_short,
        help = "address of the platform; overrides the settings file",
        meta = "IP:PORT"
    )]
    platform: Option<String>,
    #[options(
        no_short,
        help = "seed address; repeatable; overrides the settings file",
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
    let code = match args.command {
        Some(Command::Core(args)) => run_node(args, Role::Core),
        Some(Command::Edge(args)) => run_node(args, Role::Edge),
        Some(Command::Ctl(args)) => ctl::run(args),
        Some(Command::Doctor(args)) => doctor::run(args),
        None => {
            eprintln!(
                "sorreldoor: a subcommand is required: core, edge, ctl or doctor; see --help"
            );
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
    let mut settings = match Settings::load(&file, &overrides, role) {
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
    settings.seed_source = Some(SeedSource::new(move || {
        let settings = Settings::load(&file, &overrides, role);
        settings.ok().map(|settings| settings.seeds)
    }));
    let result = match role {
        Role::Core => sorreldoor::control_plane::run(settings),
        Role::Edge => sorreldoor::gateway::run(settings),
    };
    result.map_or_else(
        |error| {
            eprintln!("sorreldoor: {error}");
            1
        },
        |()| 0,
    )
}
