//! Events, effects and context of the idempotency state machine.

use super::catch_up::Peer;
use super::claim_table::{ClaimRecord, Claimant};
use super::pending::ReplyTo;
use crate::consensus::Save;
use crate::log_events::LogEvent;
use crate::net::Conn;
use crate::types::{Millis, NodeId};
use crate::wire::{ClaimVote, ClaimsPage, Payload, SentRequest, VoteId};
use std::collections::BTreeSet;

/// An input of the idempotency state machine.
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
    /// This core has bootstrapped a site, so there were no claims before.
    Founded,
    /// An edge claims a key.
    Claim {
        /// Where to send the result.
        reply_to: ReplyTo,
        /// The claim.
        claim: ClaimRecord,
    },
    /// A peer collects votes for a claim.
    VoteRequest {
        /// The connection of the peer.
        conn: Conn,
        /// Number of the vote at the peer.
        vote_id: VoteId,
        /// The claim.
        claim: ClaimRecord,
    },
    /// A peer has voted on a claim of which this core collects the votes.
    VoteReply {
        /// The voter.
        voter: NodeId,
        /// Number of the vote at this core.
        vote_id: VoteId,
        /// Its vote.
        vote: ClaimVote,
    },
    /// An edge releases a claim on a request that it never sent.
    Release {
        /// Where to send the confirmation once a quorum has released it.
        reply_to: ReplyTo,
        /// The key.
        id: String,
        /// The claimant that held it.
        claimant: Claimant,
    },
    /// A peer forwards the release of one of its edges.
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
    /// Requests that an edge has sent recently.
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

/// What the controller must do.
#[derive(Debug)]
pub enum Effect {
    /// Send on a connection.
    Send(Conn, Payload),
    /// Send to a peer, if a frame from it arrived within three seconds.
    SendToPeer(NodeId, Payload),
    /// Send to every live peer that is or may become a voter, with exceptions.
    Broadcast {
        /// What to send.
        payload: Payload,
        /// Peers that are left out.
        except: BTreeSet<NodeId>,
    },
    /// Save to the store; nothing waits for the sync.
    Save(Save),
    /// Save these claims, if any, and pass the action to
    /// [`super::Idempotency::defer`] with the sequence number of the last save.
    SaveThen(Vec<ClaimRecord>, AfterSync),
    /// Store that this core is caught up.
    PersistCaughtUp,
    /// Write a log event.
    Log(LogEvent, String),
}

/// What to do once the save that it depends on is synced.
#[derive(Debug)]
pub enum AfterSync {
    /// Send on a connection.
    Send(Conn, Payload),
    /// Count this core's own grant in a vote.
    GrantOwnVote(VoteId),
    /// Vote from now on.
    FinishCatchUp,
    /// Nothing: the save concerns this core alone.
    Nothing,
}

/// State of the core at the time of an event.
#[derive(Clone, Debug)]
pub struct Context {
    /// Monotonic time in milliseconds.
    pub now: Millis,
    /// Identity of this core.
    pub own_id: NodeId,
    /// Identities of the voting members.
    pub voters: Vec<NodeId>,
    /// Whether this core belongs to a founded site.
    pub joined: bool,
    /// Whether a save is not synced yet.
    pub has_unsynced_saves: bool,
}
