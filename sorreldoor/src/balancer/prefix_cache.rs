//! A model of an endpoint's prefix (KV) cache: the prompt segments that it probably
//! contains, with least-recently-used eviction.

use super::hash::U64HashBuilder;
use crate::proxy::PromptSegment;
use std::collections::HashMap;

/// Maximum number of segments in the model of one endpoint.
const MAX_SEGMENTS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct CachedSegment {
    tokens: u32,
    /// Value of the cache's `clock` at the last use.
    used_at: u32,
}

/// The segments that one endpoint has probably cached.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixCache {
    segments: HashMap<u64, CachedSegment, U64HashBuilder>,
    /// Sum of the tokens of all segments.
    tokens: u64,
    /// Logical time: the number of insertions.
    clock: u32,
}

/// The number of leading segments of a prompt that are cached, and of their tokens.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PrefixHit {
    pub segments: usize,
    pub tokens: u32,
}

impl PrefixCache {
    /// Looks up the leading segments of a prompt, up to the first that is not cached.
    pub fn lookup(&self, segments: &[PromptSegment]) -> PrefixHit {
        let cached = segments
            .iter()
            .take_while(|segment| self.segments.contains_key(&segment.id))
            .count();
        PrefixHit {
            segments: cached,
            tokens: segments[..cached]
                .iter()
                .map(|segment| segment.tokens)
                .sum(),
        }
    }

    /// Adds the segments of a prompt sent to the endpoint, then evicts down to
    /// `capacity` tokens.
    pub fn insert(&mut self, segments: &[PromptSegment], capacity: u64) {
        self.clock += 1;
        for segment in segments {
            let cached = CachedSegment {
                tokens: segment.tokens,
                used_at: self.clock,
            };
            if let Some(old) = self.segments.insert(segment.id, cached) {
                self.tokens -= u64::from(old.tokens);
            }
            self.tokens += u64::from(segment.tokens);
        }
        while self.segments.len() > MAX_SEGMENTS || self.tokens > capacity {
            let oldest = self
                .segments
                .iter()
                .min_by_key(|(_, cached)| cached.used_at);
            let Some(id) = oldest.map(|(id, _)| *id) else {
                break;
            };
            self.evict(id);
        }
    }

    fn evict(&mut self, id: u64) {
        if let Some(cached) = self.segments.remove(&id) {
            self.tokens -= u64::from(cached.tokens);
        }
    }

    /// Removes segments that the endpoint did not prefill.
    pub fn remove(&mut self, segments: &[PromptSegment]) {
        segments.iter().for_each(|segment| self.evict(segment.id));
    }

    /// Removes all segments, after the endpoint has lost its cache.
    pub fn clear(&mut self) {
        *self = PrefixCache::default();
    }
}
