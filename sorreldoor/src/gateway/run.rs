//! The edge's daemon: threads and rings around the edge controller.

use super::api::Api;
use super::controller::EdgeController;
use super::event::{EdgeEffect, EdgeEvent};
use super::relay::{Brought, Load, Task, Word};
use crate::error::ErrorCode;
use crate::gateway::request_table::{ClusterView, RequestEffect, RequestProfile};
use crate::http;
use crate::log_events::{log_event, LogEvent};
use crate::net::{Net, NetEvent, Ring};
use crate::replicated_state::View;
use crate::runtime::{self, Clock, EffectHandler};
use crate::settings::Settings;
use crate::subscription::Pull;
use crate::wire::{Hello, OpOutcome};
use async_std::channel::{bounded, Receiver, Sender};
use async_std::net::TcpListener;
use async_std::task;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

const RING: usize = 8192;
const TICK: Duration = Duration::from_millis(20);

/// What a waiting HTTP task is told.
pub enum Reply {
    /// The body may come; what the route asks of it.
    Come(RequestProfile),
    Shed(ErrorCode, u64),
    Elsewhere(String),
    Brought(Brought),
    Where(Result<Vec<String>, ErrorCode>),
    Done(OpOutcome),
    Looked(bool, Box<View>),
    Status {
        text: String,
        ready: Result<(), ErrorCode>,
    },
}

#[derive(Default)]
struct Inner {
    waiting: HashMap<u64, Sender<Reply>>,
    loads: HashMap<u64, Arc<Load>>,
}

/// HTTP tasks that wait for the controller, and what they brought.
#[derive(Clone, Default)]
pub struct Desk {
    inner: Arc<Mutex<Inner>>,
    next: Arc<AtomicU64>,
}

impl Desk {
    pub fn open(&self) -> (u64, Receiver<Reply>) {
        let request_id = self.next.fetch_add(1, Ordering::Relaxed) + 1;
        let (tx, rx) = bounded(1);
        self.lock().waiting.insert(request_id, tx);
        (request_id, rx)
    }
    pub fn close(&self, request_id: u64) {
        let mut d = self.lock();
        d.waiting.remove(&request_id);
        d.loads.remove(&request_id);
    }
    pub fn bring(&self, request_id: u64, l: Load) {
        self.lock().loads.insert(request_id, Arc::new(l));
    }
    fn load(&self, request_id: u64) -> Option<Arc<Load>> {
        self.lock().loads.get(&request_id).cloned()
    }
    fn give(&self, request_id: u64, r: Reply) {
        let tx = self.lock().waiting.remove(&request_id);
        // whoever has stopped waiting needs no result
        let _ = tx.map(|t| t.try_send(r).is_ok());
    }
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|p| p.into_inner())
    }
}

pub fn run(set: Settings) -> Result<(), String> {
    run_with(set, runtime::SystemClock::default())
}

/// With another clock.
pub fn run_with<C: Clock>(set: Settings, clock: C) -> Result<(), String> {
    let set = Arc::new(set);
    let (ring, rx) = bounded(RING);
    let web = task::block_on(TcpListener::bind(set.http))
        .map_err(|e| format!("http: cannot bind {}: {e}", set.http))?;
    let me = Hello {
        id: crate::order_id::random_id() >> 1,
        node: set.node.clone(),
        core: false,
        region: set.region,
        zone: set.zone,
        addr: String::new(),
        http: set.http.to_string(),
        founded: false,
        incarnation: crate::order_id::random_id(),
        ..Hello::default()
    };
    let cluster = ClusterView::new(set.names.clone(), set.node.clone(), set.zone, set.region);
    let pull = Pull::new(&set.seeds, set.lease_ms, 0, clock.now().wall)
        .named(&set.node)
        .paced(&set.pacing);
    let desk = Desk::default();
    let api = Api {
        set: set.clone(),
        ring: ring.clone(),
        desk: desk.clone(),
    };
    let net = Net::new(
        set.site_fingerprint(),
        ring.clone(),
        EdgeEvent::Net as fn(NetEvent) -> EdgeEvent,
        set.max_connections,
    );
    let gate = http::Gate::default();
    let most = set.max_connections;
    task::spawn(http::serve(web, most, gate.clone(), move |r, p| {
        api.clone().handle(r, p)
    }));
    log_event(LogEvent::Started, format!("edge {}", set.node));
    log_event(LogEvent::Listening, format!("http {}", set.http));
    crate::run::ticker(ring.clone(), TICK, || EdgeEvent::Tick);
    crate::run::on_term(ring.clone(), || EdgeEvent::Shutdown)?;
    let mut controller = EdgeController::new(me, cluster, pull);
    let mut hand = Daemon {
        net,
        set,
        desk,
        ring,
        tasks: HashMap::new(),
        gate,
        stop_at: None,
        sweep_at: Instant::now(),
    };
    runtime::run_event_loop(&mut controller, &clock, &mut hand, &rx);
    // the last results are still on their way to their callers
    std::thread::sleep(Duration::from_millis(100));
    log_event(LogEvent::Stopped, "edge");
    Ok(())
}

struct Running {
    words: Sender<Word>,
    brought: Receiver<Brought>,
}

struct Daemon {
    net: Net<EdgeEvent>,
    set: Arc<Settings>,
    desk: Desk,
    ring: Ring<EdgeEvent>,
    tasks: HashMap<u64, Running>,
    gate: http::Gate,
    stop_at: Option<Instant>,
    sweep_at: Instant,
}

impl EffectHandler<EdgeController> for Daemon {
    fn keeps_running(&mut self, controller: &EdgeController) -> bool {
        // a task may have ended while its last word still waits in the
        // ring, so only what the table has let go of is forgotten
        if Instant::now() >= self.sweep_at {
            self.sweep_at = Instant::now() + Duration::from_secs(1);
            let held: HashSet<u64> = controller
                .table
                .requests
                .values()
                .map(|e| e.token)
                .collect();
            self.tasks.retain(|t, _| held.contains(t));
        }
        if controller.is_leaving() && self.stop_at.is_none() {
            self.stop_at = Some(Instant::now() + Duration::from_millis(self.set.drain_ms));
        }
        // what runs is finished, up to the cutoff the settings give; then
        // nothing more is let in, and who is in hears a last word
        let Some(end) = self.stop_at else { return true };
        if controller.is_idle() {
            self.gate.shut();
        }
        let done = controller.is_idle() && self.gate.open() == 0;
        !done && Instant::now() < end
    }

    fn handle(&mut self, controller: &mut EdgeController, effect: EdgeEffect) {
        match effect {
            EdgeEffect::Send(c, p) => {
                self.net.send(c, &p);
            }
            EdgeEffect::Connect(a) => self.net.dial(a, self.set.dial_address(a)),
            EdgeEffect::Disconnect(a) => self.net.undial(a),
            EdgeEffect::Admitted(request_id, s) => self.desk.give(request_id, Reply::Come(s)),
            EdgeEffect::EdgesLocated(request_id, r) => self.desk.give(request_id, Reply::Where(r)),
            EdgeEffect::ProposalResult(request_id, o) => self.desk.give(request_id, Reply::Done(o)),
            EdgeEffect::ConfigurationRead(request_id, ok) => {
                let v = Box::new(controller.cluster.snapshot.view.clone());
                self.desk.give(request_id, Reply::Looked(ok, v));
            }
            EdgeEffect::Status(request_id, text) => {
                let ready = controller.ready();
                self.desk.give(request_id, Reply::Status { text, ready });
            }
            EdgeEffect::Log(ev, about) => log_event(ev, about),
            EdgeEffect::Request(f) => self.request(f),
        }
    }
}

impl Daemon {
    fn request(&mut self, f: RequestEffect) {
        match f {
            RequestEffect::Connect {
                request_id,
                token,
                addr,
                ..
            } => self.open(request_id, token, addr),
            RequestEffect::Send { token, adapter, .. } => self.word(token, Word::Go(adapter)),
            RequestEffect::Abort { token, .. } => {
                self.word(token, Word::Drop);
                self.tasks.remove(&token);
            }
            RequestEffect::Reject {
                request_id,
                error_code,
                retry_after_s,
            } => self
                .desk
                .give(request_id, Reply::Shed(error_code, retry_after_s)),
            RequestEffect::Redirect { request_id, addr } => {
                self.desk.give(request_id, Reply::Elsewhere(addr))
            }
            RequestEffect::Respond { request_id, token } => {
                let got = self
                    .tasks
                    .get(&token)
                    .and_then(|t| t.brought.try_recv().ok());
                if let Some(b) = got {
                    self.desk.give(request_id, Reply::Brought(b));
                }
            }
            RequestEffect::OutcomeUnknown { .. }
            | RequestEffect::AttemptFailed { .. }
            | RequestEffect::Claim { .. }
            | RequestEffect::Release { .. } => {}
        }
    }

    fn open(&mut self, request_id: u64, token: u64, addr: SocketAddr) {
        let Some(load) = self.desk.load(request_id) else {
            return;
        };
        let (words, rx) = bounded(4);
        let (hand, brought) = bounded(1);
        self.tasks.insert(token, Running { words, brought });
        let t = Task {
            request_id,
            token,
            load,
            ring: self.ring.clone(),
            words: rx,
            hand,
        };
        task::spawn(t.run(self.set.dial_address(addr)));
    }

    fn word(&self, token: u64, w: Word) {
        // a task that has ended needs no word
        let _ = self.tasks.get(&token).map(|t| t.words.try_send(w).is_ok());
    }
}
