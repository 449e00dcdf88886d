//! The machines: each has a loopback address of its own, and runs the roles of the deploy file
//! as separate processes.

use crate::record::Record;
use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Ports, alike on all machines.
const EDGE_PORT: u16 = 8161;
const DIRECTORY_PORT: u16 = 8164;
const OPERATOR_PORT: u16 = 8166;
const READY_PORT: u16 = 8167;
/// Zones with their regions; one machine with a disk stands in each.
const ZONES: [(&str, &str); 3] = [
    ("ausspannplatz-hall", "khomas"),
    ("walvis-hall", "erongo"),
    ("klein-windhoek", "khomas"),
];
pub const MACHINES: usize = ZONES.len();
/// Bounds of the site.
pub const CONTACT_MS: u64 = 4000;
pub const ACK_MS: u64 = 5000;
pub const GRACE_MS: u64 = 8000;

/// A role of the deploy file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Core,
    Edge,
}

impl Role {
    fn name(self) -> &'static str {
        match self {
            Role::Core => "core-on-edge",
            Role::Edge => "edge",
        }
    }
}

/// All machines; their processes are killed when it is dropped.
pub struct Fleet {
    root: PathBuf,
    network: u8,
    provider: SocketAddr,
    /// The command of each role, as the deploy file gives it.
    commands: [Vec<String>; 2],
    processes: Vec<(usize, Role, Child)>,
    record: Record,
}

/// The words of the `run` line of a role.
fn command_of(deploy: &str, role: Role) -> Option<Vec<String>> {
    let (_, section) = deploy.split_once(&format!("[roles.{}]", role.name()))?;
    let line = section.lines().find(|line| line.starts_with("run = "))?;
    let words = line.trim_start_matches("run = ").trim_matches('"');
    Some(words.split(' ').map(str::to_string).collect())
}

impl Fleet {
    /// Finds free loopback addresses; nothing is started yet.
    pub fn new(provider: SocketAddr, record: &Record) -> Result<Fleet, String> {
        let deploy = fs::read_to_string("deploy/system.toml").map_err(|e| e.to_string())?;
        let command = |role| command_of(&deploy, role).ok_or("a role is not in the deploy file");
        let commands = [command(Role::Core)?, command(Role::Edge)?];
        let root = std::env::temp_dir().join(format!("sorreldoor-review-{}", std::process::id()));
        fs::create_dir_all(&root).map_err(|e| e.to_string())?;
        let first = 20 + (std::process::id() % 200) as u8;
        let free = |network: &u8| {
            let ports = [EDGE_PORT, DIRECTORY_PORT, OPERATOR_PORT, READY_PORT];
            let address = Ipv4Addr::new(127, *network, 0, 1);
            ports
                .iter()
                .all(|port| TcpListener::bind((address, *port)).is_ok())
        };
        let network = (first..=u8::MAX).find(free).ok_or("no free addresses")?;
        Ok(Fleet {
            root,
            network,
            provider,
            commands,
            processes: Vec::new(),
            record: record.clone(),
        })
    }

    /// The zones of the site.
    pub fn zone(machine: usize) -> &'static str {
        ZONES[machine].0
    }

    fn ip(&self, machine: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network, 0, machine as u8 + 1)
    }

    /// Where a machine's core takes the operator's calls.
    pub fn operator_addr(&self, machine: usize) -> SocketAddr {
        (self.ip(machine), OPERATOR_PORT).into()
    }

    /// Where a machine's edge takes clients' requests.
    pub fn edge_addr(&self, machine: usize) -> SocketAddr {
        (self.ip(machine), EDGE_PORT).into()
    }

    /// Where a machine's edge answers look-ups.
    pub fn directory_addr(&self, machine: usize) -> SocketAddr {
        (self.ip(machine), DIRECTORY_PORT).into()
    }

    fn folder(&self, machine: usize, role: Role) -> PathBuf {
        self.root.join(format!("{machine}-{}", role.name()))
    }

    fn settings(&self, machine: usize, role: Role, bootstrap: bool) -> String {
        let ip = self.ip(machine);
        let (zone, region) = ZONES[machine];
        let seeds: Vec<String> = (0..MACHINES)
            .map(|m| self.operator_addr(m).to_string())
            .collect();
        let azs: Vec<String> = ZONES
            .iter()
            .map(|(z, r)| format!("{z} = \"{r}\""))
            .collect();
        let serves = match role {
            Role::Core => "[\"ctl\"]",
            Role::Edge => "[\"edge\",\"dir\"]",
        };
        let listen = match role {
            Role::Core => format!("ctl = \"{ip}:{OPERATOR_PORT}\""),
            Role::Edge => format!(
                "edge = \"{ip}:{EDGE_PORT}\"\nreadyz = \"{ip}:{READY_PORT}\"\ndir = \"{ip}:{DIRECTORY_PORT}\""
            ),
        };
        let data = self.folder(machine, role).join("data");
        format!(
            "node = \"edge-{zone}-1\"\nrole = \"{}\"\nmclass = \"edge\"\nserves = {serves}\nip = \"{ip}\"\naz = \"{zone}\"\nrgn = \"{region}\"\nportRange = [7720,7735]\nseeds = {seeds:?}\nbootstrap = {bootstrap}\nvoting = true\ndatadir = {data:?}\ndiscovery = \"api\"\ningress = \"dir\"\nhbMs = 1200\ninvariants = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"places\"]\n[azs]\n{}\n[listen]\n{listen}\n[lim]\ncpuFrac = 0.45\nncpu = 1\nramMb = 260\nnofile = 4100\nnetMbps = 1000.0\ndiskMb = 64\n[tolerate]\nnodes = 1\nazs = 1\nrgns = 0\n[bounds]\nseedLagS = 3\nreuseS = 2\ncontactMs = {CONTACT_MS}\nackMs = {ACK_MS}\nsyncS = 4\ndrainMs = 4000\ngraceS = {}\nlossMs = 200\napplyMs = 3000\ndowngradeMs = 250\nstretchMs = 6000\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 64\nwarmupExcess = 1.5\nwarmupSlack = 5\nevacMs = 5000\nrecoverS = 12\npassMs = 400\nttl_max_s = 5\n[provider]\naddr = \"{}\"\nratePerS = 47.0\nduties = []\nlagMs = 800\n",
            role.name(),
            azs.join("\n"),
            GRACE_MS / 1000,
            self.provider,
        )
    }

    /// Starts a process, with the settings of this moment.
    pub fn start(&mut self, machine: usize, role: Role, bootstrap: bool) -> Result<(), String> {
        let folder = self.folder(machine, role);
        let text = |e: std::io::Error| e.to_string();
        fs::create_dir_all(folder.join("data")).map_err(text)?;
        let settings = folder.join("boot.toml");
        fs::write(&settings, self.settings(machine, role, bootstrap)).map_err(text)?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join("log"));
        let words = &self.commands[usize::from(role == Role::Edge)];
        let kept = ["PATH", "HOME", "LANG"];
        let child = Command::new(&words[0])
            .args(&words[1..])
            .env_clear()
            .envs(std::env::vars().filter(|(name, _)| kept.contains(&name.as_str())))
            .env("SORRELDOOR_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.map_err(text)?)
            .spawn()
            .map_err(|e| format!("{}: {e}", words[0]))?;
        self.record.write(&format!(
            "start {} on machine {machine} (bootstrap = {bootstrap}): process {}",
            role.name(),
            child.id()
        ));
        self.processes.push((machine, role, child));
        Ok(())
    }

    /// Starts all processes for the first time.
    pub fn start_all(&mut self) -> Result<(), String> {
        for machine in 0..MACHINES {
            self.start(machine, Role::Core, true)?;
            self.start(machine, Role::Edge, true)?;
        }
        Ok(())
    }

    /// Kills a process with SIGKILL.
    pub fn kill(&mut self, machine: usize, role: Role) {
        let matches = |p: &(usize, Role, Child)| p.0 == machine && p.1 == role;
        if let Some(position) = self.processes.iter().position(matches) {
            let (_, _, mut child) = self.processes.swap_remove(position);
            self.record.write(&format!(
                "SIGKILL to {} on machine {machine}: process {}",
                role.name(),
                child.id()
            ));
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends SIGTERM to both processes of a machine.
    pub fn terminate(&mut self, machine: usize) {
        for (_, role, child) in self.processes.iter().filter(|p| p.0 == machine) {
            self.record.write(&format!(
                "SIGTERM to {} on machine {machine}: process {}",
                role.name(),
                child.id()
            ));
            let _ = Command::new("sh")
                .args(["-c", &format!("kill -s TERM {}", child.id())])
                .status();
        }
    }

    /// Whether a process has ended; records when that is seen first.
    pub fn has_ended(&mut self, machine: usize, role: Role) -> bool {
        let matches = |p: &(usize, Role, Child)| p.0 == machine && p.1 == role;
        let Some(position) = self.processes.iter().position(matches) else {
            return true;
        };
        let Ok(Some(status)) = self.processes[position].2.try_wait() else {
            return false;
        };
        self.processes.swap_remove(position);
        let name = role.name();
        self.record.write(&format!(
            "{name} on machine {machine} has ended by itself: {status}"
        ));
        true
    }

    /// Fails if a process has ended by itself.
    pub fn check_running(&mut self) -> Result<(), String> {
        for (machine, role, child) in &mut self.processes {
            if let Ok(Some(status)) = child.try_wait() {
                return Err(format!(
                    "{} on machine {machine} has ended: {status}",
                    role.name()
                ));
            }
        }
        Ok(())
    }

    /// Copies what the processes have logged into the record.
    pub fn record_logs(&self) {
        for machine in 0..MACHINES {
            for role in [Role::Core, Role::Edge] {
                let log = fs::read_to_string(self.folder(machine, role).join("log"));
                for line in log.unwrap_or_default().lines().take(20) {
                    self.record.write(&format!(
                        "log of {} on machine {machine}: {line}",
                        role.name()
                    ));
                }
            }
        }
    }

    fn root(&self) -> &Path {
        &self.root
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, _, child) in &mut self.processes {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = fs::remove_dir_all(self.root());
    }
}
