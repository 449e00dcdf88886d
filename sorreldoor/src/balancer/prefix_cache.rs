//! A model of an endpoint's prefix (KV) cache: the prompt parts that it probably
//! holds, with least-recently-used eviction.

use super::hash::U64HashBuilder;
use crate::proxy::Part;
use std::collections::HashMap;

/// Parts remembered for one endpoint, at most.
const MAX_PARTS: usize = 256;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    /// Logical time of the last use.
    used_at: u32,
}

/// The parts that one endpoint probably holds.
#[derive(Clone, Debug, Default)]
pub(super) struct PrefixCache {
    parts: HashMap<u64, CachedPart, U64HashBuilder>,
    tokens: u64,
    clock: u32,
}

/// The leading parts of a prompt that an endpoint holds.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct PrefixHit {
    pub parts: usize,
    pub tokens: u32,
}

impl PrefixCache {
    /// The leading parts that are cached without a gap.
    pub fn lookup(&self, parts: &[Part]) -> PrefixHit {
        let cached = parts
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id))
            .count();
        PrefixHit {
            parts: cached,
            tokens: parts[..cached].iter().map(|part| part.tokens).sum(),
        }
    }

    /// The parts were sent there; evicts down to `capacity` tokens.
    pub fn insert(&mut self, parts: &[Part], capacity: u64) {
        self.clock += 1;
        for part in parts {
            let cached = CachedPart {
                tokens: part.tokens,
                used_at: self.clock,
            };
            if let Some(old) = self.parts.insert(part.id, cached) {
                self.tokens -= u64::from(old.tokens);
            }
            self.tokens += u64::from(part.tokens);
        }
        while self.parts.len() > MAX_PARTS || self.tokens > capacity {
            let oldest = self.parts.iter().min_by_key(|(_, cached)| cached.used_at);
            let Some(id) = oldest.map(|(id, _)| *id) else {
                break;
            };
            self.evict(id);
        }
    }

    fn evict(&mut self, id: u64) {
        if let Some(cached) = self.parts.remove(&id) {
            self.tokens -= u64::from(cached.tokens);
        }
    }

    /// The parts were not read there after all.
    pub fn remove(&mut self, parts: &[Part]) {
        parts.iter().for_each(|part| self.evict(part.id));
    }

    /// The endpoint lost its cache.
    pub fn clear(&mut self) {
        *self = PrefixCache::default();
    }
}
