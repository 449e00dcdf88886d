//! Callers in virtual time: they ask, follow redirects, and remember exactly
//! what they were told.

use super::World;
use sorreldoor::error::ErrorCode;
use sorreldoor::gateway::request_table::{RequestProfile as Form, RequestSpec};
use sorreldoor::gateway::EdgeEvent;
use sorreldoor::types::Millis;

#[derive(Clone, Debug, PartialEq)]
pub enum Got {
    Open,
    /// A whole result, of the errand of that caller.
    Whole(u64),
    /// A stream that was ended as one.
    Stream,
    /// A stream that was shown to have broken.
    Broken,
    Shed(ErrorCode),
    /// The connection to the edge was lost.
    Lost,
    /// It hung up itself.
    HungUp,
}

impl Got {
    /// Told that nothing of its asking has run or will.
    pub fn refused(&self) -> bool {
        use ErrorCode::*;
        matches!(self, Got::Shed(p) if !matches!(p, OutcomeUnknown | DuplicateRequestId | StreamInterrupted))
    }
}

#[derive(Clone, Debug)]
pub struct Caller {
    pub route: String,
    pub id: String,
    pub key: String,
    pub home: Option<u8>,
    pub edge: usize,
    pub events: u64,
    pub start: Millis,
    pub end: Millis,
    pub got: Got,
    /// Sequence numbers of the events seen, in order.
    pub seen: Vec<u64>,
    pub done_seen: bool,
    /// The head of a stream has come.
    pub begun: bool,
    /// It was asked again under its id, at another edge.
    pub retried: bool,
    /// How often it came back before.
    pub tries: u32,
    pub moved: bool,
}

impl World {
    /// Send an errand to an edge; the caller's number.
    pub fn ask(&mut self, edge: usize, route: &str, key: &str, home: Option<u8>) -> u64 {
        let n = self.number();
        let events = match route {
            "verdict" => 2,
            "draft" => 20,
            _ => 0,
        };
        let (start, end) = (self.now, 0);
        self.callers.insert(
            n,
            Caller {
                route: route.into(),
                id: format!("e{n}"),
                key: key.into(),
                home,
                edge,
                events,
                start,
                end,
                got: Got::Open,
                seen: Vec::new(),
                done_seen: false,
                begun: false,
                retried: false,
                tries: 0,
                moved: false,
            },
        );
        self.knock(n);
        n
    }

    /// The same errand again, under its id, at another edge.
    pub fn ask_again(&mut self, of: u64, edge: usize) -> u64 {
        let c = self.callers[&of].clone();
        if let Some(d) = self.callers.get_mut(&of) {
            d.retried = true;
        }
        let n = self.ask(edge, &c.route, &c.key, c.home);
        if let Some(d) = self.callers.get_mut(&n) {
            d.id = c.id;
        }
        n
    }

    fn request_spec(&self, n: u64) -> RequestSpec {
        let c = &self.callers[&n];
        RequestSpec {
            route: c.route.clone(),
            id: c.id.clone(),
            client_supplied_id: self.given,
            profile: Form::default(),
            key: c.key.clone(),
            home: c.home,
            adapter: None,
        }
    }

    fn knock(&mut self, n: u64) {
        let p = self.callers[&n].edge;
        if !self.procs[p].up {
            return self.got(n, Got::Lost);
        }
        let incarnation = self.procs[p].incarnation;
        self.after(1, move |w| {
            if !w.procs[p].up || w.procs[p].incarnation != incarnation {
                return w.got(n, Got::Lost);
            }
            w.reach_proc(p, incarnation, move |w| {
                let spec = w.request_spec(n);
                w.hall_step(
                    p,
                    EdgeEvent::CheckAdmission {
                        request_id: n,
                        spec,
                    },
                );
            });
        });
    }

    /// The door is open: the body goes to this edge.
    pub(crate) fn come(&mut self, p: usize, n: u64, profile: Form) {
        let incarnation = self.procs[p].incarnation;
        // what the edge acts on as it lets the body come
        let doc = self.doc_at(p);
        self.after(1, move |w| {
            w.reach_proc(p, incarnation, move |w| {
                let now = w.now;
                w.bodies.push(super::Body {
                    at: now,
                    edge: p,
                    caller: n,
                    doc,
                });
                let mut spec = w.request_spec(n);
                spec.profile = profile;
                w.hall_step(
                    p,
                    EdgeEvent::Submit {
                        request_id: n,
                        spec,
                    },
                );
            });
        });
    }

    pub(crate) fn whither(&mut self, _request_id: u64, _r: Result<Vec<String>, ErrorCode>) {}

    pub(crate) fn caller_of(&self, p: usize, request_id: u64) -> Option<u64> {
        self.callers
            .get(&request_id)
            .filter(|c| c.edge == p)
            .map(|_| request_id)
    }

    pub(crate) fn got(&mut self, n: u64, g: Got) {
        let now = self.now;
        if let Some(c) = self.callers.get_mut(&n).filter(|c| c.got == Got::Open) {
            c.got = g;
            c.end = now;
        }
    }

    pub(crate) fn shed(&mut self, request_id: u64, error_code: ErrorCode, retry_after_s: u64) {
        let open = self
            .callers
            .get(&request_id)
            .is_some_and(|c| c.got == Got::Open);
        self.got(request_id, Got::Shed(error_code));
        if open && error_code.is_retryable() && self.patience > 0 {
            self.come_back(request_id, retry_after_s);
        }
    }

    /// A caller does as it was told: it comes back after so many seconds, to
    /// an edge that `where` would name, until its patience is at its end.
    fn come_back(&mut self, request_id: u64, retry_after_s: u64) {
        let tries = self.callers[&request_id].tries + 1;
        if tries > self.patience {
            return;
        }
        let s = self.back_after.unwrap_or(retry_after_s.max(1));
        let wait = s * 1000 + self.rng.below(1000);
        self.after(wait, move |w| {
            let region = w.procs[w.callers[&request_id].edge].region;
            let good =
                |w: &World, e: usize| w.edge_controller(e).is_some_and(|h| h.ready().is_ok());
            let all: Vec<usize> = w.edges();
            let near: Vec<usize> = all
                .iter()
                .copied()
                .filter(|e| good(w, *e) && w.procs[*e].region == region)
                .collect();
            let any = if near.is_empty() { all } else { near };
            let e = any[w.rng.below(any.len() as u64) as usize];
            let n = w.ask_again(request_id, e);
            if let Some(c) = w.callers.get_mut(&n) {
                c.tries = tries;
            }
        });
    }

    pub(crate) fn elsewhere(&mut self, request_id: u64, addr: String) {
        let to = self.procs.iter().position(|p| p.name == addr);
        let Some(c) = self.callers.get_mut(&request_id) else {
            return;
        };
        match to.filter(|_| !c.moved) {
            Some(p) => {
                c.edge = p;
                c.moved = true;
                self.knock(request_id);
            }
            None => self.got(request_id, Got::Lost),
        }
    }

    pub(crate) fn give(&mut self, p: usize, request_id: u64, token: u64) {
        let whose = self.procs[p].tries.get(&token).and_then(|t| t.brought);
        match whose {
            Some(c) => self.got(request_id, Got::Whole(c)),
            None => {
                if let Some(c) = self.callers.get_mut(&request_id) {
                    c.begun = true;
                }
            }
        }
    }

    /// An event of a stream comes to the edge, which passes it on.
    pub(crate) fn event(&mut self, v: super::workers::Visit, seq: u64, done: bool) {
        let (p, incarnation) = (v.edge, v.incarnation);
        self.reach_proc(p, incarnation, move |w| {
            if !w.procs[p].tries.contains_key(&v.token) {
                return;
            }
            if let Some(c) = w
                .callers
                .get_mut(&v.request_id)
                .filter(|c| c.got == Got::Open)
            {
                c.seen.push(seq);
                c.done_seen |= done;
            }
            if done {
                w.got(v.request_id, Got::Stream);
            }
        });
    }

    pub(crate) fn broken_off(&mut self, _p: usize, request_id: u64) {
        if self.callers.get(&request_id).is_some_and(|c| c.begun) {
            self.got(request_id, Got::Broken);
        }
    }

    pub(crate) fn edge_died(&mut self, p: usize) {
        self.drop_all(p);
        let lost: Vec<u64> = self
            .callers
            .iter()
            .filter(|(_, c)| c.edge == p && c.got == Got::Open)
            .map(|(n, _)| *n)
            .collect();
        for n in lost {
            self.got(n, Got::Lost);
        }
    }

    pub fn hang_up(&mut self, n: u64) {
        let p = self.callers[&n].edge;
        let incarnation = self.procs[p].incarnation;
        self.got(n, Got::HungUp);
        self.reach_proc(p, incarnation, move |w| {
            w.hall_step(p, EdgeEvent::CallerDisconnected { request_id: n })
        });
    }

    /// Traffic of a deployment's mix, `per_s` errands a second in all, spread
    /// over the edges that `pick` allows, until `end`.
    pub fn traffic(&mut self, per_s: u64, end: Millis, pick: fn(&World, usize) -> bool) {
        if self.now >= end {
            return;
        }
        let edges: Vec<usize> = self
            .edges()
            .into_iter()
            .filter(|e| pick(self, *e))
            .collect();
        if !edges.is_empty() {
            let e = edges[self.rng.below(edges.len() as u64) as usize];
            let key = format!("prefix{}", self.rng.below(24));
            match self.rng.below(10) {
                0..=4 => self.ask(e, "verdict", &key, None),
                5 => self.ask(e, "draft", "", None),
                6 => {
                    let home = self.rng.below(self.site.regions.len() as u64) as u8;
                    self.ask(e, "question", "", Some(home))
                }
                _ => self.ask(e, "page", "", None),
            };
        }
        let gap = 1 + self.rng.below(2000 / per_s.max(1));
        self.after(gap, move |w| w.traffic(per_s, end, pick));
    }
}
