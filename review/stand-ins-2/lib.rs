//! Stand-ins for the cases of the second review: a small deployment of the project's
//! own program, the platform's list, workers, the operator and clients. Only the
//! standard library is used. All addresses are loopback addresses.
#![allow(dead_code, unused_imports)]

mod http;
mod workers;

pub use http::{call, read_body, read_head, Answer, Head};
pub use workers::{start_worker, Entry, Platform, Run, Runs};

use std::collections::BTreeMap;
use std::fs;
use std::io::Write;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

pub const ZONES: [(&str, &str); 3] = [("hall", "khomas"), ("annex", "khomas"), ("coast", "erongo")];

/// The processes that were started and have not been waited for.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// A case ends with code 2 after this time, so that no process outlives it.
const LONGEST: Duration = Duration::from_secs(110);

fn end_started() -> ! {
    let started = STARTED.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).clone();
    for pid in started {
        let _ = Command::new("kill").args(["-s", "KILL", &pid.to_string()]).status();
    }
    std::process::exit(2)
}

/// Ends what was started if the case takes too long or fails itself.
fn watch() {
    std::panic::set_hook(Box::new(|panic| {
        eprintln!("the case could not run: {panic}");
        end_started()
    }));
    thread::spawn(|| {
        sleep(LONGEST);
        eprintln!("the case took too long");
        end_started()
    });
}

/// Everything that was seen, with milliseconds since the start; written to `record.txt`.
pub struct Record {
    start: Instant,
    file: Mutex<fs::File>,
}

impl Record {
    pub fn create(path: &Path) -> Arc<Record> {
        Arc::new(Record {
            start: Instant::now(),
            file: Mutex::new(fs::File::create(path).expect("the case's folder can be written")),
        })
    }

    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.ms(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// A line that is also printed.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.note(text);
    }
}

/// One machine of the deployment, with its processes.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: usize,
    pub core: bool,
    pub children: Mutex<BTreeMap<&'static str, Child>>,
    first_start: AtomicBool,
}

pub struct Deployment {
    pub machines: Vec<Machine>,
    pub root: PathBuf,
    pub record: Arc<Record>,
    pub platform: Platform,
    pub provider: SocketAddr,
    program: PathBuf,
    base: u16,
    pub limits: &'static str,
}

/// The first of a few ports that are free on every address of the deployment.
fn free_ports(ips: &[Ipv4Addr]) -> u16 {
    let seed = std::process::id() as u16 % 400;
    (0..400u16)
        .map(|i| 21000 + (seed + i) % 400 * 20)
        .find(|base| {
            let free = |port: u16| ips.iter().all(|ip| TcpListener::bind((*ip, port)).is_ok());
            (*base..*base + 8).all(free)
        })
        .expect("free ports")
}

impl Deployment {
    /// `cores` machines with a disk, in the zones in turn, and `others` without. Nothing
    /// is started yet.
    pub fn new(record: Arc<Record>, cores: usize, others: usize) -> Deployment {
        watch();
        let program = PathBuf::from("target/release/platform");
        if !program.is_file() {
            eprintln!("target/release/platform is missing: run the build of deploy/system.toml");
            std::process::exit(2);
        }
        let pid = std::process::id();
        let network = [(pid / 200 % 200 + 10) as u8, (pid % 200 + 10) as u8];
        let ip = |n: usize| Ipv4Addr::new(127, network[0], network[1], n as u8 + 1);
        let count = cores + others;
        let ips: Vec<Ipv4Addr> = (0..count).map(ip).collect();
        let root = std::env::temp_dir().join(format!("sorreldoor-review-{pid}"));
        fs::create_dir_all(&root).expect("a temporary folder");
        let (platform, provider) = Platform::start(Ipv4Addr::new(127, network[0], network[1], 250));
        Deployment {
            machines: (0..count)
                .map(|n| Machine {
                    name: format!("edge-{}-{}", ZONES[n % 3].0, n / 3 + 1),
                    ip: ips[n],
                    zone: n % 3,
                    core: n < cores,
                    children: Mutex::default(),
                    first_start: AtomicBool::new(true),
                })
                .collect(),
            base: free_ports(&ips),
            root,
            record,
            platform,
            provider,
            program,
            limits: "",
        }
    }

    pub fn addr(&self, machine: usize, what: &str) -> SocketAddr {
        let offset = match what {
            "ctl" => 0,
            "edge" => 1,
            "readyz" => 2,
            _ => 3,
        };
        (IpAddr::from(self.machines[machine].ip), self.base + offset).into()
    }

    fn settings(&self, index: usize, role: &str) -> String {
        let machine = &self.machines[index];
        let (zone, region) = ZONES[machine.zone];
        let cores = (0..self.machines.len()).filter(|i| self.machines[*i].core);
        let seeds: Vec<String> = cores.take(3).map(|i| self.addr(i, "ctl").to_string()).collect();
        let azs: String = ZONES.iter().map(|(z, r)| format!("{z} = \"{r}\"\n")).collect();
        let data = match role {
            "core" if machine.core => format!("datadir = {:?}\n", self.data(index)),
            _ => String::new(),
        };
        let listen = match role {
            "core" => format!("ctl = \"{}\"\n", self.addr(index, "ctl")),
            _ => ["edge", "readyz", "dir"]
                .iter()
                .map(|what| format!("{what} = \"{}\"\n", self.addr(index, what)))
                .collect(),
        };
        let serves = if role == "core" { "[\"ctl\"]" } else { "[\"edge\",\"dir\"]" };
        format!(
            "node = \"{}\"\nrole = \"{}\"\nmclass = \"edge\"\nserves = {serves}\nip = \"{}\"\naz = \"{zone}\"\nrgn = \"{region}\"\nportRange = [{}, {}]\nseeds = {seeds:?}\nbootstrap = {}\nvoting = {}\n{data}discovery = \"api\"\ningress = \"dir\"\nhbMs = 1200\n\
             [azs]\n{azs}[listen]\n{listen}[lim]\ncpuFrac = 0.45\nncpu = 1\nramMb = 260\nnofile = 4100\nnetMbps = 1000.0\ndiskMb = 64\n\
             [tolerate]\nnodes = 1\nazs = 1\nrgns = 0\n\
             [bounds]\nseedLagS = 3\nreuseS = 2\ncontactMs = 4000\nackMs = 5000\nsyncS = 4\ndrainMs = 4000\ngraceS = 8\nlossMs = 200\napplyMs = 3000\ndowngradeMs = 250\nstretchMs = 6000\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 64\nwarmupExcess = 1.5\nwarmupSlack = 5\nevacMs = 5000\nrecoverS = 12\npassMs = 400\nttl_max_s = 5\n{}\
             [provider]\naddr = \"{}\"\nratePerS = 47.0\nduties = []\nlagMs = 800\n",
            machine.name,
            if role == "core" { "core-on-edge" } else { "edge" },
            machine.ip,
            self.base + 4,
            self.base + 7,
            machine.first_start.load(Ordering::Relaxed),
            machine.core,
            self.limits,
            self.provider,
        )
    }

    pub fn data(&self, index: usize) -> PathBuf {
        self.root.join(format!("data-{}", self.machines[index].name))
    }

    /// Starts one role on a machine with the command of the deploy file.
    pub fn start(&self, index: usize, role: &'static str) {
        let machine = &self.machines[index];
        let file = self.root.join(format!("{}-{role}.toml", machine.name));
        fs::write(&file, self.settings(index, role)).expect("the settings can be written");
        let _ = fs::create_dir_all(self.data(index));
        let metrics = if role == "core" { "9465/metrics" } else { "9464/metrics" };
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.root.join(format!("{}-{role}.log", machine.name)))
            .expect("the log can be written");
        let mut command = Command::new(&self.program);
        command.args(["--metrics", metrics, role]).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = std::env::var_os(name) {
                command.env(name, value);
            }
        }
        if let Some(level) = std::env::var_os("CASE_LOG") {
            command.env("RUST_LOG", level);
        }
        let child = command
            .env("SORRELDOOR_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        STARTED.lock().unwrap().push(child.id());
        machine.children.lock().unwrap().insert(role, child);
    }

    /// Starts all processes for the first time.
    pub fn start_all(&self) {
        for index in 0..self.machines.len() {
            if self.machines[index].core {
                self.start(index, "core");
            }
            self.start(index, "edge");
        }
        for machine in &self.machines {
            machine.first_start.store(false, Ordering::Relaxed);
        }
    }

    /// Sends a signal to one process that this case started.
    pub fn signal(&self, index: usize, role: &str, signal: &str) {
        let children = self.machines[index].children.lock().unwrap();
        if let Some(child) = children.get(role) {
            let pid = child.id().to_string();
            let _ = Command::new("kill").args(["-s", signal, &pid]).status();
        }
    }

    /// Sends a signal to all processes of a machine.
    pub fn signal_machine(&self, index: usize, signal: &str) {
        for role in ["core", "edge"] {
            self.signal(index, role, signal);
        }
        self.record.note(format!("SIG{signal} to the processes of {}", self.machines[index].name));
    }

    pub fn kill(&self, index: usize, role: &str) {
        if let Some(mut child) = self.machines[index].children.lock().unwrap().remove(role) {
            STARTED.lock().unwrap().retain(|pid| *pid != child.id());
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Whether a process has ended by itself.
    pub fn has_ended(&self, index: usize, role: &str) -> bool {
        let mut children = self.machines[index].children.lock().unwrap();
        let child = children.get_mut(role);
        child.is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
    }

    /// Waits until all edges are ready; exits with 2 if they don't become ready.
    pub fn wait_until_ready(&self) {
        let limit = Instant::now() + Duration::from_secs(25);
        for index in 0..self.machines.len() {
            let addr = self.addr(index, "readyz");
            let ready = || {
                let call = call(addr, "GET", "/api/readyz", &[], b"", Duration::from_millis(500));
                call.is_some_and(|a| a.status == 200)
            };
            while !ready() {
                if Instant::now() > limit {
                    self.record.say("the deployment did not become ready");
                    self.end(2);
                }
                sleep(Duration::from_millis(100));
            }
        }
    }

    /// Ends all processes that were started, removes the temporary folder, and exits.
    pub fn end(&self, code: i32) -> ! {
        for machine in &self.machines {
            for child in machine.children.lock().unwrap().values_mut() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("CASE_KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.root);
        } else {
            println!("kept {}", self.root.display());
        }
        std::process::exit(code)
    }

    /// The operator's order, as the pages describe it: each node in `order` in turn until
    /// a clear answer, a second of silence for each, with a pause that grows. Returns the
    /// status.
    pub fn order(&self, order: &[usize], path: &str, headers: &[(&str, &str)], body: &str) -> u16 {
        let mut pause = Duration::from_millis(100);
        for round in 0..12 {
            let machine = order[round % order.len()];
            let name = &self.machines[machine].name;
            self.record.note(format!("operator -> {name}: POST {path}"));
            let answer = call(
                self.addr(machine, "ctl"),
                "POST",
                path,
                headers,
                body.as_bytes(),
                Duration::from_secs(1),
            );
            let status = answer.as_ref().map_or(0, |a| a.status);
            let text = answer.map(|a| String::from_utf8_lossy(&a.body).into_owned());
            self.record.note(format!(
                "operator <- {name}: {} {}",
                if status == 0 { "no answer within a second".into() } else { status.to_string() },
                text.unwrap_or_default()
            ));
            if matches!(status, 200 | 400 | 409 | 412 | 413 | 422) {
                return status;
            }
            sleep(pause);
            pause = pause * 3 / 2;
        }
        0
    }
}

/// Whether the disruption is to be made (`TROUBLE` is not 0).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}
