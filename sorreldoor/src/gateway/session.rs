//! The edge's session with a core: frames in, news taken, no step back.

use super::controller::{EdgeController, EdgeEffect};
use crate::consensus::ClaimRecord;
use crate::control_plane::KEEP_MS;
use crate::discovery::WorkerRegistry;
use crate::gateway::request_table::ClaimRequest;
use crate::log_events::LogEvent;
use crate::net::{Conn, NetEvent};
use crate::subscription::Granted;
use crate::types::Millis;
use crate::wire::*;
use std::sync::Arc;

/// Ends of claims that are told again, at most, and how often.
const FREES: usize = 65_536;
const FREE_AGAIN: Millis = 500;

impl EdgeController {
    pub(super) fn net(&mut self, n: NetEvent) {
        match n {
            NetEvent::Up { conn, dialled } => {
                let h = self.me.clone();
                self.out.push(EdgeEffect::Send(conn, Payload::Hello(h)));
                if let Some(a) = dialled {
                    let fx = self.pull.up(conn, a, self.now);
                    fx.into_iter().for_each(|f| self.pulled(f));
                    self.log_event(LogEvent::SessionUp, a.to_string());
                    self.retell(conn);
                }
            }
            NetEvent::Down { conn } => {
                self.pull.down(conn);
                let lost: Vec<u64> = self
                    .changes
                    .iter()
                    .filter(|(_, c)| **c == conn)
                    .map(|(r, _)| *r)
                    .collect();
                for request_id in lost {
                    self.changes.remove(&request_id);
                    // it left on that session, so it may have been taken
                    self.out
                        .push(EdgeEffect::Done(request_id, OpOutcome::Unknown));
                }
            }
            NetEvent::Frame { conn, payload } => self.frame(conn, *payload),
        }
    }

    fn frame(&mut self, conn: Conn, p: Payload) {
        match p {
            Payload::Grant { no, ok, delta } => self.on_grant(no, ok, delta),
            Payload::ClaimResult {
                request_id,
                id,
                said,
            } => {
                let (now, lease) = (self.now, self.pull.lease(self.now));
                self.table
                    .claimed(&mut self.plan, request_id, &id, said, lease, now);
            }
            Payload::Released { request_id } => {
                self.frees.remove(&request_id);
            }
            Payload::OpDone {
                request_id,
                outcome,
            } => self.on_done(request_id, outcome),
            // renewals are sign of life enough on the session's own line
            Payload::Ping { .. } if self.pull.conn == Some(conn) => {}
            Payload::Ping { .. } => self
                .out
                .push(EdgeEffect::Send(conn, Payload::Ping { no: 0 })),
            Payload::WorkerRegistry(r) => self.take_registry(r),
            _ => {}
        }
    }

    fn on_grant(&mut self, no: u64, ok: bool, delta: StateDelta) {
        // news from a core that could not prove itself may be old, and is
        // taken only by an edge that has none at all
        let some = delta.record.as_ref().is_some_and(|r| r.has_document);
        if delta.record_withheld {
            self.pull.withheld(no, self.now);
            return;
        }
        match self.pull.granted(no, ok, some, self.now) {
            Granted::Proved => {
                self.apply_delta(delta);
                self.looked(no, true);
            }
            Granted::Unverified => self.apply_delta(delta),
            Granted::No => {}
        }
    }

    fn take_registry(&mut self, r: Arc<WorkerRegistry>) {
        if r.version > self.pull.have.registry {
            self.pull.have.registry = r.version;
            self.plan.take_registry(r);
        }
    }

    fn on_done(&mut self, request_id: u64, outcome: OpOutcome) {
        if self.changes.remove(&request_id).is_some() {
            self.out.push(EdgeEffect::Done(request_id, outcome));
        }
    }

    fn apply_delta(&mut self, n: StateDelta) {
        let was = self.plan.shown.view.version;
        // an answer that was long on its way must not undo a newer one
        if let Some(u) = n.record.filter(|u| u.revision > self.pull.have.record) {
            self.take_update(&u);
            self.table.apply_configuration(&mut self.plan, self.now);
            let now = self.plan.shown.view.version;
            if now != was {
                self.log_event(LogEvent::ConfigurationAdopted, format!("serial {now}"));
            }
        }
        if let Some(r) = n.registry {
            self.take_registry(r);
        }
        if let Some(l) = n.loads {
            self.pull.have.loads = l.mark();
            self.plan.take_loads(l);
        }
        if let Some(s) = n.edge_sessions {
            self.pull.have.edge_sessions = s.0;
            self.plan.take_seats(s);
        }
        if let Some((at, cores)) = n.cores {
            self.pull.have.cores = at;
            let region = self.me.region;
            let near = |(a, r): &(String, u8)| a.parse().ok().map(|a| (a, *r == region));
            self.pull
                .take_cores(cores.iter().filter_map(near).collect());
        }
    }

    fn take_update(&mut self, encoded: &EncodedUpdate) {
        let update = encoded.update();
        if !update.as_ref().is_some_and(|u| self.copy.apply(u)) {
            // it does not lead on from what is here; the whole will
            self.pull.have.record = 0;
            return self.log_event(LogEvent::ConfigurationUnreadable, "");
        }
        self.pull.have.record = encoded.revision;
        if !self.plan.take_view(self.copy.view()) {
            self.log_event(LogEvent::ConfigurationUnreadable, "");
        }
        if encoded.bytes.len() > LARGE_UPDATE {
            let conn = self.pull.conn;
            let renewal = conn.map(|c| self.pull.renew(c, self.now));
            renewal.into_iter().for_each(|f| self.pulled(f));
        }
    }

    /// One try of one life of this edge, unlike any other.
    fn by(&self, request_id: u64) -> u128 {
        (u128::from(self.me.incarnation) << 64) | u128::from(request_id)
    }

    pub(super) fn claim(&mut self, request_id: u64, w: ClaimRequest) {
        let (id, by, keep_ms) = (w.id, self.by(request_id), w.keep_ms);
        let claim = ClaimRecord { id, by, keep_ms };
        // without a session it is asked again by the pass over claims
        if let Some(c) = self.pull.conn {
            self.out
                .push(EdgeEffect::Send(c, Payload::Claim { request_id, claim }));
        }
    }

    /// Give a claim up: told again until a majority of cores has heard it, or
    /// its id would be held by what never ran.
    pub(super) fn release(&mut self, request_id: u64, id: String) {
        if self.frees.len() < FREES {
            self.frees.insert(request_id, (id.clone(), self.now));
        }
        self.send_release(request_id, id);
    }

    fn send_release(&mut self, request_id: u64, id: String) {
        let by = self.by(request_id);
        if let Some(c) = self.pull.conn {
            self.out
                .push(EdgeEffect::Send(c, Payload::Release { request_id, id, by }));
        }
    }

    pub(super) fn releases_alarm(&mut self) {
        if self.now < self.frees_at {
            return;
        }
        self.frees_at = self.now + FREE_AGAIN;
        let old = self.now.saturating_sub(KEEP_MS);
        self.frees.retain(|_, (_, t)| *t > old);
        let before = self.now.saturating_sub(FREE_AGAIN / 2);
        let due: Vec<(u64, String)> = self
            .frees
            .iter()
            .filter(|(_, (_, t))| *t <= before)
            .map(|(request_id, (id, _))| (*request_id, id.clone()))
            .take(256)
            .collect();
        for (request_id, id) in due {
            self.send_release(request_id, id);
        }
    }

    /// A core may have lost what it noted; what was sent is told again.
    fn retell(&mut self, conn: Conn) {
        let all: Vec<(String, u128)> = self
            .table
            .sent_lately()
            .into_iter()
            .map(|(id, request_id)| (id, self.by(request_id)))
            .collect();
        if !all.is_empty() {
            self.out.push(EdgeEffect::Send(conn, Payload::Sent { all }));
        }
    }
}
