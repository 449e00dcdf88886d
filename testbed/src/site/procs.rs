//! The site's processes: starting, stopping, freezing, and their effects.

use super::World;
use crate::disk::Disk;
use sorreldoor::consensus::{Member, Save};
use sorreldoor::control_plane::membership::Policy;
use sorreldoor::control_plane::{Controller, ControllerConfig, ControllerEffect, ControllerEvent};
use sorreldoor::gateway::request_table::ClusterView;
use sorreldoor::gateway::{EdgeController, EdgeEffect, EdgeEvent};
use sorreldoor::net::NetEvent;
use sorreldoor::runtime::Reducer;
use sorreldoor::subscription::Pull;
use sorreldoor::types::Millis;
use sorreldoor::wire::Hello;
use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

pub enum Role {
    Down,
    Core(Box<Controller>),
    Edge(Box<EdgeController>),
}

pub struct Proc {
    pub name: String,
    pub core: bool,
    pub zone: u16,
    pub region: u8,
    pub addr: Option<SocketAddr>,
    pub id: u64,
    pub up: bool,
    pub incarnation: u64,
    pub role: Role,
    pub frozen_until: Millis,
    /// What came while it was frozen, in order.
    pub(crate) inbox: VecDeque<(u64, super::Act)>,
    /// How far this process' clocks are from true time.
    pub monotonic_ms: i64,
    pub wall: i64,
    /// Where it wants lines to, each under the number of its wish.
    pub peer_addresses: BTreeMap<SocketAddr, u64>,
    pub disk: Disk,
    pub promise: Option<Vec<Member>>,
    pub sure: bool,
    /// It is told that it may found a site.
    pub bootstrap: bool,
    /// Tries under way at an edge: token to worker and errand.
    pub tries: BTreeMap<u64, super::workers::Try>,
    /// Highest serial this process acted on in this life.
    pub acted: u64,
}

impl World {
    pub(crate) fn lay_procs(&mut self) {
        let zones = self.site.zones.clone();
        for (z, (zone, region)) in zones.iter().enumerate() {
            let addr: SocketAddr = ([127, 0, 0, 1], 7000 + z as u16).into();
            self.add(&format!("core-{zone}"), true, z as u16, *region, Some(addr));
        }
        for (z, (zone, region)) in zones.iter().enumerate() {
            for i in 0..self.preset.edges_per_zone {
                self.add(&format!("edge-{zone}-{i}"), false, z as u16, *region, None);
            }
        }
        for p in 0..self.procs.len() {
            let wait = self.rng.below(200);
            self.after(wait, move |w| w.start(p));
        }
    }

    pub fn add(
        &mut self,
        name: &str,
        core: bool,
        zone: u16,
        region: u8,
        addr: Option<SocketAddr>,
    ) -> usize {
        let id = self.rng.draw() >> 1;
        self.procs.push(Proc {
            name: name.into(),
            core,
            zone,
            region,
            addr,
            id,
            up: false,
            incarnation: 0,
            role: Role::Down,
            frozen_until: 0,
            inbox: VecDeque::new(),
            monotonic_ms: 0,
            wall: 0,
            peer_addresses: BTreeMap::new(),
            disk: Disk::default(),
            promise: None,
            sure: false,
            bootstrap: true,
            tries: BTreeMap::new(),
            acted: 0,
        });
        self.procs.len() - 1
    }

    /// A blank core at a new address, in the zone of one that is lost.
    pub fn replace_core(&mut self, lost: usize) -> usize {
        let port = 7100 + self.procs.len() as u16;
        let addr: SocketAddr = ([127, 0, 0, 1], port).into();
        let (zone, region) = (self.procs[lost].zone, self.procs[lost].region);
        let p = self.add(&format!("core-new{port}"), true, zone, region, Some(addr));
        self.start(p);
        p
    }

    /// The machine comes back with an empty disk: another core by name.
    pub fn wipe(&mut self, p: usize) {
        let id = self.rng.draw() >> 1;
        let q = &mut self.procs[p];
        q.disk = Disk::default();
        q.promise = None;
        q.sure = false;
        q.id = id;
    }

    fn seeds(&self) -> Vec<SocketAddr> {
        (0..3).map(|z| ([127, 0, 0, 1], 7000 + z).into()).collect()
    }

    pub fn start(&mut self, p: usize) {
        let seeds = self.seeds();
        let seed = self.rng.draw();
        let now = self.monotonic_ms(p);
        let wall = self.wall(p);
        let incarnation = self.rng.draw();
        let (ack, lease, site) = (self.ack_ms, self.lease_ms, self.site.clone());
        let most = self.most_claims;
        let (grow, replace_ms) = (self.grow, self.replace_ms);
        let mut timing = self.pacing.timing(ack);
        timing.snapshot_entries = self.keep_log.unwrap_or(timing.snapshot_entries);
        let tolerate = self.tolerate;
        let (pacing, holder_polls) = (self.pacing.clone(), self.holder_polls);
        let q = &mut self.procs[p];
        q.up = true;
        q.incarnation += 1;
        q.peer_addresses.clear();
        q.acted = 0;
        let me = Hello {
            id: q.id,
            node: q.name.clone(),
            core: q.core,
            region: q.region,
            zone: q.zone,
            addr: q.addr.map_or(String::new(), |a| a.to_string()),
            http: q.name.clone(),
            founded: false,
            incarnation,
            ..Hello::default()
        };
        if q.core {
            q.disk.open();
            let kept = Some(&q.disk.kept).filter(|m| !m.blank()).map(|m| m.kept());
            let s = ControllerConfig {
                me,
                site,
                seeds,
                cores: 3,
                membership: Policy::tolerating(tolerate, 1, replace_ms),
                timing,
                seed,
                promise: q.promise.clone(),
                sure: q.sure,
                most_claims: most,
                bootstrap: q.bootstrap,
                grow,
                pacing: pacing.clone(),
                worker_poll_ms: holder_polls,
            };
            q.role = Role::Core(Box::new(Controller::new(s, kept, now)));
        } else {
            let cluster = ClusterView::new(site, q.name.clone(), q.zone, q.region);
            let pull = Pull::new(&seeds, lease, now, wall)
                .named(&q.name)
                .paced(&pacing);
            q.role = Role::Edge(Box::new(EdgeController::new(me, cluster, pull)));
        }
        let incarnation = q.incarnation;
        self.tick(p, incarnation);
        if self.procs[p].core && self.holder_polls.is_none() {
            self.poll_registry(p, incarnation);
        }
    }

    fn tick(&mut self, p: usize, incarnation: u64) {
        if !self.procs[p].up || self.procs[p].incarnation != incarnation {
            return;
        }
        let every = if self.procs[p].core {
            self.pacing.tick_ms
        } else {
            20
        };
        self.after(every, move |w| w.tick(p, incarnation));
        if self.procs[p].frozen_until > self.now {
            return;
        }
        if self.procs[p].core {
            self.core_step(p, ControllerEvent::Tick);
        } else {
            self.hall_step(p, EdgeEvent::Tick);
        }
    }

    fn poll_registry(&mut self, p: usize, incarnation: u64) {
        if !self.procs[p].up || self.procs[p].incarnation != incarnation {
            return;
        }
        let r = self.registry.clone();
        self.reach_proc(p, incarnation, move |w| {
            w.core_step(p, ControllerEvent::WorkerRegistry(Ok(r)))
        });
        self.after(500, move |w| w.poll_registry(p, incarnation));
    }

    pub fn crash(&mut self, p: usize) {
        let n = self.procs[p].disk.unsynced() as u64;
        let survive = self.rng.below(n + 1) as usize;
        let q = &mut self.procs[p];
        q.up = false;
        q.incarnation += 1;
        q.role = Role::Down;
        q.frozen_until = 0;
        q.inbox.clear();
        q.disk.crash(survive);
        self.close_all(p);
        self.edge_died(p);
    }

    pub(crate) fn net_event(&mut self, p: usize, n: NetEvent) {
        if self.procs[p].core {
            self.core_step(p, ControllerEvent::Net(n));
        } else {
            self.hall_step(p, EdgeEvent::Net(n));
        }
    }

    pub fn controller(&self, p: usize) -> Option<&Controller> {
        match &self.procs[p].role {
            Role::Core(h) => Some(h),
            _ => None,
        }
    }

    pub fn edge_controller(&self, p: usize) -> Option<&EdgeController> {
        match &self.procs[p].role {
            Role::Edge(h) => Some(h),
            _ => None,
        }
    }

    pub fn core_step(&mut self, p: usize, ev: ControllerEvent) {
        let now = self.clocks(p);
        let Role::Core(h) = &mut self.procs[p].role else {
            return;
        };
        for f in h.step(ev, now) {
            self.core_effect(p, f);
        }
    }

    fn core_effect(&mut self, p: usize, f: ControllerEffect) {
        let incarnation = self.procs[p].incarnation;
        match f {
            ControllerEffect::Save(seq, save) => {
                if matches!(save, Save::ClaimRecord(_) | Save::ReleasedClaims(_)) {
                    self.claims_cost.2 += sorreldoor::replicated_state::encode(&save).len() as u64;
                }
                let now = self.now;
                let at = self.procs[p].disk.queue(seq, save, now);
                self.at(at, move |w| w.synced(p, incarnation, seq));
            }
            ControllerEffect::Keep("sure", _) => self.procs[p].sure = true,
            ControllerEffect::Keep(_, b) => {
                self.procs[p].promise = sorreldoor::replicated_state::decode(&b)
            }
            ControllerEffect::Send(c, m) => self.send(p, c, m),
            ControllerEffect::Connect(a) => self.want(p, a),
            ControllerEffect::Disconnect(a) => self.undial(p, a),
            ControllerEffect::Close(c) => self.close(c),
            ControllerEffect::ChangeDone {
                request_id,
                outcome,
            } => self.changed(request_id, outcome),
            ControllerEffect::ViewReady { request_id, proved } => {
                self.note_read(p, request_id, proved);
                self.viewed(p, request_id, proved);
            }
            ControllerEffect::StatusReady { .. } => {}
            ControllerEffect::ReadWorkerList => {
                self.polls += 1;
                let version = 0;
                let workers = self.registry.workers.clone();
                let r = sorreldoor::discovery::WorkerRegistry { version, workers };
                self.after(20, move |w| {
                    w.reach_proc(p, incarnation, move |w| {
                        w.core_step(p, ControllerEvent::WorkerRegistry(Ok(r)))
                    })
                });
            }
            ControllerEffect::PollLoads { epoch, workers } => {
                let names: Vec<String> = workers.into_iter().map(|w| w.name).collect();
                let region = self.procs[p].region;
                self.after(40, move |w| {
                    let rows = names.iter().map(|n| w.load_of(n, region)).collect();
                    w.reach_proc(p, incarnation, move |w| {
                        w.core_step(p, ControllerEvent::Loads { epoch, rows })
                    });
                });
            }
            ControllerEffect::Log(ev, s) => {
                let name = self.procs[p].name.clone();
                self.says.push((self.now, name, ev, s));
            }
        }
    }

    fn synced(&mut self, p: usize, incarnation: u64, seq: u64) {
        if !self.procs[p].up || self.procs[p].incarnation != incarnation {
            return;
        }
        if self.procs[p].disk.stuck {
            self.after(50, move |w| w.synced(p, incarnation, seq));
            return;
        }
        self.procs[p].disk.synced(seq);
        self.reach_proc(p, incarnation, move |w| {
            w.core_step(p, ControllerEvent::Saved(seq))
        });
    }

    fn want(&mut self, p: usize, a: SocketAddr) {
        let (wish, incarnation) = (self.number(), self.procs[p].incarnation);
        if let Entry::Vacant(e) = self.procs[p].peer_addresses.entry(a) {
            e.insert(wish);
            self.dial(p, incarnation, a, wish);
        }
    }

    fn undial(&mut self, p: usize, a: SocketAddr) {
        self.procs[p].peer_addresses.remove(&a);
        let mine: Vec<u64> = self
            .conns
            .iter()
            .filter(|(_, l)| l.halves[0].proc == p && self.procs[l.halves[1].proc].addr == Some(a))
            .map(|(c, _)| *c)
            .collect();
        for c in mine {
            self.close(c);
        }
    }

    pub fn hall_step(&mut self, p: usize, ev: EdgeEvent) {
        let now = self.clocks(p);
        let Role::Edge(h) = &mut self.procs[p].role else {
            return;
        };
        let fx = h.step(ev, now);
        for f in fx {
            match f {
                EdgeEffect::Send(c, m) => self.send(p, c, m),
                EdgeEffect::Connect(a) => self.want(p, a),
                EdgeEffect::Disconnect(a) => self.undial(p, a),
                EdgeEffect::ProposalResult(request_id, o) => self.changed(request_id, o),
                EdgeEffect::Request(f) => self.errand_fx(p, f),
                EdgeEffect::Admitted(request_id, preset) => self.come(p, request_id, preset),
                EdgeEffect::EdgesLocated(request_id, r) => self.whither(request_id, r),
                EdgeEffect::ConfigurationRead(..) | EdgeEffect::Status(..) => {}
                EdgeEffect::Log(ev, s) => {
                    let name = self.procs[p].name.clone();
                    self.says.push((self.now, name, ev, s));
                }
            }
        }
    }

    /// The core that leads globally, if any does.
    pub fn leader(&self) -> Option<usize> {
        self.cores().into_iter().find(|p| {
            self.controller(*p)
                .and_then(|h| h.consensus())
                .is_some_and(|a| a.leads_globally())
        })
    }
}
