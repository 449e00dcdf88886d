//! Fault injection on the real processes of a fleet: start, stop, signal,
//! replace and partition nodes, and make their clocks and disks fail.

use crate::fleet::{node, Fleet, ReservedPorts};
use std::net::SocketAddr;
use std::process::{Command, Stdio};

impl Fleet {
    /// Starts the process of a node.
    pub fn spawn(&mut self, i: usize) {
        let n = &mut self.nodes[i];
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.root.join(format!("{}.log", n.name)))
            .expect("the fleet's folder can be written");
        let role = if n.core { "core" } else { "edge" };
        // a write beyond the file size limit fails, as on a full disk, instead of
        // killing the process
        let mut command = Command::new("sh");
        command.args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""]);
        if self.faulty_nodes {
            let faults = self.root.join(format!("{}.tricks", n.name));
            command
                .arg(self.binary.with_file_name("testbed"))
                .args(["node", "--role", role, "--settings"])
                .arg(&n.file)
                .arg("--tricks")
                .arg(faults);
        } else {
            command
                .arg(&self.binary)
                .args([role, "--settings"])
                .arg(&n.file);
        }
        let child = command
            .envs(self.envs.iter().map(|(k, v)| (k, v)))
            .env("ASYNC_STD_THREAD_COUNT", "2")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the product's program can be started");
        n.child = Some(child);
    }

    /// Adds a core with an empty disk in the zone of a lost one, at a new address; returns
    /// its index. It is not started.
    pub fn replace(&mut self, lost: usize) -> usize {
        let mut ports = ReservedPorts::default();
        let (zone, region) = (
            self.nodes[lost].zone.clone(),
            self.nodes[lost].region.clone(),
        );
        let name = format!("{}-new", self.nodes[lost].name);
        let n = node(&self.root, &mut ports, name, true, &zone, &region);
        self.nodes.push(n);
        let i = self.nodes.len() - 1;
        let seeds: Vec<SocketAddr> = self.nodes.iter().take(i).filter_map(|n| n.listen).collect();
        self.write(i, &seeds, &[]);
        i
    }

    /// Kills a node with SIGKILL and waits for its end.
    pub fn kill(&mut self, i: usize) {
        if let Some(mut c) = self.nodes[i].child.take() {
            let _ = c.kill();
            let _ = c.wait();
        }
    }

    /// Sends a signal by name to a node, if it runs.
    pub fn signal(&self, i: usize, sig: &str) {
        if let Some(c) = &self.nodes[i].child {
            let _ = Command::new("kill")
                .args(["-s", sig, &c.id().to_string()])
                .status();
        }
    }

    /// Makes every write of a node beyond the first 64 bytes of a file fail.
    pub fn limit_file_size(&self, i: usize) {
        if let Some(c) = &self.nodes[i].child {
            let _ = Command::new("prlimit")
                .args(["--pid", &c.id().to_string(), "--fsize=64:64"])
                .status();
        }
    }

    /// Sets the clock and disk faults of a node, as JSON (see [`crate::faulty_node`]).
    pub fn set_node_faults(&self, i: usize, faults: &str) {
        let file = self.root.join(format!("{}.tricks", self.nodes[i].name));
        std::fs::write(file, faults).expect("the fleet's folder can be written");
    }

    /// Blocks or unblocks the links between nodes and cores of different regions.
    pub fn partition_regions(&self, on: bool) {
        for n in &self.nodes {
            for (core, l) in &n.links {
                let to = &self.nodes[self.node(core)];
                if to.region != n.region {
                    l.set_blocked(on);
                }
            }
        }
    }

    /// Stops a node with SIGTERM and waits for its end; returns its exit code.
    pub fn stop(&mut self, i: usize) -> Option<i32> {
        self.signal(i, "TERM");
        let mut c = self.nodes[i].child.take()?;
        c.wait().ok().and_then(|s| s.code())
    }
}
