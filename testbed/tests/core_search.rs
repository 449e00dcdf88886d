//! A real edge whose seeds are gone, and that tells other nodes the cores.

use async_std::task;
use sorreldoor::net::query_core_addresses;
use sorreldoor::settings::{Overrides, Role, Settings};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use testbed::fleet::{press, Fleet, ReservedPorts};

const TIMEOUT: Duration = Duration::from_secs(40);
/// Longer than the time after which an edge without a core searches.
const WITHOUT_CORES: Duration = Duration::from_secs(4);

fn is_ready(fleet: &Fleet, node: usize) -> bool {
    fleet
        .get(node, "/ready")
        .is_some_and(|(status, _)| status == 200)
}

#[test]
fn an_edge_follows_the_seeds_in_its_settings_file_and_names_the_cores() {
    let root = std::env::temp_dir().join(format!("sorreldoor-search-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&root);
    let mut fleet = Fleet::start(&root, press());
    fleet.serve();
    let cores = fleet.cores().into_iter();
    let seeds: Vec<SocketAddr> = cores.filter_map(|core| fleet.nodes[core].listen).collect();
    let edge = fleet.edges()[0];
    fleet.kill(edge);
    let mut ports = ReservedPorts::default();
    let (listen, nobody) = (ports.reserve(), ports.reserve());
    drop(ports);
    fleet.nodes[edge].listen = Some(listen);
    fleet.write(edge, &[nobody], &[]);
    fleet.spawn(edge);
    std::thread::sleep(WITHOUT_CORES);
    assert!(!is_ready(&fleet, edge), "no core is at its seed");
    fleet.write(edge, &seeds, &[]);
    assert!(fleet.until(TIMEOUT, |fleet| is_ready(fleet, edge)));

    let file = &fleet.nodes[edge].file;
    let settings = Settings::load(file, &Overrides::default(), Role::Edge).expect("valid settings");
    let fingerprint = settings.site_fingerprint();
    let answer = task::block_on(query_core_addresses(listen, &fingerprint)).expect("an answer");
    let named: BTreeSet<String> = answer.addresses.into_iter().collect();
    assert_eq!(named, seeds.iter().map(SocketAddr::to_string).collect());
    assert!(answer.confirmed);
}
