//! Runs the idempotency part: frames and the timer in, its effects out.

use super::controller::Controller;
use super::events::ControllerEffect;
use super::idempotency::{Context, Effect, Event, Peer, ReplyTo};
use crate::consensus::{Millis, NodeId, Save};
use crate::net::Conn;
use crate::wire::{Hello, Payload};
use std::collections::BTreeSet;

/// A peer not heard from for so many milliseconds is asked for nothing.
const PEER_TIMEOUT_MS: Millis = 1500;
/// A peer not heard from for so many milliseconds is told of no release.
const RELEASE_TIMEOUT_MS: Millis = 3000;

impl Controller {
    /// Hands a frame to the idempotency part, if it is one of its own; what
    /// only cores may say is taken from cores alone.
    pub(super) fn idempotency_frame(&mut self, conn: Conn, from: &Hello, payload: Payload) {
        let event = match payload {
            Payload::Claim { request_id, claim } => Event::Claim {
                reply_to: ReplyTo { conn, request_id },
                claim,
            },
            Payload::Release {
                request_id,
                id,
                claimant,
            } => Event::Release {
                reply_to: ReplyTo { conn, request_id },
                id,
                claimant,
            },
            Payload::Sent { requests } => Event::Sent(requests),
            peer_payload if from.core => match peer_event(conn, from, peer_payload) {
                Some(event) => event,
                None => return,
            },
            _ => return,
        };
        self.idempotency_event(event);
    }

    pub(super) fn idempotency_tick(&mut self) {
        let peers = if self.idempotency.reads_peers_at(self.now) {
            self.live_voters()
        } else {
            Vec::new()
        };
        self.idempotency_event(Event::Tick { peers });
    }

    pub(super) fn idempotency_event(&mut self, event: Event) {
        let context = Context {
            now: self.now,
            own_id: self.me.id,
            voters: self.voter_ids(),
            joined: self.consensus.is_some(),
            has_unsynced_saves: self
                .consensus
                .as_ref()
                .is_some_and(|c| c.unsaved().is_some()),
        };
        for effect in self.idempotency.step(event, &context) {
            self.idempotency_effect(effect);
        }
    }

    fn idempotency_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Send(conn, payload) => self.send(conn, payload),
            Effect::SendToPeer(id, payload) => {
                let live = self.live_cores(RELEASE_TIMEOUT_MS);
                if let Some((conn, _)) = live.get(&id) {
                    self.send(*conn, payload);
                }
            }
            Effect::Broadcast { payload, except } => self.broadcast_claim(payload, &except),
            Effect::Save(save) => {
                self.save_claims(save);
            }
            Effect::SaveThen(claims, action) => {
                let seq = if claims.is_empty() {
                    self.consensus.as_ref().and_then(|c| c.unsaved())
                } else {
                    self.save_claims(Save::ClaimRecord(claims))
                };
                if let Some(seq) = seq {
                    self.idempotency.defer(seq, action);
                }
            }
            Effect::KeepCaughtUp => self.out.push(ControllerEffect::Keep("sure", vec![1])),
            Effect::Log(event, about) => self.log_event(event, about),
        }
    }

    /// Saves with the log's own saves; the sequence number of the save.
    fn save_claims(&mut self, save: Save) -> Option<u64> {
        let (seq, effects) = self.consensus.as_mut()?.keep(save);
        for effect in effects {
            self.effect(effect);
        }
        Some(seq)
    }

    /// Sends to every live peer that votes, or that may vote soon.
    fn broadcast_claim(&mut self, payload: Payload, except: &BTreeSet<NodeId>) {
        let voters = self.voter_ids();
        let targets: Vec<Conn> = self
            .live_cores(PEER_TIMEOUT_MS)
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
        self.live_cores(PEER_TIMEOUT_MS)
            .into_iter()
            .filter(|(id, _)| voters.contains(id))
            .map(|(_, (conn, hello))| peer(conn, &hello))
            .collect()
    }

    fn voter_ids(&self) -> Vec<NodeId> {
        let members = self.consensus.as_ref().map_or(&[][..], |c| c.members());
        members.iter().filter(|m| m.voter).map(|m| m.id).collect()
    }
}

fn peer(conn: Conn, hello: &Hello) -> Peer {
    Peer {
        id: hello.id,
        incarnation: hello.incarnation,
        conn,
    }
}

fn peer_event(conn: Conn, from: &Hello, payload: Payload) -> Option<Event> {
    match payload {
        Payload::ClaimVoteRequest { vote_id, claim } => Some(Event::VoteRequest {
            conn,
            vote_id,
            claim,
        }),
        Payload::ClaimVoteReply { vote_id, vote } => Some(Event::VoteReply {
            voter: from.id,
            vote_id,
            vote,
        }),
        Payload::PeerRelease { id, claimant } => Some(Event::PeerRelease { conn, id, claimant }),
        Payload::ReleaseAck { claimant } => Some(Event::ReleaseAck {
            voter: from.id,
            claimant,
        }),
        Payload::ClaimsPageRequest { start } => Some(Event::PageRequest { conn, start }),
        Payload::ClaimsPage(page) => Some(Event::Page {
            peer: peer(conn, from),
            page,
        }),
        _ => None,
    }
}
