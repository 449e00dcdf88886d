//! Polls of the platform's worker list and of the workers' loads. Each result is
//! sent to the controller as an event.

use super::events::{ControllerEvent, WorkerAddress};
use super::integration::WorkerSource;
use crate::discovery::{self, Load};
use crate::http::{self, Call};
use crate::runtime::EventSender;
use crate::settings::Settings;
use async_std::task;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time within which a live worker reports its load.
const LOAD_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum size of a load report.
const MAX_LOAD_BYTES: usize = 1 << 16;

/// Reads the list of workers once; false if the controller has stopped.
pub(super) async fn read_workers(
    source: Arc<dyn WorkerSource>,
    events: EventSender<ControllerEvent>,
) -> bool {
    let result = source.poll().await;
    let event = ControllerEvent::WorkerListRead(result);
    events.send(event).await.is_ok()
}

/// Reads the list of workers periodically until the controller stops.
pub(super) async fn watch_workers(
    source: Arc<dyn WorkerSource>,
    events: EventSender<ControllerEvent>,
) {
    while read_workers(source.clone(), events.clone()).await {
        task::sleep(Duration::from_millis(source.poll_interval_ms())).await;
    }
}

/// Polls the loads of all workers concurrently.
pub(super) async fn poll_loads(
    settings: Arc<Settings>,
    epoch: u64,
    workers: Vec<WorkerAddress>,
    events: EventSender<ControllerEvent>,
) {
    let poll = |worker: WorkerAddress| {
        let address = settings.dial_address(worker.address);
        task::spawn(poll_load(address, worker.name))
    };
    let polls: Vec<_> = workers.into_iter().map(poll).collect();
    let mut loads = Vec::new();
    for poll in polls {
        loads.push(poll.await);
    }
    let _ = events
        .send(ControllerEvent::LoadsPolled { epoch, loads })
        .await;
}

/// The load of one worker; not live without a valid report in time.
async fn poll_load(address: SocketAddr, name: String) -> Load {
    let result = http::call(address, Call::get("/load"), MAX_LOAD_BYTES, LOAD_TIMEOUT).await;
    let response = result.ok().filter(|response| response.status == 200);
    let load = response.and_then(|r| discovery::read_load(&r.body, &name).ok());
    load.unwrap_or(Load {
        name,
        ..Load::default()
    })
}
