//! The edge's one reducer over all events, with effects as data.

use crate::error::ErrorCode;
use crate::gateway::request_table::{
    AttemptEvent, Plan, RequestEffect, RequestProfile, RequestSpec, Table,
};
use crate::json::Value;
use crate::log_events::LogEvent;
use crate::net::{Conn, NetEvent};
use crate::replicated_state::Command;
use crate::runtime::{Now, Reducer};
use crate::subscription::{Pull, SubscriptionEffect};
use crate::types::{Millis, ProposalId};
use crate::wire::*;
use simd_json::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Debug)]
pub enum EdgeEvent {
    Tick,
    Net(NetEvent),
    /// A head has come; may its body be read?
    Knock {
        request_id: u64,
        asked: RequestSpec,
    },
    Request {
        request_id: u64,
        asked: RequestSpec,
    },
    Gone {
        request_id: u64,
    },
    AttemptEvent {
        request_id: u64,
        token: u64,
        told: AttemptEvent,
    },
    Where {
        request_id: u64,
        asked: RequestSpec,
    },
    Change {
        request_id: u64,
        proposal_id: ProposalId,
        cmd: Command,
    },
    Find {
        request_id: u64,
        proposal_id: ProposalId,
    },
    /// What would become of such an errand now, of a caller in that region.
    Explain {
        request_id: u64,
        asked: RequestSpec,
    },
    /// Read the setup, proved current from now on.
    Look {
        request_id: u64,
    },
    Status {
        request_id: u64,
    },
    Stop,
}

#[derive(Debug)]
pub enum EdgeEffect {
    Send(Conn, Payload),
    Connect(SocketAddr),
    Disconnect(SocketAddr),
    Request(RequestEffect),
    /// The body may come: for a model, streamed, within so long.
    Come(u64, RequestProfile),
    Where(u64, Result<Vec<String>, ErrorCode>),
    Done(u64, OpOutcome),
    Looked(u64, bool),
    Status(u64, String),
    Say(LogEvent, String),
}

pub struct EdgeController {
    pub me: Hello,
    pub plan: Plan,
    pub table: Table,
    pub pull: Pull,
    /// The record as last told.
    pub(super) copy: crate::replicated_state::StateReplica,
    pub(super) looks: Vec<(u64, u64)>,
    pub(super) changes: BTreeMap<u64, Conn>,
    /// Claims given up that the cores have not confirmed: id, and since when.
    pub(super) frees: BTreeMap<u64, (String, Millis)>,
    pub(super) frees_at: Millis,
    pub leaving: bool,
    pub now: Millis,
    pub(super) out: Vec<EdgeEffect>,
}

impl Reducer for EdgeController {
    type Event = EdgeEvent;
    type Effect = EdgeEffect;

    fn step(&mut self, ev: EdgeEvent, at: Now) -> Vec<EdgeEffect> {
        self.now = self.now.max(at.monotonic_ms);
        let now = self.now;
        // what woke it may come before any alarm, and must find it shut
        if let Some(f) = self.pull.awake(now, at.wall) {
            self.pulled(f);
        }
        match ev {
            EdgeEvent::Tick => self.tick(),
            EdgeEvent::Net(n) => self.net(n),
            EdgeEvent::Knock { request_id, asked } => self.knock(request_id, asked),
            EdgeEvent::Request { request_id, asked } => match self.closed() {
                Some(p) => self.shed(request_id, p),
                None => self.table.take(&mut self.plan, request_id, asked, now),
            },
            EdgeEvent::Gone { request_id } => self.table.gone(&mut self.plan, request_id),
            EdgeEvent::AttemptEvent {
                request_id,
                token,
                told,
            } => {
                let lease = self.pull.lease(now);
                self.table
                    .told(&mut self.plan, request_id, token, told, lease, now);
            }
            EdgeEvent::Where { request_id, asked } => self.whither(request_id, asked),
            EdgeEvent::Change {
                request_id,
                proposal_id,
                cmd,
            } => self.change(
                request_id,
                Payload::Op {
                    request_id,
                    proposal_id,
                    cmd,
                },
            ),
            EdgeEvent::Find {
                request_id,
                proposal_id,
            } => self.change(
                request_id,
                Payload::OpFind {
                    request_id,
                    proposal_id,
                },
            ),
            EdgeEvent::Explain { request_id, asked } => self.explain(request_id, asked),
            EdgeEvent::Look { request_id } => self.look(request_id),
            EdgeEvent::Status { request_id } => {
                let s = self.status().encode();
                self.out.push(EdgeEffect::Status(request_id, s));
            }
            EdgeEvent::Stop => {
                self.leaving = true;
                self.log_event(LogEvent::Leaving, "edge");
            }
        }
        if self.pull.lease(self.now) {
            self.table.pass_match(&mut self.plan, now);
        }
        let fx = std::mem::take(&mut self.table.out);
        for f in fx {
            match &f {
                RequestEffect::Claim { request_id, claim } => {
                    self.claim(*request_id, claim.clone())
                }
                RequestEffect::Release { request_id, id } => self.release(*request_id, id.clone()),
                RequestEffect::Unknown { id, worker } => {
                    self.log_event(LogEvent::ErrandUnknown, format!("{id} at {worker}"))
                }
                RequestEffect::Bad {
                    id,
                    worker,
                    error_code,
                } => {
                    let ev = if *error_code == ErrorCode::StreamBroken {
                        LogEvent::StreamBroken
                    } else {
                        LogEvent::ResultBad
                    };
                    self.log_event(ev, format!("{id} at {worker}: {}", error_code.code()));
                }
                _ => {}
            }
            self.out.push(EdgeEffect::Request(f));
        }
        std::mem::take(&mut self.out)
    }
}

impl EdgeController {
    pub fn new(me: Hello, plan: Plan, pull: Pull) -> EdgeController {
        EdgeController {
            me,
            plan,
            table: Table::default(),
            pull,
            copy: Default::default(),
            looks: Vec::new(),
            changes: BTreeMap::new(),
            frees: BTreeMap::new(),
            frees_at: 0,
            leaving: false,
            now: 0,
            out: Vec::new(),
        }
    }

    pub(super) fn log_event(&mut self, ev: LogEvent, about: impl Into<String>) {
        self.out.push(EdgeEffect::Say(ev, about.into()));
    }

    fn shed(&mut self, request_id: u64, error_code: ErrorCode) {
        self.table.shed(request_id, error_code, self.now);
    }

    /// Why nothing new is taken in just now.
    fn closed(&self) -> Option<ErrorCode> {
        if self.leaving {
            return Some(ErrorCode::Leaving);
        }
        Some(ErrorCode::NoLease).filter(|_| !self.pull.lease(self.now))
    }

    pub fn ready(&self) -> Result<(), ErrorCode> {
        self.closed().map_or(Ok(()), Err)?;
        self.plan
            .configuration
            .as_ref()
            .map(|_| ())
            .ok_or(ErrorCode::NoConfiguration)?;
        Some(())
            .filter(|_| !self.plan.evacuated(self.plan.zone))
            .ok_or(ErrorCode::Leaving)
    }

    pub fn idle(&self) -> bool {
        self.table.rows.is_empty()
    }

    fn tick(&mut self) {
        for f in self.pull.tick(self.now) {
            self.pulled(f);
        }
        self.releases_alarm();
        self.table.pass_claims(self.now);
        self.table.pass_cutoffs(&mut self.plan, self.now);
        self.table.pass_hopeless(&self.plan, self.now);
        if !self.pull.lease(self.now) {
            self.table.pass_unpermitted(self.now);
        }
    }

    pub(super) fn pulled(&mut self, f: SubscriptionEffect) {
        match f {
            SubscriptionEffect::Connect(a) => self.out.push(EdgeEffect::Connect(a)),
            SubscriptionEffect::Disconnect(a) => self.out.push(EdgeEffect::Disconnect(a)),
            SubscriptionEffect::Renew {
                conn,
                no,
                unverified,
            } => {
                let have = self.pull.have.clone();
                let edge_status = EdgeStatus {
                    version: self.plan.shown.view.version,
                    lease: self.ready().is_ok(),
                    running: self.table.rows.len() as u32,
                    first: self.table.counts.first,
                    again: self.table.counts.again,
                    shed: self.table.counts.shed,
                    took: self.took(),
                };
                self.out.push(EdgeEffect::Send(
                    conn,
                    Payload::Renew {
                        no,
                        have,
                        edge_status,
                        unverified,
                    },
                ));
            }
            SubscriptionEffect::Lost => self.log_event(LogEvent::SessionLost, "silent"),
            SubscriptionEffect::Woken(s) => self.log_event(LogEvent::Woken, s),
            SubscriptionEffect::LeaseExpired => self.log_event(LogEvent::LeaseExpired, ""),
            SubscriptionEffect::LeaseRenewed => self.log_event(LogEvent::LeaseRenewed, ""),
        }
    }

    /// What errands took, by the names of the setup in force.
    fn took(&self) -> Vec<RouteLatency> {
        let all = self.table.took.iter();
        let s = self.plan.configuration.as_ref();
        let known = |r: &str| s.is_some_and(|s| s.route(r).is_some());
        all.filter(|((r, _), _)| known(r))
            .map(|((r, v), (n, ms))| RouteLatency {
                route: r.clone(),
                service: v.clone(),
                n: *n,
                ms: *ms,
            })
            .collect()
    }

    fn knock(&mut self, request_id: u64, asked: RequestSpec) {
        self.table.came(&self.plan, self.now);
        if let Some(p) = self.closed() {
            return self.shed(request_id, p);
        }
        match self.table.knock(&self.plan, request_id, &asked) {
            Ok(true) => {
                let profile = self.profile(&asked.route);
                self.out.push(EdgeEffect::Come(request_id, profile));
            }
            Ok(false) => {}
            Err(p) => self.shed(request_id, p),
        }
    }

    fn profile(&self, route: &str) -> RequestProfile {
        let s = self.plan.configuration.as_ref();
        let r = s.and_then(|s| s.route(route).map(|i| &s.routes[i as usize]));
        r.map_or(RequestProfile::default(), RequestProfile::of)
    }

    /// Where a caller should go with such an errand.
    fn whither(&mut self, request_id: u64, a: RequestSpec) {
        let r = self.closed().map_or(Ok(()), Err).and_then(|()| {
            let s = self
                .plan
                .configuration
                .as_ref()
                .ok_or(ErrorCode::NoConfiguration)?;
            let route = s.route(&a.route).ok_or(ErrorCode::UnknownRoute)?;
            let home = s.routes[route as usize].home;
            if home && a.home.is_none() {
                return Err(ErrorCode::BadErrand);
            }
            let at = a.home.or(Some(self.plan.region));
            let all = self.plan.edges_for(at, home, &a.key);
            Some(all)
                .filter(|l| !l.is_empty())
                .ok_or(ErrorCode::NoWorker)
        });
        self.out.push(EdgeEffect::Where(request_id, r));
    }

    fn explain(&mut self, request_id: u64, a: RequestSpec) {
        let region = a.home.unwrap_or(self.plan.region);
        let told = self.closed().map_or(Ok(()), Err).and_then(|()| {
            if region == self.plan.region {
                return self.table.explain(&self.plan, a);
            }
            // only an edge of that region knows what it would do
            let all = self.plan.edges_for(Some(region), true, &a.key);
            let mut v = Value::object();
            let _ = v.insert("ask", all.first().cloned().ok_or(ErrorCode::NoWorker)?);
            Ok(v)
        });
        self.out.push(match told {
            Ok(v) => EdgeEffect::Status(request_id, v.encode()),
            Err(p) => EdgeEffect::Where(request_id, Err(p)),
        });
    }

    fn change(&mut self, request_id: u64, p: Payload) {
        let Some(c) = self.pull.conn else {
            // nothing has left this node, so it is surely not taken
            self.out
                .push(EdgeEffect::Done(request_id, OpOutcome::NotTaken));
            return;
        };
        self.changes.insert(request_id, c);
        self.out.push(EdgeEffect::Send(c, p));
    }

    fn look(&mut self, request_id: u64) {
        let Some(c) = self.pull.conn else {
            self.out.push(EdgeEffect::Looked(request_id, false));
            return;
        };
        let f = self.pull.renew(c, self.now);
        self.looks.push((request_id, self.pull.last_no()));
        self.pulled(f);
    }

    pub(super) fn looked(&mut self, no: u64, ok: bool) {
        let (ready, wait): (Vec<_>, Vec<_>) = self.looks.drain(..).partition(|(_, n)| *n <= no);
        self.looks = wait;
        for (request_id, _) in ready {
            self.out.push(EdgeEffect::Looked(request_id, ok));
        }
    }
}
