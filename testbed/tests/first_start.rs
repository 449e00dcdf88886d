//! A real core that is killed during the first start, before the site is bootstrapped.

use simd_json::prelude::*;
use sorreldoor::json;
use std::time::Duration;
use testbed::fleet::{press, Fleet};

const TIMEOUT: Duration = Duration::from_secs(40);
/// A single core stores what it needs within this time.
const ALONE: Duration = Duration::from_secs(2);

/// Writes settings that no longer allow a core to bootstrap, and name it as the only seed.
fn forbid_bootstrap(fleet: &Fleet, core: usize) {
    let own = fleet.nodes[core].listen.expect("a core's address");
    fleet.write(core, &[own], &[]);
    let file = &fleet.nodes[core].file;
    let text = std::fs::read(file).expect("the settings");
    let mut settings = json::parse(&text, text.len()).expect("JSON");
    let _ = settings.insert("bootstrap", false);
    std::fs::write(file, settings.encode()).expect("the settings can be written");
}

#[test]
fn a_core_killed_during_the_first_start_goes_on_with_the_founding() {
    let root = std::env::temp_dir().join(format!("sorreldoor-first-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&root);
    let mut fleet = Fleet::start(&root, press());
    let cores = fleet.cores();
    for core in &cores {
        fleet.kill(*core);
        let data = root.join(&fleet.nodes[*core].name);
        std::fs::remove_dir_all(&data).expect("the data of the core");
        std::fs::create_dir(&data).expect("the fleet's folder can be written");
    }
    let (killed, others) = cores.split_first().expect("cores");
    fleet.spawn(*killed);
    std::thread::sleep(ALONE);
    assert!(!fleet.is_bootstrapped(), "one of three cores alone");
    fleet.kill(*killed);
    forbid_bootstrap(&fleet, *killed);
    fleet.spawn(*killed);
    others.iter().for_each(|core| fleet.spawn(*core));
    assert!(fleet.until(TIMEOUT, Fleet::is_bootstrapped));
}
