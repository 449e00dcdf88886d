//! The requests in progress at this node, and the table that holds them.

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

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub endpoint: EndpointIndex,
    pub sent_at: Millis,
    /// Number of leading prompt segments expected in the endpoint's prefix cache.
    pub cached_segments: usize,
    /// Prompt tokens left for prefill.
    pub prefill_tokens: u32,
    pub prefill_done: bool,
    /// Whether it is a trial of an ejected endpoint.
    pub trial: bool,
    /// Whether it was counted against the retry budget.
    pub is_retry: bool,
}

/// A request in progress, from its head until [`Balancer::finish`].
///
/// [`Balancer::finish`]: super::Balancer::finish
#[derive(Clone, Debug)]
pub(super) struct Request {
    pub host: Box<str>,
    pub path: Box<str>,
    pub arrived_at: Millis,
    /// Timeout set by the client, in milliseconds from arrival.
    pub client_timeout_ms: Option<u64>,
    pub segments: Box<[PromptSegment]>,
    pub prompt_tokens: u32,
    pub api_key: Option<ApiKey>,
    /// Index of the route in the configuration of `configuration_generation`.
    pub route: Option<u32>,
    /// The caller under that configuration.
    pub caller: Caller,
    /// See [`Balancer::apply_configuration`].
    ///
    /// [`Balancer::apply_configuration`]: super::Balancer::apply_configuration
    pub configuration_generation: u32,
    pub deadline: Millis,
    /// Random key that orders the services of a weighted split.
    pub split_key: u64,
    pub attempt: Option<Attempt>,
    /// Endpoints chosen for earlier attempts and the current one; not chosen again.
    pub tried: Vec<EndpointIndex>,
    /// Number of attempts that reached an endpoint, or may have.
    pub attempts: u32,
    /// Whether an attempt has ended that reached an endpoint, or may have.
    pub reached_endpoint: bool,
    pub progress: RequestProgress,
    pub last_error: Option<ErrorCode>,
    /// Its queue and position, while it waits.
    pub queued: Option<(QueueKey, Position)>,
    pub has_waited: bool,
}

impl Request {
    /// Prompt segments that other requests may share: all but the last, which
    /// belongs to this request or its session. A single segment is included, as
    /// later requests of the session may share it.
    pub fn shared_segments(&self) -> &[PromptSegment] {
        match self.segments.len() {
            count if count > 1 => &self.segments[..count - 1],
            _ => &self.segments,
        }
    }

    /// Number of tokens in the shared segments.
    pub fn shared_tokens(&self) -> u32 {
        self.shared_segments()
            .iter()
            .map(|segment| segment.tokens)
            .sum()
    }

    /// Number of tokens in all segments.
    pub fn segment_tokens(&self) -> u32 {
        self.segments.iter().map(|segment| segment.tokens).sum()
    }

    /// Number of tokens in the prompt: the larger of the sum over its segments and
    /// the total stated by the client.
    pub fn total_tokens(&self) -> u32 {
        self.segment_tokens().max(self.prompt_tokens)
    }

    /// Whether the prompt is so long that its prefill delays other requests.
    pub fn has_long_prompt(&self) -> bool {
        self.shared_tokens() >= LONG_PREFIX_TOKENS || self.total_tokens() >= LONG_PROMPT_TOKENS
    }

    /// The affinity key of the prompt: the id of its last shared segment.
    pub fn prefix_key(&self) -> Option<u64> {
        self.shared_segments().last().map(|segment| segment.id)
    }
}

/// The rank of a service by weighted rendezvous hashing of `key`; the lowest is
/// first.
pub(super) fn rendezvous_rank(key: u64, service_hash: u64, weight: u32) -> f64 {
    -hash::unit(hash::mix(key, service_hash)).ln() / f64::from(weight)
}

/// An entry of the table; `generation` counts the requests it has held.
#[derive(Clone, Debug, Default)]
struct Entry {
    generation: u32,
    request: Option<Box<Request>>,
}

/// Requests by id. The low 32 bits of an id are the index of its entry, the high
/// 32 bits the entry's generation.
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

    /// Moves a request out of the table, so that it can be changed together with
    /// the balancer; [`RequestTable::check_in`] must follow.
    pub fn check_out(&mut self, id: RequestId) -> Option<Box<Request>> {
        self.get(id)?;
        self.entries[Self::position(id)].request.take()
    }

    /// Moves a request back that was taken by [`RequestTable::check_out`].
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
