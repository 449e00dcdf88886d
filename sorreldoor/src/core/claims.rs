//! Claims on errand ids: an errand that may not be repeated is sent only by
//! the edge whose claim on its id a majority of cores has noted, and synced,
//! first. So no kill of any number of nodes lets another edge send it.

use super::hub::Hub;
use crate::agree::{Ms, Nid};
use crate::net::Conn;
use crate::rules::{broken, Rule};
use crate::wire::{Hello, Payload};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Claims kept at most; older ones are forgotten.
const MOST: usize = 100_000;
const WAIT_MS: Ms = 5000;
/// Claims told in one frame.
const TELL: usize = 8192;

/// Who claims: one try of one life of an edge.
pub type By = u128;

struct Open {
    conn: Conn,
    rid: u64,
    id: String,
    by: By,
    since: Ms,
    yes: BTreeSet<Nid>,
    no: BTreeSet<Nid>,
}

#[derive(Default)]
pub struct Claims {
    held: BTreeMap<String, By>,
    order: VecDeque<String>,
    open: BTreeMap<u64, Open>,
    /// A blank core that replaced another knows nothing until it is told.
    sure: bool,
    next: u64,
    /// What may be said once the save of that number is synced.
    unsaid: VecDeque<(u64, Say)>,
}

enum Say {
    To(Conn, Payload),
    Own(u64),
}

impl Claims {
    /// What a store gave back; such a core has forgotten nothing it said.
    pub fn kept(all: &[(String, By)]) -> Claims {
        let mut c = Claims {
            sure: true,
            ..Claims::default()
        };
        for (id, by) in all {
            c.held.insert(id.clone(), *by);
            c.order.push_back(id.clone());
        }
        c
    }

    /// Note a claim unless another was first; whether it stands, and is new.
    fn note(&mut self, id: &str, by: By) -> (bool, bool) {
        if let Some(b) = self.held.get(id) {
            return (*b == by, false);
        }
        self.held.insert(id.to_string(), by);
        self.order.push_back(id.to_string());
        if self.order.len() > MOST {
            self.order.pop_front().map(|o| self.held.remove(&o));
        }
        (true, true)
    }

    fn release(&mut self, id: &str, by: By) {
        if self.held.get(id) == Some(&by) {
            self.held.remove(id);
        }
    }

    fn newest(&self) -> Vec<(String, By)> {
        let known = |id: &String| self.held.get(id).map(|b| (id.clone(), *b));
        self.order
            .iter()
            .rev()
            .filter_map(known)
            .take(TELL)
            .collect()
    }
}

impl Hub {
    fn voter_ids(&self) -> Vec<Nid> {
        let ms = self.agree.as_ref().map_or(&[][..], |a| a.members());
        ms.iter().filter(|m| m.voter).map(|m| m.id).collect()
    }

    /// Whether this core may speak on claims yet: it has its own past, or was
    /// among the founders, or has been told by one that may.
    fn sure(&self) -> bool {
        self.claims.sure || self.promise.is_some() && self.agree.is_some()
    }

    /// Say it now, or once what it relies on is synced.
    fn say_saved(&mut self, fresh: Option<(String, By)>, s: Say) {
        let fresh = fresh.filter(|_| !broken(Rule::ClaimSynced));
        let saved = fresh.and_then(|c| self.agree.as_mut().map(|a| a.keep_claims(vec![c])));
        match saved {
            None => self.say_claim(s),
            Some((seq, fx)) => {
                self.claims.unsaid.push_back((seq, s));
                fx.into_iter().for_each(|e| self.effect(e));
            }
        }
    }

    fn say_claim(&mut self, s: Say) {
        match s {
            Say::To(c, p) => self.send(c, p),
            Say::Own(no) => {
                let me = self.me.id;
                if let Some(o) = self.claims.open.get_mut(&no) {
                    o.yes.insert(me);
                }
                self.settle_claim(no);
            }
        }
    }

    pub(super) fn claims_saved(&mut self, seq: u64) {
        while self.claims.unsaid.front().is_some_and(|(s, _)| *s <= seq) {
            if let Some((_, s)) = self.claims.unsaid.pop_front() {
                self.say_claim(s);
            }
        }
    }

    pub(super) fn on_claim(&mut self, conn: Conn, rid: u64, id: String, by: By) {
        self.claims.next += 1;
        let no = self.claims.next;
        let since = self.now;
        for (c, h) in self.live_cores(1500).into_values() {
            if h.founded || self.voter_ids().contains(&h.id) {
                let id = id.clone();
                self.send(c, Payload::ClaimAsk { no, id, by });
            }
        }
        let o = Open {
            conn,
            rid,
            id: id.clone(),
            by,
            since,
            yes: BTreeSet::new(),
            no: BTreeSet::new(),
        };
        self.claims.open.insert(no, o);
        if !self.sure() {
            return;
        }
        let (stands, fresh) = self.claims.note(&id, by);
        if stands {
            self.say_saved(fresh.then_some((id, by)), Say::Own(no));
        } else {
            let me = self.me.id;
            if let Some(o) = self.claims.open.get_mut(&no) {
                o.no.insert(me);
            }
            self.settle_claim(no);
        }
    }

    pub(super) fn on_claim_ask(&mut self, conn: Conn, no: u64, id: String, by: By) {
        // why: a core that may have forgotten a claim must not deny it was made
        if self.sure() {
            let (yes, fresh) = self.claims.note(&id, by);
            let say = Say::To(conn, Payload::ClaimAns { no, yes });
            self.say_saved(fresh.then_some((id, by)), say);
        }
    }

    pub(super) fn on_claim_ans(&mut self, from: Nid, no: u64, yes: bool) {
        if let Some(o) = self.claims.open.get_mut(&no) {
            let side = if yes { &mut o.yes } else { &mut o.no };
            side.insert(from);
        }
        self.settle_claim(no);
    }

    fn settle_claim(&mut self, no: u64) {
        let vs = self.voter_ids();
        let Some(o) = self.claims.open.get(&no) else {
            return;
        };
        let of = |s: &BTreeSet<Nid>| vs.iter().filter(|v| s.contains(v)).count();
        let won = of(&o.yes) * 2 > vs.len();
        let lost = of(&o.no) * 2 >= vs.len() && !vs.is_empty();
        if !won && !lost {
            return;
        }
        if let Some(o) = self.claims.open.remove(&no) {
            if lost {
                // why: a claim that did not win must not stand in others' way
                self.release_all(&o.id, o.by);
            }
            let (rid, id) = (o.rid, o.id);
            self.send(o.conn, Payload::Claimed { rid, id, yes: won });
        }
    }

    fn release_all(&mut self, id: &str, by: By) {
        self.claims.release(id, by);
        for (c, _) in self.live_cores(3000).into_values() {
            let id = id.to_string();
            self.send(c, Payload::Release { id, by });
        }
    }

    pub(super) fn on_release(&mut self, from: &Hello, id: String, by: By) {
        if from.core {
            self.claims.release(&id, by);
        } else {
            self.release_all(&id, by);
        }
    }

    /// What others noted before this core started, or an edge sent itself.
    pub(super) fn on_claims(&mut self, from: &Hello, all: Vec<(String, By)>, sure: bool) {
        let mut fresh = Vec::new();
        for (id, by) in all {
            if self.claims.note(&id, by).1 {
                fresh.push((id, by));
            }
        }
        if let Some(a) = self.agree.as_mut().filter(|_| !fresh.is_empty()) {
            let (_, fx) = a.keep_claims(fresh);
            fx.into_iter().for_each(|e| self.effect(e));
        }
        self.claims.sure |= from.core && sure;
    }

    /// A core that is met is told what this one knows.
    pub(super) fn tell_claims(&mut self, conn: Conn) {
        let sure = self.sure();
        let all = self.claims.newest();
        self.send(conn, Payload::Claims { all, sure });
    }

    pub(super) fn claims_alarm(&mut self) {
        let old = self.now.saturating_sub(WAIT_MS);
        self.claims.open.retain(|_, o| o.since > old);
    }
}
