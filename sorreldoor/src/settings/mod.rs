//! The settings of a process: one JSON file, which flags override, validated
//! as a whole.

mod parse;

use crate::configuration::Site;
use crate::json::{self, Faults};
use crate::metrics::MetricsEndpoint;
use crate::pacing::Pacing;
use crate::types::{Millis, RegionId};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// The largest settings file in bytes.
const MAX_FILE_BYTES: usize = 1 << 20;

/// Valid settings of one process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The site's name.
    pub site: String,
    /// Names of the site's regions and zones.
    pub names: Arc<Site>,
    /// The node's name, unique in the site.
    pub node: String,
    /// The node's zone, as an index into `names`.
    pub zone: u16,
    /// The region of `zone`, as an index into `names`.
    pub region: RegionId,
    /// Address for frames of other nodes; cores only.
    pub listen: Option<SocketAddr>,
    /// Address for HTTP.
    pub http: SocketAddr,
    /// Addresses for frames of the cores to start from.
    pub seeds: Vec<SocketAddr>,
    /// Cores that the site is founded with.
    pub cores: usize,
    /// The data folder; cores only.
    pub data_dir: Option<PathBuf>,
    /// Address from which the worker list is read.
    pub platform: Option<SocketAddr>,
    /// Addresses to dial in place of those that are not reached directly.
    pub address_overrides: BTreeMap<SocketAddr, SocketAddr>,
    /// A change is acknowledged within this, one core lost.
    pub ack_ms: Millis,
    /// How long a gateway serves on one renewal of its lease.
    pub lease_ms: Millis,
    /// Silence after which a core may be replaced.
    pub replace_ms: Millis,
    /// How long a graceful shutdown waits for requests in flight.
    pub drain_ms: Millis,
    /// The largest request body in bytes.
    pub max_body: usize,
    /// Connections that are open at once.
    pub max_connections: usize,
    /// Idempotency claims that a core remembers at once.
    pub max_claims: usize,
    /// An empty core may found a site with the others; else it only joins one.
    pub bootstrap: bool,
    /// The site is founded by its seeds, and further cores join it.
    pub grow: bool,
    /// Cores that may be lost at once; `None`: as many as `cores` tolerate.
    pub tolerate_nodes: Option<usize>,
    /// Zones that may be lost at once.
    pub tolerate_zones: usize,
    /// This core may vote; else it is a learner.
    pub voting: bool,
    /// Where it shows its metrics, on the address of `http`; `None`: nowhere.
    pub metrics: Option<MetricsEndpoint>,
    /// Intervals and optional traffic.
    pub pacing: Pacing,
}

/// What a process runs as.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Runs the control plane: replicates the state and serves operators.
    Core,
    /// Runs the gateway or the proxy, which serve clients.
    Edge,
}

/// Values given as flags; each replaces that of the file.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// Name of the node.
    pub node: Option<String>,
    /// Name of the node's zone.
    pub zone: Option<String>,
    /// `IP:PORT` for frames of other nodes.
    pub listen: Option<String>,
    /// `IP:PORT` for HTTP.
    pub http: Option<String>,
    /// Path of the data folder.
    pub data: Option<String>,
    /// `IP:PORT` from which the worker list is read.
    pub platform: Option<String>,
    /// Replace the file's where there are any.
    pub seeds: Vec<String>,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    /// The file cannot be read, or every fault in it, as `KEY: what is wrong`.
    pub fn load(file: &Path, overrides: &Overrides, role: Role) -> Result<Settings, Vec<String>> {
        let text = std::fs::read(file).map_err(|error| {
            let file = file.display();
            vec![format!("settings: cannot read {file}: {error}")]
        })?;
        Settings::parse(&text, overrides, role)
    }

    /// Parses the text of a settings file.
    ///
    /// # Errors
    /// Every fault in it, as `KEY: what is wrong`.
    pub fn parse(text: &[u8], overrides: &Overrides, role: Role) -> Result<Settings, Vec<String>> {
        let value = json::parse(text, MAX_FILE_BYTES);
        let value = value.map_err(|error| vec![format!("settings: {error}")])?;
        let mut faults = Faults::default();
        let settings = parse::settings(&value, overrides, role, &mut faults);
        let settings = settings.filter(|_| faults.is_empty());
        settings.ok_or_else(|| faults.into_list())
    }

    /// The address to dial in order to reach `addr`.
    #[must_use]
    pub fn dial_address(&self, addr: SocketAddr) -> SocketAddr {
        self.address_overrides.get(&addr).copied().unwrap_or(addr)
    }

    /// Identifies the site and its layout: equal on all nodes of one site,
    /// and nodes that differ in it refuse each other.
    #[must_use]
    pub fn site_fingerprint(&self) -> String {
        let zones = self.names.zones.iter();
        let zones: Vec<String> = zones
            .map(|(zone, region)| format!("{zone}@{region}"))
            .collect();
        let regions = self.names.regions.join(",");
        format!("{}/{}/{}", self.site, regions, zones.join(","))
    }
}
