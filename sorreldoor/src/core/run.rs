//! The core's daemon: threads and rings around the hub's reducer.

use super::api::Api;
use super::events::{HubEvent, HubFx, Start};
use super::hub::Hub;
use crate::agree::{Member, Pace, Save};
use crate::events::{say, Ev};
use crate::http::{self, Call};
use crate::net::{Net, NetEvent, Ring};
use crate::record::{decode, encode, View};
use crate::roster::{self, Load};
use crate::seam::{self, Hand, Now, Reducer};
use crate::settings::Settings;
use crate::store::{keep_file, read_file, Opened, Store, WalStore};
use crate::wire::{Hello, OpOutcome};
use async_std::channel::{bounded, Receiver, Sender};
use async_std::net::TcpListener;
use async_std::task;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const RING: usize = 4096;
const TICK: Duration = Duration::from_millis(10);

/// What a waiting HTTP task is told.
pub enum Reply {
    Done(OpOutcome),
    Looked {
        ok: bool,
        disk: bool,
        status: String,
        view: Box<View>,
    },
}

type Waiting = Arc<Mutex<HashMap<u64, Sender<Reply>>>>;

/// HTTP tasks that wait for the hub, by number.
#[derive(Clone, Default)]
pub struct Answers {
    waiting: Waiting,
    next: Arc<AtomicU64>,
}

impl Answers {
    pub fn open(&self) -> (u64, Receiver<Reply>) {
        let rid = self.next.fetch_add(1, Ordering::Relaxed) + 1;
        let (tx, rx) = bounded(1);
        self.lock().insert(rid, tx);
        (rid, rx)
    }
    pub fn close(&self, rid: u64) {
        self.lock().remove(&rid);
    }
    fn give(&self, rid: u64, r: Reply) {
        let tx = self.lock().remove(&rid);
        // why: whoever has stopped waiting needs no result
        let _ = tx.map(|t| t.try_send(r).is_ok());
    }
    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<u64, Sender<Reply>>> {
        self.waiting.lock().unwrap_or_else(|p| p.into_inner())
    }
}

/// The core's identity: random, made once, synced before it is used.
fn identity(dir: &Path) -> std::io::Result<u64> {
    if let Some(id) = read_file(dir, "identity")?.and_then(|b| decode::<u64>(&b)) {
        return Ok(id);
    }
    let id = crate::ops::fresh() >> 1;
    keep_file(dir, "identity", &encode(&id))?;
    say(Ev::Identity, format!("{id:x}"));
    Ok(id)
}

pub fn run(set: Settings) -> Result<(), String> {
    run_with(set, seam::Machine::default(), |s| s)
}

/// With another clock, or something around the store.
pub fn run_with<C, S>(
    set: Settings,
    clock: C,
    wrap: impl FnOnce(WalStore) -> S,
) -> Result<(), String>
where
    C: seam::Clock,
    S: Store + 'static,
{
    let set = Arc::new(set);
    let dir = set.data.clone().unwrap_or_default();
    let id = identity(&dir).map_err(|e| format!("data: identity: {e}"))?;
    let Opened {
        store,
        mirror,
        torn,
    } = WalStore::open(&dir).map_err(|e| {
        say(Ev::DiskCorrupt, &e);
        e.to_string()
    })?;
    if torn {
        say(Ev::DiskTorn, dir.display());
    }
    let promise = read_file(&dir, "promise")
        .map_err(|e| format!("data: promise: {e}"))?
        .and_then(|b| decode::<Vec<Member>>(&b));
    let sure = read_file(&dir, "sure").map_err(|e| format!("data: sure: {e}"))?;
    let (ring, rx) = bounded(RING);
    let listen = set.listen.ok_or("listen: is missing")?;
    let (frames, web) = task::block_on(async {
        let f = TcpListener::bind(listen)
            .await
            .map_err(|e| format!("listen: cannot bind {listen}: {e}"))?;
        let w = TcpListener::bind(set.http)
            .await
            .map_err(|e| format!("http: cannot bind {}: {e}", set.http))?;
        Ok::<_, String>((f, w))
    })?;
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
            boot: crate::ops::fresh(),
        },
        site: set.names.clone(),
        seeds: set.seeds.clone(),
        cores: set.cores,
        replace_ms: set.replace_ms,
        pace: Pace::for_ack(set.ack_ms),
        seed: crate::ops::fresh(),
        promise,
        sure: sure.is_some(),
        most_claims: set.most_claims,
    };
    let kept = Some(mirror).filter(|m| !m.blank()).map(|m| m.kept());
    let hub = Hub::new(start, kept, 0);
    let net = Net::new(
        set.site_mark(),
        ring.clone(),
        HubEvent::Net as fn(NetEvent) -> HubEvent,
        set.most_connections,
    );
    task::spawn(net.clone().listen(frames));
    let answers = Answers::default();
    let api = Api {
        set: set.clone(),
        ring: ring.clone(),
        answers: answers.clone(),
    };
    let gate = http::Gate::default();
    let most = set.most_connections;
    task::spawn(http::serve(web, most, gate.clone(), move |r, _| {
        api.clone().handle(r)
    }));
    say(Ev::Started, format!("core {} ({id:x})", set.node));
    say(Ev::Listening, format!("frames {listen}, http {}", set.http));
    crate::run::ticker(ring.clone(), TICK, || HubEvent::Alarm);
    crate::run::on_term(ring.clone(), || HubEvent::Stop)?;
    if let Some(p) = set.platform {
        task::spawn(watch_platform(set.clone(), p, ring.clone()));
    }
    let saves = store_thread(wrap(store), ring.clone());
    let mut hub = hub;
    let mut hand = Daemon {
        net,
        set,
        answers,
        saves,
        ring,
        gate,
        stop_at: None,
    };
    seam::turn(&mut hub, &clock, &mut hand, &rx);
    say(Ev::Stopped, "core");
    Ok(())
}

/// The store's own thread: batches what waits, syncs once for all of it.
fn store_thread<S: Store + 'static>(mut store: S, ring: Ring<HubEvent>) -> Sender<(u64, Save)> {
    let (tx, rx) = bounded::<(u64, Save)>(RING);
    thread::spawn(move || {
        while let Ok(first) = rx.recv_blocking() {
            let mut batch = vec![first];
            while batch.len() < 256 {
                let Ok(more) = rx.try_recv() else { break };
                batch.push(more);
            }
            let began = Instant::now();
            let last = batch.last().map_or(0, |(s, _)| *s);
            let ev = match store.save(&batch) {
                Ok(()) => HubEvent::Saved(last),
                Err(e) => HubEvent::SaveFailed(e.to_string()),
            };
            let took = began.elapsed();
            if took > Duration::from_millis(200) {
                say(Ev::DiskSlow, format!("{} ms", took.as_millis()));
            }
            let failed = matches!(ev, HubEvent::SaveFailed(_));
            // why: after a failed sync nobody knows what is on the disk
            if ring.send_blocking(ev).is_err() || failed {
                return;
            }
        }
    });
    tx
}

async fn watch_platform(set: Arc<Settings>, at: SocketAddr, ring: Ring<HubEvent>) {
    let to = set.reached(at);
    loop {
        let got = http::call(to, Call::get("/workers"), 1 << 20, Duration::from_secs(1)).await;
        let r = got
            .map_err(|b| format!("{at}: {b:?}"))
            .and_then(|c| match c.status {
                200 => roster::read_roster(&c.body, &set.names),
                s => Err(format!("{at}: status {s}")),
            });
        if ring.send(HubEvent::Roster(r)).await.is_err() {
            return;
        }
        task::sleep(Duration::from_millis(500)).await;
    }
}

async fn ask_loads(
    set: Arc<Settings>,
    epoch: u64,
    to: Vec<(String, SocketAddr)>,
    ring: Ring<HubEvent>,
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
                    .and_then(|c| roster::read_load(&c.body, &name).ok());
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
    let _ = ring.send(HubEvent::Loads { epoch, rows }).await;
}

struct Daemon {
    net: Net<HubEvent>,
    set: Arc<Settings>,
    answers: Answers,
    saves: Sender<(u64, Save)>,
    ring: Ring<HubEvent>,
    gate: http::Gate,
    stop_at: Option<Instant>,
}

impl Hand<Hub> for Daemon {
    fn goes_on(&mut self, hub: &Hub) -> bool {
        if hub.leaving && self.stop_at.is_none() {
            say(Ev::Leaving, "core");
            // why: what was just acked should still reach the others
            self.stop_at = Some(Instant::now() + Duration::from_millis(300));
            self.gate.shut();
        }
        let late = Duration::from_secs(2);
        let heard = |t: Instant| self.gate.open() == 0 || Instant::now() >= t + late;
        self.stop_at.is_none_or(|t| Instant::now() < t || !heard(t))
    }

    fn carry(&mut self, hub: &mut Hub, fx: HubFx) {
        match fx {
            HubFx::Save(seq, save) => {
                // why: a full ring means a stuck disk, and a lost save must
                // never look like a kept one
                if self.saves.try_send((seq, save)).is_err() {
                    let ev = HubEvent::SaveFailed("the ring to the store is full".into());
                    let at = Now {
                        mono: hub.now,
                        wall: 0,
                    };
                    let more = hub.step(ev, at);
                    more.into_iter()
                        .filter(|f| !matches!(f, HubFx::Save(..)))
                        .for_each(|f| self.carry(hub, f));
                }
            }
            HubFx::Keep(name, b) => {
                let dir = self.set.data.clone().unwrap_or_default();
                if let Err(e) = keep_file(&dir, name, &b) {
                    say(Ev::DiskFailed, format!("{name}: {e}"));
                    std::process::exit(1);
                }
            }
            HubFx::Send(c, p) => {
                self.net.send(c, &p);
            }
            HubFx::Dial(a) => self.net.dial(a, self.set.reached(a)),
            HubFx::Undial(a) => self.net.undial(a),
            HubFx::Close(c) => self.net.close(c),
            HubFx::Done(rid, o) => self.answers.give(rid, Reply::Done(o)),
            HubFx::Looked(rid, ok) => {
                use simd_json::prelude::*;
                let a = hub.agree.as_ref();
                let r = Reply::Looked {
                    ok,
                    disk: a.is_none_or(|a| !a.disk_failed()),
                    status: hub.status().encode(),
                    view: Box::new(a.map(|a| a.machine().view()).unwrap_or_default()),
                };
                self.answers.give(rid, r);
            }
            HubFx::AskLoads(epoch, to) => {
                task::spawn(ask_loads(self.set.clone(), epoch, to, self.ring.clone()));
            }
            HubFx::Say(ev, about) => say(ev, about),
        }
    }
}
