//! The edge's daemon: threads and rings around the edge controller.

use super::api::Api;
use super::controller::{EdgeController, EdgeEffect, EdgeEvent};
use super::relay::{Brought, Load, Task, Word};
use crate::errand::{ErrandFx, Plan, Shape};
use crate::events::{say, Ev};
use crate::http;
use crate::net::{Net, NetEvent, Ring};
use crate::problem::Problem;
use crate::pull::Pull;
use crate::record::View;
use crate::seam::{self, Clock, Hand};
use crate::settings::Settings;
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
    Come(Shape),
    Shed(Problem, u64),
    Elsewhere(String),
    Brought(Brought),
    Where(Result<Vec<String>, Problem>),
    Done(OpOutcome),
    Looked(bool, Box<View>),
    Status {
        text: String,
        ready: Result<(), Problem>,
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
        let rid = self.next.fetch_add(1, Ordering::Relaxed) + 1;
        let (tx, rx) = bounded(1);
        self.lock().waiting.insert(rid, tx);
        (rid, rx)
    }
    pub fn close(&self, rid: u64) {
        let mut d = self.lock();
        d.waiting.remove(&rid);
        d.loads.remove(&rid);
    }
    pub fn bring(&self, rid: u64, l: Load) {
        self.lock().loads.insert(rid, Arc::new(l));
    }
    fn load(&self, rid: u64) -> Option<Arc<Load>> {
        self.lock().loads.get(&rid).cloned()
    }
    fn give(&self, rid: u64, r: Reply) {
        let tx = self.lock().waiting.remove(&rid);
        // whoever has stopped waiting needs no result
        let _ = tx.map(|t| t.try_send(r).is_ok());
    }
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|p| p.into_inner())
    }
}

pub fn run(set: Settings) -> Result<(), String> {
    run_with(set, seam::Machine::default())
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
        boot: crate::order_id::random_id(),
        ..Hello::default()
    };
    let plan = Plan::new(set.names.clone(), set.node.clone(), set.zone, set.region);
    let pull = Pull::new(&set.seeds, set.permit_ms, 0, clock.now().wall)
        .named(&set.node)
        .paced(&set.pacing);
    let desk = Desk::default();
    let api = Api {
        set: set.clone(),
        ring: ring.clone(),
        desk: desk.clone(),
    };
    let net = Net::new(
        set.site_mark(),
        ring.clone(),
        EdgeEvent::Net as fn(NetEvent) -> EdgeEvent,
        set.most_connections,
    );
    let gate = http::Gate::default();
    let most = set.most_connections;
    task::spawn(http::serve(web, most, gate.clone(), move |r, p| {
        api.clone().handle(r, p)
    }));
    say(Ev::Started, format!("edge {}", set.node));
    say(Ev::Listening, format!("http {}", set.http));
    crate::run::ticker(ring.clone(), TICK, || EdgeEvent::Alarm);
    crate::run::on_term(ring.clone(), || EdgeEvent::Stop)?;
    let mut controller = EdgeController::new(me, plan, pull);
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
    seam::turn(&mut controller, &clock, &mut hand, &rx);
    // the last results are still on their way to their callers
    std::thread::sleep(Duration::from_millis(100));
    say(Ev::Stopped, "edge");
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

impl Hand<EdgeController> for Daemon {
    fn goes_on(&mut self, controller: &EdgeController) -> bool {
        // a task may have ended while its last word still waits in the
        // ring, so only what the table has let go of is forgotten
        if Instant::now() >= self.sweep_at {
            self.sweep_at = Instant::now() + Duration::from_secs(1);
            let held: HashSet<u64> = controller.table.rows.values().map(|e| e.token).collect();
            self.tasks.retain(|t, _| held.contains(t));
        }
        if controller.leaving && self.stop_at.is_none() {
            self.stop_at = Some(Instant::now() + Duration::from_millis(self.set.drain_ms));
        }
        // what runs is finished, up to the cutoff the settings give; then
        // nothing more is let in, and who is in hears a last word
        let Some(end) = self.stop_at else { return true };
        if controller.idle() {
            self.gate.shut();
        }
        let done = controller.idle() && self.gate.open() == 0;
        !done && Instant::now() < end
    }

    fn carry(&mut self, controller: &mut EdgeController, fx: EdgeEffect) {
        match fx {
            EdgeEffect::Send(c, p) => {
                self.net.send(c, &p);
            }
            EdgeEffect::Dial(a) => self.net.dial(a, self.set.reached(a)),
            EdgeEffect::Undial(a) => self.net.undial(a),
            EdgeEffect::Come(rid, s) => self.desk.give(rid, Reply::Come(s)),
            EdgeEffect::Where(rid, r) => self.desk.give(rid, Reply::Where(r)),
            EdgeEffect::Done(rid, o) => self.desk.give(rid, Reply::Done(o)),
            EdgeEffect::Looked(rid, ok) => {
                let v = Box::new(controller.plan.shown.view.clone());
                self.desk.give(rid, Reply::Looked(ok, v));
            }
            EdgeEffect::Status(rid, text) => {
                let ready = controller.ready();
                self.desk.give(rid, Reply::Status { text, ready });
            }
            EdgeEffect::Say(ev, about) => say(ev, about),
            EdgeEffect::Errand(f) => self.errand(f),
        }
    }
}

impl Daemon {
    fn errand(&mut self, f: ErrandFx) {
        match f {
            ErrandFx::Open {
                rid, token, addr, ..
            } => self.open(rid, token, addr),
            ErrandFx::Go { token, adapter, .. } => self.word(token, Word::Go(adapter)),
            ErrandFx::Drop { token, .. } => {
                self.word(token, Word::Drop);
                self.tasks.remove(&token);
            }
            ErrandFx::Shed {
                rid,
                problem,
                again_s,
            } => self.desk.give(rid, Reply::Shed(problem, again_s)),
            ErrandFx::Elsewhere { rid, addr } => self.desk.give(rid, Reply::Elsewhere(addr)),
            ErrandFx::Give { rid, token } => {
                let got = self
                    .tasks
                    .get(&token)
                    .and_then(|t| t.brought.try_recv().ok());
                if let Some(b) = got {
                    self.desk.give(rid, Reply::Brought(b));
                }
            }
            ErrandFx::Unknown { .. }
            | ErrandFx::Bad { .. }
            | ErrandFx::Claim { .. }
            | ErrandFx::Release { .. } => {}
        }
    }

    fn open(&mut self, rid: u64, token: u64, addr: SocketAddr) {
        let Some(load) = self.desk.load(rid) else {
            return;
        };
        let (words, rx) = bounded(4);
        let (hand, brought) = bounded(1);
        self.tasks.insert(token, Running { words, brought });
        let t = Task {
            rid,
            token,
            load,
            ring: self.ring.clone(),
            words: rx,
            hand,
        };
        task::spawn(t.run(self.set.reached(addr)));
    }

    fn word(&self, token: u64, w: Word) {
        // a task that has ended needs no word
        let _ = self.tasks.get(&token).map(|t| t.words.try_send(w).is_ok());
    }
}
