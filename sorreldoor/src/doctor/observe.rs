//! Gathering what the checks need: the first frame of each seed, a probe of
//! the disk, and each core's status over HTTP.

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

/// How long one connection may take.
const TIMEOUT: Duration = Duration::from_secs(2);
/// The largest status that is read, in bytes.
const MAX_STATUS_BYTES: usize = 16 << 20;
/// A status may take this many times as long as an acknowledgement.
const ACKS_PER_STATUS: u64 = 3;

/// What was found at a seed address.
#[derive(Clone, Debug, PartialEq)]
pub enum SeedStatus {
    /// No connection, or no frame that can be read, within the time-out.
    Unreached,
    /// A core of another site; the fingerprint of that site as text.
    OtherSite(String),
    /// A core of another version of the protocol, with that version.
    OtherProtocol(u16),
    /// A core of this site, as it introduces itself.
    Core(Box<Hello>),
}

/// What was found of the data folder.
#[derive(Clone, Debug)]
pub struct DiskStatus {
    /// How long a sync of one file took, in milliseconds, or why it failed.
    pub sync_ms: Result<u64, String>,
    /// Free space that unprivileged processes may use; none: unknown.
    pub free_percent: Option<u64>,
}

/// All that was observed, for the checks.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Each seed by its address.
    pub seeds: Vec<(String, SeedStatus)>,
    /// `None` for a node without a data folder.
    pub disk: Option<DiskStatus>,
    /// The status of each core, by name.
    pub cores: Vec<(String, Value)>,
    /// Cores whose status could not be read.
    pub unread: Vec<String>,
    /// This machine's clock, in milliseconds since the Unix epoch.
    pub wall_ms: i64,
}

/// Observes the site around a node with these settings; blocks.
#[must_use]
pub fn observe(settings: &Settings) -> Observations {
    let mut observations = Observations {
        disk: settings.data.as_deref().map(probe_disk),
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
            None => observations.unread.push(core.node),
        }
    }
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    observations.wall_ms = since_epoch.map_or(0, |elapsed| elapsed.as_millis() as i64);
    observations
}

/// Reads the `Hello` that a core sends first on any connection.
async fn probe_seed(address: SocketAddr, site: &str) -> SeedStatus {
    let frame = timeout(TIMEOUT, read_frame(address)).await.ok().flatten();
    match frame.map(|frame| wire::decode_frame(site, &frame)) {
        Some(Ok(Payload::Hello(hello))) => SeedStatus::Core(Box::new(hello)),
        Some(Err(FrameError::SiteMismatch(hash))) => {
            SeedStatus::OtherSite(format!("mark {hash:x}"))
        }
        Some(Err(FrameError::ProtocolMismatch(version))) => SeedStatus::OtherProtocol(version),
        _ => SeedStatus::Unreached,
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
    let limit = TIMEOUT + Duration::from_millis(settings.ack_ms * ACKS_PER_STATUS);
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
