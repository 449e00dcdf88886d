//! Connections between processes: ordered, delayed, and silent when cut.

use super::World;
use sorreldoor::net::NetEvent;
use sorreldoor::types::Millis;
use sorreldoor::wire::Payload;
use std::net::SocketAddr;

const IDLE: Millis = 3000;

/// How a core is cut off from the other cores.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Nothing passes either way; connections fall silent.
    Silent,
    /// It is not heard, but hears.
    Mute,
    /// It does not hear, but is heard.
    Deaf,
    /// Connections break at once, and no new one is made.
    Reset,
    /// It is killed as the cut begins, and starts again behind it.
    Restarted,
}

impl Cut {
    pub const ALL: &'static [Cut] = &[
        Cut::Silent,
        Cut::Mute,
        Cut::Deaf,
        Cut::Reset,
        Cut::Restarted,
    ];
}

/// One end's half of a connection.
pub(crate) struct Half {
    pub proc: usize,
    pub incarnation: u64,
    /// Sent by the other end and held back by a cut.
    held: Vec<Payload>,
    last_at: Millis,
    heard: Millis,
}

pub(crate) struct Line {
    pub halves: [Half; 2],
    /// The wish that it was dialled for.
    wish: u64,
}

impl World {
    /// Keep trying to connect for as long as the process wants the address.
    pub(crate) fn dial(&mut self, p: usize, incarnation: u64, addr: SocketAddr, wish: u64) {
        let me = &self.procs[p];
        if !me.up || me.incarnation != incarnation || me.peer_addresses.get(&addr) != Some(&wish) {
            return;
        }
        let to = self.procs.iter().position(|q| q.addr == Some(addr) && q.up);
        let open = to.filter(|t| !self.cuts.contains(&(p, *t)) && !self.cuts.contains(&(*t, p)));
        let Some(t) = open else {
            self.after(300, move |w| w.dial(p, incarnation, addr, wish));
            return;
        };
        let d = self.delay(self.procs[p].region, self.procs[t].region);
        self.after(2 * d, move |w| w.connect((p, incarnation), t, addr, wish));
    }

    fn connect(&mut self, me: (usize, u64), t: usize, addr: SocketAddr, wish: u64) {
        let (p, incarnation) = me;
        let ok = self.procs[p].up && self.procs[p].incarnation == incarnation && self.procs[t].up;
        if !ok || self.procs[p].peer_addresses.get(&addr) != Some(&wish) {
            return;
        }
        let conn = self.number();
        let now = self.now;
        let half = |proc: usize, incarnation: u64| Half {
            proc,
            incarnation,
            held: Vec::new(),
            last_at: now,
            heard: now,
        };
        let tb = self.procs[t].incarnation;
        let halves = [half(p, incarnation), half(t, tb)];
        self.conns.insert(conn, Line { halves, wish });
        let dialled = Some(addr);
        self.reach_proc(p, incarnation, move |w| {
            w.net_event(p, NetEvent::Up { conn, dialled })
        });
        let dialled = None;
        self.reach_proc(t, tb, move |w| {
            w.net_event(t, NetEvent::Up { conn, dialled })
        });
    }

    pub(crate) fn send(&mut self, p: usize, conn: u64, payload: Payload) {
        let Some(l) = self.conns.get(&conn) else {
            return;
        };
        let other = usize::from(l.halves[0].proc == p);
        let t = l.halves[other].proc;
        let n = sorreldoor::wire::pack("", &payload).len() as u64;
        *self.bytes.entry((p, t)).or_default() += n;
        if claims(&payload) {
            self.claims_cost.0 += 1;
            self.claims_cost.1 += n;
        }
        if self.cuts.contains(&(p, t)) {
            if let Some(l) = self.conns.get_mut(&conn) {
                l.halves[other].held.push(payload);
            }
            return;
        }
        self.pass(p, conn, other, payload);
    }

    fn pass(&mut self, p: usize, conn: u64, other: usize, payload: Payload) {
        let Some(l) = self.conns.get(&conn) else {
            return;
        };
        let (t, incarnation, last) = {
            let h = &l.halves[other];
            (h.proc, h.incarnation, h.last_at)
        };
        let d = self.delay(self.procs[p].region, self.procs[t].region);
        let at = (self.now + d).max(last);
        if let Some(l) = self.conns.get_mut(&conn) {
            l.halves[other].last_at = at;
        }
        self.at(at, move |w| {
            let Some(l) = w.conns.get_mut(&conn) else {
                return;
            };
            l.halves[other].heard = w.now;
            let payload = Box::new(payload);
            w.reach_proc(t, incarnation, move |w| {
                w.net_event(t, NetEvent::Frame { conn, payload })
            });
        });
    }

    /// Let go what a cut held back, and close lines that stay silent.
    pub(crate) fn watch_lines(&mut self) {
        let conns: Vec<u64> = self.conns.keys().copied().collect();
        for c in conns {
            for i in 0..2 {
                let Some(l) = self.conns.get_mut(&c) else {
                    continue;
                };
                let (from, to) = (l.halves[1 - i].proc, l.halves[i].proc);
                let silent = self.now.saturating_sub(l.halves[i].heard) > IDLE;
                if !self.cuts.contains(&(from, to)) {
                    let held = std::mem::take(&mut l.halves[i].held);
                    for p in held {
                        self.pass(from, c, i, p);
                    }
                }
                // a frozen process does not notice silence
                if silent && self.procs[to].frozen_until <= self.now {
                    self.close(c);
                }
            }
        }
        self.after(100, |w| w.watch_lines());
    }

    pub(crate) fn close(&mut self, conn: u64) {
        let Some(l) = self.conns.get(&conn) else {
            return;
        };
        let [a, b] = &l.halves;
        let dark = self.cuts.contains(&(a.proc, b.proc)) || self.cuts.contains(&(b.proc, a.proc));
        self.close_after(conn, if dark { IDLE } else { 2 });
    }

    fn close_after(&mut self, conn: u64, wait: Millis) {
        let Some(l) = self.conns.remove(&conn) else {
            return;
        };
        let [a, b] = &l.halves;
        for h in [a, b] {
            let (p, incarnation) = (h.proc, h.incarnation);
            self.after(wait, move |w| {
                w.reach_proc(p, incarnation, move |w| {
                    w.net_event(p, NetEvent::Down { conn })
                })
            });
        }
        // the one that dialled tries again, as long as it wants to
        let (p, incarnation) = (a.proc, a.incarnation);
        let (addr, wish) = (self.procs[b.proc].addr, l.wish);
        if let Some(addr) = addr {
            self.after(wait + 50, move |w| w.dial(p, incarnation, addr, wish));
        }
    }

    pub(crate) fn close_all(&mut self, p: usize) {
        let mine: Vec<u64> = self
            .conns
            .iter()
            .filter(|(_, l)| l.halves.iter().any(|h| h.proc == p))
            .map(|(c, _)| *c)
            .collect();
        for c in mine {
            self.close(c);
        }
    }

    /// Cut a core off from the other cores; edges still reach all.
    pub fn cut_off(&mut self, core: usize, cut: Cut) {
        let others = self.cores().into_iter().filter(|c| *c != core);
        for other in others.collect::<Vec<_>>() {
            if cut != Cut::Mute {
                self.cuts.insert((other, core));
            }
            if cut != Cut::Deaf {
                self.cuts.insert((core, other));
            }
            if matches!(cut, Cut::Reset | Cut::Restarted) {
                self.close_between(core, other);
            }
        }
        if cut == Cut::Restarted {
            self.crash(core);
            self.after(300, move |w| w.start(core));
        }
    }

    /// Both ends see their connections end at once.
    fn close_between(&mut self, a: usize, b: usize) {
        let joins = |l: &Line| {
            let ends = [l.halves[0].proc, l.halves[1].proc];
            ends == [a, b] || ends == [b, a]
        };
        let all = self.conns.iter().filter(|(_, l)| joins(l));
        for conn in all.map(|(c, _)| *c).collect::<Vec<_>>() {
            self.close_after(conn, 2);
        }
    }

    pub fn cut_both(&mut self, a: usize, b: usize) {
        self.cuts.insert((a, b));
        self.cuts.insert((b, a));
    }

    pub fn isolate(&mut self, a: usize) {
        for b in 0..self.procs.len() {
            if a != b {
                self.cut_both(a, b);
            }
        }
    }
}

fn claims(p: &Payload) -> bool {
    use Payload::*;
    let mine = matches!(
        p,
        Claim { .. } | ClaimResult { .. } | ClaimVoteRequest { .. } | ClaimVoteReply { .. }
    );
    let ends = matches!(
        p,
        Release { .. } | Released { .. } | PeerRelease { .. } | ReleaseAck { .. }
    );
    mine || ends || matches!(p, ClaimsPageRequest { .. } | ClaimsPage { .. })
}
