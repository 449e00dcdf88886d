//! A complete site on one machine: a process for each node, stub workers, a stub
//! platform, and links that delay traffic between regions.

use crate::link::Link;
pub use crate::presets::{archive, configuration, press, SitePreset};
use crate::stub_platform::{StubPlatform, WorkerRow};
use crate::stub_worker::{StubWorker, WorkerProfile};
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
        let l = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let a = l.local_addr().expect("a bound socket has an address");
        self.0.push(l);
        a
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
            .unwrap_or_else(|p| p.into_inner());
        let mut f = task::block_on(Fleet::create(root, preset, cores));
        f.exclusive = Some(exclusive);
        with(&mut f);
        for i in 0..f.nodes.len() {
            f.spawn(i);
        }
        f
    }

    async fn create(root: &Path, preset: SitePreset, cores: usize) -> Fleet {
        std::fs::create_dir_all(root).expect("the fleet's folder can be created");
        let platform = StubPlatform::start(None)
            .await
            .expect("loopback can be bound");
        let mut workers = Vec::new();
        let mut rows = Vec::new();
        let zones: Vec<(&str, &str)> = preset
            .regions
            .iter()
            .flat_map(|(r, zs, _)| zs.iter().map(move |z| (*r, *z)))
            .collect();
        for (r, zs, n) in &preset.regions {
            for i in 0..*n {
                let m = WorkerProfile::model(&format!("{r}-gpu{i}"));
                let w = StubWorker::start(m, None)
                    .await
                    .expect("loopback can be bound");
                rows.push(worker_row(&w, "gpu", zs[i % zs.len()]));
                workers.push(w);
            }
        }
        for i in 0..preset.web_workers {
            let m = WorkerProfile::web(&format!("web{i}"));
            let w = StubWorker::start(m, None)
                .await
                .expect("loopback can be bound");
            rows.push(worker_row(&w, "web", zones[i % zones.len()].1));
            workers.push(w);
        }
        platform.change(|l| *l = rows);
        let mut ports = ReservedPorts::default();
        let mut nodes = Vec::new();
        for (r, z) in &zones {
            let name = format!("core-{z}");
            nodes.push(node(root, &mut ports, name, true, z, r));
            for i in 0..preset.edges_per_zone {
                nodes.push(node(root, &mut ports, format!("edge-{z}-{i}"), false, z, r));
            }
        }
        let mut f = Fleet {
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
        f.connect().await;
        drop(ports);
        f
    }

    /// Starts the links between nodes and cores, and writes the settings.
    async fn connect(&mut self) {
        let cores: Vec<(String, String, SocketAddr)> = self
            .nodes
            .iter()
            .filter_map(|n| n.listen.map(|a| (n.name.clone(), n.region.clone(), a)))
            .collect();
        let seeds: Vec<SocketAddr> = cores.iter().map(|c| c.2).collect();
        for i in 0..self.nodes.len() {
            let mut reach = Vec::new();
            for (name, region, addr) in &cores {
                let other_region = *region != self.nodes[i].region;
                let d = if other_region {
                    self.preset.region_delay
                } else {
                    Duration::ZERO
                };
                let l = Link::start(*addr, d).await.expect("loopback can be bound");
                reach.push((*addr, l.addr));
                self.nodes[i].links.insert(name.clone(), l);
            }
            self.write(i, &seeds, &reach);
        }
    }

    /// Writes the settings of a node; `reach` maps addresses of cores to links.
    pub fn write(&self, i: usize, seeds: &[SocketAddr], reach: &[(SocketAddr, SocketAddr)]) {
        let n = &self.nodes[i];
        let mut v = Value::object();
        let mut regions = Value::object();
        for (r, zs, _) in &self.preset.regions {
            let zs: Vec<Value> = zs.iter().map(|z| Value::from(*z)).collect();
            let _ = regions.insert(*r, zs);
        }
        let _ = v.insert("site", self.preset.site);
        let _ = v.insert("cores", self.cores);
        let _ = v.insert("regions", regions);
        let _ = v.insert("node", n.name.as_str());
        let _ = v.insert("zone", n.zone.as_str());
        let _ = v.insert("http", n.http.to_string());
        let seeds: Vec<Value> = seeds.iter().map(|s| Value::from(s.to_string())).collect();
        let _ = v.insert("seeds", seeds);
        let _ = v.insert("platform", self.platform.addr.to_string());
        let mut m = Value::object();
        for (a, b) in reach {
            let _ = m.insert(a.to_string(), b.to_string());
        }
        let _ = v.insert("reach", m);
        if let Some(l) = n.listen {
            let _ = v.insert("listen", l.to_string());
        }
        if n.core {
            let data = self.root.join(&n.name);
            let _ = v.insert("data", data.display().to_string());
        }
        std::fs::write(&n.file, v.encode()).expect("the fleet's folder can be written");
    }

    /// The index of the node with this name.
    pub fn node(&self, name: &str) -> usize {
        self.nodes
            .iter()
            .position(|n| n.name == name)
            .expect("there is a node with this name")
    }

    pub fn edges(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|i| !self.nodes[*i].core)
            .collect()
    }

    pub fn cores(&self) -> Vec<usize> {
        (0..self.nodes.len())
            .filter(|i| self.nodes[*i].core)
            .collect()
    }

    pub fn call(&self, i: usize, c: Call, within: Duration) -> Result<CompleteResponse, CallError> {
        task::block_on(http::call(self.nodes[i].http, c, 64 << 20, within))
    }

    pub fn get(&self, i: usize, path: &str) -> Option<(u16, Value)> {
        let c = self.call(i, Call::get(path), Duration::from_secs(5)).ok()?;
        Some((
            c.status,
            json::parse(&c.body, usize::MAX).unwrap_or_default(),
        ))
    }

    /// Waits until `f` holds; false if it does not within `timeout`.
    pub fn until(&self, timeout: Duration, mut f: impl FnMut(&Fleet) -> bool) -> bool {
        let end = Instant::now() + timeout;
        while Instant::now() < end {
            if f(self) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        f(self)
    }

    /// Whether all cores are ready.
    pub fn founded(&self) -> bool {
        self.cores()
            .iter()
            .all(|i| self.get(*i, "/ready").is_some_and(|(s, _)| s == 200))
    }

    /// Whether all edges are ready.
    pub fn serving(&self) -> bool {
        self.edges()
            .iter()
            .all(|i| self.get(*i, "/ready").is_some_and(|(s, _)| s == 200))
    }

    /// Restarts nodes that have ended: another process may have taken a reserved port
    /// before the node could bind it.
    fn restart_ended(&mut self) {
        for i in 0..self.nodes.len() {
            let ended = |c: &mut Child| matches!(c.try_wait(), Ok(Some(_)));
            if self.nodes[i].child.as_mut().is_some_and(ended) {
                self.spawn(i);
            }
        }
    }

    /// Waits up to 60 s until `f` holds, and restarts nodes that have ended.
    fn wait_for(&mut self, f: fn(&Fleet) -> bool) -> bool {
        let end = Instant::now() + Duration::from_secs(60);
        while Instant::now() < end {
            self.restart_ended();
            if self.until(Duration::from_millis(500), f) {
                return true;
            }
        }
        false
    }

    pub fn wait_until_founded(&mut self) {
        assert!(
            self.wait_for(Fleet::founded),
            "not all cores became ready within 60 s"
        );
    }

    pub fn wait_until_serving(&mut self) {
        assert!(
            self.wait_for(Fleet::serving),
            "not all edges became ready within 60 s"
        );
    }

    /// Waits for the cores, applies the configuration of the preset, waits for the edges.
    pub fn serve(&mut self) {
        self.wait_until_founded();
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

fn worker_row(w: &StubWorker, group: &str, zone: &str) -> WorkerRow {
    WorkerRow {
        name: w.profile.name.clone(),
        addr: w.addr,
        group: group.into(),
        zone: zone.into(),
        leaving: false,
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
