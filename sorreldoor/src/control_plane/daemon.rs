//! The core's daemon: threads and rings around the controller's reducer.

use super::api::Door;
use super::controller::Controller;
use super::events::{ControllerEffect, ControllerEvent, Start};
use super::front::{Front, Looked, Reply};
use super::source::{Listed, OperatorDoor, WorkerSource};
use super::storage_driver::{self, Saver};
use crate::consensus::Member;
use crate::discovery::{self, Load};
use crate::http::{self, Call};
use crate::log_events::{log_event, LogEvent};
use crate::net::{Net, NetEvent, Ring};
use crate::replicated_state::decode;
use crate::runtime::{self, EffectHandler};
use crate::settings::Settings;
use crate::store::{DurableStore, Folder, Store};
use crate::wire::Hello;
use async_std::channel::bounded;
use async_std::net::TcpListener;
use async_std::task;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

const RING: usize = 4096;

pub fn run(set: Settings) -> Result<(), String> {
    run_by(set, runtime::SystemClock::default(), |s| s)
}

/// With the product's own list of workers and door, and another clock, or
/// something around the store.
///
/// # Errors
/// Why the core cannot start, in words.
pub fn run_by<C, S>(
    set: Settings,
    clock: C,
    wrap: impl FnOnce(DurableStore<Folder>) -> S,
) -> Result<(), String>
where
    C: runtime::Clock,
    S: Store + 'static,
{
    let shared = Arc::new(set.clone());
    let source = set.platform.map(|at| {
        let set = shared.clone();
        Arc::new(Listed { set, at }) as Arc<dyn WorkerSource>
    });
    run_with(set, clock, wrap, source, Door { set: shared })
}

/// Runs a core until it is told to stop, with a list of workers from `source`
/// and operators served by `door`.
///
/// # Errors
/// Why the core cannot start, in words.
pub fn run_with<C, S>(
    set: Settings,
    clock: C,
    wrap: impl FnOnce(DurableStore<Folder>) -> S,
    source: Option<Arc<dyn WorkerSource>>,
    door: impl OperatorDoor,
) -> Result<(), String>
where
    C: runtime::Clock,
    S: Store + 'static,
{
    let set = Arc::new(set);
    let dir = set.data.clone().unwrap_or_default();
    let mut store = storage_driver::open(&dir)?;
    let id = storage_driver::identity(&mut store);
    let promise = store.value("promise").and_then(decode::<Vec<Member>>);
    let sure = store.value("sure").is_some();
    let (ring, rx) = bounded(RING);
    let listen = set.listen.ok_or("listen: is missing")?;
    let frames = task::block_on(TcpListener::bind(listen))
        .map_err(|e| format!("listen: cannot bind {listen}: {e}"))?;
    let each = source.as_ref().is_some_and(|s| s.numbered());
    let poll_ms = source.as_ref().filter(|_| !each).map(|s| s.pace_ms());
    let start = Start {
        me: Hello {
            id,
            node: set.node.clone(),
            core: true,
            region: set.region,
            zone: set.zone,
            addr: listen.to_string(),
            http: set.http.to_string(),
            founded: false,
            incarnation: crate::order_id::random_id(),
            learner_only: !set.voting,
            ..Hello::default()
        },
        site: set.names.clone(),
        seeds: set.seeds.clone(),
        cores: set.cores,
        members: set.members(),
        timing: set.pacing.timing(set.ack_ms),
        seed: crate::order_id::random_id(),
        promise,
        sure,
        most_claims: set.most_claims,
        // whoever lost its state to damage was a member once
        bootstrap: set.bootstrap && !store.rejoins(),
        grow: set.grow,
        pacing: set.pacing.clone(),
        poll_ms,
    };
    let controller = Controller::new(start, store.kept(), 0);
    let net = Net::new(
        set.site_mark(),
        ring.clone(),
        ControllerEvent::Net as fn(NetEvent) -> ControllerEvent,
        set.most_connections,
    );
    task::spawn(net.clone().listen(frames));
    let front = Front::new(ring.clone(), set.ack_ms);
    let gate = http::Gate::default();
    log_event(LogEvent::Started, format!("core {} ({id:x})", set.node));
    log_event(LogEvent::Listening, format!("frames {listen}"));
    door.open(front.clone(), gate.clone())?;
    let tick = Duration::from_millis(set.pacing.tick_ms);
    crate::run::ticker(ring.clone(), tick, || ControllerEvent::Tick);
    crate::run::on_term(ring.clone(), || ControllerEvent::Stop)?;
    if let Some(s) = source.clone().filter(|_| each) {
        task::spawn(watch_list(s, ring.clone()));
    }
    let saver = Saver::start(wrap(store), ring.clone());
    let mut controller = controller;
    let mut hand = Daemon {
        net,
        set,
        front,
        source,
        saver,
        ring,
        gate,
        stop_at: None,
    };
    runtime::run_event_loop(&mut controller, &clock, &mut hand, &rx);
    log_event(LogEvent::Stopped, "core");
    Ok(())
}

async fn read_list(src: Arc<dyn WorkerSource>, ring: Ring<ControllerEvent>) -> bool {
    let r = src.poll().await;
    ring.send(ControllerEvent::WorkerRegistry(r)).await.is_ok()
}

async fn watch_list(src: Arc<dyn WorkerSource>, ring: Ring<ControllerEvent>) {
    while read_list(src.clone(), ring.clone()).await {
        task::sleep(Duration::from_millis(src.pace_ms())).await;
    }
}

async fn ask_loads(
    set: Arc<Settings>,
    epoch: u64,
    to: Vec<(String, SocketAddr)>,
    ring: Ring<ControllerEvent>,
) {
    let asks: Vec<_> = to
        .into_iter()
        .map(|(name, addr)| {
            let to = set.reached(addr);
            task::spawn(async move {
                let got =
                    http::call(to, Call::get("/load"), 1 << 16, Duration::from_millis(400)).await;
                let l = got
                    .ok()
                    .filter(|c| c.status == 200)
                    .and_then(|c| discovery::read_load(&c.body, &name).ok());
                l.unwrap_or(Load {
                    name,
                    ..Load::default()
                })
            })
        })
        .collect();
    let mut rows = Vec::new();
    for a in asks {
        rows.push(a.await);
    }
    let _ = ring.send(ControllerEvent::Loads { epoch, rows }).await;
}

struct Daemon<S> {
    net: Net<ControllerEvent>,
    set: Arc<Settings>,
    front: Front,
    source: Option<Arc<dyn WorkerSource>>,
    saver: Saver<S>,
    ring: Ring<ControllerEvent>,
    gate: http::Gate,
    stop_at: Option<Instant>,
}

impl<S: Store + 'static> EffectHandler<Controller> for Daemon<S> {
    fn keeps_running(&mut self, controller: &Controller) -> bool {
        self.front.show(&controller.endpoints().endpoints);
        if controller.is_leaving() && self.stop_at.is_none() {
            log_event(LogEvent::Leaving, "core");
            // what was just acked should still reach the others
            self.stop_at = Some(Instant::now() + Duration::from_millis(300));
            self.gate.shut();
        }
        let late = Duration::from_secs(2);
        let heard = |t: Instant| self.gate.open() == 0 || Instant::now() >= t + late;
        self.stop_at.is_none_or(|t| Instant::now() < t || !heard(t))
    }

    fn handle(&mut self, controller: &mut Controller, effect: ControllerEffect) {
        match effect {
            ControllerEffect::Save(seq, save) => self.saver.save(seq, save),
            ControllerEffect::Keep(name, value) => self.saver.put(name, &value),
            ControllerEffect::Send(c, p) => {
                self.net.send(c, &p);
            }
            ControllerEffect::Connect(a) => self.net.dial(a, self.set.reached(a)),
            ControllerEffect::Disconnect(a) => self.net.undial(a),
            ControllerEffect::Close(c) => self.net.close(c),
            ControllerEffect::ChangeDone {
                request_id,
                outcome,
            } => self.front.answers.give(request_id, Reply::Done(outcome)),
            ControllerEffect::StatusReady { request_id, proved } => {
                use simd_json::prelude::*;
                let status = controller.status().encode();
                self.looked(controller, request_id, proved, status);
            }
            ControllerEffect::ViewReady { request_id, proved } => {
                self.looked(controller, request_id, proved, String::new())
            }
            ControllerEffect::ReadWorkerList => {
                if let Some(s) = self.source.clone() {
                    task::spawn(read_list(s, self.ring.clone()));
                }
            }
            ControllerEffect::PollLoads { epoch, workers } => {
                let (set, ring) = (self.set.clone(), self.ring.clone());
                task::spawn(ask_loads(set, epoch, workers, ring));
            }
            ControllerEffect::Say(ev, about) => log_event(ev, about),
        }
    }
}

impl<S> Daemon<S> {
    fn looked(&self, controller: &Controller, request_id: u64, ok: bool, status: String) {
        let a = controller.consensus.as_ref();
        let l = Looked {
            ok,
            disk: a.is_none_or(|a| !a.disk_failed()),
            status,
            view: Box::new(a.map(|a| a.state_machine().view()).unwrap_or_default()),
        };
        self.front.answers.give(request_id, Reply::Looked(l));
    }
}
