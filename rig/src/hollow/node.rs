//! An edge without its errands: the session's own half (`Pull`), hollow, or
//! the whole reducer where its processor time and memory are to be measured.

use sorreldoor::consensus::{Millis, Noted};
use sorreldoor::edge::{EdgeController, EdgeEffect, EdgeEvent};
use sorreldoor::errand::Plan;
use sorreldoor::net::{Conn, NetEvent};
use sorreldoor::pull::{Granted, Pull, PullFx};
use sorreldoor::seam::{Now, Reducer};
use sorreldoor::setup::Site;
use sorreldoor::wire::*;
use std::net::SocketAddr;
use std::sync::Arc;

/// What a node asks of its surroundings.
pub enum Out {
    Send(Conn, Payload),
    Dial(SocketAddr),
    Undial(SocketAddr),
}

pub struct Hollow {
    me: Hello,
    pull: Pull,
    serial: u64,
    running: u32,
    took: Vec<Took>,
    claims: u64,
    out: Vec<Out>,
}

pub enum Node {
    Hollow(Box<Hollow>),
    Full(Box<EdgeController>),
}

/// How long a node serves on one renewal, in milliseconds, as the daemon has it.
const PERMIT: Millis = 2000;

impl Node {
    pub fn new(me: Hello, seeds: &[SocketAddr], took: Vec<Took>, now: Now) -> Node {
        let pull = Pull::new(seeds, PERMIT, now.mono, now.wall).named(&me.node);
        Node::Hollow(Box::new(Hollow {
            me,
            pull,
            serial: 0,
            running: 0,
            took,
            claims: 0,
            out: Vec::new(),
        }))
    }

    pub fn full(
        me: Hello,
        seeds: &[SocketAddr],
        took: Vec<Took>,
        now: Now,
        site: Arc<Site>,
    ) -> Node {
        let pull = Pull::new(seeds, PERMIT, now.mono, now.wall).named(&me.node);
        let plan = Plan::new(site, me.node.clone(), me.zone, me.region);
        let mut h = EdgeController::new(me, plan, pull);
        let rows = took
            .into_iter()
            .map(|t| ((t.route, t.service), (t.n, t.ms)));
        h.table.took = rows.collect();
        Node::Full(Box::new(h))
    }

    fn pull(&self) -> &Pull {
        match self {
            Node::Hollow(h) => &h.pull,
            Node::Full(h) => &h.pull,
        }
    }

    pub fn permit(&self, now: Millis) -> bool {
        self.pull().permit(now)
    }

    /// The operators' serial this node acts on.
    pub fn serial(&self) -> u64 {
        match self {
            Node::Hollow(h) => h.serial,
            Node::Full(h) => h.plan.shown.view.serial,
        }
    }

    pub fn ready(&self, now: Millis) -> bool {
        let have = &self.pull().have;
        self.permit(now) && self.serial() > 0 && have.registry > 0
    }

    /// Ask for an errand id, as an errand that may not be repeated does.
    pub fn claim(&mut self) -> Option<Out> {
        let Node::Hollow(h) = self else { return None };
        h.claims += 1;
        let rid = h.claims;
        let id = format!("{:016x}{rid:016x}", h.me.boot);
        let (by, keep_ms) = ((u128::from(h.me.boot) << 64) | u128::from(rid), 360_000);
        let claim = Noted { id, by, keep_ms };
        h.pull
            .conn
            .map(|c| Out::Send(c, Payload::Claim { rid, claim }))
    }

    /// Nothing but time has come.
    pub fn alarm(&mut self, now: Now) -> Vec<Out> {
        match self {
            Node::Hollow(h) => h.alarm(now),
            Node::Full(h) => outs(h.step(EdgeEvent::Alarm, now)),
        }
    }

    pub fn net(&mut self, n: NetEvent, now: Now) -> Vec<Out> {
        match self {
            Node::Hollow(h) => h.net(n, now),
            Node::Full(h) => outs(h.step(EdgeEvent::Net(n), now)),
        }
    }
}

fn outs(fx: Vec<EdgeEffect>) -> Vec<Out> {
    fx.into_iter()
        .filter_map(|f| match f {
            EdgeEffect::Send(c, p) => Some(Out::Send(c, p)),
            EdgeEffect::Dial(a) => Some(Out::Dial(a)),
            EdgeEffect::Undial(a) => Some(Out::Undial(a)),
            _ => None,
        })
        .collect()
}

impl Hollow {
    fn alarm(&mut self, now: Now) -> Vec<Out> {
        self.woken(now);
        let fx = self.pull.alarm(now.mono);
        fx.into_iter().for_each(|f| self.pulled(f));
        std::mem::take(&mut self.out)
    }

    fn woken(&mut self, now: Now) {
        let f = self.pull.awake(now.mono, now.wall);
        f.into_iter().for_each(|f| self.pulled(f));
    }

    fn net(&mut self, n: NetEvent, now: Now) -> Vec<Out> {
        self.woken(now);
        match n {
            NetEvent::Up { conn, dialled } => {
                let h = self.me.clone();
                self.out.push(Out::Send(conn, Payload::Hello(h)));
                let fx = dialled.map(|a| self.pull.up(conn, a, now.mono));
                fx.into_iter().flatten().for_each(|f| self.pulled(f));
            }
            NetEvent::Down { conn } => self.pull.down(conn),
            NetEvent::Frame { conn, payload } => match *payload {
                Payload::Ping { .. } => {
                    self.out.push(Out::Send(conn, Payload::Ping { no: 0 }));
                }
                Payload::Grant { no, ok, news } => {
                    let some = news.record.as_ref().is_some_and(|r| r.has_document);
                    if news.record_withheld {
                        self.pull.withheld(no, now.mono);
                    } else if self.pull.granted(no, ok, some, now.mono) != Granted::No {
                        self.take(news);
                    }
                }
                _ => {}
            },
        }
        std::mem::take(&mut self.out)
    }

    fn pulled(&mut self, f: PullFx) {
        match f {
            PullFx::Dial(a) => self.out.push(Out::Dial(a)),
            PullFx::Undial(a) => self.out.push(Out::Undial(a)),
            PullFx::Renew {
                conn,
                no,
                unverified,
            } => {
                // at a few dozen errands a second no two renewals tell the same
                self.running = (self.running + 7) % 97;
                self.took.iter_mut().for_each(|t| t.n += 1);
                let have = self.pull.have.clone();
                let doing = Doing {
                    serial: self.serial,
                    permit: self.serial > 0,
                    running: self.running,
                    first: self.claims,
                    took: self.took.clone(),
                    ..Doing::default()
                };
                let p = Payload::Renew {
                    no,
                    have,
                    doing,
                    unverified,
                };
                self.out.push(Out::Send(conn, p));
            }
            _ => {}
        }
    }

    fn take(&mut self, n: News) {
        let have = &mut self.pull.have;
        if let Some(v) = n.record {
            have.record = v.revision;
            self.serial = self.serial.max(v.serial);
        }
        if let Some(r) = n.registry {
            have.registry = r.serial;
        }
        if let Some(l) = n.loads {
            have.loads = l.mark();
        }
        if let Some(s) = n.edge_sessions {
            have.edge_sessions = s.0;
        }
        if let Some((at, cores)) = n.cores {
            have.cores = at;
            let near = |(a, r): (String, u8)| a.parse().ok().map(|a| (a, r == self.me.region));
            let cores = cores.into_iter().filter_map(near).collect();
            self.pull.take_cores(cores);
        }
    }
}
