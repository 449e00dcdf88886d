//! The table itself, and what it takes in from outside.

use super::budget::Budget;
use super::endpoint::Endpoint;
use super::hash::{self, Draw};
use super::nodes::Nodes;
use super::requests::Requests;
use super::waits::Waits;
use super::{Bounds, Locality};
use crate::configuration::hosted::{Hosted, Service};
use crate::discovery::WorkerRegistry;
use crate::types::Millis;
use std::collections::HashMap;
use std::sync::Arc;

/// Services and workers whose newest list lags may turn up a little later.
const MARGIN: Millis = 300;

/// A service by name, as long as the table lives.
#[derive(Clone, Debug)]
pub(super) struct ServiceState {
    pub hash: u64,
    /// Its place in the configuration in force.
    pub conf: Option<u16>,
    pub endpoints: Vec<u32>,
    /// Routes of streams bound to each region by their homes, in parts.
    pub bound: Vec<f64>,
    /// When a long shared prefix was last asked for.
    pub long_at: Option<Millis>,
    pub budget: Budget,
    /// Time to read one prompt token, in milliseconds.
    pub per_token: f64,
    /// Time to the first event beside reading, in milliseconds.
    pub first_ms: f64,
}

/// What was decided so far, for status pages.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests begun, and those under way now.
    pub begun: u64,
    pub open: u64,
    /// Sendings answered whole.
    pub served: u64,
    pub refused: u64,
    /// Further sendings of requests that were sent before.
    pub retried: u64,
    /// Requests that waited, and those that wait now.
    pub waited: u64,
    pub waiting: u64,
    /// Times that a worker was put out, and workers that are out now.
    pub ejected: u64,
    pub out: u64,
    /// Workers on the list.
    pub workers: u64,
    /// Prompt tokens thought kept where they were sent, and those to be read.
    pub hit: u64,
    pub read: u64,
}

#[derive(Clone, Debug)]
pub struct Balancer {
    pub(super) place: Locality,
    pub(super) bounds: Bounds,
    pub(super) draw: Draw,
    pub(super) now: Millis,
    /// When it was first used.
    pub(super) born: Option<Millis>,
    pub(super) hosted: Option<Arc<Hosted>>,
    /// Counts configurations taken.
    pub(super) edition: u32,
    pub(super) evacuated: Vec<u16>,
    pub(super) version: u64,
    listed_once: bool,
    pub(super) nodes: Nodes,
    pub(super) service_states: Vec<ServiceState>,
    svc_by_name: HashMap<String, u32>,
    /// From a service of the configuration to `svcs`.
    pub(super) service_index: Vec<u32>,
    /// Indices are never used again; what is gone for good leaves a hole.
    pub(super) endpoints: Vec<Option<Box<Endpoint>>>,
    by_name: HashMap<String, u32>,
    pub(super) requests: Requests,
    pub(super) waits: Waits,
    pub(super) counts: Counts,
}

impl Balancer {
    pub fn new(place: Locality, bounds: Bounds, seed: u64) -> Balancer {
        let nodes = Nodes::new(&place.node, place.region);
        Balancer {
            draw: Draw(seed ^ hash::name(&place.node)),
            place,
            bounds,
            now: 0,
            born: None,
            hosted: None,
            edition: 0,
            evacuated: Vec::new(),
            version: 0,
            listed_once: false,
            nodes,
            service_states: Vec::new(),
            svc_by_name: HashMap::new(),
            service_index: Vec::new(),
            endpoints: Vec::new(),
            by_name: HashMap::new(),
            requests: Requests::default(),
            waits: Waits::default(),
            counts: Counts::default(),
        }
    }

    pub(super) fn tick(&mut self, now: Millis) {
        self.now = self.now.max(now);
        self.born.get_or_insert(now);
    }

    fn svc(&mut self, name: &str, now: Millis) -> u32 {
        if let Some(i) = self.svc_by_name.get(name) {
            return *i;
        }
        let i = self.service_states.len() as u32;
        self.service_states.push(ServiceState {
            hash: hash::name(name),
            conf: None,
            endpoints: Vec::new(),
            bound: Vec::new(),
            long_at: None,
            // only a node that starts anew may have forgotten what it spent
            budget: Budget::new(self.born.unwrap_or(now)),
            per_token: 0.02,
            first_ms: 50.0,
        });
        self.svc_by_name.insert(name.to_string(), i);
        i
    }

    /// The service as configured now.
    pub(super) fn conf(&self, svc: u32) -> Option<&Service> {
        let c = self.service_states.get(svc as usize)?.conf?;
        self.hosted.as_ref()?.services.get(c as usize)
    }

    /// A configuration is in force from now on.
    pub fn apply_configuration(&mut self, h: Arc<Hosted>, now: Millis) {
        self.tick(now);
        self.edition = self.edition.wrapping_add(1);
        self.service_states.iter_mut().for_each(|s| s.conf = None);
        self.service_index = h.services.iter().map(|s| self.svc(&s.name, now)).collect();
        for (c, i) in self.service_index.iter().enumerate() {
            self.service_states[*i as usize].conf = Some(c as u16);
        }
        self.bind(&h);
        self.hosted = Some(h);
        self.waits.all();
    }

    pub fn hosted(&self) -> Option<&Arc<Hosted>> {
        self.hosted.as_ref()
    }

    /// The zones that nothing is sent to, all of them.
    pub fn set_evacuated_zones(&mut self, zones: Vec<u16>, now: Millis) {
        self.tick(now);
        let back: Vec<u16> = self
            .evacuated
            .iter()
            .copied()
            .filter(|z| !zones.contains(z))
            .collect();
        self.evacuated = zones;
        // workers of a zone that was empty may have turned cold in it
        for i in 0..self.endpoints.len() {
            let Some(s) = &self.endpoints[i] else {
                continue;
            };
            if back.contains(&s.zone) {
                let warmup = self.conf(s.service).map_or(0, |c| c.warmup_ms);
                self.chill(i as u32, warmup, now);
            }
        }
        self.waits.all();
    }

    /// Assumes a worker cold for so long.
    pub(super) fn chill(&mut self, i: u32, ms: u64, now: Millis) {
        if let Some(s) = &mut self.endpoints[i as usize] {
            s.cold_until = s.cold_until.max(now + ms);
            if ms > 0 {
                s.kept.clear();
            }
        }
    }

    /// The names and zones of the ready nodes; to be called once the list is
    /// thought whole: until then this node counts on no part of a common bound.
    pub fn update_nodes(&mut self, all: Vec<(String, u16)>) {
        let of = |z: u16| self.place.regions.get(z as usize).copied();
        let all = all
            .iter()
            .map(|(n, z)| (hash::name(n), of(*z).unwrap_or(0)));
        self.nodes.take(all, self.now);
    }

    /// The platform's list; one that is older than the last is let go.
    pub fn update_registry(&mut self, r: &WorkerRegistry, now: Millis) {
        self.tick(now);
        if self.listed_once && r.version < self.version {
            return;
        }
        self.version = r.version;
        let mut seen = vec![false; self.endpoints.len() + r.workers.len()];
        for w in &r.workers {
            let svc = self.svc(&w.group, now);
            let (i, new) = self.endpoint(&w.name, w.addr, svc);
            seen[i as usize] = true;
            let warmup = self.conf(svc).map_or(0, |c| c.warmup_ms);
            let Some(s) = &mut self.endpoints[i as usize] else {
                continue;
            };
            (s.addr, s.zone, s.region, s.listed) = (w.addr, w.zone, w.region, true);
            s.open = !w.leaving && w.leaves_ms.is_none();
            if s.slots == 0 || w.slots > 0 {
                s.slots = w.slots;
            }
            s.stale = s.stale.filter(|at| *at >= r.version);
            let cold = match new && self.listed_once {
                // a worker that starts among traffic is cold, though the
                // list may not say so yet
                true => w.cold_ms.max(warmup),
                false => w.cold_ms,
            };
            if cold > 0 {
                if !s.cold(now) {
                    s.kept.clear();
                }
                s.cold_until = s.cold_until.max(now + cold + MARGIN);
            }
        }
        for (i, here) in seen.iter().enumerate().take(self.endpoints.len()) {
            if let Some(s) = self.endpoints[i].as_mut().filter(|_| !here) {
                (s.open, s.listed) = (false, false);
                self.let_go(i as u32);
            }
        }
        self.listed_once = true;
        self.weigh();
        self.waits.all();
    }

    fn endpoint(&mut self, name: &str, addr: std::net::SocketAddr, svc: u32) -> (u32, bool) {
        let old = self.by_name.get(name).copied();
        // a name that turns up in another service is another worker
        if let Some(i) = old {
            let s = self.endpoints[i as usize].as_ref();
            if s.is_some_and(|s| s.service == svc) {
                return (i, false);
            }
            if let Some(s) = &mut self.endpoints[i as usize] {
                (s.open, s.listed) = (false, false);
            }
            self.let_go(i);
        }
        let i = self.endpoints.len() as u32;
        self.endpoints
            .push(Some(Box::new(Endpoint::new(name, addr, svc))));
        self.by_name.insert(name.to_string(), i);
        self.service_states[svc as usize].endpoints.push(i);
        (i, true)
    }

    /// Forgets a worker that is off the list once nothing of it is under way.
    pub(super) fn let_go(&mut self, i: u32) {
        let Some(s) = &self.endpoints[i as usize] else {
            return;
        };
        if s.listed || s.mine > 0 {
            return;
        }
        self.service_states[s.service as usize]
            .endpoints
            .retain(|x| *x != i);
        if self.by_name.get(&s.name) == Some(&i) {
            self.by_name.remove(&s.name);
        }
        self.endpoints[i as usize] = None;
    }

    pub fn counts(&self) -> Counts {
        let endpoints = || self.endpoints.iter().flatten();
        Counts {
            open: self.requests.len() as u64,
            waiting: self.waits.len() as u64,
            out: endpoints().filter(|s| s.health.out()).count() as u64,
            workers: endpoints().filter(|s| s.listed).count() as u64,
            ..self.counts
        }
    }
}
