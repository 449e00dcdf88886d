//! One program; the role is a subcommand.

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
    Core(Node),
    #[options(help = "run an edge node: takes callers' errands to workers")]
    Edge(Node),
    #[options(help = "operators' client")]
    Ctl(ctl::Args),
    #[options(help = "look for common faults around a node")]
    Doctor(doctor::Args),
}

#[derive(Debug, Options)]
struct Node {
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
        Some(Command::Core(n)) => node(n, Role::Core),
        Some(Command::Edge(n)) => node(n, Role::Edge),
        Some(Command::Ctl(c)) => ctl::run(c),
        Some(Command::Doctor(d)) => doctor::run(d),
        None => {
            eprintln!("sorreldoor: name a role: core, edge, ctl or doctor; see --help");
            2
        }
    };
    exit(code);
}

fn node(n: Node, role: Role) -> i32 {
    let over = Overrides {
        node: n.node,
        zone: n.zone,
        listen: n.listen,
        http: n.http,
        data: n.data,
        platform: n.platform,
        seeds: n.seed,
    };
    let file = n.settings.unwrap_or_default();
    let set = match Settings::load(&file, &over, role) {
        Ok(s) => s,
        Err(faults) => {
            for f in faults {
                eprintln!("settings: {f}");
            }
            return 2;
        }
    };
    if n.check {
        println!("settings are good");
        return 0;
    }
    let r = match role {
        Role::Core => sorreldoor::control_plane::run(set).map_err(|e| e.to_string()),
        Role::Edge => sorreldoor::gateway::run(set),
    };
    r.map_or_else(
        |e| {
            eprintln!("sorreldoor: {e}");
            1
        },
        |()| 0,
    )
}
