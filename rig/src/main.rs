//! Runs a whole fleet of the product on one machine, with stand-ins.

use gumdrop::Options;
use rig::fleet::{archive, press, setup, Fleet};
use std::path::PathBuf;
use std::time::Duration;

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
        None => {
            eprintln!("rig: say what to run: fleet; see --help");
            std::process::exit(2);
        }
    }
}

fn fleet(a: FleetArgs) {
    let shape = match a.site.as_str() {
        "press" => press(),
        "archive" => archive(),
        s => {
            eprintln!("rig: no site {s:?}; press or archive");
            std::process::exit(2);
        }
    };
    let root = a.root.unwrap_or_default();
    let mut stop = signal_hook::iterator::Signals::new([
        signal_hook::consts::SIGTERM,
        signal_hook::consts::SIGINT,
    ])
    .expect("signals can be watched");
    let f = Fleet::start(&root, shape);
    let ok = f.until(Duration::from_secs(20), |f| f.founded());
    println!("founded: {ok}");
    let file = root.join("setup.json");
    std::fs::write(&file, setup(&f.shape)).expect("the fleet's folder can be written");
    for n in &f.nodes {
        println!("{:<14} zone {:<4} http {}", n.name, n.zone, n.http);
    }
    let at = f.nodes[0].http;
    println!("adopt the setup with:");
    println!("  sorreldoor ctl --at {at} put {} --base 0", file.display());
    stop.forever().next();
}
