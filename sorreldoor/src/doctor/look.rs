//! Gathering: a frame's worth of each seed, a probe of the disk, each core's
//! status over HTTP.

use crate::http::{self, Call};
use crate::json::{self, Value};
use crate::settings::Settings;
use crate::store::probe_directory;
use crate::wire::{self, Hello, Payload, Refused};
use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use async_std::task;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const WITHIN: Duration = Duration::from_secs(2);

#[derive(Clone, Debug, PartialEq)]
pub enum Seed {
    Unreached,
    OtherSite(String),
    OtherProtocol(u16),
    Core(Box<Hello>),
}

#[derive(Clone, Debug)]
pub struct Disk {
    pub sync_ms: Result<u64, String>,
    pub free_percent: Option<u64>,
}

/// All that was seen, for the checks.
#[derive(Clone, Debug, Default)]
pub struct Seen {
    pub seeds: Vec<(String, Seed)>,
    pub disk: Option<Disk>,
    /// Status of each core, by name.
    pub cores: Vec<(String, Value)>,
    pub unread: Vec<String>,
    pub wall_ms: i64,
}

pub fn look(s: &Settings) -> Seen {
    let mut seen = Seen {
        disk: s.data.as_deref().map(disk),
        ..Seen::default()
    };
    for a in &s.seeds {
        let to = s.dial_address(*a);
        let found = task::block_on(seed(to, &s.site_fingerprint()));
        seen.seeds.push((a.to_string(), found));
    }
    let cores: Vec<Hello> = seen
        .seeds
        .iter()
        .filter_map(|(_, f)| match f {
            Seed::Core(h) => Some((**h).clone()),
            _ => None,
        })
        .collect();
    for h in cores {
        match status(s, &h) {
            Some(v) => seen.cores.push((h.node, v)),
            None => seen.unread.push(h.node),
        }
    }
    seen.wall_ms = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_millis() as i64);
    seen
}

/// What a core says of itself first, on any connection.
async fn seed(to: SocketAddr, mark: &str) -> Seed {
    let got = timeout(WITHIN, async {
        let mut s = TcpStream::connect(to).await.ok()?;
        let mut head = [0; 4];
        s.read_exact(&mut head).await.ok()?;
        let n = wire::length(head).ok()?;
        let mut b = vec![0; n];
        s.read_exact(&mut b).await.ok()?;
        Some(b)
    })
    .await
    .ok()
    .flatten();
    match got.map(|b| wire::unpack(mark, &b)) {
        Some(Ok(Payload::Hello(h))) => Seed::Core(Box::new(h)),
        Some(Err(Refused::Site(m))) => Seed::OtherSite(format!("mark {m:x}")),
        Some(Err(Refused::Protocol(p))) => Seed::OtherProtocol(p),
        _ => Seed::Unreached,
    }
}

fn status(s: &Settings, h: &Hello) -> Option<Value> {
    let at: SocketAddr = h.http.parse().ok()?;
    let within = WITHIN + Duration::from_millis(s.ack_ms * 3);
    let c = http::call(
        s.dial_address(at),
        Call::get("/v1/status"),
        16 << 20,
        within,
    );
    let c = task::block_on(c).ok().filter(|c| c.status == 200)?;
    json::parse(&c.body, usize::MAX).ok()
}

fn disk(dir: &Path) -> Disk {
    let began = Instant::now();
    let tried = probe_directory(dir);
    let sync_ms = tried
        .map(|()| began.elapsed().as_millis() as u64)
        .map_err(|e| e.to_string());
    let free_percent = rustix::fs::statvfs(dir)
        .ok()
        .filter(|v| v.f_blocks > 0)
        .map(|v| v.f_bavail * 100 / v.f_blocks);
    Disk {
        sync_ms,
        free_percent,
    }
}
