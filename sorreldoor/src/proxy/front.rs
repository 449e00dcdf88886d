//! The control half of a node that serves hosted routes: its session with a
//! core, the news it takes, and the table that news goes into.

use crate::balancer::Balancer;
use crate::configuration::hosted::Hosted;
use crate::configuration::Site;
use crate::discovery::WorkerRegistry;
use crate::log_events::LogEvent;
use crate::net::{Conn, NetEvent};
use crate::replicated_state::{DocumentDelta, StateUpdate, View};
use crate::runtime::{Now, Reducer};
use crate::subscription::{Granted, Pull, SubscriptionEffect};
use crate::types::Millis;
use crate::wire::*;
use std::net::SocketAddr;
use std::sync::Arc;

/// After its first list of nodes one waits so long for the rest of it.
const WHOLE_MS: Millis = 1000;

#[derive(Debug)]
pub enum ControllerEvent {
    Tick,
    Net(NetEvent),
    Stop,
}

#[derive(Debug)]
pub enum ControllerEffect {
    Send(Conn, Payload),
    Connect(SocketAddr),
    Disconnect(SocketAddr),
    Say(LogEvent, String),
}

/// A ready node as callers are sent to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadyEdge {
    pub node: String,
    pub addr: String,
    pub zone: u16,
    pub region: u8,
}

pub struct ProxyController {
    pub me: Hello,
    pub site: Arc<Site>,
    pub pull: Pull,
    pub table: Balancer,
    /// Nodes that are ready, by the sessions that cores tell of.
    pub nodes: Vec<ReadyEdge>,
    pub view: View,
    pub leaving: bool,
    pub running: u32,
    pub now: Millis,
    /// What cores were last told of it.
    told_ready: bool,
    /// The nodes, ready or not, and until when they are not thought whole.
    all: Vec<(String, u16)>,
    whole_at: Option<Millis>,
    out: Vec<ControllerEffect>,
}

impl Reducer for ProxyController {
    type Event = ControllerEvent;
    type Effect = ControllerEffect;

    fn step(&mut self, ev: ControllerEvent, at: Now) -> Vec<ControllerEffect> {
        self.now = self.now.max(at.monotonic_ms);
        if let Some(f) = self.pull.awake(self.now, at.wall) {
            self.pulled(f);
        }
        match ev {
            ControllerEvent::Tick => {
                for f in self.pull.tick(self.now) {
                    self.pulled(f);
                }
            }
            ControllerEvent::Net(n) => self.net(n),
            ControllerEvent::Stop => {
                self.leaving = true;
                self.log_event(LogEvent::ShuttingDown, "edge");
            }
        }
        self.tell_ready();
        self.count_nodes();
        std::mem::take(&mut self.out)
    }
}

impl ProxyController {
    pub fn new(me: Hello, site: Arc<Site>, pull: Pull, table: Balancer) -> ProxyController {
        ProxyController {
            me,
            site,
            pull,
            table,
            nodes: Vec::new(),
            view: View::default(),
            leaving: false,
            running: 0,
            now: 0,
            told_ready: false,
            all: Vec::new(),
            whole_at: None,
            out: Vec::new(),
        }
    }

    fn log_event(&mut self, ev: LogEvent, about: impl Into<String>) {
        self.out.push(ControllerEffect::Say(ev, about.into()));
    }

    /// It has a configuration and workers, and is not going down.
    pub fn ready(&self) -> bool {
        !self.leaving && self.table.hosted().is_some() && self.pull.have.registry > 0
    }

    /// The ready nodes as this one knows them, with itself.
    pub fn seen(&self) -> Vec<ReadyEdge> {
        let me = ReadyEdge {
            node: self.me.node.clone(),
            addr: self.me.http.clone(),
            zone: self.me.zone,
            region: self.me.region,
        };
        let alone = self.ready() && self.nodes.iter().all(|n| n.node != me.node);
        let mine = Some(me).filter(|_| alone);
        self.nodes.iter().cloned().chain(mine).collect()
    }

    /// That it became ready, or is going down, is told at once.
    fn tell_ready(&mut self) {
        let ready = self.ready();
        let conn = self.pull.conn.filter(|_| ready != self.told_ready);
        // callers must be sent here as soon, and elsewhere before the
        // door shuts
        if let Some(c) = conn {
            let f = self.pull.renew(c, self.now);
            self.pulled(f);
        }
    }

    /// Who shares the common bounds: once all had time to start, also those
    /// that are not ready yet.
    fn count_nodes(&mut self) {
        if !self.all.is_empty() && self.whole_at.is_some_and(|t| self.now >= t) {
            self.table.update_nodes(std::mem::take(&mut self.all));
        }
    }

    fn pulled(&mut self, f: SubscriptionEffect) {
        match f {
            SubscriptionEffect::Connect(a) => self.out.push(ControllerEffect::Connect(a)),
            SubscriptionEffect::Disconnect(a) => self.out.push(ControllerEffect::Disconnect(a)),
            SubscriptionEffect::Renew {
                conn,
                no,
                unverified,
            } => {
                let have = self.pull.have.clone();
                self.told_ready = self.ready();
                let edge_status = EdgeStatus {
                    version: self.view.version,
                    lease: self.ready(),
                    running: self.running,
                    ..EdgeStatus::default()
                };
                let p = Payload::Renew {
                    no,
                    have,
                    edge_status,
                    unverified,
                };
                self.out.push(ControllerEffect::Send(conn, p));
            }
            SubscriptionEffect::Lost => self.log_event(LogEvent::SessionLost, "silent"),
            SubscriptionEffect::Woken(s) => self.log_event(LogEvent::ClockJump, s),
            SubscriptionEffect::LeaseExpired | SubscriptionEffect::LeaseRenewed => {}
        }
    }

    fn net(&mut self, n: NetEvent) {
        match n {
            NetEvent::Up { conn, dialled } => {
                let h = self.me.clone();
                self.out
                    .push(ControllerEffect::Send(conn, Payload::Hello(h)));
                if let Some(a) = dialled {
                    let fx = self.pull.up(conn, a, self.now);
                    fx.into_iter().for_each(|f| self.pulled(f));
                    self.log_event(LogEvent::SessionEstablished, a.to_string());
                }
            }
            NetEvent::Down { conn } => self.pull.down(conn),
            NetEvent::Frame { payload, .. } => match *payload {
                Payload::Grant { no, ok, delta } => {
                    // news from a core that could not prove itself may be
                    // old, and is taken only by a node that has none at all
                    let some = delta.record.as_ref().is_some_and(|r| r.has_document);
                    if delta.record_withheld {
                        self.pull.withheld(no, self.now);
                    } else if self.pull.granted(no, ok, some, self.now) != Granted::No {
                        self.apply_delta(delta);
                    }
                }
                Payload::WorkerRegistry(r) => self.take_list(&r),
                _ => {}
            },
        }
    }

    fn apply_delta(&mut self, n: StateDelta) {
        // an answer that was long on its way must not undo a newer one
        if let Some(u) = n.record.filter(|u| u.revision > self.pull.have.record) {
            self.take_update(&u);
        }
        if let Some(r) = n.registry {
            self.take_list(&r);
        }
        if let Some(s) = n.edge_sessions {
            self.pull.have.edge_sessions = s.0;
            self.take_places(s.1);
        }
        if let Some((at, cores)) = n.cores {
            self.pull.have.cores = at;
            let region = self.me.region;
            let near = |(a, r): &(String, u8)| a.parse().ok().map(|a| (a, *r == region));
            self.pull
                .take_cores(cores.iter().filter_map(near).collect());
        }
    }

    fn take_list(&mut self, r: &WorkerRegistry) {
        // lists are told by more than one way, and an older may come later
        if r.version > self.pull.have.registry {
            self.pull.have.registry = r.version;
            self.table.update_registry(r, self.now);
        }
    }

    fn take_update(&mut self, encoded: &EncodedUpdate) {
        let leads_on = |u: &StateUpdate| u.from_revision <= self.view.revision;
        let Some(update) = encoded.update().filter(leads_on) else {
            return self.ask_whole("an update that does not lead on");
        };
        if let Some(changes) = &update.document {
            if let Err(faults) = self.take_document(update.from_revision == 0, changes) {
                return self.ask_whole(&faults.join("; "));
            }
        }
        if update.version != self.view.version {
            self.log_event(
                LogEvent::ConfigurationApplied,
                format!("serial {}", update.version),
            );
        }
        self.pull.have.record = update.revision;
        self.table
            .set_evacuated_zones(update.evacuated.clone(), self.now);
        // the text is read; keeping it would cost its size for nothing
        self.view = View {
            revision: update.revision,
            version: update.version,
            doc: update.document.map(|_| Arc::default()),
            evacuated: update.evacuated,
            weights: Vec::new(),
            regions: update.regions,
        };
        if encoded.bytes.len() > LARGE_UPDATE {
            // the core sends nothing more until it knows that this was taken
            let conn = self.pull.conn;
            let renewal = conn.map(|c| self.pull.renew(c, self.now));
            renewal.into_iter().for_each(|f| self.pulled(f));
        }
    }

    fn ask_whole(&mut self, why: &str) {
        self.pull.have.record = 0;
        self.log_event(LogEvent::ConfigurationUnreadable, why);
    }

    fn take_document(&mut self, whole: bool, c: &DocumentDelta) -> Result<(), Vec<String>> {
        let old = self.table.hosted().filter(|_| !whole).cloned();
        let old: Arc<Hosted> = old.unwrap_or_default();
        if let Some(hosted) = c.hosted(&old, &self.site)? {
            self.table.apply_configuration(Arc::new(hosted), self.now);
        }
        Ok(())
    }

    fn take_places(&mut self, all: Vec<EdgeEndpoint>) {
        let of = |p: &EdgeEndpoint| ReadyEdge {
            node: p.node.clone(),
            addr: p.http.clone(),
            zone: p.zone,
            region: p.region,
        };
        self.nodes = all.iter().filter(|p| p.ready).map(of).collect();
        self.all = all.iter().map(|p| (p.node.clone(), p.zone)).collect();
        self.whole_at.get_or_insert(self.now + WHOLE_MS);
    }
}
