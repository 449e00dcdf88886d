//! The proxy's daemon: sockets, timers and signals around its front.

use super::dialect::Dialect;
use super::door::{self, Answer};
use super::front::{ControllerEffect, ControllerEvent, ProxyController, ReadyEdge};
use super::serve;
use super::shared::SharedState;
use crate::balancer::{Balancer, Bounds, Locality};
use crate::log_events::{log_event, LogEvent};
use crate::net::{Net, NetEvent};
use crate::runtime::{Clock, Reducer};
use crate::settings::Settings;
use crate::subscription::Pull;
use crate::wire::Hello;
use async_std::channel::{bounded, Receiver};
use async_std::future::timeout;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

const RING: usize = 1024;
/// Between looks at the session and at waiting requests.
const TICK: Duration = Duration::from_millis(50);
const SWEEP: Duration = Duration::from_millis(1000);
/// After a stop callers are still let in for so long: they hold older lists.
const LET_IN: Duration = Duration::from_millis(2500);

/// So long before the grace is over, what waits for a worker is refused, while
/// its answer can still arrive.
const QUEUE_MARGIN: Duration = Duration::from_millis(1000);

/// What a proxy node needs beside the settings that all nodes have.
pub struct ProxyOptions {
    pub set: Settings,
    pub bounds: Bounds,
    /// From the signal to stop until the process must have ended.
    pub grace: Duration,
}

/// What the small doors may show.
#[derive(Clone, Debug, Default)]
pub struct NodeStatus {
    pub ready: bool,
    pub nodes: Vec<ReadyEdge>,
}

/// Status and JSON, from what is shown, for a method and target.
pub type StatusHandler = Box<dyn Fn(&NodeStatus, &str, &str) -> (u16, String) + Send + Sync>;

/// A small door: its address, and what it answers.
pub struct Door {
    pub at: SocketAddr,
    pub answer: StatusHandler,
}

pub fn run<D: Dialect, C: Clock + Send + Sync + 'static>(
    start: ProxyOptions,
    dialect: D,
    clock: C,
    doors: Vec<Door>,
) -> Result<(), String> {
    let set = start.set;
    let now = clock.now();
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
    let place = Locality {
        node: set.node.clone(),
        zone: set.zone,
        region: set.region,
        regions: set.names.zones.iter().map(|(_, r)| *r).collect(),
    };
    let table = Balancer::new(place, start.bounds, crate::order_id::random_id());
    let pull = Pull::new(&set.seeds, set.lease_ms, now.monotonic_ms, now.wall)
        .named(&set.node)
        .paced(&set.pacing);
    let front = ProxyController::new(me, set.names.clone(), pull, table);
    let sh = Arc::new(SharedState::new(front, dialect, clock, set.reach.clone()));
    let (ring, rx) = bounded(RING);
    let net = Net::new(
        set.site_fingerprint(),
        ring.clone(),
        ControllerEvent::Net as fn(NetEvent) -> ControllerEvent,
        set.max_connections,
    );
    crate::run::on_term(ring, || ControllerEvent::Stop)?;
    task::block_on(async move {
        let l = TcpListener::bind(set.http)
            .await
            .map_err(|e| format!("http: cannot bind {}: {e}", set.http))?;
        for d in doors {
            let l = TcpListener::bind(d.at)
                .await
                .map_err(|e| format!("door: cannot bind {}: {e}", d.at))?;
            let sh = sh.clone();
            let f: Answer = Arc::new(move |m: &str, t: &str| {
                let shown = {
                    let f = sh.lock();
                    NodeStatus {
                        ready: f.ready(),
                        nodes: f.seen(),
                    }
                };
                (d.answer)(&shown, m, t)
            });
            task::spawn(door::serve(l, f));
        }
        log_event(LogEvent::Started, format!("edge {}", set.node));
        task::spawn(accept(l, sh.clone(), set.max_connections));
        control(sh, net, rx, start.grace, &set).await;
        log_event(LogEvent::Stopped, "edge");
        Ok(())
    })
}

/// Serves callers' connections, `most` at once, for as long as it is polled.
pub async fn accept<D: Dialect, C: Clock + Send + Sync + 'static>(
    l: TcpListener,
    sh: Arc<SharedState<D, C>>,
    most: usize,
) {
    loop {
        let Ok((s, _)) = l.accept().await else {
            task::sleep(Duration::from_millis(20)).await;
            continue;
        };
        // with no room, a closed door sends the caller on at once
        if sh.open.load(Ordering::Relaxed) >= most {
            continue;
        }
        task::spawn(counted(sh.clone(), s));
    }
}

async fn counted<D: Dialect, C: Clock + Send + Sync + 'static>(
    sh: Arc<SharedState<D, C>>,
    s: TcpStream,
) {
    sh.open.fetch_add(1, Ordering::Relaxed);
    serve::serve(sh.clone(), s).await;
    sh.open.fetch_sub(1, Ordering::Relaxed);
}

/// The session with the cores, until the node has left in order.
async fn control<D: Dialect, C: Clock>(
    sh: Arc<SharedState<D, C>>,
    net: Net<ControllerEvent>,
    rx: Receiver<ControllerEvent>,
    grace: Duration,
    set: &Settings,
) {
    let mut tick_at = Instant::now();
    let mut sweep_at = tick_at;
    let mut stop: Option<Instant> = None;
    loop {
        let wait = tick_at.saturating_duration_since(Instant::now());
        let ev = match timeout(wait, rx.recv()).await {
            Ok(Ok(e)) => e,
            Ok(Err(_)) => return,
            Err(_) => {
                tick_at = Instant::now() + TICK;
                ControllerEvent::Tick
            }
        };
        if matches!(ev, ControllerEvent::Stop) && stop.is_none() {
            stop = Some(Instant::now());
            sh.leaving.store(true, Ordering::Relaxed);
        }
        let now = sh.clock.now();
        let fx = {
            let mut f = sh.lock();
            f.running = sh.running.load(Ordering::Relaxed) as u32;
            f.step(ev, now)
        };
        for f in fx {
            match f {
                ControllerEffect::Send(c, p) => {
                    net.send(c, &p);
                }
                ControllerEffect::Connect(a) => net.dial(a, set.dial_address(a)),
                ControllerEffect::Disconnect(a) => net.undial(a),
                ControllerEffect::Say(ev, about) => log_event(ev, about),
            }
        }
        sh.wake();
        if Instant::now() >= sweep_at {
            sweep_at = Instant::now() + SWEEP;
            sh.pool.sweep();
        }
        if let Some(t) = stop {
            if left(&sh, t, grace) {
                return;
            }
        }
    }
}

/// Whether the node may end: nothing runs, and callers had time to learn.
fn left<D: Dialect, C: Clock>(sh: &SharedState<D, C>, since: Instant, grace: Duration) -> bool {
    let gone = since.elapsed();
    if gone + QUEUE_MARGIN >= grace {
        sh.close_queue();
    }
    if gone >= LET_IN.min(grace / 2) {
        sh.bell.close();
        let idle = sh.running.load(Ordering::Relaxed) == 0;
        return (idle && sh.open.load(Ordering::Relaxed) == 0) || gone + TICK * 4 >= grace;
    }
    false
}
