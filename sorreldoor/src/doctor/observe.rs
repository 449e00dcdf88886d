//! Collects the input of the checks: the first frame that each seed sends, a
//! probe of the disk, and the status of each core over HTTP.

use crate::http::{self, Call};
use crate::json::{self, Value};
use crate::settings::Settings;
use crate::store::probe_directory;
use crate::wire::{self, FrameError, Hello, Payload};
use async_std::future::timeout;
use async_std::io::ReadExt;
use async_std::net::TcpStream;
use async_std::task;
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Limit of probing one seed, from connecting to the end of its first frame.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);
/// Longer statuses count as unreadable.
const MAX_STATUS_BYTES: usize = 16 << 20;
/// Limit of a status call beyond `PROBE_TIMEOUT`, in multiples of `ack_ms`.
const ACKS_PER_STATUS: u64 = 3;

/// The result of probing a seed address.
#[derive(Clone, Debug, PartialEq)]
pub enum SeedStatus {
    /// No connection or no valid frame within the timeout.
    Unreachable,
    /// A core of another site, with the fingerprint of that site as text.
    OtherSite(String),
    /// A core that uses another protocol version.
    OtherProtocol(u16),
    /// A core of this site, with the `Hello` that it sent.
    Core(Box<Hello>),
}

/// The result of probing the data folder.
#[derive(Clone, Debug)]
pub struct DiskStatus {
    /// How long a sync of one file took, in milliseconds, or why it failed.
    pub sync_ms: Result<u64, String>,
    /// Free space for unprivileged processes; `None` if unknown.
    pub free_percent: Option<u64>,
}

/// The input of the checks.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Each seed by its address.
    pub seeds: Vec<(String, SeedStatus)>,
    /// `None` for a node without a data folder.
    pub disk: Option<DiskStatus>,
    /// The status of each core, by name.
    pub cores: Vec<(String, Value)>,
    /// Cores whose status could not be read.
    pub unreadable: Vec<String>,
    /// This machine's clock, in milliseconds since the Unix epoch.
    pub wall_ms: i64,
}

/// Probes the seeds, the disk and the cores of a node with these settings.
/// Blocks until all probes have ended.
#[must_use]
pub fn observe(settings: &Settings) -> Observations {
    let mut observations = Observations {
        disk: settings.data_dir.as_deref().map(probe_disk),
        ..Observations::default()
    };
    let site = settings.site_fingerprint();
    for seed in &settings.seeds {
        let address = settings.dial_address(*seed);
        let status = task::block_on(probe_seed(address, &site));
        observations.seeds.push((seed.to_string(), status));
    }
    let cores = observations.seeds.iter();
    let cores: Vec<Hello> = cores
        .filter_map(|(_, status)| match status {
            SeedStatus::Core(hello) => Some((**hello).clone()),
            _ => None,
        })
        .collect();
    for core in cores {
        match read_status(settings, &core) {
            Some(status) => observations.cores.push((core.node, status)),
            None => observations.unreadable.push(core.node),
        }
    }
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    observations.wall_ms = since_epoch.map_or(0, |elapsed| elapsed.as_millis() as i64);
    observations
}

/// Reads the `Hello` that a core sends first on any connection.
async fn probe_seed(address: SocketAddr, site: &str) -> SeedStatus {
    let frame = timeout(PROBE_TIMEOUT, read_frame(address))
        .await
        .ok()
        .flatten();
    match frame.map(|frame| wire::decode_frame(site, &frame)) {
        Some(Ok(Payload::Hello(hello))) => SeedStatus::Core(Box::new(hello)),
        Some(Err(FrameError::SiteMismatch(hash))) => {
            SeedStatus::OtherSite(format!("fingerprint {hash:x}"))
        }
        Some(Err(FrameError::ProtocolMismatch(version))) => SeedStatus::OtherProtocol(version),
        _ => SeedStatus::Unreachable,
    }
}

async fn read_frame(address: SocketAddr) -> Option<Vec<u8>> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    let mut header = [0; 4];
    stream.read_exact(&mut header).await.ok()?;
    let length = wire::frame_length(header).ok()?;
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await.ok()?;
    Some(frame)
}

fn read_status(settings: &Settings, core: &Hello) -> Option<Value> {
    let address: SocketAddr = core.http.parse().ok()?;
    let address = settings.dial_address(address);
    let limit = PROBE_TIMEOUT + Duration::from_millis(settings.ack_ms * ACKS_PER_STATUS);
    let call = http::call(address, Call::get("/v1/status"), MAX_STATUS_BYTES, limit);
    let response = task::block_on(call).ok()?;
    if response.status != 200 {
        return None;
    }
    json::parse(&response.body, usize::MAX).ok()
}

fn probe_disk(directory: &Path) -> DiskStatus {
    let started = Instant::now();
    let sync_ms = probe_directory(directory)
        .map(|()| started.elapsed().as_millis() as u64)
        .map_err(|error| error.to_string());
    let file_system = rustix::fs::statvfs(directory).ok();
    let free_percent = file_system
        .filter(|stat| stat.f_blocks > 0)
        .map(|stat| stat.f_bavail * 100 / stat.f_blocks);
    DiskStatus {
        sync_ms,
        free_percent,
    }
}
