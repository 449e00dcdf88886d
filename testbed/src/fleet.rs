//! A complete site on one machine: a process for each node, stub workers, a stub
//! platform, and links that delay traffic between regions.

use crate::fleet_workers::{start_workers, zones};
use crate::link::Link;
pub use crate::presets::{archive, configuration, press, SitePreset};
use crate::stub_platform::StubPlatform;
use crate::stub_worker::StubWorker;
use async_std::task;
use simd_json::prelude::*;
use sorreldoor::http::{self, Call, CallError, CompleteResponse};
use sorreldoor::json::{self, Value};
use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// A node and its process, if it runs.
pub struct Node {
    pub name: String,
    pub core: bool,
    pub zone: String,
    pub region: String,
    pub listen: Option<SocketAddr>,
    pub http: SocketAddr,
    pub file: PathBuf,
    pub child: Option<Child>,
    /// Links through which this node connects to cores, by the name of the core.
    pub links: BTreeMap<String, Link>,
}

/// Time for all nodes of a role to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which nodes that have ended are restarted during the start.
const RESTART_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which a condition is checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Time for the response to a `Fleet::get`.
const GET_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_RESPONSE_BYTES: usize = 64 << 20;

static ONE_FLEET_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A running site; its nodes are killed on drop.
pub struct Fleet {
    pub root: PathBuf,
    pub preset: SitePreset,
    pub nodes: Vec<Node>,
    pub platform: StubPlatform,
    pub workers: Vec<StubWorker>,
    pub binary: PathBuf,
    /// Environment variables of every node.
    pub envs: Vec<(String, String)>,
    /// Whether faults can be injected into the clocks and disks of nodes.
    pub faulty_nodes: bool,
    cores: usize,
    /// Held while the fleet exists: one fleet at a time in a process.
    exclusive: Option<MutexGuard<'static, ()>>,
}

/// Free ports, bound until the nodes are about to start.
#[derive(Default)]
pub struct ReservedPorts(Vec<TcpListener>);

impl ReservedPorts {
    pub fn reserve(&mut self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener.local_addr();
        self.0.push(listener);
        address.expect("a bound socket has an address")
    }
}

/// The product's program, searched in the folders above the running executable.
pub fn binary() -> PathBuf {
    let me = std::env::current_exe().expect("a running program has a path");
    me.ancestors()
        .map(|d| d.join("sorreldoor"))
        .find(|p| p.is_file())
        .expect("build the workspace first: cargo build --workspace")
}

impl Fleet {
    /// Starts a fleet with three cores.
    pub fn start(root: &Path, preset: SitePreset) -> Fleet {
        Fleet::start_with(root, preset, 3)
    }

    /// Starts a fleet whose settings state this number of cores.
    pub fn start_with(root: &Path, preset: SitePreset, cores: usize) -> Fleet {
        Fleet::start_customized(root, preset, cores, |_| {})
    }

    /// Starts a fleet after `with` has changed it.
    pub fn start_customized(
        root: &Path,
        preset: SitePreset,
        cores: usize,
        with: impl FnOnce(&mut Fleet),
    ) -> Fleet {
        // concurrent fleets would overload the machine
        let exclusive = ONE_FLEET_AT_A_TIME
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner());
        let mut fleet = task::block_on(Fleet::create(root, preset, cores));
        fleet.exclusive = Some(exclusive);
        with(&mut fleet);
        for index in 0..fleet.nodes.len() {
            fleet.spawn(index);
        }
        fleet
    }

    async fn create(root: &Path, preset: SitePreset, cores: usize) -> Fleet {
        std::fs::create_dir_all(root).expect("the fleet's folder can be created");
        let platform = StubPlatform::start(None)
            .await
            .expect("loopback can be bound");
        let (workers, rows) = start_workers(&preset).await;
        platform.change(|list| *list = rows);
        let mut ports = ReservedPorts::default();
        let mut nodes = Vec::new();
        for (region, zone) in zones(&preset) {
            let name = format!("core-{zone}");
            nodes.push(node(root, &mut ports, name, true, zone, region));
            for index in 0..preset.edges_per_zone {
                let name = format!("edge-{zone}-{index}");
                nodes.push(node(root, &mut ports, name, false, zone, region));
            }
        }
        let mut fleet = Fleet {
            root: root.to_path_buf(),
            preset,
            nodes,
            platform,
            workers,
            binary: binary(),
            envs: Vec::new(),
            faulty_nodes: false,
            cores,
            exclusive: None,
        };
        fleet.connect().await;
        drop(ports);
        fleet
    }

    /// Starts the links between nodes and cores, and writes the settings.
    async fn connect(&mut self) {
        let cores: Vec<(String, String, SocketAddr)> = self
            .nodes
            .iter()
            .filter_map(|node| Some((node.name.clone(), node.region.clone(), node.listen?)))
            .collect();
        let seeds: Vec<SocketAddr> = cores.iter().map(|(_, _, address)| *address).collect();
        for index in 0..self.nodes.len() {
            let mut reach = Vec::new();
            for (name, region, address) in &cores {
                let is_remote = *region != self.nodes[index].region;
                let delay = if is_remote {
                    self.preset.region_delay
                } else {
                    Duration::ZERO
                };
                let link = Link::start(*address, delay).await;
                let link = link.expect("loopback can be bound");
                reach.push((*address, link.addr));
                self.nodes[index].links.insert(name.clone(), link);
            }
            self.write(index, &seeds, &reach);
        }
    }

    /// Writes the settings of a node; `reach` maps addresses of cores to links.
    pub fn write(&self, index: usize, seeds: &[SocketAddr], reach: &[(SocketAddr, SocketAddr)]) {
        let node = &self.nodes[index];
        let mut settings = Value::object();
        let mut regions = Value::object();
        for (region, zones, _) in &self.preset.regions {
            let zones: Vec<Value> = zones.iter().map(|zone| Value::from(*zone)).collect();
            let _ = regions.insert(*region, zones);
        }
        let _ = settings.insert("site", self.preset.site);
        let _ = settings.insert("cores", self.cores);
        let _ = settings.insert("regions", regions);
        let _ = settings.insert("node", node.name.as_str());
        let _ = settings.insert("zone", node.zone.as_str());
        let _ = settings.insert("http", node.http.to_string());
        let seeds: Vec<Value> = seeds.iter().map(|s| Value::from(s.to_string())).collect();
        let _ = settings.insert("seeds", seeds);
        let _ = settings.insert("platform", self.platform.addr.to_string());
        let mut links = Value::object();
        for (address, link) in reach {
            let _ = links.insert(address.to_string(), link.to_string());
        }
        let _ = settings.insert("reach", links);
        if let Some(listen) = node.listen {
            let _ = settings.insert("listen", listen.to_string());
        }
        if node.core {
            let data = self.root.join(&node.name);
            let _ = settings.insert("data", data.display().to_string());
        }
        std::fs::write(&node.file, settings.encode()).expect("the fleet's folder can be written");
    }

    /// The index of the node with this name.
    pub fn node(&self, name: &str) -> usize {
        self.nodes
            .iter()
            .position(|node| node.name == name)
            .expect("there is a node with this name")
    }

    pub fn edges(&self) -> Vec<usize> {
        self.with_role(false)
    }

    pub fn cores(&self) -> Vec<usize> {
        self.with_role(true)
    }

    fn with_role(&self, core: bool) -> Vec<usize> {
        let all = 0..self.nodes.len();
        all.filter(|index| self.nodes[*index].core == core)
            .collect()
    }

    pub fn call(
        &self,
        node: usize,
        call: Call,
        within: Duration,
    ) -> Result<CompleteResponse, CallError> {
        let address = self.nodes[node].http;
        task::block_on(http::call(address, call, MAX_RESPONSE_BYTES, within))
    }

    pub fn get(&self, node: usize, path: &str) -> Option<(u16, Value)> {
        let response = self.call(node, Call::get(path), GET_TIMEOUT).ok()?;
        let value = json::parse(&response.body, usize::MAX).unwrap_or_default();
        Some((response.status, value))
    }

    /// Waits until a condition holds; false if it does not within `timeout`.
    pub fn until(&self, timeout: Duration, mut condition: impl FnMut(&Fleet) -> bool) -> bool {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if condition(self) {
                return true;
            }
            std::thread::sleep(CHECK_INTERVAL);
        }
        condition(self)
    }

    fn is_ready(&self, node: usize) -> bool {
        let response = self.get(node, "/ready");
        response.is_some_and(|(status, _)| status == 200)
    }

    /// Whether all cores are ready, which bootstraps the site.
    pub fn is_bootstrapped(&self) -> bool {
        self.cores().into_iter().all(|core| self.is_ready(core))
    }

    /// Whether all edges are ready.
    pub fn is_serving(&self) -> bool {
        self.edges().into_iter().all(|edge| self.is_ready(edge))
    }

    /// Restarts nodes that have ended: another process may have taken a reserved port
    /// before the node could bind it.
    fn restart_ended(&mut self) {
        for index in 0..self.nodes.len() {
            let has_ended = |child: &mut Child| matches!(child.try_wait(), Ok(Some(_)));
            if self.nodes[index].child.as_mut().is_some_and(has_ended) {
                self.spawn(index);
            }
        }
    }

    /// Waits until a condition holds, and restarts nodes that have ended.
    fn wait_for(&mut self, condition: fn(&Fleet) -> bool) -> bool {
        let end = Instant::now() + START_TIMEOUT;
        while Instant::now() < end {
            self.restart_ended();
            if self.until(RESTART_INTERVAL, condition) {
                return true;
            }
        }
        false
    }

    pub fn wait_until_bootstrapped(&mut self) {
        assert!(
            self.wait_for(Fleet::is_bootstrapped),
            "not all cores became ready in time"
        );
    }

    pub fn wait_until_serving(&mut self) {
        assert!(
            self.wait_for(Fleet::is_serving),
            "not all edges became ready in time"
        );
    }

    /// Waits for the cores, applies the configuration of the preset, waits for the edges.
    pub fn serve(&mut self) {
        self.wait_until_bootstrapped();
        let file = self.root.join("setup.json");
        std::fs::write(&file, configuration(&self.preset))
            .expect("the fleet's folder can be written");
        let (code, text) = self.ctl(0, &["put", &file.display().to_string(), "--base", "0"]);
        assert_eq!(code, 0, "{text}");
        self.wait_until_serving();
    }

    /// Runs the `ctl` command against a node; returns its exit code and output.
    pub fn ctl(&self, at: usize, args: &[&str]) -> (i32, String) {
        let out = Command::new(&self.binary)
            .args(["ctl", "--at", &self.nodes[at].http.to_string()])
            .args(args)
            .output()
            .expect("the product's program can be started");
        let mut text = String::from_utf8_lossy(&out.stdout).to_string();
        text += &String::from_utf8_lossy(&out.stderr);
        (out.status.code().unwrap_or(-1), text)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for i in 0..self.nodes.len() {
            self.kill(i);
        }
    }
}

pub(crate) fn node(
    root: &Path,
    ports: &mut ReservedPorts,
    name: String,
    core: bool,
    zone: &str,
    region: &str,
) -> Node {
    Node {
        file: root.join(format!("{name}.json")),
        listen: core.then(|| ports.reserve()),
        http: ports.reserve(),
        name,
        core,
        zone: zone.into(),
        region: region.into(),
        child: None,
        links: BTreeMap::new(),
    }
}
