//! The core's one reducer: frames, saves, operators and alarms in, effects out.

use super::connections::Connection;
use super::duty::Duty;
use super::events::{ControllerEffect, ControllerEvent, OpFrom, Want};
use super::idempotency;
use super::membership::{Membership, LOOK_MS};
use super::reads::Reads;
use super::worker_list::WorkerList;
use crate::configuration::Site;
use crate::consensus::*;
use crate::discovery::Loads;
use crate::log_events::LogEvent;
use crate::net::{Conn, NetEvent};
use crate::pacing::Pacing;
use crate::replicated_state::{encode, Command, Outcome, ReplicatedState};
use crate::runtime::{Now, Reducer};
use crate::wire::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

pub struct Controller {
    pub me: Hello,
    pub site: Arc<Site>,
    pub(super) cores: usize,
    pub(super) membership: Membership,
    /// When the leader looks at the members again.
    pub(super) members_at: Millis,
    pub(super) bootstrap: bool,
    pub(super) grow: bool,
    /// The addresses that found the site, where it grows.
    pub(super) founders: BTreeSet<SocketAddr>,
    /// Where a founded core said that the members are.
    pub(super) known: BTreeSet<SocketAddr>,
    pub(super) pacing: Pacing,
    pub(super) timing: Timing,
    pub(super) seed: u64,
    pub consensus: Option<Consensus<ReplicatedState>>,
    pub(super) promise: Option<Vec<Member>>,
    pub(super) promises: BTreeMap<NodeId, Vec<Member>>,
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) peer_addresses: BTreeSet<SocketAddr>,
    pub(super) connections: BTreeMap<Conn, Connection>,
    pub(super) edge_sessions: BTreeMap<Conn, EdgeSession>,
    pub(super) report_version: u64,
    pub(super) session_reports: BTreeMap<NodeId, SessionReport>,
    /// All edges' sessions, and what edges are shown of them.
    pub(super) merged: Vec<EdgeSession>,
    pub(super) places: (u64, Arc<Vec<EdgeEndpoint>>),
    /// The sessions as last told to other cores, and when.
    pub(super) told: (Vec<EdgeSession>, Millis),
    pub worker_list: WorkerList,
    pub loads: Arc<Loads>,
    pub(super) updates: super::updates::Updates,
    pub(super) reads: Reads,
    pub(super) next_request_id: u64,
    pub(super) ops: BTreeMap<ProposalId, Vec<OpFrom>>,
    pub(super) duty: Duty,
    pub(super) duty_proposal_id: Option<ProposalId>,
    pub(super) idempotency: idempotency::Idempotency,
    pub(super) slow_at: Millis,
    pub(super) last_version: u64,
    pub leaving: bool,
    pub(super) wall: i64,
    pub now: Millis,
    pub(super) out: Vec<ControllerEffect>,
}

impl Reducer for Controller {
    type Event = ControllerEvent;
    type Effect = ControllerEffect;

    fn step(&mut self, ev: ControllerEvent, now: Now) -> Vec<ControllerEffect> {
        self.now = self.now.max(now.monotonic_ms);
        self.wall = now.wall;
        match ev {
            ControllerEvent::Tick => self.tick(),
            ControllerEvent::Net(n) => self.net(n),
            ControllerEvent::Saved(seq) => {
                self.agreed(Event::Saved { seq });
                self.idempotency_event(idempotency::Event::Synced { seq });
            }
            ControllerEvent::SaveFailed(why) => {
                self.log_event(LogEvent::DiskFailed, why);
                self.agreed(Event::SaveFailed);
            }
            ControllerEvent::SaveRecovered => {
                self.log_event(LogEvent::DiskRecovered, "taking part again");
                self.agreed(Event::SaveRecovered);
            }
            ControllerEvent::Change {
                request_id,
                proposal_id,
                cmd,
            } => self.change(OpFrom::Http(request_id), proposal_id, cmd),
            ControllerEvent::Reform {
                request_id,
                proposal_id,
                drop,
            } => self.reform(request_id, proposal_id, drop),
            ControllerEvent::Look { request_id } => self.want(Want::Http(request_id)),
            ControllerEvent::View { request_id } => self.want(Want::View(request_id)),
            ControllerEvent::Find {
                request_id,
                proposal_id,
            } => self.want(Want::Find(OpFrom::Http(request_id), proposal_id)),
            ControllerEvent::WorkerRegistry(r) => self.on_registry(r),
            ControllerEvent::Loads { epoch, rows } => self.on_loads(epoch, rows),
            ControllerEvent::Stop => self.stop(),
        }
        self.start_read();
        std::mem::take(&mut self.out)
    }
}

impl Controller {
    pub(super) fn log_event(&mut self, ev: LogEvent, about: impl Into<String>) {
        self.out.push(ControllerEffect::Say(ev, about.into()));
    }

    pub(super) fn send(&mut self, conn: Conn, p: Payload) {
        if let Some(l) = self.connections.get_mut(&conn) {
            l.sent = self.now;
        }
        self.out.push(ControllerEffect::Send(conn, p));
    }

    fn tick(&mut self) {
        self.agreed(Event::Tick);
        if self.now >= self.members_at {
            self.members_at = self.now + LOOK_MS;
            self.members_alarm();
        }
        self.tick_reads();
        if self.now >= self.slow_at {
            self.slow_at = self.now + 250;
            self.slow_alarm();
        }
    }

    fn slow_alarm(&mut self) {
        if self.consensus.is_none() {
            self.founding_alarm();
        } else if self
            .consensus
            .as_ref()
            .is_some_and(|a| a.members().is_empty())
        {
            let live = self.live_cores(1500);
            self.ask_founded(&live);
        } else {
            self.duty_alarm();
        }
        self.first_list();
        self.sessions_alarm();
        self.idempotency_tick();
        self.ping();
    }

    fn net(&mut self, n: NetEvent) {
        match n {
            NetEvent::Up { conn, dialled } => {
                let heard = self.now;
                self.connections.insert(
                    conn,
                    Connection {
                        dialled,
                        hello: None,
                        heard,
                        sent: heard,
                    },
                );
                let hello = self.me.clone();
                self.send(conn, Payload::Hello(hello));
            }
            NetEvent::Down { conn } => {
                let was = self.connections.remove(&conn).and_then(|l| l.hello);
                self.end_session(conn);
                let core = was.filter(|h| h.core && self.connection_to(h.id).is_none());
                if let Some(id) = core.map(|h| h.id) {
                    self.agreed(Event::Gone { id });
                }
            }
            NetEvent::Frame { conn, payload } => {
                if let Some(l) = self.connections.get_mut(&conn) {
                    l.heard = self.now;
                }
                self.frame(conn, *payload);
            }
        }
    }

    fn frame(&mut self, conn: Conn, p: Payload) {
        let from = self.connections.get(&conn).and_then(|l| l.hello.clone());
        let from = match p {
            Payload::Hello(h) => return self.on_hello(conn, h),
            // who has not said who it is can ask for nothing
            _ => match from {
                Some(h) => h,
                None => return self.out.push(ControllerEffect::Close(conn)),
            },
        };
        match p {
            Payload::Consensus(msg) if from.core => {
                let from = from.id;
                self.agreed(Event::Heard { from, msg });
            }
            Payload::Founding(f) if from.core => self.on_founding(conn, from, f),
            Payload::SessionReport(s) if from.core => self.on_sessions(from, s),
            Payload::WorkerRegistry(r) if from.core => self.take_registry(r),
            Payload::Loads(l) if from.core => self.take_loads(l),
            Payload::Renew {
                no,
                have,
                edge_status,
                unverified,
            } => self.on_renew(conn, (no, have), edge_status, unverified),
            Payload::Op {
                request_id,
                proposal_id,
                cmd,
            } => self.change(OpFrom::Edge(conn, request_id), proposal_id, cmd),
            Payload::OpFind {
                request_id,
                proposal_id,
            } => self.want(Want::Find(OpFrom::Edge(conn, request_id), proposal_id)),
            other => self.idempotency_frame(conn, &from, other),
        }
    }

    fn on_hello(&mut self, conn: Conn, h: Hello) {
        // a connection to oneself, through a seed, is of no use
        if h.id == self.me.id {
            let addr = self.connections.get(&conn).and_then(|l| l.dialled);
            if let Some(a) = addr {
                self.seeds.retain(|s| *s != a);
                self.peer_addresses.remove(&a);
                self.out.push(ControllerEffect::Disconnect(a));
            }
            self.out.push(ControllerEffect::Close(conn));
            return;
        }
        if !h.core {
            self.begin_session(conn, h.clone());
        }
        let core = h.core;
        if core {
            self.membership.on_hello(&h);
        }
        if let Some(l) = self.connections.get_mut(&conn) {
            l.hello = Some(h);
        }
        if core {
            self.brief(conn);
        }
    }

    /// Run one event through the consensus reducer and carry out its effects.
    pub(super) fn agreed(&mut self, ev: Event) {
        let now = self.now;
        let Some(a) = self.consensus.as_mut() else {
            return;
        };
        let fx = a.step(ev, now);
        for e in fx {
            self.effect(e);
        }
    }

    pub(super) fn effect(&mut self, e: Effect) {
        match e {
            Effect::Save { seq, save } => self.out.push(ControllerEffect::Save(seq, save)),
            Effect::Send { to, msg } => {
                if let Some(c) = self.connection_to(to) {
                    self.send(c, Payload::Consensus(msg));
                }
            }
            Effect::Result {
                proposal_id,
                outcome,
            } => self.on_result(proposal_id, outcome),
            Effect::ReadReady { request_id, ok } => self.on_read(request_id, ok),
            Effect::Applied { .. } => self.on_applied(),
            Effect::Members(ms) => {
                let names: Vec<String> = ms
                    .iter()
                    .map(|m| format!("{:x}{}", m.id, if m.voter { "" } else { "?" }))
                    .collect();
                self.log_event(LogEvent::Members, names.join(" "));
                if !self.me.founded && ms.iter().any(|m| m.voter) {
                    self.greet();
                }
                self.redial();
            }
            Effect::Note(n) => self.on_note(n),
        }
    }

    fn on_note(&mut self, n: Note) {
        let region = |r: RegionId| self.site.region_name(r).to_string();
        let (ev, about) = match n {
            Note::GlobalLeader { term, .. } => (LogEvent::GlobalLeader, format!("term {term}")),
            Note::DomainLeader { dterm, .. } => (LogEvent::DomainLeader, format!("term {dterm}")),
            Note::SteppedDown { term, why } => {
                (LogEvent::SteppedDown, format!("term {term}: {why}"))
            }
            Note::RegionDown { region: r } => (LogEvent::RegionDown, region(r)),
            Note::RegionUp { region: r } => (LogEvent::RegionUp, region(r)),
            Note::Moving { to } => (LogEvent::Moving, format!("to {to:x}")),
            Note::DiskFailed => (LogEvent::DiskFailed, "standing aside".to_string()),
        };
        self.log_event(ev, about);
    }

    fn on_applied(&mut self) {
        let version = self.consensus.as_ref().map_or(0, |a| a.machine().version());
        if version != self.last_version {
            self.last_version = version;
            self.log_event(LogEvent::ConfigurationAdopted, format!("serial {version}"));
        }
    }

    pub(super) fn change(&mut self, from: OpFrom, proposal_id: ProposalId, cmd: Command) {
        if self.consensus.is_none() || self.leaving {
            return self.op_done(from, OpOutcome::NotTaken);
        }
        if self.consensus.as_ref().is_some_and(|a| a.cut_off()) {
            // the operator does better to go on to another core at once
            return self.op_done(from, OpOutcome::Unknown);
        }
        self.ops.entry(proposal_id).or_default().push(from);
        let cmd = self.bound_to_zone_state(cmd);
        let body = Body::Data(Arc::new(encode(&cmd)));
        self.agreed(Event::Propose { proposal_id, body });
    }

    /// An evacuation holds only for the state of its zone that this core knows
    /// as the call comes: it has no id and no base, so a copy that is held up
    /// could not be told from a new call otherwise.
    fn bound_to_zone_state(&self, cmd: Command) -> Command {
        let record = self.consensus.as_ref().map(|a| a.machine());
        match (cmd, record) {
            (Command::Evacuate { zone, evacuated }, Some(record)) => Command::EvacuateOnce {
                zone,
                evacuated,
                changes: record.zone_changes(zone),
            },
            (cmd, _) => cmd,
        }
    }

    fn on_result(&mut self, proposal_id: ProposalId, r: Result<Arc<Vec<u8>>, Lost>) {
        let outcome = match r {
            // a membership change has no outcome of its own but having happened
            Ok(b) if b.is_empty() => OpOutcome::Got(Outcome::Taken { version: 0 }),
            Ok(b) => crate::replicated_state::decode(&b).map_or(OpOutcome::Unknown, OpOutcome::Got),
            Err(Lost::Unknown) => OpOutcome::Unknown,
            Err(Lost::Full) => OpOutcome::NotTaken,
        };
        let taken = matches!(outcome, OpOutcome::Got(Outcome::Taken { .. }));
        self.proposed(proposal_id, taken);
        let asked = self.ops.remove(&proposal_id).unwrap_or_default();
        if !asked.is_empty() {
            let id = crate::order_id::format_proposal_id(proposal_id);
            let (ev, about) = match &outcome {
                OpOutcome::Got(Outcome::Taken { version }) => {
                    (LogEvent::ChangeTaken, format!("{id} as serial {version}"))
                }
                o => (LogEvent::ChangeRefused, format!("{id}: {o:?}")),
            };
            self.log_event(ev, about);
        }
        for f in asked {
            self.op_done(f, outcome.clone());
        }
    }

    pub(super) fn op_done(&mut self, from: OpFrom, outcome: OpOutcome) {
        match from {
            OpFrom::Http(request_id) => self.out.push(ControllerEffect::Done(request_id, outcome)),
            OpFrom::Edge(c, request_id) => self.send(
                c,
                Payload::OpDone {
                    request_id,
                    outcome,
                },
            ),
        }
    }
}
