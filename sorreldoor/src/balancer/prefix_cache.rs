//! A model of an endpoint's prefix (KV) cache: the prompt segments that it probably
//! holds, with least-recently-used eviction.

use super::hash::U64HashBuilder;
use crate::proxy::PromptSegment;
use std::collections::HashMap;

/// Parts remembered for one endpoint, at most.
const MAX_SEGMENTS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct CachedSegment {
    tokens: u32,
    /// Logical time of the last use.
    used_at: u32,
}

/// The segments that one endpoint probably holds.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixCache {
    segments: HashMap<u64, CachedSegment, U64HashBuilder>,
    tokens: u64,
    clock: u32,
}

/// The leading segments of a prompt that an endpoint holds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PrefixHit {
    pub segments: usize,
    pub tokens: u32,
}

impl PrefixCache {
    /// The leading segments that are cached without a gap.
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

    /// The segments were sent there; evicts down to `capacity` tokens.
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

    /// The segments were not read there after all.
    pub fn remove(&mut self, segments: &[PromptSegment]) {
        segments.iter().for_each(|segment| self.evict(segment.id));
    }

    /// The endpoint lost its cache.
    pub fn clear(&mut self) {
        *self = PrefixCache::default();
    }
}
