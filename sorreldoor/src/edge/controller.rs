//! The edge's one reducer over all events, with effects as data.

use crate::consensus::{Millis, ProposalId};
use crate::errand::{Asked, ErrandFx, Plan, Shape, Table, Told};
use crate::events::Ev;
use crate::json::Val;
use crate::net::{Conn, NetEvent};
use crate::problem::Problem;
use crate::pull::{Pull, PullFx};
use crate::record::Cmd;
use crate::seam::{Now, Reducer};
use crate::wire::*;
use simd_json::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;

#[derive(Debug)]
pub enum EdgeEvent {
    Alarm,
    Net(NetEvent),
    /// A head has come; may its body be read?
    Knock {
        rid: u64,
        asked: Asked,
    },
    Errand {
        rid: u64,
        asked: Asked,
    },
    Gone {
        rid: u64,
    },
    Told {
        rid: u64,
        token: u64,
        told: Told,
    },
    Where {
        rid: u64,
        asked: Asked,
    },
    Change {
        rid: u64,
        pid: ProposalId,
        cmd: Cmd,
    },
    Find {
        rid: u64,
        pid: ProposalId,
    },
    /// What would become of such an errand now, of a caller in that region.
    Explain {
        rid: u64,
        asked: Asked,
    },
    /// Read the setup, proved current from now on.
    Look {
        rid: u64,
    },
    Status {
        rid: u64,
    },
    Stop,
}

#[derive(Debug)]
pub enum EdgeEffect {
    Send(Conn, Payload),
    Dial(SocketAddr),
    Undial(SocketAddr),
    Errand(ErrandFx),
    /// The body may come: for a model, streamed, within so long.
    Come(u64, Shape),
    Where(u64, Result<Vec<String>, Problem>),
    Done(u64, OpOutcome),
    Looked(u64, bool),
    Status(u64, String),
    Say(Ev, String),
}

pub struct EdgeController {
    pub me: Hello,
    pub plan: Plan,
    pub table: Table,
    pub pull: Pull,
    /// The record as last told.
    pub(super) copy: crate::record::Copy,
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
    type Fx = EdgeEffect;

    fn step(&mut self, ev: EdgeEvent, at: Now) -> Vec<EdgeEffect> {
        self.now = self.now.max(at.mono);
        let now = self.now;
        // what woke it may come before any alarm, and must find it shut
        if let Some(f) = self.pull.awake(now, at.wall) {
            self.pulled(f);
        }
        match ev {
            EdgeEvent::Alarm => self.alarm(),
            EdgeEvent::Net(n) => self.net(n),
            EdgeEvent::Knock { rid, asked } => self.knock(rid, asked),
            EdgeEvent::Errand { rid, asked } => match self.closed() {
                Some(p) => self.shed(rid, p),
                None => self.table.take(&mut self.plan, rid, asked, now),
            },
            EdgeEvent::Gone { rid } => self.table.gone(&mut self.plan, rid),
            EdgeEvent::Told { rid, token, told } => {
                let permit = self.pull.permit(now);
                self.table
                    .told(&mut self.plan, rid, token, told, permit, now);
            }
            EdgeEvent::Where { rid, asked } => self.whither(rid, asked),
            EdgeEvent::Change { rid, pid, cmd } => self.change(rid, Payload::Op { rid, pid, cmd }),
            EdgeEvent::Find { rid, pid } => self.change(rid, Payload::OpFind { rid, pid }),
            EdgeEvent::Explain { rid, asked } => self.explain(rid, asked),
            EdgeEvent::Look { rid } => self.look(rid),
            EdgeEvent::Status { rid } => {
                let s = self.status().encode();
                self.out.push(EdgeEffect::Status(rid, s));
            }
            EdgeEvent::Stop => {
                self.leaving = true;
                self.say(Ev::Leaving, "edge");
            }
        }
        if self.pull.permit(self.now) {
            self.table.pass_match(&mut self.plan, now);
        }
        let fx = std::mem::take(&mut self.table.out);
        for f in fx {
            match &f {
                ErrandFx::Claim { rid, claim } => self.claim(*rid, claim.clone()),
                ErrandFx::Release { rid, id } => self.release(*rid, id.clone()),
                ErrandFx::Unknown { id, worker } => {
                    self.say(Ev::ErrandUnknown, format!("{id} at {worker}"))
                }
                ErrandFx::Bad {
                    id,
                    worker,
                    problem,
                } => {
                    let ev = if *problem == Problem::StreamBroken {
                        Ev::StreamBroken
                    } else {
                        Ev::ResultBad
                    };
                    self.say(ev, format!("{id} at {worker}: {}", problem.code()));
                }
                _ => {}
            }
            self.out.push(EdgeEffect::Errand(f));
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

    pub(super) fn say(&mut self, ev: Ev, about: impl Into<String>) {
        self.out.push(EdgeEffect::Say(ev, about.into()));
    }

    fn shed(&mut self, rid: u64, problem: Problem) {
        self.table.shed(rid, problem, self.now);
    }

    /// Why nothing new is taken in just now.
    fn closed(&self) -> Option<Problem> {
        if self.leaving {
            return Some(Problem::Leaving);
        }
        Some(Problem::NoPermit).filter(|_| !self.pull.permit(self.now))
    }

    pub fn ready(&self) -> Result<(), Problem> {
        self.closed().map_or(Ok(()), Err)?;
        self.plan
            .setup
            .as_ref()
            .map(|_| ())
            .ok_or(Problem::NoSetup)?;
        Some(())
            .filter(|_| !self.plan.emptied(self.plan.zone))
            .ok_or(Problem::Leaving)
    }

    pub fn idle(&self) -> bool {
        self.table.rows.is_empty()
    }

    fn alarm(&mut self) {
        for f in self.pull.alarm(self.now) {
            self.pulled(f);
        }
        self.releases_alarm();
        self.table.pass_claims(self.now);
        self.table.pass_cutoffs(&mut self.plan, self.now);
        self.table.pass_hopeless(&self.plan, self.now);
        if !self.pull.permit(self.now) {
            self.table.pass_unpermitted(self.now);
        }
    }

    pub(super) fn pulled(&mut self, f: PullFx) {
        match f {
            PullFx::Dial(a) => self.out.push(EdgeEffect::Dial(a)),
            PullFx::Undial(a) => self.out.push(EdgeEffect::Undial(a)),
            PullFx::Renew {
                conn,
                no,
                unverified,
            } => {
                let have = self.pull.have.clone();
                let doing = Doing {
                    serial: self.plan.shown.view.serial,
                    permit: self.ready().is_ok(),
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
                        doing,
                        unverified,
                    },
                ));
            }
            PullFx::Lost => self.say(Ev::SessionLost, "silent"),
            PullFx::Woken(s) => self.say(Ev::Woken, s),
            PullFx::PermitLost => self.say(Ev::PermitLost, ""),
            PullFx::PermitBack => self.say(Ev::PermitBack, ""),
        }
    }

    /// What errands took, by the names of the setup in force.
    fn took(&self) -> Vec<Took> {
        let all = self.table.took.iter();
        let s = self.plan.setup.as_ref();
        let known = |r: &str| s.is_some_and(|s| s.route(r).is_some());
        all.filter(|((r, _), _)| known(r))
            .map(|((r, v), (n, ms))| Took {
                route: r.clone(),
                service: v.clone(),
                n: *n,
                ms: *ms,
            })
            .collect()
    }

    fn knock(&mut self, rid: u64, asked: Asked) {
        self.table.came(&self.plan, self.now);
        if let Some(p) = self.closed() {
            return self.shed(rid, p);
        }
        match self.table.knock(&self.plan, rid, &asked) {
            Ok(true) => {
                let shape = self.shape(&asked.route);
                self.out.push(EdgeEffect::Come(rid, shape));
            }
            Ok(false) => {}
            Err(p) => self.shed(rid, p),
        }
    }

    fn shape(&self, route: &str) -> Shape {
        let s = self.plan.setup.as_ref();
        let r = s.and_then(|s| s.route(route).map(|i| &s.routes[i as usize]));
        r.map_or(Shape::default(), Shape::of)
    }

    /// Where a caller should go with such an errand.
    fn whither(&mut self, rid: u64, a: Asked) {
        let r = self.closed().map_or(Ok(()), Err).and_then(|()| {
            let s = self.plan.setup.as_ref().ok_or(Problem::NoSetup)?;
            let route = s.route(&a.route).ok_or(Problem::UnknownRoute)?;
            let home = s.routes[route as usize].home;
            if home && a.home.is_none() {
                return Err(Problem::BadErrand);
            }
            let at = a.home.or(Some(self.plan.region));
            let all = self.plan.edges_for(at, home, &a.key);
            Some(all).filter(|l| !l.is_empty()).ok_or(Problem::NoWorker)
        });
        self.out.push(EdgeEffect::Where(rid, r));
    }

    fn explain(&mut self, rid: u64, a: Asked) {
        let region = a.home.unwrap_or(self.plan.region);
        let told = self.closed().map_or(Ok(()), Err).and_then(|()| {
            if region == self.plan.region {
                return self.table.explain(&self.plan, a);
            }
            // only an edge of that region knows what it would do
            let all = self.plan.edges_for(Some(region), true, &a.key);
            let mut v = Val::object();
            let _ = v.insert("ask", all.first().cloned().ok_or(Problem::NoWorker)?);
            Ok(v)
        });
        self.out.push(match told {
            Ok(v) => EdgeEffect::Status(rid, v.encode()),
            Err(p) => EdgeEffect::Where(rid, Err(p)),
        });
    }

    fn change(&mut self, rid: u64, p: Payload) {
        let Some(c) = self.pull.conn else {
            // nothing has left this node, so it is surely not taken
            self.out.push(EdgeEffect::Done(rid, OpOutcome::NotTaken));
            return;
        };
        self.changes.insert(rid, c);
        self.out.push(EdgeEffect::Send(c, p));
    }

    fn look(&mut self, rid: u64) {
        let Some(c) = self.pull.conn else {
            self.out.push(EdgeEffect::Looked(rid, false));
            return;
        };
        let f = self.pull.renew(c, self.now);
        self.looks.push((rid, self.pull.last_no()));
        self.pulled(f);
    }

    pub(super) fn looked(&mut self, no: u64, ok: bool) {
        let (ready, wait): (Vec<_>, Vec<_>) = self.looks.drain(..).partition(|(_, n)| *n <= no);
        self.looks = wait;
        for (rid, _) in ready {
            self.out.push(EdgeEffect::Looked(rid, ok));
        }
    }
}
