//! Stand-ins for the cases of the second review: a small deployment of the project's
//! own program, the platform's list, workers, the operator and clients. Only the
//! standard library is used. All addresses are loopback addresses.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
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

/// The head of a message, with header names in lower case.
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn length(&self) -> usize {
        self.get("content-length").and_then(|v| v.parse().ok()).unwrap_or(0)
    }

    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1).unwrap_or("");
        word.parse().unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection or on a time-out.
pub fn read_head(stream: &mut TcpStream) -> Option<Head> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte) {
            Ok(1) => bytes.push(byte[0]),
            _ => return None,
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next()?.to_string();
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_string()))
        .collect();
    Some(Head { first, headers })
}

pub fn read_body(stream: &mut TcpStream, length: usize) -> Option<Vec<u8>> {
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some(body)
}

/// One entry of the platform's list.
#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub svc: String,
    pub addr: SocketAddr,
    pub az: String,
    pub st: String,
    pub slots: u32,
}

/// The platform's list of workers.
#[derive(Clone, Default)]
pub struct Platform {
    pub list: Arc<Mutex<Vec<Entry>>>,
    pub calls: Arc<AtomicU64>,
}

impl Platform {
    pub fn start(ip: Ipv4Addr) -> (Platform, SocketAddr) {
        let platform = Platform::default();
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let addr = listener.local_addr().unwrap();
        let shared = platform.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || shared.serve(stream));
            }
        });
        (platform, addr)
    }

    fn serve(&self, mut stream: TcpStream) {
        while let Some(_head) = read_head(&mut stream) {
            self.calls.fetch_add(1, Ordering::Relaxed);
            let list = self.list.lock().unwrap().clone();
            let entries: Vec<String> = list
                .iter()
                .map(|e| {
                    format!(
                        "{{\"id\":\"{}\",\"svc\":\"{}\",\"addr\":\"{}\",\"az\":\"{}\",\"ver\":\"v1\",\"slots\":{},\"st\":\"{}\",\"warmupMs\":0}}",
                        e.id, e.svc, e.addr, e.az, e.slots, e.st
                    )
                })
                .collect();
            let body = format!("{{\"pool\":[{}],\"next\":null}}", entries.join(","));
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    pub fn set_state(&self, id: &str, state: &str) {
        for entry in self.list.lock().unwrap().iter_mut().filter(|e| e.id == id) {
            entry.st = state.to_string();
        }
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

/// A complete answer.
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

/// One call on a new connection; `None` without a complete answer within the time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within: Duration,
) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&addr, within).ok()?;
    let _ = stream.set_nodelay(true);
    stream.set_read_timeout(Some(within)).ok()?;
    let has = |name: &str| headers.iter().any(|(n, _)| n.eq_ignore_ascii_case(name));
    let mut bytes = format!("{method} {path} HTTP/1.1\r\n");
    if !has("host") {
        bytes.push_str(&format!("Host: {addr}\r\n"));
    }
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    if method != "GET" {
        bytes.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes).ok()?;
    let head = read_head(&mut stream)?;
    let body = read_body(&mut stream, head.length())?;
    let status = head.status();
    Some(Answer { status, head, body })
}

/// Whether the disruption is to be made (`TROUBLE` is not 0).
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// An arrival at a worker that ran the request.
#[derive(Clone)]
pub struct Run {
    pub ms: u64,
    pub worker: String,
    pub zone: String,
    pub attempt: String,
    pub first_line: String,
    pub body: Vec<u8>,
}

#[derive(Clone, Default)]
pub struct Runs(pub Arc<Mutex<Vec<Run>>>);

/// What a worker answers; the default is a sound short answer.
pub type Behave = Arc<dyn Fn(&mut TcpStream, &Head, &[u8], u64) -> bool + Send + Sync>;

/// A sound worker: answers 421 to requests for another worker, otherwise runs the request
/// for `work` and answers it.
pub fn start_worker(
    record: &Arc<Record>,
    runs: &Runs,
    ip: Ipv4Addr,
    id: &str,
    zone: &str,
    work: Duration,
) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    let addr = listener.local_addr().unwrap();
    let (record, runs) = (record.clone(), runs.clone());
    let (id, zone) = (id.to_string(), zone.to_string());
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, runs, id, zone) = (record.clone(), runs.clone(), id.clone(), zone.clone());
            thread::spawn(move || serve_worker(stream, record, runs, id, zone, work));
        }
    });
    addr
}

fn serve_worker(
    mut stream: TcpStream,
    record: Arc<Record>,
    runs: Runs,
    id: String,
    zone: String,
    work: Duration,
) {
    let _ = stream.set_nodelay(true);
    while let Some(head) = read_head(&mut stream) {
        let Some(body) = read_body(&mut stream, head.length()) else { return };
        let attempt = head.get("sorreldoor-attempt-id").unwrap_or("").to_string();
        if head.first.starts_with("GET /healthz") {
            let answer = format!("HTTP/1.1 200 OK\r\nSorreldoor-Worker-Id: {id}\r\nContent-Length: 0\r\n\r\n");
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        let answer = if head.get("sorreldoor-want-worker").is_some_and(|want| want != id) {
            record.note(format!("worker {id}: 421 for {attempt}"));
            format!("HTTP/1.1 421 Misdirected Request\r\nSorreldoor-Attempt-Id: {attempt}\r\nSorreldoor-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
        } else {
            record.note(format!("worker {id} ({zone}) runs {attempt}: {}", head.first));
            runs.0.lock().unwrap().push(Run {
                ms: record.ms(),
                worker: id.clone(),
                zone: zone.clone(),
                attempt: attempt.clone(),
                first_line: head.first.clone(),
                body: body.clone(),
            });
            sleep(work);
            let text = format!("done {attempt}");
            format!(
                "HTTP/1.1 200 OK\r\nSorreldoor-Attempt-Id: {attempt}\r\nSorreldoor-Worker-Seal: {id}.{attempt}\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            )
        };
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}
