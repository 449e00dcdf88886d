//! The proxy daemon: sockets, timers and signals, and the loop that drives the
//! controller.

use super::controller::{ControllerEffect, ControllerEvent, ProxyController};
use super::dialect::Dialect;
use super::drain::{Drain, DrainStatus};
use super::listener::accept_connections;
use super::shared_state::SharedState;
use super::status_endpoint::{
    serve_status_endpoint, NodeStatus, RequestHandler, StatusEndpoint, StatusHandler,
};
use crate::balancer::{Balancer, Locality, SiteLimits};
use crate::ids::random_id;
use crate::log_events::{log_event, LogEvent};
use crate::metrics::{self, EDGE_METRICS};
use crate::net::{Net, NetEvent};
use crate::runtime::{event_queue, Clock, EventReceiver, EventSender, Reducer};
use crate::settings::Settings;
use crate::start_error::{BindSnafu, SignalsSnafu, StartError};
use crate::subscription::CoreSubscription;
use crate::types::Millis;
use async_std::future::timeout;
use async_std::net::TcpListener;
use async_std::task;
use snafu::ResultExt;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Capacity of the controller's event queue.
const EVENT_QUEUE_LENGTH: usize = 1024;
/// Time between ticks of the controller.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Time between evictions of expired connections to workers.
const EVICTION_INTERVAL: Duration = Duration::from_millis(1000);

/// The settings of a proxy node.
pub struct ProxyOptions {
    /// The settings that all nodes have.
    pub settings: Settings,
    /// Limits on retries and slow start, for all nodes together.
    pub bounds: SiteLimits,
    /// Grace period: from the signal to stop until the process must have exited.
    pub grace: Duration,
}

/// Runs a proxy node until it receives the signal to stop and has drained.
///
/// # Errors
/// [`StartError`] if a signal handler or a listener could not be set up.
pub fn run<D: Dialect, C: Clock + Send + Sync + 'static>(
    options: ProxyOptions,
    dialect: D,
    clock: C,
    endpoints: Vec<StatusEndpoint>,
) -> Result<(), StartError> {
    let ProxyOptions {
        settings,
        bounds,
        grace,
    } = options;
    let controller = new_controller(&settings, bounds, &clock);
    let address_overrides = settings.address_overrides.clone();
    let shared = Arc::new(SharedState::new(
        controller,
        dialect,
        clock,
        address_overrides,
    ));
    let (events, received) = event_queue(EVENT_QUEUE_LENGTH);
    let net = Net::new(
        settings.site_fingerprint(),
        events.clone(),
        ControllerEvent::Net as fn(NetEvent) -> ControllerEvent,
        settings.max_connections,
    );
    crate::run::on_termination(events.clone(), || ControllerEvent::Stop).context(SignalsSnafu)?;
    task::block_on(async move {
        crate::run::listen_for_nodes(&net, &settings).await?;
        let clients = bind("http", settings.http).await?;
        for endpoint in endpoints {
            let listener = bind("status endpoint", endpoint.addr).await?;
            let handler = request_handler(shared.clone(), endpoint.handler);
            task::spawn(serve_status_endpoint(listener, handler));
        }
        if let Some(endpoint) = settings.metrics.clone() {
            let listener = bind("metrics", endpoint.address(settings.http.ip())).await?;
            let shared = shared.clone();
            let encode = move || metrics::encode(EDGE_METRICS, shared.lock().figures());
            task::spawn(metrics::serve(listener, endpoint, encode));
        }
        log_event(LogEvent::Started, format!("edge {}", settings.node));
        task::spawn(accept_connections(
            clients,
            shared.clone(),
            settings.max_connections,
        ));
        let queue = EventQueue { events, received };
        run_controller(shared, net, queue, grace, &settings).await;
        log_event(LogEvent::Stopped, "edge");
        Ok(())
    })
}

fn new_controller<C: Clock>(settings: &Settings, bounds: SiteLimits, clock: &C) -> ProxyController {
    let now = clock.now();
    let identity = crate::run::edge_hello(settings);
    let locality = Locality {
        node: settings.node.clone(),
        zone: settings.zone,
        region: settings.region,
        regions: settings.names.zones.iter().map(|(_, r)| *r).collect(),
    };
    let balancer = Balancer::new(locality, bounds, random_id());
    let subscription = CoreSubscription::new(
        &settings.seeds,
        settings.lease_ms,
        now.monotonic_ms,
        now.wall,
    )
    .with_node_name(&settings.node)
    .with_peers(&settings.peers)
    .with_pacing(&settings.pacing);
    ProxyController::new(identity, settings.names.clone(), subscription, balancer)
}

async fn bind(setting: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.context(BindSnafu { setting, address })
}

fn request_handler<D: Dialect, C: Clock + Send + Sync + 'static>(
    shared: Arc<SharedState<D, C>>,
    handler: StatusHandler,
) -> RequestHandler {
    Arc::new(move |method: &str, target: &str| {
        let status = {
            let controller = shared.lock();
            NodeStatus {
                ready: controller.ready(),
                ready_edges: controller.ready_edges(),
            }
        };
        handler(&status, method, target)
    })
}

/// Both ends of the controller's event queue.
struct EventQueue {
    events: EventSender<ControllerEvent>,
    received: EventReceiver<ControllerEvent>,
}

/// Steps the controller with events and ticks until the node has drained.
async fn run_controller<D: Dialect, C: Clock>(
    shared: Arc<SharedState<D, C>>,
    net: Net<ControllerEvent>,
    queue: EventQueue,
    grace: Duration,
    settings: &Settings,
) {
    let mut tick_at = Instant::now();
    let mut evict_at = tick_at;
    let mut drain: Option<Drain> = None;
    loop {
        let wait = tick_at.saturating_duration_since(Instant::now());
        let event = match timeout(wait, queue.received.recv()).await {
            Ok(Some(event)) => event,
            Ok(None) => return,
            Err(_) => {
                tick_at = Instant::now() + TICK_INTERVAL;
                ControllerEvent::Tick
            }
        };
        if matches!(event, ControllerEvent::Stop) && drain.is_none() {
            drain = Some(Drain::start(&shared, grace.as_millis() as Millis));
        }
        let effects = step(&shared, event);
        apply_effects(effects, &net, &queue.events, settings);
        shared.wake_queued();
        if Instant::now() >= evict_at {
            evict_at = Instant::now() + EVICTION_INTERVAL;
            shared.connections.evict_expired();
        }
        let status = drain.map(|drain| drain.advance(&shared));
        if let Some(DrainStatus::Ended { requests_cut_off }) = status {
            log_requests_cut_off(requests_cut_off);
            return;
        }
    }
}

fn log_requests_cut_off(requests: usize) {
    if requests > 0 {
        log_event(LogEvent::RequestsCutOff, format!("{requests} requests"));
    }
}

fn step<D: Dialect, C: Clock>(
    shared: &SharedState<D, C>,
    event: ControllerEvent,
) -> Vec<ControllerEffect> {
    let now = shared.clock.now();
    let mut controller = shared.lock();
    controller.requests_in_flight = shared.requests_in_flight.load(Ordering::Relaxed) as u32;
    controller.step(event, now)
}

fn apply_effects(
    effects: Vec<ControllerEffect>,
    net: &Net<ControllerEvent>,
    events: &EventSender<ControllerEvent>,
    settings: &Settings,
) {
    for effect in effects {
        match effect {
            ControllerEffect::Send(conn, payload) => {
                net.send(conn, &payload);
            }
            ControllerEffect::Connect(addr) => net.dial(addr, settings.dial_address(addr)),
            ControllerEffect::Disconnect(addr) => net.undial(addr),
            ControllerEffect::ReadSeeds => {
                if let Some(seeds) = settings.read_seeds() {
                    let _ = events.try_send(ControllerEvent::SeedsRead(seeds));
                }
            }
            ControllerEffect::Log(event, detail) => log_event(event, detail),
        }
    }
}
