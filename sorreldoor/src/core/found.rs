//! Founding a site, joining one, and replacing a core that is gone.

use super::events::{HubFx, OpFrom};
use super::hub::Hub;
use crate::agree::*;
use crate::events::Ev;
use crate::net::Conn;
use crate::record::{encode, Record};
use crate::wire::*;
use std::collections::BTreeSet;
use std::net::SocketAddr;

fn member_of(h: &Hello, voter: bool) -> Member {
    Member {
        id: h.id,
        region: h.region,
        zone: h.zone,
        addr: h.addr.clone(),
        voter,
    }
}

impl Hub {
    /// Dial the seeds and every member but oneself.
    pub(super) fn redial(&mut self) {
        let own: Option<SocketAddr> = self.me.addr.parse().ok();
        let members = self.agree.as_ref().map_or(&[][..], |a| a.members());
        let mut want: BTreeSet<SocketAddr> = members
            .iter()
            .filter(|m| m.id != self.me.id)
            .filter_map(|m| m.addr.parse().ok())
            .collect();
        want.extend(self.seeds.iter());
        want.retain(|a| Some(*a) != own);
        for a in want.difference(&self.dials) {
            self.out.push(HubFx::Dial(*a));
        }
        for a in self.dials.difference(&want) {
            self.out.push(HubFx::Undial(*a));
        }
        self.dials = want;
    }

    /// A blank core: found with the others, or join what is founded.
    pub(super) fn founding_alarm(&mut self) {
        let live = self.live_cores(1500);
        if let Some((_, (c, _))) = live.iter().find(|(_, (_, h))| h.founded) {
            // why: whether this core was promised a seat is the founders' to say
            let c = *c;
            let set = self.promise.clone().unwrap_or_default();
            return self.send(c, Payload::Founding(Founding::Promise { set }));
        }
        if self.promise.is_none() && live.len() + 1 == self.cores {
            let mut set: Vec<Member> = live.values().map(|(_, h)| member_of(h, true)).collect();
            set.push(member_of(&self.me, true));
            set.sort_by_key(|m| m.id);
            // why: a promise binds across restarts, so that no two sets of
            // cores that share one can both be founded
            self.out.push(HubFx::Keep("promise", encode(&set)));
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

    fn found(&mut self, set: Vec<Member>) {
        self.say(Ev::Founded, names(&set));
        let r = Record::new(self.site.clone());
        let (pace, seed, now) = (self.pace.clone(), self.seed, self.now);
        self.agree = Some(Agree::found(self.me.id, pace, set, r, seed, now));
        self.claims.learn.sure = true;
        self.keep_sure();
        self.greet();
        self.agreed(Event::Alarm);
    }

    fn greet(&mut self) {
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
                let Some(a) = &self.agree else {
                    self.promises.insert(from.id, set);
                    return;
                };
                // why: only a blank core that is in the founding set by its own
                // identity may take its seat; any other joins as a non-voter
                let seat = a.members().iter().any(|m| m.id == from.id && m.voter);
                let set = if seat { set } else { Vec::new() };
                self.send(conn, Payload::Founding(Founding::Founded { set }));
            }
            Founding::Founded { set } => {
                if self.agree.is_some() {
                    return;
                }
                if self.promise.as_ref() == Some(&set) && !set.is_empty() {
                    return self.found(set);
                }
                self.say(Ev::Joining, format!("through {}", from.node));
                // why: a promise that came to nothing must not look like a founder's
                self.out.push(HubFx::Keep("promise", Vec::new()));
                self.promise = None;
                let k = crate::store::Mirror::default().kept();
                let r = Record::new(self.site.clone());
                let (pace, seed, now) = (self.pace.clone(), self.seed, self.now);
                self.agree = Some(Agree::new(self.me.id, pace, k, r, seed, now));
                self.greet();
                // why: not founded by itself; its seat comes with the log
                self.me.founded = false;
            }
        }
    }

    /// Take in blank cores, and give a lost core's seat to its replacement.
    pub(super) fn members_alarm(&mut self) {
        let Some(a) = &self.agree else { return };
        if !a.leads_globally() || self.duty_pid.is_some() {
            return;
        }
        let ms = a.members().to_vec();
        let live = self.live_cores(1500);
        let next = joiner(&ms, &live.values().map(|(_, h)| h).collect::<Vec<_>>())
            .or_else(|| self.promoted(&ms))
            .or_else(|| self.removed(&ms));
        if let Some((ms, why)) = next {
            self.say(Ev::Replacing, why);
            self.propose_members(ms);
        }
    }

    fn propose_members(&mut self, ms: Vec<Member>) {
        let pid = self.own_pid();
        self.duty_pid = Some(pid);
        let body = Body::Members(ms);
        self.agreed(Event::Propose { pid, body });
    }

    fn gone(&self, m: &Member) -> bool {
        let silent = self.agree.as_ref().and_then(|a| a.silent_for(m.id));
        m.voter && m.id != self.me.id && silent.is_some_and(|s| s >= self.replace_ms)
    }

    /// A caught-up non-voter takes a seat that is short or whose core is gone.
    fn promoted(&self, ms: &[Member]) -> Option<(Vec<Member>, String)> {
        let a = self.agree.as_ref()?;
        let voters = ms.iter().filter(|m| m.voter).count();
        let fits = |l: &Member| {
            let lost = ms.iter().any(|m| m.zone == l.zone && self.gone(m));
            a.caught_up(l.id) && (voters < self.cores || lost)
        };
        let l = ms.iter().find(|m| !m.voter && fits(m))?;
        let mut out = ms.to_vec();
        out.iter_mut()
            .filter(|m| m.id == l.id)
            .for_each(|m| m.voter = true);
        Some((out, format!("{:x} becomes a voter", l.id)))
    }

    /// A lost core goes once there are more voters than the site should have.
    fn removed(&self, ms: &[Member]) -> Option<(Vec<Member>, String)> {
        let voters = ms.iter().filter(|m| m.voter).count();
        let lost = ms
            .iter()
            .find(|m| voters > self.cores && self.gone(m))
            .or_else(|| ms.iter().find(|m| !m.voter && self.lost_learner(m)))?;
        let out = ms.iter().filter(|m| m.id != lost.id).cloned().collect();
        Some((out, format!("{:x} is removed", lost.id)))
    }

    fn lost_learner(&self, m: &Member) -> bool {
        let silent = self.agree.as_ref().and_then(|a| a.silent_for(m.id));
        silent.is_some_and(|s| s >= self.replace_ms)
    }

    /// An operator gives up a core by name, without waiting.
    pub(super) fn reform(&mut self, rid: u64, pid: Pid, drop: Nid) {
        let ms: Vec<Member> = self.agree.as_ref().map_or(Vec::new(), |a| {
            a.members()
                .iter()
                .filter(|m| m.id != drop)
                .cloned()
                .collect()
        });
        if ms.is_empty() || drop == self.me.id {
            self.out.push(HubFx::Done(rid, OpOutcome::NotTaken));
            return;
        }
        self.ops.entry(pid).or_default().push(OpFrom::Http(rid));
        let body = Body::Members(ms);
        self.agreed(Event::Propose { pid, body });
    }

    pub(super) fn own_pid(&mut self) -> Pid {
        self.next_rid += 1;
        (Pid::from(self.me.id) << 64)
            | (Pid::from(self.me.boot as u32) << 32)
            | Pid::from(self.next_rid as u32)
    }
}

/// A blank core that is no member yet becomes a non-voter.
fn joiner(ms: &[Member], live: &[&Hello]) -> Option<(Vec<Member>, String)> {
    let h = live.iter().find(|h| ms.iter().all(|m| m.id != h.id))?;
    // why: an old address must not lead to two members
    let taken = ms.iter().any(|m| m.addr == h.addr && m.voter);
    let mut out = ms.to_vec();
    out.push(member_of(h, false));
    Some((out, format!("{} joins as a non-voter", h.node))).filter(|_| !taken || ms.len() < 16)
}

fn names(set: &[Member]) -> String {
    let v: Vec<String> = set.iter().map(|m| format!("{:x}", m.id)).collect();
    v.join(" ")
}
