//! A whole site on one machine: twelve processes of the product, the workers,
//! the platform, and the delays between regions.

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

pub struct Node {
    pub name: String,
    pub core: bool,
    pub zone: String,
    pub region: String,
    pub listen: Option<SocketAddr>,
    pub http: SocketAddr,
    pub file: PathBuf,
    pub child: Option<Child>,
    /// Links that this node dials through, by the core's name.
    pub links: BTreeMap<String, Link>,
}

static ONE_FLEET_AT_A_TIME: Mutex<()> = Mutex::new(());

pub struct Fleet {
    pub root: PathBuf,
    pub preset: SitePreset,
    pub nodes: Vec<Node>,
    pub platform: StubPlatform,
    pub workers: Vec<StubWorker>,
    pub binary: PathBuf,
    /// Set for every child: how test builds are told to misbehave.
    pub envs: Vec<(String, String)>,
    /// Nodes run with clocks and disks that can be made to misbehave.
    pub faulty_nodes: bool,
    cores: usize,
    /// Held for the fleet's life: one fleet at a time in a process.
    exclusive: Option<MutexGuard<'static, ()>>,
}

/// Ports that the system gave, held until the children take them over.
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

/// The product's program, beside the one that runs.
pub fn binary() -> PathBuf {
    let me = std::env::current_exe().expect("a running program has a path");
    me.ancestors()
        .map(|d| d.join("sorreldoor"))
        .find(|p| p.is_file())
        .expect("build the workspace first: cargo build --workspace")
}

impl Fleet {
    pub fn start(root: &Path, preset: SitePreset) -> Fleet {
        Fleet::start_with(root, preset, 3)
    }

    /// With as many cores as there are zones, if that is not three.
    pub fn start_with(root: &Path, preset: SitePreset, cores: usize) -> Fleet {
        Fleet::start_customized(root, preset, cores, |_| {})
    }

    /// With something about it changed before its nodes start.
    pub fn start_customized(
        root: &Path,
        preset: SitePreset,
        cores: usize,
        with: impl FnOnce(&mut Fleet),
    ) -> Fleet {
        // many fleets at once on one machine would measure the machine
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
        std::fs::create_dir_all(root).expect("the fleet's folder can be made");
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
        for i in 0..preset.webs {
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

    /// Lay the links between nodes and cores, and write the settings.
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
                let away = *region != self.nodes[i].region;
                let d = if away {
                    self.preset.far
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

    pub(crate) fn write(&self, i: usize, seeds: &[SocketAddr], reach: &[(SocketAddr, SocketAddr)]) {
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
            let data = self.root.join(&n.name);
            let _ = v.insert("data", data.display().to_string());
        }
        std::fs::write(&n.file, v.encode()).expect("the fleet's folder can be written");
    }

    pub fn node(&self, name: &str) -> usize {
        self.nodes
            .iter()
            .position(|n| n.name == name)
            .expect("a node of that name")
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

    /// Wait until `f` holds; false when `most` has passed without it.
    pub fn until(&self, most: Duration, mut f: impl FnMut(&Fleet) -> bool) -> bool {
        let end = Instant::now() + most;
        while Instant::now() < end {
            if f(self) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        f(self)
    }

    pub fn founded(&self) -> bool {
        self.cores()
            .iter()
            .all(|i| self.get(*i, "/ready").is_some_and(|(s, _)| s == 200))
    }

    pub fn serving(&self) -> bool {
        self.edges()
            .iter()
            .all(|i| self.get(*i, "/ready").is_some_and(|(s, _)| s == 200))
    }

    /// Start again what has ended by itself: a port that the system gave may
    /// have gone to somebody else's connection before the child could bind it.
    fn restart_ended(&mut self) {
        for i in 0..self.nodes.len() {
            let ended = |c: &mut Child| matches!(c.try_wait(), Ok(Some(_)));
            if self.nodes[i].child.as_mut().is_some_and(ended) {
                self.spawn(i);
            }
        }
    }

    /// Wait, while starting, until `f` holds.
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
        assert!(self.wait_for(Fleet::founded), "the site is founded");
    }

    pub fn wait_until_serving(&mut self) {
        assert!(self.wait_for(Fleet::serving), "every edge serves");
    }

    /// Wait for the founding, adopt the usual setup, wait for every edge.
    pub fn serve(&mut self) {
        self.wait_until_founded();
        let file = self.root.join("setup.json");
        std::fs::write(&file, configuration(&self.preset))
            .expect("the fleet's folder can be written");
        let (code, text) = self.ctl(0, &["put", &file.display().to_string(), "--base", "0"]);
        assert_eq!(code, 0, "{text}");
        self.wait_until_serving();
    }

    /// Run the operators' client against a node.
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
