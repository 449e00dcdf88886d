//! Fault injection on the real processes of a fleet: start, stop, signal,
//! replace and partition nodes, and make their clocks and disks fail.

use crate::fleet::{node, Fleet, ReservedPorts};
use std::net::SocketAddr;
use std::process::{Command, Stdio};

impl Fleet {
    pub fn spawn(&mut self, i: usize) {
        let n = &mut self.nodes[i];
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.root.join(format!("{}.log", n.name)))
            .expect("the fleet's folder can be written");
        let role = if n.core { "core" } else { "edge" };
        // a write beyond a limit must fail, as on a full disk, not kill
        let mut run = Command::new("sh");
        run.args(["-c", "trap '' XFSZ; exec \"$0\" \"$@\""]);
        if self.faulty_nodes {
            let tricks = self.root.join(format!("{}.tricks", n.name));
            run.arg(self.binary.with_file_name("testbed"))
                .args(["node", "--role", role, "--settings"])
                .arg(&n.file)
                .arg("--tricks")
                .arg(tricks);
        } else {
            run.arg(&self.binary)
                .args([role, "--settings"])
                .arg(&n.file);
        }
        let child = run
            .envs(self.envs.iter().map(|(k, v)| (k, v)))
            .env("ASYNC_STD_THREAD_COUNT", "2")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the product's program can be started");
        n.child = Some(child);
    }

    /// Lay out a blank core in a lost one's zone, at a new address.
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

    pub fn kill(&mut self, i: usize) {
        if let Some(mut c) = self.nodes[i].child.take() {
            let _ = c.kill();
            let _ = c.wait();
        }
    }

    /// Send a signal by name to one of this fleet's own children.
    pub fn signal(&self, i: usize, sig: &str) {
        if let Some(c) = &self.nodes[i].child {
            let _ = Command::new("kill")
                .args(["-s", sig, &c.id().to_string()])
                .status();
        }
    }

    /// From now on no write of this child beyond a file's first bytes succeeds.
    pub fn limit_file_size(&self, i: usize) {
        if let Some(c) = &self.nodes[i].child {
            let _ = Command::new("prlimit")
                .args(["--pid", &c.id().to_string(), "--fsize=64:64"])
                .status();
        }
    }

    /// From now on a node's clock and disk fail as this says (see
    /// [`crate::faulty_node`]).
    pub fn set_node_faults(&self, i: usize, answer: &str) {
        let file = self.root.join(format!("{}.tricks", self.nodes[i].name));
        std::fs::write(file, answer).expect("the fleet's folder can be written");
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

    /// Stop a node as its platform would, and wait until it has ended.
    pub fn stop(&mut self, i: usize) -> Option<i32> {
        self.signal(i, "TERM");
        let mut c = self.nodes[i].child.take()?;
        c.wait().ok().and_then(|s| s.code())
    }
}
