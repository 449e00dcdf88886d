//! Contents too large for one message, sent in chunks: a snapshot, or one big
//! entry. A few chunks at most are on their way to one member, so that
//! heartbeats never wait long behind them, and after a break the transfer goes
//! on at the offset that the receiver holds.

use super::chunk::{Chunk, ContentHeader};
use super::node::{Consensus, Role};
use super::types::*;
use crate::types::*;
use std::sync::Arc;

/// Bytes of content in one message at most.
pub const CHUNK_BYTES: usize = 32 * 1024;
/// Bytes of content on their way to all members together; one chunk to each is
/// always allowed. At 10 Mbit/s this is about a tenth of a second.
pub const WINDOW_BYTES: usize = 128 * 1024;
/// The largest content that a member will make room for.
pub const MOST_CONTENT_BYTES: u64 = 16 << 20;

/// A content being sent to one member.
#[derive(Clone, Debug)]
pub struct Transfer {
    header: ContentHeader,
    bytes: Arc<Vec<u8>>,
    id: u64,
    /// How much the receiver is known to hold.
    acknowledged: usize,
    /// How much was sent, acknowledged or not.
    sent: usize,
    /// When the receiver last held more than before.
    progressed_at: Millis,
    /// Nothing came back for a while: one chunk at a time until it does.
    stalled: bool,
}

impl Transfer {
    pub fn new(header: ContentHeader, bytes: Arc<Vec<u8>>, now: Millis) -> Transfer {
        let id = content_id(&header, &bytes);
        Transfer {
            header,
            bytes,
            id,
            acknowledged: 0,
            sent: 0,
            progressed_at: now,
            stalled: false,
        }
    }

    pub fn header(&self) -> &ContentHeader {
        &self.header
    }

    fn in_flight(&self) -> usize {
        self.sent - self.acknowledged
    }

    /// The receiver holds the first `held` bytes.
    fn on_reply(&mut self, held: usize, now: Millis) {
        let held = held.min(self.bytes.len());
        if held > self.acknowledged {
            self.progressed_at = now;
            self.stalled = false;
            self.sent = self.sent.max(held);
        }
        if held < self.acknowledged {
            // it was restarted, and begins anew
            self.sent = held;
        }
        self.acknowledged = held;
    }

    /// Go back to what is acknowledged if nothing came back for `patience`.
    fn rewind_if_stalled(&mut self, now: Millis, patience: Millis) {
        let silent = now.saturating_sub(self.progressed_at) >= patience;
        if silent && self.in_flight() > 0 {
            self.sent = self.acknowledged;
            self.progressed_at = now;
            self.stalled = true;
        }
    }

    /// The next chunk, if there is room for one in `window`.
    fn next_chunk(&mut self, window: usize, chunk_bytes: usize) -> Option<(usize, Vec<u8>)> {
        let room = self.in_flight() == 0 || self.in_flight() + chunk_bytes <= window;
        if self.sent == self.bytes.len() || !room {
            return None;
        }
        let offset = self.sent;
        let end = (offset + chunk_bytes).min(self.bytes.len());
        self.sent = end;
        Some((offset, self.bytes[offset..end].to_vec()))
    }
}

/// A content being received from one member.
#[derive(Clone, Debug)]
pub struct Incoming {
    id: u64,
    total: u64,
    bytes: Vec<u8>,
}

impl Incoming {
    fn new(chunk: &Chunk) -> Incoming {
        Incoming {
            id: chunk.id,
            total: chunk.total,
            bytes: Vec::new(),
        }
    }

    fn held(&self) -> u64 {
        self.bytes.len() as u64
    }

    /// Take in a chunk that follows on what is held; others are passed over.
    fn add(&mut self, chunk: &Chunk) {
        let fits = self.held() + chunk.data.len() as u64 <= self.total;
        if chunk.offset == self.held() && fits {
            self.bytes.extend_from_slice(&chunk.data);
        }
    }

    fn complete(&self) -> bool {
        self.held() == self.total
    }
}

/// Tells contents apart, and shows at the end that all chunks were of one
/// (FNV-1a over the header's position and the bytes).
fn content_id(header: &ContentHeader, bytes: &[u8]) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let last = header.last();
    let kind = u64::from(matches!(header, ContentHeader::Snapshot { .. }));
    let start = [kind, last.term, last.idx]
        .iter()
        .fold(OFFSET, |hash, n| (hash ^ n).wrapping_mul(PRIME));
    bytes
        .iter()
        .fold(start, |hash, b| (hash ^ u64::from(*b)).wrapping_mul(PRIME))
}

impl<M: StateMachine> Consensus<M> {
    // --- sending ---

    /// Send what the window allows; as a heartbeat, an empty chunk at least.
    pub(super) fn send_chunks(&mut self, to: NodeId, heartbeat: bool) {
        self.refresh_transfer(to);
        let whole = self.timing.broken == Broken::SendWhole;
        let chunk_bytes = if whole { usize::MAX / 2 } else { CHUNK_BYTES };
        let window = self.window();
        let (now, resend) = (self.now, self.timing.resend);
        let mut chunks = Vec::new();
        let Some(transfer) = self.rows.get_mut(&to).and_then(|p| p.transfer.as_mut()) else {
            return;
        };
        let patience = if whole { resend } else { resend * 2 };
        transfer.rewind_if_stalled(now, patience);
        let window = if transfer.stalled {
            CHUNK_BYTES
        } else {
            window
        };
        while let Some(chunk) = transfer.next_chunk(window, chunk_bytes) {
            chunks.push(chunk);
        }
        if chunks.is_empty() && heartbeat {
            chunks.push((transfer.acknowledged, Vec::new()));
        }
        let transfer = transfer.clone();
        for (offset, data) in chunks {
            self.send_chunk(to, &transfer, offset, data);
        }
    }

    fn send_chunk(&mut self, to: NodeId, transfer: &Transfer, offset: usize, data: Vec<u8>) {
        let (gl, round) = self.leader_and_round();
        let chunk = Chunk {
            term: self.hard.term,
            gl,
            round,
            commit: self.commit,
            header: transfer.header.clone(),
            id: transfer.id,
            total: transfer.bytes.len() as u64,
            offset: offset as u64,
            data,
        };
        self.send(to, Msg::Chunk(Box::new(chunk)));
    }

    /// This member's part of what may be on its way to all of them.
    fn window(&self) -> usize {
        let active = self.rows.values().filter(|p| p.transfer.is_some()).count();
        (WINDOW_BYTES / active.max(1)).max(CHUNK_BYTES)
    }

    /// A snapshot whose following entries are gone is of no use any more: the
    /// newest one takes its place.
    fn refresh_transfer(&mut self, to: NodeId) {
        let stale = self.rows.get(&to).and_then(|p| p.transfer.as_ref());
        let stale = stale.is_some_and(|t| {
            matches!(t.header, ContentHeader::Snapshot { .. })
                && self.log.at(t.header.last().idx).is_none()
        });
        if stale {
            self.begin_snapshot(to);
        }
    }

    pub(super) fn begin_snapshot(&mut self, to: NodeId) {
        let Some(snap) = self.image.clone() else {
            return;
        };
        let header = ContentHeader::Snapshot {
            last: snap.last,
            members: snap.members,
        };
        self.begin(to, header, snap.image);
    }

    pub(super) fn begin_entry(&mut self, to: NodeId, prev: LogPosition, entry: &Entry) {
        let Body::Data(bytes) = &entry.body else {
            return;
        };
        let header = ContentHeader::Entry {
            prev,
            term: entry.term,
            proposal_id: entry.proposal_id,
            origin: entry.origin,
        };
        self.begin(to, header, bytes.clone());
    }

    fn begin(&mut self, to: NodeId, header: ContentHeader, bytes: Arc<Vec<u8>>) {
        let transfer = Transfer::new(header, bytes, self.now);
        if let Some(progress) = self.rows.get_mut(&to) {
            progress.transfer = Some(transfer);
        }
    }

    pub(super) fn on_chunk_reply(&mut self, from: NodeId, term: u64, id: u64, held: u64) {
        if term > self.hard.term {
            self.take_term(term, None);
            return;
        }
        let leads = self.role == Role::Leader || self.domain_role == Role::Leader;
        if term < self.hard.term || !leads {
            return;
        }
        let now = self.now;
        let Some(progress) = self.rows.get_mut(&from) else {
            return;
        };
        progress.seen = now;
        let Some(transfer) = progress.transfer.as_mut().filter(|t| t.id == id) else {
            return;
        };
        transfer.on_reply(held as usize, now);
        self.send_chunks(from, false);
    }

    // --- receiving ---

    pub(super) fn on_chunk(&mut self, from: NodeId, chunk: Chunk) {
        let leads = self.role == Role::Leader && chunk.term == self.hard.term;
        if chunk.term < self.hard.term || leads {
            self.tell(from, None);
            return;
        }
        let heartbeat = chunk.round > self.round_from || chunk.term > self.hard.term;
        self.follow(chunk.term, chunk.gl, chunk.round);
        if heartbeat {
            // it stands for an empty append: the round is echoed and passed on
            self.tell(from, None);
            self.advance(chunk.commit.min(self.verified));
            self.replicate_in_domain(true);
        }
        if self.holds_content(&chunk.header) {
            self.incoming.retain(|_, i| i.id != chunk.id);
            self.verified = self.verified.max(chunk.header.last().idx);
            self.reply_to_chunk(from, &chunk, chunk.total);
            self.tell(from, None);
            self.advance(chunk.commit.min(self.verified));
            return;
        }
        if let Some(hint) = self.misfit(&chunk.header) {
            self.tell(from, Some(hint));
            return;
        }
        if chunk.total > MOST_CONTENT_BYTES {
            return;
        }
        self.take_up_incoming(from, &chunk);
        let Some(incoming) = self.incoming.get_mut(&from) else {
            return;
        };
        incoming.add(&chunk);
        let (held, complete) = (incoming.held(), incoming.complete());
        self.reply_to_chunk(from, &chunk, held);
        if complete {
            self.on_content(from, chunk);
        }
    }

    fn reply_to_chunk(&mut self, to: NodeId, chunk: &Chunk, held: u64) {
        let term = self.hard.term;
        self.send(
            to,
            Msg::ChunkReply {
                term,
                id: chunk.id,
                held,
            },
        );
    }

    /// What this member has already needs no transfer.
    fn holds_content(&self, header: &ContentHeader) -> bool {
        let last = header.last();
        match header {
            ContentHeader::Snapshot { .. } => last.idx <= self.commit,
            ContentHeader::Entry { .. } => self.log.term_at(last.idx) == Some(last.term),
        }
    }

    /// Where to go on from instead, if an entry does not follow on this log.
    fn misfit(&self, header: &ContentHeader) -> Option<u64> {
        let ContentHeader::Entry { prev, .. } = header else {
            return None;
        };
        let fits = self.log.term_at(prev.idx) == Some(prev.term);
        (!fits).then(|| self.fall_back(prev.idx))
    }

    /// Each sender has one content under way here; what another sender has
    /// sent of the same content counts as well. Only the Global Leader and the
    /// own region's Domain Leader send.
    fn take_up_incoming(&mut self, from: NodeId, chunk: &Chunk) {
        if self.incoming.get(&from).is_some_and(|i| i.id == chunk.id) {
            return;
        }
        let longest = self
            .incoming
            .values()
            .filter(|i| i.id == chunk.id)
            .max_by_key(|i| i.held())
            .cloned();
        let incoming = longest.unwrap_or_else(|| Incoming::new(chunk));
        let domain_leader = self.leads.get(&self.region()).map(|l| l.id);
        self.incoming
            .retain(|sender, _| *sender == chunk.gl || Some(*sender) == domain_leader);
        self.incoming.insert(from, incoming);
    }

    fn on_content(&mut self, from: NodeId, chunk: Chunk) {
        let Some(incoming) = self.incoming.remove(&from) else {
            return;
        };
        // chunks of two contents must never pass for one
        if content_id(&chunk.header, &incoming.bytes) != chunk.id {
            return;
        }
        self.incoming.retain(|_, i| i.id != chunk.id);
        let bytes = Arc::new(incoming.bytes);
        let lead = (chunk.term, chunk.gl, chunk.round);
        match chunk.header {
            ContentHeader::Snapshot { last, members } => {
                let snap = Snapshot {
                    last,
                    members,
                    image: bytes,
                };
                self.on_install(from, lead, snap);
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
                self.on_append(from, lead, prev, vec![entry], chunk.commit);
            }
        }
    }
}
