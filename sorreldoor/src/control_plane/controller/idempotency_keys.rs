//! Idempotency keys: converts frames and timer ticks to events of the part, and
//! carries out its effects.

use super::Controller;
use crate::consensus::Save;
use crate::control_plane::connections::{LIVE_TIMEOUT_MS, REACHABLE_TIMEOUT_MS};
use crate::control_plane::events::ControllerEffect;
use crate::control_plane::idempotency::{Context, Effect, Event, Peer, ReplyTo};
use crate::net::Conn;
use crate::types::NodeId;
use crate::wire::{Hello, Payload};
use std::collections::BTreeSet;

/// Store key of the mark that this core has caught up on the claims.
const CAUGHT_UP_KEY: &str = "sure";

impl Controller {
    pub(super) fn tick_idempotency(&mut self) {
        let peers = if self.idempotency.reads_peers_at(self.now) {
            self.live_voters()
        } else {
            Vec::new()
        };
        self.idempotency_event(Event::Tick { peers });
    }

    /// Passes one event to the part and carries out its effects.
    pub(in crate::control_plane) fn idempotency_event(&mut self, event: Event) {
        let consensus = self.consensus.as_ref();
        let context = Context {
            now: self.now,
            own_id: self.own_hello.id,
            voters: self.voter_ids(),
            joined: consensus.is_some(),
            has_unsynced_saves: consensus.is_some_and(|c| c.last_unsynced_save().is_some()),
        };
        for effect in self.idempotency.step(event, &context) {
            self.idempotency_effect(effect);
        }
    }

    fn idempotency_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send(conn, payload) => self.send(conn, payload),
            Effect::SendToPeer(id, payload) => {
                if let Some((conn, _)) = self.live_cores(REACHABLE_TIMEOUT_MS).get(&id) {
                    self.send(*conn, payload);
                }
            }
            Effect::Broadcast { payload, except } => self.broadcast_claim(payload, &except),
            Effect::Save(save) => {
                self.save_claims(save);
            }
            Effect::SaveThen(claims, action) => {
                let seq = if claims.is_empty() {
                    self.consensus.as_ref().and_then(|c| c.last_unsynced_save())
                } else {
                    self.save_claims(Save::ClaimRecords(claims))
                };
                if let Some(seq) = seq {
                    self.idempotency.defer(seq, action);
                }
            }
            Effect::PersistCaughtUp => {
                let caught_up = ControllerEffect::StoreValue(CAUGHT_UP_KEY, vec![1]);
                self.effects.push(caught_up);
            }
            Effect::Log(event, details) => self.log_event(event, details),
        }
    }

    /// Saves claims in one sequence with the log's saves. Returns the number of the
    /// save; `None` without a replica.
    fn save_claims(&mut self, save: Save) -> Option<u64> {
        let (seq, effects) = self.consensus.as_mut()?.save_outside_log(save);
        for effect in effects {
            self.apply_consensus_effect(effect);
        }
        Some(seq)
    }

    /// Sends to every live core that is a voter or belongs to the site and may
    /// become one.
    fn broadcast_claim(&mut self, payload: Payload, except: &BTreeSet<NodeId>) {
        let voters = self.voter_ids();
        let targets: Vec<Conn> = self
            .live_cores(LIVE_TIMEOUT_MS)
            .into_iter()
            .filter(|(id, (_, hello))| hello.founded || voters.contains(id))
            .filter(|(id, _)| !except.contains(id))
            .map(|(_, (conn, _))| conn)
            .collect();
        for conn in targets {
            self.send(conn, payload.clone());
        }
    }

    fn live_voters(&self) -> Vec<Peer> {
        let voters = self.voter_ids();
        self.live_cores(LIVE_TIMEOUT_MS)
            .into_iter()
            .filter(|(id, _)| voters.contains(id))
            .map(|(_, (conn, hello))| peer(conn, &hello))
            .collect()
    }

    fn voter_ids(&self) -> Vec<NodeId> {
        let voters = self.members().iter().filter(|member| member.voter);
        voters.map(|member| member.id).collect()
    }
}

fn peer(conn: Conn, hello: &Hello) -> Peer {
    Peer {
        id: hello.id,
        incarnation: hello.incarnation,
        conn,
    }
}

/// Converts a frame that only cores may send; returns any other frame as error.
#[allow(clippy::result_large_err)]
pub(super) fn peer_event(conn: Conn, from: &Hello, payload: Payload) -> Result<Event, Payload> {
    Ok(match payload {
        Payload::ClaimVoteRequest { vote_id, claim } => Event::VoteRequest {
            conn,
            vote_id,
            claim,
        },
        Payload::ClaimVoteReply { vote_id, vote } => Event::VoteReply {
            voter: from.id,
            vote_id,
            vote,
        },
        Payload::PeerRelease { id, claimant } => Event::PeerRelease { conn, id, claimant },
        Payload::ReleaseAck { claimant } => Event::ReleaseAck {
            voter: from.id,
            claimant,
        },
        Payload::ClaimsPageRequest { start } => Event::PageRequest { conn, start },
        Payload::ClaimsPage(page) => Event::Page {
            peer: peer(conn, from),
            page,
        },
        other => return Err(other),
    })
}

/// Converts a frame about claims that any node may send; `None` for other frames.
pub(super) fn edge_event(conn: Conn, payload: Payload) -> Option<Event> {
    match payload {
        Payload::Claim { request_id, claim } => Some(Event::Claim {
            reply_to: ReplyTo { conn, request_id },
            claim,
        }),
        Payload::Release {
            request_id,
            id,
            claimant,
        } => Some(Event::Release {
            reply_to: ReplyTo { conn, request_id },
            id,
            claimant,
        }),
        Payload::SentRequests { requests } => Some(Event::SentRequests(requests)),
        _ => None,
    }
}
