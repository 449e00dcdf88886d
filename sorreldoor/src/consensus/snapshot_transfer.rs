//! Chunked transfer of snapshots and large entries: the protocol.
//!
//! The chunks in flight are limited, so that they don't delay heartbeats by much.
//! After an interruption the transfer resumes at the offset up to which the
//! receiver has the content.

use super::entry::{Body, Entry, LogPosition, Snapshot};
use super::follower::LeaderContact;
use super::messages::{AppendRequest, Chunk, ContentHeader, Msg};
use super::node::Consensus;
use super::state_machine::StateMachine;
use super::timing::InjectedFault;
use super::transfer_state::{
    IncomingTransfer, OutgoingTransfer, MAX_CONTENT_BYTES, TRANSFER_CHUNK_BYTES,
    TRANSFER_WINDOW_BYTES,
};
use crate::types::NodeId;
use std::sync::Arc;

impl<M: StateMachine> Consensus<M> {
    /// Send the chunks that the window allows. If `heartbeat` and there are none, send
    /// an empty one.
    pub(super) fn send_chunks(&mut self, to: NodeId, heartbeat: bool) {
        self.refresh_transfer(to);
        let unchunked = self.timing.injected_fault == InjectedFault::SendUnchunked;
        let chunk_bytes = if unchunked {
            usize::MAX / 2
        } else {
            TRANSFER_CHUNK_BYTES
        };
        let resend = self.timing.resend_interval;
        let timeout = if unchunked { resend } else { resend * 2 };
        let window = self.transfer_window();
        let Some(transfer) = self.progress.get_mut(&to).and_then(|p| p.transfer.as_mut()) else {
            return;
        };
        transfer.rewind_if_stalled(self.now, timeout);
        let window = if transfer.is_stalled() {
            TRANSFER_CHUNK_BYTES
        } else {
            window
        };
        let mut chunks = Vec::new();
        while let Some(chunk) = transfer.next_chunk(window, chunk_bytes) {
            chunks.push(chunk);
        }
        if chunks.is_empty() && heartbeat {
            chunks.push((transfer.acknowledged(), Vec::new()));
        }
        let transfer = transfer.clone();
        for (offset, data) in chunks {
            self.send_chunk(to, &transfer, offset, data);
        }
    }

    fn send_chunk(
        &mut self,
        to: NodeId,
        transfer: &OutgoingTransfer,
        offset: usize,
        data: Vec<u8>,
    ) {
        let contact = self.sender_contact();
        let chunk = Chunk {
            term: contact.term,
            global_leader: contact.global_leader,
            round: contact.round,
            commit: self.committed,
            header: transfer.header().clone(),
            id: transfer.id(),
            total: transfer.total(),
            offset: offset as u64,
            data,
        };
        self.send(to, Msg::Chunk(Box::new(chunk)));
    }

    /// Maximum bytes in flight for each transfer: an equal share of the total window,
    /// at least one chunk.
    fn transfer_window(&self) -> usize {
        let transfers = self.progress.values().filter(|p| p.transfer.is_some());
        (TRANSFER_WINDOW_BYTES / transfers.count().max(1)).max(TRANSFER_CHUNK_BYTES)
    }

    /// Restart the transfer with the newest snapshot if the entries after the one in
    /// transfer are compacted.
    fn refresh_transfer(&mut self, to: NodeId) {
        let transfer = self.progress.get(&to).and_then(|p| p.transfer.as_ref());
        let outdated = transfer.is_some_and(|t| {
            matches!(t.header(), ContentHeader::Snapshot { .. })
                && self.log.at(t.header().last().index).is_none()
        });
        if outdated {
            self.begin_snapshot_transfer(to);
        }
    }

    /// Begin to send the newest snapshot.
    pub(super) fn begin_snapshot_transfer(&mut self, to: NodeId) {
        let Some(snapshot) = self.snapshot.clone() else {
            return;
        };
        let header = ContentHeader::Snapshot {
            last: snapshot.last,
            members: snapshot.members,
        };
        self.begin_transfer(to, header, snapshot.image);
    }

    pub(super) fn begin_entry_transfer(&mut self, to: NodeId, prev: LogPosition, entry: &Entry) {
        let Body::Data(bytes) = &entry.body else {
            return;
        };
        let header = ContentHeader::Entry {
            prev,
            term: entry.term,
            proposal_id: entry.proposal_id,
            origin: entry.origin,
        };
        self.begin_transfer(to, header, bytes.clone());
    }

    fn begin_transfer(&mut self, to: NodeId, header: ContentHeader, bytes: Arc<Vec<u8>>) {
        let transfer = OutgoingTransfer::new(header, bytes, self.now);
        if let Some(progress) = self.progress.get_mut(&to) {
            progress.transfer = Some(transfer);
        }
    }

    pub(super) fn handle_chunk_reply(&mut self, from: NodeId, term: u64, id: u64, received: u64) {
        if term > self.hard_state.term {
            self.become_follower(term, None);
            return;
        }
        let replicates = self.leads_globally() || self.leads_domain();
        if term < self.hard_state.term || !replicates {
            return;
        }
        let now = self.now;
        let Some(progress) = self.progress.get_mut(&from) else {
            return;
        };
        progress.last_contact_at = now;
        let Some(transfer) = progress.transfer.as_mut().filter(|t| t.id() == id) else {
            return;
        };
        transfer.acknowledge(received as usize, now);
        self.send_chunks(from, false);
    }

    pub(super) fn handle_chunk(&mut self, from: NodeId, chunk: Chunk) {
        if self.is_stale(chunk.term) {
            self.send_append_reply(from, None);
            return;
        }
        let heartbeat = chunk.round > self.leader_round || chunk.term > self.hard_state.term;
        self.accept_leader(LeaderContact::of_chunk(&chunk));
        if heartbeat {
            // as for an empty append: echo the round and relay it to the region
            self.send_append_reply(from, None);
            self.commit_to(chunk.commit.min(self.verified_index));
            self.replicate_in_domain(true);
        }
        if self.has_content(&chunk.header) {
            self.skip_transfer(from, &chunk);
            return;
        }
        if let Some(hint) = self.entry_conflict_hint(&chunk.header) {
            self.send_append_reply(from, Some(hint));
            return;
        }
        if chunk.total > MAX_CONTENT_BYTES {
            return;
        }
        self.receive_chunk(from, chunk);
    }

    fn receive_chunk(&mut self, from: NodeId, chunk: Chunk) {
        self.track_incoming(from, &chunk);
        let Some(incoming) = self.incoming_transfers.get_mut(&from) else {
            return;
        };
        incoming.add(&chunk);
        let (received, complete) = (incoming.received(), incoming.is_complete());
        self.reply_to_chunk(from, &chunk, received);
        if complete {
            self.finish_transfer(from, chunk);
        }
    }

    fn reply_to_chunk(&mut self, to: NodeId, chunk: &Chunk, received: u64) {
        let reply = Msg::ChunkReply {
            term: self.hard_state.term,
            id: chunk.id,
            received,
        };
        self.send(to, reply);
    }

    /// Whether the log has the content already.
    fn has_content(&self, header: &ContentHeader) -> bool {
        let last = header.last();
        match header {
            ContentHeader::Snapshot { .. } => last.index <= self.committed,
            ContentHeader::Entry { .. } => self.log.term_at(last.index) == Some(last.term),
        }
    }

    /// Acknowledge the whole content, which this node has already.
    fn skip_transfer(&mut self, from: NodeId, chunk: &Chunk) {
        self.incoming_transfers.retain(|_, i| i.id() != chunk.id);
        self.verified_index = self.verified_index.max(chunk.header.last().index);
        self.reply_to_chunk(from, chunk, chunk.total);
        self.send_append_reply(from, None);
        self.commit_to(chunk.commit.min(self.verified_index));
    }

    /// The index after which the sender should continue if the content is an entry
    /// whose predecessor this log lacks.
    fn entry_conflict_hint(&self, header: &ContentHeader) -> Option<u64> {
        let ContentHeader::Entry { prev, .. } = header else {
            return None;
        };
        let follows = self.log.term_at(prev.index) == Some(prev.term);
        (!follows).then(|| self.conflict_hint(prev.index))
    }

    /// Track one transfer per sender, which may be the Global Leader or the Domain
    /// Leader of this region. A transfer from a new sender starts with the bytes of
    /// the same content that were received from another.
    fn track_incoming(&mut self, from: NodeId, chunk: &Chunk) {
        let current = self.incoming_transfers.get(&from);
        if current.is_some_and(|i| i.id() == chunk.id) {
            return;
        }
        let longest = self
            .incoming_transfers
            .values()
            .filter(|i| i.id() == chunk.id)
            .max_by_key(|i| i.received())
            .cloned();
        let incoming = longest.unwrap_or_else(|| IncomingTransfer::new(chunk));
        let domain_leader = self.domain_leaders.get(&self.region()).map(|l| l.id);
        self.incoming_transfers
            .retain(|sender, _| *sender == chunk.global_leader || Some(*sender) == domain_leader);
        self.incoming_transfers.insert(from, incoming);
    }

    /// Handle the complete content like a snapshot or an append in one message.
    fn finish_transfer(&mut self, from: NodeId, chunk: Chunk) {
        let Some(incoming) = self.incoming_transfers.remove(&from) else {
            return;
        };
        let Some(bytes) = incoming.into_verified_bytes(&chunk.header) else {
            return;
        };
        self.incoming_transfers.retain(|_, i| i.id() != chunk.id);
        let contact = LeaderContact::of_chunk(&chunk);
        let bytes = Arc::new(bytes);
        match chunk.header {
            ContentHeader::Snapshot { last, members } => {
                let snapshot = Snapshot {
                    last,
                    members,
                    image: bytes,
                };
                self.handle_snapshot(from, contact, snapshot);
            }
            ContentHeader::Entry {
                prev,
                term,
                proposal_id,
                origin,
            } => {
                let entry = Entry {
                    term,
                    proposal_id,
                    origin,
                    body: Body::Data(bytes),
                };
                let request = AppendRequest {
                    term: contact.term,
                    global_leader: contact.global_leader,
                    prev,
                    entries: vec![entry],
                    commit: chunk.commit,
                    round: contact.round,
                };
                self.handle_append(from, request);
            }
        }
    }
}
