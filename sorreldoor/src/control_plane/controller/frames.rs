//! Dispatch of connection events and received frames to the parts that they
//! concern.

use super::edges::Renewal;
use super::idempotency_keys::{edge_event, peer_event};
use super::Controller;
use crate::consensus::Event;
use crate::control_plane::events::{ControllerEffect, Requester};
use crate::control_plane::reads::Read;
use crate::net::{Conn, NetEvent};
use crate::wire::{Hello, Payload};

impl Controller {
    pub(super) fn on_net(&mut self, event: NetEvent) {
        match event {
            NetEvent::Up { conn, dialled } => {
                if self.ask_peer(conn, dialled) {
                    return;
                }
                self.connections.opened(conn, dialled, self.now);
                let hello = self.own_hello.clone();
                self.send(conn, Payload::Hello(hello));
            }
            NetEvent::Down { conn } => self.on_closed(conn),
            NetEvent::Frame { conn, payload } => {
                self.connections.received(conn, self.now);
                self.on_frame(conn, *payload);
            }
        }
    }

    fn on_closed(&mut self, conn: Conn) {
        let hello = self.connections.closed(conn);
        self.end_session(conn);
        let core = hello.filter(|hello| hello.core).map(|hello| hello.id);
        if let Some(id) = core.filter(|id| self.connections.preferred_to(*id).is_none()) {
            self.step_consensus(Event::Disconnected { id });
        }
    }

    fn on_frame(&mut self, conn: Conn, payload: Payload) {
        if let Payload::Hello(hello) = payload {
            return self.on_hello(conn, hello);
        }
        match payload {
            Payload::CoreAddressesRequest => return self.send_core_addresses(conn),
            Payload::CoreAddresses(answer) => return self.on_core_addresses(conn, &answer),
            _ => {}
        }
        match self.connections.hello(conn).cloned() {
            Some(from) if from.core => self.on_core_frame(conn, from, payload),
            Some(_) => self.on_edge_frame(conn, payload),
            // urgent events can overtake the hello in the queue; consensus resends
            None if payload.is_consensus() => {}
            // any other frame before the hello is a protocol violation
            None => self.effects.push(ControllerEffect::Close(conn)),
        }
    }

    fn on_hello(&mut self, conn: Conn, hello: Hello) {
        if hello.id == self.own_hello.id {
            return self.on_own_hello(conn);
        }
        if hello.core {
            self.membership.on_hello(&hello);
            self.identify(conn, hello);
            self.send_initial_state(conn);
        } else {
            self.begin_session(conn, hello.clone());
            self.identify(conn, hello);
        }
    }

    fn identify(&mut self, conn: Conn, hello: Hello) {
        for superseded in self.connections.identify(conn, hello) {
            self.effects.push(ControllerEffect::Close(superseded));
        }
    }

    /// Closes a connection that this core opened to itself through a seed address,
    /// and drops the address.
    fn on_own_hello(&mut self, conn: Conn) {
        if let Some(own) = self.connections.dialled(conn) {
            self.peer_addresses.remove_own(own);
            self.effects.push(ControllerEffect::Disconnect(own));
        }
        self.effects.push(ControllerEffect::Close(conn));
    }

    /// Frames that only cores may send.
    fn on_core_frame(&mut self, conn: Conn, from: Hello, payload: Payload) {
        match payload {
            Payload::Consensus(msg) => self.step_consensus(Event::Received { from: from.id, msg }),
            Payload::Bootstrap(message) => self.on_bootstrap_message(conn, &from, message),
            Payload::SessionReport(report) => self.on_session_report(from.id, report),
            Payload::WorkerRegistry(registry) => self.adopt_worker_list(registry),
            Payload::Loads(loads) => self.adopt_loads(loads),
            Payload::UsageTotals(totals) => {
                self.usage.record_peer_totals(from.id, &totals, self.now);
            }
            payload => match peer_event(conn, &from, payload) {
                Ok(event) => self.idempotency_event(event),
                Err(payload) => self.on_edge_frame(conn, payload),
            },
        }
    }

    /// Frames that any node may send.
    fn on_edge_frame(&mut self, conn: Conn, payload: Payload) {
        match payload {
            Payload::Renew {
                no,
                have,
                edge_status,
                unverified,
            } => {
                let renewal = Renewal {
                    id: no,
                    known: have,
                    status: edge_status,
                    unverified,
                };
                self.on_renewal(conn, renewal);
            }
            Payload::UsageReport(report) => self.on_usage_report(conn, &report),
            Payload::Propose {
                request_id,
                proposal_id,
                cmd,
            } => self.propose_change(Requester::Edge { conn, request_id }, proposal_id, cmd),
            Payload::OutcomeQuery {
                request_id,
                proposal_id,
            } => {
                let requester = Requester::Edge { conn, request_id };
                self.request_read(Read::Outcome {
                    requester,
                    proposal_id,
                });
            }
            payload => {
                if let Some(event) = edge_event(conn, payload) {
                    self.idempotency_event(event);
                }
            }
        }
    }
}
