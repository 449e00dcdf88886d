//! The requests in progress at this node.

use super::authentication::Caller;
use super::hash;
use super::index::EndpointIndex;
use super::long_prompts::{LONG_PREFIX_TOKENS, LONG_PROMPT_TOKENS};
use super::wait_queue::{Position, QueueKey};
use super::RequestId;
use crate::configuration::tenants::ApiKey;
use crate::error::ErrorCode;
use crate::proxy::request_state::RequestProgress;
use crate::proxy::PromptSegment;
use crate::types::Millis;

/// An attempt that has not come to its end.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub endpoint: EndpointIndex,
    pub sent_at: Millis,
    /// Leading prompt segments that were expected in the endpoint's prefix cache.
    pub cached_segments: usize,
    /// Prompt tokens left for prefill.
    pub prefill_tokens: u32,
    pub prefill_done: bool,
    /// It tries an ejected endpoint.
    pub trial: bool,
    /// It was counted against the retry budget.
    pub is_retry: bool,
}

/// A request from its head to its end.
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub host: Box<str>,
    pub path: Box<str>,
    pub arrived_at: Millis,
    /// How long the client waits from arrival on, in milliseconds.
    pub client_timeout_ms: Option<u64>,
    pub segments: Box<[PromptSegment]>,
    pub prompt_tokens: u32,
    pub api_key: Option<ApiKey>,
    /// Index of the route in the configuration of `generation`.
    pub route: Option<u32>,
    /// Whom the request runs for under that configuration.
    pub caller: Caller,
    pub generation: u32,
    pub deadline: Millis,
    /// Random draw that orders the services of a weighted split.
    pub split_draw: u64,
    pub attempt: Option<Attempt>,
    /// Endpoints that attempts were decided for.
    pub tried: Vec<EndpointIndex>,
    /// Attempts that reached an endpoint, or may have.
    pub attempts: u32,
    /// Some attempt ended after it reached an endpoint, or may have.
    pub reached_endpoint: bool,
    pub progress: RequestProgress,
    pub last_error: Option<ErrorCode>,
    /// Its place in the wait queue.
    pub queued: Option<(QueueKey, Position)>,
    pub has_waited: bool,
}

impl Request {
    /// Prompt segments that other requests may share: all but the last, which is
    /// the request's own or its session's; a single segment may be a session's.
    pub fn shared_segments(&self) -> &[PromptSegment] {
        match self.segments.len() {
            count if count > 1 => &self.segments[..count - 1],
            _ => &self.segments,
        }
    }

    /// Tokens in the shared segments.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_segments()
            .iter()
            .map(|segment| segment.tokens)
            .sum()
    }

    /// Tokens in all segments.
    pub fn segment_tokens(&self) -> u32 {
        self.segments.iter().map(|segment| segment.tokens).sum()
    }

    /// Tokens of the prompt, as its segments or the client tell them.
    pub fn total_tokens(&self) -> u32 {
        self.segment_tokens().max(self.prompt_tokens)
    }

    /// Whether its prefill stalls other requests for long.
    pub fn has_long_prompt(&self) -> bool {
        self.shared_tokens() >= LONG_PREFIX_TOKENS || self.total_tokens() >= LONG_PROMPT_TOKENS
    }

    /// The affinity key of the prompt: its last shared segment.
    pub fn prefix_key(&self) -> Option<u64> {
        self.shared_segments().last().map(|segment| segment.id)
    }
}

/// The rank of a service in a weighted rendezvous hash; the lowest is first.
pub(super) fn rendezvous_rank(draw: u64, service_hash: u64, weight: u32) -> f64 {
    -hash::unit(hash::mix(draw, service_hash)).ln() / f64::from(weight)
}

/// An entry of the table; `generation` tells reuses of the entry apart.
#[derive(Clone, Debug, Default)]
struct Entry {
    generation: u32,
    request: Option<Box<Request>>,
}

/// Requests by id: the entry in the low half, its generation in the high half.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestTable {
    entries: Vec<Entry>,
    free: Vec<u32>,
}

impl RequestTable {
    pub fn len(&self) -> usize {
        self.entries.len() - self.free.len()
    }

    pub fn insert(&mut self, request: Request) -> RequestId {
        let index = self.free.pop().unwrap_or_else(|| {
            self.entries.push(Entry::default());
            self.entries.len() as u32 - 1
        });
        let entry = &mut self.entries[index as usize];
        entry.generation = entry.generation.wrapping_add(1);
        entry.request = Some(Box::new(request));
        u64::from(entry.generation) << 32 | u64::from(index)
    }

    fn position(id: RequestId) -> usize {
        id as u32 as usize
    }

    pub fn get(&self, id: RequestId) -> Option<&Request> {
        let entry = self.entries.get(Self::position(id))?;
        let current = u64::from(entry.generation) == id >> 32;
        entry.request.as_deref().filter(|_| current)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Request> {
        let entry = self.entries.get_mut(Self::position(id))?;
        let current = u64::from(entry.generation) == id >> 32;
        entry.request.as_deref_mut().filter(|_| current)
    }

    /// Takes a request out while a decision on it is made; it must come back by
    /// [`RequestTable::check_in`].
    pub fn check_out(&mut self, id: RequestId) -> Option<Box<Request>> {
        self.get(id)?;
        self.entries[Self::position(id)].request.take()
    }

    pub fn check_in(&mut self, id: RequestId, request: Box<Request>) {
        self.entries[Self::position(id)].request = Some(request);
    }

    pub fn remove(&mut self, id: RequestId) {
        if self.get(id).is_some() {
            self.free.push(id as u32);
            self.entries[Self::position(id)].request = None;
        }
    }
}
