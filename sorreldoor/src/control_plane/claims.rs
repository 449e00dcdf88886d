//! Claims on errand ids: an errand that may not be repeated is sent only by
//! the edge whose claim on its id a majority of cores has noted, and synced,
//! first. So no kill of any number of nodes lets another edge send it.

use super::book::{Book, By, ClaimRecord, Note, KEEP_MS};
use super::controller::Controller;
use super::events::ControllerEffect;
use crate::consensus::Save;
use crate::invariants::{broken, Invariant};
use crate::log_events::LogEvent;
use crate::net::Conn;
use crate::types::{Millis, NodeId};
use crate::wire::{Hello, Payload, Verdict};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// How long a core tries for one claim or one end of it; edges ask again.
const WAIT_MS: Millis = 3000;
/// Two that hold each other up for so long are parted.
const TIE_MS: Millis = 400;

struct Open {
    conn: Conn,
    request_id: u64,
    claim: ClaimRecord,
    since: Millis,
    yes: BTreeSet<NodeId>,
    /// Who has said no, and whose claim it holds instead.
    no: BTreeMap<NodeId, Option<By>>,
}

/// A claim that is being given up with the other cores.
struct Ending {
    to: (Conn, u64),
    since: Millis,
    done: BTreeSet<NodeId>,
}

pub struct Claims {
    pub(super) book: Book,
    open: BTreeMap<u64, Open>,
    ending: BTreeMap<By, Ending>,
    pub(super) learn: super::learn::Learn,
    next: u64,
    /// That there is no room was logged already.
    full: bool,
    /// What may be said once the save of that number is synced.
    unsaid: VecDeque<(u64, Say)>,
}

pub(super) enum Say {
    To(Conn, Payload),
    Own(u64),
    Sure,
    Nothing,
}

impl Claims {
    /// What a store gave back, remembered anew from now on.
    pub fn new(kept: &[ClaimRecord], most: usize, now: Millis) -> Claims {
        let mut book = Book::new(most.max(kept.len()));
        for n in kept {
            book.note(n, now);
        }
        Claims {
            book,
            open: BTreeMap::new(),
            ending: BTreeMap::new(),
            learn: Default::default(),
            next: 0,
            full: false,
            unsaid: VecDeque::new(),
        }
    }
}

impl Controller {
    pub(super) fn voter_ids(&self) -> Vec<NodeId> {
        let ms = self.consensus.as_ref().map_or(&[][..], |a| a.members());
        ms.iter().filter(|m| m.voter).map(|m| m.id).collect()
    }

    /// Say it once what it relies on is synced: what is new, and what was
    /// noted earlier and may still be on its way to the disk.
    pub(super) fn say_saved(&mut self, fresh: Vec<ClaimRecord>, s: Say) {
        if broken(Invariant::ClaimSynced) {
            return self.say_claim(s);
        }
        let Some(a) = self.consensus.as_mut() else {
            return self.say_claim(s);
        };
        let (seq, fx) = if fresh.is_empty() {
            (a.last_unsynced_save(), Vec::new())
        } else {
            let (seq, fx) = a.save_beside_log(Save::ClaimRecord(fresh));
            (Some(seq), fx)
        };
        match seq {
            None => self.say_claim(s),
            Some(seq) => self.claims.unsaid.push_back((seq, s)),
        }
        fx.into_iter().for_each(|e| self.effect(e));
    }

    fn say_claim(&mut self, s: Say) {
        match s {
            Say::To(c, p) => self.send(c, p),
            Say::Sure => self.now_sure(),
            Say::Nothing => {}
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

    /// Other cores that are heard of and have a say, or may have one soon.
    fn claim_cores(&self) -> Vec<(NodeId, Conn)> {
        let vs = self.voter_ids();
        let has = |h: &Hello| h.founded || vs.contains(&h.id);
        let all = self.live_cores(1500).into_iter();
        all.filter(|(_, (_, h))| has(h))
            .map(|(id, (c, _))| (id, c))
            .collect()
    }

    pub(super) fn on_claim(&mut self, conn: Conn, request_id: u64, claim: ClaimRecord) {
        let by = claim.by;
        let same = self.claims.open.iter_mut().find(|(_, o)| o.claim.by == by);
        let no = match same {
            // what stood in its way may have been given up meanwhile
            Some((no, o)) => {
                (o.conn, o.request_id) = (conn, request_id);
                o.no.clear();
                *no
            }
            None => {
                self.claims.next += 1;
                let o = Open {
                    conn,
                    request_id,
                    claim: claim.clone(),
                    since: self.now,
                    yes: BTreeSet::new(),
                    no: BTreeMap::new(),
                };
                self.claims.open.insert(self.claims.next, o);
                self.claims.next
            }
        };
        let o = &self.claims.open[&no];
        let silent = |id: &NodeId| !o.yes.contains(id);
        let ask: Vec<Conn> = self
            .claim_cores()
            .into_iter()
            .filter(|(id, _)| silent(id))
            .map(|(_, c)| c)
            .collect();
        let own = silent(&self.me.id) && self.sure();
        for c in ask {
            let claim = claim.clone();
            self.send(c, Payload::ClaimVoteRequest { no, claim });
        }
        if own {
            self.note_own(no, claim);
        }
        self.settle_claim(no);
    }

    fn note_own(&mut self, no: u64, claim: ClaimRecord) {
        let me = self.me.id;
        let note = self.noted(&claim);
        match note {
            Note::Fresh => self.say_saved(vec![claim], Say::Own(no)),
            Note::Same => self.say_saved(Vec::new(), Say::Own(no)),
            _ => self.on_claim_ans(me, no, verdict(note)),
        }
    }

    fn noted(&mut self, claim: &ClaimRecord) -> Note {
        let note = self.claims.book.note(claim, self.now);
        if note == Note::Full && !self.claims.full {
            self.claims.full = true;
            let n = self.claims.book.count();
            self.log_event(LogEvent::ClaimsFull, format!("{n} remembered"));
        }
        note
    }

    pub(super) fn on_claim_ask(&mut self, conn: Conn, no: u64, claim: ClaimRecord) {
        // a core that may have forgotten a claim must not deny it was made
        if !self.sure() {
            return;
        }
        let note = self.noted(&claim);
        let said = verdict(note);
        let fresh = if note == Note::Fresh {
            vec![claim]
        } else {
            Vec::new()
        };
        self.say_saved(fresh, Say::To(conn, Payload::ClaimVoteReply { no, said }));
    }

    pub(super) fn on_claim_ans(&mut self, from: NodeId, no: u64, said: Verdict) {
        let Some(o) = self.claims.open.get_mut(&no) else {
            return;
        };
        match said {
            Verdict::Yes => {
                o.yes.insert(from);
            }
            Verdict::Held(by) => {
                let id = o.claim.id.clone();
                // a claim whose end that core has not heard of is none
                if self.claims.book.was_freed(by) {
                    let to = self.live_cores(3000).get(&from).map(|(c, _)| *c);
                    to.into_iter().for_each(|c| {
                        let id = id.clone();
                        self.send(c, Payload::Free { id, by });
                    });
                    return;
                }
                o.no.insert(from, Some(by));
            }
            Verdict::Freed | Verdict::Full => {
                o.no.insert(from, None);
            }
        }
        self.settle_claim(no);
    }

    fn settle_claim(&mut self, no: u64) {
        let vs = self.voter_ids();
        let Some(o) = self.claims.open.get(&no) else {
            return;
        };
        let yes = vs.iter().filter(|v| o.yes.contains(v)).count();
        let nos: Vec<Option<By>> = vs.iter().filter_map(|v| o.no.get(v).copied()).collect();
        let won = yes * 2 > vs.len();
        let lost = nos.len() * 2 >= vs.len() && !vs.is_empty();
        // with a core missing, two rivals can each have a half; the one
        // that counts as the later gives way, or neither would ever go on
        let rival = nos.iter().flatten().any(|by| *by < o.claim.by);
        let tied = rival && yes > 0 && self.now.saturating_sub(o.since) > TIE_MS;
        if !(won || lost || tied) {
            return;
        }
        let full = !nos.is_empty() && nos.iter().all(|by| by.is_none());
        // what did not win is given up by its edge, not from here: through
        // another core it may have won meanwhile, and have been sent
        let Some(o) = self.claims.open.remove(&no) else {
            return;
        };
        let said = match (won, full) {
            (true, _) => Verdict::Yes,
            (_, true) => Verdict::Full,
            _ => Verdict::Held(nos.into_iter().flatten().next().unwrap_or(0)),
        };
        let (request_id, id) = (o.request_id, o.claim.id);
        self.send(
            o.conn,
            Payload::ClaimResult {
                request_id,
                id,
                said,
            },
        );
    }

    fn free_here(&mut self, id: &str, by: By) {
        if self.claims.book.free(id, by, self.now) {
            self.forget_saved(vec![id.to_string()]);
        }
    }

    pub(super) fn forget_saved(&mut self, ids: Vec<String>) {
        if let Some(a) = self.consensus.as_mut() {
            let (_, fx) = a.save_beside_log(Save::ReleasedClaims(ids));
            fx.into_iter().for_each(|e| self.effect(e));
        }
    }

    /// Give a claim up here and everywhere; tell `to` once a majority has.
    pub(super) fn free_all(&mut self, id: &str, by: By, to: (Conn, u64)) {
        self.claims.open.retain(|_, o| o.claim.by != by);
        self.free_here(id, by);
        let me = self.me.id;
        let since = self.now;
        let e = self.claims.ending.entry(by).or_insert(Ending {
            to,
            since,
            done: BTreeSet::from([me]),
        });
        e.to = to;
        let done = e.done.clone();
        for (n, c) in self.claim_cores() {
            if !done.contains(&n) {
                let id = id.to_string();
                self.send(c, Payload::Free { id, by });
            }
        }
        self.settle_end(by);
    }

    pub(super) fn on_free(&mut self, conn: Conn, id: String, by: By) {
        self.free_here(&id, by);
        self.send(conn, Payload::ReleaseAck { by });
    }

    pub(super) fn on_free_done(&mut self, from: NodeId, by: By) {
        if let Some(e) = self.claims.ending.get_mut(&by) {
            e.done.insert(from);
        }
        self.settle_end(by);
    }

    fn settle_end(&mut self, by: By) {
        let vs = self.voter_ids();
        let all = |e: &Ending| vs.iter().filter(|v| e.done.contains(v)).count() * 2 > vs.len();
        if !self.claims.ending.get(&by).is_some_and(all) {
            return;
        }
        if let Some(e) = self.claims.ending.remove(&by) {
            let (c, request_id) = e.to;
            self.send(c, Payload::Released { request_id });
        }
    }

    /// What an edge sent itself, told to a core that it comes to.
    pub(super) fn on_sent(&mut self, all: Vec<(String, By)>) {
        let mut fresh = Vec::new();
        for (id, by) in all {
            let keep_ms = KEEP_MS;
            let n = ClaimRecord { id, by, keep_ms };
            if self.claims.book.note(&n, self.now) == Note::Fresh {
                fresh.push(n);
            }
        }
        if let Some(a) = self.consensus.as_mut().filter(|_| !fresh.is_empty()) {
            let (_, fx) = a.save_beside_log(Save::ClaimRecord(fresh));
            fx.into_iter().for_each(|e| self.effect(e));
        }
    }

    pub(super) fn tick_claims(&mut self) {
        let old = self.now.saturating_sub(WAIT_MS);
        self.claims.open.retain(|_, o| o.since > old);
        self.claims.ending.retain(|_, e| e.since > old);
        let tied: Vec<u64> = self.claims.open.keys().copied().collect();
        tied.into_iter().for_each(|no| self.settle_claim(no));
        let gone = self.claims.book.expire(self.now);
        if !gone.is_empty() {
            self.claims.full = false;
            self.forget_saved(gone);
        }
        self.learn_claims();
    }

    pub(super) fn keep_sure(&mut self) {
        self.out.push(ControllerEffect::Keep("sure", vec![1]));
    }
}

fn verdict(n: Note) -> Verdict {
    match n {
        Note::Fresh | Note::Same => Verdict::Yes,
        Note::Other(by) => Verdict::Held(by),
        Note::Freed => Verdict::Freed,
        Note::Full => Verdict::Full,
    }
}
