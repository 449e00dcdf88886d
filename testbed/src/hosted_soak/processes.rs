//! The processes of the platform's program: their settings, starts, signals, and use of
//! memory and descriptors.

use super::records::{Disturbance, Records};
use crate::sync::lock;
use serde::Serialize;
use sorreldoor::types::Millis;
use std::fs;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A kill that takes longer is reported.
const SLOW_KILL_MS: Millis = 100;
/// Ports of every process; each has a loopback address of its own.
const OPERATOR_PORT: u16 = 7001;
const EDGE_PORT: u16 = 7002;
const READY_PORT: u16 = 7003;
const DIRECTORY_PORT: u16 = 7004;
const INNER_PORTS: [u16; 2] = [7010, 7025];
/// Limit on the time from SIGTERM to the end of a process.
pub const GRACE_S: u64 = 8;
/// Limit on the time from the acknowledgement of a change until it is in force.
pub const APPLY_MS: u64 = 4000;
/// Zones with their regions; processes are assigned to them in turn.
const ZONES: [(&str, &str); 3] = [("a", "north"), ("b", "north"), ("c", "south")];

/// Whether a process is a core or an edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessRole {
    Core,
    Edge,
}

/// Memory and descriptors of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Usage {
    pub resident_kb: u64,
    pub descriptors: u64,
}

/// One process of the fleet; its index in the fleet never changes.
pub struct Process {
    pub index: usize,
    pub role: ProcessRole,
    pub name: String,
    ip: Ipv4Addr,
    zone: usize,
    child: Mutex<Option<Child>>,
    started_before: Mutex<bool>,
    /// Between SIGSTOP and SIGCONT.
    paused: AtomicBool,
}

/// All processes and the folder of their settings, data and logs; kills them on drop.
pub struct ProcessFleet {
    pub processes: Vec<Process>,
    program: PathBuf,
    root: PathBuf,
    provider: SocketAddr,
    records: Arc<Records>,
}

/// The platform's program, searched in the folders above the running executable.
fn program() -> io::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let found = own.ancestors().map(|dir| dir.join("platform"));
    let mut found = found.filter(|path| path.is_file());
    let reason = "build the workspace first: cargo build --workspace";
    found
        .next()
        .ok_or_else(|| io::Error::new(io::ErrorKind::NotFound, reason))
}

impl Process {
    pub fn edge_addr(&self) -> SocketAddr {
        (self.ip, EDGE_PORT).into()
    }

    pub fn operator_addr(&self) -> SocketAddr {
        (self.ip, OPERATOR_PORT).into()
    }

    pub fn ready_addr(&self) -> SocketAddr {
        (self.ip, READY_PORT).into()
    }

    /// Whether it was paused and has not been resumed since.
    pub fn is_paused(&self) -> bool {
        self.paused.load(Ordering::Relaxed)
    }

    fn pid(&self) -> Option<u32> {
        lock(&self.child).as_ref().map(Child::id)
    }

    /// The current usage; `None` if it does not run.
    pub fn usage(&self) -> Option<Usage> {
        let folder = PathBuf::from(format!("/proc/{}", self.pid()?));
        let status = fs::read_to_string(folder.join("status")).ok()?;
        let resident = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let resident_kb = resident
            .trim()
            .trim_end_matches(" kB")
            .trim()
            .parse()
            .ok()?;
        let descriptors = fs::read_dir(folder.join("fd")).ok()?.count() as u64;
        Some(Usage {
            resident_kb,
            descriptors,
        })
    }
}

impl ProcessFleet {
    /// Creates the fleet without starting processes. `network` is the second octet of
    /// their loopback addresses.
    ///
    /// # Errors
    /// The program is not built, or the folder cannot be written.
    pub fn new(
        root: &Path,
        network: u8,
        (cores, edges): (usize, usize),
        provider: SocketAddr,
        records: Arc<Records>,
    ) -> io::Result<ProcessFleet> {
        fs::create_dir_all(root)?;
        let roles = std::iter::repeat_n(ProcessRole::Core, cores)
            .chain(std::iter::repeat_n(ProcessRole::Edge, edges));
        let process = |(index, role)| {
            let number = index as u16 + 1;
            let [high, low] = number.to_be_bytes();
            let name = match role {
                ProcessRole::Core => format!("core-{index}"),
                ProcessRole::Edge => format!("edge-{index}"),
            };
            Process {
                index,
                role,
                name,
                ip: Ipv4Addr::new(127, network, high, low),
                zone: index % ZONES.len(),
                child: Mutex::new(None),
                started_before: Mutex::new(false),
                paused: AtomicBool::new(false),
            }
        };
        Ok(ProcessFleet {
            processes: roles.enumerate().map(process).collect(),
            program: program()?,
            root: root.to_path_buf(),
            provider,
            records,
        })
    }

    pub fn with_role(&self, role: ProcessRole) -> impl Iterator<Item = &Process> {
        self.processes.iter().filter(move |p| p.role == role)
    }

    fn data_folder(&self, process: &Process) -> PathBuf {
        self.root.join("data").join(&process.name)
    }

    /// Where a process writes its log.
    pub fn log_file(&self, process: &Process) -> PathBuf {
        self.root.join(format!("{}.log", process.name))
    }

    fn settings(&self, process: &Process, first_start: bool) -> String {
        let (zone, region) = ZONES[process.zone];
        let seeds: Vec<String> = self
            .with_role(ProcessRole::Core)
            .take(3)
            .map(|core| core.operator_addr().to_string())
            .collect();
        let ip = IpAddr::from(process.ip);
        let role = match process.role {
            ProcessRole::Core => format!(
                "datadir = {:?}\nbootstrap = {first_start}\n[listen]\nctl = \"{ip}:{OPERATOR_PORT}\"\n",
                self.data_folder(process)
            ),
            ProcessRole::Edge => format!(
                "bootstrap = {first_start}\n[listen]\nedge = \"{ip}:{EDGE_PORT}\"\nreadyz = \"{ip}:{READY_PORT}\"\ndir = \"{ip}:{DIRECTORY_PORT}\"\n"
            ),
        };
        let azs: String = ZONES
            .iter()
            .map(|(zone, region)| format!("{zone} = \"{region}\"\n"))
            .collect();
        format!(
            "node = \"{}\"\nip = \"{ip}\"\naz = \"{zone}\"\nrgn = \"{region}\"\nportRange = {INNER_PORTS:?}\nseeds = {seeds:?}\nvoting = true\n{role}[azs]\n{azs}[lim]\nramMb = 256\nnofile = 4100\n[tolerate]\nnodes = 1\nazs = 1\n[bounds]\ncontactMs = 4000\nackMs = 6000\ndrainMs = 4000\ngraceS = {GRACE_S}\napplyMs = {APPLY_MS}\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 200\n[provider]\naddr = \"{}\"\nratePerS = 50.0\nlagMs = 300\n",
            process.name, self.provider
        )
    }

    /// Starts a process, unless it runs.
    ///
    /// # Errors
    /// The folder cannot be written, or the program cannot be started.
    pub fn start(&self, process: &Process) -> io::Result<()> {
        let mut child = lock(&process.child);
        if child.is_some() {
            return Ok(());
        }
        let first_start = !std::mem::replace(&mut *lock(&process.started_before), true);
        let settings = self.root.join(format!("{}.toml", process.name));
        fs::write(&settings, self.settings(process, first_start))?;
        fs::create_dir_all(self.data_folder(process))?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.log_file(process))?;
        let role = match process.role {
            ProcessRole::Core => "core",
            ProcessRole::Edge => "edge",
        };
        self.records.disturb(process.index, Disturbance::Unplanned);
        let started = Command::new(&self.program)
            .arg(role)
            .env("SORRELDOOR_SETTINGS", &settings)
            .env("ASYNC_STD_THREAD_COUNT", "2")
            .env("RUST_LOG", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        *child = Some(started);
        Ok(())
    }

    /// Sends a signal by name to a process of this fleet, if it runs.
    pub fn signal(&self, process: &Process, signal: &str) {
        let Some(pid) = process.pid() else { return };
        let kind = match signal {
            "TERM" | "HUP" => Disturbance::Planned,
            _ => Disturbance::Unplanned,
        };
        self.records.disturb(process.index, kind);
        process.paused.store(signal == "STOP", Ordering::Relaxed);
        let _ = Command::new("kill")
            .args(["-s", signal, &pid.to_string()])
            .status();
    }

    /// Kills a process with SIGKILL and waits for its end.
    pub fn kill(&self, process: &Process) {
        self.records.disturb(process.index, Disturbance::Unplanned);
        let begun_at = self.records.now();
        if let Some(mut child) = lock(&process.child).take() {
            let _ = child.kill();
            let sent_at = self.records.now();
            let _ = child.wait();
            let ended_at = self.records.now();
            if ended_at - begun_at > SLOW_KILL_MS {
                let name = &process.name;
                eprintln!("kill of {name} begun at {begun_at} ms, sent at {sent_at} ms, ended at {ended_at} ms");
            }
        }
    }

    /// Whether a process does not run; reaps it if it has ended.
    pub fn has_ended(&self, process: &Process) -> bool {
        let mut child = lock(&process.child);
        let ended = match child.as_mut() {
            Some(child) => matches!(child.try_wait(), Ok(Some(_)) | Err(_)),
            None => true,
        };
        if ended {
            *child = None;
        }
        ended
    }

    /// Waits for the end of a process that was sent SIGTERM, and kills it after the grace
    /// period; true if it ended by itself.
    pub async fn wait_for_end(&self, process: &Process) -> bool {
        let deadline = Instant::now() + Duration::from_secs(GRACE_S);
        while Instant::now() < deadline {
            if self.has_ended(process) {
                return true;
            }
            async_std::task::sleep(Duration::from_millis(20)).await;
        }
        self.kill(process);
        false
    }

    /// Deletes the data folder of a core that does not run.
    pub fn wipe(&self, process: &Process) {
        let _ = fs::remove_dir_all(self.data_folder(process));
    }
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        self.processes.iter().for_each(|process| self.kill(process));
    }
}
