//! Founding a site, joining one, and replacing a core that is gone.

use super::controller::Controller;
use super::events::{ControllerEffect, OpFrom};
use crate::consensus::*;
use crate::events::Ev;
use crate::net::Conn;
use crate::record::{encode, Record};
use crate::wire::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Between questions to founded cores.
const ASK_MS: Millis = 250;
/// A site that grows gives up a core silent for so many times `replace_ms`.
const LONG: Millis = 10;

fn member_of(h: &Hello, voter: bool) -> Member {
    Member {
        id: h.id,
        region: h.region,
        zone: h.zone,
        addr: h.addr.clone(),
        voter,
    }
}

impl Controller {
    /// Dial the seeds and every member but oneself.
    pub(super) fn redial(&mut self) {
        let own: Option<SocketAddr> = self.me.addr.parse().ok();
        let members = self.consensus.as_ref().map_or(&[][..], |a| a.members());
        let mut want: BTreeSet<SocketAddr> = members
            .iter()
            .filter(|m| m.id != self.me.id)
            .filter_map(|m| m.addr.parse().ok())
            .collect();
        if members.is_empty() {
            want.extend(&self.known);
        }
        want.extend(self.seeds.iter());
        want.retain(|a| Some(*a) != own);
        for a in want.difference(&self.dials) {
            self.out.push(ControllerEffect::Dial(*a));
        }
        for a in self.dials.difference(&want) {
            self.out.push(ControllerEffect::Undial(*a));
        }
        self.dials = want;
    }

    /// A blank core: found with the others, or join what is founded.
    pub(super) fn founding_alarm(&mut self) {
        let live = self.live_cores(1500);
        if self.ask_founded(&live) || !self.bootstrap {
            return;
        }
        if let Some(mut set) = self.founding_set(&live) {
            set.sort_by_key(|m| m.id);
            // a promise binds across restarts, so that no two sets of
            // cores that share one can both be founded
            self.out
                .push(ControllerEffect::Keep("promise", encode(&set)));
            self.say(Ev::Promised, names(&set));
            self.promise = Some(set);
        }
        let Some(set) = self.promise.clone() else {
            return;
        };
        for (c, _) in live.values() {
            let f = Founding::Promise { set: set.clone() };
            self.send(*c, Payload::Founding(f));
        }
        let all = set
            .iter()
            .all(|m| m.id == self.me.id || self.promises.get(&m.id) == Some(&set));
        if all {
            self.found(set);
        }
    }

    /// Ask a founded core what this one is, and where the others are; false
    /// if none is heard of.
    pub(super) fn ask_founded(&mut self, live: &BTreeMap<NodeId, (Conn, Hello)>) -> bool {
        let told: Vec<Conn> = live
            .values()
            .filter(|(_, h)| h.founded)
            .map(|l| l.0)
            .collect();
        if !told.is_empty() {
            // whether this core was promised a seat is the founders' to say,
            // and one of them may not answer, so each time another is asked
            let c = told[(self.now / ASK_MS) as usize % told.len()];
            let set = self.promise.clone().unwrap_or_default();
            self.send(c, Payload::Founding(Founding::Promise { set }));
        }
        !told.is_empty()
    }

    /// Whom to found with, once all of them are here and nothing is promised.
    fn founding_set(&self, live: &BTreeMap<NodeId, (Conn, Hello)>) -> Option<Vec<Member>> {
        let all: Vec<&Hello> = live.values().map(|(_, h)| h).chain([&self.me]).collect();
        let by = |h: &&&Hello| !self.grow || self.founder(h);
        let set: Vec<&Hello> = all.iter().filter(by).copied().collect();
        let wanted = if self.grow {
            self.founders.len()
        } else {
            self.cores
        };
        // a core that is no seed waits until the seeds have founded
        let mine = set.iter().any(|h| h.id == self.me.id);
        let ready = self.promise.is_none() && mine && set.len() == wanted;
        ready.then(|| set.into_iter().map(|h| member_of(h, true)).collect())
    }

    fn founder(&self, h: &Hello) -> bool {
        h.addr.parse().is_ok_and(|a| self.founders.contains(&a))
    }

    fn found(&mut self, set: Vec<Member>) {
        self.say(Ev::Founded, names(&set));
        let r = Record::new(self.site.clone());
        let (timing, seed, now) = (self.timing.clone(), self.seed, self.now);
        self.consensus = Some(Consensus::found(self.me.id, timing, set, r, seed, now));
        self.claims.learn.sure = true;
        self.keep_sure();
        self.greet();
        self.agreed(Event::Alarm);
    }

    pub(super) fn greet(&mut self) {
        self.me.founded = true;
        let conns: Vec<Conn> = self.lines.keys().copied().collect();
        for c in conns {
            let h = self.me.clone();
            self.send(c, Payload::Hello(h));
        }
        self.redial();
    }

    pub(super) fn on_founding(&mut self, conn: Conn, from: Hello, f: Founding) {
        match f {
            Founding::Promise { set } => {
                let Some(a) = &self.consensus else {
                    self.promises.insert(from.id, set);
                    return;
                };
                // one that has only just joined does not know who founded
                if a.members().is_empty() {
                    return;
                }
                // only a blank core that is in the founding set by its own
                // identity may take its seat; any other joins as a non-voter
                let seat = a.members().iter().any(|m| m.id == from.id && m.voter);
                let set = if seat { set } else { Vec::new() };
                // a newcomer knows its seeds only, and the leader may be none
                let at = a.members().iter().map(|m| m.addr.clone()).collect();
                self.send(conn, Payload::Founding(Founding::Founded { set, at }));
            }
            Founding::Founded { set, at } => {
                let at = at.iter().filter_map(|a| a.parse().ok());
                self.known = at.collect();
                if self.consensus.is_some() {
                    return self.redial();
                }
                if self.promise.as_ref() == Some(&set) && !set.is_empty() {
                    return self.found(set);
                }
                self.say(Ev::Joining, format!("through {}", from.node));
                // a promise that came to nothing must not look like a founder's
                self.out.push(ControllerEffect::Keep("promise", Vec::new()));
                self.promise = None;
                let k = crate::store::DurableState::default().kept();
                let r = Record::new(self.site.clone());
                let (timing, seed, now) = (self.timing.clone(), self.seed, self.now);
                self.consensus = Some(Consensus::new(self.me.id, timing, k, r, seed, now));
                // it does not say that it is of the site before the log
                // has told it who is
                self.redial();
            }
        }
    }

    /// Take in blank cores, and give a lost core's seat to its replacement.
    pub(super) fn members_alarm(&mut self) {
        let Some(a) = &self.consensus else { return };
        if !a.leads_globally() || self.duty_pid.is_some() {
            return;
        }
        let ms = a.members().to_vec();
        self.note_waiting(&ms);
        let live = self.freshest();
        let next = joiner(&ms, &live, self.grow)
            .or_else(|| self.usurped(&ms, &live))
            .or_else(|| self.promoted(&ms))
            .or_else(|| self.removed(&ms));
        if let Some((ms, why)) = next {
            self.say(Ev::Replacing, why);
            self.propose_members(ms);
        }
    }

    /// Since when each non-voter has been seen waiting.
    fn note_waiting(&mut self, ms: &[Member]) {
        let waits = |id: &NodeId| ms.iter().any(|m| m.id == *id && !m.voter);
        self.waiting.retain(|id, _| waits(id));
        for m in ms.iter().filter(|m| !m.voter) {
            self.waiting.entry(m.id).or_insert(self.now);
        }
    }

    /// Live cores, one for each address: the one heard last. What an earlier
    /// process there said is still on its line for a while.
    fn freshest(&self) -> Vec<Hello> {
        let since = self.now.saturating_sub(1500);
        let heard = self.lines.values().filter(|l| l.heard >= since);
        let mut by: BTreeMap<&str, (Millis, &Hello)> = BTreeMap::new();
        for l in heard {
            let Some(h) = l.hello.as_ref().filter(|h| h.core) else {
                continue;
            };
            let at = by.entry(&h.addr).or_insert((l.heard, h));
            if l.heard > at.0 {
                *at = (l.heard, h);
            }
        }
        by.into_values().map(|(_, h)| h.clone()).collect()
    }

    /// At a member's address another identity answers: the member's disk is
    /// gone for certain. Its seat is given over once the newcomer has caught
    /// up, without waiting; one that had no seat is just dropped.
    fn usurped(&self, ms: &[Member], live: &[Hello]) -> Option<(Vec<Member>, String)> {
        let a = self.consensus.as_ref()?;
        let ready = |h: &Hello| ms.iter().any(|m| m.id == h.id) && a.caught_up(h.id);
        let by = |m: &Member| {
            let here = |h: &&Hello| h.addr == m.addr && h.id != m.id;
            live.iter().find(here).filter(|h| !m.voter || ready(h))
        };
        let (old, new) = ms
            .iter()
            .filter(|m| m.id != self.me.id)
            .find_map(|m| by(m).map(|h| (m, h)))?;
        // first out, then in: what is left needs no word from the dead,
        // and holds all that was ever agreed with it
        let out = ms.iter().filter(|m| m.id != old.id).cloned().collect();
        let why = format!("{:x} came back blank as {:x}", old.id, new.id);
        Some((out, why))
    }

    fn propose_members(&mut self, ms: Vec<Member>) {
        let pid = self.own_pid();
        self.duty_pid = Some(pid);
        let body = Body::Members(ms);
        self.agreed(Event::Propose { pid, body });
    }

    fn silent(&self, m: &Member, ms: Millis) -> bool {
        let silent = self.consensus.as_ref().and_then(|a| a.silent_for(m.id));
        m.voter && m.id != self.me.id && silent.is_some_and(|s| s >= ms)
    }

    fn gone(&self, m: &Member) -> bool {
        self.silent(m, self.replace_ms)
    }

    /// A caught-up non-voter gets a free seat, or the seat of a lost core of
    /// its zone. A site that grows has a seat for everyone.
    fn promoted(&self, ms: &[Member]) -> Option<(Vec<Member>, String)> {
        let a = self.consensus.as_ref()?;
        let voters = ms.iter().filter(|m| m.voter).count();
        let fits = |l: &Member| {
            let near = |m: &&Member| m.zone == l.zone;
            let lost = ms.iter().filter(near).any(|m| self.gone(m));
            // one that is silent may be just what the newcomer replaces,
            // and its seat is then not needed beside the newcomer's
            let quiet = ms
                .iter()
                .filter(near)
                .any(|m| self.silent(m, self.timing.dead));
            // and one that died as the newcomer came is not silent yet
            let since = self.waiting.get(&l.id).copied().unwrap_or(self.now);
            let seen = self.now.saturating_sub(since) >= self.timing.dead * 2;
            let free = if self.grow {
                !quiet && seen
            } else {
                voters < self.cores || lost
            };
            a.caught_up(l.id) && free
        };
        let l = ms.iter().find(|m| !m.voter && fits(m))?;
        let mut out = ms.to_vec();
        out.iter_mut()
            .filter(|m| m.id == l.id)
            .for_each(|m| m.voter = true);
        Some((out, format!("{:x} becomes a voter", l.id)))
    }

    /// A lost core goes once there are more voters than the site should have;
    /// where the site grows, once another of its zone waits for its seat.
    fn removed(&self, ms: &[Member]) -> Option<(Vec<Member>, String)> {
        let voters = ms.iter().filter(|m| m.voter).count();
        let spare = |m: &Member| {
            if !self.grow {
                return voters > self.cores && self.gone(m);
            }
            let a = self.consensus.as_ref();
            let waits = |l: &Member| !l.voter && l.zone == m.zone;
            let heir = ms.iter().filter(|l| waits(l));
            let heir = heir
                .map(|l| l.id)
                .any(|l| a.is_some_and(|a| a.caught_up(l)));
            // one that is gone for long only makes majorities harder to
            // reach; it joins again if it does come back
            let long = voters > self.cores && self.silent(m, self.replace_ms * LONG);
            (heir && self.gone(m)) || long
        };
        let lost = ms
            .iter()
            .find(|m| spare(m))
            .or_else(|| ms.iter().find(|m| !m.voter && self.lost_learner(m)))?;
        let out = ms.iter().filter(|m| m.id != lost.id).cloned().collect();
        Some((out, format!("{:x} is removed", lost.id)))
    }

    fn lost_learner(&self, m: &Member) -> bool {
        let silent = self.consensus.as_ref().and_then(|a| a.silent_for(m.id));
        silent.is_some_and(|s| s >= self.replace_ms)
    }

    /// An operator gives up a core by name, without waiting.
    pub(super) fn reform(&mut self, rid: u64, pid: ProposalId, drop: NodeId) {
        let ms: Vec<Member> = self.consensus.as_ref().map_or(Vec::new(), |a| {
            a.members()
                .iter()
                .filter(|m| m.id != drop)
                .cloned()
                .collect()
        });
        if ms.is_empty() || drop == self.me.id {
            self.out
                .push(ControllerEffect::Done(rid, OpOutcome::NotTaken));
            return;
        }
        self.ops.entry(pid).or_default().push(OpFrom::Http(rid));
        let body = Body::Members(ms);
        self.agreed(Event::Propose { pid, body });
    }

    pub(super) fn own_pid(&mut self) -> ProposalId {
        self.next_rid += 1;
        (ProposalId::from(self.me.id) << 64)
            | (ProposalId::from(self.me.boot as u32) << 32)
            | ProposalId::from(self.next_rid as u32)
    }
}

/// A core that is no member yet becomes a non-voter: a blank one, or one that
/// was given up and has come back.
fn joiner(ms: &[Member], live: &[Hello], grow: bool) -> Option<(Vec<Member>, String)> {
    let new = |h: &&Hello| ms.iter().all(|m| m.id != h.id);
    let h = live.iter().find(new)?;
    // an old address must not lead to two members
    let taken = ms.iter().any(|m| m.addr == h.addr && m.voter);
    let mut out = ms.to_vec();
    out.push(member_of(h, false));
    let room = ms.len() < 16 || (!taken && !grow);
    Some((out, format!("{} joins as a non-voter", h.node))).filter(|_| room)
}

fn names(set: &[Member]) -> String {
    let v: Vec<String> = set.iter().map(|m| format!("{:x}", m.id)).collect();
    v.join(" ")
}
