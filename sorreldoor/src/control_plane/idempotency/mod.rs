//! Claims on idempotency keys. An edge sends a request that is not idempotent only
//! after a majority of the cores has granted its claim on the request's id and
//! synced the claim to disk. Therefore the loss of any minority of the cores
//! cannot let a second edge send the same request.
//!
//! [`Idempotency`] is a pure state machine: it takes an [`Event`] and returns
//! [`Effect`]s, and shares no state with the controller that runs it.

mod catch_up;
mod claim_table;
mod event;
mod peer_reads;
mod pending;
mod votes;

pub use catch_up::Peer;
pub use claim_table::{
    ClaimOutcome, ClaimRecord, ClaimTable, Claimant, MAX_RETENTION_MS, RETENTION_MS,
};
pub use event::{AfterSync, Context, Effect, Event};
pub use pending::ReplyTo;

use crate::consensus::Save;
use crate::invariants::{is_disabled, Invariant};
use crate::net::Conn;
use crate::types::Millis;
use crate::wire::{Payload, SentRequest, VoteId};
use catch_up::CatchUp;
use pending::{PendingClaim, PendingRelease};
use std::collections::{BTreeMap, VecDeque};

/// Time after which a core drops a pending claim or release; edges retry.
const PENDING_TIMEOUT_MS: Millis = 3000;

/// Settings of [`Idempotency`].
#[derive(Clone, Debug)]
pub struct Options {
    /// Maximum number of keys that are claimed at a time.
    pub capacity: usize,
    /// Number of cores that bootstrap the site.
    pub founding_cores: usize,
    /// Whether this core reads the claim tables of its peers.
    pub reads_peers: bool,
}

/// The claims on idempotency keys at one core: its claim table, and the votes and
/// releases that it collects for its edges.
#[derive(Debug)]
pub struct Idempotency {
    options: Options,
    table: ClaimTable,
    claims: BTreeMap<VoteId, PendingClaim>,
    releases: BTreeMap<Claimant, PendingRelease>,
    catch_up: CatchUp,
    last_vote_id: VoteId,
    /// Whether it was logged already that the table is full.
    logged_full: bool,
    /// Actions, each with the sequence number of the save that it waits for.
    deferred: VecDeque<(u64, AfterSync)>,
    effects: Vec<Effect>,
}

impl Idempotency {
    /// Starts with the claims from the store; their retention starts again at `now`.
    #[must_use]
    pub fn new(options: Options, stored: &[ClaimRecord], caught_up: bool, now: Millis) -> Self {
        let mut table = ClaimTable::new(options.capacity.max(stored.len()));
        for claim in stored {
            let _ = table.claim(claim, now);
        }
        let mut catch_up = CatchUp::default();
        if caught_up {
            catch_up.finish();
        }
        Idempotency {
            options,
            table,
            claims: BTreeMap::new(),
            releases: BTreeMap::new(),
            catch_up,
            last_vote_id: 0,
            logged_full: false,
            deferred: VecDeque::new(),
            effects: Vec::new(),
        }
    }

    /// The claim table of this core.
    #[must_use]
    pub fn table(&self) -> &ClaimTable {
        &self.table
    }

    /// Whether this core knows every claim that it may have granted before. Until
    /// then it does not vote, and does not report its table to peers as complete: a
    /// core that may have forgotten a claim must not deny that it was made.
    #[must_use]
    pub fn is_caught_up(&self) -> bool {
        self.catch_up.is_caught_up()
    }

    /// Whether [`Event::Tick`] at `now` must carry the list of peers.
    #[must_use]
    pub fn reads_peers_at(&self, now: Millis) -> bool {
        self.options.reads_peers && self.catch_up.is_due(now)
    }

    /// Handles one event and returns the effects to carry out, in order.
    #[must_use]
    pub fn step(&mut self, event: Event, context: &Context) -> Vec<Effect> {
        match event {
            Event::Tick { peers } => self.on_tick(&peers, context),
            Event::Synced { seq } => self.on_synced(seq, context),
            Event::Founded => {
                self.catch_up.finish();
                self.effects.push(Effect::PersistCaughtUp);
            }
            Event::Claim { reply_to, claim } => self.on_claim(reply_to, claim, context),
            Event::VoteRequest {
                conn,
                vote_id,
                claim,
            } => self.on_vote_request(conn, vote_id, claim, context),
            Event::VoteReply {
                voter,
                vote_id,
                vote,
            } => self.on_vote_reply(voter, vote_id, vote, context),
            Event::Release {
                reply_to,
                id,
                claimant,
            } => self.on_release(reply_to, id, claimant, context),
            Event::PeerRelease { conn, id, claimant } => {
                self.release(id, claimant, context.now);
                self.send(conn, Payload::ReleaseAck { claimant });
            }
            Event::ReleaseAck { voter, claimant } => {
                if let Some(release) = self.releases.get_mut(&claimant) {
                    release.acknowledge(voter);
                }
                self.finish_release(claimant, context);
            }
            Event::SentRequests(requests) => self.on_sent_requests(requests, context),
            Event::PageRequest { conn, start } => self.on_page_request(conn, start, context),
            Event::Page { peer, page } => self.on_page(peer, page, context),
        }
        std::mem::take(&mut self.effects)
    }

    /// Registers an action to run once the save `seq` is synced.
    pub fn defer(&mut self, seq: u64, action: AfterSync) {
        self.deferred.push_back((seq, action));
    }

    fn send(&mut self, conn: Conn, payload: Payload) {
        self.effects.push(Effect::Send(conn, payload));
    }

    /// Whether this core votes on claims.
    fn is_voting(&self, context: &Context) -> bool {
        context.joined && self.is_caught_up()
    }

    /// Saves the claims and runs the action once they and all earlier saves are
    /// synced; at once if there is nothing to sync.
    fn save_then(&mut self, claims: Vec<ClaimRecord>, action: AfterSync, context: &Context) {
        let relies_on_save = !claims.is_empty() || context.has_unsynced_saves;
        if context.joined && relies_on_save && !is_disabled(Invariant::ClaimSynced) {
            self.effects.push(Effect::SaveThen(claims, action));
        } else {
            self.run_action(action, context);
        }
    }

    fn run_action(&mut self, action: AfterSync, context: &Context) {
        match action {
            AfterSync::Send(conn, payload) => self.send(conn, payload),
            AfterSync::FinishCatchUp => self.finish_catch_up(),
            AfterSync::Nothing => {}
            AfterSync::GrantOwnVote(vote_id) => {
                if let Some(pending) = self.claims.get_mut(&vote_id) {
                    pending.grant(context.own_id);
                }
                self.finish_claim(vote_id, context);
            }
        }
    }

    fn on_synced(&mut self, seq: u64, context: &Context) {
        while self.deferred.front().is_some_and(|(s, _)| *s <= seq) {
            if let Some((_, action)) = self.deferred.pop_front() {
                self.run_action(action, context);
            }
        }
    }

    /// Releases a claim in this core's table.
    fn release(&mut self, id: String, claimant: Claimant, now: Millis) {
        if self.table.release(&id, claimant, now) {
            self.effects
                .push(Effect::Save(Save::ReleasedClaims(vec![id])));
        }
    }

    /// Releases a claim here and on all peers.
    fn on_release(&mut self, reply_to: ReplyTo, id: String, claimant: Claimant, context: &Context) {
        self.claims.retain(|_, p| p.claim.claimant != claimant);
        self.release(id.clone(), claimant, context.now);
        let release = self
            .releases
            .entry(claimant)
            .or_insert_with(|| PendingRelease::new(reply_to, context.own_id, context.now));
        release.reply_to = reply_to;
        let except = release.acknowledged().clone();
        let payload = Payload::PeerRelease { id, claimant };
        self.effects.push(Effect::Broadcast { payload, except });
        self.finish_release(claimant, context);
    }

    fn finish_release(&mut self, claimant: Claimant, context: &Context) {
        let pending = self.releases.get(&claimant);
        if !pending.is_some_and(|p| p.is_complete(&context.voters)) {
            return;
        }
        if let Some(done) = self.releases.remove(&claimant) {
            let request_id = done.reply_to.request_id;
            self.send(done.reply_to.conn, Payload::Released { request_id });
        }
    }

    /// Records claims for requests that an edge has sent recently.
    fn on_sent_requests(&mut self, requests: Vec<SentRequest>, context: &Context) {
        let mut new_claims = Vec::new();
        for request in requests {
            let claim = ClaimRecord {
                id: request.id,
                claimant: request.claimant,
                retention_ms: RETENTION_MS,
            };
            if self.table.claim(&claim, context.now) == ClaimOutcome::Granted {
                new_claims.push(claim);
            }
        }
        if context.joined && !new_claims.is_empty() {
            let save = Save::ClaimRecords(new_claims);
            self.effects.push(Effect::Save(save));
        }
    }

    fn on_tick(&mut self, peers: &[Peer], context: &Context) {
        let oldest = context.now.saturating_sub(PENDING_TIMEOUT_MS);
        self.claims.retain(|_, pending| pending.since > oldest);
        self.releases.retain(|_, pending| pending.since > oldest);
        // a tie is decided by a timeout, without a further vote
        let vote_ids: Vec<VoteId> = self.claims.keys().copied().collect();
        for vote_id in vote_ids {
            self.finish_claim(vote_id, context);
        }
        let expired = self.table.expire(context.now);
        if !expired.is_empty() {
            self.logged_full = false;
            self.effects
                .push(Effect::Save(Save::ReleasedClaims(expired)));
        }
        if context.joined && self.options.reads_peers {
            self.read_peers(peers, context.now);
        }
    }
}
