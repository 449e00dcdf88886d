//! Events, effects and context of the idempotency part.

use super::catch_up::Peer;
use super::claim_table::{ClaimRecord, Claimant};
use super::pending::ReplyTo;
use crate::consensus::Save;
use crate::log_events::LogEvent;
use crate::net::Conn;
use crate::types::{Millis, NodeId};
use crate::wire::{ClaimVote, ClaimsPage, Payload, SentRequest, VoteId};
use std::collections::BTreeSet;

/// What the idempotency part reacts to.
#[derive(Debug)]
pub enum Event {
    /// The periodic timer, with the voters that are reachable.
    Tick {
        /// Voters whose tables may be read now.
        peers: Vec<Peer>,
    },
    /// Every save up to this sequence number is synced to disk.
    Synced {
        /// The sequence number.
        seq: u64,
    },
    /// This core has founded a site, so there were no claims before.
    Founded,
    /// An edge claims a key.
    Claim {
        /// Whom to answer.
        reply_to: ReplyTo,
        /// The claim.
        claim: ClaimRecord,
    },
    /// A peer collects votes for a claim.
    VoteRequest {
        /// The connection of the peer.
        conn: Conn,
        /// The peer's number for the vote.
        vote_id: VoteId,
        /// The claim.
        claim: ClaimRecord,
    },
    /// A peer has voted on a claim of which this core collects the votes.
    VoteReply {
        /// The voter.
        voter: NodeId,
        /// This core's number for the vote.
        vote_id: VoteId,
        /// Its vote.
        vote: ClaimVote,
    },
    /// An edge releases a claim on a request that it never sent.
    Release {
        /// Whom to tell once a quorum has released it.
        reply_to: ReplyTo,
        /// The key.
        id: String,
        /// The claimant that held it.
        claimant: Claimant,
    },
    /// A peer passes a release on.
    PeerRelease {
        /// The connection of the peer.
        conn: Conn,
        /// The key.
        id: String,
        /// The claimant that held it.
        claimant: Claimant,
    },
    /// A peer has released a claim.
    ReleaseAck {
        /// The peer.
        voter: NodeId,
        /// The claimant that held the key.
        claimant: Claimant,
    },
    /// Requests that an edge has sent of late.
    SentRequests(Vec<SentRequest>),
    /// A peer reads this core's table.
    PageRequest {
        /// The connection of the peer.
        conn: Conn,
        /// Offset of the first claim that it asks for.
        start: u64,
    },
    /// A page of a peer's table.
    Page {
        /// The peer.
        peer: Peer,
        /// The page.
        page: ClaimsPage,
    },
}

/// What the controller is to do, in this order.
#[derive(Debug)]
pub enum Effect {
    /// Send on a connection.
    Send(Conn, Payload),
    /// Send to a peer, if it was heard from within three seconds.
    SendToPeer(NodeId, Payload),
    /// Send to every live peer that votes, or may soon, but these.
    Broadcast {
        /// What to send.
        payload: Payload,
        /// Peers that need not get it.
        except: BTreeSet<NodeId>,
    },
    /// Save to the store; nothing waits for the sync.
    Save(Save),
    /// Save these claims, if any, and hand the action to
    /// [`super::Idempotency::defer`] with the number of the last save.
    SaveThen(Vec<ClaimRecord>, AfterSync),
    /// Keep on disk that this core is caught up.
    PersistCaughtUp,
    /// Write a log event.
    Log(LogEvent, String),
}

/// What follows once the save that it relies on is synced.
#[derive(Debug)]
pub enum AfterSync {
    /// Send on a connection.
    Send(Conn, Payload),
    /// Count this core's own grant in a vote.
    GrantOwnVote(VoteId),
    /// Take part in votes from now on.
    FinishCatchUp,
    /// Nothing: the save was for this core alone.
    Nothing,
}

/// What the part needs to know of its core at an event.
#[derive(Clone, Debug)]
pub struct Context {
    /// Time by the monotonic clock, in milliseconds.
    pub now: Millis,
    /// This core.
    pub own_id: NodeId,
    /// Members that vote.
    pub voters: Vec<NodeId>,
    /// Whether this core belongs to a founded site.
    pub joined: bool,
    /// Whether a save is on its way to the disk.
    pub has_unsynced_saves: bool,
}
