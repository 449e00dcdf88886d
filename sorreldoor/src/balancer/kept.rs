//! Which parts of prompts a worker is thought to keep: those used longest ago
//! give way.

use super::hash::Mixed;
use crate::proxy::PromptSegment;
use std::collections::HashMap;

/// Parts remembered of one worker, at most.
const MOST: usize = 256;

#[derive(Clone, Debug, Default)]
pub struct Kept {
    parts: HashMap<u64, (u32, u32), Mixed>,
    tokens: u64,
    clock: u32,
}

impl Kept {
    /// How many parts from the first on are kept without a gap, and their tokens.
    pub fn hit(&self, parts: &[PromptSegment]) -> (usize, u32) {
        let n = parts
            .iter()
            .take_while(|p| self.parts.contains_key(&p.id))
            .count();
        (n, parts[..n].iter().map(|p| p.tokens).sum())
    }

    /// They were sent there; `room` tokens are kept at most.
    pub fn take(&mut self, parts: &[PromptSegment], room: u64) {
        self.clock += 1;
        for p in parts {
            if let Some((t, _)) = self.parts.insert(p.id, (p.tokens, self.clock)) {
                self.tokens -= u64::from(t);
            }
            self.tokens += u64::from(p.tokens);
        }
        while self.parts.len() > MOST || self.tokens > room {
            let old = self.parts.iter().min_by_key(|(_, (_, c))| *c);
            let Some((id, _)) = old else { break };
            let id = *id;
            self.drop_one(id);
        }
    }

    fn drop_one(&mut self, id: u64) {
        if let Some((t, _)) = self.parts.remove(&id) {
            self.tokens -= u64::from(t);
        }
    }

    /// They were not read after all.
    pub fn forget(&mut self, parts: &[PromptSegment]) {
        parts.iter().for_each(|p| self.drop_one(p.id));
    }

    pub fn clear(&mut self) {
        *self = Kept::default();
    }
}
