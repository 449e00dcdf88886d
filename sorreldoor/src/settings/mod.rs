//! The settings of a process, from a JSON file and flags that override its values;
//! they are validated as a whole.

mod parse;
mod seed_source;

pub use seed_source::SeedSource;

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
    /// The site's regions and zones.
    pub names: Arc<Site>,
    /// The node's name, unique in the site.
    pub node: String,
    /// The node's zone, as an index into `names`.
    pub zone: u16,
    /// The region of `zone`, as an index into `names`.
    pub region: RegionId,
    /// Where it accepts connections of other nodes; `None`: an edge that accepts none.
    pub listen: Option<SocketAddr>,
    /// Where it serves HTTP.
    pub http: SocketAddr,
    /// Addresses at which cores accept connections of other nodes; a process contacts
    /// these first.
    pub seeds: Vec<SocketAddr>,
    /// Reads the seeds again, which may have changed since; `None`: they do not change.
    pub seed_source: Option<SeedSource>,
    /// Edges to ask for the cores' addresses when none of those known is reached, beside
    /// the edges that a core names. None may be a core's own address.
    pub peers: Vec<SocketAddr>,
    /// Number of cores that the site is founded with.
    pub cores: usize,
    /// The data folder; cores only.
    pub data_dir: Option<PathBuf>,
    /// Address of the platform, which serves the worker list.
    pub platform: Option<SocketAddr>,
    /// The address to dial, by announced address; one that is absent is dialled as it
    /// is.
    pub address_overrides: BTreeMap<SocketAddr, SocketAddr>,
    /// Target time to acknowledge a change while one core is down.
    pub ack_ms: Millis,
    /// How long an edge may serve after a renewal of its lease.
    pub lease_ms: Millis,
    /// Time without contact after which a core may be replaced.
    pub replace_ms: Millis,
    /// How long a graceful shutdown waits for requests in flight.
    pub drain_ms: Millis,
    /// The largest request body in bytes.
    pub max_body: usize,
    /// The maximum number of open connections.
    pub max_connections: usize,
    /// The maximum number of claims on idempotency keys that a core stores.
    pub max_claims: usize,
    /// A core without data may found the site together with the others; else it only
    /// joins an existing one.
    pub bootstrap: bool,
    /// The site is founded by its seeds; other cores join it later.
    pub grow: bool,
    /// Failures of cores at once that the site must tolerate; `None`: as many as
    /// `cores` allow.
    pub tolerate_nodes: Option<usize>,
    /// Failures of zones at once that the site must tolerate.
    pub tolerate_zones: usize,
    /// This core may become a voter; else it stays a learner.
    pub voting: bool,
    /// Port and path of the metrics, on the IP address of `http`; `None`: off.
    pub metrics: Option<MetricsEndpoint>,
    /// Intervals of periodic work, and switches for optional traffic.
    pub pacing: Pacing,
}

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Runs the control plane: replicates state and serves operators.
    Core,
    /// Runs the gateway or the proxy: serves clients.
    Edge,
}

/// Values of flags, which replace those of the file.
#[derive(Clone, Debug, Default)]
pub struct Overrides {
    /// Name of the node.
    pub node: Option<String>,
    /// Name of the node's zone.
    pub zone: Option<String>,
    /// `IP:PORT` for connections of other nodes.
    pub listen: Option<String>,
    /// `IP:PORT` for HTTP.
    pub http: Option<String>,
    /// Path of the data folder.
    pub data: Option<String>,
    /// `IP:PORT` of the platform.
    pub platform: Option<String>,
    /// `IP:PORT` of each seed; empty: those of the file.
    pub seeds: Vec<String>,
}

impl Settings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// The file cannot be read, or every fault of the settings, as `KEY: what is wrong`.
    pub fn load(file: &Path, overrides: &Overrides, role: Role) -> Result<Settings, Vec<String>> {
        let text = std::fs::read(file).map_err(|error| {
            let file = file.display();
            vec![format!("settings: cannot read {file}: {error}")]
        })?;
        Settings::parse(&text, overrides, role)
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    /// Every fault of the settings, as `KEY: what is wrong`.
    pub fn parse(text: &[u8], overrides: &Overrides, role: Role) -> Result<Settings, Vec<String>> {
        let value = json::parse(text, MAX_FILE_BYTES);
        let value = value.map_err(|error| vec![format!("settings: {error}")])?;
        let mut faults = Faults::default();
        let settings = parse::settings(&value, overrides, role, &mut faults);
        let settings = settings.filter(|_| faults.is_empty());
        settings.ok_or_else(|| faults.into_list())
    }

    /// The seeds as the settings name them now; `None` if they do not change or cannot
    /// be read.
    #[must_use]
    pub fn read_seeds(&self) -> Option<Vec<SocketAddr>> {
        self.seed_source.as_ref().and_then(SeedSource::read)
    }

    /// The address to dial for the announced address `addr`.
    #[must_use]
    pub fn dial_address(&self, addr: SocketAddr) -> SocketAddr {
        self.address_overrides.get(&addr).copied().unwrap_or(addr)
    }

    /// Identifies the site by its name, regions and zones. Nodes reject connections of
    /// nodes with another fingerprint.
    #[must_use]
    pub fn site_fingerprint(&self) -> String {
        site_fingerprint(&self.site, &self.names)
    }
}

/// The fingerprint of the site with this name and layout.
#[must_use]
pub fn site_fingerprint(name: &str, layout: &Site) -> String {
    let zones = layout.zones.iter();
    let zones: Vec<String> = zones
        .map(|(zone, region)| format!("{zone}@{region}"))
        .collect();
    let regions = layout.regions.join(",");
    format!("{name}/{regions}/{}", zones.join(","))
}
