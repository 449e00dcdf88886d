//! The reducer's state in one struct, and the one door for all events.

use super::log::Log;
use super::position::Load;
use super::types::*;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Follow,
    Sound,
    Stand,
    Lead,
}

/// What a leader knows of one node in its own term.
#[derive(Clone, Debug, Default)]
pub struct Row {
    pub upto: u64,
    pub next: u64,
    /// What the last append sent was to follow on.
    pub probe: u64,
    pub round: u64,
    pub seen: Ms,
    pub sent: Ms,
}

/// An election under way, global or domain.
#[derive(Clone, Debug, Default)]
pub struct Poll {
    pub since: Ms,
    pub yes: BTreeSet<Nid>,
    /// Domain Leaders that took part, with how new their logs are.
    pub leads: BTreeMap<Nid, Last>,

    /// The own vote counts once this save is synced.
    pub seq: u64,
}

#[derive(Clone, Debug)]
pub struct Ask {
    pub body: Body,
    pub since: Ms,
    pub sent: Option<Ms>,
}

#[derive(Clone, Debug)]
pub struct Look {
    pub since: Ms,
    pub sent: Option<Ms>,
    pub idx: Option<u64>,
}

/// A read that the Global Leader has to prove itself for.
#[derive(Clone, Debug)]
pub struct Proof {
    pub from: Nid,
    pub rid: u64,
    pub idx: u64,
    pub round: u64,
}

/// The Domain Leader of a region, as heard of last.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lead {
    pub id: Nid,
    pub dterm: u64,
    pub seen: Ms,
}

/// An outcome that a Domain Leader should give, or else we.
#[derive(Clone, Debug)]
pub struct Owed {
    pub since: Ms,
    pub pid: Pid,
    pub to: Nid,
    pub outcome: Arc<Vec<u8>>,
}

pub struct Agree<M: Machine> {
    pub(super) me: Nid,
    pub(super) pace: Pace,
    pub(super) hard: Hard,
    pub(super) log: Log,
    pub(super) machine: M,
    pub(super) image: Option<Snap>,
    pub(super) commit: u64,
    pub(super) applied: u64,
    pub(super) role: Role,
    pub(super) drole: Role,
    pub(super) gl: Option<Nid>,
    pub(super) leads: BTreeMap<Reg, Lead>,
    pub(super) heard_gl: Ms,
    pub(super) heard_dl: Ms,
    /// The line to the Global Leader was closed, and it was not heard since.
    pub(super) suspect: bool,
    /// A Domain Leader of the own region was heard of, and is not known gone.
    pub(super) dled: bool,
    /// Election times that passed without word of a Global Leader, and when
    /// the last was counted.
    pub(super) unled: u32,
    pub(super) unled_at: Ms,
    pub(super) elect_at: Ms,
    pub(super) delect_at: Ms,
    pub(super) poll: Poll,
    pub(super) dpoll: Poll,
    /// Rows of all nodes at the Global Leader, of the region at a Domain Leader.
    pub(super) rows: BTreeMap<Nid, Row>,
    pub(super) dseen: BTreeMap<Nid, Ms>,
    /// How far this log is known to equal the Global Leader's in this term.
    pub(super) verified: u64,
    pub(super) round: u64,
    pub(super) round_from: Nid,
    pub(super) beat_at: Ms,
    /// When the last round of heartbeats was sent.
    pub(super) beaten: Ms,
    pub(super) dbeat_at: Ms,
    pub(super) confirm: Option<(u64, Vec<Nid>)>,
    pub(super) confirmed: u64,
    /// How far each Domain Leader says it has answered its own region.
    pub(super) fast: BTreeMap<Reg, u64>,
    pub(super) owed: BTreeMap<u64, Owed>,
    pub(super) born: VecDeque<(u64, Ms)>,
    pub(super) inflight: BTreeMap<Pid, u64>,
    pub(super) asks: BTreeMap<Pid, Ask>,
    pub(super) looks: BTreeMap<u64, Look>,
    pub(super) proofs: VecDeque<Proof>,
    pub(super) down: BTreeSet<Reg>,
    pub(super) load: BTreeMap<Reg, Load>,
    pub(super) lat: BTreeMap<(Reg, Reg), Ms>,
    pub(super) judge_at: Ms,
    pub(super) moving: Option<(Nid, Ms)>,
    pub(super) seq: u64,
    pub(super) saved: u64,
    pub(super) unsaved: VecDeque<(u64, Ms, u64)>,
    pub(super) held_back: VecDeque<(u64, Nid, Msg)>,
    pub(super) failed: bool,
    pub(super) now: Ms,
    pub(super) rng: u64,
    pub(super) out: Vec<Effect>,
}

impl<M: Machine> Agree<M> {
    pub fn new(me: Nid, pace: Pace, kept: Kept, machine: M, seed: u64, now: Ms) -> Agree<M> {
        let Kept {
            hard, log, snap, ..
        } = kept;
        let base = log.base().idx;
        let mut a = Agree {
            me,
            pace,
            hard,
            log,
            machine,
            image: snap,
            commit: base,
            applied: base,
            role: Role::Follow,
            drole: Role::Follow,
            gl: None,
            leads: BTreeMap::new(),
            heard_gl: now,
            heard_dl: now,
            suspect: false,
            dled: false,
            unled: 0,
            unled_at: now,
            elect_at: 0,
            delect_at: 0,
            poll: Poll::default(),
            dpoll: Poll::default(),
            rows: BTreeMap::new(),
            dseen: BTreeMap::new(),
            verified: 0,
            round: 0,
            round_from: 0,
            beat_at: now,
            beaten: now,
            dbeat_at: now,
            confirm: None,
            confirmed: 0,
            fast: BTreeMap::new(),
            owed: BTreeMap::new(),
            born: VecDeque::new(),
            inflight: BTreeMap::new(),
            asks: BTreeMap::new(),
            looks: BTreeMap::new(),
            proofs: VecDeque::new(),
            down: BTreeSet::new(),
            load: BTreeMap::new(),
            lat: BTreeMap::new(),
            judge_at: 0,
            moving: None,
            seq: 0,
            saved: 0,
            unsaved: VecDeque::new(),
            held_back: VecDeque::new(),
            failed: false,
            now,
            rng: seed | 1,
            out: Vec::new(),
        };
        a.judge_at = now + a.pace.tp;
        a.soon_elect();
        a.reset_delect();
        // why: what was committed stays so, and need not wait for a leader
        a.advance(a.hard.commit);
        a
    }

    /// A first member of a new site; the founding is its first save.
    pub fn found(
        me: Nid,
        pace: Pace,
        members: Vec<Member>,
        machine: M,
        seed: u64,
        now: Ms,
    ) -> Agree<M> {
        let snap = Snap {
            last: Last::default(),
            members: members.clone(),
            image: Arc::new(machine.image()),
        };
        let kept = Kept {
            hard: Hard::default(),
            log: Log::founded(members),
            snap: Some(snap.clone()),
            claims: Vec::new(),
        };
        let mut a = Agree::new(me, pace, kept, machine, seed, now);
        a.save(Save::Snap { snap, reset: true });
        a
    }

    /// The one door: every event passes here, and effects come back in order.
    pub fn step(&mut self, ev: Event, now: Ms) -> Vec<Effect> {
        self.now = self.now.max(now);
        match ev {
            Event::Alarm => self.alarm(),
            Event::Heard { from, msg } => self.heard(from, msg),
            Event::Saved { seq } => self.on_saved(seq),
            Event::Gone { id } => self.on_gone(id),
            Event::SaveFailed => self.on_save_failed(),
            Event::Propose { pid, body } => self.ask(pid, body),
            Event::Read { rid } => self.look(rid),
        }
        std::mem::take(&mut self.out)
    }

    fn heard(&mut self, from: Nid, msg: Msg) {
        // why: after a failed save nothing this node says can be relied on
        if self.failed {
            return;
        }
        match msg {
            Msg::DomainAsk { dterm, last, pre } => self.on_domain_ask(from, dterm, last, pre),
            Msg::DomainAns { dterm, yes, pre } => self.on_domain_ans(from, dterm, yes, pre),
            Msg::DomainBeat { dterm, sent } => self.on_domain_beat(from, dterm, sent),
            Msg::DomainBack { dterm, sent } => self.on_domain_back(from, dterm, sent),
            Msg::Ask { term, last, pre } => self.on_ask(from, term, last, pre),
            Msg::Ans {
                term,
                yes,
                pre,
                leads,
                last,
            } => self.on_ans(from, (term, yes, pre), leads.then_some(last)),
            Msg::Append {
                term,
                gl,
                prev,
                entries,
                commit,
                round,
            } => self.on_append(from, (term, gl, round), prev, entries, commit),
            Msg::Holds {
                term,
                rows,
                hint,
                fast,
                lat,
            } => self.on_holds(from, term, rows, hint, (fast, lat)),
            Msg::Confirm {
                term,
                upto,
                holders,
            } => self.on_confirm(term, upto, holders),
            Msg::Install {
                term,
                gl,
                snap,
                round,
            } => self.on_install(from, (term, gl, round), snap),
            Msg::Propose { pid, origin, body } => self.on_propose(pid, origin, body),
            Msg::Answered { pid, outcome } => self.finish(pid, Ok(outcome)),
            Msg::ReadAsk { rid } => self.on_read_ask(from, rid),
            Msg::ReadAns { rid, idx } => self.on_read_ans(rid, idx),
            Msg::MoveNow { term } => self.on_move_now(term),
        }
    }
}

/// What a store gives back at start.
pub struct Kept {
    pub hard: Hard,
    pub log: Log,
    pub snap: Option<Snap>,
    pub claims: Vec<Noted>,
}
