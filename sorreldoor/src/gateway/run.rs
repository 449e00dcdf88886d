//! The edge daemon: runs the controller's event loop, and the tasks and
//! connections that carry out its effects.

use super::api::Api;
use super::attempt::AttemptTask;
use super::controller::EdgeController;
use super::event::{EdgeEffect, EdgeEvent};
use super::pending_calls::{PendingCalls, Reply};
use super::worker_exchange::{AttemptCommand, WorkerResponse};
use crate::gateway::request_table::{AttemptToken, ClusterView, RequestEffect, RequestId};
use crate::http;
use crate::log_events::{log_event, LogEvent};
use crate::net::{Net, NetEvent};
use crate::runtime::{self, Clock, EffectHandler};
use crate::settings::Settings;
use crate::start_error::{BindSnafu, SignalsSnafu, StartError};
use crate::subscription::CoreSubscription;
use async_std::channel::{bounded, Receiver, Sender};
use async_std::net::TcpListener;
use async_std::task;
use snafu::ResultExt;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Events that may wait for the controller.
const EVENT_QUEUE: usize = 8192;
const TICK: Duration = Duration::from_millis(20);
/// Interval at which attempts of ended requests are dropped.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);
/// Time for the last responses to reach their callers before the exit.
const FLUSH_TIME: Duration = Duration::from_millis(100);
/// Commands that may wait for an attempt.
const COMMAND_QUEUE: usize = 4;

/// Runs an edge until it has shut down.
///
/// # Errors
/// What could not be started: a listener, or the signal handlers.
pub fn run(settings: Settings) -> Result<(), StartError> {
    run_with(settings, runtime::SystemClock::default())
}

/// Runs an edge with another clock.
///
/// # Errors
/// As for [`run`].
pub fn run_with<C: Clock>(settings: Settings, clock: C) -> Result<(), StartError> {
    let settings = Arc::new(settings);
    let (events, event_queue) = runtime::event_queue(EVENT_QUEUE);
    let address = settings.http;
    let listener = task::block_on(TcpListener::bind(address)).context(BindSnafu {
        setting: "http",
        address,
    })?;
    let mut controller = new_controller(&settings, &clock);
    let calls = PendingCalls::default();
    let net = Net::new(
        settings.site_fingerprint(),
        events.clone(),
        EdgeEvent::Net as fn(NetEvent) -> EdgeEvent,
        settings.max_connections,
    );
    task::block_on(crate::run::listen_for_nodes(&net, &settings))?;
    let shutdown = http::ShutdownHandle::default();
    let api = Api {
        settings: settings.clone(),
        events: events.clone(),
        calls: calls.clone(),
    };
    let max_connections = settings.max_connections;
    task::spawn(http::serve(
        listener,
        max_connections,
        shutdown.clone(),
        move |request, peer| api.clone().handle(request, peer),
    ));
    log_event(LogEvent::Started, format!("edge {}", settings.node));
    log_event(LogEvent::Listening, format!("http {}", settings.http));
    crate::run::start_ticker(events.clone(), TICK, || EdgeEvent::Tick);
    crate::run::on_termination(events.clone(), || EdgeEvent::Shutdown).context(SignalsSnafu)?;
    let mut daemon = Daemon {
        net,
        settings,
        calls,
        events,
        attempts: HashMap::new(),
        shutdown,
        shutdown_deadline: None,
        sweep_at: Instant::now(),
    };
    runtime::run_event_loop(&mut controller, &clock, &mut daemon, &event_queue);
    std::thread::sleep(FLUSH_TIME);
    log_event(LogEvent::Stopped, "edge");
    Ok(())
}

fn new_controller<C: Clock>(settings: &Settings, clock: &C) -> EdgeController {
    let hello = crate::run::edge_hello(settings);
    let cluster = ClusterView::new(
        settings.names.clone(),
        settings.node.clone(),
        settings.zone,
        settings.region,
    );
    let pull = CoreSubscription::new(&settings.seeds, settings.lease_ms, 0, clock.now().wall)
        .with_node_name(&settings.node)
        .with_peers(&settings.peers)
        .with_pacing(&settings.pacing);
    EdgeController::new(hello, cluster, pull)
}

/// The channels of a running attempt.
struct Attempt {
    commands: Sender<AttemptCommand>,
    response: Receiver<WorkerResponse>,
}

/// Carries out the controller's effects.
struct Daemon {
    net: Net<EdgeEvent>,
    settings: Arc<Settings>,
    calls: PendingCalls,
    events: runtime::EventSender<EdgeEvent>,
    attempts: HashMap<AttemptToken, Attempt>,
    shutdown: http::ShutdownHandle,
    /// When the daemon exits even if requests still run; set once it shuts down.
    shutdown_deadline: Option<Instant>,
    sweep_at: Instant,
}

impl EffectHandler<EdgeController> for Daemon {
    fn keeps_running(&mut self, controller: &EdgeController) -> bool {
        if Instant::now() >= self.sweep_at {
            self.sweep_at = Instant::now() + SWEEP_INTERVAL;
            self.sweep_attempts(controller);
        }
        if controller.is_shutting_down() && self.shutdown_deadline.is_none() {
            let drain_time = Duration::from_millis(self.settings.drain_ms);
            self.shutdown_deadline = Some(Instant::now() + drain_time);
        }
        let Some(deadline) = self.shutdown_deadline else {
            return true;
        };
        // the requests in the table complete first; then the server accepts no
        // more connections, and the open ones get their responses
        if controller.is_idle() {
            self.shutdown.begin();
        }
        let drained = controller.is_idle() && self.shutdown.open_connections() == 0;
        !drained && Instant::now() < deadline
    }

    fn handle(&mut self, controller: &mut EdgeController, effect: EdgeEffect) {
        match effect {
            EdgeEffect::Send(conn, payload) => {
                self.net.send(conn, &payload);
            }
            EdgeEffect::Connect(addr) => self.net.dial(addr, self.settings.dial_address(addr)),
            EdgeEffect::Disconnect(addr) => self.net.undial(addr),
            EdgeEffect::ReadSeeds => {
                if let Some(seeds) = self.settings.read_seeds() {
                    let _ = self.events.try_send(EdgeEvent::SeedsRead(seeds));
                }
            }
            EdgeEffect::Admitted(request_id, profile) => {
                self.calls.reply(request_id, Reply::Admitted(profile))
            }
            EdgeEffect::EdgesLocated(request_id, edges) => {
                self.calls.reply(request_id, Reply::EdgesLocated(edges))
            }
            EdgeEffect::ProposalResult(request_id, outcome) => {
                self.calls.reply(request_id, Reply::ProposalResult(outcome))
            }
            EdgeEffect::ConfigurationRead(request_id, proved) => {
                let view = Box::new(controller.cluster.snapshot.view.clone());
                let reply = Reply::ConfigurationRead { proved, view };
                self.calls.reply(request_id, reply);
            }
            EdgeEffect::Status(request_id, json) => {
                let ready = controller.ready();
                self.calls.reply(request_id, Reply::Status { json, ready });
            }
            EdgeEffect::Log(event, about) => log_event(event, about),
            EdgeEffect::Request(effect) => self.handle_request(effect),
        }
    }
}

impl Daemon {
    /// Drops attempts that no request in the table refers to. One that has ended
    /// is kept until the controller has handled its last event.
    fn sweep_attempts(&mut self, controller: &EdgeController) {
        let requests = controller.table.requests.values();
        let tokens: HashSet<AttemptToken> = requests.map(|request| request.token).collect();
        self.attempts.retain(|token, _| tokens.contains(token));
    }

    fn handle_request(&mut self, effect: RequestEffect) {
        match effect {
            RequestEffect::Connect {
                request_id,
                token,
                addr,
                ..
            } => self.start_attempt(request_id, token, addr),
            RequestEffect::Send { token, adapter, .. } => {
                self.command(token, AttemptCommand::Send(adapter))
            }
            RequestEffect::Abort { token, .. } => {
                self.command(token, AttemptCommand::Abort);
                self.attempts.remove(&token);
            }
            RequestEffect::Reject {
                request_id,
                error_code,
                retry_after_s,
            } => {
                let reply = Reply::Rejected {
                    error_code,
                    retry_after_s,
                };
                self.calls.reply(request_id, reply)
            }
            RequestEffect::Redirect { request_id, addr } => {
                self.calls.reply(request_id, Reply::Redirect(addr))
            }
            RequestEffect::Respond { request_id, token } => self.respond(request_id, token),
            // the controller has handled these
            RequestEffect::OutcomeUnknown { .. }
            | RequestEffect::AttemptFailed { .. }
            | RequestEffect::Claim { .. }
            | RequestEffect::Release { .. } => {}
        }
    }

    fn start_attempt(&mut self, request_id: RequestId, token: AttemptToken, worker: SocketAddr) {
        let Some(request) = self.calls.request(request_id) else {
            return;
        };
        let (commands, command_queue) = bounded(COMMAND_QUEUE);
        let (response_sender, response) = bounded(1);
        self.attempts.insert(token, Attempt { commands, response });
        let attempt = AttemptTask {
            request_id,
            token,
            request,
            events: self.events.clone(),
            commands: command_queue,
            response: response_sender,
        };
        task::spawn(attempt.run(self.settings.dial_address(worker)));
    }

    fn respond(&mut self, request_id: RequestId, token: AttemptToken) {
        let attempt = self.attempts.get(&token);
        let response = attempt.and_then(|attempt| attempt.response.try_recv().ok());
        if let Some(response) = response {
            self.calls
                .reply(request_id, Reply::WorkerResponse(response));
        }
    }

    /// Sends a command to an attempt, unless it has ended.
    fn command(&self, token: AttemptToken, command: AttemptCommand) {
        if let Some(attempt) = self.attempts.get(&token) {
            let _ = attempt.commands.try_send(command);
        }
    }
}
