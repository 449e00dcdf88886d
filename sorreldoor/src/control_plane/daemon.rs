//! The daemon of a core: starts the threads, tasks and queues around the
//! controller, and carries out its effects.

use super::api::HttpOperatorServer;
use super::client::{ControllerClient, ControllerReply, StateSnapshot};
use super::controller::Controller;
use super::events::{ControllerConfig, ControllerEffect, ControllerEvent};
use super::integration::{bind, HttpWorkerSource, OperatorServer, WorkerSource};
use super::membership::MembershipPolicy;
use super::polling::{poll_loads, read_workers, watch_workers};
use super::storage_driver::{self, StorageDriver};
use crate::consensus::Member;
use crate::http;
use crate::ids::random_id;
use crate::log_events::{log_event, LogEvent};
use crate::metrics::{self, CORE_METRICS};
use crate::net::{Net, NetEvent};
use crate::replicated_state::decode;
use crate::runtime::{self, EffectHandler, EventSender};
use crate::settings::Settings;
use crate::start_error::{NoListenAddressSnafu, SignalsSnafu, StartError};
use crate::store::{Directory, DurableStore, Store};
use crate::wire::Hello;
use async_std::net::TcpListener;
use async_std::task;
use simd_json::prelude::*;
use snafu::{OptionExt, ResultExt};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Interval at which the metrics are published.
const METRICS_INTERVAL: Duration = Duration::from_millis(500);
/// Maximum number of events queued for the controller.
const MAX_QUEUED_EVENTS: usize = 4096;
/// Time for which a stopping core runs on, so that it can replicate what it has
/// just acknowledged.
const STOP_DELAY: Duration = Duration::from_millis(300);
/// Further time for open HTTP requests to complete.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// Runs a core until the process receives a signal to stop.
///
/// # Errors
/// If the core cannot start.
pub fn run(settings: Settings) -> Result<(), StartError> {
    run_with_store(settings, runtime::SystemClock::default(), |store| store)
}

/// Like [`run`], with the given clock and a wrapper around the store.
///
/// # Errors
/// If the core cannot start.
pub fn run_with_store<C, S>(
    settings: Settings,
    clock: C,
    wrap_store: impl FnOnce(DurableStore<Directory>) -> S,
) -> Result<(), StartError>
where
    C: runtime::Clock + Send + Sync + 'static,
    S: Store + 'static,
{
    let shared = Arc::new(settings.clone());
    let source = settings.platform.map(|address| {
        let settings = shared.clone();
        Arc::new(HttpWorkerSource { settings, address }) as Arc<dyn WorkerSource>
    });
    let server = HttpOperatorServer { settings: shared };
    run_with_integrations(settings, clock, wrap_store, source, server)
}

/// Like [`run_with_store`], with the list of workers from `source`, and operators'
/// requests served by `server` instead of the product's own HTTP interface.
///
/// # Errors
/// If the core cannot start.
pub fn run_with_integrations<C, S>(
    settings: Settings,
    clock: C,
    wrap_store: impl FnOnce(DurableStore<Directory>) -> S,
    source: Option<Arc<dyn WorkerSource>>,
    server: impl OperatorServer,
) -> Result<(), StartError>
where
    C: runtime::Clock + Send + Sync + 'static,
    S: Store + 'static,
{
    let settings = Arc::new(settings);
    let mut store = storage_driver::open(&settings.data_dir.clone().unwrap_or_default())?;
    let founding_seeds = storage_driver::founding_seeds(&mut store, &settings);
    let id = storage_driver::identity(&mut store);
    let (events, queue) = runtime::event_queue(MAX_QUEUED_EVENTS);
    let address = settings.listen.context(NoListenAddressSnafu)?;
    let listener = bind("listen", address)?;
    let config = ControllerConfig {
        founding_seeds,
        ..controller_config(&settings, &store, id, address, source.as_deref())
    };
    let mut controller = Controller::new(config, store.consensus_state(), 0);
    let net = start_net(&settings, listener, &events);
    let clock = Arc::new(clock);
    let client = ControllerClient::new(events.clone(), clock.clone(), settings.ack_ms);
    let shutdown = http::ShutdownHandle::default();
    let node = &settings.node;
    log_event(LogEvent::Started, format!("core {node} ({id:x})"));
    log_event(LogEvent::Listening, format!("frames {address}"));
    server.start(client.clone(), shutdown.clone())?;
    start_metrics(&settings, &client)?;
    start_event_sources(&settings, source.as_ref(), &events)?;
    let storage = StorageDriver::start(wrap_store(store), events.clone());
    let mut daemon = Daemon {
        net,
        settings,
        client,
        source,
        storage,
        events,
        shutdown,
        stop_at: None,
        next_metrics_at: Instant::now(),
    };
    runtime::run_event_loop(&mut controller, &*clock, &mut daemon, &queue);
    log_event(LogEvent::Stopped, "core");
    Ok(())
}

/// Starts to accept connections of other nodes; their frames become events.
fn start_net(
    settings: &Settings,
    listener: TcpListener,
    events: &EventSender<ControllerEvent>,
) -> Net<ControllerEvent> {
    let net = Net::new(
        settings.site_fingerprint(),
        events.clone(),
        ControllerEvent::Net as fn(NetEvent) -> ControllerEvent,
        settings.max_connections,
    );
    task::spawn(net.clone().listen(listener));
    net
}

/// The controller's configuration, from the settings and the store.
fn controller_config(
    settings: &Settings,
    store: &DurableStore<Directory>,
    id: u64,
    address: SocketAddr,
    source: Option<&dyn WorkerSource>,
) -> ControllerConfig {
    let unversioned = source.filter(|source| !source.is_versioned());
    ControllerConfig {
        own_hello: Hello {
            id,
            node: settings.node.clone(),
            core: true,
            region: settings.region,
            zone: settings.zone,
            addr: address.to_string(),
            http: settings.http.to_string(),
            founded: false,
            incarnation: random_id(),
            learner_only: !settings.voting,
            ..Hello::default()
        },
        site: settings.names.clone(),
        seed_addresses: settings.seeds.clone(),
        peers: settings.peers.clone(),
        founder_count: settings.cores,
        membership_policy: MembershipPolicy::from(settings),
        timing: settings.pacing.timing(settings.ack_ms),
        seed: random_id(),
        promised_founders: store.value("promise").and_then(decode::<Vec<Member>>),
        claims_caught_up: store.value("sure").is_some(),
        max_claims: settings.max_claims,
        founding_seeds: None,
        only_seeds_bootstrap: settings.grow,
        pacing: settings.pacing.clone(),
        worker_poll_ms: unversioned.map(|source| source.poll_interval_ms()),
    }
}

/// Serves the core's metrics if the settings have an endpoint for them.
fn start_metrics(settings: &Settings, client: &ControllerClient) -> Result<(), StartError> {
    let Some(endpoint) = settings.metrics.clone() else {
        return Ok(());
    };
    let listener = bind("metrics", endpoint.address(settings.http.ip()))?;
    let client = client.clone();
    let encode = move || metrics::encode(CORE_METRICS, client.metrics());
    task::spawn(metrics::serve(listener, endpoint, encode));
    Ok(())
}

/// Starts the tasks that send ticks, the stop signal and, if `source` has versions
/// of its own, lists of workers.
fn start_event_sources(
    settings: &Settings,
    source: Option<&Arc<dyn WorkerSource>>,
    events: &EventSender<ControllerEvent>,
) -> Result<(), StartError> {
    let interval = Duration::from_millis(settings.pacing.tick_ms);
    crate::run::start_ticker(events.clone(), interval, || ControllerEvent::Tick);
    crate::run::on_termination(events.clone(), || ControllerEvent::Stop).context(SignalsSnafu)?;
    if let Some(source) = source.filter(|source| source.is_versioned()) {
        task::spawn(watch_workers(source.clone(), events.clone()));
    }
    Ok(())
}

/// Carries out the controller's effects.
struct Daemon<S> {
    net: Net<ControllerEvent>,
    settings: Arc<Settings>,
    client: ControllerClient,
    source: Option<Arc<dyn WorkerSource>>,
    storage: StorageDriver<S>,
    events: EventSender<ControllerEvent>,
    shutdown: http::ShutdownHandle,
    /// When the event loop may end; set once the controller is stopping.
    stop_at: Option<Instant>,
    /// When the metrics are published next.
    next_metrics_at: Instant,
}

impl<S: Store + 'static> EffectHandler<Controller> for Daemon<S> {
    fn keeps_running(&mut self, controller: &Controller) -> bool {
        let endpoints = &controller.endpoints().endpoints;
        self.client.publish_endpoints(endpoints);
        self.publish_metrics(controller);
        if controller.is_stopping() && self.stop_at.is_none() {
            log_event(LogEvent::ShuttingDown, "core");
            self.stop_at = Some(Instant::now() + STOP_DELAY);
            self.shutdown.begin();
        }
        let Some(stop_at) = self.stop_at else {
            return true;
        };
        let drained =
            || self.shutdown.open_connections() == 0 || Instant::now() >= stop_at + DRAIN_TIMEOUT;
        Instant::now() < stop_at || !drained()
    }

    fn handle(&mut self, controller: &mut Controller, effect: ControllerEffect) {
        match effect {
            ControllerEffect::Save(seq, save) => self.storage.save(seq, save),
            ControllerEffect::StoreValue(name, value) => self.storage.put(name, &value),
            ControllerEffect::Send(conn, payload) => {
                self.net.send(conn, &payload);
            }
            ControllerEffect::Connect(address) => {
                self.net.dial(address, self.settings.dial_address(address))
            }
            ControllerEffect::Disconnect(address) => self.net.undial(address),
            ControllerEffect::Close(conn) => self.net.close(conn),
            ControllerEffect::ReadSeeds => {
                if let Some(seeds) = self.settings.read_seeds() {
                    let _ = self.events.try_send(ControllerEvent::SeedsRead(seeds));
                }
            }
            ControllerEffect::ChangeDone {
                request_id,
                outcome,
            } => {
                let reply = ControllerReply::Change(outcome);
                self.client.pending.reply(request_id, reply);
            }
            ControllerEffect::StatusReady {
                request_id,
                confirmed,
            } => {
                let status = controller.status().encode();
                self.reply_state(controller, request_id, confirmed, status);
            }
            ControllerEffect::ViewReady {
                request_id,
                confirmed,
            } => {
                self.reply_state(controller, request_id, confirmed, String::new());
            }
            ControllerEffect::ReadWorkerList => {
                if let Some(source) = self.source.clone() {
                    task::spawn(read_workers(source, self.events.clone()));
                }
            }
            ControllerEffect::PollLoads { epoch, workers } => {
                let (settings, events) = (self.settings.clone(), self.events.clone());
                task::spawn(poll_loads(settings, epoch, workers, events));
            }
            ControllerEffect::Log(event, about) => log_event(event, about),
        }
    }
}

impl<S> Daemon<S> {
    fn publish_metrics(&mut self, controller: &Controller) {
        let now = Instant::now();
        if self.settings.metrics.is_some() && now >= self.next_metrics_at {
            self.next_metrics_at = now + METRICS_INTERVAL;
            self.client.publish_metrics(controller.metrics());
        }
    }

    fn reply_state(
        &self,
        controller: &Controller,
        request_id: u64,
        confirmed: bool,
        status: String,
    ) {
        let consensus = controller.consensus();
        let view = consensus.map(|consensus| consensus.state_machine().view());
        let state = StateSnapshot {
            confirmed,
            disk_ok: consensus.is_none_or(|consensus| !consensus.disk_failed()),
            status,
            view: Box::new(view.unwrap_or_default()),
        };
        let reply = ControllerReply::State(state);
        self.client.pending.reply(request_id, reply);
    }
}
